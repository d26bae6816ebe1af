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

/** How long rows are held while the store can be reached, milliseconds. */
interface HoldTimes {
    /** Rows that the store lacks. */
    readonly missing: number;
    /** Rows that the store has in another form, or that were removed before the restore. */
    readonly changed: number;
}

/**
 * Operators write again when the store is back. Upstreams do so within two seconds, and an entry that is missing
 * then is gone; the entries of upstreams that have left lapse some seconds later, without a writer.
 */
const HOLD_MILLISECONDS: Readonly<Record<Exclude<TableName, "nodes">, HoldTimes>> = {
    configuration: { missing: 10_000, changed: 10_000 },
    runners: { missing: 2500, changed: 8000 },
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

    const release = (table: keyof typeof HOLD_MILLISECONDS, elapsedMilliseconds: number): void => {
        const replica = replicas[table];
        const { missing, changed } = HOLD_MILLISECONDS[table];
        const isReleased = ({ key, value }: RowChange): boolean => {
            const isMissing = value !== undefined && replica.stored(key) === undefined;
            return elapsedMilliseconds >= (isMissing ? missing : changed);
        };
        const released = replica.held().filter(isReleased).length;
        if (released > 0) {
            logger.info("Rows of the restored store take effect.", { table, rows: released });
            replica.releaseHeld(isReleased);
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
            else {
                release(table, milliseconds);
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
