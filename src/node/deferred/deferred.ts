/**
 * Deferred jobs: accepts jobs with a deadline, runs them with spare capacity, and stores their results.
 *
 * A job is stored as a row of the table service before the caller receives status 202. Any node may take a
 * waiting job under its worker lease. The job's `take` number fences the writes of a worker that has lost its
 * lease. The row of a finished job contains its bill, so that the job is billed once, whichever node writes
 * the bill.
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
    TOKEN_RATE_WEIGHT,
    SCAN_INTERVAL_MILLISECONDS,
    SCAN_JITTER,
} from "./constants.js";
import {
    UNBILLED_JOB_PREFIX,
    WAITING_JOB_PREFIX,
    chooseJobs,
    createJobId,
    finishedKey,
    isFeasible,
    isUrgent,
    parseJob,
    serialiseJob,
    waitingKey,
} from "./jobs.js";
import type { JobRow, StoredJob } from "./jobs.js";
import { createWorkerLeaseObserver } from "./worker-lease-observer.js";

/** A job as submitted by a caller. */
export interface JobSubmission {
    readonly workspace: string;
    readonly path: JobRow["path"];
    /** Body of the completion request. */
    readonly body: object;
    /** Milliseconds since the epoch. */
    readonly deadlineAt: number;
    readonly expectedTokens: number;
    /** A repeated submission with the same key returns the same job. */
    readonly idempotencyKey: string | undefined;
}

/** State of a job as returned to its caller. */
export interface JobStatus {
    readonly id: string;
    readonly state: JobRow["state"];
    readonly deadlineAt: number;
    readonly error?: string;
    /** Body of the completion response; present when the job is done. */
    readonly result?: unknown;
}

/** Outcome of one run of a job. */
export type JobRunResult =
    | { readonly kind: "done"; readonly body: string; readonly bill: Bill; readonly tokens: number }
    /** A further run may succeed. */
    | { readonly kind: "failed"; readonly reason: string }
    /** No run can succeed, for example because the model is no longer permitted. */
    | { readonly kind: "rejected"; readonly reason: string };

export interface DeferredOptions {
    readonly table: TableService;
    readonly store: ObjectStore;
    /** This node's worker lease. */
    readonly lease: Lease;
    /** Runs a job through dispatch. Urgent jobs have priority over interactive requests. */
    readonly run: (job: JobRow, urgent: boolean) => Promise<JobRunResult>;
    /** Streams that jobs on all nodes together may use for the model or cascade of a request body. */
    readonly streamsFor: (body: object) => number;
    /** Whether interactive requests leave capacity at this node. */
    readonly hasSpareCapacity: () => boolean;
    readonly clock: Clock;
    readonly random: Random;
    readonly lifecycle: Lifecycle;
    readonly logger: Logger;
}

export interface Deferred {
    /**
     * Accepts a job. The job is stored durably when the promise resolves.
     *
     * @throws RouterError with verdict `not-run` when the job cannot finish before its deadline or cannot be
     * stored; with verdict `may-have-run` when it may have been stored.
     */
    submit(submission: JobSubmission): Promise<JobStatus>;
    /** @throws RouterError with status 404 when the workspace has no such job. */
    get(workspace: string, id: string): Promise<JobStatus>;
    /**
     * Cancels a waiting job.
     *
     * @throws RouterError with status 404 for an unknown job, 409 when the job is not waiting.
     */
    cancel(workspace: string, id: string): Promise<JobStatus>;
    /** Stops taking jobs and resolves when the running jobs have ended. */
    drain(): Promise<void>;
    dump(): unknown;
}

/** Value of `retry-after` when the platform is not available. */
const STORE_RETRY_SECONDS = 5;

