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

/** Seed of the property test; read before the clock is mocked. */
const SEED = Number(process.env["SEED"] ?? Date.now() % 2 ** 31);

const CONVERGENCE_MILLISECONDS = 30_000;

async function setUp(
    layout: readonly string[] = ["a", "b"],
    tuning: Partial<BillingTuning> = {},
    billMemoryBytes = 1_000_000,
) {
    const cluster = createCluster(layout);
    const store = createFakeObjectStore();
    const billings = cluster.nodes.map(node =>
        createBilling({
            ...componentOptions(node),
            objectStore: node.wrapService(store),
            billMemoryBytes,
            tuning,
        }),
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
    /** Reads the request ids of all stored bills, without faults. Throws for a second bill of a request. */
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

interface BillingStatus {
    readonly unwrittenBills: number;
    readonly exposedBills: number;
    readonly copies: { readonly batches: number; readonly bytes: number };
}

beforeEach(useMockTimers);
afterEach(() => assert.deepEqual(violations.splice(0), []));

test("copies a bill before it is recorded, and removes the copy once the bill is written", async () => {
    const { billings, record, recorded, stored } = await setUp(["a", "a", "b"]);
    record(0, "r1");
    record(0, "r2");
    await advance(20);
    assert.deepEqual(recorded, ["r1", "r2"]);
    assert.equal((billings[2]!.dump() as BillingStatus).copies.batches, 1);
    await advance(CONVERGENCE_MILLISECONDS, 10);
    assert.deepEqual(await stored(), ["r1", "r2"]);
    assert.equal((billings[2]!.dump() as BillingStatus).copies.batches, 0);
    assert.equal((billings[0]!.dump() as BillingStatus).unwrittenBills, 0);
});

for (const fault of ["lose", "drop", "late", "reject"] as const) {
    test(`writes each bill once when the put has the fault ${fault}`, async () => {
        const { store, record, stored } = await setUp();
        const faults: Fault[] = [fault, fault];
        store.fault = call => (call === "put" ? (faults.shift() ?? "none") : "none");
        record(0, "r1");
        await advance(9000, 10);
        record(0, "r2");
        await advance(CONVERGENCE_MILLISECONDS, 10);
        assert.deepEqual(await stored(), ["r1", "r2"]);
    });
}

// A peer cannot distinguish a paused owner from a failed one, so both may write the same bills.
test("writes each bill once when the owner resumes after a peer wrote its log", async () => {
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
    await advance(CONVERGENCE_MILLISECONDS, 10);
    assert.deepEqual(await stored(), ["r1", "r2", "r3"]);
    assert.deepEqual(recorded.sort(), ["r1", "r2", "r3"]);
});

// Guards against lost bills when several peers hold different copies of one log and write it concurrently.
test("writes bills of a failed owner whose copies are at several peers", async () => {
    const { cluster, record, recorded, stored } = await setUp(["a", "b", "c", "d"]);
    record(0, "r1");
    await advance(20);
    cluster.fault = (_method, _from, to) => (rejecting.has(to) ? "unreachable" : "none");
    const rejecting = new Set<string>();
    for (const id of ["n1", "n2", "n3"]) {
        rejecting.add(id);
        record(0, `past ${id}`);
        await advance(20);
    }
    const copied = recorded.filter(id => id !== "past n3");
    cluster.nodes[0]!.killed = true;
    cluster.setState("n0", "dead");
    await advance(CONVERGENCE_MILLISECONDS, 10);
    assert.deepEqual(await stored(), copied.sort());
});

test("writes each recorded bill once when the owner is killed at any time", async () => {
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

test("holds bills during a ten-minute outage, reports no capacity at the limit, and loses none", async () => {
    const { store, billings, record, recorded, stored } = await setUp(["a", "b"], {}, 30_000);
    store.fault = () => "drop";
    let rejected = 0;
    for (let second = 0; second < 600; second += 1) {
        if (billings[0]!.hasCapacity()) {
            record(0, `r${second}`);
        }
        else {
            rejected += 1;
        }
        await advance(1000, 50);
    }
    assert.ok(rejected > 300, `${rejected} rejected`);
    assert.deepEqual(await stored(), []);
    store.fault = () => "none";
    await advance(CONVERGENCE_MILLISECONDS, 10);
    assert.equal(billings[0]!.hasCapacity(), true);
    assert.deepEqual(await stored(), [...recorded].sort());
});

test("records bills without a copy when the only peer has no memory left for one", async () => {
    const { billings, record, recorded } = await setUp(["a", "b"], { copyMemoryBytes: 500 });
    for (let index = 0; index < 5; index += 1) {
        record(0, `r${index}`);
        await advance(10);
    }
    assert.equal(recorded.length, 5);
    const { copies } = billings[1]!.dump() as BillingStatus;
    assert.ok(copies.bytes <= 500 && copies.batches > 0, JSON.stringify(copies));
});

// In an outage a node holds tens of thousands of small batches, too many to copy again one at a time.
test("copies all batches again when the peer that holds them fails", async () => {
    const { cluster, store, billings, record, recorded, stored } = await setUp(["a", "b", "c"]);
    store.fault = () => "reject";
    for (let index = 0; index < 200; index += 1) {
        record(0, `r${index}`);
        await advance(6);
    }
    const holder = billings.findIndex(billing => (billing.dump() as BillingStatus).copies.batches > 0);
    cluster.nodes[holder]!.killed = true;
    cluster.setState(`n${holder}`, "dead");
    await advance(2000, 5);
    assert.equal((billings[0]!.dump() as BillingStatus).exposedBills, 0);
    cluster.nodes[0]!.killed = true;
    cluster.setState("n0", "dead");
    store.fault = () => "none";
    await advance(CONVERGENCE_MILLISECONDS, 10);
    assert.equal(recorded.length, 200);
    assert.deepEqual(await stored(), recorded.sort());
});

test("writes its own bills and its copies before a planned stop", async () => {
    const { billings, record, stored } = await setUp();
    record(0, "r1");
    record(1, "r2");
    await advance(20);
    let isDone = false;
    void billings[1]!.flush().then(() => (isDone = true));
    await advance(100);
    assert.equal(isDone, true);
    assert.deepEqual(await stored(), ["r1", "r2"]);
    await advance(CONVERGENCE_MILLISECONDS, 10);
    assert.deepEqual(await stored(), ["r1", "r2"]);
});

test("reports a violation when the store contains two bills of a request", async () => {
    const { store, record, stored } = await setUp();
    record(0, "r1");
    await advance(CONVERGENCE_MILLISECONDS, 10);
    const [[name, body]] = [...store.objects] as [[string, string]];
    store.objects.set(name.replace(/\d$/, "2"), body);
    await assert.rejects(stored(), /billed-once/);
});

// Guards against a second bill: the owner may have written the bills of a delayed copy to an object that the
// peer has already read.
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

// Guards against lost and repeated bills under lost, late and repeated messages, pauses, crashes and nodes
// that are wrongly detected as failed.
test("stores each recorded bill exactly once after random faults", async () => {
    const actionArbitrary = fc.oneof(
        { weight: 6, arbitrary: fc.record({ kind: fc.constant("record" as const), node: fc.nat(3) }) },
        {
            weight: 2,
            arbitrary: fc.record({
                kind: fc.constant("store" as const),
                fault: fc.constantFrom<Fault[]>("none", "lose", "drop", "late", "reject"),
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
            let randomState = faultSeed >>> 0;
            const chance = (): boolean => {
                randomState = (Math.imul(randomState, 1_664_525) + 1_013_904_223) >>> 0;
                return randomState / 2 ** 32 < 0.6;
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
                        // A recorded bill is only certain to be at two nodes, so at most one node is killed,
                        // and only while each of its recorded bills has a copy.
                        if (
                            !isKilled &&
                            (billings[action.node]!.dump() as BillingStatus).exposedBills === 0
                        ) {
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
            await advance(CONVERGENCE_MILLISECONDS, 20);
            const ids = await stored();
            assert.deepEqual(
                recorded.filter(id => !ids.includes(id)),
                [],
            );
            const survivors = billings.filter((billing, index) => !cluster.nodes[index]!.killed);
            survivors.forEach(billing => assert.equal((billing.dump() as BillingStatus).unwrittenBills, 0));
            assert.deepEqual(violations.splice(0), []);
        },
    );
    console.log(`billing property: seed ${SEED}`);
    await fc.assert(property, { seed: SEED, numRuns: Number(process.env["RUNS"] ?? 60) });
});
