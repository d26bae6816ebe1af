/**
 * Writes a response to the caller: whole, or as an event stream that several upstreams may contribute to.
 *
 * To a caller of HTTP/1.1, each response has a length or chunks, whatever its upstream sent. The end of a response
 * without them is the end of its connection, which also ends when the node dies.
 */
import type { IncomingHttpHeaders, OutgoingHttpHeaders, ServerResponse } from "node:http";
import { isBodiless } from "../upstreams/framing.js";
import type { BufferedResponse } from "./attempt.js";
import { createEventSplitter } from "./event-splitter.js";
import type { EventSplitter, SplitChunk } from "./event-splitter.js";

export interface ResponseSink {
    /** Whether the status line and headers were written to the caller. */
    hasBegun(): boolean;
    /** Whether the caller has received the beginning of an answer that is no stream. */
    hasBegunPlain(): boolean;
    /** Id of the last event that was sent to the caller. */
    lastEventId(): string | undefined;
    /** Number of events that were sent to the caller. */
    eventCount(): number;
    /**
     * Prepares a stream. The first upstream's status and headers are sent together with the first event.
     *
     * @param needsConfirmation Whether an end that only the upstream's connection marks must be confirmed. It
     * holds for the whole response once the first event was sent.
     */
    beginStream(status: number, headers: IncomingHttpHeaders, needsConfirmation: boolean): void;
    /** Begins a response that is not an event stream and is forwarded as it arrives. */
    beginPlain(status: number, headers: IncomingHttpHeaders): void;
    /** Adds a chunk of a stream and returns the complete events that the caller has not received yet. */
    extractNewEvents(chunk: Buffer): SplitChunk;
    /** Writes to the caller. Returns false when the write buffer is full. */
    write(data: Buffer): boolean;
    /** Calls the listener once when the write buffer has drained; replaces any earlier listener. */
    onDrain(listener: (() => void) | undefined): void;
    /** Whether the upstream has sent a part of an event. */
    isWithinEvent(): boolean;
    /** Ends a stream that is complete. Returns false and keeps it open when an event is incomplete. */
    endStream(): boolean;
    /**
     * Ends a stream whose upstream ended its connection, which may also have been a crash. Returns false and
     * keeps it open when an event is incomplete, or the end is refuted, or must be confirmed and is not agreed. An
     * agreed stream without new events ends empty if its caller resumed it.
     *
     * @param isAgreed Whether two upstreams have ended the stream after the same event.
     */
    endUnconfirmed(isAgreed: boolean): boolean;
    /** States that the stream goes on after its last event, so that it cannot end there. */
    refuteEnd(): void;
    /** Whether the stream is known to go on after its last event. */
    isEndRefuted(): boolean;
    /** Whether the answer ended as complete because its upstream ended the connection, as a crash does. */
    hasUnconfirmedEnd(): boolean;
    /**
     * Ends a response that is not an event stream.
     *
     * @param isFramed Whether the upstream's response has a length or chunks.
     */
    endPlain(isFramed: boolean): void;
    /** Sends a response that was read to its end. */
    sendBuffered(buffered: BufferedResponse): void;
}

export interface ResponseSinkOptions {
    readonly response: ServerResponse;
    readonly encodeHeaders: (headers: IncomingHttpHeaders) => OutgoingHttpHeaders;
    /** Id of the last event that the caller received before this request. */
    readonly lastEventId: string | undefined;
    /** Names of fields that events may have beside the standard ones. */
    readonly eventFields: ReadonlySet<string>;
    readonly onFirstByte: () => void;
    /**
     * Called with the bytes that the caller has not read, whenever they may have changed.
     *
     * @default they are not counted
     */
    readonly onUnread?: (bytes: number) => void;
}

function definedHeaders(headers: OutgoingHttpHeaders): OutgoingHttpHeaders {
    return Object.fromEntries(Object.entries(headers).filter(([, value]) => value !== undefined));
}

interface StreamHead {
    readonly status: number;
    readonly headers: OutgoingHttpHeaders;
    readonly needsConfirmation: boolean;
}

export function createResponseSink(options: ResponseSinkOptions): ResponseSink {
    const { response } = options;
    const splitter: EventSplitter = createEventSplitter({
        resumeFrom: options.lastEventId,
        extraFields: options.eventFields,
    });
    let streamHead: StreamHead | undefined;
    let hasBegun = false;
    let hasBegunPlain = false;
    let needsConfirmation = false;
    let hasUnconfirmedEnd = false;
    let refutedEndId: string | undefined;
    let drainListener: (() => void) | undefined;
    const reportUnread = (): void => options.onUnread?.(response.writableLength);
    response.on("drain", () => {
        reportUnread();
        const listener = drainListener;
        drainListener = undefined;
        listener?.();
    });

    const isEndRefuted = (): boolean => refutedEndId !== undefined && refutedEndId === splitter.lastEventId();

    const begin = (status: number, headers: OutgoingHttpHeaders): void => {
        hasBegun = true;
        options.onFirstByte();
        response.writeHead(status, definedHeaders(headers));
    };

    const beginStreamIfNeeded = (): void => {
        if (!hasBegun && streamHead !== undefined) {
            needsConfirmation = streamHead.needsConfirmation;
            begin(streamHead.status, streamHead.headers);
        }
    };

    return {
        hasBegun: () => hasBegun,
        hasBegunPlain: () => hasBegunPlain,
        lastEventId: () => splitter.lastEventId(),
        eventCount: () => splitter.eventCount(),
        beginStream: (status, headers, streamNeedsConfirmation) => {
            splitter.beginRun();
            if (!hasBegun) {
                // The length of a resumed stream can differ from the one that its first upstream announced.
                streamHead = {
                    status,
                    headers: { ...options.encodeHeaders(headers), "content-length": undefined },
                    needsConfirmation: streamNeedsConfirmation,
                };
            }
        },
        beginPlain: (status, headers) => {
            hasBegunPlain = true;
            begin(status, options.encodeHeaders(headers));
        },
        extractNewEvents: chunk => splitter.push(chunk),
        write: data => {
            beginStreamIfNeeded();
            const isTaken = response.write(data);
            if (!isTaken) {
                reportUnread();
            }
            return isTaken;
        },
        onDrain: listener => {
            drainListener = listener;
        },
        isWithinEvent: () => splitter.pendingBytes() > 0,
        endStream: () => {
            if (splitter.pendingBytes() > 0) {
                return false;
            }
            beginStreamIfNeeded();
            response.end();
            return true;
        },
        endUnconfirmed: isAgreed => {
            if (splitter.pendingBytes() > 0) {
                return false;
            }
            if (isAgreed && !hasBegun && streamHead !== undefined && options.lastEventId !== undefined) {
                begin(streamHead.status, streamHead.headers);
            }
            if (!hasBegun || isEndRefuted() || (needsConfirmation && !isAgreed)) {
                return false;
            }
            hasUnconfirmedEnd = true;
            response.end();
            return true;
        },
        refuteEnd: () => {
            refutedEndId = splitter.lastEventId();
        },
        isEndRefuted,
        hasUnconfirmedEnd: () => hasUnconfirmedEnd,
        endPlain: isFramed => {
            hasUnconfirmedEnd = !isFramed;
            response.end();
        },
        sendBuffered: buffered => {
            hasUnconfirmedEnd = !buffered.isFramed;
            const headers = options.encodeHeaders(buffered.headers);
            const length = isBodiless(response.req.method, buffered.status)
                ? {}
                : { "content-length": buffered.body.length };
            begin(buffered.status, { ...headers, ...length });
            response.end(buffered.body);
            reportUnread();
        },
    };
}
