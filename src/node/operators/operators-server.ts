/**
 * HTTP server for operators: status, state dump, tickets, rollouts and bills.
 *
 * Every request needs an operator key. Responses are JSON, errors `application/problem+json`.
 */
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerOptions, ServerResponse } from "node:http";
import { createServer as createTlsServer } from "node:https";
import type { Server as TlsServer } from "node:https";
import type { AddressInfo, Socket } from "node:net";
import createRouter from "find-my-way";
import type { HTTPMethod } from "find-my-way";
import type { Clock } from "../common/clock.js";
import { systemClock } from "../common/clock.js";
import type { TlsSource } from "../common/tls.js";
import type { Lifecycle } from "../lifecycle/lifecycle.js";
import type { Logger } from "../logging/logging.js";
import { RouterError, createRejection } from "../verdict/verdict.js";
import {
    RESPONSE_TIMEOUT_MILLISECONDS,
    HEADERS_TIMEOUT_MILLISECONDS,
    MAXIMUM_CONNECTIONS,
    MAXIMUM_HEADER_BYTES,
    REQUEST_TIMEOUT_MILLISECONDS,
    TIMEOUT_CHECK_INTERVAL_MILLISECONDS,
} from "./constants.js";
import { createAuthenticator } from "./keys.js";
import type { NodeCapabilities } from "./capabilities.js";
import type { RouteResponse } from "./response.js";
import { errorResponse, sendResponse } from "./response.js";
import { createRoutes } from "./routes.js";
import type { Route } from "./routes.js";

export interface OperatorsServerOptions {
    /** IP address to listen on. */
    readonly address: string;
    /** TCP port; 0 selects a free port. */
    readonly port: number;
    /** SHA-256 digests of the accepted operator keys, in hexadecimal. */
    readonly keyHashes: readonly string[];
    /** Certificate of the server. Without it, the server uses plain HTTP. */
    readonly tls?: TlsSource;
    /** Name of this node. */
    readonly node: string;
    /** Functions of the node that the routes call. */
    readonly capabilities: NodeCapabilities;
    /**
     * Secret values of the process, which the state dump redacts.
     *
     * @default []
     */
    readonly secrets?: readonly string[];
    readonly lifecycle: Lifecycle;
    readonly logger: Logger;
    /** @default systemClock */
    readonly clock?: Clock;
}

export interface OperatorsServer {
    /** Base URL of the server. With port 0, the URL is valid only after the start. */
    address(): string;
}

/** Margin over the timeout of `submitTicket`, so that a slow ticket ends with its outcome `unknown` first. */
const RESPONSE_TIMEOUT_MARGIN_MILLISECONDS = 1000;

/** Responses to requests that node:http could not parse or receive in time, by error code. */
const CLIENT_ERRORS: Readonly<Record<string, readonly [status: string, code: string, detail: string]>> = {
    HPE_HEADER_OVERFLOW: [
        "431 Request Header Fields Too Large",
        "headers-too-large",
        `the headers exceed ${MAXIMUM_HEADER_BYTES} bytes`,
    ],
    ERR_HTTP_REQUEST_TIMEOUT: [
        "408 Request Timeout",
        "request-timeout",
        "the request was not received in time",
    ],
};

/** Writes the response to a request that node:http rejected before routing. */
function sendClientErrorResponse(error: NodeJS.ErrnoException, socket: Socket): void {
    if (error.code === "ECONNRESET" || !socket.writable) {
        socket.destroy();
        return;
    }
    const [status, code, detail] = CLIENT_ERRORS[error.code ?? ""] ?? [
        "400 Bad Request",
        "request-malformed",
        "the request is not valid HTTP",
    ];
    const number = Number(status.slice(0, 3));
    const title = status.slice(4);
    const body = JSON.stringify({
        type: "about:blank",
        title,
        status: number,
        detail,
        code,
        verdict: "not-run",
    });
    socket.end(
        `HTTP/1.1 ${status}\r\ncontent-type: application/problem+json\r\n` +
            `content-length: ${Buffer.byteLength(body)}\r\nconnection: close\r\n\r\n${body}`,
    );
}

type RequestHandler = (message: IncomingMessage, response: ServerResponse) => Promise<RouteResponse>;

/** Creates the function that finds the route of a request and runs it. */
function createRequestHandler(routes: readonly Route[]): RequestHandler {
    const methods = [...new Set(routes.map(route => route.method))];
    const malformedUrl = (): never => {
        throw createRejection(
            400,
            "url-malformed",
            "the path is malformed or has a segment of more than 100 characters",
        );
    };
    const router = createRouter({
        defaultRoute: message => {
            const path = message.url ?? "";
            const allowed = methods.filter(method => router.find(method, path) !== null);
            if (allowed.length > 0) {
                throw createRejection(
                    405,
                    "method",
                    `the path allows ${allowed.join(", ")}, not ${message.method}`,
                );
            }
            throw createRejection(404, "path-unknown", "the path does not exist");
        },
        onBadUrl: malformedUrl,
        onMaxParamLength: malformedUrl,
    });
    for (const route of routes) {
        router.on(route.method, route.path, (message, _response, parameters, _store, query) =>
            route.serve({ message: message as IncomingMessage, parameters, query }),
        );
    }
    return async (message, response) => {
        const isKnownMethod = methods.includes(message.method as HTTPMethod);
        if (!isKnownMethod) {
            throw createRejection(
                405,
                "method",
                `method ${message.method} is not allowed; allowed: ${methods.join(", ")}`,
            );
        }
        return (await router.lookup(message, response)) as RouteResponse;
    };
}

