/** Guards against replicas that return to older rows or miss the removal of a row. */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { createRowReplica } from "../row-replica.js";
import type { ChangeSet, RowChange } from "../row-replica.js";

function row(key: string, revision: number, value = `v${revision}`): RowChange {
    return { key, revision, value };
}

function removal(key: string, revision: number): RowChange {
    return { key, revision, value: undefined };
}

function changes(revision: number, rows: readonly RowChange[], complete = false, epoch = 0): ChangeSet {
    return { epoch, revision, rows, complete };
}

test("changes of an older revision are not applied", () => {
    const replica = createRowReplica();
    replica.apply(changes(5, [row("a", 5)], true));
    replica.apply(changes(4, [row("a", 3, "old")]));
    assert.equal(replica.get("a")?.value, "v5");
    assert.equal(replica.revision, 5);
});

test("a complete read removes rows that it does not list", () => {
    const replica = createRowReplica();
    replica.apply(changes(2, [row("a", 1), row("b", 2)], true));
    replica.apply(changes(4, [row("a", 1)], true));
    assert.equal(replica.get("b"), undefined);
});

test("listeners receive each change only once", () => {
    const replica = createRowReplica();
    const reported: string[] = [];
    replica.onChange(list => reported.push(...list.map(change => `${change.key}@${change.revision}`)));
    replica.apply(changes(1, [row("a", 1)], true));
    replica.apply(changes(2, [row("a", 1), row("b", 2)]));
    assert.deepEqual(reported, ["a@1", "b@2"]);
});

test("listeners are called for an empty first read", () => {
    const replica = createRowReplica();
    let calls = 0;
    replica.onChange(() => (calls += 1));
    replica.apply(changes(7, [], true));
    assert.equal(calls, 1);
    assert.equal(replica.revision, 7);
});

test("a peer that missed changes receives the removals", () => {
    const source = createRowReplica();
    const peer = createRowReplica();
    source.apply(changes(2, [row("a", 1), row("b", 2)], true));
    peer.apply(source.changesSince({ epoch: 0, revision: 0 }));
    source.apply(changes(3, [removal("a", 3)]));
    peer.apply(source.changesSince({ epoch: 0, revision: peer.revision }));
    assert.deepEqual(
        peer.list().map(change => change.key),
        ["b"],
    );
});

test("replicas do not differ from the store after any sequence of exchanges", () => {
    const step = fc.record({ key: fc.constantFrom("a", "b", "c"), remove: fc.boolean(), sync: fc.boolean() });
    fc.assert(
        fc.property(fc.array(step, { maxLength: 60 }), steps => {
            const store = new Map<string, RowChange>();
            const first = createRowReplica();
            const second = createRowReplica();
            let revision = 1;
            for (const { key, remove, sync } of steps) {
                revision += 1;
                const change = remove ? removal(key, revision) : row(key, revision);
                store.set(key, change);
                first.apply(changes(revision, [change]));
                if (sync) {
                    second.apply(first.changesSince({ epoch: 0, revision: second.revision }));
                }
            }
            second.apply(first.changesSince({ epoch: 0, revision: second.revision }));
            const expected = [...store.values()]
                .filter(change => change.value !== undefined)
                .map(c => c.value);
            const values = (list: readonly RowChange[]) => list.map(change => change.value).sort();
            assert.deepEqual(values(first.list()), expected.sort());
            assert.deepEqual(values(second.list()), expected);
        }),
    );
});

test("a row that was removed before a whole read does not stay at a peer that knew it", () => {
    const relay = createRowReplica();
    const follower = createRowReplica();
    relay.apply(changes(1, [], true));
    follower.apply(changes(2, [{ key: "a", revision: 2, value: "1" }], true));
    relay.apply(changes(3, [], true));
    follower.apply(relay.changesSince(follower));
    assert.equal(follower.get("a"), undefined);
});

test("a removal of a row that a relay has not seen changes its table", () => {
    const relay = createRowReplica();
    relay.apply(changes(1, [], true));
    relay.apply(changes(3, [removal("a", 3)]));
    assert.equal(relay.changedRevision, 3);
});
