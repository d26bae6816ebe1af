/** HTTP server for callers: reads requests, matches them to routes and workspaces, and rejects all others. */
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { BodyError, readBody } from "../client-limits/body-reader.js";
import type { BodyFailure } from "../client-limits/body-reader.js";
import type { ClientLimits } from "../client-limits/client-limits.js";
import type { ClientLimit, GuardedExchange } from "../client-limits/connection-guard.js";
import { endAfterRest } from "../client-limits/unread-body.js";
import type { Clock } from "../common/clock.js";
import { addListener } from "../common/listener.js";
import { resetConnection } from "../common/reset-connection.js";
import type { Lifecycle } from "../lifecycle/lifecycle.js";
import type { RequestLog, RequestTrace } from "../logging/request-log.js";
import type { Route, Workspace } from "../routes/entities.js";
import type { RouteTable } from "../routes/route-table.js";
import { abortResponse, sendRouterResponse } from "./router-response.js";
import type { MatchedRequest } from "./request-forwarder.js";
import type { RequestEnd } from "./request-end.js";
import type { HeaderCodec, RequestHead } from "./protocol.js";

export interface ForwardingServerOptions {
    /** Name of the component that listens. */
    readonly name: string;
    readonly address: string;
    readonly port: number;
    /** Maximum size of the request headers, bytes. */
    readonly initialHeaderBytes: number;
    readonly codec: HeaderCodec;
    readonly clock: Clock;
    /** Returns `undefined` until the first configuration is loaded. */
    readonly routes: () => RouteTable | undefined;
    readonly serve: (request: MatchedRequest, response: ServerResponse) => Promise<RequestEnd>;
    readonly requestLog: RequestLog;
    readonly clientLimits: ClientLimits;
    readonly maximumConnections: number;
    readonly lifecycle: Lifecycle;
    readonly onEnd: (end: RequestEnd, route: string | undefined, milliseconds: number) => void;
}

export interface ForwardingServer {
    /** Requests whose answers the callers' connections have not taken to the end. */
    openRequests(): number;
    /** Open connections. */
    connections(): number;
    /** Connections that were accepted since the start. */
    acceptedConnections(): number;
    /** Requests that wait until the requests before them on their connections have ended. */
    waitingRequests(): number;
    /**
     * Closes the connection after each further response and rejects requests that may not end in time.
     *
     * @param exitsAt Monotonic time at which the process ends.
     */
    startDraining(exitsAt: number): void;
    /** Stops listening and closes idle connections. */
    stopListening(): void;
    /** Connections with a begun response that has no chunks, whose regular end may look like that of the response. */
    connectionsToReset(): readonly Socket[];
    /** Closes all connections. Those without an open request have brought none that was read. */
    closeConnections(): void;
    /** Applies timeouts that an operator changed. */
    applyLimits(idleTimeoutMilliseconds: number, headerTimeoutMilliseconds: number): void;
}

/** Interval between checks for connections whose headers are overdue, milliseconds. */
const CONNECTION_CHECK_INTERVAL_MILLISECONDS = 500;

/** `Retry-After` of a node that has no configuration yet, seconds. */
const UNCONFIGURED_RETRY_SECONDS = 0.5;

/** `Retry-After` of a node that is stopping, seconds: the caller should retry at another node. */
const STOPPING_RETRY_SECONDS = 0.1;

/** Duration within which nearly all streams end, milliseconds. */
const TYPICAL_STREAM_MILLISECONDS = 4700;

/** Maximum length of the prompt parts in a log line, characters. */
const MAXIMUM_LOGGED_PARTS_LENGTH = 120;

const HTTP_UNAUTHORIZED = 401;
const HTTP_NOT_FOUND = 404;
const HTTP_TIMEOUT = 408;
const HTTP_TOO_LARGE = 413;
const HTTP_UNAVAILABLE = 503;

/** The request is rejected before any attempt. */
class RequestRejection extends Error {
    constructor(
        readonly status: number,
        message: string,
        readonly retryAfterSeconds?: number,
    ) {
        super(message);
        this.name = "RequestRejection";
    }
}

interface RouteMatch {
    readonly route: Route;
    readonly workspace: Workspace | undefined;
}

