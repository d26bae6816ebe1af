/**
 * Open-loop load generator. Send times are drawn in advance and do not depend on earlier answers. Latency is
 * measured from the intended send time, so that a stalled system does not hide its delays (coordinated
 * omission).
 */
import { setTimeout as sleep } from "node:timers/promises";
import { build } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";
import { Agent, request } from "undici";
import type { Dispatcher } from "undici";
import type { Random } from "../src/node/common/random.js";
import { createStreamCheck, findAnswerProblem } from "./answer-check.js";
import type { Figures } from "./scenario.js";

export interface LoadRequest {
    /** Request class that the results are grouped by, for example `counter-question`. */
    readonly kind: string;
    readonly method: "GET" | "POST";
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body?: string;
    /**
     * - `stream`: an SSE stream that ends with `[DONE]`.
     * - `completion`: a whole completion in JSON.
     * - `any`: any answer with a 2xx status.
     */
    readonly expects: "stream" | "completion" | "any";
    /** Whether the request carries the last session token that was received for this `Session-Id`. */
    readonly echoesSessionToken?: boolean;
    /** Describes the problem of a whole answer, if any. `text` is the generated text or the body. */
    readonly check?: (text: string) => string | undefined;
}

export interface Arrival {
    /** Intended send time, milliseconds after the start of the run. */
    readonly atMilliseconds: number;
    readonly request: LoadRequest;
}

/**
 * Draws the times of a Poisson process, milliseconds from the start, in ascending order.
 *
 * @throws RangeError when the rate is not positive.
 */
export function poissonTimes(
    ratePerSecond: number,
    durationMilliseconds: number,
    random: Random,
): readonly number[] {
    if (!(ratePerSecond > 0)) {
        throw new RangeError(`the rate must be above 0, not ${ratePerSecond}`);
    }
    const times: number[] = [];
    const meanGap = 1000 / ratePerSecond;
    // 1 - random() lies in (0, 1], so the logarithm is finite.
    for (let at = -Math.log(1 - random()) * meanGap; at < durationMilliseconds;) {
        times.push(at);
        at += -Math.log(1 - random()) * meanGap;
    }
    return times;
}

/** Outcome of one request as observed by the caller. */
export type LoadOutcome =
    | { readonly kind: "answered"; readonly text: string }
    /** An answer with a status of 300 or above; `-` stands for a missing code or verdict. */
    | {
          readonly kind: "refused";
          readonly status: number;
          readonly code: string;
          readonly verdict: string;
          /** Whether the answer has a `Retry-After` header. */
          readonly hasRetryAfter: boolean;
      }
    /** The connection failed or the stream contained an error. */
    | { readonly kind: "broken"; readonly detail: string }
    /** The answer ended without an error but is incomplete, invalid or not the answer to this request. */
    | { readonly kind: "wrong"; readonly detail: string };

export interface KindResult {
    readonly answered: number;
    readonly refused: number;
    readonly broken: number;
    readonly wrong: number;
    /** Microseconds from the intended send time to the first token; streams only. */
    readonly firstToken: Histogram;
    /** Microseconds between the tokens of a stream. */
    readonly tokenGap: Histogram;
    /** Microseconds from the intended send time to the end of the answer; answered requests only. */
    readonly total: Histogram;
}

export interface LoadResult {
    readonly kinds: ReadonlyMap<string, KindResult>;
    /** Number of rejections by `status code verdict`. */
    readonly refusals: ReadonlyMap<string, number>;
    /** Details of the first wrong answers. */
    readonly wrong: readonly string[];
    /** Details of the first broken answers. */
    readonly broken: readonly string[];
    /** Requests skipped because too many were open; a run with such requests is not a valid measurement. */
    readonly notSent: number;
    /** Longest delay of a send after its intended time, milliseconds; included in the latencies. */
    readonly worstSendLagMilliseconds: number;
}

export interface LoadOptions {
    /**
     * Base URLs of the listeners for callers, used round robin like the load balancer of the platform does.
     * The array may change during the run.
     */
    readonly addresses: readonly string[];
    /** Sorted by time. */
    readonly arrivals: readonly Arrival[];
    /** Called for each finished request. */
    readonly onOutcome?: (arrival: Arrival, outcome: LoadOutcome) => void;
    /** Called about once a second. */
    readonly progress?: (text: string) => void;
    /**
     * Maximum number of open requests; further arrivals are skipped and counted in `notSent`.
     *
     * @default 5000
     */
    readonly maximumOpen?: number;
    /**
     * Milliseconds without a byte after which an answer counts as broken.
     *
     * @default 60000
     */
    readonly idleTimeoutMilliseconds?: number;
}

const DEFAULT_MAXIMUM_OPEN = 5000;
const DEFAULT_IDLE_TIMEOUT_MILLISECONDS = 60_000;
const PROGRESS_INTERVAL_MILLISECONDS = 1000;

/** Maximum number of details per run and kind of outcome; the first ones suffice to find a fault. */
const MAXIMUM_DETAILS = 20;

