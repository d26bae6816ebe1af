/** Decides how long a node sends nothing to an upstream that rejected a request of it. */

/** Shortest pause after a rejection by an upstream that crashes under too many of them, seconds. */
const MINIMUM_BRITTLE_PAUSE_SECONDS = 1;

/** Share of the rejections that such an upstream bears that the nodes use. */
const USED_SHARE = 0.5;

export interface Rejection {
    readonly status: number;
    /** `Retry-After` of the rejection, seconds. */
    readonly retryAfterSeconds: number | undefined;
    /** Rejections per second, of all nodes, above which the upstream crashes. */
    readonly maximumRejectionsPerSecond: number | undefined;
}

const HTTP_UNAVAILABLE = 503;

/**
 * Returns the pause in seconds; 0 when there is none. Each node causes at most one rejection per pause, so the
 * nodes together stay below the rate that the upstream bears.
 */
export function pauseAfterRejection(rejection: Rejection, nodeCount: number): number {
    if (rejection.status !== HTTP_UNAVAILABLE) {
        return 0;
    }
    const { maximumRejectionsPerSecond: maximum } = rejection;
    const brittlePause =
        maximum === undefined
            ? 0
            : Math.max(MINIMUM_BRITTLE_PAUSE_SECONDS, nodeCount / (USED_SHARE * Math.max(1, maximum)));
    return Math.max(brittlePause, rejection.retryAfterSeconds ?? 0);
}
