/**
 * Measures the overhead of the router: latency at half load, and processor time per request and per token.
 */
import type { Deployment } from "../../playground/deployment.js";
import {
    MODEL,
    VERSION,
    WORKSPACE,
    chatRequest,
    countViolations,
    createBenchTicket,
    processorMilliseconds,
    startBenchDeployment,
} from "../driver.js";
import type { Figures, Scenario, ScenarioContext } from "../scenario.js";
import type { ClientTarget } from "../worker-process.js";
import { startWorker } from "../workers.js";
import type { Worker } from "../workers.js";

const DATA_CENTRE = "lavado";
const ROUNDS = 3;

/** Concurrent requests while the rate of a core is measured, enough to keep the measured process busy. */
const CONCURRENCY = 32;
const CLOSED_LOOP_MILLISECONDS = 1000;
const OPEN_LOOP_MILLISECONDS = 800;
const WARM_UP_MILLISECONDS = 2000;
const ANSWER_TOKENS = 8;

/** Concurrent streams while tokens are measured. The engine generates a token every 20 ms. */
const STREAMS = 400;
const TOKENS_PER_SECOND = 50;
const STREAM_TOKENS = 80;
const STREAM_MILLISECONDS = 1000;

const MEMORY_TOKENS = 1_000_000_000;

/** How a call reaches an engine. */
type CallPath = "router" | "direct" | "pipe";
const CALL_PATHS: readonly CallPath[] = ["direct", "router", "pipe"];

interface Fixture {
    readonly deployment: Deployment;
    readonly client: Worker;
    /** Identifiers of the measured processes. For direct calls the client itself is measured. */
    readonly processes: Readonly<Record<"router" | "pipe", number>>;
    readonly addresses: Readonly<Record<CallPath, readonly string[]>>;
}

/** Number of requests and the processor time that they used. */
interface Rate {
    requests: number;
    processorMilliseconds: number;
}

function targetOf(fixture: Fixture, callPath: CallPath, tokens: number): ClientTarget {
    const { path, headers, body } = chatRequest("call", WORKSPACE, "Is the glass in stock?", tokens);
    // Engines require the version. The router adds it to the requests that it forwards.
    const engineBody = JSON.stringify({ ...(JSON.parse(body!) as object), version: VERSION });
    const addresses = fixture.addresses[callPath];
    return {
        addresses,
        path,
        headers,
        body: callPath === "router" ? body! : engineBody,
        ending: "data: [DONE]\n\n",
    };
}

/** @param share From 0 to 1. */
function percentile(values: readonly number[], share: number): number {
    const sorted = [...values].sort((a, b) => a - b);
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}

/** Starts two engines, a pipe to the first engine and a node that uses both, and stops them after the run. */
async function withFixture<Result>(
    tokensPerSecond: number,
    run: (fixture: Fixture) => Promise<Result>,
): Promise<Result> {
    const engine = {
        kind: "engine",
        options: {
            model: MODEL,
            version: VERSION,
            tokensPerSecond,
            firstTokenMilliseconds: 0,
            memoryTokens: MEMORY_TOKENS,
            coldConcurrency: STREAMS,
            coldMilliseconds: 0,
        },
    } as const;
    const engines = [await startWorker(engine), await startWorker(engine)];
    const pipe = await startWorker({ kind: "pipe", origin: engines[0]!.address });
    const client = await startWorker({ kind: "client" });
    const deployment = await startBenchDeployment({ nodes: 1, dataCentres: [DATA_CENTRE] });
    const addresses = engines.map(({ address }) => address);
    try {
        await deployment.apply(
            createBenchTicket(1, {
                dataCentres: [DATA_CENTRE],
                workspaces: [WORKSPACE],
                engines: addresses.map((address, index) => ({
                    name: `engine-${index + 1}`,
                    address,
                    dataCentre: DATA_CENTRE,
                })),
            }),
        );
        const node = deployment.nodes[0]!;
        return await run({
            deployment,
            client,
            processes: { router: node.process.pid!, pipe: pipe.processId },
            addresses: { router: [node.callers], direct: addresses, pipe: [pipe.address] },
        });
    }
    finally {
        await deployment.stop();
        await Promise.all([...engines, pipe, client].map(worker => worker.stop()));
    }
}

/**
 * Sends closed-loop load and measures the processor time of the router, the pipe or, for direct calls, the
 * client.
 */
async function measureClosedLoop(
    fixture: Fixture,
    callPath: CallPath,
    tokens: number,
    concurrency: number,
    milliseconds: number,
): Promise<Rate> {
    const measured = callPath === "direct" ? undefined : fixture.processes[callPath];
    const before = measured === undefined ? 0 : processorMilliseconds(measured);
    const result = await fixture.client.call({
        kind: "closed",
        target: targetOf(fixture, callPath, tokens),
        concurrency,
        milliseconds,
    });
    return {
        requests: result.requests,
        processorMilliseconds:
            measured === undefined ? result.processorMilliseconds : processorMilliseconds(measured) - before,
    };
}

