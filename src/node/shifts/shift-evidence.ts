/** Counts the answers of a service's new and old version, and tests the new version for regressions. */
import type { AttemptTiming } from "../forwarding/attempt.js";
import { addCounters, countAnswer, NO_COUNTERS } from "../rollout/counters.js";
import type { Counters } from "../rollout/counters.js";
import { estimateDifference, logRatioOfErrors, logRatioOfLoss } from "../rollout/sequential-test.js";
import type { Stratum } from "../rollout/sequential-test.js";

/** Counters of one stratum. A stratum groups comparable answers: one route and one model. */
export interface StratumCounters {
    /** New version. */
    readonly version: Counters;
    /** Old version. */
    readonly reference: Counters;
}

export type EvidenceTable = Readonly<Record<string, StratumCounters>>;

/** Multiple of the old version's error rate up to which an error rate is not a regression. */
const ERROR_MARGIN_RATIO = 1.6;

/** Slowdown, as a difference of logarithms, up to which a latency is not a regression. */
const LATENCY_MARGIN = Math.log(1.5);

/** Slowdown beyond the margin to which the test is most sensitive, as a difference of logarithms. */
const LATENCY_SCALE = Math.log(3);

/**
 * Logarithm of the likelihood ratio that shows a regression: one false alarm in 1,000 shifts with one table.
 */
const ALARM_LOG_RATIO = Math.log(1000);

/** Errors of the new version below which its error rate is not tested. */
const MINIMUM_ERRORS = 3;

const NO_STRATUM: StratumCounters = { version: NO_COUNTERS, reference: NO_COUNTERS };

/** Suffix of strata that count the pace of streams; the others count the time to the response head. */
const PACE_SUFFIX = "\u0000pace";

function countInStratum(
    table: EvidenceTable,
    stratum: string,
    isNew: boolean,
    succeeded: boolean,
    milliseconds: number | undefined,
): EvidenceTable {
    const counters = table[stratum] ?? NO_STRATUM;
    const arm = isNew ? "version" : "reference";
    return {
        ...table,
        [stratum]: { ...counters, [arm]: countAnswer(counters[arm], succeeded, milliseconds) },
    };
}

export function countEvidence(
    table: EvidenceTable,
    stratum: string,
    isNew: boolean,
    succeeded: boolean,
    { headMilliseconds, paceMilliseconds }: AttemptTiming,
): EvidenceTable {
    const counted = countInStratum(table, stratum, isNew, succeeded, headMilliseconds);
    return paceMilliseconds === undefined
        ? counted
        : countInStratum(counted, stratum + PACE_SUFFIX, isNew, true, paceMilliseconds);
}

export function mergeEvidence(tables: readonly EvidenceTable[]): EvidenceTable {
    const merged: Record<string, StratumCounters> = {};
    for (const table of tables) {
        for (const [stratum, counters] of Object.entries(table)) {
            const known = merged[stratum] ?? NO_STRATUM;
            merged[stratum] = {
                version: addCounters(known.version, counters.version),
                reference: addCounters(known.reference, counters.reference),
            };
        }
    }
    return merged;
}

/** Answers, errors, and the count, sum and sum of squares of the logarithmic latencies. */
type WireCounters = readonly [number, number, number, number, number];

/** Evidence as stored in a node's row: counters of the new and the old version, by stratum. */
export type WireEvidence = Readonly<Record<string, readonly [WireCounters, WireCounters]>>;

/** Decimals of stored sums. The rounding error is far below the variance of a single latency. */
const WIRE_DECIMALS = 4;

function encodeCounters({ answers, errors, logLatency }: Counters): WireCounters {
    const round = (value: number): number => Number(value.toFixed(WIRE_DECIMALS));
    return [answers, errors, logLatency.count, round(logLatency.sum), round(logLatency.sumOfSquares)];
}

function decodeCounters([answers, errors, count, sum, sumOfSquares]: WireCounters): Counters {
    return { ...NO_COUNTERS, answers, errors, logLatency: { count, sum, sumOfSquares } };
}

export function encodeEvidence(table: EvidenceTable): WireEvidence {
    return Object.fromEntries(
        Object.entries(table).map(([stratum, { version, reference }]) => [
            stratum,
            [encodeCounters(version), encodeCounters(reference)] as const,
        ]),
    );
}

export function decodeEvidence(wire: WireEvidence): EvidenceTable {
    return Object.fromEntries(
        Object.entries(wire).map(([stratum, [version, reference]]) => [
            stratum,
            { version: decodeCounters(version), reference: decodeCounters(reference) },
        ]),
    );
}

export interface EvidenceAssessment {
    readonly isRegression: boolean;
    readonly answers: number;
    readonly errors: number;
    /** Answers of the old version. */
    readonly referenceAnswers: number;
    /** Errors of the old version. */
    readonly referenceErrors: number;
    /** Logarithm of the likelihood ratio of the error test. */
    readonly errorLogRatio: number;
    /** Logarithm of the likelihood ratio of the latency tests: the larger of head and pace. */
    readonly latencyLogRatio: number;
}

function latencyLogRatioOf(strata: readonly Stratum[]): number {
    const latency = estimateDifference(strata, "logLatency");
    return latency === undefined
        ? 0
        : logRatioOfLoss(latency.difference - LATENCY_MARGIN, latency.variance, LATENCY_SCALE);
}

/**
 * @param tables Number of tables tested in parallel. Raises the threshold, as each could raise a false alarm.
 */
export function assessEvidence(table: EvidenceTable, tables = 1): EvidenceAssessment {
    const entries = Object.entries(table);
    const headStrata = entries.filter(([key]) => !key.endsWith(PACE_SUFFIX)).map(([, stratum]) => stratum);
    const paceStrata = entries.filter(([key]) => key.endsWith(PACE_SUFFIX)).map(([, stratum]) => stratum);
    const total = headStrata.reduce((sum, { version }) => addCounters(sum, version), NO_COUNTERS);
    const referenceTotal = headStrata.reduce(
        (sum, { reference }) => addCounters(sum, reference),
        NO_COUNTERS,
    );
    const alarmLogRatio = ALARM_LOG_RATIO + Math.log(tables);
    const errorLogRatio = logRatioOfErrors(headStrata, ERROR_MARGIN_RATIO);
    const latencyLogRatio = Math.max(latencyLogRatioOf(headStrata), latencyLogRatioOf(paceStrata));
    const hasErrorRegression = total.errors >= MINIMUM_ERRORS && errorLogRatio >= alarmLogRatio;
    return {
        isRegression: hasErrorRegression || latencyLogRatio >= alarmLogRatio,
        answers: total.answers,
        errors: total.errors,
        referenceAnswers: referenceTotal.answers,
        referenceErrors: referenceTotal.errors,
        errorLogRatio,
        latencyLogRatio,
    };
}
