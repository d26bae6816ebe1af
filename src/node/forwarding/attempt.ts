/**
 * One attempt of a request at an upstream: sends the request, checks the response, forwards it to the caller
 * and reports whether the request was served, did not run, or may have run.
 */
import type { IncomingHttpHeaders } from "node:http";
import { hasCertainEnd } from "../upstreams/framing.js";
import type { UpstreamExchange, UpstreamHandlers, UpstreamRequest, UpstreamSend } from "../upstreams/send.js";
import type { ResponseSink } from "./response-sink.js";
import type { ResponseHead } from "./protocol.js";

/** A response that was read to its end and not forwarded yet. */
export interface BufferedResponse {
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
    readonly body: Buffer;
    /** The response has a length or chunked encoding, so a cut connection cannot be taken for its end. */
    readonly isFramed: boolean;
}

export interface AttemptTiming {
    /** Time from sending the request to the response headers, milliseconds. */
    readonly headMilliseconds: number | undefined;
    /** Average time between events of a stream, milliseconds; `undefined` when there were too few. */
    readonly paceMilliseconds: number | undefined;
}

export type AttemptResult =
    /** The whole response was sent to the caller. */
    | { readonly kind: "delivered"; readonly status: number }
    /** The request did not run at this upstream and will not run later. */
    | {
          readonly kind: "not-run";
          readonly reason: string;
          readonly retryAfterSeconds?: number;
          /** No connection to the upstream was established. @default false */
          readonly isUnreached?: boolean;
          /** No process listens at the upstream's address, or another one does. @default false */
          readonly isGone?: boolean;
          /** Status of a rejection. */
          readonly status?: number;
          /** Rejections per second, of all nodes, above which the upstream crashes. */
          readonly maximumRejectionsPerSecond?: number;
      }
    /** Low confidence: a larger model should replace the answer, of which nothing was sent to the caller. */
    | { readonly kind: "doubted"; readonly confidence: number }
    /** The upstream sent an error response, or a response whose end is uncertain. */
    | { readonly kind: "failed"; readonly reason: string; readonly response: BufferedResponse }
    /**
     * The request may have run; there is no usable response. `isBrokenOff` states that the upstream ended the
     * connection before the response was complete, as a crash does; `refutesEnd` that a stream probably goes on
     * after its last event: it broke off within the next event or before the end of its framing, or has foreign
     * bytes.
     */
    | {
          readonly kind: "lost";
          readonly reason: string;
          readonly isBrokenOff?: boolean;
          readonly refutesEnd?: boolean;
      }
    /**
     * The stream ended after a whole event, but only with its connection, which a crash ends in the same way.
     * `hasNewEvents` is false when the attempt added nothing, so that it agrees with the end before it.
     */
    | { readonly kind: "unconfirmed"; readonly reason: string; readonly hasNewEvents: boolean }
    /** The caller closed its connection, or the request timed out. */
    | { readonly kind: "ended"; readonly reason: "caller left" | "deadline exceeded" }
    /** The request was cancelled before its answer began; it may have run. */
    | { readonly kind: "withdrawn"; readonly reason: string };

export interface ForwardingAttemptOptions {
    readonly send: UpstreamSend;
    readonly request: UpstreamRequest;
    readonly attemptId: string | undefined;
    readonly sink: ResponseSink;
    readonly decodeHead: (status: number, headers: IncomingHttpHeaders) => ResponseHead;
    /**
     * Decides whether a larger model replaces an answer of this confidence. When it returns true, it has
     * consumed a retry and selected the larger model.
     */
    readonly tryEscalate: (confidence: number | undefined) => boolean;
    /** Connection timeout, milliseconds. */
    readonly connectMilliseconds: number;
    /**
     * Time to wait for the response headers before the upstream counts as hung, and after them for the rest of
     * a response that is not a stream, milliseconds.
     */
    readonly headMilliseconds: number | undefined;
    /** Time without a new event on a stream after which the upstream counts as hung, milliseconds. */
    readonly gapMilliseconds: number | undefined;
    /** Time until the deadline of the request, milliseconds. */
    readonly remainingMilliseconds: number;
    /** Whether the request may be retried now that a response without framing ended, so that its end is uncertain. */
    readonly mayRetryUnframed: () => boolean;
    /** The end of a stream without framing will probably be confirmed by an attempt with it. */
    readonly expectsConfirmation: boolean;
    /**
     * Whether the upstream has crashed, which tells a break from the end of a stream without framing.
     *
     * @default such an end is no crash
     */
    readonly hasCrashed?: () => Promise<boolean>;
    /** Aborted when the caller closes its connection. */
    readonly callerLeft: AbortSignal;
    /** Cancels the attempt when it is aborted, with the reason of the abort, unless its answer has begun. */
    readonly withdrawn?: AbortSignal;
    /**
     * `isFramed` is false when only the end of the connection ends the response; `earlierResponses` counts the
     * responses that were read from the connection before.
     */
    readonly onHead?: (
        head: ResponseHead,
        status: number,
        isFramed: boolean,
        earlierResponses: number,
    ) => void;
    /** New events of a stream arrived; `isFirst` is true for the first of the attempt. */
    readonly onEvents?: (isFirst: boolean) => void;
    /**
     * An internal error ended the attempt.
     *
     * @default only the result of the attempt says so
     */
    readonly onError?: (error: Error) => void;
}

