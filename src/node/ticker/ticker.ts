/**
 * Runs the systems of a node over their tables.
 *
 * A tick runs once per turn of the event loop in which events arrived, and by timer. It runs all systems in
 * the order in which they were attached.
 */
import type { Lifecycle } from "../lifecycle/lifecycle.js";

/** Interval between timer ticks, for deadlines and expiries that no event triggers. */
const TIMER_TICK_MILLISECONDS = 50;

/**
 * Step of a system. Maps the events since the last tick and the current time to actions, reads tables,
 * updates only the tables that the system owns, and performs no I/O.
 */
export type SystemStep<Event, Action> = (events: readonly Event[], now: number) => readonly Action[];

export interface AttachedSystem<Event> {
    /** Queues an event for the next tick. */
    post(event: Event): void;
}

export interface Ticker {
    /**
     * Attaches a system.
     *
     * @param name Passed to `onError` if the system throws.
     * @param execute Performs an action. Called in the same tick, after the system's step.
     */
    attach<Event, Action>(
        name: string,
        step: SystemStep<Event, Action>,
        execute: (action: Action) => void,
    ): AttachedSystem<Event>;
    /** Schedules a tick for the end of this turn of the event loop. */
    wake(): void;
    /** Runs one tick synchronously. For programs that control the ticks of a node, such as simulations. */
    tick(): void;
    /** Number of ticks that have run. */
    readonly count: number;
}

export interface TickerOptions {
    /** Monotonic time in milliseconds. */
    readonly now: () => number;
    readonly onError: (system: string, error: unknown) => void;
    readonly lifecycle: Lifecycle;
}

interface Entry {
    readonly name: string;
    readonly run: (now: number) => void;
}

export function createTicker(options: TickerOptions): Ticker {
    const entries: Entry[] = [];
    let scheduled = false;
    let stopped = false;
    let count = 0;

    const runTick = (): void => {
        scheduled = false;
        if (stopped) {
            return;
        }
        count += 1;
        const now = options.now();
        for (const entry of entries) {
            try {
                entry.run(now);
            }
            catch (error) {
                options.onError(entry.name, error);
            }
        }
    };

    const wake = (): void => {
        if (!scheduled && !stopped) {
            scheduled = true;
            setImmediate(runTick);
        }
    };

    options.lifecycle.add({
        name: "ticker",
        start: () => {
            const timer = setInterval(runTick, TIMER_TICK_MILLISECONDS);
            return () => {
                clearInterval(timer);
                stopped = true;
            };
        },
    });

    return {
        attach: (name, step, execute) => {
            let queue: Parameters<typeof step>[0][number][] = [];
            entries.push({
                name,
                run: now => {
                    const events = queue;
                    queue = [];
                    for (const action of step(events, now)) {
                        execute(action);
                    }
                },
            });
            return {
                post: event => {
                    queue.push(event);
                    wake();
                },
            };
        },
        wake,
        tick: runTick,
        get count() {
            return count;
        },
    };
}
