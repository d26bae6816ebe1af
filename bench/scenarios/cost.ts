/**
 * Measures the cost of a cascade at a quality target, against always-largest, always-cheapest, a random mix,
 * fixed thresholds and two oracles. Synthetic requests have known true qualities. The task mix drifts from
 * easy to hard kinds, and halfway through the run the cheapest model becomes worse at one kind.
 */
import { createSeededRandom } from "../../src/node/common/random.js";
import type { Random } from "../../src/node/common/random.js";
import { FROM_START, SCORE_RANGES } from "../../src/node/cascade/constants.js";
import { createEstimates, stateIndex } from "../../src/node/cascade/estimates.js";
import { createPlan } from "../../src/node/cascade/plan.js";
import type { Plan } from "../../src/node/cascade/plan.js";
import { createCascadePolicy } from "../../src/node/cascade/policy.js";
import type { CascadeState, StateCounters } from "../../src/node/cascade/statistics.js";
import type { Figures, Scenario } from "../scenario.js";

/** Cost of each step of the cascade, relative to the cheapest. */
const COSTS = [1, 4, 15];
const LAST_STEP = COSTS.length - 1;
const STEPS = COSTS.map(cost => ({ cost, milliseconds: 1000 }));
const QUALITY_TARGET = 0.95;
const REQUESTS_PER_SECOND = 20;
const RUN_SECONDS = 7200;
/** Share of the requests whose answer receives a rating. */
const RATED_SHARE = 0.2;
/** Standard deviation of the judge's score around the true quality. */
const SCORE_NOISE = 0.15;
/** Interval at which the oracle of distributions makes a new plan. */
const SEGMENT_SECONDS = 600;
const SEEDS_PER_RUN = 3;

interface TaskKind {
    readonly name: string;
    /** Probability that the answer of each step is adequate. */
    readonly adequate: readonly number[];
    /** Replaces `adequate` in the second half of the run. */
    readonly adequateLater?: readonly number[];
    /** Share of all requests at the start and at the end of the run. */
    readonly share: readonly [number, number];
}

const TASK_KINDS: readonly TaskKind[] = [
    { name: "classification", adequate: [0.97, 0.98, 0.99], share: [0.3, 0.15] },
    { name: "stock", adequate: [0.93, 0.96, 0.98], share: [0.25, 0.15] },
    {
        name: "counter",
        adequate: [0.8, 0.92, 0.97],
        adequateLater: [0.6, 0.92, 0.97],
        share: [0.2, 0.2],
    },
    { name: "pickup", adequate: [0.65, 0.9, 0.97], share: [0.1, 0.15] },
    { name: "reconciliation", adequate: [0.3, 0.75, 0.96], share: [0.1, 0.2] },
    { name: "report", adequate: [0.15, 0.45, 0.95], share: [0.05, 0.15] },
];

interface Request {
    readonly second: number;
    readonly kind: string;
    /** True quality of the answer of each step, 0 to 1. */
    readonly quality: readonly number[];
    /** Score that the judge gives the answer of each step, 0 to 1. */
    readonly scores: readonly number[];
    /** Seconds from the answer to its rating; `undefined` for no rating. */
    readonly ratedAfter: number | undefined;
    /** Random number from 0 to 1 that decides whether the rating is rounded up or down. */
    readonly rounding: number;
}

/** Draws a standard normal value (Box-Muller). */
function standardNormal(random: Random): number {
    return Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
}

function clampToUnit(value: number): number {
    return Math.min(1, Math.max(0, value));
}

/**
 * Rounds a true quality to a rating of 0, 0.5 or 1. The mean is the quality, the standard deviation about
 * 0.2.
 */
function roundToRating(quality: number, rounding: number): number {
    return Math.floor(2 * quality + rounding) / 2;
}

function shareAt(kind: TaskKind, second: number): number {
    return kind.share[0] + (kind.share[1] - kind.share[0]) * (second / RUN_SECONDS);
}

