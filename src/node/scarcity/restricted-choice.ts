/** Restricts the choice of an upstream to those with capacity. Pure functions. */
import { hasColdAllowance } from "../upstream-table/upstream-choice.js";
import type { ChoiceContext, VersionPreference } from "../upstream-table/upstream-choice.js";
import type { RegisteredUpstream } from "../upstream-table/upstream-table.js";

export type AcceptUpstream = (upstream: RegisteredUpstream) => boolean;

/** Whether an upstream of the preferred versions may receive the request, with or without capacity. */
function isServed(
    preference: VersionPreference,
    context: ChoiceContext,
    upstreams: readonly RegisteredUpstream[],
): boolean {
    return upstreams.some(
        upstream =>
            preference.matches(upstream.entry.version) &&
            !context.excluded.has(upstream.entry.id) &&
            !upstream.health.isPaused(context.now) &&
            context.hasRoom(upstream) &&
            (upstream.coldUntil <= context.now ||
                hasColdAllowance(upstream, context.now, context.coldAllowance(upstream))),
    );
}

/**
 * A restricted choice keeps to the preferred versions while one of their upstreams may receive the request, so
 * that a full version does not send its requests to another one. It leaves the few upstreams alone on which a
 * version is tested.
 */
export function restrictChoice(
    context: ChoiceContext,
    accepts: AcceptUpstream,
    upstreams: readonly RegisteredUpstream[],
): ChoiceContext {
    const { versionPreference: preference } = context;
    const hasRoom: AcceptUpstream = upstream => accepts(upstream) && context.hasRoom(upstream);
    if (preference === undefined) {
        return { ...context, hasRoom };
    }
    if (preference.testedUpstreams !== undefined || preference.upstreamShare < 1) {
        return context;
    }
    const allowsOthers = preference.allowsOthers && !isServed(preference, context, upstreams);
    return { ...context, hasRoom, versionPreference: { ...preference, allowsOthers } };
}
