/**
 * One attempt of a request at an upstream: sends it, checks the answer and passes it on, and says with
 * certainty what came of it.
 */
import type { IncomingHttpHeaders } from "node:http";
import type { UpstreamExchange, UpstreamRequest, UpstreamSend } from "../upstreams/send.js";
import type { AnswerSink } from "./answer-sink.js";
import type { ResponseHead } from "./protocol.js";

/** An answer that was read whole and not passed on. */
export interface BufferedAnswer {
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
    readonly body: Buffer;
    /** The upstream said how long the answer is, so its end is certain. */
    readonly isFramed: boolean;
}

/** Times of one attempt. */
export interface AttemptTiming {
    /** Time to the head of the answer, milliseconds. */
    readonly headMilliseconds: number | undefined;
    /** Time between two events of a stream, milliseconds; `undefined` when there were too few. */
    readonly paceMilliseconds: number | undefined;
}

export type AttemptResult =
    /** The caller has the whole answer. */
    | { readonly kind: "delivered"; readonly status: number }
    /** The request did not run at this upstream and never will. */
    | { readonly kind: "not-run"; readonly reason: string; readonly retryAfterSeconds?: number }
    /** A larger model should answer; the caller has received nothing. */
    | { readonly kind: "doubted"; readonly confidence: number }
    /** The upstream answered with a failure of its own. */
    | { readonly kind: "failed"; readonly reason: string; readonly answer: BufferedAnswer }
    /** The request may have run; there is no answer that can be used. */
    | { readonly kind: "lost"; readonly reason: string }
    /** The caller has left, or the time of the request is over. */
    | { readonly kind: "ended"; readonly reason: "caller left" | "time is over" };

export interface AttemptOptions {
    readonly send: UpstreamSend;
    readonly request: UpstreamRequest;
    readonly attemptId: string | undefined;
    readonly sink: AnswerSink;
    readonly decodeHead: (status: number, headers: IncomingHttpHeaders) => ResponseHead;
    /** Returns whether an answer of this confidence should be dropped for a larger model. */
    readonly isDoubted: (confidence: number | undefined) => boolean;
    /** Time to wait for a connection, milliseconds. */
    readonly connectMilliseconds: number;
    /** Time to wait for the head of the answer before the upstream counts as hung, milliseconds. */
    readonly headMilliseconds: number | undefined;
    /** Longest pause of a stream before the upstream counts as hung, milliseconds. */
    readonly gapMilliseconds: number | undefined;
    /** Time until the request ends in any case, milliseconds. */
    readonly remainingMilliseconds: number;
    /** The request may run again to make sure of an answer whose upstream did not say how long it is. */
    readonly mayVerifyEnd: boolean;
    /** Aborted when the caller leaves. */
    readonly callerLeft: AbortSignal;
    readonly onHead?: (head: ResponseHead) => void;
}

/** Bytes of a plain answer that are held until it is whole; longer ones are passed on as they arrive. */
const WHOLE_ANSWER_BYTES = 256 * 1024;

const HTTP_MISDIRECTED = 421;

/** Statuses by which the router promises that a request did not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, HTTP_MISDIRECTED, 429, 503]);

/** Whether a caller would read the status as a promise that the request did not run. */
export function promisesNotRun(status: number): boolean {
    return NOT_RUN_STATUSES.has(status);
}

function isSuccess(status: number): boolean {
    return status >= 200 && status < 300;
}

/** Whether the end of an answer can be told from the end of its connection. */
export function hasKnownEnd(headers: IncomingHttpHeaders): boolean {
    return headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;
}

/** Returns why an answer cannot be the one to this request, or `undefined`. */
function foreignReason(
    status: number,
    head: ResponseHead,
    attemptId: string | undefined,
): string | undefined {
    if (head.attemptId !== undefined && head.attemptId !== attemptId) {
        return "the answer belongs to another request";
    }
    if (!isSuccess(status)) {
        return undefined;
    }
    if (!head.isSigned) {
        return "the answer has no signature";
    }
    if (head.attemptId === undefined && attemptId !== undefined) {
        return "the answer names no request";
    }
    return head.isEncoded ? "the body is encoded" : undefined;
}

