/** Keeps the replicas up to date from the store's feeds, and says how long the store has been out of reach. */
import { setTimeout as delay } from "node:timers/promises";
import type { Clock } from "../common/clock.js";
import type { Lifecycle } from "../lifecycle/lifecycle.js";
import type { Logger } from "../logging/logging.js";
import type { RowReplica } from "./row-replica.js";
import { TABLE_NAMES } from "./shared-store.js";
import type { SharedStore, TableName } from "./shared-store.js";

export type Replicas = Readonly<Record<TableName, RowReplica>>;

/** Time that the store may hold a feed call open, milliseconds. Bounds how long a silent connection is trusted. */
const FEED_WAIT_MILLISECONDS = 1900;

/** Pause between two feed calls of a table, milliseconds. Groups changes that follow each other. */
const FEED_PAUSE_MILLISECONDS = 100;

/** First and longest pause after a failed call, milliseconds. */
const RETRY_PAUSE_MILLISECONDS = 200;
const LONGEST_RETRY_PAUSE_MILLISECONDS = 800;

export interface StoreSync {
    /** The last call of some table failed. */
    isDisconnected(): boolean;
    /** Monotonic time at which the store last became reachable again; `undefined` when it never was lost. */
    reconnectedAt(): number | undefined;
}

export interface StoreSyncOptions {
    readonly store: SharedStore;
    readonly replicas: Replicas;
    readonly clock: Clock;
    readonly lifecycle: Lifecycle;
    readonly logger: Logger;
}

export function createStoreSync(options: StoreSyncOptions): StoreSync {
    const { store, replicas, clock, logger } = options;
    const failing = new Set<TableName>();
    let reconnectedAt: number | undefined;
    let lostAt = 0;
    let stopped = false;

    const readOnce = async (table: TableName): Promise<void> => {
        const replica = replicas[table];
        const changes =
            replica.revision === 0
                ? undefined
                : await store.readChanges(table, replica.revision, FEED_WAIT_MILLISECONDS);
        replica.apply(changes ?? (await store.readTable(table)));
    };

    const markFailed = (table: TableName, error: Error): void => {
        if (failing.size === 0) {
            lostAt = clock.now();
            logger.warn("Lost the store; going on with what is known.", { table, error: error.message });
        }
        failing.add(table);
    };

    const markRead = (table: TableName): void => {
        if (failing.delete(table) && failing.size === 0) {
            reconnectedAt = clock.now();
            logger.info("Reached the store again.", {
                awayMilliseconds: Math.round(reconnectedAt - lostAt),
                revision: replicas[table].revision,
            });
        }
    };

    const follow = async (table: TableName): Promise<void> => {
        let pause = RETRY_PAUSE_MILLISECONDS;
        while (!stopped) {
            try {
                await readOnce(table);
                markRead(table);
                pause = RETRY_PAUSE_MILLISECONDS;
                await delay(FEED_PAUSE_MILLISECONDS);
            }
            catch (error) {
                if (stopped) {
                    return;
                }
                markFailed(table, error as Error);
                await delay(pause);
                pause = Math.min(LONGEST_RETRY_PAUSE_MILLISECONDS, pause * 2);
            }
        }
    };

    options.lifecycle.add({
        name: "store feeds",
        start: () => {
            TABLE_NAMES.forEach(table => void follow(table));
            return () => {
                stopped = true;
            };
        },
    });

    return {
        isDisconnected: () => failing.size > 0,
        reconnectedAt: () => reconnectedAt,
    };
}
