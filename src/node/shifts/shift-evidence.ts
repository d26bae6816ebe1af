/**
 * Counts the answers of a service's new and old version, and tests the new version for regressions.
 *
 * Answers are counted by group (route and model) and period of the shift. A fault may concern all routes or a
 * single one, from the start or from a later period on. The tests average over these hypotheses, so that
 * earlier answers and sound routes do not hide a fault.
 */
import * as z from "zod/mini";
import type { AttemptTiming } from "../forwarding/attempt.js";
import { addCounters, countAnswer, NO_COUNTERS } from "../rollout/counters.js";
import type { Counters } from "../rollout/counters.js";
import { estimateDifference, logMeanExp, logRatioOfLoss } from "../rollout/sequential-test.js";
import type { Stratum } from "../rollout/sequential-test.js";
import { logRatioOfProportions } from "./proportion-test.js";
import { excessFailures } from "./stratified-test.js";

/** Counters of one stratum. A stratum holds comparable answers: one route and model in one period. */
export interface StratumCounters {
    /** New version. */
    readonly version: Counters;
    /** Old version. */
    readonly reference: Counters;
}

/** Result of an attempt, as evidence about the version of its upstream. */
export type AnswerOutcome =
    | "succeeded"
    | "failed"
    /** The upstream broke off before its answer was complete. */
    | "broken-off"
    /** The attempt was given up before its answer was complete. */
    | "unanswered";

export type EvidenceTable = Readonly<Record<string, StratumCounters>>;

/** Multiple of the old version's odds of an error up to which the odds are not a regression. */
const ERROR_ODDS_RATIO = 1.6;

/** Multiple of the typical latency of the old version up to which no answer is slow. */
const MINIMUM_SLOW_RATIO = 2.5;

/** Standard deviations of the old version's logarithmic latencies above their mean at which slow begins. */
const SLOW_DEVIATIONS = 1.5;

/** Multiple of the old version's odds of a slow answer up to which the odds are not a regression. */
const SLOW_ODDS_RATIO = 1.6;

/** Answers of the old version from which its typical latency is known. */
const MINIMUM_TIMED_ANSWERS = 4;

/** Answers of the old version in the tested periods from which earlier ones are left out of the comparison. */
const MINIMUM_CONCURRENT_ANSWERS = 20;

/** Answers of the new version from which the variance of their latency is known well enough to compare it. */
const MINIMUM_COMPARED_ANSWERS = 10;

/** Probability, before any evidence, that a fault shows from the first counted period on. */
const FIRST_PERIOD_WEIGHT = 0.5;

/** Probability, before any evidence, that a fault concerns all routes and not a single one. */
const ALL_ROUTES_WEIGHT = 0.5;

/** Probability, before any evidence, that a fault shows at any load and not at one of them. */
const ANY_LOAD_WEIGHT = 0.5;

/** Slowdown, as a difference of logarithms, up to which a latency is not a regression. */
const LATENCY_MARGIN = Math.log(1.5);

/** Slowdown beyond the margin to which the test is most sensitive, as a difference of logarithms. */
const LATENCY_SCALE = Math.log(3);

/**
 * Logarithm of the likelihood ratio that shows a regression: one false alarm in 100 shifts with one table.
 */
const ALARM_LOG_RATIO = Math.log(100);

/** Logarithm of the likelihood ratio above which a version is not trusted with all requests. */
const DOUBTFUL_LOG_RATIO = 0;

/**
 * Excess of errors at any load or at one of them, in standard deviations, above which a version is not trusted
 * with all requests.
 */
const DOUBTFUL_EXCESS = 3;

/** Errors of the new version below which its error rate is not tested. */
const MINIMUM_ERRORS = 3;

const NO_STRATUM: StratumCounters = { version: NO_COUNTERS, reference: NO_COUNTERS };

/** Suffix of strata that count the pace of streams; those without a suffix count the time to the head. */
const PACE_SUFFIX = "\u0000pace";

/** Suffixes of strata in which the errors are slow answers. */
const SLOW_HEAD_SUFFIX = "\u0000slow";
const SLOW_PACE_SUFFIX = "\u0000slow-pace";

const SUFFIXES = [PACE_SUFFIX, SLOW_HEAD_SUFFIX, SLOW_PACE_SUFFIX];

const PERIOD_SEPARATOR = "\u0000period ";

/** Returns the stratum of a group's answers in a period of the shift. */
export function stratumOf(group: string, period: number): string {
    return `${group}${PERIOD_SEPARATOR}${period}`;
}

/** Separates the route of a group from its load; answers without load have none. */
const LOAD_SEPARATOR = "\u0000load ";

