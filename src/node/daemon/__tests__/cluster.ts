/**
 * Runs several nodes in one process under mock timers. The nodes run the production code with fakes for their
 * external dependencies; the test injects the faults.
 */
import { mock } from "node:test";
import type { CallerReply, Submission } from "../../callers/reply.js";
import { createSeededRandom } from "../../common/random.js";
import type { Ticket } from "../../configuration/entities.js";
import { createInvariants } from "../../invariants/invariants.js";
import { createLifecycle } from "../../lifecycle/lifecycle.js";
import { silentLogging } from "../../logging/logging.js";
import { noMetrics } from "../../metrics/metrics.js";
import { createFakeNetwork } from "../../peers/__tests__/fakes.js";
import type { Peers } from "../../peers/peers.js";
import { createFakeObjectStore, createFakeTableService } from "../../outside-services/__tests__/fakes.js";
import type { ServiceFaults } from "../../outside-services/__tests__/fakes.js";
import type { Row } from "../../outside-services/table-service.js";
import type { ResolvedConfig } from "../../settings/settings.js";
import { createTicker } from "../../ticker/ticker.js";
import type { Ticker } from "../../ticker/ticker.js";
import { composeNode } from "../compose.js";
import type { ComposedNode } from "../compose.js";
import { createFakeUpstreams } from "./fake-upstreams.js";
import type { FakeUpstreamDefinition, FakeUpstreams } from "./fake-upstreams.js";

export interface ClusterNode {
    readonly id: string;
    readonly node: ComposedNode;
    /** Whether the process has exited. */
    hasExited(): boolean;
    isPaused(): boolean;
    /** Pauses the process, which handles no events for a number of milliseconds. */
    pause(milliseconds: number): void;
    /** Ends the process without a graceful shutdown. */
    kill(): void;
    /** Shuts down gracefully; resolves when the process has exited. */
    stop(): Promise<void>;
    submit(submission: Submission, reply: CallerReply): void;
    apply(ticket: Ticket): ReturnType<ComposedNode["configuration"]["apply"]>;
}

export interface Cluster {
    readonly rows: Map<string, Row>;
    readonly objects: Map<string, string>;
    readonly tableFaults: ServiceFaults;
    readonly storeFaults: ServiceFaults;
    readonly upstreams: FakeUpstreams;
    /** Whether messages from one node to another are lost, by node id. */
    isPartitioned: (from: string, to: string) => boolean;
    /** Whether the platform is unreachable for a node. */
    isPlatformUnreachable: (id: string) => boolean;
    /** Running nodes by id. */
    readonly nodes: Map<string, ClusterNode>;
    /** Violated invariants and failed systems of all nodes, including nodes that have exited. */
    readonly violations: string[];
    start(id: string): Promise<ClusterNode>;
    dispose(): void;
}

export interface ClusterOptions {
    readonly seed: number;
    readonly upstreams: readonly FakeUpstreamDefinition[];
    readonly dataCentreOf: (id: string) => string;
    /** Ids of the nodes that a node contacts when it starts. */
    readonly seeds: readonly string[];
}

const realImmediate = setImmediate;

/** Duration of a step of the mock clock. Pending promises settle between steps. */
const STEP_MILLISECONDS = 10;

/** Turns of the event loop per step, so that chained calls without a delay complete within the step. */
const TURNS_PER_STEP = 3;

/** Mocks the timers. `setImmediate` stays real, so that ticks triggered by events run between the steps. */
export function mockClock(): void {
    mock.timers.enable({ apis: ["setTimeout", "setInterval", "Date"], now: 1_700_000_000_000 });
}

export async function advance(milliseconds: number): Promise<void> {
    for (let elapsed = 0; elapsed < milliseconds; elapsed += STEP_MILLISECONDS) {
        mock.timers.tick(STEP_MILLISECONDS);
        for (let turn = 0; turn < TURNS_PER_STEP; turn += 1) {
            await new Promise<void>(resolve => {
                realImmediate(resolve);
            });
        }
    }
}

