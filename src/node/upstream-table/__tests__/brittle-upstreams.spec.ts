/** Guards against upstreams that crash under the rejections that the nodes together cause. */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { createBrittleServices } from "../brittle-services.js";
import { createSlotShares } from "../slot-shares.js";

test("a statement holds for the whole service, until its upstreams do not repeat it", () => {
    const brittle = createBrittleServices();
    brittle.record("app", "a", true, 900, 1000);
    assert.equal(brittle.isBrittle("app", 1000), true);
    assert.equal(brittle.isBrittle("engines", 1000), false);
    brittle.record("app", "a", false, 950, 1100);
    assert.equal(brittle.isBrittle("app", 1100), true, "the request is older than the statement");
    brittle.record("app", "a", false, 1200, 1300);
    assert.equal(brittle.isBrittle("app", 1300), false);
});

test("a statement of an upstream that has ended expires", () => {
    const brittle = createBrittleServices();
    brittle.record("app", "a", true, 900, 1000);
    assert.equal(brittle.isBrittle("app", 9000), true);
    assert.equal(brittle.isBrittle("app", 12_000), false);
});

test("other nodes learn of brittle upstreams at once, and again every second", () => {
    const [first, second] = [createBrittleServices(), createBrittleServices()];
    assert.equal(first.report(0), undefined);
    first.record("app", "a", true, 900, 1000);
    second.merge(first.report(1010)!, 1020);
    assert.equal(second.isBrittle("app", 1020), true);
    assert.equal(first.report(1100), undefined);
    assert.deepEqual(first.report(2100), [["app", 1100]]);
    assert.equal(second.report(2100), undefined, "a node passes on what its own upstreams stated");
    assert.equal(second.isBrittle("app", 7000), false);
});

test("the shares of all nodes are exactly the slots of an upstream", () => {
    fc.assert(
        fc.property(
            fc.integer({ min: 0, max: 80 }),
            fc.integer({ min: 1, max: 40 }),
            fc.nat(),
            fc.integer({ min: 0, max: 39 }),
            (slots, count, seed, silentCount) => {
                const nodes = Array.from({ length: count }, (_, index) => `n${seed}-${index}`);
                const silent = new Set(nodes.slice(0, Math.min(silentCount, count - 1)));
                const shares = nodes
                    .filter(node => !silent.has(node))
                    .map(node =>
                        createSlotShares({
                            node,
                            nodes: () => nodes,
                            isActive: other => !silent.has(other),
                        }).shareOf("a", slots, 0),
                    );
                assert.equal(
                    shares.reduce((sum, share) => sum + share, 0),
                    slots,
                );
                assert.ok(Math.max(...shares) - Math.min(...shares) <= 1);
            },
        ),
    );
});

test("slots that cannot be divided evenly go to different nodes at each upstream", () => {
    const nodes = Array.from({ length: 9 }, (_, index) => `n${index}`);
    const shares = createSlotShares({ node: "n0", nodes: () => nodes, isActive: () => true });
    const total = Array.from({ length: 60 }, (_, index) => shares.shareOf(`u${index}`, 6, 0));
    const sum = total.reduce((a, b) => a + b, 0);
    assert.ok(sum > 30 && sum < 50, `${sum} slots of 360 at one of nine nodes`);
});
