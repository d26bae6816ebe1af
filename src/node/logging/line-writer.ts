/** Writes lines to a file descriptor without blocking the event loop. Discards lines if the reader stalls. */
import { write as writeDescriptor } from "node:fs";

/** Maximum size of the lines buffered for a slow reader, bytes: some seconds of logs at the usual volume. */
const BUFFER_BYTES = 128 * 1024;

export interface LineWriter {
    write(line: string): void;
    /** Lines discarded since the start because the reader was too slow. */
    readonly discardedLines: number;
    /** Resolves when all lines are written, or at the timeout. */
    flush(timeoutMilliseconds: number): Promise<void>;
}

export type WriteFunction = (text: string, done: (error?: Error | null) => void) => void;

/** @param write Writes text and calls `done` when it is written or has failed. Calls do not overlap. */
export function createLineWriter(write: WriteFunction): LineWriter {
    let waiting: string[] = [];
    let waitingBytes = 0;
    let writing = false;
    let discardedLines = 0;
    let reportedLines = 0;
    let onIdle: (() => void) | undefined;

    const writeNext = (): void => {
        if (writing) {
            return;
        }
        if (waiting.length === 0) {
            onIdle?.();
            return;
        }
        if (discardedLines > reportedLines) {
            waiting.push(
                JSON.stringify({
                    part: "logging",
                    message: "Dropped lines.",
                    lines: discardedLines - reportedLines,
                }),
            );
            reportedLines = discardedLines;
        }
        const text = `${waiting.join("\n")}\n`;
        waiting = [];
        waitingBytes = 0;
        writing = true;
        write(text, () => {
            writing = false;
            writeNext();
        });
    };

    return {
        write: line => {
            if (waitingBytes + line.length > BUFFER_BYTES) {
                discardedLines += 1;
                return;
            }
            waiting.push(line);
            waitingBytes += line.length + 1;
            // Lines of one turn of the event loop are written together.
            setImmediate(writeNext);
        },
        get discardedLines() {
            return discardedLines;
        },
        flush: timeoutMilliseconds =>
            new Promise(resolve => {
                onIdle = resolve;
                writeNext();
                setTimeout(resolve, timeoutMilliseconds).unref();
            }),
    };
}

/** Writes to a descriptor from the thread pool, so that a full pipe does not stop the event loop. */
export function writeToDescriptor(descriptor: number): WriteFunction {
    const writeAll: WriteFunction = (text, done) => {
        writeDescriptor(descriptor, text, (error, bytes) => {
            const rest = error === null ? Buffer.from(text).subarray(bytes).toString() : "";
            if (rest === "") {
                done(error);
            }
            else {
                writeAll(rest, done);
            }
        });
    };
    return writeAll;
}
