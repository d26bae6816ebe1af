/** Schema of a rollout's row in the table service: `rollout/NAME`. */
import { z } from "zod";
import type { JsonObject } from "../common/json.js";

const historyStepSchema = z
    .object({
        /** Share of new sessions, 0 to 1. */
        share: z.number().min(0).max(1),
        /** Milliseconds since the epoch. */
        openedAt: z.number(),
        reason: z.string(),
    })
    .readonly();

export const rolloutRowSchema = z
    .object({
        name: z.string(),
        /** Number of the ticket that started this run. */
        ticket: z.int(),
        /** Increases by 1 with each write of the row, across all runs. */
        sequence: z.int().positive(),
        model: z.string(),
        version: z.string(),
        /** Index of the current step in the configuration's list. */
        step: z.int().min(0),
        /**
         * - `ramping`: the share increases step by step.
         * - `watching`: at the last step, still assessed.
         * - `complete`: the version gets all new sessions.
         * - `braked`: a halt by a node or an operator lowered the share; only a new ticket can raise it.
         * - `withdrawn`: the version has a regression and gets no requests.
         * - `halted`: stopped by a ticket.
         */
        phase: z.enum(["ramping", "watching", "complete", "braked", "withdrawn", "halted"]),
        history: z.array(historyStepSchema).min(1).readonly(),
    })
    .readonly();

export type HistoryStep = z.infer<typeof historyStepSchema>;
export type RolloutRow = z.infer<typeof rolloutRowSchema>;
export type RolloutPhase = RolloutRow["phase"];

export function rolloutKey(name: string): string {
    return `rollout/${name}`;
}

/** Identifies a run of a rollout in the evidence. Each ticket starts a new run. */
export function runKey(name: string, ticket: number): string {
    return `${name}@${ticket}`;
}

/** Share of the last history step. */
export function currentShare(row: RolloutRow): number {
    return row.history.at(-1)!.share;
}

/** @throws z.ZodError when the value does not match the schema. */
export function parseRolloutRow(value: unknown): RolloutRow {
    return rolloutRowSchema.parse(value);
}

export function serialiseRolloutRow(row: RolloutRow): JsonObject {
    return row as unknown as JsonObject;
}

/** Returns the newer of two states of a row. Writes are fenced, so rows with equal sequences are equal. */
export function newerRow(a: RolloutRow | undefined, b: RolloutRow): RolloutRow {
    return a === undefined || b.sequence > a.sequence ? b : a;
}
