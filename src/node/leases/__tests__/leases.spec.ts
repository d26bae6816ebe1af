import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { silentLogging } from "../../logging/logging.js";
import { OutsideServiceError } from "../../outside-services/table-service.js";
import type { TableService } from "../../outside-services/table-service.js";
import { serialiseLeaseRow, withFencing } from "../lease-row.js";
import { createLeases } from "../leases.js";
import type { Lease } from "../leases.js";
import { createMemoryTable } from "./memory-table.js";

const DURATION = 1000;

interface LeaseNode {
    readonly lease: Lease;
    tick(): Promise<void>;
    stop(): Promise<void>;
}

let now = 0;

function createNode(table: TableService, holder: string): LeaseNode {
    let run: () => void = () => undefined;
    let stop: () => unknown = () => undefined;
    const leases = createLeases({
        table,
        holder,
        durationMilliseconds: DURATION,
        clock: { now: () => now, wallTime: () => now },
        logger: silentLogging("leases"),
        lifecycle: { add: component => (stop = component.start() as () => unknown) },
        ticker: {
            attach: (_name, step, execute) => {
                const queue: Parameters<typeof step>[0][number][] = [];
                run = () => step(queue.splice(0), now).forEach(execute);
                return { post: event => void queue.push(event) };
            },
        },
    });
    return {
        lease: leases.contend("orders"),
        tick: async () => {
            run();
            await new Promise(resolve => setImmediate(resolve));
        },
        stop: async () => void (await stop()),
    };
}

async function advance(milliseconds: number, ...nodes: readonly LeaseNode[]): Promise<void> {
    for (const end = now + milliseconds; now < end; now += 50) {
        for (const node of nodes) {
            await node.tick();
        }
    }
}

/** Writes a row under the lease, with the token of an earlier check. */
function write(table: TableService, lease: NonNullable<ReturnType<Lease["token"]>>, by: string) {
    const value = { by };
    return table.transact(
        withFencing(lease, { conditions: [], writes: [{ kind: "put", key: "protected", value }] }),
    );
}

// Without fencing, a holder that resumes after a pause would overwrite the writes of its successor.
test("the table rejects every write of a holder that was paused at any await", async () => {
    for (let pausedCall = 0; pausedCall < 12; pausedCall += 1) {
        const memory = createMemoryTable();
        let calls = 0;
        let resume: () => void = () => undefined;
        const old = createNode(
            memory.client(() =>
                calls++ === pausedCall ? new Promise(resolve => (resume = resolve)) : Promise.resolve(),
            ),
            "old",
        );
        let token: ReturnType<Lease["token"]>;
        for (let i = 0; i < 40 && calls <= pausedCall; i += 1) {
            await advance(50, old);
            token = old.lease.token(now) ?? token;
        }
        assert.equal(calls, pausedCall + 1);
        const successor = createNode(memory.client(), "successor");
        await advance(3 * DURATION, successor);
        assert.ok(successor.lease.isHeld(now));
        assert.ok(!old.lease.isHeld(now));
        assert.ok((await write(memory.client(), successor.lease.token(now)!, "successor")).applied);
        resume();
        // The resumed call may still be applied; the old holder must not treat it as an acquired lease.
        for (let i = 0; i < 20; i += 1) {
            await advance(50, old, successor);
            assert.ok(!(old.lease.isHeld(now) && successor.lease.isHeld(now)), `call ${pausedCall}`);
        }
        if (token !== undefined) {
            assert.ok(!(await write(memory.client(), token, "old")).applied, `call ${pausedCall}`);
        }
        assert.equal(memory.rows.get("protected")?.value.by, "successor");
    }
});

