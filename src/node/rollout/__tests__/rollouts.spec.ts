import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { createSeededRandom } from "../../common/random.js";
import { createMemoryTable } from "../../leases/__tests__/memory-table.js";
import type { MemoryTable } from "../../leases/__tests__/memory-table.js";
import type { Transaction } from "../../outside-services/table-service.js";
import type { RolloutRow } from "../rollout-row.js";
import { createMembers, createRolloutNode, withRollout } from "./rollout-node.js";
import type { RolloutNode } from "./rollout-node.js";

const STEPS = [0.1, 0.5, 1];
const policy = { dwellMilliseconds: 10_000, watchMilliseconds: 120_000, epochMilliseconds: 60_000 };

/** @param pauseAt Number of the table call, before or after its effect, at which node n0 is paused. */
function createSimulation(nodes = 2, pauseAt = -1) {
    const random = createSeededRandom(7);
    const memory = createMemoryTable();
    const transactions: Transaction[] = [];
    const recordingTable: MemoryTable = {
        rows: memory.rows,
        client: gate => {
            const table = memory.client(gate);
            const transact = (transaction: Transaction) => {
                transactions.push(transaction);
                return table.transact(transaction);
            };
            return { ...table, transact };
        },
    };
    const state = {
        time: 0,
        snapshot: withRollout(1, STEPS),
        members: createMembers(nodes),
        memory: recordingTable,
        random,
    };
    /** Ids of nodes that do not tick and whose table calls are blocked. */
    const paused = new Set<string>();
    const allNodes = state.members.map(self => {
        let calls = 0;
        const gate = async (): Promise<void> => {
            if (self.id === "n0" && calls++ === pauseAt) {
                paused.add(self.id);
            }
            while (paused.has(self.id)) {
                await new Promise(resolve => setImmediate(resolve));
            }
        };
        return createRolloutNode(state, self, gate, policy);
    });
    const running = (): readonly RolloutNode[] => allNodes.filter(({ id }) => !paused.has(id));
    const share = (): number => Math.max(...running().map(node => node.rollouts.share("m", "new")));
    const row = (): RolloutRow => state.memory.rows.get("rollout/r")?.value as unknown as RolloutRow;
    /** Advances the time, with answers whose ratings are lower by `ratingLoss` on the version. */
    const run = async (
        seconds: number,
        options: { ratingLoss?: number; errors?: number; rated?: boolean; gossip?: boolean } = {},
    ): Promise<void> => {
        const { ratingLoss = 0, errors = 0, rated = true, gossip = true } = options;
        for (const end = state.time + seconds * 1000; state.time < end; state.time += 1000) {
            for (const node of running()) {
                node.tick();
                const { rollouts } = node;
                for (let i = 0; i < 10; i += 1) {
                    const isVersion = random() < rollouts.share("m", "new");
                    const subject = { model: "m", version: isVersion ? "new" : "old", workspace: "w" };
                    const succeeded = !(isVersion && random() < errors);
                    rollouts.observe({ ...subject, succeeded, latencyMilliseconds: 100 + 100 * random() });
                    if (rated) {
                        const rating = 0.7 + 0.2 * random() - (isVersion ? ratingLoss : 0);
                        rollouts.observeRating({ ...subject, rating });
                    }
                }
                if (gossip) {
                    const digest = rollouts.evidenceDigest();
                    running().forEach(other => other.rollouts.mergeEvidence(digest));
                    running().forEach(other => other.rollouts.mergeRollouts(rollouts.rolloutDigest()));
                }
            }
            await new Promise(resolve => setImmediate(resolve));
        }
    };
    return { state, transactions, nodes: allNodes, paused, running, share, row, run };
}

/**
 * Collects the steps that were applied twice or to a state that another holder had replaced. An assertion in
 * the write itself would look like a table failure to the node.
 */
function recordInvalidSteps({ state }: ReturnType<typeof createSimulation>): readonly string[] {
    const invalidSteps: string[] = [];
    const { rows } = state.memory;
    const set = rows.set.bind(rows);
    rows.set = (key, value) => {
        if (key === "rollout/r") {
            const before = rows.get(key)?.value as unknown as RolloutRow | undefined;
            const row = value.value as unknown as RolloutRow;
            if (row.sequence !== (before?.sequence ?? 0) + 1) {
                invalidSteps.push(`${row.sequence} on ${before?.sequence}`);
            }
        }
        return set(key, value);
    };
    return invalidSteps;
}

test("a healthy version reaches the full share and its rollout completes", async () => {
    const { run, row, nodes, share } = createSimulation();
    await run(400);
    assert.equal(row().phase, "complete");
    assert.equal(share(), 1);
    assert.equal(nodes[0]!.rollouts.share("m", "old"), 0);
    const history = nodes[0]!.rollouts.history("m", "new");
    assert.deepEqual(
        history.map(step => step.share),
        [0.1, 0.5, 0.95, 1],
    );
});

