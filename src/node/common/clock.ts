/**
 * Clock that is passed to the components of a node. Tests use `Date.now` for both functions under the mock
 * timers of node:test.
 */
export interface Clock {
    /** Milliseconds of a monotonic clock. For durations, deadlines and lease margins. */
    readonly now: () => number;
    /** Milliseconds since the epoch. For times that people or other systems read. */
    readonly wallTime: () => number;
}

export const systemClock: Clock = {
    now: () => performance.now(),
    wallTime: () => Date.now(),
};

/** Resolves after a delay. Unlike `setTimeout` of node:timers/promises, its timer can be mocked by tests. */
export function delay(milliseconds: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, milliseconds));
}

/**
 * Resolves after the event loop has read all sockets once more. Connections that their peers closed while the
 * process was held up are known as closed then.
 */
export function nextPoll(): Promise<void> {
    // The first callback follows the poll phase that is under way, the second one the phase after it.
    return new Promise(resolve => setImmediate(() => setImmediate(resolve)));
}
