/** Decides the next state of a rollout's row. Pure; called at the node that holds the rollout's lease. */
import type { Rollout } from "../configuration/entities.js";
import { assess, describeFinding } from "./assessment.js";
import type { Assessment } from "./assessment.js";
import type { Halt } from "./halts.js";
import { MAXIMUM_EPOCHS } from "./constants.js";
import type { EvidenceStratum } from "./evidence.js";
import type { RecentEvidence } from "./recent-evidence.js";
import type { RolloutPolicy } from "./policy.js";
import { currentShare } from "./rollout-row.js";
import type { RolloutPhase, RolloutRow } from "./rollout-row.js";

export interface ControllerInput {
    readonly name: string;
    readonly rollout: Rollout;
    /** Number of the ticket that last changed the rollout. */
    readonly ticket: number;
    /** Last known row, if any. */
    readonly row: RolloutRow | undefined;
    readonly halt: Halt | undefined;
    readonly strata: readonly EvidenceStratum[];
    readonly recent: RecentEvidence | undefined;
    /** Whether the last rating is recent. */
    readonly areRatingsFresh: boolean;
    /** Milliseconds since the epoch. */
    readonly wallTime: number;
    readonly policy: RolloutPolicy;
}

export interface ControllerDecision {
    /** Row to write; `undefined` when the row stays as it is. */
    readonly next: RolloutRow | undefined;
    /** For the operators. */
    readonly reason: string;
}

/** Phases that only a new ticket can leave. */
export function isFinal(phase: RolloutPhase): boolean {
    return phase === "complete" || phase === "withdrawn" || phase === "halted";
}

/** Whether a halt is not recorded in the row yet. Nodes that start later read it from the row. */
export function isHaltPending(row: RolloutRow, halt: Halt | undefined): halt is Halt {
    return halt !== undefined && halt.share < currentShare(row);
}

/** Number of the first period since the last history entry. Periods of later entries have greater numbers. */
export function firstPeriod(row: RolloutRow): number {
    return (row.history.length - 1) * MAXIMUM_EPOCHS;
}

/** Returns the period of an answer at `wallTime`. Only answers of the same period are compared. */
export function periodAt(row: RolloutRow, wallTime: number, epochMilliseconds: number): number {
    const elapsed = Math.max(0, wallTime - row.history.at(-1)!.openedAt);
    return firstPeriod(row) + Math.min(MAXIMUM_EPOCHS - 1, Math.floor(elapsed / epochMilliseconds));
}

/** The last step keeps a control group on the baseline until the rollout is complete. */
function shareOfStep(input: ControllerInput, step: number): number {
    return Math.min(input.rollout.steps[step]!, 1 - input.policy.holdBackShare);
}

function startRun(input: ControllerInput): RolloutRow {
    const isHalted = input.rollout.state === "halted";
    const share = isHalted ? 0 : Math.min(shareOfStep(input, 0), input.halt?.share ?? 1);
    const reason = isHalted ? "halted by ticket" : "started by ticket";
    return {
        name: input.name,
        ticket: input.ticket,
        sequence: (input.row?.sequence ?? 0) + 1,
        model: input.rollout.model,
        version: input.rollout.version,
        step: 0,
        phase: isHalted ? "halted" : input.rollout.steps.length === 1 ? "watching" : "ramping",
        history: [{ share, openedAt: input.wallTime, reason }],
    };
}

function transitionTo(
    input: ControllerInput,
    row: RolloutRow,
    to: { phase: RolloutPhase; step?: number; share?: number; reason: string },
): ControllerDecision {
    const entry = { share: to.share ?? currentShare(row), openedAt: input.wallTime, reason: to.reason };
    const next = {
        ...row,
        sequence: row.sequence + 1,
        phase: to.phase,
        step: to.step ?? row.step,
        history: [...row.history, entry],
    };
    return { next, reason: to.reason };
}

function recordHalt(input: ControllerInput, row: RolloutRow, halt: Halt): ControllerDecision {
    const reason = `braked by ${halt.by}: ${halt.reason}`;
    return transitionTo(input, row, { phase: "braked", share: halt.share, reason });
}

function decideAtStep(input: ControllerInput, row: RolloutRow, assessment: Assessment): ControllerDecision {
    const steps = input.rollout.steps;
    const elapsed = input.wallTime - row.history.at(-1)!.openedAt;
    if (!input.areRatingsFresh) {
        return { next: undefined, reason: "no fresh ratings" };
    }
    if (assessment.isSuspect) {
        return { next: undefined, reason: assessment.holdReason ?? "" };
    }
    if (row.phase === "watching") {
        return elapsed >= input.policy.watchMilliseconds
            ? transitionTo(input, row, { phase: "complete", share: 1, reason: "watched to the end" })
            : { next: undefined, reason: "being watched at the last step" };
    }
    if (elapsed < input.policy.dwellMilliseconds) {
        return { next: undefined, reason: "shortest time at this step is not over" };
    }
    if (!assessment.advance) {
        return { next: undefined, reason: assessment.holdReason ?? "" };
    }
    const step = row.step + 1;
    return transitionTo(input, row, {
        phase: step >= steps.length - 1 ? "watching" : "ramping",
        step,
        share: shareOfStep(input, step),
        reason: "no loss found",
    });
}

export function decideRollout(input: ControllerInput): ControllerDecision {
    const { row } = input;
    if (row !== undefined && row.ticket > input.ticket) {
        return { next: undefined, reason: "this node does not have the newest ticket yet" };
    }
    if (row === undefined || row.ticket < input.ticket) {
        return { next: startRun(input), reason: "started by ticket" };
    }
    if (isFinal(row.phase)) {
        if (isHaltPending(row, input.halt)) {
            return recordHalt(input, row, input.halt);
        }
        return { next: undefined, reason: row.history.at(-1)!.reason };
    }
    const nextShare = input.rollout.steps[row.step + 1] ?? 1;
    const assessment = assess(input.strata, input.recent, firstPeriod(row), nextShare, input.policy);
    if (assessment.withdraw !== undefined) {
        const reason = describeFinding(assessment.withdraw);
        return transitionTo(input, row, { phase: "withdrawn", share: 0, reason });
    }
    if (isHaltPending(row, input.halt)) {
        return recordHalt(input, row, input.halt);
    }
    if (row.phase === "braked") {
        return { next: undefined, reason: row.history.at(-1)!.reason };
    }
    return decideAtStep(input, row, assessment);
}
