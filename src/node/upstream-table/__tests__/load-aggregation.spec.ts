/** Guards against loads that count twice, arrive late or get lost when aggregating nodes fail. */
import assert from "node:assert/strict";
import { createSocket } from "node:dgram";
import { test } from "node:test";
import { delay, systemClock } from "../../common/clock.js";
import { createSeededRandom } from "../../common/random.js";
import { createPeerStates } from "../../handover/helpers.js";
import { createLifecycle } from "../../lifecycle/lifecycle.js";
import { silentLogging } from "../../logging/logging.js";
import { createAggregationPlans, planAggregation } from "../aggregation-plan.js";
import type { ReportingNode } from "../aggregation-plan.js";
import { createBrittleServices } from "../brittle-services.js";
import { createLoadBoard } from "../load-board.js";
import type { LoadEntry } from "../load-board.js";
import { createLoadReports } from "../load-reports.js";
import { NO_QUARANTINE, createFleet } from "./load-report-fleet.js";
import type { Fleet, TestNode } from "./load-report-fleet.js";

const requestsAt = (node: TestNode, upstream: string): number =>
    node.board.total(upstream, Date.now()).requests;

/** Nodes of the same data centre in the order in which they aggregate. */
function orderOfDataCentre(fleet: Fleet, dataCentre: string): readonly TestNode[] {
    const entries = fleet.nodes.map(({ entry }) => entry);
    const rankOf = ({ entry }: TestNode): number => planAggregation(entry, entries).rank;
    return fleet.nodes
        .filter(({ entry }) => entry.dataCentre === dataCentre)
        .sort((a, b) => rankOf(a) - rankOf(b));
}

/** Each node begins and ends requests at random upstreams, five a second. */
async function serveRequests(fleet: Fleet, milliseconds: number): Promise<void> {
    const random = createSeededRandom(11);
    const open: { readonly entry: LoadEntry; readonly endsAt: number }[] = [];
    for (let elapsed = 0; elapsed < milliseconds; elapsed += 20) {
        for (const node of fleet.nodes) {
            if (random() < 0.1) {
                const upstream = `upstream-${Math.floor(random() * 46)}`;
                const entry = node.board.begin(upstream, 1000 * random(), 2000 * random());
                open.push({ entry, endsAt: elapsed + 3000 * random() });
            }
        }
        open.filter(({ endsAt }) => endsAt <= elapsed).forEach(({ entry }) => entry.end());
        await fleet.advance(20);
    }
    open.forEach(({ entry }) => entry.end());
}

/** Average time until the other nodes know a new request, milliseconds. */
async function averageAge(fleet: Fleet): Promise<number> {
    const ages: number[] = [];
    for (let round = 0; round < 8; round += 1) {
        const sender = fleet.nodes[(round * 7) % fleet.nodes.length]!;
        const upstream = `probe-${round}`;
        const unaware = new Set(fleet.nodes.filter(node => node !== sender));
        sender.board.begin(upstream, 1, 1);
        for (let elapsed = 0; unaware.size > 0 && elapsed < 3000; elapsed += 5) {
            await fleet.advance(5);
            for (const node of [...unaware]) {
                if (requestsAt(node, upstream) > 0) {
                    ages.push(elapsed + 5);
                    unaware.delete(node);
                }
            }
        }
        assert.equal(unaware.size, 0, "all nodes know the request");
        await fleet.advance(37);
    }
    return ages.reduce((sum, age) => sum + age, 0) / ages.length;
}

