/** Guards against changes that do not arrive because the connection of one feed has gone silent. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { createSeededRandom } from "../../common/random.js";
import { createLifecycle } from "../../lifecycle/lifecycle.js";
import { silentLogging } from "../../logging/logging.js";
import { createFeedMonitor } from "../feed-monitor.js";
import { createRowReplica } from "../row-replica.js";
import type { RowChange } from "../row-replica.js";
import { TABLE_NAMES } from "../shared-store.js";
import type { TableName } from "../shared-store.js";
import { createStoreSync } from "../store-sync.js";
import { resolveStoreTiming } from "../store-timing.js";

const STORE_TIMEOUT_MILLISECONDS = 900;

interface Reader {
    calls: number;
    /** All open calls get no answer, and neither do those that begin later while it holds `all`. */
    silence: "none" | "all";
    write(table: TableName, key: string): void;
    /** The open feed call of a table gets no answer; later ones do. */
    silenceOpenFeed(table: TableName): void;
    has(table: TableName, key: string): boolean;
    isDisconnected(): boolean;
    advance(milliseconds: number): Promise<void>;
}

/** One node that reads a store whose revisions increase by `step` with each write. */
async function createReader(context: TestContext, applyMilliseconds: number, step = 1): Promise<Reader> {
    context.mock.timers.enable({ apis: ["setTimeout", "setInterval", "Date"] });
    const rows: { table: TableName; row: RowChange }[] = [];
    const openFeeds = new Map<TableName, { isSilent: boolean }>();
    const waiting = new Set<() => void>();
    let revision = 1;
    const changesAfter = (table: TableName, after: number, complete: boolean) => ({
        rows: rows.filter(entry => entry.table === table && entry.row.revision > after).map(({ row }) => row),
        revision,
        epoch: 0,
        complete,
    });
    const replicas = {
        configuration: createRowReplica(),
        runners: createRowReplica(),
        nodes: createRowReplica(),
    };
    const lifecycle = createLifecycle();
    const reader: Reader = {
        calls: 0,
        silence: "none",
        write: (table, key) => {
            revision += step;
            rows.push({ table, row: { key, revision, value: key } });
            [...waiting].forEach(wake => wake());
        },
        silenceOpenFeed: table => {
            openFeeds.get(table)!.isSilent = true;
        },
        has: (table, key) => replicas[table].get(key) !== undefined,
        isDisconnected: () => sync.isDisconnected(),
        advance: async milliseconds => {
            for (let elapsed = 0; elapsed < milliseconds; elapsed += 10) {
                context.mock.timers.tick(10);
                for (let round = 0; round < 20; round += 1) {
                    await Promise.resolve();
                }
            }
        },
    };
    const sync = createStoreSync({
        node: "n",
        dataCentre: "d",
        timing: resolveStoreTiming(applyMilliseconds),
        store: {
            readTable: async table => {
                reader.calls += 1;
                return changesAfter(table, 0, true);
            },
            readChanges: async (table, after, wait) => {
                reader.calls += 1;
                const call = { isSilent: false };
                if (wait > 0) {
                    openFeeds.set(table, call);
                }
                const endsAt = Date.now() + wait;
                while (Date.now() < endsAt && changesAfter(table, after, false).rows.length === 0) {
                    await new Promise<void>(resolve => {
                        waiting.add(resolve);
                        setTimeout(resolve, endsAt - Date.now());
                    });
                }
                if (call.isSilent || reader.silence === "all") {
                    const limit = endsAt + STORE_TIMEOUT_MILLISECONDS - Date.now();
                    await new Promise(resolve => setTimeout(resolve, limit));
                    throw new Error("timed out");
                }
                return changesAfter(table, after, false);
            },
            transact: async () => true,
            clockOffset: () => 0,
        },
        replicas,
        exchange: {
            readFrom: () => Promise.reject(new Error("no peer")),
            completeWaitingCalls: () => undefined,
        },
        relays: () => [],
        nodeCount: () => 1,
        random: createSeededRandom(1),
        clock: { now: Date.now, wallTime: Date.now },
        lifecycle,
        logger: silentLogging("store"),
    });
    await lifecycle.start();
    context.after(() => lifecycle.stop());
    await reader.advance(5000);
    return reader;
}