/** Share of an upstream's slots from which a request counts as one under load. */
const LOADED_SLOTS_SHARE = 0.5;

/**
 * Whether a request is one under load.
 *
 * @param requestsInFlight Other requests at the same time.
 */
export function isHighLoad(requestsInFlight: number, slots: number): boolean {
    return requestsInFlight + 1 >= Math.max(2, LOADED_SLOTS_SHARE * slots);
}

/**
 * Group of answers that are compared between the versions. Answers under load form a group of their own, as a
 * fault may show only there, and as the canary has fewer of them. So do those of a load test that met no load
 * that this node knows of.
 *
 * @param route Route and model.
 * @param requestsInFlight Other requests at the upstream when the request was sent.
 */
export function evidenceGroupOf(
    route: string,
    requestsInFlight: number,
    slots: number,
    isTest: boolean,
): string {
    const isHigh = isHighLoad(requestsInFlight, slots);
    return isHigh || isTest ? `${route}${LOAD_SEPARATOR}${isHigh ? "high" : "test"}` : route;
}

/** Answers of one group in one period. */
interface PeriodCounters extends StratumCounters {
    readonly period: number;
    /** Route and model. */
    readonly route: string;
    /** Load of the upstream; empty when there was none. */
    readonly load: string;
}

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

/** Whether a latency is far above the typical one of the old version; `undefined` while that is unknown. */
function isSlow(typical: Counters | undefined, milliseconds: number | undefined): boolean | undefined {
    if (milliseconds === undefined || typical === undefined) {
        return undefined;
    }
    const { count, sum, sumOfSquares } = typical.logLatency;
    if (count < MINIMUM_TIMED_ANSWERS) {
        return undefined;
    }
    const deviation = Math.sqrt(Math.max(0, sumOfSquares - (sum * sum) / count) / (count - 1));
    const margin = Math.max(Math.log(MINIMUM_SLOW_RATIO), SLOW_DEVIATIONS * deviation);
    return Math.log1p(milliseconds) > sum / count + margin;
}

function countSlowness(
    table: EvidenceTable,
    key: string,
    isNew: boolean,
    typical: Counters | undefined,
    milliseconds: number | undefined,
): EvidenceTable {
    const slow = isSlow(typical, milliseconds);
    return slow === undefined ? table : countInStratum(table, key, isNew, !slow, undefined);
}

/**
 * Adds the outcome of an attempt. Of an unanswered one only its slowness counts.
 *
 * @param group Answers that are compared with each other: one route and model.
 * @param timing Of an unanswered attempt, the time to the head is at least the time until it was given up.
 */
export function countEvidence(
    table: EvidenceTable,
    group: string,
    period: number,
    isNew: boolean,
    outcome: AnswerOutcome,
    { headMilliseconds, paceMilliseconds }: AttemptTiming,
): EvidenceTable {
    const stratum = stratumOf(group, period);
    const typicalOf = (suffix: string): Counters | undefined =>
        Array.from({ length: period + 1 }, (_, index) => table[stratumOf(group, index) + suffix]?.reference)
            .filter(reference => reference !== undefined)
            .reduce<Counters | undefined>(
                (sum, reference) => (sum === undefined ? reference : addCounters(sum, reference)),
                undefined,
            );
    let counted = countSlowness(table, stratum + SLOW_HEAD_SUFFIX, isNew, typicalOf(""), headMilliseconds);
    if (outcome !== "unanswered") {
        counted = countInStratum(counted, stratum, isNew, outcome === "succeeded", headMilliseconds);
    }
    if (paceMilliseconds === undefined) {
        return counted;
    }
    const typicalPace = typicalOf(PACE_SUFFIX);
    counted = countSlowness(counted, stratum + SLOW_PACE_SUFFIX, isNew, typicalPace, paceMilliseconds);
    return countInStratum(counted, stratum + PACE_SUFFIX, isNew, true, paceMilliseconds);
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

const wireCount = z.number().check(z.nonnegative());

/** Answers, errors, and the count, sum and sum of squares of the logarithmic latencies. */
const wireCounters = z.readonly(z.tuple([wireCount, wireCount, wireCount, z.number(), z.number()]));

type WireCounters = z.infer<typeof wireCounters>;

/** Evidence as stored in a node's row: counters of the new and the old version, by stratum. */
export const wireEvidence = z.readonly(
    z.record(z.string(), z.readonly(z.tuple([wireCounters, wireCounters]))),
);

export type WireEvidence = z.infer<typeof wireEvidence>;

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
    readonly isDoubtful: boolean;
    /** Errors in excess of the old version's rates, at any load or at one of them, in standard deviations. */
    readonly errorExcess: number;
    readonly answers: number;
    readonly errors: number;
    /** Answers of the new version with a slow head or pace. */
    readonly slowAnswers: number;
    /** Answers of the old version. */
    readonly referenceAnswers: number;
    /** Errors of the old version. */
    readonly referenceErrors: number;
    /** Logarithm of the likelihood ratio of the error test. */
    readonly errorLogRatio: number;
    /** Logarithm of the likelihood ratio of the latency tests: the larger of head and pace. */
    readonly latencyLogRatio: number;
}

