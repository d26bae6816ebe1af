/** Runner stand-in: a service's server with slots and a queue, as the protocol page describes it. */
import { Buffer } from "node:buffer";
import { createServer } from "node:http";
import { clearTimeout, setTimeout } from "node:timers";

/**
 * Creates a runner. `behaviour` may hold:
 *
 * - `workMilliseconds(request)`: how long a request occupies a slot.
 * - `headers()`: further headers of each answer.
 * - `answer(request, response)`: writes the answer of a request that ran.
 * - `onReject()`: the runner turned a request away.
 */
export async function createRunner({ id, service, zone, address = "127.0.0.1", slots, queue, ...behaviour }) {
    const runner = {
        id,
        service,
        zone,
        version: behaviour.version ?? "v1",
        slots,
        queue,
        born: Date.now(),
        received: [],
        running: 0,
        waiting: [],
        server: undefined,
        address: "",
    };

    const answerHeaders = request => ({
        "geraniumbarrow-attempt-id": request.headers["geraniumbarrow-attempt-id"] ?? "",
        ...behaviour.headers?.(),
    });

    const reject = (entry, response, status) => {
        const { request } = entry;
        entry.answered = status;
        response.writeHead(status, {
            ...answerHeaders(request),
            "content-length": 0,
            ...(status === 421
                ? { "geraniumbarrow-instance-id": id }
                : { "geraniumbarrow-not-executed": "1" }),
        });
        response.end();
        if (status === 503) {
            behaviour.onReject?.(entry);
        }
    };

    const finishSlot = () => {
        runner.running -= 1;
        const next = runner.waiting.shift();
        next?.();
    };

    const run = (entry, response) => {
        runner.running += 1;
        entry.ranAt = Date.now();
        entry.onRun?.();
        const timer = setTimeout(() => {
            if (response.destroyed) {
                return;
            }
            entry.answered = 200;
            response.off("close", leave);
            behaviour.answer(entry, response, {
                ...answerHeaders(entry.request),
                "geraniumbarrow-response-signature": `signature-of-${id}`,
            });
            finishSlot();
        }, behaviour.workMilliseconds(entry));
        const leave = () => {
            clearTimeout(timer);
            finishSlot();
        };
        response.once("close", leave);
    };

    const serve = async (request, response) => {
        const chunks = [];
        for await (const chunk of request) {
            chunks.push(chunk);
        }
        const entry = {
            id: request.headers["geraniumbarrow-attempt-id"],
            path: request.url,
            receivedAt: Date.now(),
            from: request.socket.remoteAddress,
            request,
            body: Buffer.concat(chunks),
        };
        runner.received.push(entry);
        behaviour.onReceive?.(entry);
        if (request.headers["geraniumbarrow-expected-instance"] !== id) {
            reject(entry, response, 421);
            return;
        }
        if (runner.running < runner.slots) {
            run(entry, response);
            return;
        }
        if (runner.waiting.length >= runner.queue) {
            reject(entry, response, 503);
            return;
        }
        const start = () => run(entry, response);
        runner.waiting.push(start);
        response.once("close", () => {
            const at = runner.waiting.indexOf(start);
            if (at >= 0) {
                runner.waiting.splice(at, 1);
            }
        });
    };

    runner.start = async () => {
        runner.running = 0;
        runner.waiting = [];
        const server = createServer((request, response) => {
            serve(request, response).catch(() => response.destroy());
        });
        server.keepAliveTimeout = 30_000;
        const port = runner.address === "" ? 0 : Number(runner.address.split(":")[1]);
        await new Promise((resolve, fail) => {
            server.once("error", fail);
            server.listen(port, address, resolve);
        });
        runner.server = server;
        runner.address = `${address}:${server.address().port}`;
    };

    runner.stop = () => {
        const { server } = runner;
        runner.server = undefined;
        server?.closeAllConnections();
        return new Promise(resolve => (server === undefined ? resolve() : server.close(() => resolve())));
    };

    runner.entry = (overrides = {}) => ({
        service,
        address: runner.address,
        zone,
        version: runner.version,
        slots: runner.slots,
        state: "ready",
        "cold-remaining-ms": 0,
        born: runner.born,
        sequence: 1,
        ...overrides,
    });

    await runner.start();
    return runner;
}
