import assert from "node:assert/strict";
import { afterEach, beforeEach, test } from "node:test";
import fc from "fast-check";
import {
    advance,
    createCluster,
    componentOptions,
    useMockTimers,
    violations,
} from "../../claims/__tests__/cluster-simulation.js";
import type { PeerFault } from "../../claims/__tests__/cluster-simulation.js";
import { createInvariants } from "../../invariants/invariants.js";
import { createFakeObjectStore } from "../../claims/__tests__/fake-platform.js";
import type { Fault } from "../../claims/__tests__/fake-platform.js";
import type { Bill } from "../billing.js";
import { createBilling } from "../create-billing.js";
import type { BillingTuning } from "../create-billing.js";
import { createCopies } from "../copies.js";
import { readBills } from "../read-bills.js";

/** Taken before the clock is mocked. */
const SEED = Number(process.env["SEED"] ?? Date.now() % 2 ** 31);

const SETTLE_MILLISECONDS = 30_000;

async function setUp(
    layout: readonly string[] = ["a", "b"],
    tuning: Partial<BillingTuning> = {},
    billMemoryBytes = 1_000_000,
) {
    const cluster = createCluster(layout);
    const store = createFakeObjectStore();
    const billings = cluster.nodes.map(node =>
        createBilling({ ...componentOptions(node), objectStore: node.wrapService(store), billMemoryBytes, tuning }),
    );
    await cluster.start();
    const recorded: string[] = [];
    const record = (node: number, requestId: string): void => {
        const bill: Bill = {
            requestId,
            workspace: "w",
            target: "m",
            version: "v",
            promptTokens: 1,
            completionTokens: 2,
            cost: 0.5,
            at: Date.now(),
        };
        void billings[node]!.record(bill).then(() => recorded.push(requestId));
    };
    /** Reads the store without faults; a second bill of a request throws. */
    const stored = async (): Promise<string[]> => {
        const ids: string[] = [];
        const fault = store.fault;
        store.fault = () => "none";
        const reading = (async () => {
            const invariants = createInvariants({ fatal: true, onViolation: () => undefined });
            for await (const bill of readBills(store, { invariants })) {
                ids.push(bill.requestId);
            }
            return true;
        })();
        let isDone: unknown = false;
        reading.then(
            () => (isDone = true),
            () => (isDone = true),
        );
        while (isDone === false) {
            await advance(10);
        }
        await reading;
        store.fault = fault;
        return ids.sort();
    };
    return { cluster, store, billings, record, recorded, stored };
}

interface HeldDump {
    readonly unwrittenBills: number;
    readonly exposedBills: number;
    readonly copies: { readonly batches: number; readonly bytes: number };
}

beforeEach(useMockTimers);
afterEach(() => assert.deepEqual(violations.splice(0), []));

test("copies a bill before it counts as recorded, writes it, and lets the peer forget it", async () => {
    const { billings, record, recorded, stored } = await setUp(["a", "a", "b"]);
    record(0, "r1");
    record(0, "r2");
    await advance(20);
    assert.deepEqual(recorded, ["r1", "r2"]);
    assert.equal((billings[2]!.dump() as HeldDump).copies.batches, 1);
    await advance(SETTLE_MILLISECONDS, 10);
    assert.deepEqual(await stored(), ["r1", "r2"]);
    assert.equal((billings[2]!.dump() as HeldDump).copies.batches, 0);
    assert.equal((billings[0]!.dump() as HeldDump).unwrittenBills, 0);
});

for (const fault of ["lose", "drop", "late", "refuse"] as const) {
    test(`writes each bill once when the answer of the put ends with ${fault}`, async () => {
        const { store, record, stored } = await setUp();
        const faults: Fault[] = [fault, fault];
        store.fault = call => (call === "put" ? (faults.shift() ?? "none") : "none");
        record(0, "r1");
        await advance(9000, 10);
        record(0, "r2");
        await advance(SETTLE_MILLISECONDS, 10);
        assert.deepEqual(await stored(), ["r1", "r2"]);
    });
}

// The peer cannot tell a paused owner from a dead one, so both write the same bills.
test("writes each bill once when the owner was only paused", async () => {
    const { cluster, record, recorded, stored } = await setUp(["a", "b", "c"]);
    record(0, "r1");
    await advance(20);
    record(0, "r2");
    cluster.nodes[0]!.paused = true;
    cluster.setState("n0", "dead");
    await advance(5000, 10);
    assert.deepEqual(await stored(), ["r1"]);
    cluster.nodes[0]!.paused = false;
    cluster.setState("n0", "alive");
    await advance(20);
    record(0, "r3");
    await advance(SETTLE_MILLISECONDS, 10);
    assert.deepEqual(await stored(), ["r1", "r2", "r3"]);
    assert.deepEqual(recorded.sort(), ["r1", "r2", "r3"]);
});

