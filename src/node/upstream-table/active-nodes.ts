/** Nodes that take part in shares of a limit: those that have reported their load lately. */
import { PEERS_PER_INTERVAL } from "./aggregation-plan.js";
import { REPORT_INTERVAL_MILLISECONDS } from "./load-reports.js";

export interface ActiveNodes {
    /**
     * Whether a node is in use. A node that hears fewer than half of the others is itself cut off; it takes all
     * of them for active, so that it does not take over their shares.
     */
    isActive(node: string, now: number): boolean;
}

export interface ActiveNodesOptions {
    readonly node: string;
    /** Ids of all nodes. */
    readonly nodes: () => readonly string[];
    /** Monotonic time of the last report of a node. */
    readonly heardAt: (node: string) => number | undefined;
}

/** Minimum silence after which a node does not count, milliseconds. A node with requests reports more often. */
const MINIMUM_SILENCE_MILLISECONDS = 2500;

/** Rounds of reports that a node may miss. */
const MISSED_ROUNDS = 2;

/** Interval at which the node checks whether it is cut off, milliseconds. */
const CHECK_MILLISECONDS = 250;

export function createActiveNodes(options: ActiveNodesOptions): ActiveNodes {
    let isCutOff = true;
    let silence = MINIMUM_SILENCE_MILLISECONDS;
    let checkedAt = -Infinity;

    const isHeard = (node: string, now: number): boolean =>
        now - (options.heardAt(node) ?? -Infinity) < silence;

    const check = (now: number): void => {
        const others = options.nodes().filter(node => node !== options.node);
        const rounds = Math.ceil(others.length / PEERS_PER_INTERVAL);
        silence = Math.max(
            MINIMUM_SILENCE_MILLISECONDS,
            MISSED_ROUNDS * rounds * REPORT_INTERVAL_MILLISECONDS,
        );
        isCutOff = others.filter(node => isHeard(node, now)).length * 2 < others.length;
        checkedAt = now;
    };

    return {
        isActive: (node, now) => {
            if (now - checkedAt >= CHECK_MILLISECONDS) {
                check(now);
            }
            return isCutOff || isHeard(node, now);
        },
    };
}
