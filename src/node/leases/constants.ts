/** Default duration of a lease after a renewal. */
export const DEFAULT_LEASE_MILLISECONDS = 10_000;

/**
 * Margin at the end of the lease that the holder does not use, as a share of the duration. Covers clock drift
 * and the time between a check of the lease and the send that depends on it.
 */
export const MARGIN_SHARE = 0.2;

/** Share of the duration after which the holder renews the lease. Tolerates two lost renewals. */
export const RENEWAL_SHARE = 0.3;

/** Interval between reads of a lease that another node holds, as a share of the duration. */
export const POLL_SHARE = 0.4;

/** Delay of the next call after a failed call to the table service, as a share of the duration. */
export const RETRY_SHARE = 0.05;
