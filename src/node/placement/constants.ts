/**
 * Upstreams of a version that a node uses in the local data centre. With 8, the loads of two random ones
 * differ enough for a choice of the less loaded one to balance the load.
 */
export const LOCAL_SUBSET_SIZE = 8;

/**
 * Upstreams of a version that a node uses in the rest of its region, and the same number in other regions.
 */
export const REMOTE_SUBSET_SIZE = 4;

/**
 * An upstream that caches the prompt's prefix is preferred unless its load exceeds that of the less loaded of
 * two random upstreams by more than this. Loads are fractions of an upstream's budget.
 */
export const AFFINITY_LOAD_BOUND = 0.25;

/** Minimum fraction of the prompt that must be cached for prefix affinity to apply. */
export const AFFINITY_MINIMUM_SHARE = 0.25;

/** An entry is a block on an upstream. Entries take about 120 bytes each, 24 MB in total. */
export const MAXIMUM_PREFIX_INDEX_ENTRIES = 200_000;

/**
 * The search for upstreams that cache a prompt's prefix stops when it has found this number, which is enough
 * for a choice.
 */
export const MAXIMUM_PREFIX_MATCHES = 4;

/**
 * The node requests credits of an upstream for which it has none when that upstream's load is lower than the
 * chosen one's by more than this. Loads are fractions of an upstream's budget. Without such requests a node
 * would keep using only the few upstreams that it used first.
 */
export const CREDIT_REQUEST_LOAD_BOUND = 0.1;

/** Distance of upstreams in other regions. */
export const FAR_DISTANCE = 2;

/** Time for which a request waits for credits in its region before upstreams in other regions are used. */
export const FAR_WAIT_MILLISECONDS = 200;

/**
 * Time for which a request waits for a credit of the preferred upstream before credits of others are
 * requested.
 */
export const OTHER_DATA_CENTRE_WAIT_MILLISECONDS = 50;
