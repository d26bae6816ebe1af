/** Observes the lease rows of workers, to tell when a worker that holds a job has lost its lease. */
import { leaseKey, parseLeaseRow } from "../leases/lease-row.js";
import type { Row } from "../outside-services/table-service.js";
import type { JobRow } from "./jobs.js";

interface Observation {
    /** Version of the row; 0 when it is absent. */
    readonly version: number;
    /** Monotonic time after the first read of this version. */
    readonly firstSeenAt: number;
    readonly fencing: string | undefined;
    readonly durationMilliseconds: number;
    readonly handedBack: boolean;
}

export interface LapseObserver {
    /** Takes the rows that were read for these workers; a worker without a row has none. */
    observe(workers: readonly string[], rows: readonly Row[], now: number): void;
    /** Whether the worker has certainly lost the lease under which it took the job. */
    isLapsed(job: JobRow, now: number): boolean;
    /** Version of a worker's lease row that the judgement rests on; 0 when the row is absent. */
    versionOf(worker: string): number;
}

export function createLapseObserver(): LapseObserver {
    let observations = new Map<string, Observation>();
    return {
        observe: (workers, rows, now) => {
            const byKey = new Map(rows.map(row => [row.key, row]));
            const next = new Map<string, Observation>();
            for (const worker of workers) {
                const row = byKey.get(leaseKey(worker));
                const lease = row === undefined ? undefined : parseLeaseRow(row.value);
                const version = row?.version ?? 0;
                const before = observations.get(worker);
                next.set(worker, {
                    version,
                    firstSeenAt: before?.version === version ? before.firstSeenAt : now,
                    fencing: lease?.fencing.toString(),
                    durationMilliseconds: lease?.durationMilliseconds ?? 0,
                    handedBack: lease?.holder === "",
                });
            }
            observations = next;
        },
        isLapsed: (job, now) => {
            const seen = job.worker === undefined ? undefined : observations.get(job.worker);
            if (seen === undefined) {
                return false;
            }
            return (
                seen.version === 0 ||
                seen.handedBack ||
                seen.fencing !== job.workerFencing ||
                now - seen.firstSeenAt > seen.durationMilliseconds
            );
        },
        versionOf: worker => observations.get(worker)?.version ?? 0,
    };
}
