/** Chooses an upstream for a request. */
import type { Random } from "../common/random.js";
import { currentLoad } from "../upstreams/upstreams.js";
import type { UpstreamRow } from "../upstreams/upstreams.js";
import {
    AFFINITY_LOAD_BOUND,
    AFFINITY_MINIMUM_SHARE,
    CREDIT_REQUEST_LOAD_BOUND,
    FAR_DISTANCE,
    FAR_WAIT_MILLISECONDS,
    OTHER_DATA_CENTRE_WAIT_MILLISECONDS,
} from "./constants.js";
import { distance } from "./subset.js";
import type { NodeLocation } from "./subset.js";

export interface PlacementInput {
    /** The node's subset of the upstreams of a permitted version. */
    readonly candidates: readonly UpstreamRow[];
    readonly location: NodeLocation;
    /** Tokens of memory that the request needs; upstreams with a smaller budget are not considered. */
    readonly memoryTokens: number;
    /** Time that the request has waited; far upstreams are used only after `FAR_WAIT_MILLISECONDS`. */
    readonly waitedMilliseconds: number;
    /** Number of credits that this node can take now. */
    readonly available: (upstream: string) => number;
    /** Fraction of the prompt's blocks that an upstream caches, 0 to 1. */
    readonly cachedShare: (upstream: string) => number;
    readonly random: Random;
    readonly now: number;
}

export interface Placement {
    readonly upstream: string;
    /** If false, the node must request a credit for the upstream. */
    readonly hasCredit: boolean;
    /** A better upstream without a credit, for which the node should request credits for later requests. */
    readonly ask?: string;
}

/** Returns `undefined` if no candidate accepts new work. */
export type PlacementFunction = (input: PlacementInput) => Placement | undefined;

/** Chooses one of several upstreams at the same distance. */
type Choice = (rows: readonly UpstreamRow[], input: PlacementInput) => UpstreamRow;

function acceptsWork(row: UpstreamRow, memoryTokens: number): boolean {
    return !row.isLeaving && !row.isDrained && row.configured.warm.memoryTokens >= memoryTokens;
}

/** Fraction of the current budget that is in use; the maximum of requests and memory. */
export function relativeLoad(row: UpstreamRow, now: number): number {
    const budget = row.isWarm ? row.configured.warm : row.configured.cold;
    const load = currentLoad(row, now);
    return Math.max(
        load.requests / Math.max(1, budget.concurrency),
        load.memoryTokens / Math.max(1, budget.memoryTokens),
    );
}

function randomIndex(rows: readonly UpstreamRow[], random: Random): number {
    return Math.min(rows.length - 1, Math.floor(random() * rows.length));
}

const betterOfTwo: Choice = (rows, { random, now }) => {
    const first = rows[randomIndex(rows, random)]!;
    const second = rows[randomIndex(rows, random)]!;
    return relativeLoad(second, now) < relativeLoad(first, now) ? second : first;
};

/**
 * The upstream that caches most of the prompt's prefix, unless its load is much higher than that of
 * `betterOfTwo`.
 */
const affinityOrBetterOfTwo: Choice = (rows, input) => {
    const better = betterOfTwo(rows, input);
    let bestCached: UpstreamRow | undefined;
    let bestShare = AFFINITY_MINIMUM_SHARE;
    for (const row of rows) {
        const share = input.cachedShare(row.name);
        if (share > bestShare) {
            bestShare = share;
            bestCached = row;
        }
    }
    if (bestCached === undefined) {
        return better;
    }
    const limit = relativeLoad(better, input.now) + AFFINITY_LOAD_BOUND;
    return relativeLoad(bestCached, input.now) <= limit ? bestCached : better;
};

