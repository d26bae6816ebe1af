/**
 * Exchange of a plain service call: buffers the answer, records the outcome and the bill, and then replies.
 */
import type { IncomingHttpHeaders } from "node:http";
import type { CallerReply, ServiceSubmission } from "../callers/reply.js";
import { formatProblem } from "../callers/errors.js";
import type { Billing } from "../billing/billing.js";
import type { Claims, RecordedOutcome } from "../claims/claims.js";
import type { UpstreamHead } from "../placement/engine-choice.js";
import { hasCertainEnd } from "../upstreams/framing.js";
import type { UpstreamSend } from "../upstreams/send.js";
import { MAXIMUM_SERVICE_RESPONSE_BYTES, OUTCOME_STORE_TIMEOUT_MILLISECONDS } from "./constants.js";
import { HEADER } from "./exchange.js";
import type { Exchange } from "./exchange.js";
import type { AttemptState, DispatchEvent, RequestState } from "./requests.js";
import { startUpstreamAttempt } from "./upstream-attempt.js";
import type { UpstreamAttempt } from "./upstream-attempt.js";

export interface ExchangeDependencies {
    readonly send: UpstreamSend;
    readonly billing: Billing;
    readonly claims: Claims;
    readonly post: (event: DispatchEvent) => void;
    /** Monotonic milliseconds. */
    readonly now: () => number;
    /** Milliseconds since the epoch. */
    readonly wallTime: () => number;
    readonly idleTimeoutMilliseconds: number;
    /**
     * Whether an upstream has crashed, which looks like the end of an answer with neither a length nor chunks.
     *
     * @default such an end is no crash
     */
    readonly hasCrashed?: (upstream: string, address: string) => Promise<boolean>;
    readonly onUpstreamHead: (upstream: string, head: UpstreamHead) => void;
    /** Called when an answer carries the id of another attempt. */
    readonly onCrossedAnswer: () => void;
    /** Called once when the response to the caller has ended or the caller has disconnected. */
    readonly onClosed: (requestId: string, outcome: "whole" | "refused" | "broken" | "gone") => void;
}

/** Response headers that are not forwarded, because they describe the connection or the attempt. */
const CONNECTION_HEADERS: readonly string[] = [
    "connection",
    "keep-alive",
    "transfer-encoding",
    "content-length",
    "date",
    HEADER.attemptId,
    HEADER.bootId,
];

