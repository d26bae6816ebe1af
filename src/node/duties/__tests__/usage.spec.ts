/** Guards against windows with two contents, and against requests that are lost or counted twice. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { createSeededRandom } from "../../common/random.js";
import type { JsonValue } from "../../common/json.js";
import type { PeerHandler } from "../../peers/peers.js";
import type { WorkspaceCounts } from "../duty-receiver.js";
import { createCountCopies, createRunCounts } from "../run-counts.js";
import { createUsageCollection } from "../usage-collection.js";
import type { CountedNode, UsageCollection } from "../usage-collection.js";
import { medianOf, planUsage, windowAt } from "../usage-windows.js";

const SETTINGS = { windowMilliseconds: 5000, delayMilliseconds: 10_000, toleratedShare: 0.05 };
const START = 1_700_000_000_000;

interface SimulatedHolder {
    epoch: number;
    epochSeenAt: number;
    isFirstEpoch: boolean;
    claims: ReadonlyMap<number, WorkspaceCounts>;
    ownClaims: Map<number, WorkspaceCounts>;
    settled: Set<number>;
}

interface Reports {
    readonly contents: ReadonlyMap<number, ReadonlySet<string>>;
    readonly firstSentAt: ReadonlyMap<number, number>;
    readonly restores: number;
}

/** Several nodes claim and send, also at the same time, while the store loses answers and is restored. */
function simulateReports(seed: number): Reports {
    const random = createSeededRandom(seed);
    const contents = new Map<number, Set<string>>();
    const firstSentAt = new Map<number, number>();
    let rows = new Map<number, WorkspaceCounts>();
    const copies: { readonly at: number; readonly rows: ReadonlyMap<number, WorkspaceCounts> }[] = [];
    let epoch = 0;
    let restores = 0;
    let counted = 0;
    const createHolder = (now: number): SimulatedHolder => ({
        epoch,
        epochSeenAt: now,
        isFirstEpoch: epoch === 0,
        claims: new Map(rows),
        ownClaims: new Map(),
        settled: new Set(),
    });
    const holders = [createHolder(START), createHolder(START), createHolder(START)];
    const faultShare = random() * 0.02;
    let active = 0;
    for (let now = START; now < START + 120_000; now += 500) {
        copies.push({ at: now, rows: new Map(rows) });
        if (random() < faultShare) {
            epoch += 1;
            restores += 1;
            const before = now - random() * 20_000;
            rows = new Map(copies.findLast(({ at }) => at <= before)?.rows ?? copies[0]!.rows);
        }
        if (random() < faultShare * 2) {
            active = Math.floor(random() * holders.length);
        }
        if (random() < faultShare) {
            holders[Math.floor(random() * holders.length)] = createHolder(now);
        }
        holders.forEach((holder, index) => {
            if (random() < 0.6) {
                if (holder.epoch !== epoch) {
                    Object.assign(holder, { epoch, epochSeenAt: now, isFirstEpoch: false });
                }
                holder.claims = new Map(rows);
            }
            // A former holder may go on for a while.
            if (index !== active && random() > 0.1) {
                return;
            }
            const plan = planUsage(SETTINGS, { ...holder, trueNow: now + (random() - 0.5) * 40 });
            const isLost = random() < 0.1;
            if (plan.toClaim.length > 0) {
                counted += 1;
                const isFree = plan.toClaim.every(window => !rows.has(window));
                if (isFree) {
                    plan.toClaim.forEach(window => rows.set(window, { north: counted }));
                }
                if (isFree && !isLost && holder.epoch === epoch) {
                    plan.toClaim.forEach(window => holder.ownClaims.set(window, { north: counted }));
                }
            }
            if (holder.epoch === epoch) {
                plan.toRemove.forEach(window => rows.delete(window));
            }
            for (const window of plan.toSend) {
                const content = holder.ownClaims.get(window) ?? holder.claims.get(window)!;
                const known = contents.get(window) ?? new Set();
                contents.set(window, known.add(JSON.stringify(content)));
                firstSentAt.set(window, firstSentAt.get(window) ?? now);
                if (random() > 0.1) {
                    holder.settled.add(window);
                }
            }
        });
    }
    return { contents, firstSentAt, restores };
}

test("no window has two contents in 10000 sequences of lost answers, changes of the holder and restores", () => {
    let windows = 0;
    let restores = 0;
    for (let seed = 1; seed <= 10_000; seed += 1) {
        const result = simulateReports(seed);
        for (const [window, contents] of result.contents) {
            assert.equal(contents.size, 1, `seed ${seed}, window ${window}: ${[...contents].join(" and ")}`);
        }
        windows += result.contents.size;
        restores += result.restores;
    }
    assert.ok(windows > 150_000, `${windows} windows`);
    assert.ok(restores > 10_000, `${restores} restores`);
});

test("without faults every window is reported in time", () => {
    const holder = {
        epochSeenAt: START,
        isFirstEpoch: true,
        ownClaims: new Map(),
        settled: new Set<number>(),
    };
    const end = START + 5000;
    const planAt = (trueNow: number) => planUsage(SETTINGS, { ...holder, trueNow, claims: new Map() });
    const window = windowAt(START, SETTINGS);
    assert.ok(!planAt(end + 1000).toClaim.includes(window));
    assert.ok(planAt(end + 2000).toClaim.includes(window));
});

// Its row is removed by then, so nothing else would prevent a second content.
test("a true time that goes back lets no old window be claimed again", () => {
    const newest = windowAt(START, SETTINGS);
    const view = {
        epochSeenAt: START,
        isFirstEpoch: true,
        claims: new Map([[newest, {}]]),
        ownClaims: new Map(),
        settled: new Set<number>(),
    };
    const { toClaim } = planUsage(SETTINGS, { ...view, trueNow: START - 100_000 });
    assert.deepEqual(toClaim, []);
});

