/** Prefix of bill objects in the object store. */
export const BILLS_PREFIX = "bills/";

/** Peer method that copies a batch of bills to the peer. */
export const COPY_METHOD = "billing.copy";

/** Peer method that reports which batches are in the object store. */
export const FLUSHED_METHOD = "billing.flushed";

/**
 * Copies of each batch. With the owner, 4 nodes hold a bill, so a third of 9 nodes (3) may be lost at once.
 */
export const COPIES = 3;

/** Minimum time between two batches, unless a batch reaches `MAXIMUM_BATCH_BYTES` first. */
export const BATCH_INTERVAL_MILLISECONDS = 5;

/** Size at which a batch is sent before the interval ends; a batch may exceed it. */
export const MAXIMUM_BATCH_BYTES = 256 * 1024;

/** Interval between two objects of a node; random jitter shortens it by up to 30 %. */
export const FLUSH_INTERVAL_MILLISECONDS = 10_000;

/** Total size of unwritten bills at which an object is written early; also the maximum size of an object. */
export const MAXIMUM_OBJECT_BYTES = 1024 * 1024;

/** Timeout of a call that copies a batch to a peer. */
export const COPY_TIMEOUT_MILLISECONDS = 500;

/** Failed copies of a batch after which no further peer is requested to hold it. */
export const MAXIMUM_COPY_FAILURES = 3;

/** Time for which a peer is skipped after it failed or rejected a copy. */
export const PEER_AVOIDANCE_MILLISECONDS = 5000;

/** Interval at which batches that have lost a copy, or have none, are copied again. */
export const RECOPY_INTERVAL_MILLISECONDS = 1000;

/** Interval at which a node checks whether the owners of its copies still run. */
export const OWNER_CHECK_INTERVAL_MILLISECONDS = 1000;

/** Interval at which a report of written batches is repeated to a peer that has not confirmed it. */
export const FLUSHED_RETRY_INTERVAL_MILLISECONDS = 2000;

/** Exponential backoff after a failed call to the object store, before jitter. */
export const BACKOFF_MILLISECONDS = { initial: 200, maximum: 5000 };

/** Maximum size of the copies held for other nodes. */
export const COPY_MEMORY_BYTES = 32 * 1024 * 1024;

/** Logs of other nodes for which the highest written batch is recorded, to discard delayed copies. */
export const MAXIMUM_RECORDED_LOGS = 2000;

/** Memory of an unwritten bill besides its text: 270 bytes, with 80,000 bills in batches of 200. */
export const BILL_OVERHEAD_BYTES = 270;

/** Memory of a batch besides its bills: 310 bytes, with 80,000 batches of one bill. */
export const BATCH_OVERHEAD_BYTES = 310;

/** Digits of an object's number, padded with zeros so that names sort by number. */
export const NUMBER_DIGITS = 10;

/** Time for which the order of peers is cached, because ordering hashes the id of every member. */
export const PEER_ORDER_CACHE_MILLISECONDS = 500;

/** Interval of the memory gauges. */
export const GAUGE_INTERVAL_MILLISECONDS = 1000;
