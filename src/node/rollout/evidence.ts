/**
 * Evidence about versions: cumulative counters per source (node and incarnation), run of a rollout, period,
 * workspace and arm. States of one source merge by maximum, so repeated digests do not count twice.
 */
import { z } from "zod";
import { MAXIMUM_WORKSPACES, OTHER_WORKSPACES } from "./constants.js";
import { NO_COUNTERS, addCounters, isZero, mergeCounters, subtractCounters } from "./counters.js";
import type { Counters } from "./counters.js";
import type { Stratum } from "./sequential-test.js";

/** Version that is rolled out, or the model's baseline as its reference. */
export type Arm = "version" | "reference";

/** Total evidence of a workspace in a period. */
export interface EvidenceStratum extends Stratum {
    /** Number of the period; increases within a run. */
    readonly period: number;
    readonly workspace: string;
}

const amount = z.number().min(0);
const momentsSchema = z.object({ count: amount, sum: amount, sumOfSquares: amount }).readonly();
const countersSchema = z
    .object({ answers: amount, errors: amount, ratings: momentsSchema, logLatency: momentsSchema })
    .readonly();

const cellSchema = z
    .object({
        /** `NAME@TICKET`. */
        run: z.string(),
        period: z.int().min(0),
        workspace: z.string(),
        arm: z.enum(["version", "reference"]),
        counters: countersSchema,
    })
    .readonly();

/** Counters of one source, as sent to other nodes. */
export const evidenceDigestSchema = z
    .object({ source: z.string(), cells: z.array(cellSchema).readonly() })
    .readonly();

export type EvidenceCell = z.infer<typeof cellSchema>;
export type EvidenceDigest = z.infer<typeof evidenceDigestSchema>;

export interface Evidence {
    /** Updates the counters of this node. */
    count(
        cellId: { run: string; period: number; workspace: string; arm: Arm },
        update: (c: Counters) => Counters,
    ): void;
    /**
     * Returns the counters of this node that changed since the last digest.
     *
     * @param full Whether to return all counters, for receivers that may have missed digests.
     */
    digest(full: boolean): EvidenceDigest;
    merge(digest: EvidenceDigest): void;
    /** Evidence of all sources for a run. */
    strata(run: string): readonly EvidenceStratum[];
    /** Evidence of this node only. */
    nodeStrata(run: string): readonly EvidenceStratum[];
    /** Removes the evidence of runs that are not current. */
    retain(isCurrent: (run: string) => boolean): void;
    /** Number of cells, over all sources. */
    size(): number;
}

type Totals = Map<string, Map<string, EvidenceStratum>>;

function addToTotals(totals: Totals, cell: EvidenceCell, increase: Counters): void {
    const strata = totals.get(cell.run) ?? new Map<string, EvidenceStratum>();
    totals.set(cell.run, strata);
    const key = `${cell.period}|${cell.workspace}`;
    const before = strata.get(key);
    const version = before?.version ?? NO_COUNTERS;
    const reference = before?.reference ?? NO_COUNTERS;
    const isVersion = cell.arm === "version";
    strata.set(key, {
        period: cell.period,
        workspace: cell.workspace,
        version: isVersion ? addCounters(version, increase) : version,
        reference: isVersion ? reference : addCounters(reference, increase),
    });
}

function cellKey(run: string, period: number, workspace: string, arm: Arm): string {
    return `${run}|${period}|${workspace}|${arm}`;
}

function sortedStrata(totals: Totals, run: string): readonly EvidenceStratum[] {
    return [...(totals.get(run)?.values() ?? [])].sort(
        (a, b) => a.period - b.period || (a.workspace < b.workspace ? -1 : a.workspace > b.workspace ? 1 : 0),
    );
}

/** @param source Node and incarnation of this process. */
export function createEvidence(source: string): Evidence {
    const cells = new Map<string, Map<string, EvidenceCell>>();
    const workspaces = new Map<string, Set<string>>();
    const changed = new Set<string>();
    const totals: Totals = new Map();
    const nodeTotals: Totals = new Map();

    const cellsOf = (from: string): Map<string, EvidenceCell> => {
        const known = cells.get(from) ?? new Map<string, EvidenceCell>();
        cells.set(from, known);
        return known;
    };

    /** Returns the workspace under which to count. Bounds the number of workspaces per run. */
    const workspaceEntry = (run: string, workspace: string): string => {
        const known = workspaces.get(run) ?? new Set<string>();
        workspaces.set(run, known);
        if (known.has(workspace) || known.size < MAXIMUM_WORKSPACES) {
            known.add(workspace);
            return workspace;
        }
        return OTHER_WORKSPACES;
    };

    return {
        count: (cellId, update) => {
            const workspace = workspaceEntry(cellId.run, cellId.workspace);
            const key = cellKey(cellId.run, cellId.period, workspace, cellId.arm);
            const nodeCells = cellsOf(source);
            const before = nodeCells.get(key)?.counters ?? NO_COUNTERS;
            const counters = update(before);
            const { run, period, arm } = cellId;
            const cell = { run, period, workspace, arm, counters };
            const increase = subtractCounters(counters, before);
            nodeCells.set(key, cell);
            changed.add(key);
            addToTotals(totals, cell, increase);
            addToTotals(nodeTotals, cell, increase);
        },
        digest: full => {
            const nodeCells = cellsOf(source);
            const keys = full ? [...nodeCells.keys()] : [...changed];
            changed.clear();
            return { source, cells: keys.flatMap(key => nodeCells.get(key) ?? []) };
        },
        merge: digest => {
            // Returned by a peer. This node's counters are at least as recent.
            if (digest.source === source) {
                return;
            }
            const known = cellsOf(digest.source);
            for (const cell of digest.cells) {
                const key = cellKey(cell.run, cell.period, cell.workspace, cell.arm);
                const before = known.get(key)?.counters ?? NO_COUNTERS;
                const counters = mergeCounters(before, cell.counters);
                const increase = subtractCounters(counters, before);
                if (!isZero(increase)) {
                    known.set(key, { ...cell, counters });
                    addToTotals(totals, cell, increase);
                }
            }
        },
        strata: run => sortedStrata(totals, run),
        nodeStrata: run => sortedStrata(nodeTotals, run),
        retain: isCurrent => {
            for (const known of cells.values()) {
                for (const [key, cell] of known) {
                    if (!isCurrent(cell.run)) {
                        known.delete(key);
                        changed.delete(key);
                    }
                }
            }
            for (const map of [totals, nodeTotals, workspaces]) {
                [...map.keys()].filter(run => !isCurrent(run)).forEach(run => map.delete(run));
            }
        },
        size: () => [...cells.values()].reduce((total, known) => total + known.size, 0),
    };
}
