/**
 * Divides the slots of an upstream among the nodes, so that all nodes together never let a request wait at it.
 *
 * The nodes agree without messages: each takes its rank in the upstream's order (rendezvous hashing) among the
 * nodes that it hears.
 */
import { createBoundedMap } from "../common/bounded-map.js";
import { rendezvousOrder } from "../common/hash.js";

export interface SlotSharesOptions {
    readonly node: string;
    /** Ids of all nodes. */
    readonly nodes: () => readonly string[];
    /** Whether another node takes part in shares. */
    readonly isActive: (node: string, now: number) => boolean;
}

export interface SlotShares {
    /** Requests that this node may have in flight at an upstream's process. */
    shareOf(process: string, slots: number, now: number): number;
}

/** Time for which a share is not determined again, milliseconds. */
const SHARE_VALIDITY_MILLISECONDS = 500;

/** Processes whose shares are kept. */
const MAXIMUM_PROCESSES = 4096;

/** Share of the node at `rank` of `count` nodes. The first ones get what cannot be divided evenly. */
export function divideSlots(slots: number, rank: number, count: number): number {
    const whole = Math.floor(slots);
    return Math.floor(whole / count) + (rank < whole % count ? 1 : 0);
}

export function createSlotShares(options: SlotSharesOptions): SlotShares {
    const shares = createBoundedMap<{
        readonly share: number;
        readonly slots: number;
        readonly until: number;
    }>(MAXIMUM_PROCESSES);
    return {
        shareOf: (process, slots, now) => {
            const known = shares.get(process);
            if (known !== undefined && known.slots === slots && now < known.until) {
                return known.share;
            }
            const active = options
                .nodes()
                .filter(node => node === options.node || options.isActive(node, now));
            const rank = rendezvousOrder(process, active).indexOf(options.node);
            const share = divideSlots(slots, rank < 0 ? active.length : rank, Math.max(1, active.length));
            shares.set(process, { share, slots, until: now + SHARE_VALIDITY_MILLISECONDS });
            return share;
        },
    };
}