export function createDeferred(options: DeferredOptions): Deferred {
    const { table, store, clock, lease, logger } = options;
    const workerLeases = createWorkerLeaseObserver();
    const running = new Map<string, Promise<void>>();
    let tokensPerSecond = INITIAL_TOKENS_PER_SECOND;
    let draining = false;
    let timer: NodeJS.Timeout | undefined;

    const readJob = async (id: string): Promise<StoredJob | undefined> => {
        const rows = await table.getMany([waitingKey(id), finishedKey(id)]);
        return rows.map(parseJob).at(-1);
    };

    const toStatus = async (job: JobRow): Promise<JobStatus> => {
        const body = job.result === undefined ? undefined : await store.get(job.result);
        return {
            id: job.id,
            state: job.state,
            deadlineAt: job.deadlineAt,
            ...(job.error === undefined ? {} : { error: job.error }),
            ...(body === undefined ? {} : { result: JSON.parse(body) as unknown }),
        };
    };

    /** Converts a platform error into a rejection with status 503. */
    const rejectOnPlatformError = async <Result>(run: () => Promise<Result>): Promise<Result> => {
        try {
            return await run();
        }
        catch (error) {
            if (error instanceof OutsideServiceError) {
                throw createRejection(
                    503,
                    "jobs-unavailable",
                    "the platform's table service or object store is not available",
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
            // The write may have been applied; reading the job back shows whether it was.
        }
        return readBack(job);
    };

    /** Reads the stored job after an insert that may have been applied. */
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
            throw createRejection(
                503,
                "jobs-unavailable",
                "the job could not be stored",
                STORE_RETRY_SECONDS,
            );
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
        const existing = idempotencyKey === undefined ? undefined : await readJob(id);
        if (existing !== undefined) {
            return toStatus(requireSameRequest(existing.job, bodyHash));
        }
        const capacity = { streams: options.streamsFor(submission.body), tokensPerSecond };
        if (!isFeasible(submission, await acceptedJobs(), capacity, clock.wallTime())) {
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
        return toStatus(requireSameRequest(job, bodyHash));
    };

    const requireSameRequest = (job: JobRow, bodyHash: string): JobRow => {
        if (job.bodyHash !== bodyHash) {
            throw createRejection(
                422,
                "idempotency-key-reused",
                "the idempotency key was used with another request",
            );
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
        return toStatus(cancelled);
    };

    /**
     * Takes a job by a conditional write under this node's worker lease. Returns `undefined` when the lease
     * is not held or another node has changed the job.
     */
    const takeJob = async (stored: StoredJob): Promise<JobRow | undefined> => {
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
            // A renewal since the observation would change the version; the previous worker would still hold
            // its lease.
            const version = workerLeases.versionOf(previous);
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

    /** Writes the next state of a job. Returns false when another worker has taken the job since. */
    const writeNextState = async (job: JobRow, next: JobRow): Promise<boolean> => {
        const finished = next.state !== "waiting" && next.state !== "running";
        const result = await table.transact({
            conditions: [{ kind: "field", key: waitingKey(job.id), field: "take", equals: job.take }],
            writes: finished
                ? finishWrites(next)
                : [{ kind: "put", key: waitingKey(job.id), value: serialiseJob(next) }],
        });
        return result.applied;
    };

    /**
     * Repeats a write until its outcome is certain. Returns whether the job is in the next state, and false
     * when another worker has taken it.
     */
    const writeUntilCertain = async (job: JobRow, next: JobRow): Promise<boolean> => {
        for (;;) {
            try {
                return await writeNextState(job, next);
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
                await sleep(MILLISECONDS_PER_SECOND);
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
                await sleep(MILLISECONDS_PER_SECOND);
            }
        }
    };

    const runJob = async (job: JobRow): Promise<void> => {
        const startedAt = clock.now();
        const result = await options.run(job, isUrgent(job, tokensPerSecond, clock.wallTime()));
        if (result.kind === "done") {
            updateTokenRate(result.tokens, clock.now() - startedAt);
            // The name contains the take number, so that a worker that lost the job cannot overwrite the
            // result.
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
        const isFinal = result.kind === "rejected" || job.runs >= MAXIMUM_JOB_RUNS;
        logger.warn("A run of a job failed.", { job: job.id, reason: result.reason, final: isFinal });
        await writeUntilCertain(
            job,
            isFinal
                ? { ...job, state: "failed", error: result.reason }
                : { ...job, state: "waiting", worker: undefined, workerFencing: undefined },
        );
    };

    const updateTokenRate = (tokens: number, milliseconds: number): void => {
        if (tokens > 0 && milliseconds > 0) {
            const rate = (tokens * MILLISECONDS_PER_SECOND) / milliseconds;
            tokensPerSecond += TOKEN_RATE_WEIGHT * (rate - tokensPerSecond);
        }
    };

    /**
     * Writes the bill of a finished job to a separate object by put-if-absent, so that the write is
     * idempotent.
     */
    const writeBill = async (job: JobRow): Promise<void> => {
        try {
            await store.putIfAbsent(`bills/jobs/${job.id}`, encodeBill(JSON.parse(job.bill!) as Bill).text);
            await table.transact({
                conditions: [],
                writes: [{ kind: "delete", key: UNBILLED_JOB_PREFIX + job.id }],
            });
        }
        catch {
            // The marker row remains, so the next scan of any node repeats the write.
        }
    };

    const scan = async (): Promise<void> => {
        const jobs = (await table.scan(WAITING_JOB_PREFIX, { limit: JOBS_PER_SCAN })).map(parseJob);
        const workers = [...new Set(jobs.flatMap(({ job }) => job.worker ?? []))].filter(
            name => name !== lease.duty,
        );
        const rows = workers.length === 0 ? [] : await table.getMany(workers.map(leaseKey));
        workerLeases.observe(workers, rows, clock.now());
        const chosen = chooseJobs({
            jobs: jobs.filter(({ job }) => !running.has(job.id)),
            isLeaseLost: job => isOrphaned(job) || workerLeases.isLeaseLost(job, clock.now()),
            freeSlots: MAXIMUM_RUNNING_JOBS - running.size,
            hasSpareCapacity: options.hasSpareCapacity(),
            tokensPerSecond,
            wallTime: clock.wallTime(),
        });
        for (const stored of chosen) {
            const job = await takeJob(stored);
            if (job !== undefined) {
                startJob(job);
            }
        }
    };

    /**
     * Whether a job is marked as running under this node's lease, but this process does not run it: the
     * answer of the conditional write was lost, or an earlier incarnation of the node took the job.
     */
    const isOrphaned = (job: JobRow): boolean => job.worker === lease.duty && !running.has(job.id);

    const startJob = (job: JobRow): void => {
        running.set(
            job.id,
            runJob(job)
                .catch((error: unknown) =>
                    logger.error("An unexpected error ended a run of a job.", {
                        job: job.id,
                        error: String(error),
                    }),
                )
                .finally(() => running.delete(job.id)),
        );
    };

    /** Writes the bills of finished jobs whose worker failed before it wrote them. */
    const writeMissingBills = async (): Promise<void> => {
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
                    .then(() => (lease.isHeld(clock.now()) ? writeMissingBills() : undefined))
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
        submit: submission => rejectOnPlatformError(() => submit(submission)),
        get: (workspace, id) =>
            rejectOnPlatformError(async () => toStatus((await findJob(workspace, id)).job)),
        cancel: (workspace, id) => rejectOnPlatformError(() => cancel(workspace, id)),
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

function sleep(milliseconds: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, milliseconds).unref());
}
