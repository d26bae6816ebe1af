/** Guards against truncated answers of the daemon that look complete (ORDER, LOST). */
import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { describeAnswer, looksComplete, openAnswer } from "../../platform/__tests__/open-answer.js";
import type { AnswerRequest, OpenAnswer } from "../../platform/__tests__/open-answer.js";
import { waitFor } from "../../platform/stand-ins/deployment.js";
import { startDeployment } from "../deployment.js";
import type { DeploymentNode } from "../deployment.js";
import { createFirstTicket, SPOGULIS_KEY } from "../first-ticket.js";
import type { Engine } from "../stand-ins/engine.js";
import { startStandIn } from "../stand-ins/http.js";
import type { StandInCall, StandInServer } from "../stand-ins/http.js";

const END_MODULE = new URL("../../platform/__tests__/end-itself.js", import.meta.url);

const ENGINE_VERSIONS = [{ model: "small", version: "v1" }];
const STREAM_TOKENS = 400;

/** Two crash. */
const SERVICES = 4;

const PAUSE_MILLISECONDS = 50;

const FIRST_HALF = "first half, ";
const WHOLE_ANSWER = `${FIRST_HALF}second half`;

/** Sends an answer with neither a length nor chunks, and ends after the first half if `crash` is given. */
async function answerUnframed(
    { headers, response }: StandInCall,
    crash?: () => Promise<void>,
): Promise<void> {
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
    response.writeHead(200, { "attempt-id": String(headers["attempt-id"]) }).write(FIRST_HALF);
    await delay(PAUSE_MILLISECONDS);
    if (crash !== undefined) {
        await crash();
        return;
    }
    response.end(WHOLE_ANSWER.slice(FIRST_HALF.length));
}

/** Starts services that crash once within the answer to each request whose path ends with `/crash`. */
async function startServices(): Promise<readonly StandInServer[]> {
    const crashed = new Set<string>();
    const start = async (): Promise<StandInServer> => {
        const service: StandInServer = await startStandIn(async call => {
            const crashes = call.path.endsWith("/crash") && !crashed.has(call.path);
            crashed.add(call.path);
            await answerUnframed(call, crashes ? () => service.close() : undefined);
        });
        return service;
    };
    return Promise.all(Array.from({ length: SERVICES }, start));
}

interface Fixture {
    readonly node: DeploymentNode;
    readonly engine: Engine;
    stop(): Promise<void>;
}

async function deploy(nodeOptions: readonly string[] = []): Promise<Fixture> {
    const services = await startServices();
    const deployment = await startDeployment({
        nodes: 1,
        dataCentres: ["patio"],
        region: "litoral",
        engines: ENGINE_VERSIONS.map(version => ({
            ...version,
            tokensPerSecond: 50,
            firstTokenMilliseconds: 10,
            memoryTokens: 1_000_000,
            coldConcurrency: 100,
            coldMilliseconds: 0,
        })),
        services: 0,
        rate: () => 1,
        nodeOptions,
    });
    const ticket = createFirstTicket(
        {
            engines: deployment.engines,
            services: services.map(service => ({ ...service, runs: new Map(), setFaults: () => undefined })),
        },
        ENGINE_VERSIONS,
        ["patio"],
        "litoral",
    );
    await deployment.apply(ticket);
    return {
        node: deployment.nodes[0]!,
        engine: deployment.engines[0]!,
        stop: async () => {
            await deployment.stop();
            await Promise.all(services.map(service => service.close()));
        },
    };
}

function open(node: DeploymentNode, request: AnswerRequest): OpenAnswer {
    return openAnswer(node.callers.replace("http://", ""), { key: SPOGULIS_KEY, ...request });
}

const STREAM: AnswerRequest = {
    path: "/v1/chat/completions",
    headers: ["content-type: application/json"],
    body: JSON.stringify({
        model: "small",
        stream: true,
        max_tokens: STREAM_TOKENS,
        messages: [{ role: "user", content: "question" }],
    }),
};

interface Ending {
    readonly name: string;
    readonly way?: "exception" | "rejection" | "exit";
    readonly end: (node: DeploymentNode) => void | Promise<void>;
}

const endItself = (node: DeploymentNode): void => void node.process.kill("SIGUSR2");

const ENDINGS: readonly Ending[] = [
    { name: "SIGKILL", end: node => void node.process.kill("SIGKILL") },
    {
        name: "a second SIGTERM",
        end: async node => {
            node.process.kill("SIGTERM");
            await delay(400);
            node.process.kill("SIGTERM");
        },
    },
    { name: "an uncaught exception", way: "exception", end: endItself },
    { name: "an unhandled rejection", way: "rejection", end: endItself },
    { name: "process.exit", way: "exit", end: endItself },
];

