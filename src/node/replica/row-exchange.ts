/** Peer calls that read the tables of another node, immediately or as long polls that wait for a change. */
import { deflateRawSync, inflateRawSync } from "node:zlib";
import type { Clock } from "../common/clock.js";
import type { JsonValue } from "../common/json.js";
import type { Peers } from "../peers/peers.js";
import type { ChangeSet, RowChange, TableVersion } from "./row-replica.js";
import { TABLE_NAMES } from "./shared-store.js";
import type { TableName } from "./shared-store.js";
import type { Replicas } from "./store-sync.js";

const METHOD = "rows.since";

/** Upper limit of `waitMilliseconds`, milliseconds. */
const MAXIMUM_WAIT_MILLISECONDS = 5000;

/** Size from which values are compressed, characters. A relay sends a configuration to many nodes at once. */
const MINIMUM_COMPRESSED_LENGTH = 4096;

/** Compression level: the fastest. Higher levels save few bytes of a configuration. */
const COMPRESSION_LEVEL = 1;

/** Marks a value as compressed with deflate and encoded in Base64. */
const COMPRESSED = 1;

/** Key, revision and value of a row; the value is missing when the row was removed. */
type WireRow = readonly [key: string, revision: number, value?: string, encoding?: typeof COMPRESSED];

interface WireChangeSet {
    /** Epoch of the store. Earlier versions do not send it. */
    readonly epoch?: number;
    readonly revision: number;
    readonly complete: boolean;
    readonly rows: readonly WireRow[];
}

interface WireRequest {
    /** Revision up to which the calling node has each table. */
    readonly since: Readonly<Record<TableName, number>>;
    /** Epoch of the store of each table at the calling node. Earlier versions do not send it. */
    readonly epochs?: Readonly<Record<TableName, number>>;
    /** Maximum time to wait for changes, milliseconds. 0 requests an immediate response. */
    readonly waitMilliseconds: number;
    /**
     * Maximum time to wait while the called node has lost the store, milliseconds. Earlier versions neither send
     * it nor wait for it.
     */
    readonly storeWaitMilliseconds?: number;
    /** Whether the calling node reads compressed values. Nodes of earlier versions do not. */
    readonly acceptsCompressed?: boolean;
}

interface WireResponse {
    readonly isCurrent: boolean;
    /** The node waits for `storeWaitMilliseconds`. Earlier versions do not send it. */
    readonly waitsForStore?: boolean;
    /** Nodes between the caller and the store, the responding one first. Earlier versions do not send it. */
    readonly path?: readonly string[];
    readonly storeMilliseconds?: number;
    /** Epoch of the store of each table at the responding node. Earlier versions do not send it. */
    readonly epochs?: Readonly<Record<TableName, number>>;
    readonly tables: Partial<Record<TableName, WireChangeSet>>;
}

/** Result of a read from a peer. Its rows are already applied to the replicas. */
export interface PeerResponse {
    /** Whether the peer is connected to the store, directly or through a relay. */
    readonly isCurrent: boolean;
    /** Whether the peer waits until it has the store again, when it is asked to. */
    readonly waitsForStore: boolean;
    /** Whether the peer has a table of an earlier epoch of the store than this node, or does not state it. */
    readonly isBehind: boolean;
    /** Nodes between this node and the store, the peer first; `undefined` for a peer of an earlier version. */
    readonly path: readonly string[] | undefined;
    /** Offset of the store's clock from the monotonic clock as estimated by the peer, milliseconds. */
    readonly clockOffset: number | undefined;
    /** Tables in which the read changed rows. */
    readonly changed: readonly TableName[];
}

