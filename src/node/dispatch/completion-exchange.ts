/**
 * Exchange of a completion: relays the engine's event stream to the caller or collects it into one answer,
 * continues an interrupted stream from its offset, and records the bill before it sends the end of the
 * answer.
 */
import type { IncomingHttpHeaders } from "node:http";
import { formatOpenAiError, openAiErrorBody } from "../callers/errors.js";
import type { Bill } from "../billing/billing.js";
import type { CallerReply, CompletionSubmission } from "../callers/reply.js";
import type { VersionReference } from "../permission/permission.js";
import { createCollectedAnswer } from "../streams/collected-answer.js";
import type { CollectedAnswer } from "../streams/collected-answer.js";
import { createEventStreamTracker } from "../streams/event-stream.js";
import type { EventStreamTracker, StreamEnd } from "../streams/event-stream.js";
import { RouterError } from "../verdict/verdict.js";
import { RETRY_AFTER_SECONDS } from "./constants.js";
import { HEADER } from "./exchange.js";
import type { Exchange } from "./exchange.js";
import { createReplayBuffer } from "./replay-buffer.js";
import type { PartialAnswer, ReplayBudget, ReplayBuffer } from "./replay-buffer.js";
import type { AttemptState, RequestState } from "./requests.js";
import type { ExchangeDependencies } from "./service-exchange.js";
import { headerText, startUpstreamAttempt } from "./upstream-attempt.js";
import type { AttemptFailure, UpstreamAttempt } from "./upstream-attempt.js";

export interface CompletionDependencies extends ExchangeDependencies {
    readonly replayBudget: ReplayBudget;
    /** Milliseconds for which a caller may stop reading before its stream at the engine is cancelled. */
    readonly stalledReaderMilliseconds: number;
    /** Creates a sealed session token for the version that produces the answer. */
    readonly sealSession: (workspace: string, version: VersionReference) => string;
    /** Price of 1,000 tokens at an upstream. */
    readonly costPerThousandTokens: (upstream: string) => number;
    /** Rates an answer, 0 to 1; `undefined` if the rating service returns no rating in time. */
    readonly rate: (request: RequestState, prompt: string, answer: string) => Promise<number | undefined>;
    /** Called when an answer is complete and goes to the caller, for rollouts and cascades. */
    readonly onAnswered: (answer: AnsweredRequest) => void;
    /** Called when an attempt failed with the cause `answer`. */
    readonly onAnswerFailure: (request: RequestState, attempt: AttemptState) => void;
}

/** An answered request, as input of rollouts, cascades and placement. */
export interface AnsweredRequest {
    readonly request: RequestState;
    readonly attempt: AttemptState;
    readonly firstTokenMilliseconds: number | undefined;
    readonly prompt: string;
    /** Text of the answer; `undefined` if it was too long to keep. Call it only within `onAnswered`. */
    readonly text: () => string | undefined;
}

const DONE_EVENT = "data: [DONE]\n\n";
const DONE_BYTES = Buffer.from(DONE_EVENT);
const TOKENS_PER_PRICE_UNIT = 1000;

/** Sums over all cascade steps that ran for a request. */
interface BillTotals {
    readonly promptTokens: number;
    readonly completionTokens: number;
    readonly cost: number;
}

