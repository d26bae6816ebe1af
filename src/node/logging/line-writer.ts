/** Writes lines to a file descriptor without blocking the event loop, and drops lines while the reader stalls. */
import { write as writeDescriptor } from "node:fs";

/** Bytes that wait for a slow reader. Some seconds of logs at the usual volume. */
const BUFFER_BYTES = 128 * 1024;

export interface LineWriter {
    write(line: string): void;
    /** Lines dropped since the start because the reader was too slow. */
    readonly dropped: number;
    /** Resolves when everything was written, or the time is over. */
    flush(timeoutMilliseconds: number): Promise<void>;
}

export type WriteFunction = (text: string, done: (error?: Error | null) => void) => void;

/** @param write Writes text and reports when it was taken; one call runs at a time. */
export function createLineWriter(write: WriteFunction): LineWriter {
    let waiting: string[] = [];
    let waitingBytes = 0;
    let writing = false;
    let dropped = 0;
    let reported = 0;
    let idle: (() => void) | undefined;

    const next = (): void => {
        if (writing) {
            return;
        }
        if (waiting.length === 0) {
            idle?.();
            return;
        }
        if (dropped > reported) {
            waiting.push(
                JSON.stringify({ part: "logging", message: "Dropped lines.", lines: dropped - reported }),
            );
            reported = dropped;
        }
        const text = `${waiting.join("\n")}\n`;
        waiting = [];
        waitingBytes = 0;
        writing = true;
        write(text, () => {
            writing = false;
            next();
        });
    };

    return {
        write: line => {
            if (waitingBytes + line.length > BUFFER_BYTES) {
                dropped += 1;
                return;
            }
            waiting.push(line);
            waitingBytes += line.length + 1;
            // Lines of one turn of the event loop go out together.
            setImmediate(next);
        },
        get dropped() {
            return dropped;
        },
        flush: timeoutMilliseconds =>
            new Promise(resolve => {
                idle = resolve;
                next();
                setTimeout(resolve, timeoutMilliseconds).unref();
            }),
    };
}

/** Writes to a descriptor from the thread pool, so that a full pipe does not stop the event loop. */
export function writeToDescriptor(descriptor: number): WriteFunction {
    const attempt: WriteFunction = (text, done) => {
        writeDescriptor(descriptor, text, (error, bytes) => {
            const rest = error === null ? Buffer.from(text).subarray(bytes).toString() : "";
            if (rest === "") {
                done(error);
            }
            else {
                attempt(rest, done);
            }
        });
    };
    return attempt;
}
