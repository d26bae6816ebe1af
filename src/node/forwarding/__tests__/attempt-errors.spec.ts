/** Guards against an internal error in a handler of an attempt that ends the whole process. */
import assert from "node:assert/strict";
import { ServerResponse } from "node:http";
import { test } from "node:test";
import type { UpstreamHandlers } from "../../upstreams/send.js";
import { runAttempt } from "../attempt.js";
import type { AttemptResult } from "../attempt.js";
import { createResponseSink } from "../response-sink.js";

interface PlayedAttempt {
    readonly result: AttemptResult;
    readonly errors: readonly string[];
    readonly isCancelled: boolean;
}

/** Runs an attempt whose upstream is played by calls of its handlers. */
async function playAttempt(play: (handlers: UpstreamHandlers) => void): Promise<PlayedAttempt> {
    const errors: string[] = [];
    let isCancelled = false;
    const response = new ServerResponse({ method: "GET", httpVersionMajor: 1 } as never);
    const result = await runAttempt({
        send: (_request, handlers) => {
            setImmediate(() => play(handlers));
            return { pause: () => undefined, resume: () => undefined, cancel: () => (isCancelled = true) };
        },
        request: {
            address: "http://127.0.0.1:1",
            method: "GET",
            path: "/",
            headers: {},
            body: undefined,
            headTimeoutMilliseconds: 0,
            idleTimeoutMilliseconds: 0,
        },
        attemptId: "a",
        sink: createResponseSink({
            response,
            encodeHeaders: headers => headers,
            lastEventId: undefined,
            eventFields: new Set(),
            onFirstByte: () => undefined,
        }),
        decodeHead: (_status, headers) => {
            if (headers["x-fails"] !== undefined) {
                throw new Error("the head cannot be read");
            }
            return { attemptId: "a", isSigned: true, isNotRun: false, isLeaving: false } as never;
        },
        tryEscalate: () => false,
        connectMilliseconds: 1000,
        headMilliseconds: undefined,
        gapMilliseconds: undefined,
        remainingMilliseconds: 1000,
        mayRetryUnframed: () => false,
        expectsConfirmation: false,
        callerLeft: new AbortController().signal,
        onError: error => errors.push(error.message),
    });
    return { result, errors, isCancelled };
}

test("an error while the head is read loses the attempt and closes its connection", async () => {
    const { result, errors, isCancelled } = await playAttempt(({ onStart, onHead }) => {
        onStart?.();
        onHead(200, { "x-fails": "1" });
    });
    assert.deepEqual(result, { kind: "lost", reason: "internal error: the head cannot be read" });
    assert.deepEqual(errors, ["the head cannot be read"]);
    assert.equal(isCancelled, true);
});

test("an answer that cannot be written loses the attempt", async () => {
    const { result, errors } = await playAttempt(({ onStart, onHead, onEnd }) => {
        onStart?.();
        onHead(200, { "content-length": "0", "x-name": "line\nbreak" });
        onEnd();
    });
    assert.equal(result.kind, "lost");
    assert.match(errors[0] ?? "", /Invalid character in header content/);
});
