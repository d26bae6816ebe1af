/** Joins what the placement of requests across data centres needs: prefixes, the leaving share and the log. */
import type { UpstreamSend } from "../upstreams/send.js";
import type { LogFields } from "../logging/logging.js";
import type { ChoicePlacement, DataCentreView, PrefixDemand } from "./data-centre-choice.js";
import { crossingBytes } from "./leaving-cost.js";
import type { PlacementPrices } from "./leaving-cost.js";
import type { PrefixUses } from "./prefix-uses.js";
import type { Spillover } from "./spillover.js";
import type { Choice, ChoiceContext } from "./upstream-choice.js";

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
}

/** An attempt at the upstream that was chosen. */
export interface PlacedAttempt {
    readonly send: UpstreamSend;
    /** Terms of the choice for the log. */
    readonly fields: LogFields;
    end(): void;
}

export interface RequestPlacement {
    /** Inputs of the choice beside those that it always has. */
    inputs(request: PlacedRequest, now: number): Pick<ChoiceContext, "dataCentres">;
    /** Records an attempt that is about to be sent. */
    begin(request: PlacedRequest, choice: Choice, now: number): PlacedAttempt;
}

export interface RequestPlacementOptions {
    readonly dataCentre: string;
    readonly prices: PlacementPrices;
    /** Data centre of each node, this one included. Returns the same array until the list changes. */
    readonly nodes: () => readonly { readonly dataCentre: string }[];
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

const NO_PREFIX: PrefixDemand = { ownRequests: 0, allRequests: 0, upstreams: 1 };

/** Number of upstreams of a data centre that serve a prefix with so many requests in flight there. */
export function prefixUpstreams(requestsInFlight: number): number {
    const needed = Math.ceil(requestsInFlight / REQUESTS_PER_PREFIX_UPSTREAM);
    return Math.max(1, Math.min(MAXIMUM_PREFIX_UPSTREAMS, needed));
}

function fieldsOf(placement: ChoicePlacement | undefined, share: number): LogFields {
    if (placement === undefined) {
        return {};
    }
    const rounded = (value: number): number => Math.round(value * 10) / 10;
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

    return {
        inputs: (request, now) => {
            const view: DataCentreView = {
                own: options.dataCentre,
                targetLatencyMilliseconds: request.targetLatencyMilliseconds,
                crossingBytes: crossingBytes(request.bodyBytes, request.expectedEvents),
                prices: options.prices,
                prefix: prefixDemand(request.affinityKey, now),
                mayLeave: demand => spillover.mayLeave(spilloverKey(request), demand, now),
            };
            return { dataCentres: view };
        },
        begin: (request, choice, now) => {
            const left = choice.upstream.entry.dataCentre !== options.dataCentre;
            if (left) {
                options.countLeft(request.service, choice.placement?.reason ?? "shift");
            }
            const endPrefixUse =
                request.affinityKey === undefined ? undefined : prefixUses.begin(request.affinityKey, now);
            return {
                send: left ? countingSend : options.send,
                fields: fieldsOf(choice.placement, spillover.share(spilloverKey(request))),
                end: () => endPrefixUse?.(),
            };
        },
    };
}
