import assert from "node:assert/strict";
import { test } from "node:test";
import { createWaitEstimate } from "../wait-estimate.js";

test("the expected wait follows the start rate of the queue, and is 0 for an empty or unknown queue", () => {
    const estimate = createWaitEstimate();
    for (let now = 0; now <= 10_000; now += 100) {
        estimate.recordStart("q", now);
    }
    const wait = estimate.expectedWait("q", 50, 10_000);
    assert.ok(wait > 4000 && wait < 6000, String(wait));
    assert.equal(estimate.expectedWait("q", 0, 10_000), 0);
    assert.equal(estimate.expectedWait("unknown", 50, 10_000), 0);
});

// Guards against an estimate above every deadline that rejects all requests, so that no new answer can lower
// it.
test("a high expected answer time decays when no answers arrive", () => {
    const estimate = createWaitEstimate();
    estimate.recordAnswerTime("t", 10_000, 0);
    assert.ok(estimate.expectedAnswerTime("t", 0) >= 10_000);
    assert.ok(estimate.expectedAnswerTime("t", 30_000) < 100);
});