test("an idle store is called less than with fixed waits", async context => {
    const reader = await createReader(context, 3000);
    const before = reader.calls;
    await reader.advance(20_000);
    const calls = reader.calls - before;
    context.diagnostic(`${calls} calls in 20 s`);
    // Fixed waits of 0.6 and twice 1.9 s with pauses of 0.1 s make 49 calls in this time.
    assert.ok(calls <= 42, `${calls} calls`);
});

// Changes come as on a day without faults, on which a reader made five calls a second with fixed waits.
test("a store whose rows change is called less than with short pauses", async context => {
    const callsOf = async (applyMilliseconds: number): Promise<number> => {
        const reader = await createReader(context, applyMilliseconds);
        const before = reader.calls;
        const random = createSeededRandom(7);
        const changesPerSecond = { configuration: 1, runners: 1.8, nodes: 1.7 };
        for (let index = 0; index < 1600; index += 1) {
            for (const table of TABLE_NAMES.filter(name => random() < changesPerSecond[name] / 40)) {
                reader.write(table, `${index}`);
            }
            await reader.advance(20);
            context.mock.timers.tick(5);
        }
        context.mock.timers.reset();
        return reader.calls - before;
    };
    const [long, short] = [await callsOf(3000), await callsOf(2000)];
    context.diagnostic(`${long} instead of ${short} calls in 40 s`);
    assert.ok(long < 0.75 * short, `${long} instead of ${short} calls`);
});

for (const table of TABLE_NAMES) {
    test(`a change of ${table} arrives when the connection of its feed goes silent`, async context => {
        const reader = await createReader(context, 3000);
        for (let phase = 0; phase < 2000; phase += 130) {
            await reader.advance(4000 + phase);
            reader.silenceOpenFeed(table);
            reader.write(table, `${phase}`);
            await reader.advance(1000);
            assert.ok(reader.has(table, `${phase}`), `phase ${phase}`);
            assert.equal(reader.isDisconnected(), false);
        }
    });
}

test("a silent store is noticed within 1.6 s", async context => {
    const reader = await createReader(context, 3000);
    for (let phase = 0; phase < 2000; phase += 130) {
        await reader.advance(4000 + phase);
        reader.silence = "all";
        await reader.advance(1600);
        assert.equal(reader.isDisconnected(), true, `phase ${phase}`);
        reader.silence = "none";
    }
});

// Each revision then looks as if it belonged to a change that a feed has missed.
test("a store that counts in larger steps is not called more than with fixed waits", async context => {
    const callsOf = async (applyMilliseconds: number): Promise<number> => {
        const reader = await createReader(context, applyMilliseconds, 3);
        const before = reader.calls;
        for (let index = 0; index < 300; index += 1) {
            reader.write("runners", `${index}`);
            await reader.advance(200);
        }
        context.mock.timers.reset();
        return reader.calls - before;
    };
    const [long, short] = [await callsOf(3000), await callsOf(2000)];
    assert.ok(long <= short, `${long} instead of ${short} calls`);
});

test("a revision that a feed brings soon after another one is not checked", () => {
    const monitor = createFeedMonitor();
    const confirm = (table: TableName, revision: number, rows: readonly number[], now: number): void =>
        monitor.recordResponse(
            table,
            { epoch: 0, revision, rows: rows.map(row => ({ revision: row })) },
            now,
        );
    TABLE_NAMES.forEach(table => confirm(table, 10, [], 0));
    TABLE_NAMES.forEach(table => monitor.beginCall(table, 0));
    // Revision 11 is a change of the configuration, revision 12 one of the upstreams.
    confirm("runners", 12, [12], 20);
    confirm("configuration", 12, [11], 40);
    assert.equal(monitor.beginCheck(400), undefined);
    confirm("runners", 14, [14], 410);
    assert.equal(monitor.beginCheck(500), undefined);
    assert.deepEqual(monitor.beginCheck(560), { table: "configuration", reason: "gap" });
});

test("revisions of two epochs are not compared", () => {
    const monitor = createFeedMonitor();
    TABLE_NAMES.forEach(table => monitor.recordResponse(table, { epoch: 0, revision: 90, rows: [] }, 0));
    TABLE_NAMES.forEach(table => monitor.beginCall(table, 0));
    monitor.recordResponse("nodes", { epoch: 1, revision: 95, rows: [] }, 10);
    assert.equal(monitor.beginCheck(300), undefined);
});
