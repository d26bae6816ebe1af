/** Counts answers of the new and the old version of a service and tests whether the new one is worse. */
import type { AttemptTiming } from "../forwarding/attempt.js";
import { addCounters, countAnswer, NO_COUNTERS } from "../rollout/counters.js";
import type { Counters } from "../rollout/counters.js";
import { estimateDifference, logRatioOfErrors, logRatioOfLoss } from "../rollout/sequential-test.js";
import type { Stratum } from "../rollout/sequential-test.js";

/** Counters of one stratum: a route and a model. */
export interface StratumCounters {
    readonly version: Counters;
    readonly reference: Counters;
}

export type EvidenceTable = Readonly<Record<string, StratumCounters>>;

/** Error rates of the new version up to this multiple of the old one's are not a reason to go back. */
const ERROR_SLACK_RATIO = 1.6;

/** Slow-down, as a difference of logarithms, that is not a reason to go back. */
const LATENCY_SLACK = Math.log(1.5);

/** Slow-down for which the test is most sensitive, as a difference of logarithms. */
const LATENCY_SCALE = Math.log(3);

/**
 * Logarithm of the likelihood ratio at which the version counts as bad: one wrong alarm in 1,000 shifts, when one
 * table is tested.
 */
const ALARM_LOG_RATIO = Math.log(1000);

/** Errors of the new version below which it is not called bad. */
const LEAST_ERRORS = 3;

const NO_STRATUM: StratumCounters = { version: NO_COUNTERS, reference: NO_COUNTERS };

/** Marks the strata that hold the pace of streams in place of the time to their head. */
const PACE_SUFFIX = "\u0000pace";

function countIn(
    table: EvidenceTable,
    stratum: string,
    isNew: boolean,
    succeeded: boolean,
    milliseconds: number | undefined,
): EvidenceTable {
    const counters = table[stratum] ?? NO_STRATUM;
    const side = isNew ? "version" : "reference";
    return {
        ...table,
        [stratum]: { ...counters, [side]: countAnswer(counters[side], succeeded, milliseconds) },
    };
}

export function countEvidence(
    table: EvidenceTable,
    stratum: string,
    isNew: boolean,
    succeeded: boolean,
    { headMilliseconds, paceMilliseconds }: AttemptTiming,
): EvidenceTable {
    const counted = countIn(table, stratum, isNew, succeeded, headMilliseconds);
    return paceMilliseconds === undefined
        ? counted
        : countIn(counted, stratum + PACE_SUFFIX, isNew, true, paceMilliseconds);
}

/** Adds the evidence of several nodes. */
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

/** Answers, errors, and count, sum and sum of squares of the logarithms of the latency. */
type WireCounters = readonly [number, number, number, number, number];

/** Counters of the new and the old version by stratum. A deployment holds one such row for each node. */
export type WireEvidence = Readonly<Record<string, readonly [WireCounters, WireCounters]>>;

/** Decimals of a sum in a row. Far finer than the variance of a single latency. */
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
    readonly isBad: boolean;
    readonly answers: number;
    readonly errors: number;
    /** Answers of the old version. */
    readonly referenceAnswers: number;
    /** Logarithms of the likelihood ratios of the two tests. */
    readonly errorLogRatio: number;
    readonly latencyLogRatio: number;
}

function latencyLogRatioOf(strata: readonly Stratum[]): number {
    const latency = estimateDifference(strata, "logLatency");
    return latency === undefined
        ? 0
        : logRatioOfLoss(latency.difference - LATENCY_SLACK, latency.variance, LATENCY_SCALE);
}

/** @param tables Tables that are tested beside each other, each of which could raise a wrong alarm. */
export function assessEvidence(table: EvidenceTable, tables = 1): EvidenceAssessment {
    const entries = Object.entries(table);
    const heads = entries.filter(([key]) => !key.endsWith(PACE_SUFFIX)).map(([, stratum]) => stratum);
    const paces = entries.filter(([key]) => key.endsWith(PACE_SUFFIX)).map(([, stratum]) => stratum);
    const total = heads.reduce((sum, { version }) => addCounters(sum, version), NO_COUNTERS);
    const alarmLogRatio = ALARM_LOG_RATIO + Math.log(tables);
    const errorLogRatio = logRatioOfErrors(heads, ERROR_SLACK_RATIO);
    const latencyLogRatio = Math.max(latencyLogRatioOf(heads), latencyLogRatioOf(paces));
    const isErroneous = total.errors >= LEAST_ERRORS && errorLogRatio >= alarmLogRatio;
    return {
        isBad: isErroneous || latencyLogRatio >= alarmLogRatio,
        answers: total.answers,
        errors: total.errors,
        referenceAnswers: heads.reduce((sum, { reference }) => sum + reference.answers, 0),
        errorLogRatio,
        latencyLogRatio,
    };
}
