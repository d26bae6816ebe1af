/**
 * Requests that wait at other nodes, from their load reports, so that a less urgent request does not take a slot
 * for which a more urgent one waits elsewhere. State without I/O.
 *
 * Aggregating nodes pass the counts on one by one, so each names its node and replaces only its predecessor.
 */
import { createBoundedMap } from "../common/bounded-map.js";
import { compareUrgency } from "./urgency.js";
import type { Urgency } from "./urgency.js";

/** Requests of a service and an urgency that wait at a node; 0 when none of them waits any more. */
export type WireWaiting = readonly [
    node: string,
    service: string,
    workspacePriority: number,
    routePriority: number,
    requests: number,
];

export interface WaitingElsewhere {
    /** Replaces the counts that the report names. */
    merge(waiting: readonly WireWaiting[], now: number): void;
    /** Requests of the service that wait at other nodes and are more urgent. */
    countMoreUrgent(service: string, urgency: Urgency, now: number): number;
}

/** Time for which a count holds, milliseconds: aggregating nodes repeat an unchanged one after 900 ms. */
const VALIDITY_MILLISECONDS = 1500;

/** More counts than the nodes of a deployment report at a time. */
const MAXIMUM_COUNTS = 4096;

interface WaitingCount {
    readonly waiting: WireWaiting;
    readonly at: number;
}

/** @param ownNode Its own counts may come back from an aggregating node; they are ignored. */
export function createWaitingElsewhere(ownNode: string): WaitingElsewhere {
    const counts = createBoundedMap<WaitingCount>(MAXIMUM_COUNTS);
    return {
        merge: (reported, now) => {
            for (const waiting of reported) {
                const [node, service, workspace, route, requests] = waiting;
                const key = `${node}\u0000${service}\u0000${workspace}\u0000${route}`;
                if (requests === 0 || node === ownNode) {
                    counts.delete(key);
                }
                else {
                    counts.set(key, { waiting, at: now });
                }
            }
        },
        countMoreUrgent: (service, urgency, now) => {
            let count = 0;
            for (const [key, { waiting, at }] of counts.entries()) {
                if (now - at > VALIDITY_MILLISECONDS) {
                    counts.delete(key);
                    continue;
                }
                const [, name, workspace, route, requests] = waiting;
                const isMoreUrgent = compareUrgency({ workspace, route }, urgency) < 0;
                count += name === service && isMoreUrgent ? requests : 0;
            }
            return count;
        },
    };
}

export interface WaitingReports {
    /** Adds zeros for what waited lately and does not any more; `undefined` when there is nothing to report. */
    report(waiting: readonly WireWaiting[], now: number): readonly WireWaiting[] | undefined;
}

/** Time for which the end of waiting is reported, milliseconds: some reports, as datagrams may be lost. */
const END_REPORTED_MILLISECONDS = 400;

export function createWaitingReports(): WaitingReports {
    const reported = new Map<string, WaitingCount>();
    return {
        report: (waiting, now) => {
            for (const count of waiting) {
                reported.set(count.slice(0, 4).join("\u0000"), { waiting: count, at: now });
            }
            const ended: WireWaiting[] = [];
            for (const [key, { waiting: count, at }] of reported) {
                if (now - at > END_REPORTED_MILLISECONDS) {
                    reported.delete(key);
                }
                else if (at < now) {
                    const [node, service, workspace, route] = count;
                    ended.push([node, service, workspace, route, 0]);
                }
            }
            const all = [...waiting, ...ended];
            return all.length === 0 ? undefined : all;
        },
    };
}
