/**
 * Estimates the time that a request spends in its queue and the time to its answer, from recent requests. A
 * request that cannot meet its deadline is rejected early, while it has certainly not run.
 */

/** Time constant of the decaying count of starts, milliseconds. */
const RATE_MILLISECONDS = 2000;

/** Weight of the newest answer in the moving average of the time to an answer. */
const ANSWER_WEIGHT = 0.1;

/** Milliseconds in which an expected time to an answer decays to 1/e when no answers arrive. */
const ANSWER_MEMORY_MILLISECONDS = 5000;

/** Maximum entries of each table; the least recently updated entry is removed. */
const MAXIMUM_KEYS = 10_000;

export interface WaitEstimate {
    /** Records that a request of a queue was placed. */
    recordStart(queue: string, now: number): void;
    /** Records the time from the start of an attempt to its answer. */
    recordAnswerTime(target: string, milliseconds: number, now: number): void;
    /** Expected wait behind `queued` requests, milliseconds; 0 without enough data about the queue. */
    expectedWait(queue: string, queued: number, now: number): number;
    /** Expected time to an answer, milliseconds; 0 without data. It decays while no answers arrive. */
    expectedAnswerTime(target: string, now: number): number;
}

/** Rate at which the requests of one queue are placed. */
interface StartRate {
    /** Number of starts, decayed with the time constant RATE_MILLISECONDS. */
    readonly starts: number;
    /** Time of the last start. */
    readonly at: number;
    /** Time of the first start. A count that is younger than the time constant underestimates the rate. */
    readonly since: number;
}

function setBounded<Value>(map: Map<string, Value>, key: string, value: Value): void {
    map.delete(key);
    map.set(key, value);
    if (map.size > MAXIMUM_KEYS) {
        map.delete(map.keys().next().value!);
    }
}

function decayed(rate: StartRate, now: number): number {
    return rate.starts * Math.exp(-(now - rate.at) / RATE_MILLISECONDS);
}

export function createWaitEstimate(): WaitEstimate {
    const rates = new Map<string, StartRate>();
    const answerTimes = new Map<string, { readonly milliseconds: number; readonly at: number }>();
    return {
        recordStart: (queue, now) => {
            const rate = rates.get(queue);
            setBounded(rates, queue, {
                starts: (rate === undefined ? 0 : decayed(rate, now)) + 1,
                at: now,
                since: rate?.since ?? now,
            });
        },
        recordAnswerTime: (target, milliseconds, now) => {
            const known = answerTimes.get(target)?.milliseconds ?? milliseconds;
            setBounded(answerTimes, target, {
                milliseconds: known + ANSWER_WEIGHT * (milliseconds - known),
                at: now,
            });
        },
        expectedWait: (queue, queued, now) => {
            const rate = rates.get(queue);
            if (rate === undefined || queued === 0 || now - rate.since < RATE_MILLISECONDS) {
                return 0;
            }
            const startsPerMillisecond = decayed(rate, now) / RATE_MILLISECONDS;
            return queued / startsPerMillisecond;
        },
        expectedAnswerTime: (target, now) => {
            const known = answerTimes.get(target);
            // A high estimate rejects the very requests that would lower it, so it decays without answers.
            return known === undefined
                ? 0
                : known.milliseconds * Math.exp(-(now - known.at) / ANSWER_MEMORY_MILLISECONDS);
        },
    };
}
