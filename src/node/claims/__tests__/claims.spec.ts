import assert from "node:assert/strict";
import { afterEach, beforeEach, test } from "node:test";
import fc from "fast-check";
import { createFakeTableService } from "./fake-platform.js";
import type { Fault } from "./fake-platform.js";
import { rendezvousOwner } from "../../common/hash.js";
import { claimRowKey, guardForAbandon, decideClaim } from "../claim-row.js";
import type { ClaimKey, ClaimResult, Claims, RecordedOutcome } from "../claims.js";
import { createClaims } from "../create-claims.js";
import type { ClaimsTuning } from "../create-claims.js";
import { advance, createCluster, componentOptions, useMockTimers, violations } from "./cluster-simulation.js";
import type { PeerFault } from "./cluster-simulation.js";

/** Read before the clock is mocked. */
const SEED = Number(process.env["SEED"] ?? Date.now() % 2 ** 31);

const KEY: ClaimKey = { service: "pickup", workspace: "w", idempotencyKey: "k" };
const OUTCOME: RecordedOutcome = { status: 201, headers: { a: "b" }, body: "Ym9va2Vk" };

async function setUp(layout: readonly string[] = ["a"], tuning: Partial<ClaimsTuning> = {}) {
    const cluster = createCluster(layout);
    const table = createFakeTableService();
    const claims = cluster.nodes.map(node =>
        createClaims({ ...componentOptions(node), tableService: node.wrapService(table), tuning }),
    );
    await cluster.start();
    return { cluster, table, claims };
}

/** Stores the value of a promise once it resolves, without awaiting it. */
function watch<Value>(promise: Promise<Value>): { value?: Value } {
    const box: { value?: Value } = {};
    void promise.then(value => (box.value = value));
    return box;
}

async function claimNow(
    claims: Claims,
    attempt: string,
    body = "h",
    key = KEY,
): Promise<ClaimResult["kind"]> {
    const box = watch(claims.claim(key, body, attempt));
    await advance(100);
    return box.value?.kind ?? ("open" as never);
}

/** Applies one fault to each of the next calls, then none. */
function faultsInTurn(...faults: readonly Fault[]): () => Fault {
    const remaining = [...faults];
    return () => remaining.shift() ?? "none";
}

beforeEach(useMockTimers);
afterEach(() => assert.deepEqual(violations.splice(0), []));

test("a repeated key gets the outcome, a mismatch for another body, or pending", async () => {
    const { claims } = await setUp(["a", "b"]);
    assert.equal(await claimNow(claims[0]!, "x1"), "claimed");
    assert.equal(await claimNow(claims[1]!, "x2"), "pending");
    assert.equal(await claimNow(claims[1]!, "x3", "other"), "mismatch");
    const done = watch(claims[0]!.complete(KEY, "x1", OUTCOME).then(() => true));
    await advance(50);
    assert.equal(done.value, true);
    const replay = watch(claims[1]!.claim(KEY, "h", "x4"));
    await advance(20);
    assert.deepEqual(replay.value, { kind: "recorded", outcome: OUTCOME });
});

// Two nodes that both ran a request with the same key sent a truck twice.
test("only one of several nodes that receive a key at the same time claims it", async () => {
    for (const layout of [
        ["a", "b"],
        ["a", "a"],
        ["a", "a", "a"],
    ]) {
        const { claims } = await setUp(layout);
        const results = claims.map((each, index) => watch(each.claim(KEY, "h", `x${index}`)));
        await advance(50);
        assert.deepEqual(results.map(({ value }) => value?.kind).sort(), [
            "claimed",
            ...layout.slice(1).map(() => "pending"),
        ]);
    }
});

