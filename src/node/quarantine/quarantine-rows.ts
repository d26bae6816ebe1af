/** Keeps the quarantine in the store, so that nodes that start or were cut off know it. */
import * as z from "zod/mini";
import { rendezvousOwner } from "../common/hash.js";
import type { Clock } from "../common/clock.js";
import type { Lifecycle } from "../lifecycle/lifecycle.js";
import type { Logger } from "../logging/logging.js";
import { createRowReader } from "../replica/row-reader.js";
import type { RowChange, RowReplica } from "../replica/row-replica.js";
import type { SharedStore } from "../replica/shared-store.js";
import type { Quarantine } from "./quarantine.js";

export interface QuarantineRowsOptions {
    readonly node: string;
    /** Ids of all nodes. */
    readonly nodes: () => readonly string[];
    readonly quarantine: Quarantine;
    readonly replica: RowReplica;
    readonly store: SharedStore;
    /** Store clock minus this process's monotonic clock, milliseconds; `undefined` while unknown. */
    readonly clockOffset: () => number | undefined;
    readonly clock: Clock;
    readonly lifecycle: Lifecycle;
    readonly logger: Logger;
}

const quarantineRow = z.object({
    /** Time of the store's clock, milliseconds. */
    lastCrashAt: z.number(),
});

type QuarantineRow = z.infer<typeof quarantineRow>;

const KEY_PREFIX = "quarantine/";

const TICK_MILLISECONDS = 200;

/**
 * Time after the last crash before its suspect is written, milliseconds. Evidence that clears a suspect usually
 * arrives by then; a node that hears no other node learns the suspect only from its row.
 */
const WRITE_DELAY_MILLISECONDS = 300;

/** Age of the stored time from which a later crash is written, milliseconds. */
const RENEWAL_MILLISECONDS = 10_000;

export function createQuarantineRows(options: QuarantineRowsOptions): void {
    const { quarantine, replica, store, clock, logger } = options;
    /** Suspects that have a row. The rows of those that the quarantine does not hold are removed. */
    const stored = new Set<string>();
    const readRow = createRowReader<QuarantineRow>(quarantineRow, logger);
    let isWriting = false;

    const applyRow = (row: RowChange): void => {
        const { key, value } = row;
        if (!key.startsWith(KEY_PREFIX)) {
            return;
        }
        const suspect = key.slice(KEY_PREFIX.length);
        if (value === undefined) {
            stored.delete(suspect);
            quarantine.release(suspect, "its row was removed from the store");
            return;
        }
        const content = readRow(row);
        if (content === undefined) {
            return;
        }
        const offset = options.clockOffset();
        stored.add(suspect);
        quarantine.restore(suspect, offset === undefined ? clock.now() : content.lastCrashAt - offset);
    };

    const write = async (suspect: string, row: QuarantineRow | undefined): Promise<void> => {
        const key = `${KEY_PREFIX}${suspect}`;
        const { epoch } = replica;
        const revision = replica.stored(key)?.revision ?? 0;
        isWriting = true;
        try {
            await store.transact({
                epoch,
                conditions: [{ table: "nodes", key, revision }],
                writes: [{ table: "nodes", key, value: row === undefined ? undefined : JSON.stringify(row) }],
            });
        }
        catch (error) {
            logger.warn("Could not write a quarantine; trying again.", {
                suspect,
                error: (error as Error).message,
            });
        }
        finally {
            isWriting = false;
        }
    };

    const nextWrite = (): Promise<void> | undefined => {
        const now = clock.now();
        const offset = options.clockOffset();
        const entries = quarantine.entries();
        for (const [suspect, lastCrashAt] of entries) {
            const row = replica.get(`${KEY_PREFIX}${suspect}`);
            const storedAt = row === undefined ? undefined : readRow(row)?.lastCrashAt;
            const isStored =
                offset === undefined ||
                (storedAt !== undefined && lastCrashAt + offset - storedAt < RENEWAL_MILLISECONDS);
            if (!isStored && quarantine.isWitness(suspect) && now - lastCrashAt >= WRITE_DELAY_MILLISECONDS) {
                return write(suspect, { lastCrashAt: lastCrashAt + offset });
            }
        }
        for (const suspect of stored) {
            const isResponsible =
                quarantine.isWitness(suspect) || rendezvousOwner(suspect, options.nodes()) === options.node;
            if (!entries.has(suspect) && isResponsible) {
                return write(suspect, undefined);
            }
        }
        return undefined;
    };

    replica.onChange(changes => changes.forEach(applyRow));
    options.lifecycle.add({
        name: "quarantine",
        start: () => {
            const timer = setInterval(() => {
                quarantine.expire(clock.now());
                if (!isWriting) {
                    void nextWrite();
                }
            }, TICK_MILLISECONDS);
            return () => clearInterval(timer);
        },
    });
}
