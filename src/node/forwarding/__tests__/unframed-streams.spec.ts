/** Guards against whole streams without framing that are cut because nothing confirms their end. */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { createFramingHistory, expectsConfirmation } from "../framing-history.js";
import { createForwarderFixture, NO_QUARANTINE } from "./forwarder-fixture.js";
import type { RespondToAttempt } from "./forwarder-fixture.js";
import { assertHonest, EVENTS, plannedAttempt, streamOf, WHOLE } from "./planned-attempts.js";
import type { PlannedAttempt } from "./planned-attempts.js";

const WHOLE_UNFRAMED: PlannedAttempt = { framing: "none", ending: "whole", bytes: 0 };
const TRUNCATED: PlannedAttempt = { framing: "none", ending: "close", bytes: 15 };
const WITHIN_EVENT: PlannedAttempt = { framing: "none", ending: "close", bytes: 8 };
const WHOLE_CHUNKED: PlannedAttempt = { framing: "chunked", ending: "whole", bytes: 0 };
const RESET: PlannedAttempt = { framing: "none", ending: "reset", bytes: 0 };

/** Streams of the service usually come without framing. */
const USUALLY_UNFRAMED = { framing: { record: () => undefined, unframedShare: () => 1 } };

function countAttempts(respond: RespondToAttempt): {
    readonly respond: RespondToAttempt;
    readonly attempts: () => number;
} {
    let attempts = 0;
    return {
        respond: (socket, attempt, head, lastEventId) => {
            attempts += 1;
            return respond(socket, attempt, head, lastEventId);
        },
        attempts: () => attempts,
    };
}

test("whole streams without framing at every upstream are not cut", async context => {
    const { send } = await createForwarderFixture(context, { framing: createFramingHistory() });
    for (let count = 0; count < 40; count += 1) {
        const answer = await send({}, streamOf([WHOLE_UNFRAMED]));
        assert.deepEqual([answer.body, answer.end, answer.outcome], [WHOLE, "framed", "delivered"]);
    }
});

test("an end without framing that a second upstream agrees with costs no third run", async context => {
    const { send } = await createForwarderFixture(context, USUALLY_UNFRAMED);
    const { respond, attempts } = countAttempts(streamOf([WHOLE_UNFRAMED]));
    await send({}, respond);
    assert.equal(attempts(), 2);
});

for (const [name, confirmation] of [
    ["is reset", RESET],
    ["breaks off before an event", { ...TRUNCATED, bytes: 0 }],
] as const) {
    test(`a whole stream without framing is not cut when the attempt to confirm its end ${name}`, async context => {
        const { send } = await createForwarderFixture(context, USUALLY_UNFRAMED);
        const answer = await send({ maximumAttempts: 2 }, streamOf([WHOLE_UNFRAMED, confirmation]));
        assert.deepEqual([answer.body, answer.end], [WHOLE, "framed"]);
    });
}

test("a stream that goes on at a second upstream does not look complete when that breaks off", async context => {
    const { send } = await createForwarderFixture(context, USUALLY_UNFRAMED);
    const plan = [TRUNCATED, WITHIN_EVENT, RESET];
    const answer = await send({}, streamOf(plan));
    assertHonest(answer, plan);
    assert.deepEqual([answer.body, answer.end], [EVENTS[0], "broken"]);
});

test("a stream without framing that was truncated goes on at another upstream", async context => {
    const { send } = await createForwarderFixture(context, USUALLY_UNFRAMED);
    const answer = await send({}, streamOf([TRUNCATED, WHOLE_UNFRAMED]));
    assert.deepEqual([answer.body, answer.end], [WHOLE, "framed"]);
});

for (const [probed, breaks] of [
    ["refused", 2],
    ["connected", 0],
    ["unreachable", 0],
] as const) {
    test(`the end of a stream at an upstream that is ${probed} afterwards counts as ${breaks} crashes`, async context => {
        let recorded = 0;
        const { send } = await createForwarderFixture(context, {
            ...USUALLY_UNFRAMED,
            probe: () => Promise.resolve(probed),
            quarantine: {
                ...NO_QUARANTINE,
                recordBreak: () => (recorded += 1),
                recordBreakWithinAnswer: () => (recorded += 1),
            },
        });
        const answer = await send({ maximumAttempts: 3 }, streamOf([TRUNCATED, TRUNCATED, WHOLE_CHUNKED]));
        assert.equal(answer.body, WHOLE);
        assert.equal(recorded, breaks);
    });
}

test("an upstream that accepts connections for a moment while it crashes counts as crashed", async context => {
    let endedAt = Infinity;
    let recorded = 0;
    const { send } = await createForwarderFixture(context, {
        ...USUALLY_UNFRAMED,
        probe: () => Promise.resolve(Date.now() - endedAt < 20 ? "connected" : "refused"),
        quarantine: { ...NO_QUARANTINE, recordBreakWithinAnswer: () => (recorded += 1) },
    });
    await send({ maximumAttempts: 2 }, (socket, attempt, head, lastEventId) => {
        endedAt = Date.now();
        return streamOf([TRUNCATED, WHOLE_CHUNKED])(socket, attempt, head, lastEventId);
    });
    assert.equal(recorded, 1);
});

test("streams that usually have no framing reach the caller as complete only when they are", async context => {
    const { send } = await createForwarderFixture(context, USUALLY_UNFRAMED);
    await fc.assert(
        fc.asyncProperty(
            fc.array(plannedAttempt, { minLength: 1, maxLength: 3 }),
            fc.record({ maximumAttempts: fc.integer({ min: 1, max: 3 }), resumable: fc.boolean() }),
            async (plan, route) => assertHonest(await send(route, streamOf(plan)), plan),
        ),
        { numRuns: 300 },
    );
});

test("a confirmation is expected only where few streams lack framing", () => {
    const history = createFramingHistory();
    assert.equal(expectsConfirmation(history.unframedShare("engines"), 2), false);
    for (let count = 0; count < 100; count += 1) {
        history.record("engines", true);
    }
    assert.equal(expectsConfirmation(history.unframedShare("engines"), 2), true);
    assert.equal(expectsConfirmation(history.unframedShare("engines"), 0), false);
    for (let count = 0; count < 12; count += 1) {
        history.record("engines", count % 2 === 0);
    }
    assert.equal(expectsConfirmation(history.unframedShare("engines"), 1), false);
    for (let count = 0; count < 40; count += 1) {
        history.record("engines", false);
    }
    assert.equal(expectsConfirmation(history.unframedShare("engines"), 2), false);
});
