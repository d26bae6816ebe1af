/**
 * Sequential tests of a version against a reference, valid at any stopping time.
 *
 * Each test returns the logarithm of a mixture likelihood ratio against the null hypothesis "not worse than
 * the reference by more than the margin". Under the null hypothesis, the probability that the ratio ever
 * exceeds 1/alpha is at most alpha (Ville's inequality). The test of means uses estimated variances and is
 * valid asymptotically. The test of errors is conditional on the number of errors and needs no estimate of
 * the error rate.
 */
import type { Counters, Moments } from "./counters.js";

/** A group of answers in which version and reference are comparable: one workspace in one period. */
export interface Stratum {
    readonly version: Counters;
    readonly reference: Counters;
}

export type MeanMetric = "ratings" | "logLatency";

/** Estimate of a difference, version minus reference, with its variance. */
export interface DifferenceEstimate {
    readonly difference: number;
    readonly variance: number;
    readonly versionCount: number;
    readonly referenceCount: number;
}

/** Minimum variance of a single value. The estimate from a few equal ratings would be 0. */
const VARIANCE_FLOOR = 0.01;

/** Variance of a single value when there are too few values for an estimate. */
const UNKNOWN_VARIANCE = 0.25;

/**
 * Alternative hypotheses of the tests of errors, weighted equally: ratios of the error rates, as multiples of
 * `marginRatio`.
 */
const ERROR_RATIOS = [1.5, 2, 4, 8, 16, 64];

/** Pooled variance within strata. */
class PooledVariance {
    private squaredDeviations = 0;
    private degreesOfFreedom = 0;

    add({ count, sum, sumOfSquares }: Moments): void {
        this.squaredDeviations += Math.max(0, sumOfSquares - (sum * sum) / count);
        this.degreesOfFreedom += count - 1;
    }

    value(): number {
        return Math.max(
            VARIANCE_FLOOR,
            this.degreesOfFreedom === 0 ? UNKNOWN_VARIANCE : this.squaredDeviations / this.degreesOfFreedom,
        );
    }
}

/** Estimates the difference of means within strata, so that a changing mix of strata causes no bias. */
export function estimateDifference(
    strata: readonly Stratum[],
    metric: MeanMetric,
): DifferenceEstimate | undefined {
    const versionVariance = new PooledVariance();
    const referenceVariance = new PooledVariance();
    let weights = 0;
    let weightedDifference = 0;
    let versionWeight = 0;
    let referenceWeight = 0;
    let versionCount = 0;
    let referenceCount = 0;
    for (const stratum of strata) {
        const version = stratum.version[metric];
        const reference = stratum.reference[metric];
        if (version.count === 0 || reference.count === 0) {
            continue;
        }
        const weight = (version.count * reference.count) / (version.count + reference.count);
        weights += weight;
        weightedDifference += weight * (version.sum / version.count - reference.sum / reference.count);
        versionVariance.add(version);
        referenceVariance.add(reference);
        versionWeight += weight ** 2 / version.count;
        referenceWeight += weight ** 2 / reference.count;
        versionCount += version.count;
        referenceCount += reference.count;
    }
    if (weights === 0) {
        return undefined;
    }
    const variance = versionWeight * versionVariance.value() + referenceWeight * referenceVariance.value();
    return {
        difference: weightedDifference / weights,
        variance: variance / weights ** 2,
        versionCount,
        referenceCount,
    };
}

/**
 * Returns the logarithm of the likelihood ratio for "worse by more than the margin", averaged over a normal
 * distribution of losses (a normal mixture).
 *
 * @param loss Estimated loss beyond the margin; positive is worse.
 * @param scale Standard deviation of the mixture: the loss to which the test is most sensitive.
 */
export function logRatioOfLoss(loss: number, variance: number, scale: number): number {
    if (loss <= 0) {
        return 0;
    }
    const priorVariance = scale * scale;
    const total = variance + priorVariance;
    return 0.5 * Math.log(variance / total) + (priorVariance * loss * loss) / (2 * variance * total);
}

/** Half-width of the confidence sequence of a mean that corresponds to `logRatioOfLoss`. */
export function confidenceRadius(variance: number, scale: number, alpha: number): number {
    const priorVariance = scale * scale;
    const total = variance + priorVariance;
    return Math.sqrt(((variance * total) / priorVariance) * Math.log(total / (variance * alpha * alpha)));
}

/** Logarithm of the mean of exponentials. */
export function logMeanExp(logs: readonly number[]): number {
    const largest = Math.max(...logs);
    const sum = logs.reduce((total, log) => total + Math.exp(log - largest), 0);
    return largest + Math.log(sum / logs.length);
}

/**
 * Returns the logarithm of the likelihood ratio for "the error rate is more than `marginRatio` times that of
 * the reference", within strata in which both ran at the same time. For each error, the probability that it
 * occurred in an answer of the version and not of the reference depends only on the traffic split and the
 * ratio of the rates.
 */
export function logRatioOfErrors(strata: readonly Stratum[], marginRatio: number): number {
    const usable = strata.filter(
        ({ version, reference }) =>
            version.answers > 0 && reference.answers > 0 && version.errors + reference.errors > 0,
    );
    return logMeanExp(
        ERROR_RATIOS.map(factor =>
            usable.reduce((total, { version, reference }) => {
                const errors = version.errors + reference.errors;
                // Expected errors under the null hypothesis and under the alternative, in units of the
                // reference's error rate.
                const atNull = marginRatio * version.answers + reference.answers;
                const atFactor = factor * marginRatio * version.answers + reference.answers;
                return total + version.errors * Math.log(factor) - errors * Math.log(atFactor / atNull);
            }, 0),
        ),
    );
}

/** Upper bound of an error rate: two standard deviations above the estimate. */
export function upperErrorRate({ answers, errors }: Pick<Counters, "answers" | "errors">): number {
    return Math.min(1, (errors + 1 + 2 * Math.sqrt(errors + 1)) / Math.max(1, answers));
}

/** Like `logRatioOfErrors`, for a reference that was recorded earlier. */
export function logRatioOfErrorsToEarlier(strata: readonly Stratum[], marginRatio: number): number {
    const usable = strata.filter(({ version, reference }) => version.answers > 0 && reference.answers > 0);
    return logMeanExp(
        ERROR_RATIOS.map(factor =>
            usable.reduce((total, { version, reference }) => {
                const expected = marginRatio * upperErrorRate(reference) * version.answers;
                return total + version.errors * Math.log(factor) - (factor - 1) * expected;
            }, 0),
        ),
    );
}
