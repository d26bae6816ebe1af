/** Passive health check of one upstream, based on the results of this node's requests. */

export interface UpstreamHealth {
    /** Exponentially weighted share of failed requests, 0 to 1. */
    failureShare(): number;
    /** Exponentially weighted ratio of the time to the first byte to the expected time; 1 is normal. */
    slowness(): number;
    /** Whether requests should use another upstream for now, if there is one. */
    isAvoided(now: number): boolean;
    /** Whether this node has ejected the upstream because of failed requests, or because it is gone. */
    isEjected(now: number): boolean;
    /** Whether the upstream has just rejected a request, or could not be reached. */
    isUnavailable(now: number): boolean;
    recordSuccess(slowness: number): void;
    /** Records a request that failed or timed out. */
    recordFailure(now: number): void;
    /** Whether the upstream has asked this node for a pause. No request may be sent to it then. */
    isPaused(now: number): boolean;
    /**
     * Records a request that the upstream rejected without running it.
     *
     * @param pauseSeconds Time for which the upstream wants nothing from this node.
     */
    recordRejection(now: number, pauseSeconds?: number): void;
    /**
     * Records that a request did not get to the upstream.
     *
     * @param isGone No process listens at its address, or another one does. Unlike a timeout, which can come
     * from a fault of this node's network, this is worth telling other nodes.
     */
    recordUnreached(now: number, isGone: boolean): void;
}

/** Weight of the newest request in the moving averages. */
const SMOOTHING_WEIGHT = 0.2;

/** Consecutive failures that eject an upstream. */
const CONSECUTIVE_FAILURES_TO_EJECT = 2;

/**
 * Initial and maximum duration of an ejection, milliseconds. Doubles with each further consecutive failure.
 */
const INITIAL_EJECTION_MILLISECONDS = 1000;
const MAXIMUM_EJECTION_MILLISECONDS = 8000;

/** Failure share that ejects an upstream. */
const FAILURE_SHARE_TO_EJECT = 0.35;

/** Time for which an upstream is avoided after it rejects a request, milliseconds. */
const REJECTION_AVOIDANCE_MILLISECONDS = 250;

/** Time for which an upstream is avoided after a request did not get to it, milliseconds. */
const UNREACHED_AVOIDANCE_MILLISECONDS = 1000;

export function createUpstreamHealth(): UpstreamHealth {
    let failureShare = 0;
    let slowness = 1;
    let consecutiveFailures = 0;
    let ejectedUntil = 0;
    let rejectedUntil = 0;
    let goneUntil = 0;
    let pausedUntil = 0;

    return {
        failureShare: () => failureShare,
        slowness: () => slowness,
        isAvoided: now => now < ejectedUntil || now < rejectedUntil,
        isEjected: now => now < ejectedUntil || now < goneUntil,
        isUnavailable: now => now < rejectedUntil,
        recordSuccess: value => {
            failureShare *= 1 - SMOOTHING_WEIGHT;
            slowness += SMOOTHING_WEIGHT * (Math.min(10, value) - slowness);
            consecutiveFailures = 0;
        },
        recordFailure: now => {
            failureShare += SMOOTHING_WEIGHT * (1 - failureShare);
            consecutiveFailures += 1;
            if (
                consecutiveFailures >= CONSECUTIVE_FAILURES_TO_EJECT ||
                failureShare >= FAILURE_SHARE_TO_EJECT
            ) {
                const ejection =
                    INITIAL_EJECTION_MILLISECONDS *
                    2 ** Math.max(0, consecutiveFailures - CONSECUTIVE_FAILURES_TO_EJECT);
                ejectedUntil = Math.max(
                    ejectedUntil,
                    now + Math.min(MAXIMUM_EJECTION_MILLISECONDS, ejection),
                );
            }
        },
        isPaused: now => now < pausedUntil,
        recordRejection: (now, pauseSeconds = 0) => {
            pausedUntil = Math.max(pausedUntil, now + pauseSeconds * 1000);
            rejectedUntil = Math.max(rejectedUntil, now + REJECTION_AVOIDANCE_MILLISECONDS);
        },
        recordUnreached: (now, isGone) => {
            rejectedUntil = now + UNREACHED_AVOIDANCE_MILLISECONDS;
            goneUntil = isGone ? rejectedUntil : goneUntil;
        },
    };
}
