import assert from "node:assert/strict";
import { afterEach, beforeEach, test } from "node:test";
import fc from "fast-check";
import { createLeases } from "../../leases/leases.js";
import { createLifecycle } from "../../lifecycle/lifecycle.js";
import { silentLogging } from "../../logging/logging.js";
import { advance, mockTime, restoreTime } from "../../peers/__tests__/time.js";
import {
    createFakeObjectStore,
    createFakeTableService,
    createServiceFaults,
} from "../../outside-services/__tests__/fakes.js";
import type { Row } from "../../outside-services/table-service.js";
import { createTicker } from "../../ticker/ticker.js";
import { RouterError } from "../../verdict/verdict.js";
import { createDeferred } from "../deferred.js";
import type { JobRunResult, JobSubmission } from "../deferred.js";
import { isFeasible } from "../jobs.js";

beforeEach(() => mockTime());
afterEach(restoreTime);

const MINUTE = 60_000;

interface Fixture {
    readonly rows: Map<string, Row>;
    readonly objects: Map<string, string>;
    /** Job ids, one for each run. */
    readonly runs: string[];
}

function createFixture(): Fixture {
    return { rows: new Map(), objects: new Map(), runs: [] };
}

function createWorker(fixture: Fixture, id: string, runMilliseconds = 1000) {
    const faults = createServiceFaults();
    const lifecycle = createLifecycle();
    const clock = { now: () => Date.now(), wallTime: () => Date.now() };
    const ticker = createTicker({
        now: clock.now,
        lifecycle,
        onError: (_system, error) => assert.fail(String(error)),
    });
    const logger = silentLogging("deferred");
    const table = createFakeTableService(faults, fixture.rows);
    const state = { paused: false };
    const leases = createLeases({ table, holder: `${id}/1`, clock, ticker, lifecycle, logger });
    const deferred = createDeferred({
        table,
        store: createFakeObjectStore(faults, fixture.objects),
        lease: leases.contend(`worker-${id}`),
        run: async (job): Promise<JobRunResult> => {
            fixture.runs.push(job.id);
            await new Promise(resolve => setTimeout(resolve, runMilliseconds));
            while (state.paused) {
                await new Promise(resolve => setTimeout(resolve, 100));
            }
            const bill = { workspace: job.workspace, target: "large", version: "large/v1", requestId: "" };
            return {
                kind: "done",
                body: JSON.stringify({ by: id }),
                bill: { ...bill, promptTokens: 1, completionTokens: 2, cost: 3, at: Date.now() },
                tokens: 10,
            };
        },
        streamsFor: () => 10,
        hasSpareCapacity: () => true,
        clock,
        random: () => 0.5,
        lifecycle,
        logger,
    });
    return { deferred, faults, lifecycle, state };
}

function submission(idempotencyKey: string, deadlineAt = Date.now() + 10 * MINUTE): JobSubmission {
    return {
        workspace: "tambores",
        path: "/v1/chat/completions",
        body: { model: "large", idempotencyKey: "" },
        deadlineAt,
        expectedTokens: 100,
        idempotencyKey,
    };
}

function bills(fixture: Fixture): readonly string[] {
    return [...fixture.objects].filter(([name]) => name.startsWith("bills/")).map(([name]) => name);
}

test("a job is accepted, run, stored and billed", async () => {
    const fixture = createFixture();
    const worker = createWorker(fixture, "a");
    await worker.lifecycle.start();
    const job = await worker.deferred.submit(submission("report-1"));
    assert.equal(job.state, "waiting");
    await advance(10_000);
    const done = await worker.deferred.get("tambores", job.id);
    assert.deepEqual([done.state, done.result], ["done", { by: "a" }]);
    assert.deepEqual(bills(fixture), [`bills/jobs/${job.id}`]);
    assert.equal((await worker.deferred.submit(submission("report-1", job.deadlineAt))).state, "done");
    await worker.lifecycle.stop();
});

