/** Expected delay of a request at an upstream, in terms that can be logged. Pure functions. */
import { workAtFixedSpeed } from "./expected-work.js";
import type { Load } from "./load-board.js";
import type { ChoiceContext } from "./upstream-choice.js";
import type { RegisteredUpstream } from "./upstream-table.js";

/** Penalty when all recent requests failed, milliseconds; scaled by the failure share. */
const FAILURE_PENALTY_MILLISECONDS = 3000;

/** Penalty of an upstream that is ejected or has just rejected a request, milliseconds. */
const AVOIDED_PENALTY_MILLISECONDS = 20_000;

/** Penalty of a cold upstream, milliseconds. */
const COLD_PENALTY_MILLISECONDS = 150;

/** Penalty of an upstream whose memory the request would exceed, milliseconds. */
const FULL_PENALTY_MILLISECONDS = 2000;

/** Maximum random delay, milliseconds. Keeps nodes with the same view from choosing the same upstream. */
const MAXIMUM_JITTER_MILLISECONDS = 6;

/** Share of an upstream's memory available to requests; the rest holds cached prefixes. */
const USABLE_MEMORY_SHARE = 0.85;

/**
 * Number of other nodes that must have ejected an upstream before this node avoids it. A single ejection may
 * come from a network fault of that node.
 */
const EJECTIONS_TO_AVOID = 2;

/** Share of failed requests from which an upstream is not fit. One failure of the first request is enough. */
const UNFIT_FAILURE_SHARE = 0.2;

export interface DelayTerms {
    /** Time for the work before the request, milliseconds. */
    readonly work: number;
    /** Penalties for failures, avoidance, cold starts and missing memory, milliseconds. */
    readonly penalty: number;
    /** Random part, milliseconds. */
    readonly jitter: number;
    /** Nothing but its load speaks against the upstream. */
    readonly isFit: boolean;
}

export function isAvoided(upstream: RegisteredUpstream, context: ChoiceContext): boolean {
    return upstream.health.isAvoided(context.now) || context.ejectionsOf(upstream) >= EJECTIONS_TO_AVOID;
}

/** Whether the request would exceed the memory of the upstream. */
function isFull(load: Load, context: ChoiceContext): boolean {
    return (
        context.capacityTokens !== undefined &&
        load.heldTokens + context.neededTokens > USABLE_MEMORY_SHARE * context.capacityTokens
    );
}

/** @param ownTokens Prompt tokens of the request's shared prefix that the upstream must process. */
export function delayTerms(
    upstream: RegisteredUpstream,
    context: ChoiceContext,
    ownTokens: number,
): DelayTerms {
    const load = context.loadOf(upstream);
    const { health } = upstream;
    const avoided = isAvoided(upstream, context);
    const cold = upstream.coldUntil > context.now;
    const full = isFull(load, context);
    return {
        work:
            context.workOf?.(upstream, load, ownTokens) ??
            workAtFixedSpeed(load, load.pendingTokens + ownTokens) * Math.max(1, health.slowness()),
        penalty:
            FAILURE_PENALTY_MILLISECONDS * health.failureShare() +
            (avoided ? AVOIDED_PENALTY_MILLISECONDS : 0) +
            (cold ? COLD_PENALTY_MILLISECONDS : 0) +
            (full ? FULL_PENALTY_MILLISECONDS : 0),
        jitter: context.random() * MAXIMUM_JITTER_MILLISECONDS,
        isFit: !avoided && !cold && !full && health.failureShare() < UNFIT_FAILURE_SHARE,
    };
}

/** Expected delay of the request at an upstream, penalties included, milliseconds. */
export function expectedDelay(
    upstream: RegisteredUpstream,
    context: ChoiceContext,
    isPreferred: boolean,
): number {
    const { work, penalty, jitter } = delayTerms(upstream, context, isPreferred ? 0 : context.sharedTokens);
    return work + penalty + jitter;
}
