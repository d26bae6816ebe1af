/** Guards against requests that run twice, or run although they were rejected, where capacity is scarce. */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { systemClock } from "../../common/clock.js";
import { createForwarderFixture } from "../../forwarding/__tests__/forwarder-fixture.js";
import type { RequestForwarderOptions } from "../../forwarding/request-forwarder.js";
import { createScarcity } from "../scarcity.js";

function withScarcity(defaults: RequestForwarderOptions): Partial<RequestForwarderOptions> {
    return {
        scarcity: createScarcity({
            node: "n1",
            sendsPriorities: true,
            clock: systemClock,
            random: Math.random,
            loads: defaults.loads,
            upstreamsOf: defaults.upstreamsOf,
            nodeCount: () => 1,
            reportAgeMilliseconds: () => undefined,
            onSuspected: () => undefined,
            countDecision: () => undefined,
            observeWait: () => undefined,
        }),
    };
}

const ROUTE = { kind: "once", targetLatencyMilliseconds: 60, timeoutMilliseconds: 300 } as const;

const NOT_RUN = "not-run: 1\r\ncontent-length: 0\r\n\r\n";

/** What an upstream does with an attempt. */
const attempts = fc.array(
    fc.constantFrom(
        "full" as const,
        "full" as const,
        "resets" as const,
        "hangs" as const,
        "answers" as const,
    ),
    { minLength: 1, maxLength: 10 },
);

test("a once request runs at most once and never after a rejection, whatever the upstreams do", async context => {
    const { send } = await createForwarderFixture(context, withScarcity);
    await fc.assert(
        fc.asyncProperty(attempts, async planned => {
            let runs = 0;
            const answer = await send(ROUTE, (socket, attempt, head) => {
                const action = planned[Math.min(attempt, planned.length - 1)]!;
                if (action === "full") {
                    socket.write(`${head.replace("200 x", "503 x")}${NOT_RUN}`);
                    return;
                }
                runs += 1;
                if (action === "resets") {
                    socket.resetAndDestroy();
                }
                else if (action === "answers") {
                    socket.write(`${head}content-length: 2\r\n\r\nok`);
                }
            });
            assert.ok(runs <= 1, `ran ${runs} times`);
            if (answer.status === 503) {
                assert.equal(runs, 0, "rejected although it ran");
            }
            if (answer.outcome === "delivered") {
                assert.equal(answer.body, "ok");
            }
        }),
        { numRuns: 40 },
    );
});

test("a request that all upstreams reject waits at the node and is answered when one has room", async context => {
    const { send } = await createForwarderFixture(context, withScarcity);
    const startedAt = Date.now();
    const answer = await send(
        { ...ROUTE, targetLatencyMilliseconds: 150, timeoutMilliseconds: 1500 },
        (socket, _attempt, head) => {
            const isFull = Date.now() - startedAt < 60;
            socket.write(
                isFull ? `${head.replace("200 x", "503 x")}${NOT_RUN}` : `${head}content-length: 2\r\n\r\nok`,
            );
        },
    );
    assert.equal(answer.outcome, "delivered", JSON.stringify(answer));
});