/** Histograms store integers; microseconds keep a resolution of 0.001 ms. */
const MICROSECONDS_PER_MILLISECOND = 1000;

/** Largest latency that the histograms store, one hour; larger ones are recorded as this value. */
const MAXIMUM_LATENCY_MICROSECONDS = 3600 * 1_000_000;

function createHistogram(): Histogram {
    return build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: MAXIMUM_LATENCY_MICROSECONDS,
        numberOfSignificantValueDigits: 3,
    });
}

function recordLatency(histogram: Histogram, milliseconds: number): void {
    const microseconds = Math.round(milliseconds * MICROSECONDS_PER_MILLISECOND);
    histogram.recordValue(Math.min(MAXIMUM_LATENCY_MICROSECONDS, Math.max(0, microseconds)));
}

/** Value at a percentile, milliseconds; 0 when the histogram is empty. */
export function percentileMilliseconds(histogram: Histogram, percentile: number): number {
    return histogram.totalCount === 0
        ? 0
        : histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND;
}

type MutableKindResult = { -readonly [Key in keyof KindResult]: KindResult[Key] };

function createKindResult(): MutableKindResult {
    return {
        answered: 0,
        refused: 0,
        broken: 0,
        wrong: 0,
        firstToken: createHistogram(),
        tokenGap: createHistogram(),
        total: createHistogram(),
    };
}

/** Result of one request. Times are milliseconds on the clock of `performance.now`. */
interface ExchangeResult {
    readonly outcome: LoadOutcome;
    readonly tokenTimes: readonly number[];
    readonly sessionToken?: string;
}

