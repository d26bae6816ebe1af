/**
 * Evidence of all nodes about crashes of upstreams: which processes broke off, which suspects waited for an
 * answer there, and which of them upstreams have answered. The merged state does not depend on the order in
 * which reports arrive.
 *
 * A node reports only what it has observed itself, a few times in case datagrams are lost. What it learned from
 * others is theirs to report, so that the number of reports grows with the observations and not with the nodes.
 */
import { createBoundedMap } from "../common/bounded-map.js";
import type { BoundedMap } from "../common/bounded-map.js";
import { blameSuspects } from "./blame.js";
import type { Blame } from "./blame.js";
import { isWithinAnswer, kindOfSuspect } from "./suspects.js";
import type { Suspect } from "./suspects.js";

/** Ages are in milliseconds, because the nodes have no common clock. */
export interface WireEvidence {
    /** `refuted` is 1 when the process has answered after it seemed to crash. */
    readonly crashes: readonly (readonly [
        process: string,
        age: number,
        refuted: 0 | 1,
        suspects: readonly (readonly [suspect: string, position: number])[],
    ])[];
    readonly answers: readonly (readonly [suspect: string, age: number])[];
}

export interface CrashEvidence {
    /** Records that an upstream broke off a request; `suspects` are those that it had not answered. */
    recordBreak(process: string, suspects: readonly Suspect[], now: number): void;
    /** Records a response of a process to a request that was sent at `sentAt`. */
    recordResponse(process: string, sentAt: number): void;
    /** Records that an upstream has answered these suspects. */
    recordAnswer(suspects: readonly Suspect[], now: number): void;
    /** Whether a suspect was answered before a crash, or since. */
    isCleared(suspect: string, crashedAt: number): boolean;
    /** Monotonic time at which a suspect was last answered, as far as this node knows. */
    answeredAt(suspect: string): number | undefined;
    /** Suspects that explain the crashes of the last minute. */
    blamed(now: number): ReadonlyMap<string, Blame>;
    /** Adds the evidence of another node. */
    merge(evidence: WireEvidence, now: number): void;
    /** Observations of this node that are due to be reported to the others; `undefined` when there are none. */
    news(now: number): WireEvidence | undefined;
    /** Increases whenever `blamed` may have changed. */
    readonly revision: number;
}

/** Time for which a crash counts, milliseconds. */
const CRASH_VALIDITY_MILLISECONDS = 60_000;

/**
 * Time for which an answer clears a suspect, milliseconds. One that crashes upstreams is never answered, so the
 * time covers outages in which no upstream can answer.
 */
export const ANSWER_VALIDITY_MILLISECONDS = 60_000;

/**
 * Time after a break in which a response of the process shows that it lives, milliseconds. A restarted process
 * may have the same id and takes longer.
 */
const REFUTATION_MILLISECONDS = 1000;

/** Difference below which times of two nodes count as equal, milliseconds. */
const CLOCK_MARGIN_MILLISECONDS = 30;

/**
 * Reports of an observation, those of what recurs in other crashes, and the shortest time between two of them,
 * milliseconds. The last ones make aggregating nodes pass it on once more.
 */
const REPORTS_PER_OBSERVATION = 2;
const REPORTS_IF_RECURRING = 4;
const REPEAT_MILLISECONDS = 90;

/** Upper bounds on the state. Suspects are chosen by callers. */
const MAXIMUM_CRASHES = 64;
const MAXIMUM_SUSPECTS = 64;
const MAXIMUM_ANSWERED_SUSPECTS = 8192;
const MAXIMUM_PROCESSES = 4096;
const MAXIMUM_SHARED_ANSWERS = 256;

/** Upper bounds on a report. */
const MAXIMUM_REPORTED_SUSPECTS = 128;
const MAXIMUM_REPORTED_ANSWERS = 32;

interface KnownCrash {
    readonly at: number;
    readonly suspects: ReadonlyMap<string, number>;
    readonly isRefuted: boolean;
}

/** Crash as this node has observed it. */
interface ObservedCrash extends KnownCrash {
    readonly state: ReportState;
}

/** How often an observation was reported, and the monotonic time of the last report. */
interface ReportState {
    readonly reports: number;
    readonly reportedAt: number;
}

const UNREPORTED: ReportState = { reports: 0, reportedAt: -Infinity };