for (const size of [24, 72]) {
    test(`${size} nodes exchange far fewer datagrams, and their loads are no older`, async context => {
        const measure = async (aggregates: boolean) => {
            const fleet = await createFleet(context, size, 4, { aggregates: () => aggregates });
            const age = await averageAge(fleet);
            const counts = fleet.nodes.map(node => [
                node.sentDatagrams,
                node.receivedDatagrams,
                node.sentBytes,
            ]);
            await serveRequests(fleet, 4000);
            const rates = fleet.nodes.map((node, index) =>
                [node.sentDatagrams, node.receivedDatagrams, node.sentBytes].map(
                    (value, kind) => (value - counts[index]![kind]!) / 4,
                ),
            );
            const sum = (kind: number): number => rates.reduce((total, rate) => total + rate[kind]!, 0);
            const largestBytes = Math.max(...fleet.nodes.map(node => node.largestBytes));
            const mostSent = Math.max(...rates.map(rate => rate[0]!));
            context.diagnostic(
                `${aggregates ? "aggregated" : "direct"}: per node and second ${Math.round(sum(0) / size)} sent, ` +
                    `${Math.round(sum(1) / size)} received, ${Math.round(sum(2) / size)} bytes sent; at most ` +
                    `${Math.round(mostSent)} sent by a node; age ${Math.round(age)} ms; largest ${largestBytes} bytes`,
            );
            context.mock.timers.reset();
            return { datagrams: sum(0), bytes: sum(2), age, largestBytes };
        };
        const direct = await measure(false);
        const aggregated = await measure(true);
        assert.ok(aggregated.datagrams < 0.35 * direct.datagrams);
        assert.ok(aggregated.bytes < 0.8 * direct.bytes);
        assert.ok(aggregated.age <= direct.age);
        assert.ok(aggregated.largestBytes < 8192);
    });
}

test("up to 17 nodes report to each other directly", async context => {
    const fleet = await createFleet(context, 17, 2);
    assert.ok(fleet.nodes.every(({ reports }) => !reports.isAggregating() && !reports.isFallback()));
    const [node] = fleet.nodes;
    const before = node!.sentDatagrams;
    node!.board.begin("a", 1, 1);
    await fleet.advance(100);
    assert.equal(node!.sentDatagrams - before, 16);
    assert.equal(node!.lastDatagram, '["node-0",[["a",1,1,1]],[]]');
});

test("each request counts once at every node", async context => {
    const fleet = await createFleet(context, 24, 4);
    const entries = fleet.nodes.map(node => node.board.begin("a", 100, 200));
    await fleet.advance(500);
    for (const node of fleet.nodes) {
        assert.deepEqual(node.board.total("a", Date.now()), {
            pendingTokens: 2400,
            requests: 24,
            heldTokens: 4800,
        });
    }
    entries.slice(0, 20).forEach(entry => entry.end());
    await fleet.advance(500);
    assert.deepEqual([...new Set(fleet.nodes.map(node => requestsAt(node, "a")))], [4]);
});

// The parts of a sum are sent in turn, so that it may take more than the time after which others take over.
test("each request counts once when many upstreams take several datagrams", async context => {
    const fleet = await createFleet(context, 24, 4);
    for (let upstream = 0; upstream < 3900; upstream += 1) {
        fleet.nodes[upstream % 24]!.board.begin(`upstream-${upstream}`, 1, 1);
    }
    await fleet.advance(4000);
    for (let round = 0; round < 10; round += 1) {
        await fleet.advance(130);
        for (const node of fleet.nodes) {
            const sum = Array.from({ length: 3900 }, (_, index) => requestsAt(node, `upstream-${index}`));
            assert.equal(
                sum.reduce((total, requests) => total + requests, 0),
                3900,
            );
        }
    }
    assert.equal(fleet.nodes.filter(({ reports }) => reports.isAggregating()).length, 4);
    assert.ok(fleet.nodes.every(({ reports }) => !reports.isFallback()));
    assert.ok(Math.max(...fleet.nodes.map(node => node.largestBytes)) < 8192);
});

for (const failed of [1, 2]) {
    test(`loads arrive within 1 s when ${failed} aggregating nodes of a data centre fail`, async context => {
        const fleet = await createFleet(context, 24, 4);
        const order = orderOfDataCentre(fleet, "dc-0");
        order.slice(0, failed).forEach(node => {
            node.isCutOff = true;
        });
        const live = fleet.nodes.filter(node => !node.isCutOff);
        order[3]!.board.begin("a", 1, 1);
        fleet.nodes.find(({ entry }) => entry.dataCentre === "dc-1")!.board.begin("b", 1, 1);
        await fleet.advance(1000);
        assert.deepEqual([...new Set(live.map(node => requestsAt(node, "a")))], [1]);
        assert.deepEqual([...new Set(live.map(node => requestsAt(node, "b")))], [1]);
        await fleet.advance(5000);
        assert.deepEqual([...new Set(live.map(node => requestsAt(node, "a")))], [1], "later as well");
        order.slice(0, failed).forEach(node => {
            node.isCutOff = false;
        });
        await fleet.advance(3000);
        assert.deepEqual([...new Set(fleet.nodes.map(node => requestsAt(node, "a")))], [1]);
        assert.ok(fleet.nodes.every(({ reports }) => !reports.isFallback()));
    });
}

