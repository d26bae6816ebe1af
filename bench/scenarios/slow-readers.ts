/**
 * Measures memory of a node and latency of normal callers while many other callers read long answers slowly.
 */
import { request } from "undici";
import type { Deployment } from "../../playground/deployment.js";
import {
    MODEL,
    SERVICE,
    VERSION,
    WORKSPACE,
    chatRequest,
    countViolations,
    createBenchTicket,
    residentBytes,
    startBenchDeployment,
} from "../driver.js";
import { percentileMilliseconds, poissonTimes, runLoad } from "../load.js";
import type { LoadResult } from "../load.js";
import type { Figures, Scenario, ScenarioContext } from "../scenario.js";
import { startWorker } from "../workers.js";
import type { Worker } from "../workers.js";

const DATA_CENTRE = "lavado";
const TOKEN_CHARACTERS = 16_384;
const CALLS_PER_SECOND = 50;
const UNDISTURBED_MILLISECONDS = 2500;
const SAMPLE_MILLISECONDS = 100;

/**
 * Shorter than the stall of the readers, so that the node cancels streams at the engine and resumes them
 * later.
 */
const STALLED_READER_MILLISECONDS = 1500;

/** A buffer size that is never reached. The baseline reads from the engine as fast as the engine sends. */
const UNBOUNDED_BYTES = 1_000_000_000_000;

/**
 * Load of slow readers.
 *
 * Loopback segments have 64 KiB, so the send buffer of the kernel holds 2.6 to 4 MB per loopback connection.
 * An answer of 1 MB therefore fills the buffer of the node only when the kernel is short of memory. Answers
 * of 6 MB show the effect of the buffer limit.
 */
interface ReaderLoad {
    /** Number of concurrent readers. */
    readonly readers: number;
    readonly tokens: number;
    /** Rate of each stream at the engine. All streams together stay near 80 MB/s. */
    readonly tokensPerSecond: number;
    readonly stallMilliseconds: number;
    readonly gapMilliseconds: number;
}

const LARGE: ReaderLoad = {
    readers: 50,
    tokens: 384,
    tokensPerSecond: 100,
    stallMilliseconds: 5000,
    gapMilliseconds: 10,
};
const LARGE_LONG: ReaderLoad = { ...LARGE, readers: 200, tokensPerSecond: 25, stallMilliseconds: 20_000 };
const MANY: ReaderLoad = {
    readers: 250,
    tokens: 64,
    tokensPerSecond: 20,
    stallMilliseconds: 4000,
    gapMilliseconds: 30,
};
const MANY_LONG: ReaderLoad = { ...MANY, readers: 2000, tokensPerSecond: 2.5, stallMilliseconds: 30_000 };

const BYTES_PER_MEGABYTE = 1024 * 1024;

interface Measurement {
    readonly figures: Figures;
    readonly violations: number;
    readonly series: readonly (readonly [number, number])[];
}

async function counterOf(engines: readonly Worker[], name: "cancelled" | "resumes"): Promise<number> {
    const counts = await Promise.all(
        engines.map(async ({ address }) => {
            const response = await request(`${address}/counters`);
            return ((await response.body.json()) as Record<string, number>)[name]!;
        }),
    );
    return counts.reduce((sum, count) => sum + count, 0);
}

function runLookups(
    deployment: Deployment,
    context: ScenarioContext,
    milliseconds: number,
): Promise<LoadResult> {
    const arrivals = poissonTimes(CALLS_PER_SECOND, milliseconds, context.random).map(atMilliseconds => ({
        atMilliseconds,
        request: {
            kind: "lookup",
            method: "GET",
            path: `/services/${SERVICE}/stock/glass-4`,
            headers: { authorization: `Bearer ${WORKSPACE.apiKey}` },
            expects: "any",
        } as const,
    }));
    return runLoad({ addresses: [deployment.nodes[0]!.callers], arrivals });
}

function p99(load: LoadResult): number {
    return percentileMilliseconds(load.kinds.get("lookup")!.total, 99);
}

