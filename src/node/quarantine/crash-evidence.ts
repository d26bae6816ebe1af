/**
 * Evidence of all nodes about crashes of upstreams: which processes broke off, which prompt parts waited for an
 * answer there, and which parts upstreams have answered. The merged state does not depend on the order in
 * which reports arrive.
 */
import { createBoundedMap } from "../common/bounded-map.js";
import { blameParts } from "./blame.js";
import type { Blame } from "./blame.js";

/** Part of a prompt that several requests share. */
export interface SharedPart {
    readonly id: string;
    /** Position in the prompt. */
    readonly position: number;
}

/** Ages are in milliseconds, because the nodes have no common clock. */
export interface WireEvidence {
    /** `refuted` is 1 when the process has answered after it seemed to crash. */
    readonly crashes: readonly (readonly [
        process: string,
        age: number,
        refuted: 0 | 1,
        suspects: readonly (readonly [part: string, position: number])[],
    ])[];
    readonly answers: readonly (readonly [part: string, age: number])[];
}

export interface CrashEvidence {
    /** Records that an upstream broke off a request before its answer began. */
    recordBreak(process: string, parts: readonly SharedPart[], now: number): void;
    /** Records a response of a process to a request that was sent at `sentAt`. */
    recordResponse(process: string, sentAt: number, now: number): void;
    /** Records that an upstream has begun to answer a prompt with these parts. */
    recordAnswer(parts: readonly SharedPart[], now: number): void;
    /** Monotonic time at which a part was last answered, as far as this node knows. */
    answeredAt(part: string): number | undefined;
    /** Parts that explain the crashes of the last minute. */
    blamed(now: number): ReadonlyMap<string, Blame>;
    /** Adds the evidence of another node. */
    merge(evidence: WireEvidence, now: number): void;
    /** Evidence that this node learned recently, for the other nodes; `undefined` when there is none. */
    news(now: number): WireEvidence | undefined;
    /** Increases whenever `blamed` may have changed. */
    readonly revision: number;
}

/** Time for which a crash counts, milliseconds. */
const CRASH_VALIDITY_MILLISECONDS = 60_000;

/**
 * Time for which an answer clears a part, milliseconds. A part that crashes upstreams is never answered, so the
 * time covers outages in which no upstream can answer.
 */
const ANSWER_VALIDITY_MILLISECONDS = 60_000;

/**
 * Time after a break in which a response of the process shows that it lives, milliseconds. A restarted process
 * may have the same id and takes longer.
 */
const REFUTATION_MILLISECONDS = 1000;

/** Difference below which times of two nodes count as equal, milliseconds. */
const CLOCK_MARGIN_MILLISECONDS = 30;

/** Time for which a node passes on what it learned, milliseconds: several reports. */
const NEWS_MILLISECONDS = 500;

/** Upper bounds on the state. Prompt parts are chosen by callers. */
const MAXIMUM_CRASHES = 64;
const MAXIMUM_SUSPECTS = 32;
const MAXIMUM_ANSWERED_PARTS = 8192;
const MAXIMUM_PROCESSES = 4096;
const MAXIMUM_SHARED_ANSWERS = 256;

/** Upper bounds on a report. */
const MAXIMUM_REPORTED_SUSPECTS = 128;
const MAXIMUM_REPORTED_ANSWERS = 32;

interface KnownCrash {
    readonly at: number;
    readonly suspects: ReadonlyMap<string, number>;
    readonly isRefuted: boolean;
    /** Monotonic time of the last change. */
    readonly changedAt: number;
}

