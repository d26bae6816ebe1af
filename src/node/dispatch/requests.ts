/** State, events and actions of the dispatch system. */
import type { ClaimKey, ClaimResult, RecordedOutcome } from "../claims/claims.js";
import type { Credit, UpstreamObservation } from "../admission/admission.js";
import type { VersionReference } from "../permission/permission.js";
import type { RouterError, Verdict } from "../verdict/verdict.js";

/**
 * - `claiming`: the claim of its idempotency key is being stored.
 * - `queued`: waits for an upstream with an available credit.
 * - `running`: an attempt is in progress.
 * - `suspended`: its caller stopped reading; the attempt was cancelled, so the engine holds no memory for it.
 * - `judging`: the answer of a cascade step is being rated.
 */
export type RequestPhase = "claiming" | "queued" | "running" | "suspended" | "judging";

export type RequestPriority = "interactive" | "deferred";

/** Identifies the session of a request, by the caller's id, by a sealed token, or both. */
export interface SessionReference {
    /** Session id chosen by the caller. */
    readonly id?: string;
    /** Version of the session, from a verified sealed token. */
    readonly hold?: VersionReference;
}

/** One attempt: one send of a request to an upstream. */
export interface AttemptState {
    /** Unique across all nodes and restarts; the upstream echoes it. */
    readonly id: string;
    readonly upstream: string;
    readonly address: string;
    readonly credit: Credit;
    /** Absent for plain services. */
    readonly version?: VersionReference;
    /** Monotonic milliseconds. */
    readonly startedAt: number;
    /** Number of tokens that earlier attempts have sent to the caller; generation continues after them. */
    readonly offset: number;
}

/** A request as it enters the dispatch system. */
export interface IncomingRequest {
    /** Unique across all nodes and restarts. */
    readonly id: string;
    readonly workspace: string;
    readonly kind: "completion" | "service";
    /** Name of the requested model, cascade or service. */
    readonly target: string;
    /** Whether the request may run more than once. */
    readonly repeatable: boolean;
    /** Claim of an idempotency key, if the caller sent one. */
    readonly claim?: { readonly key: ClaimKey; readonly bodyHash: string };
    /** Tokens that it is expected to occupy in an engine's memory: prompt plus generated. */
    readonly memoryTokens: number;
    /** Hashes of the prompt's leading blocks, for prefix-cache affinity. */
    readonly prefix: readonly string[];
    readonly priority: RequestPriority;
    /** Whether the answer is streamed. The deadline of a stream applies to its first token. */
    readonly streams: boolean;
    /** Monotonic milliseconds. */
    readonly deadline: number;
    readonly session: SessionReference;
    /** Task category, an input of the cascade policy. */
    readonly taskKind: string;
}

/** A request and its progress, in the dispatch system's table. */
export interface RequestState extends IncomingRequest {
    /** Monotonic milliseconds. */
    readonly arrivedAt: number;
    readonly phase: RequestPhase;
    readonly attempt: AttemptState | undefined;
    /** Number of attempts that were started; reset with each cascade step. */
    readonly attempts: number;
    /** Number of times that the stream was resumed after a failed attempt. */
    readonly resumes: number;
    /**
     * Upstreams at which an attempt failed. They get no further attempt, except to resume a stream they hold.
     */
    readonly failedUpstreams: readonly string[];
    /** Combined verdict of all attempts so far. */
    readonly verdict: Verdict;
    /** Tokens sent to the caller. */
    readonly offset: number;
    /** Version that produced the start of the answer; a resumed stream stays on it. */
    readonly version: VersionReference | undefined;
    /** Upstream that may still hold the interrupted stream and can resume it. */
    readonly resumeAt: string | undefined;
    /** Models to run on, in order: one for a model, several for a cascade, none for a service. */
    readonly steps: readonly string[];
    /** Index of the current model in `steps`. */
    readonly step: number;
}

export type DispatchEvent =
    | { readonly kind: "arrived"; readonly request: IncomingRequest }
    | { readonly kind: "claim-resolved"; readonly requestId: string; readonly result: ClaimResult }
    | { readonly kind: "attempt-progressed"; readonly requestId: string; readonly attemptId: string }
    | {
          readonly kind: "attempt-finished";
          readonly requestId: string;
          readonly attemptId: string;
          readonly observation: UpstreamObservation;
      }
    | {
          readonly kind: "attempt-failed";
          readonly requestId: string;
          readonly attemptId: string;
          readonly verdict: Verdict;
          readonly reason: string;
          /** Tokens sent to the caller; 0 if the answer cannot be continued. */
          readonly offset: number;
          /** Whether the upstream may still hold the stream, so that it can be resumed there. */
          readonly resumable: boolean;
          /** Set if a retry cannot succeed: the error to send to the caller. */
          readonly final?: RouterError;
          readonly observation: UpstreamObservation;
      }
    | {
          readonly kind: "reader-stalled";
          readonly requestId: string;
          readonly attemptId: string;
          readonly offset: number;
      }
    | { readonly kind: "reader-ready"; readonly requestId: string }
    | {
          readonly kind: "judged";
          readonly requestId: string;
          /** Rating of the answer, 0 to 1; absent when the rating service gave none. */
          readonly score: number | undefined;
      }
    | { readonly kind: "caller-gone"; readonly requestId: string };

export type DispatchAction =
    | { readonly kind: "claim"; readonly request: RequestState }
    /** Releases the idempotency key of a request that certainly did not run, so that it can be used again. */
    | { readonly kind: "abandon-claim"; readonly request: RequestState }
    /** Keeps the idempotency key of a request whose outcome is unknown. */
    | { readonly kind: "keep-claim"; readonly request: RequestState }
    | {
          readonly kind: "start-attempt";
          readonly request: RequestState;
          readonly attempt: AttemptState;
          /** Whether the answer is collected and rated instead of sent to the caller as it arrives. */
          readonly judged: boolean;
          /** Whether to request the resume of the stream that the engine still holds. */
          readonly resumeStream: boolean;
      }
    | { readonly kind: "cancel-attempt"; readonly requestId: string; readonly attemptId: string }
    | { readonly kind: "judge"; readonly request: RequestState }
    | { readonly kind: "deliver"; readonly request: RequestState }
    | { readonly kind: "replay"; readonly requestId: string; readonly outcome: RecordedOutcome }
    | { readonly kind: "reject"; readonly requestId: string; readonly error: RouterError };
