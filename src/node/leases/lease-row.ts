/** Lease row in the table service, and the condition that makes a write depend on the lease. */
import * as z from "zod/mini";
import type { JsonObject } from "../common/json.js";
import type { Condition, Transaction } from "../outside-services/table-service.js";

export interface LeaseRow {
    /** Node and incarnation of the holder. Empty after a hand-back. */
    readonly holder: string;
    /** Fencing token: strictly increases with each change of the holder. */
    readonly fencing: bigint;
    readonly durationMilliseconds: number;
}

const leaseRowSchema = z.object({
    holder: z.string(),
    // A decimal string, because JSON numbers lose precision above 2^53.
    fencing: z.string().check(z.regex(/^(0|[1-9]\d*)$/, { error: "must be a decimal number" })),
    durationMilliseconds: z.number().check(z.positive()),
});

/** Proof that the sender of a protected write holds the lease. */
export interface FencingToken {
    readonly duty: string;
    readonly fencing: bigint;
}

export function leaseKey(duty: string): string {
    return `lease/${duty}`;
}

/** @throws Error if the value is not a valid lease row. */
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

/** Condition that holds until another node acquires the lease or the holder hands it back. */
export function fencingCondition(token: FencingToken): Condition {
    return {
        kind: "field",
        key: leaseKey(token.duty),
        field: "fencing",
        equals: token.fencing.toString(),
    };
}

/**
 * Adds the fencing condition, so that the table rejects the transaction once the lease has a new fencing
 * token.
 */
export function withFencing(token: FencingToken, transaction: Transaction): Transaction {
    return {
        conditions: [fencingCondition(token), ...transaction.conditions],
        writes: transaction.writes,
    };
}
