/** `docs/operations/cold-pools.md` explains these constants to operators. */

/** Validity of a grant. Three renewal intervals, so that one lost renewal does not end it. */
export const GRANT_MILLISECONDS = 3000;

/**
 * Time within which all nodes in contact with a majority agree on the members of a data centre. This module
 * does not check it: it relies on the membership protocol to propagate changes in this time.
 */
export const VIEW_LAG_MILLISECONDS = 4000;

/** Interval between renewals of held credits. */
export const RENEWAL_MILLISECONDS = 1000;

/** Interval between messages to an owner while requests on this node wait for credits. */
export const WAITING_POLL_MILLISECONDS = 200;

/** Timeout of a call to an owner. A reply after the timeout is ignored. */
export const CALL_TIMEOUT_MILLISECONDS = 500;

/** Delay of a message that an owner assumes when it computes the time of a measurement in the message. */
export const MAXIMUM_MESSAGE_DELAY_MILLISECONDS = 5000;

/** Time after the last failed acquisition at which a node stops requesting credits. */
export const DEMAND_LIFETIME_MILLISECONDS = 2000;

/**
 * Time for which an owner still counts the credits of a silent node, one whose grant ended without renewal.
 * The requests of a disconnected node continue on the upstream up to their deadline, 120 s by default.
 */
export const SILENT_NODE_MILLISECONDS = 120_000;

/** Gap between two steps above which the owner's process is considered to have been paused. */
export const PAUSE_THRESHOLD_MILLISECONDS = 2000;

/** Fraction of its validity by which a node ends a grant early, because clock rates differ between nodes. */
export const CLOCK_RATE_MARGIN = 0.01;

/** Maximum time to first token of a fast answer. */
export const FIRST_TOKEN_LIMIT_MILLISECONDS = 1500;

/** Consecutive fast answers after which an upstream counts as warm. */
export const FAST_ANSWERS_UNTIL_WARM = 5;

/** Consecutive slow answers after which a warm upstream counts as cold. A single one may be a long prompt. */
export const SLOW_ANSWERS_UNTIL_COLD = 3;

/** Consecutive errors after which a warm upstream counts as cold. A single one may be the request's fault. */
export const ERRORS_UNTIL_COLD = 2;

/** Age above which evidence of a warm upstream expires: it may have restarted unobserved. */
export const EVIDENCE_MILLISECONDS = 60_000;

/** Delay of an observation: a few renewal intervals. */
export const MAXIMUM_OBSERVATION_DELAY_MILLISECONDS = 5000;

/**
 * Age above which fast answers are not reported: three calls to an owner. The upstream may have restarted
 * since, and an owner without a report of the restart would consider it warm again.
 */
export const MAXIMUM_ANSWER_AGE_MILLISECONDS = 3 * CALL_TIMEOUT_MILLISECONDS;

/** Interval at which a node confirms to the owner that a warm upstream still answers fast. */
export const CONFIRMATION_INTERVAL_MILLISECONDS = 15_000;

/** Previous boot ids kept per upstream, to recognise late observations of them. */
export const MAXIMUM_PREVIOUS_BOOT_IDS = 4;

/** Unsent runs of equal observations kept per upstream. */
export const MAXIMUM_PENDING_OBSERVATIONS = 8;

/** Fraction of its peak use that a node requests in addition, so that steady traffic need not wait. */
export const HEADROOM_SHARE = 0.25;

/** Weight of the latest request in the moving average of tokens per request. */
export const MEAN_TOKENS_WEIGHT = 0.1;

export const METRICS_INTERVAL_MILLISECONDS = 10_000;
