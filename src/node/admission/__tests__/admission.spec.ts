import assert from "node:assert/strict";
import { mock, test } from "node:test";
import { EMPTY_SNAPSHOT } from "../../configuration/snapshot.js";
import type { Upstream } from "../../configuration/entities.js";
import { createInvariants } from "../../invariants/invariants.js";
import { createLifecycle } from "../../lifecycle/lifecycle.js";
import type { Member } from "../../membership/membership.js";
import { outcomeOf } from "../evidence.js";
import { createFakeNetwork } from "./fake-network.js";
import { createTable } from "../../tables/table.js";
import { createTicker } from "../../ticker/ticker.js";
import { createAdmission } from "../create-admission.js";
import { createHolder } from "../holder.js";
import type { Holder, HolderAction } from "../holder.js";
import { NO_EVIDENCE, isWarm, observe } from "../evidence.js";
import type { Evidence, ObservationRun } from "../evidence.js";
import { decodeReply, decodeRequest, encodeReply, encodeRequest } from "../messages.js";
import type { NodeRequest } from "../messages.js";
import { createOwner } from "../owner.js";
import type { Owner } from "../owner.js";
import { createOwnership } from "../ownership.js";
import { fairShare } from "../sharing.js";

const quantity = (concurrency: number, memoryTokens: number) => ({ concurrency, memoryTokens });
const invariants = createInvariants({ onViolation: () => undefined, fatal: true });

function createTestOwner(budget = quantity(4, 400), hasMajority = () => true): Owner {
    return createOwner({
        budgets: () => ({ warm: budget, cold: budget }),
        ownedSince: () => 0,
        hasMajority,
        hasEnded: () => false,
        invariants,
        grantMilliseconds: 3000,
        viewLagMilliseconds: 4000,
        silentNodeMilliseconds: 120_000,
        pauseMilliseconds: Infinity,
        startedAt: 0,
    });
}

let sequence = 0;

function requestOf(
    node: string,
    held: number,
    wanted: number,
    tokens: number,
    observations: readonly ObservationRun[],
): NodeRequest {
    sequence += 1;
    const demand = { upstream: "u", isWaiting: wanted > held, observations };
    const amounts = { held: quantity(held, held * tokens), wanted: quantity(wanted, wanted * tokens) };
    return { node, incarnation: 1, sequence, runners: [{ ...demand, ...amounts }] };
}

/** Sends a request of a node that holds `held` and wants `wanted`; returns the granted amount. */
function requestCredits(owner: Owner, node: string, held: number, wanted: number, now: number, tokens = 100) {
    // The upstream is cold, so that the reply omits no grant.
    return owner.handle(requestOf(node, held, wanted, tokens, []), now).grants[0]!.granted;
}

// Guards against a warm state inferred from answers of different boots, or from few, slow or old answers.
test("an upstream is not warm without several fast answers of one boot", () => {
    const run = (outcome: ObservationRun["outcome"], count: number, bootId?: string): ObservationRun => ({
        outcome,
        count,
        ...(bootId === undefined ? {} : { bootId }),
    });
    const after = (before: Evidence, ...runs: ObservationRun[]): Evidence =>
        runs.reduce((evidence, one) => observe(evidence, one, 1000), before);
    const warm = after(NO_EVIDENCE, run("fast", 5, "a"));
    assert.equal(isWarm(NO_EVIDENCE, 1000), false);
    assert.equal(isWarm(warm, 1000), true);
    assert.equal(isWarm(warm, 100_000), false);
    assert.equal(isWarm(after(NO_EVIDENCE, run("fast", 4, "a"), run("fast", 1, "b")), 1000), false);
    assert.equal(isWarm(after(warm, run("slow", 2, "a")), 1000), true);
    assert.equal(isWarm(after(warm, run("slow", 3, "a")), 1000), false);
    assert.equal(isWarm(after(warm, run("error", 2, "a")), 1000), false);
    assert.equal(isWarm(after(warm, run("silent", 1)), 1000), false);
    // Late answers of the previous boot do not make the new one warm.
    assert.equal(isWarm(after(warm, run("fast", 1, "b"), run("fast", 5, "a")), 1000), false);
});

