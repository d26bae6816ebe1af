/**
 * Upstreams of plain services that have just failed or hung. State without I/O.
 *
 * Designed for services with one upstream in each of a few data centres and a few requests per second at each
 * node: if each node waited for two failures of its own, a hung upstream would cost two requests of every node.
 * So one failure is enough to avoid an upstream, for a short time, and the load reports share it.
 */
import { createBoundedMap } from "../common/bounded-map.js";

export interface SuspectUpstreams {
    /** Records a request that the upstream did not answer. Returns whether the upstream was not suspect before. */
    recordUnanswered(process: string, now: number): boolean;
    recordAnswer(process: string, now: number): void;
    /** Monotonic time of the last answer; `undefined` when there was none. */
    answeredAt(process: string): number | undefined;
    /** @param runsOnce Whether the request that would be sent must not be repeated. */
    isSuspect(process: string, runsOnce: boolean, now: number): boolean;
    /** Whether the ejections that other nodes report are a reason to avoid the upstream. */
    isEjectedElsewhere(upstream: string, ejections: number, now: number): boolean;
}

/** First and longest time for which an upstream is avoided, milliseconds. Doubles until it answers. */
const FIRST_SUSPICION_MILLISECONDS = 1000;
export const LONGEST_SUSPICION_MILLISECONDS = 8000;

/**
 * Time for which the report of a single node counts, milliseconds. Meanwhile other nodes that use the upstream
 * see for themselves; a node that alone has no path to it must not take it from all others.
 */
const SINGLE_REPORT_MILLISECONDS = 1000;

/** Time without a report after which the next one is a new one, milliseconds. */
const REPORT_END_MILLISECONDS = 2000;

/** Nodes whose reports together are a reason to avoid an upstream for as long as they last. */
const CONFIRMING_NODES = 2;

/** Processes and upstreams that are kept, including those that have ended since. */
const MAXIMUM_ENTRIES = 4096;

interface ProcessState {
    suspectUntil: number;
    /** Requests that must not be repeated are not used to try whether the upstream is back. */
    onceUntil: number;
    /** Unanswered requests after the last answer that made the upstream suspect. */
    suspicions: number;
    answeredAt: number | undefined;
}

interface ReportState {
    readonly since: number;
    seenAt: number;
}

export function createSuspectUpstreams(): SuspectUpstreams {
    const processes = createBoundedMap<ProcessState>(MAXIMUM_ENTRIES);
    const reports = createBoundedMap<ReportState>(MAXIMUM_ENTRIES);

    const stateOf = (process: string): ProcessState => {
        const known = processes.get(process);
        if (known !== undefined) {
            return known;
        }
        const state = { suspectUntil: -Infinity, onceUntil: -Infinity, suspicions: 0, answeredAt: undefined };
        processes.set(process, state);
        return state;
    };

    return {
        recordUnanswered: (process, now) => {
            const state = stateOf(process);
            if (now < state.suspectUntil) {
                return false;
            }
            const milliseconds = FIRST_SUSPICION_MILLISECONDS * 2 ** state.suspicions;
            state.suspectUntil = now + Math.min(LONGEST_SUSPICION_MILLISECONDS, milliseconds);
            state.onceUntil = now + LONGEST_SUSPICION_MILLISECONDS;
            state.suspicions += 1;
            return true;
        },
        recordAnswer: (process, now) => {
            const state = stateOf(process);
            state.suspectUntil = -Infinity;
            state.onceUntil = -Infinity;
            state.suspicions = 0;
            state.answeredAt = now;
        },
        answeredAt: process => processes.get(process)?.answeredAt,
        isSuspect: (process, runsOnce, now) => {
            const state = processes.get(process);
            return state !== undefined && now < (runsOnce ? state.onceUntil : state.suspectUntil);
        },
        isEjectedElsewhere: (upstream, ejections, now) => {
            if (ejections === 0) {
                return false;
            }
            const known = reports.get(upstream);
            const report =
                known === undefined || now - known.seenAt > REPORT_END_MILLISECONDS
                    ? { since: now, seenAt: now }
                    : known;
            report.seenAt = now;
            reports.set(upstream, report);
            return ejections >= CONFIRMING_NODES || now - report.since < SINGLE_REPORT_MILLISECONDS;
        },
    };
}
