/** Mean time between polls of the head row. */
export const POLL_INTERVAL_MILLISECONDS = 2000;

/** Relative jitter of the poll interval, so that 660 nodes do not read at the same time. */
export const POLL_JITTER = 0.25;

/** Time between polls while this node has not yet read the head row, or lags behind it. */
export const FAST_POLL_INTERVAL_MILLISECONDS = 300;

/** Time after which the next poll may start although the previous one has not ended. */
export const POLL_TIMEOUT_MILLISECONDS = 1000;

/** Age of the last confirmation at which new work is rejected; default of `limits.freshnessMilliseconds`. */
export const FRESHNESS_MILLISECONDS = 3000;

/** Share of the freshness limit after which a node requests confirmations from peers. */
export const CONFIRM_SHARE = 0.4;

/** Share of the freshness limit after which a node requests them twice as often. */
export const FAST_CONFIRM_SHARE = 0.7;

/** Time between confirmation requests. At 4 per second, a majority of 330 nodes responds in about 2.5 s. */
export const CONFIRM_INTERVAL_MILLISECONDS = 250;

/** Timeout of a `configuration.confirm` call. */
export const CONFIRM_TIMEOUT_MILLISECONDS = 500;

/** Members to which a node forwards a newly installed ticket. */
export const PUSH_FAN_OUT = 3;

/** Accepted tickets kept in memory for peers that catch up; peers that lack more get a whole snapshot. */
export const MAXIMUM_LOG_TICKETS = 256;

/** Maximum log rows per read. */
export const LOG_PAGE_ROWS = 100;

/** Revisions between two snapshots in the object store. */
export const SNAPSHOT_INTERVAL_REVISIONS = 50;

/** Minimum time between attempts to catch up. */
export const CATCH_UP_INTERVAL_MILLISECONDS = 100;

/**
 * Age of a prepared ticket at which the nodes that store it rewrite the head row to resolve its outcome.
 * Longer than an acceptance takes, because the rewrite makes an acceptance in progress start again.
 */
export const PREPARED_TICKET_TIMEOUT_MILLISECONDS = 4000;

/** Timeout of a `configuration.prepare` call. */
export const PREPARE_TIMEOUT_MILLISECONDS = 1000;

/** Timeout of a `configuration.pull` call, which may carry a whole snapshot. */
export const PULL_TIMEOUT_MILLISECONDS = 3000;

/** Attempts to accept a ticket that conflicts with other tickets, before it is rejected. */
export const MAXIMUM_ACCEPTANCE_ATTEMPTS = 12;

/** Maximum random delay between these attempts. */
export const MAXIMUM_ACCEPTANCE_BACKOFF_MILLISECONDS = 150;

/** Attempts to resolve a commit whose answer was lost, before its outcome is reported as unknown. */
export const MAXIMUM_RESOLVE_ATTEMPTS = 20;

/** Time between these attempts. */
export const RESOLVE_INTERVAL_MILLISECONDS = 250;

/** Time within which a node that proposes a ticket must catch up with the head row. */
export const PROPOSER_CATCH_UP_TIMEOUT_MILLISECONDS = 3000;

/** Time between status requests to the nodes that do not yet have a revision in force. */
export const STATUS_INTERVAL_MILLISECONDS = 250;

/** Cancelled attempts kept to reject a `configuration.prepare` that arrives after the cancellation. */
export const MAXIMUM_CANCELLED_ATTEMPTS = 256;

/** Time between checks whether this node has caught up, while it proposes a ticket. */
export const CATCH_UP_CHECK_MILLISECONDS = 10;
