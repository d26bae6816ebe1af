/** A request forwarder between upstreams that write raw bytes and callers that see how an answer ends. */
import assert from "node:assert/strict";
import { createServer as createHttpServer } from "node:http";
import type { IncomingHttpHeaders } from "node:http";
import { connect, createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import type { TestContext } from "node:test";
import { systemClock } from "../../common/clock.js";
import { createLifecycle } from "../../lifecycle/lifecycle.js";
import type { Route } from "../../routes/entities.js";
import { createLoadBoard } from "../../upstream-table/load-board.js";
import { createTestUpstream } from "../../upstream-table/__tests__/upstream-fixtures.js";
import { createHttpSend } from "../../upstreams/send.js";
import { createLatencyReference } from "../latency-reference.js";
import type { HeaderCodec } from "../protocol.js";
import { createRequestForwarder } from "../request-forwarder.js";
import type { MatchedRequest, RequestForwarderOptions } from "../request-forwarder.js";
import type { RequestEnd } from "../request-end.js";

/** How the answer to a caller ended. */
export type AnswerEnd =
    /** By its length or its last chunk. */
    | "framed"
    /** With its connection, and has neither a length nor chunks. */
    | "closed"
    /** Its connection closed or was reset before the end of its framing, or was reset without framing. */
    | "broken";

export interface CallerAnswer {
    readonly status: number;
    readonly body: string;
    readonly end: AnswerEnd;
    readonly outcome: RequestEnd["outcome"];
    /** The router states that only an upstream's connection marked the end. */
    readonly isEndUnconfirmed: boolean;
}

/** Answers an attempt. `attempt` counts from 0, `lastEventId` is 0 without one. */
export type RespondToAttempt = (
    socket: Socket,
    attempt: number,
    head: string,
    lastEventId: number,
    /** Head of the request. */
    request?: string,
) => void | Promise<void>;

export interface ForwarderFixture {
    /** Sends a request on its own connection. */
    send(
        route: Partial<Route>,
        respond: RespondToAttempt,
        httpVersion?: "1.0" | "1.1",
        lastEventId?: string,
    ): Promise<CallerAnswer>;
}

const UPSTREAM_COUNT = 3;

const HTTP_NO_CONTENT = 204;

const ROUTE: Route = {
    name: "reports",
    host: "a.example",
    prefix: "/",
    kind: "stream",
    split: [{ service: "engines", weight: 1 }],
    timeoutMilliseconds: 3000,
    targetLatencyMilliseconds: 1000,
    targetGapMilliseconds: 1000,
    maximumAttempts: 3,
    public: true,
    resumable: true,
    priority: 0,
    models: [],
};

function textOf(headers: IncomingHttpHeaders, name: string): string | undefined {
    return headers[name] as string | undefined;
}

const codec: HeaderCodec = {
    eventFields: new Set(["version"]),
    decodeRequest: () => {
        throw new Error("not used");
    },
    encodeRequest: (headers, { lastEventId }) => ({
        attempt: textOf(headers, "attempt")!,
        ...(lastEventId === undefined ? {} : { "last-event-id": lastEventId }),
    }),
    encodeHandover: () => {
        throw new Error("not used");
    },
    decodeResponse: (_status, headers) => ({
        attemptId: textOf(headers, "attempt"),
        isSigned: true,
        isNotRun: headers["not-run"] !== undefined,
        confidence: undefined,
        limitPerSecond: undefined,
        retryAfterSeconds: undefined,
        maximumRejectionsPerSecond: undefined,
        isLeaving: false,
        isEventStream: headers["content-type"] === "text/event-stream",
        isEncoded: false,
    }),
    encodeResponse: headers => ({
        attempt: headers.attempt,
        "content-type": headers["content-type"],
        "content-length": headers["content-length"],
    }),
    encodeRouterResponse: () => ({}),
};

async function listen(server: Server): Promise<number> {
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return (server.address() as AddressInfo).port;
}

/** Decodes a chunked body. `isComplete` states that its last chunk is there. */
function decodeChunks(text: string): { readonly body: string; readonly isComplete: boolean } {
    let body = "";
    let rest = text;
    for (;;) {
        const lineEnd = rest.indexOf("\r\n");
        const size = lineEnd < 0 ? NaN : parseInt(rest.slice(0, lineEnd), 16);
        if (Number.isNaN(size)) {
            return { body, isComplete: false };
        }
        if (size === 0) {
            return { body, isComplete: rest.slice(lineEnd).startsWith("\r\n\r\n") };
        }
        body += rest.slice(lineEnd + 2, lineEnd + 2 + size);
        rest = rest.slice(lineEnd + 2 + size + 2);
    }
}

function decodeAnswer(text: string, hasEnded: boolean): Omit<CallerAnswer, "outcome" | "isEndUnconfirmed"> {
    const headEnd = text.indexOf("\r\n\r\n");
    if (headEnd < 0) {
        return { status: 0, body: "", end: "broken" };
    }
    const head = text.slice(0, headEnd).toLowerCase();
    const rest = text.slice(headEnd + 4);
    const status = Number(head.split(" ", 2)[1]);
    const length = /\ncontent-length: (\d+)/.exec(head)?.[1];
    if (length !== undefined) {
        return { status, body: rest, end: rest.length === Number(length) ? "framed" : "broken" };
    }
    if (/\ntransfer-encoding: chunked/.test(head)) {
        const { body, isComplete } = decodeChunks(rest);
        return { status, body, end: isComplete ? "framed" : "broken" };
    }
    return { status, body: rest, end: hasEnded ? "closed" : "broken" };
}

/** Sends a request and reads until the connection closes. */
function callRaw(
    port: number,
    id: string,
    httpVersion: string,
    lastEventId?: string,
): Promise<Omit<CallerAnswer, "outcome" | "isEndUnconfirmed">> {
    const resume = lastEventId === undefined ? "" : `last-event-id: ${lastEventId}\r\n`;
    return new Promise(resolve => {
        let text = "";
        let hasEnded = false;
        const socket = connect(port, "127.0.0.1", () => {
            socket.write(
                `GET / HTTP/${httpVersion}\r\nhost: a\r\nattempt: ${id}\r\n${resume}connection: close\r\n\r\n`,
            );
        });
        socket.on("data", (data: Buffer) => (text += data.toString("latin1")));
        socket.on("error", () => undefined);
        socket.on("end", () => (hasEnded = true));
        socket.on("close", () => resolve(decodeAnswer(text, hasEnded)));
    });
}

/** Suspects nothing. */
export const NO_QUARANTINE: RequestForwarderOptions["quarantine"] = {
    reject: () => undefined,
    isSuspect: () => false,
    watch: () => () => undefined,
    recordBreak: () => undefined,
    recordBreakWithinAnswer: () => undefined,
    recordResponse: () => undefined,
    recordAnswer: () => undefined,
    recordSurvival: () => undefined,
};

export async function createForwarderFixture(
    context: TestContext,
    overrides:
        | Partial<RequestForwarderOptions>
        | ((defaults: RequestForwarderOptions) => Partial<RequestForwarderOptions>) = {},
): Promise<ForwarderFixture> {
    const responders = new Map<string, RespondToAttempt>();
    const attempts = new Map<string, number>();
    const routes = new Map<string, Route>();
    const ends = new Map<string, (end: RequestEnd) => void>();
    const sockets = new Set<Socket>();
    const upstream = createServer({ allowHalfOpen: true, noDelay: true }, socket => {
        sockets.add(socket);
        let received = "";
        socket.on("error", () => undefined);
        socket.on("end", () => socket.end());
        socket.on("close", () => sockets.delete(socket));
        socket.on("data", (data: Buffer) => {
            received += data.toString("latin1");
            if (received.includes("\r\n\r\n")) {
                const id = /\nattempt: (\S+)/.exec(received)![1]!;
                const lastEventId = Number(/\nlast-event-id: (\d+)/.exec(received)?.[1] ?? 0);
                const attempt = attempts.get(id) ?? 0;
                const request = received;
                attempts.set(id, attempt + 1);
                received = "";
                void responders.get(id)!(
                    socket,
                    attempt,
                    `HTTP/1.1 200 x\r\nattempt: ${id}\r\n`,
                    lastEventId,
                    request,
                );
            }
        });
    });
    const upstreamPort = await listen(upstream);
    const lifecycle = createLifecycle();
    const upstreams = Array.from({ length: UPSTREAM_COUNT }, (_, index) =>
        createTestUpstream(`e${index}`, { address: `127.0.0.1:${upstreamPort}` }),
    );
    const defaults: RequestForwarderOptions = {
        clock: systemClock,
        random: Math.random,
        codec,
        send: createHttpSend(lifecycle),
        upstreamsOf: () => upstreams,
        versionPreferenceOf: () => undefined,
        recordSend: () => undefined,
        retryBudget: {
            recordRequest: () => undefined,
            tryConsume: () => true,
            remainingShare: () => 1,
        },
        loads: createLoadBoard(),
        latencies: createLatencyReference(),
        framing: { record: () => undefined, unframedShare: () => 0 },
        quarantine: NO_QUARANTINE,
        isLeaving: () => false,
        probe: () => Promise.resolve("connected"),
        nodeCount: () => 1,
        recordLeaving: () => undefined,
        recordUnanswered: () => undefined,
        modelChoice: { evenConfidence: 50, confidenceScale: 10, worthPerThousandTokens: 0 },
        coldAllowance: () => Infinity,
        limits: { hasRoom: () => true, record: () => undefined, consume: () => undefined },
        isBrittle: () => false,
        hasFreeSlot: () => true,
        recordBrittle: () => undefined,
        countAttempt: () => undefined,
        countBrokenOff: () => undefined,
        recordEvidence: () => undefined,
    };
    const forward = createRequestForwarder({
        ...defaults,
        ...(typeof overrides === "function" ? overrides(defaults) : overrides),
    });
    await lifecycle.start();

    const router = createHttpServer((message, response) => {
        const id = textOf(message.headers, "attempt")!;
        const callerLeft = new AbortController();
        response.once("close", () => callerLeft.abort());
        const request: MatchedRequest = {
            head: {
                attemptId: id,
                remainingMilliseconds: undefined,
                key: undefined,
                promptTokens: 0,
                maximumOutputTokens: 0,
                expectedOutputTokens: undefined,
                promptParts: [],
                session: undefined,
                allowsModelChoice: false,
                lastEventId: textOf(message.headers, "last-event-id"),
            },
            method: "GET",
            path: "/",
            headers: message.headers,
            body: Buffer.alloc(0),
            route: routes.get(id)!,
            service: {
                name: "engines",
                coldRequestsPerSecond: 0,
                engineTokens: undefined,
                slots: undefined,
                modelCosts: new Map(),
            },
            workspace: undefined,
            arrivedAt: systemClock.now(),
            trace: { add: () => undefined, end: () => undefined },
            callerLeft: callerLeft.signal,
        };
        void forward(request, response).then(end => ends.get(id)!(end));
    });
    const routerPort = await listen(router);
    context.after(async () => {
        router.closeAllConnections();
        router.close();
        await lifecycle.stop();
        sockets.forEach(socket => socket.destroy());
        upstream.close();
    });

    let count = 0;
    return {
        send: async (route, respond, httpVersion = "1.1", lastEventId = undefined) => {
            count += 1;
            const id = `r${count}`;
            responders.set(id, respond);
            routes.set(id, { ...ROUTE, ...route });
            const ended = new Promise<RequestEnd>(resolve => ends.set(id, resolve));
            const answer = await callRaw(routerPort, id, httpVersion, lastEventId);
            if (httpVersion === "1.1" && answer.status !== HTTP_NO_CONTENT) {
                assert.notEqual(answer.end, "closed", "the answer has neither a length nor chunks");
            }
            const { outcome, isEndUnconfirmed = false } = await ended;
            return { ...answer, outcome, isEndUnconfirmed };
        },
    };
}
