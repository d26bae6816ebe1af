/** Composes the daemon process from its settings: clients, servers, the node and the graceful shutdown. */
import { setTimeout as delay } from "node:timers/promises";
import { createCallerApiServer } from "../callers/caller-api-server.js";
import { systemClock } from "../common/clock.js";
import { createSystemRandom } from "../common/random.js";
import { createTlsSource } from "../common/tls.js";
import { createInvariants } from "../invariants/invariants.js";
import { createLifecycle } from "../lifecycle/lifecycle.js";
import { createLogging } from "../logging/logging.js";
import { METRICS } from "../metrics/names.js";
import { createMetrics } from "../metrics/metrics.js";
import { createOperatorsServer } from "../operators/operators-server.js";
import { createHttpPeers } from "../peers/http-peers.js";
import { createHttpObjectStore, createHttpTableService } from "../outside-services/http-storage-clients.js";
import { createHttpRatingService } from "../outside-services/rating-service.js";
import type { ResolvedConfig } from "../settings/settings.js";
import { createTicker } from "../ticker/ticker.js";
import { createHttpSend } from "../upstreams/send.js";
import { addPeriodicMetrics } from "./periodic-metrics.js";
import { composeNode } from "./compose.js";
import type { NodeEnvironment } from "./compose.js";
import { createOperatorsApi } from "./operators-api.js";

export interface Daemon {
    /** @throws ComponentError that names the component that failed to start. */
    start(): Promise<void>;
    /** Shuts down gracefully: finishes running requests, writes the bills, then stops all components. */
    stop(): Promise<void>;
}

export function createDaemon(
    config: ResolvedConfig,
    overrides: Pick<NodeEnvironment, "placement"> = {},
): Daemon {
    const lifecycle = createLifecycle();
    const clock = systemClock;
    const createLogger = createLogging({
        level: config.logging.level,
        componentLevels: config.logging.parts,
        write: line => process.stderr.write(`${line}\n`),
    });
    const log = createLogger("daemon");
    const metrics = createMetrics({
        address: config.metrics.address,
        port: config.metrics.port,
        tags: { node: config.node.id, data_centre: config.node.dataCentre },
        onError: error => log.warn("Could not send metrics.", { error: error.message }),
    });
    lifecycle.add({ name: "metrics", start: () => () => metrics.close() });
    const invariants = createInvariants({
        onViolation: (invariant, detail) => {
            metrics.count(METRICS.invariantViolations.name, 1, { invariant });
            log.error("An invariant is violated.", { invariant, detail });
        },
    });
    const ticker = createTicker({
        now: clock.now,
        lifecycle,
        onError: (system, error) =>
            log.error("The step of a ticker system failed.", {
                system,
                error: (error as Error).stack ?? String(error),
            }),
    });
    const tlsOf = (section: "callers" | "operators" | "peers") =>
        createTlsSource(config[section], lifecycle, error =>
            log.warn("Could not load the new certificate; keeping the current one.", {
                listener: section,
                error: error.message,
            }),
        );
    const peers = createHttpPeers({
        address: config.peers.address,
        port: config.peers.port,
        key: config.secrets.peersKey,
        tls: tlsOf("peers"),
        lifecycle,
    });
    const store = createHttpObjectStore({ baseUrl: config.platform.objectStore });
    const table = createHttpTableService({ baseUrl: config.platform.tableService });
    const node = composeNode({
        config,
        clock,
        random: createSystemRandom(),
        lifecycle,
        ticker,
        createLogger,
        metrics,
        invariants,
        table,
        store,
        peers,
        peersAddress: () => peers.address(),
        send: createHttpSend(lifecycle),
        rateAnswer: createHttpRatingService({ baseUrl: config.platform.ratingService }),
        ...overrides,
    });
    addPeriodicMetrics({ node, metrics, traffic: () => peers.traffic(), lifecycle });
    createOperatorsServer({
        ...config.operators,
        keyHashes: config.secrets.operatorKeyHashes,
        tls: tlsOf("operators"),
        node: config.node.id,
        capabilities: createOperatorsApi(config, node, table, store, peers),
        secrets: [config.secrets.peersKey, config.secrets.sealingKey],
        lifecycle,
        logger: createLogger("operators"),
        clock,
    });
    const callers = createCallerApiServer({
        ...config.callers,
        tls: tlsOf("callers"),
        configuration: node.configuration,
        submit: (submission, reply) => node.pipeline.submit(submission, reply),
        jobs: node.jobs,
        isReady: () => node.pipeline.isReady(),
        newRequestId: () => node.pipeline.newRequestId(),
        lifecycle,
        onRejected: error =>
            metrics.count(METRICS.refusals.name, 1, { code: error.code, verdict: error.verdict }),
    });

    return {
        start: async () => {
            if (config.notSet.length > 0) {
                log.info("Some settings have no value; their defaults apply.", {
                    notSet: config.notSet.join(", "),
                });
            }
            await lifecycle.start();
            log.info("The node is running.", { node: config.node.id, callers: callers.address() });
        },
        stop: async () => {
            log.info("The node is stopping.", { open: node.pipeline.exchanges.size });
            await node.announceLeaving();
            callers.stopAccepting();
            await node.drain(delay(config.limits.drainMilliseconds, undefined, { ref: false }));
            await lifecycle.stop();
            log.info("The node has stopped.", { violations: invariants.total() });
        },
    };
}
