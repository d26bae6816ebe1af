/**
 * Decides whether a request is sent, waits at its node or is rejected. Pure functions of their arguments.
 *
 * Designed for two loads. Engines (64 slots, requests of seconds) are mostly not full; they suffer from bursts of
 * a few seconds in which prompts queue, which engines order by priority themselves. So a request is held back
 * only when no engine has a free slot. Plain upstreams (6 slots and a queue of 24, requests of tens of
 * milliseconds) change faster than load reports travel (0.1 s, 0.45 s at 73 nodes), so a request is sent even
 * where it has to queue, as long as it can be answered in its time; it waits only after upstreams have rejected it.
 */

/** What a node knows of one upstream that may receive requests of the service. */
export interface UpstreamCapacity {
    /** Requests that the upstream processes at the same time. */
    readonly slots: number;
    /** Requests in flight of all nodes. */
    readonly requests: number;
    /** Memory that these requests occupy, in tokens. */
    readonly heldTokens: number;
    /** Prompt tokens that the upstream has not read yet, of all nodes. */
    readonly pendingTokens: number;
    /** `full` after it has rejected a request, `down` after it has failed or not been reached. */
    readonly state: "usable" | "full" | "down";
}

/** What a request needs of an upstream. */
export interface RequestSize {
    /** The service runs models. */
    readonly isModel: boolean;
    readonly promptTokens: number;
    /** Memory that the request needs, in tokens. */
    readonly neededTokens: number;
    /** Memory of one upstream, in tokens; `undefined` when memory does not limit it. */
    readonly capacityTokens: number | undefined;
}

/** What a request needs now. */
export interface RequestNeeds extends RequestSize {
    /** Time until the target latency, negative after it, milliseconds. */
    readonly targetMilliseconds: number;
    /** Time until the deadline, milliseconds. */
    readonly remainingMilliseconds: number;
}

export interface AdmissionContext {
    readonly upstreams: readonly UpstreamCapacity[];
    /** An upstream with a free slot may receive this request. */
    readonly hasFreeUpstream: boolean;
    /** A usable upstream may receive this request. */
    readonly hasUpstream: boolean;
    /** Time for which a request occupies a slot, milliseconds. */
    readonly residenceMilliseconds: number;
    /** Requests of this node in flight at the service. */
    readonly ownRequests: number;
    /** Requests of the service that wait at this node. */
    readonly waiting: number;
    /** Those of them that get capacity before this one. */
    readonly waitingAhead: number;
    /** More urgent requests of the service that wait at other nodes. */
    readonly moreUrgentElsewhere: number;
}

export type Admission =
    | { readonly kind: "send" }
    /** The request waits for capacity, and is rejected after the time. */
    | { readonly kind: "wait"; readonly milliseconds: number }
    | { readonly kind: "reject"; readonly reason: string; readonly retryAfterSeconds: number };

/**
 * Requests beyond its slots for which an upstream counts as free, relative to its slots. Covers what ends while
 * load reports travel, so that slots do not stay empty: a tenth of the requests of an engine end in 0.45 s, but
 * all of those of a plain upstream.
 */
const ENGINE_SURPLUS = 0.1;
const PLAIN_SURPLUS = 0.5;

/** Use of an engine's memory above which it counts as full. Requests share prefixes, so their sum overstates it. */
const MEMORY_OVERCOMMIT = 1.25;

/** Prompt tokens per millisecond of the fastest engine known. With it, a request that counts as too late is. */
const FASTEST_TOKENS_PER_MILLISECOND = 190;

/** Occupied share of the slots below which no request is rejected, unless requests wait at upstreams. */
const UNREJECTED_SHARE = 0.5;

/** Share of the time left that a request may wait even though it misses its target. */
const WAIT_SHARE = 0.5;

/** Ratio of the expected wait to the time available from which a request certainly begins too late. */
const CERTAIN_RATIO = 2;

const MINIMUM_RETRY_AFTER_SECONDS = 0.05;
const MAXIMUM_RETRY_AFTER_SECONDS = 2;

/** Whether the upstream can begin the request at once, by what the node knows. */
export function isFree(upstream: UpstreamCapacity, needs: RequestSize): boolean {
    const surplus = Math.ceil(upstream.slots * (needs.isModel ? ENGINE_SURPLUS : PLAIN_SURPLUS));
    const hasMemory =
        needs.capacityTokens === undefined ||
        upstream.requests === 0 ||
        upstream.heldTokens + needs.neededTokens <= MEMORY_OVERCOMMIT * needs.capacityTokens;
    return upstream.state === "usable" && hasMemory && upstream.requests < upstream.slots + surplus;
}

/** Time for which a new request queues at the upstream, milliseconds. */
export function queueMilliseconds(
    { slots, requests }: Pick<UpstreamCapacity, "slots" | "requests">,
    residenceMilliseconds: number,
): number {
    return (Math.max(0, requests + 1 - slots) / Math.max(1, slots)) * residenceMilliseconds;
}

