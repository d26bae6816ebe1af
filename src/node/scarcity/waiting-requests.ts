/**
 * Requests of one service that wait at a node, in the order in which they get capacity: by urgency, then in
 * turns of their workspaces, then by the time left to the target.
 *
 * Designed for bursts of seconds in which one workspace sends six to eight times its usual: it gets one turn as
 * each of the others. Without I/O and without a clock.
 */
import { compareUrgency } from "./urgency.js";
import type { Urgency } from "./urgency.js";

export interface WaitingRequest {
    readonly urgency: Urgency;
    readonly workspace: string;
    /** Monotonic time of the target latency. */
    readonly targetAt: number;
    /** Monotonic time until which the request may wait. */
    readonly expiresAt: number;
    /** Memory that the request occupies, bytes. */
    readonly bytes: number;
}

export interface WaitingRequests<Request extends WaitingRequest> {
    readonly size: number;
    readonly bytes: number;
    /** Adds a request. Returns those that had to leave for it, which may be itself. */
    add(request: Request): readonly Request[];
    remove(request: Request): void;
    /** Removes and returns the first request that can begin; `undefined` when none of the first ones can. */
    take(canBegin: (request: Request) => boolean): Request | undefined;
    /** Removes and returns the requests that may not wait longer. */
    takeExpired(now: number): readonly Request[];
    /** Number of requests that get capacity before a new one. */
    countAhead(urgency: Urgency, workspace: string): number;
    /** Number of requests by urgency, the most urgent first. */
    counts(): readonly (readonly [Urgency, number])[];
}

/** Requests that are asked in vain whether they can begin, in one call. Each asks for a choice of an upstream. */
const MAXIMUM_TRIED = 16;

function urgencyKey({ urgency }: WaitingRequest): string {
    return `${urgency.workspace}/${urgency.route}`;
}

function workspaceKey(request: WaitingRequest): string {
    return `${urgencyKey(request)}/${request.workspace}`;
}

/** @param isExceeded Whether this number of requests and their bytes are more than may wait. */
export function createWaitingRequests<Request extends WaitingRequest>(
    isExceeded: (requests: number, bytes: number) => boolean,
): WaitingRequests<Request> {
    const requests = new Set<Request>();
    /** Turns that each workspace has had at an urgency, counted from a common start. */
    const turns = new Map<string, number>();
    /** Turn of the last request that was taken, by urgency. */
    const currentTurns = new Map<string, number>();
    let bytes = 0;

    const countOf = (urgency: Urgency): ReadonlyMap<string, number> => {
        const counts = new Map<string, number>();
        for (const request of requests) {
            if (compareUrgency(request.urgency, urgency) === 0) {
                counts.set(request.workspace, (counts.get(request.workspace) ?? 0) + 1);
            }
        }
        return counts;
    };

    const compare = (first: Request, second: Request): number =>
        compareUrgency(first.urgency, second.urgency) ||
        turns.get(workspaceKey(first))! - turns.get(workspaceKey(second))! ||
        first.targetAt - second.targetAt;

    const remove = (request: Request): void => {
        if (!requests.delete(request)) {
            return;
        }
        bytes -= request.bytes;
        if (requests.size === 0) {
            turns.clear();
            currentTurns.clear();
        }
    };

    /** The least urgent request, of the workspace with the most of them, with the most time left. */
    const leastUrgent = (): Request => {
        const lowest = [...requests].reduce((least, request) =>
            compareUrgency(request.urgency, least.urgency) > 0 ? request : least,
        );
        const counts = countOf(lowest.urgency);
        return [...requests]
            .filter(({ urgency }) => compareUrgency(urgency, lowest.urgency) === 0)
            .reduce((last, request) => {
                const difference = counts.get(request.workspace)! - counts.get(last.workspace)!;
                return difference > 0 || (difference === 0 && request.targetAt >= last.targetAt)
                    ? request
                    : last;
            });
    };

    return {
        get size() {
            return requests.size;
        },
        get bytes() {
            return bytes;
        },
        add: request => {
            const key = workspaceKey(request);
            if (![...requests].some(other => workspaceKey(other) === key)) {
                // A workspace saves no turns while nothing of it waits.
                const currentTurn = currentTurns.get(urgencyKey(request)) ?? 0;
                turns.set(key, Math.max(currentTurn, turns.get(key) ?? 0));
            }
            requests.add(request);
            bytes += request.bytes;
            const displaced: Request[] = [];
            while (requests.size > 0 && isExceeded(requests.size, bytes)) {
                const last = leastUrgent();
                displaced.push(last);
                remove(last);
            }
            return displaced;
        },
        remove,
        take: canBegin => {
            const taken = [...requests].sort(compare).slice(0, MAXIMUM_TRIED).find(canBegin);
            if (taken !== undefined) {
                const turn = turns.get(workspaceKey(taken))!;
                currentTurns.set(urgencyKey(taken), turn);
                turns.set(workspaceKey(taken), turn + 1);
                remove(taken);
            }
            return taken;
        },
        takeExpired: now => {
            const expired = [...requests].filter(({ expiresAt }) => expiresAt <= now);
            expired.forEach(remove);
            return expired;
        },
        countAhead: (urgency, workspace) => {
            let ahead = 0;
            for (const request of requests) {
                ahead += compareUrgency(request.urgency, urgency) < 0 ? 1 : 0;
            }
            const counts = countOf(urgency);
            const own = counts.get(workspace) ?? 0;
            for (const [other, count] of counts) {
                ahead += other === workspace ? count : Math.min(count, own + 1);
            }
            return ahead;
        },
        counts: () => {
            const counts = new Map<string, [Urgency, number]>();
            for (const request of requests) {
                const known = counts.get(urgencyKey(request));
                counts.set(urgencyKey(request), [request.urgency, (known?.[1] ?? 0) + 1]);
            }
            return [...counts.values()].sort(([first], [second]) => compareUrgency(first, second));
        },
    };
}
