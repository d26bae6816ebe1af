/** Guards against answers without a length that are passed on as whole although their connection was reset. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { resetConnection } from "../../common/reset-connection.js";
import { createHead, createRawUpstream } from "../../forwarding/__tests__/raw-upstream.js";

const REPEATS = 30;

/** Time for which the process reads nothing, milliseconds, so that bytes and the reset arrive together. */
const PAUSE_MILLISECONDS = 15;

function pauseProcess(): void {
    const until = Date.now() + PAUSE_MILLISECONDS;
    while (Date.now() < until) {
        // Busy on purpose: timers would let the process read.
    }
}

const ANSWERS: Readonly<Record<string, { readonly headers: readonly string[]; readonly body: string }>> = {
    "a plain answer": { headers: [], body: "half of the body" },
    "an empty answer": { headers: [], body: "" },
    "a large answer": { headers: [], body: "x".repeat(100 * 1024) },
    "a stream between two events": {
        headers: ["content-type: text/event-stream"],
        body: "id: 1\ndata: x\n\n",
    },
};

for (const [name, { headers, body }] of Object.entries(ANSWERS)) {
    test(`${name} without a length never looks whole when its connection is reset at once`, async context => {
        const upstream = await createRawUpstream(context, (socket, attemptId) => {
            socket.write(createHead(200, attemptId, headers) + body);
            resetConnection(socket);
            pauseProcess();
        });
        for (let index = 0; index < REPEATS; index += 1) {
            const { result, caller } = await upstream.send(`a${index}`);
            assert.equal(result.kind, "lost", `attempt ${index}`);
            assert.equal(result.kind === "lost" && result.isBrokenOff, true);
            assert.equal(caller.complete, false);
        }
    });

    test(`${name} without a length is whole when its connection is closed`, async context => {
        const upstream = await createRawUpstream(context, (socket, attemptId) => {
            socket.end(createHead(200, attemptId, headers) + body);
            pauseProcess();
        });
        for (let index = 0; index < REPEATS; index += 1) {
            const { result, caller } = await upstream.send(`a${index}`);
            const isEmptyStream = headers.length > 0 && body === "";
            assert.equal(result.kind, isEmptyStream ? "lost" : "delivered", `attempt ${index}`);
            assert.deepEqual([caller.complete, caller.body], [true, body]);
        }
    });
}
