/** Permits of the weight store, which limit the rate of model loads: each load needs one. */

/** Milliseconds from the grant within which the load must start. */
const PERMIT_VALID_MILLISECONDS = 30_000;

export interface PermitResult {
    readonly status: 200 | 429;
    readonly body: Readonly<Record<string, unknown>>;
    readonly headers: Readonly<Record<string, string>>;
}

export interface WeightStore {
    /** Grants a permit if the rate allows it. Idempotent: the same id gets the same permit, counted once. */
    requestPermit(id: string): PermitResult;
    /** Number of permits granted so far. */
    grantedPermits(): number;
}

/** @param perMinute Permits per minute, read at each call; 0 means no limit. */
export function createWeightStore(perMinute: () => number, now: () => number): WeightStore {
    const permits = new Map<string, number>();
    let nextPermitAt = -Infinity;
    return {
        requestPermit: (id): PermitResult => {
            const limit = perMinute();
            if (!permits.has(id)) {
                if (now() < nextPermitAt) {
                    const seconds = Math.max(1, Math.ceil((nextPermitAt - now()) / 1000));
                    return {
                        status: 429,
                        body: { error: "the rate limit is reached" },
                        headers: { "retry-after": String(seconds) },
                    };
                }
                permits.set(id, now());
                nextPermitAt = limit === 0 ? -Infinity : now() + 60_000 / limit;
            }
            return {
                status: 200,
                body: { permit: `permit-${id}`, validMilliseconds: PERMIT_VALID_MILLISECONDS },
                headers: {},
            };
        },
        grantedPermits: () => permits.size,
    };
}