// If another node took over the claim of a paused node, the request would run again when that node resumes.
test("no node takes over the claim of a node that pauses between claim and dispatch", async () => {
    const { cluster, claims } = await setUp(["a", "b"]);
    assert.equal(await claimNow(claims[0]!, "x1"), "claimed");
    cluster.nodes[0]!.paused = true;
    cluster.setState("n0", "dead");
    await advance(600_000, 1000);
    assert.equal(await claimNow(claims[1]!, "x2"), "pending");
    cluster.nodes[0]!.paused = false;
    const done = watch(claims[0]!.complete(KEY, "x1", OUTCOME).then(() => true));
    await advance(100);
    assert.equal(done.value, true);
    assert.equal(await claimNow(claims[1]!, "x3"), "recorded");
});

// A crash at any step must leave either no row or a row that no other node takes over.
test("a key does not run twice if its node crashes at any step", async () => {
    for (let killAt = 0; killAt <= 14; killAt += 1) {
        useMockTimers();
        const { cluster, claims } = await setUp(["a", "a", "b"]);
        let runs = 0;
        const request = async (node: number): Promise<void> => {
            const { kind } = await claims[node]!.claim(KEY, "h", `x${node}`);
            if (kind === "claimed" && !cluster.nodes[node]!.killed) {
                runs += 1;
                await claims[node]!.complete(KEY, `x${node}`, OUTCOME);
            }
        };
        void request(0);
        await advance(killAt);
        cluster.nodes[0]!.killed = true;
        await advance(1000, 5);
        await Promise.all([request(1), advance(1000, 5)]);
        await Promise.all([request(2), advance(1000, 5)]);
        assert.ok(runs === 1 || (runs === 0 && killAt > 0), `${runs} runs, killed at ${killAt} ms`);
    }
});

for (const fault of ["lose", "drop", "late"] as const) {
    // A write may take effect although its answer is lost, or after the node has stopped waiting for it.
    test(`claim and outcome are confirmed by a read-back after a write with fault ${fault}`, async () => {
        const { table, claims } = await setUp();
        table.fault = faultsInTurn(fault);
        const claimed = watch(claims[0]!.claim(KEY, "h", "x1"));
        await advance(400);
        assert.equal(claimed.value?.kind, "claimed");
        table.fault = faultsInTurn(fault);
        const done = watch(claims[0]!.complete(KEY, "x1", OUTCOME).then(() => true));
        await advance(400);
        assert.equal(done.value, true);
        await advance(5000, 10);
        assert.equal(await claimNow(claims[0]!, "x2"), "recorded");
    });
}

// The row of an attempt that ended as unavailable must not block the key, and its delayed write must have no
// effect, whether it arrives before or after the next attempt.
for (const fault of ["lose", "drop", "late"] as const) {
    test(`a key can be claimed again after unavailable if writes have fault ${fault}`, async () => {
        for (const wait of [3000, 10_000]) {
            useMockTimers();
            const { table, claims } = await setUp();
            table.lateMilliseconds = 8000;
            let isDown = true;
            table.fault = call => (isDown ? (call === "transact" ? fault : "reject") : "none");
            const first = watch(claims[0]!.claim(KEY, "h", "x1"));
            await advance(4100, 10);
            assert.deepEqual(first.value, { kind: "unavailable" });
            isDown = false;
            await advance(wait, 10);
            assert.equal(await claimNow(claims[0]!, "x2"), "claimed");
            const done = watch(claims[0]!.complete(KEY, "x2", OUTCOME).then(() => true));
            await advance(20_000, 10);
            assert.equal(done.value, true);
            assert.equal(table.rows.get(claimRowKey(KEY))?.value["attempt"], "x2");
            const { attempts } = claims[0]!.dump() as { attempts: { abandoning: number } };
            assert.equal(attempts.abandoning, 0);
        }
    });
}

