/**
 * Cost of a cascade at a quality target, against always-largest, always-cheapest, a random mix, fixed thresholds
 * and two oracles. A synthetic source draws requests with known true qualities; the task mix drifts from easy to
 * hard kinds, and the cheap model gets worse at one kind halfway.
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

const COSTS = [1, 4, 15];
const LAST = COSTS.length - 1;
const STEPS = COSTS.map(cost => ({ cost, milliseconds: 1000 }));
const QUALITY_TARGET = 0.95;
const REQUESTS_PER_SECOND = 20;
const RUN_SECONDS = 7200;
const RATED_SHARE = 0.2;
const SCORE_NOISE = 0.15;
const SEGMENT_SECONDS = 600;
const SEEDS_PER_RUN = 3;

interface Kind {
    readonly name: string;
    /** Probability that the answer of each step is adequate. */
    readonly adequate: readonly number[];
    /** The same in the second half of the run. */
    readonly adequateLater?: readonly number[];
    /** Share of the requests at the beginning and at the end. */
    readonly share: readonly [number, number];
}

const KINDS: readonly Kind[] = [
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
    /** True quality of each step's answer, 0 to 1. */
    readonly quality: readonly number[];
    /** Judge's score of each step's answer. */
    readonly scores: readonly number[];
    /** Seconds after which a rating arrives, if any. */
    readonly ratedAfter: number | undefined;
    /** Decides to which side the rating is rounded, 0 to 1. */
    readonly rounding: number;
}

function normal(random: Random): number {
    return Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
}

function limit(value: number): number {
    return Math.min(1, Math.max(0, value));
}

/** Returns a rating of 0, 0.5 or 1 whose mean is the true quality: its standard deviation is about 0.2. */
function rate(quality: number, rounding: number): number {
    return Math.floor(2 * quality + rounding) / 2;
}

function shareAt(kind: Kind, second: number): number {
    return kind.share[0] + (kind.share[1] - kind.share[0]) * (second / RUN_SECONDS);
}

function drawAnswers(kind: Kind, second: number, random: Random): Pick<Request, "quality" | "scores"> {
    const adequate = second < RUN_SECONDS / 2 ? kind.adequate : (kind.adequateLater ?? kind.adequate);
    // One difficulty for all steps: what is hard for a model is hard for a smaller one, too.
    const difficulty = random();
    const quality = adequate.map(share => limit((difficulty < share ? 0.9 : 0.35) + 0.05 * normal(random)));
    return { quality, scores: quality.map(value => limit(value + SCORE_NOISE * normal(random))) };
}

function drawKind(second: number, random: Random): Kind {
    let point = random();
    return KINDS.find(kind => (point -= shareAt(kind, second)) < 0) ?? KINDS[0]!;
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
    readonly quality: number;
}

/** Answers one request and returns what it cost and the true quality of the answer. */
type Router = (request: Request) => Outcome;

function always(step: number): Router {
    return request => ({ cost: COSTS[step]!, quality: request.quality[step]! });
}

function randomMix(random: Random): Router {
    return request => always(Math.floor(random() * COSTS.length))(request);
}

function fixedThreshold(threshold: number): Router {
    return ({ quality, scores }) => {
        const stop = scores.findIndex((score, step) => step === LAST || score >= threshold);
        return {
            cost: COSTS.slice(0, stop + 1).reduce((sum, cost) => sum + cost, 0),
            quality: quality[stop]!,
        };
    };
}

function product(seed: number): Router {
    let now = 0;
    const waiting = new Map<number, { id: string; rating: number }[]>();
    const policy = createCascadePolicy<string>({
        source: "a/1",
        taskKind: kind => kind,
        random: createSeededRandom(seed),
        wallTime: () => now,
    });
    let count = 0;
    const deliverUntil = (second: number): void => {
        for (; now <= second * 1000; now += 1000) {
            const due = waiting.get(now / 1000) ?? [];
            waiting.delete(now / 1000);
            due.forEach(({ id, rating }) => policy.rate(id, rating, now));
        }
    };
    return request => {
        deliverUntil(request.second);
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
                    const rating = rate(quality, request.rounding);
                    waiting.set(second, [...(waiting.get(second) ?? []), { id, rating }]);
                }
                return { cost, quality };
            }
            path = decision.path;
        }
    };
}

/** Answers per kind and segment from which the informed rule knows the true distributions. */
const INFORMED_DRAWS = 5000;

