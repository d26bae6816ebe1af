/**
 * One attempt at an upstream: sends the request, checks that the answer carries the attempt's id, and reports
 * the end of the attempt exactly once.
 */
import type { IncomingHttpHeaders } from "node:http";
import type { UpstreamObservation } from "../admission/admission.js";
import type { UpstreamHead } from "../placement/engine-choice.js";
import type { UpstreamExchange, UpstreamRequest, UpstreamSend } from "../upstreams/send.js";
import { RouterError } from "../verdict/verdict.js";
import type { Verdict } from "../verdict/verdict.js";
import { HEADER } from "./exchange.js";
import type { AttemptState } from "./requests.js";

/** Maximum part of an error response's body that is kept for the error message, bytes. */
const MAXIMUM_ERROR_BODY_BYTES = 4096;

/**
 * - `answer`: the answer itself is invalid or an error. Only this cause counts as a failure of the model
 *   version.
 * - `connection`: the connection or the upstream process failed, or the upstream did not run the request.
 * - `cancelled`: the router cancelled the attempt.
 */
export type FailureCause = "answer" | "connection" | "cancelled";

export interface AttemptFailure {
    readonly verdict: Verdict;
    readonly cause: FailureCause;
    readonly reason: string;
    /** Set if a retry cannot succeed: the error to send to the caller. */
    readonly final?: RouterError;
}

export interface UpstreamAttemptHandlers {
    /** A thrown error fails the attempt. */
    readonly onHead?: (headers: IncomingHttpHeaders, status: number, attempt: UpstreamAttempt) => void;
    /** Receives a chunk of a successful answer's body. A thrown error fails the attempt. */
    readonly onChunk: (chunk: Buffer, attempt: UpstreamAttempt) => void;
    /** Called at the end of a successful answer's body. Returns a reason if the answer is incomplete. */
    readonly onEnd: (attempt: UpstreamAttempt) => string | undefined | Promise<string | undefined>;
    readonly onFailed: (failure: AttemptFailure, attempt: UpstreamAttempt) => void;
}

export interface UpstreamAttempt {
    readonly state: AttemptState;
    pause(): void;
    resume(): void;
    cancel(): void;
    /** Whether the attempt has ended. Data that arrives after the end is discarded. */
    ended(): boolean;
    /** Marks the attempt as ended by a complete answer. */
    finish(): void;
    /** Result of the attempt, as input of admission control. */
    observation(succeeded: boolean): UpstreamObservation;
}

export interface UpstreamAttemptOptions {
    readonly state: AttemptState;
    readonly request: UpstreamRequest;
    readonly send: UpstreamSend;
    /** Monotonic milliseconds. */
    readonly now: () => number;
    /**
     * Whether an answer with a status of 300 or more counts as successful, unless its verdict is `not-run`.
     */
    readonly passErrorStatuses: boolean;
    /** Called with the head of each answer, so that a restart of the upstream is detected early. */
    readonly onUpstreamHead: (upstream: string, head: UpstreamHead) => void;
    /** Called when an answer carries the id of another attempt. */
    readonly onCrossedAnswer: () => void;
}

