/**
 * Stand-in of a model engine. `docs/engine-protocol.md` describes the protocol. `POST /faults` configures
 * faults, `GET /counters` returns the counters.
 */
import { randomUUID } from "node:crypto";
import type { ServerResponse } from "node:http";
import type { EngineOrder } from "../../src/node/orders/messages.js";
import { createEngineOrders } from "./engine-orders.js";
import { sendJson, startStandIn } from "./http.js";
import type { StandInCall, StandInServer } from "./http.js";

export interface EngineOptions {
    readonly model: string;
    readonly version: string;
    /**
     * Tokens per second of each stream. With `Infinity` and a `firstTokenMilliseconds` of 0, the whole answer
     * is written as soon as the request was read, without waiting for a batch step.
     */
    readonly tokensPerSecond: number;
    /** Milliseconds from the request to the first token. */
    readonly firstTokenMilliseconds: number;
    /** Tokens that all streams together may hold in memory; the engine crashes above it. */
    readonly memoryTokens: number;
    /** Maximum number of streams while the engine is cold; the engine crashes above it. */
    readonly coldConcurrency: number;
    /** Milliseconds after a start during which the engine is cold. */
    readonly coldMilliseconds: number;
    /** Generates the text of the token at `index` of an answer. */
    readonly tokenText?: (prompt: string, index: number) => string;
    readonly port?: number;
    /**
     * Whether the engine rejects orders with a fencing token lower than the highest accepted one.
     *
     * @default true
     */
    readonly checksFencing?: boolean;
    /**
     * Number of versions that can be loaded at the same time.
     *
     * @default 1
     */
    readonly slots?: number;
    /**
     * Duration of a load, milliseconds.
     *
     * @default 500
     */
    readonly loadMilliseconds?: number;
}

export interface EngineFaults {
    /** Number of streams whose connection is closed halfway. */
    readonly breakStreams: number;
    /** Number of requests that are answered with the attempt id of another request. */
    readonly crossAnswers: number;
    /** Number of streams that end halfway, without an error and without their last event. */
    readonly truncateStreams: number;
    /** Rejects all requests with 503 and `Verdict: not-run`. */
    readonly refuse: boolean;
    /** Retains no ended streams, so that none can be resumed. */
    readonly forgetStreams: boolean;
}

export interface EngineCounters {
    readonly requests: number;
    readonly resumes: number;
    readonly cancelled: number;
    /** Number of crashes from overload. */
    readonly failures: number;
    readonly largestConcurrency: number;
    readonly largestMemoryTokens: number;
    /** Number of loads that orders started. */
    readonly loads: number;
    readonly unloads: number;
}

export interface Engine extends StandInServer {
    counters(): EngineCounters;
    setFaults(faults: Partial<EngineFaults>): void;
    /** Simulates a crash and restart: all streams break, and the engine is cold. */
    restart(): void;
    activeStreams(): number;
}

/** Milliseconds between steps of the batch. */
const BATCH_STEP_MILLISECONDS = 10;

/** Milliseconds for which a broken, cancelled or completed stream can be resumed. */
const RETENTION_MILLISECONDS = 60_000;

const CHARACTERS_PER_TOKEN = 4;
const DEFAULT_TOKENS = 16;
const DEFAULT_LOAD_MILLISECONDS = 500;

interface Stream {
    readonly id: string;
    readonly completionId: string;
    /** As `MODEL/VERSION`. */
    readonly version: string;
    readonly prompt: string;
    readonly promptTokens: number;
    readonly totalTokens: number;
    readonly chat: boolean;
    generated: number;
    /** Tokens that the generation rate allows to send now. */
    allowance: number;
    response: ServerResponse | undefined;
    readonly startsAt: number;
    breakAt: number;
    truncateAt: number;
}

interface CompletionBody {
    readonly model?: string;
    readonly version?: string;
    readonly max_tokens?: number;
    readonly prompt?: string | readonly string[];
    readonly messages?: readonly { readonly role: string; readonly content: string }[];
    readonly continue_from?: { readonly offset: number; readonly text: string; readonly id: string };
}

