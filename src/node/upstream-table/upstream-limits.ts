/**
 * Limits that upstreams name for the requests of all nodes together.
 *
 * Each limit is shared by a few nodes, the first in the upstream's order (rendezvous hashing), because an equal
 * share of every node would be less than one request in a useful time. A node that does not share a limit sends
 * nothing to the upstream. A node that has been silent loses its share to the next one in the order.
 */
import { createBoundedMap } from "../common/bounded-map.js";
import { rendezvousOrder } from "../common/hash.js";

/** Statement of an upstream's process; `age` in milliseconds. A limit of -1 states that there is none. */
export type WireLimit = readonly [process: string, limitPerSecond: number, age: number];

export interface UpstreamLimits {
    /**
     * Records what a response of a process said.
     *
     * @param limitPerSecond `undefined` when the response named no limit.
     * @param sentAt Monotonic time at which the request was sent.
     */
    record(process: string, limitPerSecond: number | undefined, sentAt: number, now: number): void;
    /** Whether this node may send one more request to the process now. */
    hasRoom(process: string, now: number): boolean;
    /** Records a request that is sent to the process. */
    consume(process: string, now: number): void;
    merge(limits: readonly WireLimit[], now: number): void;
    /** Statements for the other nodes; `undefined` when there are none to report now. */
    report(now: number): readonly WireLimit[] | undefined;
    /** Number of processes with a limit. */
    readonly size: number;
}

export interface UpstreamLimitsOptions {
    readonly node: string;
    /** Ids of all nodes. Returns the same array until the list changes. */
    readonly nodes: () => readonly string[];
    /** Whether another node takes part in shares. */
    readonly isActive: (node: string, now: number) => boolean;
}

/** Time for which a share may be saved up while it is not used, seconds. */
const SAVED_SECONDS = 1;

/** Time for which the nodes that share a limit are not determined again, milliseconds. */
const SHARE_VALIDITY_MILLISECONDS = 500;

/** Time for which a changed statement is reported to other nodes, milliseconds: several reports. */
const NEWS_MILLISECONDS = 500;

/** Interval at which all limits are reported again, for nodes that missed them, milliseconds. */
const REPEAT_MILLISECONDS = 1000;

/** Relative change of a limit from which it is news. */
const NEWS_RATIO = 0.02;

const MAXIMUM_REPORTED_LIMITS = 48;

const MAXIMUM_SHARING_NODES = 48;

/** Nodes that may be silent at the same time while others take over their shares. */
const SPARE_NODES = 16;

/** Processes whose statements are kept, including those that have ended since. */
const MAXIMUM_PROCESSES = 8192;

/** Value of `WireLimit` for a process without a limit. */
const NO_LIMIT = -1;

interface LimitState {
    /** `undefined` after a response that named no limit. */
    limitPerSecond: number | undefined;
    /** Monotonic time of the last response that this statement comes from. */
    statedAt: number;
    /** Monotonic time at which this node learned a different statement. */
    changedAt: number;
    /** Requests that this node may send now. */
    tokens: number;
    refilledAt: number;
    /** List of nodes from which `order` was derived. */
    nodes: readonly string[] | undefined;
    /** The first nodes in the upstream's order: those that share the limit and those that replace them. */
    order: readonly string[];
    /** This node's share of the limit, requests per second. */
    share: number;
    shareUntil: number;
}

/** Number of nodes that share a limit: each gets at least one request per second where the limit allows it. */
function sharingNodeCount(limitPerSecond: number): number {
    return Math.min(MAXIMUM_SHARING_NODES, Math.max(1, Math.floor(limitPerSecond)));
}

