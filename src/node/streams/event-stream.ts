/**
 * Tracks a server-sent event stream of an engine without parsing every event: it splits chunks at event
 * boundaries, tracks the token offset in the event ids, and checks at the end that the answer is complete.
 *
 * `docs/engine-protocol.md` describes the stream: the `id` of an event is the number of tokens generated up
 * to and including the event; the event before `[DONE]` contains the finish reason and the usage.
 */

import { isUtf8 } from "node:buffer";

const EVENT_BOUNDARY = Buffer.from("\n\n");
const DATA_LINE = Buffer.from("\ndata:");
const ID_PREFIX = Buffer.from("id: ");
const DONE_EVENT = Buffer.from("data: [DONE]\n\n");
const DATA_PREFIX = "data: ";
const LINE_FEED = 0x0a;
const COLON = 0x3a;

/** Maximum size of an event, bytes. A larger event counts as a broken stream. */
const MAXIMUM_EVENT_BYTES = 1024 * 1024;

/** Token counts of the engine, from the event before `[DONE]`. */
export interface Usage {
    readonly promptTokens: number;
    readonly completionTokens: number;
}

export interface StreamEnd {
    readonly finishReason: string;
    readonly usage: Usage;
}

/** The stream violates the protocol, so the rest of it cannot be trusted. */
export class StreamProtocolError extends Error {
    constructor(message: string) {
        super(message);
        this.name = "StreamProtocolError";
    }
}

export interface EventStreamTracker {
    /**
     * Adds a chunk and returns the events that are complete, as views of the chunk where possible. The
     * `[DONE]` event is never returned; once it was received, `end()` is defined.
     *
     * @throws StreamProtocolError
     */
    push(chunk: Buffer): Buffer | undefined;
    /** Number of tokens in the returned events; a resumed stream continues after them. */
    offset(): number;
    /** `undefined` until the answer is complete. */
    end(): StreamEnd | undefined;
    /** Discards the incomplete event of a broken stream, so that a resumed stream can follow. */
    discardTail(): void;
}

export function createEventStreamTracker(): EventStreamTracker {
    let tail: Buffer | undefined;
    let offset = 0;
    let lastEvent: Buffer | undefined;
    let streamEnd: StreamEnd | undefined;

    const extractWholeEvents = (chunk: Buffer): Buffer | undefined => {
        const data = tail === undefined ? chunk : Buffer.concat([tail, chunk]);
        const boundary = data.lastIndexOf(EVENT_BOUNDARY);
        const wholeLength = boundary < 0 ? 0 : boundary + EVENT_BOUNDARY.length;
        tail = wholeLength === data.length ? undefined : data.subarray(wholeLength);
        if (tail !== undefined && tail.length > MAXIMUM_EVENT_BYTES) {
            throw new StreamProtocolError(`event is larger than ${MAXIMUM_EVENT_BYTES} bytes`);
        }
        return wholeLength === 0 ? undefined : data.subarray(0, wholeLength);
    };

    const advanceOffset = (events: Buffer): void => {
        for (const id of eventIds(events)) {
            if (id < offset) {
                throw new StreamProtocolError(`event id ${id} is behind offset ${offset}`);
            }
            offset = id;
        }
    };

    const finish = (): void => {
        const end = parseEnd(lastEvent);
        if (end.usage.completionTokens !== offset) {
            throw new StreamProtocolError(
                `stream ended at token ${offset} of ${end.usage.completionTokens} generated`,
            );
        }
        streamEnd = end;
    };

    return {
        push: chunk => {
            if (streamEnd !== undefined) {
                throw new StreamProtocolError("data follows the end of the stream");
            }
            const whole = extractWholeEvents(chunk);
            if (whole === undefined) {
                return undefined;
            }
            const done = endsWith(whole, DONE_EVENT);
            const events = done ? whole.subarray(0, whole.length - DONE_EVENT.length) : whole;
            if (events.length > 0) {
                advanceOffset(events);
                lastEvent = lastEventOf(events);
            }
            if (done) {
                finish();
            }
            return events.length > 0 ? events : undefined;
        },
        offset: () => offset,
        end: () => streamEnd,
        discardTail: () => {
            tail = undefined;
        },
    };
}

function endsWith(data: Buffer, suffix: Buffer): boolean {
    return (
        data.length >= suffix.length &&
        data.compare(suffix, 0, suffix.length, data.length - suffix.length) === 0
    );
}

/** @param events One or more complete events. */
function lastEventOf(events: Buffer): Buffer {
    const previous = events.subarray(0, events.length - EVENT_BOUNDARY.length).lastIndexOf(EVENT_BOUNDARY);
    return previous < 0 ? events : events.subarray(previous + EVENT_BOUNDARY.length);
}

/**
 * Returns the id of each event.
 *
 * @param events Complete events.
 */
function eventIds(events: Buffer): readonly number[] {
    const ids: number[] = [];
    let start = 0;
    while (start < events.length) {
        const end = events.indexOf(EVENT_BOUNDARY, start) + EVENT_BOUNDARY.length;
        const event = events.subarray(start, end);
        if (!isComment(event)) {
            if (!startsWith(event, ID_PREFIX)) {
                throw new StreamProtocolError("an event does not begin with its id");
            }
            if (!event.includes(DATA_LINE) || !isUtf8(event) || event.includes(0)) {
                throw new StreamProtocolError("an event has no data or is no text");
            }
            ids.push(readNumber(event, ID_PREFIX.length));
        }
        start = end;
    }
    return ids;
}

/** Whether a block is a comment of one line. */
function isComment(block: Buffer): boolean {
    return block[0] === COLON && block.indexOf(LINE_FEED) === block.length - EVENT_BOUNDARY.length;
}

function startsWith(data: Buffer, prefix: Buffer): boolean {
    return data.length >= prefix.length && data.compare(prefix, 0, prefix.length, 0, prefix.length) === 0;
}

function readNumber(data: Buffer, start: number): number {
    const end = data.indexOf(LINE_FEED, start);
    const text = data.toString("latin1", start, end);
    const value = Number(text);
    if (!/^\d+$/.test(text) || !Number.isSafeInteger(value)) {
        throw new StreamProtocolError(`event id "${text}" is not a token offset`);
    }
    return value;
}

/**
 * Parses the finish reason and the usage.
 *
 * @param event The event before `[DONE]`.
 * @throws StreamProtocolError
 */
function parseEnd(event: Buffer | undefined): StreamEnd {
    const line = event
        ?.toString("utf8")
        .split("\n")
        .find(text => text.startsWith(DATA_PREFIX));
    if (line === undefined) {
        throw new StreamProtocolError("stream ended without a last event");
    }
    let last: {
        readonly choices?: readonly { readonly finish_reason?: unknown }[];
        readonly usage?: { readonly prompt_tokens?: unknown; readonly completion_tokens?: unknown };
    };
    try {
        last = JSON.parse(line.slice(DATA_PREFIX.length)) as typeof last;
    }
    catch {
        throw new StreamProtocolError("last event is not JSON");
    }
    const finishReason = last.choices?.[0]?.finish_reason;
    const promptTokens = last.usage?.prompt_tokens;
    const completionTokens = last.usage?.completion_tokens;
    if (
        typeof finishReason !== "string" ||
        typeof promptTokens !== "number" ||
        typeof completionTokens !== "number"
    ) {
        throw new StreamProtocolError("last event has no finish reason or no usage");
    }
    return { finishReason, usage: { promptTokens, completionTokens } };
}
