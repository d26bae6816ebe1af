/** Splits an event stream into events and tracks their numbers, so that a broken stream can be resumed. */
import { EVENT_END, mayBeginBlock, parseBlock, parseEventNumber } from "./event-format.js";

/** Maximum size of an event, bytes. A larger one is not passed on. */
const MAXIMUM_EVENT_BYTES = 128 * 1024;

export interface SplitChunk {
    /** Complete events that the caller has not received yet. */
    readonly events: Buffer | undefined;
    /** Why the bytes after these events belong to no run; nothing that follows them is an event. */
    readonly foreignReason: string | undefined;
}

export interface EventSplitter {
    /** Begins the stream of another attempt, which goes on after the last event or repeats earlier ones. */
    beginRun(): void;
    /** Adds a chunk of the stream. */
    push(chunk: Buffer): SplitChunk;
    /** Id of the last event returned. */
    lastEventId(): string | undefined;
    /** Number of events returned. */
    eventCount(): number;
    /** Size of the incomplete event, bytes. */
    pendingBytes(): number;
}

export interface EventSplitterOptions {
    /** Id of the last event that the caller has received. */
    readonly resumeFrom?: string | undefined;
    /** Names of fields that events may have beside the standard ones. @default none */
    readonly extraFields?: ReadonlySet<string>;
}

/** Returns an event stream's splitter. Events of a run are numbered from 1, without gaps. */
export function createEventSplitter({
    resumeFrom,
    extraFields = new Set(),
}: EventSplitterOptions = {}): EventSplitter {
    let pending = "";
    let count = 0;
    let lastId = resumeFrom;
    let lastNumber = parseEventNumber(resumeFrom ?? "") ?? 0;
    let lastNumberOfRun: number | undefined;

    const mayFollow = (number: number): boolean =>
        lastNumberOfRun === undefined ? number <= lastNumber + 1 : number === lastNumberOfRun + 1;

    /** Takes the next block. Returns the event in it if it is new, or why it is foreign. */
    const takeBlock = (block: string): { readonly event?: string; readonly foreignReason?: string } => {
        const parsed = parseBlock(block, extraFields);
        if (parsed.kind === "comment") {
            return {};
        }
        if (parsed.kind === "foreign") {
            return { foreignReason: parsed.reason };
        }
        const { number, text } = parsed;
        if (!mayFollow(number)) {
            return { foreignReason: `event ${number}` };
        }
        lastNumberOfRun = number;
        if (number <= lastNumber) {
            return {};
        }
        lastNumber = number;
        lastId = String(number);
        count += 1;
        return { event: text };
    };

    const incompleteReason = (): string | undefined => {
        if (pending.length > MAXIMUM_EVENT_BYTES) {
            return `an event of more than ${MAXIMUM_EVENT_BYTES} bytes`;
        }
        return mayBeginBlock(pending, extraFields) ? undefined : "bytes that begin no event";
    };

    return {
        beginRun: () => {
            pending = "";
            lastNumberOfRun = undefined;
        },
        push: chunk => {
            pending += chunk.toString("latin1");
            const newEvents: string[] = [];
            let reason: string | undefined;
            let start = 0;
            for (
                let end = pending.indexOf(EVENT_END);
                end >= 0 && reason === undefined;
                end = pending.indexOf(EVENT_END, start)
            ) {
                const { event, foreignReason } = takeBlock(pending.slice(start, end));
                start = end + EVENT_END.length;
                reason = foreignReason;
                if (event !== undefined) {
                    newEvents.push(event);
                }
            }
            // Empty lines before an event are part of none.
            pending = pending.slice(start).replace(/^\n+/, "");
            reason ??= incompleteReason();
            if (reason !== undefined) {
                pending = "";
            }
            return {
                events: newEvents.length === 0 ? undefined : Buffer.from(newEvents.join(""), "latin1"),
                foreignReason: reason === undefined ? undefined : `${reason} after event ${lastId ?? "none"}`,
            };
        },
        lastEventId: () => lastId,
        eventCount: () => count,
        pendingBytes: () => pending.length,
    };
}
