/** Time for the work before a request at an upstream whose speed was learnt. Pure functions. */
import type { Load } from "./load-board.js";
import { stepMilliseconds } from "./upstream-speeds.js";
import type { UpstreamSpeed } from "./upstream-speeds.js";

/** Prompt tokens of the largest model that an upstream processes per millisecond, where none was measured. */
export const TOKENS_PER_MILLISECOND = 45;

/**
 * Delay that one request in flight adds to another, milliseconds: over the answer to it, an engine makes about 60
 * steps, each 0.1 ms longer.
 */
export const REQUEST_DELAY_MILLISECONDS = 6;

/** Steps for which a request occupies a slot of an engine. */
const STEPS_PER_REQUEST = 100;

/** Delay that one request in flight adds to another of a plain service while there are slots, milliseconds. */
const PLAIN_REQUEST_DELAY_MILLISECONDS = 1;

/** Average share of occupied slots of a plain service above which requests have to wait. */
const FREE_SLOT_SHARE = 0.7;

/** Requests behind a speed from which a slow upstream is known by it, and not by its recent answers. */
const LEARNT_REQUESTS = 5;

export interface WorkInputs {
    readonly load: Load;
    /** Average number of requests in flight at the upstream; used for plain services. */
    readonly averageRequests: number;
    /** Prompt tokens of the shared prefix that the upstream must process. */
    readonly unreadTokens: number;
    /** Prompt tokens of the request that are not shared. */
    readonly ownTokens: number;
    readonly slots: number;
    readonly isEngine: boolean;
    /** Ratio of recent times to the first byte to the expected ones; 1 is normal. */
    readonly slowness: number;
}

/** Work at the same speed of all upstreams, milliseconds. */
export function workAtFixedSpeed(load: Load, unreadTokens: number): number {
    return unreadTokens / TOKENS_PER_MILLISECOND + load.requests * REQUEST_DELAY_MILLISECONDS;
}

function engineWork(inputs: WorkInputs, speed: UpstreamSpeed): number {
    const { load, unreadTokens, ownTokens, slots } = inputs;
    const requestsWithoutSlot = slots > 0 ? Math.max(0, load.requests + 1 - slots) : 0;
    const tokens = load.pendingTokens + unreadTokens + ownTokens;
    const step = stepMilliseconds(load.requests) * speed.stepRatio;
    return (
        tokens / (speed.promptTokensPerMillisecond ?? TOKENS_PER_MILLISECOND) +
        step +
        load.requests * REQUEST_DELAY_MILLISECONDS * speed.relativeStep +
        (requestsWithoutSlot === 0 ? 0 : (requestsWithoutSlot * STEPS_PER_REQUEST * step) / slots)
    );
}

function plainWork({ averageRequests, slots }: WorkInputs, speed: UpstreamSpeed): number {
    const work = speed.workMilliseconds ?? 0;
    const median = speed.medianWorkMilliseconds ?? work;
    const ratio = median > 0 ? work / median : 1;
    const excess = slots > 0 ? Math.max(0, averageRequests - FREE_SLOT_SHARE * slots) / slots : 0;
    return (
        averageRequests * PLAIN_REQUEST_DELAY_MILLISECONDS * ratio +
        Math.max(0, work - median) +
        excess * work
    );
}

/** Time for the work before the request, milliseconds; as for a fixed speed while the service is unknown. */
export function expectedWork(inputs: WorkInputs, speed: UpstreamSpeed): number {
    const { load, unreadTokens, isEngine } = inputs;
    const isKnown = (isEngine ? speed.promptTokensPerMillisecond : speed.workMilliseconds) !== undefined;
    const slowness = speed.requests >= LEARNT_REQUESTS ? 1 : Math.max(1, inputs.slowness);
    if (!isKnown) {
        return workAtFixedSpeed(load, load.pendingTokens + unreadTokens) * Math.max(1, inputs.slowness);
    }
    return (isEngine ? engineWork : plainWork)(inputs, speed) * slowness;
}
