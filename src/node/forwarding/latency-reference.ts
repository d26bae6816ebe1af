/** Average latency by stratum (route and model), the reference by which slow upstreams are detected. */

export interface LatencyReference {
    /** Records a latency and returns its ratio to the average before. */
    record(stratum: string, milliseconds: number): number;
}

/** Weight of the newest latency in the exponential moving average. */
const SMOOTHING = 0.05;

/** Maximum number of strata; the least recently used one is removed first. */
const MAXIMUM_STRATA = 500;

export function createLatencyReference(): LatencyReference {
    const averages = new Map<string, number>();
    return {
        record: (stratum, milliseconds) => {
            const average = averages.get(stratum) ?? milliseconds;
            averages.delete(stratum);
            averages.set(stratum, average + SMOOTHING * (milliseconds - average));
            if (averages.size > MAXIMUM_STRATA) {
                averages.delete(averages.keys().next().value!);
            }
            return average <= 0 ? 1 : milliseconds / average;
        },
    };
}
