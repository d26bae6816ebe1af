/**
 * Fair queues of requests: one per priority, workspace and target, served round-robin over the workspaces.
 *
 * Each round places at most one request per workspace, so a workspace with a long queue delays the others by
 * at most one request per round. A queue whose head cannot be placed does not block the others.
 */

/** Properties of a request that determine its queue. */
export interface QueueEntry {
    readonly id: string;
    readonly workspace: string;
    readonly target: string;
    readonly priority: "interactive" | "deferred";
}

export interface FairQueues {
    /** Number of queued requests. */
    readonly size: number;
    push(request: QueueEntry): void;
    /** Puts a request back at the head of its queue. */
    unshift(request: QueueEntry): void;
    remove(request: QueueEntry): void;
    /**
     * Calls `place` with the heads of the queues, round-robin. `place` returns whether the request leaves the
     * queue; a queue whose head stays is skipped for the rest of this pass.
     */
    serve(place: (requestId: string) => boolean): void;
    /** Number of requests in the queue that a request belongs to. */
    sizeOf(request: QueueEntry): number;
    /** Number of queued requests by workspace. */
    sizes(): Readonly<Record<string, number>>;
}

interface Queue {
    readonly workspace: string;
    readonly ids: string[];
}

/** Key of the queue that a request belongs to. */
export function queueKey(request: QueueEntry): string {
    // Deferred requests have separate queues, which are served after all interactive ones.
    return `${request.priority === "interactive" ? 0 : 1}\u0000${request.workspace}\u0000${request.target}`;
}

export function createFairQueues(): FairQueues {
    const queues = new Map<string, Queue>();
    let size = 0;
    let firstIndex = 0;

    const queueOf = (request: QueueEntry): Queue => {
        const key = queueKey(request);
        let queue = queues.get(key);
        if (queue === undefined) {
            queue = { workspace: request.workspace, ids: [] };
            queues.set(key, queue);
        }
        return queue;
    };

    const servePriority = (prefix: string, place: (requestId: string) => boolean): void => {
        let remaining = [...queues].filter(([key]) => key.startsWith(prefix));
        if (remaining.length > 1) {
            firstIndex = (firstIndex + 1) % remaining.length;
            remaining = [...remaining.slice(firstIndex), ...remaining.slice(0, firstIndex)];
        }
        while (remaining.length > 0) {
            const servedWorkspaces = new Set<string>();
            const blocked = new Set<string>();
            for (const [key, queue] of remaining) {
                const id = queue.ids[0];
                if (id === undefined) {
                    blocked.add(key);
                    queues.delete(key);
                }
                else if (servedWorkspaces.has(queue.workspace)) {
                    // A request of this workspace was already placed in this round.
                }
                else if (place(id)) {
                    servedWorkspaces.add(queue.workspace);
                    queue.ids.shift();
                    size -= 1;
                }
                else {
                    blocked.add(key);
                }
            }
            remaining = remaining.filter(([key]) => !blocked.has(key));
        }
    };

    return {
        get size() {
            return size;
        },
        push: request => {
            queueOf(request).ids.push(request.id);
            size += 1;
        },
        unshift: request => {
            queueOf(request).ids.unshift(request.id);
            size += 1;
        },
        remove: request => {
            const ids = queues.get(queueKey(request))?.ids ?? [];
            const index = ids.indexOf(request.id);
            if (index >= 0) {
                ids.splice(index, 1);
                size -= 1;
            }
        },
        serve: place => {
            if (size > 0) {
                servePriority("0", place);
                servePriority("1", place);
            }
        },
        sizeOf: request => queues.get(queueKey(request))?.ids.length ?? 0,
        sizes: () => {
            const sizes: Record<string, number> = {};
            for (const queue of queues.values()) {
                sizes[queue.workspace] = (sizes[queue.workspace] ?? 0) + queue.ids.length;
            }
            return sizes;
        },
    };
}
