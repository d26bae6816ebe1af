/**
 * Measures what a router node costs: processor time and wake-ups of whole router processes on loopback, idle and
 * at low rates of requests, and their calls to the store. At these rates little of the code is ever optimized by
 * the runtime, so the cost of a request is far above that of a saturated process.
 *
 * Load: deployments of 70 and more VMs with 0.25 to 1.35 of a core, at which a few requests a second arrive.
 */
import { readFileSync, readdirSync } from "node:fs";
import { Agent } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { isServed, sendRequest } from "../../platform/stand-ins/callers.js";
import type { RequestKind } from "../../platform/stand-ins/callers.js";
import { createPlatformDeployment, createWireConfiguration } from "../../platform/stand-ins/deployment.js";
import type { PlatformDeployment, RouterProcess } from "../../platform/stand-ins/deployment.js";
import { createUpstreamStandIn } from "../../platform/stand-ins/upstream.js";
import type { UpstreamStandIn } from "../../platform/stand-ins/upstream.js";
import { poissonTimes } from "../load.js";
import type { Figures, Scenario, ScenarioContext } from "../scenario.js";

const SIZES: readonly number[] = [8];
const LONG_SIZES: readonly number[] = [8, 24, 72];

/** Requests per second at each node. */
const RATES: readonly number[] = [5, 50];
const LONG_RATES: readonly number[] = [1, 5, 10, 50];

const DATA_CENTRES: readonly string[] = ["lavado", "pintura", "patio", "oficina"];
const ENGINES = 6;
const DESKS = 2;

/** Time after the start in which nodes find each other and code is loaded. */
const SETTLE_MILLISECONDS = 3000;
const IDLE_MILLISECONDS = 4000;
const LOAD_MILLISECONDS = 5000;

/** Flags of the deployed process. */
const RUNTIME_FLAGS: readonly string[] = [
    "--max-old-space-size=64",
    "--max-semi-space-size=2",
    "--no-wasm-tier-up",
    "--no-wasm-dynamic-tiering",
];

/** Clock ticks per second in `/proc/PID/stat`. */
const CLOCK_TICKS = 100;

const round = (value: number, digits = 2): number => Number(value.toFixed(digits));

interface Usage {
    readonly userMilliseconds: number;
    readonly kernelMilliseconds: number;
    readonly wakeUps: number;
    readonly peakMegabytes: number;
}

function readUsage({ process: { pid } }: RouterProcess): Usage {
    const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    const wakeUps = readdirSync(`/proc/${pid}/task`).map(task => {
        const status = readFileSync(`/proc/${pid}/task/${task}/status`, "utf8");
        return Number(/\nvoluntary_ctxt_switches:\s+(\d+)/.exec(status)?.[1] ?? 0);
    });
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    return {
        userMilliseconds: (Number(fields[11]) * 1000) / CLOCK_TICKS,
        kernelMilliseconds: (Number(fields[12]) * 1000) / CLOCK_TICKS,
        wakeUps: wakeUps.reduce((sum, count) => sum + count, 0),
        peakMegabytes: Number(/VmHWM:\s+(\d+)/.exec(status)?.[1]) / 1024,
    };
}

function callsTo(deployment: PlatformDeployment): number {
    return [...deployment.store.calls.values()].reduce((sum, count) => sum + count, 0);
}

/** Figures of a period, for each node and second. */
async function measure(
    deployment: PlatformDeployment,
    routers: readonly RouterProcess[],
    run: () => Promise<void>,
): Promise<Figures> {
    const before = routers.map(readUsage);
    const callsBefore = callsTo(deployment);
    const startedAt = performance.now();
    await run();
    const seconds = (performance.now() - startedAt) / 1000;
    const after = routers.map(readUsage);
    const rate = (value: (usage: Usage) => number): number =>
        after.reduce((sum, usage, index) => sum + value(usage) - value(before[index]!), 0) /
        routers.length /
        seconds;
    return {
        userMillisecondsPerSecond: round(rate(usage => usage.userMilliseconds)),
        kernelMillisecondsPerSecond: round(rate(usage => usage.kernelMilliseconds)),
        wakeUpsPerSecond: round(rate(usage => usage.wakeUps)),
        storeCallsPerSecond: round((callsTo(deployment) - callsBefore) / seconds),
        peakMegabytes: round(Math.max(...after.map(usage => usage.peakMegabytes)), 1),
    };
}

