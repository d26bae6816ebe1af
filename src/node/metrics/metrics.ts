/** Sends the metrics of a node over UDP in the StatsD format. `docs/METRICS.md` lists them. */
import { StatsD } from "hot-shots";

export type MetricTags = Readonly<Record<string, string>>;

export interface Metrics {
    /** Adds to a counter. */
    count(name: string, value: number, tags?: MetricTags): void;
    /** Sets a gauge. */
    gauge(name: string, value: number, tags?: MetricTags): void;
    /** Records a duration in milliseconds. */
    timing(name: string, milliseconds: number, tags?: MetricTags): void;
    close(): Promise<void>;
}

export interface MetricsOptions {
    readonly address: string;
    /** UDP port. 0 disables metrics. */
    readonly port: number;
    /** Tags added to every metric. */
    readonly tags: MetricTags;
    readonly onError: (error: Error) => void;
}

const METRIC_PREFIX = "geraniumbarrow.";

/** Maximum size of a datagram. Fits into one Ethernet frame. */
const DATAGRAM_BYTES = 1400;

export const noMetrics: Metrics = {
    count: () => undefined,
    gauge: () => undefined,
    timing: () => undefined,
    close: () => Promise.resolve(),
};

export function createMetrics(options: MetricsOptions): Metrics {
    if (options.port === 0) {
        return noMetrics;
    }
    const client = new StatsD({
        host: options.address,
        port: options.port,
        prefix: METRIC_PREFIX,
        globalTags: { ...options.tags },
        maxBufferSize: DATAGRAM_BYTES,
        errorHandler: options.onError,
    });
    return {
        count: (name, value, tags = {}) => client.increment(name, value, { ...tags }),
        gauge: (name, value, tags = {}) => client.gauge(name, value, { ...tags }),
        timing: (name, milliseconds, tags = {}) => client.timing(name, milliseconds, { ...tags }),
        close: () => new Promise(resolve => client.close(() => resolve())),
    };
}
