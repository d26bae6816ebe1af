/**
 * Guards against upstreams removed during an outage, kept after they left, or confused with a previous
 * process.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { silentLogging } from "../../logging/logging.js";
import { createUpstreamHealth } from "../upstream-health.js";
import { createUpstreamTable } from "../upstream-table.js";
import type { UpstreamEntry } from "../upstream-table.js";
import { createEntry } from "./upstream-fixtures.js";

function createTable(graceUntil?: number) {
    return createUpstreamTable({
        decode: (_key, value) => (value === "bad" ? undefined : (JSON.parse(value) as UpstreamEntry)),
        lapseGraceUntil: () => graceUntil,
        logger: silentLogging("upstreams"),
    });
}

function change(id: string, overrides: Partial<UpstreamEntry> = {}) {
    return { key: id, revision: 1, value: JSON.stringify(createEntry(id, overrides)) };
}

const removal = { key: "a", revision: 2, value: undefined };

function ids(table: ReturnType<typeof createTable>): readonly string[] {
    return table.usable("engines").map(upstream => upstream.entry.id);
}

test("a leaving upstream is not usable", () => {
    const table = createTable();
    table.apply([change("a"), change("b", { leaving: true })], 0);
    assert.deepEqual(ids(table), ["a"]);
});

test("an upstream is removed at once when its entry is removed outside a grace period", () => {
    const table = createTable();
    table.apply([change("a")], 0);
    table.apply([removal], 1);
    assert.deepEqual(ids(table), []);
});

test("an entry that lapses during a store outage is kept until the grace period ends", () => {
    const table = createTable(1800);
    table.apply([change("a")], 0);
    table.apply([removal], 100);
    table.expire(1700);
    assert.deepEqual(ids(table), ["a"]);
    table.expire(1800);
    assert.deepEqual(ids(table), []);
});

test("an entry that is renewed within the grace period is not removed", () => {
    const table = createTable(1800);
    table.apply([change("a")], 0);
    table.apply([removal], 100);
    table.apply([change("a")], 900);
    table.expire(5000);
    assert.deepEqual(ids(table), ["a"]);
});

test("a leaving upstream gets no grace period", () => {
    const table = createTable(1800);
    table.apply([change("a", { leaving: true })], 0);
    table.apply([removal], 100);
    assert.equal(table.get("a"), undefined);
});

test("a restart with the same id resets the recorded failures", () => {
    const table = createTable();
    table.apply([change("a", { startedAt: 1 })], 0);
    table.get("a")!.health.recordFailure(0);
    table.apply([change("a", { startedAt: 1 })], 1);
    assert.ok(table.get("a")!.health.failureShare() > 0);
    table.apply([change("a", { startedAt: 2, coldMilliseconds: 3000 })], 2);
    assert.equal(table.get("a")!.health.failureShare(), 0);
    assert.equal(table.get("a")!.coldUntil, 3002);
});

test("an invalid entry does not affect other entries", () => {
    const table = createTable();
    table.apply([change("a"), { key: "x", revision: 1, value: "bad" }, change("b")], 0);
    assert.deepEqual(ids(table), ["a", "b"]);
});

test("other nodes are told of an upstream whose process is gone, but not of timeouts", () => {
    const health = createUpstreamHealth();
    health.recordUnreached(0, false);
    assert.deepEqual([health.isAvoided(10), health.isEjected(10)], [true, false]);
    health.recordUnreached(100, true);
    assert.deepEqual([health.isAvoided(110), health.isEjected(110)], [true, true]);
    assert.equal(health.isEjected(1200), false);
});
