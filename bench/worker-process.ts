/**
 * Entry point of the worker processes of `workers.ts`: an engine stand-in, a plain pipe or a load generator.
 */
import { createServer, request as sendHttp } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { createParser } from "eventsource-parser";
import { Agent, request } from "undici";
import { startEngine } from "../playground/stand-ins/engine.js";
import { createSeededRandom } from "../src/node/common/random.js";
import { poissonTimes } from "./load.js";
import type { WorkerRole } from "./workers.js";

/** Request that a load generator sends repeatedly. */
export interface ClientTarget {
    /** Base URLs, used round robin. */
    readonly addresses: readonly string[];
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: string;
    /** Text at the end of a whole answer. */
    readonly ending: string;
}

/** Closed-loop load: keeps `concurrency` requests open for `milliseconds`. */
export interface ClosedLoopCall {
    readonly kind: "closed";
    readonly target: ClientTarget;
    readonly concurrency: number;
    readonly milliseconds: number;
}

/** Open-loop load: sends requests at the times of a Poisson process. */
export interface OpenLoopCall {
    readonly kind: "open";
    readonly target: ClientTarget;
    readonly ratePerSecond: number;
    readonly milliseconds: number;
    readonly seed: number;
}

/** Slow readers: open streams, pause before the first read, and then read slowly. */
export interface SlowReadCall {
    readonly kind: "read";
    readonly url: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: string;
    readonly readers: number;
    /** Milliseconds from the response headers to the first read. */
    readonly stallMilliseconds: number;
    /** Milliseconds between reads of at most 64 KiB. */
    readonly gapMilliseconds: number;
    readonly tokens: number;
    readonly tokenCharacters: number;
}

export type WorkerCall = ClosedLoopCall | OpenLoopCall | SlowReadCall;

export interface ClosedLoopResult {
    readonly requests: number;
    /** CPU time of the load generator. */
    readonly processorMilliseconds: number;
}

export interface OpenLoopResult {
    /** Milliseconds from the intended send time to the end of the answer. */
    readonly latencies: readonly number[];
}

export interface SlowReadResult {
    /** Answers with all tokens in order, the expected content and an end event. */
    readonly whole: number;
    /** Problems of the first 10 other answers. */
    readonly problems: readonly string[];
    readonly milliseconds: number;
}

export type WorkerAnswer<Call extends WorkerCall> = Call extends ClosedLoopCall
    ? ClosedLoopResult
    : Call extends OpenLoopCall
      ? OpenLoopResult
      : SlowReadResult;

/**
 * Milliseconds before a deadline from which a wait polls on each turn of the event loop, because `setTimeout`
 * has a resolution of 1 ms.
 */
const TIMER_MARGIN_MILLISECONDS = 2;

/** Digits of the index in the text of a token. */
const INDEX_CHARACTERS = 8;

/**
 * Creates the text of a token. It contains the index, so that lost, repeated and foreign tokens are detected.
 */
function paddedToken(index: number, characters: number): string {
    return String(index).padStart(INDEX_CHARACTERS, "0").padEnd(characters, "x");
}

async function startEngineWorker(role: WorkerRole & { readonly kind: "engine" }): Promise<string> {
    const { options, tokenCharacters } = role;
    const engine = await startEngine({
        ...options,
        ...(tokenCharacters === undefined
            ? {}
            : { tokenText: (_prompt: string, index: number) => paddedToken(index, tokenCharacters) }),
    });
    return engine.address;
}

