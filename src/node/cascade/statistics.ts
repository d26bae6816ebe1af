/**
 * Statistics of cascades: cumulative counters per source (node and incarnation), period and state.
 *
 * Counters of a period only grow, so digests merge by maximum, and late or repeated digests are safe. Older
 * periods have less weight, so that the policy adapts when the quality of a model changes.
 */
import { z } from "zod";
import { FROM_START, HALF_LIFE_EPOCHS, MAXIMUM_CELLS, MAXIMUM_EPOCHS } from "./constants.js";
import { MAXIMUM_SOURCES, SCORE_RANGES } from "./constants.js";

/** State of a request after the answer of a step, where the answer is delivered or the request escalates. */
export interface CascadeState {
    /** `WORKSPACE/CASCADE`. */
    readonly scope: string;
    readonly kind: string;
    readonly step: number;
    /** Range of the judge's score; 0 at the last step, which is not judged. */
    readonly range: number;
    /** Score range of the previous step, or `FROM_START`. */
    readonly from: number;
}

export interface StateCounters {
    readonly visits: number;
    /** Total cost of this step, without the other steps of the requests. */
    readonly cost: number;
    /** Number of ratings of answers that were delivered in this state. */
    readonly ratings: number;
    readonly ratingSum: number;
}

const amount = z.number().min(0);
const cellSchema = z
    .object({
        scope: z.string(),
        kind: z.string(),
        step: z.int().min(0),
        range: z
            .int()
            .min(0)
            .max(SCORE_RANGES - 1),
        from: z.int().min(0).max(FROM_START),
        visits: amount,
        cost: amount,
        ratings: amount,
        ratingSum: amount,
    })
    .readonly();

/** Counters of one node in recent periods, as sent to other nodes. */
export const cascadeDigestSchema = z
    .object({
        /** Node and incarnation. */
        source: z.string(),
        epochs: z
            .array(z.object({ epoch: z.int().min(0), cells: z.array(cellSchema).readonly() }).readonly())
            .readonly(),
    })
    .readonly();

type Cell = z.infer<typeof cellSchema>;
export type CascadeDigest = z.infer<typeof cascadeDigestSchema>;

export const NO_STATE_COUNTERS: StateCounters = { visits: 0, cost: 0, ratings: 0, ratingSum: 0 };

/** Returns `a + weight * b`, field by field. */
export function addScaled(a: StateCounters, b: StateCounters, weight: number): StateCounters {
    return {
        visits: a.visits + weight * b.visits,
        cost: a.cost + weight * b.cost,
        ratings: a.ratings + weight * b.ratings,
        ratingSum: a.ratingSum + weight * b.ratingSum,
    };
}

function mergeCells(a: Cell, b: Cell): Cell {
    return {
        ...a,
        visits: Math.max(a.visits, b.visits),
        cost: Math.max(a.cost, b.cost),
        ratings: Math.max(a.ratings, b.ratings),
        ratingSum: Math.max(a.ratingSum, b.ratingSum),
    };
}

export interface Statistics {
    /** Adds to the counters of this node. */
    add(state: CascadeState, increase: Partial<StateCounters>, epoch: number): void;
    /**
     * Counters of a scope by state, summed over all sources and periods with the weight of the period's age.
     */
    totals(scope: string): readonly (CascadeState & StateCounters)[];
    /**
     * Counters of this node in the last two periods. A rating of an answer from an earlier period is not
     * shared.
     */
    digest(): CascadeDigest;
    merge(digest: CascadeDigest): void;
    /** Number of cells of all sources and periods. */
    size(): number;
}

type Epochs = Map<number, Map<string, Cell>>;

function keyOf(state: CascadeState): string {
    return `${state.scope}|${state.kind}|${state.step}|${state.range}|${state.from}`;
}

/** @param source Node and incarnation of this process. */
export function createStatistics(source: string): Statistics {
    const sources = new Map<string, Epochs>();
    let latestEpoch = 0;

    const cellsOf = (from: string, epoch: number): Map<string, Cell> => {
        const epochs = sources.get(from) ?? new Map<number, Map<string, Cell>>();
        // Delete and set again, so that the map is ordered by last use and the most silent source comes
        // first.
        sources.delete(from);
        sources.set(from, epochs);
        const cells = epochs.get(epoch) ?? new Map<string, Cell>();
        epochs.set(epoch, cells);
        return cells;
    };

    const removeExpired = (): void => {
        for (const epochs of sources.values()) {
            [...epochs.keys()]
                .filter(epoch => epoch <= latestEpoch - MAXIMUM_EPOCHS)
                .forEach(epoch => epochs.delete(epoch));
        }
        const others = [...sources.keys()].filter(name => name !== source);
        others.slice(0, Math.max(0, others.length - MAXIMUM_SOURCES)).forEach(name => sources.delete(name));
    };

    const setCell = (cells: Map<string, Cell>, key: string, cell: Cell): void => {
        if (cells.has(key) || cells.size < MAXIMUM_CELLS) {
            cells.set(key, cell);
        }
    };

    return {
        add: (state, increase, epoch) => {
            const isNewEpoch = epoch > latestEpoch;
            latestEpoch = Math.max(latestEpoch, epoch);
            const cells = cellsOf(source, epoch);
            const key = keyOf(state);
            const current = cells.get(key) ?? { ...state, ...NO_STATE_COUNTERS };
            setCell(cells, key, {
                ...current,
                ...addScaled(current, { ...NO_STATE_COUNTERS, ...increase }, 1),
            });
            if (isNewEpoch) {
                removeExpired();
            }
        },
        totals: scope => {
            const totals = new Map<string, CascadeState & StateCounters>();
            for (const epochs of sources.values()) {
                for (const [epoch, cells] of epochs) {
                    const weight = 0.5 ** ((latestEpoch - epoch) / HALF_LIFE_EPOCHS);
                    for (const [key, cell] of cells) {
                        if (cell.scope !== scope) {
                            continue;
                        }
                        const current = totals.get(key) ?? { ...cell, ...NO_STATE_COUNTERS };
                        totals.set(key, { ...current, ...addScaled(current, cell, weight) });
                    }
                }
            }
            return [...totals.values()];
        },
        digest: () => ({
            source,
            epochs: [...(sources.get(source) ?? [])]
                .filter(([epoch]) => epoch >= latestEpoch - 1)
                .map(([epoch, cells]) => ({ epoch, cells: [...cells.values()] })),
        }),
        merge: digest => {
            if (digest.source === source) {
                return;
            }
            for (const { epoch, cells } of digest.epochs) {
                latestEpoch = Math.max(latestEpoch, epoch);
                const sourceCells = cellsOf(digest.source, epoch);
                for (const cell of cells) {
                    const key = keyOf(cell);
                    const current = sourceCells.get(key);
                    setCell(sourceCells, key, current === undefined ? cell : mergeCells(current, cell));
                }
            }
            removeExpired();
        },
        size: () =>
            [...sources.values()].reduce(
                (total, epochs) => total + [...epochs.values()].reduce((sum, cells) => sum + cells.size, 0),
                0,
            ),
    };
}
