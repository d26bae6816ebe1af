/** Guards against a budget that rejects new requests for the memory that a few large and slow ones hold. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { createCallerBudget } from "../caller-budget.js";
import type { BudgetHolder, HeldBytes } from "../caller-budget.js";
import { resolveClientLimits } from "../resolve-limits.js";

const MEGABYTE = 1024 * 1024;

function createFixture(maximum: HeldBytes) {
    let now = 0;
    const shed: string[] = [];
    const holders = new Map<string, BudgetHolder>();
    const budget = createCallerBudget({ maximum, now: () => now, onShed: () => undefined });
    const set = (name: string, buffers: number, objects = 0): void => {
        const holder = holders.get(name) ?? { shed: () => shed.push(name) };
        holders.set(name, holder);
        budget.set(holder, { buffers, objects });
    };
    return { budget, shed, set, advance: (milliseconds: number) => (now += milliseconds) };
}

test("an exhausted budget sheds the largest and slowest holder, not the one that arrives", () => {
    const { shed, set, advance } = createFixture({ buffers: 100, objects: 100 });
    set("slow", 40);
    advance(1000);
    set("large", 50);
    advance(10);
    set("new", 20);
    assert.deepEqual(shed, ["slow"]);
});

test("a burst of equal bodies that fills the budget sheds only as many as it must", () => {
    const { budget, shed, set, advance } = createFixture({ buffers: 100, objects: 100 });
    for (let index = 0; index < 12; index += 1) {
        advance(1);
        set(`body ${index}`, 10);
    }
    assert.deepEqual(shed, ["body 0", "body 1"]);
    assert.equal(budget.held().buffers, 100);
});

test("heap and buffers are exhausted apart from each other", () => {
    const { shed, set } = createFixture({ buffers: 100, objects: 10 });
    set("body", 90, 1);
    set("pipeline", 0, 8);
    set("head", 0, 2);
    assert.deepEqual(shed, ["pipeline"]);
});

test("what is given back is not counted any more", () => {
    const { budget, shed, set } = createFixture({ buffers: 100, objects: 100 });
    set("body", 90, 5);
    set("body", 0);
    set("next", 90);
    assert.deepEqual(shed, []);
    assert.deepEqual(budget.held(), { buffers: 90, objects: 0 });
});

test("a budget whose only holder exceeds it sheds that one", () => {
    const { budget, shed, set } = createFixture({ buffers: 100, objects: 100 });
    set("body", 101);
    assert.deepEqual(shed, ["body"]);
    assert.deepEqual(budget.held(), { buffers: 0, objects: 0 });
});

// Values of the known deployments. Their callers open up to a few hundred connections at a node.
test("the limits leave descriptors for upstreams, and room for ordinary callers, on the smallest VM", () => {
    const limits = resolveClientLimits({ memoryMegabytes: 178, fileDescriptors: 2212 }, 67 * MEGABYTE);
    const { callerConnections, handoverConnections, peerConnections, monitoringConnections } = limits;
    assert.ok(callerConnections >= 500, `${callerConnections}`);
    assert.ok(
        2 * (callerConnections + handoverConnections) + peerConnections + 2 * monitoringConnections <
            2212 - 200,
    );
    assert.ok(limits.heldBytes.buffers >= 4 * 4_194_304);
    assert.ok(limits.heldBytes.buffers + limits.heldBytes.objects < (178 - 113) * MEGABYTE);
});

test("the connections of a large VM fit in the heap", () => {
    const limits = resolveClientLimits({ memoryMegabytes: 602, fileDescriptors: 10_250 }, 67 * MEGABYTE);
    assert.ok(limits.callerConnections * 8192 < 20 * MEGABYTE, `${limits.callerConnections}`);
    assert.ok(limits.heldBytes.buffers < 300 * MEGABYTE);
});

test("settings without a usable value still allow some connections", () => {
    const limits = resolveClientLimits({ memoryMegabytes: 0.5, fileDescriptors: 0.5 }, 1);
    assert.ok(limits.callerConnections > 0 && limits.peerConnections > 0);
    assert.ok(limits.heldBytes.buffers > 0 && limits.heldBytes.objects > 0);
});