export function createCompletionExchange(
    requestId: string,
    submission: CompletionSubmission,
    reply: CallerReply,
    dependencies: CompletionDependencies,
): Exchange {
    const { post } = dependencies;
    const streams = submission.body.stream === true;
    const isChat = submission.path === "/v1/chat/completions";
    let tracker: EventStreamTracker = createEventStreamTracker();
    let collected: CollectedAnswer = createCollectedAnswer();
    let replay: ReplayBuffer = createReplayBuffer(dependencies.replayBudget);
    let totals: BillTotals = { promptTokens: 0, completionTokens: 0, cost: 0 };
    let current: UpstreamAttempt | undefined;
    let currentRequest: RequestState | undefined;
    let streamId: string | undefined;
    /**
     * Last events of the answer, held back until the bill is recorded and then sent with `[DONE]` in one
     * write.
     */
    let lastEvents: Buffer | undefined;
    let headSent = false;
    let billed = false;
    let closed = false;
    let isPausedForReader = false;
    let suspended = false;
    let stallTimer: NodeJS.Timeout | undefined;

    const close = (outcome: "whole" | "refused" | "broken" | "gone"): void => {
        if (closed) {
            return;
        }
        closed = true;
        clearTimeout(stallTimer);
        replay.release();
        dependencies.onClosed(requestId, outcome);
    };

    reply.onDisconnect(() => {
        if (closed) {
            return;
        }
        post({ kind: "caller-gone", requestId });
        // If the complete answer's bill is already being recorded, the caller must not be billed again.
        if (headSent && !billed) {
            billPartialAnswer();
        }
        close("gone");
        current?.cancel();
    });

    reply.onDrain(() => {
        if (!isPausedForReader) {
            return;
        }
        isPausedForReader = false;
        clearTimeout(stallTimer);
        if (suspended) {
            suspended = false;
            post({ kind: "reader-ready", requestId });
        }
        else {
            current?.resume();
        }
    });

    /** Stops reading from the engine until the caller has read everything that was sent to it. */
    const pauseForReader = (attempt: UpstreamAttempt): void => {
        if (isPausedForReader) {
            return;
        }
        isPausedForReader = true;
        attempt.pause();
        stallTimer = setTimeout(() => {
            // The dispatch system then cancels the attempt, so that the engine frees the memory of the
            // stream.
            suspended = true;
            post({
                kind: "reader-stalled",
                requestId,
                attemptId: attempt.state.id,
                offset: tracker.offset(),
            });
        }, dependencies.stalledReaderMilliseconds);
        stallTimer.unref();
    };

    const answerHeaders = (request: RequestState, version: VersionReference, contentType: string) => ({
        "content-type": contentType,
        [HEADER.requestId]: requestId,
        [HEADER.modelVersion]: `${version.model}/${version.version}`,
        [HEADER.sessionToken]: dependencies.sealSession(request.workspace, version),
        ...(request.session.hold?.model === version.model && request.session.hold.version !== version.version
            ? { [HEADER.sessionEnded]: `${version.model}/${request.session.hold.version}` }
            : {}),
    });

    const sendHead = (request: RequestState, attempt: UpstreamAttempt): void => {
        if (headSent) {
            return;
        }
        headSent = true;
        reply.head(200, {
            ...answerHeaders(request, attempt.state.version!, "text/event-stream"),
            "cache-control": "no-store",
        });
        post({ kind: "attempt-progressed", requestId, attemptId: attempt.state.id });
    };

    const onEvents = (
        request: RequestState,
        attempt: UpstreamAttempt,
        judged: boolean,
        events: Buffer,
    ): void => {
        if (judged || !streams) {
            collected.push(events);
            return;
        }
        sendHead(request, attempt);
        if (tracker.end() !== undefined) {
            lastEvents = events;
            return;
        }
        replay.push(events);
        if (!reply.write(events)) {
            pauseForReader(attempt);
        }
    };

    const addUsage = (attempt: UpstreamAttempt, end: StreamEnd): void => {
        const { promptTokens, completionTokens } = end.usage;
        const price = dependencies.costPerThousandTokens(attempt.state.upstream);
        totals = {
            promptTokens: totals.promptTokens + promptTokens,
            completionTokens: totals.completionTokens + completionTokens,
            cost: totals.cost + ((promptTokens + completionTokens) / TOKENS_PER_PRICE_UNIT) * price,
        };
    };

    const recordBill = async (request: RequestState, version: VersionReference): Promise<void> => {
        billed = true;
        const bill: Bill = {
            requestId,
            workspace: request.workspace,
            target: request.target,
            version: `${version.model}/${version.version}`,
            ...totals,
            at: dependencies.wallTime(),
        };
        if (submission.job === undefined) {
            await dependencies.billing.record(bill);
        }
        else {
            submission.job.onBill(bill);
        }
    };

    /** Bills the tokens generated so far to a caller that disconnected before the end of its answer. */
    const billPartialAnswer = (): void => {
        const attemptState = current!.state;
        const price = dependencies.costPerThousandTokens(attemptState.upstream);
        const promptTokens = estimateTokens(promptText(submission));
        const completionTokens = tracker.offset();
        totals = {
            promptTokens: totals.promptTokens + promptTokens,
            completionTokens: totals.completionTokens + completionTokens,
            cost: totals.cost + ((promptTokens + completionTokens) / TOKENS_PER_PRICE_UNIT) * price,
        };
        void recordBill(currentRequest!, attemptState.version!);
    };

    /** Sends the end of the answer after its bill was recorded. */
    const finishAnswer = async (
        request: RequestState,
        attemptState: AttemptState,
        end: StreamEnd,
    ): Promise<void> => {
        await recordBill(request, attemptState.version!);
        if (closed) {
            return;
        }
        if (streams && headSent) {
            reply.end(lastEvents === undefined ? DONE_BYTES : Buffer.concat([lastEvents, DONE_BYTES]));
        }
        else if (streams) {
            reply.head(200, answerHeaders(request, attemptState.version!, "text/event-stream"));
            reply.end(formatCompleteStream(isChat, collected, end));
        }
        else {
            reply.head(200, answerHeaders(request, attemptState.version!, "application/json"));
            reply.end(formatCompleteAnswer(isChat, submission.body.model, collected, end));
        }
        close("whole");
    };

    const onComplete = (request: RequestState, attempt: UpstreamAttempt, judged: boolean): void => {
        const end = tracker.end()!;
        attempt.finish();
        addUsage(attempt, end);
        const observation = attempt.observation(true);
        post({ kind: "attempt-finished", requestId, attemptId: attempt.state.id, observation });
        if (!judged) {
            reportAnswer(request, attempt);
            void finishAnswer(request, attempt.state, end);
        }
    };

    const reportAnswer = (request: RequestState, attempt: UpstreamAttempt): void =>
        dependencies.onAnswered({
            request,
            attempt: attempt.state,
            firstTokenMilliseconds: attempt.observation(true).firstTokenMilliseconds,
            prompt: promptText(submission),
            text: () => partialAnswer()?.text,
        });

    const onFailed = (attempt: UpstreamAttempt, failure: AttemptFailure): void => {
        tracker.discardTail();
        if (failure.cause === "answer") {
            dependencies.onAnswerFailure(currentRequest!, attempt.state);
        }
        const isContinuation = attempt.state.offset > 0;
        if (isContinuation && failure.verdict === "not-run") {
            // The engine no longer holds the stream, so only the text so far allows a continuation.
            streamId = undefined;
        }
        const canContinue = streamId !== undefined || partialAnswer() !== undefined;
        const offset = tracker.offset();
        // If the engine rejects a continuation, its error is not final for the request, which has partly run.
        const final =
            (isContinuation ? undefined : failure.final) ??
            (headSent && !canContinue ? streamBrokenError(failure.reason) : undefined);
        post({
            kind: "attempt-failed",
            requestId,
            attemptId: attempt.state.id,
            verdict: failure.verdict,
            reason: failure.reason,
            offset: canContinue ? offset : 0,
            resumable: streamId !== undefined && failure.verdict !== "not-run",
            final,
            // A cancellation does not count as a failure of the engine.
            observation: attempt.observation(failure.cause === "cancelled"),
        });
    };

    /** The answer so far, to continue it at another engine; `undefined` if it was too long to keep. */
    const partialAnswer = (): PartialAnswer | undefined =>
        headSent ? replay.answer() : { id: collected.id(), text: collected.text() };

    /** Discards the state of an earlier attempt whose answer did not reach the caller. */
    const resetAnswer = (): void => {
        tracker = createEventStreamTracker();
        collected = createCollectedAnswer();
        replay.release();
        replay = createReplayBuffer(dependencies.replayBudget);
        streamId = undefined;
    };

    /**
     * Path and body of the call that resumes the stream, continues the text so far, or starts the answer.
     * `undefined` if the text to continue is no longer kept.
     */
    const buildUpstreamCall = (
        attemptState: AttemptState,
        resumeStream: boolean,
    ): { path: string; body: string } | undefined => {
        if (resumeStream && streamId !== undefined) {
            return {
                path: `/v1/streams/${encodeURIComponent(streamId)}/resume`,
                body: JSON.stringify({ offset: attemptState.offset }),
            };
        }
        const answer = attemptState.offset > 0 ? partialAnswer() : undefined;
        if (attemptState.offset > 0 && answer === undefined) {
            return undefined;
        }
        const continuation =
            answer === undefined ? {} : { continue_from: { offset: attemptState.offset, ...answer } };
        return {
            path: submission.path,
            body: JSON.stringify({
                ...submission.body,
                model: attemptState.version!.model,
                version: attemptState.version!.version,
                stream: true,
                ...continuation,
            }),
        };
    };

    const checkHead = (attemptState: AttemptState, headers: IncomingHttpHeaders): void => {
        streamId = headerText(headers, HEADER.streamId);
        const offset = Number(headerText(headers, HEADER.streamOffset) ?? "0");
        if (offset !== attemptState.offset) {
            throw new Error(`the engine continues at token ${offset} instead of ${attemptState.offset}`);
        }
    };

    return {
        startAttempt: (request, attemptState, judged, resumeStream) => {
            if (closed) {
                post({
                    kind: "attempt-failed",
                    requestId,
                    attemptId: attemptState.id,
                    verdict: "not-run",
                    reason: "the caller disconnected",
                    offset: 0,
                    resumable: false,
                    observation: { succeeded: true },
                });
                return;
            }
            if (attemptState.offset === 0) {
                resetAnswer();
            }
            currentRequest = request;
            const call = buildUpstreamCall(attemptState, resumeStream);
            if (call === undefined) {
                post({
                    kind: "attempt-failed",
                    requestId,
                    attemptId: attemptState.id,
                    verdict: "may-have-run",
                    reason: "the partial answer is no longer kept",
                    offset: 0,
                    resumable: false,
                    final: streamBrokenError("the partial answer is no longer kept"),
                    observation: { succeeded: true },
                });
                return;
            }
            current = startUpstreamAttempt(
                {
                    state: attemptState,
                    send: dependencies.send,
                    now: dependencies.now,
                    passErrorStatuses: false,
                    onUpstreamHead: dependencies.onUpstreamHead,
                    onCrossedAnswer: dependencies.onCrossedAnswer,
                    request: {
                        address: attemptState.address,
                        method: "POST",
                        path: call.path,
                        headers: {
                            "content-type": "application/json",
                            [HEADER.attemptId]: attemptState.id,
                            [HEADER.requestId]: requestId,
                            [HEADER.priority]: request.priority,
                        },
                        body: call.body,
                        headTimeoutMilliseconds: Math.max(1, request.deadline - dependencies.now()),
                        // A stream that is paused for a slow reader must not count as an idle engine.
                        idleTimeoutMilliseconds:
                            dependencies.idleTimeoutMilliseconds + dependencies.stalledReaderMilliseconds,
                    },
                },
                {
                    onHead: headers => checkHead(attemptState, headers),
                    onChunk: (chunk, attempt) => {
                        const events = tracker.push(chunk);
                        if (events !== undefined) {
                            onEvents(request, attempt, judged, events);
                        }
                        if (tracker.end() !== undefined) {
                            onComplete(request, attempt, judged);
                        }
                    },
                    onEnd: () => "the stream ended before its last event",
                    onFailed: (failure, attempt) => onFailed(attempt, failure),
                },
            );
        },
        cancelAttempt: attemptId => {
            if (current?.state.id === attemptId) {
                current.cancel();
            }
        },
        reject: error => {
            if (closed) {
                return;
            }
            if (headSent) {
                // The stream has begun, so the error is sent as an event, without a [DONE] event after it.
                reply.end(`event: error\ndata: ${JSON.stringify(openAiErrorBody(error, requestId))}\n\n`);
                close("broken");
                return;
            }
            const response = formatOpenAiError(error, requestId);
            reply.head(response.status, { ...response.headers, [HEADER.requestId]: requestId });
            reply.end(response.body);
            close("refused");
        },
        judge: () => {
            const request = currentRequest!;
            dependencies.rate(request, promptText(submission), collected.text()).then(
                score => post({ kind: "judged", requestId, score }),
                () => post({ kind: "judged", requestId, score: undefined }),
            );
        },
        deliver: () => {
            const attemptState = current!.state;
            reportAnswer(currentRequest!, current!);
            void finishAnswer(currentRequest!, attemptState, tracker.end()!);
        },
        sendRecordedOutcome: () => undefined,
        heldBytes: () => replay.heldBytes(),
    };
}

