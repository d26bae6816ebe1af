/**
 * Bounds what the connections of an HTTP server may do: their number, the requests that run on one at the same time,
 * and the time for which an answer stays unread. Errors of one exchange end its connection only.
 */
import { resetConnection } from "../common/reset-connection.js";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { hasBody } from "./body-reader.js";
import type { BudgetHolder, CallerBudget, HeldResource } from "./caller-budget.js";

export const CLIENT_LIMITS = [
    "connections",
    "memory",
    "body size",
    "body progress",
    "head time",
    "unread answer",
    "malformed request",
] as const;

/** A limit that a client has met. */
export type ClientLimit = (typeof CLIENT_LIMITS)[number];

export interface ConnectionGuardOptions {
    readonly maximumConnections: number;
    /** @default what connections hold is not bounded */
    readonly budget?: CallerBudget;
    /** Time for which an answer that has ended may stay unread without progress, milliseconds. */
    readonly answerMilliseconds: () => number;
    /** Time for the head of a request, milliseconds. */
    readonly headMilliseconds: () => number;
    /** Monotonic time, milliseconds. */
    readonly now: () => number;
    /** Handles a request. The next one of its connection is handled after the response has closed. */
    readonly handle: (exchange: GuardedExchange) => void;
    readonly onLimit: (limit: ClientLimit) => void;
    /** An exchange failed with an error that nothing else handled. Its connection is closed. */
    readonly onError: (error: Error, message: IncomingMessage | undefined) => void;
}

/** A request whose turn has come. */
export interface GuardedExchange {
    readonly message: IncomingMessage;
    readonly response: ServerResponse;
    readonly socket: Socket;
    /** Time for which it has waited for its turn, milliseconds. */
    readonly waitedMilliseconds: number;
    /** Sets the size of the buffers that hold its body, bytes. */
    holdBody(bytes: number): void;
    /** Sets the size of the part of its answer that the client has not read, bytes. */
    holdAnswer(bytes: number): void;
    /**
     * Sets what happens when the memory is needed for others.
     *
     * @default the connection is closed
     */
    onShed(shed: () => void): void;
    /** States that the answer was written to its end. */
    recordAnswerEnd(): void;
}

export interface ConnectionGuard {
    /** Open connections. */
    connections(): number;
    /** Requests whose turn has not come. */
    waiting(): number;
}

/** Objects of a request that waits for its turn, bytes on the heap. An estimate, rounded up. */
const WAITING_OBJECT_BYTES = 6 * 1024;

/** Objects of a running request with its exchange at an upstream, bytes on the heap. An estimate, rounded up. */
const RUNNING_OBJECT_BYTES = 16 * 1024;

/** Objects of a header field, bytes on the heap: as received, by name, and as forwarded. */
const FIELD_OBJECT_BYTES = 200;

/** Bytes that one read of a connection brings at most. Bodies of waiting requests are a part of one read. */
const READ_BYTES = 65_536;

const HTTP_BAD_REQUEST = 400;
const HTTP_TIMEOUT = 408;
const HTTP_TOO_LARGE = 413;
const HTTP_EXPECTATION_FAILED = 417;
const HTTP_HEADERS_TOO_LARGE = 431;

const HEAD_TIMEOUT_CODE = "ERR_HTTP_REQUEST_TIMEOUT";

/** An answer was written after its client had closed the connection, which is no fault. */
const WRITE_AFTER_CLOSE_CODE = "ERR_STREAM_DESTROYED";

/** Statuses for input that cannot be parsed. Further codes whose prefix is `HPE_` mean a malformed request. */
const PARSE_STATUSES: Readonly<Record<string, number>> = {
    HPE_HEADER_OVERFLOW: HTTP_HEADERS_TOO_LARGE,
    HPE_CHUNK_EXTENSIONS_OVERFLOW: HTTP_TOO_LARGE,
    [HEAD_TIMEOUT_CODE]: HTTP_TIMEOUT,
};

const STATUS_TEXTS: Readonly<Record<number, string>> = {
    [HTTP_BAD_REQUEST]: "Bad Request",
    [HTTP_TIMEOUT]: "Request Timeout",
    [HTTP_TOO_LARGE]: "Payload Too Large",
    [HTTP_HEADERS_TOO_LARGE]: "Request Header Fields Too Large",
};

/** How a request was received. */
type Arrival = "ordinary" | "awaits-continue" | "has-unknown-expectation";

interface PendingExchange {
    readonly message: IncomingMessage;
    readonly response: ServerResponse;
    readonly arrival: Arrival;
    /** Time from which it waits for its turn; absent where it was its turn at once. */
    waitsSince?: number;
}

