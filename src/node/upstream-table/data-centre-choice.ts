/**
 * Chooses among candidates in several data centres. Pure function of its arguments, without I/O.
 *
 * Designed for services of engines with several upstreams in each data centre, whose requests share prompt
 * prefixes, and for plain services with one upstream in each data centre and target latencies of 150 to 400 ms.
 * A request stays where the price of leaving exceeds the loss that its delay makes likely; see
 * docs/design/data-centres.md.
 */
import { hashToUnit } from "../common/hash.js";
import { delayTerms } from "./expected-delay.js";
import { delayWithPrice } from "./leaving-cost.js";
import type { PlacementPrices } from "./leaving-cost.js";
import type { SpilloverDemand } from "./spillover.js";
import type { Choice, ChoiceContext } from "./upstream-choice.js";
import type { RegisteredUpstream } from "./upstream-table.js";

/** How much a prompt prefix is in demand while an upstream keeps it cached. */
export interface PrefixDemand {
    /** Requests with the prefix in the own data centre. */
    readonly ownRequests: number;
    /** Requests with the prefix in all data centres. */
    readonly allRequests: number;
    /** Number of own upstreams that serve the prefix. */
    readonly upstreams: number;
}

export interface DataCentreView {
    readonly own: string;
    readonly targetLatencyMilliseconds: number;
    /** Bytes of the request and its expected answer, which cross when the request leaves. */
    readonly crossingBytes: number;
    readonly prices: PlacementPrices;
    readonly prefix: PrefixDemand;
    /**
     * Maximum random delay of upstreams elsewhere, milliseconds. Spreads the requests that leave over upstreams whose
     * loads are too old to tell them apart.
     */
    readonly spreadMilliseconds: number;
    /** Whether a request leaves because of the load of the own upstreams. */
    readonly mayLeave: (demand: SpilloverDemand) => boolean;
}

/**
 * Why an upstream was chosen.
 *
 * - `own`: an upstream of the own data centre costs least.
 * - `prefix`: at each own upstream, reading the prefix again costs more than leaving.
 * - `load`: the own upstreams are loaded, and the request is in the share that leaves. Other upstreams may then be
 *   slightly worse.
 * - `share`: leaving is worthwhile, but the request is not in the share that leaves.
 * - `retry`: an attempt has failed, and leaving is worthwhile.
 * - `none`: no own upstream is fit.
 */
export type PlacementReason = "own" | "prefix" | "load" | "share" | "retry" | "none";

export interface ChoicePlacement {
    readonly dataCentre: string;
    /** The request leaves its data centre. */
    readonly left: boolean;
    readonly reason: PlacementReason;
    /** Time for the work before the request, milliseconds. */
    readonly work: number;
    /** Delay that is as bad as the bytes and prompt tokens that the choice costs, milliseconds. */
    readonly price: number;
    readonly penalty: number;
    /** Prompt tokens of the shared prefix that the upstream is expected to read. */
    readonly unreadTokens: number;
    /** Lowest score in the own data centre, milliseconds. */
    readonly ownScore: number | undefined;
}

interface Candidate {
    readonly upstream: RegisteredUpstream;
    readonly isOwn: boolean;
    readonly unreadTokens: number;
    /** Price in bytes between data centres. */
    readonly bytes: number;
    readonly work: number;
    readonly price: number;
    readonly penalty: number;
    readonly score: number;
}

/** Round trip to another data centre, milliseconds. */
const ROUND_TRIP_MILLISECONDS = 2;

/**
 * Expected part of the shared prefix that an upstream has not cached, by upstream id; others have nothing of it.
 * The first upstream of the prefix in all data centres has it after the first request anywhere; the first ones
 * in the own data centre have it after the first request there.
 */
function unreadShares(
    candidates: readonly RegisteredUpstream[],
    key: string,
    view: DataCentreView,
): ReadonlyMap<string, number> {
    const order = candidates
        .map(({ entry }) => ({ entry, weight: hashToUnit(`${key}\u0000${entry.id}`) }))
        .sort((first, second) => second.weight - first.weight)
        .map(({ entry }) => entry);
    const { ownRequests, allRequests, upstreams } = view.prefix;
    const shares = new Map<string, number>();
    for (const { id } of order.filter(({ dataCentre }) => dataCentre === view.own).slice(0, upstreams)) {
        shares.set(id, 1 / (1 + ownRequests / upstreams));
    }
    if (order[0] !== undefined) {
        shares.set(order[0].id, 1 / (1 + allRequests));
    }
    return shares;
}

