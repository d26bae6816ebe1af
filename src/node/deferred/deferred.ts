/**
 * Deferred work: accepts jobs with a deadline, runs them in spare capacity, and keeps their results.
 *
 * A job is a row in the table service before the caller gets 202. Any node takes waiting jobs under its worker
 * lease; the job's `take` number fences the writes of a worker that lost its lease. The row that finishes a job
 * carries its bill, so that the job is billed once whichever node writes the bill.
 */
import { randomUUID } from "node:crypto";
import { encodeBill } from "../billing/bill-codec.js";
import type { Bill } from "../billing/billing.js";
import type { Clock } from "../common/clock.js";
import { sha256 } from "../common/hash.js";
import type { Random } from "../common/random.js";
import { jitter } from "../common/random.js";
import { fencingCondition, leaseKey } from "../leases/lease-row.js";
import type { Lease } from "../leases/leases.js";
import type { Lifecycle } from "../lifecycle/lifecycle.js";
import type { Logger } from "../logging/logging.js";
import type { ObjectStore } from "../outside-services/object-store.js";
import { OutsideServiceError } from "../outside-services/table-service.js";
import type { Condition, TableService, Write } from "../outside-services/table-service.js";
import { RouterError, createRejection } from "../verdict/verdict.js";
import {
    INITIAL_TOKENS_PER_SECOND,
    JOBS_PER_SCAN,
    MAXIMUM_JOBS_CONSIDERED,
    MAXIMUM_JOB_RUNS,
    MAXIMUM_RUNNING_JOBS,
    MILLISECONDS_PER_SECOND,
    RATE_WEIGHT,
    SCAN_INTERVAL_MILLISECONDS,
    SCAN_JITTER,
} from "./constants.js";
import {
    UNBILLED_JOB_PREFIX,
    WAITING_JOB_PREFIX,
    chooseJobs,
    createJobId,
    finishedKey,
    fits,
    isUrgent,
    parseJob,
    serialiseJob,
    waitingKey,
} from "./jobs.js";
import type { JobRow, StoredJob } from "./jobs.js";
import { createLapseObserver } from "./lapse-observer.js";

/** A job as a caller hands it in. */
export interface JobSubmission {
    readonly workspace: string;
    readonly path: JobRow["path"];
    /** Body of the completion request. */
    readonly body: object;
    /** Milliseconds since the epoch. */
    readonly deadlineAt: number;
    readonly expectedTokens: number;
    /** Makes a repeated submission return the same job. */
    readonly idempotencyKey: string | undefined;
}

/** A job as its caller sees it. */
export interface JobStatus {
    readonly id: string;
    readonly state: JobRow["state"];
    readonly deadlineAt: number;
    readonly error?: string;
    /** Body of the completion response, once the job is done. */
    readonly result?: unknown;
}

/** How one run of a job ended. */
export type JobRunResult =
    | { readonly kind: "done"; readonly body: string; readonly bill: Bill; readonly tokens: number }
    /** The run may be tried again. */
    | { readonly kind: "failed"; readonly reason: string }
    /** No run can succeed, for example because the model is no longer permitted. */
    | { readonly kind: "refused"; readonly reason: string };

export interface DeferredOptions {
    readonly table: TableService;
    readonly store: ObjectStore;
    /** This node's worker lease. */
    readonly lease: Lease;
    /** Runs a job through dispatch. */
    readonly run: (job: JobRow, urgent: boolean) => Promise<JobRunResult>;
    /** Streams that deferred work may use over all nodes for a model or cascade. */
    readonly streamsFor: (body: object) => number;
    /** Whether interactive work leaves capacity at this node. */
    readonly hasSpareCapacity: () => boolean;
    readonly clock: Clock;
    readonly random: Random;
    readonly lifecycle: Lifecycle;
    readonly logger: Logger;
}

export interface Deferred {
    /**
     * Accepts a job. Its row is durable when the promise resolves.
     *
     * @throws RouterError with verdict `not-run` when it cannot be done in time or cannot be stored.
     */
    submit(submission: JobSubmission): Promise<JobStatus>;
    /** @throws RouterError with status 404 for a job that the workspace does not have. */
    get(workspace: string, id: string): Promise<JobStatus>;
    /** Cancels a job that does not run yet. @throws RouterError */
    cancel(workspace: string, id: string): Promise<JobStatus>;
    /** Takes no more jobs and resolves when the running ones have ended. */
    drain(): Promise<void>;
    dump(): unknown;
}

/** Time that an operation may take the platform, as told to callers. */
const STORE_RETRY_SECONDS = 5;