/** Counts all states that a request would pass if it were always escalated, from each step on. */
function trueTotals(second: number, random: Random): readonly (CascadeState & StateCounters)[] {
    const totals = new Map<string, { state: CascadeState; visits: number; ratingSum: number }>();
    for (const kind of KINDS) {
        for (let draw = 0; draw < INFORMED_DRAWS; draw += 1) {
            const { quality, scores } = drawAnswers(kind, second, random);
            const ranges = scores.map((score, step) =>
                step === LAST ? 0 : Math.min(SCORE_RANGES - 1, Math.floor(score * SCORE_RANGES)),
            );
            for (let step = 0; step <= LAST; step += 1) {
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
    const shares = new Map(KINDS.map(kind => [kind.name, shareAt(kind, second)]));
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

/** Knows the true distributions and the mix at each time, but sees only the judge's scores, like the product. */
function informed(random: Random): Router {
    let segment = -1;
    let current: Plan | undefined;
    return request => {
        const at = Math.floor(request.second / SEGMENT_SECONDS);
        if (at !== segment) {
            segment = at;
            const totals = trueTotals(at * SEGMENT_SECONDS + SEGMENT_SECONDS / 2, random);
            current = createPlan(createEstimates(totals, COSTS), QUALITY_TARGET, 0);
        }
        const side = random() < current!.costlierShare ? current!.costlierRule : current!.cheaperRule;
        const rule = side.kinds.get(request.kind)!;
        let cost = 0;
        let from = FROM_START;
        for (let step = rule.start; ; step += 1) {
            cost += COSTS[step]!;
            const range = Math.min(SCORE_RANGES - 1, Math.floor(request.scores[step]! * SCORE_RANGES));
            if (step === LAST || rule.escalate[stateIndex(step, range, from)] !== true) {
                return { cost, quality: request.quality[step]! };
            }
            from = range;
        }
    };
}

/** Knows the true quality of every answer in advance and pays only for the one it chooses. */
function clairvoyant(requests: readonly Request[], wantedMean: number): Router {
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
        if (sum / requests.length >= wantedMean) {
            high = middle;
        }
        else {
            low = middle;
        }
    }
    return request => always(choose(request, high))(request);
}

function run(router: Router, requests: readonly Request[]): Outcome {
    let cost = 0;
    let quality = 0;
    for (const request of requests) {
        const outcome = router(request);
        cost += outcome.cost;
        quality += outcome.quality;
    }
    return { cost: cost / requests.length, quality: quality / requests.length };
}

const FIXED_THRESHOLDS = [0.3, 0.4, 0.5, 0.6, 0.7, 0.8];

/** The cheapest fixed threshold that reaches the target, chosen after the fact. */
function bestFixed(requests: readonly Request[], wanted: number): Outcome {
    const outcomes = FIXED_THRESHOLDS.map(threshold => run(fixedThreshold(threshold), requests));
    const reaching = outcomes.filter(({ quality }) => quality >= wanted);
    return (reaching.length > 0 ? reaching : outcomes).reduce((a, b) => (b.cost < a.cost ? b : a));
}

function runSeed(seed: number): Readonly<Record<string, Outcome>> {
    const random = createSeededRandom(seed);
    const requests = drawRequests(random);
    const largest = run(always(LAST), requests);
    const wanted = QUALITY_TARGET * largest.quality;
    return {
        product: run(product(seed), requests),
        alwaysLargest: largest,
        alwaysCheapest: run(always(0), requests),
        randomMix: run(randomMix(random), requests),
        fixedThresholdHalf: run(fixedThreshold(0.5), requests),
        fixedThresholdBestInHindsight: bestFixed(requests, wanted),
        oracleOfDistributions: run(informed(random), requests),
        oracleOfAnswers: run(clairvoyant(requests, wanted), requests),
    };
}

/** @param sorted In rising order. */
function median(sorted: readonly number[]): number {
    return sorted[Math.floor(sorted.length / 2)]!;
}

export const cost: Scenario = {
    name: "cost",
    description:
        "cost at the quality target against always-largest, always-cheapest, a random mix, fixed thresholds and oracles, with drift",
    runs: "decision code",
    run: ({ random, long, progress }) => {
        // The first number of a small seed is always near 1.
        random();
        const seeds = Array.from({ length: long ? 10 * SEEDS_PER_RUN : SEEDS_PER_RUN }, () =>
            Math.floor(random() * 2 ** 31),
        );
        const results = seeds.map(seed => {
            progress(`seed ${seed}`);
            return runSeed(seed);
        });
        const figuresOf = (name: string): Figures => {
            const ratio = (pick: (result: Readonly<Record<string, Outcome>>) => number): number[] =>
                results.map(pick).sort((a, b) => a - b);
            const costs = ratio(result => result[name]!.cost / result.alwaysLargest!.cost);
            const qualities = ratio(result => result[name]!.quality / result.alwaysLargest!.quality);
            const toDistributions = ratio(result => result[name]!.cost / result.oracleOfDistributions!.cost);
            const toAnswers = ratio(result => result[name]!.cost / result.oracleOfAnswers!.cost);
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
