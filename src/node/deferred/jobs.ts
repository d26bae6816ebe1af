/**
 * Jobs: deferred completions with a deadline. Rows, keys, and the decisions about them, free of I/O.
 *
 * A waiting job's key starts with its deadline, so that a short scan finds the most urgent jobs. A finished
 * job moves to another prefix.
 */
import { z } from "zod";
import type { JsonObject } from "../common/json.js";
import type { Row } from "../outside-services/table-service.js";
import { MILLISECONDS_PER_SECOND, URGENT_SLACK_RUNS } from "./constants.js";

export const WAITING_JOB_PREFIX = "job/waiting/";
export const FINISHED_JOB_PREFIX = "job/finished/";
/** Finished jobs whose bill may not be in the object store yet. */
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
    /** Duty of the worker lease under which the job runs. */
    worker: z.string().optional(),
    /** Fencing number of the worker's lease when it took the job, decimal. */
    workerFencing: z.string().optional(),
    /** Increases with each take of the job, decimal; a write of an older take is refused. */
    take: z.string(),
    runs: z.number(),
    /** Name of the result in the object store. */
    result: z.string().optional(),
    error: z.string().optional(),
    /** Bill of the run that finished the job, as JSON text. */
    bill: z.string().optional(),
});

export type JobRow = Readonly<z.infer<typeof jobRowSchema>>;

/** A job with the version of its row. */
export interface StoredJob {
    readonly key: string;
    readonly version: number;
    readonly job: JobRow;
}

/** @throws z.ZodError when the row was not written by this program. */
export function parseJob(row: Row): StoredJob {
    return { key: row.key, version: row.version, job: jobRowSchema.parse(row.value) };
}

export function serialiseJob(job: JobRow): JsonObject {
    return Object.fromEntries(Object.entries(job).filter(([, value]) => value !== undefined)) as JsonObject;
}

const DEADLINE_DIGITS = 15;

/** Id of a job: its deadline, so that its row is found by id, and a unique part. */
export function createJobId(deadlineAt: number, unique: string): string {
    return `${String(Math.floor(deadlineAt)).padStart(DEADLINE_DIGITS, "0")}-${unique}`;
}

export function waitingKey(id: string): string {
    return WAITING_JOB_PREFIX + id;
}

export function finishedKey(id: string): string {
    return FINISHED_JOB_PREFIX + id;
}

/** Milliseconds that a job is predicted to run. */
export function predictedRunMilliseconds(
    job: Pick<JobRow, "expectedTokens">,
    tokensPerSecond: number,
): number {
    return (job.expectedTokens / tokensPerSecond) * MILLISECONDS_PER_SECOND;
}

/** Milliseconds that a job can still wait and be in time. */
export function slackMilliseconds(
    job: Pick<JobRow, "deadlineAt" | "expectedTokens">,
    tokensPerSecond: number,
    wallTime: number,
): number {
    return job.deadlineAt - wallTime - predictedRunMilliseconds(job, tokensPerSecond);
}

/** Whether a job must run before interactive work to be in time. */
export function isUrgent(
    job: Pick<JobRow, "deadlineAt" | "expectedTokens">,
    tokensPerSecond: number,
    wallTime: number,
): boolean {
    const slack = slackMilliseconds(job, tokensPerSecond, wallTime);
    return slack < URGENT_SLACK_RUNS * predictedRunMilliseconds(job, tokensPerSecond);
}

export interface Capacity {
    /** Streams that deferred work may use at a time. */
    readonly streams: number;
    readonly tokensPerSecond: number;
}

/**
 * Whether a job can be done in time together with those accepted before it: for each deadline, the work due by
 * then must fit the capacity until then (the demand criterion of earliest deadline first), and the job itself
 * must fit one stream.
 */
export function fits(
    candidate: Pick<JobRow, "deadlineAt" | "expectedTokens">,
    accepted: readonly Pick<JobRow, "deadlineAt" | "expectedTokens">[],
    capacity: Capacity,
    wallTime: number,
): boolean {
    if (slackMilliseconds(candidate, capacity.tokensPerSecond, wallTime) < 0) {
        return false;
    }
    const byDeadline = [...accepted, candidate].sort((a, b) => a.deadlineAt - b.deadlineAt);
    const tokensPerMillisecond = (capacity.streams * capacity.tokensPerSecond) / MILLISECONDS_PER_SECOND;
    let due = 0;
    for (const job of byDeadline) {
        due += job.expectedTokens;
        // Jobs that are late already do not make the others late by themselves.
        const available = Math.max(0, job.deadlineAt - wallTime) * tokensPerMillisecond;
        if (job.deadlineAt >= candidate.deadlineAt && due > available) {
            return false;
        }
    }
    return true;
}

export interface TakeInput {
    /** Waiting and running jobs, earliest deadline first. */
    readonly jobs: readonly StoredJob[];
    /** Whether the worker that holds a running job has certainly lost its lease. */
    readonly isLapsed: (job: JobRow) => boolean;
    /** Jobs that this node may take now. */
    readonly room: number;
    /** Whether interactive work leaves capacity at this node. */
    readonly hasSpareCapacity: boolean;
    readonly tokensPerSecond: number;
    readonly wallTime: number;
}

/** Chooses the jobs that this node tries to take, most urgent first. */
export function chooseJobs(input: TakeInput): readonly StoredJob[] {
    return input.jobs
        .filter(({ job }) => job.state === "waiting" || (job.state === "running" && input.isLapsed(job)))
        .filter(({ job }) => input.hasSpareCapacity || isUrgent(job, input.tokensPerSecond, input.wallTime))
        .slice(0, Math.max(0, input.room));
}