// Copies of one log at two peers: each writes what the other has not.
test("writes bills of a dead owner whose copies are at several peers", async () => {
    const { cluster, record, recorded, stored } = await setUp(["a", "b", "c", "d"]);
    record(0, "r1");
    await advance(20);
    cluster.fault = (_method, _from, to) => (refusing.has(to) ? "unreachable" : "none");
    const refusing = new Set<string>();
    for (const id of ["n1", "n2", "n3"]) {
        refusing.add(id);
        record(0, `past ${id}`);
        await advance(20);
    }
    const safe = recorded.filter(id => id !== "past n3");
    cluster.nodes[0]!.killed = true;
    cluster.setState("n0", "dead");
    await advance(SETTLE_MILLISECONDS, 10);
    assert.deepEqual(await stored(), safe.sort());
});

test("writes each recorded bill once when the owner is killed at any step", async () => {
    for (let killAt = 0; killAt <= 30; killAt += 2) {
        useMockTimers();
        const { cluster, record, recorded, stored } = await setUp(["a", "b"], {
            flushIntervalMilliseconds: 20,
        });
        ["r1", "r2", "r3"].forEach((id, index) => setTimeout(() => record(0, id), 1 + 4 * index));
        await advance(killAt);
        cluster.nodes[0]!.killed = true;
        const before = [...recorded];
        cluster.setState("n0", "dead");
        await advance(5000, 10);
        const ids = await stored();
        assert.deepEqual(
            before.filter(id => !ids.includes(id)),
            [],
        );
    }
});

test("holds bills through a ten-minute outage, has no room at the bound, and loses none", async () => {
    const { store, billings, record, recorded, stored } = await setUp(["a", "b"], {}, 30_000);
    store.fault = () => "drop";
    let refused = 0;
    for (let second = 0; second < 600; second += 1) {
        if (billings[0]!.hasRoom()) {
            record(0, `r${second}`);
        }
        else {
            refused += 1;
        }
        await advance(1000, 50);
    }
    assert.ok(refused > 300, `${refused} refused`);
    assert.deepEqual(await stored(), []);
    store.fault = () => "none";
    await advance(SETTLE_MILLISECONDS, 10);
    assert.equal(billings[0]!.hasRoom(), true);
    assert.deepEqual(await stored(), [...recorded].sort());
});

test("asks another peer when one is full, and goes on alone when none takes a copy", async () => {
    const { billings, record, recorded } = await setUp(["a", "b"], { copyMemoryBytes: 500 });
    for (let index = 0; index < 5; index += 1) {
        record(0, `r${index}`);
        await advance(10);
    }
    assert.equal(recorded.length, 5);
    const { copies } = billings[1]!.dump() as HeldDump;
    assert.ok(copies.bytes <= 500 && copies.batches > 0, JSON.stringify(copies));
});

// In an outage a node holds tens of thousands of small batches, too many to copy again one by one.
test("copies all batches again when the peer that holds them dies", async () => {
    const { cluster, store, billings, record, recorded, stored } = await setUp(["a", "b", "c"]);
    store.fault = () => "refuse";
    for (let index = 0; index < 200; index += 1) {
        record(0, `r${index}`);
        await advance(6);
    }
    const holder = billings.findIndex(billing => (billing.dump() as HeldDump).copies.batches > 0);
    cluster.nodes[holder]!.killed = true;
    cluster.setState(`n${holder}`, "dead");
    await advance(2000, 5);
    assert.equal((billings[0]!.dump() as HeldDump).exposedBills, 0);
    cluster.nodes[0]!.killed = true;
    cluster.setState("n0", "dead");
    store.fault = () => "none";
    await advance(SETTLE_MILLISECONDS, 10);
    assert.equal(recorded.length, 200);
    assert.deepEqual(await stored(), recorded.sort());
});

test("writes its own bills and its copies at a planned stop", async () => {
    const { billings, record, stored } = await setUp();
    record(0, "r1");
    record(1, "r2");
    await advance(20);
    let isDone = false;
    void billings[1]!.flush().then(() => (isDone = true));
    await advance(100);
    assert.equal(isDone, true);
    assert.deepEqual(await stored(), ["r1", "r2"]);
    await advance(SETTLE_MILLISECONDS, 10);
    assert.deepEqual(await stored(), ["r1", "r2"]);
});

test("reports a second bill of a request in the store", async () => {
    const { store, record, stored } = await setUp();
    record(0, "r1");
    await advance(SETTLE_MILLISECONDS, 10);
    const [[name, body]] = [...store.objects] as [[string, string]];
    store.objects.set(name.replace(/\d$/, "2"), body);
    await assert.rejects(stored(), /billed-once/);
});

