/** Sends requests to upstreams over HTTP with undici and reports whether a failed request may have run. */
import type { IncomingHttpHeaders } from "node:http";
import { Agent, buildConnector } from "undici";
import type { Dispatcher } from "undici";
import type { Lifecycle } from "../lifecycle/lifecycle.js";
import type { Verdict } from "../verdict/verdict.js";

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
    readonly onHead: (status: number, headers: IncomingHttpHeaders) => void;
    readonly onChunk: (chunk: Buffer) => void;
    /** The response ended and its body has the announced length. */
    readonly onEnd: () => void;
    /**
     * The exchange failed or was cancelled. `verdict` is `not-run` only if no byte of the request was written
     * to a connection.
     */
    readonly onFailure: (verdict: Verdict, reason: string) => void;
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

/** Error code for a connection that the upstream reset. */
const RESET_CODE = "UPSTREAM_RESET";

/**
 * Creates a connector that replaces the error code of connection resets. undici treats a reset as the regular
 * end of a response without a length, so a truncated response would appear complete.
 */
function createConnector(): buildConnector.connector {
    const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MILLISECONDS });
    return (options, callback) => {
        connect(options, (...result) => {
            const [, socket] = result;
            socket?.prependListener("error", (error: NodeJS.ErrnoException) => {
                error.code = error.code === "ECONNRESET" ? RESET_CODE : error.code;
            });
            callback(...result);
        });
    };
}

export function createHttpSend(lifecycle: Lifecycle): UpstreamSend {
    const pooledAgent = new Agent({
        pipelining: 1,
        connect: createConnector(),
        keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
        keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MILLISECONDS,
    });
    // With `pipelining: 0`, undici closes each connection after the first response.
    const singleUseAgent = new Agent({ pipelining: 0, connect: createConnector() });
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
        const fail = (error: Error): void => {
            handlers.onFailure(writeStarted ? "may-have-run" : "not-run", error.message);
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
                onResponseStart: (_controller, status, headers) => handlers.onHead(status, headers),
                onResponseData: (_controller, chunk) => handlers.onChunk(chunk),
                onResponseEnd: () => handlers.onEnd(),
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
