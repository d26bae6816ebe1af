/** Guards against cycles of relays, and against changes that do not arrive because a relay fails. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { TestContext } from "node:test";
import fc from "fast-check";
import { createSeededRandom } from "../../common/random.js";
import type { JsonValue } from "../../common/json.js";
import { createLifecycle } from "../../lifecycle/lifecycle.js";
import type { Lifecycle } from "../../lifecycle/lifecycle.js";
import { silentLogging } from "../../logging/logging.js";
import type { PeerHandler } from "../../peers/peers.js";
import { relaysOf } from "../relay-choice.js";
import type { RelayCandidate } from "../relay-choice.js";
import { createRowExchange } from "../row-exchange.js";
import { createRowReplica } from "../row-replica.js";
import type { RowChange } from "../row-replica.js";
import type { SharedStore } from "../shared-store.js";
import { createStoreSync } from "../store-sync.js";
import type { Relay, StoreSync } from "../store-sync.js";
import { resolveStoreTiming } from "../store-timing.js";

/** Time limit for a change to reach every node, milliseconds: the shortest one stated for a configuration. */
const APPLY_MILLISECONDS = 2000;

/** Time limit for a configuration from which the first node of a data centre reads from another one. */
const REGIONAL_APPLY_MILLISECONDS = 3000;

/**
 * Time that a whole configuration of 1,700 routes takes on the slowest link and processor, milliseconds: 860 to
 * read and 400 to validate. Transfers take no time in these tests.
 */
const TRANSFER_AND_DECODE_MILLISECONDS = 1260;

/** Timeout of a call to an unresponsive store, in addition to the requested wait, milliseconds. */
const STORE_TIMEOUT_MILLISECONDS = 900;

interface TestNode {
    readonly id: string;
    readonly dataCentre: string;
    readonly sync: StoreSync;
    /** The node neither responds to calls nor receives responses. */
    isFrozen: boolean;
    /** Calls to the node never end, not even at their time limit. */
    isUnending: boolean;
    canReachStore: boolean;
    /** Calls of this node to the store time out without a response. */
    isStoreSilent: boolean;
    storeCalls: number;
    value(): string | undefined;
}

interface Fleet {
    readonly nodes: readonly TestNode[];
    /** Removes a node from the list of nodes. */
    unlist(id: string): void;
    write(value: string): void;
    advance(milliseconds: number): Promise<void>;
    storeCalls(): number;
    readers(): readonly TestNode[];
}

