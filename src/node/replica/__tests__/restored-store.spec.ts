/** Guards against rows that are missed, or come back, after the store was restored from an older copy. */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import type { JsonValue } from "../../common/json.js";
import { createLifecycle } from "../../lifecycle/lifecycle.js";
import { silentLogging } from "../../logging/logging.js";
import type { PeerHandler } from "../../peers/peers.js";
import { createRestoredRows } from "../restored-rows.js";
import { createRowExchange } from "../row-exchange.js";
import { createRowReplica, preferStored } from "../row-replica.js";
import type { ChangeSet, CompareAge, RowChange, RowReplica } from "../row-replica.js";
import type { StoreTransaction } from "../shared-store.js";

interface StoreModel {
    write(key: string, value: string | undefined): void;
    copy(): void;
    /** Comes back from the copy. */
    restore(): void;
    readTable(): ChangeSet;
    readChanges(epoch: number, after: number): ChangeSet | undefined;
    transact(transaction: StoreTransaction): Promise<boolean>;
    values(): ReadonlyMap<string, string>;
}

/** A table of a store. Values are versions, so that a later value is a larger one. */
function createStoreModel(): StoreModel {
    let epoch = 1;
    let revision = 1;
    let rows = new Map<string, RowChange>();
    let copied = { revision, rows: new Map(rows) };
    const write = (key: string, value: string | undefined): void => {
        revision += 1;
        rows.set(key, { key, revision, value });
    };
    const existing = (): readonly RowChange[] => [...rows.values()].filter(row => row.value !== undefined);
    return {
        write,
        copy: () => {
            copied = { revision, rows: new Map(rows) };
        },
        restore: () => {
            epoch += 1;
            revision = copied.revision;
            rows = new Map(copied.rows);
        },
        readTable: () => ({ epoch, revision, complete: true, rows: existing() }),
        // Like the store, it answers by the revision alone; the epoch comes with the answer.
        readChanges: (_epoch, after) =>
            after > revision
                ? undefined
                : {
                      epoch,
                      revision,
                      complete: false,
                      rows: [...rows.values()].filter(row => row.revision > after),
                  },
        transact: ({ conditions, writes }) => {
            const isMet = conditions.every(condition => {
                const row = rows.get(condition.key);
                return (row?.value === undefined ? 0 : row.revision) === condition.revision;
            });
            if (isMet) {
                writes.forEach(({ key, value }) => write(key, value));
            }
            return Promise.resolve(isMet);
        },
        values: () => new Map(existing().map(row => [row.key, row.value!])),
    };
}

const byVersion: CompareAge = (candidate, known) => Number(candidate.value) - Number(known.value);

function readStore(replica: RowReplica, store: StoreModel): void {
    const changes = replica.revision === 0 ? undefined : store.readChanges(replica.epoch, replica.revision);
    replica.apply(changes?.epoch === replica.epoch ? changes : store.readTable());
}

function valuesOf(replica: RowReplica): ReadonlyMap<string, string> {
    return new Map(replica.list().map(row => [row.key, row.value!]));
}

function createRestored(compareAge?: CompareAge): {
    readonly replica: RowReplica;
    readonly store: StoreModel;
} {
    const store = createStoreModel();
    const replica = createRowReplica(compareAge);
    store.write("a", "1");
    store.copy();
    readStore(replica, store);
    return { replica, store };
}

test("a revision that is given out again carries a new row", () => {
    const { replica, store } = createRestored();
    store.write("b", "1");
    readStore(replica, store);
    store.restore();
    store.write("c", "1");
    readStore(replica, store);
    assert.deepEqual([...valuesOf(replica).keys()].sort(), ["a", "b", "c"]);
    replica.releaseHeld();
    assert.deepEqual([...valuesOf(replica).keys()].sort(), ["a", "c"]);
});

