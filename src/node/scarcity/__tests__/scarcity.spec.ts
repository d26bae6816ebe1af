/** Guards against requests that wait or are rejected although they need not, over simulated time. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { TestContext } from "node:test";
import type { Route, Service, Workspace } from "../../routes/entities.js";
import { createRoute } from "../../routes/__tests__/route-table.spec.js";
import { createLoadBoard } from "../../upstream-table/load-board.js";
import type { LoadBoard } from "../../upstream-table/load-board.js";
import { chooseUpstream } from "../../upstream-table/upstream-choice.js";
import type { RegisteredUpstream } from "../../upstream-table/upstream-table.js";
import { createContext, createTestUpstream } from "../../upstream-table/__tests__/upstream-fixtures.js";
import { createScarcity } from "../scarcity.js";
import type { AdmissionOutcome, Choose, ScarceExchange, Scarcity } from "../scarcity.js";

const ENGINES: Service = {
    name: "engines",
    coldRequestsPerSecond: 0,
    engineTokens: 100_000,
    slots: 4,
    modelCosts: new Map(),
};

const DESK: Service = { ...ENGINES, name: "desk", engineTokens: undefined, slots: undefined };

interface OpenOptions {
    readonly service?: Service;
    readonly route?: Partial<Route>;
    readonly workspace?: Workspace;
    readonly callerLeft?: AbortSignal;
    /** @default 10000 */
    readonly timeoutMilliseconds?: number;
}

interface Admission {
    /** `undefined` while the request waits. */
    outcome(): AdmissionOutcome | undefined;
}

interface Fixture {
    readonly scarcity: Scarcity;
    readonly loads: LoadBoard;
    readonly upstreams: readonly RegisteredUpstream[];
    readonly suspected: readonly string[];
    open(options?: OpenOptions): { readonly exchange: ScarceExchange; readonly choose: Choose };
    /** Begins the admission of a request; its outcome is there once it is decided. */
    admit(options?: OpenOptions): Admission;
    /** Advances the time in steps, so that what a timer causes is done before the next one. */
    pass(milliseconds: number): Promise<void>;
}

const STEP_MILLISECONDS = 5;

function createFixture(context: TestContext, upstreamCount = 1, nodeCount = 1): Fixture {
    context.mock.timers.enable({ apis: ["setTimeout", "setInterval", "Date"], now: 1_000_000 });
    const clock = { now: () => Date.now(), wallTime: () => Date.now() };
    const loads = createLoadBoard();
    const upstreams = Array.from({ length: upstreamCount }, (_, index) =>
        createTestUpstream(`e${index}`, { slots: 4 }),
    );
    const suspected: string[] = [];
    const scarcity = createScarcity({
        node: "n1",
        sendsPriorities: true,
        clock,
        random: () => 0.5,
        loads,
        upstreamsOf: () => upstreams,
        nodeCount: () => nodeCount,
        reportAgeMilliseconds: () => undefined,
        onSuspected: ({ entry }) => suspected.push(entry.id),
        countDecision: () => undefined,
        observeWait: () => undefined,
    });
    const open: Fixture["open"] = (options = {}) => {
        const exchange = scarcity.open(
            {
                route: createRoute({ targetLatencyMilliseconds: 1000, ...options.route }),
                service: options.service ?? ENGINES,
                workspace: options.workspace,
                arrivedAt: clock.now(),
                body: Buffer.alloc(10),
                trace: { add: () => undefined, end: () => undefined },
                callerLeft: options.callerLeft ?? new AbortController().signal,
            },
            { promptTokens: 100, neededTokens: 200 },
            clock.now() + (options.timeoutMilliseconds ?? 10_000),
        );
        const choose: Choose = accepts =>
            chooseUpstream(
                upstreams,
                exchange.restrict(
                    createContext({
                        now: clock.now(),
                        loadOf: ({ entry }) => loads.total(entry.id, clock.now()),
                    }),
                    accepts,
                ),
            );
        return { exchange, choose };
    };
    return {
        scarcity,
        loads,
        upstreams,
        suspected,
        open,
        admit: options => {
            let decided: AdmissionOutcome | undefined;
            const { exchange, choose } = open(options);
            void exchange
                .admit(choose, () => undefined)
                .then(outcome => {
                    decided = outcome;
                    if (outcome.kind === "admitted") {
                        loads.begin("e0", 0, 0);
                    }
                });
            return { outcome: () => decided };
        },
        pass: async milliseconds => {
            for (let passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
                context.mock.timers.tick(STEP_MILLISECONDS);
                await new Promise(setImmediate);
            }
        },
    };
}

