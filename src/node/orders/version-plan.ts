/** Computes the state and the required capacity of each version from the configuration and the demand. */
import type { ConfigurationSnapshot } from "../configuration/snapshot.js";
import type { Table } from "../tables/table.js";
import { HEADROOM_FACTOR } from "./constants.js";

export interface VersionPlan {
    readonly version: string;
    readonly model: string;
    /** `held`: a prepared ticket may change the version, so it is neither loaded nor unloaded. */
    readonly state: "active" | "withdrawn" | "held";
    /** Lower numbers are placed first. */
    readonly priority: number;
    /** Current demand, in concurrent requests. */
    readonly need: number;
    /** Target capacity, in concurrent requests. */
    readonly required: number;
}

/**
 * Returns the share of the model's traffic, from 0 to 1, for which a version in a rollout needs capacity, or
 * `undefined` when no rollout of the version is running.
 */
export type PlannedShare = (model: string, version: string) => number | undefined;

type VersionState = "active" | "withdrawn";

function versionStates(snapshot: ConfigurationSnapshot): Map<string, VersionState> {
    const states = new Map<string, VersionState>();
    for (const [model, { versions }] of snapshot.model) {
        versions.forEach(({ name, state }) => states.set(`${model}/${name}`, state));
    }
    return states;
}

/** Returns the traffic share of the first step of a running rollout of the version. */
export function firstStepShare(
    snapshot: ConfigurationSnapshot,
    model: string,
    version: string,
): number | undefined {
    for (const rollout of snapshot.rollout.values()) {
        if (rollout.model === model && rollout.version === version && rollout.state === "running") {
            return rollout.steps[0];
        }
    }
    return undefined;
}

const PRIORITY_BASELINE = 0;
const PRIORITY_USED = 1;
const PRIORITY_ROLLOUT = 2;
const PRIORITY_UNUSED = 3;

/**
 * Returns the plan of every version that a governing snapshot names. Callers treat versions without a plan as
 * withdrawn.
 */
export function planVersions(
    governing: readonly ConfigurationSnapshot[],
    demand: Table<number>,
    plannedShare: PlannedShare,
): ReadonlyMap<string, VersionPlan> {
    const states = governing.map(versionStates);
    const plans = new Map<string, VersionPlan>();
    const modelDemand = new Map<string, number>();
    for (const [version, level] of demand.entries()) {
        const model = version.slice(0, version.indexOf("/"));
        modelDemand.set(model, (modelDemand.get(model) ?? 0) + level);
    }
    for (const version of new Set(states.flatMap(known => [...known.keys()]))) {
        const slash = version.indexOf("/");
        const model = version.slice(0, slash);
        const name = version.slice(slash + 1);
        const isActive = states.every(known => known.get(version) === "active");
        const isWithdrawn = states.every(known => known.get(version) !== "active");
        const need = isWithdrawn ? 0 : (demand.get(version) ?? 0);
        const isBaseline = governing.some(snapshot => snapshot.model.get(model)?.baseline === name);
        const share = isActive ? plannedShare(model, name) : undefined;
        const rolloutNeed = share === undefined ? 0 : Math.max(1, share * (modelDemand.get(model) ?? 0));
        const required = Math.max(need, rolloutNeed) * HEADROOM_FACTOR;
        plans.set(version, {
            version,
            model,
            state: isActive ? "active" : isWithdrawn ? "withdrawn" : "held",
            priority: isBaseline
                ? PRIORITY_BASELINE
                : need > 0
                  ? PRIORITY_USED
                  : share !== undefined
                    ? PRIORITY_ROLLOUT
                    : PRIORITY_UNUSED,
            need,
            required: isWithdrawn ? 0 : isBaseline ? Math.max(1, required) : required,
        });
    }
    return plans;
}
