/**
 * Log of the decisions of each request. The lines of a request are written together when it ends, or not at
 * all: a budget per second bounds the volume. Requests that failed or were slow are written first.
 */
import type { Clock } from "../common/clock.js";
import { formatJsonLine } from "./logging.js";
import type { LogFacts } from "./logging.js";

export interface RequestTrace {
    /** Records a decision about the request. */
    add(part: string, sentence: string, facts?: LogFacts): void;
    /** Writes the lines if the budget allows. */
    end(isNotable: boolean): void;
}

export interface RequestLogOptions {
    readonly write: (line: string) => void;
    readonly clock: Clock;
    /** Lines a second for requests that went as usual. */
    readonly linesPerSecond: number;
    /** Lines a second for requests that failed or were slow, besides the others. */
    readonly notableLinesPerSecond: number;
}

interface Budget {
    second: number;
    lines: number;
    leftOut: number;
}

export interface RequestLog {
    begin(request: string): RequestTrace;
}

export function createRequestLog(options: RequestLogOptions): RequestLog {
    const usual: Budget = { second: 0, lines: 0, leftOut: 0 };
    const notable: Budget = { second: 0, lines: 0, leftOut: 0 };

    const takes = (budget: Budget, lines: number, limit: number): boolean => {
        const second = Math.floor(options.clock.now() / 1000);
        if (second !== budget.second) {
            if (budget.leftOut > 0) {
                options.write(
                    formatJsonLine("requests", "info", "Left out the lines of requests.", {
                        requests: budget.leftOut,
                    }),
                );
            }
            budget.second = second;
            budget.lines = 0;
            budget.leftOut = 0;
        }
        if (budget.lines + lines > limit) {
            budget.leftOut += 1;
            return false;
        }
        budget.lines += lines;
        return true;
    };

    return {
        begin: request => {
            const lines: string[] = [];
            return {
                add: (part, sentence, facts) => {
                    lines.push(formatJsonLine(part, "info", sentence, { request, ...facts }));
                },
                end: isNotable => {
                    const budget = isNotable ? notable : usual;
                    const limit = isNotable ? options.notableLinesPerSecond : options.linesPerSecond;
                    if (takes(budget, lines.length, limit)) {
                        lines.forEach(options.write);
                    }
                },
            };
        },
    };
}
