/**
 * Helpers of the scenarios that run real daemons: deployment, configuration, requests and process statistics.
 */
import { readFileSync } from "node:fs";
import { request } from "undici";
import { sha256Hex, startDeployment } from "../playground/deployment.js";
import type { Deployment, DeploymentOptions } from "../playground/deployment.js";
import type { EntityChange, Ticket, Upstream } from "../src/node/configuration/entities.js";
import type { EngineOptions } from "../playground/stand-ins/engine.js";
import type { LoadRequest } from "./load.js";

export interface BenchWorkspace {
    readonly name: string;
    readonly apiKey: string;
    /** @default 1000000 */
    readonly requestsPerSecond?: number;
    /** @default 100000 */
    readonly concurrency?: number;
}

/** An engine or a plain service, as the ticket declares it. */
export interface BenchUpstream {
    readonly name: string;
    readonly address: string;
    readonly dataCentre: string;
    /** Budget of streams or calls when warm. @default 1000 */
    readonly concurrency?: number;
    /** Budget of streams or calls when cold. @default `concurrency` */
    readonly coldConcurrency?: number;
}

export interface BenchConfiguration {
    readonly dataCentres: readonly string[];
    readonly workspaces: readonly BenchWorkspace[];
    readonly engines: readonly BenchUpstream[];
    readonly services?: readonly BenchUpstream[];
}

export const MODEL = "small";
export const VERSION = "v1";
export const SERVICE = "dispatch";
export const REGION = "litoral";
export const WORKSPACE: BenchWorkspace = { name: "tambores", apiKey: "tambores-key" };

/** Higher than any benchmark reaches, so that the limits with this value have no effect. */
const UNLIMITED_TOKENS = 1_000_000_000;

const DEFAULT_CONCURRENCY = 1000;
const CLOCK_TICKS_PER_SECOND = 100;

function upstreamState(upstream: BenchUpstream, kind: "engine" | "service"): Upstream {
    const concurrency = upstream.concurrency ?? DEFAULT_CONCURRENCY;
    return {
        kind,
        address: upstream.address,
        dataCentre: upstream.dataCentre,
        region: REGION,
        ...(kind === "engine" ? { model: MODEL, version: VERSION } : { service: SERVICE }),
        warm: { concurrency, memoryTokens: UNLIMITED_TOKENS },
        cold: { concurrency: upstream.coldConcurrency ?? concurrency, memoryTokens: UNLIMITED_TOKENS },
        checksFencing: true,
        costPerThousandTokens: 1,
        state: "active",
    };
}

export function dataCentreChange(name: string, state: "active" | "drained"): EntityChange {
    return { kind: "dataCentre", name, state: { region: REGION, state } };
}

/** Creates the ticket of a benchmark: one model, one booking service, and the entities of `configuration`. */
export function createBenchTicket(number: number, configuration: BenchConfiguration): Ticket {
    const changes: readonly EntityChange[] = [
        ...configuration.dataCentres.map(name => dataCentreChange(name, "active")),
        {
            kind: "model",
            name: MODEL,
            state: { versions: [{ name: VERSION, state: "active" }], baseline: VERSION, spill: [] },
        },
        { kind: "service", name: SERVICE, state: { repeatable: ["GET /stock"] } },
        ...configuration.engines.map((engine): EntityChange => ({
            kind: "upstream",
            name: engine.name,
            state: upstreamState(engine, "engine"),
        })),
        ...(configuration.services ?? []).map((service): EntityChange => ({
            kind: "upstream",
            name: service.name,
            state: upstreamState(service, "service"),
        })),
        ...configuration.workspaces.map((workspace): EntityChange => ({
            kind: "workspace",
            name: workspace.name,
            state: {
                keyHashes: [sha256Hex(workspace.apiKey)],
                models: [MODEL],
                services: [SERVICE],
                qualityTarget: 0.8,
                requestsPerSecond: workspace.requestsPerSecond ?? 1_000_000,
                concurrency: workspace.concurrency ?? 100_000,
            },
        })),
    ];
    return { number, changes };
}

/** Name of the environment variable with Node.js options for the daemons, for example to profile them. */
const DAEMON_NODE_OPTIONS = "DAEMON_NODE_OPTIONS";

/** Short admission times: with the defaults, a new owner waits 7 s before it grants its first credits. */
const SHORT_ADMISSION = { grantMilliseconds: 600, renewalMilliseconds: 200, viewLagMilliseconds: 400 };

/** Default admission times of the router, for scenarios that lose nodes. */
export const DEFAULT_ADMISSION = {
    grantMilliseconds: 3000,
    renewalMilliseconds: 1000,
    viewLagMilliseconds: 4000,
};