function objectBytesOf({ rawHeaders }: IncomingMessage, baseBytes: number): number {
    return baseBytes + (rawHeaders.length / 2) * FIELD_OBJECT_BYTES;
}

/** A connection, its running request and those that wait for their turn. */
class GuardedConnection implements BudgetHolder {
    current: PendingExchange | undefined;
    readonly waiting: PendingExchange[] = [];
    /** The head of a further request was overdue while requests before it ran. */
    isHeadOverdue = false;
    headTimer: NodeJS.Timeout | undefined;
    /** The connection has a timeout for the answer that was written last. */
    isAnswerTimed = false;
    private bodyBytes = 0;
    private answerBytes = 0;
    private runningObjectBytes = 0;
    private waitingObjectBytes = 0;
    private waitingBodyBytes = 0;
    private isShed = false;
    private shedExchange: (() => void) | undefined;

    constructor(
        readonly socket: Socket,
        private readonly budget: CallerBudget | undefined,
    ) {}

    shed(_resource: HeldResource): void {
        this.isShed = true;
        if (this.shedExchange === undefined || this.waiting.length > 0) {
            this.cut();
        }
        else {
            this.shedExchange();
        }
    }

    /** Closes the connection. An answer that has begun is reset: without framing, it would look complete. */
    cut(): void {
        if (this.current?.response.headersSent === true) {
            resetConnection(this.socket);
        }
        else {
            this.socket.destroy();
        }
    }

    add(exchange: PendingExchange): void {
        this.waiting.push(exchange);
        this.waitingBodyBytes = hasBody(exchange.message) ? READ_BYTES : this.waitingBodyBytes;
        this.waitingObjectBytes += objectBytesOf(exchange.message, WAITING_OBJECT_BYTES);
        this.update();
    }

    next(): PendingExchange | undefined {
        const exchange = this.waiting.shift();
        if (exchange !== undefined) {
            this.waitingObjectBytes -= objectBytesOf(exchange.message, WAITING_OBJECT_BYTES);
        }
        if (this.waiting.length === 0) {
            this.waitingBodyBytes = 0;
        }
        return exchange;
    }

    begin(exchange: PendingExchange, now: number): GuardedExchange {
        this.current = exchange;
        this.runningObjectBytes = objectBytesOf(exchange.message, RUNNING_OBJECT_BYTES);
        this.update();
        return {
            message: exchange.message,
            response: exchange.response,
            socket: this.socket,
            waitedMilliseconds: Math.floor(now - (exchange.waitsSince ?? now)),
            holdBody: bytes => {
                if (this.current === exchange) {
                    this.bodyBytes = bytes;
                    this.update();
                }
            },
            holdAnswer: bytes => {
                if (this.current === exchange && this.answerBytes !== bytes) {
                    this.answerBytes = bytes;
                    this.update();
                }
            },
            onShed: shed => {
                this.shedExchange = shed;
            },
            recordAnswerEnd: () => undefined,
        };
    }

    end(): void {
        this.current = undefined;
        this.shedExchange = undefined;
        this.bodyBytes = 0;
        this.answerBytes = 0;
        this.runningObjectBytes = 0;
        this.update();
    }

    close(): void {
        clearTimeout(this.headTimer);
        this.waiting.length = 0;
        this.waitingObjectBytes = 0;
        this.waitingBodyBytes = 0;
        this.end();
    }

    private update(): void {
        // What was shed is not counted again; its connection is about to close.
        if (!this.isShed) {
            this.budget?.set(this, {
                buffers: this.bodyBytes + this.answerBytes + this.waitingBodyBytes,
                objects: this.runningObjectBytes + this.waitingObjectBytes,
            });
        }
    }
}

