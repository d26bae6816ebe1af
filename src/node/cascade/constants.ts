/**
 * Number of ranges into which the judge's scores are divided. Each range needs ratings of its own for an
 * estimate.
 */
export const SCORE_RANGES = 5;

/**
 * Value of a state's `from` when the request started at this step; otherwise `from` is the score range of the
 * previous step. It is the first number that is not a score range.
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

/**
 * Maximum number of cells per node and period; further states are not counted. A cell holds the counters of
 * one state: a combination of scope, kind, step, score range and `from`.
 */
export const MAXIMUM_CELLS = 10_000;

/** Other nodes whose statistics are kept. The node whose last digest is oldest is removed first. */
export const MAXIMUM_SOURCES = 32;

/** Answers that wait for a rating. The oldest is removed first. */
export const MAXIMUM_PENDING_RATINGS = 50_000;

/** Minimum time between two plans of a cascade. */
export const PLAN_INTERVAL_MILLISECONDS = 10_000;

/** Time since the last rating after which the rating service is assumed to be unavailable. */
export const MAXIMUM_RATING_AGE_MILLISECONDS = 600_000;

/** The average of a wider group of states counts as this many ratings in the estimate of one state. */
export const PRIOR_RATINGS = 15;

/** Number of ratings from which an action counts as sufficiently sampled. */
export const WELL_SAMPLED_RATINGS = 15;

/**
 * Share of requests that try the action that the plan did not choose: `underSampled` while it has fewer than
 * `WELL_SAMPLED_RATINGS` ratings, `wellSampled` after that.
 */
export const EXPLORATION_SHARES = { underSampled: 0.01, wellSampled: 0.0005 } as const;

/**
 * Gain, per rating, of the integral controller that corrects the target. At 0.0003, it converges in about
 * 3,000 ratings.
 */
export const CONTROLLER_GAIN = 0.0003;

/** Maximum correction of the target by the integral controller, as a difference in rating. */
export const MAXIMUM_CORRECTION = 0.03;
