/** Counts events that clients can cause, and writes a bounded number of lines about them. */
import type { Clock } from "../common/clock.js";
import type { LogFields, Logger } from "../logging/logging.js";

/** Shortest time between two lines about the same kind at the same listener, milliseconds. */
const LINE_INTERVAL_MILLISECONDS = 10_000;

export interface LimitLog {
    /** @param fields Facts about this time. The line also has the number of times since the line before. */
    record(listener: string, kind: string, fields?: LogFields): void;
    /** Events of a kind at all listeners. */
    count(kind: string): number;
}

/** @param message Text of the lines. */
export function createLimitLog(clock: Clock, logger: Logger, message: string): LimitLog {
    const counts = new Map<string, number>();
    const lines = new Map<string, { writtenAt: number; unwritten: number }>();
    return {
        record: (listener, kind, fields) => {
            counts.set(kind, (counts.get(kind) ?? 0) + 1);
            const key = `${listener}\u0000${kind}`;
            const line = lines.get(key) ?? { writtenAt: -Infinity, unwritten: 0 };
            lines.set(key, line);
            line.unwritten += 1;
            const now = clock.now();
            if (now - line.writtenAt >= LINE_INTERVAL_MILLISECONDS) {
                logger.warn(message, { listener, kind, times: line.unwritten, ...fields });
                line.writtenAt = now;
                line.unwritten = 0;
            }
        },
        count: kind => counts.get(kind) ?? 0,
    };
}
