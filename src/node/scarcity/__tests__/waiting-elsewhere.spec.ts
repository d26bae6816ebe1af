/** Guards against counts of waiting requests that are lost, doubled or kept when aggregating nodes pass them on. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { urgencyOf } from "../urgency.js";
import { createWaitingElsewhere, createWaitingReports } from "../waiting-elsewhere.js";
import type { WireWaiting } from "../waiting-elsewhere.js";

const LESS_URGENT = urgencyOf(undefined, 2);
const MORE_URGENT = urgencyOf(undefined, 0);

const waitingAt = (node: string, requests: number): WireWaiting => [
    node,
    "engines",
    MORE_URGENT.workspace,
    MORE_URGENT.route,
    requests,
];

test("counts of several nodes add up, each replaced by its next one", () => {
    const elsewhere = createWaitingElsewhere("n0");
    elsewhere.merge([waitingAt("n1", 2), waitingAt("n2", 3)], 0);
    elsewhere.merge([waitingAt("n1", 1)], 10);
    assert.equal(elsewhere.countMoreUrgent("engines", LESS_URGENT, 20), 4);
    assert.equal(elsewhere.countMoreUrgent("engines", MORE_URGENT, 20), 0);
    assert.equal(elsewhere.countMoreUrgent("desk", LESS_URGENT, 20), 0);
});

test("a node's own requests that come back do not count as waiting elsewhere", () => {
    const elsewhere = createWaitingElsewhere("n0");
    elsewhere.merge([waitingAt("n0", 5)], 0);
    assert.equal(elsewhere.countMoreUrgent("engines", LESS_URGENT, 1), 0);
});

test("a count ends with a zero, and without one after a while", () => {
    const elsewhere = createWaitingElsewhere("n0");
    elsewhere.merge([waitingAt("n1", 2), waitingAt("n2", 3)], 0);
    elsewhere.merge([waitingAt("n1", 0)], 10);
    assert.equal(elsewhere.countMoreUrgent("engines", LESS_URGENT, 1000), 3);
    assert.equal(elsewhere.countMoreUrgent("engines", LESS_URGENT, 1600), 0);
});

test("the end of waiting is reported for a while, then nothing", () => {
    const reports = createWaitingReports();
    assert.equal(reports.report([], 0), undefined);
    assert.deepEqual(reports.report([waitingAt("n1", 2)], 100), [waitingAt("n1", 2)]);
    assert.deepEqual(reports.report([], 200), [waitingAt("n1", 0)]);
    assert.deepEqual(reports.report([], 500), [waitingAt("n1", 0)]);
    assert.equal(reports.report([], 600), undefined);
});
