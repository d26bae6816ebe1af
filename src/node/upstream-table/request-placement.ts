/** Joins what the placement of requests needs: data centres, prefixes, the leaving share, speeds and the log. */
import type { UpstreamSend } from "../upstreams/send.js";
import type { LogFields } from "../logging/logging.js";
import { createAverageLoads } from "./average-loads.js";
import { expectedWork } from "./expected-work.js";
import type { ChoicePlacement, DataCentreView, PrefixDemand } from "./data-centre-choice.js";
import { crossingBytes } from "./leaving-cost.js";
import type { PlacementPrices } from "./leaving-cost.js";
import type { PrefixUses } from "./prefix-uses.js";
import type { Load } from "./load-board.js";
import type { Spillover } from "./spillover.js";
import type { Choice, ChoiceContext } from "./upstream-choice.js";
import { stepMilliseconds } from "./upstream-speeds.js";
import type { SpeedMeasure, UpstreamSpeeds } from "./upstream-speeds.js";

/** What of a request decides its placement. */
export interface PlacedRequest {
    readonly service: string;
    readonly route: string;
    readonly targetLatencyMilliseconds: number;
    readonly bodyBytes: number;
    /** Events of the answer that the caller expects; 0 where the answer is no stream. */
    readonly expectedEvents: number;
    /** Key of the shared prompt prefix; `undefined` when there is none. */
    readonly affinityKey: string | undefined;
    /** The service has model engines. */
    readonly isEngine: boolean;
    readonly model: string | undefined;
    /** Prompt tokens and those of them that are shared, in tokens of the largest model. */
    readonly promptTokens: number;
    readonly sharedTokens: number;
}

/** An attempt at the upstream that was chosen. */
export interface PlacedAttempt {
    readonly send: UpstreamSend;
    /** Terms of the choice for the log. */
    readonly fields: LogFields;
    /** Prompt tokens that the upstream is expected to process, in tokens of the largest model. */
    readonly pendingTokens: number;
    /** Records that a successful answer has begun. */
    recordAnswer(now: number): void;
    /** @param paceMilliseconds Average time between events; `undefined` when there were too few. */
    end(paceMilliseconds: number | undefined, now: number): void;
}

export interface RequestPlacement {
    /** Inputs of the choice beside those that it always has. */
    inputs(request: PlacedRequest, now: number): Pick<ChoiceContext, "dataCentres" | "workOf">;
    /**
     * Records an attempt that is about to be sent.
     *
     * @param load Load of the upstream without the request.
     */
    begin(request: PlacedRequest, choice: Choice, load: Load, now: number): PlacedAttempt;
}

export interface RequestPlacementOptions {
    readonly dataCentre: string;
    /** Whether requests should stay in their data centre. */
    readonly prefersOwn: boolean;
    /** Speeds that are learnt; `undefined` when all upstreams count as equally fast. */
    readonly speeds: UpstreamSpeeds | undefined;
    readonly prices: PlacementPrices;
    /** Data centre of each node, this one included. Returns the same array until the list changes. */
    readonly nodes: () => readonly { readonly dataCentre: string }[];
    /** Prompt tokens of this node's requests that an upstream has not processed yet. */
    readonly ownPendingTokens: (upstream: string) => number;
    readonly prefixUses: PrefixUses;
    readonly spillover: Spillover;
    readonly send: UpstreamSend;
    /** Counts a request that leaves the data centre. */
    readonly countLeft: (service: string, reason: string) => void;
    /** Counts bytes of bodies that pass between data centres. */
    readonly countBytes: (direction: "sent" | "received", bytes: number) => void;
}

/** Requests with the same prefix in flight in the own data centre for which one upstream is enough. */
const REQUESTS_PER_PREFIX_UPSTREAM = 16;

const MAXIMUM_PREFIX_UPSTREAMS = 3;

/**
 * Prompt tokens from which the time to the first event tells the prompt speed. With fewer, the round trip and the
 * first step make most of it.
 */
