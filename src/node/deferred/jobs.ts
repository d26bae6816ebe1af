/**
 * Jobs are deferred completions with a deadline. Defines their rows and keys, and decides which jobs are
 * accepted and run. Performs no I/O.
 *
 * A job id starts with the deadline, so that a short scan of the keys finds the jobs with the earliest
 * deadlines. A finished job moves to another prefix.
 */
import { z } from "zod";
import type { JsonObject } from "../common/json.js";
import type { Row } from "../outside-services/table-service.js";
import { MILLISECONDS_PER_SECOND, URGENT_MARGIN_RUNS } from "./constants.js";

/** Prefix of the rows of waiting and running jobs. */
export const WAITING_JOB_PREFIX = "job/waiting/";
export const FINISHED_JOB_PREFIX = "job/finished/";
/** Prefix of the markers of finished jobs whose bill may not be in the object store yet. */
export const UNBILLED_JOB_PREFIX = "job/unbilled/";

const jobRowSchema = z.object({
    id: z.string(),
    workspace: z.string(),
    path: z.enum(["/v1/chat/completions", "/v1/completions"]),
    /** Body of the completion request, as JSON text. */
    body: z.string(),
    bodyHash: z.string(),
    /** Milliseconds since the epoch. */
    deadlineAt: z.number(),
    acceptedAt: z.number(),
    expectedTokens: z.number(),
    state: z.enum(["waiting", "running", "done", "failed", "cancelled"]),
    /** Name (duty) of the worker lease under which the job runs. */
    worker: z.string().optional(),
    /** Fencing token of the worker's lease when it took the job, decimal. */
    workerFencing: z.string().optional(),
    /** Number of times that a worker took the job, decimal; a write under an older number is rejected. */
    take: z.string(),
    runs: z.number(),
    /** Name of the object that contains the result. */
    result: z.string().optional(),
    error: z.string().optional(),
    /** Bill of the successful run, as JSON text. */
    bill: z.string().optional(),
});

export type JobRow = Readonly<z.infer<typeof jobRowSchema>>;

/** A job with the key and version of its row. */
export interface StoredJob {
    readonly key: string;
    readonly version: number;
    readonly job: JobRow;
}

/** @throws z.ZodError when the row is malformed. */
export function parseJob(row: Row): StoredJob {
    return { key: row.key, version: row.version, job: jobRowSchema.parse(row.value) };
}

export function serialiseJob(job: JobRow): JsonObject {
    return Object.fromEntries(Object.entries(job).filter(([, value]) => value !== undefined)) as JsonObject;
}

const DEADLINE_DIGITS = 15;

/**
 * Returns `DEADLINE-UNIQUE`. The id contains the deadline, so that the row key, which is ordered by deadline,
 * can be derived from the id.
 */
export function createJobId(deadlineAt: number, unique: string): string {
    return `${String(Math.floor(deadlineAt)).padStart(DEADLINE_DIGITS, "0")}-${unique}`;
}

export function waitingKey(id: string): string {
    return WAITING_JOB_PREFIX + id;
}

export function finishedKey(id: string): string {
    return FINISHED_JOB_PREFIX + id;
}

export function predictedRunMilliseconds(
    job: Pick<JobRow, "expectedTokens">,
    tokensPerSecond: number,
): number {
    return (job.expectedTokens / tokensPerSecond) * MILLISECONDS_PER_SECOND;
}

/** Time that a job can still wait and finish before its deadline; negative when it would be late. */
export function marginMilliseconds(
    job: Pick<JobRow, "deadlineAt" | "expectedTokens">,
    tokensPerSecond: number,
    wallTime: number,
): number {
    return job.deadlineAt - wallTime - predictedRunMilliseconds(job, tokensPerSecond);
}

/** Whether a job needs priority over interactive requests to finish before its deadline. */
export function isUrgent(
    job: Pick<JobRow, "deadlineAt" | "expectedTokens">,
    tokensPerSecond: number,
    wallTime: number,
): boolean {
    const margin = marginMilliseconds(job, tokensPerSecond, wallTime);
    return margin < URGENT_MARGIN_RUNS * predictedRunMilliseconds(job, tokensPerSecond);
}

export interface Capacity {
    /** Streams that jobs may use at the same time. */
    readonly streams: number;
    readonly tokensPerSecond: number;
}

/**
 * Whether a job can finish before its deadline without delaying the accepted jobs past theirs: the work due
 * by each deadline must not exceed the capacity until then (the demand criterion of earliest-deadline-first
 * scheduling), and a single stream must be fast enough for the job.
 */
export function isFeasible(
    candidate: Pick<JobRow, "deadlineAt" | "expectedTokens">,
    accepted: readonly Pick<JobRow, "deadlineAt" | "expectedTokens">[],
    capacity: Capacity,
    wallTime: number,
): boolean {
    if (marginMilliseconds(candidate, capacity.tokensPerSecond, wallTime) < 0) {
        return false;
    }
    const byDeadline = [...accepted, candidate].sort((a, b) => a.deadlineAt - b.deadlineAt);
    const tokensPerMillisecond = (capacity.streams * capacity.tokensPerSecond) / MILLISECONDS_PER_SECOND;
    let dueTokens = 0;
    for (const job of byDeadline) {
        dueTokens += job.expectedTokens;
        // Deadlines before the candidate's are not checked: the candidate does not delay them, and a job that
        // is already late does not by itself make later ones late.
        const availableTokens = Math.max(0, job.deadlineAt - wallTime) * tokensPerMillisecond;
        if (job.deadlineAt >= candidate.deadlineAt && dueTokens > availableTokens) {
            return false;
        }
    }
    return true;
}

export interface ChooseJobsInput {
    /** Unfinished jobs, earliest deadline first. */
    readonly jobs: readonly StoredJob[];
    /** Whether the worker of a running job no longer runs it, so that another worker may take the job. */
    readonly isLeaseLost: (job: JobRow) => boolean;
    /** Number of further jobs that this node may run. */
    readonly freeSlots: number;
    /** Whether interactive requests leave capacity at this node. */
    readonly hasSpareCapacity: boolean;
    readonly tokensPerSecond: number;
    readonly wallTime: number;
}

/**
 * Chooses the jobs that this node attempts to take, earliest deadline first. Without spare capacity, only
 * urgent jobs.
 */
export function chooseJobs(input: ChooseJobsInput): readonly StoredJob[] {
    return input.jobs
        .filter(({ job }) => job.state === "waiting" || (job.state === "running" && input.isLeaseLost(job)))
        .filter(({ job }) => input.hasSpareCapacity || isUrgent(job, input.tokensPerSecond, input.wallTime))
        .slice(0, Math.max(0, input.freeSlots));
}
