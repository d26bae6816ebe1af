/** Writes a response to the caller: whole, or as an event stream that several upstreams may contribute to. */
import type { IncomingHttpHeaders, OutgoingHttpHeaders, ServerResponse } from "node:http";
import type { BufferedResponse } from "./attempt.js";
import { createEventSplitter } from "./event-splitter.js";
import type { EventSplitter } from "./event-splitter.js";

export interface ResponseSink {
    /** Whether the status line and headers were written to the caller. */
    hasBegun(): boolean;
    /** Id of the last event that was sent to the caller. */
    lastEventId(): string | undefined;
    /** Number of events that were sent to the caller. */
    eventCount(): number;
    /** Prepares a stream. The first upstream's status and headers are sent together with the first event. */
    beginStream(status: number, headers: IncomingHttpHeaders): void;
    /** Begins a response that is not an event stream and is forwarded as it arrives. */
    beginPlain(status: number, headers: IncomingHttpHeaders): void;
    /**
     * Adds a chunk of a stream and returns the complete events that the caller has not received yet.
     *
     * @throws EventStreamError
     */
    extractNewEvents(chunk: Buffer): Buffer | undefined;
    /** Writes to the caller. Returns false when the write buffer is full. */
    write(data: Buffer): boolean;
    /** Calls the listener once when the write buffer has drained; replaces any earlier listener. */
    onDrain(listener: (() => void) | undefined): void;
    /** Ends a stream after its upstream did. Returns false and keeps it open when an event is incomplete. */
    endStream(): boolean;
    end(): void;
    /** Sends a response that was read to its end. */
    sendBuffered(buffered: BufferedResponse): void;
}

export interface ResponseSinkOptions {
    readonly response: ServerResponse;
    readonly encodeHeaders: (headers: IncomingHttpHeaders) => OutgoingHttpHeaders;
    /** Id of the last event that the caller received before this request. */
    readonly lastEventId: string | undefined;
    readonly onFirstByte: () => void;
}

function definedHeaders(headers: OutgoingHttpHeaders): OutgoingHttpHeaders {
    return Object.fromEntries(Object.entries(headers).filter(([, value]) => value !== undefined));
}

export function createResponseSink(options: ResponseSinkOptions): ResponseSink {
    const { response } = options;
    const splitter: EventSplitter = createEventSplitter(options.lastEventId);
    let streamHead: { readonly status: number; readonly headers: OutgoingHttpHeaders } | undefined;
    let hasBegun = false;
    let drainListener: (() => void) | undefined;
    response.on("drain", () => {
        const listener = drainListener;
        drainListener = undefined;
        listener?.();
    });

    const begin = (status: number, headers: OutgoingHttpHeaders): void => {
        hasBegun = true;
        options.onFirstByte();
        response.writeHead(status, definedHeaders(headers));
    };

    const beginStreamIfNeeded = (): void => {
        if (!hasBegun && streamHead !== undefined) {
            begin(streamHead.status, streamHead.headers);
        }
    };

    return {
        hasBegun: () => hasBegun,
        lastEventId: () => splitter.lastEventId(),
        eventCount: () => splitter.eventCount(),
        beginStream: (status, headers) => {
            splitter.discardPending();
            if (!hasBegun) {
                // The length of a resumed stream can differ from the one that its first upstream announced.
                streamHead = {
                    status,
                    headers: { ...options.encodeHeaders(headers), "content-length": undefined },
                };
            }
        },
        beginPlain: (status, headers) => begin(status, options.encodeHeaders(headers)),
        extractNewEvents: chunk => splitter.push(chunk),
        write: data => {
            beginStreamIfNeeded();
            return response.write(data);
        },
        onDrain: listener => {
            drainListener = listener;
        },
        endStream: () => {
            if (splitter.pendingBytes() > 0) {
                return false;
            }
            beginStreamIfNeeded();
            response.end();
            return true;
        },
        end: () => response.end(),
        sendBuffered: buffered => {
            const headers = options.encodeHeaders(buffered.headers);
            if (buffered.isFramed) {
                begin(buffered.status, { ...headers, "content-length": buffered.body.length });
            }
            else {
                // Without a known length, only the end of the connection marks the end of the response.
                response.shouldKeepAlive = false;
                response.useChunkedEncodingByDefault = false;
                begin(buffered.status, headers);
            }
            response.end(buffered.body);
        },
    };
}
