import assert from "node:assert/strict";
import { afterEach, beforeEach, test } from "node:test";
import { advance, mockTime, restoreTime } from "../../peers/__tests__/time.js";
import type { TicketOutcome } from "../configuration.js";
import {
    FRESHNESS_MILLISECONDS,
    PREPARED_TICKET_TIMEOUT_MILLISECONDS,
    SNAPSHOT_INTERVAL_REVISIONS,
} from "../constants.js";
import type { Ticket } from "../entities.js";
import { createConfigurationSimulation, dataCentreTicket } from "./simulation.js";
import type { SimulatedNode, ConfigurationSimulation } from "./simulation.js";

let cluster: ConfigurationSimulation;

beforeEach(() => {
    mockTime();
    cluster = createConfigurationSimulation(11);
});

afterEach(async () => {
    await cluster.stop();
    restoreTime();
});

async function startNodes(count: number): Promise<readonly SimulatedNode[]> {
    await Promise.all(Array.from({ length: count }, (_, index) => cluster.start(index)));
    await advance(3000);
    return cluster.nodes;
}

async function advanceUntilSettled<Result>(
    promise: Promise<Result>,
    limitMilliseconds = 10_000,
): Promise<Result> {
    let isDone = false;
    const watched = promise.finally(() => (isDone = true));
    for (let passed = 0; !isDone && passed < limitMilliseconds; passed += 20) {
        await advance(20);
    }
    assert.ok(isDone, "the call did not end in time");
    return watched;
}

const apply = (index: number, ticket: Ticket): Promise<TicketOutcome> =>
    advanceUntilSettled(cluster.nodes[index]!.configuration.apply(ticket));

const freshNodes = (): readonly string[] =>
    cluster.nodes.filter(node => node.configuration.isFresh(Date.now())).map(({ id }) => id);

function setTableDown(isDown: boolean): void {
    cluster.nodes.forEach(({ faults }) => (faults.down = isDown));
}

// An accepted ticket would be in force at some nodes only.
test("brings an accepted ticket into force at all nodes", async () => {
    await startNodes(5);
    assert.deepEqual(await apply(0, dataCentreTicket(1)), { kind: "accepted", revision: 1 });
    const report = await advanceUntilSettled(cluster.nodes[0]!.configuration.waitUntilInForce(1, 5000));
    assert.deepEqual(report, { revision: 1, inForce: 5, members: 5, missing: [] });
    assert.equal(cluster.nodes[4]!.configuration.current().dataCentre.get("patio")?.region, "region-1");
});

// A repeated ticket would change the configuration twice, or its operator would get a wrong result.
test("returns the same result for a repeated ticket and rejects a reused number", async () => {
    await startNodes(3);
    await apply(0, dataCentreTicket(5));
    await apply(1, dataCentreTicket(6));
    assert.deepEqual(await apply(2, dataCentreTicket(5)), { kind: "accepted", revision: 1 });
    const reused = await apply(1, dataCentreTicket(5, "patio", "elsewhere"));
    assert.equal(reused.kind === "refused" && reused.reason, "number-reused");
});

// An old ticket that arrives late would overwrite the changes of a newer one.
test("rejects a superseded ticket and names the entity and the newer ticket", async () => {
    await startNodes(3);
    await apply(0, dataCentreTicket(9));
    const outcome = await apply(1, dataCentreTicket(8));
    assert.equal(outcome.kind === "refused" && outcome.reason, "superseded");
    assert.match((outcome as { detail: string }).detail, /dataCentre\/patio .*ticket 9/);
});

// Concurrent tickets for different entities would overwrite each other, or be rejected without a reason.
test("accepts concurrent tickets of several operators", async () => {
    await startNodes(5);
    const outcomes = await advanceUntilSettled(
        Promise.all(
            [0, 1, 2].map(index =>
                cluster.nodes[index]!.configuration.apply(dataCentreTicket(index + 1, `dc-${index}`)),
            ),
        ),
    );
    const revisions = outcomes.map(outcome => (outcome.kind === "accepted" ? outcome.revision : 0));
    assert.deepEqual([...revisions].sort(), [1, 2, 3]);
});

/** Injects the fault into the node's first platform call after its ticket was prepared: the commit. */
function injectCommitFault(node: SimulatedNode, fault: "losesAnswer" | "lateEffect"): void {
    let isArmed = true;
    const hitsCall = (): boolean => {
        const isHit = isArmed && node.configuration.governing().length > 1;
        isArmed &&= !isHit;
        return isHit;
    };
    node.faults.losesResponse = () => fault === "losesAnswer" && hitsCall();
    node.faults.lateEffect = () => (fault === "lateEffect" && hitsCall() ? 1500 : 0);
}

// A commit with a lost answer would get a wrong outcome, or apply after its ticket was reported as rejected.
test("resolves a commit with a lost answer by reads, even if the write may apply late", async () => {
    const [proposer] = await startNodes(3);
    injectCommitFault(proposer!, "losesAnswer");
    assert.deepEqual(await apply(0, dataCentreTicket(1)), { kind: "accepted", revision: 1 });
    injectCommitFault(proposer!, "lateEffect");
    assert.deepEqual(await apply(0, dataCentreTicket(2)), { kind: "accepted", revision: 2 });
    await advance(2000);
    assert.equal(cluster.rows.get("configuration/head")?.value["revision"], 2);
});

