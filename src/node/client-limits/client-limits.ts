/** The limits for clients that the listeners of a process share: one budget, one log and one set of counters. */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Clock } from "../common/clock.js";
import type { Logger } from "../logging/logging.js";
import { createCallerBudget } from "./caller-budget.js";
import type { CallerBudget, HeldBytes } from "./caller-budget.js";
import type { MetricsRegistry } from "../metrics/registry.js";
import { CLIENT_LIMITS, guardConnections } from "./connection-guard.js";
import type { ClientLimit, ConnectionGuard, ConnectionGuardOptions } from "./connection-guard.js";
import { createLimitLog } from "./limit-log.js";
import { createSegmentPool, SEGMENT_BYTES } from "./segment-pool.js";
import type { SegmentPool } from "./segment-pool.js";
import { closeAfterBody } from "./unread-body.js";

export type ListenerGuardOptions = Pick<
    ConnectionGuardOptions,
    "maximumConnections" | "handle" | "answerMilliseconds" | "headMilliseconds"
> & {
    /** Name of the listener in logs. */
    readonly listener: string;
    /** @default errors are logged without the id of a request */
    readonly requestIdOf?: (message: IncomingMessage) => string | undefined;
};

export interface ClientLimits {
    readonly budget: CallerBudget;
    readonly pool: SegmentPool;
    /** Bounds the connections of a server, and handles its requests. */
    guard(server: Server, options: ListenerGuardOptions): ConnectionGuard;
    recordLimit(listener: string, limit: ClientLimit): void;
    /** Records an error that ended one exchange. */
    recordError(listener: string, error: Error, request: string | undefined): void;
    /** Times that clients met a limit. */
    count(limit: ClientLimit): number;
    /** Errors that ended one exchange. */
    errors(): number;
}

export interface ClientLimitsOptions {
    /** @default what clients hold is counted and not bounded */
    readonly heldBytes?: HeldBytes;
    readonly clock: Clock;
    readonly logger: Logger;
}

/** Share of the buffers' maximum that is kept for further bodies while unused: all, as garbage counts as well. */
const IDLE_SEGMENT_SHARE = 1;

/** Maximum number of unused segments that are kept where the maximum is large. */
const MAXIMUM_IDLE_SEGMENTS = 512;

const UNBOUNDED: HeldBytes = { buffers: Infinity, objects: Infinity };

/** Name of the limit that the budget is in logs and counters. */
const MEMORY_LIMIT: ClientLimit = "memory";

const ERROR_KIND = "internal error";

/** Returns the id of a request whose head may be the cause of an error. */
function tryRequestId(
    requestIdOf: ListenerGuardOptions["requestIdOf"],
    message: IncomingMessage | undefined,
): string | undefined {
    try {
        return message === undefined ? undefined : requestIdOf?.(message);
    }
    catch {
        return undefined;
    }
}

export function createClientLimits({
    heldBytes = UNBOUNDED,
    clock,
    logger,
}: ClientLimitsOptions): ClientLimits {
    const limitLog = createLimitLog(clock, logger, "A client met a limit.");
    const errorLog = createLimitLog(clock, logger, "An exchange failed with an internal error.");
    const budget = createCallerBudget({
        maximum: heldBytes,
        now: clock.now,
        onShed: (resource, bytes, milliseconds) =>
            limitLog.record("all", MEMORY_LIMIT, {
                resource,
                bytes,
                milliseconds: Math.round(milliseconds),
                held: Math.round(budget.held()[resource]),
                maximum: Math.round(heldBytes[resource]),
            }),
    });
    const recordError = (listener: string, error: Error, request: string | undefined): void => {
        errorLog.record(listener, ERROR_KIND, { request, error: error.stack ?? String(error) });
    };
    return {
        budget,
        pool: createSegmentPool(
            Math.min(MAXIMUM_IDLE_SEGMENTS, (heldBytes.buffers * IDLE_SEGMENT_SHARE) / SEGMENT_BYTES),
        ),
        guard: (server, { listener, requestIdOf, ...options }) =>
            guardConnections(server, {
                ...options,
                budget,
                now: clock.now,
                onLimit: limit => limitLog.record(listener, limit),
                onError: (error, message) => recordError(listener, error, tryRequestId(requestIdOf, message)),
            }),
        recordLimit: (listener, limit) => limitLog.record(listener, limit),
        recordError,
        count: limit => limitLog.count(limit),
        errors: () => errorLog.count(ERROR_KIND),
    };
}

/** Timeouts of the listeners that only monitoring uses, milliseconds. */
const MONITORING_HEAD_MILLISECONDS = 3000;
const MONITORING_ANSWER_MILLISECONDS = 10_000;

/** Guards a listener whose requests have no bodies and are answered at once. */
export function guardMonitoring(
    server: Server,
    listener: string,
    { limits, maximumConnections }: { readonly limits: ClientLimits; readonly maximumConnections: number },
    answer: (response: ServerResponse) => void,
): void {
    limits.guard(server, {
        listener,
        maximumConnections,
        answerMilliseconds: () => MONITORING_ANSWER_MILLISECONDS,
        headMilliseconds: () => MONITORING_HEAD_MILLISECONDS,
        handle: ({ message, response, recordAnswerEnd }) => {
            closeAfterBody(message, response);
            answer(response);
            recordAnswerEnd();
        },
    });
}

/** Registers gauges of what clients hold, and the numbers of limits that they met. */
export function registerLimitMetrics(
    metrics: Pick<MetricsRegistry, "gauge">,
    limits: ClientLimits,
    servers: readonly { connections(): number; waitingRequests(): number }[],
): void {
    const sumOf = (read: (server: (typeof servers)[number]) => number): number =>
        servers.reduce((sum, server) => sum + read(server), 0);
    metrics.gauge("caller_connections", () => sumOf(server => server.connections()));
    metrics.gauge("pipelined_requests", () => sumOf(server => server.waitingRequests()));
    metrics.gauge("held_buffer_bytes", () => limits.budget.held().buffers);
    metrics.gauge("held_object_bytes", () => limits.budget.held().objects);
    metrics.gauge("exchange_errors_total", () => limits.errors());
    for (const limit of CLIENT_LIMITS) {
        metrics.gauge(`client_limits_total{limit=${JSON.stringify(limit)}}`, () => limits.count(limit));
    }
}
