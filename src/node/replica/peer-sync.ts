/** Reads the tables from peers while the store is out of reach, and answers peers that ask. */
import { setTimeout as delay } from "node:timers/promises";
import type { JsonValue } from "../common/json.js";
import type { Random } from "../common/random.js";
import type { Lifecycle } from "../lifecycle/lifecycle.js";
import type { Logger } from "../logging/logging.js";
import type { Peers } from "../peers/peers.js";
import type { ChangeSet, RowChange } from "./row-replica.js";
import { TABLE_NAMES } from "./shared-store.js";
import type { TableName } from "./shared-store.js";
import type { Replicas } from "./store-sync.js";

/** Time between two calls while the store is out of reach, milliseconds. A fraction of the time to apply changes. */
const CALL_INTERVAL_MILLISECONDS = 300;

/** Time for a peer to answer, milliseconds. */
const CALL_TIMEOUT_MILLISECONDS = 400;

const METHOD = "rows.since";

interface WireChangeSet {
    readonly revision: number;
    readonly complete: boolean;
    /** Key, revision and value of each row; no value when the row was removed. */
    readonly rows: readonly (readonly [string, number, string?])[];
}

export interface PeerSyncOptions {
    readonly peers: Peers;
    readonly replicas: Replicas;
    /** Base URLs of the peers to ask. */
    readonly addresses: () => readonly string[];
    readonly isNeeded: () => boolean;
    readonly random: Random;
    readonly lifecycle: Lifecycle;
    readonly logger: Logger;
}

function encode(changes: ChangeSet): WireChangeSet {
    return {
        revision: changes.revision,
        complete: changes.complete,
        rows: changes.rows.map(row =>
            row.value === undefined ? [row.key, row.revision] : [row.key, row.revision, row.value],
        ),
    };
}

function decode(changes: WireChangeSet): ChangeSet {
    const rows = changes.rows.map(([key, revision, value]): RowChange => ({ key, revision, value }));
    return { revision: changes.revision, complete: changes.complete, rows };
}

export function createPeerSync(options: PeerSyncOptions): void {
    const { peers, replicas, logger } = options;
    let stopped = false;

    peers.handle(METHOD, params => {
        const since = params as Readonly<Record<TableName, number>>;
        const tables = TABLE_NAMES.filter(table => replicas[table].revision > 0).map(
            table => [table, encode(replicas[table].changesSince(since[table]))] as const,
        );
        return Object.fromEntries(tables) as unknown as JsonValue;
    });

    const readFrom = async (address: string): Promise<void> => {
        const since = Object.fromEntries(TABLE_NAMES.map(table => [table, replicas[table].revision]));
        const answer = (await peers.call(
            address,
            METHOD,
            since,
            CALL_TIMEOUT_MILLISECONDS,
        )) as unknown as Partial<Record<TableName, WireChangeSet>>;
        for (const table of TABLE_NAMES) {
            const changes = answer[table];
            if (changes !== undefined && changes.revision > replicas[table].revision) {
                replicas[table].apply(decode(changes));
                logger.info("Took a table from a peer.", {
                    table,
                    peer: address,
                    revision: changes.revision,
                });
            }
        }
    };

    const run = async (): Promise<void> => {
        while (!stopped) {
            await delay(CALL_INTERVAL_MILLISECONDS);
            const addresses = options.isNeeded() ? options.addresses() : [];
            const address = addresses[Math.floor(options.random() * addresses.length)];
            if (address === undefined) {
                continue;
            }
            await readFrom(address).catch((error: unknown) =>
                logger.debug("A peer did not answer.", { peer: address, error: (error as Error).message }),
            );
        }
    };

    options.lifecycle.add({
        name: "peer reads",
        start: () => {
            void run();
            return () => {
                stopped = true;
            };
        },
    });
}
