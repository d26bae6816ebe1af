/**
 * Decides which nodes read the store, and which nodes read from a relay instead.
 *
 * Each data centre orders its nodes, those with the fastest links first: a relay sends each change to all nodes
 * that follow it. A node may use any node that precedes it as its relay, and reads the store itself when none
 * of them is usable, so the first live node reads the store. Nodes with different lists of nodes still agree
 * on the relative order of any two nodes, so relays cannot form a cycle.
 *
 * In deployments that allow a second level of relays, the data centres of a region are ordered as well, by
 * rendezvous hashing of their names. The first node of a data centre then reads from the first node of a data
 * centre that precedes its own. The order of two data centres depends on nothing but their names, and a step to
 * another data centre always leads to a preceding one, so there are no cycles across data centres either.
 */
import { rendezvousOrder } from "../common/hash.js";

export interface RelayCandidate {
    readonly id: string;
    readonly dataCentre: string;
    /** Absent when the settings do not name one; then no node of another data centre is a relay. */
    readonly region?: string;
    /** Capacity of the node's link, Mbit/s. A node that does not state it comes last. */
    readonly linkMegabitsPerSecond?: number;
}

/**
 * Preceding nodes that a node tries as relays. Bounds the time until it reads the store itself; a larger
 * number helps only when that many nodes crash at the same time.
 */
const MAXIMUM_RELAYS = 3;

/** Nodes of one data centre, those with the fastest links first, and by rendezvous hashing among equals. */
export function orderOf<Candidate extends RelayCandidate>(
    dataCentre: string,
    nodes: readonly Candidate[],
): readonly Candidate[] {
    const byId = new Map(nodes.map(node => [node.id, node]));
    const linkOf = (node: Candidate): number => node.linkMegabitsPerSecond ?? 0;
    // The sort is stable: nodes with equal links stay in their rendezvous order.
    return rendezvousOrder(dataCentre, [...byId.keys()])
        .map(id => byId.get(id)!)
        .sort((a, b) => linkOf(b) - linkOf(a));
}

/** First nodes of the data centres that precede that of `self` in the order of its region. */
function regionalRelaysOf<Candidate extends RelayCandidate>(
    self: RelayCandidate,
    nodes: readonly Candidate[],
): readonly Candidate[] {
    const { region, dataCentre } = self;
    if (region === undefined || region === "") {
        return [];
    }
    const others = nodes.filter(node => node.region === region && node.dataCentre !== dataCentre);
    const dataCentres = [...new Set([dataCentre, ...others.map(node => node.dataCentre)])];
    const order = rendezvousOrder(region, dataCentres);
    return order.slice(0, Math.min(MAXIMUM_RELAYS, order.indexOf(dataCentre))).map(name => {
        const localNodes = others.filter(node => node.dataCentre === name);
        return orderOf(name, localNodes)[0]!;
    });
}

/**
 * Possible relays of a node in order of preference; empty when the node must read the store itself.
 *
 * @param isRegional Whether the first node of a data centre reads from a relay in another one of its region.
 */
export function relaysOf<Candidate extends RelayCandidate>(
    self: RelayCandidate,
    nodes: readonly Candidate[],
    isRegional = false,
): readonly Candidate[] {
    const localNodes = nodes.filter(node => node.dataCentre === self.dataCentre && node.id !== self.id);
    const order = orderOf<RelayCandidate>(self.dataCentre, [...localNodes, self]);
    const rank = order.indexOf(self);
    if (rank === 0) {
        return isRegional ? regionalRelaysOf(self, nodes) : [];
    }
    const byId = new Map(localNodes.map(node => [node.id, node]));
    return order.slice(0, Math.min(MAXIMUM_RELAYS, rank)).map(({ id }) => byId.get(id)!);
}