function drawAnswers(kind: TaskKind, second: number, random: Random): Pick<Request, "quality" | "scores"> {
    const adequate = second < RUN_SECONDS / 2 ? kind.adequate : (kind.adequateLater ?? kind.adequate);
    // All steps share the difficulty: a request that is hard for one model is also hard for smaller models.
    const difficulty = random();
    const quality = adequate.map(share =>
        clampToUnit((difficulty < share ? 0.9 : 0.35) + 0.05 * standardNormal(random)),
    );
    return {
        quality,
        scores: quality.map(value => clampToUnit(value + SCORE_NOISE * standardNormal(random))),
    };
}

function drawKind(second: number, random: Random): TaskKind {
    let point = random();
    return TASK_KINDS.find(kind => (point -= shareAt(kind, second)) < 0) ?? TASK_KINDS[0]!;
}

function drawRequests(random: Random): readonly Request[] {
    return Array.from({ length: RUN_SECONDS * REQUESTS_PER_SECOND }, (_, index) => {
        const second = Math.floor(index / REQUESTS_PER_SECOND);
        const kind = drawKind(second, random);
        return {
            second,
            kind: kind.name,
            ...drawAnswers(kind, second, random),
            ratedAfter: random() < RATED_SHARE ? 30 + random() * 270 : undefined,
            rounding: random(),
        };
    });
}

interface Outcome {
    readonly cost: number;
    /** True quality of the answer, 0 to 1. */
    readonly quality: number;
}

/** Selects the steps that run for a request. */
type RoutingStrategy = (request: Request) => Outcome;

function alwaysStep(step: number): RoutingStrategy {
    return request => ({ cost: COSTS[step]!, quality: request.quality[step]! });
}

function randomMix(random: Random): RoutingStrategy {
    return request => alwaysStep(Math.floor(random() * COSTS.length))(request);
}

function fixedThreshold(threshold: number): RoutingStrategy {
    return ({ quality, scores }) => {
        const stop = scores.findIndex((score, step) => step === LAST_STEP || score >= threshold);
        return {
            cost: COSTS.slice(0, stop + 1).reduce((sum, cost) => sum + cost, 0),
            quality: quality[stop]!,
        };
    };
}

function product(seed: number): RoutingStrategy {
    let now = 0;
    const pendingRatings = new Map<number, { id: string; rating: number }[]>();
    const policy = createCascadePolicy<string>({
        source: "a/1",
        taskKind: kind => kind,
        random: createSeededRandom(seed),
        wallTime: () => now,
    });
    let count = 0;
    const deliverRatingsUntil = (second: number): void => {
        for (; now <= second * 1000; now += 1000) {
            const due = pendingRatings.get(now / 1000) ?? [];
            pendingRatings.delete(now / 1000);
            due.forEach(({ id, rating }) => policy.rate(id, rating, now));
        }
    };
    return request => {
        deliverRatingsUntil(request.second);
        const id = String((count += 1));
        let path = policy.start(
            {
                id,
                workspace: "w",
                cascade: "c",
                steps: STEPS,
                qualityTarget: QUALITY_TARGET,
                remainingMilliseconds: 60_000,
                request: request.kind,
            },
            now,
        );
        for (let cost = 0; ;) {
            cost += COSTS[path.step]!;
            const quality = request.quality[path.step]!;
            const result = {
                cost: COSTS[path.step]!,
                score: request.scores[path.step],
                remainingMilliseconds: 60_000,
            };
            const decision = policy.next(path, result, now);
            if (decision.kind === "answer") {
                if (request.ratedAfter !== undefined) {
                    const second = request.second + Math.ceil(request.ratedAfter);
                    const rating = roundToRating(quality, request.rounding);
                    pendingRatings.set(second, [...(pendingRatings.get(second) ?? []), { id, rating }]);
                }
                return { cost, quality };
            }
            path = decision.path;
        }
    };
}