/**
 * Describes the answers of each group for the log: errors and answers of the new version, then of the old one.
 */
export function describeEvidence(table: EvidenceTable): string {
    return groupsOf(table, "")
        .map(group => {
            const { version, reference } = sumPeriods(group);
            const { route, load } = group[0]!;
            const name = [...route.split("\u0000"), load].filter(part => part !== "").join(" ");
            return `${name} ${version.errors}/${version.answers} ${reference.errors}/${reference.answers}`;
        })
        .join("; ");
}

/** Sums the periods of a group: a variance within few answers would be unreliable. */
function sumPeriods(group: readonly PeriodCounters[]): Stratum {
    const sum = (counters: readonly Counters[]): Counters => counters.reduce(addCounters, NO_COUNTERS);
    return {
        version: sum(group.map(({ version }) => version)),
        reference: sum(group.map(({ reference }) => reference)),
    };
}

function latencyLogRatioOf(groups: readonly (readonly PeriodCounters[])[]): number {
    const latency = estimateDifference(groups.map(sumPeriods), "logLatency");
    return latency === undefined || latency.versionCount < MINIMUM_COMPARED_ANSWERS
        ? 0
        : logRatioOfLoss(latency.difference - LATENCY_MARGIN, latency.variance, LATENCY_SCALE);
}

/** Strata of one kind, by group. `suffix` is empty for those that count answers and the time to the head. */
function groupsOf(table: EvidenceTable, suffix: string): readonly (readonly PeriodCounters[])[] {
    const groups = new Map<string, PeriodCounters[]>();
    for (const [key, counters] of Object.entries(table)) {
        const found = SUFFIXES.find(candidate => key.endsWith(candidate)) ?? "";
        if (found !== suffix) {
            continue;
        }
        const [group = "", period = "0"] = key.slice(0, key.length - suffix.length).split(PERIOD_SEPARATOR);
        const [route = "", load = ""] = group.split(LOAD_SEPARATOR);
        const periods = groups.get(group) ?? [];
        groups.set(group, [...periods, { ...counters, period: Number(period), route, load }]);
    }
    return [...groups.values()];
}

/** Log ratio of a group's answers from a period on, compared with the old version's at the same time. */
function logRatioFrom(group: readonly PeriodCounters[], firstPeriod: number, oddsRatio: number): number {
    const tested = sumPeriods(group.filter(({ period }) => period >= firstPeriod));
    const { errors: failures, answers } = tested.version;
    const reference =
        tested.reference.answers >= MINIMUM_CONCURRENT_ANSWERS
            ? tested.reference
            : sumPeriods(group).reference;
    return logRatioOfProportions(
        {
            failures,
            answers,
            referenceFailures: reference.errors,
            referenceAnswers: reference.answers,
        },
        oddsRatio,
    );
}

/** Log ratio of one hypothesis with a probability, and another one with the rest. */
function logMixture(weight: number, first: number, second: number): number {
    return logMeanExp([first + Math.log(2 * weight), second + Math.log(2 * (1 - weight))]);
}

/** Log ratio of a fault that concerns a group with probability 0.5. */
function halved(logRatio: number): number {
    return logMeanExp([0, logRatio]);
}

/** Log ratio of "answers fail more often from a period on", averaged over the groups that a fault may concern. */
function logRatioOfGroups(
    groups: readonly (readonly PeriodCounters[])[],
    firstPeriod: number,
    oddsRatio: number,
): number {
    const ratios = groups.map(group => logRatioFrom(group, firstPeriod, oddsRatio));
    const all = ratios.reduce((sum, ratio) => sum + halved(ratio), 0);
    return logMixture(ALL_ROUTES_WEIGHT, all, logMeanExp(ratios));
}

function groupBy(
    counters: readonly PeriodCounters[],
    keyOf: (counters: PeriodCounters) => string,
): readonly (readonly PeriodCounters[])[] {
    const groups = new Map<string, PeriodCounters[]>();
    for (const entry of counters) {
        groups.set(keyOf(entry), [...(groups.get(keyOf(entry)) ?? []), entry]);
    }
    return [...groups.values()];
}