// It has no reports of the others then, and must not replace the sums of the node that took over.
test("an aggregating node that was cut off does not spread sums that lack reports", async context => {
    const fleet = await createFleet(context, 24, 4);
    fleet.nodes.forEach(node => node.board.begin("a", 1, 1));
    await fleet.advance(1000);
    const [first] = orderOfDataCentre(fleet, "dc-0");
    const others = fleet.nodes.filter(node => node !== first);
    first!.isCutOff = true;
    await fleet.advance(4000);
    first!.isCutOff = false;
    for (let elapsed = 0; elapsed < 3000; elapsed += 15) {
        await fleet.advance(15);
        const counts = others.map(node => requestsAt(node, "a"));
        assert.ok(Math.min(...counts) >= 23 && Math.max(...counts) <= 24, `${counts.join(" ")}: ${elapsed}`);
    }
});

test("a node that is not reached by its aggregating nodes knows the loads, and is known", async context => {
    const fleet = await createFleet(context, 24, 4);
    const order = orderOfDataCentre(fleet, "dc-0");
    const [first, second, , cutOff] = order;
    fleet.loses = (from, to) => to === cutOff && (from === first || from === second);
    fleet.nodes.forEach(node => node.board.begin("a", 1, 1));
    await fleet.advance(1500);
    assert.equal(cutOff!.reports.isFallback(), true);
    for (let round = 0; round < 20; round += 1) {
        await fleet.advance(100);
        assert.deepEqual([...new Set(fleet.nodes.map(node => requestsAt(node, "a")))], [24]);
    }
});

test("the loads of a dead node expire", async context => {
    const fleet = await createFleet(context, 24, 4);
    const dead = orderOfDataCentre(fleet, "dc-0")[4]!;
    dead.board.begin("a", 1, 1);
    await fleet.advance(1000);
    dead.isCutOff = true;
    await fleet.advance(2000);
    const live = fleet.nodes.filter(node => node !== dead);
    assert.deepEqual([...new Set(live.map(node => requestsAt(node, "a")))], [0]);
    assert.ok(live.every(({ states }) => !states.isHeard(dead.entry.id, Date.now())));
});

test("loads are right when a third of the datagrams is lost", async context => {
    const fleet = await createFleet(context, 24, 4);
    const random = createSeededRandom(5);
    fleet.loses = () => random() < 0.33;
    fleet.nodes.forEach(node => node.board.begin("a", 1, 1));
    await fleet.advance(3000);
    const counts = fleet.nodes.map(node => requestsAt(node, "a"));
    assert.ok(Math.max(...counts) <= 26 && Math.min(...counts) >= 20, counts.join(" "));
});

test("every node hears the others, their ejections and whether they are isolated", async context => {
    const fleet = await createFleet(context, 24, 4);
    fleet.nodes.forEach(node => node.board.begin("a", 1, 1));
    const [reporter] = fleet.nodes;
    reporter!.isIsolated = true;
    fleet.nodes.slice(0, 3).forEach(node => node.ejected.add("a"));
    await fleet.advance(900);
    for (const node of fleet.nodes) {
        const others = fleet.nodes.filter(other => other !== node);
        const now = Date.now();
        assert.ok(others.every(other => now - node.board.heardAt(other.entry.id)! < 1500));
        assert.ok(others.every(other => node.states.isHeard(other.entry.id, now)));
        assert.equal(node.board.ejections("a", now), others.filter(other => other.ejected.size > 0).length);
        if (node !== reporter) {
            assert.equal(node.states.isIsolated(reporter!.entry.id, now), true);
        }
    }
});

test("an isolated node is known everywhere within 350 ms", async context => {
    const fleet = await createFleet(context, 72, 4);
    fleet.nodes.forEach(node => node.board.begin("a", 1, 1));
    await fleet.advance(1000);
    const reporter = orderOfDataCentre(fleet, "dc-2")[7]!;
    reporter.isIsolated = true;
    await fleet.advance(350);
    const others = fleet.nodes.filter(node => node !== reporter);
    assert.ok(others.every(({ states }) => states.isIsolated(reporter.entry.id, Date.now())));
});

