/**
 * Guards against requests queued behind long prompts, overloaded cold upstreams and requests on a wrong
 * version.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { chooseUpstream, hasColdAllowance } from "../upstream-choice.js";
import { recordSend } from "../upstream-table.js";
import type { RegisteredUpstream } from "../upstream-table.js";
import { createLoadBoard } from "../load-board.js";
import { createSeededRandom } from "../../common/random.js";
import { createContext, createTestUpstream, loadsOf } from "./upstream-fixtures.js";

const [first, second, third] = ["a", "b", "c"].map(id => createTestUpstream(id)) as [
    RegisteredUpstream,
    RegisteredUpstream,
    RegisteredUpstream,
];

function idOf(choice: ReturnType<typeof chooseUpstream>): string | undefined {
    return choice?.upstream.entry.id;
}

test("requests that share a prefix go to the same upstream", () => {
    const choices = [1, 2, 3].map(() =>
        idOf(chooseUpstream([first, second, third], createContext({ affinityKey: "p", sharedTokens: 5000 }))),
    );
    assert.equal(new Set(choices).size, 1);
});

test("a cached prefix does not keep a request behind a long prompt", () => {
    const context = createContext({ affinityKey: "p", sharedTokens: 500 });
    const preferred = idOf(chooseUpstream([first, second], context))!;
    const busy = loadsOf({ [preferred]: { pendingTokens: 50_000, requests: 1 } });
    assert.notEqual(idOf(chooseUpstream([first, second], { ...context, loadOf: busy })), preferred);
});

test("a short queue does not move a request away from its cached prefix", () => {
    const context = createContext({ affinityKey: "p", sharedTokens: 5000 });
    const preferred = idOf(chooseUpstream([first, second], context))!;
    const busy = loadsOf({ [preferred]: { pendingTokens: 1000, requests: 3 } });
    assert.equal(idOf(chooseUpstream([first, second], { ...context, loadOf: busy })), preferred);
});

test("an engine whose memory the request would exceed is not chosen", () => {
    const loadOf = loadsOf({ a: { heldTokens: 90_000 }, b: { pendingTokens: 20_000, requests: 4 } });
    const context = createContext({ loadOf, neededTokens: 12_000, capacityTokens: 100_000 });
    assert.equal(idOf(chooseUpstream([first, second], context)), "b");
});

test("a failing upstream is not chosen while there is another", () => {
    const failing = createTestUpstream("a");
    failing.health.recordFailure(10_000);
    failing.health.recordFailure(10_000);
    assert.equal(idOf(chooseUpstream([failing, second], createContext())), "b");
    assert.equal(idOf(chooseUpstream([failing], createContext())), "a");
});

test("an upstream that two other nodes ejected is not chosen while there is another", () => {
    const ejections = (count: number) => (upstream: RegisteredUpstream) =>
        upstream.entry.id === "a" ? count : 0;
    const loadOf = loadsOf({ b: { requests: 3 } });
    assert.equal(
        idOf(chooseUpstream([first, second], createContext({ loadOf, ejectionsOf: ejections(1) }))),
        "a",
    );
    assert.equal(
        idOf(chooseUpstream([first, second], createContext({ loadOf, ejectionsOf: ejections(2) }))),
        "b",
    );
    assert.equal(idOf(chooseUpstream([first], createContext({ loadOf, ejectionsOf: ejections(2) }))), "a");
});

test("a cold upstream receives no more than its allowed rate", () => {
    const cold = createTestUpstream("a", {}, 20_000);
    const context = createContext({ coldAllowance: () => 2 });
    cold.recentSends.push(9_500, 9_900);
    assert.equal(chooseUpstream([cold], context), undefined);
    assert.equal(idOf(chooseUpstream([cold], { ...context, now: 10_600 })), "a");
});

test("a session runs on another version only when its own has no upstream", () => {
    const newer = createTestUpstream("n", { version: "v2" });
    const context = createContext({
        versionPreference: { matches: version => version === "v2", upstreamShare: 1, allowsOthers: true },
    });
    assert.equal(idOf(chooseUpstream([first, newer], context)), "n");
    assert.equal(idOf(chooseUpstream([first], context)), "a");
});

test("an excluded upstream is not chosen", () => {
    assert.equal(chooseUpstream([first], createContext({ excluded: new Set(["a"]) })), undefined);
});

// Load: 8 nodes, 6 engines, 60 requests per second for 20 s, one prompt in 30 has 50,000 tokens. An engine
// processes 45 tokens per millisecond. A request is late when the queue before it takes more than 1 s.
test("load reports more than halve the requests that wait behind long prompts", () => {
    const random = createSeededRandom(7);
    const engines = ["a", "b", "c", "d", "e", "f"].map(id => createTestUpstream(id));
    const countLateRequests = (sharesReports: boolean): number => {
        const boards = Array.from({ length: 8 }, () => createLoadBoard());
        const backlog = new Map(engines.map(engine => [engine.entry.id, 0]));
        const openRequests: { readonly endsAt: number; readonly end: () => void }[] = [];
        let late = 0;
        for (let now = 0; now < 20_000; now += 1000 / 60) {
            openRequests.filter(request => request.endsAt <= now).forEach(request => request.end());
            openRequests.splice(
                0,
                openRequests.length,
                ...openRequests.filter(request => request.endsAt > now),
            );
            for (const [id, tokens] of backlog) {
                backlog.set(id, Math.max(0, tokens - (45 * 1000) / 60));
            }
            const node = Math.floor(random() * boards.length);
            if (sharesReports) {
                boards.forEach((board, index) => {
                    if (index !== node) {
                        boards[node]!.report(String(index), new Map(board.ownLoads()), [], now);
                    }
                });
            }
            const tokens = random() < 1 / 30 ? 50_000 : 1000;
            const choice = chooseUpstream(
                engines,
                createContext({
                    now,
                    random,
                    loadOf: upstream => boards[node]!.total(upstream.entry.id, now),
                }),
            )!;
            const { id } = choice.upstream.entry;
            const queue = backlog.get(id)!;
            backlog.set(id, queue + tokens);
            late += queue / 45 > 1000 ? 1 : 0;
            const entry = boards[node]!.begin(id, tokens, tokens);
            openRequests.push({ endsAt: now + (queue + tokens) / 45, end: () => entry.end() });
        }
        return late;
    };
    const lateWithoutReports = countLateRequests(false);
    const lateWithReports = countLateRequests(true);
    assert.ok(
        lateWithReports < lateWithoutReports / 2,
        `late requests with reports ${lateWithReports}, without ${lateWithoutReports}`,
    );
});

// A record of sends with a fixed length would discard sends of the last second at high rates.
test("a cold upstream receives no more than its allowed rate at high rates", () => {
    const upstream = createTestUpstream("cold");
    let sent = 0;
    for (let now = 0; now < 500; now++) {
        if (hasColdAllowance(upstream, now, 100)) {
            recordSend(upstream, now);
            sent += 1;
        }
    }
    assert.equal(sent, 100);
    assert.equal(hasColdAllowance(upstream, 1050, 100), true, "the first sends have left the window");
    recordSend(upstream, 3000);
    assert.equal(upstream.recentSends.length, 1);
});

test("the requests of a canary run on as few upstreams as their share fills", () => {
    const upstreams = ["a", "b", "c", "d"].map(id => createTestUpstream(id, { version: "v2" }));
    const chosenWith = (upstreamShare: number): number => {
        const versionPreference = { matches: () => true, upstreamShare, allowsOthers: true };
        const random = createSeededRandom(1);
        const context = createContext({ versionPreference, random });
        const ids = Array.from({ length: 200 }, () => chooseUpstream(upstreams, context)?.upstream.entry.id);
        return new Set(ids).size;
    };
    assert.deepEqual([0.1, 0.25, 0.3, 1].map(chosenWith), [1, 1, 2, 4]);
});

test("a request keeps off the versions that its preference does not allow", () => {
    const upstreams = [createTestUpstream("a", { version: "v2" })];
    const preference = { matches: (version: string) => version === "v1", upstreamShare: 1 };
    const choose = (allowsOthers: boolean) =>
        chooseUpstream(upstreams, createContext({ versionPreference: { ...preference, allowsOthers } }));
    assert.equal(choose(false), undefined);
    assert.equal(choose(true)?.upstream.entry.id, "a");
});

test("a load test stays at its upstream when requests fail there, and leaves it when it rejects them", () => {
    const upstreams = ["a", "b", "c", "d"].map(id => createTestUpstream(id, { version: "v2" }));
    const versionPreference = {
        matches: () => true,
        upstreamShare: 1,
        testedUpstreams: 1,
        allowsOthers: true,
    };
    const choose = () => chooseUpstream(upstreams, createContext({ versionPreference }));
    const first = choose()!;
    assert.equal(first.isTest, true);
    first.upstream.health.recordFailure(9_990);
    first.upstream.health.recordFailure(9_990);
    assert.equal(choose()?.upstream, first.upstream);
    first.upstream.health.recordRejection(9_990);
    assert.notEqual(choose()?.upstream, first.upstream);
});