export function startUpstreamAttempt(
    options: UpstreamAttemptOptions,
    handlers: UpstreamAttemptHandlers,
): UpstreamAttempt {
    const { state } = options;
    let ended = false;
    let isSuccess = false;
    let status = 0;
    let errorBody = "";
    let errorVerdict: Verdict = "may-have-run";
    let bootId: string | undefined;
    let isCold = false;
    let firstChunkAt: number | undefined;
    const connection: { exchange?: UpstreamExchange } = {};

    const fail = (failure: AttemptFailure): void => {
        if (ended) {
            return;
        }
        ended = true;
        handlers.onFailed(failure, attempt);
        connection.exchange?.cancel();
    };

    const runHandler = (handle: () => void): void => {
        try {
            handle();
        }
        catch (error) {
            fail({ verdict: "may-have-run", cause: "answer", reason: (error as Error).message });
        }
    };

    const onHead = (headStatus: number, headers: IncomingHttpHeaders): void => {
        status = headStatus;
        bootId = headerText(headers, HEADER.bootId);
        isCold = headerText(headers, HEADER.cold) === "true";
        options.onUpstreamHead(state.upstream, {
            bootId,
            requests: headerNumber(headers, HEADER.loadRequests),
            memoryTokens: headerNumber(headers, HEADER.loadMemoryTokens),
        });
        if (headerText(headers, HEADER.attemptId) !== state.id) {
            options.onCrossedAnswer();
            fail({
                verdict: "may-have-run",
                cause: "connection",
                reason: "the answer belongs to another attempt",
            });
            return;
        }
        isSuccess =
            status < 300 || (options.passErrorStatuses && headerText(headers, HEADER.verdict) !== "not-run");
        if (isSuccess) {
            runHandler(() => handlers.onHead?.(headers, status, attempt));
            return;
        }
        // With this header value, an upstream guarantees that it did not run the request.
        errorVerdict = headerText(headers, HEADER.verdict) === "not-run" ? "not-run" : "may-have-run";
    };

    const onChunk = (chunk: Buffer): void => {
        if (ended) {
            return;
        }
        if (!isSuccess) {
            errorBody += chunk.toString("utf8", 0, Math.max(0, MAXIMUM_ERROR_BODY_BYTES - errorBody.length));
            return;
        }
        firstChunkAt ??= options.now();
        runHandler(() => handlers.onChunk(chunk, attempt));
    };

    const onEnd = (): void => {
        if (ended) {
            return;
        }
        if (!isSuccess) {
            fail(failureFromStatus(status, errorVerdict, errorBody));
            return;
        }
        const finish = (problem: string | undefined): void => {
            if (problem !== undefined) {
                fail({ verdict: "may-have-run", cause: "answer", reason: problem });
            }
        };
        const problem = handlers.onEnd(attempt);
        if (problem instanceof Promise) {
            problem.then(finish, (error: unknown) => finish((error as Error).message));
        }
        else {
            finish(problem);
        }
    };

    const attempt: UpstreamAttempt = {
        state,
        pause: () => connection.exchange?.pause(),
        resume: () => connection.exchange?.resume(),
        cancel: () => {
            fail({ verdict: "may-have-run", cause: "cancelled", reason: "cancelled" });
        },
        ended: () => ended,
        finish: () => {
            ended = true;
        },
        observation: succeeded => ({
            succeeded,
            bootId,
            firstTokenMilliseconds: firstChunkAt === undefined ? undefined : firstChunkAt - state.startedAt,
            isCold,
        }),
    };
    connection.exchange = options.send(options.request, {
        onHead,
        onChunk,
        onEnd,
        onFailure: (verdict, reason) => fail({ verdict, cause: "connection", reason }),
    });
    if (ended) {
        connection.exchange.cancel();
    }
    return attempt;
}

/**
 * Converts an error status to a failure. A 4xx status other than 429 is final: it is caused by the request
 * itself, so any other upstream would answer the same.
 */
function failureFromStatus(status: number, verdict: Verdict, body: string): AttemptFailure {
    const reason = `status ${status}: ${body.slice(0, 200)}`;
    if (status < 400 || status >= 500 || status === 429) {
        return { verdict, cause: verdict === "not-run" ? "connection" : "answer", reason };
    }
    return {
        verdict,
        cause: "answer",
        reason,
        final: new RouterError(`the upstream rejected the request: ${body.slice(0, 200)}`, {
            status,
            code: "upstream-refused",
            verdict,
        }),
    };
}

function headerNumber(headers: IncomingHttpHeaders, name: string): number | undefined {
    const value = Number(headerText(headers, name) ?? NaN);
    return Number.isFinite(value) && value >= 0 ? value : undefined;
}

export function headerText(headers: IncomingHttpHeaders, name: string): string | undefined {
    const value = headers[name];
    return Array.isArray(value) ? value[0] : value;
}