// Guards against nodes that never get a credit for a cold upstream whose budget is below the number of nodes.
test("a budget below the number of nodes starves no node", () => {
    const owner = createTestOwner(quantity(2, 1000));
    const served = new Set<string>();
    const nodes = Array.from({ length: 9 }, (_, index) => `n${index}`);
    const held = new Map<string, number>();
    for (let now = 8000; now < 14_000; now += 200) {
        for (const node of nodes) {
            const { concurrency } = requestCredits(owner, node, held.get(node) ?? 0, 1, now);
            held.set(node, 0);
            if (concurrency > 0) {
                served.add(node);
            }
        }
    }
    assert.equal(served.size, nodes.length);
    const demands = nodes.map(node => ({ node, wanted: 3, remainderGrantedAt: 0 }));
    assert.equal(
        nodes.reduce((sum, node) => sum + fairShare(node, demands, 20).credits, 0),
        20,
    );
});

// Guards against an upstream that runs out of memory although the number of its requests is within the
// budget.
test("credits do not exceed the budget of memory tokens", () => {
    const owner = createTestOwner(quantity(10, 1000));
    assert.deepEqual(requestCredits(owner, "a", 0, 4, 8000, 200), quantity(4, 800));
    assert.deepEqual(requestCredits(owner, "b", 0, 4, 8000, 200), quantity(1, 200));
});

// Guards against granting the same credits twice while grants of the previous owner are valid or requests of
// a silent node run, and against messages that arrive out of order.
test("credits are not granted again while they may be in use", () => {
    const owner = createTestOwner();
    assert.equal(requestCredits(owner, "a", 3, 4, 6000).concurrency, 3, "a new owner extends what is held");
    assert.equal(requestCredits(owner, "b", 0, 4, 6000).concurrency, 0, "but grants nothing new");
    assert.equal(requestCredits(owner, "b", 0, 4, 7500).concurrency, 1);
    assert.equal(
        requestCredits(owner, "b", 1, 4, 60_000).concurrency,
        1,
        "a silent node's credits stay counted",
    );
    owner.reportLoad("u", quantity(2, 200), 61_000);
    assert.equal(
        requestCredits(owner, "b", 1, 4, 62_000).concurrency,
        2,
        "up to the load that the upstream reports",
    );
    const load = { held: quantity(2, 200), ageMilliseconds: 500 };
    const amounts = { held: quantity(2, 200), wanted: quantity(4, 400) };
    const demand = { upstream: "u", ...amounts, isWaiting: true, observations: [], load };
    const node = { node: "b", incarnation: 1, sequence: (sequence += 1), runners: [demand] };
    assert.equal(owner.handle(node, 63_000).grants[0]!.wantsLoad, true, "the owner requests load reports");
    assert.equal(
        requestCredits(owner, "b", 2, 4, 200_000).concurrency,
        4,
        "and expire after the longest request",
    );
    const late = { node: "b", incarnation: 1, sequence: 1, runners: [] };
    assert.throws(() => owner.handle(late, 200_000), /arrived after a newer one/);
});

// Guards against an owner that treats its ownership as uninterrupted although it was briefly not the owner.
test("ownership is not continuous across an interruption", () => {
    const member = (id: string): Member => {
        return { id, incarnation: 1, address: id, dataCentre: "d", region: "r", state: "alive" };
    };
    let active = [member("a")];
    const view = { self: member("a"), members: createTable<Member>(), active: () => active };
    const ownership = createOwnership(view, 7000, 0);
    const location = { dataCentre: "d", region: "r" };
    const name = Array.from({ length: 50 }, (_, index) => `u${index}`).find(candidate => {
        active = [member("a"), member("b")];
        const both = createOwnership(view, 7000, 0);
        return both.owner(candidate, location) === "b";
    })!;
    ownership.refresh(10_000);
    assert.equal(ownership.ownedSince(name, location), undefined);
    active = [member("a")];
    ownership.refresh(12_000);
    assert.equal(ownership.ownedSince(name, location), 12_000);
    assert.equal(ownership.owner(name, { dataCentre: "elsewhere", region: "r" }), "a");
});

