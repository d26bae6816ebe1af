/**
 * Bounds of windows on the monotonic clock of one process. Each bound is converted once: the estimate of the
 * store's clock changes with every answer of the store, and a run between two estimates of the same bound would be
 * counted in both windows or in none. Pure.
 */
import type { Period } from "./run-counts.js";

/** A period on the store's clock. */
export interface CountedPeriod extends Period {
    /** Number of the window that the period is. @default the period is no window */
    readonly window?: number;
}

/** Starts of windows on a monotonic clock, milliseconds, by the number of the window. */
export type BoundTimes = Readonly<Record<string, number>>;

export interface WindowBounds {
    /**
     * Converts a period to the monotonic clock.
     *
     * @param offset Store's clock minus the monotonic clock, milliseconds
     */
    convert(period: CountedPeriod, offset: number): Period;
    /** Takes over bounds that the process converted itself. */
    adopt(times: BoundTimes): void;
    /** Number of the newest window of which a bound is known. */
    newest(): number | undefined;
    /** Bounds from a time on the monotonic clock on. */
    since(from: number): BoundTimes;
}

/** Difference from which the clock itself has changed, not its estimate, milliseconds. */
const MAXIMUM_ESTIMATE_ERROR_MILLISECONDS = 500;

/** Bounds that are remembered; windows are claimed for a shorter time. */
const MAXIMUM_BOUNDS = 64;

export function createWindowBounds(): WindowBounds {
    const bounds = new Map<number, number>();

    const set = (window: number, time: number): void => {
        bounds.set(window, time);
        if (bounds.size > MAXIMUM_BOUNDS) {
            bounds.delete(Math.min(...bounds.keys()));
        }
    };

    const boundOf = (window: number, estimate: number): number => {
        const known = bounds.get(window);
        if (known !== undefined && Math.abs(known - estimate) <= MAXIMUM_ESTIMATE_ERROR_MILLISECONDS) {
            return known;
        }
        const rounded = Math.round(estimate);
        set(window, rounded);
        return rounded;
    };

    return {
        convert: ({ window, from, to }, offset) =>
            window === undefined
                ? { from: from - offset, to: to - offset }
                : { from: boundOf(window, from - offset), to: boundOf(window + 1, to - offset) },
        adopt: times => Object.entries(times).forEach(([window, time]) => set(Number(window), time)),
        newest: () => (bounds.size === 0 ? undefined : Math.max(...bounds.keys())),
        since: from => Object.fromEntries([...bounds].filter(([, time]) => time >= from)),
    };
}
