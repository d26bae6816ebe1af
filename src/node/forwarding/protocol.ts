/**
 * What the product needs to know about a request and an answer, apart from the names of headers. An adapter
 * translates between headers and these types.
 */
import type { IncomingHttpHeaders, OutgoingHttpHeaders } from "node:http";

export interface PromptPart {
    readonly id: string;
    readonly tokens: number;
}

/** What a caller says of its request. */
export interface RequestHead {
    /** Identifies one attempt of a caller. */
    readonly attemptId: string | undefined;
    /** Time that the caller will wait, milliseconds. */
    readonly remainingMilliseconds: number | undefined;
    /** Key of the caller's workspace. */
    readonly key: string | undefined;
    readonly promptTokens: number;
    readonly maximumOutputTokens: number;
    /** Tokens that the caller expects to be generated. */
    readonly expectedOutputTokens: number | undefined;
    /** Parts of the prompt in order. The last one belongs to the request alone. */
    readonly promptParts: readonly PromptPart[];
    /** Requests that belong together name the same session. */
    readonly session: string | undefined;
    /** The router chooses the model. */
    readonly isModelOpen: boolean;
    /** Id of the last event that the caller has of a stream. */
    readonly lastEventId: string | undefined;
}

/** What the router says to an upstream about a request. */
export interface ForwardedFields {
    readonly remainingMilliseconds: number;
    /** Only this upstream may run the request. */
    readonly upstreamId: string;
    readonly workspace: string | undefined;
    /** `undefined` to leave the caller's choice. */
    readonly model: string | undefined;
    readonly lastEventId: string | undefined;
}

/** What an upstream says in the head of its answer. */
export interface ResponseHead {
    readonly attemptId: string | undefined;
    /** The answer carries the upstream's signature. */
    readonly isSigned: boolean;
    /** The upstream states that it has not run the request and never will. */
    readonly isNotRun: boolean;
    /** The model's own opinion of the answer, 0 to 100. */
    readonly confidence: number | undefined;
    readonly retryAfterSeconds: number | undefined;
    /** The body is a stream of events. */
    readonly isEventStream: boolean;
    /** The body is not as the upstream wrote it. */
    readonly isEncoded: boolean;
}

export interface HeaderCodec {
    decodeRequest(headers: IncomingHttpHeaders): RequestHead;
    /** Returns the headers for the upstream: the caller's without those that the router sets or consumes. */
    encodeRequest(headers: IncomingHttpHeaders, fields: ForwardedFields): Record<string, string | string[]>;
    decodeResponse(status: number, headers: IncomingHttpHeaders): ResponseHead;
    /** Returns the headers for the caller: the upstream's without those of its connection. */
    encodeResponse(headers: IncomingHttpHeaders): OutgoingHttpHeaders;
    /** Headers of an answer of the router itself. */
    encodeOwnAnswer(attemptId: string | undefined): OutgoingHttpHeaders;
}