export interface RowExchange {
    /**
     * Reads the rows that are newer at a peer.
     *
     * @param storeWaitMilliseconds Maximum time that the peer waits while it has lost the store.
     * @param mayStartStale Whether a node without rows takes those of a peer that has lost the store. They may
     * list upstreams that have left and keys that were withdrawn.
     * @throws PeerError
     */
    readFrom(
        address: string,
        waitMilliseconds: number,
        timeoutMilliseconds: number,
        mayStartStale: boolean,
        storeWaitMilliseconds?: number,
    ): Promise<PeerResponse>;
    /**
     * Ends the long polls of peers immediately. Called when this node loses its connection to the store or has it
     * again.
     */
    completeWaitingCalls(): void;
}

export interface RowExchangeOptions {
    readonly peers: Peers;
    readonly replicas: Replicas;
    readonly clock: Clock;
    /** Whether this node is connected to the store, directly or through a relay. */
    readonly isCurrent: () => boolean;
    /** Ids of the nodes through which this node reads the store, itself first. */
    readonly path: () => readonly string[];
    readonly clockOffset: () => number | undefined;
    /** Counts the answers to other nodes. @default not counted */
    readonly countAnswer?: (answer: RowAnswer) => void;
}

export interface RowAnswer {
    /** `start`: the caller had no rows of some table. `changes`: it lacked rows. `nothing`: it lacked none. */
    readonly reason: "start" | "changes" | "nothing";
    /** Whether this node had the store. */
    readonly isCurrent: boolean;
    /** Length of the rows' values, characters. */
    readonly characters: number;
}

/** Compressed values of large rows, kept as long as the rows. All followers of a node share them. */
const compressedValues = new WeakMap<RowChange, string>();

function compressedValueOf(row: RowChange, value: string): string {
    const known = compressedValues.get(row);
    if (known !== undefined) {
        return known;
    }
    const compressed = deflateRawSync(value, { level: COMPRESSION_LEVEL }).toString("base64");
    compressedValues.set(row, compressed);
    return compressed;
}

function encodeRow(row: RowChange, acceptsCompressed: boolean): WireRow {
    const { key, revision, value } = row;
    if (value === undefined) {
        return [key, revision];
    }
    return acceptsCompressed && value.length >= MINIMUM_COMPRESSED_LENGTH
        ? [key, revision, compressedValueOf(row, value), COMPRESSED]
        : [key, revision, value];
}

function decodeRow([key, revision, value, encoding]: WireRow): RowChange {
    return {
        key,
        revision,
        value:
            value !== undefined && encoding === COMPRESSED
                ? inflateRawSync(Buffer.from(value, "base64")).toString("utf8")
                : value,
    };
}

function encode(changes: ChangeSet, acceptsCompressed: boolean): WireChangeSet {
    return {
        epoch: changes.epoch,
        revision: changes.revision,
        complete: changes.complete,
        rows: changes.rows.map(row => encodeRow(row, acceptsCompressed)),
    };
}

function decode(changes: WireChangeSet): ChangeSet {
    const { epoch = 0, revision, complete } = changes;
    return { epoch, revision, complete, rows: changes.rows.map(decodeRow) };
}

function lengthOf(tables: WireResponse["tables"]): number {
    return Object.values(tables)
        .flatMap(({ rows }) => rows)
        .reduce((sum, [key, , value]) => sum + key.length + (value?.length ?? 0), 0);
}

function reasonOf({ since }: WireRequest, tables: WireResponse["tables"]): RowAnswer["reason"] {
    const changed = TABLE_NAMES.filter(table => (tables[table]?.rows.length ?? 0) > 0);
    if (changed.length === 0) {
        return "nothing";
    }
    return changed.some(table => since[table] === 0) ? "start" : "changes";
}

