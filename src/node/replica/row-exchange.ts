/** Calls by which a node reads the tables of another node, at once or as soon as they change. */
import type { Clock } from "../common/clock.js";
import type { JsonValue } from "../common/json.js";
import type { Peers } from "../peers/peers.js";
import type { ChangeSet, RowChange } from "./row-replica.js";
import { TABLE_NAMES } from "./shared-store.js";
import type { TableName } from "./shared-store.js";
import type { Replicas } from "./store-sync.js";

const METHOD = "rows.since";

/** Longest time that a call is held open, milliseconds, whatever the caller asks for. */
const LONGEST_WAIT_MILLISECONDS = 5000;

interface WireChangeSet {
    readonly revision: number;
    readonly complete: boolean;
    /** Key, revision and value of each row; no value when the row was removed. */
    readonly rows: readonly (readonly [string, number, string?])[];
}

interface WireQuestion {
    /** Revision up to which the caller knows each table. */
    readonly since: Readonly<Record<TableName, number>>;
    /** Time to wait for changes, milliseconds. 0 asks for an answer at once. */
    readonly waitMilliseconds: number;
}

interface WireAnswer {
    readonly isCurrent: boolean;
    readonly storeMilliseconds?: number;
    readonly tables: Partial<Record<TableName, WireChangeSet>>;
}

/** What a peer said. Rows are already taken over when the call returns. */
export interface PeerAnswer {
    /** The peer is in contact with the store, itself or through others. */
    readonly isCurrent: boolean;
    /** Offset of the store's clock from the process's monotonic clock as the peer knows it, milliseconds. */
    readonly clockOffset: number | undefined;
    /** Tables in which rows were new to this node. */
    readonly changed: readonly TableName[];
}

export interface RowExchange {
    /** Reads what is newer at a peer. @throws PeerError */
    readFrom(address: string, waitMilliseconds: number, timeoutMilliseconds: number): Promise<PeerAnswer>;
    /** Answers the calls that are held open; to be called when this node loses the store. */
    answerWaiting(): void;
}

export interface RowExchangeOptions {
    readonly peers: Peers;
    readonly replicas: Replicas;
    readonly clock: Clock;
    /** Whether this node is in contact with the store, itself or through others. */
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
    /** Revision at which rows of a table last changed, so that calls without news need no look at the rows. */
    const changedAt: Record<TableName, number> = { configuration: 0, runners: 0, nodes: 0 };

    const answerWaiting = (): void => [...waiting].forEach(answer => answer());

    for (const table of TABLE_NAMES) {
        replicas[table].onChange(() => {
            changedAt[table] = replicas[table].revision;
            answerWaiting();
        });
    }

    const hasNews = (since: WireQuestion["since"]): boolean =>
        TABLE_NAMES.some(table => changedAt[table] > since[table]);

    const waitForNews = (milliseconds: number): Promise<void> =>
        new Promise(resolve => {
            const end = (): void => {
                clearTimeout(timer);
                waiting.delete(end);
                resolve();
            };
            const timer = setTimeout(end, Math.min(milliseconds, LONGEST_WAIT_MILLISECONDS));
            waiting.add(end);
        });

    const describe = ({ since }: WireQuestion): WireAnswer => {
        const tables: Partial<Record<TableName, WireChangeSet>> = {};
        for (const table of TABLE_NAMES) {
            const replica = replicas[table];
            if (changedAt[table] > since[table]) {
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
        const question = params as unknown as WireQuestion;
        if (question.waitMilliseconds > 0 && options.isCurrent() && !hasNews(question.since)) {
            await waitForNews(question.waitMilliseconds);
        }
        return describe(question) as unknown as JsonValue;
    });

    const takeOver = (tables: WireAnswer["tables"]): readonly TableName[] =>
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
            const question = { since, waitMilliseconds };
            const answer = (await peers.call(
                address,
                METHOD,
                question,
                timeoutMilliseconds,
            )) as unknown as WireAnswer;
            const { storeMilliseconds } = answer;
            return {
                isCurrent: answer.isCurrent,
                clockOffset: storeMilliseconds === undefined ? undefined : storeMilliseconds - clock.now(),
                changed: takeOver(answer.tables),
            };
        },
        answerWaiting,
    };
}
