/**
 * Fields of requests and responses that the router uses, independent of header names. An adapter translates
 * between HTTP headers and these types.
 */
import type { IncomingHttpHeaders, OutgoingHttpHeaders } from "node:http";

export interface PromptPart {
    readonly id: string;
    readonly tokens: number;
}

/** Fields of a caller's request. */
export interface RequestHead {
    /** Identifies one attempt of a caller. */
    readonly attemptId: string | undefined;
    /** Time until the caller's deadline, milliseconds. */
    readonly remainingMilliseconds: number | undefined;
    /** API key of the caller's workspace. */
    readonly key: string | undefined;
    readonly promptTokens: number;
    readonly maximumOutputTokens: number;
    /** Number of generated tokens that the caller expects. */
    readonly expectedOutputTokens: number | undefined;
    /** Parts of the prompt in order. Only the last one is specific to the request. */
    readonly promptParts: readonly PromptPart[];
    /** Id of the session, shared by requests that belong together. */
    readonly session: string | undefined;
    /** The caller lets the router choose the model. */
    readonly allowsModelChoice: boolean;
    /** Id of the last event of the stream that the caller has received. */
    readonly lastEventId: string | undefined;
    /**
     * Attempts that the node which handed the request over leaves to this one.
     *
     * @default those of the route
     */
    readonly maximumAttempts?: number | undefined;
}

/** Fields that the router sets on a request to an upstream. */
export interface ForwardedFields {
    readonly remainingMilliseconds: number;
    /** Id of the only upstream that may run the request. */
    readonly upstreamId: string;
    readonly workspace: string | undefined;
    /** `undefined` to keep the caller's choice. */
    readonly model: string | undefined;
    readonly lastEventId: string | undefined;
    /** Urgency at the upstream, 0 (first) to 9; `undefined` to leave it to the upstream. */
    readonly priority: number | undefined;
}

/** Fields of an upstream's response headers. */
export interface ResponseHead {
    readonly attemptId: string | undefined;
    /** The response carries the upstream's signature. */
    readonly isSigned: boolean;
    /** The upstream states that it did not run the request and will not run it later. */
    readonly isNotRun: boolean;
    /** Confidence of the model in its answer, 0 to 100. */
    readonly confidence: number | undefined;
    /** Requests per second that the upstream takes from all nodes together; `undefined` when it names none. */
    readonly limitPerSecond: number | undefined;
    readonly retryAfterSeconds: number | undefined;
    /**
     * Rejections per second, summed over all nodes, above which the upstream crashes; `undefined` when it names
     * none.
     */
    readonly maximumRejectionsPerSecond: number | undefined;
    /** The upstream leaves and wants no further requests. */
    readonly isLeaving: boolean;
    /** The body is a stream of events. */
    readonly isEventStream: boolean;
    /** The body has a content encoding, so it is not as the upstream wrote it. */
    readonly isEncoded: boolean;
}

export interface HeaderCodec {
    /** Names of fields that events of a stream may have beside the standard ones. */
    readonly eventFields: ReadonlySet<string>;
    decodeRequest(headers: IncomingHttpHeaders): RequestHead;
    /** Returns the caller's headers for the upstream, except those that the router sets or consumes. */
    encodeRequest(headers: IncomingHttpHeaders, fields: ForwardedFields): Record<string, string | string[]>;
    /**
     * Returns the caller's headers for another node that takes over the request: all but those of the
     * connection, with the remaining time.
     *
     * @param lastEventId Id of the last event that the caller has received. @default as the caller sent it
     */
    encodeHandover(
        headers: IncomingHttpHeaders,
        remainingMilliseconds: number,
        lastEventId?: string,
    ): Record<string, string | string[]>;
    decodeResponse(status: number, headers: IncomingHttpHeaders): ResponseHead;
    /** Returns the upstream's headers for the caller, without the connection-specific ones. */
    encodeResponse(headers: IncomingHttpHeaders): OutgoingHttpHeaders;
    /** Headers of a response that the router generates. */
    encodeRouterResponse(attemptId: string | undefined): OutgoingHttpHeaders;
}