async function createFleet(
    context: TestContext,
    size: number,
    dataCentres: number,
    isEmpty = false,
    relays: (self: Relay, nodes: readonly Relay[], isRegional: boolean) => readonly Relay[] = relaysOf,
    { applyMilliseconds = APPLY_MILLISECONDS, regions = 1 } = {},
): Promise<Fleet> {
    const timing = resolveStoreTiming(applyMilliseconds);
    context.mock.timers.enable({ apis: ["setTimeout", "setInterval", "Date"] });
    let entries = Array.from({ length: size }, (_, index) => ({
        id: `node-${index}`,
        dataCentre: `dc-${index % dataCentres}`,
        region: `region-${(index % dataCentres) % regions}`,
        peerAddress: `node-${index}`,
    }));
    /** An empty store has no row until the first `write`. */
    let row: RowChange = { key: "k", revision: isEmpty ? 0 : 1, value: "first" };
    const waiting = new Set<() => void>();
    const handlers = new Map<string, PeerHandler>();
    const nodes: TestNode[] = [];
    const lifecycles: Lifecycle[] = [];

    const createStore = (node: () => TestNode): SharedStore => {
        const changes = (after: number, complete: boolean) => ({
            rows: row.revision > after ? [row] : [],
            revision: row.revision,
            epoch: 0,
            complete,
        });
        const callStore = (): void => {
            node().storeCalls += 1;
            if (!node().canReachStore) {
                throw new Error("connection refused");
            }
        };
        return {
            readTable: async () => {
                callStore();
                return changes(0, true);
            },
            readChanges: async (_table, after, wait) => {
                callStore();
                const sentAt = Date.now();
                if (row.revision <= after) {
                    await new Promise<void>(resolve => {
                        waiting.add(resolve);
                        setTimeout(resolve, wait);
                    });
                }
                if (node().isStoreSilent) {
                    const limit = sentAt + wait + STORE_TIMEOUT_MILLISECONDS;
                    await new Promise(resolve => setTimeout(resolve, limit - Date.now()));
                    throw new Error("timed out");
                }
                callStore();
                node().storeCalls -= 1;
                return changes(after, false);
            },
            transact: async () => true,
            clockOffset: () => 0,
        };
    };

    for (const entry of entries) {
        const replicas = {
            configuration: createRowReplica(),
            runners: createRowReplica(),
            nodes: createRowReplica(),
        };
        const lifecycle = createLifecycle();
        const clock = { now: Date.now, wallTime: Date.now };
        const exchange = createRowExchange({
            peers: {
                handle: (_method, handler) => void handlers.set(entry.id, handler),
                call: async (address, _method, params, timeout) => {
                    const peer = nodes.find(({ id }) => id === address)!;
                    if (peer.isUnending) {
                        return new Promise(() => undefined);
                    }
                    const limit = new Promise<never>((_resolve, reject) => {
                        setTimeout(() => reject(new Error("timed out")), timeout);
                    });
                    const answer = (async (): Promise<JsonValue> => {
                        const result = await handlers.get(address)!(params);
                        return peer.isFrozen || node.isFrozen ? new Promise(() => undefined) : result;
                    })();
                    return Promise.race([
                        peer.isFrozen ? new Promise<never>(() => undefined) : answer,
                        limit,
                    ]);
                },
            },
            replicas,
            clock,
            isCurrent: () => sync.isCurrent(),
            path: () => sync.path(),
            clockOffset: () => sync.clockOffset(),
        });
        const sync = createStoreSync({
            node: entry.id,
            dataCentre: entry.dataCentre,
            timing,
            store: createStore(() => node),
            replicas,
            exchange,
            relays: () => relays(entry, entries, timing.isRegional),
            nodeCount: () => size,
            random: createSeededRandom(nodes.length),
            clock,
            lifecycle,
            logger: silentLogging("store"),
        });
        const node: TestNode = {
            id: entry.id,
            dataCentre: entry.dataCentre,
            sync,
            isFrozen: false,
            isUnending: false,
            canReachStore: true,
            isStoreSilent: false,
            storeCalls: 0,
            value: () => replicas.configuration.get("k")?.value,
        };
        nodes.push(node);
        lifecycles.push(lifecycle);
    }
    await Promise.all(lifecycles.map(lifecycle => lifecycle.start()));
    context.after(() => Promise.all(lifecycles.map(lifecycle => lifecycle.stop())));

    const advance = async (milliseconds: number): Promise<void> => {
        for (let elapsed = 0; elapsed < milliseconds; elapsed += 10) {
            context.mock.timers.tick(10);
            for (let round = 0; round < 30; round += 1) {
                await Promise.resolve();
            }
        }
    };

    return {
        nodes,
        unlist: id => {
            entries = entries.filter(entry => entry.id !== id);
        },
        write: value => {
            row = { key: "k", revision: row.revision + 1, value };
            [...waiting].forEach(resolve => resolve());
            waiting.clear();
        },
        advance,
        storeCalls: () => nodes.reduce((sum, { storeCalls }) => sum + storeCalls, 0),
        readers: () => nodes.filter(({ sync }) => sync.relay() === undefined),
    };
}

function valuesOf(nodes: readonly TestNode[]): readonly string[] {
    return [...new Set(nodes.map(node => node.value() ?? "none"))];
}

test("relays form no cycle when nodes have different lists of nodes", () => {
    const names = fc.uniqueArray(fc.string({ minLength: 1 }), { minLength: 1, maxLength: 8 });
    fc.assert(
        fc.property(names, fc.array(fc.nat(255)), fc.array(fc.nat(2)), (ids, views, links) => {
            const nodes = ids.map((id, index) => ({
                id,
                dataCentre: "d",
                linkMegabitsPerSecond: links[index],
            }));
            const follows = new Map(
                nodes.map((node, index) => {
                    const view = nodes.filter((_, other) => ((views[index] ?? 255) >> other) & 1);
                    return [node.id, relaysOf(node, view).map(({ id }) => id)] as const;
                }),
            );
            const leadsTo = (from: string, to: string, depth: number): boolean =>
                depth > 0 && follows.get(from)!.some(id => id === to || leadsTo(id, to, depth - 1));
            return ids.every(id => !leadsTo(id, id, ids.length));
        }),
    );
});