test("a row that the copy has in an older form stays in effect until it is written again", () => {
    const { replica, store } = createRestored(byVersion);
    store.write("a", "3");
    readStore(replica, store);
    store.restore();
    readStore(replica, store);
    assert.equal(replica.get("a")?.value, "3");
    assert.equal(replica.stored("a")?.value, "1");
    store.write("a", "2");
    readStore(replica, store);
    assert.equal(replica.get("a")?.value, "3", "an earlier version is not in effect");
    store.write("a", "4");
    readStore(replica, store);
    assert.equal(replica.get("a")?.value, "4");
    assert.deepEqual(replica.held(), []);
});

test("a removed row does not come back with the copy", () => {
    const { replica, store } = createRestored();
    store.write("a", undefined);
    readStore(replica, store);
    store.restore();
    readStore(replica, store);
    assert.equal(replica.get("a"), undefined);
    assert.deepEqual(replica.list(), []);
    store.write("a", "5");
    readStore(replica, store);
    assert.equal(replica.get("a")?.value, "5");
});

test("a row that is written again names the revision that it replaces", () => {
    const { replica, store } = createRestored();
    store.write("x", "0");
    store.write("b", "1");
    readStore(replica, store);
    const lost = replica.get("b")!.revision;
    store.restore();
    readStore(replica, store);
    const changes: RowChange[] = [];
    replica.onChange(rows => changes.push(...rows));
    store.write("b", "1");
    readStore(replica, store);
    assert.deepEqual(
        changes.map(({ key, replaces }) => [key, replaces]),
        [["b", lost]],
    );
});

test("an answer of the earlier epoch that arrives late changes nothing", () => {
    const { replica, store } = createRestored();
    store.write("b", "1");
    const late = store.readTable();
    store.restore();
    readStore(replica, store);
    replica.apply(late);
    assert.equal(replica.get("b"), undefined);
});

test("replicas equal the store after any writes, restores and reads through the store, a relay and a peer", async () => {
    const names = ["reader", "follower", "late"] as const;
    const step = fc.oneof(
        { weight: 4, arbitrary: fc.record({ kind: fc.constant("write" as const), key: fc.nat(3) }) },
        { weight: 1, arbitrary: fc.record({ kind: fc.constant("remove" as const), key: fc.nat(3) }) },
        { weight: 1, arbitrary: fc.record({ kind: fc.constant("copy" as const) }) },
        { weight: 1, arbitrary: fc.record({ kind: fc.constant("restore" as const) }) },
        { weight: 4, arbitrary: fc.record({ kind: fc.constant("read" as const), node: fc.nat(2) }) },
        {
            weight: 4,
            arbitrary: fc.record({ kind: fc.constant("exchange" as const), from: fc.nat(2), to: fc.nat(2) }),
        },
    );
    await fc.assert(
        fc.asyncProperty(fc.array(step, { maxLength: 40 }), async steps => {
            const store = createStoreModel();
            const handlers = new Map<string, PeerHandler>();
            const nodes = names.map(name => {
                const replicas = {
                    configuration: createRowReplica(byVersion),
                    runners: createRowReplica(),
                    nodes: createRowReplica(),
                };
                const exchange = createRowExchange({
                    peers: {
                        handle: (_method, handler) => void handlers.set(name, handler),
                        call: async (address, _method, params) =>
                            JSON.parse(JSON.stringify(await handlers.get(address)!(params))) as JsonValue,
                    },
                    replicas,
                    clock: { now: Date.now, wallTime: Date.now },
                    isCurrent: () => true,
                    path: () => [name],
                    clockOffset: () => 0,
                });
                return { replica: replicas.configuration, exchange };
            });
            let version = 0;
            /** Latest version of each row that a node had in effect. */
            const shown = nodes.map(() => new Map<string, number>());
            const checkNoneWentBack = (): void =>
                nodes.forEach(({ replica }, index) =>
                    valuesOf(replica).forEach((value, key) => {
                        assert.ok(
                            Number(value) >= (shown[index]!.get(key) ?? 0),
                            `${names[index]} went back`,
                        );
                        shown[index]!.set(key, Number(value));
                    }),
                );
            for (const action of steps) {
                switch (action.kind) {
                    case "write":
                        version += 1;
                        store.write(`k${action.key}`, String(version));
                        break;
                    case "remove":
                        store.write(`k${action.key}`, undefined);
                        break;
                    case "read":
                        readStore(nodes[action.node]!.replica, store);
                        break;
                    case "exchange":
                        await nodes[action.to]!.exchange.readFrom(names[action.from]!, 0, 1000, true);
                        break;
                    default:
                        store[action.kind]();
                }
                checkNoneWentBack();
            }
            readStore(nodes[0]!.replica, store);
            await nodes[1]!.exchange.readFrom("reader", 0, 1000, true);
            await nodes[2]!.exchange.readFrom("follower", 0, 1000, true);
            for (const { replica } of nodes) {
                replica.releaseHeld();
                assert.deepEqual(
                    [...valuesOf(replica)].sort(),
                    [...store.values()].sort(),
                    `version ${replica.epoch}.${replica.revision}`,
                );
            }
        }),
        { numRuns: 2000 },
    );
});