/** Guards all connections of a server, which must have no listener for requests of its own. */
export function guardConnections(server: Server, options: ConnectionGuardOptions): ConnectionGuard {
    const connections = new Map<Socket, GuardedConnection>();
    /** Connections without a request, the one that has been idle for the longest time first. */
    const idle = new Set<GuardedConnection>();
    let waitingCount = 0;

    const closeIdle = (): void => {
        const [longest] = idle;
        options.onLimit("connections");
        longest?.socket.destroy();
    };

    const watchOverdueHead = (connection: GuardedConnection): void => {
        connection.isHeadOverdue = false;
        connection.headTimer = setTimeout(() => {
            if (connection.current === undefined) {
                options.onLimit("head time");
                connection.socket.destroy();
            }
        }, options.headMilliseconds());
    };

    const beginNext = (connection: GuardedConnection): void => {
        const { socket, waiting } = connection;
        const canAnswer = !socket.destroyed && socket.writable;
        const exchange = canAnswer ? connection.next() : undefined;
        if (exchange === undefined) {
            if (!socket.destroyed) {
                idle.add(connection);
            }
            if (connection.isHeadOverdue) {
                watchOverdueHead(connection);
            }
            return;
        }
        waitingCount -= 1;
        if (connection.isAnswerTimed) {
            // Node.js replaces the timeout only when no further answer is due.
            connection.isAnswerTimed = false;
            socket.setTimeout(0);
        }
        begin(connection, exchange);
        if (waiting.length === 0) {
            socket.resume();
        }
    };

    const begin = (connection: GuardedConnection, pending: PendingExchange): void => {
        const { socket } = connection;
        const { message, response, arrival } = pending;
        const fail = (error: unknown): void => {
            if ((error as NodeJS.ErrnoException).code !== WRITE_AFTER_CLOSE_CODE) {
                options.onError(error instanceof Error ? error : new Error(String(error)), message);
            }
            connection.cut();
        };
        idle.delete(connection);
        clearTimeout(connection.headTimer);
        const exchange = connection.begin(pending, options.now());
        // Without a listener, an error of a write to a connection that has just closed would end the process.
        response.on("error", fail);
        response.once("close", () => {
            connection.end();
            beginNext(connection);
        });
        if (arrival === "has-unknown-expectation") {
            response.writeHead(HTTP_EXPECTATION_FAILED, { connection: "close" }).end();
            return;
        }
        try {
            if (arrival === "awaits-continue") {
                response.writeContinue();
            }
            options.handle({
                ...exchange,
                recordAnswerEnd: () => {
                    if (!response.writableFinished && !socket.destroyed) {
                        connection.isAnswerTimed = true;
                        socket.setTimeout(options.answerMilliseconds());
                    }
                },
            });
        }
        catch (error) {
            fail(error);
        }
    };

    const receive = (message: IncomingMessage, response: ServerResponse, arrival: Arrival): void => {
        const connection = connections.get(message.socket);
        if (connection === undefined || connection.socket.destroyed) {
            return;
        }
        const exchange: PendingExchange = { message, response, arrival };
        if (connection.current === undefined) {
            begin(connection, exchange);
            return;
        }
        waitingCount += 1;
        exchange.waitsSince = options.now();
        connection.add(exchange);
        connection.socket.pause();
    };

    server.on("connection", (socket: Socket) => {
        const connection = new GuardedConnection(socket, options.budget);
        connections.set(socket, connection);
        idle.add(connection);
        // Node.js reads on when a write has drained. The rest stays unread until the turn of the last request.
        socket.on("resume", () => {
            if (connection.waiting.length > 0) {
                socket.pause();
            }
        });
        socket.once("close", () => {
            connections.delete(socket);
            idle.delete(connection);
            waitingCount -= connection.waiting.length;
            connection.close();
        });
        if (connections.size > options.maximumConnections) {
            closeIdle();
        }
    });
    server.on("request", (message: IncomingMessage, response: ServerResponse) =>
        receive(message, response, "ordinary"),
    );
    server.on("checkContinue", (message: IncomingMessage, response: ServerResponse) =>
        receive(message, response, "awaits-continue"),
    );
    server.on("checkExpectation", (message: IncomingMessage, response: ServerResponse) =>
        receive(message, response, "has-unknown-expectation"),
    );
    server.on("clientError", (error: NodeJS.ErrnoException, stream) => {
        const socket = stream as Socket;
        const code = error.code ?? "";
        const current = connections.get(socket)?.current;
        if (code === HEAD_TIMEOUT_CODE && current !== undefined) {
            // The rest of the head is unread because requests before it still run.
            connections.get(socket)!.isHeadOverdue = true;
            return;
        }
        const isMalformed = code.startsWith("HPE_");
        if (isMalformed || code === HEAD_TIMEOUT_CODE) {
            options.onLimit(isMalformed ? "malformed request" : "head time");
        }
        // A request that was read to its end may run: nothing may look like its answer.
        const canAnswer =
            current === undefined || !(current.message.complete || current.response.headersSent);
        const status = PARSE_STATUSES[code] ?? (isMalformed ? HTTP_BAD_REQUEST : undefined);
        if (status === undefined || !canAnswer || !socket.writable) {
            connections.get(socket)?.cut();
            socket.destroy();
            return;
        }
        socket.end(
            `HTTP/1.1 ${status} ${STATUS_TEXTS[status]}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`,
            () => socket.destroy(),
        );
    });
    server.on("timeout", (socket: Socket) => {
        const connection = connections.get(socket);
        if (connection?.current === undefined) {
            socket.destroy();
            return;
        }
        options.onLimit("unread answer");
        connection.cut();
    });
    // Without a listener, a failure to accept a connection would end the process.
    server.on("error", error => options.onError(error, undefined));

    return { connections: () => connections.size, waiting: () => waitingCount };
}
