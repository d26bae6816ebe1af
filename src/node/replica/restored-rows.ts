/**
 * Ends the hold of rows that a restored store lacks.
 *
 * Rows of operators and upstreams are written again by their writers, so the store's own rows take effect after
 * a time in which it could be reached. Rows that the nodes wrote have no other writer: a node that knows them
 * writes them again.
 */
import { hashToUnit } from "../common/hash.js";
import type { Lifecycle } from "../lifecycle/lifecycle.js";
import type { Logger } from "../logging/logging.js";
import type { RowChange } from "./row-replica.js";
import { TABLE_NAMES } from "./shared-store.js";
import type { SharedStore, TableName } from "./shared-store.js";
import type { Replicas } from "./store-sync.js";

/**
 * Time for the writers of a table to write its rows again, milliseconds. Upstreams write every second or so; the
 * entries of those that have left lapse after three missing ones.
 */
const HOLD_MILLISECONDS: Readonly<Record<Exclude<TableName, "nodes">, number>> = {
    configuration: 10_000,
    runners: 5000,
};

const TICK_MILLISECONDS = 200;

/**
 * Average time between the nodes that try to write a row again, milliseconds. The row has usually come back
 * through the store's feed before the next node tries.
 */
const WRITER_GAP_MILLISECONDS = 300;

export interface RestoredRowsOptions {
    readonly node: string;
    readonly nodeCount: () => number;
    readonly replicas: Replicas;
    readonly store: Pick<SharedStore, "transact">;
    readonly isDisconnected: () => boolean;
    readonly lifecycle: Lifecycle;
    readonly logger: Logger;
}

export function createRestoredRows(options: RestoredRowsOptions): void {
    const { replicas, store, logger } = options;
    const knownEpochs = new Map<TableName, number>();
    /** Time since the restore in which the store could be reached, milliseconds. */
    const reachedMilliseconds = new Map<TableName, number>();
    let isWriting = false;

    const writeAgain = async ({ key, value }: RowChange): Promise<void> => {
        const { epoch } = replicas.nodes;
        const revision = replicas.nodes.stored(key)?.revision ?? 0;
        isWriting = true;
        try {
            await store.transact({
                epoch,
                conditions: [{ table: "nodes", key, revision }],
                writes: [{ table: "nodes", key, value }],
            });
        }
        catch (error) {
            logger.warn("Could not write a row again; trying again.", {
                key,
                error: (error as Error).message,
            });
        }
        finally {
            isWriting = false;
        }
    };

    const writeNext = (elapsedMilliseconds: number): void => {
        const spread = options.nodeCount() * WRITER_GAP_MILLISECONDS;
        const row = replicas.nodes
            .held()
            .find(({ key }) => hashToUnit(`${key}\u0000${options.node}`) * spread <= elapsedMilliseconds);
        if (row !== undefined && !isWriting) {
            void writeAgain(row);
        }
    };

    const tick = (): void => {
        if (options.isDisconnected()) {
            return;
        }
        for (const [table, milliseconds] of reachedMilliseconds) {
            reachedMilliseconds.set(table, milliseconds + TICK_MILLISECONDS);
            if (table === "nodes") {
                writeNext(milliseconds);
            }
            else if (milliseconds >= HOLD_MILLISECONDS[table]) {
                logger.info("The rows of the restored store take effect.", {
                    table,
                    rows: replicas[table].held().length,
                });
                replicas[table].releaseHeld();
            }
            if (replicas[table].held().length === 0) {
                reachedMilliseconds.delete(table);
            }
        }
    };

    for (const table of TABLE_NAMES) {
        replicas[table].onChange(() => {
            const { epoch, revision } = replicas[table];
            const known = knownEpochs.get(table);
            knownEpochs.set(table, epoch);
            if (known !== undefined && known !== epoch) {
                const held = replicas[table].held().length;
                logger.warn("The store was restored from an earlier copy.", { table, epoch, revision, held });
                reachedMilliseconds.set(table, 0);
            }
        });
    }

    options.lifecycle.add({
        name: "restored rows",
        start: () => {
            const timer = setInterval(tick, TICK_MILLISECONDS);
            return () => clearInterval(timer);
        },
    });
}
