/**
 * Chooses the upstream of an attempt. Pure function of its arguments, without I/O.
 *
 * Designed for services whose upstreams cache prompt prefixes and where a few very long prompts block the
 * requests behind them. A request goes to the upstream with the lowest expected delay, computed from the load
 * of all nodes, the prompt tokens that are not cached, recent failures and free memory.
 */
import { hashToUnit, rendezvousOrder } from "../common/hash.js";
import type { Load } from "./load-board.js";
import type { Random } from "../common/random.js";
import { chooseAcrossDataCentres } from "./data-centre-choice.js";
import type { ChoicePlacement, DataCentreView } from "./data-centre-choice.js";
import { expectedDelay, isAvoided } from "./expected-delay.js";
import { COLD_WINDOW_MILLISECONDS } from "./upstream-table.js";
import type { RegisteredUpstream } from "./upstream-table.js";

/** Which versions should serve a request. */
export interface VersionPreference {
    readonly matches: (version: string) => boolean;
    /**
     * Share of the matching upstreams that are used. Below 1, these few upstreams get as many requests each as
     * they would if all requests ran on their version.
     */
    readonly upstreamShare: number;
    /**
     * Number of matching upstreams that get all of the requests, to see how the version bears load. Recorded
     * failures do not spread the requests: they may be what the load causes.
     */
    readonly testedUpstreams?: number;
    /** Whether another version may serve the request when no matching upstream can. */
    readonly allowsOthers: boolean;
}

export interface ChoiceContext {
    readonly now: number;
    /** Key of the shared prompt prefix; `undefined` when the request has no prefix worth caching. */
    readonly affinityKey: string | undefined;
    /**
     * Prompt tokens of the shared prefix that an upstream without it must process, in tokens of the largest
     * model.
     */
    readonly sharedTokens: number;
    /** Memory that the request needs, in tokens. */
    readonly neededTokens: number;
    /** Memory of one upstream, in tokens; `undefined` when memory does not limit it. */
    readonly capacityTokens: number | undefined;
    readonly loadOf: (upstream: RegisteredUpstream) => Load;
    /** Number of other nodes that have ejected the upstream. */
    readonly ejectionsOf: (upstream: RegisteredUpstream) => number;
    /** Preference among the versions; `undefined` when all versions are equal. */
    readonly versionPreference: VersionPreference | undefined;
    /** Ids of upstreams that an earlier attempt of the request used. */
    readonly excluded: ReadonlySet<string>;
    /** Maximum rate at which this node may send to the upstream while it is cold, requests per second. */
    readonly coldAllowance: (upstream: RegisteredUpstream) => number;
    /** Whether the limit that the upstream names allows this node one more request now. */
    readonly hasRoom: (upstream: RegisteredUpstream) => boolean;
    readonly random: Random;
    /**
     * Time for the work before the request, milliseconds. `unreadTokens` are those of the shared prefix that the
     * upstream must process.
     *
     * @default the same speed of all upstreams
     */
    readonly workOf?: (upstream: RegisteredUpstream, load: Load, unreadTokens: number) => number;
    /** Weighs the data centres; `undefined` when they make no difference. */
    readonly dataCentres?: DataCentreView;
}

export interface Choice {
    readonly upstream: RegisteredUpstream;
    /** Expected delay at the chosen upstream, milliseconds. */
    readonly score: number;
    /** Id of another candidate; `undefined` when there is only one. */
    readonly runnerUp: string | undefined;
    readonly candidates: number;
    /** The request is part of a load test. */
    readonly isTest: boolean;
    /** Why the request stays in its data centre or leaves it; absent when that was not weighed. */
    readonly placement?: ChoicePlacement;
}

/** Whether this node may send one more request to a cold upstream now. */
export function hasColdAllowance(
    upstream: RegisteredUpstream,
    now: number,
    requestsPerSecond: number,
): boolean {
    const since = now - COLD_WINDOW_MILLISECONDS;
    return upstream.recentSends.filter(time => time > since).length < requestsPerSecond;
}

/** Maps a key to an upstream id by rendezvous hashing: nodes with the same upstreams get the same result. */
function preferredUpstream(upstreams: readonly RegisteredUpstream[], key: string): string | undefined {
    let best: string | undefined;
    let bestWeight = -1;
    for (const { entry } of upstreams) {
        const weight = hashToUnit(`${key}\u0000${entry.id}`);
        if (weight > bestWeight) {
            best = entry.id;
            bestWeight = weight;
        }
    }
    return best;
}

/** The first upstreams of a version, by an order that all nodes share. */
function concentrate(
    candidates: readonly RegisteredUpstream[],
    count: number,
): readonly RegisteredUpstream[] {
    const order = rendezvousOrder(
        "version",
        candidates.map(({ entry }) => entry.id),
    );
    const chosen = new Set(order.slice(0, count));
    return candidates.filter(({ entry }) => chosen.has(entry.id));
}

function candidatesOf(
    upstreams: readonly RegisteredUpstream[],
    allowed: readonly RegisteredUpstream[],
    context: ChoiceContext,
): readonly RegisteredUpstream[] {
    const preference = context.versionPreference;
    const matches = ({ entry }: RegisteredUpstream): boolean => preference?.matches(entry.version) ?? true;
    const matching = allowed.filter(matches);
    if (preference?.testedUpstreams !== undefined) {
        const tested = concentrate(
            matching.filter(({ health }) => !health.isUnavailable(context.now)),
            preference.testedUpstreams,
        );
        if (tested.length > 0) {
            return tested;
        }
    }
    const healthy = matching.filter(upstream => !isAvoided(upstream, context));
    const candidates = healthy.length > 0 ? healthy : matching;
    if (preference === undefined) {
        return candidates;
    }
    if (candidates.length === 0) {
        return preference.allowsOthers ? allowed : [];
    }
    return preference.upstreamShare < 1
        ? concentrate(candidates, Math.ceil(preference.upstreamShare * upstreams.filter(matches).length))
        : candidates;
}

/** Returns `undefined` when no upstream may receive the request now. */
export function chooseUpstream(
    upstreams: readonly RegisteredUpstream[],
    context: ChoiceContext,
): Choice | undefined {
    const allowed = upstreams.filter(
        upstream =>
            !context.excluded.has(upstream.entry.id) &&
            !upstream.health.isPaused(context.now) &&
            context.hasRoom(upstream) &&
            (upstream.coldUntil <= context.now ||
                hasColdAllowance(upstream, context.now, context.coldAllowance(upstream))),
    );
    const candidates = candidatesOf(upstreams, allowed, context);
    // A shift compares the answers of its versions, which must not differ by the way to their upstreams.
    if (context.dataCentres !== undefined && context.versionPreference === undefined) {
        return chooseAcrossDataCentres(candidates, context, context.dataCentres);
    }
    const preferred =
        context.affinityKey === undefined ? undefined : preferredUpstream(candidates, context.affinityKey);
    let best: RegisteredUpstream | undefined;
    let bestScore = Infinity;
    let runnerUp: RegisteredUpstream | undefined;
    for (const upstream of candidates) {
        const score = expectedDelay(upstream, context, upstream.entry.id === preferred);
        if (score < bestScore) {
            runnerUp = best;
            best = upstream;
            bestScore = score;
        }
        else {
            runnerUp ??= upstream;
        }
    }
    return best === undefined
        ? undefined
        : {
              upstream: best,
              score: bestScore,
              runnerUp: runnerUp?.entry.id,
              candidates: candidates.length,
              isTest: context.versionPreference?.testedUpstreams !== undefined,
          };
}
