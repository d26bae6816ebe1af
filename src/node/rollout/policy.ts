/** Limits of rollouts. */

/** Differences to the reference up to which a version does not have a regression. */
export interface Margins {
    /** Difference of mean ratings, 0 to 1. */
    readonly rating: number;
    /** Ratio of error rates. */
    readonly errorRatio: number;
    /** Difference of mean logarithms of the latency. */
    readonly logLatency: number;
}

export interface RolloutPolicy {
    /** Minimum time at a step. @default 60000 */
    readonly dwellMilliseconds: number;
    /** Time at the last step before the rollout is complete. @default 1800000 */
    readonly watchMilliseconds: number;
    /**
     * Share of new sessions that stay on the baseline during the last step, as a control group. Without it, a
     * drift of all ratings could not be distinguished from a regression of the version. @default 0.05
     */
    readonly holdBackShare: number;
    /** Length of the periods into which the evidence of a step is divided. @default 300000 */
    readonly epochMilliseconds: number;
    /** Time without a rating after which the rating service is considered down. @default 120000 */
    readonly ratingsFreshMilliseconds: number;
    /** Minimum ratings per arm for a comparison, and of the version per step before the next. @default 15 */
    readonly minimumRatings: number;
    /** Minimum answers of the version at a step before the next step. @default 30 */
    readonly minimumAnswers: number;
    /** Probability that a version as good as the baseline is ever withdrawn. @default 0.05 */
    readonly withdrawAlpha: number;
    /** The same for a halt by one node; far smaller, because every node can set one. @default 0.0005 */
    readonly haltAlpha: number;
    /** Error probability of the confidence bounds that permit the next step. @default 0.1 */
    readonly advanceAlpha: number;
    /** Likelihood ratio against the version from which the rollout stays at its step. @default 10 */
    readonly holdLikelihoodRatio: number;
    /** For the comparison with the baseline. */
    readonly margins: Margins;
    /** For the comparison with the version's earlier evidence. Wide, as no control group shows a drift. */
    readonly earlierEvidenceMargins: Margins;
    /** Maximum product of the next share and the upper confidence bound of the loss. */
    readonly lossBudget: {
        readonly rating: number;
        readonly error: number;
        readonly logLatency: number;
    };
}
