import assert from "node:assert/strict";
import { test } from "node:test";
import { createFairQueues } from "../fair-queues.js";
import type { QueueEntry } from "../fair-queues.js";

function request(
    id: string,
    workspace: string,
    target = "small",
    priority: QueueEntry["priority"] = "interactive",
) {
    return { id, workspace, target, priority };
}

function served(queues: ReturnType<typeof createFairQueues>, capacity: number): readonly string[] {
    const ids: string[] = [];
    queues.serve(id => {
        if (ids.length === capacity) {
            return false;
        }
        ids.push(id);
        return true;
    });
    return ids;
}

// Guards against a long queue of one workspace that delays the only request of another workspace.
test("a long queue of one workspace does not delay another workspace", () => {
    const queues = createFairQueues();
    for (let index = 0; index < 100; index += 1) {
        queues.push(request(`large-${index}`, "large"));
    }
    queues.push(request("small-0", "small"));
    assert.ok(served(queues, 2).includes("small-0"));
    assert.equal(queues.size, 99);
});

test("a queue whose head cannot be placed does not block others", () => {
    const queues = createFairQueues();
    queues.push(request("stuck", "a", "cold-model"));
    queues.push(request("free", "a", "warm-model"));
    const placed: string[] = [];
    queues.serve(id => {
        if (id === "stuck") {
            return false;
        }
        placed.push(id);
        return true;
    });
    assert.deepEqual(placed, ["free"]);
    assert.equal(queues.size, 1);
});

test("a deferred request is not served before an interactive one", () => {
    const queues = createFairQueues();
    queues.push(request("job", "a", "small", "deferred"));
    queues.push(request("question", "b"));
    assert.deepEqual(served(queues, 2), ["question", "job"]);
});
