/** Passes an answer on to the caller: whole, or as a stream of events that may come from several upstreams. */
import type { IncomingHttpHeaders, OutgoingHttpHeaders, ServerResponse } from "node:http";
import type { BufferedAnswer } from "./attempt.js";
import { createEventCutter } from "./event-cutter.js";
import type { EventCutter } from "./event-cutter.js";

export interface AnswerSink {
    /** The caller has received a part of an answer. */
    hasBegun(): boolean;
    /** Id of the last event that the caller has. */
    lastEventId(): string | undefined;
    /** Events of a stream that the caller has. */
    eventCount(): number;
    /** Prepares a stream. The head of the first upstream is kept and goes out with the first event. */
    beginStream(status: number, headers: IncomingHttpHeaders): void;
    /** Begins a plain answer that is passed on as it arrives. */
    beginPlain(status: number, headers: IncomingHttpHeaders): void;
    /**
     * Returns the whole events of a chunk that the caller does not have yet.
     *
     * @throws EventStreamError
     */
    takeEvents(chunk: Buffer): Buffer | undefined;
    /** Writes to the caller. Returns false when the caller reads too slowly. */
    write(data: Buffer): boolean;
    /** Calls the listener once the caller has read what is waiting; replaces the listener before. */
    onDrain(listener: (() => void) | undefined): void;
    /** Ends a stream that the upstream ended. Returns false when an event is incomplete. */
    endStream(): boolean;
    end(): void;
    /** Sends an answer that was read to its end. */
    deliver(answer: BufferedAnswer): void;
}

export interface AnswerSinkOptions {
    readonly response: ServerResponse;
    readonly encodeHeaders: (headers: IncomingHttpHeaders) => OutgoingHttpHeaders;
    /** Id of the last event that the caller had before this request. */
    readonly lastEventId: string | undefined;
    readonly onFirstByte: () => void;
}

function definedHeaders(headers: OutgoingHttpHeaders): OutgoingHttpHeaders {
    return Object.fromEntries(Object.entries(headers).filter(([, value]) => value !== undefined));
}

export function createAnswerSink(options: AnswerSinkOptions): AnswerSink {
    const { response } = options;
    const cutter: EventCutter = createEventCutter(options.lastEventId);
    let streamHead: { readonly status: number; readonly headers: OutgoingHttpHeaders } | undefined;
    let begun = false;
    let drainListener: (() => void) | undefined;
    response.on("drain", () => {
        const listener = drainListener;
        drainListener = undefined;
        listener?.();
    });

    const begin = (status: number, headers: OutgoingHttpHeaders): void => {
        begun = true;
        options.onFirstByte();
        response.writeHead(status, definedHeaders(headers));
    };

    const beginStreamIfNeeded = (): void => {
        if (!begun && streamHead !== undefined) {
            begin(streamHead.status, streamHead.headers);
        }
    };

    return {
        hasBegun: () => begun,
        lastEventId: () => cutter.lastEventId(),
        eventCount: () => cutter.eventCount(),
        beginStream: (status, headers) => {
            cutter.discardPending();
            if (!begun) {
                // A resumed stream may have another length than its first upstream announced.
                streamHead = {
                    status,
                    headers: { ...options.encodeHeaders(headers), "content-length": undefined },
                };
            }
        },
        beginPlain: (status, headers) => begin(status, options.encodeHeaders(headers)),
        takeEvents: chunk => cutter.push(chunk),
        write: data => {
            beginStreamIfNeeded();
            return response.write(data);
        },
        onDrain: listener => {
            drainListener = listener;
        },
        endStream: () => {
            if (cutter.pendingBytes() > 0) {
                return false;
            }
            beginStreamIfNeeded();
            response.end();
            return true;
        },
        end: () => response.end(),
        deliver: answer => {
            const headers = options.encodeHeaders(answer.headers);
            if (answer.isFramed) {
                begin(answer.status, { ...headers, "content-length": answer.body.length });
            }
            else {
                // The caller learns as little about the end as the router: the connection ends with the answer.
                response.shouldKeepAlive = false;
                response.useChunkedEncodingByDefault = false;
                begin(answer.status, headers);
            }
            response.end(answer.body);
        },
    };
}
