import assert from "node:assert/strict";
import { afterEach, beforeEach, test } from "node:test";
import { advance, mockTime, restoreTime } from "../../peers/__tests__/time.js";
import type { TicketOutcome } from "../configuration.js";
import { FRESHNESS_MILLISECONDS, SETTLE_MILLISECONDS, SNAPSHOT_REVISIONS } from "../constants.js";
import type { Ticket } from "../entities.js";
import { createTestNodes, dataCentreTicket } from "./test-nodes.js";
import type { TestNode, TestNodes } from "./test-nodes.js";

let cluster: TestNodes;

beforeEach(() => {
    mockTime();
    cluster = createTestNodes(11);
});

afterEach(async () => {
    await cluster.stop();
    restoreTime();
});

async function startNodes(count: number): Promise<readonly TestNode[]> {
    await Promise.all(Array.from({ length: count }, (_, index) => cluster.start(index)));
    await advance(3000);
    return cluster.nodes;
}

async function settled<Result>(promise: Promise<Result>, limitMilliseconds = 10_000): Promise<Result> {
    let isDone = false;
    const watched = promise.finally(() => (isDone = true));
    for (let passed = 0; !isDone && passed < limitMilliseconds; passed += 20) {
        await advance(20);
    }
    assert.ok(isDone, "the call did not end in time");
    return watched;
}

const apply = (index: number, ticket: Ticket): Promise<TicketOutcome> =>
    settled(cluster.nodes[index]!.configuration.apply(ticket));

const freshNodes = (): readonly string[] =>
    cluster.nodes.filter(node => node.configuration.isFresh(Date.now())).map(({ id }) => id);

function setTableDown(isDown: boolean): void {
    cluster.nodes.forEach(({ faults }) => (faults.down = isDown));
}

// A ticket would be in force at some nodes only.
test("brings an accepted ticket into force everywhere", async () => {
    await startNodes(5);
    assert.deepEqual(await apply(0, dataCentreTicket(1)), { kind: "accepted", revision: 1 });
    const report = await settled(cluster.nodes[0]!.configuration.waitUntilInForce(1, 5000));
    assert.deepEqual(report, { revision: 1, inForce: 5, members: 5, missing: [] });
    assert.equal(cluster.nodes[4]!.configuration.current().dataCentre.get("patio")?.region, "region-1");
});

// An operator who repeats a ticket would change the configuration twice, or be told a falsehood.
test("gives the same ticket the same result and refuses its number for another", async () => {
    await startNodes(3);
    await apply(0, dataCentreTicket(5));
    await apply(1, dataCentreTicket(6));
    assert.deepEqual(await apply(2, dataCentreTicket(5)), { kind: "accepted", revision: 1 });
    const reused = await apply(1, dataCentreTicket(5, "patio", "elsewhere"));
    assert.equal(reused.kind === "refused" && reused.reason, "number-reused");
});

// An old ticket that arrives late would undo a newer one.
test("refuses a superseded ticket and names the entity and the higher number", async () => {
    await startNodes(3);
    await apply(0, dataCentreTicket(9));
    const outcome = await apply(1, dataCentreTicket(8));
    assert.equal(outcome.kind === "refused" && outcome.reason, "superseded");
    assert.match((outcome as { detail: string }).detail, /dataCentre\/patio .*ticket 9/);
});

// One of two operators would overwrite the other, or be refused for no reason.
test("accepts the tickets of operators who race each other", async () => {
    await startNodes(5);
    const outcomes = await settled(
        Promise.all(
            [0, 1, 2].map(index =>
                cluster.nodes[index]!.configuration.apply(dataCentreTicket(index + 1, `dc-${index}`)),
            ),
        ),
    );
    const revisions = outcomes.map(outcome => (outcome.kind === "accepted" ? outcome.revision : 0));
    assert.deepEqual([...revisions].sort(), [1, 2, 3]);
});

/** Makes `fault` hit one call of the node after its ticket was prepared: the commit. */
function failCommit(node: TestNode, fault: "losesAnswer" | "lateEffect"): void {
    let isArmed = true;
    const fire = (): boolean => {
        const fires = isArmed && node.configuration.governing().length > 1;
        isArmed &&= !fires;
        return fires;
    };
    node.faults.losesResponse = () => fault === "losesAnswer" && fire();
    node.faults.lateEffect = () => (fault === "lateEffect" && fire() ? 1500 : 0);
}

