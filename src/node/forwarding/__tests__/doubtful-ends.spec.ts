/** Guards against ends of streams that are judged by less than what is known when they come (ORDER, LOST). */
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { test } from "node:test";
import { createForwarderFixture } from "./forwarder-fixture.js";
import { EVENTS, streamOf, WHOLE } from "./planned-attempts.js";
import type { PlannedAttempt } from "./planned-attempts.js";

const WHOLE_UNFRAMED: PlannedAttempt = { framing: "none", ending: "whole", bytes: 0 };
const WHOLE_CHUNKED: PlannedAttempt = { framing: "chunked", ending: "whole", bytes: 0 };
const TRUNCATED: PlannedAttempt = { framing: "none", ending: "close", bytes: 15 };
const BROKEN_CHUNKED: PlannedAttempt = { framing: "chunked", ending: "close", bytes: 0 };

const STREAM_HEADER = "content-type: text/event-stream\r\n";
const USUALLY_UNFRAMED = { framing: { record: () => undefined, unframedShare: () => 1 } };
const SELDOM_UNFRAMED = { framing: { record: () => undefined, unframedShare: () => 0 } };

test("streams without framing that a leaving upstream cuts off together when it exits do not look complete", async context => {
    const { send } = await createForwarderFixture(context, defaults => ({
        ...USUALLY_UNFRAMED,
        upstreamsOf: service => defaults.upstreamsOf(service).slice(0, 1),
        isLeaving: () => true,
        probe: () => Promise.resolve("refused"),
    }));
    const open: Socket[] = [];
    const answers = await Promise.all(
        Array.from({ length: 4 }, () =>
            send({ resumable: false }, (socket, _attempt, head) => {
                open.push(socket);
                socket.write(`${head}${STREAM_HEADER}\r\n${EVENTS[0]}`);
                if (open.length === 4) {
                    setTimeout(() => open.forEach(other => other.end()), 20);
                }
            }),
        ),
    );
    assert.deepEqual(
        answers.map(({ end }) => end),
        ["broken", "broken", "broken", "broken"],
    );
});

test("a truncated stream goes on at an upstream that can take requests since the stream began", async context => {
    let count = 1;
    const { send } = await createForwarderFixture(context, defaults => ({
        ...USUALLY_UNFRAMED,
        upstreamsOf: service => defaults.upstreamsOf(service).slice(0, count),
    }));
    const answer = await send({}, (socket, attempt, head, lastEventId) => {
        count = 3;
        return streamOf([TRUNCATED, WHOLE_CHUNKED])(socket, attempt, head, lastEventId);
    });
    assert.equal(answer.body, WHOLE);
});

test("a truncated stream goes on if the retry budget allows it since the stream began", async context => {
    let remainingShare = 0;
    const { send } = await createForwarderFixture(context, {
        ...USUALLY_UNFRAMED,
        retryBudget: {
            recordRequest: () => undefined,
            tryConsume: () => true,
            remainingShare: () => remainingShare,
        },
    });
    const answer = await send({}, (socket, attempt, head, lastEventId) => {
        remainingShare = 1;
        return streamOf([TRUNCATED, WHOLE_CHUNKED])(socket, attempt, head, lastEventId);
    });
    assert.equal(answer.body, WHOLE);
});

test("a whole stream is not cut when all upstreams end it without framing, though most streams have it", async context => {
    const { send } = await createForwarderFixture(context, SELDOM_UNFRAMED);
    const answer = await send({}, streamOf([WHOLE_UNFRAMED, WHOLE_UNFRAMED, WHOLE_UNFRAMED]));
    assert.deepEqual([answer.body, answer.end], [WHOLE, "framed"]);
});

test("a stream that began with framing is not cut when two upstreams agree on its end", async context => {
    const { send } = await createForwarderFixture(context, USUALLY_UNFRAMED);
    // The bytes of a chunk of the first event: its size line, the event and a part of what follows.
    const plan = [{ ...BROKEN_CHUNKED, bytes: 24 }, WHOLE_UNFRAMED, WHOLE_UNFRAMED];
    const answer = await send({}, streamOf(plan));
    assert.deepEqual([answer.body, answer.end], [WHOLE, "framed"]);
});
