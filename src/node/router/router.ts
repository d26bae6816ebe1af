/**
 * Composes a router node from its components: replicated state, routing decisions, listeners and shutdown.
 */
import { randomUUID } from "node:crypto";
import { createServer } from "node:http";
import { setImmediate as nextTurn } from "node:timers/promises";
import { getHeapStatistics } from "node:v8";
import { createClientLimits, guardMonitoring, registerLimitMetrics } from "../client-limits/client-limits.js";
import type { ClientLimits } from "../client-limits/client-limits.js";
import { resolveClientLimits } from "../client-limits/resolve-limits.js";
import { delay, systemClock } from "../common/clock.js";
import { hashToUnit } from "../common/hash.js";
import { addListener } from "../common/listener.js";
import { createSystemRandom } from "../common/random.js";
import { resetAtExit } from "../common/reset-connection.js";
import { createDuties } from "../duties/duties.js";
import { createScalingSources } from "../duties/scaling-sources.js";
import { createForwardingServer } from "../forwarding/forwarding-server.js";
import { createRequestForwarder } from "../forwarding/request-forwarder.js";
import type { Handover, RequestForwarderOptions } from "../forwarding/request-forwarder.js";
import type { RequestHead } from "../forwarding/protocol.js";
import { createFramingHistory } from "../forwarding/framing-history.js";
import { createLatencyReference } from "../forwarding/latency-reference.js";
import { sessionKeyOf } from "../forwarding/request-shape.js";
import { createServiceRetryBudget } from "../forwarding/retry-budget.js";
import { chooseHelper, createPeerStates } from "../handover/helpers.js";
import { createReachability, probeAddress, probeConnection } from "../handover/reachability.js";
import { createHelperCodec } from "../handover/router-response.js";
import { createLifecycle } from "../lifecycle/lifecycle.js";
import type { Lifecycle } from "../lifecycle/lifecycle.js";
import { createLineWriter, writeToDescriptor } from "../logging/line-writer.js";
import { createLogging } from "../logging/logging.js";
import { createRequestLog } from "../logging/request-log.js";
import { createMetricsRegistry, serveMetrics } from "../metrics/registry.js";
import { createHttpPeers } from "../peers/http-peers.js";
import { createQuarantine } from "../quarantine/quarantine.js";
import { createQuarantineRows } from "../quarantine/quarantine-rows.js";
import { describeSuspect, kindOfSuspect } from "../quarantine/suspects.js";
import type { SuspectKind } from "../quarantine/suspects.js";
import { createPeerSync } from "../replica/peer-sync.js";
import { relaysOf } from "../replica/relay-choice.js";
import { createRestoredRows } from "../replica/restored-rows.js";
import { createRowExchange } from "../replica/row-exchange.js";
import { createRowReplica, preferStored } from "../replica/row-replica.js";
import { createStoreSync } from "../replica/store-sync.js";
import { resolveStoreTiming } from "../replica/store-timing.js";
import { createAggregationPlans } from "../upstream-table/aggregation-plan.js";
import { createLoadBoard } from "../upstream-table/load-board.js";
import { createLoadReports } from "../upstream-table/load-reports.js";
import { createActiveNodes } from "../upstream-table/active-nodes.js";
import { createBrittleServices } from "../upstream-table/brittle-services.js";
import { createSlotShares } from "../upstream-table/slot-shares.js";
import { createPrefixUses } from "../upstream-table/prefix-uses.js";
import { createRequestPlacement } from "../upstream-table/request-placement.js";
import { createSpillover } from "../upstream-table/spillover.js";
import { createUpstreamLimits } from "../upstream-table/upstream-limits.js";
import { createUpstreamSpeeds } from "../upstream-table/upstream-speeds.js";
import { createUpstreamTable } from "../upstream-table/upstream-table.js";
import { medianReportAge } from "../scarcity/report-age.js";
import { createScarcity } from "../scarcity/scarcity.js";
import { createSessionVersions } from "../shifts/session-versions.js";
import { createShiftCoordinator } from "../shifts/shift-coordinator.js";
import { resolveShiftSettings } from "../shifts/exposure-plan.js";
import { createHttpSend } from "../upstreams/send.js";
import type { PlatformAdapter } from "./adapter.js";
import { createNodeList } from "./node-list.js";
import { createOperatorState } from "./operator-state.js";
import { splitEndpoint } from "./settings.js";
import type { ResolvedRouterConfig } from "./settings.js";

