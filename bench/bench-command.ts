/** `npm run bench -- NAME`: runs a scenario and prints its figures next to those of its baselines. */
import { mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { Builtins, Cli, Command, Option, UsageError } from "clipanion";
import type { BaseContext } from "clipanion";
import { createSeededRandom } from "../src/node/common/random.js";
import { createReport, formatComparison, formatReport, formatSeries, parseEarlierReport } from "./report.js";
import type { Report } from "./report.js";
import type { Scenario, ScenarioResult } from "./scenario.js";

const EXIT_DONE = 0;
const EXIT_VIOLATIONS = 1;
/** Invalid arguments, or a failed scenario; nothing was measured. */
const EXIT_NOT_MEASURED = 2;

const DEFAULT_SEED = "1";

/** Duration of a run without `--long` above which a warning is printed, seconds. */
const MAXIMUM_SHORT_RUN_SECONDS = 50;

/** Milliseconds between progress lines when the output is not a terminal. */
const PROGRESS_INTERVAL_MILLISECONDS = 2000;

/** Prints progress: rewrites one line on a terminal, otherwise prints a line at most every 2 s. */
function createProgress(stream: BaseContext["stderr"]) {
    const isTerminal = "isTTY" in stream && stream.isTTY === true;
    let lastShownAt = -Infinity;
    return {
        show: (text: string): void => {
            const now = performance.now();
            if (isTerminal) {
                stream.write(`\r\u001b[K${text}`);
            }
            else if (now - lastShownAt >= PROGRESS_INTERVAL_MILLISECONDS) {
                lastShownAt = now;
                stream.write(`${text}\n`);
            }
        },
        clear: (): void => {
            if (isTerminal) {
                stream.write("\r\u001b[K");
            }
        },
    };
}

function parseSeed(text: string): number {
    if (!/^-?\d{1,10}$/.test(text) || Number(text) !== (Number(text) | 0)) {
        throw new UsageError(`the seed must be a signed 32-bit integer, not "${text}"`);
    }
    return Number(text);
}

function writeResults(directory: string, report: Report, result: ScenarioResult): void {
    mkdirSync(directory, { recursive: true });
    const basePath = join(directory, `${report.scenario}-${report.seed}`);
    writeFileSync(`${basePath}.json`, `${JSON.stringify(report)}\n`);
    if (result.series !== undefined) {
        writeFileSync(`${basePath}.csv`, formatSeries(result.series));
    }
}

function createBenchCommand(scenarios: readonly Scenario[]) {
    return class BenchCommand extends Command {
        static override readonly usage = Command.Usage({
            description: "Run a scenario and print its figures next to those of its baselines",
            details: `
                The last line of the output is one JSON object. Exit codes: 0 completed, 1 invariants were
                violated, 2 nothing was measured.
            `,
            examples: [
                ["List the scenarios", "$0 --list"],
                ["Run one", "$0 admission --seed 7 --out bench/results"],
                ["Compare with an earlier result", "$0 admission --compare bench/results/admission-7.json"],
            ],
        });
        readonly scenarioName = Option.String({ name: "NAME", required: false });
        readonly seed = Option.String("--seed", DEFAULT_SEED, {
            description: "Seed of the random number generator",
        });
        readonly json = Option.Boolean("--json", false, { description: "Print only the JSON line" });
        readonly long = Option.Boolean("--long", false, {
            description: "Allow the run to take more than 50 s",
        });
        readonly list = Option.Boolean("--list", false, { description: "List the scenarios" });
        readonly out = Option.String("--out", {
            description: "Directory for the result and the raw data series",
        });
        readonly compare = Option.String("--compare", {
            description: "File with an earlier result to compare with",
        });

        override async execute(): Promise<number> {
            if (this.list) {
                for (const { name, runs, description } of scenarios) {
                    this.context.stdout.write(`${name} (${runs}): ${description}\n`);
                }
                return EXIT_DONE;
            }
            try {
                return await this.runScenario();
            }
            catch (error) {
                const text =
                    error instanceof UsageError || !(error instanceof Error)
                        ? String(error)
                        : (error.stack ?? error.message);
                this.context.stderr.write(`nothing was measured: ${text}\n`);
                return EXIT_NOT_MEASURED;
            }
        }

        private findScenario(): Scenario {
            const scenario = scenarios.find(({ name }) => name === this.scenarioName);
            if (scenario === undefined) {
                const names = scenarios.map(({ name }) => name).join(", ");
                throw new UsageError(
                    `scenario "${this.scenarioName ?? ""}" does not exist; scenarios: ${names}`,
                );
            }
            return scenario;
        }

        private readEarlierReport(scenario: Scenario): Report | undefined {
            if (this.compare === undefined) {
                return undefined;
            }
            try {
                return parseEarlierReport(readFileSync(this.compare, "utf8"), scenario.name);
            }
            catch (error) {
                throw new UsageError(
                    `${this.compare} is not a comparable result: ${(error as Error).message}`,
                );
            }
        }

        private async runScenario(): Promise<number> {
            const scenario = this.findScenario();
            const seed = parseSeed(this.seed);
            const earlier = this.readEarlierReport(scenario);
            const progress = createProgress(this.context.stderr);
            const start = performance.now();
            const seconds = (): number => (performance.now() - start) / 1000;
            const result = await scenario.run({
                seed,
                random: createSeededRandom(seed),
                long: this.long,
                progress: text => progress.show(`${scenario.name} ${seconds().toFixed(1)} s: ${text}`),
            });
            progress.clear();
            if (!this.long && seconds() > MAXIMUM_SHORT_RUN_SECONDS) {
                this.context.stderr.write(
                    `the run took ${seconds().toFixed(1)} s; the limit without --long is ${MAXIMUM_SHORT_RUN_SECONDS} s\n`,
                );
            }
            const report = createReport(scenario, seed, result);
            if (this.out !== undefined) {
                writeResults(this.out, report, result);
            }
            this.printReport(report, earlier);
            return report.violations === 0 ? EXIT_DONE : EXIT_VIOLATIONS;
        }

        private printReport(report: Report, earlier: Report | undefined): void {
            if (!this.json) {
                this.context.stdout.write(`${formatReport(report)}\n`);
                if (earlier !== undefined) {
                    this.context.stdout.write(`${formatComparison(report, earlier)}\n`);
                }
            }
            this.context.stdout.write(`${JSON.stringify(report)}\n`);
        }
    };
}

/** Runs the bench tool with the given scenarios. Resolves with the exit code. */
export async function runBench(
    scenarios: readonly Scenario[],
    argv: readonly string[],
    context: Partial<BaseContext> = {},
): Promise<number> {
    const cli = Cli.from([createBenchCommand(scenarios), Builtins.HelpCommand], {
        binaryName: "npm run bench --",
        enableColors: false,
    });
    const cliContext: BaseContext = { ...Cli.defaultContext, ...context };
    let command: Command;
    try {
        command = cli.process([...argv], cliContext);
    }
    catch (error) {
        // The default exit code of clipanion is 1, which stands for violations here.
        cliContext.stderr.write(cli.error(error as Error));
        return EXIT_NOT_MEASURED;
    }
    return cli.run(command, cliContext);
}