/** Fills the slots of an upstream with requests of this node. */
function fill({ loads }: Fixture, upstream: string, count: number) {
    return Array.from({ length: count }, () => loads.begin(upstream, 0, 0));
}

test("a request waits while all engines are full and begins when a slot is free", async context => {
    const fixture = createFixture(context);
    const [first, second] = fill(fixture, "e0", 5);
    const admission = fixture.admit();
    await fixture.pass(200);
    assert.equal(admission.outcome(), undefined);
    assert.equal(fixture.scarcity.waitingRequests(), 1);
    first!.end();
    await fixture.pass(50);
    assert.equal(admission.outcome(), undefined, "the slots are taken");
    second!.end();
    await fixture.pass(50);
    assert.deepEqual(admission.outcome(), { kind: "admitted", hasWaited: true });
});

test("an own request that ends leaves its slot to the next one, although more than the slots are taken", async context => {
    const fixture = createFixture(context);
    const { exchange, choose } = fixture.open();
    const attempt = exchange.begin(choose()!.upstream);
    const [own] = fill(fixture, "e0", 5);
    const admission = fixture.admit();
    await fixture.pass(100);
    assert.equal(admission.outcome(), undefined);
    own!.end();
    attempt.end({ kind: "delivered", status: 200 });
    await fixture.pass(50);
    assert.deepEqual(admission.outcome(), { kind: "admitted", hasWaited: true });
});

test("the most urgent request begins first", async context => {
    const fixture = createFixture(context);
    const requests = fill(fixture, "e0", 5);
    const workspace = { name: "north", keys: [], priority: 0 };
    const later = fixture.admit({ route: { priority: 2 } });
    const urgent = fixture.admit({ route: { priority: 1 }, workspace });
    const mostUrgent = fixture.admit({ route: { priority: 0 } });
    const admissions = [mostUrgent, urgent, later];
    requests.slice(0, 2).forEach(request => request.end());
    for (const begun of [1, 2, 3]) {
        await fixture.pass(50);
        assert.deepEqual(
            admissions.map(({ outcome }) => outcome() !== undefined),
            admissions.map((_, index) => index < begun),
        );
        requests[begun + 1]!.end();
    }
});

test("a request that gets no slot is rejected when it would begin too late, with a time to return", async context => {
    const fixture = createFixture(context);
    fill(fixture, "e0", 5);
    const admission = fixture.admit({ timeoutMilliseconds: 1500 });
    await fixture.pass(900);
    assert.equal(admission.outcome(), undefined);
    await fixture.pass(300);
    const outcome = admission.outcome();
    assert.ok(outcome?.kind === "rejected" && outcome.retryAfterSeconds > 0);
    assert.equal(fixture.scarcity.waitingRequests(), 0);
});

test("a caller that leaves ends the wait of its request", async context => {
    const fixture = createFixture(context);
    fill(fixture, "e0", 5);
    const caller = new AbortController();
    const admission = fixture.admit({ callerLeft: caller.signal });
    await fixture.pass(50);
    caller.abort();
    await fixture.pass(5);
    assert.equal(admission.outcome()?.kind, "admitted");
    assert.equal(fixture.scarcity.waitingRequests(), 0);
});

test("many nodes that see the same free slot do not all use it", async context => {
    const fixture = createFixture(context, 1, 100);
    const [first, second] = fill(fixture, "e0", 5);
    const admission = fixture.admit();
    first!.end();
    second!.end();
    // The random value of 0.5 is above the share of one slot for a hundred nodes.
    await fixture.pass(200);
    assert.equal(admission.outcome(), undefined);
});

test("without reports of other nodes, a node goes by its own requests", async context => {
    const fixture = createFixture(context);
    const load = { pendingTokens: 0, requests: 9, heldTokens: 0 };
    fixture.loads.report("n2", new Map([["e0", load]]), [], Date.now());
    const admission = fixture.admit();
    await fixture.pass(1000);
    assert.equal(admission.outcome(), undefined);
    await fixture.pass(700);
    assert.equal(admission.outcome()?.kind, "admitted");
});