test("relays form no cycle across data centres when nodes have different lists of nodes", () => {
    const names = fc.uniqueArray(fc.string({ minLength: 1 }), { minLength: 1, maxLength: 9 });
    const small = fc.array(fc.nat(2));
    fc.assert(
        fc.property(
            names,
            fc.array(fc.nat(511)),
            small,
            small,
            small,
            (ids, views, links, sites, regions) => {
                const nodes = ids.map((id, index) => ({
                    id,
                    dataCentre: `d-${sites[index]}`,
                    region: `r-${regions[sites[index] ?? 0]}`,
                    linkMegabitsPerSecond: links[index],
                }));
                const follows = new Map(
                    nodes.map((node, index) => {
                        const view = nodes.filter((_, other) => ((views[index] ?? 511) >> other) & 1);
                        return [node.id, relaysOf(node, view, true).map(({ id }) => id)] as const;
                    }),
                );
                const leadsTo = (from: string, to: string, depth: number): boolean =>
                    depth > 0 && follows.get(from)!.some(id => id === to || leadsTo(id, to, depth - 1));
                return ids.every(id => !leadsTo(id, id, ids.length));
            },
        ),
    );
});

test("only the first node of a data centre has relays in others, and only in its region", () => {
    const nodes = Array.from({ length: 24 }, (_, index) => ({
        id: `n${index}`,
        dataCentre: `dc-${index % 6}`,
        region: `r-${index % 2}`,
    }));
    const isFirst = (node: RelayCandidate): boolean => relaysOf(node, nodes).length === 0;
    for (const node of nodes) {
        const relays = relaysOf(node, nodes, true);
        if (isFirst(node)) {
            assert.ok(relays.every(relay => relay.region === node.region && isFirst(relay)));
            assert.ok(relays.every(relay => relay.dataCentre !== node.dataCentre));
        }
        else {
            assert.deepEqual(relays, relaysOf(node, nodes));
        }
    }
    assert.equal(nodes.filter(node => relaysOf(node, nodes, true).length === 0).length, 2);
});

test("nodes without a region read from no other data centre", () => {
    const nodes = ["a", "b"].map(id => ({ id, dataCentre: id }));
    assert.deepEqual(
        nodes.map(node => relaysOf(node, nodes, true)),
        [[], []],
    );
});

test("no relay is in another data centre", () => {
    const nodes = ["a", "b", "c", "d"].map((id, index) => ({ id, dataCentre: `dc-${index % 2}` }));
    for (const node of nodes) {
        assert.ok(relaysOf(node, nodes).every(({ dataCentre }) => dataCentre === node.dataCentre));
    }
});

test("the nodes with the fastest links are the relays", () => {
    const links = [10, 140, 7, 200, 10, 200];
    const nodes = links.map((linkMegabitsPerSecond, index) => ({
        id: `n${index}`,
        dataCentre: "d",
        linkMegabitsPerSecond,
    }));
    const linksOfRelays = (index: number): readonly number[] =>
        relaysOf(nodes[index]!, nodes).map(relay => relay.linkMegabitsPerSecond);
    assert.deepEqual(linksOfRelays(2), [200, 200, 140]);
    assert.deepEqual(linksOfRelays(1), [200, 200]);
    assert.equal(linksOfRelays(3).length + linksOfRelays(5).length, 1, "one of the fastest reads the store");
});

test("the number of calls to the store does not grow with the number of nodes", async context => {
    const fleet = await createFleet(context, 40, 4);
    await fleet.advance(5000);
    assert.equal(fleet.readers().length, 4);
    const before = fleet.storeCalls();
    await fleet.advance(10_000);
    // Each reader has an open call of 0.6 s for one table and of 1.9 s for two, with a pause after each.
    assert.ok(fleet.storeCalls() - before <= 4 * (15 + 2 * 6), `${fleet.storeCalls() - before} calls`);
    fleet.write("second");
    await fleet.advance(200);
    assert.deepEqual(valuesOf(fleet.nodes), ["second"]);
});