/** @throws RequestRejection */
function matchRoute(table: RouteTable | undefined, message: IncomingMessage, head: RequestHead): RouteMatch {
    if (table === undefined) {
        throw new RequestRejection(
            HTTP_UNAVAILABLE,
            "no configuration is known yet",
            UNCONFIGURED_RETRY_SECONDS,
        );
    }
    const path = (message.url ?? "").split("?", 1)[0]!;
    const host = (message.headers.host ?? "").replace(/:\d+$/, "");
    const route = table.match(host, path);
    if (route === undefined) {
        throw new RequestRejection(HTTP_NOT_FOUND, `no route for ${host}${path}`);
    }
    if (table.configuration.workspaces === undefined) {
        return { route, workspace: undefined };
    }
    const workspace = head.key === undefined ? undefined : table.workspaceOf(head.key);
    if (workspace === undefined && !route.public) {
        throw new RequestRejection(HTTP_UNAUTHORIZED, "the key is missing or unknown");
    }
    return { route, workspace };
}

/** `Retry-After` of a request whose memory was needed for others, seconds: about the duration of one request. */
const MEMORY_RETRY_SECONDS = 0.3;

/** Timeouts until the first configuration is known, milliseconds. */
const DEFAULT_IDLE_MILLISECONDS = 15_000;
const DEFAULT_HEAD_MILLISECONDS = 3000;

/** Rejections for bodies that were not read to their end. No part of their requests was sent. */
const BODY_REJECTIONS: Readonly<
    Record<Exclude<BodyFailure, "aborted">, (message: string) => RequestRejection>
> = {
    "too-large": message => new RequestRejection(HTTP_TOO_LARGE, message),
    "too-slow": message => new RequestRejection(HTTP_TIMEOUT, message),
    shed: message => new RequestRejection(HTTP_UNAVAILABLE, message, MEMORY_RETRY_SECONDS),
};

/** Limits that a client has met when its request is rejected. */
const LIMITS_OF_STATUSES: Readonly<Record<number, ClientLimit>> = {
    [HTTP_TIMEOUT]: "body progress",
    [HTTP_TOO_LARGE]: "body size",
};

/**
 * Chooses the service of a request by weight.
 *
 * @param position Number from 0 to 1. It is the same for all requests of a session, so they share a service.
 */
function pickService(route: Route, position: number): string | undefined {
    const total = route.split.reduce((sum, { weight }) => sum + weight, 0);
    let rest = position * total;
    for (const { service, weight } of route.split) {
        rest -= weight;
        if (rest < 0) {
            return service;
        }
    }
    return route.split.at(-1)?.service;
}

/** Whether a request that arrives now usually ends before the process exits. */
function usuallyEndsWithin(route: Route, remainingMilliseconds: number): boolean {
    const typicalMilliseconds =
        route.kind === "stream" ? TYPICAL_STREAM_MILLISECONDS : route.timeoutMilliseconds;
    return Math.min(typicalMilliseconds, route.timeoutMilliseconds) < remainingMilliseconds;
}

/** Subtracts the time for which a request has waited for its turn from the time that its caller has left. */
function withoutWaiting(head: RequestHead, waitedMilliseconds: number): RequestHead {
    const { remainingMilliseconds } = head;
    return remainingMilliseconds === undefined || waitedMilliseconds === 0
        ? head
        : { ...head, remainingMilliseconds: Math.max(0, remainingMilliseconds - waitedMilliseconds) };
}

/** Ids of the prompt's parts for the log, shortened to a bounded length. */
function describePromptParts({ promptParts }: RequestHead): string | undefined {
    return promptParts.length === 0
        ? undefined
        : promptParts
              .map(({ id }) => id)
              .join(" ")
              .slice(0, MAXIMUM_LOGGED_PARTS_LENGTH);
}