// A delayed write that replaces the abandoned row of another attempt must fail once its attempt is abandoned.
test("abandoning an attempt changes every row version that the attempt may have read", () => {
    const value = { attempt: "other", state: "abandoned" as const, bodyHash: "h", at: 0 };
    const seen = decideClaim("x1", "h", { version: 3, value });
    assert.deepEqual(seen, { kind: "write", guard: { kind: "version", version: 3 } });
    assert.deepEqual(guardForAbandon("x1", { version: 3, value }), { kind: "version", version: 3 });
    assert.equal(guardForAbandon("x1", { version: 4, value: { ...value, attempt: "x1" } }), undefined);
});

test("a ten-minute outage makes claims unavailable, exceeds no limit and loses no outcome", async () => {
    const { table, claims } = await setUp(["a", "b"], { maximumAttempts: 50 });
    assert.equal(await claimNow(claims[0]!, "x0"), "claimed");
    table.fault = () => "drop";
    const done = watch(claims[0]!.complete(KEY, "x0", OUTCOME).then(() => true));
    const outageClaims: { value?: ClaimResult }[] = [];
    for (let second = 0; second < 600; second += 1) {
        outageClaims.push(
            watch(claims[0]!.claim({ ...KEY, idempotencyKey: `o${second}` }, "h", `o${second}`)),
        );
        await advance(1000, 50);
    }
    await advance(5000, 50);
    assert.deepEqual(new Set(outageClaims.map(({ value }) => value?.kind)), new Set(["unavailable"]));
    assert.equal(done.value, undefined);
    table.fault = () => "none";
    await advance(5000, 10);
    assert.equal(done.value, true);
    assert.equal(await claimNow(claims[1]!, "x1"), "recorded");
    assert.equal(await claimNow(claims[1]!, "x2", "h", { ...KEY, idempotencyKey: "o1" }), "claimed");
});

test("a key can be claimed again after its claim was abandoned", async () => {
    const { claims } = await setUp(["a", "b"]);
    assert.equal(await claimNow(claims[0]!, "x1"), "claimed");
    const done = watch(claims[0]!.abandon(KEY, "x1").then(() => true));
    await advance(50);
    assert.equal(done.value, true);
    assert.equal(await claimNow(claims[1]!, "x2"), "claimed");
});

// A service that breaks every connection must not exhaust the attempts that a node may hold.
test("attempts whose outcome stays unknown leave the table and their claims remain", async () => {
    const { claims } = await setUp(["a"], { maximumAttempts: 1 });
    const other = { ...KEY, idempotencyKey: "k2" };
    assert.equal(await claimNow(claims[0]!, "x1"), "claimed");
    assert.equal(await claimNow(claims[0]!, "x2", "h", other), "unavailable");
    await Promise.all([claims[0]!.complete(KEY, "x1", undefined), advance(10)]);
    assert.equal(await claimNow(claims[0]!, "x3"), "pending");
    assert.equal(await claimNow(claims[0]!, "x4", "h", other), "claimed");
    await advance(3_700_000, 5000);
    assert.equal(await claimNow(claims[0]!, "x5", "h", other), "pending");
});

for (const fault of ["unreachable", "drop", "lose"] as const) {
    // Both the aggregator and the node may write the row; the attempt id shows that the writes are the same.
    test(`a node writes the row itself if the call to the aggregator has fault ${fault}`, async () => {
        const { cluster, table, claims } = await setUp(["a", "a", "a"]);
        const owner = rendezvousOwner("claims a", ["n0", "n1", "n2"])!;
        const writer = cluster.nodes.findIndex(node => node.member.id !== owner);
        cluster.fault = () => fault;
        const claimed = watch(claims[writer]!.claim(KEY, "h", "x1"));
        await advance(700);
        assert.equal(claimed.value?.kind, "claimed");
        assert.equal(table.rows.get(claimRowKey(KEY))?.version, 1);
        const other = cluster.nodes.findIndex(node => ![owner, `n${writer}`].includes(node.member.id));
        const again = watch(claims[other]!.claim(KEY, "h", "x2"));
        await advance(700);
        assert.equal(again.value?.kind, "pending");
    });
}

