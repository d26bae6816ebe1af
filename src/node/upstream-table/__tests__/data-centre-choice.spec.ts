/**
 * Guards against requests that leave their data centre without a reason, that wait there at a loaded or unfit
 * upstream, and against prefixes that are read again in each data centre although leaving is cheaper.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { crossingBytes, DEFAULT_PRICES, delayWithPrice } from "../leaving-cost.js";
import { chooseUpstream } from "../upstream-choice.js";
import type { Choice, ChoiceContext } from "../upstream-choice.js";
import type { DataCentreView } from "../data-centre-choice.js";
import type { RegisteredUpstream } from "../upstream-table.js";
import { createContext, createTestUpstream, loadsOf } from "./upstream-fixtures.js";

const OWN = "patio";

const engines = ["a", "b", "c", "d", "e", "f"].map((id, index) =>
    createTestUpstream(id, { dataCentre: index < 3 ? OWN : "lavado" }),
);
const [plainOwn, plainOther] = [
    createTestUpstream("p", { slots: 6 }),
    createTestUpstream("q", { slots: 6, dataCentre: "lavado" }),
] as [RegisteredUpstream, RegisteredUpstream];

function viewOf(overrides: Partial<DataCentreView> = {}): DataCentreView {
    return {
        own: OWN,
        targetLatencyMilliseconds: 2000,
        crossingBytes: crossingBytes(12_000, 100),
        prices: DEFAULT_PRICES,
        prefix: { ownRequests: 20, allRequests: 80, upstreams: 1 },
        spreadMilliseconds: 0,
        mayLeave: ({ ownDelay, otherDelay }) => otherDelay < ownDelay,
        ...overrides,
    };
}

function choose(
    upstreams: readonly RegisteredUpstream[],
    view: Partial<DataCentreView>,
    context: Partial<ChoiceContext> = {},
): Choice {
    return chooseUpstream(upstreams, createContext({ dataCentres: viewOf(view), ...context }))!;
}

/** A key whose first upstream in all data centres is in another one. */
const foreignKey = Array.from({ length: 100 }, (_, index) => `prefix ${index}`).find(
    key =>
        chooseUpstream(engines, createContext({ affinityKey: key, sharedTokens: 5000 }))!.upstream.entry
            .dataCentre !== OWN,
)!;

test("a request stays while its data centre has room", () => {
    const loadOf = loadsOf({ a: { requests: 8 }, b: { requests: 9 }, c: { requests: 10 } });
    const { upstream, placement } = choose(engines, {}, { loadOf });
    assert.equal(upstream.entry.id, "a");
    assert.deepEqual([placement?.left, placement?.reason], [false, "own"]);
});

test("a request leaves when the delay that it saves is worth the bytes", () => {
    const loaded = { pendingTokens: 30_000, requests: 20 };
    const loadOf = loadsOf({ a: loaded, b: loaded, c: loaded });
    assert.equal(choose(engines, {}, { loadOf }).placement?.reason, "load");
    // 4 MB cost as much as five answers in time.
    const stays = choose(engines, { crossingBytes: 4_000_000 }, { loadOf });
    assert.equal(stays.placement?.left, false);
    assert.equal(choose(engines, { mayLeave: () => false }, { loadOf }).placement?.reason, "share");
});

test("a shorter target latency lets a request leave for a smaller saving", () => {
    const price = (target: number) => delayWithPrice(0, 30_000, target, DEFAULT_PRICES);
    assert.ok(price(149) < 25 && price(2000) > 200, `prices ${price(149)} and ${price(2000)}`);
    const saving = (delay: number) => delayWithPrice(delay, 30_000, 2000, DEFAULT_PRICES) - delay;
    assert.ok(saving(1000) < saving(200) && saving(200) < saving(0), "the price falls as the delay grows");
});

test("a long prefix with few repetitions is read in one data centre only", () => {
    const context = { affinityKey: foreignKey, sharedTokens: 5000 };
    const rare = choose(engines, { prefix: { ownRequests: 0.5, allRequests: 8, upstreams: 1 } }, context);
    assert.equal(rare.placement?.reason, "prefix");
    const frequent = choose(
        engines,
        { prefix: { ownRequests: 30, allRequests: 120, upstreams: 1 } },
        context,
    );
    assert.equal(frequent.placement?.left, false);
});

test("a short prefix does not make a request leave", () => {
    const prefix = { ownRequests: 0.5, allRequests: 8, upstreams: 1 };
    const choice = choose(engines, { prefix }, { affinityKey: foreignKey, sharedTokens: 300 });
    assert.equal(choice.placement?.left, false);
});

test("a frequent prefix is looked for at one own upstream, and a hot one at several", () => {
    const chosenWith = (upstreams: number): number => {
        const ids = new Set<string>();
        const loads = new Map<string, number>();
        for (let index = 0; index < 30; index++) {
            const loadOf = loadsOf(
                Object.fromEntries(
                    [...loads].map(([id, requests]) => [id, { requests, pendingTokens: 200 * requests }]),
                ),
            );
            const prefix = { ownRequests: 200, allRequests: 800, upstreams };
            const { id } = choose(
                engines,
                { prefix, mayLeave: () => false },
                { affinityKey: foreignKey, sharedTokens: 5000, loadOf },
            ).upstream.entry;
            loads.set(id, (loads.get(id) ?? 0) + 1);
            ids.add(id);
        }
        return ids.size;
    };
    // 30 requests wait less long at one upstream than another needs for the prefix.
    assert.deepEqual([chosenWith(1), chosenWith(2), chosenWith(3)], [1, 2, 3]);
});

test("a plain service leaves an upstream that is busy, ejected or cold", () => {
    const view = { targetLatencyMilliseconds: 149, crossingBytes: crossingBytes(500, 0) };
    const upstreams = [plainOwn, plainOther];
    assert.equal(choose(upstreams, view).placement?.left, false);
    const busy = loadsOf({ p: { requests: 4 } });
    assert.equal(choose(upstreams, view, { loadOf: busy }).placement?.reason, "load");
    const ejected = createTestUpstream("p");
    ejected.health.recordFailure(9_990);
    ejected.health.recordFailure(9_990);
    assert.equal(choose([ejected, plainOther], view).placement?.reason, "none");
    const cold = createTestUpstream("p", {}, 20_000);
    const coldChoice = choose([cold, plainOther], { ...view, mayLeave: () => false });
    assert.equal(coldChoice.placement?.reason, "none");
});

test("a request leaves at once when no own upstream is left or an attempt has failed", () => {
    const mayLeave = () => false;
    const others = engines.slice(3);
    assert.equal(choose(others, { mayLeave }).placement?.reason, "none");
    const loaded = { pendingTokens: 60_000, requests: 20 };
    const loadOf = loadsOf({ b: loaded, c: loaded });
    const retried = choose(engines, { mayLeave }, { loadOf, excluded: new Set(["a"]) });
    assert.equal(retried.placement?.reason, "retry");
});

test("while a shift compares two versions, the requests of both are placed by load alone", () => {
    const versionPreference = { matches: () => true, upstreamShare: 0.5, allowsOthers: true };
    const tested = { ...versionPreference, upstreamShare: 1, testedUpstreams: 1 };
    const old = { ...versionPreference, upstreamShare: 1 };
    for (const preference of [versionPreference, tested, old]) {
        assert.equal(choose(engines, {}, { versionPreference: preference }).placement, undefined);
    }
});
