/** Ranges that divide the judges' scores. More ranges need more ratings for an estimate of each. */
export const SCORE_RANGES = 5;

/**
 * Value of `from` when the request started at this step; otherwise `from` is the score range of the previous
 * step.
 */
export const FROM_START = SCORE_RANGES;

/** Length of a period (epoch) over which statistics are summed, milliseconds. */
export const EPOCH_MILLISECONDS = 600_000;

/** Periods that are kept; older statistics are discarded. */
export const MAXIMUM_EPOCHS = 12;

/** Half-life of an observation's weight, in periods. */
export const HALF_LIFE_EPOCHS = 4;

/**
 * Task kinds per workspace and cascade with statistics of their own; further kinds share `OTHER_TASK_KINDS`.
 */
export const MAXIMUM_TASK_KINDS = 32;

/** Kind that stands for all kinds beyond `MAXIMUM_TASK_KINDS`. */
export const OTHER_TASK_KINDS = "(other)";

/** Cells (counters of one state) per node and period; further states are not counted. */
export const MAXIMUM_CELLS = 10_000;

/** Other nodes whose statistics are kept. The one that has been silent longest is removed first. */
export const MAXIMUM_SOURCES = 32;

/** Answers that wait for a rating. The oldest is removed first. */
export const MAXIMUM_PENDING_RATINGS = 50_000;

/** Minimum time between two plans of a cascade. */
export const PLAN_INTERVAL_MILLISECONDS = 10_000;

/** Time since the last rating after which the rating service is assumed to be unavailable. */
export const MAXIMUM_RATING_AGE_MILLISECONDS = 600_000;

/** Weight of the prior, in ratings, when the rating of a state is estimated from a wider group of states. */
export const PRIOR_RATINGS = 15;

/** Minimum number of ratings at which an action counts as well sampled. */
export const WELL_SAMPLED_RATINGS = 15;

/** Share of requests that explore the alternative action, while it has few ratings and afterwards. */
export const EXPLORATION_SHARES = { underSampled: 0.01, wellSampled: 0.0005 } as const;

/** Gain of the integral controller per rating. At 0.0003, it converges in about 3,000 ratings. */
export const CONTROLLER_GAIN = 0.0003;

/** Maximum correction of the target by the integral controller, as a difference in rating. */
export const MAXIMUM_CORRECTION = 0.03;
