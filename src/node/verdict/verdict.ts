/**
 * Verdicts, and the errors that carry them.
 *
 * A verdict states whether a request may have run at an upstream. It determines whether the router may retry
 * the request and what a caller may conclude from a rejection.
 */

/**
 * - `not-run`: the request certainly did not run and will not run.
 * - `may-have-run`: the request was sent to an upstream and its outcome is unknown.
 * - `ran`: the request ran at an upstream.
 */
export type Verdict = "not-run" | "may-have-run" | "ran";

export interface RouterErrorOptions {
    /** HTTP status of the response to the caller. */
    readonly status: number;
    /** Stable machine-readable code, for example `queue-full`. */
    readonly code: string;
    readonly verdict: Verdict;
    /** Seconds after which the caller may retry. Absent if it should not retry. */
    readonly retryAfterSeconds?: number;
    readonly cause?: unknown;
}

/** A failure that is reported to a caller or an operator. */
export class RouterError extends Error {
    readonly status: number;
    readonly code: string;
    readonly verdict: Verdict;
    readonly retryAfterSeconds: number | undefined;

    constructor(message: string, options: RouterErrorOptions) {
        super(message, { cause: options.cause });
        this.name = "RouterError";
        this.status = options.status;
        this.code = options.code;
        this.verdict = options.verdict;
        this.retryAfterSeconds = options.retryAfterSeconds;
    }
}

/** Creates the error of a request that was rejected before it was sent to an upstream. */
export function createRejection(
    status: number,
    code: string,
    message: string,
    retryAfterSeconds?: number,
): RouterError {
    return new RouterError(message, { status, code, verdict: "not-run", retryAfterSeconds });
}

/**
 * Combines the verdicts of two attempts of the same request: `ran` wins over `may-have-run`, that over
 * `not-run`.
 */
export function combineVerdicts(first: Verdict, second: Verdict): Verdict {
    if (first === "ran" || second === "ran") {
        return "ran";
    }
    if (first === "may-have-run" || second === "may-have-run") {
        return "may-have-run";
    }
    return "not-run";
}
