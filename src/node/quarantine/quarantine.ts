/**
 * Keeps requests that crash upstreams away from them. The nodes share their evidence; each decides by the same
 * function which suspects are in quarantine, and one of those that saw a crash writes the suspect to the store,
 * so that nodes that restart or were cut off know it too.
 *
 * When the quarantine of a suspect ends, one node at a time sends one request with it. An answer releases the
 * suspect, a crash begins the quarantine again.
 */
import { rendezvousOwner } from "../common/hash.js";
import { CRASHES_TO_QUARANTINE, CRASHES_TO_SUSPECT } from "./blame.js";
import type { Blame } from "./blame.js";
import { createBoundedMap } from "../common/bounded-map.js";
import { createCrashEvidence } from "./crash-evidence.js";
import type { WireEvidence } from "./crash-evidence.js";
import { createServingServices } from "./answer-progress.js";
import { kindOfSuspect, subjectOf, withAnswerSuspects, withinAnswer } from "./suspects.js";
import type { Suspect } from "./suspects.js";

/** `age` is the time since the last crash, milliseconds. */
export interface QuarantineReport extends WireEvidence {
    readonly quarantined: readonly (readonly [suspect: string, age: number])[];
}

export interface QuarantineRejection {
    readonly suspect: string;
    readonly retryAfterSeconds: number;
}

export interface Quarantine {
    /** Returns why a request must not be sent now, or `undefined`. Admits one trial per expired quarantine. */
    reject(suspects: readonly Suspect[], now: number): QuarantineRejection | undefined;
    /** Whether the request may have crashed upstreams, so that it should not be repeated. */
    isSuspect(suspects: readonly Suspect[], now: number): boolean;
    /**
     * Registers a request that waits for its answer. `withdraw` is called when one of its suspects comes into
     * quarantine. Returns a function that removes the registration.
     */
    watch(suspects: readonly Suspect[], withdraw: (suspect: string) => void): () => void;
    /** Records that an upstream broke off a request before the first event of its answer. */
    recordBreak(process: string, suspects: readonly Suspect[], now: number): void;
    /** Records that an upstream broke off a request after the first event of its answer. */
    recordBreakWithinAnswer(
        process: string,
        answer: {
            readonly service: string;
            readonly request: readonly Suspect[];
            /** None when the answer has no framing, so that its regular end clears no part. */
            readonly parts: readonly Suspect[];
        },
        now: number,
    ): void;
    recordResponse(process: string, sentAt: number, now: number): void;
    /** Records an answer: for prompt parts its first event, for a request its whole. */
    recordAnswer(suspects: readonly Suspect[], now: number): void;
    /** Records an answer that ended whole, or went on well after its first event. */
    recordSurvival(service: string, parts: readonly Suspect[], now: number): void;
    merge(report: QuarantineReport, now: number): void;
    /** A report without the suspects that this node knows to be answered. */
    withoutCleared(report: QuarantineReport, now: number): QuarantineReport;
    /** Report for the other nodes; `undefined` when there is nothing to report. */
    report(now: number): QuarantineReport | undefined;
    /** Adds a suspect that another node wrote to the store. */
    restore(suspect: string, lastCrashAt: number): void;
    /** Releases a suspect whose row another node removed from the store. */
    release(suspect: string, reason: string): void;
    /** Suspects in quarantine, with the time of their last crash. */
    entries(): ReadonlyMap<string, number>;
    /** Suspects that this node saw crash an upstream. */
    isWitness(suspect: string): boolean;
    /** Drops suspects whose retention has ended. */
    expire(now: number): void;
}

export interface QuarantineOptions {
    readonly node: string;
    /** Ids of all nodes. */
    readonly nodes: () => readonly string[];
    readonly onQuarantined: (suspect: string, crashes: number | undefined) => void;
    readonly onReleased: (suspect: string, reason: string) => void;
    /** This node has evidence that the other nodes should get at once. */
    readonly onNews: () => void;
}

/** Time after the last crash for which no request with a suspect is sent, milliseconds. */
export const QUARANTINE_MILLISECONDS = 600_000;

/** Time after the last crash at which a suspect is forgotten if it was not tried again, milliseconds. */
const RETENTION_MILLISECONDS = 6 * QUARANTINE_MILLISECONDS;

/** Time until the next trial of a suspect when a trial had no result, milliseconds. */
const TRIAL_MILLISECONDS = 30_000;

/** Interval at which the suspects in quarantine are reported again, for nodes that missed them, milliseconds. */
const REPEAT_MILLISECONDS = 1000;

