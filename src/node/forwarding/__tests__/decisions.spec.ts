/** Tests of the retry policy, the retry budget, the choice of models and the splitting of event streams. */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { createRoute } from "../../routes/__tests__/route-table.spec.js";
import { attemptsOfHelper, nextStep, nextStepAfterHandover } from "../attempt-policy.js";
import type { RequestProgress } from "../attempt-policy.js";
import { createEventSplitter } from "../event-splitter.js";
import { escalationModel } from "../model-choice.js";
import { createServiceRetryBudget } from "../retry-budget.js";

function createProgress(overrides: Partial<RequestProgress> = {}): RequestProgress {
    return {
        route: createRoute(),
        executions: 1,
        rejections: 0,
        unreached: 0,
        unreachedMilliseconds: 0,
        hasBegun: false,
        isEndAgreed: false,
        canContinue: true,
        isSuspect: false,
        remainingMilliseconds: 1000,
        hasCandidate: true,
        tryConsumeRetry: () => true,
        ...overrides,
    };
}

const lost = { kind: "lost", reason: "reset" } as const;
const notRun = { kind: "not-run", reason: "full" } as const;

test("a non-repeatable request that may have run is not retried", () => {
    const route = createRoute({ kind: "once", resumable: false, maximumAttempts: 3 });
    assert.equal(nextStep(lost, createProgress({ route })).kind, "fail");
});

test("a non-repeatable request that did not run is retried at another upstream", () => {
    const route = createRoute({ kind: "once", resumable: false, maximumAttempts: 1 });
    assert.equal(nextStep(notRun, createProgress({ route, executions: 0, rejections: 1 })).kind, "retry");
});

test("a stream that cannot be resumed is not retried", () => {
    const route = createRoute({ resumable: false });
    assert.equal(nextStep(lost, createProgress({ route })).kind, "fail");
});

test("retries stop at the maximum number of attempts of the route", () => {
    assert.equal(nextStep(lost, createProgress({ executions: 2 })).kind, "retry");
    assert.equal(nextStep(lost, createProgress({ executions: 3 })).kind, "fail");
});

test("a request that may have run fails and is not rejected as not run", () => {
    const atMaximum = { rejections: 3 };
    assert.equal(nextStep(notRun, createProgress({ executions: 0, ...atMaximum })).kind, "reject");
    assert.equal(nextStep(notRun, createProgress({ executions: 1, ...atMaximum })).kind, "fail");
    assert.equal(
        nextStep(notRun, createProgress({ executions: 0, hasBegun: true, ...atMaximum })).kind,
        "fail",
    );
});

test("a request is not retried when the retry budget is exhausted", () => {
    assert.equal(nextStep(lost, createProgress({ tryConsumeRetry: () => false })).kind, "fail");
});

test("an attempt that reached no upstream uses up no retry budget", () => {
    const unreached = { ...notRun, isUnreached: true };
    const withoutBudget = createProgress({ executions: 0, tryConsumeRetry: () => false });
    assert.equal(nextStep(unreached, withoutBudget).kind, "retry");
    assert.equal(nextStep(notRun, withoutBudget).kind, "reject");
});

test("a request that gets to no upstream is not held by timeouts of connections", () => {
    const unreached = { ...notRun, isUnreached: true };
    const progress = createProgress({ executions: 0, unreached: 4, unreachedMilliseconds: 1600 });
    assert.equal(nextStep(unreached, progress).kind, "reject");
    assert.equal(nextStep(unreached, { ...progress, unreachedMilliseconds: 1599 }).kind, "retry");
    assert.equal(
        nextStep(unreached, { ...progress, unreached: 16, unreachedMilliseconds: 0 }).kind,
        "reject",
    );
});

test("a request is not rejected while half of the upstreams refuse connections or are other processes", () => {
    const gone = { ...notRun, isGone: true };
    const progress = createProgress({ executions: 0, unreached: 8, unreachedMilliseconds: 40 });
    assert.equal(nextStep({ ...gone, isUnreached: true }, progress).kind, "retry");
    assert.equal(nextStep({ ...gone, status: 421 }, progress).kind, "retry");
    const withoutBudget = { ...progress, tryConsumeRetry: () => false };
    assert.equal(nextStep({ ...gone, status: 421 }, withoutBudget).kind, "reject");
});

