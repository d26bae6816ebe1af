/**
 * Limits the sends beyond the first of each request, per service, so that retries and escalations do not
 * multiply the load of a service in trouble. Each node keeps to the ratio alone, so all nodes together do.
 */

export interface RetryBudget {
    /** Counts a request of a caller. */
    recordRequest(service: string, now: number): void;
    /** Takes one further send, or returns false when the budget is used up. */
    take(service: string, now: number): boolean;
    /** Share of the budget that is left, 0 to 1. */
    remainingShare(service: string, now: number): number;
}

export interface RetryBudgetOptions {
    /** Further sends per request. */
    readonly ratio: number;
    /** Time over which both are counted, milliseconds. */
    readonly windowMilliseconds: number;
    /** Further sends in a window that need no requests, at this node. */
    readonly extra: () => number;
}

/** Parts of a window that are counted together. */
const SLICES = 20;

interface Slice {
    readonly index: number;
    requests: number;
    sends: number;
}

export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
    const services = new Map<string, Slice[]>();
    const sliceMilliseconds = options.windowMilliseconds / SLICES;

    const slicesOf = (service: string, now: number): Slice[] => {
        const index = Math.floor(now / sliceMilliseconds);
        const slices = (services.get(service) ?? []).filter(slice => slice.index > index - SLICES);
        if (slices.at(-1)?.index !== index) {
            slices.push({ index, requests: 0, sends: 0 });
        }
        services.set(service, slices);
        return slices;
    };

    const sums = (slices: readonly Slice[]): { readonly allowed: number; readonly sends: number } => {
        const requests = slices.reduce((sum, slice) => sum + slice.requests, 0);
        const sends = slices.reduce((sum, slice) => sum + slice.sends, 0);
        return { allowed: options.ratio * requests + options.extra(), sends };
    };

    return {
        recordRequest: (service, now) => {
            slicesOf(service, now).at(-1)!.requests += 1;
        },
        take: (service, now) => {
            const slices = slicesOf(service, now);
            const { allowed, sends } = sums(slices);
            if (sends + 1 > allowed) {
                return false;
            }
            slices.at(-1)!.sends += 1;
            return true;
        },
        remainingShare: (service, now) => {
            const { allowed, sends } = sums(slicesOf(service, now));
            return allowed <= 0 ? 0 : Math.max(0, 1 - sends / allowed);
        },
    };
}