/** Rows at the minimum distance. */
function nearestRows(rows: readonly UpstreamRow[], location: NodeLocation): readonly UpstreamRow[] {
    const byDistance: [UpstreamRow[], UpstreamRow[], UpstreamRow[]] = [[], [], []];
    for (const row of rows) {
        byDistance[distance(location, row.configured)].push(row);
    }
    return byDistance.find(group => group.length > 0) ?? [];
}

/** Excludes far upstreams until the request has waited for `FAR_WAIT_MILLISECONDS`. */
function excludeFar(rows: readonly UpstreamRow[], input: PlacementInput): readonly UpstreamRow[] {
    return input.waitedMilliseconds >= FAR_WAIT_MILLISECONDS
        ? rows
        : rows.filter(row => distance(input.location, row.configured) < FAR_DISTANCE);
}

/**
 * Whether an upstream without a credit is so much better than the chosen one that the node requests credits
 * for it.
 */
function isBetter(row: UpstreamRow, chosen: UpstreamRow, { location, now }: PlacementInput): boolean {
    return (
        distance(location, row.configured) < distance(location, chosen.configured) ||
        relativeLoad(row, now) + CREDIT_REQUEST_LOAD_BOUND < relativeLoad(chosen, now)
    );
}

/**
 * Chooses the upstream to request a credit for when this node holds none. This is the preferred one at first.
 * If it is full, or granted nothing for `OTHER_DATA_CENTRE_WAIT_MILLISECONDS`, others are considered too:
 * otherwise their capacity would stay unused while requests wait on this node.
 */
function chooseForCreditRequest(
    rows: readonly UpstreamRow[],
    preferred: UpstreamRow,
    choose: Choice,
    input: PlacementInput,
): UpstreamRow {
    const notFull = rows.filter(row => relativeLoad(row, input.now) < 1);
    const hasWaited = input.waitedMilliseconds >= OTHER_DATA_CENTRE_WAIT_MILLISECONDS;
    if (notFull.length === 0 || (notFull.includes(preferred) && !hasWaited)) {
        return preferred;
    }
    return choose(hasWaited ? notFull : nearestRows(notFull, input.location), input);
}

function createPlacement(choose: Choice): PlacementFunction {
    return input => {
        const usable = input.candidates.filter(row => acceptsWork(row, input.memoryTokens));
        if (usable.length === 0) {
            return undefined;
        }
        const preferred = choose(nearestRows(usable, input.location), input);
        const hasNear = distance(input.location, preferred.configured) < FAR_DISTANCE;
        const ready = usable.filter(row => input.available(row.name) > 0);
        const rows = nearestRows(hasNear ? excludeFar(ready, input) : ready, input.location);
        if (rows.length === 0) {
            const within = hasNear ? excludeFar(usable, input) : usable;
            return {
                upstream: chooseForCreditRequest(within, preferred, choose, input).name,
                hasCredit: false,
            };
        }
        if (rows.includes(preferred)) {
            return { upstream: preferred.name, hasCredit: true };
        }
        const chosen = choose(rows, input);
        const placement = { upstream: chosen.name, hasCredit: true };
        return isBetter(preferred, chosen, input) ? { ...placement, ask: preferred.name } : placement;
    };
}

/** The placement used in production; the others are baselines for benchmarks. */
export const place: PlacementFunction = createPlacement(affinityOrBetterOfTwo);

/** Baseline: a random upstream with a credit. */
export const placeRandomly: PlacementFunction = createPlacement(
    (rows, { random }) => rows[randomIndex(rows, random)]!,
);

/** Baseline: the least loaded upstream with a credit. */
export const placeLeastLoaded: PlacementFunction = createPlacement((rows, { now }) =>
    rows.reduce((least, row) => (relativeLoad(row, now) < relativeLoad(least, now) ? row : least)),
);

/** Baseline: the upstreams in turn. The returned function keeps the position. */
export function createRoundRobinPlacement(): PlacementFunction {
    let position = 0;
    return createPlacement(rows => {
        position += 1;
        return rows[position % rows.length]!;
    });
}
