/**
 * Clock functions that are passed to the parts of a node. The defaults are the runtime's clocks; tests pass
 * `Date.now` for both under node:test mock timers.
 */
export interface Clock {
    /** Milliseconds on a clock that never goes back. For durations, deadlines and lease margins. */
    readonly now: () => number;
    /** Milliseconds since the epoch. For what people and other systems read. */
    readonly wallTime: () => number;
}

export const systemClock: Clock = {
    now: () => performance.now(),
    wallTime: () => Date.now(),
};

/** Resolves after a time. Unlike that of `node:timers/promises`, its timer is one that tests can pause. */
export function delay(milliseconds: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, milliseconds));
}
