/** Name of the lease whose holder sends orders to the engines. */
export const ORDERS_LEASE = "orders";

/** Maximum time from the lease check before an order is sent to the expiry of the order at the engine. */
export const ORDER_LIFETIME_MILLISECONDS = 5000;

/** Minimum remaining time of the lease to send an order; with less, the order could expire in transit. */
export const MINIMUM_LEASE_REMAINING_MILLISECONDS = 250;

/** Timeout for reading an engine's state and for requesting a permit. */
export const CALL_TIMEOUT_MILLISECONDS = 2000;

/** Maximum age of the engine state that an order is based on. Loads and streams progress in the meantime. */
export const MAXIMUM_STATE_AGE_MILLISECONDS = 1000;

/** Time between reads of an engine whose state differs from the wanted state. */
export const CHANGING_READ_INTERVAL_MILLISECONDS = 500;

/** Time between reads of an engine that is in its wanted state, in a small fleet. */
export const STEADY_READ_INTERVAL_MILLISECONDS = 2000;

/** Maximum reads per second of engines in their wanted state. At 3,900 engines, each is read every 195 s. */
export const STEADY_READS_PER_SECOND = 20;

/** Time before the next call to an engine after a failed or rejected one. */
export const RETRY_DELAY_MILLISECONDS = 1000;

/** Time before the next load at an engine that accepted an order but did not start the load. */
export const FAILED_LOAD_DELAY_MILLISECONDS = 5000;

/** Time between placement plans in a small fleet, and between checks of all engines. */
export const PLAN_INTERVAL_MILLISECONDS = 250;

/** A plan costs engines × versions, so large fleets plan less often: about every 4 s at 3,900 engines. */
export const PLAN_INTERVAL_MILLISECONDS_PER_ENGINE = 1;

/**
 * Minimum time from the decision to unload a version to the read that must show no streams of it. Covers the
 * time until all nodes have stopped sending requests for the version to the engine.
 */
export const UNLOAD_DELAY_MILLISECONDS = 3000;

/** Time after a new holder acquired the lease before it has enough demand reports to reduce capacity. */
export const DEMAND_WARM_UP_MILLISECONDS = 15_000;

/** Time for which a demand report counts in full. A node that is partitioned off still has its requests. */
export const DEMAND_REPORT_VALIDITY_MILLISECONDS = 10_000;

/** Half-life of demand that fell or is no longer reported. Much longer than a load, to avoid flapping. */
export const DEMAND_HALF_LIFE_MILLISECONDS = 60_000;

/** Demand below which a version counts as unused, because exponential decay never reaches 0. */
export const MINIMUM_DEMAND = 0.5;

/** Target capacity as a multiple of the demand. */
export const HEADROOM_FACTOR = 1.25;

/** An engine may replace a version only if the others have this multiple of its required capacity. */
export const SURPLUS_FACTOR = 1.2;

/** Time for which a version must have had surplus capacity before an engine may replace it. */
export const MINIMUM_SURPLUS_MILLISECONDS = 60_000;

/** Minimum time that a version stays at an engine, unless it is withdrawn. */
export const MINIMUM_PLACEMENT_MILLISECONDS = 120_000;
