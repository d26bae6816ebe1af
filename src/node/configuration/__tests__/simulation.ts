/** Simulation of several nodes in one process with an in-memory network and platform and injected faults. */
import assert from "node:assert/strict";
import { createSeededRandom } from "../../common/random.js";
import type { Random } from "../../common/random.js";
import { createInvariants } from "../../invariants/invariants.js";
import type { Invariants } from "../../invariants/invariants.js";
import { createLifecycle } from "../../lifecycle/lifecycle.js";
import { silentLogging } from "../../logging/logging.js";
import { createMembership } from "../../membership/create-membership.js";
import type { Membership } from "../../membership/membership.js";
import { createFakeNetwork } from "../../peers/__tests__/fakes.js";
import type { FakeNetwork } from "../../peers/__tests__/fakes.js";
import {
    createFakeObjectStore,
    createFakeTableService,
    createServiceFaults,
} from "../../outside-services/__tests__/fakes.js";
import type { ServiceFaults } from "../../outside-services/__tests__/fakes.js";
import type { Row } from "../../outside-services/table-service.js";
import { createTicker } from "../../ticker/ticker.js";
import type { Ticker } from "../../ticker/ticker.js";
import { createConfiguration } from "../create-configuration.js";
import type { Configuration } from "../create-configuration.js";
import type { Ticket } from "../entities.js";

export interface SimulatedNode {
    readonly id: string;
    readonly address: string;
    readonly configuration: Configuration;
    readonly membership: Membership;
    readonly invariants: Invariants;
    /** Platform faults that affect this node only. */
    readonly faults: ServiceFaults;
    isRunning: boolean;
    /** Wall-clock time until which the node executes nothing, milliseconds. */
    pausedUntil: number;
    stop(): Promise<void>;
}

export interface ConfigurationSimulation {
    readonly network: FakeNetwork;
    readonly rows: Map<string, Row>;
    readonly objects: Map<string, string>;
    readonly random: Random;
    /** Nodes by index; a restarted node replaces its predecessor. */
    readonly nodes: SimulatedNode[];
    start(index: number): Promise<SimulatedNode>;
    stop(): Promise<void>;
}

/** Builds a ticket that sets the region of data centre `name`. */
export function dataCentreTicket(number: number, name = "patio", region = `region-${number}`): Ticket {
    return { number, changes: [{ kind: "dataCentre", name, state: { region, state: "active" } }] };
}

export function createConfigurationSimulation(seed: number): ConfigurationSimulation {
    const network = createFakeNetwork();
    const rows = new Map<string, Row>();
    const objects = new Map<string, string>();
    const random = createSeededRandom(seed);
    const nodes: SimulatedNode[] = [];
    let incarnation = 0;
    network.remainingPause = address => {
        const node = nodes.find(candidate => candidate.address === address);
        return node === undefined ? 0 : Math.max(0, node.pausedUntil - Date.now());
    };

    const start = async (index: number): Promise<SimulatedNode> => {
        const id = `n${index}`;
        const address = `http://${id}`;
        const faults = createServiceFaults();
        const lifecycle = createLifecycle();
        const isPaused = (): boolean => Date.now() < node.pausedUntil;
        /** Delays I/O while the node is paused, and never resolves once the node has stopped. */
        const waitWhilePaused = async (): Promise<void> => {
            while (isPaused()) {
                await new Promise(resolve => setTimeout(resolve, node.pausedUntil - Date.now()));
            }
            return node.isRunning ? undefined : new Promise(() => undefined);
        };
        const pausable = <Target extends object>(target: Target): Target =>
            Object.fromEntries(
                Object.entries(target).map(([name, method]) => [
                    name,
                    async (...parameters: readonly unknown[]) => {
                        await waitWhilePaused();
                        try {
                            return await (method as (...items: readonly unknown[]) => unknown)(...parameters);
                        }
                        finally {
                            await waitWhilePaused();
                        }
                    },
                ]),
            ) as Target;
        const innerTicker = createTicker({
            now: Date.now,
            lifecycle,
            onError: (system, error) => assert.fail(`${system}: ${String((error as Error).stack)}`),
        });
        const ticker: Ticker = {
            ...innerTicker,
            attach: (name, step, execute) => {
                let waiting: Parameters<typeof step>[0][number][] = [];
                return innerTicker.attach(
                    name,
                    (events, now) => {
                        waiting.push(...events);
                        if (isPaused()) {
                            return [];
                        }
                        const ready = waiting;
                        waiting = [];
                        return step(ready, now);
                    },
                    execute,
                );
            },
        };
        const tableService = pausable(createFakeTableService(faults, rows));
        const { call, handle } = network.join(address);
        const peers = { ...pausable({ call }), handle };
        const common = { id, incarnation: (incarnation += 1), peers, tableService, ticker, lifecycle };
        const membership = createMembership({
            ...{
                ...common,
                now: Date.now,
                random,
                address: () => address,
                seeds: ["http://n0", "http://n1"],
            },
            ...{ dataCentre: "patio", region: "south", logger: silentLogging("membership") },
        });
        const invariants = createInvariants({ onViolation: () => undefined, fatal: true });
        const configuration = createConfiguration({
            ...{ ...common, membership, now: Date.now, random, logger: silentLogging("configuration") },
            objectStore: pausable(createFakeObjectStore(faults, objects)),
            invariants,
        });
        const node: SimulatedNode = {
            ...{
                id,
                address,
                configuration,
                membership,
                invariants,
                faults,
                isRunning: true,
                pausedUntil: 0,
            },
            stop: async () => {
                node.isRunning = false;
                network.leave(address);
                await lifecycle.stop();
            },
        };
        nodes[index] = node;
        await lifecycle.start();
        return node;
    };

    return {
        network,
        rows,
        objects,
        random,
        nodes,
        start,
        stop: async () => {
            await Promise.all(nodes.filter(node => node.isRunning).map(node => node.stop()));
        },
    };
}
