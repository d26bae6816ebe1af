/** Guards against nodes whose rejections together crash an upstream. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { pauseAfterRejection } from "../rejection-pause.js";
import type { Rejection } from "../rejection-pause.js";

const REJECTION: Rejection = {
    status: 503,
    retryAfterSeconds: undefined,
    maximumRejectionsPerSecond: undefined,
};

test("a rejection that names neither a time nor a bound causes no pause", () => {
    assert.equal(pauseAfterRejection(REJECTION, 9), 0);
});

test("the time that an upstream names is kept, unless another status carries it", () => {
    assert.equal(pauseAfterRejection({ ...REJECTION, retryAfterSeconds: 2.5 }, 9), 2.5);
    assert.equal(pauseAfterRejection({ ...REJECTION, status: 429, retryAfterSeconds: 2.5 }, 9), 0);
});

for (const nodeCount of [1, 9, 660]) {
    for (const maximum of [0, 0.5, 3, 40]) {
        test(`${nodeCount} nodes that are rejected cause no more than ${maximum} rejections a second`, () => {
            const pause = pauseAfterRejection(
                { ...REJECTION, maximumRejectionsPerSecond: maximum },
                nodeCount,
            );
            assert.ok(nodeCount / pause <= Math.max(1, maximum));
        });
    }
}