// Guards against an encoding that loses or changes amounts.
test("encoding and decoding a message loses nothing", () => {
    const observations = [
        { outcome: "slow", count: 2, bootId: "b" } as const,
        { outcome: "silent", count: 1 } as const,
    ];
    const amounts = { held: quantity(1, 20), wanted: quantity(3, 60) };
    const demand = { upstream: "u", ...amounts, isWaiting: false };
    const demands = [
        { ...demand, observations },
        { ...demand, isWaiting: true, observations: [] },
        { ...demand, observations: [], load: { held: quantity(5, 50), ageMilliseconds: 7 } },
        { ...demand, observations: [] },
    ];
    const request = { node: "n", incarnation: 2, sequence: 3, runners: demands };
    assert.deepEqual(decodeRequest(encodeRequest(request)), request);
    const grant = { upstream: "u", granted: quantity(2, 40), contended: true, warm: false, wantsLoad: true };
    const reply = { validMilliseconds: 3000, grants: [grant], refused: ["v"] };
    assert.deepEqual(decodeReply(encodeReply(reply)), reply);
    assert.throws(() => decodeRequest({ node: "n", runners: [["u", -1]] }));
});

// Guards against a waiting node that is not notified of credits, and against a node that stops as planned
// without returning its credits.
test("a waiting node gets credits, also those of a node that stops", async context => {
    context.mock.timers.enable({ apis: ["setTimeout", "setInterval", "setImmediate", "Date"] });
    const network = createFakeNetwork();
    const member = (id: string): Member => {
        return { id, incarnation: 1, address: id, dataCentre: "d", region: "r", state: "alive" };
    };
    const members = createTable(["a", "b"].map(id => [id, member(id)] as const));
    const upstream = { dataCentre: "d", warm: quantity(1, 100), cold: quantity(1, 100), state: "active" };
    const snapshot = { ...EMPTY_SNAPSHOT, upstream: new Map([["u", upstream as unknown as Upstream]]) };
    const createNode = (id: string) => {
        const lifecycle = createLifecycle();
        const ticker = createTicker({
            now: Date.now,
            lifecycle,
            onError: (_name, error) => assert.fail(String(error)),
        });
        const admission = createAdmission({
            membership: { self: member(id), members, active: () => [...members.values()] },
            peers: network.connect(id),
            configuration: { current: () => snapshot, governing: () => [snapshot], isFresh: () => true },
            ticker,
            lifecycle,
            invariants,
            now: Date.now,
            hasMajority: () => true,
        });
        const onCredit = mock.fn();
        admission.onCredit(onCredit);
        return { lifecycle, admission, onCredit };
    };
    const pass = async (milliseconds: number): Promise<void> => {
        for (let elapsed = 0; elapsed < milliseconds; elapsed += 10) {
            context.mock.timers.tick(10);
            for (let round = 0; round < 20; round += 1) {
                await Promise.resolve();
            }
        }
    };
    const first = createNode("a");
    const second = createNode("b");
    await first.lifecycle.start();
    await second.lifecycle.start();
    await pass(8000);
    assert.equal(first.admission.tryAcquire("u", 50, Date.now()), undefined);
    await pass(100);
    assert.equal(first.onCredit.mock.callCount(), 1);
    const credit = first.admission.tryAcquire("u", 50, Date.now())!;
    assert.equal(second.admission.tryAcquire("u", 50, Date.now()), undefined);
    await pass(500);
    assert.equal(second.onCredit.mock.callCount(), 0, "the only credit is in use");
    first.admission.release(credit, { succeeded: true, bootId: "x", firstTokenMilliseconds: 1 }, Date.now());
    const stopped = first.lifecycle.stop();
    await pass(500);
    await stopped;
    assert.equal(second.onCredit.mock.callCount(), 1);
    const temperature = mock.fn();
    second.admission.onTemperature(temperature);
    for (let answers = 0; answers < 5; answers += 1) {
        const next = second.admission.tryAcquire("u", 50, Date.now())!;
        second.admission.release(
            next,
            { succeeded: true, bootId: "x", firstTokenMilliseconds: 1 },
            Date.now(),
        );
    }
    await pass(2000);
    assert.deepEqual(temperature.mock.calls[0]?.arguments, ["u", true]);
    await second.lifecycle.stop();
});

// Guards against an overload: an engine in a cold start can answer a few requests as fast as a warm one, but
// crash with more.
test("a fast answer of an upstream that reports to be cold does not make it warm", () => {
    const observation = { succeeded: true, bootId: "b", firstTokenMilliseconds: 1 };
    assert.equal(outcomeOf({ ...observation, isCold: true }, 1500), "slow");
    assert.equal(outcomeOf({ ...observation, isCold: false }, 1500), "fast");
});

function createTestHolder(): Holder {
    return createHolder({
        self: { id: "a", incarnation: 1 },
        owner: () => "b",
        ownersVersion: () => 0,
        firstTokenLimitMilliseconds: 1500,
        renewalMilliseconds: 1000,
    });
}

