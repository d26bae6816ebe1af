/** Time between direct probes of a node. */
export const PROBE_INTERVAL_MILLISECONDS = 1000;

/** Timeout of a direct probe; half of the probe interval remains for the indirect probes. */
export const PING_TIMEOUT_MILLISECONDS = 450;

/** Timeout of an indirect probe, which makes two calls in sequence. */
export const PING_REQUEST_TIMEOUT_MILLISECONDS = 500;

/** Members that are requested to probe a member which did not answer. */
export const INDIRECT_PROBES = 3;

/** Maximum number of member updates per message. */
export const UPDATES_PER_MESSAGE = 8;

/** Each update is sent this factor times the binary logarithm of the number of members. */
export const UPDATE_REPEAT_FACTOR = 3;

/** Suspicion timeout in probe intervals, per decimal logarithm of the number of members. */
export const SUSPICION_FACTOR = 3;

/** Time between two steps above which this process is considered to have been paused. */
export const PAUSE_THRESHOLD_MILLISECONDS = 250;

/** Probes per additional ping to a dead member, which detects that a partition has healed. */
export const PROBES_PER_DEAD_PROBE = 5;

/** Time after which the row of a dead member is removed, so that the row does not keep it on the roster. */
export const ROW_RETENTION_MILLISECONDS = 300_000;

/**
 * Time after which a dead member or one that has left is removed from the member table. Longer than
 * ROW_RETENTION_MILLISECONDS, so that a scan of the rows does not add it again.
 */
export const MEMBER_RETENTION_MILLISECONDS = 900_000;

/** Time between scans of the node rows. A scan finds the members that pings have not reported. */
export const SCAN_INTERVAL_MILLISECONDS = 300_000;

/** Times between the first scans after the start, when other nodes may be starting too. */
export const EARLY_SCAN_DELAYS_MILLISECONDS: readonly number[] = [2000, 5000, 20_000];

/**
 * Number of members reported by other nodes since the last scan that triggers an early scan. Replacements of
 * single nodes stay below it; 660 scans of 660 rows after each of them would cost 0.8 KB/s per node.
 */
export const NEW_MEMBERS_BEFORE_SCAN = 3;

/** Mean delay of the early scan. */
export const NEW_MEMBERS_SCAN_DELAY_MILLISECONDS = 4000;

/** Delay before a failed scan or row write is retried. */
export const TABLE_RETRY_INTERVAL_MILLISECONDS = 2000;
