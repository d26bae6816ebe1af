/**
 * Requests that wait at other nodes, from their load reports, so that a less urgent request does not take a slot
 * for which a more urgent one waits elsewhere. State without I/O.
 */
import { createBoundedMap } from "../common/bounded-map.js";
import { compareUrgency } from "./urgency.js";
import type { Urgency } from "./urgency.js";

/** Requests of a service and an urgency that wait at a node. */
export type WireWaiting = readonly [
    service: string,
    workspacePriority: number,
    routePriority: number,
    requests: number,
];

export interface WaitingElsewhere {
    /** Replaces what a node has reported. */
    merge(node: string, waiting: readonly WireWaiting[], now: number): void;
    /** Requests of the service that wait at other nodes and are more urgent. */
    countMoreUrgent(service: string, urgency: Urgency, now: number): number;
}

/** Time for which a report counts, milliseconds: two rounds of reports among 73 nodes. */
const VALIDITY_MILLISECONDS = 900;

/** More nodes than a deployment has. */
const MAXIMUM_NODES = 1024;

export function createWaitingElsewhere(): WaitingElsewhere {
    const nodes = createBoundedMap<{ readonly waiting: readonly WireWaiting[]; readonly at: number }>(
        MAXIMUM_NODES,
    );
    return {
        merge: (node, waiting, now) => {
            if (waiting.length === 0) {
                nodes.delete(node);
                return;
            }
            nodes.set(node, { waiting, at: now });
        },
        countMoreUrgent: (service, urgency, now) => {
            let count = 0;
            for (const [node, { waiting, at }] of nodes.entries()) {
                if (now - at > VALIDITY_MILLISECONDS) {
                    nodes.delete(node);
                    continue;
                }
                for (const [name, workspace, route, requests] of waiting) {
                    const isMoreUrgent = compareUrgency({ workspace, route }, urgency) < 0;
                    count += name === service && isMoreUrgent ? requests : 0;
                }
            }
            return count;
        },
    };
}