async function receiveUntil(answer: OpenAnswer, part: string): Promise<void> {
    await waitFor(`the answer contains ${JSON.stringify(part)}`, () =>
        answer.received().includes(part),
    ).catch((cause: unknown) => {
        throw new Error(`the answer is ${JSON.stringify(answer.received().slice(-500))}`, { cause });
    });
}

/** Opens a stream, again while the node says that it did not run the request. */
async function openBegunStream(node: DeploymentNode): Promise<OpenAnswer> {
    let stream = open(node, STREAM);
    await waitFor("the stream has begun", () => {
        if (/^HTTP\/1.1 503[^]*\r\nverdict: not-run\r\n/.test(stream.received())) {
            stream = open(node, STREAM);
        }
        return stream.received().includes("id: 5\n");
    });
    return stream;
}

/** Ends a daemon in the middle of a stream, and describes the stream if it looks complete. */
async function endWithinStream({ name, way, end }: Ending): Promise<readonly string[]> {
    const { node, stop } = await deploy(
        way === undefined ? [] : ["--import", `${END_MODULE.href}?way=${way}`],
    );
    try {
        const stream = await openBegunStream(node);
        await end(node);
        await node.exited;
        const connectionEnd = await stream.ended;
        return looksComplete(stream.received(), connectionEnd)
            ? [`${name}: ${describeAnswer(stream.received(), connectionEnd)}`]
            : [];
    }
    finally {
        await stop();
    }
}

test("no truncated stream of the daemon looks complete, however its process ends", async () => {
    assert.deepEqual((await Promise.all(ENDINGS.map(endWithinStream))).flat(), []);
});

let shared: Fixture;
before(async () => {
    shared = await deploy();
});
after(() => shared.stop());

const SERVICE_CALLS = [
    { method: "GET", path: "/services/dispatch/stock" },
    { method: "POST", path: "/services/dispatch/bookings" },
];

/** Sends a request with an idempotency key, which is the same for the same path. */
async function callService(method: string, path: string, version?: "1.0"): Promise<string> {
    const answer = open(shared.node, {
        method,
        path,
        headers: [`idempotency-key: ${path.replaceAll("/", "-")}`, "connection: close"],
        ...(version === undefined ? {} : { version }),
    });
    await answer.ended;
    return answer.received();
}

for (const { method, path } of SERVICE_CALLS) {
    test(`the daemon passes on a whole answer without framing to ${method}`, async () => {
        const answer = await callService(method, `${path}/whole`);
        assert.ok(answer.startsWith("HTTP/1.1 200") && answer.includes(WHOLE_ANSWER), answer);
    });

    test(`an answer without framing to ${method} that a crash truncates is no whole answer of the daemon`, async () => {
        // The second call would get an outcome that was recorded for the first one.
        for (const answer of [
            await callService(method, `${path}/crash`),
            await callService(method, `${path}/crash`),
        ]) {
            assert.ok(!answer.startsWith("HTTP/1.1 200") || answer.includes(WHOLE_ANSWER), answer);
        }
    });
}

for (const { what, method, path, status } of [
    { what: "an answer of a service", method: "GET", path: "/services/dispatch/stock/whole", status: 200 },
    { what: "a list", method: "GET", path: "/v1/models", status: 200 },
    { what: "the readiness", method: "GET", path: "/readyz", status: 200 },
    { what: "a rejection", method: "POST", path: "/v1/completions", status: 400 },
    { what: "an unknown path", method: "GET", path: "/nowhere", status: 404 },
]) {
    test(`the daemon sends ${what} to callers of HTTP/1.0 with a length`, async () => {
        const answer = await callService(method, path, "1.0");
        assert.match(answer, new RegExp(`^HTTP/1.1 ${status}`));
        assert.match(answer, /^content-length: [1-9]\d*$/im);
    });
}

test("the daemon sends its status to operators with HTTP/1.0 with a length", async () => {
    const operators = shared.node.operators.replace("http://", "");
    const answer = openAnswer(operators, {
        version: "1.0",
        method: "GET",
        path: "/status",
        key: "operator-key",
    });
    await answer.ended;
    assert.match(answer.received(), /^HTTP\/1.1 200[^]*\r\ncontent-length: [1-9]/i);
});

test("a stream that its engine breaks off ends with an error and without [DONE]", async () => {
    const stream = open(shared.node, { ...STREAM, headers: [...STREAM.headers!, "connection: close"] });
    await receiveUntil(stream, "id: 5\n");
    await shared.engine.close();
    await stream.ended;
    assert.match(stream.received(), /event: error/);
    assert.doesNotMatch(stream.received(), /\[DONE\]/);
});
