/**
 * Decides how long a node waits until it calls a store again that has not answered or has rejected its call.
 *
 * All nodes together must call such a store at a bounded rate. A node whose relays can be reached waits for them:
 * they call soon, and answer as soon as they have the store again. It calls itself only because the store may
 * reject its relays and serve it, and the more seldom the more nodes there are. An outage begins for all of them at
 * once, so their calls must be spread: each of them may have to wait long, but some node calls soon at any time.
 *
 * Designed for 660 nodes: 10 calls a second by the nodes behind relays, and 1.25 by each of the few others.
 */
import type { Random } from "../common/random.js";

/** Whom a node may wait for: nobody, a relay in another data centre, or one in its own. */
export type RelayReach = "none" | "region" | "dataCentre";

export interface RetryOptions {
    /** Failed calls in succession, at least 1. */
    readonly failures: number;
    readonly relayReach: RelayReach;
    readonly nodeCount: number;
}

/** Pause after the first failure, milliseconds. Doubles with each further one. */
const INITIAL_PAUSE_MILLISECONDS = 200;

/** Longest pause of a node that nobody calls the store for, milliseconds. */
const MAXIMUM_READER_PAUSE_MILLISECONDS = 800;

/** Longest pause of the first node of a data centre while another node of the region calls, milliseconds. */
const MAXIMUM_REGION_PAUSE_MILLISECONDS = 1600;

/** Calls of all nodes behind relays together, per second. */
const FOLLOWER_CALLS_PER_SECOND = 10;

/** Share by which a pause of one of the few readers is extended at random, so that they do not call together. */
const EXTENSION_SHARE = 0.25;

function maximumPause({ relayReach, nodeCount }: RetryOptions): number {
    switch (relayReach) {
        case "none":
            return MAXIMUM_READER_PAUSE_MILLISECONDS;
        case "region":
            return MAXIMUM_REGION_PAUSE_MILLISECONDS;
        case "dataCentre":
            return Math.max(
                MAXIMUM_REGION_PAUSE_MILLISECONDS,
                (nodeCount / FOLLOWER_CALLS_PER_SECOND) * 1000,
            );
    }
}

/** Time until the next call, milliseconds. */
export function retryPause(options: RetryOptions, random: Random): number {
    const isBehindRelay = options.relayReach === "dataCentre";
    // A node behind a relay begins with a longer pause, as there are many of them.
    const initial = INITIAL_PAUSE_MILLISECONDS * (isBehindRelay ? 4 : 1);
    const pause = Math.min(maximumPause(options), initial * 2 ** (options.failures - 1));
    return isBehindRelay ? 2 * pause * random() : pause * (1 + EXTENSION_SHARE * random());
}