export interface Router {
    /** @throws ComponentError with the name of the component that failed to start. */
    start(): Promise<void>;
    /**
     * Graceful stop: leaves the load balancer, finishes open requests, then stops all components. A start that
     * runs is completed first, as requests may already run.
     *
     * @throws ComponentError if such a start fails.
     */
    stop(): Promise<void>;
    /**
     * Resets the connections of answers that only the end of the connection ends, as those to callers of HTTP/1.0.
     * When the process exits without a stop, the system would end them as if they were complete.
     */
    resetAnswers(): void;
    /**
     * Applies the peer seeds of a changed settings file. Other changes need a restart and are ignored. If the
     * settings cannot be read, logs the error and keeps the previous ones.
     */
    reload(readConfig: () => ResolvedRouterConfig): void;
}

/** Used share of the retry ratio. The rest is a margin, because the nodes' windows are not aligned. */
const USED_RETRY_RATIO_SHARE = 0.85;

/** Interval between checks for lapsed registrations, milliseconds. */
const EXPIRY_INTERVAL_MILLISECONDS = 100;

/** Time reserved at the end of the grace period for stopping the components and exiting, milliseconds. */
const EXIT_MARGIN_MILLISECONDS = 500;

/** Interval between checks for open requests while draining, milliseconds. */
const DRAIN_POLL_MILLISECONDS = 50;

/**
 * Turns of the event loop without a new connection after which all that has arrived is read. A turn accepts one
 * connection of a listener; its bytes are read in the next turn.
 */
const QUIET_TURNS = 4;

/** Timeout for flushing the log before the process exits, milliseconds. */
const LOG_FLUSH_MILLISECONDS = 200;

const STDOUT_DESCRIPTOR = 1;

function serveReadiness(
    listen: string,
    isReady: () => boolean,
    lifecycle: Lifecycle,
    clients: { readonly limits: ClientLimits; readonly maximumConnections: number },
): void {
    const server = createServer();
    guardMonitoring(server, "readiness", clients, response => {
        response.statusCode = isReady() ? 200 : 503;
        response.end();
    });
    addListener("readiness listener", server, splitEndpoint(listen), lifecycle);
}

