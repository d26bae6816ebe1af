/** Listener for callers: reads requests, matches them to routes and workspaces, and answers what has no route. */
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Clock } from "../common/clock.js";
import { addListener } from "../common/listener.js";
import type { Lifecycle } from "../lifecycle/lifecycle.js";
import type { RequestLog, RequestTrace } from "../logging/request-log.js";
import type { Route, Workspace } from "../routes/entities.js";
import type { RouteTable } from "../routes/route-table.js";
import { sendOwnAnswer } from "./own-answer.js";
import type { MatchedRequest } from "./exchange.js";
import type { ExchangeEnd } from "./exchange-end.js";
import type { HeaderCodec, RequestHead } from "./protocol.js";

export interface CallerServerOptions {
    readonly address: string;
    readonly port: number;
    /** Limits that hold while no configuration is known. */
    readonly initialHeaderBytes: number;
    readonly codec: HeaderCodec;
    readonly clock: Clock;
    /** `undefined` while no configuration is known. */
    readonly routes: () => RouteTable | undefined;
    readonly serve: (request: MatchedRequest, response: ServerResponse) => Promise<ExchangeEnd>;
    readonly requestLog: RequestLog;
    readonly lifecycle: Lifecycle;
    readonly onEnd: (end: ExchangeEnd, route: string | undefined, milliseconds: number) => void;
}

export interface CallerServer {
    /** Requests that have not ended. */
    openRequests(): number;
    /**
     * Lets every following answer close its connection, and refuses requests that may not end in time.
     *
     * @param endsAt Monotonic time at which the process ends.
     */
    announceClose(endsAt: number): void;
    /** Stops listening and closes idle connections. */
    closeIdle(): void;
    /** Takes over limits that the operators changed. */
    applyLimits(idleTimeoutMilliseconds: number, headerTimeoutMilliseconds: number): void;
}

/** Time between looks at connections whose headers are overdue, milliseconds. */
const CHECK_INTERVAL_MILLISECONDS = 500;

/** Time after which a caller should come back to a node that knows no configuration, seconds. */
const UNCONFIGURED_RETRY_SECONDS = 0.5;

/** Time after which a caller should go to another node when this one is stopping, seconds. */
const STOPPING_RETRY_SECONDS = 0.1;

/** Time in which nearly all streams end, milliseconds. */
const USUAL_STREAM_MILLISECONDS = 4700;

const HTTP_UNAUTHORIZED = 401;
const HTTP_NOT_FOUND = 404;
const HTTP_TOO_LARGE = 413;
const HTTP_UNAVAILABLE = 503;

/** The request cannot be passed on. */
class RequestRefusal extends Error {
    constructor(
        readonly status: number,
        message: string,
        readonly retryAfterSeconds?: number,
    ) {
        super(message);
        this.name = "RequestRefusal";
    }
}

interface Target {
    readonly route: Route;
    readonly workspace: Workspace | undefined;
}

/** @throws RequestRefusal */
function findTarget(table: RouteTable | undefined, message: IncomingMessage, head: RequestHead): Target {
    if (table === undefined) {
        throw new RequestRefusal(
            HTTP_UNAVAILABLE,
            "no configuration is known yet",
            UNCONFIGURED_RETRY_SECONDS,
        );
    }
    const path = (message.url ?? "").split("?", 1)[0]!;
    const host = (message.headers.host ?? "").replace(/:\d+$/, "");
    const route = table.match(host, path);
    if (route === undefined) {
        throw new RequestRefusal(HTTP_NOT_FOUND, `no route for ${host}${path}`);
    }
    if (table.configuration.workspaces === undefined) {
        return { route, workspace: undefined };
    }
    const workspace = head.key === undefined ? undefined : table.workspaceOf(head.key);
    if (workspace === undefined && !route.public) {
        throw new RequestRefusal(HTTP_UNAUTHORIZED, "the key is missing or unknown");
    }
    return { route, workspace };
}

/** @throws RequestRefusal when the body is larger than allowed. */
async function readBody(message: IncomingMessage, maximumBytes: number): Promise<Buffer> {
    if (Number(message.headers["content-length"] ?? 0) > maximumBytes) {
        throw new RequestRefusal(HTTP_TOO_LARGE, `the body is larger than ${maximumBytes} bytes`);
    }
    const chunks: Buffer[] = [];
    let size = 0;
    for await (const chunk of message as AsyncIterable<Buffer>) {
        size += chunk.length;
        if (size > maximumBytes) {
            throw new RequestRefusal(HTTP_TOO_LARGE, `the body is larger than ${maximumBytes} bytes`);
        }
        chunks.push(chunk);
    }
    return chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
}

