/** Interface between the rollouts and the other components of a node. */
import { z } from "zod";
import { haltDigestSchema } from "./halts.js";
import type { Halt } from "./halts.js";
import type { EvidenceDigest } from "./evidence.js";
import { rolloutRowSchema } from "./rollout-row.js";
import type { HistoryStep, RolloutRow } from "./rollout-row.js";

/** An answer of a version. Excludes failures that the version did not cause (a full pool, a lost engine). */
export interface AnswerObservation {
    readonly model: string;
    readonly version: string;
    readonly workspace: string;
    readonly succeeded: boolean;
    /** Time to the complete answer or to the first token; the same measure for all versions of a model. */
    readonly latencyMilliseconds?: number;
}

export interface RatingObservation {
    readonly model: string;
    readonly version: string;
    readonly workspace: string;
    /** 0 to 1. */
    readonly rating: number;
}

/**
 * Rows and halts, small enough to be attached to each membership message. On the wire and in dumps, a halt is
 * called a brake.
 */
export const rolloutDigestSchema = z
    .object({ rows: z.array(rolloutRowSchema).readonly(), brakes: haltDigestSchema })
    .readonly();

export type RolloutDigest = z.infer<typeof rolloutDigestSchema>;

/** State of a rollout for the operators. */
export interface RolloutStatus {
    readonly name: string;
    readonly model: string;
    readonly version: string;
    readonly ticket: number;
    /** `pending` until the first step is written. */
    readonly phase: RolloutRow["phase"] | "pending";
    /** Current share of new sessions at this node. */
    readonly share: number;
    readonly step: number;
    readonly steps: readonly number[];
    readonly history: readonly HistoryStep[];
    /** Halt of the rollout. Named as in the state dump. */
    readonly brake: Halt | undefined;
    /** Whether this node holds the rollout's lease. */
    readonly isController: boolean;
    /** Reason of the last decision known at this node. */
    readonly verdict: string;
    /** Answers and ratings known at this node, of the version and of the baseline. */
    readonly evidence: {
        readonly versionAnswers: number;
        readonly versionRatings: number;
        readonly baselineAnswers: number;
        readonly baselineRatings: number;
    };
}

export interface Rollouts {
    /** Current share of new sessions of a version, 0 to 1. */
    share(model: string, version: string): number;
    /** Steps of a version's rollout, oldest first, for the pinning of sessions. Empty without a rollout. */
    history(model: string, version: string): readonly Pick<HistoryStep, "share" | "openedAt">[];
    /** Whether a rollout withdrew the version. It then gets no requests, not even in existing sessions. */
    isWithdrawn(model: string, version: string): boolean;
    observe(answer: AnswerObservation): void;
    observeRating(rating: RatingObservation): void;
    /** Counters of this node, to be sent to `evidenceTargets`: those that changed, or periodically all. */
    evidenceDigest(): EvidenceDigest;
    /** Merges the digest of another node. @throws z.ZodError when it is malformed. */
    mergeEvidence(digest: unknown): void;
    /** Ids of the members that should get this node's evidence; empty while no rollout is active. */
    evidenceTargets(): readonly string[];
    rolloutDigest(): RolloutDigest;
    /** Merges rows and halts of another node. @throws z.ZodError when they are malformed. */
    mergeRollouts(digest: unknown): void;
    /** Sets the share of new sessions to 0 until a new ticket. Returns false for an unknown rollout. */
    halt(name: string, operator: string): boolean;
    status(): readonly RolloutStatus[];
    dump(): unknown;
}
