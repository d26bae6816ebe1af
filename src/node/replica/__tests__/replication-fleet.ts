/**
 * Nodes that replicate the store through relays and peers on the clock of the test, while the store, its answers to
 * single nodes, and the nodes themselves fail. Transfers take a fixed time.
 */
import type { TestContext } from "node:test";
import { createSeededRandom } from "../../common/random.js";
import type { JsonValue } from "../../common/json.js";
import { createLifecycle } from "../../lifecycle/lifecycle.js";
import type { Lifecycle } from "../../lifecycle/lifecycle.js";
import { silentLogging } from "../../logging/logging.js";
import type { PeerHandler } from "../../peers/peers.js";
import { createNodeList } from "../../router/node-list.js";
import { createPeerSync } from "../peer-sync.js";
import { relaysOf } from "../relay-choice.js";
import { createRowExchange } from "../row-exchange.js";
import type { RowAnswer } from "../row-exchange.js";
import { createRowReplica, preferStored } from "../row-replica.js";
import type { ChangeSet, RowChange } from "../row-replica.js";
import { TABLE_NAMES } from "../shared-store.js";
import type { RowWrite, SharedStore, TableName } from "../shared-store.js";
import { createStoreSync } from "../store-sync.js";
import type { StoreSync } from "../store-sync.js";
import { resolveStoreTiming } from "../store-timing.js";

/** Time after which a store that is silent fails a call, beyond the requested wait, milliseconds. */
const STORE_TIMEOUT_MILLISECONDS = 900;

/** Time that a message takes to another node or to the store, milliseconds. */
const TRANSFER_MILLISECONDS = 2;

/** Time for which a process that has ended is away before it starts again, milliseconds. */
export const RESTART_MILLISECONDS = 800;

export type StoreState = "serves" | "rejects" | "silent";

/** A process of a node. */
export interface FleetNode {
    readonly id: string;
    readonly sync: StoreSync;
    readonly startedAt: number;
    /** The node is neither sent to nor answered by the others, as if it were stopped. */
    isFrozen: boolean;
    isEnded: boolean;
    /** What the store does with calls of this node. */
    store: StoreState;
    /** Tables for which the store rejects calls of this node. */
    readonly rejectedTables: Set<TableName>;
    /** Answers that the node has given to others. */
    readonly answers: RowAnswer[];
    value(key: string): string | undefined;
    /** Ends the process without a trace. */
    kill(): void;
}

export interface ReplicationFleet {
    /** Processes by index of their node. The process of a node that is away is the one that has ended. */
    readonly nodes: readonly FleetNode[];
    /** What the store does with all calls. */
    store: StoreState;
    write(write: RowWrite): void;
    /** Starts a process of a node. One that runs is ended. */
    start(index: number, rejectedTables?: readonly TableName[]): Promise<void>;
    advance(milliseconds: number): Promise<void>;
}

export interface ReplicationFleetOptions {
    readonly size: number;
    readonly dataCentres: number;
    readonly applyMilliseconds: number;
    /** Share of the nodes with a fast link, which become relays. */
    readonly fastLinkShare?: number;
    /** Characters of the configuration. */
    readonly configurationLength?: number;
}

const delay = (milliseconds: number): Promise<void> =>
    new Promise(resolve => setTimeout(resolve, milliseconds));

const never = <Result>(): Promise<Result> => new Promise<Result>(() => undefined);

/** Waits while a node is stopped. A node that has ended neither calls nor answers, nor learns the result of a call. */
async function untilThawed(node: FleetNode): Promise<void> {
    while (node.isFrozen && !node.isEnded) {
        await delay(TRANSFER_MILLISECONDS);
    }
    if (node.isEnded) {
        await never();
    }
}

interface StoreModel {
    readonly revision: number;
    write(writes: readonly RowWrite[]): void;
    changes(table: TableName, after: number, complete: boolean): ChangeSet;
    /** Resolves with the next change of a table, or after a time. */
    waitForChange(table: TableName, milliseconds: number): Promise<void>;
}

function createStoreModel(): StoreModel {
    const tables = new Map(TABLE_NAMES.map(table => [table, new Map<string, RowChange>()]));
    const waiting = new Map(TABLE_NAMES.map(table => [table, new Set<() => void>()]));
    let revision = 1;
    return {
        get revision() {
            return revision;
        },
        write: writes => {
            for (const { table, key, value } of writes) {
                if (table === "reports") {
                    continue;
                }
                revision += 1;
                tables.get(table)!.set(key, { key, revision, value });
                [...waiting.get(table)!].forEach(end => end());
            }
        },
        changes: (table, after, complete) => ({
            epoch: 0,
            revision,
            complete,
            rows: [...tables.get(table)!.values()].filter(
                row => row.revision > after && (!complete || row.value !== undefined),
            ),
        }),
        waitForChange: (table, milliseconds) =>
            new Promise(resolve => {
                const end = (): void => {
                    clearTimeout(timer);
                    waiting.get(table)!.delete(end);
                    resolve();
                };
                const timer = setTimeout(end, milliseconds);
                waiting.get(table)!.add(end);
            }),
    };
}

