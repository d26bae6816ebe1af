/**
 * Share of the requests that leave the data centre because its own upstreams are loaded. It follows the excess of
 * the own delay in proportion and, slowly, its sum, so that nodes with the same view neither leave all at once nor
 * come back all at once.
 *
 * Designed for loads of other nodes that are up to 0.5 s old, and for a traffic of about the capacity of the own
 * upstreams, up to twice that: there a queue grows or shrinks by about 1 ms per millisecond, and a share that
 * reaches 1 within less than 1,000 ms of excess makes the queue oscillate.
 */
import { createBoundedMap } from "../common/bounded-map.js";
import type { Random } from "../common/random.js";

export interface SpilloverDemand {
    /** Expected delay at the best own upstream, milliseconds. */
    readonly ownDelay: number;
    /** Expected delay in another data centre, with the price of leaving, milliseconds. */
    readonly otherDelay: number;
    readonly targetLatencyMilliseconds: number;
}

export interface Spillover {
    /** Decides whether a request leaves, and moves the share towards the demand. */
    mayLeave(key: string, demand: SpilloverDemand, now: number): boolean;
    /** Share of the requests that left when leaving was weighed last, 0 to 1. */
    share(key: string): number;
}

interface KeyState {
    /** Sum of the relative excess over time, 0 to 1: the share that is needed in the long run. */
    sum: number;
    share: number;
    changedAt: number;
}

/** Excess of the own delay at which all requests leave, milliseconds: twice the age of the loads. */
const MAXIMUM_BAND_MILLISECONDS = 1000;

/** The same excess relative to the target latency, where that is shorter. */
const BAND_RATIO = 0.5;

/** Time after which a constant excess has moved the sum by as much as the share at once, milliseconds. */
const SUM_MILLISECONDS = 3000;

/**
 * Relative excess from which requests leave. Negative, because a cut where leaving begins to save time makes nodes
 * with an old view leave and stay in turns.
 */
const MINIMUM_EXCESS = -0.2;

/** Longest time for which one request moves the sum, milliseconds. */
const MAXIMUM_STEP_MILLISECONDS = 1000;

/** Services with the routes that use them. */
const MAXIMUM_KEYS = 2048;

/** Excess of the own delay relative to the band, -1 to 1. */
function relativeExcess(demand: SpilloverDemand): number {
    const target = demand.targetLatencyMilliseconds;
    const band = Math.min(MAXIMUM_BAND_MILLISECONDS, BAND_RATIO * target);
    return Math.max(-1, Math.min(1, (demand.ownDelay - demand.otherDelay) / band));
}

function toShare(value: number): number {
    return Math.max(0, Math.min(1, value));
}

/** Sum after `elapsed` milliseconds. */
export function nextSum(sum: number, demand: SpilloverDemand, elapsed: number): number {
    const step = Math.min(MAXIMUM_STEP_MILLISECONDS, elapsed) / SUM_MILLISECONDS;
    return toShare(sum + step * relativeExcess(demand));
}

/** Share of the requests that leave now, 0 to 1. */
export function leavingShare(sum: number, demand: SpilloverDemand): number {
    const excess = relativeExcess(demand);
    return excess <= MINIMUM_EXCESS ? 0 : toShare(sum + excess);
}

export function createSpillover(random: Random): Spillover {
    const states = createBoundedMap<KeyState>(MAXIMUM_KEYS);
    return {
        mayLeave: (key, demand, now) => {
            const known = states.get(key);
            const elapsed = known === undefined ? 0 : now - known.changedAt;
            const sum = nextSum(known?.sum ?? 0, demand, elapsed);
            const share = leavingShare(sum, demand);
            states.set(key, { sum, share, changedAt: now });
            return random() < share;
        },
        share: key => states.get(key)?.share ?? 0,
    };
}
