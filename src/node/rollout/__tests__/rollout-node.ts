/** Simulated nodes with leases and rollouts on a shared virtual clock and table, for tests and benchmarks. */
import type { Random } from "../../common/random.js";
import { EMPTY_SNAPSHOT, applyChanges } from "../../configuration/snapshot.js";
import type { ConfigurationSnapshot } from "../../configuration/snapshot.js";
import { createLeases } from "../../leases/leases.js";
import type { MemoryTable, Gate } from "../../leases/__tests__/memory-table.js";
import { silentLogging } from "../../logging/logging.js";
import type { Member } from "../../membership/membership.js";
import type { SystemStep } from "../../ticker/ticker.js";
import type { RolloutPolicy } from "../policy.js";
import { createRollouts } from "../rollouts.js";
import type { Rollouts } from "../interface.js";

/** State that the nodes of a simulation share. */
export interface SimulationState {
    time: number;
    snapshot: ConfigurationSnapshot;
    readonly members: readonly Member[];
    readonly memory: MemoryTable;
    readonly random: Random;
}

export interface RolloutNode {
    readonly id: string;
    readonly rollouts: Rollouts;
    tick(): void;
}

/** Returns a configuration in which ticket `number` set rollout "r" of version "new" of model "m". */
export function withRollout(
    number: number,
    steps: readonly number[],
    state: "running" | "halted" = "running",
): ConfigurationSnapshot {
    const versions = ["old", "new"].map(name => ({ name, state: "active" as const }));
    return applyChanges(EMPTY_SNAPSHOT, {
        number,
        changes: [
            { kind: "model", name: "m", state: { versions, baseline: "old", spill: [] } },
            { kind: "rollout", name: "r", state: { model: "m", version: "new", steps: [...steps], state } },
        ],
    });
}

export function createMembers(count: number): readonly Member[] {
    return Array.from({ length: count }, (_, index) => ({
        id: `n${index}`,
        incarnation: 1,
        address: "http://127.0.0.1",
        dataCentre: "a",
        region: "a",
        state: "alive",
    }));
}

export function createRolloutNode(
    state: SimulationState,
    self: Member,
    gate?: Gate,
    policy?: Partial<RolloutPolicy>,
): RolloutNode {
    const systems: (() => void)[] = [];
    const shared = {
        table: state.memory.client(gate),
        clock: { now: () => state.time, wallTime: () => state.time },
        ticker: {
            attach: <Event, Action>(
                _name: string,
                step: SystemStep<Event, Action>,
                execute: (action: Action) => void,
            ) => {
                const queue: Event[] = [];
                systems.push(() => step(queue.splice(0), state.time).forEach(execute));
                return { post: (event: Event) => void queue.push(event) };
            },
        },
    };
    const leases = createLeases({
        ...shared,
        holder: `${self.id}/${self.incarnation}`,
        lifecycle: { add: () => undefined },
        logger: silentLogging("leases"),
    });
    const rollouts = createRollouts({
        ...shared,
        leases,
        policy,
        random: state.random,
        configuration: { current: () => state.snapshot, governing: () => [state.snapshot] },
        membership: { self, active: () => state.members },
        logger: silentLogging("roll-outs"),
    });
    return { id: self.id, rollouts, tick: () => systems.forEach(run => run()) };
}
