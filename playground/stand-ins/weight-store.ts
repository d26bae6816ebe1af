/** Permits of the weight store: a load takes one, at a limited rate. */

/** Milliseconds within which the load must start. */
const PERMIT_VALID_MILLISECONDS = 30_000;

export interface PermitResult {
    readonly status: 200 | 429;
    readonly body: Readonly<Record<string, unknown>>;
    readonly headers: Readonly<Record<string, string>>;
}

export interface WeightStore {
    /** The same id gives the same permit and counts once. */
    take(id: string): PermitResult;
    /** Permits granted so far. */
    granted(): number;
}

/** @param perMinute Permits per minute, read at each call; 0 means no limit. */
export function createWeightStore(perMinute: () => number, now: () => number): WeightStore {
    const permits = new Map<string, number>();
    let nextPermitAt = -Infinity;
    return {
        take: (id): PermitResult => {
            const limit = perMinute();
            if (!permits.has(id)) {
                if (now() < nextPermitAt) {
                    const seconds = Math.max(1, Math.ceil((nextPermitAt - now()) / 1000));
                    return {
                        status: 429,
                        body: { error: "no permit now" },
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
        granted: () => permits.size,
    };
}
