/**
 * Decides whether this node has lost its path to the upstreams. Step functions, without I/O.
 *
 * Attempts that fail at several upstreams are a reason to look, no proof: upstreams crash, fall silent and
 * restart. Probes of a few random upstreams of all services decide, and end the isolation, so that no caller's
 * request has to try.
 */

export interface IsolationState {
    /** Monotonic time of the last failed attempt by address. */
    readonly failures: ReadonlyMap<string, number>;
    /** Consecutive rounds of probes in which none succeeded. */
    readonly failedRounds: number;
    /** Monotonic time from which the next round may begin. */
    readonly nextRoundAt: number;
}

/** Upstreams at which attempts must have failed before the node probes. */
const FAILURES_TO_PROBE = 2;

/** Time for which a failed attempt counts, milliseconds. */
const FAILURE_VALIDITY_MILLISECONDS = 2000;

/** Failed rounds from which the node counts as isolated. Each probes other upstreams. */
const ROUNDS_TO_ISOLATE = 2;

/** Intervals between rounds of probes, milliseconds. */
const SUSPICION_INTERVAL_MILLISECONDS = 100;
const ISOLATION_INTERVAL_MILLISECONDS = 400;
const RELIEF_INTERVAL_MILLISECONDS = 2000;

const MAXIMUM_FAILURES = 64;

export const INITIAL_ISOLATION: IsolationState = { failures: new Map(), failedRounds: 0, nextRoundAt: 0 };

export function isIsolated({ failedRounds }: IsolationState): boolean {
    return failedRounds >= ROUNDS_TO_ISOLATE;
}

/** Records an attempt that got no connection or no answer from an upstream. */
export function recordFailure(state: IsolationState, address: string, now: number): IsolationState {
    const recent = [...state.failures].filter(
        ([other, at]) => other !== address && now - at < FAILURE_VALIDITY_MILLISECONDS,
    );
    return { ...state, failures: new Map([...recent.slice(1 - MAXIMUM_FAILURES), [address, now]]) };
}

/** Whether a round of probes should begin now. */
export function shouldProbe(state: IsolationState, now: number): boolean {
    if (now < state.nextRoundAt) {
        return false;
    }
    const recent = [...state.failures.values()].filter(at => now - at < FAILURE_VALIDITY_MILLISECONDS);
    return state.failedRounds > 0 || recent.length >= FAILURES_TO_PROBE;
}

/** Records the end of a round of probes. */
export function recordRound(state: IsolationState, hasSucceeded: boolean, now: number): IsolationState {
    if (hasSucceeded) {
        return {
            ...INITIAL_ISOLATION,
            nextRoundAt: now + (isIsolated(state) ? 0 : RELIEF_INTERVAL_MILLISECONDS),
        };
    }
    const next = { ...state, failedRounds: state.failedRounds + 1 };
    const interval = isIsolated(next) ? ISOLATION_INTERVAL_MILLISECONDS : SUSPICION_INTERVAL_MILLISECONDS;
    return { ...next, nextRoundAt: now + interval };
}