/** Number of simulated answers per task kind and segment from which the oracle computes the distributions. */
const ORACLE_DRAWS = 5000;

/** Counts the states of requests that start at any step and escalate up to the last one. */
function trueTotals(second: number, random: Random): readonly (CascadeState & StateCounters)[] {
    const totals = new Map<string, { state: CascadeState; visits: number; ratingSum: number }>();
    for (const kind of TASK_KINDS) {
        for (let draw = 0; draw < ORACLE_DRAWS; draw += 1) {
            const { quality, scores } = drawAnswers(kind, second, random);
            const ranges = scores.map((score, step) =>
                step === LAST_STEP ? 0 : Math.min(SCORE_RANGES - 1, Math.floor(score * SCORE_RANGES)),
            );
            for (let step = 0; step <= LAST_STEP; step += 1) {
                for (const from of step === 0 ? [FROM_START] : [FROM_START, ranges[step - 1]!]) {
                    const key = `${kind.name}|${step}|${ranges[step]!}|${from}`;
                    const state = { scope: "", kind: kind.name, step, range: ranges[step]!, from };
                    const sum = totals.get(key) ?? { state, visits: 0, ratingSum: 0 };
                    totals.set(key, sum);
                    sum.visits += 1;
                    sum.ratingSum += quality[step]!;
                }
            }
        }
    }
    const shares = new Map(TASK_KINDS.map(kind => [kind.name, shareAt(kind, second)]));
    return [...totals.values()].map(({ state, visits, ratingSum }) => {
        const scale = 100 * shares.get(state.kind)!;
        return {
            ...state,
            visits: scale * visits,
            cost: scale * visits * COSTS[state.step]!,
            ratings: scale * visits,
            ratingSum: scale * ratingSum,
        };
    });
}

/**
 * Oracle with the true distributions and task mix of each segment. Like the product, it sees only judge
 * scores.
 */
function distributionOracle(random: Random): RoutingStrategy {
    let segment = -1;
    let currentPlan: Plan | undefined;
    return request => {
        const currentSegment = Math.floor(request.second / SEGMENT_SECONDS);
        if (currentSegment !== segment) {
            segment = currentSegment;
            const totals = trueTotals(currentSegment * SEGMENT_SECONDS + SEGMENT_SECONDS / 2, random);
            currentPlan = createPlan(createEstimates(totals, COSTS), QUALITY_TARGET, 0);
        }
        const drawnPlan =
            random() < currentPlan!.costlierShare ? currentPlan!.costlierRule : currentPlan!.cheaperRule;
        const rule = drawnPlan.kinds.get(request.kind)!;
        let cost = 0;
        let from = FROM_START;
        for (let step = rule.start; ; step += 1) {
            cost += COSTS[step]!;
            const range = Math.min(SCORE_RANGES - 1, Math.floor(request.scores[step]! * SCORE_RANGES));
            if (step === LAST_STEP || rule.escalate[stateIndex(step, range, from)] !== true) {
                return { cost, quality: request.quality[step]! };
            }
            from = range;
        }
    };
}

/** Oracle with the true quality of every answer in advance. It pays only for the step that it selects. */
function answerOracle(requests: readonly Request[], minimumMean: number): RoutingStrategy {
    const choose = ({ quality }: Request, price: number): number =>
        quality.reduce(
            (best, value, step) =>
                price * value - COSTS[step]! > price * quality[best]! - COSTS[best]! ? step : best,
            0,
        );
    let low = 0;
    let high = 1000;
    for (let i = 0; i < 40; i += 1) {
        const middle = (low + high) / 2;
        const sum = requests.reduce((total, request) => total + request.quality[choose(request, middle)]!, 0);
        if (sum / requests.length >= minimumMean) {
            high = middle;
        }
        else {
            low = middle;
        }
    }
    return request => alwaysStep(choose(request, high))(request);
}

