/** Simulation of several nodes in one process with mock timers and a network with configurable faults. */
import { mock } from "node:test";
import type { JsonValue } from "../../common/json.js";
import { createInvariants } from "../../invariants/invariants.js";
import type { Invariants } from "../../invariants/invariants.js";
import { createLifecycle } from "../../lifecycle/lifecycle.js";
import type { Lifecycle } from "../../lifecycle/lifecycle.js";
import { silentLogging } from "../../logging/logging.js";
import type { Member, MembershipView } from "../../membership/membership.js";
import { noMetrics } from "../../metrics/metrics.js";
import { PeerError } from "../../peers/peers.js";
import type { PeerHandler, Peers } from "../../peers/peers.js";
import { createTable } from "../../tables/table.js";
import { createTicker } from "../../ticker/ticker.js";
import type { Ticker } from "../../ticker/ticker.js";

/**
 * Mocks all timers except `setImmediate`. The mock of Node.js 20 loses an immediate that a timer callback
 * sets: after a callback it removes the first timer of its queue, which may be another than the one that it
 * ran.
 */
export function useMockTimers(): void {
    mock.timers.reset();
    mock.timers.enable({ apis: ["setTimeout", "setInterval", "Date"], now: 1_000_000 });
}

/** Event loop turns per step: for a tick and for the promises that it resolves. */
const TURNS_PER_STEP = 3;

/** Advances the mocked time and runs the due ticks and promise callbacks after each step. */
export async function advance(milliseconds: number, step = 1): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += step) {
        mock.timers.tick(step);
        for (let turn = 0; turn < TURNS_PER_STEP; turn += 1) {
            await new Promise(resolve => setImmediate(resolve));
        }
    }
}

/**
 * Fault of a call between nodes.
 * - `unreachable`: the connection is refused.
 * - `drop`: the call is lost and times out.
 * - `lose`: the call is handled and its answer is lost.
 * - `late`: the call is handled after its sender has stopped waiting.
 */
export type PeerFault = "none" | "unreachable" | "drop" | "lose" | "late";

const LATE_MILLISECONDS = 6000;

export interface TestNode {
    readonly member: Member;
    readonly lifecycle: Lifecycle;
    readonly peers: Peers;
    readonly membership: MembershipView;
    readonly ticker: Ticker;
    readonly invariants: Invariants;
    /** A killed node sends and receives no further messages. */
    killed: boolean;
    /** A paused node processes no events and sends no messages until it resumes. */
    paused: boolean;
    /**
     * Wraps a platform service: once the node is killed, its calls are not sent and answers are not
     * delivered.
     */
    wrapService<Service extends object>(service: Service): Service;
}

export interface TestCluster {
    readonly nodes: readonly TestNode[];
    readonly members: ReturnType<typeof createTable<Member>>;
    fault: (method: string, from: string, to: string) => PeerFault;
    /** Sets the state of a member in the membership view of every node. */
    setState(id: string, state: Member["state"]): void;
    start(): Promise<void>;
}

const never = (): Promise<never> => new Promise(() => undefined);

/** Options of a test node that all components share. */
export function componentOptions(node: TestNode, random: () => number = () => 0.5) {
    const { ticker, lifecycle, peers, membership, invariants } = node;
    const clock = { now: () => Date.now(), wallTime: () => Date.now() };
    const logger = silentLogging("test");
    return { ticker, lifecycle, peers, membership, invariants, clock, random, logger, metrics: noMetrics };
}

/** @param layout Data centre of each node. */
export function createCluster(layout: readonly string[]): TestCluster {
    const handlers = new Map<string, Map<string, PeerHandler>>();
    const members = createTable<Member>();
    const cluster: TestCluster = {
        nodes: layout.map((dataCentre, index) => createNode(dataCentre, `n${index}`)),
        members,
        fault: () => "none",
        setState: (id, state) => members.set(id, { ...members.get(id)!, state }),
        start: async () => {
            for (const node of cluster.nodes) {
                await node.lifecycle.start();
            }
        },
    };

    function createNode(dataCentre: string, id: string): TestNode {
        const member: Member = {
            id,
            incarnation: 1,
            address: `http://${id}`,
            dataCentre,
            region: "r",
            state: "alive",
        };
        members.set(id, member);
        handlers.set(member.address, new Map());
        const lifecycle = createLifecycle();
        // Collects violations; the tests assert that there are none.
        const invariants = createInvariants({
            fatal: false,
            onViolation: (name, detail) => violations.push(`${name}: ${detail}`),
        });
        const ticker = createTicker({
            now: () => Date.now(),
            onError: (system, error) => violations.push(`${system}: ${String(error)}`),
            lifecycle,
        });
        const node: TestNode = {
            member,
            lifecycle,
            invariants,
            killed: false,
            paused: false,
            membership: {
                self: member,
                members,
                active: () => [...members.values()].filter(({ state }) => /alive|suspect/.test(state)),
            },
            ticker: {
                ...ticker,
                attach: (name, step, execute) => {
                    let undelivered: Parameters<typeof step>[0][number][] = [];
                    return ticker.attach<Parameters<typeof step>[0][number], ReturnType<typeof step>[number]>(
                        name,
                        (events, now) => {
                            undelivered.push(...events);
                            if (node.paused || node.killed) {
                                return [];
                            }
                            const current = undelivered;
                            undelivered = [];
                            return step(current, now);
                        },
                        execute,
                    );
                },
            },
            peers: {
                handle: (method, handler) => void handlers.get(member.address)!.set(method, handler),
                call: (address, method, params, timeout = 1000) =>
                    callPeer(node, address, method, params, timeout),
            },
            wrapService: service =>
                new Proxy(service, {
                    get: (target, name) => {
                        const value = Reflect.get(target, name) as unknown;
                        if (typeof value !== "function") {
                            return value;
                        }
                        return async (...parameters: unknown[]) => {
                            const result: unknown = node.killed
                                ? await never()
                                : await (value as (...items: unknown[]) => unknown)(...parameters);
                            return node.killed ? never() : result;
                        };
                    },
                }),
        };
        return node;
    }

    async function callPeer(
        from: TestNode,
        address: string,
        method: string,
        params: JsonValue,
        timeout: number,
    ): Promise<JsonValue> {
        const target = cluster.nodes.find(node => node.member.address === address)!;
        const fault = cluster.fault(method, from.member.id, target.member.id);
        const message = JSON.parse(JSON.stringify(params)) as JsonValue;
        if (from.killed) {
            return never();
        }
        await new Promise(resolve => setTimeout(resolve, 1));
        if (fault === "unreachable") {
            throw new PeerError("connection refused", "not-run");
        }
        const timedOut = new Promise<never>((_resolve, reject) =>
            setTimeout(() => reject(new PeerError("no answer", "may-have-run")), timeout),
        );
        const handleCall = async (): Promise<JsonValue> => {
            await new Promise(resolve => setTimeout(resolve, fault === "late" ? LATE_MILLISECONDS : 0));
            if (target.killed) {
                return never();
            }
            const handler = handlers.get(address)!.get(method)!;
            const result = await Promise.resolve(handler(message)).catch((error: Error) => {
                throw new PeerError(error.message, "ran");
            });
            return fault === "lose" || fault === "late" || target.killed
                ? never()
                : (JSON.parse(JSON.stringify(result)) as JsonValue);
        };
        return Promise.race([timedOut, fault === "drop" || target.killed ? never() : handleCall()]);
    }

    return cluster;
}

/** Violations and step errors of all nodes since the start of the test process. */
export const violations: string[] = [];
