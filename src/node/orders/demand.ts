/** Demand per version: the sum of the nodes' reports. Increases apply immediately, decreases decay slowly. */
import { createTable } from "../tables/table.js";
import type { Table } from "../tables/table.js";
import {
    DEMAND_HALF_LIFE_MILLISECONDS,
    DEMAND_REPORT_VALIDITY_MILLISECONDS,
    MINIMUM_DEMAND,
} from "./constants.js";
import type { DemandReport } from "./messages.js";

interface NodeDemand extends DemandReport {
    readonly receivedAt: number;
}

export interface Demand {
    /** Concurrent requests by version. */
    readonly levels: Table<number>;
    record(report: DemandReport, now: number): void;
    /**
     * Recomputes the levels.
     *
     * @param runningStreams Streams that engines report, by version. They are the minimum demand.
     */
    update(runningStreams: ReadonlyMap<string, number>, now: number): void;
    clear(): void;
}

function decay(milliseconds: number): number {
    return 0.5 ** (Math.max(0, milliseconds) / DEMAND_HALF_LIFE_MILLISECONDS);
}

export function createDemand(): Demand {
    const nodes = createTable<NodeDemand>();
    const levels = createTable<number>();
    let updatedAt = 0;

    const sumReports = (runningStreams: ReadonlyMap<string, number>, now: number): Map<string, number> => {
        const sums = new Map<string, number>();
        for (const [node, report] of nodes.entries()) {
            const weight = decay(now - report.receivedAt - DEMAND_REPORT_VALIDITY_MILLISECONDS);
            if (weight < 0.01) {
                nodes.delete(node);
                continue;
            }
            for (const [version, { waiting, inFlight }] of Object.entries(report.versions)) {
                sums.set(version, (sums.get(version) ?? 0) + (waiting + inFlight) * weight);
            }
        }
        for (const [version, streams] of runningStreams) {
            sums.set(version, Math.max(streams, sums.get(version) ?? 0));
        }
        return sums;
    };

    return {
        levels,
        record: (report, now) => {
            const latest = nodes.get(report.node);
            const isOutdated =
                latest !== undefined &&
                (report.incarnation < latest.incarnation ||
                    (report.incarnation === latest.incarnation && report.sequence <= latest.sequence));
            if (!isOutdated) {
                nodes.set(report.node, { ...report, receivedAt: now });
            }
        },
        update: (runningStreams, now) => {
            const sums = sumReports(runningStreams, now);
            const factor = decay(now - updatedAt);
            updatedAt = now;
            for (const version of new Set([...sums.keys(), ...levels.keys()])) {
                const level = Math.max(sums.get(version) ?? 0, (levels.get(version) ?? 0) * factor);
                if (level < MINIMUM_DEMAND) {
                    levels.delete(version);
                }
                else {
                    levels.set(version, level);
                }
            }
        },
        clear: () => {
            nodes.clear();
            levels.clear();
        },
    };
}
