/**
 * Guards against nodes that together waste or overrun engines: random loads at several nodes, whose load reports
 * are late or lost, over simulated time.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { TestContext } from "node:test";
import fc from "fast-check";
import type { Service } from "../../routes/entities.js";
import { createRoute } from "../../routes/__tests__/route-table.spec.js";
import { createLoadBoard } from "../../upstream-table/load-board.js";
import { chooseUpstream } from "../../upstream-table/upstream-choice.js";
import { createContext, createTestUpstream } from "../../upstream-table/__tests__/upstream-fixtures.js";
import { createScarcity } from "../scarcity.js";
import type { Choose } from "../scarcity.js";

const ENGINES: Service = {
    name: "engines",
    coldRequestsPerSecond: 0,
    engineTokens: 1_000_000,
    slots: undefined,
    modelCosts: new Map(),
};

const STEP_MILLISECONDS = 25;
const REPORT_MILLISECONDS = 100;
/** Time for which a load report counts. */
const REPORT_VALIDITY_MILLISECONDS = 1500;
const TARGET_MILLISECONDS = 500;
const TIMEOUT_MILLISECONDS = 1500;

interface Load {
    readonly nodes: number;
    readonly engines: number;
    readonly slots: number;
    readonly residenceMilliseconds: number;
    /** Of ten reports, those that are lost. */
    readonly lostOfTen: number;
    /** Time, node and priority of each request. */
    readonly requests: readonly (readonly [at: number, node: number, priority: number])[];
}

interface Ended {
    readonly priority: number;
    readonly result: "answered" | "rejected";
    readonly waitedMilliseconds: number;
    /** Highest share of the slots that was occupied within the age of the node's view at a rejection. */
    readonly occupied: number;
    readonly retryAfterSeconds: number;
}

/** An engine that runs as many requests as it has slots, and queues the others by priority. */
function createEngine(slots: number, residenceMilliseconds: number) {
    const queue: { readonly priority: number; readonly run: () => void }[] = [];
    let running = 0;
    let mostQueued = 0;
    const runNext = (): void => {
        while (running < slots && queue.length > 0) {
            const first = queue.reduce((best, entry) => (entry.priority < best.priority ? entry : best));
            queue.splice(queue.indexOf(first), 1);
            running += 1;
            first.run();
        }
    };
    return {
        serve: (priority: number): Promise<void> =>
            new Promise(resolve => {
                const end = (): void => {
                    running -= 1;
                    resolve();
                    runNext();
                };
                queue.push({ priority, run: () => void setTimeout(end, residenceMilliseconds) });
                runNext();
                mostQueued = Math.max(mostQueued, queue.length);
            }),
        running: () => running,
        mostQueued: () => mostQueued,
    };
}

/** Time for which an end at another node may be unknown: a report and two steps, or the validity of reports. */
function viewAgeMilliseconds({ lostOfTen }: Load): number {
    return lostOfTen === 5 ? REPORT_VALIDITY_MILLISECONDS : REPORT_MILLISECONDS + 2 * STEP_MILLISECONDS;
}