// The outcomes that accumulate during an outage exceed the size limit of a message between nodes.
test("writes that exceed one message to the aggregator are split", async () => {
    const { cluster, claims } = await setUp(["a", "a"]);
    const writer = rendezvousOwner("claims a", ["n0", "n1"]) === "n0" ? 1 : 0;
    const keys = [...Array(1200).keys()].map(index => ({ ...KEY, idempotencyKey: `k${index}` }));
    const results = keys.map((key, index) => watch(claims[writer]!.claim(key, "h", `x${index}`)));
    await advance(2000, 5);
    assert.ok(results.every(({ value }) => value?.kind === "claimed"));
    let calls = 0;
    cluster.fault = () => (calls++, "none");
    const outcome = { ...OUTCOME, body: "A".repeat(60_000) };
    const done = keys
        .slice(0, 40)
        .map((key, index) => watch(claims[writer]!.complete(key, `x${index}`, outcome).then(() => true)));
    await advance(1000, 5);
    assert.ok(done.every(({ value }) => value === true));
    assert.equal(calls, 3);
});

// A key that is already claimed must not fail the other claims in its transaction.
test("a failed condition does not fail the other claims of the transaction", async () => {
    const { table, claims } = await setUp();
    assert.equal(await claimNow(claims[0]!, "x0"), "claimed");
    let transactions = 0;
    table.fault = call => {
        transactions += call === "transact" ? 1 : 0;
        return "none";
    };
    const keys = ["k", "k1", "k2", "k3", "k3"];
    const results = keys.map((idempotencyKey, index) =>
        watch(claims[0]!.claim({ ...KEY, idempotencyKey }, "h", `y${index}`)),
    );
    await advance(100);
    const kinds = results.map(({ value }) => value?.kind);
    assert.deepEqual(kinds.slice(0, 3), ["pending", "claimed", "claimed"]);
    assert.deepEqual(kinds.slice(3).sort(), ["claimed", "pending"]);
    assert.ok(transactions <= 4, `${transactions} transactions`);
});

test("rows are deleted after the retention and not before", async () => {
    const { table, claims } = await setUp(["a"], { retentionMilliseconds: 60_000 });
    assert.equal(await claimNow(claims[0]!, "x1"), "claimed");
    await advance(50_000, 50);
    assert.equal(table.rows.size, 1);
    await advance(60_000, 50);
    assert.equal(table.rows.size, 0);
});

