/**
 * Chooses the node that takes a request of a node without a path to the upstreams.
 *
 * The helper serves the request like one of its own callers: it decides on the workspace, makes the attempts, and
 * counts them in its budgets, loads and evidence. It never hands a request over itself.
 */
import { createBoundedMap } from "../common/bounded-map.js";
import type { Random } from "../common/random.js";

export interface Helper {
    readonly id: string;
    /** `ip:port` of the listener for requests of other nodes. */
    readonly address: string;
}

export interface HelperCandidate {
    readonly id: string;
    readonly dataCentre: string;
    readonly region?: string;
    /** Absent on nodes that take no requests of others. */
    readonly handoverAddress?: string;
}

export interface PeerStates {
    record(node: string, isIsolated: boolean, now: number): void;
    /** Whether the node has lately reported that it is isolated. */
    isIsolated(node: string, now: number): boolean;
    /** Whether the node has lately reported anything. */
    isHeard(node: string, now: number): boolean;
}

/** Time for which a report counts, milliseconds: a few reporting intervals. */
const REPORT_VALIDITY_MILLISECONDS = 1500;

/** More nodes than a deployment has, with those that were replaced. */
const MAXIMUM_PEERS = 4096;

export function createPeerStates(): PeerStates {
    const reports = createBoundedMap<{ readonly isIsolated: boolean; readonly at: number }>(MAXIMUM_PEERS);
    const recent = (
        node: string,
        now: number,
    ): { readonly isIsolated: boolean; readonly at: number } | undefined => {
        const report = reports.get(node);
        return report !== undefined && now - report.at < REPORT_VALIDITY_MILLISECONDS ? report : undefined;
    };
    return {
        record: (node, isIsolated, now) => reports.set(node, { isIsolated, at: now }),
        isIsolated: (node, now) => recent(node, now)?.isIsolated === true,
        isHeard: (node, now) => recent(node, now) !== undefined,
    };
}

/** Returns a random one of the best candidates: of the same region, heard lately, in the same data centre. */
export function chooseHelper(
    self: HelperCandidate,
    nodes: readonly HelperCandidate[],
    states: Pick<PeerStates, "isIsolated" | "isHeard">,
    excluded: ReadonlySet<string>,
    random: Random,
    now: number,
): Helper | undefined {
    const candidates = nodes.filter(
        node =>
            node.id !== self.id &&
            node.region === self.region &&
            node.handoverAddress !== undefined &&
            !excluded.has(node.id) &&
            !states.isIsolated(node.id, now),
    );
    const heard = candidates.filter(node => states.isHeard(node.id, now));
    const live = heard.length > 0 ? heard : candidates;
    const chosen = live[Math.floor(random() * live.length)];
    return chosen === undefined ? undefined : { id: chosen.id, address: chosen.handoverAddress! };
}
