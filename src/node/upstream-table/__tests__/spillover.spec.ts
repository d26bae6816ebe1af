/** Guards against nodes with the same view that all leave their data centre at once, and all come back at once. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { createSeededRandom } from "../../common/random.js";
import { createPrefixUses } from "../prefix-uses.js";
import { createSpillover, leavingShare, nextSum } from "../spillover.js";

const TARGET = 2000;

// Load: 40 nodes whose own upstreams take 300 requests per second, and another data centre the rest. All nodes
// see the queue as it was 0.5 s ago.
function playOverload(
    requestsPerSecond: number,
    mayLeaveOf: (node: number) => ReturnType<typeof createSpillover>["mayLeave"],
) {
    const random = createSeededRandom(3);
    const nodes = Array.from({ length: 40 }, (_, node) => mayLeaveOf(node));
    const queues: number[] = [];
    const left: number[] = [];
    const arrivals = requestsPerSecond / 10;
    let queue = 0;
    for (let now = 0; now < 60_000; now += 100) {
        const ownDelay = ((queues.at(-5) ?? 0) / 300) * 1000;
        const demand = { ownDelay, otherDelay: 200, targetLatencyMilliseconds: TARGET };
        let leaving = 0;
        for (let index = 0; index < arrivals; index++) {
            leaving += nodes[Math.floor(random() * nodes.length)]!("engines", demand, now) ? 1 : 0;
        }
        queue = Math.max(0, queue + arrivals - leaving - 30);
        queues.push(queue);
        left.push(leaving / arrivals);
    }
    // The first 20 s are the approach.
    return { queues: queues.slice(200), left: left.slice(200) };
}

function averageOf(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** Standard deviation. */
function deviationOf(values: readonly number[]): number {
    const average = averageOf(values);
    return Math.sqrt(averageOf(values.map(value => (value - average) ** 2)));
}

test("nodes with the same old view send the excess away without oscillation", () => {
    for (const [requestsPerSecond, excess] of [
        [320, 0.0625],
        [400, 0.25],
        [600, 0.5],
    ] as const) {
        const gradual = playOverload(
            requestsPerSecond,
            node => createSpillover(createSeededRandom(node + 1)).mayLeave,
        );
        const immediate = playOverload(
            requestsPerSecond,
            () => (_key, demand) => demand.otherDelay < demand.ownDelay,
        );
        const average = averageOf(gradual.left);
        assert.ok(Math.abs(average - excess) < 0.03, `${excess} should leave, ${average} do`);
        const deviations = [deviationOf(gradual.queues), deviationOf(immediate.queues)] as const;
        assert.ok(
            deviations[0] < deviations[1] / 3,
            `the queue deviates by ${deviations[0]}, without a gradual share by ${deviations[1]}`,
        );
        assert.equal(Math.max(...immediate.left), 1);
        assert.ok(Math.max(...gradual.left) < excess + 0.35, `up to ${Math.max(...gradual.left)} left`);
    }
});

test("the share is proportional to the excess, and a lasting excess raises it", () => {
    const demand = (ownDelay: number, targetLatencyMilliseconds: number) => ({
        ownDelay,
        otherDelay: 0,
        targetLatencyMilliseconds,
    });
    assert.equal(leavingShare(0, demand(250, 2000)), 0.25);
    assert.equal(leavingShare(0, demand(1500, 2000)), 1);
    assert.ok(leavingShare(0, demand(50, 149)) > 0.6);
    assert.ok(nextSum(0, demand(250, 2000), 1000) > 0.05);
    assert.equal(nextSum(0.5, demand(0, 2000), 1000), 0.5);
    assert.equal(leavingShare(0, demand(0, 2000)), 0);
});

test("the share falls again when the own data centre has room", () => {
    const spillover = createSpillover(() => 0);
    const demand = { ownDelay: 2000, otherDelay: 0, targetLatencyMilliseconds: TARGET };
    for (let now = 0; now < 5000; now += 100) {
        spillover.mayLeave("engines", demand, now);
    }
    assert.equal(spillover.share("engines"), 1);
    const room = { ...demand, ownDelay: 0, otherDelay: 1000 };
    for (let now = 5000; now < 9000; now += 100) {
        assert.equal(spillover.mayLeave("engines", room, now), false);
    }
    spillover.mayLeave("engines", { ...demand, ownDelay: 100 }, 9000);
    assert.ok(spillover.share("engines") < 0.15, `share ${spillover.share("engines")}`);
    assert.equal(spillover.share("other"), 0);
});

test("uses of a prefix count half after the half-life, and no more in flight than were sent", () => {
    const uses = createPrefixUses();
    const ends = Array.from({ length: 8 }, () => uses.begin("p", 0));
    assert.equal(uses.use("p", 0).recentRequests, 8);
    assert.equal(uses.use("p", 30_000).recentRequests, 4);
    ends.forEach(end => end());
    for (let count = 0; count < 40; count++) {
        uses.begin("p", 1000)();
    }
    assert.ok(uses.use("p", 1000).requestsInFlight < 1.1);
    assert.ok(uses.use("unseen", 0).recentRequests < 0.1);
});
