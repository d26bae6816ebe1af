/** What this node has seen of the load of one service: how long requests take, and which upstreams are full. */
import { createBoundedMap } from "../common/bounded-map.js";
import type { Random } from "../common/random.js";

export interface ServiceLoad {
    /** Requests of this node in flight. */
    ownRequests: number;
    /** Time for which a request occupies a slot, milliseconds. */
    residenceMilliseconds(): number;
    /** Records how long a request took that did not queue at its upstream. */
    recordResidence(milliseconds: number): void;
    /** Records that the upstream's process rejected a request because it is full. */
    recordFull(process: string, now: number): void;
    recordAccepted(process: string): void;
    isFull(process: string, now: number): boolean;
}

/** Weight of the newest request in the average. */
const SMOOTHING_WEIGHT = 0.05;

/**
 * Bounds of the time for which an upstream that rejected a request gets no other, milliseconds. The first pause is
 * the time of one request, in which a quarter of a full queue (24 requests, 6 slots) ends; it doubles with each
 * further rejection, so that many nodes together cause few of them.
 */
const SHORTEST_PAUSE_MILLISECONDS = 25;
const LONGEST_FIRST_PAUSE_MILLISECONDS = 150;
const LONGEST_PAUSE_MILLISECONDS = 400;

/** Random part of a pause, so that the nodes do not return at the same time. */
const PAUSE_SPREAD = 0.5;

const MAXIMUM_PROCESSES = 4096;

/** @param initialMilliseconds Residence until the first request has ended. */
export function createServiceLoad(initialMilliseconds: number, random: Random): ServiceLoad {
    const full = createBoundedMap<{ readonly until: number; readonly rejections: number }>(MAXIMUM_PROCESSES);
    let residence = initialMilliseconds;

    return {
        ownRequests: 0,
        residenceMilliseconds: () => residence,
        recordResidence: milliseconds => {
            residence += SMOOTHING_WEIGHT * (milliseconds - residence);
        },
        recordFull: (process, now) => {
            const rejections = (full.get(process)?.rejections ?? 0) + 1;
            const first = Math.min(
                LONGEST_FIRST_PAUSE_MILLISECONDS,
                Math.max(SHORTEST_PAUSE_MILLISECONDS, residence),
            );
            const pause = Math.min(LONGEST_PAUSE_MILLISECONDS, first * 2 ** (rejections - 1));
            full.set(process, {
                until: now + pause * (1 - PAUSE_SPREAD + 2 * PAUSE_SPREAD * random()),
                rejections,
            });
        },
        recordAccepted: process => full.delete(process),
        isFull: (process, now) => now < (full.get(process)?.until ?? -Infinity),
    };
}
