import type { RolloutPolicy } from "./policy.js";

export const DEFAULT_POLICY: RolloutPolicy = {
    dwellMilliseconds: 60_000,
    watchMilliseconds: 1_800_000,
    epochMilliseconds: 300_000,
    ratingsFreshMilliseconds: 120_000,
    holdBackShare: 0.05,
    minimumRatings: 15,
    minimumAnswers: 30,
    withdrawAlpha: 0.05,
    haltAlpha: 0.0005,
    advanceAlpha: 0.1,
    holdLikelihoodRatio: 10,
    margins: { rating: 0.01, errorRatio: 1.25, logLatency: Math.log(1.25) },
    // Ratings drift during the day. With 0.03, a common drift of 0.05 withdrew 5 of 5 healthy versions.
    earlierEvidenceMargins: { rating: 0.12, errorRatio: 2.5, logLatency: Math.log(1.75) },
    lossBudget: { rating: 0.02, error: 0.02, logLatency: 0.2 },
};

/** Epochs per step; later evidence counts in the last one. Bounds the memory and the size of messages. */
export const MAXIMUM_EPOCHS = 24;

/** Workspaces that are counted separately per rollout; the others share one entry. */
export const MAXIMUM_WORKSPACES = 64;

/** Name of the shared entry. Cannot clash, because it is not a valid workspace name. */
export const OTHER_WORKSPACES = "(other)";

/** Milliseconds between two reads of the rollout rows at a node. Peers usually send a new row earlier. */
export const POLL_INTERVAL_MILLISECONDS = 5000;

/** Milliseconds between two assessments of the evidence. One takes 0.23 ms (median) with 100 strata. */
export const ASSESSMENT_INTERVAL_MILLISECONDS = 2000;

/** Nodes that contend for a rollout's lease and receive the evidence. Limits the number of messages. */
export const CANDIDATE_COUNT = 3;

/** Every n-th evidence digest contains all counters, for receivers that missed earlier digests. */
export const FULL_DIGEST_INTERVAL = 15;

/** Minimum time between two snapshots of the evidence, milliseconds. Snapshots bound the recent window. */
export const SNAPSHOT_INTERVAL_MILLISECONDS = 20_000;

/** Minimum answers of the version between two snapshots, so that the window has evidence at low traffic. */
export const MINIMUM_SNAPSHOT_ANSWERS = 100;