function best(candidates: readonly Candidate[]): Candidate | undefined {
    return candidates.reduce<Candidate | undefined>(
        (lowest, candidate) => (lowest === undefined || candidate.score < lowest.score ? candidate : lowest),
        undefined,
    );
}

function decide(
    ownCandidates: readonly Candidate[],
    otherCandidates: readonly Candidate[],
    context: ChoiceContext,
    view: DataCentreView,
): { readonly candidate: Candidate; readonly reason: PlacementReason } | undefined {
    const own = best(ownCandidates);
    const other = best(otherCandidates);
    if (own === undefined || other === undefined) {
        const candidate = own ?? other;
        return candidate && { candidate, reason: candidate.isOwn ? "own" : "none" };
    }
    const isBetter = other.score < own.score;
    // The load of the upstream that has the prefix does not count here: all nodes would leave at once.
    if (isBetter && ownCandidates.every(({ bytes }) => other.bytes < bytes)) {
        return { candidate: other, reason: "prefix" };
    }
    if (isBetter && context.excluded.size > 0) {
        return { candidate: other, reason: "retry" };
    }
    const leaves = view.mayLeave({
        ownDelay: own.score,
        otherDelay: other.score,
        targetLatencyMilliseconds: view.targetLatencyMilliseconds,
    });
    if (leaves) {
        return { candidate: other, reason: "load" };
    }
    return { candidate: own, reason: isBetter ? "share" : "own" };
}

/** Returns `undefined` when there are no candidates. */
export function chooseAcrossDataCentres(
    upstreams: readonly RegisteredUpstream[],
    context: ChoiceContext,
    view: DataCentreView,
): Choice | undefined {
    const shares =
        context.affinityKey === undefined
            ? new Map<string, number>()
            : unreadShares(upstreams, context.affinityKey, view);
    const isOwn = ({ entry }: RegisteredUpstream): boolean => entry.dataCentre === view.own;
    const terms = upstreams.map(upstream => {
        const unreadTokens = context.sharedTokens * (shares.get(upstream.entry.id) ?? 1);
        return { upstream, unreadTokens, ...delayTerms(upstream, context, unreadTokens) };
    });
    const hasFitOwn = terms.some(({ upstream, isFit }) => isOwn(upstream) && isFit);
    const candidates = terms.map(({ upstream, unreadTokens, work, penalty, jitter }): Candidate => {
        const crosses = !isOwn(upstream);
        const bytes =
            (crosses && hasFitOwn ? view.crossingBytes : 0) + unreadTokens * view.prices.promptTokenBytes;
        const delay =
            work +
            jitter +
            (crosses ? ROUND_TRIP_MILLISECONDS + context.random() * view.spreadMilliseconds : 0);
        const priced = delayWithPrice(delay, bytes, view.targetLatencyMilliseconds, view.prices);
        return {
            upstream,
            isOwn: !crosses,
            unreadTokens,
            bytes,
            work,
            price: priced - delay,
            penalty,
            score: priced + penalty,
        };
    });
    const ownCandidates = candidates.filter(candidate => candidate.isOwn);
    const lowest = best(candidates);
    const decision =
        hasFitOwn || lowest === undefined
            ? decide(
                  ownCandidates,
                  candidates.filter(candidate => !candidate.isOwn),
                  context,
                  view,
              )
            : { candidate: lowest, reason: lowest.isOwn ? ("own" as const) : ("none" as const) };
    if (decision === undefined) {
        return undefined;
    }
    const { candidate, reason } = decision;
    return {
        upstream: candidate.upstream,
        score: candidate.score,
        runnerUp: best(candidates.filter(({ upstream }) => upstream !== candidate.upstream))?.upstream.entry
            .id,
        candidates: candidates.length,
        isTest: false,
        placement: {
            dataCentre: candidate.upstream.entry.dataCentre,
            left: !candidate.isOwn,
            reason,
            work: candidate.work,
            price: candidate.price,
            penalty: candidate.penalty,
            unreadTokens: candidate.unreadTokens,
            ownScore: best(ownCandidates)?.score,
        },
    };
}
