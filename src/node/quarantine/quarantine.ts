/**
 * Keeps prompts that crash upstreams away from them. The nodes share their evidence; each decides by the same
 * function which parts are in quarantine, and one of those that saw a crash writes the part to the store, so
 * that nodes that restart or were cut off know it too.
 *
 * When the quarantine of a part ends, one node at a time sends one request with it. An answer releases the
 * part, a crash begins the quarantine again.
 */
import { hash64, rendezvousOwner } from "../common/hash.js";
import { CRASHES_TO_QUARANTINE, CRASHES_TO_SUSPECT } from "./blame.js";
import type { Blame } from "./blame.js";
import { createBoundedMap } from "../common/bounded-map.js";
import { createCrashEvidence } from "./crash-evidence.js";
import type { SharedPart, WireEvidence } from "./crash-evidence.js";

/** `age` is the time since the last crash, milliseconds. */
export interface QuarantineReport extends WireEvidence {
    readonly quarantined: readonly (readonly [part: string, age: number])[];
}

export interface QuarantineRejection {
    readonly part: string;
    readonly retryAfterSeconds: number;
}

export interface Quarantine {
    /** Returns why a prompt must not be sent now, or `undefined`. Admits one trial per expired quarantine. */
    reject(parts: readonly SharedPart[], now: number): QuarantineRejection | undefined;
    /** Whether a part of the prompt is suspected of crashes, so that the request should not be repeated. */
    isSuspect(parts: readonly SharedPart[], now: number): boolean;
    /**
     * Registers a request that waits for its answer. `withdraw` is called when one of its parts comes into
     * quarantine. Returns a function that removes the registration.
     */
    watch(parts: readonly SharedPart[], withdraw: () => void): () => void;
    recordBreak(process: string, parts: readonly SharedPart[], now: number): void;
    recordResponse(process: string, sentAt: number, now: number): void;
    recordAnswer(parts: readonly SharedPart[], now: number): void;
    merge(report: QuarantineReport, now: number): void;
    /** Report for the other nodes; `undefined` when there is nothing to report. */
    report(now: number): QuarantineReport | undefined;
    /** Adds a part that another node wrote to the store. */
    restore(part: string, lastCrashAt: number): void;
    /** Releases a part whose row another node removed from the store. */
    release(part: string, reason: string): void;
    /** Parts in quarantine, with the time of their last crash. */
    entries(): ReadonlyMap<string, number>;
    /** Parts that this node saw crash an upstream. */
    isWitness(part: string): boolean;
    /** Drops parts whose retention has ended. */
    expire(now: number): void;
}

export interface QuarantineOptions {
    readonly node: string;
    /** Ids of all nodes. */
    readonly nodes: () => readonly string[];
    readonly onQuarantined: (part: string, crashes: number | undefined) => void;
    readonly onReleased: (part: string, reason: string) => void;
    /** This node has evidence that the other nodes should get at once. */
    readonly onNews: () => void;
}

/** Time after the last crash for which no request with a part is sent, milliseconds. */
export const QUARANTINE_MILLISECONDS = 600_000;

/** Time after the last crash at which a part is forgotten if it was not tried again, milliseconds. */
const RETENTION_MILLISECONDS = 6 * QUARANTINE_MILLISECONDS;

/** Time until the next trial of a part when a trial had no result, milliseconds. */
const TRIAL_MILLISECONDS = 30_000;

/** Interval at which the parts in quarantine are reported again, for nodes that missed them, milliseconds. */
const REPEAT_MILLISECONDS = 1000;

/** Time after a node derived a quarantine in which new evidence can revoke it, milliseconds. */
const REVOCATION_MILLISECONDS = 2000;

/** Time after the last crash from which a quarantine is passed on as a fact, milliseconds. */
const SETTLED_MILLISECONDS = 2500;

/** Interval at which the parts under suspicion are evaluated without new evidence, milliseconds. */
const EVALUATION_MILLISECONDS = 1000;

const MAXIMUM_QUARANTINED_PARTS = 256;
const MAXIMUM_REPORTED_PARTS = 16;

/** Longer ids are replaced by a hash, so that the state and the reports stay small, characters. */
const MAXIMUM_PART_LENGTH = 32;

interface QuarantinedPart {
    readonly lastCrashAt: number;
    /** Time at which this node derived the quarantine from evidence; `undefined` when it learned it as a fact. */
    readonly derivedAt: number | undefined;
    readonly nextTrialAt: number;
}

/** Parts of a prompt that can be blamed: all but the last, which belongs to the request itself. */
export function sharedPartsOf(promptParts: readonly { readonly id: string }[]): readonly SharedPart[] {
    return promptParts.slice(0, -1).map(({ id }, position) => ({
        id: id.length <= MAXIMUM_PART_LENGTH ? id : hash64(id).toString(36),
        position,
    }));
}