export function createRouter(initialConfig: ResolvedRouterConfig, adapter: PlatformAdapter): Router {
    let config = initialConfig;
    const clock = systemClock;
    const random = createSystemRandom();
    const lifecycle = createLifecycle();
    const lines = createLineWriter(writeToDescriptor(STDOUT_DESCRIPTOR));
    const createLogger = createLogging({
        level: config.logging.level,
        componentLevels: [],
        write: lines.write,
        format: "json",
    });
    const log = createLogger("router");
    const requestLog = createRequestLog({
        write: lines.write,
        clock,
        linesPerSecond: config.logging.requestLinesPerSecond,
        notableLinesPerSecond: config.logging.failureLinesPerSecond,
    });
    const metrics = createMetricsRegistry();
    const resolvedLimits = resolveClientLimits(config.limits, getHeapStatistics().heap_size_limit);
    const clientLimits = createClientLimits({
        heldBytes: resolvedLimits.heldBytes,
        clock,
        logger: createLogger("clients"),
    });
    const monitoring = { limits: clientLimits, maximumConnections: resolvedLimits.monitoringConnections };
    const replicas = {
        configuration: createRowReplica((...rows) => adapter.compareAge("configuration", ...rows)),
        runners: createRowReplica((...rows) => adapter.compareAge("runners", ...rows)),
        nodes: createRowReplica(preferStored),
    };
    let stopping = false;
    let starting: Promise<void> = Promise.resolve();

    const send = createHttpSend(lifecycle);
    const peersEndpoint = splitEndpoint(config.peers.listen);
    const peers = createHttpPeers({
        ...peersEndpoint,
        key: "",
        clients: { limits: clientLimits, maximumConnections: resolvedLimits.peerConnections },
        lifecycle,
    });

    const exchange = createRowExchange({
        peers,
        replicas,
        clock,
        isCurrent: () => sync.isCurrent(),
        path: () => sync.path(),
        clockOffset: () => sync.clockOffset(),
        countAnswer: ({ reason, isCurrent, characters }) => {
            const labels = { reason, connected: String(isCurrent) };
            metrics.count("row_answers_total", labels);
            metrics.count("row_answer_characters_total", labels, characters);
        },
    });
    const storeTiming = resolveStoreTiming(config.store.applyMilliseconds);
    const sync = createStoreSync({
        node: config.node.id,
        dataCentre: config.node.dataCentre,
        timing: storeTiming,
        store: adapter.store,
        replicas,
        exchange,
        relays: () => relaysOf(nodes.self, nodes.entries(), storeTiming.isRegional),
        nodeCount: () => nodes.count(),
        random,
        clock,
        lifecycle,
        logger: createLogger("store"),
    });
    const nodes = createNodeList({
        self: {
            id: config.node.id,
            dataCentre: config.node.dataCentre,
            peerAddress: `http://${config.peers.listen}`,
            address: splitEndpoint(config.loads.listen).address,
            linkMegabitsPerSecond: config.node.linkMegabitsPerSecond,
            region: config.node.region,
            handoverAddress: config.handover?.listen,
            aggregatesLoads: true,
        },
        replica: replicas.nodes,
        store: adapter.store,
        lifecycle,
        logger: createLogger("nodes"),
    });
    createRestoredRows({
        node: config.node.id,
        nodeCount: () => nodes.count(),
        replicas,
        store: adapter.store,
        isDisconnected: () => sync.isDisconnected(),
        lifecycle,
        logger: createLogger("store"),
    });
    createPeerSync({
        exchange,
        addresses: () => {
            const ownAddress = `http://${config.peers.listen}`;
            const known = nodes.entries().map(entry => entry.peerAddress);
            const seeds = config.peers.seeds.map(seed => `http://${seed}`);
            return (known.length > 1 ? known : [...known, ...seeds]).filter(
                address => address !== ownAddress,
            );
        },
        isNeeded: () => sync.isDisconnected(),
        random,
        lifecycle,
        logger: createLogger("peers"),
    });

    const operators = createOperatorState({
        decode: row => adapter.decodeOrder(row),
        onConfiguration: table => {
            const { idleTimeoutMilliseconds, headerTimeoutMilliseconds } = table.configuration.limits;
            servers.forEach(server => server.applyLimits(idleTimeoutMilliseconds, headerTimeoutMilliseconds));
        },
        clock,
        logger: createLogger("configuration"),
    });
    const upstreams = createUpstreamTable({
        decode: (key, value) => adapter.decodeUpstream(key, value),
        lapseGraceUntil: () => {
            if (sync.isDisconnected()) {
                return clock.now() + config.store.lapseGraceMilliseconds;
            }
            const since = sync.reconnectedAt();
            return since === undefined ? undefined : since + config.store.lapseGraceMilliseconds;
        },
        logger: createLogger("upstreams"),
    });
    replicas.configuration.onChange(changes => operators.apply(changes));
    replicas.runners.onChange(changes => upstreams.apply(changes, clock.now()));
    lifecycle.add({
        name: "upstream expiry",
        start: () => {
            const timer = setInterval(() => upstreams.expire(clock.now()), EXPIRY_INTERVAL_MILLISECONDS);
            return () => clearInterval(timer);
        },
    });

    const shifts = createShiftCoordinator({
        node: config.node.id,
        orders: () => operators.shiftOrders(),
        replica: replicas.nodes,
        store: adapter.store,
        clockOffset: () => sync.clockOffset(),
        nodeCount: () => nodes.count(),
        upstreamCount: (service, version) =>
            upstreams.usable(service).filter(({ entry }) => entry.version === version).length,
        loadOf: (service, version) => {
            // An engine batches requests: each slows the others down, and a burst of prompts stops its streams.
            const isEngine =
                operators.routes()?.configuration.services.get(service)?.engineTokens !== undefined;
            const known = upstreams.usable(service);
            const slots = known
                .filter(({ entry }) => entry.version === version)
                .map(({ entry }) => entry.slots);
            if (isEngine || slots.length === 0) {
                return undefined;
            }
            const requests = known.map(({ entry }) => loads.total(entry.id, clock.now()).requests);
            return {
                requestsInFlight: requests.reduce((sum, count) => sum + count, 0),
                slots: Math.min(...slots),
            };
        },
        encodeReport: (order, stage) => adapter.encodeShiftReport(order, stage),
        settings: durationMilliseconds =>
            resolveShiftSettings(
                {
                    sessionMilliseconds: config.sessions.idleSeconds * 1000,
                    exposureShare: config.shifts.exposureShare,
                    exposureRequests: config.shifts.exposureRequests,
                },
                durationMilliseconds,
            ),
        clock,
        lifecycle,
        logger: createLogger("shifts"),
    });
    const sessions = createSessionVersions(config.sessions.idleSeconds * 1000);

    const quarantineLog = createLogger("quarantine");
    const quarantine = createQuarantine({
        node: config.node.id,
        nodes: nodes.ids,
        onQuarantined: (suspect, crashes) =>
            quarantineLog.warn(`Put a ${kindOfSuspect(suspect)} into quarantine.`, {
                ...describeSuspect(suspect),
                crashes,
            }),
        onReleased: (suspect, reason) =>
            quarantineLog.info(`Released a ${kindOfSuspect(suspect)} from quarantine.`, {
                ...describeSuspect(suspect),
                reason,
            }),
        onNews: () => loadReports.sendSoon(),
    });
    createQuarantineRows({
        node: config.node.id,
        nodes: nodes.ids,
        quarantine,
        replica: replicas.nodes,
        store: adapter.store,
        clockOffset: () => sync.clockOffset(),
        clock,
        lifecycle,
        logger: quarantineLog,
    });

    const peerStates = createPeerStates();
    /** Entries of other services may come from another writer, and name no upstream to reach. */
    const isKnownService = (service: string): boolean =>
        operators.routes()?.configuration.services.has(service) === true;
    const reachability = createReachability({
        addresses: () =>
            upstreams
                .all()
                .filter(upstream => !upstreams.isLeaving(upstream) && isKnownService(upstream.entry.service))
                .map(({ entry }) => entry.address),
        probe: probeConnection,
        clock,
        random,
        lifecycle,
        logger: createLogger("upstreams"),
    });
    const loads = createLoadBoard();
    const sharing = {
        node: config.node.id,
        nodes: nodes.ids,
        ...createActiveNodes({
            node: config.node.id,
            nodes: nodes.ids,
            heardAt: node => loads.heardAt(node),
        }),
    };
    const limits = createUpstreamLimits(sharing);
    const brittle = createBrittleServices();
    const upstreamsLog = createLogger("upstreams");
    const slotShares = createSlotShares(sharing);
    const upstreamsOf: RequestForwarderOptions["upstreamsOf"] = service => {
        const rule = shifts.rule(service);
        return upstreams
            .usable(service)
            .filter(({ entry }) => !operators.isEvacuated(entry.dataCentre) && rule.isAllowed(entry.version));
    };
    const scarcity =
        config.scarcity.enabled === true
            ? createScarcity({
                  node: config.node.id,
                  sendsPriorities: config.scarcity.sendPriorities,
                  clock,
                  random,
                  loads,
                  upstreamsOf,
                  nodeCount: () => nodes.count(),
                  reportAgeMilliseconds: () => medianReportAge(nodes.ids(), loads, clock.now()),
                  onSuspected: ({ entry }) => {
                      upstreamsLog.info("An upstream did not answer; requests avoid it for a while.", {
                          upstream: entry.id,
                          service: entry.service,
                      });
                      loadReports.sendSoon();
                  },
                  countDecision: (service, decision) =>
                      metrics.count("scarcity_decisions_total", { service, decision }),
                  observeWait: (service, milliseconds) =>
                      metrics.observe("scarcity_wait_milliseconds", milliseconds, { service }),
              })
            : undefined;

    const speeds = config.placement.learnSpeeds === true ? createUpstreamSpeeds() : undefined;
    const loadReports = createLoadReports({
        node: config.node.id,
        ...splitEndpoint(config.loads.listen),
        board: loads,
        ejected: () => {
            const ejected = upstreams
                .all()
                .filter(upstream => upstream.health.isEjected(clock.now()))
                .map(upstream => upstream.entry.id);
            const suspects = scarcity?.suspects() ?? [];
            return suspects.length === 0 ? ejected : [...new Set([...ejected, ...suspects])];
        },
        isIsolated: () => reachability.isIsolated(),
        peerStates,
        dataCentre: config.node.dataCentre,
        plan: createAggregationPlans(nodes.self, nodes.entries),
        quarantine,
        limits,
        brittle,
        waiting: scarcity,
        ...(speeds === undefined ? {} : { speeds }),
        countSent: (content, bytes) => metrics.count("load_report_bytes_total", { content }, bytes),
        clock,
        random,
        lifecycle,
        logger: createLogger("loads"),
    });

    /** Whether a request of a load test was sent under load is known from the reports of the other nodes. */
    const reportDuringLoadTest = (service: string): void => {
        if (shifts.rule(service).loadTest !== undefined) {
            loadReports.sendSoon();
        }
    };

    const placement =
        config.placement.preferOwnDataCentre === true || speeds !== undefined
            ? createRequestPlacement({
                  dataCentre: config.node.dataCentre,
                  prefersOwn: config.placement.preferOwnDataCentre === true,
                  speeds,
                  prices: config.placement,
                  nodes: () => nodes.entries(),
                  ownPendingTokens: upstream => loads.ownLoads().get(upstream)?.pendingTokens ?? 0,
                  prefixUses: createPrefixUses(),
                  spillover: createSpillover(random),
                  send,
                  countLeft: (service, reason) =>
                      metrics.count("requests_left_data_centre_total", { service, reason }),
                  countBytes: (direction, bytes) =>
                      metrics.count("bytes_between_data_centres_total", { direction }, bytes),
              })
            : undefined;

    const duties =
        config.duties === undefined || adapter.sendDuty === undefined
            ? undefined
            : createDuties({
                  settings: {
                      ...config.duties,
                      usage: config.duties.usage === true,
                      scaling: config.duties.scaling === true,
                  },
                  node: config.node.id,
                  process: randomUUID(),
                  nodes: nodes.entries,
                  isActive: node => sharing.isActive(node, clock.now()),
                  heardAt: node => loads.heardAt(node),
                  isStopping: () => stopping,
                  isStoreAway: () => sync.isDisconnected(),
                  scaling: createScalingSources({
                      services: () => operators.routes()?.configuration.services,
                      upstreams: () => upstreams.all().filter(upstream => !upstreams.isLeaving(upstream)),
                      loads: () => loads.totals(clock.now()),
                      heardAt: node => loads.heardAt(node),
                      nodes: nodes.ids,
                      node: config.node.id,
                      shiftOrders: () => operators.shiftOrders(),
                      shiftStates: () => shifts.states(),
                      isEvacuating: () => operators.evacuated().length > 0,
                      isStoreAway: () => sync.isDisconnected(),
                      clock,
                  }),
                  peers,
                  replica: replicas.nodes,
                  store: adapter.store,
                  clockOffset: () => sync.clockOffset(),
                  sendDuty: adapter.sendDuty,
                  clock,
                  metrics,
                  lifecycle,
                  logger: createLogger("duties"),
              });

    const forwarderOptions: RequestForwarderOptions = {
        ...(placement === undefined ? {} : { placement }),
        loads,
        clock,
        random,
        codec: adapter.codec,
        send,
        upstreamsOf,
        versionPreferenceOf: (service, { key, isSession }, failedVersions) =>
            shifts.preference(
                service,
                { key, isSession, lastVersion: isSession ? sessions.recent(key, clock.now()) : undefined },
                failedVersions,
            ),
        recordSend: ({ key, isSession }, { entry }) => {
            if (isSession) {
                sessions.record(key, entry.version, clock.now());
            }
            shifts.recordSend(entry.service, entry.version, isSession ? key : undefined);
            reportDuringLoadTest(entry.service);
        },
        retryBudget: createServiceRetryBudget({
            ratio: config.retries.ratio * USED_RETRY_RATIO_SHARE,
            windowMilliseconds: config.retries.windowSeconds * 1000,
            extra: () => (config.retries.extra * USED_RETRY_RATIO_SHARE) / nodes.count(),
        }),
        quarantine,
        limits,
        scarcity,
        isBrittle: service => brittle.isBrittle(service, clock.now()),
        hasFreeSlot: ({ entry, process }) =>
            (loads.ownLoads().get(entry.id)?.requests ?? 0) <
            slotShares.shareOf(process, entry.slots, clock.now()),
        recordBrittle: ({ entry, process }, isBrittle, sentAt) => {
            const wasBrittle = brittle.isBrittle(entry.service, clock.now());
            brittle.record(entry.service, process, isBrittle, sentAt, clock.now());
            if (isBrittle && !wasBrittle) {
                upstreamsLog.warn("Rejections crash upstreams of a service; no request may wait at them.", {
                    service: entry.service,
                    upstream: entry.id,
                });
                loadReports.sendSoon();
            }
        },
        isLeaving: ({ entry }) => {
            const current = upstreams.get(entry.id);
            return (
                current === undefined ||
                upstreams.isLeaving(current) ||
                !shifts.rule(entry.service).isAllowed(entry.version)
            );
        },
        latencies: createLatencyReference(),
        framing: createFramingHistory(),
        probe: probeAddress,
        modelChoice: config.models,
        coldAllowance: (service, upstream) =>
            service.coldRequestsPerSecond === 0
                ? Infinity
                : nodes.shareOf(upstream.entry.id, service.coldRequestsPerSecond * config.cold.factor),
        countAttempt: (service, version, model, result) => {
            metrics.count("attempts_total", { service, model: model ?? "", result });
            metrics.count("version_attempts_total", { service, version, result });
        },
        countBrokenOff: (service, hasBegun) =>
            metrics.count("attempts_broken_off_total", { service, begun: String(hasBegun) }),
        recordEvidence: ({ entry, process }, group, outcome, timing) => {
            shifts.record(entry.service, entry.version, group, outcome, timing, process);
            reportDuringLoadTest(entry.service);
        },
        recordRun: duties?.recordRun,
        nodeCount: () => nodes.count(),
        recordLeaving: upstream => upstreams.recordLeaving(upstream),
        recordError: (error, request) => clientLimits.recordError("upstreams", error, request),
        recordUnanswered: ({ entry }) => reachability.recordFailure(entry.address),
    };
    let handovers = 0;
    let helpedRequests = 0;
    const handover: Handover = {
        isNeeded: () => reachability.isIsolated(),
        chooseHelper: excluded =>
            chooseHelper(nodes.self, nodes.entries(), peerStates, excluded, random, clock.now()),
        onHandover: () => {
            handovers += 1;
        },
    };

    const splitPositionOf = (head: RequestHead): number => hashToUnit(`split\u0000${sessionKeyOf(head)}`);
    const callersEndpoint = splitEndpoint(config.callers.listen);
    const callers = createForwardingServer({
        name: "caller listener",
        ...callersEndpoint,
        initialHeaderBytes: config.callers.maximumHeaderBytes,
        codec: adapter.codec,
        clock,
        routes: () => operators.routes(),
        serve: createRequestForwarder(
            config.handover === undefined ? forwarderOptions : { ...forwarderOptions, handover },
        ),
        requestLog,
        clientLimits,
        maximumConnections: resolvedLimits.callerConnections,
        lifecycle,
        splitPositionOf,
        onEnd: (end, route, milliseconds) => {
            const labels = { route: route ?? "", outcome: end.outcome };
            metrics.count("requests_total", { ...labels, status: String(end.status) });
            if (end.isEndUnconfirmed === true) {
                metrics.count("unconfirmed_ends_total", { route: route ?? "" });
            }
            metrics.observe("request_milliseconds", milliseconds, { route: route ?? "" });
            if (end.firstByteMilliseconds !== undefined) {
                metrics.observe("first_byte_milliseconds", end.firstByteMilliseconds, { route: route ?? "" });
            }
        },
    });

    const helperCodec = createHelperCodec(adapter.codec);
    const handedOver =
        config.handover === undefined
            ? undefined
            : createForwardingServer({
                  name: "handover listener",
                  ...splitEndpoint(config.handover.listen),
                  initialHeaderBytes: config.callers.maximumHeaderBytes,
                  codec: helperCodec,
                  clock,
                  routes: () => operators.routes(),
                  serve: createRequestForwarder({ ...forwarderOptions, codec: helperCodec }),
                  requestLog,
                  clientLimits,
                  maximumConnections: resolvedLimits.handoverConnections,
                  lifecycle,
                  splitPositionOf,
                  onEnd: () => {
                      helpedRequests += 1;
                  },
              });
    const servers = handedOver === undefined ? [callers] : [callers, handedOver];
    const countOpenRequests = (): number => servers.reduce((sum, server) => sum + server.openRequests(), 0);

    const isReady = (): boolean =>
        !stopping && operators.routes() !== undefined && replicas.runners.revision > 0;
    serveReadiness(config.readiness.listen, isReady, lifecycle, monitoring);
    serveMetrics(metrics, config.metrics.address, config.metrics.port, lifecycle, monitoring);
    registerLimitMetrics(metrics, clientLimits, servers);
    metrics.gauge("open_requests", countOpenRequests);
    metrics.gauge("handovers_total", () => handovers);
    metrics.gauge("helped_requests_total", () => helpedRequests);
    metrics.gauge("isolated", () => (reachability.isIsolated() ? 1 : 0));
    metrics.gauge("configuration_version", () => operators.routes()?.configuration.version);
    metrics.gauge("upstreams", () => upstreams.all().length);
    metrics.gauge("nodes", () => nodes.entries().length);
    metrics.gauge("store_disconnected", () => (sync.isDisconnected() ? 1 : 0));
    metrics.gauge("store_relayed", () => (sync.relay() === undefined ? 0 : 1));
    metrics.gauge("log_lines_dropped", () => lines.discardedLines);
    const countQuarantined = (kind: SuspectKind): number =>
        [...quarantine.entries().keys()].filter(suspect => kindOfSuspect(suspect) === kind).length;
    metrics.gauge("quarantined_prompt_parts", () => countQuarantined("prompt part"));
    metrics.gauge("quarantined_requests", () => countQuarantined("request"));
    const countEvacuatedAttempts = (): number =>
        upstreams
            .all()
            .filter(({ entry }) => operators.isEvacuated(entry.dataCentre))
            .reduce((sum, { entry }) => sum + (loads.ownLoads().get(entry.id)?.requests ?? 0), 0);
    metrics.gauge("limited_upstreams", () => limits.size);
    metrics.gauge("load_reports_aggregating", () => (loadReports.isAggregating() ? 1 : 0));
    (["report", "report news", "sums", "news"] as const).forEach(content =>
        metrics.count("load_report_bytes_total", { content }, 0),
    );
    ["row_answers_total", "row_answer_characters_total"].forEach(name =>
        metrics.count(name, { reason: "nothing", connected: "true" }, 0),
    );
    metrics.gauge("load_reports_direct", () => (loadReports.isFallback() ? 1 : 0));
    metrics.gauge("sessions", () => sessions.size);
    metrics.gauge("evacuated_open_attempts", countEvacuatedAttempts);
    if (scarcity !== undefined) {
        metrics.gauge("waiting_requests", () => scarcity.waitingRequests());
        metrics.gauge("waiting_bytes", () => scarcity.waitingBytes());
        metrics.gauge("suspect_upstreams", () => scarcity.suspects().length);
    }

    const drain = async (startedAt: number): Promise<void> => {
        const { graceMilliseconds, announceMilliseconds } = config.stop;
        const elapsed = (): number => clock.now() - startedAt;
        await delay(announceMilliseconds);
        // The load balancer may still send requests when no other node accepts any, so the listener stays
        // open.
        const mayWait = (): boolean => elapsed() < graceMilliseconds - EXIT_MARGIN_MILLISECONDS;
        const countAccepted = (): number =>
            servers.reduce((sum, server) => sum + server.acceptedConnections(), 0);
        /** Timers run before input, so a process that was held up has not read what arrived meanwhile. */
        const readArrived = async (): Promise<void> => {
            let accepted = countAccepted();
            for (let turns = 0; turns < QUIET_TURNS && countOpenRequests() === 0 && mayWait(); turns += 1) {
                await nextTurn();
                if (countAccepted() !== accepted) {
                    accepted = countAccepted();
                    turns = -1;
                }
            }
        };
        const finishRequests = async (): Promise<void> => {
            await readArrived();
            while (countOpenRequests() > 0 && mayWait()) {
                await delay(DRAIN_POLL_MILLISECONDS);
                await readArrived();
            }
        };
        await finishRequests();
        servers.forEach(server => server.stopListening());
        // A connection that was accepted last may still bring a request until it is closed.
        await finishRequests();
        if (countOpenRequests() === 0) {
            servers.forEach(server => server.closeConnections());
        }
    };

    let reportedNotSet = "";
    const reportNotSet = ({ notSet, sectionsOff }: ResolvedRouterConfig): void => {
        const names = notSet.join(", ");
        if (names !== reportedNotSet && names !== "") {
            log.info("Some settings have no value; their defaults apply.", {
                notSet: names,
                sectionsOff: sectionsOff.length === 0 ? undefined : sectionsOff.join(", "),
            });
        }
        reportedNotSet = names;
    };

    return {
        start: async () => {
            reportNotSet(config);
            starting = lifecycle.start();
            await starting;
            log.info("The node has started.", { node: config.node.id, dataCentre: config.node.dataCentre });
        },
        stop: async () => {
            const startedAt = clock.now();
            stopping = true;
            const exitsAt = startedAt + config.stop.graceMilliseconds - EXIT_MARGIN_MILLISECONDS;
            servers.forEach(server => server.startDraining(exitsAt));
            await Promise.race([starting, delay(exitsAt - startedAt)]);
            log.info("The node is stopping.", { openRequests: countOpenRequests() });
            await drain(startedAt);
            const openRequests = countOpenRequests();
            await Promise.race([lifecycle.stop(), delay(EXIT_MARGIN_MILLISECONDS / 2)]);
            log.info("The node has stopped.", {
                openRequests,
                milliseconds: Math.round(clock.now() - startedAt),
            });
            await lines.flush(LOG_FLUSH_MILLISECONDS);
        },
        resetAnswers: () => resetAtExit(servers.flatMap(server => server.connectionsToReset())),
        reload: readConfig => {
            try {
                const read = readConfig();
                const { seeds } = read.peers;
                reportNotSet(read);
                config = { ...config, peers: { ...config.peers, seeds } };
                log.info("Applied the changed settings.", { seeds: seeds.length });
            }
            catch (error) {
                log.error("Could not reload the settings; the previous ones stay in force.", {
                    error: (error as Error).message,
                });
            }
        },
    };
}