function emptyRates(): Record<CallPath, Rate> {
    const rate = (): Rate => ({ requests: 0, processorMilliseconds: 0 });
    return { direct: rate(), router: rate(), pipe: rate() };
}

function addRate(sum: Rate, rate: Rate): void {
    sum.requests += rate.requests;
    sum.processorMilliseconds += rate.processorMilliseconds;
}

/** Measures in alternating rounds, so that other load on the machine affects all call paths equally. */
async function measureRequests(fixture: Fixture, context: ScenarioContext) {
    const rates = emptyRates();
    for (const callPath of CALL_PATHS) {
        context.progress(`warming up: ${callPath}`);
        await measureClosedLoop(fixture, callPath, ANSWER_TOKENS, CONCURRENCY, WARM_UP_MILLISECONDS);
    }
    let routerMilliseconds = 0;
    for (let round = 0; round < ROUNDS; round += 1) {
        for (const callPath of CALL_PATHS) {
            context.progress(`requests per core, round ${round + 1} of ${ROUNDS}: ${callPath}`);
            const start = performance.now();
            addRate(
                rates[callPath],
                await measureClosedLoop(
                    fixture,
                    callPath,
                    ANSWER_TOKENS,
                    CONCURRENCY,
                    CLOSED_LOOP_MILLISECONDS,
                ),
            );
            routerMilliseconds += callPath === "router" ? performance.now() - start : 0;
        }
    }
    const fullRate = (rates.router.requests / routerMilliseconds) * 1000;
    const latencies: Record<CallPath, number[]> = { direct: [], router: [], pipe: [] };
    for (let round = 0; round < ROUNDS; round += 1) {
        for (const callPath of CALL_PATHS) {
            context.progress(`latency at half load, round ${round + 1} of ${ROUNDS}: ${callPath}`);
            const result = await fixture.client.call({
                kind: "open",
                target: targetOf(fixture, callPath, ANSWER_TOKENS),
                ratePerSecond: fullRate / 2,
                milliseconds: OPEN_LOOP_MILLISECONDS,
                seed: context.seed + round,
            });
            latencies[callPath].push(...result.latencies);
        }
    }
    return { rates, fullRate, latencies };
}

async function measureTokens(fixture: Fixture, context: ScenarioContext): Promise<Record<CallPath, Rate>> {
    const rates = emptyRates();
    for (let round = -1; round < ROUNDS - 1; round += 1) {
        for (const callPath of ["router", "pipe"] as const) {
            context.progress(
                `tokens per core, ${round < 0 ? "warming up" : `round ${round + 1}`}: ${callPath}`,
            );
            const rate = await measureClosedLoop(
                fixture,
                callPath,
                STREAM_TOKENS,
                STREAMS,
                STREAM_MILLISECONDS,
            );
            if (round >= 0) {
                addRate(rates[callPath], rate);
            }
        }
    }
    return rates;
}

function perCoreSecond(rate: Rate, unitsPerRequest = 1): number {
    return (rate.requests * unitsPerRequest * 1000) / rate.processorMilliseconds;
}

export const overhead: Scenario = {
    name: "overhead",
    description:
        "latency that the router adds at half load, and requests and streamed tokens per second of a core, against direct undici calls and a plain node:http pipe",
    runs: "daemons",
    run: async context => {
        const requests = await withFixture(Infinity, async fixture => ({
            ...(await measureRequests(fixture, context)),
            violations: await countViolations(fixture.deployment),
        }));
        const tokens = await withFixture(TOKENS_PER_SECOND, async fixture => ({
            rates: await measureTokens(fixture, context),
            violations: await countViolations(fixture.deployment),
        }));
        const { rates, latencies } = requests;
        const figuresOf = (callPath: CallPath): Figures => ({
            requestsPerCoreSecond: perCoreSecond(rates[callPath]),
            latencyP50Milliseconds: percentile(latencies[callPath], 0.5),
            latencyP99Milliseconds: percentile(latencies[callPath], 0.99),
            ...(callPath === "direct"
                ? {}
                : { tokensPerCoreSecond: perCoreSecond(tokens.rates[callPath], STREAM_TOKENS) }),
        });
        const added = (callPath: CallPath, share: number): number =>
            percentile(latencies[callPath], share) - percentile(latencies.direct, share);
        return {
            figures: {
                ...figuresOf("router"),
                addedP50Milliseconds: added("router", 0.5),
                addedP99Milliseconds: added("router", 0.99),
                requestRateOfDirect: perCoreSecond(rates.router) / perCoreSecond(rates.direct),
                tokenRateOfPipe: perCoreSecond(tokens.rates.router) / perCoreSecond(tokens.rates.pipe),
                halfLoadRequestsPerSecond: requests.fullRate / 2,
            },
            baselines: {
                "direct undici call": figuresOf("direct"),
                "plain pipe": {
                    ...figuresOf("pipe"),
                    addedP50Milliseconds: added("pipe", 0.5),
                    addedP99Milliseconds: added("pipe", 0.99),
                    requestRateOfDirect: perCoreSecond(rates.pipe) / perCoreSecond(rates.direct),
                },
            },
            violations: requests.violations + tokens.violations,
        };
    },
};
