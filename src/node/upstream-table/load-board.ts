/**
 * Load of the upstreams, summed over the requests of this node and the reports of the other nodes. An
 * engine's own load report is hundreds of milliseconds old; the nodes count a long prompt before the engine
 * reads it.
 */

import { createBoundedMap } from "../common/bounded-map.js";

/** Unfinished work of an upstream. */
export interface Load {
    /** Prompt tokens that the upstream has not processed yet, in tokens of the largest model. */
    readonly pendingTokens: number;
    /** Requests in flight. */
    readonly requests: number;
    /** Memory that the requests occupy, in tokens. */
    readonly heldTokens: number;
}

/** Loads by upstream id, caused by one node. */
export type NodeLoads = ReadonlyMap<string, Load>;

export const NO_LOAD: Load = { pendingTokens: 0, requests: 0, heldTokens: 0 };

/** Load of one request in flight. */
export interface LoadEntry {
    /** Records that the upstream has processed the prompt. */
    promptRead(): void;
    end(): void;
}

export interface LoadBoard {
    /** Adds the load of a request that is about to be sent. */
    begin(upstream: string, pendingTokens: number, heldTokens: number): LoadEntry;
    /** Replaces the report of another node: its loads and the upstreams that it ejected. */
    report(node: string, loads: NodeLoads, ejected: readonly string[], now: number): void;
    /**
     * Replaces a sum over several nodes.
     *
     * @param ejections Number of the nodes that ejected an upstream, by upstream.
     */
    reportSum(source: string, loads: NodeLoads, ejections: ReadonlyMap<string, number>, now: number): void;
    /** Removes the sums whose source begins with a prefix. */
    removeSums(prefix: string): void;
    /** Sets which reports and sums count, so that no node counts twice. */
    select(selection: LoadSelection): void;
    /** Records that another node has reported elsewhere. */
    recordHeard(node: string, at: number): void;
    /** Monotonic time of the last report of another node. */
    heardAt(node: string): number | undefined;
    /** Number of other nodes that report the upstream as ejected. */
    ejections(upstream: string, now: number): number;
    /** Load of an upstream, summed over this node and all nodes with a valid report. */
    total(upstream: string, now: number): Load;
    /** Loads of all upstreams, summed as by `total`. */
    totals(now: number): NodeLoads;
    /** Loads that this node causes, without idle upstreams. */
    ownLoads(): NodeLoads;
    /** Increases with every change of `ownLoads`. */
    readonly revision: number;
}

export interface LoadSelection {
    readonly isNodeCounted: (node: string, now: number) => boolean;
    readonly isSumCounted: (source: string, now: number) => boolean;
}

/** Time for which the report of a node counts, milliseconds: a few reporting intervals. */
export const REPORT_VALIDITY_MILLISECONDS = 1500;

/** Time for which a sum counts, milliseconds: more than a round in which its parts are sent in turn. */
const SUM_VALIDITY_MILLISECONDS = 2500;

/** More nodes than a deployment has, with those that were replaced. */
const MAXIMUM_HEARD_NODES = 4096;

interface NodeReport {
    readonly loads: NodeLoads;
    readonly ejected: ReadonlySet<string>;
    /** Monotonic time at which the report was received. */
    readonly at: number;
}

interface SumReport {
    readonly loads: NodeLoads;
    readonly ejections: ReadonlyMap<string, number>;
    readonly at: number;
}

export function addLoads(first: Load, second: Load): Load {
    return {
        pendingTokens: first.pendingTokens + second.pendingTokens,
        requests: first.requests + second.requests,
        heldTokens: first.heldTokens + second.heldTokens,
    };
}

export function createLoadBoard(): LoadBoard {
    const ownLoads = new Map<string, Load>();
    const reports = new Map<string, NodeReport>();
    const sums = new Map<string, SumReport>();
    let selection: LoadSelection = { isNodeCounted: () => true, isSumCounted: () => true };
    const heardAt = createBoundedMap<number>(MAXIMUM_HEARD_NODES);
    let revision = 0;

    const changeOwnLoad = (upstream: string, difference: Load): void => {
        revision += 1;
        const load = addLoads(ownLoads.get(upstream) ?? NO_LOAD, difference);
        if (load.requests > 0) {
            ownLoads.set(upstream, load);
        }
        else {
            ownLoads.delete(upstream);
        }
    };

    const total = (upstream: string, now: number): Load => {
        let load = ownLoads.get(upstream) ?? NO_LOAD;
        for (const [node, { loads, at }] of reports) {
            if (at + REPORT_VALIDITY_MILLISECONDS < now) {
                reports.delete(node);
                continue;
            }
            const reported = loads.get(upstream);
            if (reported !== undefined && selection.isNodeCounted(node, now)) {
                load = addLoads(load, reported);
            }
        }
        for (const [source, { loads, at }] of sums) {
            if (at + SUM_VALIDITY_MILLISECONDS < now) {
                sums.delete(source);
                continue;
            }
            const reported = loads.get(upstream);
            if (reported !== undefined && selection.isSumCounted(source, now)) {
                load = addLoads(load, reported);
            }
        }
        return load;
    };

    return {
        begin: (upstream, pendingTokens, heldTokens) => {
            let pending = pendingTokens;
            let ended = false;
            changeOwnLoad(upstream, { pendingTokens, requests: 1, heldTokens });
            return {
                promptRead: () => {
                    if (!ended && pending > 0) {
                        changeOwnLoad(upstream, { pendingTokens: -pending, requests: 0, heldTokens: 0 });
                        pending = 0;
                    }
                },
                end: () => {
                    if (!ended) {
                        ended = true;
                        changeOwnLoad(upstream, {
                            pendingTokens: -pending,
                            requests: -1,
                            heldTokens: -heldTokens,
                        });
                    }
                },
            };
        },
        report: (node, loads, ejected, now) => {
            reports.set(node, { loads, ejected: new Set(ejected), at: now });
            heardAt.set(node, now);
        },
        reportSum: (source, loads, ejections, now) => {
            sums.set(source, { loads, ejections, at: now });
        },
        removeSums: prefix => {
            [...sums.keys()]
                .filter(source => source.startsWith(prefix))
                .forEach(source => sums.delete(source));
        },
        select: next => {
            selection = next;
        },
        recordHeard: (node, at) => {
            if (at > (heardAt.get(node) ?? -Infinity)) {
                heardAt.set(node, at);
            }
        },
        heardAt: node => heardAt.get(node),
        ejections: (upstream, now) => {
            let count = 0;
            for (const [node, { ejected, at }] of reports) {
                const isValid = at + REPORT_VALIDITY_MILLISECONDS >= now;
                count += isValid && ejected.has(upstream) && selection.isNodeCounted(node, now) ? 1 : 0;
            }
            for (const [source, { ejections, at }] of sums) {
                const isValid = at + SUM_VALIDITY_MILLISECONDS >= now;
                count += isValid && selection.isSumCounted(source, now) ? (ejections.get(upstream) ?? 0) : 0;
            }
            return count;
        },
        total,
        totals: now => {
            const known = [ownLoads, ...[...reports.values(), ...sums.values()].map(({ loads }) => loads)];
            const ids = new Set(known.flatMap(loads => [...loads.keys()]));
            return new Map([...ids].map(id => [id, total(id, now)]));
        },
        ownLoads: () => ownLoads,
        get revision() {
            return revision;
        },
    };
}