/**
 * Maximum size of a buffered response, bytes. A larger one is forwarded as it arrives if nothing can replace
 * it, and counts as lost otherwise.
 */
const MAXIMUM_BUFFERED_BYTES = 64 * 1024;

/** Maximum size of the rest of a rejection that is read so that its connection can be reused, bytes. */
const MAXIMUM_DISCARDED_BYTES = 16 * 1024;

/** Maximum time to read the rest of a rejection, milliseconds. */
const DISCARD_MILLISECONDS = 500;

const HTTP_MISDIRECTED = 421;

/** Statuses that tell a caller of the router that the request did not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, HTTP_MISDIRECTED, 429, 503]);

export function signalsNotRun(status: number): boolean {
    return NOT_RUN_STATUSES.has(status);
}

export function isSuccess(status: number): boolean {
    return status >= 200 && status < 300;
}

/** Whether a response of the status reaches the caller in any case: another attempt would not change it. */
function isFinal(status: number): boolean {
    return status < 500 && !signalsNotRun(status);
}

/** Returns why a response does not belong to the request or cannot be trusted, or `undefined`. */
function mismatchReason(
    status: number,
    head: ResponseHead,
    attemptId: string | undefined,
): string | undefined {
    if (head.attemptId !== undefined && head.attemptId !== attemptId) {
        return "the answer belongs to another request";
    }
    // A response without an id may be a late copy of one to an earlier request on the connection.
    if (head.attemptId === undefined && attemptId !== undefined) {
        return "the answer names no request";
    }
    if (!isSuccess(status)) {
        return undefined;
    }
    if (!head.isSigned) {
        return "the answer has no signature";
    }
    return head.isEncoded ? "the body is encoded" : undefined;
}

