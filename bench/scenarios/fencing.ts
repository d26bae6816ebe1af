/**
 * Counts stale writes and orders of lease holders that pause between the check of the lease and the send,
 * with and without the fencing condition. Two nodes run the product's lease code on a virtual clock.
 */
import type { Random } from "../../src/node/common/random.js";
import { withFencing } from "../../src/node/leases/lease-row.js";
import type { FencingToken } from "../../src/node/leases/lease-row.js";
import { createLeases } from "../../src/node/leases/leases.js";
import type { Lease } from "../../src/node/leases/leases.js";
import { createMemoryTable } from "../../src/node/leases/__tests__/memory-table.js";
import type { MemoryTable } from "../../src/node/leases/__tests__/memory-table.js";
import { silentLogging } from "../../src/node/logging/logging.js";
import type { Transaction } from "../../src/node/outside-services/table-service.js";
import type { Figures, Scenario } from "../scenario.js";

const LEASE_MILLISECONDS = 1000;
const STEP_MILLISECONDS = 20;
const WORK_MILLISECONDS = 100;
const PAUSE_PROBABILITY = 0.05;
const MAXIMUM_PAUSE_MILLISECONDS = 4000;
const MAXIMUM_DELIVERY_MILLISECONDS = 300;
const LEASE_NAME = "orders";

/** Waits of a new holder before its first order: one is shorter than some pauses, one longer than all. */
const SHORT_WAIT_MILLISECONDS = 1500;
const LONG_WAIT_MILLISECONDS = MAXIMUM_PAUSE_MILLISECONDS + MAXIMUM_DELIVERY_MILLISECONDS;

interface VirtualClock {
    now: number;
}

interface Delivery {
    readonly at: number;
    readonly run: () => Promise<void> | void;
}

/** Receives orders and counts stale ones, which arrive after an order with a higher fencing token. */
class Engine {
    applied = 0;
    stale = 0;
    refused = 0;
    private highest = 0n;

    constructor(private readonly checksFencing: boolean) {}

    receive(token: FencingToken): void {
        const isStale = token.fencing < this.highest;
        if (isStale && this.checksFencing) {
            this.refused += 1;
            return;
        }
        this.applied += 1;
        this.stale += isStale ? 1 : 0;
        this.highest = isStale ? this.highest : token.fencing;
    }

    figures(): Figures {
        return { applied: this.applied, stale: this.stale, refused: this.refused };
    }
}

/** Sends writes to the table and counts those that are applied although a later holder exists. */
class TableWrites {
    applied = 0;
    stale = 0;
    refused = 0;

    constructor(
        private readonly memory: MemoryTable,
        private readonly fenced: boolean,
    ) {}

    async send(token: FencingToken): Promise<void> {
        const unfenced: Transaction = {
            conditions: [],
            writes: [{ kind: "put", key: `state/${this.fenced}`, value: { by: token.fencing.toString() } }],
        };
        const current = BigInt(String(this.memory.rows.get(`lease/${LEASE_NAME}`)?.value.fencing ?? 0));
        const result = await this.memory
            .client()
            .transact(this.fenced ? withFencing(token, unfenced) : unfenced);
        this.applied += result.applied ? 1 : 0;
        this.refused += result.applied ? 0 : 1;
        this.stale += result.applied && token.fencing < current ? 1 : 0;
    }

    figures(): Figures {
        return { applied: this.applied, stale: this.stale, refused: this.refused };
    }
}

function createNode(memory: MemoryTable, holder: string, clock: VirtualClock) {
    let tick: () => void = () => undefined;
    const leases = createLeases({
        table: memory.client(),
        holder,
        clock: { now: () => clock.now, wallTime: () => clock.now },
        durationMilliseconds: LEASE_MILLISECONDS,
        logger: silentLogging("leases"),
        lifecycle: { add: () => undefined },
        ticker: {
            attach: (_name, step, execute) => {
                const queue: Parameters<typeof step>[0][number][] = [];
                tick = () => step(queue.splice(0), clock.now).forEach(execute);
                return { post: event => void queue.push(event) };
            },
        },
    });
    return { lease: leases.contend(LEASE_NAME), tick: () => tick(), pausedUntil: 0, nextWorkAt: 0 };
}

/** Draws the pause of the holder between its check and its send, in milliseconds. */
function drawPause(random: Random): number {
    return random() < PAUSE_PROBABILITY ? random() * MAXIMUM_PAUSE_MILLISECONDS : 0;
}