function addressOf(id: string): string {
    return `http://${id}`;
}

export function createCluster(options: ClusterOptions): Cluster {
    const rows = new Map<string, Row>();
    const objects = new Map<string, string>();
    const network = createFakeNetwork();
    const upstreams = createFakeUpstreams(options.upstreams);
    const nodes = new Map<string, ClusterNode>();
    const violations: string[] = [];
    const pauses = new Map<string, number>();
    let startCount = 0;
    const noFaults = (): ServiceFaults => ({
        down: false,
        losesResponse: () => false,
        lateEffect: () => 0,
        delay: () => 2,
    });

    const cluster: Cluster = {
        rows,
        objects,
        tableFaults: noFaults(),
        storeFaults: noFaults(),
        upstreams,
        isPartitioned: () => false,
        isPlatformUnreachable: () => false,
        nodes,
        violations,
        start: async id => {
            const node = createClusterNode(id);
            nodes.set(id, node);
            await node.begin();
            return node;
        },
        dispose: () => {
            for (const node of nodes.values()) {
                node.kill();
            }
            mock.timers.reset();
        },
    };
    network.isLost = (from, to) =>
        cluster.isPartitioned(from.slice("http://".length), to.slice("http://".length));
    network.remainingPause = address => (pauses.get(address.slice("http://".length)) ?? 0) - Date.now();

    function createClusterNode(id: string): ClusterNode & { begin(): Promise<void> } {
        let exited = false;
        pauses.delete(id);
        const lifecycle = createLifecycle();
        const clock = { now: () => Date.now(), wallTime: () => Date.now() };
        const isPaused = (): boolean => (pauses.get(id) ?? 0) > Date.now();
        /** Runs a callback as soon as the process is not paused. */
        const deliver = (run: () => void): void => {
            if (exited) {
                return;
            }
            const remaining = (pauses.get(id) ?? 0) - Date.now();
            if (remaining > 0) {
                setTimeout(() => deliver(run), remaining);
                return;
            }
            run();
        };
        /** Delays the result of a call while the process is paused. Never settles when it has exited. */
        const deliverResult = <Result>(call: () => Promise<Result>): Promise<Result> =>
            exited
                ? new Promise(() => undefined)
                : new Promise((resolve, reject) => {
                      call().then(
                          result => deliver(() => resolve(result)),
                          (error: unknown) => deliver(() => reject(error as Error)),
                      );
                  });

        const fakePeers = network.join(addressOf(id));
        const peers: Peers = {
            handle: (method, handler) => fakePeers.handle(method, handler),
            call: (to, method, params, timeout) =>
                deliverResult(() => fakePeers.call(to, method, params, timeout)),
        };
        const faultsOf = (shared: ServiceFaults): ServiceFaults => ({
            get down() {
                return shared.down || cluster.isPlatformUnreachable(id);
            },
            losesResponse: () => shared.losesResponse(),
            lateEffect: () => shared.lateEffect(),
            delay: () => shared.delay(),
        });
        const rawTable = createFakeTableService(faultsOf(cluster.tableFaults), rows);
        const rawStore = createFakeObjectStore(faultsOf(cluster.storeFaults), objects);
        const invariants = createInvariants({
            onViolation: (invariant, detail) => violations.push(`${id}: ${invariant}: ${detail}`),
        });
        const realTicker = createTicker({
            now: clock.now,
            lifecycle,
            onError: (system, error) => violations.push(`${id}: system ${system}: ${(error as Error).stack}`),
        });
        const ticker: Ticker = {
            attach: (name, step, execute) => {
                let pendingEvents: Parameters<typeof step>[0][number][] = [];
                return realTicker.attach(
                    name,
                    (events: Parameters<typeof step>[0], now) => {
                        pendingEvents = [...pendingEvents, ...events];
                        if (exited || isPaused()) {
                            return [];
                        }
                        const ready = pendingEvents;
                        pendingEvents = [];
                        return step(ready, now);
                    },
                    execute,
                );
            },
            wake: () => realTicker.wake(),
            tick: () => realTicker.tick(),
            get count() {
                return realTicker.count;
            },
        };
        startCount += 1;
        const node = composeNode({
            config: settingsOf(id, options),
            clock,
            random: createSeededRandom(options.seed + startCount),
            lifecycle,
            ticker,
            createLogger: silentLogging,
            metrics: noMetrics,
            invariants,
            table: {
                transact: transaction => deliverResult(() => rawTable.transact(transaction)),
                get: key => deliverResult(() => rawTable.get(key)),
                getMany: keys => deliverResult(() => rawTable.getMany(keys)),
                scan: (prefix, scan) => deliverResult(() => rawTable.scan(prefix, scan)),
            },
            store: {
                putIfAbsent: (name, body) => deliverResult(() => rawStore.putIfAbsent(name, body)),
                put: (name, body) => deliverResult(() => rawStore.put(name, body)),
                get: name => deliverResult(() => rawStore.get(name)),
                list: (prefix, after) => deliverResult(() => rawStore.list(prefix, after)),
            },
            peers,
            peersAddress: () => addressOf(id),
            send: upstreams.sendFrom(deliver, () => exited),
            rateAnswer: async () => 0.9,
        });
        const exit = (): void => {
            exited = true;
            network.leave(addressOf(id));
            if (nodes.get(id)?.node === node) {
                nodes.delete(id);
            }
        };
        return {
            id,
            node,
            begin: async () => {
                await lifecycle.start();
            },
            hasExited: () => exited,
            isPaused,
            pause: milliseconds => {
                pauses.set(id, Date.now() + milliseconds);
            },
            kill: () => {
                exit();
                // Clears the timers of components that can stop without a call; all calls remain pending.
                lifecycle.stop().catch(() => undefined);
            },
            stop: async () => {
                await node.announceLeaving();
                await node.drain(new Promise(() => undefined));
                await lifecycle.stop();
                exit();
            },
            submit: (submission, reply) => deliver(() => node.pipeline.submit(submission, reply)),
            apply: ticket => node.configuration.apply(ticket),
        };
    }
    return cluster;
}

