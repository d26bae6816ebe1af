/** Writes a response to the caller: whole, or as an event stream that several upstreams may contribute to. */
import type { IncomingHttpHeaders, OutgoingHttpHeaders, ServerResponse } from "node:http";
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
     * @param isFramed Whether the router will know the end of the stream. Otherwise it is sent without framing
     * and ends with its connection, so that the caller knows as much about its end as the router.
     */
    beginStream(status: number, headers: IncomingHttpHeaders, isFramed: boolean): void;
    /**
     * Begins a response that is not an event stream and is forwarded as it arrives.
     *
     * @param isFramed Whether the upstream's response has a length or chunks.
     */
    beginPlain(status: number, headers: IncomingHttpHeaders, isFramed: boolean): void;
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
    /** Whether the stream has begun without framing, so that it ends with the connection to the caller. */
    isUnframed(): boolean;
    /**
     * Ends a stream whose upstream ended its connection, which may also have been a crash. Returns false and
     * keeps it open when an event is incomplete, or the framing would state that the stream is complete. A
     * stream without new events ends empty if its caller resumed it, and is kept open otherwise.
     *
     * @param mayBegin Whether another upstream has confirmed the end of a stream without new events.
     */
    endUnconfirmed(mayBegin: boolean): boolean;
    /** Whether the answer ended as complete because its upstream ended the connection, as a crash does. */
    hasUnconfirmedEnd(): boolean;
    /** Ends an answer that is no stream. `isFramed` as in `beginPlain`. */
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
    readonly isFramed: boolean;
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
    let isChunked = false;
    let hasUnconfirmedEnd = false;
    let drainListener: (() => void) | undefined;
    const reportUnread = (): void => options.onUnread?.(response.writableLength);
    response.on("drain", () => {
        reportUnread();
        const listener = drainListener;
        drainListener = undefined;
        listener?.();
    });

    const begin = (status: number, headers: OutgoingHttpHeaders, isFramed: boolean): void => {
        hasBegun = true;
        options.onFirstByte();
        if (!isFramed) {
            // Only the end of the connection marks the end of the response.
            response.shouldKeepAlive = false;
            response.useChunkedEncodingByDefault = false;
        }
        response.writeHead(status, definedHeaders(headers));
        isChunked = response.chunkedEncoding;
    };

    const beginStreamIfNeeded = (): void => {
        if (!hasBegun && streamHead !== undefined) {
            begin(streamHead.status, streamHead.headers, streamHead.isFramed);
        }
    };

    return {
        hasBegun: () => hasBegun,
        hasBegunPlain: () => hasBegunPlain,
        lastEventId: () => splitter.lastEventId(),
        eventCount: () => splitter.eventCount(),
        beginStream: (status, headers, isFramed) => {
            splitter.beginRun();
            if (!hasBegun) {
                // The length of a resumed stream can differ from the one that its first upstream announced.
                streamHead = {
                    status,
                    headers: { ...options.encodeHeaders(headers), "content-length": undefined },
                    isFramed,
                };
            }
        },
        beginPlain: (status, headers, isFramed) => {
            hasBegunPlain = true;
            begin(status, options.encodeHeaders(headers), isFramed);
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
        isUnframed: () => hasBegun && !isChunked,
        endUnconfirmed: mayBegin => {
            if (splitter.pendingBytes() > 0) {
                return false;
            }
            if (mayBegin && !hasBegun && streamHead !== undefined && options.lastEventId !== undefined) {
                begin(streamHead.status, streamHead.headers, false);
            }
            if (!hasBegun || isChunked) {
                return false;
            }
            hasUnconfirmedEnd = true;
            response.end();
            return true;
        },
        hasUnconfirmedEnd: () => hasUnconfirmedEnd,
        endPlain: isFramed => {
            hasUnconfirmedEnd = !isFramed;
            response.end();
        },
        sendBuffered: buffered => {
            hasUnconfirmedEnd = !buffered.isFramed;
            const headers = options.encodeHeaders(buffered.headers);
            const length = buffered.isFramed ? { "content-length": buffered.body.length } : {};
            begin(buffered.status, { ...headers, ...length }, buffered.isFramed);
            response.end(buffered.body);
            reportUnread();
        },
    };
}
