/** Estimates ratings, probabilities of score ranges, and costs of a workspace's cascade by task kind. */
import { FROM_START, PRIOR_RATINGS, SCORE_RANGES } from "./constants.js";
import { NO_STATE_COUNTERS, addScaled } from "./statistics.js";
import type { CascadeState, StateCounters } from "./statistics.js";

/** Estimates of one task kind. Arrays by state are indexed by `stateIndex`. */
export interface KindEstimates {
    /** Share of the requests that are of this kind. */
    readonly weight: number;
    /** Expected rating of an answer that is delivered in a state, by state. */
    readonly rating: readonly number[];
    /** Probability of the state's score range, given its `step` and `from`, by state. */
    readonly probability: readonly number[];
    /** Weighted number of ratings of answers that were delivered in a state, by state. */
    readonly ratingCounts: readonly number[];
    /** Expected cost of an answer, by step. */
    readonly cost: readonly number[];
}

export interface Estimates {
    readonly steps: number;
    readonly kinds: ReadonlyMap<string, KindEstimates>;
}

/** Prior of the last step's rating, for the time before any statistics. */
const PRIOR_LAST_STEP_RATING = 0.85;

/** Weight of the prior, in visits, when the probability of a score range is estimated. */
const PRIOR_VISITS = 4;

/** Index of a state in the arrays of a task kind. */
export function stateIndex(step: number, range: number, from: number): number {
    return (step * SCORE_RANGES + range) * (FROM_START + 1) + from;
}

/** The last step is not judged, so it has a single range. */
export function scoreRangeCount(step: number, steps: number): number {
    return step === steps - 1 ? 1 : SCORE_RANGES;
}

class CounterSums {
    private readonly sums = new Map<string, StateCounters>();

    add(key: string, counters: StateCounters): void {
        this.sums.set(key, addScaled(this.get(key), counters, 1));
    }

    get(key: string): StateCounters {
        return this.sums.get(key) ?? NO_STATE_COUNTERS;
    }
}

/**
 * Estimates from counters that are weighted by age. Each estimate is the mean of a Beta distribution whose
 * prior is the estimate of a wider group: a state with few ratings relies on the same state of all kinds, and
 * that on the judge's score.
 *
 * @param costs Prior of the cost of each step.
 */
export function createEstimates(
    totals: readonly (CascadeState & StateCounters)[],
    costs: readonly number[],
): Estimates {
    const sums = new CounterSums();
    const steps = costs.length;
    const weights = new Map<string, number>();
    for (const cell of totals) {
        const { kind, step, range, from } = cell;
        sums.add(`${kind}|${step}|${range}|${from}`, cell);
        sums.add(`${kind}|${step}|${range}`, cell);
        sums.add(`${kind}|${step}||${from}`, cell);
        sums.add(`${kind}|${step}`, cell);
        sums.add(`|${step}|${range}|${from}`, cell);
        sums.add(`|${step}|${range}`, cell);
        if (from === FROM_START) {
            weights.set(kind, (weights.get(kind) ?? 0) + cell.visits);
        }
    }
    const total = [...weights.values()].reduce((sum, value) => sum + value, 0);

    const meanRating = (key: string, prior: number): number => {
        const { ratings, ratingSum } = sums.get(key);
        return (ratingSum + PRIOR_RATINGS * prior) / (ratings + PRIOR_RATINGS);
    };
    const visitShare = (subset: StateCounters, whole: StateCounters, prior: number): number =>
        (subset.visits + PRIOR_VISITS * prior) / (whole.visits + PRIOR_VISITS);

    const ratingAt = (kind: string, step: number, range: number, from: number): number => {
        const score = step === steps - 1 ? PRIOR_LAST_STEP_RATING : (range + 0.5) / SCORE_RANGES;
        const overall = meanRating(`|${step}|${range}`, score);
        const overallFrom = meanRating(`|${step}|${range}|${from}`, overall);
        // The last step is not judged, so only requests with the same previous score range are comparable.
        const wider = step === steps - 1 ? overallFrom : meanRating(`${kind}|${step}|${range}`, overallFrom);
        return meanRating(`${kind}|${step}|${range}|${from}`, wider);
    };

    const probabilityAt = (kind: string, step: number, range: number, from: number): number => {
        const uniform = 1 / scoreRangeCount(step, steps);
        const ofKind = visitShare(sums.get(`${kind}|${step}|${range}`), sums.get(`${kind}|${step}`), uniform);
        return visitShare(
            sums.get(`${kind}|${step}|${range}|${from}`),
            sums.get(`${kind}|${step}||${from}`),
            ofKind,
        );
    };

    const estimateKind = (kind: string): KindEstimates => {
        const rating: number[] = [];
        const probability: number[] = [];
        const ratingCounts: number[] = [];
        for (let step = 0; step < steps; step += 1) {
            for (let range = 0; range < scoreRangeCount(step, steps); range += 1) {
                for (let from = 0; from <= FROM_START; from += 1) {
                    const index = stateIndex(step, range, from);
                    rating[index] = ratingAt(kind, step, range, from);
                    probability[index] = probabilityAt(kind, step, range, from);
                    ratingCounts[index] = sums.get(`${kind}|${step}|${range}|${from}`).ratings;
                }
            }
        }
        const cost = costs.map((prior, step) => {
            const sum = sums.get(`${kind}|${step}`);
            return (sum.cost + prior) / (sum.visits + 1);
        });
        const weight = (weights.get(kind) ?? 0) / Math.max(total, Number.MIN_VALUE);
        return { weight, rating, probability, ratingCounts, cost };
    };

    return { steps, kinds: new Map([...weights.keys()].map(kind => [kind, estimateKind(kind)])) };
}
