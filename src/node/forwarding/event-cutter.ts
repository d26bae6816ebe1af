/** Cuts an event stream into whole events and follows their ids, so that a broken stream can be resumed. */

/** Largest single event, bytes. A larger one counts as a broken stream. */
const MAXIMUM_EVENT_BYTES = 1024 * 1024;

const EVENT_END = "\n\n";

/** The stream does not keep to the format, so the rest of it cannot be trusted. */
export class EventStreamError extends Error {
    constructor(message: string) {
        super(message);
        this.name = "EventStreamError";
    }
}

export interface EventCutter {
    /**
     * Takes a chunk and returns the whole events that the caller does not have yet.
     *
     * @throws EventStreamError
     */
    push(chunk: Buffer): Buffer | undefined;
    /** Id of the last event passed on, or `undefined`. */
    lastEventId(): string | undefined;
    /** Events passed on. */
    eventCount(): number;
    /** Bytes of an event that is not complete. */
    pendingBytes(): number;
    /** Forgets the incomplete event of a broken stream. */
    discardPending(): void;
}

function idOf(event: string): string | undefined {
    const match = /^id: ?(.*)$/m.exec(event);
    return match?.[1];
}

/** @param resumeFrom Id of the last event that the caller has. */
export function createEventCutter(resumeFrom?: string): EventCutter {
    let pending = "";
    let lastId = resumeFrom;
    let count = 0;

    const isNew = (event: string): boolean => {
        const id = idOf(event);
        if (id === undefined) {
            return true;
        }
        if (lastId !== undefined && Number(id) <= Number(lastId)) {
            return false;
        }
        lastId = id;
        return true;
    };

    return {
        push: chunk => {
            pending += chunk.toString("latin1");
            const end = pending.lastIndexOf(EVENT_END);
            if (end < 0) {
                if (pending.length > MAXIMUM_EVENT_BYTES) {
                    throw new EventStreamError(`an event is larger than ${MAXIMUM_EVENT_BYTES} bytes`);
                }
                return undefined;
            }
            const whole = pending.slice(0, end);
            pending = pending.slice(end + EVENT_END.length);
            const fresh = whole.split(EVENT_END).filter(isNew);
            count += fresh.length;
            return fresh.length === 0
                ? undefined
                : Buffer.from(fresh.map(event => event + EVENT_END).join(""), "latin1");
        },
        lastEventId: () => lastId,
        eventCount: () => count,
        pendingBytes: () => pending.length,
        discardPending: () => {
            pending = "";
        },
    };
}
