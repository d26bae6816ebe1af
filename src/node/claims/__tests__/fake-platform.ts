/** In-memory table service and object store with configurable faults. */
import type { JsonObject } from "../../common/json.js";
import type { ObjectStore } from "../../outside-services/object-store.js";
import { OutsideServiceError } from "../../outside-services/table-service.js";
import { applyTransaction } from "../../outside-services/in-memory-table.js";
import type {
    Row,
    TableService,
    Transaction,
    TransactionResult,
} from "../../outside-services/table-service.js";

/**
 * Fault of one call.
 * - `reject`: the call fails and certainly has no effect.
 * - `drop`: the call has no effect, and its result is unknown to the sender.
 * - `lose`: the call takes effect and its answer is lost.
 * - `late`: the call fails with an unknown result and takes effect `lateMilliseconds` later.
 */
export type Fault = "none" | "reject" | "drop" | "lose" | "late";

export type Call = "transact" | "read" | "put";

export interface FakeOptions {
    /** Selects the fault of each call. @default no faults */
    fault: (call: Call) => Fault;
    /** Delay before a call takes effect, and again before its answer. @default 1 */
    latencyMilliseconds: number;
    /** @default 3000 */
    lateMilliseconds: number;
    /** Called for each row that is written. */
    onPut: (key: string, before: JsonObject | undefined, after: JsonObject) => void;
}

export type FakeTableService = TableService & FakeOptions & { readonly rows: Map<string, Row> };

export type FakeObjectStore = ObjectStore & FakeOptions & { readonly objects: Map<string, string> };

const wait = (milliseconds: number): Promise<void> =>
    new Promise(resolve => setTimeout(resolve, milliseconds));

const DEFAULTS: FakeOptions = {
    fault: () => "none",
    latencyMilliseconds: 1,
    lateMilliseconds: 3000,
    onPut: () => undefined,
};

/** Runs the effect of a call with the fault that `fault` selects. */
async function call<Result>(options: FakeOptions, name: Call, effect: () => Result): Promise<Result> {
    const fault = options.fault(name);
    await wait(options.latencyMilliseconds);
    if (fault === "reject") {
        throw new OutsideServiceError("the service is down", "not-applied");
    }
    if (fault === "late") {
        setTimeout(effect, options.lateMilliseconds);
    }
    const result = fault === "none" || fault === "lose" ? effect() : undefined;
    await wait(options.latencyMilliseconds);
    if (fault !== "none") {
        throw new OutsideServiceError("no answer", "unknown");
    }
    return result as Result;
}

export function createFakeTableService(): FakeTableService {
    const rows = new Map<string, Row>();
    const apply = (transaction: Transaction): TransactionResult => {
        const before = new Map(transaction.writes.map(({ key }) => [key, rows.get(key)?.value]));
        const result = applyTransaction(rows, structuredClone(transaction));
        if (result.applied) {
            for (const write of transaction.writes) {
                if (write.kind === "put") {
                    service.onPut(write.key, before.get(write.key), rows.get(write.key)!.value);
                }
            }
        }
        return result;
    };
    const orderedRows = (keys: readonly string[]): readonly Row[] =>
        [...keys].sort().flatMap(key => rows.get(key) ?? []);
    const service: FakeTableService = {
        ...DEFAULTS,
        rows,
        transact: transaction => call(service, "transact", () => apply(transaction)),
        get: key => call(service, "read", () => rows.get(key)),
        getMany: keys => call(service, "read", () => orderedRows(keys)),
        scan: (prefix, options = {}) =>
            call(service, "read", () =>
                orderedRows([...rows.keys()])
                    .filter(({ key }) => key.startsWith(prefix) && key > (options.after ?? ""))
                    .slice(0, options.limit ?? 1000),
            ),
    };
    return service;
}

export function createFakeObjectStore(): FakeObjectStore {
    const objects = new Map<string, string>();
    const store: FakeObjectStore = {
        ...DEFAULTS,
        objects,
        putIfAbsent: (name, body) =>
            call(store, "put", () => {
                if (objects.has(name)) {
                    return "exists";
                }
                objects.set(name, body);
                return "created";
            }),
        put: (name, body) => call(store, "put", () => void objects.set(name, body)),
        get: name => call(store, "read", () => objects.get(name)),
        list: (prefix, after = "") =>
            call(store, "read", () =>
                [...objects.keys()]
                    .filter(name => name.startsWith(prefix) && name > after)
                    .sort()
                    .slice(0, 1000),
            ),
    };
    return store;
}
