/**
 * Removal of old claim rows. Any node may run it: each step reads the next rows behind a cursor and removes the
 * expired ones, on condition that they have not changed.
 */
import type { Row, Transaction } from "../outside-services/table-service.js";
import { observe } from "./claim-row.js";
import { BUSY_SWEEP_MILLISECONDS, CLAIM_PREFIX, IDLE_SWEEP_MILLISECONDS } from "./constants.js";

export interface SweepAges {
    /** Milliseconds for which claims with or without an outcome are kept. */
    readonly retentionMilliseconds: number;
    /** Milliseconds for which rows of abandoned attempts are kept. */
    readonly abandonedMilliseconds: number;
}

/** Returns the rows that may be removed. Rows that are not readable as claims are kept. */
export function expiredRows(rows: readonly Row[], wallTime: number, ages: SweepAges): readonly Row[] {
    return rows.filter(row => {
        const { value } = observe(row);
        const age = value.state === "abandoned" ? ages.abandonedMilliseconds : ages.retentionMilliseconds;
        return wallTime - value.at > age;
    });
}

export function removalOf(rows: readonly Row[]): Transaction {
    return {
        conditions: rows.map(({ key, version }) => ({ kind: "version", key, version })),
        writes: rows.map(({ key }) => ({ kind: "delete", key })),
    };
}

/** Returns the cursor behind the rows that were read, or the start of the claims at their end. */
export function nextCursor(rows: readonly Row[], limit: number): string {
    return rows.length < limit ? CLAIM_PREFIX : rows.at(-1)!.key;
}

/** Returns a cursor at a random place, so that nodes that are often replaced also reach the last rows. */
export function randomCursor(random: () => number): string {
    return (
        CLAIM_PREFIX +
        Math.floor(random() * 2 ** 32)
            .toString(16)
            .padStart(8, "0")
    );
}

/** Returns the wait until a node's next step, so that all members together keep the rate. */
export function sweepWait(foundExpired: boolean, members: number): number {
    return (foundExpired ? BUSY_SWEEP_MILLISECONDS : IDLE_SWEEP_MILLISECONDS) * Math.max(1, members);
}