export async function startEngine(options: EngineOptions): Promise<Engine> {
    const isImmediate = options.tokensPerSecond === Infinity && options.firstTokenMilliseconds === 0;
    const tokenText = options.tokenText ?? ((_prompt: string, index: number) => `t${index} `);
    const streams = new Map<string, Stream>();
    const retained = new Map<string, Stream>();
    const counters = {
        requests: 0,
        resumes: 0,
        cancelled: 0,
        failures: 0,
        largestConcurrency: 0,
        largestMemoryTokens: 0,
        loads: 0,
        unloads: 0,
    };
    const orders = createEngineOrders({
        initialVersions: [`${options.model}/${options.version}`],
        slots: options.slots ?? 1,
        loadMilliseconds: options.loadMilliseconds ?? DEFAULT_LOAD_MILLISECONDS,
        checksFencing: options.checksFencing ?? true,
        checksExpiry: true,
        now: () => performance.now(),
        wallTime: () => Date.now(),
        runningStreams: version => [...streams.values()].filter(stream => stream.version === version).length,
        onLoad: () => (counters.loads += 1),
        onUnload: () => (counters.unloads += 1),
    });
    let faults: EngineFaults = {
        breakStreams: 0,
        crossAnswers: 0,
        truncateStreams: 0,
        refuse: false,
        forgetStreams: false,
    };
    let bootId: string = randomUUID();
    let startedAt = performance.now();

    const usedMemoryTokens = (): number =>
        [...streams.values()].reduce((sum, stream) => sum + stream.promptTokens + stream.generated, 0);
    const isCold = (): boolean => performance.now() - startedAt < options.coldMilliseconds;

    const restart = (): void => {
        for (const stream of streams.values()) {
            stream.response?.destroy();
        }
        streams.clear();
        retained.clear();
        orders.restart();
        bootId = randomUUID();
        startedAt = performance.now();
    };

    const crashIfOverloaded = (): void => {
        counters.largestConcurrency = Math.max(counters.largestConcurrency, streams.size);
        counters.largestMemoryTokens = Math.max(counters.largestMemoryTokens, usedMemoryTokens());
        if (
            usedMemoryTokens() > options.memoryTokens ||
            (isCold() && streams.size > options.coldConcurrency)
        ) {
            counters.failures += 1;
            restart();
        }
    };

    const detach = (stream: Stream): void => {
        streams.delete(stream.id);
        stream.response = undefined;
        retain(stream);
    };

    const retain = (stream: Stream): void => {
        if (!faults.forgetStreams) {
            retained.set(stream.id, stream);
            setTimeout(() => retained.delete(stream.id), RETENTION_MILLISECONDS).unref();
        }
    };

    const attach = (call: StandInCall, stream: Stream): void => {
        const hasWrongAttemptId = faults.crossAnswers > 0;
        faults = { ...faults, crossAnswers: Math.max(0, faults.crossAnswers - 1) };
        streams.set(stream.id, stream);
        stream.response = call.response;
        call.response.writeHead(200, {
            "content-type": "text/event-stream",
            "attempt-id": hasWrongAttemptId ? "another-attempt" : String(call.headers["attempt-id"]),
            "stream-id": stream.id,
            "stream-offset": String(stream.generated),
            "boot-id": bootId,
            cold: String(isCold()),
            "load-requests": String(streams.size),
            "load-memory-tokens": String(usedMemoryTokens()),
        });
        call.response.flushHeaders();
        call.response.once("close", () => {
            if (stream.response === call.response && stream.generated < stream.totalTokens) {
                counters.cancelled += 1;
                detach(stream);
            }
        });
        crashIfOverloaded();
        if (isImmediate && streams.has(stream.id)) {
            generateTokens(stream);
        }
    };

    const consumeFault = (fault: "breakStreams" | "truncateStreams", total: number): number => {
        if (faults[fault] === 0) {
            return Infinity;
        }
        faults = { ...faults, [fault]: faults[fault] - 1 };
        return Math.floor(total / 2);
    };

    const startStream = (call: StandInCall, chat: boolean): void => {
        counters.requests += 1;
        const body = JSON.parse(call.body) as CompletionBody;
        const headers = { "attempt-id": String(call.headers["attempt-id"]), "boot-id": bootId };
        if (faults.refuse) {
            sendJson(call.response, 503, { error: "refused" }, { ...headers, verdict: "not-run" });
            return;
        }
        const version = `${body.model}/${body.version}`;
        if (!orders.serves(version)) {
            sendJson(
                call.response,
                404,
                { error: "the version is not loaded" },
                { ...headers, verdict: "not-run" },
            );
            return;
        }
        const prompt =
            body.messages?.map(message => `${message.role}: ${message.content}`).join("\n") ??
            String(body.prompt);
        const totalTokens = body.max_tokens ?? DEFAULT_TOKENS;
        const id = randomUUID();
        attach(call, {
            id,
            completionId: body.continue_from?.id ?? `completion-${id}`,
            version,
            prompt,
            promptTokens: Math.ceil(prompt.length / CHARACTERS_PER_TOKEN),
            totalTokens,
            chat,
            generated: body.continue_from?.offset ?? 0,
            allowance: 0,
            response: undefined,
            startsAt: performance.now() + options.firstTokenMilliseconds,
            breakAt: consumeFault("breakStreams", totalTokens),
            truncateAt: consumeFault("truncateStreams", totalTokens),
        });
    };

    const resumeStream = (call: StandInCall, id: string): void => {
        counters.resumes += 1;
        const stream = retained.get(id) ?? streams.get(id);
        const { offset } = JSON.parse(call.body) as { readonly offset: number };
        if (stream === undefined || offset > stream.totalTokens || !orders.serves(stream.version)) {
            const headers = { "attempt-id": String(call.headers["attempt-id"]), "boot-id": bootId };
            sendJson(
                call.response,
                410,
                { error: "the stream is not retained" },
                { ...headers, verdict: "not-run" },
            );
            return;
        }
        retained.delete(id);
        stream.response = undefined;
        stream.generated = offset;
        stream.allowance = 0;
        stream.breakAt = Infinity;
        attach(call, stream);
    };

    const eventText = (stream: Stream, content: string, last: boolean): string => {
        const choice = {
            index: 0,
            ...(stream.chat ? { delta: { content } } : { text: content }),
            finish_reason: last ? "length" : null,
        };
        const usage = { prompt_tokens: stream.promptTokens, completion_tokens: stream.totalTokens };
        const event = {
            id: stream.completionId,
            object: stream.chat ? "chat.completion.chunk" : "text_completion",
            choices: [choice],
            ...(last ? { usage } : {}),
        };
        return `id: ${stream.generated}\ndata: ${JSON.stringify(event)}\n\n${last ? "data: [DONE]\n\n" : ""}`;
    };

    /** Sends the tokens of a stream that are due in this batch step. */
    const generateTokens = (stream: Stream): void => {
        const response = stream.response!;
        stream.allowance += (options.tokensPerSecond * BATCH_STEP_MILLISECONDS) / 1000;
        let text = "";
        while (
            stream.allowance >= 1 &&
            stream.generated < stream.totalTokens &&
            !response.writableNeedDrain
        ) {
            if (stream.generated >= Math.min(stream.breakAt, stream.truncateAt)) {
                response.write(text);
                endEarly(stream, response);
                return;
            }
            stream.allowance -= 1;
            stream.generated += 1;
            const last = stream.generated === stream.totalTokens;
            text += eventText(stream, tokenText(stream.prompt, stream.generated - 1), last);
        }
        stream.allowance = Math.min(stream.allowance, options.tokensPerSecond);
        if (text !== "") {
            response.write(text);
        }
        if (stream.generated === stream.totalTokens) {
            streams.delete(stream.id);
            // The last bytes may still be in the kernel's buffer when the connection breaks; the router
            // resumes then.
            retain(stream);
            response.end();
        }
    };

    const endEarly = (stream: Stream, response: ServerResponse): void => {
        const truncates = stream.generated >= stream.truncateAt;
        stream.breakAt = Infinity;
        stream.truncateAt = Infinity;
        detach(stream);
        if (truncates) {
            response.end();
        }
        else {
            setImmediate(() => response.destroy());
        }
    };

    const batchTimer = setInterval(() => {
        const now = performance.now();
        orders.advance();
        for (const stream of streams.values()) {
            if (now >= stream.startsAt) {
                generateTokens(stream);
            }
        }
        crashIfOverloaded();
    }, BATCH_STEP_MILLISECONDS);

    const setFaults = (changes: Partial<EngineFaults>): void => {
        faults = { ...faults, ...changes };
    };

    const server = await startStandIn(call => {
        const resumeMatch = /^\/v1\/streams\/([^/]+)\/resume$/.exec(call.path);
        if (resumeMatch !== null) {
            resumeStream(call, decodeURIComponent(resumeMatch[1]!));
        }
        else if (call.path === "/v1/chat/completions" || call.path === "/v1/completions") {
            startStream(call, call.path === "/v1/chat/completions");
        }
        else if (call.path === "/orders" && call.method === "POST") {
            const answer = orders.accept(JSON.parse(call.body) as EngineOrder);
            sendJson(call.response, answer.status, answer.body);
        }
        else if (call.path === "/orders") {
            sendJson(call.response, 200, { bootId, ...orders.state() });
        }
        else if (call.path === "/load") {
            sendJson(call.response, 200, {
                bootId,
                cold: isCold(),
                streams: streams.size,
                memoryTokens: usedMemoryTokens(),
            });
        }
        else if (call.path === "/faults") {
            setFaults(JSON.parse(call.body) as Partial<EngineFaults>);
            sendJson(call.response, 200, faults);
        }
        else if (call.path === "/counters") {
            sendJson(call.response, 200, counters);
        }
        else {
            sendJson(call.response, 404, { error: "no such path" });
        }
    }, options.port);

    return {
        ...server,
        close: () => {
            clearInterval(batchTimer);
            return server.close();
        },
        counters: () => ({ ...counters }),
        setFaults,
        restart,
        activeStreams: () => streams.size,
    };
}
