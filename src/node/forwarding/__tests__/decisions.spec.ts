/** Guards the decisions of a request: retries, budget, models and the cutting of streams. */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { createRoute } from "../../routes/__tests__/route-table.spec.js";
import { nextStep } from "../attempt-policy.js";
import type { RequestProgress } from "../attempt-policy.js";
import { createEventCutter, EventStreamError } from "../event-cutter.js";
import { escalationModel } from "../model-choice.js";
import { createRetryBudget } from "../retry-budget.js";

function createProgress(overrides: Partial<RequestProgress> = {}): RequestProgress {
    return {
        route: createRoute(),
        runs: 1,
        rejections: 0,
        hasBegun: false,
        remainingMilliseconds: 1000,
        hasCandidate: true,
        takeBudget: () => true,
        ...overrides,
    };
}

const lost = { kind: "lost", reason: "reset" } as const;
const notRun = { kind: "not-run", reason: "full" } as const;

test("a booking that may have run is never sent again", () => {
    const route = createRoute({ kind: "once", resumable: false, maximumAttempts: 3 });
    assert.equal(nextStep(lost, createProgress({ route })).kind, "fail");
});

test("a booking that certainly did not run goes elsewhere", () => {
    const route = createRoute({ kind: "once", resumable: false, maximumAttempts: 1 });
    assert.equal(nextStep(notRun, createProgress({ route, runs: 0, rejections: 1 })).kind, "again");
});

test("a stream that cannot be resumed is not sent again", () => {
    const route = createRoute({ resumable: false });
    assert.equal(nextStep(lost, createProgress({ route })).kind, "fail");
});

test("attempts end at the route's limit", () => {
    assert.equal(nextStep(lost, createProgress({ runs: 2 })).kind, "again");
    assert.equal(nextStep(lost, createProgress({ runs: 3 })).kind, "fail");
});

test("a refusal promises only what is true", () => {
    const full = { rejections: 3 };
    assert.equal(nextStep(notRun, createProgress({ runs: 0, ...full })).kind, "refuse");
    assert.equal(nextStep(notRun, createProgress({ runs: 1, ...full })).kind, "fail");
    assert.equal(nextStep(notRun, createProgress({ runs: 0, hasBegun: true, ...full })).kind, "fail");
});

test("an empty budget ends the retries", () => {
    assert.equal(nextStep(lost, createProgress({ takeBudget: () => false })).kind, "fail");
});

test("retries stay below the ratio of requests", () => {
    const budget = createRetryBudget({ ratio: 0.5, windowMilliseconds: 10_000, extra: () => 1 });
    for (let index = 0; index < 10; index++) {
        budget.recordRequest("engines", 100 * index);
    }
    const taken = Array.from({ length: 20 }, () => budget.take("engines", 1000)).filter(Boolean).length;
    assert.equal(taken, 6);
    assert.equal(budget.take("other", 1000), true);
    assert.equal(budget.take("other", 1000), false);
});

test("requests leave the window of the budget", () => {
    const budget = createRetryBudget({ ratio: 1, windowMilliseconds: 10_000, extra: () => 0 });
    budget.recordRequest("engines", 0);
    assert.equal(budget.take("engines", 10_500), false);
});

const models = {
    models: ["small", "middle", "large"],
    current: "small",
    costs: new Map([
        ["small", 0.026],
        ["large", 0.39],
    ]),
    promptTokens: 800,
    maximumOutputTokens: 900,
    expectedOutputTokens: 300,
};
const settings = { evenConfidence: 50, confidenceScale: 5, worthPerThousandTokens: 0.2 };

test("a doubtful answer goes to the largest model", () => {
    assert.equal(escalationModel({ ...models, confidence: 20 }, settings), "large");
    assert.equal(escalationModel({ ...models, confidence: 90 }, settings), undefined);
    assert.equal(escalationModel({ ...models, confidence: undefined }, settings), undefined);
    assert.equal(escalationModel({ ...models, current: "large", confidence: 20 }, settings), undefined);
});

test("a small answer is not worth a long prompt at the large model", () => {
    const long = { ...models, promptTokens: 8000, maximumOutputTokens: 20, expectedOutputTokens: 10 };
    const cheap = { ...settings, worthPerThousandTokens: 0.05 };
    assert.equal(escalationModel({ ...long, confidence: 20 }, cheap), undefined);
});

const EVENTS = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"].join("");

test("events pass whole, however they are split", () => {
    fc.assert(
        fc.property(fc.array(fc.integer({ min: 1, max: 12 }), { maxLength: 40 }), sizes => {
            const cutter = createEventCutter();
            let passed = "";
            let rest = Buffer.from(EVENTS);
            for (const size of [...sizes, EVENTS.length]) {
                passed += cutter.push(rest.subarray(0, size))?.toString() ?? "";
                assert.ok(passed === "" || passed.endsWith("\n\n"));
                rest = rest.subarray(size);
            }
            assert.equal(passed, EVENTS);
            assert.equal(cutter.lastEventId(), "3");
            assert.equal(cutter.pendingBytes(), 0);
        }),
    );
});

test("a resumed stream repeats no event", () => {
    const cutter = createEventCutter();
    cutter.push(Buffer.from("id: 1\ndata: a\n\nid: 2\nda"));
    cutter.discardPending();
    assert.equal(cutter.push(Buffer.from(EVENTS))?.toString(), EVENTS.slice(EVENTS.indexOf("id: 2")));
});

test("an endless event is an error", () => {
    const cutter = createEventCutter();
    assert.throws(() => cutter.push(Buffer.alloc(2 * 1024 * 1024, 97)), EventStreamError);
});
