/** Entities of the routing configuration: routes, services, workspaces and what callers may send. */

/**
 * What may be repeated on a route.
 *
 * - `idempotent`: a request may run any number of times.
 * - `once`: a request runs at most once per caller attempt.
 * - `stream`: answers are event streams; a request may run again only where the route is resumable.
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
    /** Services that share the route's requests, by weight. */
    readonly split: readonly WeightedService[];
    /** Longest time that a caller is kept waiting, milliseconds. */
    readonly timeoutMilliseconds: number;
    /** Time to a full answer, or to the first event of a stream, milliseconds. */
    readonly targetLatencyMilliseconds: number;
    /** Longest pause between two events, milliseconds. Only on streams. */
    readonly targetGapMilliseconds: number | undefined;
    /** Upstreams at which one request may run. */
    readonly maximumAttempts: number;
    /** Requests need no key. */
    readonly public: boolean;
    /** A broken stream may go on at another upstream behind the last event. */
    readonly resumable: boolean;
    /** Models that may answer, smallest first. Empty where the caller names the model. */
    readonly models: readonly string[];
}

export interface Service {
    readonly name: string;
    /** Requests a second that a cold upstream bears; 0 when it needs no protection. */
    readonly coldRequestsPerSecond: number;
    /** Memory of one model engine, in tokens; `undefined` for plain services. */
    readonly engineTokens: number | undefined;
    /** Price of 1,000 generated tokens by model. */
    readonly modelCosts: ReadonlyMap<string, number>;
}

export interface Workspace {
    readonly name: string;
    readonly keys: readonly string[];
}

export interface CallerLimits {
    readonly maximumHeaderBytes: number;
    readonly maximumBodyBytes: number;
    /** Time for a caller to send the headers of a request, milliseconds. */
    readonly headerTimeoutMilliseconds: number;
    /** Time that a connection may stay idle, milliseconds. */
    readonly idleTimeoutMilliseconds: number;
}

export interface RoutingConfiguration {
    readonly version: number;
    readonly routes: readonly Route[];
    readonly services: ReadonlyMap<string, Service>;
    /** `undefined` when requests need no key. */
    readonly workspaces: readonly Workspace[] | undefined;
    readonly limits: CallerLimits;
}

/** Whether a request of the route may run a second time after the first attempt may have run. */
export function isRepeatable(route: Route): boolean {
    return route.kind === "idempotent" || (route.kind === "stream" && route.resumable);
}