/** Slots that are free by what the node knows, over all usable upstreams. */
export function countFreeSlots(upstreams: readonly UpstreamCapacity[]): number {
    return upstreams
        .filter(({ state }) => state === "usable")
        .reduce((sum, { slots, requests }) => sum + Math.max(0, slots - requests), 0);
}

/** Whether under half of the slots are occupied and no request waits at an upstream. */
export function isMostlyIdle(upstreams: readonly UpstreamCapacity[]): boolean {
    const slots = upstreams.reduce((sum, upstream) => sum + upstream.slots, 0);
    const occupied = upstreams.reduce((sum, upstream) => sum + upstream.requests, 0);
    return (
        occupied < UNREJECTED_SHARE * slots && upstreams.every(({ requests, slots: own }) => requests <= own)
    );
}

/** Shortest time from the begin of the request to its answer, or first event, milliseconds. */
function answerMilliseconds(needs: RequestNeeds, residenceMilliseconds: number): number {
    return needs.isModel ? needs.promptTokens / FASTEST_TOKENS_PER_MILLISECOND : residenceMilliseconds / 2;
}

/** Time for which the request may wait before it begins, milliseconds; not positive when it is too late. */
export function waitLimit(needs: RequestNeeds, residenceMilliseconds: number): number {
    const answer = answerMilliseconds(needs, residenceMilliseconds);
    return Math.min(
        needs.remainingMilliseconds - answer,
        Math.max(needs.targetMilliseconds - answer, needs.remainingMilliseconds * WAIT_SHARE),
    );
}

/** Time until the service has capacity for one more request of this node, seconds. */
export function retryAfterSeconds(expectedMilliseconds: number): number {
    return Math.min(
        MAXIMUM_RETRY_AFTER_SECONDS,
        Math.max(MINIMUM_RETRY_AFTER_SECONDS, expectedMilliseconds / 1000),
    );
}

/**
 * Expected time until this node has capacity for the request, milliseconds. At a full service a node gets the
 * slots that its own requests leave.
 */
export function expectedWaitMilliseconds(
    context: Pick<AdmissionContext, "residenceMilliseconds" | "ownRequests" | "waitingAhead">,
): number {
    return ((context.waitingAhead + 1) * context.residenceMilliseconds) / Math.max(1, context.ownRequests);
}

/** Time for which a new request queues at the best upstream that is not down, milliseconds. */
function shortestQueueMilliseconds({ upstreams, residenceMilliseconds }: AdmissionContext): number {
    const queues = upstreams
        .filter(({ state }) => state !== "down")
        .map(upstream => queueMilliseconds(upstream, residenceMilliseconds));
    return Math.min(...queues);
}

/**
 * Whether the free slots are no more than the more urgent requests that wait at other nodes. While much is free,
 * these wait for something else, such as an upstream of their version.
 */
export function yieldsToOthers({
    upstreams,
    moreUrgentElsewhere,
}: Pick<AdmissionContext, "upstreams" | "moreUrgentElsewhere">): boolean {
    return (
        moreUrgentElsewhere > 0 &&
        countFreeSlots(upstreams) <= moreUrgentElsewhere &&
        !isMostlyIdle(upstreams)
    );
}

export function admit(context: AdmissionContext, needs: RequestNeeds): Admission {
    const { upstreams, residenceMilliseconds, waitingAhead } = context;
    const isDown = upstreams.every(({ state }) => state === "down");
    const isNext = waitingAhead === 0 && !yieldsToOthers(context);
    // Only an attempt can tell whether upstreams that failed are back.
    if (isDown || (context.hasFreeUpstream && isNext)) {
        return { kind: "send" };
    }
    const begin = waitLimit(needs, residenceMilliseconds);
    // A plain upstream that has just had room still has its queue, which the request does not outlast.
    const queue = needs.isModel ? 0 : shortestQueueMilliseconds(context);
    const limit = begin - queue;
    if (!needs.isModel && context.hasUpstream && isNext && limit > 0) {
        return { kind: "send" };
    }
    if (context.waiting === 0 && isMostlyIdle(upstreams)) {
        return context.hasUpstream || limit <= 0 ? { kind: "send" } : { kind: "wait", milliseconds: limit };
    }
    const expected = Math.max(queue, expectedWaitMilliseconds(context));
    if (limit <= 0) {
        return {
            kind: "reject",
            reason: "the request cannot be answered in its time",
            retryAfterSeconds: retryAfterSeconds(expected),
        };
    }
    if (expected > CERTAIN_RATIO * limit && waitingAhead > 0) {
        return {
            kind: "reject",
            reason: "too many requests that are as urgent wait",
            retryAfterSeconds: retryAfterSeconds(expected),
        };
    }
    return { kind: "wait", milliseconds: limit };
}
