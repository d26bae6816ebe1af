/** Periodically sends the gauges and counters of a node that no other component sends. */
import type { Lifecycle } from "../lifecycle/lifecycle.js";
import { METRICS } from "../metrics/names.js";
import type { Metrics } from "../metrics/metrics.js";
import type { PeerTraffic } from "../peers/http-peers.js";
import type { ComposedNode } from "./compose.js";

const SEND_INTERVAL_MILLISECONDS = 10_000;

const MEMBER_STATES = ["alive", "suspect", "dead", "leaving", "left"] as const;

export interface PeriodicMetricsOptions {
    readonly node: ComposedNode;
    readonly metrics: Metrics;
    readonly traffic: () => PeerTraffic;
    readonly lifecycle: Lifecycle;
}

export function addPeriodicMetrics(options: PeriodicMetricsOptions): void {
    const { metrics, node } = options;
    const reportedTotals = new Map<string, number>();

    /** Sends the increase of a total since it was last sent. */
    const countIncrease = (name: string, total: number): void => {
        metrics.count(name, total - (reportedTotals.get(name) ?? 0));
        reportedTotals.set(name, total);
    };

    const send = (): void => {
        const { attempts, droppedLate, resumes, retries } = node.pipeline.dispatch.counters();
        countIncrease(METRICS.attempts.name, attempts);
        countIncrease(METRICS.retries.name, retries);
        countIncrease(METRICS.resumes.name, resumes);
        countIncrease(METRICS.lateAnswers.name, droppedLate);
        const traffic = options.traffic();
        countIncrease(METRICS.peersSentBytes.name, traffic.sentBytes);
        countIncrease(METRICS.peersReceivedBytes.name, traffic.receivedBytes);
        metrics.gauge(METRICS.queueLength.name, node.pipeline.dispatch.queued());
        metrics.gauge(METRICS.streamBufferBytes.name, node.pipeline.exchanges.heldBytes());
        const { freshnessAge, revision } = node.configuration.status();
        metrics.gauge(METRICS.configurationRevision.name, revision);
        if (freshnessAge !== undefined) {
            metrics.gauge(METRICS.configurationAge.name, freshnessAge);
        }
        const members = [...node.membership.members.values()];
        for (const state of MEMBER_STATES) {
            metrics.gauge(METRICS.members.name, members.filter(member => member.state === state).length, {
                state,
            });
        }
    };

    options.lifecycle.add({
        name: "gauges",
        start: () => {
            const timer = setInterval(send, SEND_INTERVAL_MILLISECONDS);
            return () => clearInterval(timer);
        },
    });
}
