/**
 * Log of the decisions about each request. The lines of a request are written together when it ends, or
 * discarded together when they exceed a number of lines per second. Notable requests, such as failed ones,
 * have a separate limit, so that ordinary ones cannot displace them.
 */
import type { Clock } from "../common/clock.js";
import { formatJsonLine } from "./logging.js";
import type { LogFields } from "./logging.js";

export interface RequestTrace {
    /** Adds a line about a decision. */
    add(component: string, message: string, fields?: LogFields): void;
    /**
     * Writes the lines if the limit allows it.
     *
     * @param isNotable Applies the limit for notable requests.
     */
    end(isNotable: boolean): void;
}

export interface RequestLogOptions {
    readonly write: (line: string) => void;
    readonly clock: Clock;
    /** Maximum lines per second for ordinary requests. */
    readonly linesPerSecond: number;
    /** Maximum lines per second for notable requests, in addition to those for ordinary ones. */
    readonly notableLinesPerSecond: number;
}

interface LineBudget {
    second: number;
    lines: number;
    discardedRequests: number;
}

export interface RequestLog {
    begin(request: string): RequestTrace;
}

export function createRequestLog(options: RequestLogOptions): RequestLog {
    const ordinary: LineBudget = { second: 0, lines: 0, discardedRequests: 0 };
    const notable: LineBudget = { second: 0, lines: 0, discardedRequests: 0 };

    const tryConsume = (budget: LineBudget, lines: number, limit: number): boolean => {
        const second = Math.floor(options.clock.now() / 1000);
        if (second !== budget.second) {
            if (budget.discardedRequests > 0) {
                options.write(
                    formatJsonLine("requests", "info", "Left out the lines of requests.", {
                        requests: budget.discardedRequests,
                    }),
                );
            }
            budget.second = second;
            budget.lines = 0;
            budget.discardedRequests = 0;
        }
        if (budget.lines + lines > limit) {
            budget.discardedRequests += 1;
            return false;
        }
        budget.lines += lines;
        return true;
    };

    return {
        begin: request => {
            const lines: string[] = [];
            return {
                add: (component, message, fields) => {
                    lines.push(formatJsonLine(component, "info", message, { request, ...fields }));
                },
                end: isNotable => {
                    const budget = isNotable ? notable : ordinary;
                    const limit = isNotable ? options.notableLinesPerSecond : options.linesPerSecond;
                    if (tryConsume(budget, lines.length, limit)) {
                        lines.forEach(options.write);
                    }
                },
            };
        },
    };
}
