/** Guards against answers that reach callers with a status that HTTP does not have (MIXED). */
import assert from "node:assert/strict";
import { test } from "node:test";
import { createRawUpstream, STREAM_HEADERS } from "./raw-upstream.js";

const STATUS_LINES: readonly string[] = ["000", "001", "099", "20", "2000", "600", "700", "999"];

const HEADERS: Readonly<Record<string, readonly string[]>> = {
    "a length": ["content-length: 5"],
    "no length": ["connection: close"],
    "the form of a stream": STREAM_HEADERS,
};

for (const status of STATUS_LINES) {
    for (const [name, headers] of Object.entries(HEADERS)) {
        test(`an answer with status ${status} and ${name} is lost`, async context => {
            const upstream = await createRawUpstream(context, (socket, attemptId) => {
                const lines = [
                    `HTTP/1.1 ${status} x`,
                    `attempt: ${attemptId}`,
                    "signature: s",
                    ...headers,
                    "",
                    "",
                ];
                socket.end(`${lines.join("\r\n")}whole`);
            });
            const { result, caller } = await upstream.send("a1");
            assert.deepEqual([result.kind, caller.status, caller.body], ["lost", undefined, ""]);
        });
    }
}

for (const status of [100, 102, 103, 199]) {
    test(`an informational head with status ${status} is no answer by itself`, async context => {
        const upstream = await createRawUpstream(context, (socket, attemptId) => {
            socket.end(`HTTP/1.1 ${status} x\r\nattempt: ${attemptId}\r\nsignature: s\r\n\r\n`);
        });
        const { result, caller } = await upstream.send("a1");
        assert.deepEqual([result.kind, caller.status], ["lost", undefined]);
    });
}
