/**
 * Limits retries and escalations per service, so that they do not multiply the load of an overloaded or
 * failing service. Each node applies the ratio to its own requests, so it also holds for all nodes together.
 */

export interface ServiceRetryBudget {
    /** Counts a caller's request, which adds to the budget. */
    recordRequest(service: string, now: number): void;
    /** Consumes one retry, or returns false when the budget is exhausted. */
    tryConsume(service: string, now: number): boolean;
    /** Share of the budget that is left, 0 to 1. */
    remainingShare(service: string, now: number): number;
}

export interface ServiceRetryBudgetOptions {
    /** Retries per request. */
    readonly ratio: number;
    /** Sliding window over which retries and requests are counted, milliseconds. */
    readonly windowMilliseconds: number;
    /** Retries per window that this node may make in addition to the ratio. */
    readonly extra: () => number;
}

/** Slices into which the sliding window is divided. */
const SLICES_PER_WINDOW = 20;

interface Slice {
    readonly index: number;
    requests: number;
    sends: number;
}

export function createServiceRetryBudget(options: ServiceRetryBudgetOptions): ServiceRetryBudget {
    const services = new Map<string, Slice[]>();
    const sliceMilliseconds = options.windowMilliseconds / SLICES_PER_WINDOW;

    const slicesOf = (service: string, now: number): Slice[] => {
        const index = Math.floor(now / sliceMilliseconds);
        const slices = (services.get(service) ?? []).filter(slice => slice.index > index - SLICES_PER_WINDOW);
        if (slices.at(-1)?.index !== index) {
            slices.push({ index, requests: 0, sends: 0 });
        }
        services.set(service, slices);
        return slices;
    };

    const totals = (slices: readonly Slice[]): { readonly allowed: number; readonly sends: number } => {
        const requests = slices.reduce((sum, slice) => sum + slice.requests, 0);
        const sends = slices.reduce((sum, slice) => sum + slice.sends, 0);
        return { allowed: options.ratio * requests + options.extra(), sends };
    };

    return {
        recordRequest: (service, now) => {
            slicesOf(service, now).at(-1)!.requests += 1;
        },
        tryConsume: (service, now) => {
            const slices = slicesOf(service, now);
            const { allowed, sends } = totals(slices);
            if (sends + 1 > allowed) {
                return false;
            }
            slices.at(-1)!.sends += 1;
            return true;
        },
        remainingShare: (service, now) => {
            const { allowed, sends } = totals(slicesOf(service, now));
            return allowed <= 0 ? 0 : Math.max(0, 1 - sends / allowed);
        },
    };
}