async function run(random: Random, milliseconds: number) {
    const clock: VirtualClock = { now: 0 };
    const memory = createMemoryTable();
    const nodes = ["a", "b"].map(id => createNode(memory, id, clock));
    const table = { fenced: new TableWrites(memory, true), unfenced: new TableWrites(memory, false) };
    const engines = {
        checks: new Engine(true),
        ignores: new Engine(false),
        ignoresShortWait: new Engine(false),
        ignoresLongWait: new Engine(false),
    };
    let deliveries: Delivery[] = [];
    let pauses = 0;
    let twoHolders = 0;

    const sendOrders = (lease: Lease, pause: number): void => {
        const token = lease.token(clock.now);
        if (token === undefined) {
            return;
        }
        const deliver = (operation: () => Promise<void> | void): void => {
            const at = clock.now + pause + random() * MAXIMUM_DELIVERY_MILLISECONDS;
            deliveries.push({ at, run: operation });
        };
        /** Whether the holder may send orders after the wait for orders of earlier holders. */
        const isPastWait = (wait: number): boolean => clock.now >= lease.firstOrderAt(clock.now, wait)!;
        deliver(() => table.fenced.send(token));
        deliver(() => table.unfenced.send(token));
        deliver(() => engines.checks.receive(token));
        deliver(() => engines.ignores.receive(token));
        if (isPastWait(SHORT_WAIT_MILLISECONDS)) {
            deliver(() => engines.ignoresShortWait.receive(token));
        }
        if (isPastWait(LONG_WAIT_MILLISECONDS)) {
            deliver(() => engines.ignoresLongWait.receive(token));
        }
    };

    for (; clock.now < milliseconds; clock.now += STEP_MILLISECONDS) {
        for (const node of nodes.filter(({ pausedUntil }) => clock.now >= pausedUntil)) {
            node.tick();
            if (clock.now >= node.nextWorkAt) {
                const pause = drawPause(random);
                pauses += pause > 0 ? 1 : 0;
                node.pausedUntil = clock.now + pause;
                node.nextWorkAt = clock.now + WORK_MILLISECONDS;
                sendOrders(node.lease, pause);
            }
        }
        twoHolders += nodes.every(({ lease }) => lease.isHeld(clock.now)) ? 1 : 0;
        const due = deliveries.filter(({ at }) => at <= clock.now).sort((a, b) => a.at - b.at);
        deliveries = deliveries.filter(({ at }) => at > clock.now);
        for (const delivery of due) {
            await delivery.run();
        }
        await new Promise(resolve => setImmediate(resolve));
    }
    return {
        table,
        engines,
        pauses,
        twoHolders,
        lastFencingToken: memory.rows.get(`lease/${LEASE_NAME}`)?.value.fencing,
    };
}

/** Virtual time of a run. About 50 s of real time are enough for ten times as much. */
const RUN_MILLISECONDS = 4_000_000;

export const fencing: Scenario = {
    name: "fencing",
    description:
        "stale writes and orders of paused lease holders, with and without the fencing condition, and with and without a wait for orders of earlier holders",
    runs: "decision code",
    run: async ({ random, long }) => {
        const result = await run(random, long ? 10 * RUN_MILLISECONDS : RUN_MILLISECONDS);
        const { table, engines } = result;
        return {
            figures: {
                pauses: result.pauses,
                lastFencingNumber: String(result.lastFencingToken),
                checksWithTwoHolders: result.twoHolders,
                tableApplied: table.fenced.applied,
                tableStale: table.fenced.stale,
                tableRefused: table.fenced.refused,
                checkingEngineApplied: engines.checks.applied,
                checkingEngineStale: engines.checks.stale,
                checkingEngineRefused: engines.checks.refused,
                ignoringEngineWaitedOutApplied: engines.ignoresLongWait.applied,
                ignoringEngineWaitedOutStale: engines.ignoresLongWait.stale,
            },
            baselines: {
                "table without condition": table.unfenced.figures(),
                "engine ignores the number, no wait": engines.ignores.figures(),
                "engine ignores the number, wait shorter than some pauses":
                    engines.ignoresShortWait.figures(),
            },
            violations: table.fenced.stale + engines.checks.stale + result.twoHolders,
        };
    },
};
