import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { createSeededRandom } from "../../common/random.js";
import { MAXIMUM_PENDING_RATINGS, MAXIMUM_RATING_AGE_MILLISECONDS } from "../constants.js";
import { createCascadePolicy } from "../policy.js";
import type { CascadePolicy, CascadeRequest } from "../policy.js";
import { createStatistics } from "../statistics.js";
import type { CascadeDigest } from "../statistics.js";

const STEPS = [
    { cost: 1, milliseconds: 1000 },
    { cost: 10, milliseconds: 4000 },
];

let now = 0;
const random = createSeededRandom(5);

function createPolicy(source = "a/1"): CascadePolicy<string> {
    return createCascadePolicy<string>({
        source,
        taskKind: kind => kind,
        random: createSeededRandom(3),
        wallTime: () => now,
    });
}

function request(id: string, kind: string, remainingMilliseconds = 60_000): CascadeRequest<string> {
    const fields = { workspace: "w", cascade: "c", steps: STEPS, qualityTarget: 0.95 };
    return { ...fields, id, request: kind, remainingMilliseconds };
}

/**
 * Sends requests whose cheap answers get a high rating with probability `adequateShare`; returns the cost per
 * request.
 */
function serve(
    policy: CascadePolicy<string>,
    kind: string,
    adequateShare: number,
    count: number,
    rated = true,
): number {
    let cost = 0;
    for (let i = 0; i < count; i += 1) {
        now += 100;
        const qualities = [random() < adequateShare ? 0.9 : 0.2, 0.9];
        let path = policy.start(request(`${now}`, kind), now);
        for (;;) {
            const quality = qualities[path.step]!;
            cost += STEPS[path.step]!.cost;
            const score = quality + 0.1 * (random() - 0.5);
            const result = { cost: STEPS[path.step]!.cost, score, remainingMilliseconds: 60_000 };
            const decision = policy.next(path, result, now);
            if (decision.kind === "answer") {
                if (rated) {
                    assert.ok(policy.rate(`${now}`, quality, now));
                }
                break;
            }
            path = decision.path;
        }
    }
    return cost / count;
}

/**
 * Share of requests that start at the expensive step. A plan mixes two rules, so the share is rarely exactly
 * 0 or 1.
 */
function expensiveStepShare(policy: CascadePolicy<string>, kind: string): number {
    const starts = Array.from({ length: 200 }, (_, i) => policy.start(request(`s${i}`, kind), now).step);
    return starts.filter(step => step === 1).length / starts.length;
}

test("starts easy kinds at the cheap step and hard kinds at the expensive step", () => {
    const policy = createPolicy();
    for (let i = 0; i < 30; i += 1) {
        serve(policy, "easy", 0.99, 100);
        serve(policy, "hard", 0.02, 100);
    }
    assert.ok(serve(policy, "easy", 0.99, 200) < 2);
    assert.ok(expensiveStepShare(policy, "easy") < 0.05);
    assert.ok(expensiveStepShare(policy, "hard") > 0.8);
});

// Guards against statistics that never expire: requests of a kind would still go to a model long after it got
// worse at that kind.
test("moves a kind to the expensive step after the cheap model gets worse at it", () => {
    const policy = createPolicy();
    serve(policy, "kind", 0.99, 3000);
    assert.ok(expensiveStepShare(policy, "kind") < 0.05);
    for (let i = 0; i < 40; i += 1) {
        now += 300_000;
        serve(policy, "kind", 0.02, 100);
    }
    assert.ok(expensiveStepShare(policy, "kind") > 0.8);
});

// Guards against estimates that decay to their priors, and change the plan, while the rating service is down.
test("keeps the last plan while no ratings arrive", () => {
    const policy = createPolicy();
    for (let i = 0; i < 30; i += 1) {
        serve(policy, "easy", 0.99, 100);
        serve(policy, "hard", 0.02, 100);
    }
    now += MAXIMUM_RATING_AGE_MILLISECONDS + 1;
    const before = JSON.stringify(policy.start(request("x", "hard"), now).rule);
    for (let hour = 0; hour < 10; hour += 1) {
        now += 3_600_000;
        serve(policy, "easy", 0.5, 50, false);
        serve(policy, "hard", 0.9, 50, false);
    }
    assert.equal(JSON.stringify(policy.start(request("y", "hard"), now).rule), before);
});

