/** Interval between scans of the waiting and running jobs, before jitter. */
export const SCAN_INTERVAL_MILLISECONDS = 3000;

/** Jitter of the scan interval, as a share of it, so that nodes do not scan at the same time. */
export const SCAN_JITTER = 0.5;

/** Maximum number of unfinished jobs that a scan reads, earliest deadline first. */
export const JOBS_PER_SCAN = 100;

/** Maximum number of jobs that a node runs at the same time. */
export const MAXIMUM_RUNNING_JOBS = 8;

/** Maximum number of runs of a job; the job fails when the last one fails. */
export const MAXIMUM_JOB_RUNS = 5;

/**
 * A job whose margin is below this multiple of its predicted run time has priority over interactive requests.
 */
export const URGENT_MARGIN_RUNS = 2;

/** Assumed tokens per second of a stream before the first job has run. */
export const INITIAL_TOKENS_PER_SECOND = 20;

/** Weight of the latest run in the moving average of the token rate. */
export const TOKEN_RATE_WEIGHT = 0.2;

/**
 * Share of the engines' warm concurrency that is assumed available to jobs when a job is accepted or
 * rejected.
 */
export const DEFERRED_CAPACITY_SHARE = 0.5;

/** Maximum number of accepted jobs that are read to decide whether a further job is feasible. */
export const MAXIMUM_JOBS_CONSIDERED = 1000;

export const MILLISECONDS_PER_SECOND = 1000;
