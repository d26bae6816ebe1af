/** Guards against upstreams that are dropped during an outage, kept after they left, or mistaken for another. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { silentLogging } from "../../logging/logging.js";
import { createRunnerTable } from "../runner-table.js";
import type { RunnerEntry } from "../runner-table.js";
import { createEntry } from "./runners.js";

function createTable(graceUntil?: number) {
    return createRunnerTable({
        decode: (_key, value) => (value === "bad" ? undefined : (JSON.parse(value) as RunnerEntry)),
        lapseGraceUntil: () => graceUntil,
        logger: silentLogging("upstreams"),
    });
}

function change(id: string, overrides: Partial<RunnerEntry> = {}) {
    return { key: id, revision: 1, value: JSON.stringify(createEntry(id, overrides)) };
}

const removal = { key: "a", revision: 2, value: undefined };

function ids(table: ReturnType<typeof createTable>): readonly string[] {
    return table.usable("engines").map(runner => runner.entry.id);
}

test("leaving upstreams are not used", () => {
    const table = createTable();
    table.apply([change("a"), change("b", { leaving: true })], 0);
    assert.deepEqual(ids(table), ["a"]);
});

test("a removed entry is dropped at once", () => {
    const table = createTable();
    table.apply([change("a")], 0);
    table.apply([removal], 1);
    assert.deepEqual(ids(table), []);
});

test("an entry that lapsed with the store stays until its time is over", () => {
    const table = createTable(1800);
    table.apply([change("a")], 0);
    table.apply([removal], 100);
    table.expire(1700);
    assert.deepEqual(ids(table), ["a"]);
    table.expire(1800);
    assert.deepEqual(ids(table), []);
});

test("an entry that comes back in time stays", () => {
    const table = createTable(1800);
    table.apply([change("a")], 0);
    table.apply([removal], 100);
    table.apply([change("a")], 900);
    table.expire(5000);
    assert.deepEqual(ids(table), ["a"]);
});

test("an upstream that was leaving gets no time to come back", () => {
    const table = createTable(1800);
    table.apply([change("a", { leaving: true })], 0);
    table.apply([removal], 100);
    assert.equal(table.get("a"), undefined);
});

test("a restart under the same id forgets the failures", () => {
    const table = createTable();
    table.apply([change("a", { bornAt: 1 })], 0);
    table.get("a")!.health.recordFailure(0);
    table.apply([change("a", { bornAt: 1 })], 1);
    assert.ok(table.get("a")!.health.failureShare() > 0);
    table.apply([change("a", { bornAt: 2, coldMilliseconds: 3000 })], 2);
    assert.equal(table.get("a")!.health.failureShare(), 0);
    assert.equal(table.get("a")!.coldUntil, 3002);
});

test("an entry that cannot be read harms no other", () => {
    const table = createTable();
    table.apply([change("a"), { key: "x", revision: 1, value: "bad" }, change("b")], 0);
    assert.deepEqual(ids(table), ["a", "b"]);
});
