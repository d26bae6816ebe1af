/** Table of the upstreams as observed by this node, and the step function that updates it. */
import type { UpstreamObservation } from "../admission/admission.js";
import type { Upstream } from "../configuration/entities.js";
import type { ConfigurationSnapshot } from "../configuration/snapshot.js";
import { createTable } from "../tables/table.js";
import type { Table, WritableTable } from "../tables/table.js";
import {
    CHANGE_BUCKET_MILLISECONDS,
    CHANGE_RETENTION_MILLISECONDS,
    MAXIMUM_LOAD_REPORT_AGE_MILLISECONDS,
    FIRST_TOKEN_SAMPLES,
} from "./constants.js";

/** Load of an upstream as it reports it. */
export interface LoadReport {
    readonly requests: number;
    readonly memoryTokens: number;
    /** Measurement time on the monotonic clock of this node: time of arrival minus the reported age. */
    readonly measuredAt: number;
}

/** Load that this node added within a time bucket. Negative if more requests ended than started. */
interface LoadChange {
    readonly at: number;
    readonly requests: number;
    readonly memoryTokens: number;
}

export interface UpstreamRow {
    readonly name: string;
    readonly configured: Upstream;
    readonly bootId: string | undefined;
    /** Whether the upstream is warm. An upstream in an unknown state counts as cold. */
    readonly isWarm: boolean;
    /** Set by the configuration or by the platform's list of VMs. The upstream gets no new requests. */
    readonly isLeaving: boolean;
    /** Whether operators drained its data centre. The upstream gets no new requests. */
    readonly isDrained: boolean;
    readonly report: LoadReport | undefined;
    /** Running requests that this node sent to the upstream. */
    readonly inFlight: number;
    readonly inFlightTokens: number;
    /** Recent load changes by this node, oldest first. */
    readonly changes: readonly LoadChange[];
    /** Times to the first token since the upstream started, in milliseconds, oldest first. */
    readonly firstTokenMilliseconds: readonly number[];
    /** Number of consecutive failed exchanges. */
    readonly errors: number;
}

export type UpstreamEvent =
    /** A configuration has come into force. */
    | { readonly kind: "configured"; readonly snapshot: ConfigurationSnapshot }
    | { readonly kind: "started"; readonly upstream: string; readonly memoryTokens: number }
    | {
          readonly kind: "ended";
          readonly upstream: string;
          readonly memoryTokens: number;
          readonly observation: UpstreamObservation;
      }
    | { readonly kind: "reported"; readonly upstream: string; readonly report: LoadReport }
    /** Admission classified an upstream as warm or cold. */
    | { readonly kind: "temperature"; readonly upstream: string; readonly isWarm: boolean }
    /** All upstreams that the platform's list of VMs marks as leaving. Replaces the previous set. */
    | { readonly kind: "leaving"; readonly upstreams: ReadonlySet<string> };

/** Event for the other components of the node. */
export interface UpstreamAction {
    /** The boot id of the upstream changed, so the recorded contents of its caches are invalid. */
    readonly kind: "restarted";
    readonly upstream: string;
}

export interface Upstreams {
    readonly table: Table<UpstreamRow>;
    step(events: readonly UpstreamEvent[], now: number): readonly UpstreamAction[];
}

function createRow(name: string, configured: Upstream): UpstreamRow {
    return {
        name,
        configured,
        bootId: undefined,
        isWarm: false,
        isLeaving: false,
        isDrained: false,
        report: undefined,
        inFlight: 0,
        inFlightTokens: 0,
        changes: [],
        firstTokenMilliseconds: [],
        errors: 0,
    };
}

/** Adds the start or end of a request to the load and to the current time bucket. */
function recordLoadChange(
    row: UpstreamRow,
    requests: number,
    memoryTokens: number,
    now: number,
): UpstreamRow {
    const recent = row.changes.filter(({ at }) => now - at <= CHANGE_RETENTION_MILLISECONDS);
    const last = recent.at(-1);
    const isSameBucket = last !== undefined && now - last.at < CHANGE_BUCKET_MILLISECONDS;
    const change = {
        at: isSameBucket ? last.at : now,
        requests: requests + (isSameBucket ? last.requests : 0),
        memoryTokens: memoryTokens + (isSameBucket ? last.memoryTokens : 0),
    };
    return {
        ...row,
        inFlight: Math.max(0, row.inFlight + requests),
        inFlightTokens: Math.max(0, row.inFlightTokens + memoryTokens),
        changes: [...(isSameBucket ? recent.slice(0, -1) : recent), change],
    };
}

