/** Key prefix of claim rows in the table service. */
export const CLAIM_PREFIX = "claim/";

/** Peer method that submits row writes to the aggregator, the node that writes for its data centre. */
export const SUBMIT_METHOD = "claims.submit";

/**
 * Time after which an unconfirmed claim is `unavailable`. Covers one timed-out call (2 s) and the read-back.
 */
export const CLAIM_TIMEOUT_MILLISECONDS = 4000;

/** Time that a node waits for the aggregator before it writes the rows itself. */
export const SUBMIT_TIMEOUT_MILLISECONDS = 500;

/** Minimum interval between messages to the aggregator. */
export const SUBMIT_INTERVAL_MILLISECONDS = 5;

/** Time for which a node is not used as the aggregator after a failed call. */
export const AVOID_AGGREGATOR_MILLISECONDS = 1000;

/** Time for which the choice of the aggregator is cached. Choosing iterates over all members. */
export const ROLES_CACHE_MILLISECONDS = 100;

/** Maximum number of unanswered messages to the aggregator. */
export const MAXIMUM_SUBMITS_IN_FLIGHT = 8;

/** Maximum number of row writes per message to the aggregator. */
export const MAXIMUM_WRITES_PER_SUBMIT = 512;

/** Maximum bytes of outcomes per message to the aggregator. Messages between nodes are limited to 8 MiB. */
export const MAXIMUM_SUBMIT_BYTES = 1024 * 1024;

/** Maximum number of attempts in a node's table, in any stage. */
export const MAXIMUM_ATTEMPTS = 10_000;

/**
 * Time after which a node removes a held claim from its table if its outcome was never reported; far above
 * the maximum deadline of a booking. The claim row stays.
 */
export const HELD_CLAIM_TIMEOUT_MILLISECONDS = 3_600_000;

/** Interval between checks for held claims that have timed out. */
export const HELD_CLAIM_CHECK_INTERVAL_MILLISECONDS = 60_000;

/** Maximum bytes of one outcome. A larger one is not recorded, and its claim stays without an outcome. */
export const MAXIMUM_OUTCOME_BYTES = 65_536;

/** Maximum bytes of all outcomes that wait to be recorded. */
export const OUTCOME_MEMORY_BYTES = 16 * 1024 * 1024;

/** Maximum number of row writes queued at a node, its own and those of its peers. */
export const MAXIMUM_QUEUED_WRITES = 20_000;

/** Maximum bytes of row writes queued at a node, its own and those of its peers. */
export const MAXIMUM_QUEUED_BYTES = 32 * 1024 * 1024;

/** Maximum number of row writes per transaction. */
export const MAXIMUM_WRITES_PER_TRANSACTION = 256;

/** Maximum bytes per transaction. A single larger write is sent in a transaction by itself. */
export const MAXIMUM_TRANSACTION_BYTES = 512 * 1024;

/** Maximum number of unanswered transactions per node. */
export const MAXIMUM_TRANSACTIONS_IN_FLIGHT = 4;

/** Rate limit of all nodes together: half of the table service's capacity (300 writes/s). */
export const TRANSACTIONS_PER_SECOND = 150;

/** Number of transactions that an idle node may send at once before the rate limit applies. */
export const TRANSACTION_BURST = 4;

/**
 * Maximum delay of an outcome or an abandoned row, so that it can join the transaction of a claim. Without
 * the delay, each outcome needs a separate transaction at low request rates.
 */
export const BATCH_DELAY_MILLISECONDS = 25;

/** Exponential backoff after failed calls to the table service. */
export const BACKOFF_MILLISECONDS = { initial: 50, maximum: 1000 };

/** Time for which claim rows are kept. */
export const RETENTION_HOURS = 48;

/**
 * Time for which rows of abandoned attempts are kept. These rows make delayed writes of the attempt fail, so
 * the time is far above the lifetime of any message.
 */
export const ABANDONED_RETENTION_MILLISECONDS = 3_600_000;

/** Interval between sweep steps of all nodes together while they find expired rows. */
export const BUSY_SWEEP_MILLISECONDS = 500;

/** Interval between sweep steps of all nodes together while they find no expired rows. */
export const IDLE_SWEEP_MILLISECONDS = 10_000;

/** Maximum number of rows that a sweep step reads. */
export const SWEEP_ROWS = 500;

/** Time that a planned stop waits for outcomes to be recorded. */
export const STOP_TIMEOUT_MILLISECONDS = 5000;
