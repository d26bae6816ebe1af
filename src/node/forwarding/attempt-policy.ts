/**
 * Decides after each attempt what happens next to a request: another attempt, a larger model, or an end. Pure.
 *
 * Serves days on which upstreams turn requests away, fail, hang or lose answers: what certainly did not run
 * goes elsewhere, what may have run is repeated only where the route allows it.
 */
import { isRepeatable } from "../routes/entities.js";
import type { Route } from "../routes/entities.js";
import type { AttemptResult } from "./attempt.js";

export type NextStep =
    | { readonly kind: "done" }
    /** Sends the request again; a stream goes on behind its last event. */
    | { readonly kind: "again"; readonly reason: string }
    /** Ends the request: no attempt ran, so the caller may safely come back. */
    | { readonly kind: "refuse"; readonly reason: string }
    /** Ends the request with the upstream's own failure. */
    | { readonly kind: "pass-failure" }
    /** Ends the request without a promise about whether it ran. */
    | { readonly kind: "fail"; readonly reason: string }
    | { readonly kind: "time-over" }
    | { readonly kind: "caller-left" };

export interface RequestProgress {
    readonly route: Route;
    /** Attempts that ran or may have run. */
    readonly runs: number;
    /** Attempts that certainly did not run. */
    readonly rejections: number;
    /** The caller has a part of a stream. */
    readonly hasBegun: boolean;
    readonly remainingMilliseconds: number;
    /** Another upstream could take the request. */
    readonly hasCandidate: boolean;
    /** Takes one further send from the budget of the service. */
    readonly takeBudget: () => boolean;
}

/** Attempts that may be rejected before the request is refused; more would only add to the load of full upstreams. */
const MAXIMUM_REJECTIONS = 3;

/** Time below which another attempt is pointless, milliseconds. */
const LEAST_REMAINING_MILLISECONDS = 30;

function canRunAgain(progress: RequestProgress): boolean {
    return (
        isRepeatable(progress.route) &&
        progress.runs < progress.route.maximumAttempts &&
        progress.remainingMilliseconds > LEAST_REMAINING_MILLISECONDS &&
        progress.hasCandidate &&
        progress.takeBudget()
    );
}

/** Returns the end of a request after which nothing more can be tried. */
export function giveUp(progress: RequestProgress, reason: string): NextStep {
    return progress.runs === 0 && !progress.hasBegun ? { kind: "refuse", reason } : { kind: "fail", reason };
}

export function nextStep(result: AttemptResult, progress: RequestProgress): NextStep {
    switch (result.kind) {
        case "delivered":
            return { kind: "done" };
        case "ended":
            return { kind: result.reason === "caller left" ? "caller-left" : "time-over" };
        case "doubted":
            return { kind: "again", reason: "a larger model should answer" };
        case "not-run": {
            const mayGoOn =
                progress.rejections < MAXIMUM_REJECTIONS &&
                progress.remainingMilliseconds > LEAST_REMAINING_MILLISECONDS &&
                progress.hasCandidate &&
                progress.takeBudget();
            return mayGoOn ? { kind: "again", reason: result.reason } : giveUp(progress, result.reason);
        }
        case "failed":
            return canRunAgain(progress)
                ? { kind: "again", reason: result.reason }
                : { kind: "pass-failure" };
        case "lost":
            return canRunAgain(progress)
                ? { kind: "again", reason: result.reason }
                : { kind: "fail", reason: result.reason };
    }
}