export async function createReplicationFleet(
    context: TestContext,
    options: ReplicationFleetOptions,
): Promise<ReplicationFleet> {
    context.mock.timers.enable({ apis: ["setTimeout", "setInterval", "Date"] });
    const { size, dataCentres, applyMilliseconds, fastLinkShare = 0.1 } = options;
    const timing = resolveStoreTiming(applyMilliseconds);
    const store = createStoreModel();
    const clock = { now: Date.now, wallTime: Date.now };
    const handlers = new Map<string, PeerHandler>();
    const lifecycles: Lifecycle[] = [];
    const nodes: FleetNode[] = [];
    const byId = new Map<string, FleetNode>();
    let starts = 0;

    const createStore = (node: () => FleetNode): SharedStore => {
        const call = async <Result>(
            table: TableName | undefined,
            wait: number,
            work: () => Promise<Result>,
        ): Promise<Result> => {
            const sentAt = Date.now();
            const check = async (): Promise<void> => {
                await untilThawed(node());
                const isTableRejected = table !== undefined && node().rejectedTables.has(table);
                const states = [fleet.store, node().store, isTableRejected ? "rejects" : "serves"];
                if (states.includes("rejects")) {
                    throw new Error("the store answered 503");
                }
                if (states.includes("silent")) {
                    await delay(Math.max(0, sentAt + wait + STORE_TIMEOUT_MILLISECONDS - Date.now()));
                    throw new Error("the store did not answer");
                }
            };
            await delay(TRANSFER_MILLISECONDS);
            await check();
            const result = await work();
            await check();
            await delay(TRANSFER_MILLISECONDS);
            return result;
        };
        return {
            readTable: table => call(table, 0, async () => store.changes(table, 0, true)),
            readChanges: (table, after, wait) =>
                call(table, wait, async () => {
                    if (store.changes(table, after, false).rows.length === 0 && wait > 0) {
                        await store.waitForChange(table, wait);
                    }
                    return store.changes(table, after, false);
                }),
            transact: ({ writes }) =>
                call(undefined, 0, async () => {
                    store.write(writes);
                    return true;
                }),
            clockOffset: () => 0,
        };
    };

    const startProcess = async (index: number, rejectedTables: readonly TableName[] = []): Promise<void> => {
        nodes[index]?.kill();
        starts += 1;
        const random = createSeededRandom(starts);
        const id = `node-${index}`;
        const replicas = {
            configuration: createRowReplica(),
            runners: createRowReplica(),
            nodes: createRowReplica(preferStored),
        };
        const lifecycle = createLifecycle();
        const logger = silentLogging("store");
        const exchange = createRowExchange({
            peers: {
                handle: (_method, handler) => void handlers.set(id, handler),
                call: (address, _method, params, timeout) => callPeer(node, address, params, timeout ?? 0),
            },
            replicas,
            clock,
            isCurrent: () => sync.isCurrent(),
            path: () => sync.path(),
            clockOffset: () => sync.clockOffset(),
            countAnswer: answer => void node.answers.push(answer),
        });
        const sharedStore = createStore(() => node);
        const list = createNodeList({
            self: {
                id,
                dataCentre: `dc-${index % dataCentres}`,
                region: "region",
                peerAddress: id,
                address: id,
                linkMegabitsPerSecond: index < size * fastLinkShare ? 200 : 20,
            },
            replica: replicas.nodes,
            store: sharedStore,
            lifecycle,
            logger,
        });
        const sync = createStoreSync({
            node: id,
            dataCentre: list.self.dataCentre,
            timing,
            store: sharedStore,
            replicas,
            exchange,
            relays: () => relaysOf(list.self, list.entries(), timing.isRegional),
            nodeCount: () => list.count(),
            random,
            clock,
            lifecycle,
            logger,
        });
        createPeerSync({
            exchange,
            addresses: () => {
                const known = list.entries().map(entry => entry.peerAddress);
                return (known.length > 1 ? known : nodes.map(other => other.id)).filter(
                    other => other !== id,
                );
            },
            isNeeded: () => sync.isDisconnected(),
            random,
            lifecycle,
            logger,
        });
        const node: FleetNode = {
            id,
            sync,
            startedAt: Date.now(),
            isFrozen: false,
            isEnded: false,
            store: "serves",
            rejectedTables: new Set(rejectedTables),
            answers: [],
            value: key => replicas.configuration.get(key)?.value,
            kill: () => {
                node.isEnded = true;
            },
        };
        nodes[index] = node;
        byId.set(id, node);
        lifecycles.push(lifecycle);
        await lifecycle.start();
    };

    const callPeer = async (
        caller: FleetNode,
        address: string,
        params: JsonValue,
        timeout: number,
    ): Promise<JsonValue> => {
        const limit = delay(timeout).then(() => {
            throw new Error("timed out");
        });
        const answer = async (): Promise<JsonValue> => {
            await delay(TRANSFER_MILLISECONDS);
            const peer = byId.get(address)!;
            if (peer.isEnded) {
                throw new Error("connection refused");
            }
            await untilThawed(peer);
            const result = await handlers.get(address)!(params);
            await delay(TRANSFER_MILLISECONDS);
            await untilThawed(peer);
            return result;
        };
        try {
            return await Promise.race([answer(), limit]);
        }
        finally {
            await untilThawed(caller);
        }
    };

    const fleet: ReplicationFleet = {
        nodes,
        store: "serves",
        write: write => store.write([write]),
        start: startProcess,
        advance: async milliseconds => {
            for (let elapsed = 0; elapsed < milliseconds; elapsed += 10) {
                for (let step = 0; step < 5; step += 1) {
                    context.mock.timers.tick(2);
                    for (let round = 0; round < 12; round += 1) {
                        await Promise.resolve();
                    }
                }
            }
        },
    };
    store.write([
        {
            table: "configuration",
            key: "config",
            value: "x".repeat(options.configurationLength ?? 100),
        },
        ...Array.from({ length: size }, (_, index) => ({
            table: "runners" as const,
            key: `upstream-${index}`,
            value: "u".repeat(300),
        })),
    ]);
    for (let index = 0; index < size; index += 1) {
        await startProcess(index);
    }
    // Calls that are open then never end, so nothing waits for them.
    context.after(() => {
        nodes.forEach(node => node.kill());
        lifecycles.forEach(lifecycle => void lifecycle.stop());
    });
    return fleet;
}