// Rounding above 2^53 would give two holders the same fencing token.
test("above 2^53 an equal fencing token is accepted and a lower one rejected", async () => {
    const memory = createMemoryTable();
    const fencing = 2n ** 53n;
    const row = serialiseLeaseRow({ holder: "", fencing, durationMilliseconds: DURATION });
    memory.rows.set("lease/orders", { key: "lease/orders", version: 7, value: row });
    const node = createNode(memory.client(), "a");
    await advance(200, node);
    assert.equal(node.lease.token(now)?.fencing, 9_007_199_254_740_993n);
    assert.equal(memory.rows.get("lease/orders")?.value.fencing, "9007199254740993");
    assert.ok((await write(memory.client(), node.lease.token(now)!, "first")).applied);
    assert.ok((await write(memory.client(), node.lease.token(now)!, "again")).applied);
    assert.ok(!(await write(memory.client(), { duty: "orders", fencing }, "lower")).applied);
});

// If the tokens started again, an engine would accept the previous holder, or the table its late write.
test("fencing tokens start at 1, fail without a row and do not restart if the row is deleted", async () => {
    const memory = createMemoryTable();
    assert.ok(!(await write(memory.client(), { duty: "orders", fencing: 1n }, "early")).applied);
    const node = createNode(memory.client(), "a");
    await advance(200, node);
    assert.equal(node.lease.token(now)?.fencing, 1n);
    memory.rows.delete("lease/orders");
    await advance(2 * DURATION, node);
    assert.equal(node.lease.token(now)?.fencing, 2n);
});

// After a hand-back another node must get the lease without waiting, and late writes of the old holder must
// fail.
test("a planned stop hands the lease back", async () => {
    const memory = createMemoryTable();
    const first = createNode(memory.client(), "first");
    const second = createNode(memory.client(), "second");
    await advance(200, first, second);
    const token = first.lease.token(now)!;
    await first.stop();
    assert.ok(!(await write(memory.client(), token, "late")).applied);
    await advance(DURATION / 2, second);
    assert.ok(second.lease.isHeld(now));
});

// Lost answers, outages and pauses must neither give a lease two holders nor leave it without a holder
// afterwards.
test("no lease has two holders under lost answers, delays and pauses", async () => {
    const seed = Date.now() % 2 ** 31;
    console.log(`seed=${seed}`);
    const property = fc.asyncProperty(
        fc.array(fc.tuple(fc.constantFrom("answer", "lose", "reject", "delay"), fc.constantFrom(0, 1, 2)), {
            minLength: 5,
            maxLength: 60,
        }),
        async faultsAndPauses => {
            const memory = createMemoryTable();
            let faults = [...faultsAndPauses];
            const gate = async (phase: "before" | "after"): Promise<void> => {
                const [fault] = faults.shift() ?? ["answer"];
                if (fault === "delay") {
                    const end = now + 1.5 * DURATION;
                    while (now < end) {
                        await new Promise(resolve => setImmediate(resolve));
                    }
                }
                else if (fault === "reject" && phase === "before") {
                    throw new OutsideServiceError("unavailable", "not-applied");
                }
                else if (fault === "lose") {
                    throw new OutsideServiceError("timed out", "unknown");
                }
            };
            const nodes = ["a", "b", "c"].map(id => createNode(memory.client(gate), id));
            const tokens = new Map<string, number>();
            for (const [, paused] of [...faultsAndPauses, ...faultsAndPauses]) {
                await advance(250, ...nodes.filter((_, index) => index !== paused));
                const holders = nodes.flatMap((node, index) => (node.lease.isHeld(now) ? [index] : []));
                assert.ok(holders.length <= 1);
                for (const holder of holders) {
                    const fencing = nodes[holder]!.lease.token(now)!.fencing.toString();
                    assert.equal(tokens.get(fencing) ?? holder, holder, "a fencing token had two holders");
                    tokens.set(fencing, holder);
                }
            }
            faults = [];
            await advance(6 * DURATION, ...nodes);
            assert.equal(nodes.filter(node => node.lease.isHeld(now)).length, 1);
        },
    );
    await fc.assert(property, { seed, numRuns: 25 });
});