test("one of many nodes writes a lost row again, and none of them a row that was written since", async context => {
    context.mock.timers.enable({ apis: ["setTimeout", "setInterval", "Date"] });
    const store = createStoreModel();
    let calls = 0;
    const nodes = Array.from({ length: 60 }, (_, index) => {
        const lifecycle = createLifecycle();
        const replicas = {
            configuration: createRowReplica(),
            runners: createRowReplica(),
            nodes: createRowReplica(preferStored),
        };
        createRestoredRows({
            node: `n${index}`,
            nodeCount: () => 60,
            replicas,
            store: {
                transact: transaction => {
                    calls += 1;
                    return store.transact(transaction);
                },
            },
            isDisconnected: () => false,
            lifecycle,
            logger: silentLogging("store"),
        });
        return { replica: replicas.nodes, lifecycle };
    });
    await Promise.all(nodes.map(({ lifecycle }) => lifecycle.start()));
    context.after(() => Promise.all(nodes.map(({ lifecycle }) => lifecycle.stop())));
    const readAll = (): void => nodes.forEach(({ replica }) => readStore(replica, store));
    store.write("a", "1");
    store.write("gone", "1");
    store.copy();
    readAll();
    store.write("b", "1");
    store.write("c", "1");
    store.write("gone", undefined);
    readAll();
    store.restore();
    store.write("c", "2");
    readAll();
    for (let elapsed = 0; elapsed < 8000; elapsed += 200) {
        context.mock.timers.tick(200);
        await Promise.resolve();
        await Promise.resolve();
        readAll();
    }
    assert.deepEqual([...store.values()].sort(), [
        ["a", "1"],
        ["b", "1"],
        ["c", "2"],
    ]);
    assert.ok(calls < 20, `${calls} calls`);
});

test("a missing upstream is dropped before the node counts as in touch, and one that left stays away", async context => {
    context.mock.timers.enable({ apis: ["setTimeout", "setInterval", "Date"] });
    const lifecycle = createLifecycle();
    const replicas = {
        configuration: createRowReplica(),
        runners: createRowReplica(),
        nodes: createRowReplica(preferStored),
    };
    let isDisconnected = false;
    createRestoredRows({
        node: "n0",
        nodeCount: () => 1,
        replicas,
        store: { transact: () => Promise.resolve(true) },
        isDisconnected: () => isDisconnected,
        lifecycle,
        logger: silentLogging("store"),
    });
    await lifecycle.start();
    context.after(() => lifecycle.stop());
    const store = createStoreModel();
    const { runners } = replicas;
    store.write("left", "1");
    store.copy();
    readStore(runners, store);
    store.write("left", undefined);
    store.write("missing", "1");
    readStore(runners, store);
    store.restore();
    readStore(runners, store);
    const keysAfter = (milliseconds: number): readonly string[] => {
        context.mock.timers.tick(milliseconds);
        return runners.list().map(({ key }) => key);
    };
    isDisconnected = true;
    assert.deepEqual(keysAfter(10_000), ["missing"], "nobody can write while the store is away");
    isDisconnected = false;
    assert.deepEqual(keysAfter(2000), ["missing"]);
    assert.deepEqual(keysAfter(1000), []);
    assert.deepEqual(keysAfter(4000), []);
    assert.deepEqual(keysAfter(2000), ["left"]);
});
