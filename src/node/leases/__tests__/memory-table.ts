/** In-memory table service for tests and benchmarks. Every call can be delayed before or after its effect. */
import { applyTransaction, scanRows } from "../../outside-services/in-memory-table.js";
import type { Row, TableService } from "../../outside-services/table-service.js";

/** Awaited before a call takes effect and again before its answer is returned. May throw. */
export type Gate = (phase: "before" | "after") => Promise<void>;

export interface MemoryTable {
    readonly rows: Map<string, Row>;
    /** Creates a client whose calls await `gate`. */
    client(gate?: Gate): TableService;
}

export function createMemoryTable(): MemoryTable {
    const rows = new Map<string, Row>();
    return {
        rows,
        client: (gate = () => Promise.resolve()) => {
            const call = async <Result>(effect: () => Result): Promise<Result> => {
                await gate("before");
                const result = effect();
                await gate("after");
                return result;
            };
            return {
                get: key => call(() => rows.get(key)),
                getMany: keys => call(() => keys.flatMap(key => rows.get(key) ?? [])),
                scan: prefix => call(() => scanRows(rows, prefix)),
                transact: transaction => call(() => applyTransaction(rows, transaction)),
            };
        },
    };
}
