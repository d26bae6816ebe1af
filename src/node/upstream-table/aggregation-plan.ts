/**
 * Decides which nodes aggregate load reports, and which nodes exchange them.
 *
 * Designed for 660 nodes in 12 data centres. Up to `PEERS_PER_INTERVAL` other nodes, each node reports to each.
 */
import { orderOf } from "../replica/relay-choice.js";
import type { RelayCandidate } from "../replica/relay-choice.js";

export interface ReportingNode extends RelayCandidate {
    /** IP address for load reports. */
    readonly address: string;
    /** Absent on nodes of earlier versions, which report to and expect reports of each node. */
    readonly aggregatesLoads?: boolean;
}

/**
 * Peers that get a report in one interval. More peers are served round-robin, so the cost per node is
 * bounded.
 */
export const PEERS_PER_INTERVAL = 16;

/** Aggregating nodes of a data centre: one, and one that takes over when it is silent. */
export const AGGREGATORS = 2;

export interface AggregationPlan {
    /** Whether reports are aggregated at all. */
    readonly isAggregated: boolean;
    /** Place of this node among those of its data centre: 0 aggregates, 1 takes over. */
    readonly rank: number;
    /** Aggregating nodes of the own data centre, without this node. */
    readonly aggregators: readonly ReportingNode[];
    /** Other nodes of the own data centre, by id. */
    readonly members: ReadonlyMap<string, ReportingNode>;
    /** Aggregating nodes of the other data centres. */
    readonly remoteAggregators: readonly ReportingNode[];
    /** Nodes of earlier versions. */
    readonly directPeers: readonly ReportingNode[];
    /** All other nodes, by id. */
    readonly peers: ReadonlyMap<string, ReportingNode>;
}

export function planAggregation(self: ReportingNode, nodes: readonly ReportingNode[]): AggregationPlan {
    const peers = new Map(nodes.filter(({ id }) => id !== self.id).map(node => [node.id, node]));
    const capable = [...peers.values()].filter(node => node.aggregatesLoads === true);
    const members = capable.filter(node => node.dataCentre === self.dataCentre);
    const order = orderOf(self.dataCentre, [...members, self]);
    const remoteDataCentres = new Set(
        capable.map(node => node.dataCentre).filter(name => name !== self.dataCentre),
    );
    return {
        isAggregated: self.aggregatesLoads === true && peers.size > PEERS_PER_INTERVAL,
        rank: order.indexOf(self),
        aggregators: order.slice(0, AGGREGATORS).filter(node => node !== self),
        members: new Map(members.map(node => [node.id, node])),
        remoteAggregators: [...remoteDataCentres].flatMap(name =>
            orderOf(
                name,
                capable.filter(node => node.dataCentre === name),
            ).slice(0, AGGREGATORS),
        ),
        directPeers: [...peers.values()].filter(node => node.aggregatesLoads !== true),
        peers,
    };
}

/** @param nodes Returns the same array until the list of nodes changes. */
export function createAggregationPlans(
    self: ReportingNode,
    nodes: () => readonly ReportingNode[],
): () => AggregationPlan {
    let known: readonly ReportingNode[] | undefined;
    let plan: AggregationPlan;
    return () => {
        const current = nodes();
        if (current !== known) {
            known = current;
            plan = planAggregation(self, current);
        }
        return plan;
    };
}
