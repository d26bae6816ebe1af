/**
 * Assesses a version by its evidence: withdraw it, hold its share, or advance to a larger share.
 *
 * The tests cover ratings, errors and latency; overall and per workspace; over the whole run and over a
 * recent window, because a regression may start late. In the window, the version is compared with the
 * baseline and also with its own earlier evidence, because the baseline gives few or no answers at the full
 * share. The error probability is divided among all tests.
 */
import { NO_COUNTERS, addCounters } from "./counters.js";
import type { Counters } from "./counters.js";
import type { EvidenceStratum } from "./evidence.js";
import type { RecentEvidence } from "./recent-evidence.js";
import type { RolloutPolicy, Margins } from "./policy.js";
import {
    confidenceRadius,
    estimateDifference,
    logRatioOfErrors,
    logRatioOfErrorsToEarlier,
    logRatioOfLoss,
    upperErrorRate,
} from "./sequential-test.js";
import type { MeanMetric, Stratum } from "./sequential-test.js";

const METRICS = ["ratings", "errors", "latency"] as const;

export type Metric = (typeof METRICS)[number];

/** Result of one test. */
export interface Finding {
    readonly metric: Metric;
    /** `undefined` for all workspaces together. */
    readonly workspace: string | undefined;
    /** Whether the test covers only the recent window. */
    readonly isRecent: boolean;
    /** Logarithm of the likelihood ratio against the version. */
    readonly logRatio: number;
    /** Value of `logRatio` from which the version is withdrawn. */
    readonly threshold: number;
}

export interface Assessment {
    /** Set when a test shows a regression. */
    readonly withdraw: Finding | undefined;
    /** The finding closest to its threshold or furthest above it. */
    readonly strongest: Finding | undefined;
    /** Whether there is enough evidence against the version to hold its share. */
    readonly isSuspect: boolean;
    /** Whether the evidence excludes a loss above the budget at the next share. */
    readonly advance: boolean;
    /** Why the version may not get the next share, for the operators. */
    readonly holdReason: string | undefined;
}

/** Rating loss beyond the margin to which the test is most sensitive. */
const RATING_SCALE = 0.1;

/** Difference of mean log latencies beyond the margin to which the test is most sensitive. */
const LOG_LATENCY_SCALE = 0.3;

/** How the version's evidence is compared with a reference. */
interface Comparison {
    pairs(group: readonly EvidenceStratum[]): readonly Stratum[];
    readonly errorTest: (pairs: readonly Stratum[], marginRatio: number) => number;
    readonly margins: Margins;
}

function lossLogRatio(
    pairs: readonly Stratum[],
    metric: MeanMetric,
    loss: { readonly sign: 1 | -1; readonly margin: number; readonly scale: number },
    minimum: number,
): number {
    const estimate = estimateDifference(pairs, metric);
    if (estimate === undefined || estimate.versionCount < minimum || estimate.referenceCount < minimum) {
        return 0;
    }
    return logRatioOfLoss(loss.sign * estimate.difference - loss.margin, estimate.variance, loss.scale);
}

function testMetric(
    metric: Metric,
    pairs: readonly Stratum[],
    comparison: Comparison,
    policy: RolloutPolicy,
): number {
    const { margins } = comparison;
    switch (metric) {
        case "ratings": {
            const loss = { sign: -1, margin: margins.rating, scale: RATING_SCALE } as const;
            return lossLogRatio(pairs, "ratings", loss, policy.minimumRatings);
        }
        case "latency": {
            const loss = { sign: 1, margin: margins.logLatency, scale: LOG_LATENCY_SCALE } as const;
            return lossLogRatio(pairs, "logLatency", loss, policy.minimumRatings);
        }
        case "errors":
            return comparison.errorTest(pairs, margins.errorRatio);
    }
}

function byWorkspace(strata: readonly EvidenceStratum[]): ReadonlyMap<string, readonly EvidenceStratum[]> {
    const groups = new Map<string, EvidenceStratum[]>();
    for (const stratum of strata) {
        const group = groups.get(stratum.workspace);
        if (group === undefined) {
            groups.set(stratum.workspace, [stratum]);
        }
        else {
            group.push(stratum);
        }
    }
    return groups;
}

function versionTotal(strata: readonly EvidenceStratum[]): Counters {
    return strata.reduce((sum, stratum) => addCounters(sum, stratum.version), NO_COUNTERS);
}

/** Compares the version with the baseline in the same strata. */
function againstBaseline(policy: RolloutPolicy): Comparison {
    return { pairs: group => group, errorTest: logRatioOfErrors, margins: policy.margins };
}

/** Compares the version with its own evidence in `earlier`, by workspace. */
function againstEarlierEvidence(earlier: readonly EvidenceStratum[], policy: RolloutPolicy): Comparison {
    const record = new Map([...byWorkspace(earlier)].map(([name, group]) => [name, versionTotal(group)]));
    return {
        pairs: recent =>
            [...byWorkspace(recent)].map(([workspace, group]) => ({
                version: versionTotal(group),
                reference: record.get(workspace) ?? NO_COUNTERS,
            })),
        errorTest: logRatioOfErrorsToEarlier,
        margins: policy.earlierEvidenceMargins,
    };
}

