/** Maximum attempts of a request whose answer has not begun. */
export const MAXIMUM_ATTEMPTS = 4;

/** Maximum resumes of one stream after failed attempts. Resumes after a stalled reader do not count. */
export const MAXIMUM_RESUMES = 8;

/** Retries that a node may make after its start, before requests have added to the budget. */
export const INITIAL_RETRY_BUDGET = 10;

/** Maximum number of unused retries, so that hours with few retries do not allow a burst of them later. */
export const MAXIMUM_RETRY_BUDGET = 100;

/** Milliseconds between scans for requests whose deadline has passed. */
export const EXPIRY_SCAN_MILLISECONDS = 20;

/** Milliseconds between attempts to place queued requests when no event triggers one. */
export const QUEUE_RETRY_MILLISECONDS = 20;

/** Value of `retry-after` in rejections with a temporary cause, seconds. */
export const RETRY_AFTER_SECONDS = 1;

/** Maximum response body of a plain service, bytes. */
export const MAXIMUM_SERVICE_RESPONSE_BYTES = 4 * 1024 * 1024;

/**
 * Maximum time that a service's answer is held back until its outcome is stored with the claim, milliseconds.
 */
export const OUTCOME_STORE_TIMEOUT_MILLISECONDS = 500;

/** Maximum bytes of one running stream that are kept so that another engine can continue it. */
export const MAXIMUM_STREAM_REPLAY_BYTES = 256 * 1024;

/** Maximum bytes of all running streams of a node that are kept so that other engines can continue them. */
export const MAXIMUM_NODE_REPLAY_BYTES = 24 * 1024 * 1024;
