/** Knows whether several answers of an upstream ended with their connections at the same time, as at its exit. */
import { createBoundedMap } from "../common/bounded-map.js";

export interface SharedEnds {
    /** Records an answer that ended with its connection, as a whole one without framing or broken off. */
    record(process: string, now: number): void;
    /** Whether several such answers of the process ended since a time. */
    isShared(process: string, since: number): boolean;
}

const MAXIMUM_PROCESSES = 1024;

/** Ends that are kept for each process. */
const MAXIMUM_ENDS = 2;

export function createSharedEnds(): SharedEnds {
    const endsByProcess = createBoundedMap<readonly number[]>(MAXIMUM_PROCESSES);
    return {
        record: (process, now) =>
            endsByProcess.set(process, [...(endsByProcess.get(process) ?? []), now].slice(-MAXIMUM_ENDS)),
        isShared: (process, since) =>
            (endsByProcess.get(process) ?? []).filter(at => at >= since).length >= MAXIMUM_ENDS,
    };
}
