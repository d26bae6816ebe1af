import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { createSeededRandom } from "../../src/node/common/random.js";
import { createStreamCheck } from "../answer-check.js";
import { percentileMilliseconds, poissonTimes, runLoad, summariseLoad } from "../load.js";
import type { Arrival, LoadOutcome, LoadRequest } from "../load.js";
import { drawArrivals, spogulis, tambores } from "../workloads.js";

const chunk = (content: string, finish?: string, id = "a"): string =>
    `data: ${JSON.stringify({ id, choices: [{ delta: { content }, finish_reason: finish ?? null }] })}\n\n`;
const DONE = "data: [DONE]\n\n";

// If a truncated stream, or one with chunks of two answers, counted as whole, no scenario would detect
// incomplete answers.
test("truncated, mixed and failed streams do not count as whole", () => {
    const cases: [string, string][] = [
        [chunk("x") + chunk("y", "stop") + DONE, "whole"],
        [chunk("x") + chunk("", "stop") + 'data: {"id":"a","choices":[],"usage":{}}\n\n' + DONE, "whole"],
        [chunk("x") + chunk("y", "stop"), "incomplete"],
        [chunk("x") + DONE, "incomplete"],
        [chunk("x") + chunk("y", "stop", "b") + DONE, "incomplete"],
        [chunk("x", "stop") + chunk("y") + DONE, "incomplete"],
        [chunk("x", "stop") + DONE + chunk("y"), "incomplete"],
        ["data: {\n\n" + chunk("x", "stop") + DONE, "incomplete"],
        [chunk("x") + 'data: {"error":{"verdict":"may-have-run"}}\n\n', "error"],
        ["", "incomplete"],
    ];
    for (const [text, kind] of cases) {
        const check = createStreamCheck(() => undefined);
        // Feeds single characters, because a connection can split events at any position.
        [...text].forEach(character => check.feed(character));
        assert.equal(check.end().kind, kind, text);
    }
});

async function startServer(
    context: TestContext,
    listener: (message: IncomingMessage, response: ServerResponse) => void,
): Promise<string> {
    const server = createServer(listener);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    context.after(() => {
        server.closeAllConnections();
        server.close();
    });
    return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function createArrival(path: string, overrides: Partial<LoadRequest> = {}, atMilliseconds = 0): Arrival {
    const request = { kind: "k", method: "GET", path, headers: {}, expects: "any", ...overrides } as const;
    return { atMilliseconds, request };
}

// A wrong classification of answers would make a scenario report violations as successes.
test("answered, rejected, broken and wrongly answered requests are counted separately", async context => {
    const address = await startServer(context, (message, response) => {
        switch (message.url) {
            case "/stream":
                response.end(chunk("x", "stop") + DONE);
                return;
            case "/cut":
                response.end(chunk("x"));
                return;
            case "/refused":
                response.writeHead(429).end('{"code":"queue-full","verdict":"not-run"}');
                return;
            case "/openai":
                response.writeHead(503).end('{"error":{"code":"stale","verdict":"not-run"}}');
                return;
            case "/broken":
                response.writeHead(200, { "content-length": 10 }).write("x");
                setImmediate(() => response.destroy());
                return;
            default:
                response.end("{}");
        }
    });
    const outcomes: LoadOutcome["kind"][] = [];
    const result = await runLoad({
        addresses: [address],
        arrivals: [
            createArrival("/stream", { expects: "stream" }),
            createArrival("/cut", { expects: "stream" }),
            createArrival("/refused"),
            createArrival("/openai"),
            createArrival("/broken"),
            createArrival("/plain"),
            createArrival("/plain", { expects: "completion" }),
            createArrival("/plain", { check: () => "the answer of another request" }),
        ],
        onOutcome: (_arrival, outcome) => outcomes.push(outcome.kind),
    });
    const { answered, refused, broken, wrong } = summariseLoad(result);
    assert.deepEqual({ answered, refused, broken, wrong }, { answered: 2, refused: 2, broken: 1, wrong: 3 });
    assert.equal(outcomes.length, 8);
    assert.deepEqual([...result.refusals].sort(), [
        ["429 queue-full not-run", 1],
        ["503 stale not-run", 1],
    ]);
});

// If latency were measured from the actual send time, it would leave out the delay that a stalled system
// adds to later requests.
test("latency includes the delay between the intended and the actual send time", async context => {
    const address = await startServer(context, (_message, response) => response.end("{}"));
    const lateArrival = createArrival("/plain", {}, -500);
    const result = await runLoad({ addresses: [address], arrivals: [lateArrival] });
    assert.ok(percentileMilliseconds(result.kinds.get("k")!.total, 50) >= 499);
    assert.ok(result.worstSendLagMilliseconds >= 500);
});

// A run is invalid if session tokens are not sent back, the load generator cannot keep up, or load goes to
// other machines.
test("session tokens are sent back, excess requests not sent, other hosts an error", async context => {
    const tokens: unknown[] = [];
    const address = await startServer(context, (message, response) => {
        tokens.push(message.headers["session-token"]);
        response.setHeader("session-token", "t1");
        setTimeout(() => response.end("{}"), 20);
    });
    const request = { headers: { "session-id": "s" }, echoesSessionToken: true };
    const result = await runLoad({
        addresses: [address],
        arrivals: [
            createArrival("/", request),
            createArrival("/", request),
            createArrival("/", request, 200),
        ],
        maximumOpen: 1,
    });
    assert.deepEqual(tokens, [undefined, "t1"]);
    assert.equal(result.notSent, 1);
    await assert.rejects(runLoad({ addresses: ["http://192.0.2.1"], arrivals: [] }), /only sent to loopback/);
});

// Runs are reproducible only when equal seeds give equal requests.
test("equal seeds give equal arrivals, at the configured rate", () => {
    for (const workload of [tambores, spogulis]) {
        const draw = (seed: number) =>
            drawArrivals(workload, {
                ratePerSecond: 50,
                durationMilliseconds: 2000,
                random: createSeededRandom(seed),
            });
        assert.equal(JSON.stringify(draw(3)), JSON.stringify(draw(3)));
        assert.notEqual(JSON.stringify(draw(3)), JSON.stringify(draw(4)));
    }
    const times = poissonTimes(100, 100_000, createSeededRandom(5));
    // The standard deviation of 10,000 arrivals is 100; the fixed seed makes the result reproducible.
    assert.ok(Math.abs(times.length - 10_000) < 300, `${times.length}`);
});