const MINIMUM_MEASURED_TOKENS = 400;

/** Round trip within a data centre and the work around a request, milliseconds. */
const OVERHEAD_MILLISECONDS = 2;

/**
 * Pending prompt tokens of other nodes up to which their average counts instead of the newest reports. An engine
 * reads them in 180 to 350 ms, so newer reports would not name them; longer prompts count at once.
 */
const AVERAGED_TOKENS = 20_000;

/** Random delay of plain upstreams elsewhere, relative to the target latency: half of the time that work takes. */
const PLAIN_SPREAD_RATIO = 0.2;

const NO_PREFIX: PrefixDemand = { ownRequests: 0, allRequests: 0, upstreams: 1 };

/** Number of upstreams of a data centre that serve a prefix with so many requests in flight there. */
export function prefixUpstreams(requestsInFlight: number): number {
    const needed = Math.ceil(requestsInFlight / REQUESTS_PER_PREFIX_UPSTREAM);
    return Math.max(1, Math.min(MAXIMUM_PREFIX_UPSTREAMS, needed));
}

function rounded(value: number): number {
    return Math.round(value * 10) / 10;
}

function fieldsOf(placement: ChoicePlacement | undefined, share: number): LogFields {
    if (placement === undefined) {
        return {};
    }
    return {
        dataCentre: placement.dataCentre,
        left: placement.left,
        placement: placement.reason,
        work: rounded(placement.work),
        price: rounded(placement.price),
        penalty: placement.penalty === 0 ? undefined : rounded(placement.penalty),
        unreadTokens: Math.round(placement.unreadTokens),
        ownScore: placement.ownScore === undefined ? undefined : rounded(placement.ownScore),
        leavingShare: share === 0 ? undefined : Math.round(share * 100) / 100,
    };
}

