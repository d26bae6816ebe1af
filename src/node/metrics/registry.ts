/** Counters, gauges and latency histograms of a node, served in the Prometheus text format. */
import { createServer } from "node:http";
import { build } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";
import { guardMonitoring } from "../client-limits/client-limits.js";
import type { ClientLimits } from "../client-limits/client-limits.js";
import { addListener } from "../common/listener.js";
import type { Lifecycle } from "../lifecycle/lifecycle.js";

export type Labels = Readonly<Record<string, string>>;

export interface MetricsRegistry {
    /**
     * Increments a counter.
     *
     * @param amount @default 1
     */
    count(name: string, labels?: Labels, amount?: number): void;
    /** Registers a gauge that `read` returns at each fetch. `undefined` omits it. */
    gauge(name: string, read: () => number | undefined): void;
    /** Records a duration. */
    observe(name: string, milliseconds: number, labels?: Labels): void;
    /** Returns all metrics as text. */
    text(): string;
}

const METRIC_PREFIX = "geraniumbarrow_";

/** Longer durations are recorded with this value. */
const MAXIMUM_DURATION_MILLISECONDS = 60_000;

const QUANTILES = [0.5, 0.9, 0.99, 1];

function seriesName(name: string, labels: Labels): string {
    const text = Object.entries(labels)
        .map(([key, value]) => `${key}=${JSON.stringify(value)}`)
        .join(",");
    return text === "" ? name : `${name}{${text}}`;
}

export function createMetricsRegistry(): MetricsRegistry {
    const counters = new Map<string, number>();
    const gauges = new Map<string, () => number | undefined>();
    const histograms = new Map<string, { name: string; labels: Labels; histogram: Histogram; sum: number }>();

    const histogramLines = (): readonly string[] =>
        [...histograms.values()].flatMap(({ name, labels, histogram, sum }) => [
            ...QUANTILES.map(quantile => {
                const series = seriesName(name, { ...labels, quantile: String(quantile) });
                return `${series} ${histogram.getValueAtPercentile(quantile * 100)}`;
            }),
            `${seriesName(`${name}_count`, labels)} ${histogram.totalCount}`,
            `${seriesName(`${name}_sum`, labels)} ${Math.round(sum)}`,
        ]);

    return {
        count: (name, labels = {}, amount = 1) => {
            const series = seriesName(`${METRIC_PREFIX}${name}`, labels);
            counters.set(series, (counters.get(series) ?? 0) + amount);
        },
        gauge: (name, read) => {
            gauges.set(`${METRIC_PREFIX}${name}`, read);
        },
        observe: (name, milliseconds, labels = {}) => {
            const fullName = `${METRIC_PREFIX}${name}`;
            const series = seriesName(fullName, labels);
            let entry = histograms.get(series);
            if (entry === undefined) {
                const histogram = build({
                    bitBucketSize: 32,
                    highestTrackableValue: MAXIMUM_DURATION_MILLISECONDS,
                    numberOfSignificantValueDigits: 2,
                    useWebAssembly: false,
                });
                entry = { name: fullName, labels, histogram, sum: 0 };
                histograms.set(series, entry);
            }
            const value = Math.max(0, Math.min(MAXIMUM_DURATION_MILLISECONDS, Math.round(milliseconds)));
            entry.histogram.recordValue(value);
            entry.sum += value;
        },
        text: () => {
            const gaugeLines = [...gauges].flatMap(([name, read]) => {
                const value = read();
                return value === undefined ? [] : [`${name} ${Math.round(value * 1000) / 1000}`];
            });
            const counterLines = [...counters].map(([series, value]) => `${series} ${value}`);
            return `${[...counterLines, ...gaugeLines, ...histogramLines()].join("\n")}\n`;
        },
    };
}

/** Serves the metrics over HTTP on every path of the port. */
export function serveMetrics(
    registry: MetricsRegistry,
    address: string,
    port: number,
    lifecycle: Lifecycle,
    clients: { readonly limits: ClientLimits; readonly maximumConnections: number },
): void {
    const server = createServer();
    guardMonitoring(server, "metrics", clients, response => {
        const text = registry.text();
        response.setHeader("content-type", "text/plain; version=0.0.4");
        // Node.js sets it for HTTP/1.1 only.
        response.setHeader("content-length", Buffer.byteLength(text));
        response.end(text);
    });
    addListener("metrics listener", server, { address, port }, lifecycle);
}
