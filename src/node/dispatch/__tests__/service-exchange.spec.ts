/** Guards against late copies of an answer that fail the next call of a service that cannot be repeated. */
import assert from "node:assert/strict";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { delay } from "../../common/clock.js";
import type { CallerReply, ServiceSubmission } from "../../callers/reply.js";
import { createLifecycle } from "../../lifecycle/lifecycle.js";
import { createHttpSend } from "../../upstreams/send.js";
import type { AttemptState, DispatchEvent, RequestState } from "../requests.js";
import { createServiceExchange } from "../service-exchange.js";
import type { ExchangeDependencies } from "../service-exchange.js";

const REUSE_MILLISECONDS = 10;

const SUBMISSION: ServiceSubmission = {
    kind: "service",
    workspace: "tambores",
    service: "desk",
    method: "POST",
    path: "/bookings",
    headers: {},
    body: Buffer.from("{}"),
    idempotencyKey: undefined,
    timeoutMilliseconds: undefined,
};

/** Starts a service that sends each answer again when the next call arrives on its connection. */
async function startRepeatingService(context: TestContext): Promise<string> {
    const server = createServer(socket => {
        let copy = "";
        socket.on("error", () => undefined);
        socket.on("data", data => {
            const attemptId = /attempt-id: (\S+)/i.exec(data.toString("latin1"))![1]!;
            socket.write(copy);
            copy = `HTTP/1.1 200 OK\r\nattempt-id: ${attemptId}\r\ncontent-length: 6\r\n\r\nbooked`;
            socket.write(copy);
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    context.after(() => server.close());
    return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

test("a late copy of an answer does not fail the next booking", async context => {
    const address = await startRepeatingService(context);
    const lifecycle = createLifecycle();
    const send = createHttpSend(lifecycle);
    await lifecycle.start();
    context.after(() => lifecycle.stop());

    const book = (id: string): Promise<DispatchEvent["kind"]> =>
        new Promise(resolve => {
            const reply: CallerReply = {
                head: () => undefined,
                write: () => true,
                end: () => undefined,
                onDrain: () => undefined,
                onDisconnect: () => undefined,
            };
            const dependencies = {
                send,
                billing: { record: () => Promise.resolve() },
                post: (event: DispatchEvent) => resolve(event.kind),
                now: () => performance.now(),
                wallTime: () => Date.now(),
                idleTimeoutMilliseconds: 1000,
                onUpstreamHead: () => undefined,
                onCrossedAnswer: () => undefined,
                onClosed: () => undefined,
            } as unknown as ExchangeDependencies;
            const request = { id, repeatable: false, deadline: performance.now() + 5000 };
            const attempt = { id, upstream: "desk-1", address, startedAt: performance.now() };
            createServiceExchange(id, SUBMISSION, reply, dependencies).startAttempt(
                request as unknown as RequestState,
                attempt as unknown as AttemptState,
                false,
                false,
            );
        });

    assert.equal(await book("r1"), "attempt-finished");
    // A connection can be used again in the turn of the event loop after its response.
    await delay(REUSE_MILLISECONDS);
    assert.equal(await book("r2"), "attempt-finished");
});
