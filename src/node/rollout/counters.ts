/** Cumulative counters of answers. Every field only grows, so two states of one source merge by maximum. */

/** Moments of a non-negative quantity. */
export interface Moments {
    readonly count: number;
    readonly sum: number;
    readonly sumOfSquares: number;
}

export interface Counters {
    readonly answers: number;
    readonly errors: number;
    /** Ratings, 0 to 1. */
    readonly ratings: Moments;
    /** Logarithm of 1 plus the latency in milliseconds. */
    readonly logLatency: Moments;
}

export const NO_MOMENTS: Moments = { count: 0, sum: 0, sumOfSquares: 0 };
export const NO_COUNTERS: Counters = { answers: 0, errors: 0, ratings: NO_MOMENTS, logLatency: NO_MOMENTS };

type Combine = (a: number, b: number) => number;

function combineMoments(a: Moments, b: Moments, combine: Combine): Moments {
    return {
        count: combine(a.count, b.count),
        sum: combine(a.sum, b.sum),
        sumOfSquares: combine(a.sumOfSquares, b.sumOfSquares),
    };
}

function combineCounters(a: Counters, b: Counters, combine: Combine): Counters {
    return {
        answers: combine(a.answers, b.answers),
        errors: combine(a.errors, b.errors),
        ratings: combineMoments(a.ratings, b.ratings, combine),
        logLatency: combineMoments(a.logLatency, b.logLatency, combine),
    };
}

/** Merges two states of the same source's counters. */
export function mergeCounters(a: Counters, b: Counters): Counters {
    return combineCounters(a, b, Math.max);
}

/** Adds the counters of different sources or strata. */
export function addCounters(a: Counters, b: Counters): Counters {
    return combineCounters(a, b, (x, y) => x + y);
}

export function subtractCounters(a: Counters, b: Counters): Counters {
    return combineCounters(a, b, (x, y) => x - y);
}

export function isZero({ answers, errors, ratings, logLatency }: Counters): boolean {
    const moments = [ratings, logLatency].flatMap(({ count, sum, sumOfSquares }) => [
        count,
        sum,
        sumOfSquares,
    ]);
    return [answers, errors, ...moments].every(value => value === 0);
}

function addValue(moments: Moments, value: number): Moments {
    return {
        count: moments.count + 1,
        sum: moments.sum + value,
        sumOfSquares: moments.sumOfSquares + value * value,
    };
}

/** @param latencyMilliseconds `undefined` when the answer failed before its latency was known. */
export function countAnswer(
    counters: Counters,
    succeeded: boolean,
    latencyMilliseconds: number | undefined,
): Counters {
    return {
        ...counters,
        answers: counters.answers + 1,
        errors: counters.errors + (succeeded ? 0 : 1),
        logLatency:
            latencyMilliseconds === undefined
                ? counters.logLatency
                : addValue(counters.logLatency, Math.log1p(Math.max(0, latencyMilliseconds))),
    };
}

/** @param rating Clamped to 0 to 1. */
export function countRating(counters: Counters, rating: number): Counters {
    return { ...counters, ratings: addValue(counters.ratings, Math.min(1, Math.max(0, rating))) };
}