export function createCrashEvidence(): CrashEvidence {
    const crashes = createBoundedMap<KnownCrash>(MAXIMUM_CRASHES);
    const answers = createBoundedMap<number>(MAXIMUM_ANSWERED_PARTS);
    /** Time at which the last request that a process responded to was sent. */
    const responses = createBoundedMap<number>(MAXIMUM_PROCESSES);
    /** Time at which this node learned that a suspected part was answered. */
    const sharedAnswers = createBoundedMap<number>(MAXIMUM_SHARED_ANSWERS);
    let revision = 0;

    const isInnocent = (part: string, crashedAt: number): boolean => {
        const answeredAt = answers.get(part);
        return answeredAt !== undefined && crashedAt - answeredAt < ANSWER_VALIDITY_MILLISECONDS;
    };

    const isSuspected = (part: string): boolean =>
        [...crashes.entries()].some(([, { suspects }]) => suspects.has(part));

    const hasRespondedAfter = (process: string, crashedAt: number): boolean => {
        const sentAt = responses.get(process);
        return (
            sentAt !== undefined &&
            sentAt > crashedAt + CLOCK_MARGIN_MILLISECONDS &&
            sentAt < crashedAt + REFUTATION_MILLISECONDS
        );
    };

    const shareAnswer = (part: string, now: number): void => {
        sharedAnswers.set(part, now);
        revision += 1;
    };

    const addCrash = (
        process: string,
        at: number,
        suspects: readonly (readonly [string, number])[],
        isRefuted: boolean,
        now: number,
    ): void => {
        const known = crashes.get(process);
        const merged = new Map([...(known?.suspects ?? []), ...suspects].slice(0, MAXIMUM_SUSPECTS));
        const crashedAt = Math.min(at, known?.at ?? Infinity);
        const refuted = isRefuted || known?.isRefuted === true || hasRespondedAfter(process, crashedAt);
        suspects
            .filter(([part]) => isInnocent(part, crashedAt) && known?.suspects.has(part) !== true)
            .forEach(([part]) => shareAnswer(part, now));
        const isUnchanged =
            known !== undefined && merged.size === known.suspects.size && refuted === known.isRefuted;
        if (isUnchanged && crashedAt === known.at) {
            return;
        }
        // A more exact time changes the result of this node, but is no news to others.
        const changedAt = isUnchanged ? known.changedAt : now;
        crashes.set(process, { at: crashedAt, suspects: merged, isRefuted: refuted, changedAt });
        revision += 1;
    };

    return {
        recordBreak: (process, parts, now) => {
            const suspects = parts
                .filter(({ id }) => !isInnocent(id, now))
                .map(({ id, position }) => [id, position] as const);
            if (suspects.length > 0) {
                addCrash(process, now, suspects, false, now);
            }
        },
        recordResponse: (process, sentAt, now) => {
            responses.set(process, Math.max(sentAt, responses.get(process) ?? 0));
            const crash = crashes.get(process);
            if (crash !== undefined && !crash.isRefuted && hasRespondedAfter(process, crash.at)) {
                addCrash(process, crash.at, [], true, now);
            }
        },
        recordAnswer: (parts, now) => {
            for (const { id } of parts) {
                const wasInnocent = isInnocent(id, now);
                answers.set(id, now);
                if (!wasInnocent && isSuspected(id)) {
                    shareAnswer(id, now);
                }
            }
        },
        answeredAt: part => answers.get(part),
        blamed: now =>
            blameParts(
                [...crashes.entries()]
                    .filter(([, { at, isRefuted }]) => !isRefuted && now - at < CRASH_VALIDITY_MILLISECONDS)
                    .map(([, { at, suspects }]) => ({
                        at,
                        suspects: new Map([...suspects].filter(([part]) => !isInnocent(part, at))),
                    })),
            ),
        merge: (evidence, now) => {
            for (const [part, age] of evidence.answers) {
                const answeredAt = now - age;
                if (answeredAt > (answers.get(part) ?? -Infinity) + CLOCK_MARGIN_MILLISECONDS) {
                    answers.set(part, answeredAt);
                    shareAnswer(part, now);
                }
            }
            for (const [process, age, refuted, suspects] of evidence.crashes) {
                addCrash(process, now - age, suspects, refuted === 1, now);
            }
        },
        news: now => {
            let reportedSuspects = 0;
            const newCrashes = [...crashes.entries()]
                .reverse()
                .filter(([, { changedAt, suspects }]) => {
                    if (now - changedAt >= NEWS_MILLISECONDS) {
                        return false;
                    }
                    reportedSuspects += suspects.size;
                    return reportedSuspects <= MAXIMUM_REPORTED_SUSPECTS;
                })
                .map(
                    ([process, { at, isRefuted, suspects }]) =>
                        [process, Math.round(now - at), isRefuted ? 1 : 0, [...suspects]] as const,
                );
            const newAnswers = [...sharedAnswers.entries()]
                .filter(([, learnedAt]) => now - learnedAt < NEWS_MILLISECONDS)
                .slice(-MAXIMUM_REPORTED_ANSWERS)
                .flatMap(([part]) => {
                    const answeredAt = answers.get(part);
                    return answeredAt === undefined ? [] : [[part, Math.round(now - answeredAt)] as const];
                });
            return newCrashes.length + newAnswers.length === 0
                ? undefined
                : { crashes: newCrashes, answers: newAnswers };
        },
        get revision() {
            return revision;
        },
    };
}