function applyObservation(row: UpstreamRow, observation: UpstreamObservation): UpstreamRow {
    const { bootId, succeeded, firstTokenMilliseconds } = observation;
    const hasRestarted = bootId !== undefined && row.bootId !== undefined && bootId !== row.bootId;
    const times = hasRestarted ? [] : row.firstTokenMilliseconds;
    return {
        ...row,
        bootId: bootId ?? row.bootId,
        // Admission decides when the restarted upstream is warm.
        isWarm: row.isWarm && !hasRestarted,
        report: hasRestarted ? undefined : row.report,
        firstTokenMilliseconds:
            firstTokenMilliseconds === undefined
                ? times
                : [...times, firstTokenMilliseconds].slice(-FIRST_TOKEN_SAMPLES),
        errors: succeeded ? 0 : row.errors + 1,
    };
}

/**
 * Estimates the current load of an upstream: its last report, corrected by the load changes of this node
 * since then. Without a recent report, only the load from this node counts.
 */
export function currentLoad(
    row: UpstreamRow,
    now: number,
): { readonly requests: number; readonly memoryTokens: number } {
    const { report } = row;
    const nodeLoad = { requests: row.inFlight, memoryTokens: row.inFlightTokens };
    if (report === undefined || now - report.measuredAt > MAXIMUM_LOAD_REPORT_AGE_MILLISECONDS) {
        return nodeLoad;
    }
    let { requests, memoryTokens } = report;
    for (const change of row.changes) {
        if (change.at > report.measuredAt) {
            requests += change.requests;
            memoryTokens += change.memoryTokens;
        }
    }
    // The load cannot be lower than the load from this node.
    return {
        requests: Math.max(requests, nodeLoad.requests),
        memoryTokens: Math.max(memoryTokens, nodeLoad.memoryTokens),
    };
}

function configure(table: WritableTable<UpstreamRow>, snapshot: ConfigurationSnapshot): void {
    for (const name of [...table.keys()]) {
        if (!snapshot.upstream.has(name)) {
            table.delete(name);
        }
    }
    for (const [name, configured] of snapshot.upstream) {
        const row = table.get(name) ?? createRow(name, configured);
        table.set(name, {
            ...row,
            configured,
            isLeaving: configured.state === "leaving",
            isDrained: snapshot.dataCentre.get(configured.dataCentre)?.state === "drained",
        });
    }
}

export function createUpstreams(): Upstreams {
    const table = createTable<UpstreamRow>();
    let leavingUpstreams: ReadonlySet<string> = new Set();

    const updateLeaving = (): void => {
        for (const [name, row] of table.entries()) {
            const isLeaving = row.configured.state === "leaving" || leavingUpstreams.has(name);
            if (isLeaving !== row.isLeaving) {
                table.set(name, { ...row, isLeaving });
            }
        }
    };

    const apply = (event: UpstreamEvent, now: number): UpstreamAction | undefined => {
        if (event.kind === "configured") {
            configure(table, event.snapshot);
            updateLeaving();
            return undefined;
        }
        if (event.kind === "leaving") {
            leavingUpstreams = event.upstreams;
            updateLeaving();
            return undefined;
        }
        const row = table.get(event.upstream);
        if (row === undefined) {
            return undefined;
        }
        switch (event.kind) {
            case "started":
                table.set(row.name, recordLoadChange(row, 1, event.memoryTokens, now));
                return undefined;
            case "ended": {
                const ended = recordLoadChange(row, -1, -event.memoryTokens, now);
                const next = applyObservation(ended, event.observation);
                table.set(row.name, next);
                const hasRestarted = row.bootId !== undefined && next.bootId !== row.bootId;
                return hasRestarted ? { kind: "restarted", upstream: row.name } : undefined;
            }
            case "reported":
                if (event.report.measuredAt >= (row.report?.measuredAt ?? -Infinity)) {
                    table.set(row.name, { ...row, report: event.report });
                }
                return undefined;
            case "temperature":
                table.set(row.name, { ...row, isWarm: event.isWarm });
                return undefined;
        }
    };

    return {
        table,
        step: (events, now) => events.map(event => apply(event, now)).filter(action => action !== undefined),
    };
}
