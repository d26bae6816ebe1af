/**
 * Measures how many requests a faulty version answers before it is out of service, and false alarms for
 * healthy versions.
 *
 * Three nodes run the product's rollout and lease code on a virtual clock with synthetic answers and late,
 * noisy ratings. The baselines are a ramp by time and a switch all at once, both with a simple alarm.
 */
import type { Random } from "../../src/node/common/random.js";
import { createSeededRandom } from "../../src/node/common/random.js";
import { createMemoryTable } from "../../src/node/leases/__tests__/memory-table.js";
import {
    createMembers,
    createRolloutNode,
    withRollout,
} from "../../src/node/rollout/__tests__/rollout-node.js";
import type { Figures, Scenario } from "../scenario.js";

const STEPS = [0.01, 0.05, 0.25, 0.5, 1];
/** The product keeps a control group of 5% at the last step. */
const FULL_SHARE = 0.95;
const NODES = 3;
/** Share of the traffic of each workspace. */
const WORKSPACE_WEIGHTS = [0.3, 0.2, 0.15, 0.1, 0.08, 0.05, 0.04, 0.03, 0.03, 0.02];
/** Index of the workspace that the case `oneWorkspace` affects, with a tenth of the traffic. */
const AFFECTED_WORKSPACE = 3;
const SESSIONS_PER_SECOND = 3;
const REQUESTS_PER_SESSION = 5;
const REQUEST_INTERVAL_SECONDS = 20;
/** Share of the answers that receive a rating. */
const RATED_SHARE = 0.2;
const BASE_QUALITY = 0.85;
/** Standard deviation of a rating. */
const RATING_NOISE = 0.2;
const BASE_ERROR_RATE = 0.002;
const RUN_SECONDS = 3600;
/** Time at the full share after which the version of the case `turnsBad` becomes faulty. */
const ONSET_SECONDS = 300;

/** Difference between the version and the baseline. */
interface Regression {
    /** Added to the mean rating. */
    readonly rating: number;
    /** Added to the error rate. */
    readonly errorRate: number;
    readonly latencyFactor: number;
}

interface Case {
    readonly name: string;
    /** Regression of the version in a workspace. `secondsAtFullShare` is negative before the full share. */
    readonly regression: (workspace: number, secondsAtFullShare: number) => Regression;
    /** Amplitude of a one-hour sine wave that is added to all ratings, for the version and the baseline. */
    readonly drift: number;
}

interface Answer {
    readonly workspace: number;
    readonly isVersion: boolean;
}

/** Controls the traffic of the version. */
interface RolloutDriver {
    /** Share of the new sessions that get the version. */
    share(): number;
    /** Whether no node gives the version to new sessions. */
    isOutOfService(): boolean;
    /** Whether existing sessions of the version move back to the baseline. */
    isWithdrawn(): boolean;
    observe(answer: Answer, succeeded: boolean, latencyMilliseconds: number): void;
    rate(answer: Answer, rating: number): void;
    tick(second: number): Promise<void> | void;
}

const NO_REGRESSION: Regression = { rating: 0, errorRate: 0, latencyFactor: 1 };

const worseRatings = (rating: number): Regression => ({ ...NO_REGRESSION, rating });

const CASES = {
    clearlyBad: { name: "clearlyBad", regression: () => worseRatings(-0.3), drift: 0 },
    errors: { name: "errors", regression: () => ({ ...NO_REGRESSION, errorRate: 0.05 }), drift: 0 },
    slow: { name: "slow", regression: () => ({ ...NO_REGRESSION, latencyFactor: 2 }), drift: 0 },
    slightlyBad: { name: "slightlyBad", regression: () => worseRatings(-0.05), drift: 0 },
    oneWorkspace: {
        name: "oneWorkspace",
        regression: workspace => (workspace === AFFECTED_WORKSPACE ? worseRatings(-0.3) : NO_REGRESSION),
        drift: 0,
    },
    turnsBad: {
        name: "turnsBad",
        regression: (_workspace, seconds) => (seconds >= ONSET_SECONDS ? worseRatings(-0.3) : NO_REGRESSION),
        drift: 0,
    },
    good: { name: "good", regression: () => NO_REGRESSION, drift: 0 },
    goodWithDrift: { name: "goodWithDrift", regression: () => NO_REGRESSION, drift: 0.05 },
} as const satisfies Record<string, Case>;

/** Draws a standard normal value (Box-Muller). */
function standardNormal(random: Random): number {
    return Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
}