test("an empty store is not read in a tight loop", async context => {
    const fleet = await createFleet(context, 1, 1, true);
    await fleet.advance(5700);
    // One initial read per table, then feed calls of 0.6 or 1.9 s with a pause after each.
    assert.ok(fleet.storeCalls() <= 10 + 2 * 4, `${fleet.storeCalls()} calls`);
    fleet.write("second");
    await fleet.advance(200);
    assert.deepEqual(valuesOf(fleet.nodes), ["second"]);
});

// Rejected calls cost as much as others.
test("a store that rejects a node gets one call per pause from it", async context => {
    const fleet = await createFleet(context, 1, 1);
    await fleet.advance(5000);
    const [node] = fleet.nodes;
    node!.canReachStore = false;
    await fleet.advance(4000);
    const before = node!.storeCalls;
    await fleet.advance(8000);
    assert.ok(node!.storeCalls - before <= 8000 / 800, `${node!.storeCalls - before} calls`);
    node!.canReachStore = true;
    fleet.write("second");
    await fleet.advance(APPLY_MILLISECONDS);
    assert.equal(node!.value(), "second");
});

test("a change arrives when a relay stops responding", async context => {
    const fleet = await createFleet(context, 12, 2);
    await fleet.advance(5000);
    const [relay] = fleet.readers();
    relay!.isFrozen = true;
    relay!.canReachStore = false;
    fleet.write("second");
    await fleet.advance(APPLY_MILLISECONDS);
    const others = fleet.nodes.filter(node => node !== relay);
    assert.deepEqual(valuesOf(others), ["second"]);
    relay!.isFrozen = false;
    relay!.canReachStore = true;
    await fleet.advance(10_000);
    assert.equal(fleet.readers().length, 2, "the nodes use the relay again");
});

test("a change arrives when a relay is disconnected from the store", async context => {
    const fleet = await createFleet(context, 12, 2);
    await fleet.advance(5000);
    const [relay] = fleet.readers();
    relay!.canReachStore = false;
    fleet.write("second");
    await fleet.advance(APPLY_MILLISECONDS);
    assert.deepEqual(valuesOf(fleet.nodes.filter(node => node !== relay)), ["second"]);
    assert.equal(relay!.sync.isDisconnected(), true);
});

// The store stops responding at different phases of the open calls.
test("a change arrives when the store stops responding to a relay only", async context => {
    const fleet = await createFleet(context, 12, 2);
    for (let phase = 0; phase < 2100; phase += 300) {
        await fleet.advance(10_000 + phase);
        const [relay] = fleet.readers();
        relay!.isStoreSilent = true;
        fleet.write(`${phase}`);
        await fleet.advance(APPLY_MILLISECONDS);
        assert.deepEqual(valuesOf(fleet.nodes.filter(node => node !== relay)), [`${phase}`]);
        relay!.isStoreSilent = false;
    }
});

test("a change arrives at once while nodes try a relay that does not answer", async context => {
    const fleet = await createFleet(context, 12, 1);
    await fleet.advance(5000);
    const [first] = fleet.readers();
    first!.isFrozen = true;
    first!.canReachStore = false;
    await fleet.advance(3000);
    const others = fleet.nodes.filter(node => node !== first);
    for (let phase = 0; phase < 50; phase += 1) {
        await fleet.advance(130);
        fleet.write(`${phase}`);
        await fleet.advance(200);
        assert.deepEqual(valuesOf(others), [`${phase}`]);
    }
});

test("a node does not rely on a relay to which its calls never end", async context => {
    const fleet = await createFleet(context, 12, 1);
    await fleet.advance(5000);
    const [first] = fleet.readers();
    first!.isUnending = true;
    // Calls that are open are answered.
    await fleet.advance(600);
    fleet.write("second");
    await fleet.advance(4000);
    assert.deepEqual(valuesOf(fleet.nodes), ["second"]);
});

// The other nodes read the removal from the leaving relay itself, so their last call to it succeeds.
test("a relay that was removed from the list is not used any longer", async context => {
    const fleet = await createFleet(context, 2, 1);
    await fleet.advance(5000);
    const [first] = fleet.readers();
    const [other] = fleet.nodes.filter(node => node !== first);
    fleet.unlist(first!.id);
    await fleet.advance(APPLY_MILLISECONDS);
    first!.isFrozen = true;
    fleet.write("second");
    await fleet.advance(APPLY_MILLISECONDS);
    assert.equal(other!.value(), "second");
    assert.equal(other!.sync.relay(), undefined);
});

