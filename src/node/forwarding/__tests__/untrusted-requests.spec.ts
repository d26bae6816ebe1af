/** Guards against statuses that are wrong for what clients send, and against exchanges that affect others. */
import assert from "node:assert/strict";
import { connect, createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { createClientLimits } from "../../client-limits/client-limits.js";
import type { HeldBytes } from "../../client-limits/caller-budget.js";
import { systemClock } from "../../common/clock.js";
import { createLifecycle } from "../../lifecycle/lifecycle.js";
import { createLogging } from "../../logging/logging.js";
import { createRequestLog } from "../../logging/request-log.js";
import type { Route } from "../../routes/entities.js";
import { createRouteTable } from "../../routes/route-table.js";
import { createForwardingServer } from "../forwarding-server.js";
import type { HeaderCodec } from "../protocol.js";
import type { MatchedRequest } from "../request-forwarder.js";
import type { RequestEnd } from "../request-end.js";

const MAXIMUM_BODY_BYTES = 100_000;

const ROUTE: Route = {
    name: "stock",
    host: "a.example",
    prefix: "/",
    kind: "once",
    split: [{ service: "desk", weight: 1 }],
    timeoutMilliseconds: 600,
    targetLatencyMilliseconds: 500,
    targetGapMilliseconds: undefined,
    maximumAttempts: 1,
    public: true,
    resumable: false,
    priority: 0,
    models: [],
};

const END: RequestEnd = {
    outcome: "delivered",
    reason: undefined,
    status: 200,
    attempts: 1,
    firstByteMilliseconds: 1,
};

const HEAD = "POST /1 HTTP/1.1\r\nhost: a.example\r\n";
const CHUNKED = "transfer-encoding: chunked\r\n\r\n";

interface FixtureOptions {
    readonly heldBytes?: HeldBytes;
    readonly headMilliseconds?: number;
    /** Called for each request, before its answer. */
    readonly onServe?: (request: MatchedRequest) => Promise<void> | void;
}

async function findFreePort(): Promise<number> {
    const server = createServer();
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    await new Promise(resolve => server.close(resolve));
    return port;
}

async function createFixture(context: TestContext, options: FixtureOptions = {}) {
    const lifecycle = createLifecycle();
    const port = await findFreePort();
    const served: MatchedRequest[] = [];
    const ends: string[] = [];
    const lines: string[] = [];
    const clientLimits = createClientLimits({
        ...(options.heldBytes === undefined ? {} : { heldBytes: options.heldBytes }),
        clock: systemClock,
        logger: createLogging({
            level: "info",
            componentLevels: [],
            write: line => lines.push(line),
            format: "json",
        })("clients"),
    });
    const table = createRouteTable({
        version: 1,
        routes: [ROUTE],
        services: new Map([
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
        ]),
        workspaces: undefined,
        limits: {
            maximumHeaderBytes: 16_384,
            maximumBodyBytes: MAXIMUM_BODY_BYTES,
            headerTimeoutMilliseconds: 3000,
            idleTimeoutMilliseconds: 5000,
        },
    });
    const codec = {
        decodeRequest: (headers: Record<string, string>) => {
            if (headers["x-fails"] !== undefined) {
                throw new Error("the head cannot be read");
            }
            const remaining = headers["x-remaining"];
            return {
                attemptId: headers["x-id"],
                remainingMilliseconds: remaining === undefined ? undefined : Number(remaining),
                promptParts: [],
            };
        },
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
        serve: async (request, response) => {
            served.push(request);
            await options.onServe?.(request);
            response.end(`answer ${request.path}`);
            return END;
        },
        requestLog: createRequestLog({
            write: () => undefined,
            clock: systemClock,
            linesPerSecond: 0,
            notableLinesPerSecond: 0,
        }),
        clientLimits,
        maximumConnections: 10,
        lifecycle,
        splitPositionOf: () => 0,
        onEnd: ({ outcome }) => ends.push(outcome),
    });
    server.applyLimits(5000, options.headMilliseconds ?? 3000);
    await lifecycle.start();
    context.after(() => lifecycle.stop());
    const open = () => {
        const socket = connect(port, "127.0.0.1");
        const client = { socket, received: "", isClosed: false };
        socket.on("error", () => undefined);
        socket.on("data", (data: Buffer) => (client.received += data.toString()));
        socket.on("close", () => (client.isClosed = true));
        context.after(() => socket.destroy());
        return client;
    };
    return { server, served, ends, lines, clientLimits, open };
}

async function waitUntil(what: string, condition: () => boolean): Promise<void> {
    for (let wait = 0; !condition(); wait += 1) {
        assert.ok(wait < 500, what);
        await delay(10);
    }
}