/** Starts a deployment, by default without upstreams; the ticket of the scenario declares the upstreams. */
export function startBenchDeployment(
    options: Pick<DeploymentOptions, "nodes" | "dataCentres" | "settings"> &
        Partial<Pick<DeploymentOptions, "engines" | "services" | "program">>,
): Promise<Deployment> {
    return startDeployment({
        region: REGION,
        engines: [],
        services: 0,
        rate: () => 1,
        nodeOptions: process.env[DAEMON_NODE_OPTIONS]?.split(" ") ?? [],
        ...options,
        settings: {
            ...options.settings,
            admission: options.settings?.["admission"] ?? SHORT_ADMISSION,
            callers: { maximumRequestsPerWorkspace: 100_000, ...options.settings?.["callers"] },
        },
    });
}

/**
 * Successful requests that each node must answer before a scenario starts. By then upstreams are warm, and
 * the owners of their budgets grant credits.
 */
const WARM_UP_ANSWERS = 20;

/** Applies the ticket of a scenario and waits until each node has answered `WARM_UP_ANSWERS` requests. */
export async function applyAndWarmUp(
    deployment: Deployment,
    ticket: Ticket,
    workspace: BenchWorkspace,
): Promise<void> {
    await deployment.apply(ticket);
    const warmUpRequest = chatRequest("warm-up", workspace, "warm-up", 1);
    await Promise.all(
        deployment.nodes.map(async node => {
            for (let answered = 0; answered < WARM_UP_ANSWERS;) {
                const response = await request(`${node.callers}${warmUpRequest.path}`, {
                    method: "POST",
                    headers: warmUpRequest.headers,
                    body: warmUpRequest.body,
                });
                await response.body.text();
                answered += response.statusCode === 200 ? 1 : 0;
            }
        }),
    );
}

/** Creates a chat completion request for `tokens` tokens. */
export function chatRequest(
    kind: string,
    workspace: BenchWorkspace,
    prompt: string,
    tokens: number,
    stream = true,
): LoadRequest {
    return {
        kind,
        method: "POST",
        path: "/v1/chat/completions",
        headers: { authorization: `Bearer ${workspace.apiKey}`, "content-type": "application/json" },
        body: JSON.stringify({
            model: MODEL,
            stream,
            max_tokens: tokens,
            messages: [{ role: "user", content: prompt }],
        }),
        expects: stream ? "stream" : "completion",
    };
}

/**
 * Counts the invariant violations that the daemons detected: in the status of running nodes, and in the logs
 * of all nodes, including killed ones.
 */
export async function countViolations(deployment: Deployment): Promise<number> {
    const counts = await Promise.all(
        deployment.nodes.map(async node => {
            const logged = readFileSync(node.logFile, "utf8").split("An invariant is violated.").length - 1;
            if (node.process.exitCode !== null || node.process.signalCode !== null) {
                return logged;
            }
            const response = await request(`${node.operators}/status`, {
                headers: { authorization: `Bearer ${deployment.operatorKey}` },
            });
            const { violations } = (await response.body.json()) as { readonly violations: number };
            return Math.max(logged, violations);
        }),
    );
    return counts.reduce((sum, count) => sum + count, 0);
}

/**
 * Returns the `program` option for nodes that use one of the comparison placements; `placement-process.ts`
 * defines their names.
 */
export function programWithPlacement(placement: string): readonly string[] {
    return [new URL("./placement-process.js", import.meta.url).pathname, placement];
}

/** Declares the stand-ins of a deployment as upstreams and assigns them to the data centres in turn. */
export function createBenchUpstreams(
    servers: readonly { readonly address: string }[],
    prefix: string,
    dataCentres: readonly string[],
    concurrency?: number,
): readonly BenchUpstream[] {
    return servers.map(({ address }, index) => ({
        name: `${prefix}-${index + 1}`,
        address,
        dataCentre: dataCentres[index % dataCentres.length]!,
        ...(concurrency === undefined ? {} : { concurrency }),
    }));
}

/** Options of an engine stand-in that starts warm and never crashes under the load of the benchmarks. */
export function benchEngineOptions(tokensPerSecond: number, firstTokenMilliseconds: number): EngineOptions {
    return {
        model: MODEL,
        version: VERSION,
        tokensPerSecond,
        firstTokenMilliseconds,
        memoryTokens: UNLIMITED_TOKENS,
        coldConcurrency: UNLIMITED_TOKENS,
        coldMilliseconds: 0,
    };
}

/** User and system CPU time of a process, milliseconds. */
export function processorMilliseconds(processId: number): number {
    const text = readFileSync(`/proc/${processId}/stat`, "latin1");
    // The second field is the command name in parentheses, which may contain spaces.
    const fields = text.slice(text.lastIndexOf(")") + 2).split(" ");
    const ticks = Number(fields[11]) + Number(fields[12]);
    return (ticks * 1000) / CLOCK_TICKS_PER_SECOND;
}

/** Resident memory of a process, bytes. */
export function residentBytes(processId: number): number {
    const match = /^VmRSS:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${processId}/status`, "latin1"));
    return Number(match![1]) * 1024;
}