function sent(actions: readonly HolderAction[]): readonly NodeRequest[] {
    return actions.flatMap(action => (action.kind === "send" ? [action.request] : []));
}

/** Makes the holder request credits for the upstream `u` and grants it two. */
function grantTwo(holder: Holder): void {
    assert.equal(holder.tryAcquire("u", 50, 0), undefined);
    const [sentRequest] = sent(holder.step([], 0));
    const grant = {
        upstream: "u",
        granted: quantity(2, 100),
        contended: false,
        warm: false,
        wantsLoad: false,
    };
    const reply = { validMilliseconds: 3000, grants: [grant], refused: [] };
    holder.step([{ kind: "replied", owner: "b", sequence: sentRequest!.sequence, reply }], 10);
}

// Guards against a node that keeps credits after it announced that it left: owners then no longer count them.
test("a node that returned its credits requests none and takes none", () => {
    const holder = createTestHolder();
    grantTwo(holder);
    const credit = holder.tryAcquire("u", 50, 20)!;
    const [returned] = sent(holder.returnCredits(30));
    assert.deepEqual(returned!.runners[0]!.held, quantity(1, 50), "what is in use stays counted");
    assert.deepEqual(returned!.runners[0]!.wanted, quantity(1, 50));
    assert.equal(holder.tryAcquire("u", 50, 40), undefined);
    holder.requestCredit("u", 50, 40);
    holder.release(credit, { succeeded: true, firstTokenMilliseconds: 1 }, 50);
    for (let now = 60; now < 5000; now += 100) {
        for (const { runners } of sent(holder.step([], now))) {
            assert.deepEqual(runners[0]!.held, quantity(0, 0));
            assert.deepEqual(runners[0]!.wanted, quantity(0, 0));
        }
    }
});

// Guards against an owner that considers an upstream warm because of answers from before an unreported
// restart.
test("fast answers are not reported after a long delay", () => {
    const holder = createTestHolder();
    grantTwo(holder);
    const first = holder.tryAcquire("u", 50, 20)!;
    const second = holder.tryAcquire("u", 50, 20)!;
    const [open] = sent(holder.step([], 1200));
    assert.ok(open !== undefined, "a call is open while the answers come");
    holder.release(first, { succeeded: true, firstTokenMilliseconds: 1 }, 1300);
    holder.release(second, { succeeded: false }, 1300);
    const outcomes = sent(holder.step([], 7000))
        .flatMap(({ runners }) => runners)
        .flatMap(({ observations }) => observations)
        .map(({ outcome }) => outcome);
    assert.ok(!outcomes.includes("fast"));
    assert.ok(outcomes.length > 0, "failures are still reported");
});

// Guards against an owner that extends a credit unknown to another owner, which does not wait for its expiry.
test("an owner that lost contact extends nothing until all nodes agree on the owner", () => {
    let hasContact = true;
    const owner = createTestOwner(quantity(4, 400), () => hasContact);
    owner.advance(20_000);
    assert.deepEqual(requestCredits(owner, "a", 0, 1, 20_000), quantity(1, 100));
    hasContact = false;
    owner.advance(25_000);
    hasContact = true;
    assert.deepEqual(requestCredits(owner, "a", 1, 1, 26_000), quantity(0, 0));
    assert.deepEqual(requestCredits(owner, "a", 1, 1, 28_900), quantity(0, 0));
    assert.deepEqual(requestCredits(owner, "a", 1, 1, 29_100), quantity(1, 100), "extends again");
    assert.deepEqual(requestCredits(owner, "a", 1, 2, 31_000), quantity(1, 100), "grants nothing new yet");
});

// Guards against an owner that considers an upstream warm because of answers from before it lost contact.
test("an owner that lost contact does not keep an upstream warm", () => {
    let hasContact = true;
    const owner = createTestOwner(quantity(4, 400), () => hasContact);
    hasContact = false;
    owner.advance(25_000);
    hasContact = true;
    const fast = { outcome: "fast", count: 5, bootId: "x" } as const;
    owner.handle(requestOf("a", 0, 1, 100, [fast]), 26_000);
    assert.equal(owner.isWarm("u", 26_000), false);
    owner.handle(requestOf("a", 0, 1, 100, [fast]), 29_100);
    assert.equal(owner.isWarm("u", 29_100), true);
});
