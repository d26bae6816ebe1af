/** Constants of the upstream table. */

/** Number of latest first-token times stored per upstream. */
export const FIRST_TOKEN_SAMPLES = 16;

/** Retention of load changes. Load reports up to this age are corrected by the changes since then. */
export const CHANGE_RETENTION_MILLISECONDS = 5000;

/** Width of the time buckets that add up load changes. */
export const CHANGE_BUCKET_MILLISECONDS = 50;

/** Maximum age of a load report. Older reports are ignored, because the load has changed since. */
export const MAXIMUM_LOAD_REPORT_AGE_MILLISECONDS = 10_000;
