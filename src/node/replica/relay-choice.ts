/**
 * Which nodes read the store, and whom the others follow instead.
 *
 * In each data centre the nodes have an order. A node may follow any node before it and reads the store itself
 * when none of them can be followed, so the first one that lives reads the store. Nodes that see different lists
 * still agree on the order of any two nodes, so nodes cannot follow each other in a circle.
 */
import { rendezvousOrder } from "../common/hash.js";

export interface RelayCandidate {
    readonly id: string;
    readonly dataCentre: string;
}

/**
 * Nodes before this one that are tried. Bounds the time until a node reads the store itself; more only matter
 * where that many died at once.
 */
const MOST_RELAYS = 3;

/** Returns the nodes that a node may follow, first choice first; empty when it has to read the store itself. */
export function relaysOf<Candidate extends RelayCandidate>(
    self: RelayCandidate,
    nodes: readonly Candidate[],
): readonly Candidate[] {
    const neighbours = nodes.filter(node => node.dataCentre === self.dataCentre && node.id !== self.id);
    const ids = [self.id, ...neighbours.map(node => node.id)];
    const order = rendezvousOrder(self.dataCentre, ids);
    const byId = new Map(neighbours.map(node => [node.id, node]));
    return order.slice(0, Math.min(MOST_RELAYS, order.indexOf(self.id))).map(id => byId.get(id)!);
}
