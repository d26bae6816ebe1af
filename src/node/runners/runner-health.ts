/** Health of one upstream as this node's own requests show it. */

export interface RunnerHealth {
    /** Share of failed requests, weighted towards the newest, 0 to 1. */
    failureShare(): number;
    /** Smoothed time to the first byte relative to what was expected; 1 is usual. */
    slowness(): number;
    /** Whether requests should go elsewhere for now, if there is an elsewhere. */
    isAvoided(now: number): boolean;
    /** Whether failures of its requests made this node eject the upstream for now. */
    isEjected(now: number): boolean;
    recordSuccess(slowness: number): void;
    /** Records a request that failed or hung. */
    recordFailure(now: number): void;
    /** Records a request that the upstream turned away without running it. */
    recordRejection(now: number): void;
}

/** Weight of the newest request in the smoothed shares. */
const SMOOTHING = 0.2;

/** Failures in a row from which on an upstream is ejected. */
const EJECTING_FAILURES = 2;

/** First and longest time of an ejection, milliseconds. Doubles with each failure in a row. */
const EJECTION_MILLISECONDS = 1000;
const LONGEST_EJECTION_MILLISECONDS = 8000;

/** Share of failures from which on an upstream is ejected. */
const EJECTING_FAILURE_SHARE = 0.35;

/** Time for which an upstream is avoided after it rejected a request, milliseconds. */
const REJECTION_MILLISECONDS = 250;

export function createRunnerHealth(): RunnerHealth {
    let failureShare = 0;
    let slowness = 1;
    let failuresInRow = 0;
    let ejectedUntil = 0;
    let rejectedUntil = 0;

    return {
        failureShare: () => failureShare,
        slowness: () => slowness,
        isAvoided: now => now < ejectedUntil || now < rejectedUntil,
        isEjected: now => now < ejectedUntil,
        recordSuccess: value => {
            failureShare *= 1 - SMOOTHING;
            slowness += SMOOTHING * (Math.min(10, value) - slowness);
            failuresInRow = 0;
        },
        recordFailure: now => {
            failureShare += SMOOTHING * (1 - failureShare);
            failuresInRow += 1;
            if (failuresInRow >= EJECTING_FAILURES || failureShare >= EJECTING_FAILURE_SHARE) {
                const ejection = EJECTION_MILLISECONDS * 2 ** Math.max(0, failuresInRow - EJECTING_FAILURES);
                ejectedUntil = Math.max(
                    ejectedUntil,
                    now + Math.min(LONGEST_EJECTION_MILLISECONDS, ejection),
                );
            }
        },
        recordRejection: now => {
            rejectedUntil = now + REJECTION_MILLISECONDS;
        },
    };
}