test("a hung upstream is avoided before its first request has ended, and again used after an answer", async context => {
    const fixture = createFixture(context, 2);
    const once = { service: DESK, route: { kind: "once", targetLatencyMilliseconds: 149 } } as const;
    const { exchange } = fixture.open(once);
    const hung = exchange.begin(fixture.upstreams[0]!);
    await fixture.pass(220);
    assert.deepEqual(fixture.suspected, []);
    await fixture.pass(10);
    assert.deepEqual(fixture.suspected, ["e0"]);
    assert.deepEqual(fixture.scarcity.suspects(), ["e0"]);
    fill(fixture, "e1", 5);
    const next = fixture.open(once);
    assert.equal(next.exchange.choose(next.choose)!.upstream.entry.id, "e1");
    hung.recordHead();
    assert.deepEqual(fixture.scarcity.suspects(), []);
    assert.equal(next.exchange.choose(next.choose)!.upstream.entry.id, "e0");
});

test("an upstream that answers others counts as slow, not as hung", async context => {
    const fixture = createFixture(context, 2);
    const route = { targetLatencyMilliseconds: 149 };
    const { exchange } = fixture.open({ service: DESK, route });
    exchange.begin(fixture.upstreams[0]!);
    await fixture.pass(150);
    exchange.begin(fixture.upstreams[0]!).recordHead();
    await fixture.pass(200);
    assert.deepEqual(fixture.suspected, []);
});

test("a node that was held up itself takes no upstream for hung", async context => {
    const fixture = createFixture(context, 2);
    const route = { targetLatencyMilliseconds: 149 };
    const { exchange } = fixture.open({ service: DESK, route });
    const attempt = exchange.begin(fixture.upstreams[0]!);
    context.mock.timers.setTime(Date.now() + 300);
    await fixture.pass(20);
    attempt.end({ kind: "not-run", reason: "no connection in time", isUnreached: true });
    assert.deepEqual(fixture.suspected, []);
});

test("a node to which most upstreams look hung takes none from the others", async context => {
    const fixture = createFixture(context, 3);
    const route = { targetLatencyMilliseconds: 149 };
    const { exchange } = fixture.open({ service: DESK, route });
    exchange.begin(fixture.upstreams[0]!);
    exchange.begin(fixture.upstreams[1]!);
    await fixture.pass(300);
    assert.equal(fixture.suspected.length, 2);
    assert.deepEqual(fixture.scarcity.suspects(), []);
});

test("after a rejection by a full upstream the others are used, and after those of all the request waits", async context => {
    const fixture = createFixture(context, 2);
    const { exchange, choose } = fixture.open({ service: DESK });
    const reject = (upstream: RegisteredUpstream): void =>
        exchange.begin(upstream).end({ kind: "not-run", reason: "full", status: 503 });
    fill(fixture, "e0", 6);
    fill(fixture, "e1", 10);
    reject(fixture.upstreams[0]!);
    assert.equal(exchange.choose(choose)!.upstream.entry.id, "e1");
    reject(fixture.upstreams[1]!);
    const admission = fixture.admit({ service: DESK });
    await fixture.pass(100);
    assert.equal(admission.outcome(), undefined);
    await fixture.pass(100);
    assert.deepEqual(admission.outcome(), { kind: "admitted", hasWaited: true });
});

test("a slot is left to a more urgent request that waits at another node, until that no longer reports", async context => {
    const fixture = createFixture(context);
    fill(fixture, "e0", 3);
    fixture.scarcity.mergeWaiting([["n2", "engines", 0, 0, 1]], Date.now());
    const urgent = fixture.admit({ route: { priority: 0 } });
    await fixture.pass(5);
    assert.equal(urgent.outcome()?.kind, "admitted", "equally urgent");
    const later = fixture.admit({ route: { priority: 2 } });
    await fixture.pass(500);
    assert.equal(later.outcome(), undefined);
    assert.deepEqual(fixture.scarcity.reportWaiting(Date.now()), [["n1", "engines", 2, 2, 1]]);
    fixture.scarcity.mergeWaiting([["n2", "engines", 0, 0, 0]], Date.now());
    fixture.loads.begin("e0", 0, 0);
    await fixture.pass(100);
    assert.equal(later.outcome(), undefined, "the slots are taken");
    assert.equal(fixture.scarcity.waitingRequests(), 1);
});

test("an engine that was not reached does not count as free while the others are full", async context => {
    const fixture = createFixture(context, 2);
    fill(fixture, "e0", 5);
    fixture.upstreams[1]!.health.recordUnreached(Date.now(), false);
    const admission = fixture.admit();
    await fixture.pass(900);
    assert.equal(admission.outcome(), undefined);
    await fixture.pass(200);
    assert.equal(admission.outcome()?.kind, "admitted");
});
