/** Tests that faulty versions stay within the exposure bounds, and that good versions are completed. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { isWithinBounds, simulateShift } from "./simulated-shift.js";
import type { ShiftOutcome, SimulatedFault } from "./simulated-shift.js";

const SEEDS = Array.from({ length: 20 }, (_, index) => index + 1);

const ROUTES = [
    { name: "book", share: 0.7, errorShare: 0, attempts: 1 },
    { name: "look up", share: 0.3, errorShare: 0.14, attempts: 3 },
];

async function simulateShifts(
    context: TestContext,
    fault: SimulatedFault | undefined,
    requestsPerSecond = 19,
    workMilliseconds?: number,
): Promise<readonly ShiftOutcome[]> {
    const outcomes: ShiftOutcome[] = [];
    for (const seed of SEEDS) {
        outcomes.push(
            await simulateShift(context, {
                seed,
                nodes: 8,
                requestsPerSecond,
                workMilliseconds,
                routes: ROUTES,
                fault,
            }),
        );
    }
    return outcomes;
}

function seedsOutOfBounds(outcomes: readonly ShiftOutcome[]): readonly number[] {
    return SEEDS.filter((_, index) => !isWithinBounds(outcomes[index]!));
}

test("exposure stays within its bounds when a version fails half of its answers", async context => {
    const outcomes = await simulateShifts(context, { kind: "errors", share: 0.5 });
    assert.deepEqual(seedsOutOfBounds(outcomes), []);
});

test("exposure stays within its bounds when half of a version's answers are slow", async context => {
    const outcomes = await simulateShifts(context, { kind: "slow", share: 0.5 });
    assert.deepEqual(seedsOutOfBounds(outcomes), []);
});

test("exposure stays within its bounds when a version fails on one route", async context => {
    const outcomes = await simulateShifts(context, { kind: "one route", share: 0.5 });
    assert.deepEqual(seedsOutOfBounds(outcomes), []);
});

test("exposure stays within its bounds when a version fails under load", async context => {
    const outcomes = await simulateShifts(context, { kind: "under load", share: 0.5 });
    assert.deepEqual(seedsOutOfBounds(outcomes), []);
});

test("exposure stays within its bounds when a version fails once half of its slots are in use", async context => {
    const fault: SimulatedFault = { kind: "half of the slots", share: 0.5 };
    assert.deepEqual(seedsOutOfBounds(await simulateShifts(context, fault, 48, 30)), []);
    assert.deepEqual(seedsOutOfBounds(await simulateShifts(context, fault, 19, 86)), []);
});

test("exposure stays within its bounds when a version turns bad late", async context => {
    const outcomes = await simulateShifts(context, { kind: "late", share: 0.5, startsAt: 3000 });
    assert.deepEqual(seedsOutOfBounds(outcomes), []);
});

test("a good version of a service with failing requests is completed", async context => {
    const outcomes = await simulateShifts(context, undefined);
    assert.deepEqual(
        outcomes.map(({ report }) => report),
        SEEDS.map(() => "completed"),
    );
});