// Nodes of two versions with different orders of relays run at the same time during an upgrade.
test("two nodes do not follow each other when they order relays differently", async context => {
    const fleet = await createFleet(context, 2, 1, false, (self, nodes) =>
        nodes.filter(node => node.id !== self.id),
    );
    for (let phase = 0; phase < 2000; phase += 200) {
        await fleet.advance(5000 + phase);
        fleet.write(`${phase}`);
        await fleet.advance(APPLY_MILLISECONDS);
        assert.deepEqual(valuesOf(fleet.nodes), [`${phase}`]);
    }
});

test("nodes behind a relay detect that the store is unreachable", async context => {
    const fleet = await createFleet(context, 12, 2);
    await fleet.advance(5000);
    fleet.nodes.forEach(node => {
        node.canReachStore = false;
    });
    await fleet.advance(APPLY_MILLISECONDS);
    assert.ok(fleet.nodes.every(({ sync }) => sync.isDisconnected() && !sync.isCurrent()));
    fleet.nodes.forEach(node => {
        node.canReachStore = true;
    });
    await fleet.advance(2000);
    assert.ok(fleet.nodes.every(({ sync }) => !sync.isDisconnected() && sync.reconnectedAt() !== undefined));
});

const createRegionalFleet = (context: TestContext, size: number, dataCentres: number, regions: number) =>
    createFleet(context, size, dataCentres, false, relaysOf, {
        applyMilliseconds: REGIONAL_APPLY_MILLISECONDS,
        regions,
    });

/** The node in another data centre from which `node` reads, directly or through the first node of its own. */
function regionalReaderOf(fleet: Fleet, node: TestNode): TestNode {
    return fleet.nodes.find(({ id }) => id === node.sync.path().at(-1))!;
}

test("a region has one reader of the store", async context => {
    const fleet = await createRegionalFleet(context, 40, 4, 2);
    await fleet.advance(8000);
    assert.equal(fleet.readers().length, 2);
    assert.ok(fleet.nodes.every(({ sync }) => sync.path().length <= 3));
    fleet.write("second");
    await fleet.advance(200);
    assert.deepEqual(valuesOf(fleet.nodes), ["second"]);
});

// A node of a third data centre is two levels away from the store. Both levels fail at different phases of calls.
test("a change arrives when two relays in a row stop responding at once", async context => {
    const fleet = await createRegionalFleet(context, 24, 4, 1);
    for (let phase = 0; phase < 700; phase += 110) {
        await fleet.advance(15_000 + phase);
        const last = fleet.nodes.find(({ sync }) => sync.path().length === 3)!;
        const silent = last.sync.path().slice(1);
        const others = fleet.nodes.filter(({ id }) => !silent.includes(id));
        const silentNodes = fleet.nodes.filter(({ id }) => silent.includes(id));
        silentNodes.forEach(node => {
            node.isFrozen = true;
            node.canReachStore = false;
        });
        fleet.write(`${phase}`);
        await fleet.advance(REGIONAL_APPLY_MILLISECONDS - TRANSFER_AND_DECODE_MILLISECONDS);
        assert.deepEqual(valuesOf(others), [`${phase}`], `phase ${phase}`);
        silentNodes.forEach(node => {
            node.isFrozen = false;
            node.canReachStore = true;
        });
    }
});

test("a change arrives when the store stops responding to the reader of a region", async context => {
    const fleet = await createRegionalFleet(context, 24, 4, 1);
    for (let phase = 0; phase < 2100; phase += 300) {
        await fleet.advance(15_000 + phase);
        const [reader] = fleet.readers();
        reader!.isStoreSilent = true;
        fleet.write(`${phase}`);
        await fleet.advance(REGIONAL_APPLY_MILLISECONDS - TRANSFER_AND_DECODE_MILLISECONDS);
        const others = fleet.nodes.filter(node => node !== reader);
        assert.deepEqual(valuesOf(others), [`${phase}`], `phase ${phase}`);
        reader!.isStoreSilent = false;
    }
});

