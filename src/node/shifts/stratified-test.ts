/**
 * Cochran-Mantel-Haenszel test of two proportions over strata with different rates. Has more power over many
 * small strata than the sequential test, but holds for a single look at the counts.
 */
import type { ProportionCounts } from "./proportion-test.js";

/** Correction for the approximation of a discrete distribution by a continuous one. */
const CONTINUITY_CORRECTION = 0.5;

/**
 * Returns by how many standard deviations the failures exceed those expected at the rates of the reference. 0
 * when no stratum tells anything.
 */
export function excessFailures(strata: readonly ProportionCounts[]): number {
    let excess = -CONTINUITY_CORRECTION;
    let variance = 0;
    for (const { failures, answers, referenceFailures, referenceAnswers } of strata) {
        const total = answers + referenceAnswers;
        const allFailures = failures + referenceFailures;
        if (answers === 0 || referenceAnswers === 0 || total < 2) {
            continue;
        }
        excess += failures - (answers * allFailures) / total;
        variance +=
            (answers * referenceAnswers * allFailures * (total - allFailures)) / (total ** 2 * (total - 1));
    }
    return variance === 0 ? 0 : excess / Math.sqrt(variance);
}
