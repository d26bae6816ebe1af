/** Usual time to the head of an answer, by stratum, as the yardstick for slow upstreams. */

export interface LatencyReference {
    /** Records a time and returns how many times the usual one it was. */
    record(stratum: string, milliseconds: number): number;
}

/** Weight of the newest time in the usual one. */
const SMOOTHING = 0.05;

/** Strata that are kept; the oldest go first. */
const MAXIMUM_STRATA = 500;

export function createLatencyReference(): LatencyReference {
    const usual = new Map<string, number>();
    return {
        record: (stratum, milliseconds) => {
            const known = usual.get(stratum) ?? milliseconds;
            usual.delete(stratum);
            usual.set(stratum, known + SMOOTHING * (milliseconds - known));
            if (usual.size > MAXIMUM_STRATA) {
                usual.delete(usual.keys().next().value!);
            }
            return known <= 0 ? 1 : milliseconds / known;
        },
    };
}