function isDue({ reports, reportedAt }: ReportState, isRecurring: boolean, now: number): boolean {
    const maximumReports = isRecurring ? REPORTS_IF_RECURRING : REPORTS_PER_OBSERVATION;
    return reports < maximumReports && now - reportedAt >= REPEAT_MILLISECONDS;
}

function reported({ reports }: ReportState, now: number): ReportState {
    return { reports: reports + 1, reportedAt: now };
}

export function createCrashEvidence(): CrashEvidence {
    const crashes = createBoundedMap<KnownCrash>(MAXIMUM_CRASHES);
    const observed = createBoundedMap<ObservedCrash>(MAXIMUM_CRASHES);
    /** Answered requests are many, and must not displace the prompt parts. */
    const answeredRequests = createBoundedMap<number>(MAXIMUM_ANSWERED_SUSPECTS);
    const answeredParts = createBoundedMap<number>(MAXIMUM_ANSWERED_SUSPECTS);
    const survivedParts = createBoundedMap<number>(MAXIMUM_ANSWERED_SUSPECTS);
    /** Time at which the last request that a process responded to was sent. */
    const responses = createBoundedMap<number>(MAXIMUM_PROCESSES);
    /** Suspects of crashes that this node knows to be answered. */
    const sharedAnswers = createBoundedMap<ReportState>(MAXIMUM_SHARED_ANSWERS);
    let revision = 0;

    const answersOf = (suspect: string): BoundedMap<number> => {
        if (kindOfSuspect(suspect) === "request") {
            return answeredRequests;
        }
        return isWithinAnswer(suspect) ? survivedParts : answeredParts;
    };

    const isInnocent = (suspect: string, crashedAt: number): boolean => {
        const answeredAt = answersOf(suspect).get(suspect);
        return answeredAt !== undefined && crashedAt - answeredAt < ANSWER_VALIDITY_MILLISECONDS;
    };

    const isSuspected = (suspect: string): boolean =>
        [...crashes.entries()].some(([, { suspects }]) => suspects.has(suspect));

    const hasRespondedAfter = (process: string, crashedAt: number): boolean => {
        const sentAt = responses.get(process);
        return (
            sentAt !== undefined &&
            sentAt > crashedAt + CLOCK_MARGIN_MILLISECONDS &&
            sentAt < crashedAt + REFUTATION_MILLISECONDS
        );
    };

    /** Whether several crashes may be the suspect's. */
    const isRecurring = (suspect: string): boolean =>
        [...crashes.entries()].filter(
            ([, { at, suspects }]) => suspects.has(suspect) && !isInnocent(suspect, at),
        ).length > 1;

    /** Suspects of an observed crash that are to be reported now. */
    const dueSuspects = (
        { state, suspects }: ObservedCrash,
        now: number,
    ): readonly (readonly [string, number])[] =>
        isDue(state, false, now)
            ? [...suspects]
            : [...suspects].filter(([id]) => isDue(state, true, now) && isRecurring(id));

    const shareAnswer = (suspect: string): void => {
        sharedAnswers.set(suspect, UNREPORTED);
        revision += 1;
    };

    const hasCrashBetween = (suspect: string, from: number, to: number): boolean =>
        [...crashes.entries()].some(([, { at, suspects }]) => at > from && at <= to && suspects.has(suspect));

    /** Another node reports the answer, so this one need not, unless its own tells more. */
    const withdrawAnswer = (suspect: string, reportedAnswerAt: number): void => {
        const ownAnswerAt = answersOf(suspect).get(suspect) ?? -Infinity;
        const isUnreported = sharedAnswers.get(suspect)?.reports === 0;
        if (isUnreported && !hasCrashBetween(suspect, reportedAnswerAt, ownAnswerAt)) {
            sharedAnswers.delete(suspect);
        }
    };

    const observe = (
        process: string,
        at: number,
        suspects: readonly (readonly [string, number])[],
        isRefuted: boolean,
    ): void => {
        const known = observed.get(process);
        const merged = new Map([...(known?.suspects ?? []), ...suspects].slice(0, MAXIMUM_SUSPECTS));
        const refuted = isRefuted || known?.isRefuted === true;
        if (known === undefined || merged.size > known.suspects.size || refuted !== known.isRefuted) {
            const observedAt = Math.min(at, known?.at ?? Infinity);
            observed.set(process, {
                at: observedAt,
                suspects: merged,
                isRefuted: refuted,
                state: UNREPORTED,
            });
        }
    };

    const addCrash = (
        process: string,
        at: number,
        suspects: readonly (readonly [string, number])[],
        isRefuted: boolean,
    ): void => {
        const known = crashes.get(process);
        const merged = new Map([...(known?.suspects ?? []), ...suspects].slice(0, MAXIMUM_SUSPECTS));
        const crashedAt = Math.min(at, known?.at ?? Infinity);
        const wasRefuted = isRefuted || known?.isRefuted === true;
        const refuted = wasRefuted || hasRespondedAfter(process, crashedAt);
        if (refuted && !wasRefuted) {
            observe(process, crashedAt, [], true);
        }
        suspects
            .filter(([id]) => isInnocent(id, crashedAt) && known?.suspects.has(id) !== true)
            .forEach(([id]) => shareAnswer(id));
        const isUnchanged =
            known !== undefined && merged.size === known.suspects.size && refuted === known.isRefuted;
        if (isUnchanged && crashedAt === known.at) {
            return;
        }
        crashes.set(process, { at: crashedAt, suspects: merged, isRefuted: refuted });
        revision += 1;
    };

    return {
        recordBreak: (process, suspects, now) => {
            const possible = suspects
                .filter(({ id }) => !isInnocent(id, now))
                .map(({ id, position }) => [id, position] as const);
            if (possible.length > 0) {
                addCrash(process, now, possible, false);
                observe(process, now, possible, false);
            }
        },
        recordResponse: (process, sentAt) => {
            responses.set(process, Math.max(sentAt, responses.get(process) ?? 0));
            const crash = crashes.get(process);
            if (crash !== undefined && !crash.isRefuted && hasRespondedAfter(process, crash.at)) {
                addCrash(process, crash.at, [], false);
            }
        },
        recordAnswer: (suspects, now) => {
            for (const { id } of suspects) {
                const wasInnocent = isInnocent(id, now);
                answersOf(id).set(id, now);
                if (!wasInnocent && isSuspected(id)) {
                    shareAnswer(id);
                }
            }
        },
        isCleared: isInnocent,
        answeredAt: suspect => answersOf(suspect).get(suspect),
        blamed: now =>
            blameSuspects(
                [...crashes.entries()]
                    .filter(([, { at, isRefuted }]) => !isRefuted && now - at < CRASH_VALIDITY_MILLISECONDS)
                    .map(([, { at, suspects }]) => ({
                        at,
                        suspects: new Map([...suspects].filter(([id]) => !isInnocent(id, at))),
                    })),
            ),
        merge: (evidence, now) => {
            for (const [id, age] of evidence.answers) {
                const answeredAt = now - age;
                withdrawAnswer(id, answeredAt);
                if (answeredAt > (answersOf(id).get(id) ?? -Infinity) + CLOCK_MARGIN_MILLISECONDS) {
                    answersOf(id).set(id, answeredAt);
                    revision += 1;
                }
            }
            for (const [process, age, refuted, suspects] of evidence.crashes) {
                addCrash(process, now - age, suspects, refuted === 1);
            }
        },
        news: now => {
            let reportedSuspects = 0;
            const newCrashes = [...observed.entries()].reverse().flatMap(([process, crash]) => {
                const suspects = dueSuspects(crash, now);
                const isRefutation = crash.isRefuted && isDue(crash.state, false, now);
                if (suspects.length === 0 && !isRefutation) {
                    return [];
                }
                reportedSuspects += suspects.length;
                return reportedSuspects <= MAXIMUM_REPORTED_SUSPECTS ? [{ process, crash, suspects }] : [];
            });
            const newAnswers = [...sharedAnswers.entries()]
                .filter(([, state]) => isDue(state, true, now))
                .slice(-MAXIMUM_REPORTED_ANSWERS);
            newCrashes.forEach(({ process, crash }) =>
                observed.set(process, { ...crash, state: reported(crash.state, now) }),
            );
            newAnswers.forEach(([id, state]) => sharedAnswers.set(id, reported(state, now)));
            if (newCrashes.length + newAnswers.length === 0) {
                return undefined;
            }
            return {
                crashes: newCrashes.map(
                    ({ process, crash: { at, isRefuted }, suspects }) =>
                        [process, Math.round(now - at), isRefuted ? 1 : 0, suspects] as const,
                ),
                answers: newAnswers.flatMap(([id]) => {
                    const answeredAt = answersOf(id).get(id);
                    return answeredAt === undefined ? [] : [[id, Math.round(now - answeredAt)] as const];
                }),
            };
        },
        get revision() {
            return revision;
        },
    };
}
