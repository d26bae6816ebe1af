/** In-memory rows of a table service, for the stand-in, tests and benchmarks. */
import type { Condition, Row, ScanOptions, Transaction, TransactionResult } from "./table-service.js";

/** Maximum number of rows per scan when no limit is given. */
const DEFAULT_SCAN_LIMIT = 1000;

function isMet(condition: Condition, row: Row | undefined): boolean {
    switch (condition.kind) {
        case "absent":
            return row === undefined;
        case "version":
            return row?.version === condition.version;
        case "field":
            return row?.value[condition.field] === condition.equals;
    }
}

/** Applies all writes of a transaction if every condition is met, otherwise none. */
export function applyTransaction(rows: Map<string, Row>, transaction: Transaction): TransactionResult {
    const failed = transaction.conditions.filter(condition => !isMet(condition, rows.get(condition.key)));
    if (failed.length > 0) {
        return { applied: false, failedKeys: failed.map(condition => condition.key) };
    }
    for (const write of transaction.writes) {
        if (write.kind === "delete") {
            rows.delete(write.key);
        }
        else {
            const version = (rows.get(write.key)?.version ?? 0) + 1;
            rows.set(write.key, { key: write.key, version, value: write.value });
        }
    }
    return { applied: true };
}

/** Reads rows whose key starts with `prefix`, in key order. */
export function scanRows(
    rows: ReadonlyMap<string, Row>,
    prefix: string,
    { after = "", limit = DEFAULT_SCAN_LIMIT }: ScanOptions = {},
): readonly Row[] {
    return [...rows.values()]
        .filter(row => row.key.startsWith(prefix) && row.key > after)
        .sort((a, b) => (a.key < b.key ? -1 : 1))
        .slice(0, limit);
}
