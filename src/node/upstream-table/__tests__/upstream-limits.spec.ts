/** Guards against upstreams in need that get more requests from all nodes together than the limit they name. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { createSeededRandom } from "../../common/random.js";
import { createActiveNodes } from "../active-nodes.js";
import { chooseUpstream } from "../upstream-choice.js";
import { createUpstreamLimits } from "../upstream-limits.js";
import type { UpstreamLimits } from "../upstream-limits.js";
import { createContext, createTestUpstream } from "./upstream-fixtures.js";

const PROCESS = "e1@1";
const STEP_MILLISECONDS = 10;
const REPORT_INTERVAL_MILLISECONDS = 100;
const PEERS_PER_REPORT = 16;
const ANSWER_MILLISECONDS = 100;
const SETTLING_MILLISECONDS = 3000;
const WINDOW_MILLISECONDS = 4000;

/** Requests that the rule allows in any window. */
function allowedInWindow(limitPerSecond: number): number {
    return (1.5 * limitPerSecond * WINDOW_MILLISECONDS) / 1000 + 5;
}

interface SimulatedNode {
    limits: UpstreamLimits;
    readonly heard: Map<string, number>;
    isRunning: boolean;
    /** No report reaches the node or leaves it; its requests still reach the upstream. */
    isCut: boolean;
}

interface Simulation {
    readonly nodes: readonly SimulatedNode[];
    /** Times at which requests reached the upstream, by nodes that are not cut off. */
    readonly arrivals: readonly number[];
    readonly now: number;
    limitPerSecond: number | undefined;
    run(milliseconds: number): void;
    restart(index: number): void;
}

/** Nodes that get requests for one upstream and report to peers, with a share of lost reports. */
function createSimulation(count: number, requestsPerSecond: number, limit: number): Simulation {
    const random = createSeededRandom(count);
    const ids = Array.from({ length: count }, (_, index) => `n${index}`);
    const arrivals: number[] = [];
    const answers: { readonly at: number; readonly run: () => void }[] = [];
    let now = 0;
    let limitPerSecond: number | undefined = limit;

    const createNode = (index: number): SimulatedNode => {
        const heard = new Map<string, number>();
        const limits = createUpstreamLimits({
            node: ids[index]!,
            nodes: () => ids,
            ...createActiveNodes({ node: ids[index]!, nodes: () => ids, heardAt: id => heard.get(id) }),
        });
        return { limits, heard, isRunning: true, isCut: false };
    };
    const nodes = ids.map((_, index) => createNode(index));

    const send = (node: SimulatedNode): void => {
        if (!node.isRunning || !node.limits.hasRoom(PROCESS, now)) {
            return;
        }
        node.limits.consume(PROCESS, now);
        const sentAt = now;
        if (!node.isCut) {
            arrivals.push(now);
        }
        answers.push({
            at: now + ANSWER_MILLISECONDS,
            run: () => node.limits.record(PROCESS, limitPerSecond, sentAt, now),
        });
    };

    const report = (): void => {
        const round = now / REPORT_INTERVAL_MILLISECONDS;
        nodes.forEach((node, index) => {
            if (!node.isRunning || node.isCut) {
                return;
            }
            const wire = node.limits.report(now);
            const peers = Math.min(PEERS_PER_REPORT, count - 1);
            for (let offset = 0; offset < peers; offset += 1) {
                const peer = nodes[(index + 1 + ((round * peers + offset) % (count - 1))) % count]!;
                if (!peer.isCut && peer.isRunning && random() > 0.03) {
                    peer.heard.set(ids[index]!, now);
                    peer.limits.merge(wire ?? [], now);
                }
            }
        });
    };

    return {
        nodes,
        arrivals,
        get now() {
            return now;
        },
        get limitPerSecond() {
            return limitPerSecond;
        },
        set limitPerSecond(next) {
            limitPerSecond = next;
        },
        run: milliseconds => {
            const end = now + milliseconds;
            for (; now < end; now += STEP_MILLISECONDS) {
                const expected = (requestsPerSecond * STEP_MILLISECONDS) / 1000;
                for (let sent = random() * 2 * expected; sent >= random(); sent -= 1) {
                    send(nodes[Math.floor(random() * count)]!);
                }
                while (answers[0] !== undefined && answers[0].at <= now) {
                    answers.shift()!.run();
                }
                if (now % REPORT_INTERVAL_MILLISECONDS === 0) {
                    report();
                }
            }
        },
        restart: index => {
            nodes[index] = createNode(index);
        },
    };
}

/** Limits of a node without others. */
function createLoneLimits(): UpstreamLimits {
    const ids = ["n"];
    return createUpstreamLimits({ node: "n", nodes: () => ids, isActive: () => true });
}

function mostInWindow(arrivals: readonly number[], from: number): number {
    return arrivals.reduce(
        (most, start) =>
            start < from
                ? most
                : Math.max(
                      most,
                      arrivals.filter(at => at >= start && at < start + WINDOW_MILLISECONDS).length,
                  ),
        0,
    );
}