export function createRowExchange(options: RowExchangeOptions): RowExchange {
    const { peers, replicas, clock } = options;
    const waiting = new Set<() => void>();
    const completeWaitingCalls = (): void => [...waiting].forEach(complete => complete());

    for (const table of TABLE_NAMES) {
        replicas[table].onChange(completeWaitingCalls);
    }

    const epochs = (): Readonly<Record<TableName, number>> => ({
        configuration: replicas.configuration.epoch,
        runners: replicas.runners.epoch,
        nodes: replicas.nodes.epoch,
    });

    /** Version of a table at the calling node. A node of an earlier version knows no epochs. */
    const versionAt = (request: WireRequest, table: TableName): TableVersion => ({
        epoch: request.epochs?.[table] ?? replicas[table].epoch,
        revision: request.since[table],
    });

    const hasChangesSince = (table: TableName, since: TableVersion): boolean => {
        const { epoch, changedRevision } = replicas[table];
        return epoch > since.epoch || (epoch === since.epoch && changedRevision > since.revision);
    };

    const hasChanges = (request: WireRequest): boolean =>
        TABLE_NAMES.some(table => hasChangesSince(table, versionAt(request, table)));

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

    const createResponse = (request: WireRequest): WireResponse => {
        const tables: Partial<Record<TableName, WireChangeSet>> = {};
        for (const table of TABLE_NAMES) {
            const replica = replicas[table];
            const { epoch, revision } = replica;
            const since = versionAt(request, table);
            if (hasChangesSince(table, since)) {
                tables[table] = encode(replica.changesSince(since), request.acceptsCompressed === true);
            }
            else if (epoch === since.epoch && revision > since.revision) {
                tables[table] = { epoch, revision, complete: false, rows: [] };
            }
        }
        const offset = options.clockOffset();
        const isCurrent = options.isCurrent();
        options.countAnswer?.({ reason: reasonOf(request, tables), isCurrent, characters: lengthOf(tables) });
        return {
            isCurrent,
            waitsForStore: true,
            path: options.path(),
            ...(offset === undefined ? {} : { storeMilliseconds: clock.now() + offset }),
            epochs: epochs(),
            tables,
        };
    };

    peers.handle(METHOD, async params => {
        const request = params as unknown as WireRequest;
        if (request.waitMilliseconds > 0 && options.isCurrent() && !hasChanges(request)) {
            await waitForChanges(request.waitMilliseconds);
        }
        const storeWait = request.storeWaitMilliseconds ?? 0;
        if (storeWait > 0 && !options.isCurrent() && !hasChanges(request)) {
            await waitForChanges(storeWait);
        }
        return createResponse(request) as unknown as JsonValue;
    });

    const applyTables = ({ isCurrent, tables }: WireResponse, mayStartStale: boolean): readonly TableName[] =>
        TABLE_NAMES.filter(table => {
            const changes = tables[table];
            const { epoch, revision } = replicas[table];
            const isNewer =
                changes !== undefined &&
                ((changes.epoch ?? 0) > epoch ||
                    ((changes.epoch ?? 0) === epoch && changes.revision > revision));
            if (!isNewer) {
                return false;
            }
            if (revision === 0 && !isCurrent && !mayStartStale) {
                return false;
            }
            replicas[table].apply(decode(changes));
            return changes.rows.length > 0;
        });

    return {
        readFrom: async (
            address,
            waitMilliseconds,
            timeoutMilliseconds,
            mayStartStale,
            storeWaitMilliseconds = 0,
        ) => {
            const since = Object.fromEntries(TABLE_NAMES.map(table => [table, replicas[table].revision]));
            const request = {
                since,
                epochs: epochs(),
                waitMilliseconds,
                ...(storeWaitMilliseconds > 0 ? { storeWaitMilliseconds } : {}),
                acceptsCompressed: true,
            };
            const response = (await peers.call(
                address,
                METHOD,
                request,
                timeoutMilliseconds,
            )) as unknown as WireResponse;
            const { storeMilliseconds } = response;
            const own = epochs();
            return {
                isCurrent: response.isCurrent,
                waitsForStore: response.waitsForStore === true,
                isBehind: TABLE_NAMES.some(table => (response.epochs?.[table] ?? -1) < own[table]),
                path: response.path,
                clockOffset: storeMilliseconds === undefined ? undefined : storeMilliseconds - clock.now(),
                changed: applyTables(response, mayStartStale),
            };
        },
        completeWaitingCalls,
    };
}