function streamBrokenError(reason: string): RouterError {
    return new RouterError(`the stream broke and cannot be continued: ${reason}`, {
        status: 502,
        code: "stream-broken",
        verdict: "may-have-run",
        retryAfterSeconds: RETRY_AFTER_SECONDS,
    });
}

/** Converts the prompt of a completion to plain text, for the rating and for prefix-cache affinity. */
export function promptText(submission: CompletionSubmission): string {
    const { messages, prompt } = submission.body;
    if (messages !== undefined) {
        return messages
            .map(
                message =>
                    `${message.role}: ${typeof message.content === "string" ? message.content : JSON.stringify(message.content)}`,
            )
            .join("\n");
    }
    return typeof prompt === "string" ? prompt : (prompt ?? []).join("\n");
}

/** Average characters per token, for estimates without the engine's count. */
const CHARACTERS_PER_TOKEN = 4;

/** Estimates the number of tokens in a text. */
export function estimateTokens(text: string): number {
    return Math.ceil(text.length / CHARACTERS_PER_TOKEN);
}

function usageBody(end: StreamEnd): object {
    const { promptTokens, completionTokens } = end.usage;
    return {
        prompt_tokens: promptTokens,
        completion_tokens: completionTokens,
        total_tokens: promptTokens + completionTokens,
    };
}

function formatCompleteAnswer(
    isChat: boolean,
    model: string,
    collected: CollectedAnswer,
    end: StreamEnd,
): string {
    const text = collected.text();
    return JSON.stringify({
        id: collected.id(),
        object: isChat ? "chat.completion" : "text_completion",
        model,
        choices: [
            {
                index: 0,
                finish_reason: end.finishReason,
                ...(isChat ? { message: { role: "assistant", content: text } } : { text }),
            },
        ],
        usage: usageBody(end),
    });
}

/** Formats a rated answer, which was collected first, for a caller that requested a stream. */
function formatCompleteStream(isChat: boolean, collected: CollectedAnswer, end: StreamEnd): string {
    const text = collected.text();
    const event = {
        id: collected.id(),
        object: isChat ? "chat.completion.chunk" : "text_completion",
        choices: [
            {
                index: 0,
                finish_reason: end.finishReason,
                ...(isChat ? { delta: { role: "assistant", content: text } } : { text }),
            },
        ],
        usage: usageBody(end),
    };
    return `id: ${end.usage.completionTokens}\ndata: ${JSON.stringify(event)}\n\n${DONE_EVENT}`;
}
