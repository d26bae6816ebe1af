/** Peer calls that read the tables of another node, immediately or as long polls that wait for a change. */
import type { Clock } from "../common/clock.js";
import type { JsonValue } from "../common/json.js";
import type { Peers } from "../peers/peers.js";
import type { ChangeSet, RowChange } from "./row-replica.js";
import { TABLE_NAMES } from "./shared-store.js";
import type { TableName } from "./shared-store.js";
import type { Replicas } from "./store-sync.js";

const METHOD = "rows.since";

/** Upper limit of `waitMilliseconds`, milliseconds. */
const MAXIMUM_WAIT_MILLISECONDS = 5000;

interface WireChangeSet {
    readonly revision: number;
    readonly complete: boolean;
    /** Key, revision and value of each row; the value is missing when the row was removed. */
    readonly rows: readonly (readonly [string, number, string?])[];
}

interface WireRequest {
    /** Revision up to which the calling node has each table. */
    readonly since: Readonly<Record<TableName, number>>;
    /** Maximum time to wait for changes, milliseconds. 0 requests an immediate response. */
    readonly waitMilliseconds: number;
}

interface WireResponse {
    readonly isCurrent: boolean;
    readonly storeMilliseconds?: number;
    readonly tables: Partial<Record<TableName, WireChangeSet>>;
}

/** Result of a read from a peer. Its rows are already applied to the replicas. */
export interface PeerResponse {
    /** Whether the peer is connected to the store, directly or through a relay. */
    readonly isCurrent: boolean;
    /** Offset of the store's clock from the monotonic clock as estimated by the peer, milliseconds. */
    readonly clockOffset: number | undefined;
    /** Tables in which the read changed rows. */
    readonly changed: readonly TableName[];
}

export interface RowExchange {
    /** Reads the rows that are newer at a peer. @throws PeerError */
    readFrom(address: string, waitMilliseconds: number, timeoutMilliseconds: number): Promise<PeerResponse>;
    /** Ends the long polls of peers immediately. Called when this node loses its connection to the store. */
    completeWaitingCalls(): void;
}

export interface RowExchangeOptions {
    readonly peers: Peers;
    readonly replicas: Replicas;
    readonly clock: Clock;
    /** Whether this node is connected to the store, directly or through a relay. */
    readonly isCurrent: () => boolean;
    readonly clockOffset: () => number | undefined;
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

export function createRowExchange(options: RowExchangeOptions): RowExchange {
    const { peers, replicas, clock } = options;
    const waiting = new Set<() => void>();
    /** Revision at which rows of a table last changed. Spares calls without changes a scan of the rows. */
    const changedRevision: Record<TableName, number> = { configuration: 0, runners: 0, nodes: 0 };

    const completeWaitingCalls = (): void => [...waiting].forEach(complete => complete());

    for (const table of TABLE_NAMES) {
        replicas[table].onChange(() => {
            changedRevision[table] = replicas[table].revision;
            completeWaitingCalls();
        });
    }

    const hasChanges = (since: WireRequest["since"]): boolean =>
        TABLE_NAMES.some(table => changedRevision[table] > since[table]);

    const waitForChanges = (milliseconds: number): Promise<void> =>
        new Promise(resolve => {
            const end = (): void => {
                clearTimeout(timer);
                waiting.delete(end);
                resolve();
            };
            const timer = setTimeout(end, Math.min(milliseconds, MAXIMUM_WAIT_MILLISECONDS));
            waiting.add(end);
        });

    const createResponse = ({ since }: WireRequest): WireResponse => {
        const tables: Partial<Record<TableName, WireChangeSet>> = {};
        for (const table of TABLE_NAMES) {
            const replica = replicas[table];
            if (changedRevision[table] > since[table]) {
                tables[table] = encode(replica.changesSince(since[table]));
            }
            else if (replica.revision > since[table]) {
                tables[table] = { revision: replica.revision, complete: false, rows: [] };
            }
        }
        const offset = options.clockOffset();
        return {
            isCurrent: options.isCurrent(),
            ...(offset === undefined ? {} : { storeMilliseconds: clock.now() + offset }),
            tables,
        };
    };

    peers.handle(METHOD, async params => {
        const request = params as unknown as WireRequest;
        if (request.waitMilliseconds > 0 && options.isCurrent() && !hasChanges(request.since)) {
            await waitForChanges(request.waitMilliseconds);
        }
        return createResponse(request) as unknown as JsonValue;
    });

    const applyTables = (tables: WireResponse["tables"]): readonly TableName[] =>
        TABLE_NAMES.filter(table => {
            const changes = tables[table];
            if (changes === undefined || changes.revision <= replicas[table].revision) {
                return false;
            }
            replicas[table].apply(decode(changes));
            return changes.rows.length > 0;
        });

    return {
        readFrom: async (address, waitMilliseconds, timeoutMilliseconds) => {
            const since = Object.fromEntries(TABLE_NAMES.map(table => [table, replicas[table].revision]));
            const request = { since, waitMilliseconds };
            const response = (await peers.call(
                address,
                METHOD,
                request,
                timeoutMilliseconds,
            )) as unknown as WireResponse;
            const { storeMilliseconds } = response;
            return {
                isCurrent: response.isCurrent,
                clockOffset: storeMilliseconds === undefined ? undefined : storeMilliseconds - clock.now(),
                changed: applyTables(response.tables),
            };
        },
        completeWaitingCalls,
    };
}
