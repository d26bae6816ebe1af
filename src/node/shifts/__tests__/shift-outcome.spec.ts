/** Guards against shifts that are completed and then rolled back, which leaves a service without upstreams. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { TestContext } from "node:test";
import fc from "fast-check";
import { resolveShiftSettings } from "../exposure-plan.js";
import type { ShiftOrder } from "../shift.js";
import { advanceTime, createShiftNodes } from "./shift-nodes.js";

const DURATION_MILLISECONDS = 6000;
const SLICE_MILLISECONDS = 500;
const SLICES = 24;

/** Slices after the last event in which all nodes learn the outcome. */
const SETTLE_SLICES = 10;

const order: ShiftOrder = {
    service: "app",
    version: "v2",
    durationMilliseconds: DURATION_MILLISECONDS,
    revision: 9,
};

/** What happens at one node in one slice of time. */
interface NodeEvent {
    readonly slice: number;
    readonly node: number;
    readonly kind: "cut off" | "reconnect" | "store down" | "store up";
}

interface Scenario {
    readonly nodes: number;
    readonly events: readonly NodeEvent[];
    /** Share of the new version's answers that fail, by node. */
    readonly errorShares: readonly number[];
    /** Slice from which they fail. */
    readonly badFrom: number;
}

const scenarios: fc.Arbitrary<Scenario> = fc.record({
    nodes: fc.integer({ min: 2, max: 9 }),
    events: fc.array(
        fc.record({
            slice: fc.nat(SLICES - 1),
            node: fc.nat(8),
            kind: fc.constantFrom("cut off", "reconnect", "store down", "store up"),
        }),
        { maxLength: 12 },
    ),
    errorShares: fc.array(fc.constantFrom(0, 0, 0.5, 1), { minLength: 9, maxLength: 9 }),
    badFrom: fc.nat(SLICES),
});

async function checkOutcome(context: TestContext, scenario: Scenario): Promise<void> {
    context.mock.timers.enable({ apis: ["setInterval", "Date"], now: 100_000 });
    const names = Array.from({ length: scenario.nodes }, (_, index) => `n${index}`);
    const bounds = { exposureShare: 0.15, exposureRequests: 30, sessionMilliseconds: 2000 };
    const nodes = createShiftNodes(names, order, resolveShiftSettings(bounds, DURATION_MILLISECONDS));
    await nodes.lifecycle.start();
    const reports: (string | undefined)[] = [];
    const advance = async (milliseconds: number): Promise<void> => {
        for (let passed = 0; passed < milliseconds; passed += 100) {
            await advanceTime(context.mock.timers, 100);
            reports.push(nodes.report());
        }
    };
    const apply = ({ node, kind }: NodeEvent): void => {
        const name = names[node % names.length]!;
        switch (kind) {
            case "cut off":
                nodes.cutOff(name);
                break;
            case "reconnect":
                nodes.reconnect(name);
                break;
            case "store down":
                nodes.setStoreUp(false);
                break;
            case "store up":
                nodes.setStoreUp(true);
                break;
        }
    };
    const timing = { headMilliseconds: 50, paceMilliseconds: undefined };
    for (let slice = 0; slice < SLICES + SETTLE_SLICES; slice += 1) {
        scenario.events.filter(event => event.slice === slice).forEach(apply);
        if (slice === SLICES) {
            nodes.setStoreUp(true);
            names.forEach(name => nodes.reconnect(name));
        }
        nodes.coordinators.forEach((coordinator, index) => {
            const failures = slice >= scenario.badFrom ? 4 * scenario.errorShares[index]! : 0;
            for (let answer = 0; answer < 4; answer += 1) {
                const outcome = answer < failures ? "failed" : "succeeded";
                coordinator.record("app", "v1", "book", "succeeded", timing, "old");
                coordinator.record("app", "v2", "book", outcome, timing, "new");
            }
        });
        await advance(SLICE_MILLISECONDS);
    }
    await nodes.lifecycle.stop();
    context.mock.timers.reset();

    const completedAt = reports.indexOf("completed");
    if (completedAt >= 0) {
        assert.deepEqual([...new Set(reports.slice(completedAt))], ["completed"]);
    }
    const stages = nodes.coordinators.map(coordinator => coordinator.states().get("app")?.stage);
    assert.deepEqual([...new Set(stages)], [nodes.report()]);
    assert.ok(nodes.report() === "completed" || nodes.report() === "rolled-back", nodes.report());
}

test("a shift of 2 to 9 nodes has one outcome, and a completion is final, whatever is cut off and when", async context => {
    await fc.assert(
        fc.asyncProperty(scenarios, scenario => checkOutcome(context, scenario)),
        { numRuns: Number(process.env.SHIFT_RUNS ?? 40), seed: Number(process.env.SHIFT_SEED ?? 1) },
    );
});