test("a request that a helper may have run is not repeated beyond its attempts, one that it did not know is", () => {
    const once = createRoute({ kind: "once", resumable: false, maximumAttempts: 3 });
    const notExecuted = createProgress({ executions: 0 });
    assert.equal(nextStepAfterHandover(lost, createProgress({ route: once })).kind, "fail");
    assert.equal(nextStepAfterHandover(lost, createProgress({ executions: 3 })).kind, "fail");
    assert.equal(nextStepAfterHandover(lost, createProgress({ executions: 2 })).kind, "retry");
    assert.equal(nextStepAfterHandover({ ...notRun, isUnreached: true }, notExecuted).kind, "retry");
    assert.equal(nextStepAfterHandover({ ...notRun, status: 404 }, notExecuted).kind, "retry");
    assert.equal(nextStepAfterHandover({ ...notRun, status: 503 }, notExecuted).kind, "reject");
    assert.equal(nextStepAfterHandover({ ...notRun, status: 503 }, createProgress()).kind, "fail");
});

test("a helper leaves an attempt for the case that it dies, unless it could not retry itself then", () => {
    const idempotent = createRoute({ kind: "idempotent", resumable: false });
    assert.equal(attemptsOfHelper(idempotent, 3, true), 2);
    assert.equal(attemptsOfHelper(idempotent, 3, false), 3);
    assert.equal(attemptsOfHelper(idempotent, 2, true), 2);
    assert.equal(attemptsOfHelper(createRoute({ kind: "once", resumable: false }), 3, true), 3);
});

test("retries do not exceed the budgeted ratio of requests", () => {
    const budget = createServiceRetryBudget({ ratio: 0.5, windowMilliseconds: 10_000, extra: () => 1 });
    for (let index = 0; index < 10; index++) {
        budget.recordRequest("engines", 100 * index);
    }
    const consumed = Array.from({ length: 20 }, () => budget.tryConsume("engines", 1000)).filter(
        Boolean,
    ).length;
    assert.equal(consumed, 6);
    assert.equal(budget.tryConsume("other", 1000), true);
    assert.equal(budget.tryConsume("other", 1000), false);
});

test("requests older than the window do not add to the retry budget", () => {
    const budget = createServiceRetryBudget({ ratio: 1, windowMilliseconds: 10_000, extra: () => 0 });
    budget.recordRequest("engines", 0);
    assert.equal(budget.tryConsume("engines", 10_500), false);
});

const escalation = {
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

test("only an answer of low confidence is escalated to the largest model", () => {
    assert.equal(escalationModel({ ...escalation, confidence: 20 }, settings), "large");
    assert.equal(escalationModel({ ...escalation, confidence: 90 }, settings), undefined);
    assert.equal(escalationModel({ ...escalation, confidence: undefined }, settings), undefined);
    assert.equal(escalationModel({ ...escalation, current: "large", confidence: 20 }, settings), undefined);
});

test("a short answer to a long prompt is not escalated at a loss", () => {
    const long = { ...escalation, promptTokens: 8000, maximumOutputTokens: 20, expectedOutputTokens: 10 };
    const cheap = { ...settings, worthPerThousandTokens: 0.05 };
    assert.equal(escalationModel({ ...long, confidence: 20 }, cheap), undefined);
});

const EVENTS = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"].join("");

test("events stay whole when chunks split them at any byte", () => {
    fc.assert(
        fc.property(fc.array(fc.integer({ min: 1, max: 12 }), { maxLength: 40 }), sizes => {
            const splitter = createEventSplitter();
            let passed = "";
            let rest = Buffer.from(EVENTS);
            for (const size of [...sizes, EVENTS.length]) {
                passed += splitter.push(rest.subarray(0, size)).events?.toString() ?? "";
                assert.ok(passed === "" || passed.endsWith("\n\n"));
                rest = rest.subarray(size);
            }
            assert.equal(passed, EVENTS);
            assert.equal(splitter.lastEventId(), "3");
            assert.equal(splitter.pendingBytes(), 0);
        }),
    );
});

test("a resumed stream does not repeat events that were sent before", () => {
    const splitter = createEventSplitter();
    splitter.push(Buffer.from("id: 1\ndata: a\n\nid: 2\nda"));
    splitter.beginRun();
    assert.equal(
        splitter.push(Buffer.from(EVENTS)).events?.toString(),
        EVENTS.slice(EVENTS.indexOf("id: 2")),
    );
});

test("an event larger than the maximum size is foreign", () => {
    const splitter = createEventSplitter();
    const { events, foreignReason } = splitter.push(
        Buffer.from(`id: 1\ndata: ${"a".repeat(2 * 1024 * 1024)}`),
    );
    assert.equal(events, undefined);
    assert.match(foreignReason!, /more than 131072 bytes/);
});