/**
 * Log ratio of "answers fail more often", averaged over the periods, routes and loads that a fault may concern:
 * it shows at any load, or at one of them.
 */
function logRatioOfFaults(groups: readonly (readonly PeriodCounters[])[], oddsRatio: number): number {
    const tested = groups.filter(group => group.some(({ version }) => version.answers > 0));
    if (tested.length === 0) {
        return 0;
    }
    const routes = groupBy(tested.flat(), ({ route }) => route);
    const loads = groupBy(tested.flat(), ({ load }) => load);
    const periods = [...new Set(tested.flatMap(group => group.map(({ period }) => period)))].sort(
        (first, second) => first - second,
    );
    const byPeriod = periods.map(period => {
        const anyLoad = logRatioOfGroups(routes, period, oddsRatio);
        const oneLoad = loads.map(load =>
            logRatioOfGroups(
                groupBy(load, ({ route }) => route),
                period,
                oddsRatio,
            ),
        );
        return loads.length === 1 ? anyLoad : logMixture(ANY_LOAD_WEIGHT, anyLoad, logMeanExp(oneLoad));
    });
    const [first, ...later] = byPeriod;
    return later.length === 0 ? first! : logMixture(FIRST_PERIOD_WEIGHT, first!, logMeanExp(later));
}

function hasErrors(groups: readonly (readonly PeriodCounters[])[]): boolean {
    const errors = groups.flat().reduce((sum, { version }) => sum + version.errors, 0);
    return errors >= MINIMUM_ERRORS;
}

/** Largest excess of errors: at any load, or at one of them. 0 below the minimum number of errors. */
function largestExcess(groups: readonly (readonly PeriodCounters[])[]): number {
    const excessOf = (chosen: readonly (readonly PeriodCounters[])[]): number =>
        hasErrors(chosen)
            ? excessFailures(
                  chosen.map(group => {
                      const { version, reference } = sumPeriods(group);
                      return {
                          failures: version.errors,
                          answers: version.answers,
                          referenceFailures: reference.errors,
                          referenceAnswers: reference.answers,
                      };
                  }),
              )
            : 0;
    const loads = new Set(groups.map(([first]) => first!.load));
    return Math.max(
        excessOf(groups),
        ...[...loads].map(load => excessOf(groups.filter(([first]) => first!.load === load))),
    );
}

/**
 * @param tables Number of tables tested in parallel. Raises the threshold, as each could raise a false alarm.
 */
export function assessEvidence(table: EvidenceTable, tables = 1): EvidenceAssessment {
    const answers = groupsOf(table, "");
    const headStrata = answers.flat();
    const total = headStrata.reduce((sum, { version }) => addCounters(sum, version), NO_COUNTERS);
    const referenceTotal = headStrata.reduce(
        (sum, { reference }) => addCounters(sum, reference),
        NO_COUNTERS,
    );
    const slowHeads = groupsOf(table, SLOW_HEAD_SUFFIX);
    const slowPaces = groupsOf(table, SLOW_PACE_SUFFIX);
    const slowAnswers = [...slowHeads, ...slowPaces].flat();
    const alarmLogRatio = ALARM_LOG_RATIO + Math.log(tables);
    const errorLogRatio = logRatioOfFaults(answers, ERROR_ODDS_RATIO);
    const latencyLogRatio = Math.max(
        latencyLogRatioOf(answers),
        latencyLogRatioOf(groupsOf(table, PACE_SUFFIX)),
        logRatioOfFaults(slowHeads, SLOW_ODDS_RATIO),
        logRatioOfFaults(slowPaces, SLOW_ODDS_RATIO),
    );
    const errorExcess = largestExcess(answers);
    const hasErrorRegression = total.errors >= MINIMUM_ERRORS && errorLogRatio >= alarmLogRatio;
    return {
        isRegression: hasErrorRegression || latencyLogRatio >= alarmLogRatio,
        isDoubtful:
            errorExcess >= DOUBTFUL_EXCESS || Math.max(errorLogRatio, latencyLogRatio) > DOUBTFUL_LOG_RATIO,
        errorExcess,
        answers: total.answers,
        errors: total.errors,
        slowAnswers: slowAnswers.reduce((sum, { version }) => sum + version.errors, 0),
        referenceAnswers: referenceTotal.answers,
        referenceErrors: referenceTotal.errors,
        errorLogRatio,
        latencyLogRatio,
    };
}
