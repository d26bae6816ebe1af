/** Nodes of the deployment. Each node announces itself in the store. */
import * as z from "zod/mini";
import { rendezvousOrder } from "../common/hash.js";
import type { Lifecycle } from "../lifecycle/lifecycle.js";
import type { Logger } from "../logging/logging.js";
import { createRowReader } from "../replica/row-reader.js";
import type { RowReplica } from "../replica/row-replica.js";
import type { SharedStore } from "../replica/shared-store.js";

export interface NodeEntry {
    readonly id: string;
    readonly dataCentre: string;
    /** Base URL of the node's peer listener. */
    readonly peerAddress: string;
    /** IP address for load reports. */
    readonly address: string;
    /** Capacity of the node's link, Mbit/s; `undefined` when the settings do not state it. */
    readonly linkMegabitsPerSecond?: number;
    readonly region?: string;
    /** `ip:port` at which the node takes requests of nodes without a path to the upstreams. */
    readonly handoverAddress?: string;
    /** The node takes part in aggregated load reports. Absent on nodes of earlier versions. */
    readonly aggregatesLoads?: boolean;
}

export interface NodeList {
    readonly self: NodeEntry;
    /** Nodes that have announced themselves and have not left. Includes crashed nodes. */
    entries(): readonly NodeEntry[];
    /** Ids of `entries`. Returns the same array until the list changes. */
    readonly ids: () => readonly string[];
    /**
     * Number of nodes in the list, or an assumed number before the list is read. Limits for the whole
     * deployment are divided by it.
     */
    count(): number;
    /**
     * This node's share of the rate that all nodes together may send to a cold upstream, requests per second.
     */
    shareOf(upstream: string, requestsPerSecond: number): number;
}

export interface NodeListOptions {
    readonly self: NodeEntry;
    readonly replica: RowReplica;
    readonly store: SharedStore;
    readonly lifecycle: Lifecycle;
    readonly logger: Logger;
}

const KEY_PREFIX = "node/";

const nodeRow = z.object({
    id: z.string(),
    dataCentre: z.string(),
    peerAddress: z.string(),
    address: z.string(),
    linkMegabitsPerSecond: z.optional(z.number()),
    region: z.optional(z.string()),
    handoverAddress: z.optional(z.string()),
    aggregatesLoads: z.optional(z.boolean()),
});

/**
 * Number of nodes assumed before the list is read. Exceeds most deployments, so shares are too small
 * rather than too large.
 */
const ASSUMED_NODE_COUNT = 16;

/** Interval between attempts to announce the node, milliseconds. */
const ANNOUNCE_INTERVAL_MILLISECONDS = 1000;

export function createNodeList(options: NodeListOptions): NodeList {
    const { self, replica, store, logger } = options;
    const key = `${KEY_PREFIX}${self.id}`;
    const value = JSON.stringify(self);
    const readNode = createRowReader<NodeEntry>(nodeRow, logger);
    let cached: readonly NodeEntry[] = [];
    let ids: readonly string[] = [];
    replica.onChange(changes => {
        if (changes.some(change => change.key.startsWith(KEY_PREFIX))) {
            cached = replica.list(KEY_PREFIX).flatMap(row => readNode(row) ?? []);
            ids = cached.map(entry => entry.id);
            logger.info("The list of nodes changed.", { nodes: cached.length, revision: replica.revision });
        }
    });

    const announce = (): void => {
        if (replica.revision === 0 || replica.stored(key)?.value === value) {
            return;
        }
        store.transact({ conditions: [], writes: [{ table: "nodes", key, value }] }).catch((error: unknown) =>
            logger.warn("Could not announce the node; trying again.", {
                error: (error as Error).message,
            }),
        );
    };

    options.lifecycle.add({
        name: "node list",
        start: () => {
            const timer = setInterval(announce, ANNOUNCE_INTERVAL_MILLISECONDS);
            replica.onChange(announce);
            return async () => {
                clearInterval(timer);
                await store
                    .transact({ conditions: [], writes: [{ table: "nodes", key, value: undefined }] })
                    .catch((error: unknown) =>
                        logger.warn("Could not remove the node from the list.", {
                            error: (error as Error).message,
                        }),
                    );
            };
        },
    });

    const count = (): number => (cached.length === 0 ? ASSUMED_NODE_COUNT : cached.length);

    return {
        self,
        entries: () => cached,
        ids: () => ids,
        count,
        shareOf: (upstream, requestsPerSecond) => {
            const share = requestsPerSecond / count();
            if (share >= 1) {
                return Math.floor(share);
            }
            // Fewer requests than nodes: the first nodes in the upstream's order (rendezvous hashing) send
            // one request per second each.
            const rank = rendezvousOrder(upstream, ids).indexOf(self.id);
            return rank >= 0 && rank < Math.floor(requestsPerSecond) ? 1 : 0;
        },
    };
}