test("urgent news reaches every node within 100 ms", async context => {
    const fleet = await createFleet(context, 72, 4);
    const reporter = orderOfDataCentre(fleet, "dc-1")[9]!;
    reporter.brittle.record("service", "process", true, Date.now(), Date.now());
    reporter.reports.sendSoon();
    await fleet.advance(100);
    assert.ok(fleet.nodes.every(({ brittle }) => brittle.isBrittle("service", Date.now())));
});

test("nodes of an earlier version are understood, and understand the others", async context => {
    const fleet = await createFleet(context, 30, 3, { aggregates: index => index % 5 !== 0 });
    fleet.nodes.forEach(node => node.board.begin("a", 1, 1));
    // Round-robin reports to 29 peers take two intervals.
    await fleet.advance(800);
    assert.deepEqual([...new Set(fleet.nodes.map(node => requestsAt(node, "a")))], [30]);
});

// Guards the socket itself, which the other tests replace.
test("18 nodes exchange totals over UDP", async context => {
    const free = createSocket("udp4");
    await new Promise<void>(resolve => free.bind(0, "127.0.1.1", resolve));
    const { port } = free.address();
    await new Promise<void>(resolve => free.close(resolve));
    const entries: readonly ReportingNode[] = Array.from({ length: 18 }, (_, index) => ({
        id: `node-${index}`,
        dataCentre: `dc-${index % 2}`,
        address: `127.0.1.${index + 1}`,
        aggregatesLoads: true,
    }));
    const lifecycle = createLifecycle();
    const nodes = entries.map(entry => {
        const board = createLoadBoard();
        const reports = createLoadReports({
            node: entry.id,
            dataCentre: entry.dataCentre,
            address: entry.address,
            port,
            plan: createAggregationPlans(entry, () => entries),
            board,
            ejected: () => [],
            quarantine: NO_QUARANTINE,
            limits: { report: () => undefined, merge: () => undefined },
            brittle: createBrittleServices(),
            isIsolated: () => false,
            peerStates: createPeerStates(),
            clock: systemClock,
            random: createSeededRandom(1),
            lifecycle,
            logger: silentLogging("loads"),
        });
        return { board, reports };
    });
    await lifecycle.start();
    context.after(() => lifecycle.stop());
    nodes.forEach(({ board }) => board.begin("a", 1, 1));
    const isComplete = (): boolean =>
        nodes.every(
            ({ board, reports }) =>
                board.total("a", systemClock.now()).requests === 18 && !reports.isFallback(),
        );
    for (let waited = 0; waited < 10_000 && !isComplete(); waited += 50) {
        await delay(50);
    }
    assert.ok(isComplete());
});

test("a late datagram does not replace a newer one", async context => {
    const fleet = await createFleet(context, 24, 4);
    const board = createLoadBoard();
    const entries = fleet.nodes.map(({ entry }) => entry);
    const receiver = orderOfDataCentre(fleet, "dc-0")[0]!;
    const sender = orderOfDataCentre(fleet, "dc-0")[3]!;
    const port: { receive?: (message: Buffer) => void } = {};
    createLoadReports({
        node: receiver.entry.id,
        dataCentre: "dc-0",
        address: "",
        port: 1,
        plan: createAggregationPlans(receiver.entry, () => entries),
        openPort: () => ({
            bind: () => undefined,
            send: () => undefined,
            onMessage: listener => {
                port.receive = listener;
            },
            onError: () => () => undefined,
            close: () => undefined,
        }),
        board,
        ejected: () => [],
        quarantine: NO_QUARANTINE,
        limits: { report: () => undefined, merge: () => undefined },
        brittle: createBrittleServices(),
        isIsolated: () => false,
        peerStates: createPeerStates(),
        clock: { now: Date.now, wallTime: Date.now },
        random: () => 0,
        lifecycle: createLifecycle(),
        logger: silentLogging("loads"),
    });
    const receive = (requests: number, sequence: number): void =>
        port.receive!(
            Buffer.from(JSON.stringify([sender.entry.id, [["a", 1, requests, 1]], [], { sequence }])),
        );
    receive(2, 11);
    receive(7, 10);
    assert.equal(board.total("a", Date.now()).requests, 2);
});
