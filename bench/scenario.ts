/**
 * Interface between the bench tool and its scenarios. Each file in `bench/scenarios/` exports one `Scenario`;
 * `bench/scenarios/index.ts` lists them.
 */
import type { Random } from "../src/node/common/random.js";

/** Figures of a run by name. The name includes the unit, for example `firstTokenP95Milliseconds`. */
export type Figures = Readonly<Record<string, number | string | boolean | null>>;

export interface ScenarioContext {
    readonly seed: number;
    readonly random: Random;
    /** Whether the run may take more than 50 s. */
    readonly long: boolean;
    /** Displays a line of progress. */
    readonly progress: (text: string) => void;
}

export interface ScenarioResult {
    /** Measured with the router. */
    readonly figures: Figures;
    /** The same figures for each baseline, measured in the same run. */
    readonly baselines: Readonly<Record<string, Figures>>;
    /** Invariant violations of the router; those of baselines are not counted. */
    readonly violations: number;
    /** Raw data for plots: points by series name. */
    readonly series?: Readonly<Record<string, readonly (readonly [x: number, y: number])[]>>;
}

export interface Scenario {
    readonly name: string;
    /** One line that names what is measured and the baselines. */
    readonly description: string;
    /** What the scenario executes: daemon processes, one node in this process, or only decision code. */
    readonly runs: "daemons" | "embedded node" | "decision code";
    run(context: ScenarioContext): Promise<ScenarioResult>;
}
