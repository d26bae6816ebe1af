/** An upstream that writes raw bytes, a caller, and one attempt between them over real sockets. */
import { createServer as createHttpServer, request as sendRequest } from "node:http";
import type { IncomingHttpHeaders } from "node:http";
import { createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import type { TestContext } from "node:test";
import { watchForReset } from "../../common/reset-connection.js";
import type { ResetWatch } from "../../common/reset-connection.js";
import { createLifecycle } from "../../lifecycle/lifecycle.js";
import { createHttpSend } from "../../upstreams/send.js";
import { runAttempt } from "../attempt.js";
import type { AttemptResult, ForwardingAttemptOptions } from "../attempt.js";
import type { ResponseHead } from "../protocol.js";
import { createResponseSink } from "../response-sink.js";
import { abortResponse } from "../router-response.js";

/** Handles a whole request that arrived on a connection. Requests have no bodies. */
export type RawHandler = (socket: Socket, attemptId: string) => void;

/** Response header with the id of the attempt that the response belongs to. */
const ATTEMPT_HEADER = "attempt";

/** Length up to which the caller keeps the body of a response, characters. */
const MAXIMUM_KEPT_BODY = 1024 * 1024;

/** What the caller received. */
export interface CallerResult {
    readonly status: number | undefined;
    readonly headers: IncomingHttpHeaders;
    readonly body: string;
    /** The response arrived to its end, as far as the caller can tell. */
    readonly complete: boolean;
}

export interface AttemptOutcome {
    readonly result: AttemptResult;
    readonly caller: CallerResult;
}

export interface RawUpstream {
    /** Connections that are open at the upstream. */
    readonly openSockets: ReadonlySet<Socket>;
    /** Connections since the start. */
    connectionCount(): number;
    /** Sends a request of the attempt id through an attempt and returns what became of it. */
    send(attemptId: string, overrides?: Partial<ForwardingAttemptOptions>): Promise<AttemptOutcome>;
}

function decodeHead(_status: number, headers: IncomingHttpHeaders): ResponseHead {
    return {
        attemptId: headers[ATTEMPT_HEADER] as string | undefined,
        isSigned: headers["signature"] !== undefined,
        isNotRun: headers["not-run"] !== undefined,
        confidence: undefined,
        limitPerSecond: undefined,
        retryAfterSeconds: undefined,
        maximumRejectionsPerSecond: undefined,
        isLeaving: false,
        isEventStream: headers["content-type"] === "text/event-stream",
        isEncoded: false,
    };
}

/** Head of a response, up to and including the empty line. */
export function createHead(status: number, attemptId: string, headers: readonly string[] = []): string {
    const lines = [`HTTP/1.1 ${status} x`, `${ATTEMPT_HEADER}: ${attemptId}`, "signature: s", ...headers];
    return `${lines.join("\r\n")}\r\n\r\n`;
}

export const STREAM_HEADERS: readonly string[] = [
    "content-type: text/event-stream",
    "transfer-encoding: chunked",
];

export function createChunk(text: string): string {
    return `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;
}

async function listen(server: Server): Promise<number> {
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return (server.address() as AddressInfo).port;
}

function callOnce(port: number, attemptId: string): Promise<CallerResult> {
    return new Promise(resolve => {
        const outgoing = sendRequest({ port, host: "127.0.0.1", path: `/${attemptId}`, agent: false });
        outgoing.on("error", () => {
            resolve({ status: undefined, headers: {}, body: "", complete: false });
        });
        let resets: ResetWatch | undefined;
        outgoing.on("socket", socket => {
            resets = watchForReset(socket);
        });
        outgoing.on("response", response => {
            let body = "";
            response.on("data", (chunk: Buffer) => {
                body = body.length < MAXIMUM_KEPT_BODY ? body + chunk.toString("latin1") : body;
            });
            response.on("error", () => undefined);
            response.on("close", () => {
                const { statusCode: status, headers } = response;
                const complete = response.complete && resets?.wasReset() !== true;
                resolve({ status, headers, body, complete });
            });
        });
        outgoing.end();
    });
}

export async function createRawUpstream(context: TestContext, handle: RawHandler): Promise<RawUpstream> {
    const openSockets = new Set<Socket>();
    let connections = 0;
    const upstream = createServer({ allowHalfOpen: true, noDelay: true }, socket => {
        connections += 1;
        openSockets.add(socket);
        socket.on("error", () => undefined);
        socket.on("end", () => socket.end());
        socket.on("close", () => openSockets.delete(socket));
        let received = "";
        socket.on("data", (data: Buffer) => {
            received += data.toString("latin1");
            for (let end = received.indexOf("\r\n\r\n"); end >= 0; end = received.indexOf("\r\n\r\n")) {
                const path = received.slice(0, end).split(" ", 2)[1]!;
                received = received.slice(end + 4);
                handle(socket, path.slice(1));
            }
        });
    });
    const upstreamPort = await listen(upstream);
    const lifecycle = createLifecycle();
    const send = createHttpSend(lifecycle);
    await lifecycle.start();

    const options = new Map<string, Partial<ForwardingAttemptOptions>>();
    const results = new Map<string, (result: AttemptResult) => void>();
    const router = createHttpServer((message, response) => {
        const attemptId = message.url!.slice(1);
        const callerLeft = new AbortController();
        response.once("close", () => callerLeft.abort());
        void runAttempt({
            send,
            request: {
                address: `http://127.0.0.1:${upstreamPort}`,
                method: "GET",
                path: message.url!,
                headers: {},
                body: undefined,
                headTimeoutMilliseconds: 0,
                idleTimeoutMilliseconds: 0,
            },
            attemptId,
            sink: createResponseSink({
                response,
                encodeHeaders: ({ attempt }) => (attempt === undefined ? {} : { attempt }),
                lastEventId: undefined,
                eventFields: new Set(),
                onFirstByte: () => undefined,
            }),
            decodeHead,
            tryEscalate: () => false,
            connectMilliseconds: 400,
            headMilliseconds: 1000,
            gapMilliseconds: undefined,
            remainingMilliseconds: 5000,
            mayRetryUnframed: () => false,
            expectsConfirmation: false,
            callerLeft: callerLeft.signal,
            ...options.get(attemptId),
        }).then(result => {
            if (result.kind !== "delivered") {
                void abortResponse(response);
            }
            results.get(attemptId)!(result);
        });
    });
    const routerPort = await listen(router);
    context.after(async () => {
        router.closeAllConnections();
        router.close();
        await lifecycle.stop();
        openSockets.forEach(socket => socket.destroy());
        upstream.close();
    });

    return {
        openSockets,
        connectionCount: () => connections,
        send: async (attemptId, overrides = {}) => {
            options.set(attemptId, overrides);
            const result = new Promise<AttemptResult>(resolve => results.set(attemptId, resolve));
            const caller = await callOnce(routerPort, attemptId);
            return { caller, result: await result };
        },
    };
}