export function createRequestPlacement(options: RequestPlacementOptions): RequestPlacement {
    const { prefixUses, spillover } = options;
    const averageRequests = createAverageLoads();
    const averageTokens = createAverageLoads();
    let knownNodes: readonly { readonly dataCentre: string }[] | undefined;
    let ownNodes = 1;

    const countOwnNodes = (): number => {
        const nodes = options.nodes();
        if (nodes !== knownNodes) {
            knownNodes = nodes;
            ownNodes = nodes.filter(node => node.dataCentre === options.dataCentre).length;
        }
        return Math.max(1, ownNodes);
    };

    const prefixDemand = (key: string | undefined, now: number): PrefixDemand => {
        if (key === undefined) {
            return NO_PREFIX;
        }
        const { recentRequests, requestsInFlight } = prefixUses.use(key, now);
        const own = countOwnNodes();
        return {
            ownRequests: recentRequests * own,
            allRequests: recentRequests * Math.max(own, options.nodes().length),
            upstreams: prefixUpstreams(requestsInFlight * own),
        };
    };

    const speedFields = (request: PlacedRequest, process: string, now: number): LogFields => {
        const speed = options.speeds?.speedOf(request.service, request.model ?? "", process, now);
        const value = request.isEngine ? speed?.promptTokensPerMillisecond : speed?.workMilliseconds;
        return speed === undefined || value === undefined
            ? {}
            : {
                  [request.isEngine ? "tokensPerMillisecond" : "workMilliseconds"]: rounded(value),
                  speedRequests: speed.requests,
              };
    };

    const spilloverKey = ({ service, route }: PlacedRequest): string => `${service}\u0000${route}`;

    const countingSend: UpstreamSend = (request, handlers) => {
        let received = 0;
        options.countBytes("sent", request.body === undefined ? 0 : Buffer.byteLength(request.body));
        return options.send(request, {
            ...handlers,
            onChunk: chunk => {
                received += chunk.length;
                handlers.onChunk(chunk);
            },
            onEnd: () => {
                options.countBytes("received", received);
                handlers.onEnd();
            },
            onFailure: (...failure) => {
                options.countBytes("received", received);
                handlers.onFailure(...failure);
            },
        });
    };

    const viewOf = (request: PlacedRequest, now: number): DataCentreView => ({
        own: options.dataCentre,
        targetLatencyMilliseconds: request.targetLatencyMilliseconds,
        crossingBytes: crossingBytes(request.bodyBytes, request.expectedEvents),
        prices: options.prices,
        prefix: prefixDemand(request.affinityKey, now),
        spreadMilliseconds: request.isEngine ? 0 : PLAIN_SPREAD_RATIO * request.targetLatencyMilliseconds,
        mayLeave: demand => spillover.mayLeave(spilloverKey(request), demand, now),
    });

    /** Replaces the pending tokens of other nodes by their average, as far as they are not long prompts. */
    const withAverageTokens = (upstream: string, load: Load, now: number): Load => {
        const ownTokens = options.ownPendingTokens(upstream);
        const others = Math.max(0, load.pendingTokens - ownTokens);
        const averaged = Math.min(AVERAGED_TOKENS, others);
        const average = averageTokens.record(upstream, averaged, now);
        return { ...load, pendingTokens: ownTokens + others - averaged + average };
    };

    const workOf =
        (request: PlacedRequest, now: number, speeds: UpstreamSpeeds): ChoiceContext["workOf"] =>
        ({ entry, process, health }, load, unreadTokens) =>
            expectedWork(
                {
                    load: request.isEngine ? withAverageTokens(entry.id, load, now) : load,
                    averageRequests: request.isEngine
                        ? 0
                        : averageRequests.record(entry.id, load.requests, now),
                    unreadTokens,
                    ownTokens: request.promptTokens - request.sharedTokens,
                    slots: entry.slots,
                    isEngine: request.isEngine,
                    slowness: health.slowness(),
                },
                speeds.speedOf(request.service, request.model ?? "", process, now),
            );

    return {
        inputs: (request, now) => ({
            ...(options.prefersOwn ? { dataCentres: viewOf(request, now) } : {}),
            ...(options.speeds === undefined ? {} : { workOf: workOf(request, now, options.speeds) }),
        }),
        begin: (request, choice, load, now) => {
            const { entry, process } = choice.upstream;
            const left = entry.dataCentre !== options.dataCentre;
            if (left) {
                options.countLeft(request.service, choice.placement?.reason ?? "not-weighed");
            }
            const endPrefixUse =
                request.affinityKey === undefined ? undefined : prefixUses.begin(request.affinityKey, now);
            const cachedTokens =
                options.speeds === undefined || choice.placement === undefined
                    ? 0
                    : request.sharedTokens - choice.placement.unreadTokens;
            const pendingTokens = request.promptTokens - cachedTokens;
            const record = (measure: SpeedMeasure, value: number, at: number): void =>
                options.speeds?.record(request.service, request.model ?? "", process, measure, value, at);
            // A request that waits for a slot does not show the speed.
            const hasSlot = load.requests < entry.slots;
            return {
                send: left ? countingSend : options.send,
                fields: {
                    ...fieldsOf(choice.placement, spillover.share(spilloverKey(request))),
                    ...speedFields(request, process, now),
                },
                pendingTokens,
                recordAnswer: at => {
                    const elapsed = Math.max(1, at - now - OVERHEAD_MILLISECONDS);
                    const tokens = load.pendingTokens + pendingTokens;
                    if (!request.isEngine && hasSlot) {
                        record("work", elapsed, at);
                    }
                    else if (request.isEngine && hasSlot && tokens >= MINIMUM_MEASURED_TOKENS) {
                        record("prompt", tokens / Math.max(1, elapsed - stepMilliseconds(load.requests)), at);
                    }
                },
                end: (paceMilliseconds, at) => {
                    endPrefixUse?.();
                    if (request.isEngine && paceMilliseconds !== undefined) {
                        record("step", paceMilliseconds / stepMilliseconds(load.requests), at);
                    }
                },
            };
        },
    };
}