export function createDeferred(options: DeferredOptions): Deferred {
    const { table, store, clock, lease, logger } = options;
    const lapses = createLapseObserver();
    const running = new Map<string, Promise<void>>();
    let tokensPerSecond = INITIAL_TOKENS_PER_SECOND;
    let draining = false;
    let timer: NodeJS.Timeout | undefined;

    const readJob = async (id: string): Promise<StoredJob | undefined> => {
        const rows = await table.getMany([waitingKey(id), finishedKey(id)]);
        return rows.map(parseJob).at(-1);
    };

    const describe = async (job: JobRow): Promise<JobStatus> => {
        const body = job.result === undefined ? undefined : await store.get(job.result);
        return {
            id: job.id,
            state: job.state,
            deadlineAt: job.deadlineAt,
            ...(job.error === undefined ? {} : { error: job.error }),
            ...(body === undefined ? {} : { result: JSON.parse(body) as unknown }),
        };
    };

    /** Turns a failed call to the platform into a refusal. */
    const guarded = async <Result>(run: () => Promise<Result>): Promise<Result> => {
        try {
            return await run();
        }
        catch (error) {
            if (error instanceof OutsideServiceError) {
                throw createRejection(
                    503,
                    "jobs-unavailable",
                    "the platform's store is not available",
                    STORE_RETRY_SECONDS,
                );
            }
            throw error;
        }
    };

    const acceptedJobs = async (): Promise<readonly JobRow[]> =>
        (await table.scan(WAITING_JOB_PREFIX, { limit: MAXIMUM_JOBS_CONSIDERED })).map(
            row => parseJob(row).job,
        );

    const insert = async (job: JobRow): Promise<JobRow> => {
        const conditions: readonly Condition[] = [
            { kind: "absent", key: waitingKey(job.id) },
            { kind: "absent", key: finishedKey(job.id) },
        ];
        try {
            await table.transact({
                conditions,
                writes: [{ kind: "put", key: waitingKey(job.id), value: serialiseJob(job) }],
            });
        }
        catch (error) {
            if (!(error instanceof OutsideServiceError) || error.outcome === "not-applied") {
                throw error;
            }
            // The answer was lost; reading back tells whether the job is accepted.
        }
        return readBack(job);
    };

    /** Returns the stored job after an insert that may have been applied. */
    const readBack = async (job: JobRow): Promise<JobRow> => {
        let stored: StoredJob | undefined;
        try {
            stored = await readJob(job.id);
        }
        catch (error) {
            throw new RouterError(
                "the job may have been accepted; submit it again with its idempotency key",
                {
                    status: 503,
                    code: "job-unknown-outcome",
                    verdict: "may-have-run",
                    retryAfterSeconds: STORE_RETRY_SECONDS,
                    cause: error,
                },
            );
        }
        if (stored === undefined) {
            throw createRejection(503, "jobs-unavailable", "the job could not be stored", STORE_RETRY_SECONDS);
        }
        return stored.job;
    };

    const submit = async (submission: JobSubmission): Promise<JobStatus> => {
        const body = JSON.stringify(submission.body);
        const bodyHash = sha256(`${submission.path}\n${body}`);
        const { workspace, deadlineAt, idempotencyKey } = submission;
        const unique =
            idempotencyKey === undefined
                ? randomUUID()
                : sha256(`${workspace}\u0000${idempotencyKey}`).slice(0, 32);
        const id = createJobId(deadlineAt, unique);
        const known = idempotencyKey === undefined ? undefined : await readJob(id);
        if (known !== undefined) {
            return describe(sameJob(known.job, bodyHash));
        }
        const capacity = { streams: options.streamsFor(submission.body), tokensPerSecond };
        if (!fits(submission, await acceptedJobs(), capacity, clock.wallTime())) {
            throw createRejection(503, "deadline-not-feasible", "the job cannot be finished by its deadline");
        }
        const job = await insert({
            id,
            workspace,
            path: submission.path,
            body,
            bodyHash,
            deadlineAt,
            acceptedAt: clock.wallTime(),
            expectedTokens: submission.expectedTokens,
            state: "waiting",
            take: "0",
            runs: 0,
        });
        return describe(sameJob(job, bodyHash));
    };

    const sameJob = (job: JobRow, bodyHash: string): JobRow => {
        if (job.bodyHash !== bodyHash) {
            throw createRejection(422, "idempotency-key-reused", "the idempotency key was used with another request");
        }
        return job;
    };

    const findJob = async (workspace: string, id: string): Promise<StoredJob> => {
        const stored = await readJob(id);
        if (stored?.job.workspace !== workspace) {
            throw createRejection(404, "job-unknown", `job "${id}" does not exist`);
        }
        return stored;
    };

    const cancel = async (workspace: string, id: string): Promise<JobStatus> => {
        const stored = await findJob(workspace, id);
        if (stored.job.state !== "waiting") {
            throw createRejection(409, "job-not-waiting", `job "${id}" is ${stored.job.state}`);
        }
        const cancelled: JobRow = { ...stored.job, state: "cancelled" };
        const result = await table.transact({
            conditions: [{ kind: "version", key: stored.key, version: stored.version }],
            writes: finishWrites(cancelled),
        });
        if (!result.applied) {
            throw createRejection(409, "job-not-waiting", `job "${id}" has just been taken`);
        }
        return describe(cancelled);
    };

    /** Takes a job by a conditional write under this node's worker lease. Returns the job, or `undefined`. */
    const take = async (stored: StoredJob): Promise<JobRow | undefined> => {
        const token = lease.token(clock.now());
        if (token === undefined) {
            return undefined;
        }
        const taken: JobRow = {
            ...stored.job,
            state: "running",
            worker: lease.duty,
            workerFencing: token.fencing.toString(),
            take: (BigInt(stored.job.take) + 1n).toString(),
            runs: stored.job.runs + 1,
        };
        const conditions: Condition[] = [
            fencingCondition(token),
            { kind: "version", key: stored.key, version: stored.version },
        ];
        const previous = stored.job.worker;
        if (stored.job.state === "running" && previous !== undefined && previous !== lease.duty) {
            // A renewal since the row was observed would mean that the previous worker is alive.
            const version = lapses.versionOf(previous);
            conditions.push(
                version === 0
                    ? { kind: "absent", key: leaseKey(previous) }
                    : { kind: "version", key: leaseKey(previous), version },
            );
        }
        const result = await table.transact({
            conditions,
            writes: [{ kind: "put", key: stored.key, value: serialiseJob(taken) }],
        });
        return result.applied ? taken : undefined;
    };

    /** Writes a job's next state, unless another worker has taken the job since. */
    const write = async (job: JobRow, next: JobRow): Promise<boolean> => {
        const finished = next.state !== "waiting" && next.state !== "running";
        const result = await table.transact({
            conditions: [{ kind: "field", key: waitingKey(job.id), field: "take", equals: job.take }],
            writes: finished
                ? finishWrites(next)
                : [{ kind: "put", key: waitingKey(job.id), value: serialiseJob(next) }],
        });
        return result.applied;
    };

    /** Repeats a write until the platform gives a certain answer or the job belongs to another worker. */
    const writeUntilCertain = async (job: JobRow, next: JobRow): Promise<boolean> => {
        for (;;) {
            try {
                return await write(job, next);
            }
            catch {
                const stored = await readJob(job.id).catch(() => "unreadable" as const);
                if (stored !== "unreadable") {
                    if (stored?.job.take !== job.take) {
                        return false;
                    }
                    if (stored.job.state === next.state) {
                        return true;
                    }
                }
                await pause(MILLISECONDS_PER_SECOND);
            }
        }
    };

    const putResult = async (name: string, body: string): Promise<void> => {
        for (;;) {
            try {
                await store.put(name, body);
                return;
            }
            catch {
                await pause(MILLISECONDS_PER_SECOND);
            }
        }
    };

    const runJob = async (job: JobRow): Promise<void> => {
        const startedAt = clock.now();
        const result = await options.run(job, isUrgent(job, tokensPerSecond, clock.wallTime()));
        if (result.kind === "done") {
            learnRate(result.tokens, clock.now() - startedAt);
            // The name has the take number, so that a worker that lost the job cannot replace the result.
            const name = `results/${job.id}/${job.take}`;
            await putResult(name, result.body);
            const bill: Bill = { ...result.bill, requestId: `job-${job.id}` };
            const done: JobRow = {
                ...job,
                state: "done",
                result: name,
                bill: JSON.stringify(bill),
            };
            if (await writeUntilCertain(job, done)) {
                await writeBill(done);
            }
            return;
        }
        const gaveUp = result.kind === "refused" || job.runs >= MAXIMUM_JOB_RUNS;
        logger.warn("A run of a job failed.", { job: job.id, reason: result.reason, final: gaveUp });
        await writeUntilCertain(
            job,
            gaveUp
                ? { ...job, state: "failed", error: result.reason }
                : { ...job, state: "waiting", worker: undefined, workerFencing: undefined },
        );
    };

    const learnRate = (tokens: number, milliseconds: number): void => {
        if (tokens > 0 && milliseconds > 0) {
            const rate = (tokens * MILLISECONDS_PER_SECOND) / milliseconds;
            tokensPerSecond += RATE_WEIGHT * (rate - tokensPerSecond);
        }
    };

    /** Puts a finished job's bill under a name of its own, so that repeating the put changes nothing. */
    const writeBill = async (job: JobRow): Promise<void> => {
        try {
            await store.putIfAbsent(`bills/jobs/${job.id}`, encodeBill(JSON.parse(job.bill!) as Bill).text);
            await table.transact({
                conditions: [],
                writes: [{ kind: "delete", key: UNBILLED_JOB_PREFIX + job.id }],
            });
        }
        catch {
            // The marker row is still there, so the next scan of any node repeats it.
        }
    };

    const scan = async (): Promise<void> => {
        const jobs = (await table.scan(WAITING_JOB_PREFIX, { limit: JOBS_PER_SCAN })).map(parseJob);
        const workers = [...new Set(jobs.flatMap(({ job }) => job.worker ?? []))].filter(
            name => name !== lease.duty,
        );
        const rows = workers.length === 0 ? [] : await table.getMany(workers.map(leaseKey));
        lapses.observe(workers, rows, clock.now());
        const chosen = chooseJobs({
            jobs: jobs.filter(({ job }) => !running.has(job.id)),
            isLapsed: job => isAbandoned(job) || lapses.isLapsed(job, clock.now()),
            room: MAXIMUM_RUNNING_JOBS - running.size,
            hasSpareCapacity: options.hasSpareCapacity(),
            tokensPerSecond,
            wallTime: clock.wallTime(),
        });
        for (const stored of chosen) {
            const job = await take(stored);
            if (job !== undefined) {
                start(job);
            }
        }
    };

    /** A running job under this node's own lease that this process does not run, from a lost answer or an earlier start. */
    const isAbandoned = (job: JobRow): boolean => job.worker === lease.duty && !running.has(job.id);

    const start = (job: JobRow): void => {
        running.set(
            job.id,
            runJob(job)
                .catch((error: unknown) =>
                    logger.error("A job could not be run.", { job: job.id, error: String(error) }),
                )
                .finally(() => running.delete(job.id)),
        );
    };

    /** Writes the bills of finished jobs whose worker was lost before it wrote them. */
    const repairBills = async (): Promise<void> => {
        const markers = await table.scan(UNBILLED_JOB_PREFIX, { limit: JOBS_PER_SCAN });
        const ids = markers
            .map(row => row.key.slice(UNBILLED_JOB_PREFIX.length))
            .filter(id => !running.has(id));
        const rows = ids.length === 0 ? [] : await table.getMany(ids.map(finishedKey));
        for (const { job } of rows.map(parseJob)) {
            await writeBill(job);
        }
    };

    const scheduleScan = (): void => {
        timer = setTimeout(
            () => {
                scan()
                    .then(() => (lease.isHeld(clock.now()) ? repairBills() : undefined))
                    .catch(() => undefined)
                    .finally(() => {
                        if (!draining) {
                            scheduleScan();
                        }
                    });
            },
            jitter(SCAN_INTERVAL_MILLISECONDS, SCAN_JITTER, options.random),
        );
    };

    const drain = async (): Promise<void> => {
        draining = true;
        clearTimeout(timer);
        await Promise.all(running.values());
    };

    options.lifecycle.add({
        name: "deferred jobs",
        start: () => {
            scheduleScan();
            return () => {
                draining = true;
                clearTimeout(timer);
            };
        },
    });

    return {
        submit: submission => guarded(() => submit(submission)),
        get: (workspace, id) => guarded(async () => describe((await findJob(workspace, id)).job)),
        cancel: (workspace, id) => guarded(() => cancel(workspace, id)),
        drain,
        dump: () => ({
            running: [...running.keys()],
            tokensPerSecond,
            holdsLease: lease.isHeld(clock.now()),
        }),
    };
}

function finishWrites(job: JobRow): readonly Write[] {
    const writes: Write[] = [
        { kind: "delete", key: waitingKey(job.id) },
        { kind: "put", key: finishedKey(job.id), value: serialiseJob(job) },
    ];
    return job.bill === undefined
        ? writes
        : [...writes, { kind: "put", key: UNBILLED_JOB_PREFIX + job.id, value: {} }];
}

function pause(milliseconds: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, milliseconds).unref());
}