// Guards against choosing a step whose answer would arrive after the deadline and could not be used.
test("skips steps that cannot answer before the deadline", () => {
    const policy = createPolicy();
    assert.equal(policy.start(request("a", "new"), now).step, 0);
    // 4.5 s is too short for both steps, so the request starts at the larger one.
    assert.equal(policy.start(request("b", "new", 4500), now).step, 1);
    assert.equal(policy.start(request("c", "new", 2000), now).step, 0);
    // 10 ms is too short for any step, so the request starts at the fastest.
    assert.equal(policy.start(request("d", "new", 10), now).step, 0);
    const path = policy.start(request("e", "new"), now);
    const late = policy.next(path, { cost: 1, score: 0, remainingMilliseconds: 3000 }, now);
    assert.equal(late.kind, "answer");
    const early = policy.next(path, { cost: 1, score: 0, remainingMilliseconds: 5000 }, now);
    assert.ok(early.kind === "escalate" && early.path.step === 1);
});

// Guards against unbounded memory when answers are never rated or the task kinds are unbounded.
test("removes the oldest answers that wait for a rating", () => {
    const policy = createPolicy();
    for (let i = 0; i <= MAXIMUM_PENDING_RATINGS; i += 1) {
        const path = policy.start(request(`r${i}`, `kind ${i}`), now);
        policy.next(path, { cost: 1, score: 1, remainingMilliseconds: 0 }, now);
    }
    assert.ok(!policy.rate("r0", 1, now));
    assert.ok(policy.rate(`r${MAXIMUM_PENDING_RATINGS}`, 1, now));
    const { entries } = policy.dump() as { entries: number };
    assert.ok(entries < 200, `${entries} entries`);
});

test("a new node applies the statistics of a merged digest", () => {
    const sender = createPolicy("a/1");
    serve(sender, "hard", 0.02, 3000);
    const receiver = createPolicy("b/1");
    receiver.merge(JSON.parse(JSON.stringify(sender.digest())));
    assert.ok(expensiveStepShare(receiver, "hard") > 0.8);
});

// Guards against counters that depend on the order or number of digests, which may be late or repeated.
test("merges digests in any order, and repeated digests have no effect", () => {
    const seed = Date.now() % 2 ** 31;
    console.log(`seed=${seed}`);
    const amount = fc.nat({ max: 20 });
    const cell = fc.record(
        {
            scope: fc.constant("s"),
            kind: fc.constantFrom("x", "y"),
            step: fc.nat({ max: 1 }),
            range: fc.nat({ max: 1 }),
            from: fc.nat({ max: 1 }),
            visits: amount,
            cost: amount,
            ratings: amount,
            ratingSum: amount,
        },
        { noNullPrototype: true },
    );
    const digests: fc.Arbitrary<CascadeDigest> = fc.record({
        source: fc.constantFrom("a/1", "b/1"),
        epochs: fc.array(fc.record({ epoch: fc.nat({ max: 4 }), cells: fc.array(cell, { maxLength: 4 }) }), {
            maxLength: 3,
        }),
    });
    const merged = (list: readonly CascadeDigest[]): string[] => {
        const statistics = createStatistics("self/1");
        list.forEach(digest => statistics.merge(digest));
        const rounded = statistics
            .totals("s")
            .map(total =>
                JSON.stringify(total, (_key, v: unknown) => (typeof v === "number" ? +v.toFixed(9) : v)),
            );
        return rounded.sort();
    };
    const property = fc.property(fc.array(digests, { maxLength: 5 }), list => {
        const reversed = [...list].reverse();
        assert.deepEqual(merged(reversed), merged(list));
        assert.deepEqual(merged([...list, ...reversed]), merged(list));
    });
    fc.assert(property, { seed, numRuns: 200 });
});
