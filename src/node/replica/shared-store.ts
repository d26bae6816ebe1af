/** Interface of the store that holds what the nodes share: tables of rows, read by feeds. */
import type { ChangeSet } from "./row-replica.js";

/**
 * Tables that a node follows.
 *
 * - `configuration`: orders of the operators.
 * - `runners`: entries of the upstreams.
 * - `nodes`: what the nodes share with each other.
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

/** Applied as a whole when every condition holds, else not at all. */
export interface StoreTransaction {
    readonly conditions: readonly RowCondition[];
    readonly writes: readonly RowWrite[];
}

/**
 * A call to the store failed.
 *
 * `outcome` is `not-applied` when the call certainly had no effect, and `unknown` when its answer was lost.
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
     * Waits for changes of a table after a revision. Returns `undefined` when the store no longer has the
     * changes and the table must be read again.
     *
     * @throws StoreError
     */
    readChanges(table: TableName, after: number, waitMilliseconds: number): Promise<ChangeSet | undefined>;
    /** Returns whether the transaction was applied. @throws StoreError */
    transact(transaction: StoreTransaction): Promise<boolean>;
    /** Offset of the store's clock from the process's monotonic clock, milliseconds; from the last answer. */
    clockOffset(): number | undefined;
}
