/**
 * Several nodes in one process under mock timers: real node code, fakes at its interfaces. Faults are switched
 * by the program that drives it.
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
    /** Whether the process is gone. */
    isGone(): boolean;
    isPaused(): boolean;
    /** Freezes the process: it handles nothing until the time has passed. */
    pause(milliseconds: number): void;
    /** Ends the process without notice. */
    kill(): void;
    /** Planned stop; resolves when the process has ended. */
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
    /** Whether nodes can reach each other, by id. */
    isCut: (from: string, to: string) => boolean;
    /** Whether a node cannot reach the platform. */
    isCutFromPlatform: (id: string) => boolean;
    /** Running nodes by id. */
    readonly nodes: Map<string, ClusterNode>;
    /** Violations of all nodes, also of those that are gone. */
    readonly violations: string[];
    start(id: string): Promise<ClusterNode>;
    dispose(): void;
}

export interface ClusterOptions {
    readonly seed: number;
    readonly upstreams: readonly FakeUpstreamDefinition[];
    readonly dataCentreOf: (id: string) => string;
    /** Ids of the nodes that a starting node contacts. */
    readonly seeds: readonly string[];
}

const realImmediate = setImmediate;

/** Milliseconds per step of the clock; promises settle between steps. */
const STEP_MILLISECONDS = 10;

/** Turns of the event loop per step, for chains of calls that need no time. */
const TURNS_PER_STEP = 3;

/** Mocks the timers. `setImmediate` stays real, so that ticks that events ask for run between the steps. */
export function mockClock(): void {
    mock.timers.enable({ apis: ["setTimeout", "setInterval", "Date"], now: 1_700_000_000_000 });
}

export async function advance(milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
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
    let starts = 0;
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
        isCut: () => false,
        isCutFromPlatform: () => false,
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
    network.isLost = (from, to) => cluster.isCut(from.slice("http://".length), to.slice("http://".length));
    network.pausedFor = address => (pauses.get(address.slice("http://".length)) ?? 0) - Date.now();

    function createClusterNode(id: string): ClusterNode & { begin(): Promise<void> } {
        let gone = false;
        pauses.delete(id);
        const lifecycle = createLifecycle();
        const clock = { now: () => Date.now(), wallTime: () => Date.now() };
        const isPaused = (): boolean => (pauses.get(id) ?? 0) > Date.now();
        /** Runs a delivery when the process can handle it. */
        const deliver = (run: () => void): void => {
            if (gone) {
                return;
            }
            const left = (pauses.get(id) ?? 0) - Date.now();
            if (left > 0) {
                setTimeout(() => deliver(run), left);
                return;
            }
            run();
        };
        /** Result of a call as the process gets it: late while it is paused, never once it is gone. */
        const received = <Result>(call: () => Promise<Result>): Promise<Result> =>
            gone
                ? new Promise(() => undefined)
                : new Promise((resolve, reject) => {
                      call().then(
                          result => deliver(() => resolve(result)),
                          (error: unknown) => deliver(() => reject(error as Error)),
                      );
                  });

        const own = network.join(addressOf(id));
        const peers: Peers = {
            handle: (method, handler) => own.handle(method, handler),
            call: (to, method, params, timeout) => received(() => own.call(to, method, params, timeout)),
        };
        const faultsOf = (shared: ServiceFaults): ServiceFaults => ({
            get down() {
                return shared.down || cluster.isCutFromPlatform(id);
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
                let held: Parameters<typeof step>[0][number][] = [];
                return realTicker.attach(
                    name,
                    (events: Parameters<typeof step>[0], now) => {
                        held = [...held, ...events];
                        if (gone || isPaused()) {
                            return [];
                        }
                        const waiting = held;
                        held = [];
                        return step(waiting, now);
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
        starts += 1;
        const node = composeNode({
            config: settingsOf(id, options),
            clock,
            random: createSeededRandom(options.seed + starts),
            lifecycle,
            ticker,
            createLogger: silentLogging,
            metrics: noMetrics,
            invariants,
            table: {
                transact: transaction => received(() => rawTable.transact(transaction)),
                get: key => received(() => rawTable.get(key)),
                getMany: keys => received(() => rawTable.getMany(keys)),
                scan: (prefix, scan) => received(() => rawTable.scan(prefix, scan)),
            },
            store: {
                putIfAbsent: (name, body) => received(() => rawStore.putIfAbsent(name, body)),
                put: (name, body) => received(() => rawStore.put(name, body)),
                get: name => received(() => rawStore.get(name)),
                list: (prefix, after) => received(() => rawStore.list(prefix, after)),
            },
            peers,
            peersAddress: () => addressOf(id),
            send: upstreams.sendFrom(deliver, () => gone),
            rateAnswer: async () => 0.9,
        });
        const end = (): void => {
            gone = true;
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
            isGone: () => gone,
            isPaused,
            pause: milliseconds => {
                pauses.set(id, Date.now() + milliseconds);
            },
            kill: () => {
                end();
                // Clears the timers of the parts that need no call to stop; the others do nothing any more.
                lifecycle.stop().catch(() => undefined);
            },
            stop: async () => {
                await node.announceLeaving();
                await node.drain(new Promise(() => undefined));
                await lifecycle.stop();
                end();
            },
            submit: (submission, reply) => deliver(() => node.router.submit(submission, reply)),
            apply: ticket => node.configuration.apply(ticket),
        };
    }
    return cluster;
}

function settingsOf(id: string, options: ClusterOptions): ResolvedConfig {
    const listener = { address: "127.0.0.1", port: 0, certificateFile: "", privateKeyFile: "" };
    return {
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