interface LoadResult {
    sent: number;
    served: number;
}

/** Sends requests to each node at exponential intervals, on connections that are kept. */
async function sendLoad(
    context: ScenarioContext,
    routers: readonly RouterProcess[],
    kind: RequestKind,
    requestsPerSecond: number,
): Promise<LoadResult> {
    const result: LoadResult = { sent: 0, served: 0 };
    const startedAt = performance.now();
    const open = new Set<Promise<void>>();
    const agent = new Agent({ keepAlive: true });
    const sendOne = async (router: RouterProcess): Promise<void> => {
        result.sent += 1;
        try {
            const answer = await sendRequest(router.callers, kind, agent);
            result.served += isServed(answer) ? 1 : 0;
        }
        catch {
            // Counts as not served.
        }
    };
    await Promise.all(
        routers.map(async router => {
            for (const at of poissonTimes(requestsPerSecond, LOAD_MILLISECONDS, context.random)) {
                await delay(Math.max(0, startedAt + at - performance.now()));
                const request = sendOne(router).finally(() => open.delete(request));
                open.add(request);
            }
        }),
    );
    await Promise.all(open);
    agent.destroy();
    return result;
}

async function measureSize(context: ScenarioContext, size: number): Promise<Figures> {
    const deployment = await createPlatformDeployment();
    const upstreams: UpstreamStandIn[] = [];
    try {
        deployment.store.put("op", "config", createWireConfiguration(1));
        for (let index = 0; index < ENGINES + DESKS; index += 1) {
            const isEngine = index < ENGINES;
            const upstream = await createUpstreamStandIn(`${isEngine ? "engine" : "desk"}-${index}`);
            upstreams.push(upstream);
            deployment.store.put("servers", upstream.id, upstream.entry(isEngine ? "engines" : "desk"));
        }
        const entry = new URL("../../platform/main.js", import.meta.url).pathname;
        const routers: RouterProcess[] = [];
        for (let index = 0; index < size; index += 1) {
            context.progress(`${size} nodes: starting node ${index + 1}`);
            routers.push(
                await deployment.startRouter(`n${index}`, {
                    dataCentre: DATA_CENTRES[index % DATA_CENTRES.length],
                    program: [...RUNTIME_FLAGS, entry],
                }),
            );
        }
        await delay(SETTLE_MILLISECONDS);
        const figures: Record<string, number | string | boolean | null> = {};
        const record = (name: string, part: Figures): void => {
            for (const [key, value] of Object.entries(part)) {
                figures[`n${size}.${name}.${key}`] = value;
            }
        };
        context.progress(`${size} nodes: idle`);
        const idle = await measure(deployment, routers, () => delay(IDLE_MILLISECONDS).then(() => undefined));
        record("idle", idle);
        for (const kind of ["plain", "stream"] as const) {
            for (const requestsPerSecond of context.long ? LONG_RATES : RATES) {
                context.progress(`${size} nodes: ${kind} at ${requestsPerSecond}/s`);
                let load: LoadResult = { sent: 0, served: 0 };
                const part = await measure(deployment, routers, async () => {
                    load = await sendLoad(context, routers, kind, requestsPerSecond);
                });
                const ofRequests =
                    Number(part.userMillisecondsPerSecond) +
                    Number(part.kernelMillisecondsPerSecond) -
                    Number(idle.userMillisecondsPerSecond) -
                    Number(idle.kernelMillisecondsPerSecond);
                const perSecond = load.sent / size / (LOAD_MILLISECONDS / 1000);
                record(`${kind}${requestsPerSecond}`, {
                    millisecondsPerRequest: round(ofRequests / perSecond),
                    wakeUpsPerSecond: part.wakeUpsPerSecond!,
                    peakMegabytes: part.peakMegabytes!,
                    servedShare: round(load.served / load.sent, 3),
                });
            }
        }
        return figures;
    }
    finally {
        await deployment.stop();
        await Promise.all(upstreams.map(upstream => upstream.crash()));
    }
}

export const nodeCost: Scenario = {
    name: "node-cost",
    description: "processor time, wake-ups and store calls of router processes, idle and at low rates",
    runs: "daemons",
    run: async context => {
        let figures: Figures = {};
        for (const size of context.long ? LONG_SIZES : SIZES) {
            figures = { ...figures, ...(await measureSize(context, size)) };
        }
        return { figures, baselines: {}, violations: 0 };
    },
};