/** Chooses the service of a request; all requests of a session get the same one. */
function pickService(route: Route, point: number): string | undefined {
    const total = route.split.reduce((sum, { weight }) => sum + weight, 0);
    let rest = point * total;
    for (const { service, weight } of route.split) {
        rest -= weight;
        if (rest < 0) {
            return service;
        }
    }
    return route.split.at(-1)?.service;
}

/** Returns whether a request that arrives now will usually end before the process does. */
function fitsBeforeEnd(route: Route, remainingMilliseconds: number): boolean {
    const usual = route.kind === "stream" ? USUAL_STREAM_MILLISECONDS : route.timeoutMilliseconds;
    return Math.min(usual, route.timeoutMilliseconds) < remainingMilliseconds;
}

export function createCallerServer(
    options: CallerServerOptions & { readonly pointOf: (head: RequestHead) => number },
): CallerServer {
    const { codec, clock } = options;
    let open = 0;
    let endsAt: number | undefined;

    const handle = async (
        message: IncomingMessage,
        response: ServerResponse,
        head: RequestHead,
        trace: RequestTrace,
        arrivedAt: number,
    ): Promise<ExchangeEnd & { readonly route?: string }> => {
        const table = options.routes();
        const { route, workspace } = findTarget(table, message, head);
        if (endsAt !== undefined && !fitsBeforeEnd(route, endsAt - arrivedAt)) {
            throw new RequestRefusal(HTTP_UNAVAILABLE, "the node is stopping", STOPPING_RETRY_SECONDS);
        }
        const { services, limits, version } = table!.configuration;
        const serviceName = pickService(route, options.pointOf(head));
        const service = serviceName === undefined ? undefined : services.get(serviceName);
        trace.add("requests", "A request arrived.", {
            route: route.name,
            service: serviceName,
            workspace: workspace?.name,
            configuration: version,
            remainingMilliseconds: head.remainingMilliseconds,
            promptTokens: head.promptTokens,
            session: head.session,
        });
        if (service === undefined) {
            throw new RequestRefusal(HTTP_UNAVAILABLE, `service "${serviceName}" is not declared`, 1);
        }
        const callerLeft = new AbortController();
        response.once("close", () => {
            if (!response.writableFinished) {
                callerLeft.abort();
            }
        });
        const body = await readBody(message, limits.maximumBodyBytes);
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
            },
            response,
        );
        return { ...end, route: route.name };
    };

    const refuse = (
        error: unknown,
        message: IncomingMessage,
        response: ServerResponse,
        head: RequestHead,
    ): ExchangeEnd => {
        const base = { attempts: 0, firstByteMilliseconds: undefined };
        if (message.errored !== null || message.socket.destroyed) {
            response.destroy();
            return { ...base, outcome: "caller-left", status: 0, reason: "the caller left while sending" };
        }
        if (!(error instanceof RequestRefusal)) {
            throw error;
        }
        if (!message.complete) {
            // The rest of the body is not read, so the connection cannot carry another request.
            response.setHeader("connection", "close");
        }
        sendOwnAnswer(response, codec, head.attemptId, error.status, error.message, error.retryAfterSeconds);
        return { ...base, outcome: "refused", status: error.status, reason: error.message };
    };

    const listener = (message: IncomingMessage, response: ServerResponse): void => {
        const arrivedAt = clock.now();
        const head = codec.decodeRequest(message.headers);
        const trace = options.requestLog.begin(head.attemptId ?? "(none)");
        open += 1;
        if (endsAt !== undefined) {
            response.setHeader("connection", "close");
        }
        handle(message, response, head, trace, arrivedAt)
            .catch((error: unknown) => ({ ...refuse(error, message, response, head), route: undefined }))
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
                });
                trace.end(end.outcome !== "delivered");
                options.onEnd(end, end.route, milliseconds);
            })
            .catch((error: unknown) => {
                trace.add("requests", "A request failed inside the node.", {
                    error: (error as Error).stack ?? String(error),
                });
                trace.end(true);
                sendOwnAnswer(response, codec, head.attemptId, 500, "the node failed");
            })
            .finally(() => {
                open -= 1;
            });
    };

    const server: Server = createServer(
        {
            maxHeaderSize: options.initialHeaderBytes,
            connectionsCheckingInterval: CHECK_INTERVAL_MILLISECONDS,
            requestTimeout: 0,
            noDelay: true,
        },
        listener,
    );

    addListener("caller listener", server, options, options.lifecycle);

    return {
        openRequests: () => open,
        announceClose: time => {
            endsAt = time;
        },
        closeIdle: () => {
            server.close();
            server.closeIdleConnections();
        },
        applyLimits: (idleTimeoutMilliseconds, headerTimeoutMilliseconds) => {
            server.keepAliveTimeout = idleTimeoutMilliseconds;
            server.headersTimeout = headerTimeoutMilliseconds + CHECK_INTERVAL_MILLISECONDS;
        },
    };
}