/** Time after a node derived a quarantine in which new evidence can revoke it, milliseconds. */
const REVOCATION_MILLISECONDS = 2000;

/** Time after the last crash from which a quarantine is passed on as a fact, milliseconds. */
const SETTLED_MILLISECONDS = 2500;

/** Interval at which the suspects under suspicion are evaluated without new evidence, milliseconds. */
const EVALUATION_MILLISECONDS = 100;

/** Time from the first crash with a prompt part in which nodes may report that it was answered, milliseconds. */
const CLEARING_MILLISECONDS = 250;

const MAXIMUM_QUARANTINED_SUSPECTS = 256;
const MAXIMUM_REPORTED_SUSPECTS = 16;

interface QuarantineEntry {
    readonly lastCrashAt: number;
    /** Time at which this node derived the quarantine from evidence; `undefined` when it learned it as a fact. */
    readonly derivedAt: number | undefined;
    readonly nextTrialAt: number;
}

export function createQuarantine(options: QuarantineOptions): Quarantine {
    const evidence = createCrashEvidence();
    const quarantined = createBoundedMap<QuarantineEntry>(MAXIMUM_QUARANTINED_SUSPECTS);
    const serving = createServingServices();
    const witnessed = createBoundedMap<true>(MAXIMUM_QUARANTINED_SUSPECTS);
    const waiting = new Set<{
        readonly suspects: readonly Suspect[];
        readonly withdraw: (suspect: string) => void;
    }>();
    let blamed: ReadonlyMap<string, Blame> = new Map();
    let evaluatedRevision = 0;
    let evaluatedAt = -Infinity;
    let repeatedAt = -Infinity;

    const remove = (suspect: string, reason: string): void => {
        if (quarantined.get(suspect) !== undefined) {
            quarantined.delete(suspect);
            options.onReleased(suspect, reason);
        }
    };

    const add = (
        suspect: string,
        lastCrashAt: number,
        derived?: { readonly at: number; crashes: number },
    ): void => {
        const known = quarantined.get(suspect);
        if (known !== undefined && known.lastCrashAt >= lastCrashAt) {
            return;
        }
        quarantined.set(suspect, {
            lastCrashAt,
            derivedAt: known === undefined ? derived?.at : known.derivedAt,
            nextTrialAt: lastCrashAt + QUARANTINE_MILLISECONDS,
        });
        if (known === undefined) {
            repeatedAt = -Infinity;
            options.onQuarantined(suspect, derived?.crashes);
            [...waiting]
                .filter(({ suspects }) => suspects.some(({ id }) => id === suspect))
                .forEach(({ withdraw }) => withdraw(suspect));
        }
    };

    /** Brings the quarantined suspects in line with the evidence. */
    const evaluate = (now: number): void => {
        const isOutdated = blamed.size > 0 && now - evaluatedAt >= EVALUATION_MILLISECONDS;
        if (evidence.revision === evaluatedRevision && !isOutdated) {
            return;
        }
        evaluatedRevision = evidence.revision;
        evaluatedAt = now;
        blamed = evidence.blamed(now);
        for (const [suspect, { lastCrashAt, derivedAt }] of [...quarantined.entries()]) {
            if ((evidence.answeredAt(suspect) ?? -Infinity) > lastCrashAt) {
                remove(suspect, "an upstream answered a request with it");
            }
            else if (
                derivedAt !== undefined &&
                now - derivedAt < REVOCATION_MILLISECONDS &&
                (blamed.get(suspect)?.crashes ?? 0) < CRASHES_TO_QUARANTINE
            ) {
                remove(suspect, "later evidence does not support the blame");
            }
        }
        for (const [suspect, { crashes, firstCrashAt, lastCrashAt }] of blamed) {
            const isClearable = kindOfSuspect(suspect) === "prompt part";
            const mayBeCleared = isClearable && now - firstCrashAt < CLEARING_MILLISECONDS;
            if (crashes >= CRASHES_TO_QUARANTINE && !mayBeCleared) {
                add(suspect, lastCrashAt, { at: now, crashes });
            }
        }
    };

    const recordBreak = (process: string, suspects: readonly Suspect[], now: number): void => {
        const revision = evidence.revision;
        evidence.recordBreak(process, suspects, now);
        if (evidence.revision !== revision) {
            options.onNews();
        }
        suspects.forEach(({ id }) => witnessed.set(id, true));
        // A crash in a trial begins the quarantine again.
        withAnswerSuspects(suspects)
            .filter(({ id }) => quarantined.get(id) !== undefined)
            .forEach(({ id }) => add(id, now));
        evaluate(now);
    };

    const recordAnswer = (suspects: readonly Suspect[], now: number): void => {
        evidence.recordAnswer(suspects, now);
        suspects
            .filter(({ id }) => quarantined.get(id) !== undefined)
            .forEach(({ id }) => remove(id, "an upstream answered a request with it"));
        evaluate(now);
    };

    return {
        reject: (suspects, now) => {
            for (const { id } of withAnswerSuspects(suspects)) {
                const entry = quarantined.get(id);
                if (entry === undefined) {
                    continue;
                }
                const isTrial =
                    now >= entry.nextTrialAt &&
                    rendezvousOwner(subjectOf(id), options.nodes()) === options.node;
                if (!isTrial) {
                    const waitMilliseconds = Math.max(TRIAL_MILLISECONDS, entry.nextTrialAt - now);
                    return { suspect: id, retryAfterSeconds: Math.ceil(waitMilliseconds / 1000) };
                }
                quarantined.set(id, { ...entry, nextTrialAt: now + TRIAL_MILLISECONDS });
            }
            return undefined;
        },
        isSuspect: (suspects, now) => {
            evaluate(now);
            return withAnswerSuspects(suspects).some(
                ({ id }) =>
                    quarantined.get(id) !== undefined || (blamed.get(id)?.crashes ?? 0) >= CRASHES_TO_SUSPECT,
            );
        },
        watch: (suspects, withdraw) => {
            const entry = { suspects: withAnswerSuspects(suspects), withdraw };
            waiting.add(entry);
            return () => waiting.delete(entry);
        },
        recordBreak,
        recordBreakWithinAnswer: (process, { service, request, parts }, now) =>
            recordBreak(
                process,
                serving.isServing(service, now) ? [...request, ...withinAnswer(parts)] : request,
                now,
            ),
        recordResponse: (process, sentAt, now) => {
            evidence.recordResponse(process, sentAt);
            evaluate(now);
        },
        recordAnswer,
        recordSurvival: (service, parts, now) => {
            serving.record(service, now);
            recordAnswer([...parts, ...withinAnswer(parts)], now);
        },
        merge: (report, now) => {
            evidence.merge(report, now);
            evaluate(now);
            for (const [suspect, age] of report.quarantined) {
                const lastCrashAt = now - age;
                const isSettled = age >= SETTLED_MILLISECONDS || quarantined.get(suspect) !== undefined;
                if (isSettled && (evidence.answeredAt(suspect) ?? -Infinity) < lastCrashAt) {
                    add(suspect, lastCrashAt);
                }
            }
        },
        withoutCleared: (report, now) => ({
            ...report,
            crashes: report.crashes.flatMap(([process, age, refuted, suspects]) => {
                const remaining = suspects.filter(([id]) => !evidence.isCleared(id, now - age));
                const isEmpty = remaining.length === 0 && refuted === 0;
                return isEmpty ? [] : [[process, age, refuted, remaining] as const];
            }),
        }),
        report: now => {
            evaluate(now);
            const news = evidence.news(now);
            const isRepeat = quarantined.size > 0 && now - repeatedAt >= REPEAT_MILLISECONDS;
            if (news === undefined && !isRepeat) {
                return undefined;
            }
            if (isRepeat) {
                repeatedAt = now;
            }
            const reported = [...quarantined.entries()].slice(-MAXIMUM_REPORTED_SUSPECTS);
            return {
                crashes: news?.crashes ?? [],
                answers: news?.answers ?? [],
                quarantined: isRepeat
                    ? reported.map(
                          ([suspect, { lastCrashAt }]) => [suspect, Math.round(now - lastCrashAt)] as const,
                      )
                    : [],
            };
        },
        restore: (suspect, lastCrashAt) => {
            if ((evidence.answeredAt(suspect) ?? -Infinity) < lastCrashAt) {
                add(suspect, lastCrashAt);
            }
        },
        release: remove,
        entries: () =>
            new Map([...quarantined.entries()].map(([suspect, { lastCrashAt }]) => [suspect, lastCrashAt])),
        isWitness: suspect => witnessed.get(suspect) === true,
        expire: now => {
            for (const [suspect, { lastCrashAt }] of [...quarantined.entries()]) {
                if (now - lastCrashAt >= RETENTION_MILLISECONDS) {
                    remove(suspect, "its retention has ended");
                }
            }
        },
    };
}