// A table outage right after a commit would be reported as a rejection although the ticket was accepted.
test("reports an unknown outcome during a table outage, and the acceptance afterwards", async () => {
    const [proposer] = await startNodes(3);
    injectCommitFault(proposer!, "losesAnswer");
    const lost = proposer!.configuration.apply(dataCentreTicket(1));
    for (let passed = 0; passed < 1000 && !cluster.rows.has("configuration/ticket/1"); passed += 5) {
        await advance(5);
    }
    setTableDown(true);
    assert.equal((await advanceUntilSettled(lost)).kind, "unknown");
    assert.equal((await apply(1, dataCentreTicket(1))).kind, "unknown");
    setTableDown(false);
    assert.deepEqual(await apply(2, dataCentreTicket(1)), { kind: "accepted", revision: 1 });
});

// A table outage would stop new work, or an isolated node would serve with an outdated configuration.
test("stays fresh during a table outage only with contact to a majority", async () => {
    await startNodes(5);
    setTableDown(true);
    for (let second = 0; second < 10; second += 1) {
        await advance(1000);
        assert.equal(freshNodes().length, 5, `second ${second}`);
    }
    const isMinority = (address: string): boolean => address <= "http://n1";
    cluster.network.isLost = (from, to) => isMinority(from) !== isMinority(to);
    await advance(FRESHNESS_MILLISECONDS + 50);
    assert.deepEqual(freshNodes(), ["n2", "n3", "n4"]);
});

// A ticket that only the table stores would be ignored by nodes that cannot read the table.
test("rejects a ticket that no majority has stored and removes it from all nodes", async () => {
    await startNodes(5);
    cluster.network.isLost = (from, to) => (from === "http://n0") !== (to === "http://n0");
    const outcome = await apply(0, dataCentreTicket(1));
    assert.equal(outcome.kind === "refused" && outcome.reason, "unavailable");
    cluster.network.isLost = () => false;
    await advance(500);
    assert.deepEqual(
        cluster.nodes.map(({ configuration }) => configuration.governing().length),
        [1, 1, 1, 1, 1],
    );
});

// A node with a prepared ticket of unknown outcome would admit work that the ticket forbids.
test("applies the limits of a prepared ticket until its outcome is resolved", async () => {
    await startNodes(3);
    const [proposer, other] = cluster.nodes;
    proposer!.faults.delay = () => (proposer!.isRunning ? 200 : 0);
    void proposer!.configuration.apply(dataCentreTicket(1));
    for (let passed = 0; passed < 1000 && other!.configuration.governing().length === 1; passed += 10) {
        await advance(10);
    }
    await proposer!.stop();
    const proposed = other!.configuration.governing().at(-1);
    assert.equal(proposed?.dataCentre.get("patio")?.region, "region-1");
    await advance(2 * PREPARED_TICKET_TIMEOUT_MILLISECONDS + 3000);
    assert.equal(other!.configuration.governing().length, 1);
});

// A majority would keep admitting work that a committed ticket forbids, when its proposer is isolated.
test("spreads a prepared ticket to nodes that use contact times of nodes with it", async () => {
    const [proposer, ...others] = await startNodes(5);
    const isProposer = (address: string): boolean => address === "http://n0";
    others.forEach(({ faults }) => (faults.down = true));
    proposer!.faults.delay = () => 50;
    cluster.network.isLost = (from, to) => isProposer(from) && to >= "http://n3";
    void proposer!.configuration.apply(dataCentreTicket(1));
    for (let passed = 0; passed < 1000 && !cluster.rows.has("configuration/log/1"); passed += 5) {
        await advance(5);
    }
    cluster.network.isLost = (from, to) => isProposer(from) !== isProposer(to);
    await advance(FRESHNESS_MILLISECONDS + 2000);
    for (const { configuration } of others) {
        assert.equal(configuration.isFresh(Date.now()), true);
        assert.equal(configuration.governing().at(-1)?.dataCentre.get("patio")?.region, "region-1");
    }
});

// A restarted node would replay the whole log, or serve an outdated configuration.
test("starts from the snapshot and from peers, and is not fresh before it is complete", async () => {
    await startNodes(3);
    for (let number = 1; number <= SNAPSHOT_INTERVAL_REVISIONS + 60; number += 1) {
        await apply(number % 3, dataCentreTicket(number));
    }
    assert.ok(cluster.objects.size >= 1);
    await cluster.nodes[2]!.stop();
    setTableDown(true);
    const restarted = await cluster.start(2);
    restarted.faults.down = true;
    assert.equal(restarted.configuration.isFresh(Date.now()), false);
    await advance(4000);
    assert.equal(restarted.configuration.isFresh(Date.now()), true);
    assert.equal(restarted.configuration.current().revision, SNAPSHOT_INTERVAL_REVISIONS + 60);
});

// A mistyped reference would fail requests of callers instead of the operator's ticket.
test("lists all problems of a ticket", async () => {
    const [node] = await startNodes(1);
    const versions = [{ name: "v1", state: "active" as const }];
    const ticket: Ticket = {
        number: 1,
        changes: [
            { kind: "model", name: "small", state: { versions, baseline: "v2", spill: ["small", "none"] } },
            { kind: "cascade", name: "small", state: { steps: ["large"], judge: "none" } },
            {
                kind: "rollout",
                name: "r",
                state: { model: "small", version: "v9", steps: [0.5, 0.2], state: "running" },
            },
        ],
    };
    assert.deepEqual(node!.configuration.check(ticket), [
        'model/small: baseline "v2" is not one of its versions',
        "model/small: spill names the model itself",
        'model/small: spill names "none", which does not exist',
        "cascade/small: a model has the same name",
        'cascade/small: steps names "large", which does not exist',
        'rollout/r: version "v9" of model "small" does not exist',
        "rollout/r: steps must increase",
        "rollout/r: the last step must be 1",
    ]);
    const twice = { number: 1, changes: [...dataCentreTicket(1).changes, ...dataCentreTicket(1).changes] };
    assert.deepEqual(node!.configuration.check(twice), [
        "dataCentre/patio: the ticket changes the entity twice",
    ]);
});
