/** Formats the error responses for callers. */
import type { RouterError } from "../verdict/verdict.js";

export interface ErrorResponse {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: string;
}

/** Prefix of the `type` of problem documents. `docs/operations/refusals.md` explains each code. */
const PROBLEM_TYPE_PREFIX = "urn:geraniumbarrow:problem:";

/** Formats an error as `application/problem+json`. */
export function formatProblem(error: RouterError, requestId: string): ErrorResponse {
    return {
        status: error.status,
        headers: errorHeaders(error, "application/problem+json"),
        body: JSON.stringify({
            type: `${PROBLEM_TYPE_PREFIX}${error.code}`,
            title: error.message,
            status: error.status,
            verdict: error.verdict,
            requestId,
        }),
    };
}

/** Formats an error like the OpenAI API does, for the paths under `/v1`. */
export function formatOpenAiError(error: RouterError, requestId: string): ErrorResponse {
    return {
        status: error.status,
        headers: errorHeaders(error, "application/json"),
        body: JSON.stringify(openAiErrorBody(error, requestId)),
    };
}

export function openAiErrorBody(error: RouterError, requestId: string): object {
    return {
        error: {
            message: error.message,
            type: error.status < 500 ? "invalid_request_error" : "server_error",
            code: error.code,
            verdict: error.verdict,
            request_id: requestId,
        },
    };
}

function errorHeaders(error: RouterError, contentType: string): Record<string, string> {
    return {
        "content-type": contentType,
        verdict: error.verdict,
        ...(error.retryAfterSeconds === undefined ? {} : { "retry-after": String(error.retryAfterSeconds) }),
    };
}
