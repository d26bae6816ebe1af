/** Sends exchanges to upstreams over HTTP with undici and reports what is certain about them. */
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
     * Uses a new connection, which is closed after the answer: no earlier exchange can have left bytes on it,
     * and the upstream cannot be closing it because it was idle.
     *
     * @default false
     */
    readonly ownConnection?: boolean;
    /** Milliseconds to wait for the head of the response; 0 to wait without limit. */
    readonly headTimeoutMilliseconds: number;
    /** Milliseconds between chunks of the body; 0 to wait without limit. */
    readonly idleTimeoutMilliseconds: number;
}

export interface UpstreamHandlers {
    /** A connection is there and the request is being written to it. */
    readonly onStart?: () => void;
    readonly onHead: (status: number, headers: IncomingHttpHeaders) => void;
    readonly onChunk: (chunk: Buffer) => void;
    /** The response ended, with as many bytes as its head announced. */
    readonly onEnd: () => void;
    /**
     * The exchange failed or was cancelled. `verdict` is `not-run` only when no byte of the request was handed
     * to a connection.
     */
    readonly onFailure: (verdict: Verdict, reason: string) => void;
}

/** An exchange under way. */
export interface UpstreamExchange {
    /** Stops reading from the upstream; the connection's flow control stops the upstream. */
    pause(): void;
    resume(): void;
    /** Closes the connection. `onFailure` follows unless the exchange had ended. */
    cancel(): void;
}

export type UpstreamSend = (request: UpstreamRequest, handlers: UpstreamHandlers) => UpstreamExchange;

/** Milliseconds to set up a connection. */
const CONNECT_TIMEOUT_MILLISECONDS = 2000;

/**
 * Milliseconds that an idle connection is kept. Lower than the keep-alive time of usual servers, because a
 * request on a connection that the server is closing fails with an unknown outcome.
 */
const KEEP_ALIVE_MILLISECONDS = 2000;

/** Milliseconds by which a connection is given up before the time that the upstream announces for idle ones. */
const KEEP_ALIVE_MARGIN_MILLISECONDS = 700;

/** Code of a connection that the upstream reset. */
const RESET_CODE = "UPSTREAM_RESET";

/**
 * Connects like undici, but marks resets: undici takes the reset of a connection for the end of an answer that
 * has no length, and an answer that was cut would look complete.
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
    const kept = new Agent({
        pipelining: 1,
        connect: createConnector(),
        keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
        keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MILLISECONDS,
    });
    // Without pipelining undici closes each connection after its first answer.
    const unshared = new Agent({ pipelining: 0, connect: createConnector() });
    lifecycle.add({
        name: "upstream connections",
        start: () => async () => {
            await kept.destroy();
            await unshared.destroy();
        },
    });

    return (request, handlers) => {
        let controller: Dispatcher.DispatchController | undefined;
        let cancelled = false;
        let handedOver = false;
        const fail = (error: Error): void => {
            handlers.onFailure(handedOver ? "may-have-run" : "not-run", error.message);
        };
        const agent = request.ownConnection === true ? unshared : kept;
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
                onRequestStart: started => {
                    controller = started;
                    if (cancelled) {
                        started.abort(new Error("cancelled before it was sent"));
                        return;
                    }
                    // undici writes the request right after this call.
                    handedOver = true;
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
