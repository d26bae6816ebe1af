/** Simulates nodes, engines, a weight store and a table service in memory, under mock timers. */
import type { mock } from "node:test";
import { setImmediate as nextEventLoopTurn } from "node:timers/promises";
import type { EngineOrders } from "../../../../playground/stand-ins/engine-orders.js";
import { createEngineOrders } from "../../../../playground/stand-ins/engine-orders.js";
import { createWeightStore } from "../../../../playground/stand-ins/weight-store.js";
import type { Rollout, Upstream } from "../../configuration/entities.js";
import { EMPTY_SNAPSHOT } from "../../configuration/snapshot.js";
import type { ConfigurationSnapshot } from "../../configuration/snapshot.js";
import { createMemoryTable } from "../../leases/__tests__/memory-table.js";
import { createLeases } from "../../leases/leases.js";
import type { Lease } from "../../leases/leases.js";
import { silentLogging } from "../../logging/logging.js";
import { noMetrics } from "../../metrics/metrics.js";
import { createOrders } from "../create-orders.js";
import { parseEngineState } from "../messages.js";
import type { EngineOrder } from "../messages.js";
import type { Orders } from "../orders.js";

export const STEP_MILLISECONDS = 250;

export interface EngineKind {
    readonly checksFencing: boolean;
    readonly checksExpiry: boolean;
    readonly unloadsAtOnce?: boolean;
    readonly slots?: number;
}

export interface FakeEngine extends EngineOrders {
    readonly name: string;
    /** Running streams by version; set by the test. */
    readonly streams: Map<string, number>;
    bootId: number;
}

/** An order that an engine accepted. */
export interface AppliedOrder {
    readonly engine: string;
    readonly node: string;
    readonly order: EngineOrder;
    readonly at: number;
    /** Versions that the engine had loaded before the order. */
    readonly before: readonly string[];
}

/** Awaited before a call takes effect and before its answer returns. A rejection makes the call fail. */
export type CallHook = (node: string, call: string, phase: "before" | "after") => Promise<void>;

export interface TestNode {
    readonly name: string;
    readonly orders: Orders;
    readonly lease: Lease;
    /** Whether the simulation skips the ticks of the node. */
    paused: boolean;
    tick(): void;
}

export interface SimulationOptions {
    readonly timers: typeof mock.timers;
    readonly engines: readonly EngineKind[];
    /**
     * Version that each engine has loaded at the start. When set, engines are not restricted to a model.
     *
     * @default "a/1" for every engine, which is then configured for version 1 of model a
     */
    readonly initialVersions?: readonly string[];
    readonly permitsPerMinute?: number;
    readonly onCall?: CallHook;
    /** Called between the decision on an action and its execution. */
    readonly beforeExecute?: (action: unknown) => void;
    readonly onUnload?: (engine: FakeEngine, version: string) => void;
}

/** Creates a model with the given versions. The first active one is the baseline. */
export function model(states: Readonly<Record<string, "active" | "withdrawn">>) {
    const versions = Object.entries(states).map(([name, state]) => ({ name, state }));
    return { versions, baseline: versions.find(({ state }) => state === "active")!.name, spill: [] };
}

