/** A ticker that runs its systems when the test or benchmark calls `tick`. */
import type { Ticker } from "../../ticker/ticker.js";

export function createManualTicker(now: () => number): Ticker {
    const steps: (() => void)[] = [];
    let count = 0;
    return {
        attach: (_name, step, execute) => {
            let queue: Parameters<typeof step>[0][number][] = [];
            steps.push(() => {
                const events = queue;
                queue = [];
                step(events, now()).forEach(execute);
            });
            return { post: event => queue.push(event) };
        },
        wake: () => undefined,
        tick: () => {
            count += 1;
            steps.forEach(step => step());
        },
        get count() {
            return count;
        },
    };
}
