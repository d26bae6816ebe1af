/**
 * Claim rows in the table service, and the conditional writes to them.
 *
 * Every write carries a guard: the state of the row that it replaces. Delayed or duplicate copies of a write
 * therefore have no effect: once the row has changed, the guard no longer holds.
 */
import { z } from "zod";
import { sha256 } from "../common/hash.js";
import type { Condition, Row, Transaction } from "../outside-services/table-service.js";
import type { ClaimKey, ClaimResult, RecordedOutcome } from "./claims.js";
import { CLAIM_PREFIX } from "./constants.js";

const outcomeSchema = z.object({
    status: z.int(),
    headers: z.record(z.string(), z.string()),
    body: z.string(),
});

export const claimRowSchema = z.object({
    /** Attempt that wrote the row. Empty if the row could not be parsed as a claim. */
    attempt: z.string(),
    /** `abandoned`: the attempt certainly did not run, and the key may be claimed again. */
    state: z.enum(["claimed", "recorded", "abandoned"]),
    bodyHash: z.string(),
    /** Time of the claim, milliseconds since the epoch. */
    at: z.number(),
    outcome: outcomeSchema.optional(),
});

export type ClaimRow = Readonly<z.infer<typeof claimRowSchema>>;

export const rowWriteSchema = z.object({
    key: z.string().startsWith(CLAIM_PREFIX),
    guard: z.discriminatedUnion("kind", [
        z.object({ kind: z.literal("absent") }),
        z.object({ kind: z.literal("version"), version: z.int() }),
        /** The row is the claim of `attempt`, without an outcome. */
        z.object({ kind: z.literal("held"), attempt: z.string() }),
    ]),
    value: claimRowSchema,
});

/** One conditional write of a claim row. */
export type RowWrite = Readonly<z.infer<typeof rowWriteSchema>>;

export type Guard = RowWrite["guard"];

export const observedRowSchema = z.object({ version: z.int(), value: claimRowSchema });

/** Claim row as read from the table service. */
export type ObservedRow = Readonly<z.infer<typeof observedRowSchema>>;

/** Row key of a claim. Hashing distributes the rows evenly and bounds the length of the key. */
export function claimRowKey(key: ClaimKey): string {
    return CLAIM_PREFIX + sha256([key.service, key.workspace, key.idempotencyKey].join("\u0000"));
}

export function conditionsOf(write: RowWrite): readonly Condition[] {
    const { key, guard } = write;
    switch (guard.kind) {
        case "absent":
            return [{ kind: "absent", key }];
        case "version":
            return [{ kind: "version", key, version: guard.version }];
        case "held":
            return [
                { kind: "field", key, field: "attempt", equals: guard.attempt },
                { kind: "field", key, field: "state", equals: "claimed" },
            ];
    }
}

export function transactionOf(writes: readonly RowWrite[]): Transaction {
    return {
        conditions: writes.flatMap(conditionsOf),
        writes: writes.map(({ key, value }) => ({ kind: "put", key, value })),
    };
}

/** Substitute for a row that cannot be parsed: the key counts as claimed by another attempt. */
const UNREADABLE_ROW: ClaimRow = { attempt: "", state: "claimed", bodyHash: "", at: Number.MAX_SAFE_INTEGER };

export function parseClaimRow(row: Row): ObservedRow {
    const parsed = claimRowSchema.safeParse(row.value);
    return { version: row.version, value: parsed.success ? parsed.data : UNREADABLE_ROW };
}

/** Next step of an attempt that claims the key of a row. */
export type ClaimDecision =
    | { readonly kind: "final"; readonly result: ClaimResult }
    /** The attempt may write its claim with this guard. */
    | { readonly kind: "write"; readonly guard: Guard };

export function decideClaim(attempt: string, bodyHash: string, row: ObservedRow | undefined): ClaimDecision {
    if (row === undefined) {
        return { kind: "write", guard: { kind: "absent" } };
    }
    const { value, version } = row;
    if (value.attempt === attempt) {
        return { kind: "final", result: { kind: value.state === "claimed" ? "claimed" : "unavailable" } };
    }
    if (value.state === "abandoned") {
        return { kind: "write", guard: { kind: "version", version } };
    }
    if (value.attempt !== "" && value.bodyHash !== bodyHash) {
        return { kind: "final", result: { kind: "mismatch" } };
    }
    return {
        kind: "final",
        result:
            value.outcome === undefined ? { kind: "pending" } : { kind: "recorded", outcome: value.outcome },
    };
}

/**
 * Guard of the write after which every earlier write of an attempt fails; `undefined` if they already fail
 * with the present row.
 *
 * The earlier writes were guarded by absence or by the version of an abandoned row. They fail if the row
 * exists, is not the attempt's claim, and is not an abandoned row whose version the attempt may have read.
 */
export function guardForAbandon(attempt: string, row: ObservedRow | undefined): Guard | undefined {
    if (row === undefined) {
        return { kind: "absent" };
    }
    if (row.value.state === "abandoned") {
        return row.value.attempt === attempt ? undefined : { kind: "version", version: row.version };
    }
    return row.value.attempt === attempt && row.value.state === "claimed"
        ? { kind: "held", attempt }
        : undefined;
}

export function isSameOutcome(a: RecordedOutcome, b: RecordedOutcome): boolean {
    const canonical = (outcome: RecordedOutcome): string =>
        JSON.stringify([outcome.status, Object.entries(outcome.headers).sort(), outcome.body]);
    return canonical(a) === canonical(b);
}
