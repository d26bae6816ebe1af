/** Sends requests to upstreams over HTTP with undici and reports whether a failed request may have run. */
import type { IncomingHttpHeaders } from "node:http";
import { Socket } from "node:net";
import { Agent, buildConnector } from "undici";
import type { Dispatcher } from "undici";
import { watchForReset } from "../common/reset-connection.js";
import type { Lifecycle } from "../lifecycle/lifecycle.js";
import type { Verdict } from "../verdict/verdict.js";
import { hasCertainEnd } from "./framing.js";

export interface UpstreamRequest {
    /** Base URL of the upstream. */
    readonly address: string;
    readonly method: string;
    readonly path: string;
    readonly headers: Readonly<Record<string, string | string[]>>;
    readonly body: string | Uint8Array | undefined;
    /**
     * Uses a new connection, which is closed after the response. It carries no leftover bytes of an earlier
     * exchange, and the upstream cannot close it for being idle while the request is sent.
     *
     * @default false
     */
    readonly dedicatedConnection?: boolean;
    /** Timeout for the status and headers of the response; 0 disables it. */
    readonly headTimeoutMilliseconds: number;
    /** Maximum time between two chunks of the body; 0 disables the limit. */
    readonly idleTimeoutMilliseconds: number;
}

export interface UpstreamHandlers {
    /** The connection is established and the request is about to be written to it. */
    readonly onStart?: () => void;
    /** `earlierResponses` counts the responses that were read from the connection before. */
    readonly onHead: (status: number, headers: IncomingHttpHeaders, earlierResponses?: number) => void;
    readonly onChunk: (chunk: Buffer) => void;
    /** The response ended and its body has the announced length. */
    readonly onEnd: () => void;
    /**
     * The exchange failed or was cancelled. `verdict` is `not-run` only if no byte of the request was written
     * to a connection. `isBrokenOff` states that the upstream closed or reset the connection, `isRefused` that
     * no process listens at its address.
     */
    readonly onFailure: (verdict: Verdict, reason: string, isBrokenOff: boolean, isRefused: boolean) => void;
}

/** A running request and its response. */
export interface UpstreamExchange {
    /** Stops reading the response. TCP flow control then stops the upstream from sending. */
    pause(): void;
    resume(): void;
    /** Closes the connection. `onFailure` is called unless the exchange has already ended. */
    cancel(): void;
}

export type UpstreamSend = (request: UpstreamRequest, handlers: UpstreamHandlers) => UpstreamExchange;

const CONNECT_TIMEOUT_MILLISECONDS = 2000;

/**
 * Time for which an idle connection is reused. It is shorter than the keep-alive timeout of common servers,
 * because a request on a connection that the server is closing fails with an unknown outcome.
 */
const KEEP_ALIVE_MILLISECONDS = 2000;

/** Margin by which an idle connection is closed before the keep-alive timeout that the upstream announces. */
const KEEP_ALIVE_MARGIN_MILLISECONDS = 700;

/** Lower statuses belong to informational heads, which precede the head of the response. */
const HTTP_OK = 200;

/** HTTP has no higher statuses. */
const MAXIMUM_HTTP_STATUS = 599;

/** Error code for a connection that the upstream reset. */
const RESET_CODE = "UPSTREAM_RESET";

/** Error codes of connections that the upstream closed or reset, UND_ERR_SOCKET for a regular close. */
const BROKEN_OFF_CODES: ReadonlySet<string | undefined> = new Set([
    "UND_ERR_SOCKET",
    RESET_CODE,
    "ECONNRESET",
    "EPIPE",
]);

/**
 * Bytes that may arrive on a connection without a response head or a part of a body among them, bytes. Exceeds
 * the largest head and the read buffers of a connection that is paused.
 */
const MAXIMUM_STRAY_BYTES = 256 * 1024;

/**
 * Time after the end of a connection in which the upstream may still reset it, milliseconds: many round trips
 * within a region. An upstream that closes a connection within an upload resets it when more of the upload arrives.
 */
const LATE_RESET_MILLISECONDS = 25;

/** What is known of a connection besides the responses that are read from it. */
interface WatchedConnection {
    /** Records that a head or a part of a body was read. */
    recordProgress(): void;
    /** Records that the head of a response was read, and returns how many were read before. */
    countResponse(): number;
    /** Whether the upstream reset the connection before its end was read. */
    wasReset(): boolean;
    /** Whether the upstream has closed the connection, after bytes that could be read. */
    hasEnded(): boolean;
    /** Waits for a reset after the end of the connection before the end is reported. */
    delayEnd(): void;
}

/** Sees the connections of an agent. */
interface ConnectionWatch {
    readonly connect: buildConnector.connector;
    /** Connection whose bytes are being read; only meaningful in a callback of undici that reads a head. */
    current(): WatchedConnection | undefined;
}

