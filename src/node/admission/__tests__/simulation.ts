/**
 * Simulation of several nodes, fake upstreams and a faulty network in virtual time, for the property test and
 * the benchmark of admission. The upstreams count the requests that they really process.
 */
import type { Random } from "../../common/random.js";
import { EMPTY_SNAPSHOT } from "../../configuration/snapshot.js";
import type { Upstream } from "../../configuration/entities.js";
import { createInvariants } from "../../invariants/invariants.js";
import { createLifecycle } from "../../lifecycle/lifecycle.js";
import type { Member, MemberState } from "../../membership/membership.js";
import { createFakeNetwork } from "./fake-network.js";
import type { FakeNetwork } from "./fake-network.js";
import { createTable } from "../../tables/table.js";
import type { WritableTable } from "../../tables/table.js";
import type { AdmissionGate, Credit } from "../admission.js";
import { createAdmission } from "../create-admission.js";
import type { Admission, AdmissionOptions } from "../create-admission.js";
import { createManualTicker } from "./manual-ticker.js";

export const STEP_MILLISECONDS = 20;

export interface SimulationOptions {
    readonly random: Random;
    readonly nodes: number;
    readonly upstreams: number;
    readonly warm: number;
    readonly cold: number;
    /** Requests that arrive per node and second. */
    readonly arrivals: number;
    /** Minimum and maximum processing time of a request, milliseconds. */
    readonly work: readonly [shortest: number, longest: number];
    /**
     * Fraction of lost messages; half as many are late. At most two consecutive ones of a sender and
     * receiver.
     */
    readonly lost: number;
    /** Maximum delay of a message that is not late, milliseconds. */
    readonly delay: number;
    /** Maximum time by which the view of one node lags behind that of another, milliseconds. */
    readonly viewLag: number;
    /** Maximum wait in the queue before a request is rejected, milliseconds. */
    readonly maximumWait: number;
    readonly reportsLoad: boolean;
    readonly createGate?: (node: SimulatedNode, simulation: AdmissionSimulation) => AdmissionGate;
}

export const TOKENS_PER_REQUEST = 100;

export interface FakeUpstream {
    readonly name: string;
    bootId: number;
    /** Fast answers since the last start; the upstream is warm from the fifth. */
    answers: number;
    restartedAt: number;
    readonly held: Set<SimulatedRequest>;
}

export interface SimulatedRequest {
    readonly node: SimulatedNode;
    readonly arrivedAt: number;
    readonly milliseconds: number;
    upstream?: FakeUpstream;
    credit?: Credit;
}

export interface SimulatedNode {
    readonly id: string;
    incarnation: number;
    isUp: boolean;
    pausedUntil: number;
    members: WritableTable<Member>;
    gate: AdmissionGate;
    tick: () => void;
    report: Admission["reportLoad"];
    lastMajorityAt: number;
    readonly waiting: SimulatedRequest[];
    readonly deferredWhilePaused: (() => void)[];
}

/** Called when a request starts on an upstream. `excess`: held requests minus the current budget. */
export type StartListener = (upstream: FakeUpstream, excess: number, now: number) => void;

export interface AdmissionSimulation {
    readonly nodes: readonly SimulatedNode[];
    readonly upstreams: readonly FakeUpstream[];
    readonly network: FakeNetwork;
    readonly counts: { arrived: number; started: number; rejected: number; delayed: number; waited: number };
    /** Invariant violations that the nodes reported. */
    readonly violations: string[];
    now(): number;
    at(time: number, run: () => void): void;
    /** Creates the admission gate under test; benchmarks use other gates as baselines. */
    createAdmissionGate(node: SimulatedNode, changes?: Partial<AdmissionOptions>): AdmissionGate;
    onStart(listener: StartListener): void;
    budget(upstream: FakeUpstream): number;
    hasMajority(node: SimulatedNode): boolean;
    crash(node: SimulatedNode): void;
    start(node: SimulatedNode): void;
    restartUpstream(upstream: FakeUpstream): void;
    /**
     * Separates a set of nodes from the others; an empty set heals the partition. `isDetected`: views follow.
     */
    partition(ids: readonly string[], isDetected: boolean): void;
    /** Makes some nodes consider another one dead for less than the view lag. */
    falselyMarkDead(node: SimulatedNode): void;
    run(milliseconds: number): Promise<void>;
}