test("the nodes of a data centre do not read the store when its relay in another one fails", async context => {
    const fleet = await createRegionalFleet(context, 40, 4, 1);
    await fleet.advance(8000);
    const reader = regionalReaderOf(fleet, fleet.nodes[0]!);
    const others = fleet.nodes.filter(({ dataCentre }) => dataCentre !== reader.dataCentre);
    const before = others.map(node => node.storeCalls);
    reader.isFrozen = true;
    reader.canReachStore = false;
    await fleet.advance(2000);
    const callers = others.filter((node, index) => node.storeCalls > before[index]!);
    assert.ok(callers.length <= 3, `${callers.length} nodes read the store`);
    fleet.write("second");
    await fleet.advance(200);
    assert.deepEqual(valuesOf(others), ["second"]);
});

// Otherwise the levels of relays, and with them the time until a change arrives, would have no bound.
test("a node of another data centre that reads from a relay is not followed", async context => {
    const fleet = await createRegionalFleet(context, 3, 3, 1);
    await fleet.advance(8000);
    assert.deepEqual(fleet.nodes.map(({ sync }) => sync.path().length).sort(), [1, 2, 2]);
});

for (const applyMilliseconds of [APPLY_MILLISECONDS, REGIONAL_APPLY_MILLISECONDS]) {
    // Without the relays' help, each of the nodes would call 1.25 times a second.
    test(`72 nodes call an unavailable store seldom, and have it soon again: ${applyMilliseconds} ms`, async context => {
        const fleet = await createFleet(context, 72, 4, false, relaysOf, { applyMilliseconds, regions: 2 });
        await fleet.advance(8000);
        fleet.nodes.forEach(node => {
            node.canReachStore = false;
        });
        const atLoss = fleet.storeCalls();
        await fleet.advance(5000);
        const before = fleet.storeCalls();
        context.diagnostic(`${before - atLoss} calls in the first 5 s`);
        await fleet.advance(30_000);
        const rate = (fleet.storeCalls() - before) / 30;
        context.diagnostic(`${rate.toFixed(1)} calls a second afterwards`);
        assert.ok(before - atLoss <= 4 * 72, `${before - atLoss} calls in the first 5 s`);
        assert.ok(rate <= 16, `${rate} calls a second`);
        assert.ok(fleet.nodes.every(({ sync }) => sync.isDisconnected()));
        for (let outage = 0; outage < 3; outage += 1) {
            fleet.nodes.forEach(node => {
                node.canReachStore = true;
            });
            fleet.write(`${outage}`);
            await fleet.advance(1100);
            assert.deepEqual(valuesOf(fleet.nodes), [`${outage}`]);
            assert.ok(fleet.nodes.every(({ sync }) => sync.isCurrent()));
            await fleet.advance(8000);
            fleet.nodes.forEach(node => {
                node.canReachStore = false;
            });
            await fleet.advance(7000 + 310 * outage);
        }
    });
}

test("few nodes read a store that rejects the reader of a region", async context => {
    const fleet = await createRegionalFleet(context, 40, 4, 1);
    await fleet.advance(8000);
    const [reader] = fleet.readers();
    const before = fleet.nodes.map(node => node.storeCalls);
    reader!.canReachStore = false;
    await fleet.advance(3000);
    const callers = fleet.nodes.filter((node, index) => node.storeCalls > before[index]!);
    assert.ok(callers.length <= 8, `${callers.length} nodes read the store`);
    fleet.write("second");
    await fleet.advance(600);
    assert.deepEqual(valuesOf(fleet.nodes.filter(node => node !== reader)), ["second"]);
});

// The store serves a node behind relays that it rejects; the node must not wait for them.
test("a node reads the store itself when the store rejects its relays only", async context => {
    const fleet = await createRegionalFleet(context, 12, 1, 1);
    await fleet.advance(8000);
    const entries = fleet.nodes.map(({ id, dataCentre }) => ({ id, dataCentre, peerAddress: id }));
    const last = fleet.nodes.find(({ id }) => relaysOf({ id, dataCentre: "dc-0" }, entries).length === 3)!;
    const relays = relaysOf({ id: last.id, dataCentre: "dc-0" }, entries).map(({ id }) => id);
    fleet.nodes
        .filter(({ id }) => relays.includes(id))
        .forEach(node => {
            node.canReachStore = false;
        });
    fleet.write("second");
    await fleet.advance(REGIONAL_APPLY_MILLISECONDS - TRANSFER_AND_DECODE_MILLISECONDS);
    assert.equal(last.value(), "second");
});
