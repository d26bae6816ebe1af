/** Advances the mock timers of node:test. */
import { mock } from "node:test";

/** The unmocked function; `mockTime` replaces the global one. */
const realImmediate = setImmediate;

/** Duration of a step. Pending promises settle between steps. */
const STEP_MILLISECONDS = 5;

/** Mocks the timers and `Date`; the mock time starts at `now`. */
export function mockTime(now = 1_000_000): void {
    mock.timers.enable({ apis: ["setTimeout", "setInterval", "setImmediate", "Date"], now });
}

export function restoreTime(): void {
    mock.timers.reset();
}

/** Advances the mock time by a number of milliseconds. */
export async function advance(milliseconds: number): Promise<void> {
    for (let elapsed = 0; elapsed < milliseconds; elapsed += STEP_MILLISECONDS) {
        mock.timers.tick(STEP_MILLISECONDS);
        await new Promise<void>(resolve => {
            realImmediate(resolve);
        });
    }
}
