/** Guards against isolated nodes that do not know it, and against nodes that hand over requests without need. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { INITIAL_ISOLATION, isIsolated, recordFailure, recordRound, shouldProbe } from "../isolation.js";
import { chooseHelper, createPeerStates } from "../helpers.js";
import type { HelperCandidate } from "../helpers.js";

const NOW = 100_000;

test("failed attempts at one upstream start no probes", () => {
    const once = recordFailure(INITIAL_ISOLATION, "a:1", NOW);
    const twice = recordFailure(once, "a:1", NOW + 100);
    assert.equal(shouldProbe(twice, NOW + 100), false);
});

test("failed attempts at two upstreams start probes, old ones do not", () => {
    const state = recordFailure(recordFailure(INITIAL_ISOLATION, "a:1", NOW), "b:1", NOW + 100);
    assert.equal(shouldProbe(state, NOW + 100), true);
    assert.equal(shouldProbe(state, NOW + 5000), false);
});

test("a node is isolated only after two rounds of probes without a success", () => {
    const first = recordRound(INITIAL_ISOLATION, false, NOW);
    assert.equal(isIsolated(first), false);
    assert.equal(isIsolated(recordRound(first, false, NOW + 500)), true);
    assert.equal(isIsolated(recordRound(first, true, NOW + 500)), false);
});

test("an isolated node goes on probing without failed attempts, and one success ends the isolation", () => {
    const isolated = recordRound(recordRound(INITIAL_ISOLATION, false, NOW), false, NOW + 500);
    assert.equal(shouldProbe(isolated, NOW + 10_000), true);
    assert.equal(isIsolated(recordRound(isolated, true, NOW + 10_500)), false);
});

test("probes that succeed are not repeated for a while under further failures", () => {
    const relieved = recordRound(INITIAL_ISOLATION, true, NOW);
    const failing = recordFailure(recordFailure(relieved, "a:1", NOW + 10), "b:1", NOW + 20);
    assert.equal(shouldProbe(failing, NOW + 100), false);
    assert.equal(shouldProbe(failing, NOW + 2000), true);
});

const SELF: HelperCandidate = { id: "n1", dataCentre: "patio", region: "west", handoverAddress: "h:1" };
const node = (id: string, fields: Partial<HelperCandidate> = {}): HelperCandidate => ({
    ...SELF,
    id,
    ...fields,
});
const choose = (
    nodes: readonly HelperCandidate[],
    states = createPeerStates(),
    excluded: readonly string[] = [],
): string | undefined => chooseHelper(SELF, nodes, states, new Set(excluded), () => 0, NOW)?.id;

test("a request is not handed to the node itself, to another region or to a node of an older version", () => {
    assert.equal(choose([SELF]), undefined);
    assert.equal(choose([node("n2", { region: "east" })]), undefined);
    assert.equal(choose([node("n2", { handoverAddress: undefined })]), undefined);
    assert.equal(choose([node("n2")]), "n2");
});

test("a request is not handed to a node that is isolated, or that was tried before", () => {
    const states = createPeerStates();
    states.record("n2", true, NOW - 100);
    assert.equal(choose([node("n2")], states), undefined);
    assert.equal(choose([node("n2"), node("n3")], states), "n3");
    assert.equal(choose([node("n3")], states, ["n3"]), undefined);
});

test("nodes that were heard lately are preferred, others are used when none was", () => {
    const states = createPeerStates();
    states.record("n2", false, NOW - 5000);
    assert.equal(choose([node("n2"), node("n3")], states), "n2");
    states.record("n3", false, NOW - 100);
    assert.equal(choose([node("n2"), node("n3")], states), "n3");
});
