import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { createHalts } from "../halts.js";
import { createEvidence } from "../evidence.js";
import type { EvidenceDigest } from "../evidence.js";

const seed = Date.now() % 2 ** 31;
console.log(`seed=${seed}`);

const amount = fc.nat({ max: 50 });
const moments = fc.record({ count: amount, sum: amount, sumOfSquares: amount });
const digests: fc.Arbitrary<EvidenceDigest> = fc.record({
    source: fc.constantFrom("a/1", "a/2", "b/1"),
    cells: fc.array(
        fc.record({
            run: fc.constantFrom("r@1", "r@2"),
            period: fc.nat({ max: 2 }),
            workspace: fc.constantFrom("x", "y"),
            arm: fc.constantFrom("version" as const, "reference" as const),
            counters: fc.record({ answers: amount, errors: amount, ratings: moments, logLatency: moments }),
        }),
        { maxLength: 6 },
    ),
});

function mergeAll(list: readonly EvidenceDigest[]): unknown {
    const evidence = createEvidence("self/1");
    list.forEach(digest => evidence.merge(digest));
    return [evidence.strata("r@1"), evidence.strata("r@2")];
}

// Digests arrive late, repeatedly and in any order. An answer that counts twice would distort the assessment.
test("merged evidence does not depend on the order or repetition of digests", () => {
    const property = fc.property(fc.array(digests, { maxLength: 6 }), fc.array(fc.nat()), (list, order) => {
        const shuffled = list
            .map((digest, index) => ({ digest, rank: order[index % Math.max(1, order.length)] ?? 0 }))
            .sort((a, b) => a.rank - b.rank)
            .map(({ digest }) => digest);
        assert.deepEqual(mergeAll(shuffled), mergeAll(list));
        assert.deepEqual(mergeAll([...shuffled, ...list, ...shuffled.reverse()]), mergeAll(list));
    });
    fc.assert(property, { seed, numRuns: 300 });
});

// A cell holds the counters of one run, period, workspace and arm. A peer may send a node's own old digest
// back: it must not replace newer counters of the node.
test("digest(false) contains the cells changed since the last digest, digest(true) contains all", () => {
    const evidence = createEvidence("a/1");
    const count = (workspace: string): void =>
        evidence.count({ run: "r@1", period: 0, workspace, arm: "version" }, counters => ({
            ...counters,
            answers: counters.answers + 1,
        }));
    count("x");
    const old = evidence.digest(false);
    count("y");
    evidence.merge(old);
    assert.deepEqual(
        evidence.digest(false).cells.map(({ workspace }) => workspace),
        ["y"],
    );
    assert.deepEqual(evidence.digest(false).cells, []);
    assert.equal(evidence.digest(true).cells.length, 2);
    evidence.retain(run => run !== "r@1");
    assert.equal(evidence.size(), 0);
});

// Halts are sent by gossip and arrive in any order. If the merge depended on the order, nodes would limit the
// same version to different shares of the traffic.
test("merged halts do not depend on the order of digests", () => {
    const halt = fc.record(
        {
            name: fc.constantFrom("r", "s"),
            ticket: fc.nat({ max: 2 }),
            share: fc.constantFrom(0, 0.1, 0.5),
            by: fc.constantFrom("a", "b"),
            reason: fc.constantFrom("errors", "ratings"),
        },
        { noNullPrototype: true },
    );
    const property = fc.property(fc.array(halt, { maxLength: 8 }), list => {
        const forward = createHalts();
        const backward = createHalts();
        list.forEach(entry => forward.merge([entry]));
        backward.merge([...list].reverse());
        backward.merge(forward.digest());
        const sort = (halts: typeof forward) =>
            [...halts.digest()].sort((a, b) => (a.name < b.name ? -1 : 1));
        assert.deepEqual(sort(backward), sort(forward));
    });
    fc.assert(property, { seed, numRuns: 300 });
});
