/** Guards against quarantines that nodes forget when they restart, and rows that are never removed. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { createLifecycle } from "../../lifecycle/lifecycle.js";
import { createRowReplica } from "../../replica/row-replica.js";
import { StoreError } from "../../replica/shared-store.js";
import type { SharedStore, StoreTransaction } from "../../replica/shared-store.js";
import { createQuarantine } from "../quarantine.js";
import type { Quarantine } from "../quarantine.js";
import { createQuarantineRows } from "../quarantine-rows.js";
import { sharedPartsOf } from "../suspects.js";

const BAD = sharedPartsOf([{ id: "bad" }, { id: "own" }]);

/** Store clock minus the nodes' clock, milliseconds. */
const CLOCK_OFFSET_MILLISECONDS = 5000;

interface RowsFixture {
    readonly transactions: readonly StoreTransaction[];
    isStoreUp: boolean;
    startNode(id: string): Promise<Quarantine>;
}

async function createFixture(context: TestContext): Promise<RowsFixture> {
    context.mock.timers.enable({ apis: ["setInterval", "Date"], now: 1_000_000 });
    const replica = createRowReplica();
    replica.apply({ rows: [], revision: 1, epoch: 0, complete: true });
    const transactions: StoreTransaction[] = [];
    let isStoreUp = true;
    const lifecycle = createLifecycle();
    const store: SharedStore = {
        readTable: () => Promise.reject(new StoreError("not used", "not-applied")),
        readChanges: () => Promise.reject(new StoreError("not used", "not-applied")),
        clockOffset: () => CLOCK_OFFSET_MILLISECONDS,
        transact: transaction => {
            if (!isStoreUp) {
                return Promise.reject(new StoreError("down", "not-applied"));
            }
            const holds = transaction.conditions.every(
                ({ key, revision }) => (replica.get(key)?.revision ?? 0) === revision,
            );
            if (holds) {
                transactions.push(transaction);
                const revision = replica.revision + 1;
                const rows = transaction.writes.map(({ key, value }) => ({ key, value, revision }));
                replica.apply({ rows, revision, epoch: 0, complete: false });
            }
            return Promise.resolve(holds);
        },
    };
    const ignore = (): void => undefined;
    await lifecycle.start();
    context.after(() => lifecycle.stop());
    return {
        transactions,
        get isStoreUp() {
            return isStoreUp;
        },
        set isStoreUp(next) {
            isStoreUp = next;
        },
        startNode: async id => {
            const nodes = (): readonly string[] => ["n1", "n2"];
            const quarantine = createQuarantine({
                node: id,
                nodes,
                onQuarantined: ignore,
                onReleased: ignore,
                onNews: ignore,
            });
            const ownLifecycle = createLifecycle();
            createQuarantineRows({
                node: id,
                nodes,
                quarantine,
                replica,
                store,
                clockOffset: () => CLOCK_OFFSET_MILLISECONDS,
                clock: { now: Date.now, wallTime: Date.now },
                lifecycle: ownLifecycle,
                logger: { debug: ignore, info: ignore, warn: ignore, error: ignore },
            });
            // A node that starts reads the rows that exist.
            replica.list("quarantine/").forEach(row => {
                const { lastCrashAt } = JSON.parse(row.value!) as { readonly lastCrashAt: number };
                quarantine.restore(
                    row.key.slice("quarantine/".length),
                    lastCrashAt - CLOCK_OFFSET_MILLISECONDS,
                );
            });
            await ownLifecycle.start();
            context.after(() => ownLifecycle.stop());
            return quarantine;
        },
    };
}

async function pass(context: TestContext, milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += 500) {
        context.mock.timers.tick(500);
        await new Promise(resolve => setImmediate(resolve));
    }
}

async function crashThreeTimes(context: TestContext, node: Quarantine): Promise<void> {
    for (let crash = 0; crash < 3; crash += 1) {
        node.recordBreak(`e${crash}`, BAD, Date.now());
        await pass(context, 500);
    }
}

test("a quarantine is written once, and a node that starts later keeps it", async context => {
    const fixture = await createFixture(context);
    const node = await fixture.startNode("n1");
    await crashThreeTimes(context, node);
    await pass(context, 5000);
    assert.deepEqual(
        fixture.transactions.map(({ writes }) => writes.map(({ key }) => key)),
        [["quarantine/bad"]],
    );
    const later = await fixture.startNode("n2");
    assert.equal(later.reject(BAD, Date.now())?.suspect, "bad");
    const [[, lastCrashAt] = []] = [...later.entries()];
    assert.equal(lastCrashAt, [...node.entries()][0]![1]);
});

test("a node that hears no other node learns a quarantine within a second", async context => {
    const fixture = await createFixture(context);
    const [node, cutOff] = [await fixture.startNode("n1"), await fixture.startNode("n2")];
    await crashThreeTimes(context, node);
    await pass(context, 500);
    assert.equal(cutOff.reject(BAD, Date.now())?.suspect, "bad");
});

test("the row of a revoked quarantine is removed", async context => {
    const fixture = await createFixture(context);
    const node = await fixture.startNode("n1");
    await crashThreeTimes(context, node);
    const sentAt = Date.now() - 400;
    node.recordResponse("e2", sentAt, Date.now());
    await pass(context, 1500);
    assert.equal(node.reject(BAD, Date.now()), undefined);
    assert.equal(fixture.transactions.at(-1)?.writes[0]?.value, undefined);
});

test("an answer at one node removes the row, and releases the part at the others", async context => {
    const fixture = await createFixture(context);
    const [first, second] = [await fixture.startNode("n1"), await fixture.startNode("n2")];
    await crashThreeTimes(context, first);
    await pass(context, 4000);
    assert.equal(second.reject(BAD, Date.now())?.suspect, "bad");
    first.recordAnswer(BAD, Date.now());
    second.merge(
        { ...first.report(Date.now())!, answers: [["bad", 0]], crashes: [], quarantined: [] },
        Date.now(),
    );
    await pass(context, 2000);
    assert.equal(fixture.transactions.at(-1)?.writes[0]?.value, undefined);
    assert.equal(second.reject(BAD, Date.now()), undefined);
});

test("a quarantine is written when the store is back", async context => {
    const fixture = await createFixture(context);
    fixture.isStoreUp = false;
    await crashThreeTimes(context, await fixture.startNode("n1"));
    await pass(context, 4000);
    assert.equal(fixture.transactions.length, 0);
    fixture.isStoreUp = true;
    await pass(context, 1000);
    assert.equal(fixture.transactions.length, 1);
});