async function startPipe(origin: string): Promise<string> {
    const dispatcher = new Agent({ pipelining: 1 });
    const server = createServer((message, response) => {
        request(`${origin}${message.url!}`, {
            method: "POST",
            headers: {
                "content-type": message.headers["content-type"],
                "attempt-id": message.headers["attempt-id"],
            },
            body: message,
            dispatcher,
        })
            .then(answer => {
                response.writeHead(answer.statusCode, { "content-type": "text/event-stream" });
                answer.body.pipe(response);
            })
            .catch(() => response.destroy());
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

const dispatcher = new Agent({ pipelining: 1, headersTimeout: 60_000, bodyTimeout: 60_000 });
let sentCount = 0;

/** @throws Error when the answer is not whole, which invalidates the measurement. */
async function send(target: ClientTarget): Promise<void> {
    const address = target.addresses[(sentCount += 1) % target.addresses.length]!;
    const response = await request(address + target.path, {
        method: "POST",
        headers: { ...target.headers, "attempt-id": String(sentCount) },
        body: target.body,
        dispatcher,
    });
    const text = await response.body.text();
    if (response.statusCode !== 200 || !text.endsWith(target.ending)) {
        throw new Error(`the answer is not whole: status ${response.statusCode} ${text.slice(-300)}`);
    }
}

async function runClosedLoop(call: ClosedLoopCall): Promise<ClosedLoopResult> {
    const end = performance.now() + call.milliseconds;
    const usageBefore = process.cpuUsage();
    let requests = 0;
    const sendUntilEnd = async (): Promise<void> => {
        while (performance.now() < end) {
            await send(call.target);
            requests += 1;
        }
    };
    await Promise.all(Array.from({ length: call.concurrency }, sendUntilEnd));
    const usage = process.cpuUsage(usageBefore);
    return { requests, processorMilliseconds: (usage.user + usage.system) / 1000 };
}

async function runOpenLoop(call: OpenLoopCall): Promise<OpenLoopResult> {
    const times = poissonTimes(call.ratePerSecond, call.milliseconds, createSeededRandom(call.seed));
    const start = performance.now();
    const latencies: number[] = [];
    const open: Promise<void>[] = [];
    for (const time of times) {
        const intended = start + time;
        for (let wait = intended - performance.now(); wait > 0; wait = intended - performance.now()) {
            await (wait > TIMER_MARGIN_MILLISECONDS
                ? sleep(wait - TIMER_MARGIN_MILLISECONDS)
                : new Promise(resolve => setImmediate(resolve)));
        }
        open.push(
            send(call.target).then(() => {
                latencies.push(performance.now() - intended);
            }),
        );
    }
    await Promise.all(open);
    return { latencies };
}

/** Creates a check that compares a stream token by token and does not keep its text. */
function createTokenCheck(call: SlowReadCall): { feed(text: string): void; problem(): string | undefined } {
    let received = 0;
    let isDone = false;
    let problem: string | undefined;
    const parser = createParser({
        onEvent: event => {
            if (event.data === "[DONE]") {
                isDone = true;
                return;
            }
            const chunk = JSON.parse(event.data) as {
                readonly choices?: readonly [{ readonly delta: { readonly content: string } }];
            };
            const content = chunk.choices?.[0].delta.content;
            if (content !== paddedToken(received, call.tokenCharacters)) {
                problem ??= `token ${received} is ${event.data.slice(0, 200)}`;
            }
            received += 1;
        },
    });
    return {
        feed: text => parser.feed(text),
        problem: () =>
            problem ??
            (received === call.tokens && isDone
                ? undefined
                : `${received} of ${call.tokens} tokens, ${isDone ? "with" : "without"} an end event`),
    };
}

/** Resolves with the problem of the answer; `undefined` when it is whole. */
function readSlowly(call: SlowReadCall): Promise<string | undefined> {
    return new Promise(resolve => {
        const outgoing = sendHttp(
            call.url,
            { method: "POST", headers: call.headers, agent: false },
            response => {
                const check = createTokenCheck(call);
                let errorText = "";
                response.setEncoding("utf8");
                response.on("data", (text: string) => {
                    if (response.statusCode !== 200) {
                        errorText += text;
                        return;
                    }
                    check.feed(text);
                    response.pause();
                    setTimeout(() => response.resume(), call.gapMilliseconds);
                });
                response.pause();
                setTimeout(() => response.resume(), call.stallMilliseconds);
                response.once("end", () =>
                    resolve(
                        response.statusCode === 200
                            ? check.problem()
                            : `status ${response.statusCode}: ${errorText.slice(0, 200)}`,
                    ),
                );
                response.once("error", error => resolve(error.message));
            },
        );
        outgoing.once("error", error => resolve(error.message));
        outgoing.end(call.body);
    });
}

async function runSlowReaders(call: SlowReadCall): Promise<SlowReadResult> {
    const start = performance.now();
    const results = await Promise.all(Array.from({ length: call.readers }, () => readSlowly(call)));
    const problems = results.filter(problem => problem !== undefined);
    return {
        whole: results.length - problems.length,
        problems: problems.slice(0, 10),
        milliseconds: performance.now() - start,
    };
}

async function handle(body: WorkerRole | WorkerCall): Promise<unknown> {
    switch (body.kind) {
        case "engine":
            return startEngineWorker(body);
        case "pipe":
            return startPipe(body.origin);
        case "client":
            return "";
        case "closed":
            return runClosedLoop(body);
        case "open":
            return runOpenLoop(body);
        case "read":
            return runSlowReaders(body);
    }
}

process.on("message", message => {
    const { id, body } = message as { readonly id: number; readonly body: WorkerRole | WorkerCall };
    handle(body).then(
        result => process.send!({ id, result }),
        (error: unknown) => process.send!({ id, error: (error as Error).stack }),
    );
});
process.once("disconnect", () => process.exit());