/** Tests `strata` and returns the finding closest to its threshold. Divides `alpha` among the tests. */
function closestToThreshold(
    strata: readonly EvidenceStratum[],
    alpha: number,
    isRecent: boolean,
    comparison: Comparison,
    policy: RolloutPolicy,
): Finding | undefined {
    const workspaces = byWorkspace(strata);
    const isDivided = workspaces.size > 1;
    let closest: Finding | undefined;
    const test = (group: readonly EvidenceStratum[], workspace: string | undefined, share: number): void => {
        const pairs = comparison.pairs(group);
        const threshold = -Math.log((alpha * share) / METRICS.length);
        for (const metric of METRICS) {
            const logRatio = testMetric(metric, pairs, comparison, policy);
            closest = closerToThreshold(closest, { metric, workspace, isRecent, logRatio, threshold });
        }
    };
    test(strata, undefined, isDivided ? 0.5 : 1);
    if (isDivided) {
        workspaces.forEach((group, workspace) => test(group, workspace, 0.5 / workspaces.size));
    }
    return closest;
}

function closerToThreshold(a: Finding | undefined, b: Finding | undefined): Finding | undefined {
    if (a === undefined || b === undefined) {
        return a ?? b;
    }
    return b.logRatio - b.threshold > a.logRatio - a.threshold ? b : a;
}

/** Runs all tests and returns the finding closest to its threshold. */
export function strongestFinding(
    strata: readonly EvidenceStratum[],
    recent: RecentEvidence | undefined,
    alpha: number,
    policy: RolloutPolicy,
): Finding | undefined {
    const whole = closestToThreshold(strata, alpha / 2, false, againstBaseline(policy), policy);
    if (recent === undefined) {
        return whole;
    }
    // Each window is a further test. The factors of all windows sum to 1.
    const recentAlpha = (alpha / 4) * (6 / (Math.PI * recent.index) ** 2);
    return [againstBaseline(policy), againstEarlierEvidence(recent.earlier, policy)].reduce(
        (closest, comparison) =>
            closerToThreshold(
                closest,
                closestToThreshold(recent.strata, recentAlpha, true, comparison, policy),
            ),
        whole,
    );
}

function upperLossBound(
    strata: readonly Stratum[],
    metric: MeanMetric,
    sign: 1 | -1,
    scale: number,
    policy: RolloutPolicy,
): number {
    const estimate = estimateDifference(strata, metric);
    if (estimate === undefined || estimate.versionCount < policy.minimumRatings) {
        return Infinity;
    }
    return sign * estimate.difference + confidenceRadius(estimate.variance, scale, policy.advanceAlpha);
}

function upperErrorExcessBound(strata: readonly EvidenceStratum[]): number {
    const baseline = strata.reduce((sum, stratum) => addCounters(sum, stratum.reference), NO_COUNTERS);
    return upperErrorRate(versionTotal(strata)) - baseline.errors / Math.max(1, baseline.answers);
}

/** Returns why the evidence does not permit `nextShare`; `undefined` when it does. */
function findHoldReason(
    strata: readonly EvidenceStratum[],
    firstPeriodOfStep: number,
    nextShare: number,
    policy: RolloutPolicy,
): string | undefined {
    const stepTotal = versionTotal(strata.filter(({ period }) => period >= firstPeriodOfStep));
    if (stepTotal.answers < policy.minimumAnswers) {
        return `${stepTotal.answers} of ${policy.minimumAnswers} answers at this step`;
    }
    if (stepTotal.ratings.count < policy.minimumRatings) {
        return `${stepTotal.ratings.count} of ${policy.minimumRatings} ratings at this step`;
    }
    const budget = policy.lossBudget;
    if (nextShare * upperLossBound(strata, "ratings", -1, RATING_SCALE, policy) > budget.rating) {
        return "the ratings do not exclude a loss yet";
    }
    if (nextShare * upperErrorExcessBound(strata) > budget.error) {
        return "the errors do not exclude a loss yet";
    }
    const hasLatency = strata.some(({ version }) => version.logLatency.count > 0);
    const latencyLoss = hasLatency ? upperLossBound(strata, "logLatency", 1, LOG_LATENCY_SCALE, policy) : 0;
    if (nextShare * latencyLoss > budget.logLatency) {
        return "the latencies do not exclude a loss yet";
    }
    return undefined;
}

/**
 * Assesses a version.
 *
 * @param strata Evidence of the run.
 * @param recent Evidence of the recent window, if there is one.
 * @param firstPeriodOfStep First period of the current step.
 * @param nextShare Share that the version would get at the next step.
 */
export function assess(
    strata: readonly EvidenceStratum[],
    recent: RecentEvidence | undefined,
    firstPeriodOfStep: number,
    nextShare: number,
    policy: RolloutPolicy,
): Assessment {
    const strongest = strongestFinding(strata, recent, policy.withdrawAlpha, policy);
    const mustWithdraw = strongest !== undefined && strongest.logRatio >= strongest.threshold;
    const isSuspect = strongest !== undefined && strongest.logRatio >= Math.log(policy.holdLikelihoodRatio);
    const holdReason = isSuspect
        ? `${strongest.metric} look worse${strongest.workspace === undefined ? "" : ` for ${strongest.workspace}`}`
        : findHoldReason(strata, firstPeriodOfStep, nextShare, policy);
    return {
        withdraw: mustWithdraw ? strongest : undefined,
        strongest,
        isSuspect,
        advance: !mustWithdraw && holdReason === undefined,
        holdReason,
    };
}

/** Describes a finding in a sentence for operators and logs. */
export function describeFinding(finding: Finding): string {
    const where = finding.workspace === undefined ? "overall" : `for workspace ${finding.workspace}`;
    const when = finding.isRecent ? " recently" : "";
    return `${finding.metric} are worse ${where}${when}`;
}