/** Fast answers since the last start after which an upstream is warm. */
const ANSWERS_UNTIL_WARM = 5;
const FIRST_TOKEN_MILLISECONDS = 100;
const OVERLOADED_FIRST_TOKEN_MILLISECONDS = 2500;
/** Time after which a node detects that it lost contact with a majority. */
const MAJORITY_TIMEOUT_MILLISECONDS = 1500;
/** Maximum delay of a late message; longer than the timeout of a call to an owner. */
const MAXIMUM_LATE_DELAY_MILLISECONDS = 1500;
const REPORT_INTERVAL_MILLISECONDS = 1000;
const REPORT_DELAY_MILLISECONDS = 500;
/** Microtask rounds per step; a call of a node to itself and its reply take about ten. */
const MICROTASK_ROUNDS = 12;

function upstreamOf(name: string, options: SimulationOptions): Upstream {
    const budget = (concurrency: number) => ({ concurrency, memoryTokens: concurrency * TOKENS_PER_REQUEST });
    return {
        kind: "engine",
        address: `http://127.0.0.1/${name}`,
        dataCentre: "a",
        region: "r",
        warm: budget(options.warm),
        cold: budget(options.cold),
        checksFencing: true,
        costPerThousandTokens: 1,
        state: "active",
    };
}