function settingsOf(id: string, options: ClusterOptions): ResolvedConfig {
    const listener = { address: "127.0.0.1", port: 0, certificateFile: "", privateKeyFile: "" };
    return {
        notSet: [],
        node: { id, dataCentre: options.dataCentreOf(id), region: "region" },
        callers: {
            ...listener,
            maximumBodyBytes: 1_000_000,
            maximumHeaderBytes: 16_384,
            maximumJsonDepth: 32,
            maximumRequestsPerWorkspace: 2000,
            idleTimeoutMilliseconds: 30_000,
            requestTimeoutMilliseconds: 20_000,
            responseBufferBytes: 65_536,
            stalledReaderMilliseconds: 5000,
        },
        operators: { ...listener, keyHashesFile: "" },
        peers: { ...listener, sharedKeyFile: "", seeds: options.seeds.map(addressOf) },
        platform: {
            tableService: "http://platform",
            objectStore: "http://platform",
            virtualMachineList: "http://platform",
            ratingService: "http://platform",
            weightStore: "http://platform",
        },
        limits: {
            queueLength: 2000,
            retryShare: 0.1,
            freshnessMilliseconds: 3000,
            billMemoryBytes: 67_108_864,
            drainMilliseconds: 600_000,
            announceMilliseconds: 200,
        },
        admission: { grantMilliseconds: 3000, renewalMilliseconds: 1000, viewLagMilliseconds: 4000 },
        sessions: { sealingKeyFile: "", idleMilliseconds: 1_800_000 },
        logging: { level: "silent", parts: [] },
        metrics: { address: "127.0.0.1", port: 0 },
        secrets: { operatorKeyHashes: [], peersKey: "peers", sealingKey: "sealing" },
    };
}
