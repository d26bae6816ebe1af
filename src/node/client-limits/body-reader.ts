/** Reads the body of a request into a bounded number of buffers, whatever the sizes of its chunks. */
import type { IncomingMessage } from "node:http";
import { SEGMENT_BYTES } from "./segment-pool.js";
import type { SegmentPool } from "./segment-pool.js";

export type BodyFailure =
    /** The body is larger than allowed. */
    | "too-large"
    /** The body made less than the minimum progress, or its time is over. */
    | "too-slow"
    /** The memory is needed for others. */
    | "shed"
    /** The client closed the connection. */
    | "aborted";

/** The body was not read to its end. */
export class BodyError extends Error {
    constructor(
        readonly failure: BodyFailure,
        message: string,
    ) {
        super(message);
        this.name = "BodyError";
    }
}

export interface BodyReaderOptions {
    readonly maximumBytes: number;
    readonly pool: SegmentPool;
    /** Called with the bytes that the body occupies whenever they change. */
    readonly onHeld: (bytes: number) => void;
    /** Time in which a body that goes on must bring the minimum number of bytes, milliseconds. */
    readonly progressMilliseconds: number;
    /** Time until the whole body must have arrived, milliseconds. */
    readonly remainingMilliseconds: number;
}

export interface BodyReader {
    /** @throws BodyError */
    readonly body: Promise<Buffer>;
    /** Ends the reading with an error. Returns false when it has ended already. */
    cancel(failure: BodyFailure, message: string): boolean;
}

/** Bytes that a body which goes on must bring in each period. */
const MINIMUM_PROGRESS_BYTES = 1024;

/** Longest delay of a timer, milliseconds. A longer one would fire at once. */
const MAXIMUM_TIMER_MILLISECONDS = 2 ** 31 - 1;

/** Lengths of the first buffers, bytes. Further ones are pooled, so that small bodies take little memory. */
const FIRST_LENGTHS: readonly number[] = [1024, 4096, 16_384];

/** Copies chunks into buffers of growing length. A body that arrives in one chunk is not copied. */
class BodySegments {
    private first: Buffer | undefined;
    private readonly segments: Buffer[] = [];
    /** Used bytes of the last segment. */
    private used = 0;
    private length = 0;
    /** Bytes that the buffers occupy. */
    heldBytes = 0;

    constructor(private readonly pool: SegmentPool) {}

    append(chunk: Buffer): void {
        this.length += chunk.length;
        if (this.length === chunk.length) {
            this.first = chunk;
            this.heldBytes = chunk.length;
            return;
        }
        if (this.first !== undefined) {
            this.copy(this.first);
            this.heldBytes -= this.first.length;
            this.first = undefined;
        }
        this.copy(chunk);
    }

    /** Returns the whole body and gives the buffers back. */
    join(): Buffer {
        const body = this.first ?? Buffer.allocUnsafeSlow(this.length);
        let at = 0;
        for (const segment of this.segments) {
            at += segment.copy(body, at, 0, Math.min(segment.length, this.length - at));
        }
        this.release();
        return body;
    }

    release(): void {
        this.segments.filter(({ length }) => length === SEGMENT_BYTES).forEach(this.pool.release);
        this.segments.length = 0;
        this.first = undefined;
    }

    private copy(chunk: Buffer): void {
        for (let at = 0; at < chunk.length;) {
            let last = this.segments.at(-1);
            if (last === undefined || this.used === last.length) {
                const length = FIRST_LENGTHS[this.segments.length];
                last = length === undefined ? this.pool.take() : Buffer.allocUnsafeSlow(length);
                this.segments.push(last);
                this.heldBytes += last.length;
                this.used = 0;
            }
            const copied = chunk.copy(last, this.used, at);
            this.used += copied;
            at += copied;
        }
    }
}

/** Whether the head of a request announces a body. */
export function hasBody({ headers }: IncomingMessage): boolean {
    return headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;
}

/** Begins to read a body. */
export function readBody(message: IncomingMessage, options: BodyReaderOptions): BodyReader {
    const segments = new BodySegments(options.pool);
    let cancel: BodyReader["cancel"] = () => false;
    const body = new Promise<Buffer>((resolve, reject) => {
        let isOver = false;
        let size = 0;
        let held = 0;
        let sizeAtCheck = 0;
        let progressTimer: NodeJS.Timeout | undefined;
        let deadlineTimer: NodeJS.Timeout | undefined;

        const stop = (): void => {
            isOver = true;
            clearTimeout(deadlineTimer);
            clearInterval(progressTimer);
            message.off("data", onData);
            message.off("end", onEnd);
            message.off("close", onClose);
            message.off("error", onClose);
        };
        const fail = (failure: BodyFailure, text: string): void => {
            stop();
            segments.release();
            options.onHeld(0);
            reject(new BodyError(failure, text));
        };
        const onData = (chunk: Buffer): void => {
            size += chunk.length;
            if (size > options.maximumBytes) {
                fail("too-large", `the body is larger than ${options.maximumBytes} bytes`);
                return;
            }
            segments.append(chunk);
            if (segments.heldBytes !== held) {
                held = segments.heldBytes;
                options.onHeld(held);
            }
        };
        const onEnd = (): void => {
            stop();
            const whole = segments.join();
            if (whole.length !== held) {
                options.onHeld(whole.length);
            }
            resolve(whole);
        };
        const onClose = (): void =>
            fail("aborted", "the client closed the connection while it sent the body");
        const checkProgress = (): void => {
            if (size - sizeAtCheck < MINIMUM_PROGRESS_BYTES) {
                fail("too-slow", `the body brought less than ${MINIMUM_PROGRESS_BYTES} bytes in its time`);
            }
            sizeAtCheck = size;
        };

        cancel = (failure, text) => {
            if (isOver) {
                return false;
            }
            fail(failure, text);
            return true;
        };
        message.on("data", onData);
        message.on("end", onEnd);
        message.on("close", onClose);
        message.on("error", onClose);
        if (hasBody(message) && !message.complete) {
            progressTimer = setInterval(checkProgress, options.progressMilliseconds);
            deadlineTimer = setTimeout(
                () => fail("too-slow", "the body did not arrive in the time of the request"),
                Math.min(Math.max(0, options.remainingMilliseconds), MAXIMUM_TIMER_MILLISECONDS),
            );
        }
    });
    return { body, cancel: (failure, message) => cancel(failure, message) };
}
