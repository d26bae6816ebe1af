/** Observes the lease rows of workers, to detect that a worker with a running job has lost its lease. */
import { leaseKey, parseLeaseRow } from "../leases/lease-row.js";
import type { Row } from "../outside-services/table-service.js";
import type { JobRow } from "./jobs.js";

interface Observation {
    /** Version of the row; 0 when the row is absent. */
    readonly version: number;
    /** Monotonic time after the first read that returned this version. */
    readonly firstObservedAt: number;
    readonly fencing: string | undefined;
    readonly durationMilliseconds: number;
    /** Whether the lease has no holder, because the worker released it. */
    readonly isReleased: boolean;
}

export interface WorkerLeaseObserver {
    /**
     * Records the lease rows of these workers, as just read; the row of a worker that is not in `rows` is
     * absent. Removes the observations of all other workers.
     */
    observe(workers: readonly string[], rows: readonly Row[], now: number): void;
    /**
     * Whether the worker has certainly lost the lease under which it took the job: the row is absent,
     * released or has another fencing token, or its version has not changed for longer than the duration of
     * the lease.
     */
    isLeaseLost(job: JobRow, now: number): boolean;
    /** Version of the worker's lease row when it was last read; 0 when the row is absent. */
    versionOf(worker: string): number;
}

export function createWorkerLeaseObserver(): WorkerLeaseObserver {
    let observations = new Map<string, Observation>();
    return {
        observe: (workers, rows, now) => {
            const byKey = new Map(rows.map(row => [row.key, row]));
            const next = new Map<string, Observation>();
            for (const worker of workers) {
                const row = byKey.get(leaseKey(worker));
                const lease = row === undefined ? undefined : parseLeaseRow(row.value);
                const version = row?.version ?? 0;
                const previous = observations.get(worker);
                next.set(worker, {
                    version,
                    firstObservedAt: previous?.version === version ? previous.firstObservedAt : now,
                    fencing: lease?.fencing.toString(),
                    durationMilliseconds: lease?.durationMilliseconds ?? 0,
                    isReleased: lease?.holder === "",
                });
            }
            observations = next;
        },
        isLeaseLost: (job, now) => {
            const observation = job.worker === undefined ? undefined : observations.get(job.worker);
            if (observation === undefined) {
                return false;
            }
            return (
                observation.version === 0 ||
                observation.isReleased ||
                observation.fencing !== job.workerFencing ||
                now - observation.firstObservedAt > observation.durationMilliseconds
            );
        },
        versionOf: worker => observations.get(worker)?.version ?? 0,
    };
}
