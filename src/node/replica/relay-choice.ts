/**
 * Decides which nodes read the store, and which nodes read from a relay instead.
 *
 * Each data centre orders its nodes, those with the fastest links first: a relay sends each change to all nodes
 * that follow it. A node may use any node that precedes it as its relay, and reads the store itself when none
 * of them is usable, so the first live node reads the store. Nodes with different lists of nodes still agree
 * on the relative order of any two nodes, so relays cannot form a cycle.
 */
import { rendezvousOrder } from "../common/hash.js";

export interface RelayCandidate {
    readonly id: string;
    readonly dataCentre: string;
    /** Capacity of the node's link, Mbit/s. A node that does not state it comes last. */
    readonly linkMegabitsPerSecond?: number;
}

/**
 * Preceding nodes that a node tries as relays. Bounds the time until it reads the store itself; a larger
 * number helps only when that many nodes crash at the same time.
 */
const MAXIMUM_RELAYS = 3;

/** Possible relays of a node in order of preference; empty when the node must read the store itself. */
export function relaysOf<Candidate extends RelayCandidate>(
    self: RelayCandidate,
    nodes: readonly Candidate[],
): readonly Candidate[] {
    const localNodes = nodes.filter(node => node.dataCentre === self.dataCentre && node.id !== self.id);
    const byId = new Map<string, RelayCandidate>(localNodes.map(node => [node.id, node]));
    byId.set(self.id, self);
    const linkOf = (id: string): number => byId.get(id)!.linkMegabitsPerSecond ?? 0;
    // The sort is stable: nodes with equal links stay in their rendezvous order.
    const order = [...rendezvousOrder(self.dataCentre, [...byId.keys()])].sort(
        (a, b) => linkOf(b) - linkOf(a),
    );
    return order
        .slice(0, Math.min(MAXIMUM_RELAYS, order.indexOf(self.id)))
        .map(id => byId.get(id) as Candidate);
}