export function createUpstreamLimits(options: UpstreamLimitsOptions): UpstreamLimits {
    const states = createBoundedMap<LimitState>(MAXIMUM_PROCESSES);
    let repeatedAt = -Infinity;
    let repeatFrom = 0;

    const state = (process: string, limit: number | undefined, statedAt: number, now: number): void => {
        const known = states.get(process);
        if (known === undefined) {
            if (limit !== undefined) {
                states.set(process, {
                    limitPerSecond: limit,
                    statedAt,
                    changedAt: now,
                    tokens: 0,
                    refilledAt: now,
                    nodes: undefined,
                    order: [],
                    share: 0,
                    shareUntil: now,
                });
            }
            return;
        }
        if (statedAt <= known.statedAt) {
            return;
        }
        known.statedAt = statedAt;
        const isSame =
            limit === undefined || known.limitPerSecond === undefined
                ? limit === known.limitPerSecond
                : Math.abs(limit - known.limitPerSecond) <= NEWS_RATIO * known.limitPerSecond;
        if (!isSame) {
            known.limitPerSecond = limit;
            known.nodes = undefined;
            known.changedAt = now;
            known.shareUntil = now;
        }
    };

    const updateShare = (process: string, entry: LimitState, now: number): void => {
        if (now < entry.shareUntil || entry.limitPerSecond === undefined) {
            return;
        }
        const count = sharingNodeCount(entry.limitPerSecond);
        const nodes = options.nodes();
        if (nodes !== entry.nodes) {
            entry.nodes = nodes;
            entry.order = rendezvousOrder(process, nodes).slice(0, count + SPARE_NODES);
        }
        const sharing = entry.order
            .filter(node => node === options.node || options.isActive(node, now))
            .slice(0, count);
        const share = sharing.includes(options.node) ? entry.limitPerSecond / sharing.length : 0;
        if (share === 0) {
            // A node that gets a share later begins without saved requests.
            entry.tokens = 0;
        }
        entry.share = share;
        entry.shareUntil = now + SHARE_VALIDITY_MILLISECONDS;
    };

    const refill = (process: string, entry: LimitState, now: number): void => {
        updateShare(process, entry, now);
        const capacity = Math.max(1, entry.share * SAVED_SECONDS);
        const elapsedSeconds = (now - entry.refilledAt) / 1000;
        entry.tokens = Math.min(capacity, entry.tokens + elapsedSeconds * entry.share);
        entry.refilledAt = now;
    };

    const limitedState = (process: string): LimitState | undefined => {
        if (states.size === 0) {
            return undefined;
        }
        const entry = states.get(process);
        return entry?.limitPerSecond === undefined ? undefined : entry;
    };

    return {
        record: (process, limitPerSecond, sentAt, now) => {
            const known = states.get(process);
            // A response to a request from before the last statement may be older than that statement.
            if (limitPerSecond === undefined && (known === undefined || sentAt < known.statedAt)) {
                return;
            }
            state(process, limitPerSecond, now, now);
        },
        hasRoom: (process, now) => {
            const entry = limitedState(process);
            if (entry === undefined) {
                return true;
            }
            refill(process, entry, now);
            return entry.tokens >= 1;
        },
        consume: (process, now) => {
            const entry = limitedState(process);
            if (entry !== undefined) {
                refill(process, entry, now);
                entry.tokens -= 1;
            }
        },
        merge: (limits, now) => {
            for (const [process, limitPerSecond, age] of limits) {
                state(process, limitPerSecond === NO_LIMIT ? undefined : limitPerSecond, now - age, now);
            }
        },
        report: now => {
            const limited = [...states.entries()].filter(([, entry]) => entry.limitPerSecond !== undefined);
            const isRepeat = limited.length > 0 && now - repeatedAt >= REPEAT_MILLISECONDS;
            const news = [...states.entries()].filter(
                ([, { changedAt }]) => now - changedAt < NEWS_MILLISECONDS,
            );
            if (news.length === 0 && !isRepeat) {
                return undefined;
            }
            const room = MAXIMUM_REPORTED_LIMITS - Math.min(news.length, MAXIMUM_REPORTED_LIMITS);
            const start = limited.length === 0 ? 0 : repeatFrom % limited.length;
            const repeated = isRepeat
                ? [...limited.slice(start), ...limited.slice(0, start)].slice(0, room)
                : [];
            if (isRepeat) {
                repeatedAt = now;
                repeatFrom = start + room;
            }
            const reported = new Map([...news.slice(-MAXIMUM_REPORTED_LIMITS), ...repeated]);
            return [...reported].map(
                ([process, { limitPerSecond, statedAt }]) =>
                    [process, limitPerSecond ?? NO_LIMIT, Math.round(now - statedAt)] as const,
            );
        },
        get size() {
            return [...states.entries()].filter(([, entry]) => entry.limitPerSecond !== undefined).length;
        },
    };
}
