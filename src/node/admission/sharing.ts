/** Max-min fair shares of whole credits. */

export interface Demand {
    readonly node: string;
    /** Credits wanted in total. */
    readonly wanted: number;
    /** When the node last got a credit from the remainder of the equal division; monotonic milliseconds. */
    readonly remainderGrantedAt: number;
}

export interface Share {
    readonly credits: number;
    /** Whether one of the credits is from the remainder of the equal division. */
    readonly hasRemainder: boolean;
}

function compareRemainderGrants(a: Demand, b: Demand): number {
    return a.remainderGrantedAt - b.remainderGrantedAt || (a.node < b.node ? -1 : 1);
}

/**
 * Max-min fair share of one node: its demand if that is at most an equal share of what remains after all
 * smaller demands, else the equal share. Credits that remain after the equal division go to the nodes that
 * have waited longest for one. So a budget below the number of nodes rotates among the nodes.
 */
export function fairShare(node: string, demands: readonly Demand[], budget: number): Share {
    const ascending = [...demands].sort((a, b) => a.wanted - b.wanted);
    let remaining = Math.max(0, Math.floor(budget));
    for (const [index, demand] of ascending.entries()) {
        const remainingNodes = ascending.length - index;
        if (demand.wanted * remainingNodes > remaining) {
            const equal = Math.floor(remaining / remainingNodes);
            const remainder = remaining - equal * remainingNodes;
            const queue = ascending.slice(index).filter(({ wanted }) => wanted > equal);
            const position = queue.sort(compareRemainderGrants).findIndex(entry => entry.node === node);
            const hasRemainder = position !== -1 && position < remainder;
            return { credits: hasRemainder ? equal + 1 : equal, hasRemainder };
        }
        if (demand.node === node) {
            return { credits: demand.wanted, hasRemainder: false };
        }
        remaining -= demand.wanted;
    }
    return { credits: 0, hasRemainder: false };
}
