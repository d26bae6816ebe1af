/** Constants of admission. `docs/operations/cold-pools.md` explains them to operators. */

/** Milliseconds that a grant lasts. Three renewals, so that one lost renewal does not end it. */
export const GRANT_MILLISECONDS = 3000;

/**
 * Milliseconds within which all nodes that hear a majority agree on the members of a data centre. An assumption
 * about the membership's spread of news, not a measurement of this module.
 */
export const VIEW_LAG_MILLISECONDS = 4000;

/** Milliseconds between renewals of held credits. */
export const RENEWAL_MILLISECONDS = 1000;

/** Milliseconds between requests to an owner while requests of this node wait for credits. */
export const WAITING_POLL_MILLISECONDS = 200;

/** Milliseconds after which a call to an owner is given up, and its late reply is ignored. */
export const CALL_TIMEOUT_MILLISECONDS = 500;

/** Time by which an owner assumes a message to be late when it dates what the message reports, milliseconds. */
export const LATE_MESSAGE_MILLISECONDS = 5000;

/** Milliseconds after the last failed attempt at which a node stops asking for credits. */
export const DEMAND_MILLISECONDS = 2000;

/**
 * Milliseconds that an owner goes on counting the credits of a node that fell silent. Requests of a node that
 * is cut off run on at the runner up to their deadline, 120 s by default.
 */
export const SILENT_NODE_MILLISECONDS = 120_000;

/** Gap between two steps after which an owner counts as having been paused, milliseconds. */
export const PAUSE_MILLISECONDS = 2000;

/** Share by which a node ends a grant early, for clocks that run at different rates. */
export const CLOCK_RATE_SHARE = 0.01;

/** Time to the first token up to which an answer counts as one of a warm runner, milliseconds. */
export const FIRST_TOKEN_LIMIT_MILLISECONDS = 1500;

/** Answers in a row within the limit that make a runner warm. */
export const FAST_ANSWERS_UNTIL_WARM = 5;

/** Slow answers in a row that make a warm runner cold. One can be a long prompt. */
export const SLOW_ANSWERS_UNTIL_COLD = 3;

/** Error answers in a row that make a warm runner cold. One can be a fault of the request. */
export const ERRORS_UNTIL_COLD = 2;

/** Milliseconds after which observations of a runner no longer count; it may have restarted unseen. */
export const EVIDENCE_MILLISECONDS = 60_000;

/** Milliseconds by which an observation can be late: a few renewals. */
export const LATE_OBSERVATION_MILLISECONDS = 5000;

/**
 * Milliseconds after which good answers are not reported any more: three calls to an owner. The runner may have
 * restarted since, and an owner that has not heard of it would take it for warm again.
 */
export const LATE_ANSWER_MILLISECONDS = 3 * CALL_TIMEOUT_MILLISECONDS;

/** Milliseconds between confirmations of a node to the owner that a warm runner still answers fast. */
export const CONFIRMATION_MILLISECONDS = 15_000;

/** Former boot ids of a runner that are remembered, so that late observations of them are recognised. */
export const FORMER_BOOT_IDS = 4;

/** Unsent runs of equal observations that are kept per runner. */
export const PENDING_OBSERVATIONS = 8;

/** Share of a node's use that it asks for in addition, so that steady traffic does not wait for credits. */
export const HEADROOM_SHARE = 0.25;

/** Weight of the latest request in the mean size of a node's requests. */
export const USUAL_TOKENS_WEIGHT = 0.1;

/** Milliseconds between metrics. */
export const METRICS_MILLISECONDS = 10_000;