export function createSimulation(options: SimulationOptions): AdmissionSimulation {
    const { random } = options;
    let now = 0;
    let partitioned = new Set<string>();
    const consecutiveLosses = new Map<string, number>();
    const timers = new Map<number, (() => void)[]>();
    const listeners: StartListener[] = [];
    const counts = { arrived: 0, started: 0, rejected: 0, delayed: 0, waited: 0 };
    const violations: string[] = [];
    const upstreams = Array.from({ length: options.upstreams }, (_, index): FakeUpstream => {
        return { name: `runner-${index}`, bootId: 1, answers: 0, restartedAt: -Infinity, held: new Set() };
    });
    const snapshot = {
        ...EMPTY_SNAPSHOT,
        upstream: new Map(upstreams.map(({ name }) => [name, upstreamOf(name, options)])),
    };
    const between = (low: number, high: number): number => low + random() * (high - low);
    const at = (time: number, run: () => void): void => {
        const step = Math.max(
            now + STEP_MILLISECONDS,
            Math.ceil(time / STEP_MILLISECONDS) * STEP_MILLISECONDS,
        );
        timers.set(step, [...(timers.get(step) ?? []), run]);
    };
    const isReachable = (a: string, b: string): boolean => partitioned.has(a) === partitioned.has(b);
    const network = createFakeNetwork({
        delay: (from, to) => {
            const pair = `${from} ${to}`;
            const losses = consecutiveLosses.get(pair) ?? 0;
            const isLost = !isReachable(from, to) || (losses < 2 && random() < options.lost);
            const isLate = !isLost && losses < 2 && random() < options.lost / 2;
            consecutiveLosses.set(pair, isLost || isLate ? losses + 1 : 0);
            return isLost ? undefined : between(0, isLate ? MAXIMUM_LATE_DELAY_MILLISECONDS : options.delay);
        },
        arrive: (address, run) => {
            const node = nodes.find(({ id }) => id === address)!;
            if (!node.isUp) {
                return;
            }
            if (now < node.pausedUntil) {
                node.deferredWhilePaused.push(run);
            }
            else {
                run();
            }
        },
        setTimer: (run, milliseconds) => at(now + milliseconds, run),
    });

    const memberOf = (node: SimulatedNode, state: MemberState): Member => {
        const { id, incarnation } = node;
        return { id, incarnation, address: id, dataCentre: "a", region: "r", state };
    };
    const setMemberState = (observer: SimulatedNode, node: SimulatedNode, state: MemberState): void => {
        if (observer !== node && observer.isUp) {
            observer.members.set(node.id, memberOf(node, state));
        }
    };
    const propagateState = (node: SimulatedNode, state: MemberState, detection: number): void => {
        const { incarnation } = node;
        for (const observer of nodes) {
            at(now + between(detection, detection + options.viewLag), () => {
                // The state of a previous incarnation does not replace that of a later one.
                if (node.incarnation === incarnation) {
                    setMemberState(observer, node, state);
                }
            });
        }
    };

    const createAdmissionGate: AdmissionSimulation["createAdmissionGate"] = (node, changes = {}) => {
        const ticker = createManualTicker(() => now);
        node.tick = ticker.tick;
        const { members } = node;
        const admission = createAdmission({
            membership: {
                self: memberOf(node, "alive"),
                members,
                active: () => [...members.values()].filter(({ state }) => state === "alive"),
            },
            peers: network.connect(node.id),
            configuration: { current: () => snapshot, governing: () => [snapshot], isFresh: () => true },
            ticker,
            lifecycle: createLifecycle(),
            invariants: createInvariants({
                onViolation: (_name, detail) => violations.push(`${now} ${detail}`),
            }),
            now: () => now,
            hasMajority: () => simulation.hasMajority(node),
            ...changes,
        });
        node.report = admission.reportLoad;
        return admission;
    };

    const nodes = Array.from({ length: options.nodes }, (_, index): SimulatedNode => {
        return {
            id: `node-${index}`,
            incarnation: 0,
            isUp: true,
            pausedUntil: 0,
            members: createTable(),
            gate: undefined as unknown as AdmissionGate,
            tick: () => undefined,
            report: () => undefined,
            lastMajorityAt: 0,
            waiting: [],
            deferredWhilePaused: [],
        };
    });

    const finishRequest = (
        request: SimulatedRequest,
        succeeded: boolean,
        firstTokenMilliseconds: number,
    ): void => {
        const { node, upstream, credit } = request;
        if (!upstream!.held.delete(request) || credit === undefined) {
            return;
        }
        const bootId = String(upstream!.bootId);
        if (succeeded && firstTokenMilliseconds === FIRST_TOKEN_MILLISECONDS) {
            upstream!.answers += 1;
        }
        const observation = succeeded ? { succeeded, bootId, firstTokenMilliseconds } : { succeeded };
        const { incarnation } = node;
        const deliver = (): void => {
            if (node.incarnation === incarnation) {
                node.gate.release(credit, observation, now);
            }
        };
        if (now < node.pausedUntil) {
            node.deferredWhilePaused.push(deliver);
        }
        else {
            deliver();
        }
    };

    const startRequest = (request: SimulatedRequest, upstream: FakeUpstream, credit: Credit): void => {
        request.upstream = upstream;
        request.credit = credit;
        upstream.held.add(request);
        counts.started += 1;
        const excess = upstream.held.size - simulation.budget(upstream);
        listeners.forEach(listener => listener(upstream, excess, now));
        const firstToken = excess > 0 ? OVERLOADED_FIRST_TOKEN_MILLISECONDS : FIRST_TOKEN_MILLISECONDS;
        at(now + FIRST_TOKEN_MILLISECONDS, () => {
            if (upstream.held.has(request) && now >= request.node.pausedUntil) {
                request.node.gate.recordBootId(upstream.name, String(upstream.bootId), now);
            }
        });
        at(now + request.milliseconds, () => finishRequest(request, true, firstToken));
    };

    const dispatch = (node: SimulatedNode): void => {
        if (random() < (options.arrivals * STEP_MILLISECONDS) / 1000) {
            counts.arrived += 1;
            node.waiting.push({ node, arrivedAt: now, milliseconds: between(...options.work) });
        }
        for (const request of node.waiting.splice(0)) {
            const open = upstreams.filter(({ name }) => node.gate.available(name, now) > 0);
            const choices = open.length > 0 ? open : upstreams;
            const upstream = choices[Math.floor(random() * choices.length)]!;
            const credit = node.gate.tryAcquire(upstream.name, TOKENS_PER_REQUEST, now);
            if (credit !== undefined) {
                startRequest(request, upstream, credit);
                counts.delayed += now > request.arrivedAt ? 1 : 0;
                counts.waited += now - request.arrivedAt;
            }
            else if (now - request.arrivedAt > options.maximumWait) {
                counts.rejected += 1;
            }
            else {
                node.waiting.push(request);
            }
        }
    };

    /** Each second the upstreams report their load to all nodes; the reports arrive late. */
    const reportLoads = (): void => {
        const measuredAt = now;
        for (const { name, held } of upstreams) {
            const amount = { concurrency: held.size, memoryTokens: held.size * TOKENS_PER_REQUEST };
            at(now + REPORT_DELAY_MILLISECONDS, () =>
                nodes.forEach(node => node.isUp && node.report(name, amount, measuredAt)),
            );
        }
    };

    const step = (): void => {
        now += STEP_MILLISECONDS;
        if (options.reportsLoad && now % REPORT_INTERVAL_MILLISECONDS === 0) {
            reportLoads();
        }
        const due = timers.get(now) ?? [];
        timers.delete(now);
        due.forEach(run => run());
        for (const node of nodes) {
            if (!node.isUp || now < node.pausedUntil) {
                continue;
            }
            const reachable = nodes.filter(({ id, isUp }) => isUp && isReachable(id, node.id)).length;
            // Messages deferred during a pause are handled before the node has contact with any other node.
            node.deferredWhilePaused.splice(0).forEach(run => run());
            if (reachable > options.nodes / 2) {
                node.lastMajorityAt = now;
            }
            dispatch(node);
            node.tick();
        }
    };

    const simulation: AdmissionSimulation = {
        nodes,
        upstreams,
        network,
        counts,
        violations,
        now: () => now,
        at,
        createAdmissionGate,
        onStart: listener => listeners.push(listener),
        budget: upstream => (upstream.answers >= ANSWERS_UNTIL_WARM ? options.warm : options.cold),
        hasMajority: node => now - node.lastMajorityAt <= MAJORITY_TIMEOUT_MILLISECONDS,
        crash: node => {
            node.isUp = false;
            node.waiting.length = 0;
            node.deferredWhilePaused.length = 0;
            network.disconnect(node.id);
            upstreams.forEach(({ held }) =>
                held.forEach(request => request.node === node && held.delete(request)),
            );
            propagateState(node, "dead", 1000);
        },
        start: node => {
            node.isUp = true;
            node.incarnation += 1;
            node.lastMajorityAt = now;
            node.members = createTable();
            for (const other of nodes) {
                node.members.set(other.id, memberOf(other, other.isUp ? "alive" : "dead"));
            }
            node.gate = options.createGate?.(node, simulation) ?? createAdmissionGate(node);
            propagateState(node, "alive", 0);
        },
        restartUpstream: upstream => {
            const failed = [...upstream.held];
            upstream.restartedAt = now;
            upstream.answers = 0;
            failed.forEach(request => finishRequest(request, false, 0));
            upstream.bootId += 1;
        },
        partition: (ids, isDetected) => {
            const before = partitioned;
            partitioned = new Set(ids);
            for (const observer of isDetected ? nodes : []) {
                for (const node of nodes) {
                    const wasCut = before.has(observer.id) !== before.has(node.id);
                    const isCut = partitioned.has(observer.id) !== partitioned.has(node.id);
                    if (wasCut !== isCut) {
                        const detection = isCut ? 1000 : 0;
                        at(now + between(detection, detection + options.viewLag), () => {
                            if (isReachable(observer.id, node.id) !== isCut && node.isUp) {
                                setMemberState(observer, node, isCut ? "dead" : "alive");
                            }
                        });
                    }
                }
            }
        },
        falselyMarkDead: node => {
            for (const observer of nodes.filter(() => random() < 0.5)) {
                setMemberState(observer, node, "dead");
                at(now + between(0, options.viewLag), () =>
                    setMemberState(
                        observer,
                        node,
                        node.isUp && isReachable(observer.id, node.id) ? "alive" : "dead",
                    ),
                );
            }
        },
        run: async milliseconds => {
            for (const end = now + milliseconds; now < end;) {
                step();
                for (let round = 0; round < MICROTASK_ROUNDS; round += 1) {
                    await Promise.resolve();
                }
            }
        },
    };
    nodes.forEach(simulation.start);
    return simulation;
}