test("a clock that jumped does not move the true time", () => {
    assert.equal(medianOf([100, 101, 99, 5100, 98]), 100);
    assert.equal(medianOf([]), undefined);
});

interface CountingNode {
    readonly self: CountedNode;
    readonly collection: UsageCollection;
    readonly record: (count: number) => void;
    isAlive: boolean;
}

/** Nodes whose peer calls are function calls; each has a monotonic clock of its own. */
function createNodes(
    count: number,
    time: { now: number },
    estimateError: () => number = () => 0,
): readonly CountingNode[] {
    const handlers = new Map<string, Map<string, PeerHandler>>();
    const nodes: CountingNode[] = [];
    for (let index = 0; index < count; index += 1) {
        const id = `n${index}`;
        const own = new Map<string, PeerHandler>();
        handlers.set(id, own);
        const clockOffset = 1000 * index;
        const counts = createRunCounts();
        const clock = { now: () => time.now - clockOffset, wallTime: () => time.now + START };
        const collection = createUsageCollection({
            node: id,
            process: `${id}-process`,
            nodes: () => nodes.map(({ self }) => self),
            leftNodes: () => [],
            isActive: () => true,
            wasHeard: () => false,
            counts,
            clock,
            clockOffset: () => clockOffset + estimateError(),
            peers: {
                handle: (method, handler) => void own.set(method, handler),
                call: async (address, method, params) => {
                    const target = nodes.find(({ self }) => self.peerAddress === address)!;
                    if (!target.isAlive) {
                        throw new Error("no answer");
                    }
                    const text = JSON.stringify(await handlers.get(target.self.id)!.get(method)!(params));
                    return JSON.parse(text) as JsonValue;
                },
            },
        });
        const record = (runs: number): void => {
            for (let run = 0; run < runs; run += 1) {
                counts.record("north", clock.now());
            }
        };
        nodes.push({ self: { id, peerAddress: id }, collection, record, isAlive: true });
    }
    return nodes;
}

for (const count of [3, 150]) {
    test(`the runs at ${count} nodes are counted once, also those of killed nodes`, async () => {
        const time = { now: 1_000_000 };
        const nodes = createNodes(count, time);
        for (let second = 0; second < 5; second += 1) {
            nodes.forEach((node, index) => node.record((index % 4) + second));
            time.now += 1000;
            for (const node of nodes) {
                await node.collection.handOver();
            }
        }
        const expected = nodes.reduce((sum, _node, index) => sum + 5 * (index % 4) + 10, 0);
        const killed = [1, Math.floor(count / 2)];
        killed.forEach(index => (nodes[index]!.isAlive = false));
        const { counts, missing } = await nodes[0]!.collection.collect([
            { from: 1_000_000, to: time.now },
            { from: time.now, to: time.now + 5000 },
        ]);
        assert.deepEqual(counts, [{ north: expected }, {}]);
        assert.deepEqual([...missing].sort(), [...new Set(killed)].map(index => `n${index}`).sort());
    });
}

// The estimate of the store's clock changes with every answer of the store, by more beside load.
test("adjacent windows count each run once while the estimate of the store's clock changes", async () => {
    const random = createSeededRandom(1);
    const time = { now: 1_000_000 };
    const errorOf = (): number => (random() - 0.5) * 100;
    const nodes = createNodes(3, time, errorOf);
    let counted = 0;
    let recorded = 0;
    const collectWindow = async (window: number): Promise<void> => {
        const estimate = window * 1000 + errorOf();
        const { counts } = await nodes[0]!.collection.collect([
            { window, from: estimate, to: estimate + 1000 },
        ]);
        counted += counts[0]!["north"] ?? 0;
    };
    for (let second = 1000; second < 1040; second += 1) {
        for (let step = 0; step < 100; step += 1) {
            // No run is near the start of the first window or the end of the last one.
            const running = nodes.filter(({ isAlive }) => isAlive && second > 1000);
            running.forEach(node => node.record(1));
            recorded += running.length;
            time.now += 10;
        }
        for (const node of nodes) {
            await node.collection.handOver();
        }
        if (second >= 1001) {
            await collectWindow(second - 1);
        }
        if (second === 1020) {
            await nodes[2]!.collection.handOver();
            nodes[2]!.isAlive = false;
        }
    }
    time.now += 2000;
    await collectWindow(1039);
    await collectWindow(1040);
    assert.equal(counted, recorded);
});

test("adjacent windows count each run once", () => {
    const counts = createRunCounts();
    [1000, 1029.9, 1030, 1999, 2000].forEach(at => counts.record("north", at));
    assert.deepEqual(counts.within({ from: 0, to: 1030 }), { north: 2 });
    assert.deepEqual(counts.within({ from: 1030, to: 2000 }), { north: 2 });
});

// The answer of a hand-over may be lost, and it is then repeated.
test("a repeated hand-over counts no run twice", () => {
    const copies = createCountCopies();
    const copy = { origin: "n1", process: "p1", offset: 500, from: 0 };
    copies.record({ ...copy, times: { north: [10, 20] } }, 1000);
    copies.record({ ...copy, times: { north: [10, 20, 30], south: [30] } }, 1000);
    copies.record({ ...copy, from: 30, times: { north: [30, 40], south: [30] } }, 1000);
    const within = copies.within("n1", { from: 0, to: 1000 }).get("p1");
    assert.deepEqual(within, { north: 4, south: 1 });
});
