/**
 * HTTP listener for operators: status, state dump, tickets, roll-outs and bills.
 *
 * Every request needs an operator key. Answers are JSON, errors `application/problem+json`.
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
import type { Answer } from "./answer.js";
import { errorAnswer, sendAnswer } from "./answer.js";
import {
    ANSWER_TIMEOUT_MILLISECONDS,
    HEADERS_TIMEOUT_MILLISECONDS,
    MAXIMUM_CONNECTIONS,
    MAXIMUM_HEADER_BYTES,
    REQUEST_TIMEOUT_MILLISECONDS,
    TIMEOUT_CHECK_MILLISECONDS,
} from "./constants.js";
import { createAuthenticate } from "./keys.js";
import type { OperatorsParts } from "./parts.js";
import { createRoutes } from "./routes.js";
import type { Route } from "./routes.js";

export interface OperatorsServerOptions {
    /** IP address to listen on. */
    readonly address: string;
    /** TCP port; 0 takes a free one. */
    readonly port: number;
    /** SHA-256 digests of the operator keys, hexadecimal. */
    readonly keyHashes: readonly string[];
    /** Certificate of the listener. Plain HTTP when absent. */
    readonly tls?: TlsSource;
    /** Name of this node. */
    readonly node: string;
    /** What the routes show and do. */
    readonly parts: OperatorsParts;
    /**
     * Secret values of the process, which the state dump leaves out.
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
    /** Base URL of the listener; known once it runs. */
    address(): string;
}

/** Margin over the limit of `submitTicket`, so that a ticket gets its own `unknown` answer first. */
const ANSWER_MARGIN_MILLISECONDS = 1000;

/** Statuses of requests that node:http could not parse or receive in time. */
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

/** Answers a request that node:http rejected before it reached a route. */
function answerClientError(error: NodeJS.ErrnoException, socket: Socket): void {
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

type Lookup = (message: IncomingMessage, response: ServerResponse) => Promise<Answer>;

/** Creates the function that finds and runs the route of a request. */
function createLookup(routes: readonly Route[]): Lookup {
    const methods = [...new Set(routes.map(route => route.method))];
    const malformedUrl = (): never => {
        throw createRejection(
            400,
            "url-malformed",
            "the path is malformed or has a part of more than 100 characters",
        );
    };
    const router = createRouter({
        defaultRoute: message => {
            const path = message.url ?? "";
            const allowed = methods.filter(method => router.find(method, path) !== null);
            if (allowed.length > 0) {
                throw createRejection(405, "method", `the path allows ${allowed.join(", ")}, not ${message.method}`);
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
        const isHandled = methods.includes(message.method as HTTPMethod);
        if (!isHandled) {
            throw createRejection(
                405,
                "method",
                `method ${message.method} is not allowed; allowed: ${methods.join(", ")}`,
            );
        }
        return (await router.lookup(message, response)) as Answer;
    };
}

function withinTime(answer: Promise<Answer>): Promise<Answer> {
    return new Promise((resolve, reject) => {
        const limit = ANSWER_TIMEOUT_MILLISECONDS + ANSWER_MARGIN_MILLISECONDS;
        const timer = setTimeout(
            () =>
                reject(
                    new RouterError(`no answer within ${limit} ms`, {
                        status: 504,
                        code: "answer-timeout",
                        verdict: "may-have-run",
                    }),
                ),
            limit,
        );
        answer.then(resolve, reject).finally(() => clearTimeout(timer));
    });
}

/** Creates the operators' listener. It starts and stops with the life cycle. */
export function createOperatorsServer(options: OperatorsServerOptions): OperatorsServer {
    const { logger, tls } = options;
    const authenticate = createAuthenticate(options.keyHashes);
    const lookup = createLookup(
        createRoutes({
            parts: options.parts,
            node: options.node,
            secrets: options.secrets ?? [],
            clock: options.clock ?? systemClock,
            logger,
        }),
    );
    /** Requests without an answer so far, by connection. */
    const unanswered = new WeakMap<object, Set<IncomingMessage>>();
    let listening: AddressInfo | undefined;

    const track = (message: IncomingMessage, response: ServerResponse): void => {
        const requests = unanswered.get(message.socket) ?? new Set();
        unanswered.set(message.socket, requests.add(message));
        response.once("close", () => requests.delete(message));
    };

    const onClientError = (error: NodeJS.ErrnoException, socket: Socket): void => {
        // A received request may be running. An answer to what follows it would be taken for its own answer.
        if ([...(unanswered.get(socket) ?? [])].some(message => message.complete)) {
            socket.destroy();
            return;
        }
        answerClientError(error, socket);
    };

    const serve = async (message: IncomingMessage, response: ServerResponse): Promise<void> => {
        let answer: Answer;
        try {
            authenticate(message.headers.authorization);
            answer = await withinTime(lookup(message, response));
        }
        catch (error) {
            answer = errorAnswer(error);
            if (answer.status === 500) {
                logger.error("Request failed", {
                    method: message.method,
                    path: message.url,
                    error: error instanceof Error ? error.stack : String(error),
                });
            }
        }
        sendAnswer(response, answer);
    };

    const listener = (message: IncomingMessage, response: ServerResponse): void => {
        track(message, response);
        serve(message, response).catch((error: unknown) => {
            // Reached when an answer cannot be serialised; the caller sees a broken connection.
            logger.error("Answer failed", { path: message.url, error: String(error) });
            response.destroy();
        });
    };

    const createListener = (): Server => {
        const bounds: ServerOptions = {
            maxHeaderSize: MAXIMUM_HEADER_BYTES,
            headersTimeout: HEADERS_TIMEOUT_MILLISECONDS,
            requestTimeout: REQUEST_TIMEOUT_MILLISECONDS,
            connectionsCheckingInterval: TIMEOUT_CHECK_MILLISECONDS,
        };
        if (tls === undefined) {
            return createServer(bounds, listener);
        }
        const credentials = (): { cert: string; key: string } => {
            const { cert, key } = tls.current();
            return { cert, key };
        };
        const server: TlsServer = createTlsServer({ ...bounds, ...credentials() }, listener);
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
                // Running requests are answered; each is bounded by the two limits.
                const limit = REQUEST_TIMEOUT_MILLISECONDS + ANSWER_TIMEOUT_MILLISECONDS;
                const timer = setTimeout(() => server.closeAllConnections(), limit);
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
