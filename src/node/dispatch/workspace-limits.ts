/**
 * Rate and concurrency limits per workspace. The configuration sets a limit for all nodes together. Each node
 * enforces an equal share of it, because the load balancer distributes callers evenly over the active nodes.
 */
import type { Workspace } from "../configuration/entities.js";

export interface WorkspaceLimits {
    /** Counts a request as open, or returns the limit that it would exceed. */
    admit(name: string, workspace: Workspace, now: number): "admitted" | "rate" | "concurrency";
    /** Counts an open request as ended. */
    release(name: string): void;
    /** Number of open requests by workspace. */
    open(): Readonly<Record<string, number>>;
}

interface Usage {
    open: number;
    /** Requests that the token bucket allows at `refilledAt`. */
    tokens: number;
    /** Monotonic milliseconds. */
    refilledAt: number;
}

/** Size of the token bucket, in seconds of the allowed rate. */
const BURST_SECONDS = 1;

const MILLISECONDS_PER_SECOND = 1000;

/**
 * @param activeNodes Number of nodes that callers are distributed over.
 * @param maximumOpen Maximum open requests of one workspace at this node.
 */
export function createWorkspaceLimits(activeNodes: () => number, maximumOpen: number): WorkspaceLimits {
    const usages = new Map<string, Usage>();
    return {
        admit: (name, workspace, now) => {
            const nodes = Math.max(1, activeNodes());
            const rate = workspace.requestsPerSecond / nodes;
            const burst = Math.max(1, rate * BURST_SECONDS);
            const usage = usages.get(name) ?? { open: 0, tokens: burst, refilledAt: now };
            usages.set(name, usage);
            usage.tokens = Math.min(
                burst,
                usage.tokens + ((now - usage.refilledAt) / MILLISECONDS_PER_SECOND) * rate,
            );
            usage.refilledAt = now;
            if (usage.open >= Math.min(maximumOpen, Math.ceil(workspace.concurrency / nodes))) {
                return "concurrency";
            }
            if (usage.tokens < 1) {
                return "rate";
            }
            usage.tokens -= 1;
            usage.open += 1;
            return "admitted";
        },
        release: name => {
            const usage = usages.get(name);
            if (usage !== undefined && usage.open > 0) {
                usage.open -= 1;
            }
        },
        open: () =>
            Object.fromEntries(
                [...usages].filter(([, usage]) => usage.open > 0).map(([name, usage]) => [name, usage.open]),
            ),
    };
}
