/** Tests which attempts of a request count as evidence about the version of their upstream. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { AnswerOutcome } from "../../shifts/shift-evidence.js";
import { createForwarderFixture } from "./forwarder-fixture.js";

const ANSWER = "content-length: 2\r\n\r\nok";

test("retries of a request are no evidence about a version", async context => {
    const outcomes: AnswerOutcome[] = [];
    const { send } = await createForwarderFixture(context, {
        recordEvidence: (_upstream, _group, outcome) => outcomes.push(outcome),
    });
    const { outcome } = await send({}, (socket, attempt, head) => {
        if (attempt === 0) {
            socket.destroy();
        }
        else {
            socket.write(`${head}${ANSWER}`);
        }
    });
    assert.equal(outcome, "delivered");
    assert.deepEqual(outcomes, ["broken-off"]);
});

test("a success whose end is uncertain is no evidence about a version", async context => {
    const outcomes: AnswerOutcome[] = [];
    const { send } = await createForwarderFixture(context, {
        recordEvidence: (_upstream, _group, outcome) => outcomes.push(outcome),
    });
    await send({}, (socket, _attempt, head) => {
        socket.end(`${head}\r\nok`);
    });
    assert.deepEqual(outcomes, []);
});
