/** Interface of the shared store: tables of rows that the nodes read and whose change feeds they follow. */
import type { ChangeSet } from "./row-replica.js";

/**
 * Tables that every node replicates.
 *
 * - `configuration`: orders of the operators.
 * - `runners`: registrations of the upstreams.
 * - `nodes`: data that the nodes share with each other.
 */
export type TableName = "configuration" | "runners" | "nodes";

export const TABLE_NAMES: readonly TableName[] = ["configuration", "runners", "nodes"];

export interface RowWrite {
    readonly table: TableName | "reports";
    readonly key: string;
    /** Removes the row when `undefined`. */
    readonly value: string | undefined;
}

export interface RowCondition {
    readonly table: TableName;
    readonly key: string;
    /** Revision that the row must have; 0 when it must not exist. */
    readonly revision: number;
}

/** Atomic: all writes are applied when every condition holds, otherwise none. */
export interface StoreTransaction {
    /** Epoch of the store in which the revisions of the conditions were read; `undefined` without conditions. */
    readonly epoch?: number;
    readonly conditions: readonly RowCondition[];
    readonly writes: readonly RowWrite[];
}

/**
 * A call to the store failed.
 *
 * `outcome` is `not-applied` when the call had no effect, and `unknown` when it may have had one because its
 * response was lost.
 */
export class StoreError extends Error {
    constructor(
        message: string,
        readonly outcome: "not-applied" | "unknown",
        options?: ErrorOptions,
    ) {
        super(message, options);
        this.name = "StoreError";
    }
}

export interface SharedStore {
    /** Reads a whole table. @throws StoreError */
    readTable(table: TableName): Promise<ChangeSet>;
    /**
     * Waits for changes of a table after a revision. Returns `undefined` when the store has discarded these
     * changes and the whole table must be read again.
     *
     * @throws StoreError
     */
    readChanges(table: TableName, after: number, waitMilliseconds: number): Promise<ChangeSet | undefined>;
    /**
     * Returns whether the transaction was applied.
     *
     * @throws StoreError also when it was applied in another epoch than that of its conditions, as `unknown`
     */
    transact(transaction: StoreTransaction): Promise<boolean>;
    /** Offset of the store's clock from the monotonic clock, from the last response, milliseconds. */
    clockOffset(): number | undefined;
}