// The owner may have written the bills of a delayed copy into an object that the peer has read already.
test("reads the log again for a copy that arrives while the log is being written", () => {
    const copies = createCopies({
        maximumBytes: 10_000,
        maximumObjectBytes: 10_000,
        isGone: () => true,
        random: () => 0,
    });
    const add = (batch: number, text: string): void => {
        copies.add({ owner: "n0", incarnation: 1, batch, floor: 1, flushedThrough: 0, text });
    };
    const call = (now: number) => copies.step(now, false)[0]?.call;
    add(1, '["r1"]');
    assert.equal(call(0)?.kind, "put");
    copies.stored("n0-1", { kind: "exists" }, 1);
    assert.deepEqual(call(2), { kind: "get", number: 1 });
    const lines = [{ requestId: "r2", text: '["r2"]' }];
    copies.stored("n0-1", { kind: "body", lines }, 3);
    add(2, '["r2"]');
    assert.equal(call(4)?.number, 1);
});

// Any mix of lost, late and repeated messages with pauses, crashes and wrong suspicions must keep each bill
// that counted as recorded exactly once.
test("has each recorded bill once after random faults", async () => {
    const actionArbitrary = fc.oneof(
        { weight: 6, arbitrary: fc.record({ kind: fc.constant("record" as const), node: fc.nat(3) }) },
        {
            weight: 2,
            arbitrary: fc.record({
                kind: fc.constant("store" as const),
                fault: fc.constantFrom<Fault[]>("none", "lose", "drop", "late", "refuse"),
            }),
        },
        {
            weight: 2,
            arbitrary: fc.record({
                kind: fc.constant("peers" as const),
                fault: fc.constantFrom<PeerFault[]>("none", "unreachable", "drop", "lose", "late"),
            }),
        },
        { weight: 1, arbitrary: fc.record({ kind: fc.constant("kill" as const), node: fc.nat(3) }) },
        { weight: 2, arbitrary: fc.record({ kind: fc.constant("pause" as const), node: fc.nat(3) }) },
        { weight: 2, arbitrary: fc.record({ kind: fc.constant("resume" as const), node: fc.nat(3) }) },
        {
            weight: 4,
            arbitrary: fc.record({
                kind: fc.constant("wait" as const),
                ms: fc.integer({ min: 1, max: 4000 }),
            }),
        },
    );
    const property = fc.asyncProperty(
        fc.array(actionArbitrary, { minLength: 5, maxLength: 40 }),
        fc.integer(),
        async (actions, faultSeed) => {
            useMockTimers();
            const { billings, cluster, store, record, recorded, stored } = await setUp(["a", "b", "c", "d"], {
                flushIntervalMilliseconds: 2000,
                maximumObjectBytes: 200,
            });
            let draws = faultSeed >>> 0;
            const chance = (): boolean => {
                draws = (Math.imul(draws, 1_664_525) + 1_013_904_223) >>> 0;
                return draws / 2 ** 32 < 0.6;
            };
            let count = 0;
            let isKilled = false;
            for (const action of actions) {
                switch (action.kind) {
                    case "record":
                        if (!cluster.nodes[action.node]!.killed) {
                            record(action.node, `r${count++}`);
                        }
                        break;
                    case "store":
                        store.fault = () => (chance() ? action.fault : "none");
                        break;
                    case "peers":
                        cluster.fault = () => (chance() ? action.fault : "none");
                        break;
                    case "kill":
                        // A bill is held twice, so only the first crash may lose none, and only while every
                        // recorded bill of the node has a copy.
                        if (!isKilled && (billings[action.node]!.dump() as HeldDump).exposedBills === 0) {
                            isKilled = true;
                            cluster.nodes[action.node]!.killed = true;
                        }
                        break;
                    case "pause":
                    case "resume":
                        cluster.nodes[action.node]!.paused = action.kind === "pause";
                        cluster.setState(`n${action.node}`, action.kind === "pause" ? "dead" : "alive");
                        break;
                    case "wait":
                        await advance(action.ms, 20);
                        break;
                }
            }
            store.fault = () => "none";
            cluster.fault = () => "none";
            cluster.nodes.forEach(node => {
                node.paused = false;
                cluster.setState(node.member.id, node.killed ? "dead" : "alive");
            });
            await advance(SETTLE_MILLISECONDS, 20);
            const ids = await stored();
            assert.deepEqual(
                recorded.filter(id => !ids.includes(id)),
                [],
            );
            const left = billings.filter((billing, index) => !cluster.nodes[index]!.killed);
            left.forEach(billing => assert.equal((billing.dump() as HeldDump).unwrittenBills, 0));
            assert.deepEqual(violations.splice(0), []);
        },
    );
    console.log(`billing property: seed ${SEED}`);
    await fc.assert(property, { seed: SEED, numRuns: Number(process.env["RUNS"] ?? 60) });
});
