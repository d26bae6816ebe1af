/** Guards against engines that order requests against the operators' priorities. */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { compareUrgency, enginePriorityOf, urgencyOf } from "../urgency.js";

const priority = fc.integer({ min: 0, max: 12 });
const urgency = fc
    .tuple(fc.option(priority, { nil: undefined }), priority)
    .map(([workspace, route]) => urgencyOf(workspace, route));

test("a workspace's priority goes before the route's", () => {
    assert.ok(compareUrgency(urgencyOf(0, 2), urgencyOf(1, 0)) < 0);
    assert.ok(enginePriorityOf(urgencyOf(0, 2)) < enginePriorityOf(urgencyOf(1, 0)));
});

test("without a priority of the workspace, the routes' priorities stay distinct at engines", () => {
    const priorities = [0, 1, 2].map(route => enginePriorityOf(urgencyOf(undefined, route)));
    assert.deepEqual(priorities, [0, 4, 8]);
});

test("engine priorities are whole numbers from 0 to 9 in the order of urgency", () => {
    fc.assert(
        fc.property(urgency, urgency, (first, second) => {
            const priorities = [enginePriorityOf(first), enginePriorityOf(second)] as const;
            for (const value of priorities) {
                assert.ok(Number.isInteger(value) && value >= 0 && value <= 9);
            }
            if (compareUrgency(first, second) < 0) {
                assert.ok(priorities[0] <= priorities[1]);
            }
        }),
    );
});
