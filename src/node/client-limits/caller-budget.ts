/**
 * Decides what a process may hold for its callers. Designed for up to 4,000 connections at a node with 178 to 602 MB,
 * of which some send bodies, pipeline requests or leave answers unread as no conforming client does.
 *
 * Two resources are counted: buffers outside the JavaScript heap, and objects on it, because the heap has a limit of
 * its own. When one is exhausted, holders are shed by bytes times the time for which they have held them, so that a
 * large and slow one goes first and a request that has just arrived goes last.
 */

export type HeldResource = "buffers" | "objects";

/** Bytes of each resource. */
export type HeldBytes = Readonly<Record<HeldResource, number>>;

/** Something that holds memory for a caller. */
export interface BudgetHolder {
    /** Gives up what the holder holds. It is not counted any more when this is called. */
    readonly shed: (resource: HeldResource) => void;
}

export interface CallerBudget {
    /** Sets what a holder holds now, and sheds holders while a resource is exhausted. 0 bytes remove it. */
    set(holder: BudgetHolder, bytes: HeldBytes): void;
    /** Bytes that all holders hold. */
    held(): HeldBytes;
}

export interface CallerBudgetOptions {
    readonly maximum: HeldBytes;
    /** Monotonic time, milliseconds. */
    readonly now: () => number;
    readonly onShed: (resource: HeldResource, bytes: number, milliseconds: number) => void;
}

/**
 * Share of the maximum down to which holders are shed. Without the margin, each further chunk would compare all
 * holders again.
 */
const RELIEVED_SHARE = 0.9;

const RESOURCES: readonly HeldResource[] = ["buffers", "objects"];

interface HeldEntry {
    readonly bytes: HeldBytes;
    /** Time from which the holder has held anything. */
    readonly since: number;
}

/** Returns the largest and slowest holder of a resource, if any holds some. */
export function chooseHolderToShed<Holder>(
    entries: Iterable<readonly [Holder, HeldEntry]>,
    resource: HeldResource,
    now: number,
): Holder | undefined {
    let chosen: Holder | undefined;
    let largest = 0;
    for (const [holder, { bytes, since }] of entries) {
        // One millisecond more, so that the size decides between holders that have just begun.
        const weight = bytes[resource] * (now - since + 1);
        if (weight > largest) {
            largest = weight;
            chosen = holder;
        }
    }
    return chosen;
}

export function createCallerBudget({ maximum, now, onShed }: CallerBudgetOptions): CallerBudget {
    const entries = new Map<BudgetHolder, HeldEntry>();
    const total = { buffers: 0, objects: 0 };

    const remove = (holder: BudgetHolder): HeldEntry | undefined => {
        const entry = entries.get(holder);
        if (entry !== undefined) {
            entries.delete(holder);
            total.buffers -= entry.bytes.buffers;
            total.objects -= entry.bytes.objects;
        }
        return entry;
    };

    const relieve = (resource: HeldResource): void => {
        const target = maximum[resource] * RELIEVED_SHARE;
        while (total[resource] > target) {
            const holder = chooseHolderToShed(entries, resource, now());
            if (holder === undefined) {
                return;
            }
            const { bytes, since } = remove(holder)!;
            onShed(resource, bytes[resource], now() - since);
            holder.shed(resource);
        }
    };

    return {
        set: (holder, bytes) => {
            const since = remove(holder)?.since ?? now();
            if (bytes.buffers === 0 && bytes.objects === 0) {
                return;
            }
            entries.set(holder, { bytes, since });
            total.buffers += bytes.buffers;
            total.objects += bytes.objects;
            for (const resource of RESOURCES) {
                if (total[resource] > maximum[resource]) {
                    relieve(resource);
                }
            }
        },
        held: () => ({ ...total }),
    };
}