export function createForwardingServer(
    options: ForwardingServerOptions & { readonly splitPositionOf: (head: RequestHead) => number },
): ForwardingServer {
    const { codec, clock } = options;
    const openResponses = new Set<ServerResponse>();
    let exitsAt: number | undefined;
    let acceptedConnections = 0;

    let timeouts = {
        idleMilliseconds: DEFAULT_IDLE_MILLISECONDS,
        headMilliseconds: DEFAULT_HEAD_MILLISECONDS,
    };

    /** @throws RequestRejection when the body is not read to its end, Error when the caller has left. */
    const readRequestBody = async (
        exchange: GuardedExchange,
        maximumBytes: number,
        deadline: number,
        trace: RequestTrace,
    ): Promise<Buffer> => {
        const { message, response, socket } = exchange;
        if (Number(message.headers["content-length"] ?? 0) > maximumBytes) {
            throw new RequestRejection(HTTP_TOO_LARGE, `the body is larger than ${maximumBytes} bytes`);
        }
        const reader = readBody(message, {
            maximumBytes,
            pool: options.clientLimits.pool,
            onHeld: exchange.holdBody,
            progressMilliseconds: timeouts.idleMilliseconds,
            remainingMilliseconds: deadline - clock.now(),
        });
        exchange.onShed(() => {
            trace.add("requests", "Gave up a request, as its memory is needed for others.");
            if (!response.headersSent) {
                response.setHeader("connection", "close");
            }
            if (!reader.cancel("shed", "the memory for requests is exhausted")) {
                // The request may run at an upstream, so no status may say that it has not. An answer that has
                // begun without framing would look complete at a regular end.
                if (response.headersSent) {
                    resetConnection(socket);
                }
                else {
                    socket.destroy();
                }
            }
        });
        try {
            return await reader.body;
        }
        catch (error) {
            if (error instanceof BodyError && error.failure !== "aborted") {
                throw BODY_REJECTIONS[error.failure](error.message);
            }
            throw error;
        }
    };

    const handle = async (
        exchange: GuardedExchange,
        head: RequestHead,
        trace: RequestTrace,
        arrivedAt: number,
    ): Promise<RequestEnd & { readonly route?: string }> => {
        const { message, response, socket } = exchange;
        const table = options.routes();
        const { route, workspace } = matchRoute(table, message, head);
        if (exitsAt !== undefined && !usuallyEndsWithin(route, exitsAt - arrivedAt)) {
            throw new RequestRejection(HTTP_UNAVAILABLE, "the node is stopping", STOPPING_RETRY_SECONDS);
        }
        const { services, limits, version } = table!.configuration;
        const serviceName = pickService(route, options.splitPositionOf(head));
        const service = serviceName === undefined ? undefined : services.get(serviceName);
        trace.add("requests", "A request arrived.", {
            route: route.name,
            service: serviceName,
            workspace: workspace?.name,
            configuration: version,
            remainingMilliseconds: head.remainingMilliseconds,
            promptTokens: head.promptTokens,
            promptParts: describePromptParts(head),
            session: head.session,
        });
        if (service === undefined) {
            throw new RequestRejection(HTTP_UNAVAILABLE, `service "${serviceName}" is not declared`, 1);
        }
        const callerLeft = new AbortController();
        const leave = (): void => callerLeft.abort();
        // A caller that closes its side of the connection gets no response from Node.js either.
        socket.once("end", leave);
        response.once("close", () => {
            socket.off("end", leave);
            if (!response.writableFinished) {
                leave();
            }
        });
        const callerMilliseconds = head.remainingMilliseconds ?? Infinity;
        const deadline = arrivedAt + Math.min(callerMilliseconds, route.timeoutMilliseconds);
        const body = await readRequestBody(exchange, limits.maximumBodyBytes, deadline, trace);
        const end = await options.serve(
            {
                head,
                method: message.method ?? "GET",
                path: message.url ?? "/",
                headers: message.headers,
                body,
                route,
                service,
                workspace,
                arrivedAt,
                trace,
                callerLeft: callerLeft.signal,
                onUnread: exchange.holdAnswer,
            },
            response,
        );
        return { ...end, route: route.name };
    };

    const sendRejection = (
        error: unknown,
        { message, response, socket }: GuardedExchange,
        head: RequestHead,
    ): RequestEnd => {
        const base = { attempts: 0, firstByteMilliseconds: undefined };
        const isAborted = error instanceof BodyError && error.failure === "aborted";
        if (isAborted || message.errored !== null || socket.destroyed) {
            response.destroy();
            return {
                ...base,
                outcome: "caller-left",
                status: 0,
                reason: "the caller closed the connection while sending the request",
            };
        }
        if (!(error instanceof RequestRejection)) {
            throw error;
        }
        const limit = LIMITS_OF_STATUSES[error.status];
        if (limit !== undefined) {
            options.clientLimits.recordLimit(options.name, limit);
        }
        const hasRest = !message.complete;
        if (hasRest) {
            // The rest of the body stays unread, so the connection cannot be reused.
            response.setHeader("connection", "close");
        }
        sendRouterResponse(
            response,
            codec,
            head.attemptId,
            error.status,
            error.message,
            error.retryAfterSeconds,
            hasRest ? (_response, body) => endAfterRest(message, response, body) : undefined,
        );
        return { ...base, outcome: "refused", status: error.status, reason: error.message };
    };

    const serveExchange = (exchange: GuardedExchange): void => {
        const { message, response } = exchange;
        const arrivedAt = clock.now();
        const head = withoutWaiting(codec.decodeRequest(message.headers), exchange.waitedMilliseconds);
        const trace = options.requestLog.begin(head.attemptId ?? "(none)");
        openResponses.add(response);
        // A slow reader gets the last bytes of its answer some time after the request ended.
        const closed = new Promise<void>(resolve => response.once("close", resolve));
        if (exitsAt !== undefined) {
            response.setHeader("connection", "close");
        }
        const ended = handle(exchange, head, trace, arrivedAt)
            .catch((error: unknown) => ({
                ...sendRejection(error, exchange, head),
                route: undefined,
            }))
            .then(end => {
                const milliseconds = Math.round(clock.now() - arrivedAt);
                trace.add("requests", "A request ended.", {
                    outcome: end.outcome,
                    status: end.status,
                    attempts: end.attempts,
                    reason: end.reason,
                    firstByteMilliseconds:
                        end.firstByteMilliseconds === undefined
                            ? undefined
                            : Math.round(end.firstByteMilliseconds),
                    milliseconds,
                    unconfirmedEnd: end.isEndUnconfirmed === true ? true : undefined,
                });
                trace.end(end.outcome !== "delivered" || end.isEndUnconfirmed === true);
                options.onEnd(end, end.route, milliseconds);
            })
            .catch((error: unknown) => {
                trace.add("requests", "A request failed with an internal error.", {
                    error: (error as Error).stack ?? String(error),
                });
                trace.end(true);
                options.clientLimits.recordError(options.name, error as Error, head.attemptId);
                sendRouterResponse(response, codec, head.attemptId, 500, "the node failed");
            })
            .catch((error: unknown) => {
                options.clientLimits.recordError(options.name, error as Error, head.attemptId);
                response.destroy();
            })
            .then(exchange.recordAnswerEnd);
        void Promise.all([ended, closed]).then(() => openResponses.delete(response));
    };

    const server: Server = createServer({
        maxHeaderSize: options.initialHeaderBytes,
        connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MILLISECONDS,
        requestTimeout: 0,
        noDelay: true,
    });
    server.on("connection", () => (acceptedConnections += 1));
    const guard = options.clientLimits.guard(server, {
        listener: options.name,
        maximumConnections: options.maximumConnections,
        handle: serveExchange,
        answerMilliseconds: () => timeouts.idleMilliseconds,
        headMilliseconds: () => timeouts.headMilliseconds,
        requestIdOf: message => codec.decodeRequest(message.headers).attemptId,
    });

    addListener(options.name, server, options, options.lifecycle);
    options.lifecycle.add({
        name: "open responses",
        start: () => async () => {
            const begun = [...openResponses].filter(response => response.headersSent);
            await Promise.all(begun.map(abortResponse));
        },
    });

    return {
        openRequests: () => openResponses.size + guard.waiting(),
        connections: () => guard.connections(),
        acceptedConnections: () => acceptedConnections,
        waitingRequests: () => guard.waiting(),
        startDraining: exitTime => {
            exitsAt = exitTime;
        },
        stopListening: () => {
            server.close();
            server.closeIdleConnections();
        },
        connectionsToReset: () =>
            [...openResponses]
                .filter(
                    ({ headersSent, chunkedEncoding, writableFinished }) =>
                        headersSent && !chunkedEncoding && !writableFinished,
                )
                .flatMap(({ socket }) => socket ?? []),
        closeConnections: () => server.closeAllConnections(),
        applyLimits: (idleTimeoutMilliseconds, headerTimeoutMilliseconds) => {
            timeouts = {
                idleMilliseconds: idleTimeoutMilliseconds,
                headMilliseconds: headerTimeoutMilliseconds,
            };
            server.keepAliveTimeout = idleTimeoutMilliseconds;
            server.headersTimeout = headerTimeoutMilliseconds + CONNECTION_CHECK_INTERVAL_MILLISECONDS;
        },
    };
}
