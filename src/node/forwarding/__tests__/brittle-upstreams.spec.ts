/** Guards against requests that wait at upstreams that rejections crash. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { createForwarderFixture } from "./forwarder-fixture.js";

const ANSWER = "content-length: 2\r\n\r\nok";

test("a request waits at its node for a slot of a brittle upstream", async context => {
    let checks = 0;
    const { send } = await createForwarderFixture(context, {
        isBrittle: () => true,
        hasFreeSlot: () => {
            checks += 1;
            return checks > 15;
        },
    });
    const { outcome } = await send({}, (socket, _attempt, head) => {
        socket.write(`${head}${ANSWER}`);
    });
    assert.equal(outcome, "delivered");
});

test("a request without a slot of a brittle upstream is rejected and reaches no upstream", async context => {
    let arrivals = 0;
    const { send } = await createForwarderFixture(context, {
        isBrittle: () => true,
        hasFreeSlot: () => false,
    });
    const startedAt = Date.now();
    const { outcome } = await send({ targetLatencyMilliseconds: 200 }, () => {
        arrivals += 1;
    });
    assert.equal(outcome, "refused");
    assert.equal(arrivals, 0);
    assert.ok(Date.now() - startedAt < 1000, "not held until its deadline");
});
