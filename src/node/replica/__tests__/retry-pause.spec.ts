/** Guards against nodes that all call an unavailable store, and against nodes that notice its return late. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { createSeededRandom } from "../../common/random.js";
import { retryPause } from "../retry-pause.js";
import type { RetryOptions } from "../retry-pause.js";

const callsPerSecond = (options: Omit<RetryOptions, "failures">): number => {
    const random = createSeededRandom(3);
    const pauses = Array.from({ length: 100 }, () => retryPause({ ...options, failures: 20 }, random));
    return 100_000 / pauses.reduce((sum, pause) => sum + pause, 0);
};

test("nodes behind relays call an unavailable store at a rate that does not grow with their number", () => {
    for (const nodeCount of [24, 72, 660]) {
        const rate = nodeCount * callsPerSecond({ relayReach: "dataCentre", nodeCount });
        assert.ok(rate < 15, `${rate} calls a second by ${nodeCount} nodes`);
    }
});

test("a node that nobody calls the store for notices its return within a second", () => {
    const pause = retryPause({ failures: 20, relayReach: "none", nodeCount: 660 }, () => 0.999);
    assert.ok(pause <= 1000);
});

test("the pauses of nodes differ", () => {
    const random = createSeededRandom(4);
    const pauses = Array.from({ length: 50 }, () =>
        retryPause({ failures: 5, relayReach: "region", nodeCount: 50 }, random),
    );
    assert.ok(Math.max(...pauses) - Math.min(...pauses) > 0.2 * Math.min(...pauses));
});