export function createQuarantine(options: QuarantineOptions): Quarantine {
    const evidence = createCrashEvidence();
    const quarantined = createBoundedMap<QuarantinedPart>(MAXIMUM_QUARANTINED_PARTS);
    const witnessed = createBoundedMap<true>(MAXIMUM_QUARANTINED_PARTS);
    const waiting = new Set<{ readonly parts: readonly SharedPart[]; readonly withdraw: () => void }>();
    let blamed: ReadonlyMap<string, Blame> = new Map();
    let evaluatedRevision = 0;
    let evaluatedAt = -Infinity;
    let repeatedAt = -Infinity;

    const remove = (part: string, reason: string): void => {
        if (quarantined.get(part) !== undefined) {
            quarantined.delete(part);
            options.onReleased(part, reason);
        }
    };

    const add = (
        part: string,
        lastCrashAt: number,
        derived?: { readonly at: number; crashes: number },
    ): void => {
        const known = quarantined.get(part);
        if (known !== undefined && known.lastCrashAt >= lastCrashAt) {
            return;
        }
        quarantined.set(part, {
            lastCrashAt,
            derivedAt: known === undefined ? derived?.at : known.derivedAt,
            nextTrialAt: lastCrashAt + QUARANTINE_MILLISECONDS,
        });
        if (known === undefined) {
            repeatedAt = -Infinity;
            options.onQuarantined(part, derived?.crashes);
            [...waiting]
                .filter(({ parts }) => parts.some(({ id }) => id === part))
                .forEach(({ withdraw }) => withdraw());
        }
    };

    /** Brings the quarantined parts in line with the evidence. */
    const evaluate = (now: number): void => {
        const isOutdated = blamed.size > 0 && now - evaluatedAt >= EVALUATION_MILLISECONDS;
        if (evidence.revision === evaluatedRevision && !isOutdated) {
            return;
        }
        evaluatedRevision = evidence.revision;
        evaluatedAt = now;
        blamed = evidence.blamed(now);
        for (const [part, { lastCrashAt, derivedAt }] of [...quarantined.entries()]) {
            if ((evidence.answeredAt(part) ?? -Infinity) > lastCrashAt) {
                remove(part, "an upstream answered a prompt with it");
            }
            else if (
                derivedAt !== undefined &&
                now - derivedAt < REVOCATION_MILLISECONDS &&
                (blamed.get(part)?.crashes ?? 0) < CRASHES_TO_QUARANTINE
            ) {
                remove(part, "later evidence does not support the blame");
            }
        }
        for (const [part, { crashes, lastCrashAt }] of blamed) {
            if (crashes >= CRASHES_TO_QUARANTINE) {
                add(part, lastCrashAt, { at: now, crashes });
            }
        }
    };

    return {
        reject: (parts, now) => {
            for (const { id } of parts) {
                const entry = quarantined.get(id);
                if (entry === undefined) {
                    continue;
                }
                const isTrial =
                    now >= entry.nextTrialAt && rendezvousOwner(id, options.nodes()) === options.node;
                if (!isTrial) {
                    const waitMilliseconds = Math.max(TRIAL_MILLISECONDS, entry.nextTrialAt - now);
                    return { part: id, retryAfterSeconds: Math.ceil(waitMilliseconds / 1000) };
                }
                quarantined.set(id, { ...entry, nextTrialAt: now + TRIAL_MILLISECONDS });
            }
            return undefined;
        },
        isSuspect: (parts, now) => {
            evaluate(now);
            return parts.some(
                ({ id }) =>
                    quarantined.get(id) !== undefined || (blamed.get(id)?.crashes ?? 0) >= CRASHES_TO_SUSPECT,
            );
        },
        watch: (parts, withdraw) => {
            const entry = { parts, withdraw };
            waiting.add(entry);
            return () => waiting.delete(entry);
        },
        recordBreak: (process, parts, now) => {
            const revision = evidence.revision;
            evidence.recordBreak(process, parts, now);
            if (evidence.revision !== revision) {
                options.onNews();
            }
            parts.forEach(({ id }) => witnessed.set(id, true));
            // A crash in a trial begins the quarantine again.
            parts.filter(({ id }) => quarantined.get(id) !== undefined).forEach(({ id }) => add(id, now));
            evaluate(now);
        },
        recordResponse: (process, sentAt, now) => {
            evidence.recordResponse(process, sentAt, now);
            evaluate(now);
        },
        recordAnswer: (parts, now) => {
            evidence.recordAnswer(parts, now);
            parts
                .filter(({ id }) => quarantined.get(id) !== undefined)
                .forEach(({ id }) => remove(id, "an upstream answered a prompt with it"));
            evaluate(now);
        },
        merge: (report, now) => {
            evidence.merge(report, now);
            evaluate(now);
            for (const [part, age] of report.quarantined) {
                const lastCrashAt = now - age;
                const isSettled = age >= SETTLED_MILLISECONDS || quarantined.get(part) !== undefined;
                if (isSettled && (evidence.answeredAt(part) ?? -Infinity) < lastCrashAt) {
                    add(part, lastCrashAt);
                }
            }
        },
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
            const parts = [...quarantined.entries()].slice(-MAXIMUM_REPORTED_PARTS);
            return {
                crashes: news?.crashes ?? [],
                answers: news?.answers ?? [],
                quarantined: isRepeat
                    ? parts.map(([part, { lastCrashAt }]) => [part, Math.round(now - lastCrashAt)] as const)
                    : [],
            };
        },
        restore: (part, lastCrashAt) => {
            if ((evidence.answeredAt(part) ?? -Infinity) < lastCrashAt) {
                add(part, lastCrashAt);
            }
        },
        release: remove,
        entries: () =>
            new Map([...quarantined.entries()].map(([part, { lastCrashAt }]) => [part, lastCrashAt])),
        isWitness: part => witnessed.get(part) === true,
        expire: now => {
            for (const [part, { lastCrashAt }] of [...quarantined.entries()]) {
                if (now - lastCrashAt >= RETENTION_MILLISECONDS) {
                    remove(part, "its retention has ended");
                }
            }
        },
    };
}