/**
 * Creates a connector with three additions to undici's:
 *
 * - It replaces the error code of connection resets. undici treats a reset as the regular end of a response
 *   without a length, so a truncated response would appear complete.
 * - It recognizes resets that arrive together with bytes, and which libuv reports as a regular end, and resets
 *   that follow the end of a response without a length.
 * - It closes a connection on which bytes that are no response arrive without end: status lines, informational
 *   heads, empty lines, chunk extensions. undici limits only the header fields.
 */
function createConnectionWatch(): ConnectionWatch {
    const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MILLISECONDS });
    let current: WatchedConnection | undefined;

    const watch = (socket: Socket): void => {
        let bytesAtProgress = 0;
        let responses = 0;
        let hasEnded = false;
        // undici reports an end within chunks as a malformed response if the upstream had announced a close.
        socket.prependListener("end", () => {
            hasEnded = true;
        });
        // undici ends the response in its own listener for the end, which it adds later.
        const resets = watchForReset(socket);
        const connection: WatchedConnection = {
            recordProgress: () => {
                bytesAtProgress = socket.bytesRead;
            },
            countResponse: () => {
                responses += 1;
                return responses - 1;
            },
            wasReset: resets.wasReset,
            hasEnded: () => hasEnded,
            delayEnd: () => resets.delayEnd(LATE_RESET_MILLISECONDS),
        };
        socket.prependListener("error", (error: NodeJS.ErrnoException) => {
            error.code = error.code === "ECONNRESET" ? RESET_CODE : error.code;
        });
        // undici reads in its own listener for this event, directly after this one.
        socket.prependListener("readable", () => {
            current = connection;
            if (socket.bytesRead - bytesAtProgress > MAXIMUM_STRAY_BYTES) {
                socket.destroy(new Error(`${MAXIMUM_STRAY_BYTES} bytes arrived without an answer`));
            }
        });
    };

    return {
        connect: (options, callback) => {
            connect(options, (...result) => {
                const [, socket] = result;
                // A failed connection has no socket.
                if (socket instanceof Socket) {
                    watch(socket);
                }
                callback(...result);
            });
        },
        current: () => current,
    };
}

export function createHttpSend(lifecycle: Lifecycle): UpstreamSend {
    const connections = createConnectionWatch();
    const pooledAgent = new Agent({
        pipelining: 1,
        connect: connections.connect,
        keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
        keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MILLISECONDS,
    });
    // With `pipelining: 0`, undici closes each connection after the first response.
    const singleUseAgent = new Agent({ pipelining: 0, connect: connections.connect });
    lifecycle.add({
        name: "upstream connections",
        start: () => async () => {
            await pooledAgent.destroy();
            await singleUseAgent.destroy();
        },
    });

    return (request, handlers) => {
        let controller: Dispatcher.DispatchController | undefined;
        let cancelled = false;
        let writeStarted = false;
        let connection: WatchedConnection | undefined;
        const fail = (error: NodeJS.ErrnoException): void => {
            handlers.onFailure(
                writeStarted ? "may-have-run" : "not-run",
                error.message,
                BROKEN_OFF_CODES.has(error.code) || connection?.hasEnded() === true,
                error.code === "ECONNREFUSED",
            );
        };
        const agent = request.dedicatedConnection === true ? singleUseAgent : pooledAgent;
        agent.dispatch(
            {
                origin: request.address,
                path: request.path,
                method: request.method as Dispatcher.HttpMethod,
                headers: { ...request.headers },
                body: request.body,
                headersTimeout: request.headTimeoutMilliseconds,
                bodyTimeout: request.idleTimeoutMilliseconds,
            },
            {
                onRequestStart: dispatchController => {
                    controller = dispatchController;
                    if (cancelled) {
                        dispatchController.abort(new Error("cancelled before it was sent"));
                        return;
                    }
                    // undici writes the request directly after this callback.
                    writeStarted = true;
                    handlers.onStart?.();
                },
                onResponseStart: (responseController, status, headers) => {
                    if (status > MAXIMUM_HTTP_STATUS) {
                        responseController.abort(new Error(`the status ${status} is not valid`));
                        return;
                    }
                    let earlierResponses = 0;
                    if (status >= HTTP_OK) {
                        connection = connections.current();
                        connection?.recordProgress();
                        earlierResponses = connection?.countResponse() ?? 0;
                        if (request.body !== undefined && !hasCertainEnd(request.method, status, headers)) {
                            connection?.delayEnd();
                        }
                    }
                    handlers.onHead(status, headers, earlierResponses);
                },
                onResponseData: (_controller, chunk) => {
                    connection?.recordProgress();
                    handlers.onChunk(chunk);
                },
                onResponseEnd: () => {
                    if (connection?.wasReset() === true) {
                        fail(
                            Object.assign(new Error("the upstream reset the connection"), {
                                code: RESET_CODE,
                            }),
                        );
                    }
                    else {
                        handlers.onEnd();
                    }
                },
                onResponseError: (_controller, error) => fail(error),
            },
        );
        return {
            pause: () => controller?.pause(),
            resume: () => controller?.resume(),
            cancel: () => {
                cancelled = true;
                controller?.abort(new Error("cancelled"));
            },
        };
    };
}