export function createSimulation(options: SimulationOptions) {
    const table = createMemoryTable();
    const applied: AppliedOrder[] = [];
    const loads: {
        readonly engine: string;
        readonly version: string;
        readonly permit: string;
        readonly at: number;
    }[] = [];
    const store = createWeightStore(() => options.permitsPerMinute ?? 0, Date.now);
    const onCall: CallHook = options.onCall ?? (() => Promise.resolve());
    const nodes: TestNode[] = [];
    const clock = { now: Date.now, wallTime: Date.now };
    let snapshot: ConfigurationSnapshot = EMPTY_SNAPSHOT;

    const engines = options.engines.map((kind, index): FakeEngine => {
        const name = `e${index + 1}`;
        const streams = new Map<string, number>();
        const engine: FakeEngine = {
            name,
            streams,
            bootId: 1,
            ...createEngineOrders({
                slots: 1,
                ...kind,
                ...clock,
                initialVersions: [options.initialVersions?.[index] ?? "a/1"],
                loadMilliseconds: 2000,
                runningStreams: version => streams.get(version) ?? 0,
                onLoad: (version, permit) => loads.push({ engine: name, version, permit, at: Date.now() }),
                onUnload: version => options.onUnload?.(engine, version),
            }),
        };
        return engine;
    });

    const upstream = (kind: EngineKind, index: number): [string, Upstream] => [
        `e${index + 1}`,
        {
            kind: "engine",
            address: `http://e${index + 1}`,
            dataCentre: "d1",
            region: "r1",
            ...(options.initialVersions === undefined ? { model: "a", version: "1" } : {}),
            warm: { concurrency: 10, memoryTokens: 1000 },
            cold: { concurrency: 1, memoryTokens: 100 },
            checksFencing: kind.checksFencing,
            costPerThousandTokens: 1,
            state: "active",
        },
    ];
    const setModels = (
        models: Readonly<Record<string, ReturnType<typeof model>>>,
        rollout?: Rollout,
    ): void => {
        snapshot = {
            ...snapshot,
            revision: snapshot.revision + 1,
            model: new Map(Object.entries(models)),
            rollout: new Map(rollout === undefined ? [] : [["r", rollout]]),
            upstream: new Map(options.engines.map(upstream)),
        };
    };
    setModels({ a: model({ "1": "active" }) });

    const callWithHook = async <Result>(
        node: string,
        call: string,
        effect: () => Result,
    ): Promise<Result> => {
        await onCall(node, call, "before");
        const result = effect();
        await onCall(node, call, "after");
        return result;
    };
    const engineAt = (address: string): FakeEngine => engines.find(({ name }) => address.endsWith(name))!;

    const loadedVersions = (engine: FakeEngine): readonly string[] =>
        engine.state().loaded as readonly string[];

    const startNode = (name: string): TestNode => {
        const stepFunctions: (() => void)[] = [];
        const lifecycle = { add: () => undefined };
        const ticker: Parameters<typeof createOrders>[0]["ticker"] = {
            attach: (_name, step, execute) => {
                let queue: Parameters<typeof step>[0][number][] = [];
                stepFunctions.push(() => {
                    const events = queue;
                    queue = [];
                    for (const action of step(events, Date.now())) {
                        options.beforeExecute?.(action);
                        execute(action);
                    }
                });
                return { post: event => void queue.push(event) };
            },
        };
        const leases = createLeases({
            table: table.client(phase => onCall(name, "table", phase)),
            holder: name,
            clock,
            ticker,
            lifecycle,
            logger: silentLogging("leases"),
        });
        const node: TestNode = {
            name,
            lease: leases.contend("orders"),
            paused: false,
            tick: () => stepFunctions.forEach(run => run()),
            orders: createOrders({
                leases,
                clock,
                ticker,
                lifecycle,
                metrics: noMetrics,
                logger: silentLogging("orders"),
                configuration: { current: () => snapshot, governing: () => [snapshot], isFresh: () => true },
                sendOrder: (address, order) =>
                    callWithHook(name, "order", () => {
                        const engine = engineAt(address);
                        const before = loadedVersions(engine);
                        const { status } = engine.accept(order);
                        if (status === 200) {
                            applied.push({ engine: engine.name, node: name, order, at: Date.now(), before });
                            return "accepted";
                        }
                        return status === 409 ? "old-number" : "expired";
                    }),
                readEngine: address =>
                    callWithHook(name, "read", () => {
                        const engine = engineAt(address);
                        return parseEngineState({ bootId: String(engine.bootId), ...engine.state() });
                    }),
                requestPermit: id =>
                    callWithHook(name, "permit", () => {
                        const { status, body, headers } = store.requestPermit(id);
                        return status === 200
                            ? {
                                  kind: "granted",
                                  permit: body.permit as string,
                                  validMilliseconds: body.validMilliseconds as number,
                              }
                            : {
                                  kind: "denied",
                                  retryAfterMilliseconds: Number(headers["retry-after"]) * 1000,
                              };
                    }),
            }),
        };
        nodes.push(node);
        return node;
    };

    /** Advances the time in steps. Answers that are ready are delivered after each step. */
    const advance = async (milliseconds: number, onStep: () => void = () => undefined): Promise<void> => {
        for (const end = Date.now() + milliseconds; Date.now() < end;) {
            options.timers.tick(STEP_MILLISECONDS);
            engines.forEach(engine => engine.advance());
            onStep();
            for (const node of nodes) {
                if (!node.paused) {
                    node.tick();
                }
            }
            await nextEventLoopTurn();
        }
    };

    let sequence = 0;
    return {
        engines,
        nodes,
        applied,
        loads,
        store,
        startNode,
        advance,
        setModels,
        loaded: () => engines.map(engine => loadedVersions(engine).join(" ")),
        loadedVersions,
        /** Reports the demand of one entry node to all nodes. */
        report: (inFlight: Readonly<Record<string, number>>): void => {
            sequence += 1;
            const versions = Object.fromEntries(
                Object.entries(inFlight).map(([version, count]) => [
                    version,
                    { waiting: 0, inFlight: count },
                ]),
            );
            nodes.forEach(({ orders }) =>
                orders.reportDemand({ node: "n", incarnation: 1, sequence, versions }),
            );
        },
    };
}
