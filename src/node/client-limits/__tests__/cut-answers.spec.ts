/** Guards against answers without framing that are given up and look whole to their callers. */
import assert from "node:assert/strict";
import { createServer } from "node:http";
import { connect } from "node:net";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { systemClock } from "../../common/clock.js";
import { watchForReset } from "../../common/reset-connection.js";
import { silentLogging } from "../../logging/logging.js";
import { createClientLimits } from "../client-limits.js";

/** More than the buffers of a connection hold. */
const ANSWER_BYTES = 32_000_000;

const ANSWER_MILLISECONDS = 200;

test("an answer without framing whose reader stalls is reset when it is given up", async context => {
    const limits = createClientLimits({ clock: systemClock, logger: silentLogging("clients") });
    const server = createServer();
    limits.guard(server, {
        listener: "test",
        maximumConnections: 10,
        answerMilliseconds: () => ANSWER_MILLISECONDS,
        headMilliseconds: () => 3000,
        handle: ({ response, recordAnswerEnd }) => {
            response.shouldKeepAlive = false;
            response.useChunkedEncodingByDefault = false;
            response.writeHead(200);
            response.end(Buffer.alloc(ANSWER_BYTES, "x"));
            recordAnswerEnd();
        },
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    context.after(() => server.close());
    const client = connect((server.address() as AddressInfo).port, "127.0.0.1");
    const watch = watchForReset(client);
    const errors: string[] = [];
    client.on("error", (error: NodeJS.ErrnoException) => errors.push(error.code ?? ""));
    let length = 0;
    client.on("data", (chunk: Buffer) => {
        length += chunk.length;
    });
    client.write("GET / HTTP/1.1\r\nhost: a.example\r\n\r\n");
    await new Promise(resolve => client.once("data", resolve));
    client.pause();
    while (limits.count("unread answer") === 0) {
        await delay(20);
    }
    const closed = new Promise(resolve => client.once("close", resolve));
    client.resume();
    await closed;
    assert.ok(length < ANSWER_BYTES);
    assert.ok(errors.includes("ECONNRESET") || watch.wasReset(), "the answer looks whole");
});