// A lost answer would be reported as a guess, and a commit that applies late would bring back a refused ticket.
test("resolves a lost answer by reading back, also when the write could apply late", async () => {
    const [author] = await startNodes(3);
    failCommit(author!, "losesAnswer");
    assert.deepEqual(await apply(0, dataCentreTicket(1)), { kind: "accepted", revision: 1 });
    failCommit(author!, "lateEffect");
    assert.deepEqual(await apply(0, dataCentreTicket(2)), { kind: "accepted", revision: 2 });
    await advance(2000);
    assert.equal(cluster.rows.get("configuration/head")?.value["revision"], 2);
});

// An outage right after a commit would be reported as a refusal although the ticket is in force.
test("says unknown while the table cannot tell, and the truth afterwards", async () => {
    const [author] = await startNodes(3);
    failCommit(author!, "losesAnswer");
    const lost = author!.configuration.apply(dataCentreTicket(1));
    for (let passed = 0; passed < 1000 && !cluster.rows.has("configuration/ticket/1"); passed += 5) {
        await advance(5);
    }
    setTableDown(true);
    assert.equal((await settled(lost)).kind, "unknown");
    assert.equal((await apply(1, dataCentreTicket(1))).kind, "unknown");
    setTableDown(false);
    assert.deepEqual(await apply(2, dataCentreTicket(1)), { kind: "accepted", revision: 1 });
});

// A table outage would stop service, or a cut-off node would serve with an old configuration.
test("stays fresh with a majority during an outage, and not with a minority", async () => {
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

// A ticket that only the table knows would be ignored by nodes that cannot read it.
test("refuses a ticket that no majority holds and lifts its restriction", async () => {
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

// A node with a prepared ticket of unknown outcome would serve what the ticket forbids.
test("lets a prepared ticket govern until its outcome is settled", async () => {
    await startNodes(3);
    const [author, other] = cluster.nodes;
    author!.faults.delay = () => (author!.isRunning ? 200 : 0);
    void author!.configuration.apply(dataCentreTicket(1));
    for (let passed = 0; passed < 1000 && other!.configuration.governing().length === 1; passed += 10) {
        await advance(10);
    }
    await author!.stop();
    const proposed = other!.configuration.governing().at(-1);
    assert.equal(proposed?.dataCentre.get("patio")?.region, "region-1");
    await advance(2 * SETTLE_MILLISECONDS + 3000);
    assert.equal(other!.configuration.governing().length, 1);
});

// A majority would go on serving what a ticket forbids, because only its cut-off author knows of the commit.
test("spreads a prepared ticket to nodes that rely on its holders", async () => {
    const [author, ...others] = await startNodes(5);
    const isAuthor = (address: string): boolean => address === "http://n0";
    others.forEach(({ faults }) => (faults.down = true));
    author!.faults.delay = () => 50;
    cluster.network.isLost = (from, to) => isAuthor(from) && to >= "http://n3";
    void author!.configuration.apply(dataCentreTicket(1));
    for (let passed = 0; passed < 1000 && !cluster.rows.has("configuration/log/1"); passed += 5) {
        await advance(5);
    }
    cluster.network.isLost = (from, to) => isAuthor(from) !== isAuthor(to);
    await advance(FRESHNESS_MILLISECONDS + 2000);
    for (const { configuration } of others) {
        assert.equal(configuration.isFresh(Date.now()), true);
        assert.equal(configuration.governing().at(-1)?.dataCentre.get("patio")?.region, "region-1");
    }
});

// A replaced node would replay the whole log, or serve an old configuration.
test("starts from the snapshot and from peers, and serves only when it is complete", async () => {
    await startNodes(3);
    for (let number = 1; number <= SNAPSHOT_REVISIONS + 60; number += 1) {
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
    assert.equal(restarted.configuration.current().revision, SNAPSHOT_REVISIONS + 60);
});

// A mistyped reference would be found by callers instead of the operator.
test("names the problems of a ticket", async () => {
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
        "rollout/r: steps must rise",
        "rollout/r: the last step must be 1",
    ]);
    const twice = { number: 1, changes: [...dataCentreTicket(1).changes, ...dataCentreTicket(1).changes] };
    assert.deepEqual(node!.configuration.check(twice), [
        "dataCentre/patio: the ticket changes the entity twice",
    ]);
});
