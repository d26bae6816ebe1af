/**
 * Wait times of the calls to the store and to relays, derived from the time within which a configuration must be
 * in force on every node.
 *
 * Designed for 660 nodes in 12 data centres and 8,000 configuration changes a day. docs/design/store-calls.md
 * adds the times up for each failure.
 */

import type { TableName } from "./shared-store.js";

export interface StoreTiming {
    /** Whether the first node of a data centre reads from a relay in another data centre of its region. */
    readonly isRegional: boolean;
    /**
     * Time for which a node that lost its relay still answers its followers as if it were connected, while it
     * makes its first calls to the store, milliseconds. Without it, all followers would read the store as well.
     */
    readonly relayLossGraceMilliseconds: number;
    /**
     * Time for which a node whose relay has lost the store waits for another relay before it calls the store,
     * milliseconds. Not used by the first two nodes of a data centre.
     */
    readonly storeFallbackMilliseconds: number;
    /** Whether a feed monitor chooses the waits of the feed calls and checks the feeds meanwhile. */
    readonly isMonitored: boolean;
    /** Pause between feed calls of a table, milliseconds. Batches changes in quick succession. */
    readonly feedPauseMilliseconds: Readonly<Record<TableName, number>>;
}

/** Shortest time limit for a configuration that leaves room for a second level of relays, milliseconds. */
const MINIMUM_REGIONAL_APPLY_MILLISECONDS = 3000;

const SHORT_BOUND_TIMING: StoreTiming = {
    isRegional: false,
    relayLossGraceMilliseconds: 0,
    storeFallbackMilliseconds: 0,
    isMonitored: false,
    feedPauseMilliseconds: { configuration: 100, runners: 100, nodes: 100 },
};

/**
 * Rows of all tables change all the time, so that most feed calls return early and the pauses determine their
 * number. A configuration with its transfers takes at most 2.6 s without a failure, a draining upstream has at least
 * 2 s until it must get nothing, and the evidence of a shift makes up to three steps through the store in 5 s.
 */
const LONG_BOUND_TIMING: StoreTiming = {
    isRegional: true,
    relayLossGraceMilliseconds: 200,
    storeFallbackMilliseconds: 100,
    isMonitored: true,
    feedPauseMilliseconds: { configuration: 400, runners: 700, nodes: 500 },
};

/** @param applyMilliseconds Time within which a configuration must be in force on every node. */
export function resolveStoreTiming(applyMilliseconds: number): StoreTiming {
    return applyMilliseconds >= MINIMUM_REGIONAL_APPLY_MILLISECONDS ? LONG_BOUND_TIMING : SHORT_BOUND_TIMING;
}