function withTimeout(result: Promise<RouteResponse>): Promise<RouteResponse> {
    return new Promise((resolve, reject) => {
        const timeoutMilliseconds = RESPONSE_TIMEOUT_MILLISECONDS + RESPONSE_TIMEOUT_MARGIN_MILLISECONDS;
        const timer = setTimeout(
            () =>
                reject(
                    new RouterError(`no response within ${timeoutMilliseconds} ms`, {
                        status: 504,
                        code: "answer-timeout",
                        verdict: "may-have-run",
                    }),
                ),
            timeoutMilliseconds,
        );
        result.then(resolve, reject).finally(() => clearTimeout(timer));
    });
}

/** Creates the HTTP server for operators and adds its start and stop to the lifecycle. */
export function createOperatorsServer(options: OperatorsServerOptions): OperatorsServer {
    const { logger, tls } = options;
    const authenticate = createAuthenticator(options.keyHashes);
    const handleRequest = createRequestHandler(
        createRoutes({
            capabilities: options.capabilities,
            node: options.node,
            secrets: options.secrets ?? [],
            clock: options.clock ?? systemClock,
            logger,
        }),
    );
    /** Requests without a complete response, by connection. */
    const pendingRequests = new WeakMap<object, Set<IncomingMessage>>();
    let listening: AddressInfo | undefined;

    const trackRequest = (message: IncomingMessage, response: ServerResponse): void => {
        const requests = pendingRequests.get(message.socket) ?? new Set();
        pendingRequests.set(message.socket, requests.add(message));
        response.once("close", () => requests.delete(message));
    };

    const onClientError = (error: NodeJS.ErrnoException, socket: Socket): void => {
        // A request that was received completely may still be running. The client would read an error
        // response to the bytes that follow as the response to that request.
        if ([...(pendingRequests.get(socket) ?? [])].some(message => message.complete)) {
            socket.destroy();
            return;
        }
        sendClientErrorResponse(error, socket);
    };

    const serve = async (message: IncomingMessage, response: ServerResponse): Promise<void> => {
        let result: RouteResponse;
        try {
            authenticate(message.headers.authorization);
            result = await withTimeout(handleRequest(message, response));
        }
        catch (error) {
            result = errorResponse(error);
            if (result.status === 500) {
                logger.error("Request failed", {
                    method: message.method,
                    path: message.url,
                    error: error instanceof Error ? error.stack : String(error),
                });
            }
        }
        sendResponse(response, result);
    };

    const listener = (message: IncomingMessage, response: ServerResponse): void => {
        trackRequest(message, response);
        serve(message, response).catch((error: unknown) => {
            // The response could not be serialized. The client sees a closed connection.
            logger.error("Could not send a response", { path: message.url, error: String(error) });
            response.destroy();
        });
    };

    const createListener = (): Server => {
        const limits: ServerOptions = {
            maxHeaderSize: MAXIMUM_HEADER_BYTES,
            headersTimeout: HEADERS_TIMEOUT_MILLISECONDS,
            requestTimeout: REQUEST_TIMEOUT_MILLISECONDS,
            connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MILLISECONDS,
        };
        if (tls === undefined) {
            return createServer(limits, listener);
        }
        const credentials = (): { cert: string; key: string } => {
            const { cert, key } = tls.current();
            return { cert, key };
        };
        const server: TlsServer = createTlsServer({ ...limits, ...credentials() }, listener);
        tls.onChange(() => {
            server.setSecureContext(credentials());
            logger.info("Certificate reloaded");
        });
        return server;
    };

    options.lifecycle.add({
        name: "operators",
        start: async () => {
            const server = createListener();
            server.maxConnections = MAXIMUM_CONNECTIONS;
            server.on("clientError", (error, socket) => onClientError(error, socket as Socket));
            await new Promise<void>((resolve, reject) => {
                server.once("error", reject);
                server.listen(options.port, options.address, resolve);
            });
            listening = server.address() as AddressInfo;
            return async () => {
                const closed = new Promise(resolve => server.close(resolve));
                // Running requests still get their response. None exceeds the sum of the two timeouts.
                const timeoutMilliseconds = REQUEST_TIMEOUT_MILLISECONDS + RESPONSE_TIMEOUT_MILLISECONDS;
                const timer = setTimeout(() => server.closeAllConnections(), timeoutMilliseconds);
                await closed;
                clearTimeout(timer);
            };
        },
    });

    const host = options.address.includes(":") ? `[${options.address}]` : options.address;
    return {
        address: () => `${tls === undefined ? "http" : "https"}://${host}:${listening?.port ?? options.port}`,
    };
}