// Guards against a paused worker that resumes after another worker took its job, and overwrites the result or
// writes a second bill.
test("another worker takes the job of a paused worker, and the job is billed once", async () => {
    const fixture = createFixture();
    const paused = createWorker(fixture, "a");
    const successor = createWorker(fixture, "b");
    await paused.lifecycle.start();
    const job = await paused.deferred.submit(submission("report-1"));
    paused.state.paused = true;
    await advance(5000);
    assert.equal(fixture.runs.length, 1);
    paused.faults.down = true;
    await successor.lifecycle.start();
    await advance(40_000);
    assert.deepEqual((await successor.deferred.get("tambores", job.id)).result, { by: "b" });
    paused.state.paused = false;
    paused.faults.down = false;
    await advance(20_000);
    assert.deepEqual((await paused.deferred.get("tambores", job.id)).result, { by: "b" });
    assert.equal(bills(fixture).length, 1);
    await Promise.all([paused.lifecycle.stop(), successor.lifecycle.stop()]);
});

test("a job is done and billed once after lost responses and an outage of the services", async () => {
    const fixture = createFixture();
    const worker = createWorker(fixture, "a");
    await worker.lifecycle.start();
    let calls = 0;
    // The lookup by idempotency key and the scan before the insert succeed.
    worker.faults.losesResponse = () => (calls += 1) > 2;
    const accepted = await worker.deferred.submit(submission("report-1")).catch((error: unknown) => error);
    worker.faults.losesResponse = () => false;
    // The responses to the insert and to the read that checks for the row were lost. The job may be stored, so
    // the verdict `not-run` would be wrong. The caller submits it again with the same key.
    assert.ok(accepted instanceof RouterError && accepted.verdict === "may-have-run");
    const job = await worker.deferred.submit(submission("report-1"));
    let call = 0;
    worker.faults.losesResponse = () => (call += 1) % 2 === 0;
    await advance(60_000);
    worker.faults.down = true;
    await advance(60_000);
    worker.faults.down = false;
    worker.faults.losesResponse = () => false;
    await advance(60_000);
    assert.equal((await worker.deferred.get("tambores", job.id)).state, "done");
    assert.equal(bills(fixture).length, 1);
    await worker.lifecycle.stop();
});

test("a job that cannot finish before its deadline is rejected as not run", async () => {
    const fixture = createFixture();
    const worker = createWorker(fixture, "a");
    await assert.rejects(
        worker.deferred.submit(submission("late", Date.now() + 1000)),
        (error: unknown) =>
            error instanceof RouterError &&
            error.code === "deadline-not-feasible" &&
            error.verdict === "not-run",
    );
    assert.equal(fixture.rows.size, 0);
});

test("a workspace cannot read or cancel the job of another workspace", async () => {
    const fixture = createFixture();
    const worker = createWorker(fixture, "a");
    const job = await worker.deferred.submit(submission("report-1"));
    await assert.rejects(worker.deferred.get("spogulis", job.id), /does not exist/);
    await assert.rejects(worker.deferred.cancel("spogulis", job.id), /does not exist/);
    assert.equal((await worker.deferred.cancel("tambores", job.id)).state, "cancelled");
});

// Guards against accepting a job that makes an earlier accepted job miss its deadline.
test("accepted jobs finish before their deadlines when they run in the order of their deadlines", () => {
    const jobArbitrary = fc.record({
        deadlineAt: fc.integer({ min: 1, max: 100_000 }),
        expectedTokens: fc.integer({ min: 1, max: 500 }),
    });
    const capacity = { streams: 1, tokensPerSecond: 10 };
    fc.assert(
        fc.property(fc.array(jobArbitrary, { maxLength: 30 }), candidates => {
            const accepted: typeof candidates = [];
            for (const candidate of candidates) {
                if (isFeasible(candidate, accepted, capacity, 0)) {
                    accepted.push(candidate);
                }
            }
            let time = 0;
            for (const job of [...accepted].sort((a, b) => a.deadlineAt - b.deadlineAt)) {
                time += (job.expectedTokens / capacity.tokensPerSecond) * 1000;
                assert.ok(time <= job.deadlineAt + 1e-6);
            }
        }),
    );
});