async function play(context: TestContext, load: Load) {
    const clock = { now: () => Date.now(), wallTime: () => Date.now() };
    let seed = 1;
    const random = (): number => {
        seed = (seed * 16_807) % 2_147_483_647;
        return seed / 2_147_483_647;
    };
    const engines = Array.from({ length: load.engines }, () =>
        createEngine(load.slots, load.residenceMilliseconds),
    );
    const nodes = Array.from({ length: load.nodes }, (_, index) => {
        const loads = createLoadBoard();
        const upstreams = engines.map((_engine, engine) =>
            createTestUpstream(`${engine}`, { slots: load.slots }),
        );
        const scarcity = createScarcity({
            node: `${index}`,
            sendsPriorities: true,
            clock,
            random,
            loads,
            upstreamsOf: () => upstreams,
            nodeCount: () => load.nodes,
            reportAgeMilliseconds: () => undefined,
            onSuspected: () => undefined,
            countDecision: () => undefined,
            observeWait: () => undefined,
        });
        return { loads, upstreams, scarcity };
    });
    const ended: Ended[] = [];
    const occupiedShares: number[] = [];
    const viewAgeSteps = viewAgeMilliseconds(load) / STEP_MILLISECONDS;
    const occupiedShare = (): number =>
        engines.reduce((sum, engine) => sum + engine.running(), 0) / (load.engines * load.slots);
    const send = async (node: number, priority: number): Promise<void> => {
        const { loads, upstreams, scarcity } = nodes[node]!;
        const arrivedAt = clock.now();
        const exchange = scarcity.open(
            {
                route: createRoute({ targetLatencyMilliseconds: TARGET_MILLISECONDS, priority }),
                service: ENGINES,
                workspace: undefined,
                arrivedAt,
                body: Buffer.alloc(0),
                trace: { add: () => undefined, end: () => undefined },
                callerLeft: new AbortController().signal,
            },
            { promptTokens: 100, neededTokens: 100 },
            arrivedAt + TIMEOUT_MILLISECONDS,
        );
        const choose: Choose = accepts =>
            chooseUpstream(
                upstreams,
                exchange.restrict(
                    createContext({
                        now: clock.now(),
                        random,
                        loadOf: ({ entry }) => loads.total(entry.id, clock.now()),
                    }),
                    accepts,
                ),
            );
        const outcome = await exchange.admit(choose, () => undefined);
        const waitedMilliseconds = clock.now() - arrivedAt;
        if (outcome.kind === "rejected") {
            const occupied = Math.max(occupiedShare(), ...occupiedShares.slice(-viewAgeSteps));
            const { retryAfterSeconds } = outcome;
            ended.push({ priority, result: "rejected", waitedMilliseconds, occupied, retryAfterSeconds });
            return;
        }
        const { upstream } = outcome.choice ?? exchange.choose(choose)!;
        const entry = loads.begin(upstream.entry.id, 0, 100);
        const attempt = exchange.begin(upstream);
        await engines[Number(upstream.entry.id)]!.serve(priority);
        entry.end();
        attempt.recordHead();
        attempt.end({ kind: "delivered", status: 200 });
        ended.push({ priority, result: "answered", waitedMilliseconds, occupied: 1, retryAfterSeconds: 0 });
    };
    const lastAt = Math.max(0, ...load.requests.map(([at]) => at));
    const playedMilliseconds =
        lastAt + TIMEOUT_MILLISECONDS + load.requests.length * load.residenceMilliseconds;
    for (
        let now = 0;
        now <= playedMilliseconds && ended.length < load.requests.length;
        now += STEP_MILLISECONDS
    ) {
        load.requests.filter(([at]) => at === now).forEach(([, node, priority]) => void send(node, priority));
        if (now % REPORT_MILLISECONDS === 0) {
            nodes.forEach(({ loads, scarcity }, from) =>
                nodes.forEach((other, to) => {
                    if (from !== to && random() * 10 >= load.lostOfTen) {
                        other.loads.report(`${from}`, new Map(loads.ownLoads()), [], clock.now());
                        other.scarcity.mergeWaiting(scarcity.reportWaiting(clock.now()) ?? [], clock.now());
                    }
                }),
            );
        }
        await new Promise(setImmediate);
        occupiedShares.push(occupiedShare());
        context.mock.timers.tick(STEP_MILLISECONDS);
        await new Promise(setImmediate);
    }
    return { ended, mostQueued: Math.max(...engines.map(engine => engine.mostQueued())) };
}

const load: fc.Arbitrary<Load> = fc
    .record({
        nodes: fc.integer({ min: 1, max: 6 }),
        engines: fc.integer({ min: 1, max: 3 }),
        slots: fc.integer({ min: 1, max: 8 }),
        residenceMilliseconds: fc.constantFrom(100, 300, 800),
        lostOfTen: fc.constantFrom(0, 0, 5, 10),
    })
    .chain(deployment =>
        fc
            .array(fc.tuple(fc.nat(40), fc.nat(deployment.nodes - 1), fc.nat(2)), { maxLength: 80 })
            .map(requests => ({
                ...deployment,
                requests: requests.map(
                    ([step, node, priority]) => [step * STEP_MILLISECONDS, node, priority] as const,
                ),
            })),
    );

function enableTimers(context: TestContext): void {
    context.mock.timers.enable({ apis: ["setTimeout", "setInterval", "Date"], now: 1_000_000 });
}

test("every request ends, none waits past its time, and none is rejected while half of the slots are free", async context => {
    enableTimers(context);
    await fc.assert(
        fc.asyncProperty(load, async played => {
            const { ended } = await play(context, played);
            assert.equal(ended.length, played.requests.length, "a request did not end");
            for (const request of ended) {
                assert.ok(request.waitedMilliseconds < TIMEOUT_MILLISECONDS);
                assert.ok(request.occupied >= 0.5, JSON.stringify(request));
                assert.ok(request.result === "answered" || request.retryAfterSeconds > 0);
            }
        }),
        { numRuns: 60 },
    );
});

test("in a burst of three times the capacity, urgent requests are answered and engines queue few", async context => {
    enableTimers(context);
    const requests = Array.from(
        { length: 240 },
        (_, index) =>
            [Math.floor(index / 4) * STEP_MILLISECONDS, index % 6, index % 4 === 0 ? 0 : 2] as const,
    );
    const { ended, mostQueued } = await play(context, {
        nodes: 6,
        engines: 2,
        slots: 16,
        residenceMilliseconds: 600,
        lostOfTen: 0,
        requests,
    });
    const urgent = ended.filter(({ priority }) => priority === 0);
    const answered = urgent.filter(({ result }) => result === "answered");
    context.diagnostic(
        `${answered.length} of ${urgent.length} urgent requests answered, ${mostQueued} queued`,
    );
    assert.ok(answered.length >= 0.95 * urgent.length, `${answered.length} of ${urgent.length}`);
    assert.ok(mostQueued <= 16, `${mostQueued} queued at one engine`);
});
