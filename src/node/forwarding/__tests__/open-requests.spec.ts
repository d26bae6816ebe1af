/** Guards against a planned stop that cuts the last bytes of an answer, because its request counts as ended. */
import assert from "node:assert/strict";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { connect } from "node:net";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { createClientLimits } from "../../client-limits/client-limits.js";
import { systemClock } from "../../common/clock.js";
import { createLifecycle } from "../../lifecycle/lifecycle.js";
import { createLogging } from "../../logging/logging.js";
import { createRequestLog } from "../../logging/request-log.js";
import { createRouteTable } from "../../routes/route-table.js";
import type { Route } from "../../routes/entities.js";
import { createForwardingServer } from "../forwarding-server.js";
import type { HeaderCodec } from "../protocol.js";

/** More than the buffers of the operating system hold for one connection. */
const BODY_BYTES = 32 * 1024 * 1024;

const route: Route = {
    name: "stock",
    host: "a.example",
    prefix: "/",
    kind: "idempotent",
    split: [{ service: "desk", weight: 1 }],
    timeoutMilliseconds: 3000,
    targetLatencyMilliseconds: 500,
    targetGapMilliseconds: undefined,
    maximumAttempts: 1,
    public: true,
    resumable: false,
    priority: 0,
    models: [],
};

async function findFreePort(): Promise<number> {
    const server = createServer();
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    await new Promise(resolve => server.close(resolve));
    return port;
}

test("a request is open until its caller's connection has taken the last bytes of the answer", async context => {
    const lifecycle = createLifecycle();
    const port = await findFreePort();
    let ended = 0;
    const limits = {
        maximumHeaderBytes: 16_384,
        maximumBodyBytes: 65_536,
        headerTimeoutMilliseconds: 3000,
        idleTimeoutMilliseconds: 5000,
    };
    const services = new Map([
        [
            "desk",
            {
                name: "desk",
                coldRequestsPerSecond: 0,
                engineTokens: undefined,
                slots: undefined,
                modelCosts: new Map(),
            },
        ],
    ]);
    const table = createRouteTable({
        version: 1,
        routes: [route],
        services,
        workspaces: undefined,
        limits,
    });
    const codec = {
        decodeRequest: () => ({ attemptId: "a1", promptParts: [] }),
        encodeRouterResponse: () => ({}),
    } as unknown as HeaderCodec;
    const server = createForwardingServer({
        name: "caller listener",
        address: "127.0.0.1",
        port,
        initialHeaderBytes: 16_384,
        codec,
        clock: systemClock,
        routes: () => table,
        serve: (_request, response) => {
            response.end(Buffer.alloc(BODY_BYTES, "x"));
            return Promise.resolve({
                outcome: "delivered",
                reason: undefined,
                status: 200,
                attempts: 1,
                firstByteMilliseconds: 1,
            });
        },
        requestLog: createRequestLog({
            write: () => undefined,
            clock: systemClock,
            linesPerSecond: 0,
            notableLinesPerSecond: 0,
        }),
        clientLimits: createClientLimits({
            clock: systemClock,
            logger: createLogging({ level: "silent", componentLevels: [], write: () => undefined })("test"),
        }),
        maximumConnections: 10,
        lifecycle,
        splitPositionOf: () => 0,
        onEnd: () => {
            ended += 1;
        },
    });
    await lifecycle.start();
    context.after(() => lifecycle.stop());
    const socket = connect(port, "127.0.0.1");
    let received = 0;
    socket.write("GET /1 HTTP/1.1\r\nhost: a.example\r\n\r\n");
    await delay(300);
    assert.deepEqual([ended, server.openRequests()], [1, 1]);
    socket.on("data", (data: Buffer) => (received += data.length));
    for (let wait = 0; wait < 100 && received < BODY_BYTES; wait += 1) {
        await delay(50);
    }
    assert.ok(received > BODY_BYTES, `${received} bytes`);
    assert.equal(server.openRequests(), 0);
    socket.destroy();
});