export function runAttempt(options: ForwardingAttemptOptions): Promise<AttemptResult> {
    return new Promise(resolve => {
        const { sink } = options;
        let settled = false;
        let exchange: UpstreamExchange | undefined = undefined;
        let started = false;
        const eventsAtStart = sink.eventCount();
        let status = 0;
        let headers: IncomingHttpHeaders = {};
        let isFramed = false;
        let mode: "waiting" | "stream" | "buffer" | "pass" | "discard" = "waiting";
        let chunks: Buffer[] = [];
        let size = 0;
        let gapTimer: NodeJS.Timeout | undefined;
        let discardTimer: NodeJS.Timeout | undefined;
        const timers: NodeJS.Timeout[] = [];

        const finish = (result: AttemptResult): void => {
            if (settled) {
                return;
            }
            settled = true;
            timers.forEach(clearTimeout);
            clearTimeout(gapTimer);
            options.callerLeft.removeEventListener("abort", onCallerLeft);
            options.withdrawn?.removeEventListener("abort", onWithdrawn);
            sink.onDrain(undefined);
            resolve(result);
        };

        /** Closes the connection, so that the upstream stops running the request. */
        const cancel = (result: AttemptResult): void => {
            finish(result);
            try {
                exchange?.cancel();
            }
            catch (error) {
                options.onError?.(error as Error);
            }
        };

        /** Ends the attempt when one of its handlers fails. Uncaught, the error would end the process. */
        const guarded =
            <Arguments extends readonly unknown[]>(handler: (...args: Arguments) => void) =>
            (...args: Arguments): void => {
                try {
                    handler(...args);
                }
                catch (error) {
                    options.onError?.(error as Error);
                    cancel({ kind: "lost", reason: `internal error: ${(error as Error).message}` });
                }
            };

        function onCallerLeft(): void {
            cancel({ kind: "ended", reason: "caller left" });
        }

        function onWithdrawn(): void {
            if (sink.eventCount() === eventsAtStart) {
                cancel({ kind: "withdrawn", reason: String(options.withdrawn?.reason) });
            }
        }

        const cancelAfter = (milliseconds: number, result: () => AttemptResult): NodeJS.Timeout => {
            const timer = setTimeout(() => cancel(result()), milliseconds);
            timers.push(timer);
            return timer;
        };

        const restartGapTimer = (): void => {
            if (options.gapMilliseconds !== undefined) {
                clearTimeout(gapTimer);
                gapTimer = setTimeout(
                    () => cancel({ kind: "lost", reason: "the stream paused for too long" }),
                    options.gapMilliseconds,
                );
            }
        };

        /** Reads the rest of a response that is not used, within bounds, so that its connection can be reused. */
        const discardRest = (): void => {
            mode = "discard";
            discardTimer = setTimeout(() => exchange?.cancel(), DISCARD_MILLISECONDS);
        };

        const forward = (data: Buffer): void => {
            if (!sink.write(data)) {
                clearTimeout(gapTimer);
                exchange?.pause();
                sink.onDrain(
                    guarded(() => {
                        exchange?.resume();
                        restartGapTimer();
                    }),
                );
            }
        };

        const onHead = (
            receivedStatus: number,
            receivedHeaders: IncomingHttpHeaders,
            earlierResponses = 0,
        ): void => {
            if (settled || receivedStatus < 200) {
                return;
            }
            status = receivedStatus;
            headers = receivedHeaders;
            clearTimeout(headTimer);
            const head = options.decodeHead(status, headers);
            isFramed = hasCertainEnd(options.request.method, status, headers);
            options.onHead?.(head, status, isFramed, earlierResponses);
            const mismatch = mismatchReason(status, head, options.attemptId);
            if (mismatch !== undefined) {
                cancel({ kind: "lost", reason: mismatch });
                return;
            }
            if (status === HTTP_MISDIRECTED || head.isNotRun) {
                discardRest();
                finish({
                    kind: "not-run",
                    reason: `upstream answered ${status}`,
                    retryAfterSeconds: head.retryAfterSeconds,
                    status,
                    isGone: status === HTTP_MISDIRECTED,
                    maximumRejectionsPerSecond: head.maximumRejectionsPerSecond,
                });
                return;
            }
            if (isSuccess(status) && options.tryEscalate(head.confidence)) {
                cancel({ kind: "doubted", confidence: head.confidence ?? 0 });
                return;
            }
            mode = isSuccess(status) && head.isEventStream ? "stream" : "buffer";
            if (mode === "stream") {
                sink.beginStream(status, headers, isFramed || options.expectsConfirmation);
                restartGapTimer();
            }
            else if (sink.hasBegun()) {
                cancel({ kind: "lost", reason: `upstream answered ${status} to a resumed stream` });
            }
            else if (options.headMilliseconds !== undefined) {
                bodyTimer = cancelAfter(options.headMilliseconds, () => ({
                    kind: "lost",
                    reason: "the answer stopped after its headers",
                }));
            }
        };

        const passOn = (data: Buffer): void => {
            mode = "pass";
            clearTimeout(bodyTimer);
            sink.beginPlain(status, headers);
            forward(data);
        };

        const onChunk = (chunk: Buffer): void => {
            if (mode === "discard") {
                size += chunk.length;
                if (size > MAXIMUM_DISCARDED_BYTES) {
                    exchange?.cancel();
                }
                return;
            }
            if (settled) {
                return;
            }
            if (mode === "stream") {
                const eventsBefore = sink.eventCount();
                const { events, foreignReason } = sink.extractNewEvents(chunk);
                // Comments and parts of an event do not show that the upstream makes progress.
                if (sink.eventCount() > eventsBefore) {
                    options.onEvents?.(eventsBefore === eventsAtStart);
                    restartGapTimer();
                }
                if (events !== undefined) {
                    forward(events);
                }
                if (foreignReason !== undefined) {
                    cancel({
                        kind: "lost",
                        reason: `the stream has foreign bytes: ${foreignReason}`,
                        refutesEnd: true,
                    });
                }
                return;
            }
            if (mode === "pass") {
                forward(chunk);
                return;
            }
            chunks.push(chunk);
            size += chunk.length;
            if (size > MAXIMUM_BUFFERED_BYTES) {
                const data = Buffer.concat(chunks);
                chunks = [];
                if (isFinal(status)) {
                    passOn(data);
                }
                else {
                    cancel({ kind: "lost", reason: `the body of the ${status} is too large` });
                }
            }
        };

        const lostWithinEvent = (): AttemptResult => ({
            kind: "lost",
            reason: "the stream ended within an event",
            isBrokenOff: true,
            refutesEnd: true,
        });

        /** Whether a stream broke off that the upstream would have gone on with. */
        const hasStreamBroken = (): boolean =>
            mode === "stream" && (sink.isWithinEvent() || sink.eventCount() > eventsAtStart);

        /** Result of a stream whose upstream ended its connection, which is the end of the stream or a break. */
        const resultOfUnframedEnd = async (): Promise<AttemptResult> => {
            if (sink.isWithinEvent()) {
                return lostWithinEvent();
            }
            if (sink.lastEventId() === undefined) {
                return { kind: "lost", reason: "the stream ended before its first event", isBrokenOff: true };
            }
            if ((await options.hasCrashed?.()) === true) {
                return { kind: "lost", reason: "the upstream crashed after an event", isBrokenOff: true };
            }
            if (!settled && !options.mayRetryUnframed() && sink.endUnconfirmed(false)) {
                return { kind: "delivered", status };
            }
            return {
                kind: "unconfirmed",
                reason: "the end of the stream is not certain",
                hasNewEvents: sink.eventCount() > eventsAtStart,
            };
        };

        /** Ends an answer that is no stream. */
        const resultOfPlainEnd = (): AttemptResult => {
            if (mode === "pass") {
                sink.endPlain(isFramed);
                return { kind: "delivered", status };
            }
            const response = { status, headers, body: Buffer.concat(chunks), isFramed };
            if (!isFramed && isSuccess(status) && options.mayRetryUnframed()) {
                return { kind: "failed", reason: "the end of the answer is not certain", response };
            }
            if (isFinal(status)) {
                sink.sendBuffered(response);
                return { kind: "delivered", status };
            }
            return { kind: "failed", reason: `upstream answered ${status}`, response };
        };

        /** Like `resultOfPlainEnd` for an answer whose upstream ended its connection, as a crash does. */
        const resultOfUnframedPlainEnd = async (): Promise<AttemptResult> => {
            if ((await options.hasCrashed?.()) === true) {
                return { kind: "lost", reason: "the upstream crashed within an answer", isBrokenOff: true };
            }
            return settled ? { kind: "ended", reason: "caller left" } : resultOfPlainEnd();
        };

        /** Finishes with a result that takes a probe of the upstream. */
        const finishAfterProbe = (result: Promise<AttemptResult>): void => {
            // The answer is here: neither its deadline nor a pause may replace its result meanwhile.
            timers.forEach(clearTimeout);
            clearTimeout(gapTimer);
            result.then(
                finish,
                guarded((error: unknown) => {
                    throw error;
                }),
            );
        };

        const onEnd = (): void => {
            clearTimeout(discardTimer);
            if (settled) {
                return;
            }
            if (mode === "stream") {
                if (!isFramed) {
                    finishAfterProbe(resultOfUnframedEnd());
                }
                else if (sink.endStream()) {
                    finish({ kind: "delivered", status });
                }
                else {
                    finish(lostWithinEvent());
                }
                return;
            }
            if (!isFramed && isSuccess(status) && options.hasCrashed !== undefined) {
                finishAfterProbe(resultOfUnframedPlainEnd());
                return;
            }
            finish(resultOfPlainEnd());
        };

        const onFailure = (
            verdict: string,
            reason: string,
            isBrokenOff: boolean,
            isRefused: boolean,
        ): void => {
            clearTimeout(discardTimer);
            finish(
                verdict === "not-run"
                    ? { kind: "not-run", reason, isUnreached: !isBrokenOff, isGone: isRefused }
                    : { kind: "lost", reason, isBrokenOff, refutesEnd: hasStreamBroken() },
            );
        };

        cancelAfter(options.remainingMilliseconds, () => ({ kind: "ended", reason: "deadline exceeded" }));
        cancelAfter(Math.min(options.connectMilliseconds, options.remainingMilliseconds), () => ({
            kind: "not-run",
            reason: "no connection in time",
            isUnreached: true,
        }));
        const connectTimer = timers.at(-1);
        let headTimer: NodeJS.Timeout | undefined;
        let bodyTimer: NodeJS.Timeout | undefined;
        options.callerLeft.addEventListener("abort", onCallerLeft);
        options.withdrawn?.addEventListener("abort", onWithdrawn);

        const handlers: UpstreamHandlers = {
            onStart: guarded(() => {
                started = true;
                clearTimeout(connectTimer);
                if (options.headMilliseconds !== undefined) {
                    headTimer = cancelAfter(options.headMilliseconds, () => ({
                        kind: "lost",
                        reason: "no answer in time",
                    }));
                }
            }),
            onHead: guarded(onHead),
            onChunk: guarded(onChunk),
            onEnd: guarded(onEnd),
            onFailure: guarded((verdict, reason, isBrokenOff, isRefused) =>
                onFailure(started ? "may-have-run" : verdict, reason, isBrokenOff, isRefused),
            ),
        };
        guarded(() => {
            exchange = options.send(options.request, handlers);
        })();
    });
}
