/** The row of a lease in the table service, and the condition that ties a write to it. */
import { z } from "zod";
import type { JsonObject } from "../common/json.js";
import type { Condition, Transaction } from "../outside-services/table-service.js";

export interface LeaseRow {
    /** Node and incarnation that hold the lease; empty after a hand-back. */
    readonly holder: string;
    /** Strictly increases with each change of the holder. */
    readonly fencing: bigint;
    readonly durationMilliseconds: number;
}

const leaseRowSchema = z.object({
    holder: z.string(),
    // A decimal string, because JSON numbers lose precision past 2^53.
    fencing: z.string().regex(/^(0|[1-9]\d*)$/, { error: "must be a decimal number" }),
    durationMilliseconds: z.number().positive(),
});

/** Proof of a lease that protected writes carry. */
export interface FencingToken {
    readonly duty: string;
    readonly fencing: bigint;
}

export function leaseKey(duty: string): string {
    return `lease/${duty}`;
}

/** @throws z.ZodError when the row was not written by this program. */
export function parseLeaseRow(value: JsonObject): LeaseRow {
    const { fencing, ...rest } = leaseRowSchema.parse(value);
    return { ...rest, fencing: BigInt(fencing) };
}

export function serialiseLeaseRow(row: LeaseRow): JsonObject {
    return {
        holder: row.holder,
        fencing: row.fencing.toString(),
        durationMilliseconds: row.durationMilliseconds,
    };
}

/** Holds as long as no other node has taken the lease. */
export function fencingCondition(token: FencingToken): Condition {
    return {
        kind: "field",
        key: leaseKey(token.duty),
        field: "fencing",
        equals: token.fencing.toString(),
    };
}

/** Adds the fencing condition, so that the transaction is refused once another node has taken the lease. */
export function withFencing(token: FencingToken, transaction: Transaction): Transaction {
    return {
        conditions: [fencingCondition(token), ...transaction.conditions],
        writes: transaction.writes,
    };
}
