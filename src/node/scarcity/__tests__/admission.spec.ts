/** Guards against requests that are rejected although there is capacity, or wait past their time. */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { admit, isFree, isMostlyIdle, waitLimit } from "../admission.js";
import type { AdmissionContext, RequestNeeds, UpstreamCapacity } from "../admission.js";

const PLAIN: RequestNeeds = {
    isModel: false,
    promptTokens: 0,
    neededTokens: 0,
    capacityTokens: undefined,
    targetMilliseconds: 149,
    remainingMilliseconds: 630,
};

const MODEL: RequestNeeds = {
    isModel: true,
    promptTokens: 2000,
    neededTokens: 3000,
    capacityTokens: 498_558,
    targetMilliseconds: 2000,
    remainingMilliseconds: 10_000,
};

function createUpstream(overrides: Partial<UpstreamCapacity> = {}): UpstreamCapacity {
    return { slots: 6, requests: 0, heldTokens: 0, pendingTokens: 0, state: "usable", ...overrides };
}

/** A context in which no upstream differs from the others in what it may receive. */
function contextOf(
    upstreams: readonly UpstreamCapacity[],
    needs: RequestNeeds,
    overrides: Partial<AdmissionContext> = {},
): AdmissionContext {
    return {
        upstreams,
        hasFreeUpstream: upstreams.some(upstream => isFree(upstream, needs)),
        hasUpstream: upstreams.some(({ state }) => state === "usable"),
        residenceMilliseconds: 50,
        ownRequests: 1,
        waiting: 0,
        waitingAhead: 0,
        moreUrgentElsewhere: 0,
        ...overrides,
    };
}

function decide(
    upstreams: readonly UpstreamCapacity[],
    needs: RequestNeeds,
    overrides: Partial<AdmissionContext> = {},
) {
    return admit(contextOf(upstreams, needs, overrides), needs);
}

test("engines with much work but free slots get the request", () => {
    const busy = createUpstream({ slots: 64, requests: 50, pendingTokens: 400_000 });
    assert.equal(decide([busy, busy], MODEL).kind, "send");
});

test("a request waits at the node when all engines are full", () => {
    const full = createUpstream({ slots: 64, requests: 71 });
    const admission = decide([full, full], MODEL, { residenceMilliseconds: 5000, ownRequests: 20 });
    assert.equal(admission.kind, "wait");
});

test("a request waits when the memory of all engines is taken", () => {
    const full = createUpstream({ slots: 64, requests: 40, heldTokens: 640_000 });
    assert.equal(decide([full], MODEL, { residenceMilliseconds: 5000 }).kind, "wait");
});

test("a plain request queues at an upstream where it is still answered in time", () => {
    assert.equal(decide([createUpstream({ requests: 20 })], PLAIN).kind, "send");
});

test("a plain request waits while all upstreams reject, and is rejected when its time is over", () => {
    const full = createUpstream({ requests: 30, state: "full" });
    assert.equal(decide([full, full], PLAIN).kind, "wait");
    const late = { ...PLAIN, targetMilliseconds: -400, remainingMilliseconds: 20 };
    const admission = decide([full, full], late);
    assert.ok(admission.kind === "reject" && admission.retryAfterSeconds > 0);
});

test("a plain request does not wait for an upstream whose queue it would not outlast", () => {
    const full = createUpstream({ requests: 30, state: "full" });
    const late = { ...PLAIN, targetMilliseconds: -300, remainingMilliseconds: 180 };
    const admission = decide([full, full], late);
    assert.ok(admission.kind === "reject" && admission.retryAfterSeconds >= 0.2, "when the queue has ended");
    const shortQueue = createUpstream({ requests: 8, state: "full" });
    assert.equal(decide([full, shortQueue], late).kind, "wait");
});

test("a request behind so many others that it certainly begins too late is rejected at once", () => {
    const full = createUpstream({ slots: 64, requests: 80 });
    const overrides = { residenceMilliseconds: 5000, ownRequests: 10, waiting: 60, waitingAhead: 60 };
    assert.equal(decide([full], MODEL, overrides).kind, "reject");
    assert.equal(decide([full], MODEL, { ...overrides, waitingAhead: 3 }).kind, "wait");
});

test("a request leaves the last free slots to more urgent ones that wait at other nodes", () => {
    const upstream = createUpstream({ slots: 64, requests: 61 });
    assert.equal(decide([upstream], MODEL, { moreUrgentElsewhere: 2 }).kind, "send");
    assert.equal(decide([upstream], MODEL, { moreUrgentElsewhere: 3 }).kind, "wait");
});

test("only an attempt shows whether upstreams that failed are back", () => {
    assert.equal(decide([createUpstream({ state: "down" })], PLAIN).kind, "send");
    assert.equal(decide([], PLAIN).kind, "send");
});

const upstream = fc
    .record({
        slots: fc.integer({ min: 1, max: 64 }),
        requests: fc.nat(100),
        heldTokens: fc.nat(1_000_000),
        pendingTokens: fc.nat(1_000_000),
        state: fc.constantFrom("usable" as const, "full" as const, "down" as const),
    })
    .map(createUpstream);

const needs = fc
    .record({
        isModel: fc.boolean(),
        promptTokens: fc.nat(60_000),
        neededTokens: fc.nat(60_000),
        targetMilliseconds: fc.integer({ min: -2000, max: 6000 }),
        remainingMilliseconds: fc.integer({ min: 0, max: 30_000 }),
    })
    .map(fields => ({ ...MODEL, ...fields }));

const situation = fc.record({
    residenceMilliseconds: fc.integer({ min: 1, max: 20_000 }),
    ownRequests: fc.nat(200),
    waiting: fc.nat(50),
    waitingAhead: fc.nat(50),
});

test("no request is rejected while under half of the slots are occupied and nothing waits", () => {
    fc.assert(
        fc.property(fc.array(upstream, { maxLength: 5 }), needs, situation, (upstreams, need, overrides) => {
            const admission = decide(upstreams, need, { ...overrides, waiting: 0, waitingAhead: 0 });
            if (isMostlyIdle(upstreams)) {
                assert.notEqual(admission.kind, "reject");
            }
        }),
    );
});

test("a request with a free slot and nothing ahead is sent, and no wait outlasts the time left", () => {
    fc.assert(
        fc.property(fc.array(upstream, { maxLength: 5 }), needs, situation, (upstreams, need, overrides) => {
            const waitingAhead = Math.min(overrides.waiting, overrides.waitingAhead);
            const context = contextOf(upstreams, need, { ...overrides, waitingAhead });
            const admission = admit(context, need);
            if (context.hasFreeUpstream && waitingAhead === 0) {
                assert.equal(admission.kind, "send");
            }
            if (admission.kind === "wait") {
                assert.ok(admission.milliseconds > 0);
                assert.ok(admission.milliseconds <= need.remainingMilliseconds);
                const limit = waitLimit(need, context.residenceMilliseconds);
                assert.ok(need.isModel ? admission.milliseconds === limit : admission.milliseconds <= limit);
            }
            if (admission.kind === "reject") {
                assert.ok(admission.retryAfterSeconds >= 0.05 && admission.retryAfterSeconds <= 2);
            }
        }),
    );
});
