/**
 * Load of the upstreams: what this node has sent and what the other nodes say that they have sent. An engine's
 * own report is hundreds of milliseconds old; the nodes know of a long prompt before the engine reads it.
 */

/** Work that an upstream has not finished. */
export interface Load {
    /** Prompt tokens that were sent and not yet read, in tokens of the largest model. */
    readonly pendingTokens: number;
    /** Requests that were sent and have not ended. */
    readonly requests: number;
    /** Memory that the requests take, in tokens. */
    readonly heldTokens: number;
}

/** Loads that one node causes, by upstream. */
export type NodeLoads = ReadonlyMap<string, Load>;

export const NO_LOAD: Load = { pendingTokens: 0, requests: 0, heldTokens: 0 };

/** One request at an upstream. */
export interface LoadEntry {
    /** The upstream has read the prompt. */
    promptRead(): void;
    end(): void;
}

export interface LoadBoard {
    /** Adds a request that is being sent. */
    begin(upstream: string, pendingTokens: number, heldTokens: number): LoadEntry;
    /** Takes over what another node says: its loads and the upstreams that it ejected. */
    report(node: string, loads: NodeLoads, ejected: readonly string[], now: number): void;
    /** Number of other nodes that ejected an upstream. */
    ejections(upstream: string, now: number): number;
    /** Load of an upstream over all nodes that reported lately. */
    total(upstream: string, now: number): Load;
    /** Loads that this node causes; upstreams without any are left out. */
    own(): NodeLoads;
    /** Increases with every change of this node's own loads. */
    readonly revision: number;
}

/** Time after which the report of a node no longer counts, milliseconds: a few intervals between reports. */
const REPORT_LIFE_MILLISECONDS = 1500;

interface NodeReport {
    readonly loads: NodeLoads;
    readonly ejected: ReadonlySet<string>;
    /** Monotonic time of arrival. */
    readonly at: number;
}

function add(first: Load, second: Load): Load {
    return {
        pendingTokens: first.pendingTokens + second.pendingTokens,
        requests: first.requests + second.requests,
        heldTokens: first.heldTokens + second.heldTokens,
    };
}

export function createLoadBoard(): LoadBoard {
    const own = new Map<string, Load>();
    const reports = new Map<string, NodeReport>();
    let revision = 0;

    const change = (upstream: string, difference: Load): void => {
        revision += 1;
        const load = add(own.get(upstream) ?? NO_LOAD, difference);
        if (load.requests > 0) {
            own.set(upstream, load);
        }
        else {
            own.delete(upstream);
        }
    };

    return {
        begin: (upstream, pendingTokens, heldTokens) => {
            let pending = pendingTokens;
            let ended = false;
            change(upstream, { pendingTokens, requests: 1, heldTokens });
            return {
                promptRead: () => {
                    if (!ended && pending > 0) {
                        change(upstream, { pendingTokens: -pending, requests: 0, heldTokens: 0 });
                        pending = 0;
                    }
                },
                end: () => {
                    if (!ended) {
                        ended = true;
                        change(upstream, { pendingTokens: -pending, requests: -1, heldTokens: -heldTokens });
                    }
                },
            };
        },
        report: (node, loads, ejected, now) => {
            reports.set(node, { loads, ejected: new Set(ejected), at: now });
        },
        ejections: (upstream, now) => {
            let count = 0;
            for (const { ejected, at } of reports.values()) {
                count += at + REPORT_LIFE_MILLISECONDS >= now && ejected.has(upstream) ? 1 : 0;
            }
            return count;
        },
        total: (upstream, now) => {
            let load = own.get(upstream) ?? NO_LOAD;
            for (const [node, { loads, at }] of reports) {
                if (at + REPORT_LIFE_MILLISECONDS < now) {
                    reports.delete(node);
                    continue;
                }
                const reported = loads.get(upstream);
                if (reported !== undefined) {
                    load = add(load, reported);
                }
            }
            return load;
        },
        own: () => own,
        get revision() {
            return revision;
        },
    };
}