function assertKept({ arrivals }: Simulation, limitPerSecond: number): void {
    const most = mostInWindow(arrivals, SETTLING_MILLISECONDS);
    assert.ok(most <= allowedInWindow(limitPerSecond), `${most} requests in a window`);
}

/** Requests that a node could send to the upstream or to another one, per second. */
const NODE_REQUESTS_PER_SECOND = 6;

for (const nodes of [9, 77, 660]) {
    for (const limit of [0.3, 2.8, 12]) {
        test(`${nodes} nodes keep to a limit of ${limit} a second, and use it`, () => {
            const simulation = createSimulation(nodes, nodes * NODE_REQUESTS_PER_SECOND, limit);
            simulation.run(20_000);
            assertKept(simulation, limit);
            const used = simulation.arrivals.filter(at => at >= SETTLING_MILLISECONDS).length;
            const usable = (limit * (20_000 - SETTLING_MILLISECONDS)) / 1000;
            assert.ok(used >= 0.4 * usable, `${used} of ${usable} requests`);
        });
    }
}

test("the share of a node that ends goes to another node", () => {
    const limit = 3;
    const simulation = createSimulation(9, 60, limit);
    simulation.run(5000);
    for (let index = 0; index < 4; index += 1) {
        simulation.nodes[index]!.isRunning = false;
    }
    simulation.run(5000);
    const before = simulation.arrivals.length;
    simulation.run(10_000);
    assertKept(simulation, limit);
    assert.ok(simulation.arrivals.length - before >= 0.5 * limit * 10);
});

test("nodes that restart one after the other do not add to the limit", () => {
    const limit = 2.8;
    const simulation = createSimulation(9, 60, limit);
    simulation.run(4000);
    for (let index = 0; index < 9; index += 1) {
        simulation.restart(index);
        simulation.run(1500);
    }
    assertKept(simulation, limit + 1);
});

test("a node that is cut off does not take the shares of the others", () => {
    const limit = 2.8;
    const simulation = createSimulation(9, 60, limit);
    simulation.run(4000);
    const [cut] = simulation.nodes;
    cut!.isCut = true;
    simulation.run(8000);
    cut!.isCut = false;
    simulation.run(5000);
    assertKept(simulation, limit);
});

test("a limit that is raised or dropped is in force at all nodes within a second", () => {
    const simulation = createSimulation(9, 60, 1);
    simulation.run(5000);
    simulation.limitPerSecond = undefined;
    simulation.run(3000);
    const before = simulation.arrivals.length;
    simulation.run(2000);
    assert.ok(simulation.arrivals.length - before > 80, `${simulation.arrivals.length - before} requests`);
});

test("an answer to a request from before a limit does not release it", () => {
    const limits = createLoneLimits();
    limits.record(PROCESS, 2, 0, 100);
    limits.record(PROCESS, undefined, 50, 150);
    assert.equal(limits.hasRoom(PROCESS, 160), false);
    limits.record(PROCESS, undefined, 120, 200);
    assert.equal(limits.hasRoom(PROCESS, 210), true);
});

test("an older statement of another node does not replace a newer one", () => {
    const limits = createLoneLimits();
    limits.record(PROCESS, 2, 0, 1000);
    limits.merge([[PROCESS, -1, 500]], 1100);
    assert.equal(limits.hasRoom(PROCESS, 1100), false);
    limits.merge([[PROCESS, -1, 10]], 1100);
    assert.equal(limits.hasRoom(PROCESS, 1100), true);
});

test("a restarted process has no limit until it names one", () => {
    const limits = createLoneLimits();
    limits.record(PROCESS, 0.1, 0, 0);
    assert.equal(limits.hasRoom(PROCESS, 10), false);
    assert.equal(limits.hasRoom("e1@2", 10), true);
});

test("reports stay small with many limited upstreams, and repeat all of them in turn", () => {
    const limits = createLoneLimits();
    for (let index = 0; index < 500; index += 1) {
        limits.record(`i-${index}abcdef@1700000000000`, 2.5, 0, 0);
    }
    const repeated = new Set<string>();
    for (let now = 5000; now < 20_000; now += 1000) {
        const report = limits.report(now) ?? [];
        assert.ok(JSON.stringify(report).length < 4096);
        report.forEach(([process]) => repeated.add(process));
    }
    assert.equal(repeated.size, 500);
});

test("a request goes to another upstream when a limit has no room", () => {
    const [first, second] = [createTestUpstream("a"), createTestUpstream("b")];
    const context = createContext({ affinityKey: "p", hasRoom: ({ entry }) => entry.id !== "a" });
    assert.equal(chooseUpstream([first, second], context)?.upstream.entry.id, "b");
    assert.equal(chooseUpstream([first], context), undefined);
});
