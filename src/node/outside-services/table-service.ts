/** Interface of the transactional table service. */
import type { JsonObject } from "../common/json.js";

export interface Row {
    /** Path-like key, for example `lease/orders`. */
    readonly key: string;
    /** Increases with every write of the row, from 1. */
    readonly version: number;
    readonly value: JsonObject;
}

export type Condition =
    | { readonly kind: "absent"; readonly key: string }
    | { readonly kind: "version"; readonly key: string; readonly version: number }
    | {
          readonly kind: "field";
          readonly key: string;
          readonly field: string;
          readonly equals: string | number | boolean;
      };

export type Write =
    | { readonly kind: "put"; readonly key: string; readonly value: JsonObject }
    | { readonly kind: "delete"; readonly key: string };

/** Applied as a whole if every condition is met, otherwise not at all. */
export interface Transaction {
    readonly conditions: readonly Condition[];
    readonly writes: readonly Write[];
}

export type TransactionResult =
    | { readonly applied: true }
    | {
          readonly applied: false;
          /** Keys of the conditions that were not met. */
          readonly failedKeys: readonly string[];
      };

export interface TableService {
    /** @throws OutsideServiceError whose `outcome` tells whether the transaction may have been applied. */
    transact(transaction: Transaction): Promise<TransactionResult>;
    /** Reads one row. @throws OutsideServiceError */
    get(key: string): Promise<Row | undefined>;
    /** Reads several rows in one snapshot; absent rows are left out. @throws OutsideServiceError */
    getMany(keys: readonly string[]): Promise<readonly Row[]>;
    /** Reads rows whose key starts with `prefix`, in key order. @throws OutsideServiceError */
    scan(prefix: string, options?: ScanOptions): Promise<readonly Row[]>;
}

export interface ScanOptions {
    /** Only keys greater than this one. */
    readonly after?: string;
    /**
     * Maximum number of rows returned.
     *
     * @default 1000
     */
    readonly limit?: number;
}

/**
 * A call to an outside service failed.
 *
 * `outcome` is `not-applied` when the call certainly had no effect, and `unknown` when it may have had one,
 * for example because its response was lost.
 */
export class OutsideServiceError extends Error {
    constructor(
        message: string,
        readonly outcome: "not-applied" | "unknown",
        options?: ErrorOptions,
    ) {
        super(message, options);
        this.name = "OutsideServiceError";
    }
}