function createRejection(status: number, text: string, hasRetryAfter: boolean): LoadOutcome {
    let problem: Record<string, unknown> = {};
    try {
        const parsed = JSON.parse(text) as { readonly error?: Record<string, unknown> };
        // Errors under /v1 have the OpenAI format, others are problem documents.
        problem = typeof parsed.error === "object" ? parsed.error : parsed;
    }
    catch {
        // A rejection without a JSON body is counted without code and verdict.
    }
    const readString = (name: string): string => {
        const value = problem[name];
        return typeof value === "string" ? value : "-";
    };
    // In problem documents the code is the last segment of the type.
    const code =
        problem["code"] === undefined ? readString("type").split(/[:/#]/).at(-1)! : readString("code");
    return { kind: "refused", status, code, verdict: readString("verdict"), hasRetryAfter };
}

async function readAnswer(
    loadRequest: LoadRequest,
    response: Dispatcher.ResponseData,
    tokenTimes: number[],
): Promise<LoadOutcome> {
    if (response.statusCode >= 300) {
        const hasRetryAfter = response.headers["retry-after"] !== undefined;
        return createRejection(response.statusCode, await response.body.text(), hasRetryAfter);
    }
    let text: string;
    if (loadRequest.expects === "stream") {
        const stream = createStreamCheck(() => tokenTimes.push(performance.now()));
        const decoder = new TextDecoder();
        for await (const chunk of response.body as AsyncIterable<Uint8Array>) {
            stream.feed(decoder.decode(chunk, { stream: true }));
        }
        stream.feed(decoder.decode());
        const end = stream.end();
        if (end.kind !== "whole") {
            return { kind: end.kind === "error" ? "broken" : "wrong", detail: end.detail };
        }
        text = end.text;
    }
    else {
        text = await response.body.text();
    }
    const problem =
        (loadRequest.expects === "completion" ? findAnswerProblem(text) : undefined) ??
        loadRequest.check?.(text);
    return problem === undefined ? { kind: "answered", text } : { kind: "wrong", detail: problem };
}

async function exchange(
    loadRequest: LoadRequest,
    address: string,
    dispatcher: Agent,
    sessionToken: string | undefined,
): Promise<ExchangeResult> {
    const tokenTimes: number[] = [];
    try {
        const response = await request(new URL(loadRequest.path, address), {
            method: loadRequest.method,
            headers: {
                ...loadRequest.headers,
                ...(sessionToken === undefined ? {} : { "session-token": sessionToken }),
            },
            ...(loadRequest.body === undefined ? {} : { body: loadRequest.body }),
            dispatcher,
        });
        const token = response.headers["session-token"];
        const outcome = await readAnswer(loadRequest, response, tokenTimes);
        return { outcome, tokenTimes, ...(typeof token === "string" ? { sessionToken: token } : {}) };
    }
    catch (error) {
        return { outcome: { kind: "broken", detail: (error as Error).message }, tokenTimes };
    }
}

/**
 * Prevents a mistake from sending load to another machine.
 *
 * @throws Error when an address is not a loopback address.
 */
function checkLoopback(addresses: readonly string[]): void {
    for (const address of addresses) {
        const { hostname } = new URL(address);
        if (!/^127\.\d+\.\d+\.\d+$/.test(hostname) && hostname !== "[::1]") {
            throw new Error(`load is only sent to loopback addresses, not to ${address}`);
        }
    }
}

/**
 * Sends the requests at their times. Resolves when all are finished.
 *
 * @throws Error when an address is not a loopback address.
 */
export async function runLoad(options: LoadOptions): Promise<LoadResult> {
    checkLoopback(options.addresses);
    const { arrivals, maximumOpen = DEFAULT_MAXIMUM_OPEN } = options;
    const idleTimeout = options.idleTimeoutMilliseconds ?? DEFAULT_IDLE_TIMEOUT_MILLISECONDS;
    const dispatcher = new Agent({ pipelining: 1, headersTimeout: idleTimeout, bodyTimeout: idleTimeout });
    const kinds = new Map<string, MutableKindResult>();
    const refusals = new Map<string, number>();
    const sessionTokens = new Map<string, string>();
    const details = { wrong: [] as string[], broken: [] as string[] };
    const openRequests = new Set<Promise<void>>();
    let notSent = 0;
    let worstSendLag = 0;

    const recordOutcome = (
        arrival: Arrival,
        intended: number,
        { outcome, tokenTimes }: ExchangeResult,
    ): void => {
        const { kind } = arrival.request;
        const result = kinds.get(kind) ?? createKindResult();
        kinds.set(kind, result);
        result[outcome.kind] += 1;
        if (outcome.kind === "answered") {
            recordLatency(result.total, performance.now() - intended);
        }
        if (tokenTimes.length > 0) {
            recordLatency(result.firstToken, tokenTimes[0]! - intended);
        }
        tokenTimes
            .slice(1)
            .forEach((time, index) => recordLatency(result.tokenGap, time - tokenTimes[index]!));
        if (outcome.kind === "refused") {
            const key = `${outcome.status} ${outcome.code} ${outcome.verdict}`;
            refusals.set(key, (refusals.get(key) ?? 0) + 1);
        }
        if (
            (outcome.kind === "wrong" || outcome.kind === "broken") &&
            details[outcome.kind].length < MAXIMUM_DETAILS
        ) {
            details[outcome.kind].push(`${kind}: ${outcome.detail}`);
        }
        options.onOutcome?.(arrival, outcome);
    };

    const send = async (arrival: Arrival, address: string, intended: number): Promise<void> => {
        const { headers, echoesSessionToken } = arrival.request;
        const session = echoesSessionToken === true ? headers["session-id"] : undefined;
        const token = session === undefined ? undefined : sessionTokens.get(session);
        const finished = await exchange(arrival.request, address, dispatcher, token);
        if (session !== undefined && finished.sessionToken !== undefined) {
            sessionTokens.set(session, finished.sessionToken);
        }
        recordOutcome(arrival, intended, finished);
    };

    const start = performance.now();
    const timer = setInterval(() => {
        const answered = [...kinds.values()].reduce((sum, kind) => sum + kind.total.totalCount, 0);
        options.progress?.(`${answered} answered of ${arrivals.length}, ${openRequests.size} open`);
    }, PROGRESS_INTERVAL_MILLISECONDS);
    try {
        for (const [index, arrival] of arrivals.entries()) {
            const intended = start + arrival.atMilliseconds;
            const wait = intended - performance.now();
            if (wait > 0) {
                await sleep(wait);
            }
            if (openRequests.size >= maximumOpen) {
                notSent += 1;
                continue;
            }
            worstSendLag = Math.max(worstSendLag, performance.now() - intended);
            const address = options.addresses[index % options.addresses.length]!;
            const sent: Promise<void> = send(arrival, address, intended).finally(() =>
                openRequests.delete(sent),
            );
            openRequests.add(sent);
        }
        await Promise.all(openRequests);
    }
    finally {
        clearInterval(timer);
        await dispatcher.destroy();
    }
    return { kinds, refusals, ...details, notSent, worstSendLagMilliseconds: worstSendLag };
}

/** Sums up the results of all kinds: counts, and percentiles in milliseconds. */
export function summariseLoad(result: LoadResult): Figures {
    const sum = createKindResult();
    for (const kind of result.kinds.values()) {
        sum.answered += kind.answered;
        sum.refused += kind.refused;
        sum.broken += kind.broken;
        sum.wrong += kind.wrong;
        sum.firstToken.add(kind.firstToken);
        sum.tokenGap.add(kind.tokenGap);
        sum.total.add(kind.total);
    }
    return {
        answered: sum.answered,
        refused: sum.refused,
        broken: sum.broken,
        wrong: sum.wrong,
        notSent: result.notSent,
        firstTokenP50Milliseconds: percentileMilliseconds(sum.firstToken, 50),
        firstTokenP95Milliseconds: percentileMilliseconds(sum.firstToken, 95),
        firstTokenP99Milliseconds: percentileMilliseconds(sum.firstToken, 99),
        tokenGapP95Milliseconds: percentileMilliseconds(sum.tokenGap, 95),
        totalP50Milliseconds: percentileMilliseconds(sum.total, 50),
        totalP95Milliseconds: percentileMilliseconds(sum.total, 95),
        totalP99Milliseconds: percentileMilliseconds(sum.total, 99),
        worstSendLagMilliseconds: result.worstSendLagMilliseconds,
    };
}