export function runAttempt(options: AttemptOptions): Promise<AttemptResult> {
    return new Promise(resolve => {
        const { sink } = options;
        let settled = false;
        let exchange: UpstreamExchange | undefined = undefined;
        let started = false;
        let status = 0;
        let headers: IncomingHttpHeaders = {};
        let mode: "waiting" | "stream" | "buffer" | "pass" = "waiting";
        let chunks: Buffer[] = [];
        let size = 0;
        let gapTimer: NodeJS.Timeout | undefined;
        const timers: NodeJS.Timeout[] = [];

        const finish = (result: AttemptResult): void => {
            if (settled) {
                return;
            }
            settled = true;
            timers.forEach(clearTimeout);
            clearTimeout(gapTimer);
            options.callerLeft.removeEventListener("abort", onCallerLeft);
            sink.onDrain(undefined);
            resolve(result);
        };

        /** Gives the exchange up, which closes its connection and so ends the run. */
        const cancel = (result: AttemptResult): void => {
            finish(result);
            exchange?.cancel();
        };

        function onCallerLeft(): void {
            cancel({ kind: "ended", reason: "caller left" });
        }

        const after = (milliseconds: number, result: () => AttemptResult): NodeJS.Timeout => {
            const timer = setTimeout(() => cancel(result()), milliseconds);
            timers.push(timer);
            return timer;
        };

        const armGapTimer = (): void => {
            if (options.gapMilliseconds !== undefined) {
                clearTimeout(gapTimer);
                gapTimer = setTimeout(
                    () => cancel({ kind: "lost", reason: "the stream paused for too long" }),
                    options.gapMilliseconds,
                );
            }
        };

        const passOn = (data: Buffer): void => {
            if (!sink.write(data)) {
                clearTimeout(gapTimer);
                exchange?.pause();
                sink.onDrain(() => {
                    exchange?.resume();
                    armGapTimer();
                });
            }
        };

        const onHead = (receivedStatus: number, receivedHeaders: IncomingHttpHeaders): void => {
            if (settled || receivedStatus < 200) {
                return;
            }
            status = receivedStatus;
            headers = receivedHeaders;
            clearTimeout(headTimer);
            const head = options.decodeHead(status, headers);
            options.onHead?.(head);
            const foreign = foreignReason(status, head, options.attemptId);
            if (foreign !== undefined) {
                cancel({ kind: "lost", reason: foreign });
                return;
            }
            if (status === HTTP_MISDIRECTED || head.isNotRun) {
                finish({
                    kind: "not-run",
                    reason: `upstream answered ${status}`,
                    retryAfterSeconds: head.retryAfterSeconds,
                });
                return;
            }
            if (isSuccess(status) && options.isDoubted(head.confidence)) {
                cancel({ kind: "doubted", confidence: head.confidence ?? 0 });
                return;
            }
            mode = isSuccess(status) && head.isEventStream ? "stream" : "buffer";
            if (mode === "stream") {
                sink.beginStream(status, headers);
                armGapTimer();
            }
            else if (sink.hasBegun()) {
                cancel({ kind: "lost", reason: `upstream answered ${status} to a resumed stream` });
            }
        };

        const onChunk = (chunk: Buffer): void => {
            if (settled) {
                return;
            }
            if (mode === "stream") {
                armGapTimer();
                try {
                    const events = sink.takeEvents(chunk);
                    if (events !== undefined) {
                        passOn(events);
                    }
                }
                catch (error) {
                    cancel({ kind: "lost", reason: (error as Error).message });
                }
                return;
            }
            if (mode === "pass") {
                passOn(chunk);
                return;
            }
            chunks.push(chunk);
            size += chunk.length;
            if (size > WHOLE_ANSWER_BYTES && isSuccess(status)) {
                mode = "pass";
                sink.beginPlain(status, headers);
                passOn(Buffer.concat(chunks));
                chunks = [];
            }
        };

        const onEnd = (): void => {
            if (settled) {
                return;
            }
            const isFramed = hasKnownEnd(headers);
            if (mode === "stream") {
                if (!isFramed && options.mayVerifyEnd) {
                    // Another upstream sends what is missing behind the last event, if anything.
                    finish({ kind: "lost", reason: "the end of the stream is not certain" });
                }
                else if (sink.endStream()) {
                    finish({ kind: "delivered", status });
                }
                else {
                    finish({ kind: "lost", reason: "the stream ended within an event" });
                }
                return;
            }
            if (mode === "pass") {
                sink.end();
                finish({ kind: "delivered", status });
                return;
            }
            const answer = { status, headers, body: Buffer.concat(chunks), isFramed };
            if (!isFramed && isSuccess(status) && options.mayVerifyEnd) {
                finish({ kind: "failed", reason: "the end of the answer is not certain", answer });
                return;
            }
            if (isSuccess(status) || (status < 500 && !promisesNotRun(status))) {
                sink.deliver(answer);
                finish({ kind: "delivered", status });
                return;
            }
            finish({ kind: "failed", reason: `upstream answered ${status}`, answer });
        };

        const onFailure = (verdict: string, reason: string): void => {
            finish(verdict === "not-run" ? { kind: "not-run", reason } : { kind: "lost", reason });
        };

        after(options.remainingMilliseconds, () => ({ kind: "ended", reason: "time is over" }));
        after(Math.min(options.connectMilliseconds, options.remainingMilliseconds), () => ({
            kind: "not-run",
            reason: "no connection in time",
        }));
        const connectTimer = timers.at(-1);
        let headTimer: NodeJS.Timeout | undefined;
        options.callerLeft.addEventListener("abort", onCallerLeft);

        exchange = options.send(options.request, {
            onStart: () => {
                started = true;
                clearTimeout(connectTimer);
                if (options.headMilliseconds !== undefined) {
                    headTimer = after(options.headMilliseconds, () => ({
                        kind: "lost",
                        reason: "no answer in time",
                    }));
                }
            },
            onHead,
            onChunk,
            onEnd,
            onFailure: (verdict, reason) => onFailure(started ? "may-have-run" : verdict, reason),
        });
    });
}
