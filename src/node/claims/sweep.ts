/**
 * Deletes expired claim rows. All nodes sweep concurrently: each step scans the rows after a cursor and
 * deletes the expired ones if their versions have not changed.
 */
import type { Row, Transaction } from "../outside-services/table-service.js";
import { parseClaimRow } from "./claim-row.js";
import { BUSY_SWEEP_MILLISECONDS, CLAIM_PREFIX, IDLE_SWEEP_MILLISECONDS } from "./constants.js";

export interface RowRetention {
    /** Time for which claims are kept, with or without an outcome. */
    readonly retentionMilliseconds: number;
    /** Time for which rows of abandoned attempts are kept. */
    readonly abandonedMilliseconds: number;
}

/** Selects the rows that may be deleted. Rows that cannot be parsed as claims are kept. */
export function expiredRows(rows: readonly Row[], wallTime: number, retention: RowRetention): readonly Row[] {
    return rows.filter(row => {
        const { value } = parseClaimRow(row);
        const maximumAge =
            value.state === "abandoned" ? retention.abandonedMilliseconds : retention.retentionMilliseconds;
        return wallTime - value.at > maximumAge;
    });
}

export function deletionTransaction(rows: readonly Row[]): Transaction {
    return {
        conditions: rows.map(({ key, version }) => ({ kind: "version", key, version })),
        writes: rows.map(({ key }) => ({ kind: "delete", key })),
    };
}

/** The cursor after the last row of a scan. After the last claim, the scan restarts at the first. */
export function nextCursor(rows: readonly Row[], limit: number): string {
    return rows.length < limit ? CLAIM_PREFIX : rows.at(-1)!.key;
}

/** A random start position. With a fixed one, nodes that restart often would never reach the last rows. */
export function randomCursor(random: () => number): string {
    return (
        CLAIM_PREFIX +
        Math.floor(random() * 2 ** 32)
            .toString(16)
            .padStart(8, "0")
    );
}

/**
 * Milliseconds until the node's next sweep step. Proportional to the number of members, so that all nodes
 * together sweep at a fixed rate.
 */
export function sweepDelay(foundExpired: boolean, members: number): number {
    return (foundExpired ? BUSY_SWEEP_MILLISECONDS : IDLE_SWEEP_MILLISECONDS) * Math.max(1, members);
}
