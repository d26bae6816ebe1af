/**
 * Time-stamped counts of the requests that began to run at upstreams, by workspace, and copies of the recent
 * counts of another node. Pure; times are on this node's monotonic clock, and on the store's clock between nodes.
 *
 * Designed for 100 requests a second at each node: a slot of time holds a few workspaces, and 40 s of slots fit in
 * some hundred kilobytes.
 */
import type { WorkspaceCounts } from "./duty-receiver.js";

/** Length of a slot, milliseconds. A window's end divides a slot by time, which is off by some requests at most. */
export const SLOT_MILLISECONDS = 100;

/** Time for which counts are kept, milliseconds: several windows with their delay. */
export const RETENTION_MILLISECONDS = 40_000;

/** A period on one clock, from `from` inclusive to `to` exclusive, milliseconds. */
export interface Period {
    readonly from: number;
    readonly to: number;
}

/** Counts of one slot; `at` is its start. */
export interface SlotCounts {
    readonly at: number;
    readonly counts: WorkspaceCounts;
}

export interface RunCounts {
    record(workspace: string, now: number): void;
    /** Counts within a period. A slot that is partly within it counts by the share of its time. */
    within(period: Period): WorkspaceCounts;
    /** Slots that ended after a time and before another one, for a copy. */
    slotsBetween(after: number, before: number): readonly SlotCounts[];
}

/** Adds counts to a map. */
export function addCounts(sum: Map<string, number>, counts: WorkspaceCounts, share = 1): void {
    for (const [workspace, count] of Object.entries(counts)) {
        sum.set(workspace, (sum.get(workspace) ?? 0) + count * share);
    }
}

/** Sum over slots within a period. */
export function sumSlots(slots: Iterable<SlotCounts>, { from, to }: Period): Map<string, number> {
    const sum = new Map<string, number>();
    for (const { at, counts } of slots) {
        const overlap = Math.min(to, at + SLOT_MILLISECONDS) - Math.max(from, at);
        if (overlap > 0) {
            addCounts(sum, counts, overlap / SLOT_MILLISECONDS);
        }
    }
    return sum;
}

export function createRunCounts(): RunCounts {
    /** By number of the slot, oldest first. */
    const slots = new Map<number, Map<string, number>>();

    const listed = function* (): Iterable<SlotCounts> {
        for (const [index, counts] of slots) {
            yield { at: index * SLOT_MILLISECONDS, counts: Object.fromEntries(counts) };
        }
    };

    return {
        record: (workspace, now) => {
            const index = Math.floor(now / SLOT_MILLISECONDS);
            let slot = slots.get(index);
            if (slot === undefined) {
                slot = new Map();
                slots.set(index, slot);
                for (const old of slots.keys()) {
                    if (old * SLOT_MILLISECONDS >= now - RETENTION_MILLISECONDS) {
                        break;
                    }
                    slots.delete(old);
                }
            }
            slot.set(workspace, (slot.get(workspace) ?? 0) + 1);
        },
        within: period => Object.fromEntries(sumSlots(listed(), period)),
        slotsBetween: (after, before) =>
            [...listed()].filter(({ at }) => at >= after && at + SLOT_MILLISECONDS <= before),
    };
}

/** Counts that another node handed over, for the case that it is killed. */
export interface CountCopies {
    /**
     * @param slots Slots on the monotonic clock of their node; a repeated slot replaces the one before.
     * @param offset Store's clock minus that clock, milliseconds.
     */
    record(
        origin: string,
        process: string,
        slots: readonly SlotCounts[],
        offset: number,
        storeNow: number,
    ): void;
    /** Counts of the processes of a node within a period of the store's clock. */
    within(origin: string, period: Period): ReadonlyMap<string, WorkspaceCounts>;
}

interface ProcessCopy {
    readonly offset: number;
    readonly slots: Map<number, SlotCounts>;
}

export function createCountCopies(): CountCopies {
    /** By process, by node. */
    const copies = new Map<string, Map<string, ProcessCopy>>();

    const discardOld = (storeNow: number): void => {
        for (const [origin, processes] of copies) {
            for (const [process, { offset, slots }] of processes) {
                for (const at of slots.keys()) {
                    if (at + offset < storeNow - RETENTION_MILLISECONDS) {
                        slots.delete(at);
                    }
                }
                if (slots.size === 0) {
                    processes.delete(process);
                }
            }
            if (processes.size === 0) {
                copies.delete(origin);
            }
        }
    };

    return {
        record: (origin, process, slots, offset, storeNow) => {
            discardOld(storeNow);
            const processes = copies.get(origin) ?? new Map<string, ProcessCopy>();
            const known = processes.get(process)?.slots ?? new Map<number, SlotCounts>();
            slots.forEach(slot => known.set(slot.at, slot));
            processes.set(process, { offset, slots: known });
            copies.set(origin, processes);
        },
        within: (origin, { from, to }) =>
            new Map(
                [...(copies.get(origin) ?? [])].map(([process, { offset, slots }]) => [
                    process,
                    Object.fromEntries(sumSlots(slots.values(), { from: from - offset, to: to - offset })),
                ]),
            ),
    };
}
