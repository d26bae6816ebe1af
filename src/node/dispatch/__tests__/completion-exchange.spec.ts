import assert from "node:assert/strict";
import { test } from "node:test";
import type { CallerReply, CompletionSubmission } from "../../callers/reply.js";
import type { UpstreamHandlers, UpstreamRequest } from "../../upstreams/send.js";
import { createCompletionExchange } from "../completion-exchange.js";
import type { CompletionDependencies } from "../completion-exchange.js";
import { MAXIMUM_STREAM_REPLAY_BYTES } from "../constants.js";
import { createReplayBudget } from "../replay-buffer.js";
import type { AttemptState, DispatchEvent, RequestState } from "../requests.js";

const submission: CompletionSubmission = {
    kind: "completion",
    workspace: "tambores",
    path: "/v1/completions",
    body: { model: "small", prompt: "Hello", stream: true },
    sessionId: undefined,
    sessionToken: undefined,
    timeoutMilliseconds: undefined,
};

/** Creates an exchange whose upstream calls are recorded, so that the test can answer them. */
function createFixture() {
    const events: DispatchEvent[] = [];
    let disconnect = (): void => undefined;
    let bills = 0;
    const reply: CallerReply = {
        head: () => undefined,
        write: () => true,
        end: () => undefined,
        onDrain: () => undefined,
        onDisconnect: listener => {
            disconnect = listener;
        },
    };
    const calls: { readonly request: UpstreamRequest; readonly handlers: UpstreamHandlers }[] = [];
    const dependencies = {
        send: (request: UpstreamRequest, handlers: UpstreamHandlers) => {
            calls.push({ request, handlers });
            return { pause: () => undefined, resume: () => undefined, cancel: () => undefined };
        },
        post: (event: DispatchEvent) => void events.push(event),
        billing: {
            // Never resolves, like a bill whose copy to a peer is still in progress.
            record: () => {
                bills += 1;
                return new Promise(() => undefined);
            },
        },
        now: () => 0,
        wallTime: () => 0,
        idleTimeoutMilliseconds: 1000,
        stalledReaderMilliseconds: 1000,
        replayBudget: createReplayBudget(),
        sealSession: () => "token",
        costPerThousandTokens: () => 1,
        onUpstreamHead: () => undefined,
        onCrossedAnswer: () => undefined,
        onAnswerFailure: () => undefined,
        onClosed: () => undefined,
        onAnswered: () => undefined,
    } as unknown as CompletionDependencies;
    const exchange = createCompletionExchange("r1", submission, reply, dependencies);
    const request = { deadline: 1000, session: {}, priority: "interactive" } as unknown as RequestState;
    return {
        events,
        calls,
        start: (id: string, offset: number, resumes: boolean): void => {
            const version = { model: "small", version: "v1" };
            const row = {
                id,
                offset,
                version,
                upstream: "engine-1",
                startedAt: 0,
            } as unknown as AttemptState;
            exchange.startAttempt(request, row, false, resumes);
        },
        head: (status: number, headers: Record<string, string>): void =>
            calls.at(-1)!.handlers.onHead(status, headers),
        chunk: (text: string): void => calls.at(-1)!.handlers.onChunk(Buffer.from(text)),
        disconnect: (): void => disconnect(),
        bills: (): number => bills,
        failures: () => events.filter(event => event.kind === "attempt-failed"),
    };
}

function event(id: number, text: string): string {
    return `id: ${id}\ndata: ${JSON.stringify({ id: "completion-1", choices: [{ text }] })}\n\n`;
}

/** Streams one token with a text, then closes the connection. */
function breakAfter(fixture: ReturnType<typeof createFixture>, text: string): void {
    fixture.start("a1", 0, false);
    fixture.head(200, { "attempt-id": "a1", "stream-id": "s1", "stream-offset": "0" });
    fixture.chunk(event(1, text));
    fixture.calls.at(-1)!.handlers.onFailure("may-have-run", "the connection closed", true, false);
}

/** Answers the resume call with `not-run`, because the engine does not hold the stream. */
function rejectResume(fixture: ReturnType<typeof createFixture>): void {
    fixture.start("a2", 1, true);
    assert.equal(fixture.calls.at(-1)!.request.path, "/v1/streams/s1/resume");
    fixture.head(410, { "attempt-id": "a2", verdict: "not-run" });
    fixture.chunk("the stream is not held here");
    fixture.calls.at(-1)!.handlers.onEnd();
}

// Guards against a rejected resume that ends a partly delivered answer with an error whose verdict is
// not-run.
test("a rejected resume does not end an answer that can continue from its text", () => {
    const fixture = createFixture();
    breakAfter(fixture, "drum");
    rejectResume(fixture);
    const failure = fixture.failures().at(-1)!;
    assert.equal(failure.final, undefined);
    assert.equal(failure.offset, 1);
    assert.equal(failure.resumable, false);
    fixture.start("a3", 1, false);
    const body = JSON.parse(String(fixture.calls.at(-1)!.request.body)) as Record<string, unknown>;
    assert.deepEqual(body["continue_from"], { offset: 1, id: "completion-1", text: "drum" });
});

// The text is not kept beyond its limit. Guards against a continuation with an empty text, which would be a
// different answer, and against a not-run verdict for a request that has partly run.
test("an answer does not continue with an empty text when neither stream nor text is left", () => {
    const fixture = createFixture();
    breakAfter(fixture, "x".repeat(MAXIMUM_STREAM_REPLAY_BYTES));
    rejectResume(fixture);
    const failure = fixture.failures().at(-1)!;
    assert.equal(failure.final?.code, "stream-broken");
    assert.equal(failure.final?.verdict, "may-have-run");

    const other = createFixture();
    breakAfter(other, "x".repeat(MAXIMUM_STREAM_REPLAY_BYTES));
    other.start("a2", 1, false);
    assert.equal(other.calls.length, 1);
    assert.equal(other.failures().at(-1)!.final?.code, "stream-broken");
});

// Guards against a second bill, for a partial answer, when the caller disconnects while the bill of the
// complete answer is being copied to a peer.
test("a caller that disconnects while its bill is recorded is not billed twice", () => {
    const fixture = createFixture();
    fixture.start("a1", 0, false);
    fixture.head(200, { "attempt-id": "a1", "stream-id": "s1", "stream-offset": "0" });
    fixture.chunk(event(1, "drum"));
    const last = {
        choices: [{ text: "", finish_reason: "stop" }],
        usage: { prompt_tokens: 1, completion_tokens: 1 },
    };
    fixture.chunk(`id: 1\ndata: ${JSON.stringify(last)}\n\ndata: [DONE]\n\n`);
    assert.equal(fixture.bills(), 1);
    fixture.disconnect();
    assert.equal(fixture.bills(), 1);
});