export function createServiceExchange(
    requestId: string,
    submission: ServiceSubmission,
    reply: CallerReply,
    dependencies: ExchangeDependencies,
): Exchange {
    const { billing, claims, post } = dependencies;
    let current: UpstreamAttempt | undefined;
    let answered = false;
    let outcome: RecordedOutcome | undefined;
    let held = 0;

    reply.onDisconnect(() => {
        if (!answered) {
            post({ kind: "caller-gone", requestId });
        }
    });

    const answer = (recorded: RecordedOutcome, verdict: string): void => {
        if (answered) {
            return;
        }
        answered = true;
        reply.head(recorded.status, { ...recorded.headers, [HEADER.requestId]: requestId, verdict });
        reply.end(Buffer.from(recorded.body, "base64"));
        dependencies.onClosed(requestId, "whole");
    };

    /** Records the bill and the outcome, then replies to the caller. */
    const complete = async (request: RequestState, attempt: UpstreamAttempt): Promise<void> => {
        const recorded = outcome!;
        const billed = billing.record({
            requestId,
            workspace: request.workspace,
            target: request.target,
            version: "",
            promptTokens: 0,
            completionTokens: 0,
            cost: 0,
            at: dependencies.wallTime(),
        });
        if (request.claim !== undefined) {
            // The outcome is stored before the reply, so that a repeated call gets the same answer even if
            // this node fails. If the table service is slow, `complete` continues in the background.
            const stored = claims.complete(request.claim.key, request.id, recorded);
            await Promise.race([stored.catch(() => undefined), delay(OUTCOME_STORE_TIMEOUT_MILLISECONDS)]);
        }
        await billed;
        post({
            kind: "attempt-finished",
            requestId,
            attemptId: attempt.state.id,
            observation: attempt.observation(true),
        });
        answer(recorded, "ran");
    };

    return {
        startAttempt: (request: RequestState, attemptState: AttemptState) => {
            const chunks: Buffer[] = [];
            let size = 0;
            let head: { readonly status: number; readonly headers: IncomingHttpHeaders } | undefined;
            current = startUpstreamAttempt(
                {
                    state: attemptState,
                    send: dependencies.send,
                    now: dependencies.now,
                    passErrorStatuses: true,
                    onUpstreamHead: dependencies.onUpstreamHead,
                    onCrossedAnswer: dependencies.onCrossedAnswer,
                    request: {
                        address: attemptState.address,
                        method: submission.method,
                        path: submission.path,
                        headers: {
                            ...submission.headers,
                            [HEADER.attemptId]: attemptState.id,
                            [HEADER.requestId]: requestId,
                        },
                        body: submission.body.length > 0 ? submission.body : undefined,
                        // A late copy of the answer to another call would end one that cannot be repeated.
                        dedicatedConnection: !request.repeatable,
                        headTimeoutMilliseconds: Math.max(1, request.deadline - dependencies.now()),
                        idleTimeoutMilliseconds: dependencies.idleTimeoutMilliseconds,
                    },
                },
                {
                    onHead: (headers, status) => {
                        head = { headers, status };
                    },
                    onChunk: chunk => {
                        size += chunk.length;
                        held = size;
                        if (size > MAXIMUM_SERVICE_RESPONSE_BYTES) {
                            throw new RangeError(
                                `the answer exceeds ${MAXIMUM_SERVICE_RESPONSE_BYTES} bytes`,
                            );
                        }
                        chunks.push(chunk);
                    },
                    onEnd: attempt => {
                        const { status, headers } = head!;
                        const accept = (): undefined => {
                            attempt.finish();
                            outcome = {
                                status,
                                headers: forwardedHeaders(headers),
                                body: Buffer.concat(chunks).toString("base64"),
                            };
                            void complete(request, attempt);
                        };
                        const isEndCertain = hasCertainEnd(submission.method, status, headers);
                        if (isEndCertain || dependencies.hasCrashed === undefined) {
                            return accept();
                        }
                        return dependencies
                            .hasCrashed(attemptState.upstream, attemptState.address)
                            .then(isCrash => {
                                if (isCrash) {
                                    return "the upstream crashed within its answer";
                                }
                                return attempt.ended() ? undefined : accept();
                            });
                    },
                    onFailed: (failure, attempt) => {
                        if (answered && request.claim !== undefined) {
                            // The caller already got a may-have-run rejection at the deadline; keep the claim
                            // without an outcome.
                            claims.complete(request.claim.key, request.id, undefined).catch(() => undefined);
                        }
                        post({
                            kind: "attempt-failed",
                            requestId,
                            attemptId: attemptState.id,
                            verdict: failure.verdict,
                            reason: failure.reason,
                            offset: 0,
                            resumable: false,
                            final: failure.final,
                            observation: attempt.observation(failure.cause === "cancelled"),
                        });
                    },
                },
            );
        },
        cancelAttempt: attemptId => {
            if (current?.state.id === attemptId) {
                current.cancel();
            }
        },
        reject: error => {
            if (answered) {
                return;
            }
            answered = true;
            const problem = formatProblem(error, requestId);
            reply.head(problem.status, { ...problem.headers, [HEADER.requestId]: requestId });
            reply.end(problem.body);
            dependencies.onClosed(requestId, "refused");
        },
        judge: () => undefined,
        deliver: () => undefined,
        sendRecordedOutcome: recorded => answer(recorded, "ran"),
        heldBytes: () => held,
    };
}

function forwardedHeaders(headers: IncomingHttpHeaders): Record<string, string> {
    return Object.fromEntries(
        Object.entries(headers)
            .filter(([name, value]) => value !== undefined && !CONNECTION_HEADERS.includes(name))
            .map(([name, value]) => [name, Array.isArray(value) ? value.join(", ") : value!]),
    );
}

function delay(milliseconds: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, milliseconds).unref());
}