// A regression may start at the last step, or after it, when there is no control group.
for (const fullShare of [0.95, 1]) {
    for (const regression of [{ ratingLoss: 0.3 }, { errors: 0.2 }]) {
        test(`a regression at share ${fullShare} stops it: ${JSON.stringify(regression)}`, async () => {
            const { run, row, share } = createSimulation();
            for (let i = 0; i < 60 && share() < fullShare; i += 1) {
                await run(10);
            }
            assert.equal(share(), fullShare);
            await run(30);
            await run(60, regression);
            assert.ok(["withdrawn", "braked"].includes(row().phase), row().phase);
            assert.equal(share(), 0);
        });
    }
}

// Missing ratings are not evidence that the answers are good.
test("does not advance while no ratings arrive", async () => {
    const { run, row, nodes } = createSimulation();
    await run(30);
    const step = row().step;
    await run(200, { rated: false });
    assert.ok(row().step <= step + 1);
    const status = nodes.map(node => node.rollouts.status()[0]!);
    assert.ok(status.some(({ isController, verdict }) => isController && verdict === "no fresh ratings"));
    await run(300);
    assert.equal(row().phase, "complete");
});

// The loss of the lease holder must not stop a rollout permanently.
test("a rollout continues after the loss of its holder, and the resumed holder writes nothing", async () => {
    const { run, row, paused, nodes, transactions } = createSimulation();
    await run(20);
    const holder = nodes.find(node => node.rollouts.status()[0]?.isController)!;
    paused.add(holder.id);
    await run(300);
    assert.equal(row().phase, "complete");
    const sequence = row().sequence;
    paused.clear();
    await run(30);
    assert.equal(row().sequence, sequence);
    const steps = transactions.filter(({ writes }) => writes.some(({ key }) => key === "rollout/r"));
    for (const { conditions } of steps) {
        assert.ok(
            conditions.some(({ key }) => key === "lease/rollout-r"),
            "a step without fencing condition",
        );
    }
    assert.ok(steps.length >= 4);
});

// A late step of a paused holder would overwrite the decisions of its successor.
test("a late step of a holder that was paused at any table call is not applied", async () => {
    let paused = 0;
    for (let pauseAt = 0; pauseAt < 24; pauseAt += 1) {
        const simulation = createSimulation(2, pauseAt);
        const invalidSteps = recordInvalidSteps(simulation);
        await simulation.run(30);
        paused += simulation.paused.size;
        await simulation.run(60);
        simulation.paused.clear();
        await simulation.run(5);
        assert.deepEqual(invalidSteps, [], `call ${pauseAt}`);
    }
    assert.ok(paused >= 12, `${paused} pauses`);
});

// A faulty version must lose its share even while the table rejects writes.
test("a node halts on its own evidence while the table is down, and an operator halts at once", async () => {
    const faulty = createSimulation();
    await faulty.run(20);
    faulty.state.memory.rows.set = () => assert.fail("the table is down");
    await faulty.run(60, { ratingLoss: 0.5 });
    assert.equal(faulty.share(), 0);
    assert.equal(faulty.row().phase, "ramping");
    const halted = createSimulation();
    await halted.run(20);
    assert.ok(halted.nodes[0]!.rollouts.halt("r", "operator"));
    assert.ok(!halted.nodes[0]!.rollouts.halt("missing", "operator"));
    assert.equal(halted.nodes[0]!.rollouts.share("m", "new"), 0);
    await halted.run(20);
    assert.equal(halted.row().phase, "braked");
});

// Only operators may raise a share that a halt has lowered, and only one holder may apply a step.
test("no share rises after a halt without a new ticket, and each step is applied once", async () => {
    const seed = Date.now() % 2 ** 31;
    console.log(`seed=${seed}`);
    const event = fc.constantFrom("run", "gossip", "pause", "resume", "halt", "ticket", "haltTicket");
    const property = fc.asyncProperty(fc.array(event, { minLength: 4, maxLength: 14 }), async script => {
        const simulation = createSimulation(3);
        const { state, nodes, paused, run, running } = simulation;
        const invalidSteps = recordInvalidSteps(simulation);
        let ticket = 1;
        const haltedTickets = new Map<string, number>();
        for (const name of script) {
            if (name === "pause") {
                paused.add(nodes[script.length % 3]!.id);
            }
            else if (name === "resume") {
                paused.clear();
            }
            else if (name === "halt") {
                const node = running()[0]!;
                node.rollouts.halt("r", "operator");
                haltedTickets.set(node.id, ticket);
            }
            else if (name === "ticket" || name === "haltTicket") {
                ticket += 1;
                state.snapshot = withRollout(ticket, STEPS, name === "ticket" ? "running" : "halted");
            }
            await run(15, { gossip: name === "gossip" });
            for (const node of nodes) {
                const share = node.rollouts.share("m", "new");
                const isHalted = state.snapshot.rollout.get("r")!.state === "halted";
                assert.ok(share === 0 || (haltedTickets.get(node.id) !== ticket && !isHalted));
            }
        }
        assert.deepEqual(invalidSteps, []);
    });
    await fc.assert(property, { seed, numRuns: 15 });
});
