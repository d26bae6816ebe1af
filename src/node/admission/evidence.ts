/** Decides from observations whether an upstream is warm. An unknown upstream counts as cold. */
import type { UpstreamObservation } from "./admission.js";
import {
    ERRORS_UNTIL_COLD,
    EVIDENCE_MILLISECONDS,
    FAST_ANSWERS_UNTIL_WARM,
    MAXIMUM_OBSERVATION_DELAY_MILLISECONDS,
    MAXIMUM_PREVIOUS_BOOT_IDS,
    SLOW_ANSWERS_UNTIL_COLD,
} from "./constants.js";

/** `silent`: the upstream sent no response. `error`: it responded with an error. */
export type Outcome = "fast" | "slow" | "error" | "silent";

/** Consecutive equal observations (run-length encoded). */
export interface ObservationRun {
    readonly outcome: Outcome;
    /** Capped at `FAST_ANSWERS_UNTIL_WARM`, because a larger count changes nothing. */
    readonly count: number;
    readonly bootId?: string;
}

export interface Evidence {
    readonly bootId?: string;
    /** Time of the last change of the boot id; monotonic milliseconds. */
    readonly bootIdChangedAt: number;
    /** Latest first. */
    readonly previousBootIds: readonly string[];
    /** Consecutive fast answers of this boot id; reset to 0 when the upstream turns cold. */
    readonly fastAnswers: number;
    readonly slowAnswers: number;
    readonly errors: number;
    /** Time of the last observation; monotonic milliseconds. */
    readonly seenAt: number;
}

export const NO_EVIDENCE: Evidence = {
    bootIdChangedAt: -Infinity,
    previousBootIds: [],
    fastAnswers: 0,
    slowAnswers: 0,
    errors: 0,
    seenAt: -Infinity,
};

export function outcomeOf(observation: UpstreamObservation, firstTokenLimitMilliseconds: number): Outcome {
    if (!observation.succeeded) {
        return observation.bootId === undefined ? "silent" : "error";
    }
    const isFast = (observation.firstTokenMilliseconds ?? 0) <= firstTokenLimitMilliseconds;
    return isFast && observation.isCold !== true ? "fast" : "slow";
}

export function isWarm(evidence: Evidence, now: number): boolean {
    return evidence.fastAnswers >= FAST_ANSWERS_UNTIL_WARM && now - evidence.seenAt <= EVIDENCE_MILLISECONDS;
}

/** Resets the evidence when the boot id changes. */
function withBootId(evidence: Evidence, bootId: string | undefined, now: number): Evidence {
    if (bootId === undefined || bootId === evidence.bootId) {
        return evidence;
    }
    const previousBootIds =
        evidence.bootId === undefined
            ? evidence.previousBootIds
            : [evidence.bootId, ...evidence.previousBootIds].slice(0, MAXIMUM_PREVIOUS_BOOT_IDS);
    return { ...NO_EVIDENCE, bootId, bootIdChangedAt: now, previousBootIds };
}

/**
 * Adds observations. Boot ids have no order. So when an observation with a previous boot id arrives soon
 * after a change, either this observation is late or the change itself was caused by a late one. In both
 * cases the upstream counts as cold until later observations settle it.
 */
export function observe(before: Evidence, run: ObservationRun, now: number): Evidence {
    const isPreviousBoot = run.bootId !== undefined && before.previousBootIds.includes(run.bootId);
    if (isPreviousBoot && now - before.bootIdChangedAt <= MAXIMUM_OBSERVATION_DELAY_MILLISECONDS) {
        return { ...before, fastAnswers: 0 };
    }
    const evidence = { ...withBootId(before, run.bootId, now), seenAt: now };
    const wasWarm = evidence.fastAnswers >= FAST_ANSWERS_UNTIL_WARM;
    switch (run.outcome) {
        case "fast":
            return {
                ...evidence,
                fastAnswers: Math.min(evidence.fastAnswers + run.count, FAST_ANSWERS_UNTIL_WARM),
                slowAnswers: 0,
                errors: 0,
            };
        case "slow": {
            const slowAnswers = Math.min(evidence.slowAnswers + run.count, SLOW_ANSWERS_UNTIL_COLD);
            const isCold = !wasWarm || slowAnswers >= SLOW_ANSWERS_UNTIL_COLD;
            return { ...evidence, slowAnswers, errors: 0, fastAnswers: isCold ? 0 : evidence.fastAnswers };
        }
        case "error": {
            const errors = Math.min(evidence.errors + run.count, ERRORS_UNTIL_COLD);
            const isCold = !wasWarm || errors >= ERRORS_UNTIL_COLD;
            return { ...evidence, errors, fastAnswers: isCold ? 0 : evidence.fastAnswers };
        }
        case "silent":
            return { ...evidence, errors: evidence.errors + run.count, fastAnswers: 0 };
    }
}

/** Appends an observation to the runs that are not sent yet; keeps the latest `limit` runs. */
export function appendRun(
    runs: readonly ObservationRun[],
    added: ObservationRun,
    limit: number,
): readonly ObservationRun[] {
    const last = runs.at(-1);
    if (last !== undefined && last.outcome === added.outcome && last.bootId === added.bootId) {
        const count = Math.min(last.count + added.count, FAST_ANSWERS_UNTIL_WARM);
        return [...runs.slice(0, -1), { ...last, count }];
    }
    return [...runs, added].slice(-limit);
}
