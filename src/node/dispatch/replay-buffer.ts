/**
 * Buffers the events of a running stream, with a limit per stream and per node, so that another engine can
 * continue the answer from the text that was already generated.
 */
import { createCollectedAnswer } from "../streams/collected-answer.js";
import { MAXIMUM_NODE_REPLAY_BYTES, MAXIMUM_STREAM_REPLAY_BYTES } from "./constants.js";

/** Shared memory limit of all replay buffers of a node. */
export interface ReplayBudget {
    readonly heldBytes: number;
    /** Reserves bytes; returns false if the node's limit would be exceeded. */
    tryReserve(bytes: number): boolean;
    release(bytes: number): void;
}

export function createReplayBudget(maximumBytes = MAXIMUM_NODE_REPLAY_BYTES): ReplayBudget {
    let held = 0;
    return {
        get heldBytes() {
            return held;
        },
        tryReserve: bytes => {
            if (held + bytes > maximumBytes) {
                return false;
            }
            held += bytes;
            return true;
        },
        release: bytes => {
            held -= bytes;
        },
    };
}

/** The part of an answer that was already generated. */
export interface PartialAnswer {
    /** Id that the first engine gave the completion. The answer keeps it when another engine continues it. */
    readonly id: string;
    readonly text: string;
}

export interface ReplayBuffer {
    push(events: Buffer): void;
    /** The answer so far; `undefined` if a limit was exceeded and the events were discarded. */
    answer(): PartialAnswer | undefined;
    /** Discards the events. Later calls of `answer` return `undefined`. */
    release(): void;
    heldBytes(): number;
}

export function createReplayBuffer(budget: ReplayBudget): ReplayBuffer {
    let events: Buffer[] | undefined = [];
    let held = 0;
    const release = (): void => {
        budget.release(held);
        held = 0;
        events = undefined;
    };
    return {
        push: chunk => {
            if (events === undefined) {
                return;
            }
            if (held + chunk.length > MAXIMUM_STREAM_REPLAY_BYTES || !budget.tryReserve(chunk.length)) {
                release();
                return;
            }
            held += chunk.length;
            events.push(chunk);
        },
        answer: () => {
            if (events === undefined) {
                return undefined;
            }
            const collected = createCollectedAnswer();
            events.forEach(chunk => collected.push(chunk));
            return { id: collected.id(), text: collected.text() };
        },
        release,
        heldBytes: () => held,
    };
}
