/**
 * Times at which requests began to run at upstreams, by workspace, and copies of the recent times of another node.
 * Pure; times are on the monotonic clock of the node that recorded them.
 *
 * Designed for 100 requests a second at each node, of which 40 s are 4,000 times. Single times, not sums, make the
 * counts of adjacent windows exact, which matters for workspaces with few requests.
 */
import type { WorkspaceCounts } from "./duty-receiver.js";
import { createWindowBounds } from "./window-bounds.js";
import type { BoundTimes, CountedPeriod, WindowBounds } from "./window-bounds.js";

/** Time for which runs are kept, milliseconds: several windows with their delay. */
export const RETENTION_MILLISECONDS = 40_000;

/** Runs of a workspace that are kept; more than a node serves in the retention. */
const MAXIMUM_RUNS = 50_000;

/** Removes old times only when so many are old, because it moves the others. */
const MINIMUM_REMOVED = 256;

/** A period on one clock, from `from` inclusive to `to` exclusive, milliseconds. */
export interface Period {
    readonly from: number;
    readonly to: number;
}

/** Times of runs by workspace, in order. */
export type RunTimes = Readonly<Record<string, readonly number[]>>;

export interface RunCounts {
    record(workspace: string, now: number): void;
    /** Counts within a period. */
    within(period: Period): WorkspaceCounts;
    /** Times within a period, for a copy. */
    timesWithin(period: Period): RunTimes;
}

/** Adds counts to a map. */
export function addCounts(sum: Map<string, number>, counts: WorkspaceCounts): void {
    for (const [workspace, count] of Object.entries(counts)) {
        sum.set(workspace, (sum.get(workspace) ?? 0) + count);
    }
}

/** Position of the first time that is not before a time. */
function positionOf(times: readonly number[], time: number): number {
    let low = 0;
    let high = times.length;
    while (low < high) {
        const middle = (low + high) >> 1;
        if (times[middle]! < time) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

function countWithin(runs: ReadonlyMap<string, readonly number[]>, { from, to }: Period): WorkspaceCounts {
    const counts = [...runs].map(
        ([workspace, times]) =>
            [workspace, Math.max(0, positionOf(times, to) - positionOf(times, from))] as const,
    );
    return Object.fromEntries(counts.filter(([, count]) => count > 0));
}

function discardOld(runs: Map<string, number[]>, oldest: number): void {
    for (const [workspace, times] of runs) {
        const old = Math.max(positionOf(times, oldest), times.length - MAXIMUM_RUNS);
        if (old === times.length) {
            runs.delete(workspace);
        }
        else if (old >= MINIMUM_REMOVED) {
            times.splice(0, old);
        }
    }
}

export function createRunCounts(): RunCounts {
    const runs = new Map<string, number[]>();
    let discardedAt = -Infinity;

    return {
        record: (workspace, now) => {
            if (now - discardedAt >= RETENTION_MILLISECONDS / 2) {
                discardedAt = now;
                discardOld(runs, now - RETENTION_MILLISECONDS);
            }
            const times = runs.get(workspace);
            if (times === undefined) {
                runs.set(workspace, [now]);
            }
            else {
                times.push(now);
            }
        },
        within: period => countWithin(runs, period),
        timesWithin: ({ from, to }) =>
            Object.fromEntries(
                [...runs]
                    .map(
                        ([workspace, times]) =>
                            [workspace, times.slice(positionOf(times, from), positionOf(times, to))] as const,
                    )
                    .filter(([, times]) => times.length > 0),
            ),
    };
}

/** Runs that another node handed over. */
export interface CopiedRuns {
    readonly origin: string;
    readonly process: string;
    /** On the monotonic clock of the process; they replace what is known from `from` on. */
    readonly times: RunTimes;
    readonly from: number;
    /** Store's clock minus that clock, milliseconds. */
    readonly offset: number;
    /** On the monotonic clock of the process. @default none: the process runs an older version */
    readonly bounds?: BoundTimes;
}

/** Runs at other nodes, for the case that their processes are killed. */
export interface CountCopies {
    record(copy: CopiedRuns, storeNow: number): void;
    /** Counts of the processes of a node within a period of the store's clock. */
    within(origin: string, period: CountedPeriod): ReadonlyMap<string, WorkspaceCounts>;
}

interface ProcessCopy {
    readonly offset: number;
    readonly runs: Map<string, number[]>;
    readonly bounds: WindowBounds;
}

export function createCountCopies(): CountCopies {
    /** By process, by node. */
    const copies = new Map<string, Map<string, ProcessCopy>>();

    const discardOldCopies = (storeNow: number): void => {
        for (const [origin, processes] of copies) {
            for (const [process, { offset, runs }] of processes) {
                discardOld(runs, storeNow - offset - RETENTION_MILLISECONDS);
                if (runs.size === 0) {
                    processes.delete(process);
                }
            }
            if (processes.size === 0) {
                copies.delete(origin);
            }
        }
    };

    return {
        record: ({ origin, process, times, from, offset, bounds: newBounds }, storeNow) => {
            discardOldCopies(storeNow);
            const processes = copies.get(origin) ?? new Map<string, ProcessCopy>();
            const known = processes.get(process);
            const runs = known?.runs ?? new Map<string, number[]>();
            const bounds = known?.bounds ?? createWindowBounds();
            bounds.adopt(newBounds ?? {});
            for (const [workspace, runTimes] of runs) {
                runTimes.splice(positionOf(runTimes, from));
                if (runTimes.length === 0) {
                    runs.delete(workspace);
                }
            }
            for (const [workspace, added] of Object.entries(times)) {
                runs.set(workspace, [...(runs.get(workspace) ?? []), ...added]);
            }
            processes.set(process, { offset, runs, bounds });
            copies.set(origin, processes);
        },
        within: (origin, period) =>
            new Map(
                [...(copies.get(origin) ?? [])].map(([process, { offset, runs, bounds }]) => [
                    process,
                    countWithin(runs, bounds.convert(period, offset)),
                ]),
            ),
    };
}
