/** Guards against reading a large response anew forever over a slow link, and against waiting for a dead one. */
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:http";
import type { RequestListener } from "node:http";
import { connect } from "node:net";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { Worker } from "node:worker_threads";
import { Agent } from "undici";
import { callHttp, SilenceError } from "../http-call.js";

const HEAD_MILLISECONDS = 300;

async function createCaller(context: TestContext, listener: RequestListener) {
    const server = createServer(listener);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const dispatcher = new Agent();
    context.after(async () => {
        await dispatcher.destroy();
        server.closeAllConnections();
        server.close();
    });
    const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}/`;
    return () => callHttp(url, { method: "GET", dispatcher, headMilliseconds: HEAD_MILLISECONDS });
}

test("a slow response is read to its end", async context => {
    const piece = "x".repeat(8192);
    const call = await createCaller(context, (_request, response) => {
        void (async () => {
            for (let index = 0; index < 8; index += 1) {
                response.write(piece);
                await delay(200);
            }
            response.end();
        })();
    });
    const startedAt = Date.now();
    const { status, text } = await call();
    assert.equal(status, 200);
    assert.equal(text.length, 8 * piece.length);
    assert.ok(Date.now() - startedAt > 1200, "the response took longer than any single limit");
});

test("a call without a response ends at its limit", async context => {
    const call = await createCaller(context, () => undefined);
    const startedAt = Date.now();
    await assert.rejects(call(), SilenceError);
    assert.ok(Date.now() - startedAt < 2 * HEAD_MILLISECONDS);
});

test("a response that stops arriving ends the call", async context => {
    const call = await createCaller(context, (_request, response) => {
        response.write("x".repeat(8192));
    });
    await assert.rejects(call(), SilenceError);
});

test("a byte now and then is no progress", async context => {
    const call = await createCaller(context, (_request, response) => {
        const timer = setInterval(() => response.write("x"), 50);
        response.once("close", () => clearInterval(timer));
    });
    const startedAt = Date.now();
    await assert.rejects(call(), SilenceError);
    assert.ok(Date.now() - startedAt < 2000);
});

/** Port of a server that does not accept connections and whose backlog is full, as of a host that has fallen silent. */
async function listenWithoutAccepting(context: TestContext): Promise<number> {
    const worker = new Worker(
        `const { createServer } = require("node:net");
        const { parentPort } = require("node:worker_threads");
        const server = createServer().listen({ port: 0, host: "127.0.0.1", backlog: 1 }, () => {
            parentPort.postMessage(server.address().port);
            Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0);
        });`,
        { eval: true },
    );
    const [port] = (await once(worker, "message")) as [number];
    const sockets = Array.from({ length: 4 }, () => connect(port, "127.0.0.1").on("error", () => undefined));
    context.after(async () => {
        sockets.forEach(socket => socket.destroy());
        await worker.terminate();
    });
    await delay(200);
    return port;
}

test("a call to a host that does not answer connection attempts ends at its limit", async context => {
    const port = await listenWithoutAccepting(context);
    const dispatcher = new Agent();
    context.after(() => dispatcher.destroy());
    const startedAt = Date.now();
    const call = { method: "GET", dispatcher, headMilliseconds: HEAD_MILLISECONDS } as const;
    await assert.rejects(callHttp(`http://127.0.0.1:${port}/`, call), SilenceError);
    assert.ok(Date.now() - startedAt < 2 * HEAD_MILLISECONDS, `${Date.now() - startedAt} ms`);
});