async function measure(
    context: ScenarioContext,
    name: string,
    readers: ReaderLoad,
    responseBufferBytes: number | undefined,
): Promise<Measurement> {
    const engine = {
        kind: "engine",
        options: {
            model: MODEL,
            version: VERSION,
            tokensPerSecond: readers.tokensPerSecond,
            firstTokenMilliseconds: 10,
            memoryTokens: 1_000_000_000,
            coldConcurrency: 1_000_000,
            coldMilliseconds: 0,
        },
        tokenCharacters: TOKEN_CHARACTERS,
    } as const;
    const engines = await Promise.all([startWorker(engine), startWorker(engine)]);
    const client = await startWorker({ kind: "client" });
    const deployment = await startBenchDeployment({
        nodes: 1,
        dataCentres: [DATA_CENTRE],
        services: 1,
        settings: {
            callers: {
                stalledReaderMilliseconds: STALLED_READER_MILLISECONDS,
                ...(responseBufferBytes === undefined ? {} : { responseBufferBytes }),
            },
        },
    });
    const node = deployment.nodes[0]!;
    const series: [number, number][] = [];
    const start = performance.now();
    const memory = (): number => residentBytes(node.process.pid!) / BYTES_PER_MEGABYTE;
    const sampler = setInterval(() => {
        series.push([performance.now() - start, memory()]);
    }, SAMPLE_MILLISECONDS);
    try {
        const common = { dataCentre: DATA_CENTRE, concurrency: 10_000 };
        await deployment.apply(
            createBenchTicket(1, {
                dataCentres: [DATA_CENTRE],
                workspaces: [WORKSPACE],
                engines: engines.map(({ address }, index) => ({
                    ...common,
                    name: `engine-${index + 1}`,
                    address,
                })),
                services: [{ ...common, name: "service-1", address: deployment.services[0]!.address }],
            }),
        );
        context.progress(`${name}: normal callers alone`);
        const undisturbed = await runLookups(deployment, context, UNDISTURBED_MILLISECONDS);
        const idle = memory();
        series.length = 0;
        context.progress(`${name}: ${readers.readers} slow readers`);
        const { path, headers, body } = chatRequest("slow", WORKSPACE, "Report.", readers.tokens);
        const reading = client.call({
            kind: "read",
            url: node.callers + path,
            headers,
            body: body!,
            ...readers,
            tokenCharacters: TOKEN_CHARACTERS,
        });
        const loads = [await runLookups(deployment, context, readers.stallMilliseconds + 1500)];
        const result = await reading;
        const peak = Math.max(...series.map(([, megabytes]) => megabytes));
        const notAnswered = [undisturbed, ...loads].reduce(
            (sum, load) => sum + load.kinds.get("lookup")!.refused + load.kinds.get("lookup")!.broken,
            0,
        );
        return {
            figures: {
                readers: readers.readers,
                answerMegabytes: (readers.tokens * TOKEN_CHARACTERS) / BYTES_PER_MEGABYTE,
                wholeAnswers: result.whole,
                firstProblem: result.problems[0] ?? "none",
                idleMegabytes: idle,
                peakOverIdleMegabytes: peak - idle,
                normalP99AloneMilliseconds: p99(undisturbed),
                normalP99BesideReadersMilliseconds: p99(loads[0]!),
                normalNotAnswered: notAnswered,
                streamsCancelledAtEngine: await counterOf(engines, "cancelled"),
                streamsResumed: await counterOf(engines, "resumes"),
                readMilliseconds: result.milliseconds,
            },
            violations: (await countViolations(deployment)) + (readers.readers - result.whole),
            series,
        };
    }
    finally {
        clearInterval(sampler);
        await deployment.stop();
        await Promise.all([...engines, client].map(worker => worker.stop()));
    }
}

export const slowReaders: Scenario = {
    name: "slow-readers",
    description:
        "memory and normal callers' p99 beside callers that stall for 5 s and then read slowly: 50 answers of 6 MB against unbounded buffering, and 250 of 1 MB (200 and 2,000 with --long)",
    runs: "daemons",
    run: async context => {
        const large = context.long ? LARGE_LONG : LARGE;
        const bounded = await measure(context, "bounded, 6 MB", large, undefined);
        const unbounded = await measure(context, "unbounded, 6 MB", large, UNBOUNDED_BYTES);
        const many = await measure(context, "bounded, 1 MB", context.long ? MANY_LONG : MANY, undefined);
        const prefixed = Object.fromEntries(
            Object.entries(many.figures).map(([name, value]) => [`oneMegabyte:${name}`, value]),
        );
        return {
            figures: { ...bounded.figures, ...prefixed },
            baselines: { "unbounded buffers": unbounded.figures },
            violations: bounded.violations + many.violations,
            series: {
                "bounded 6 MB": bounded.series,
                "unbounded 6 MB": unbounded.series,
                "bounded 1 MB": many.series,
            },
        };
    },
};