function createProduct(random: Random): RolloutDriver {
    const simulation = {
        time: 0,
        snapshot: withRollout(1, STEPS),
        members: createMembers(NODES),
        memory: createMemoryTable(),
        random,
    };
    const nodes = simulation.members.map(self => createRolloutNode(simulation, self));
    const anyNode = (): (typeof nodes)[number] => nodes[Math.floor(random() * NODES)]!;
    const labelsOf = ({ workspace, isVersion }: Answer) => ({
        model: "m",
        version: isVersion ? "new" : "old",
        workspace: `w${workspace}`,
    });
    return {
        share: () => anyNode().rollouts.share("m", "new"),
        isOutOfService: () => nodes.every(({ rollouts }) => rollouts.share("m", "new") === 0),
        isWithdrawn: () => anyNode().rollouts.isWithdrawn("m", "new"),
        observe: (answer, succeeded, latencyMilliseconds) =>
            anyNode().rollouts.observe({ ...labelsOf(answer), succeeded, latencyMilliseconds }),
        rate: (answer, rating) => anyNode().rollouts.observeRating({ ...labelsOf(answer), rating }),
        tick: async second => {
            simulation.time = second * 1000;
            for (const { id, tick, rollouts } of nodes) {
                tick();
                anyNode().rollouts.mergeRollouts(rollouts.rolloutDigest());
                if (second % 2 === 0) {
                    const digest = rollouts.evidenceDigest();
                    const targets = rollouts.evidenceTargets().filter(target => target !== id);
                    nodes
                        .filter(node => targets.includes(node.id))
                        .forEach(node => node.rollouts.mergeEvidence(digest));
                }
            }
            await new Promise(resolve => setImmediate(resolve));
        },
    };
}

/** The last `limit` values. */
class RecentValues {
    private readonly values: number[] = [];

    constructor(private readonly limit: number) {}

    add(value: number): void {
        this.values.push(value);
        if (this.values.length > this.limit) {
            this.values.shift();
        }
    }

    /** Mean of the values, or `undefined` for fewer than `minimum` values. */
    mean(minimum: number): number | undefined {
        const { length } = this.values;
        return length < minimum ? undefined : this.values.reduce((sum, value) => sum + value, 0) / length;
    }
}

/**
 * Follows a schedule of shares, and withdraws the version when its last 100 ratings, 200 errors or 100
 * latencies are worse than those of the baseline by fixed limits.
 */
function createScheduledDriver(shareAt: (second: number) => number): RolloutDriver {
    const createWindows = () => ({
        ratings: new RecentValues(100),
        errors: new RecentValues(200),
        latencies: new RecentValues(100),
    });
    const arms = { version: createWindows(), baseline: createWindows() };
    let withdrawn = false;
    let share = 0;
    const armOf = ({ isVersion }: Answer) => (isVersion ? arms.version : arms.baseline);
    return {
        share: () => (withdrawn ? 0 : share),
        isOutOfService: () => withdrawn,
        isWithdrawn: () => withdrawn,
        observe: (answer, succeeded, latency) => {
            armOf(answer).errors.add(succeeded ? 0 : 1);
            armOf(answer).latencies.add(latency);
        },
        rate: (answer, rating) => armOf(answer).ratings.add(rating),
        tick: second => {
            // The first 300 s only collect data of the baseline.
            share = second < 300 ? 0 : shareAt(second - 300);
            const difference = (metric: "ratings" | "errors") =>
                (arms.version[metric].mean(30) ?? NaN) - (arms.baseline[metric].mean(30) ?? NaN);
            const latencyRatio =
                (arms.version.latencies.mean(30) ?? NaN) / (arms.baseline.latencies.mean(30) ?? NaN);
            withdrawn ||= difference("ratings") < -0.1 || difference("errors") > 0.03 || latencyRatio > 1.5;
        },
    };
}

const DRIVERS = {
    product: createProduct,
    rampByTime: () =>
        createScheduledDriver(second => STEPS[Math.min(STEPS.length - 1, Math.floor(second / 300))]!),
    allAtOnce: () => createScheduledDriver(() => 1),
} as const;

interface Outcome {
    /** Number of requests that the version answered where and while it was faulty. */
    readonly exposed: number;
    /**
     * Seconds from the first answer with a regression until the version is out of service; `undefined` if
     * never.
     */
    readonly secondsToOut: number | undefined;
    /** Seconds from the start to the full share; `undefined` if never. */
    readonly secondsToFull: number | undefined;
    /** Whether the version received traffic and is out of service at the end. */
    readonly isOutOfService: boolean;
}

interface Session extends Answer {
    /** Number of requests to send, the current one included. */
    readonly remainingRequests: number;
}

function drawWorkspace(random: Random): number {
    let point = random();
    const index = WORKSPACE_WEIGHTS.findIndex(weight => (point -= weight) < 0);
    return index < 0 ? 0 : index;
}

