/** Entities of the routing configuration: routes, services, workspaces and limits for callers. */
import type { ScalingRule } from "../duties/scaling-decision.js";

/**
 * Decides which requests of a route may be retried.
 *
 * - `idempotent`: a request may run any number of times.
 * - `once`: a request runs at most once for each attempt of its caller.
 * - `stream`: responses are event streams; a request may run again only if the route is resumable.
 */
export type RouteKind = "idempotent" | "once" | "stream";

export interface WeightedService {
    readonly service: string;
    readonly weight: number;
}

export interface Route {
    readonly name: string;
    /** Value of the Host header, in lower case. */
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly prefix: string;
    readonly kind: RouteKind;
    /** Services among which the requests are divided by weight. */
    readonly split: readonly WeightedService[];
    /** Timeout of a request, milliseconds. */
    readonly timeoutMilliseconds: number;
    /** Target time to the whole response, or to the first event of a stream, milliseconds. */
    readonly targetLatencyMilliseconds: number;
    /** Target for the longest time between two events, milliseconds. Only for streams. */
    readonly targetGapMilliseconds: number | undefined;
    /** Maximum number of attempts of a request that run or may have run. */
    readonly maximumAttempts: number;
    /** Requests need no API key. */
    readonly public: boolean;
    /** A broken stream may resume at another upstream after its last event. */
    readonly resumable: boolean;
    /** Models that the router may choose, smallest first. Empty where only the caller chooses the model. */
    readonly models: readonly string[];
}

export interface Service {
    readonly name: string;
    /** Requests per second that a cold upstream can serve; 0 when it needs no limit. */
    readonly coldRequestsPerSecond: number;
    /** Memory of one engine, in tokens; `undefined` for services without models. */
    readonly engineTokens: number | undefined;
    /** Price of 1,000 generated tokens by model. */
    readonly modelCosts: ReadonlyMap<string, number>;
    /** How far the service may be scaled in each data centre; `undefined` when its size is fixed. */
    readonly scaling?: ScalingRule;
}

export interface Workspace {
    readonly name: string;
    readonly keys: readonly string[];
}

export interface CallerLimits {
    readonly maximumHeaderBytes: number;
    readonly maximumBodyBytes: number;
    /** Timeout for receiving the headers of a request, milliseconds. */
    readonly headerTimeoutMilliseconds: number;
    /** Time after which an idle connection is closed, milliseconds. */
    readonly idleTimeoutMilliseconds: number;
}

export interface RoutingConfiguration {
    readonly version: number;
    readonly routes: readonly Route[];
    readonly services: ReadonlyMap<string, Service>;
    /** `undefined` when requests need no API key. */
    readonly workspaces: readonly Workspace[] | undefined;
    readonly limits: CallerLimits;
}

/** Whether a request of the route may be retried after an attempt that may have run. */
export function isRepeatable(route: Route): boolean {
    return route.kind === "idempotent" || (route.kind === "stream" && route.resumable);
}