// Random faults of the table service and of peer calls, with pauses and one crash. Checks that no key runs
// twice, that no outcome changes, and that a key that did not run can be claimed again.
test("no key runs twice under random faults", async () => {
    const nodeArbitrary = fc.nat(3);
    const actionArbitrary = fc.oneof(
        {
            weight: 6,
            arbitrary: fc.record({
                kind: fc.constant("claim" as const),
                node: nodeArbitrary,
                key: fc.nat(2),
                /** Milliseconds from the claim to the dispatch, and again from the dispatch to the answer. */
                delay: fc.constantFrom(0, 30, 2000),
                runs: fc.boolean(),
            }),
        },
        {
            weight: 3,
            arbitrary: fc.record({
                kind: fc.constant("table" as const),
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
        { weight: 1, arbitrary: fc.record({ kind: fc.constant("kill" as const), node: nodeArbitrary }) },
        {
            weight: 3,
            arbitrary: fc.record({
                kind: fc.constantFrom("pause" as const, "resume" as const),
                node: nodeArbitrary,
            }),
        },
        {
            weight: 5,
            arbitrary: fc.record({
                kind: fc.constant("wait" as const),
                milliseconds: fc.constantFrom(1, 10, 100, 1000, 5000),
            }),
        },
    );
    const property = fc.asyncProperty(
        fc.array(actionArbitrary, { minLength: 5, maxLength: 40 }),
        fc.integer(),
        async (actions, faultSeed) => {
            useMockTimers();
            const { cluster, table, claims } = await setUp(["a", "a", "b", "b"]);
            const keys = [0, 1, 2].map(index => ({ ...KEY, idempotencyKey: `k${index}` }));
            const runs = new Map<string, number>();
            const problems: string[] = [];
            table.lateMilliseconds = 7000;
            table.onPut = (key, before, after) => {
                const isTakenOver = before?.["state"] === "claimed" && before["attempt"] !== after["attempt"];
                if (before?.["state"] === "recorded" || isTakenOver) {
                    problems.push(`${JSON.stringify(before)} became ${JSON.stringify(after)}`);
                }
            };
            let randomState = faultSeed >>> 0;
            const appliesFault = (): boolean => {
                randomState = (Math.imul(randomState, 1_664_525) + 1_013_904_223) >>> 0;
                return randomState / 2 ** 32 < 0.7;
            };
            const sleep = (milliseconds: number) => new Promise(resolve => setTimeout(resolve, milliseconds));
            const request = async (node: number, key: number, delay: number, isRun: boolean, id: string) => {
                const { kind } = await claims[node]!.claim(keys[key]!, "h", id);
                if (kind !== "claimed") {
                    return;
                }
                await sleep(delay);
                while (cluster.nodes[node]!.paused) {
                    await sleep(50);
                }
                if (cluster.nodes[node]!.killed) {
                    return;
                }
                if (!isRun) {
                    await claims[node]!.abandon(keys[key]!, id);
                    return;
                }
                runs.set(`k${key}`, (runs.get(`k${key}`) ?? 0) + 1);
                await sleep(delay);
                if (!cluster.nodes[node]!.killed) {
                    await claims[node]!.complete(keys[key]!, id, { ...OUTCOME, body: id });
                }
            };
            let attempts = 0;
            for (const action of actions) {
                switch (action.kind) {
                    case "claim": {
                        const { node, key, delay, runs: isRun } = action;
                        void request(node, key, delay, isRun, `x${attempts++}`);
                        break;
                    }
                    case "table":
                        table.fault = () => (appliesFault() ? action.fault : "none");
                        break;
                    case "peers":
                        cluster.fault = () => (appliesFault() ? action.fault : "none");
                        break;
                    case "kill":
                        cluster.nodes[action.node]!.killed ||= !cluster.nodes.some(node => node.killed);
                        break;
                    case "pause":
                    case "resume":
                        cluster.nodes[action.node]!.paused = action.kind === "pause";
                        break;
                    case "wait":
                        await advance(action.milliseconds, action.milliseconds > 100 ? 20 : 1);
                        break;
                }
            }
            table.fault = () => "none";
            cluster.fault = () => "none";
            cluster.nodes.forEach(node => (node.paused = false));
            cluster.nodes
                .filter(node => node.killed)
                .forEach(node => cluster.setState(node.member.id, "dead"));
            await advance(30_000, 20);
            const alive = cluster.nodes.findIndex(node => !node.killed);
            const hasCrash = cluster.nodes.some(node => node.killed);
            for (const [index, key] of keys.entries()) {
                const ran = runs.get(key.idempotencyKey) ?? 0;
                assert.ok(ran <= 1, `${key.idempotencyKey} ran ${ran} times`);
                const kind = await claimNow(claims[alive]!, `end${index}`, "h", key);
                const expected = ran === 1 ? ["recorded", "pending"] : ["claimed", "pending"];
                assert.ok(
                    (hasCrash ? expected : expected.slice(0, 1)).includes(kind),
                    `${kind} after ${ran} runs`,
                );
            }
            assert.deepEqual(problems, []);
            assert.deepEqual(violations.splice(0), []);
        },
    );
    console.log(`claims property: seed ${SEED}`);
    await fc.assert(property, { seed: SEED, numRuns: Number(process.env["RUNS"] ?? 60) });
});
