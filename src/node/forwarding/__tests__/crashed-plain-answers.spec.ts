/** Guards against plain answers without a length that are passed on as whole although their upstream crashed (MIXED). */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { TestContext } from "node:test";
import type { ProbeResult } from "../../handover/reachability.js";
import { createForwarderFixture } from "./forwarder-fixture.js";
import type { ForwarderFixture, RespondToAttempt } from "./forwarder-fixture.js";

const SMALL = "x".repeat(1000);
/** More than what the router holds back. */
const LARGE = "x".repeat(100 * 1024);

/** Ends an answer without a length with its connection. */
const answerOf =
    (body: string): RespondToAttempt =>
    (socket, _attempt, head) =>
        void socket.write(`${head}\r\n${body}`, () => socket.end());

function createFixture(
    context: TestContext,
    probed: ProbeResult,
    canRetry = true,
): Promise<ForwarderFixture> {
    return createForwarderFixture(context, {
        probe: () => Promise.resolve(probed),
        retryBudget: {
            recordRequest: () => undefined,
            tryConsume: () => canRetry,
            remainingShare: () => 1,
        },
    });
}

for (const kind of ["once", "idempotent"] as const) {
    test(`the beginning of a long answer whose upstream crashed does not look whole, ${kind}`, async context => {
        const { send } = await createFixture(context, "refused");
        const answer = await send({ kind }, answerOf(LARGE));
        assert.equal(answer.body.length, LARGE.length);
        assert.equal(answer.end, "broken");
    });

    test(`a short answer whose upstream crashed is not passed on, ${kind}`, async context => {
        const { send } = await createFixture(context, "refused", false);
        const answer = await send({ kind }, answerOf(SMALL));
        assert.equal(answer.status, 502);
    });

    for (const body of [SMALL, LARGE]) {
        test(`an answer of ${body.length} bytes without a length is passed on, ${kind}`, async context => {
            const { send } = await createFixture(context, "connected");
            const answer = await send({ kind }, answerOf(body));
            assert.deepEqual([answer.status, answer.body === body, answer.end], [200, true, "framed"]);
        });
    }
}

test("an idempotent request whose upstream crashed within a short answer is sent to another one", async context => {
    const { send } = await createFixture(context, "refused");
    const answer = await send({ kind: "idempotent" }, (socket, attempt, head) => {
        if (attempt === 0) {
            socket.write(`${head}\r\n${SMALL}`, () => socket.end());
        }
        else {
            socket.write(`${head}content-length: 5\r\n\r\nwhole`);
        }
    });
    assert.deepEqual([answer.body, answer.end], ["whole", "framed"]);
});