function writeSteadily(context: TestContext, socket: Socket, piece: string): void {
    const timer = setInterval(() => socket.write(piece), 5);
    socket.once("close", () => clearInterval(timer));
    context.after(() => clearInterval(timer));
}

for (const [name, first, piece] of [
    ["announced", `${HEAD}content-length: 900000\r\n\r\n`, "x".repeat(10_000)],
    ["chunked", HEAD + CHUNKED, `2710\r\n${"x".repeat(10_000)}\r\n`],
] as const) {
    test(`a client that goes on sending a body which is too large reads the 413, ${name}`, async context => {
        const { served, clientLimits, open } = await createFixture(context);
        const client = open();
        client.socket.write(first);
        writeSteadily(context, client.socket, piece);
        await waitUntil("closed", () => client.isClosed);
        assert.match(client.received, /^HTTP\/1\.1 413 .*larger than 100000 bytes"\}$/s);
        assert.equal(served.length, 0);
        assert.equal(clientLimits.count("body size"), 1);
    });
}

test("a body that is not whole in the time of its request gets a 408, and nothing runs", async context => {
    const { served, clientLimits, open } = await createFixture(context);
    const client = open();
    client.socket.write(HEAD + CHUNKED);
    writeSteadily(context, client.socket, "1\r\nx\r\n");
    await waitUntil("closed", () => client.isClosed);
    assert.match(client.received, /^HTTP\/1\.1 408 /);
    assert.equal(served.length, 0);
    assert.equal(clientLimits.count("body progress"), 1);
});

for (const [name, status, bytes] of [
    ["a malformed head", 400, "GET\r\n\r\n"],
    ["a malformed chunk", 400, `${HEAD}${CHUNKED}zz\r\n`],
    ["a head over the limit", 431, `${HEAD}x: ${"x".repeat(20_000)}\r\n\r\n`],
    ["an unknown expectation", 417, `${HEAD}expect: more\r\ncontent-length: 0\r\n\r\n`],
] as const) {
    test(`${name} gets a ${status}, and nothing runs`, async context => {
        const { served, open } = await createFixture(context);
        const client = open();
        client.socket.write(bytes);
        await waitUntil("closed", () => client.isClosed);
        assert.match(client.received, new RegExp(`^HTTP/1.1 ${status} `));
        assert.equal(served.length, 0);
    });
}

test("a head that does not end in time gets a 408", async context => {
    const { clientLimits, open } = await createFixture(context, { headMilliseconds: 200 });
    const client = open();
    client.socket.write("GET /1 HTTP/1.1\r\n");
    await waitUntil("closed", () => client.isClosed);
    assert.match(client.received, /^HTTP\/1\.1 408 /);
    assert.equal(clientLimits.count("head time"), 1);
});

test("a client that expects a 100 gets it and then its answer", async context => {
    const { served, open } = await createFixture(context);
    const client = open();
    client.socket.write(`${HEAD}expect: 100-continue\r\ncontent-length: 4\r\n\r\n`);
    await waitUntil("continue", () => client.received.startsWith("HTTP/1.1 100 "));
    client.socket.write("body");
    await waitUntil("answer", () => client.received.endsWith("answer /1"));
    assert.equal(served[0]?.body.toString(), "body");
});

test("a body that is given up while it is read gets a 503 that says when to retry, and nothing runs", async context => {
    const { served, clientLimits, open } = await createFixture(context, {
        heldBytes: { buffers: 50_000, objects: Infinity },
    });
    const client = open();
    client.socket.write(`${HEAD}content-length: 90000\r\n\r\n`);
    writeSteadily(context, client.socket, "x".repeat(10_000));
    await waitUntil("closed", () => client.isClosed);
    assert.match(client.received, /^HTTP\/1\.1 503 .*retry-after: 0\.3/s);
    assert.equal(served.length, 0);
    assert.equal(clientLimits.count("memory"), 1);
});

test("a request that may run is given up without a status, as it may have run", async context => {
    const running = new AbortController();
    const { served, open } = await createFixture(context, {
        heldBytes: { buffers: 50_000, objects: Infinity },
        onServe: () => new Promise(resolve => running.signal.addEventListener("abort", () => resolve())),
    });
    context.after(() => running.abort());
    const client = open();
    client.socket.write(`${HEAD}content-length: 30000\r\n\r\n${"x".repeat(30_000)}`);
    await waitUntil("served", () => served.length === 1);
    await delay(50);
    open().socket.write(`${HEAD}content-length: 30000\r\n\r\n${"x".repeat(29_000)}`);
    await waitUntil("closed", () => client.isClosed);
    assert.equal(client.received, "");
    assert.equal(served[0]!.callerLeft.aborted, true);
});

test("malformed bytes after a request that may run end the connection without a status", async context => {
    const running = new AbortController();
    const { served, open } = await createFixture(context, {
        onServe: () => new Promise(resolve => running.signal.addEventListener("abort", () => resolve())),
    });
    context.after(() => running.abort());
    const client = open();
    client.socket.write(`${HEAD}content-length: 0\r\n\r\n`);
    await waitUntil("served", () => served.length === 1);
    client.socket.write("GET\r\n\r\n");
    await waitUntil("closed", () => client.isClosed);
    assert.equal(client.received, "");
    assert.equal(served[0]!.callerLeft.aborted, true);
});

test("the overdue head of a second request does not end the first one", async context => {
    const { open } = await createFixture(context, { headMilliseconds: 100, onServe: () => delay(1500) });
    const client = open();
    client.socket.write(`${HEAD}content-length: 0\r\n\r\nGET /2 HTTP/1.1\r\n`);
    await waitUntil("answer", () => client.received.endsWith("answer /1"));
    await waitUntil("closed", () => client.isClosed);
    assert.match(client.received, /^HTTP\/1\.1 200 /);
});

test("requests of one connection run one after another, and their rest stays unread", async context => {
    let running = 0;
    let most = 0;
    const { server, served, open } = await createFixture(context, {
        onServe: async () => {
            running += 1;
            most = Math.max(most, running);
            await new Promise(resolve => setImmediate(resolve));
            running -= 1;
        },
    });
    const client = open();
    const request = `${HEAD}content-length: 1\r\n\r\nx`;
    client.socket.write(request.repeat(3000));
    await waitUntil("begun", () => served.length > 0);
    assert.ok(server.waitingRequests() < 2000, `${server.waitingRequests()} waiting`);
    await waitUntil("answers", () => client.received.split("answer /1").length > 3000);
    assert.equal(most, 1);
    assert.deepEqual([server.openRequests(), server.waitingRequests()], [0, 0]);
});

test("the time that a request waits for its turn counts as time of its caller", async context => {
    const { served, open } = await createFixture(context, { onServe: () => delay(200) });
    const client = open();
    client.socket.write(`${HEAD}x-remaining: 500\r\ncontent-length: 0\r\n\r\n`.repeat(2));
    await waitUntil("answers", () => client.received.split("answer /1").length === 3);
    const [first, second] = served.map(({ head }) => head.remainingMilliseconds!);
    assert.equal(first, 500);
    assert.ok(second! <= 310, `${second}`);
});

test("a client that leaves with requests waiting leaves no open request", async context => {
    const { server, served, open } = await createFixture(context, { onServe: () => delay(300) });
    const client = open();
    client.socket.write(`${HEAD}content-length: 0\r\n\r\n`.repeat(100));
    await waitUntil("waiting", () => server.waitingRequests() === 99);
    client.socket.resetAndDestroy();
    await waitUntil("no open request", () => server.openRequests() === 0);
    assert.ok(served.length < 5, `${served.length}`);
});

test("an error of one exchange ends that one, and is logged with its id and counted", async context => {
    const { lines, clientLimits, open } = await createFixture(context, {
        onServe: ({ path }) => {
            if (path === "/fails") {
                throw new Error("a fault");
            }
        },
    });
    const failing = open();
    failing.socket.write("GET /fails HTTP/1.1\r\nhost: a.example\r\nx-id: r7\r\n\r\n");
    await waitUntil("answered", () => failing.received.startsWith("HTTP/1.1 500 "));
    const unreadable = open();
    unreadable.socket.write("GET /1 HTTP/1.1\r\nhost: a.example\r\nx-fails: 1\r\n\r\n");
    await waitUntil("closed", () => unreadable.isClosed);
    const next = open();
    next.socket.write("GET /1 HTTP/1.1\r\nhost: a.example\r\n\r\n");
    await waitUntil("answered", () => next.received.endsWith("answer /1"));
    assert.equal(clientLimits.errors(), 2);
    assert.match(lines[0]!, /An exchange failed with an internal error.*"request":"r7".*a fault/);
});

test("a connection above the limit ends the one that has been idle for the longest time", async context => {
    const { server, clientLimits, open } = await createFixture(context, { onServe: () => delay(100) });
    const busy = open();
    busy.socket.write(`${HEAD}content-length: 0\r\n\r\n`);
    await delay(30);
    const idle = Array.from({ length: 10 }, open);
    await waitUntil("closed", () => idle.some(({ isClosed }) => isClosed));
    await waitUntil("answered", () => busy.received.endsWith("answer /1"));
    assert.equal(idle.filter(({ isClosed }) => isClosed).length, 1);
    assert.equal(server.connections(), 10);
    assert.equal(clientLimits.count("connections"), 1);
});