function run(strategy: RoutingStrategy, requests: readonly Request[]): Outcome {
    let cost = 0;
    let quality = 0;
    for (const request of requests) {
        const outcome = strategy(request);
        cost += outcome.cost;
        quality += outcome.quality;
    }
    return { cost: cost / requests.length, quality: quality / requests.length };
}

const FIXED_THRESHOLDS = [0.3, 0.4, 0.5, 0.6, 0.7, 0.8];

/**
 * Outcome of the cheapest fixed threshold that reaches the quality, selected after all thresholds have run.
 */
function bestFixedThreshold(requests: readonly Request[], minimumQuality: number): Outcome {
    const outcomes = FIXED_THRESHOLDS.map(threshold => run(fixedThreshold(threshold), requests));
    const sufficient = outcomes.filter(({ quality }) => quality >= minimumQuality);
    return (sufficient.length > 0 ? sufficient : outcomes).reduce((a, b) => (b.cost < a.cost ? b : a));
}

function runSeed(seed: number): Readonly<Record<string, Outcome>> {
    const random = createSeededRandom(seed);
    const requests = drawRequests(random);
    const largest = run(alwaysStep(LAST_STEP), requests);
    const minimumQuality = QUALITY_TARGET * largest.quality;
    return {
        product: run(product(seed), requests),
        alwaysLargest: largest,
        alwaysCheapest: run(alwaysStep(0), requests),
        randomMix: run(randomMix(random), requests),
        fixedThresholdHalf: run(fixedThreshold(0.5), requests),
        fixedThresholdBestInHindsight: bestFixedThreshold(requests, minimumQuality),
        oracleOfDistributions: run(distributionOracle(random), requests),
        oracleOfAnswers: run(answerOracle(requests, minimumQuality), requests),
    };
}

/** @param sorted In ascending order. */
function median(sorted: readonly number[]): number {
    return sorted[Math.floor(sorted.length / 2)]!;
}

export const cost: Scenario = {
    name: "cost",
    description:
        "cost at the quality target against always-largest, always-cheapest, a random mix, fixed thresholds and oracles, with drift",
    runs: "decision code",
    run: ({ random, long, progress }) => {
        // Discards the first number, which is always near 1 for a small seed.
        random();
        const seeds = Array.from({ length: long ? 10 * SEEDS_PER_RUN : SEEDS_PER_RUN }, () =>
            Math.floor(random() * 2 ** 31),
        );
        const results = seeds.map(seed => {
            progress(`seed ${seed}`);
            return runSeed(seed);
        });
        const figuresOf = (name: string): Figures => {
            const sortedRatios = (pick: (result: Readonly<Record<string, Outcome>>) => number): number[] =>
                results.map(pick).sort((a, b) => a - b);
            const costs = sortedRatios(result => result[name]!.cost / result.alwaysLargest!.cost);
            const qualities = sortedRatios(result => result[name]!.quality / result.alwaysLargest!.quality);
            const toDistributions = sortedRatios(
                result => result[name]!.cost / result.oracleOfDistributions!.cost,
            );
            const toAnswers = sortedRatios(result => result[name]!.cost / result.oracleOfAnswers!.cost);
            return {
                runs: results.length,
                runsReachingTarget: qualities.filter(quality => quality >= QUALITY_TARGET).length,
                medianCostShareOfLargest: median(costs),
                medianQualityShareOfLargest: median(qualities),
                medianCostToOracleOfDistributions: median(toDistributions),
                highestCostShareOfLargest: costs.at(-1)!,
                lowestQualityShareOfLargest: qualities[0]!,
                highestCostToOracleOfDistributions: toDistributions.at(-1)!,
                highestCostToOracleOfAnswers: toAnswers.at(-1)!,
            };
        };
        const names = Object.keys(results[0]!).filter(name => name !== "product");
        return Promise.resolve({
            figures: figuresOf("product"),
            baselines: Object.fromEntries(names.map(name => [name, figuresOf(name)])),
            violations: 0,
        });
    },
};
