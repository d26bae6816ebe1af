/** Interface of an exchange: the I/O of one request with its upstream and its caller. */
import type { RecordedOutcome } from "../claims/claims.js";
import type { RouterError } from "../verdict/verdict.js";
import type { AttemptState, RequestState } from "./requests.js";

/** Executes the dispatch system's actions for one open request. */
export interface Exchange {
    startAttempt(request: RequestState, attempt: AttemptState, judged: boolean, resumeStream: boolean): void;
    cancelAttempt(attemptId: string): void;
    /** Ends the response to the caller with an error. */
    reject(error: RouterError): void;
    /** Requests the rating of the collected answer. */
    judge(): void;
    /** Sends the collected answer to the caller. */
    deliver(): void;
    /** Sends the recorded outcome of an earlier request with the same idempotency key. */
    sendRecordedOutcome(outcome: RecordedOutcome): void;
    /** Bytes of the answer held in memory, for the caller and to continue the stream at another engine. */
    heldBytes(): number;
}

/** Header names of the protocol between the router and upstreams, and of responses to callers. */
export const HEADER = {
    requestId: "request-id",
    attemptId: "attempt-id",
    verdict: "verdict",
    bootId: "boot-id",
    cold: "cold",
    loadRequests: "load-requests",
    loadMemoryTokens: "load-memory-tokens",
    streamId: "stream-id",
    streamOffset: "stream-offset",
    priority: "priority",
    modelVersion: "model-version",
    sessionToken: "session-token",
    sessionEnded: "session-version-ended",
} as const;