async function simulate(driver: RolloutDriver, versionCase: Case, random: Random): Promise<Outcome> {
    const sessions = new Map<number, Session[]>();
    const ratings = new Map<number, { answer: Answer; rating: number }[]>();
    let fullShareAt: number | undefined;
    let firstExposedAt: number | undefined;
    let outOfServiceAt: number | undefined;
    let exposed = 0;
    let hasReceivedTraffic = false;
    const schedule = <Item>(map: Map<number, Item[]>, second: number, item: Item): void => {
        map.set(second, [...(map.get(second) ?? []), item]);
    };

    const serve = (session: Session, second: number): void => {
        const isVersion = session.isVersion && !driver.isWithdrawn();
        const answer = { workspace: session.workspace, isVersion };
        const regression = isVersion
            ? versionCase.regression(session.workspace, fullShareAt === undefined ? -1 : second - fullShareAt)
            : NO_REGRESSION;
        if (regression !== NO_REGRESSION) {
            exposed += 1;
            firstExposedAt ??= second;
        }
        const succeeded = random() >= BASE_ERROR_RATE + regression.errorRate;
        driver.observe(
            answer,
            succeeded,
            800 * regression.latencyFactor * Math.exp(0.5 * standardNormal(random)),
        );
        if (random() < RATED_SHARE) {
            const ratingDrift = versionCase.drift * Math.sin((2 * Math.PI * second) / 3600);
            const rating =
                BASE_QUALITY + ratingDrift + regression.rating + RATING_NOISE * standardNormal(random);
            const ratingDelay = 30 + Math.floor(random() * 90);
            schedule(ratings, second + ratingDelay, { answer, rating: Math.min(1, Math.max(0, rating)) });
        }
        if (session.remainingRequests > 1) {
            schedule(sessions, second + REQUEST_INTERVAL_SECONDS, {
                ...session,
                remainingRequests: session.remainingRequests - 1,
            });
        }
    };

    for (let second = 0; second < RUN_SECONDS; second += 1) {
        await driver.tick(second);
        ratings.get(second)?.forEach(({ answer, rating }) => driver.rate(answer, rating));
        ratings.delete(second);
        for (let index = 0; index < SESSIONS_PER_SECOND; index += 1) {
            const isVersion = random() < driver.share();
            serve(
                { workspace: drawWorkspace(random), isVersion, remainingRequests: REQUESTS_PER_SESSION },
                second,
            );
        }
        sessions.get(second)?.forEach(session => serve(session, second));
        sessions.delete(second);
        hasReceivedTraffic ||= driver.share() > 0;
        const isFull = driver.share() >= FULL_SHARE;
        fullShareAt ??= isFull ? second : undefined;
        outOfServiceAt ??= firstExposedAt !== undefined && driver.isOutOfService() ? second : undefined;
        if (outOfServiceAt !== undefined && driver.isWithdrawn()) {
            break;
        }
    }
    return {
        exposed,
        secondsToOut:
            outOfServiceAt === undefined || firstExposedAt === undefined
                ? undefined
                : outOfServiceAt - firstExposedAt,
        secondsToFull: fullShareAt,
        isOutOfService: hasReceivedTraffic && driver.isOutOfService(),
    };
}

function median(values: readonly number[]): number | null {
    const sorted = [...values].sort((a, b) => a - b);
    return sorted[Math.floor(sorted.length / 2)] ?? null;
}

function summarise(versionCase: Case, outcomes: readonly Outcome[]): Figures {
    const pick = (key: "secondsToOut" | "secondsToFull") =>
        median(outcomes.flatMap(outcome => outcome[key] ?? []));
    if (versionCase.name.startsWith("good")) {
        return {
            [`${versionCase.name}Runs`]: outcomes.length,
            [`${versionCase.name}FalseAlarms`]: outcomes.filter(({ isOutOfService }) => isOutOfService)
                .length,
            [`${versionCase.name}ReachedFullShare`]: outcomes.filter(
                ({ secondsToFull }) => secondsToFull !== undefined,
            ).length,
            [`${versionCase.name}MedianSecondsToFullShare`]: pick("secondsToFull"),
        };
    }
    return {
        [`${versionCase.name}Runs`]: outcomes.length,
        [`${versionCase.name}Out`]: outcomes.filter(({ isOutOfService }) => isOutOfService).length,
        [`${versionCase.name}MedianExposedRequests`]: median(outcomes.map(({ exposed }) => exposed)),
        [`${versionCase.name}MostExposedRequests`]: Math.max(...outcomes.map(({ exposed }) => exposed)),
        [`${versionCase.name}MedianSecondsToOut`]: pick("secondsToOut"),
    };
}

const RUNS_PER_FAULTY_CASE = 3;
const RUNS_PER_HEALTHY_CASE = 2;
const LONG_FACTOR = 10;

export const exposure: Scenario = {
    name: "exposure",
    description:
        "requests answered by a faulty version before it is out of service, against a ramp by time and a switch all at once",
    runs: "decision code",
    run: async ({ random, long, progress }) => {
        const figures: Record<string, Record<string, Figures[string]>> = {};
        for (const [driverName, createDriver] of Object.entries(DRIVERS)) {
            for (const versionCase of Object.values(CASES) as Case[]) {
                const baseRuns = versionCase.name.startsWith("good")
                    ? RUNS_PER_HEALTHY_CASE
                    : RUNS_PER_FAULTY_CASE;
                const outcomes: Outcome[] = [];
                for (let run = 0; run < (long ? baseRuns * LONG_FACTOR : baseRuns); run += 1) {
                    const runRandom = createSeededRandom(Math.floor(random() * 2 ** 31));
                    outcomes.push(await simulate(createDriver(runRandom), versionCase, runRandom));
                }
                figures[driverName] = { ...figures[driverName], ...summarise(versionCase, outcomes) };
                progress(`${driverName} ${versionCase.name}`);
            }
        }
        const { product, ...baselines } = figures;
        return { figures: product!, baselines, violations: 0 };
    },
};
