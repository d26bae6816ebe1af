/** Guards against late copies of a rejection that are taken for the answer to the next send of the request (TWICE). */
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { test } from "node:test";
import type { Route } from "../../routes/entities.js";
import { createForwarderFixture } from "./forwarder-fixture.js";
import type { CallerAnswer, RespondToAttempt } from "./forwarder-fixture.js";

const ROUTES: Readonly<Record<string, Partial<Route>>> = {
    "a request that may run once": { kind: "once", resumable: false },
    "a stream that may not be resumed": { kind: "stream", resumable: false },
    "an idempotent request": { kind: "idempotent", resumable: false },
    "a stream that may be resumed": { kind: "stream", resumable: true },
};

interface Upstream {
    readonly respond: RespondToAttempt;
    readonly runs: () => number;
}

/** Rejects the first attempt, and repeats the rejection where it reads the next request of the connection. */
function createRepeatingUpstream(): Upstream {
    const rejections = new Map<Socket, string>();
    let runs = 0;
    return {
        runs: () => runs,
        respond: (socket, attempt, head) => {
            const copy = rejections.get(socket);
            rejections.delete(socket);
            if (copy !== undefined) {
                socket.write(copy);
            }
            if (attempt === 0) {
                const rejection = `${head.replace("200", "503")}not-run: 1\r\ncontent-length: 0\r\n\r\n`;
                rejections.set(socket, rejection);
                socket.write(rejection);
                return;
            }
            runs += 1;
            const event = "id: 1\ndata: x\n\n";
            socket.write(
                `${head}content-type: text/event-stream\r\ncontent-length: ${event.length}\r\n\r\n${event}`,
            );
        },
    };
}

for (const [name, route] of Object.entries(ROUTES)) {
    test(`${name} runs once although its rejection comes twice`, async context => {
        const fixture = await createForwarderFixture(context);
        const upstream = createRepeatingUpstream();
        const answer: CallerAnswer = await fixture.send(route, upstream.respond);
        assert.deepEqual([upstream.runs(), answer.status, answer.body], [1, 200, "id: 1\ndata: x\n\n"]);
    });
}
