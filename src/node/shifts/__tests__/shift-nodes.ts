/** Coordinators of several nodes on one store with conditional writes, on the mocked clock. */
import { createLifecycle } from "../../lifecycle/lifecycle.js";
import { silentLogging } from "../../logging/logging.js";
import { createRowReplica, preferStored } from "../../replica/row-replica.js";
import type { SharedStore, StoreTransaction } from "../../replica/shared-store.js";
import { createShiftCoordinator } from "../shift-coordinator.js";
import type { ServiceLoad } from "../exposure-plan.js";
import type { ShiftOrder, ShiftSettings } from "../shift.js";

/** Upstreams of each version. */
export const UPSTREAMS = 4;

type StoredRows = ReadonlyMap<string, { readonly value: string; readonly revision: number }>;

export interface StoreCopy {
    readonly rows: StoredRows;
    readonly revision: number;
}

export function createShiftNodes(
    names: readonly string[],
    order: ShiftOrder,
    settings: ShiftSettings,
    loadOf: () => ServiceLoad | undefined = () => undefined,
) {
    let rows = new Map<string, { readonly value: string; readonly revision: number }>();
    const replicas = names.map(() => createRowReplica(preferStored));
    let currentOrder = order;
    let epoch = 0;
    let revision = 1;
    let isStoreUp = true;
    /** Nodes that neither reach the store nor get its rows. */
    const cutOff = new Set<string>();
    const transact = (node: string, { conditions, writes }: StoreTransaction): Promise<boolean> => {
        if (!isStoreUp || cutOff.has(node)) {
            return Promise.reject(new Error("down"));
        }
        if (conditions.some(condition => (rows.get(condition.key)?.revision ?? 0) !== condition.revision)) {
            return Promise.resolve(false);
        }
        revision += 1;
        for (const { table, key, value } of writes) {
            rows.set(`${table === "reports" ? "report:" : ""}${key}`, { value: value!, revision });
            if (table !== "reports") {
                replicas.forEach((replica, index) => {
                    if (!cutOff.has(names[index]!)) {
                        replica.apply({ epoch, revision, complete: false, rows: [{ key, revision, value }] });
                    }
                });
            }
        }
        return Promise.resolve(true);
    };
    const storeOf = (node: string): SharedStore =>
        ({
            transact: (transaction: StoreTransaction) => transact(node, transaction),
        }) as unknown as SharedStore;
    replicas.forEach(replica => replica.apply({ epoch: 0, revision: 1, complete: true, rows: [] }));
    const lifecycle = createLifecycle();
    const coordinators = names.map((node, index) =>
        createShiftCoordinator({
            node,
            orders: () => [currentOrder],
            replica: replicas[index]!,
            store: storeOf(node),
            clockOffset: () => 0,
            nodeCount: () => names.length,
            upstreamCount: () => UPSTREAMS,
            loadOf,
            encodeReport: (_order, stage) => ({ table: "reports", key: "shift", value: stage }),
            settings: () => settings,
            clock: { now: Date.now, wallTime: Date.now },
            lifecycle,
            logger: silentLogging("shifts"),
        }),
    );
    return {
        coordinators,
        lifecycle,
        evidenceRows: () => [...rows.keys()].filter(key => key.startsWith("evidence/")).length,
        report: () => rows.get("report:shift")?.value,
        copy: (): StoreCopy => ({ rows: new Map(rows), revision }),
        restore: (copy: StoreCopy, rewritten: ShiftOrder) => {
            rows = new Map(copy.rows);
            revision = copy.revision;
            epoch += 1;
            currentOrder = rewritten;
            const stored = [...rows].filter(([key]) => !key.startsWith("report:"));
            const tableRows = stored.map(([key, row]) => ({ key, ...row }));
            replicas.forEach(replica => replica.apply({ epoch, revision, complete: true, rows: tableRows }));
        },
        setStoreUp: (up: boolean) => {
            isStoreUp = up;
        },
        cutOff: (node: string) => {
            cutOff.add(node);
        },
        reconnect: (node: string) => {
            cutOff.delete(node);
            const stored = [...rows].filter(([key]) => !key.startsWith("report:"));
            replicas[names.indexOf(node)]!.apply({
                epoch,
                revision,
                complete: true,
                rows: stored.map(([key, row]) => ({ key, ...row })),
            });
        },
    };
}

export async function advanceTime(
    mock: { tick(milliseconds: number): void },
    milliseconds: number,
): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += 100) {
        mock.tick(100);
        for (let turn = 0; turn < 5; turn++) {
            await Promise.resolve();
        }
    }
}
