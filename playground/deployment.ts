/**
 * Starts a small deployment on loopback: stand-ins in this process, and one `geraniumbarrowd` process per
 * node. Used by the playground and the benchmarks.
 */
import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { createHash } from "node:crypto";
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import type { Ticket } from "../src/node/configuration/entities.js";
import { startEngine } from "./stand-ins/engine.js";
import type { Engine, EngineOptions } from "./stand-ins/engine.js";
import { startPlatform } from "./stand-ins/platform.js";
import type { Platform } from "./stand-ins/platform.js";
import { findFreePorts } from "./stand-ins/ports.js";
import { startService } from "./stand-ins/service.js";
import type { Service } from "./stand-ins/service.js";

export interface DeploymentNode {
    readonly id: string;
    readonly dataCentre: string;
    /** Base URL of the listener for callers. */
    readonly callers: string;
    /** Base URL of the listener for operators. */
    readonly operators: string;
    readonly process: ChildProcess;
    /** Resolves with the exit code. */
    readonly exited: Promise<number | null>;
    readonly logFile: string;
}

export interface DeploymentOptions {
    readonly nodes: number;
    /** Nodes, engines and services are assigned to the data centres in turn. */
    readonly dataCentres: readonly string[];
    readonly region: string;
    readonly engines: readonly EngineOptions[];
    readonly services: number;
    /** Score that the rating service gives an answer, 0 to 1. */
    readonly rate: (prompt: string, answer: string) => number;
    /** Settings added to the settings file of each node, by section; they override the defaults. */
    readonly settings?: Readonly<Record<string, Readonly<Record<string, string | number>>>>;
    /** Node.js options of the daemons, for example `--cpu-prof`. */
    readonly nodeOptions?: readonly string[];
    /**
     * Script that runs a node, and its first arguments; `--settings FILE` is appended.
     *
     * @default geraniumbarrowd
     */
    readonly program?: readonly string[];
}

export interface Deployment {
    readonly nodes: readonly DeploymentNode[];
    readonly platform: Platform;
    readonly engines: readonly Engine[];
    readonly services: readonly Service[];
    readonly operatorKey: string;
    /** Directory that holds the settings files, keys and logs. */
    readonly directory: string;
    startNode(index: number): Promise<DeploymentNode>;
    /** Waits until a node accepts requests. */
    waitUntilReady(node: DeploymentNode): Promise<void>;
    /** Submits a ticket to the first node and waits until it is in force on all nodes. */
    apply(ticket: Ticket): Promise<void>;
    stop(): Promise<void>;
}

const OPERATOR_KEY = "operator-key";
const READY_TIMEOUT_MILLISECONDS = 10_000;
const READY_POLL_MILLISECONDS = 20;

export function sha256Hex(text: string): string {
    return createHash("sha256").update(text).digest("hex");
}

function formatIni(sections: Readonly<Record<string, Readonly<Record<string, string | number>>>>): string {
    return Object.entries(sections)
        .map(
            ([section, keys]) =>
                `[${section}]\n${Object.entries(keys)
                    .map(([key, value]) => `${key} = ${value}`)
                    .join("\n")}\n`,
        )
        .join("\n");
}

async function waitUntilReady(node: DeploymentNode, path: string): Promise<void> {
    const deadline = Date.now() + READY_TIMEOUT_MILLISECONDS;
    while (Date.now() < deadline) {
        const status = await request(`${node.callers}${path}`)
            .then(async response => {
                await response.body.dump();
                return response.statusCode;
            })
            .catch(() => 0);
        if (status === 200) {
            return;
        }
        if (node.process.exitCode !== null || node.process.signalCode !== null) {
            break;
        }
        await delay(READY_POLL_MILLISECONDS);
    }
    throw new Error(`node ${node.id} did not become ready:\n${readFileSync(node.logFile, "utf8")}`);
}

export async function startDeployment(options: DeploymentOptions): Promise<Deployment> {
    const directory = mkdtempSync(join(tmpdir(), "geraniumbarrow-"));
    const keyFile = (name: string, content: string): string => {
        const path = join(directory, name);
        writeFileSync(path, `${content}\n`);
        return path;
    };
    const operatorKeyHashes = keyFile("operator-key-hashes", sha256Hex(OPERATOR_KEY));
    keyFile("operator-key", OPERATOR_KEY);
    const sharedKey = keyFile("peers-key", "peers-key");
    const sealingKey = keyFile("sealing-key", "sealing-key");

    const platform = await startPlatform({ rate: options.rate });
    const engines = await Promise.all(options.engines.map(engine => startEngine(engine)));
    const services = await Promise.all(Array.from({ length: options.services }, () => startService()));
    const ports = await findFreePorts(options.nodes * 3);
    const nodes: DeploymentNode[] = [];

    const stop = async (): Promise<void> => {
        for (const node of nodes) {
            node.process.kill("SIGTERM");
        }
        await Promise.all(nodes.map(node => node.exited));
        await Promise.all([platform, ...engines, ...services].map(server => server.close()));
        rmSync(directory, { recursive: true });
    };

    const startNode = async (index: number): Promise<DeploymentNode> => {
        const id = `node-${index + 1}`;
        const dataCentre = options.dataCentres[index % options.dataCentres.length]!;
        const [callers, operators, peers] = ports.slice(index * 3, index * 3 + 3);
        const sections: Record<string, Record<string, string | number>> = {
            node: { id, dataCentre, region: options.region },
            callers: { port: callers! },
            operators: { port: operators!, keyHashesFile: operatorKeyHashes },
            peers: { port: peers!, sharedKeyFile: sharedKey, seeds: `http://127.0.0.1:${ports[2]}` },
            platform: {
                tableService: platform.address,
                objectStore: platform.address,
                virtualMachineList: platform.address,
                ratingService: platform.address,
                weightStore: platform.address,
            },
            limits: { announceMilliseconds: 200 },
            sessions: { sealingKeyFile: sealingKey },
        };
        for (const [section, keys] of Object.entries(options.settings ?? {})) {
            sections[section] = { ...sections[section], ...keys };
        }
        const settingsFile = join(directory, `${id}.ini`);
        writeFileSync(settingsFile, formatIni(sections));
        const logFile = join(directory, `${id}.log`);
        const log = openSync(logFile, "a");
        const main = new URL("../src/node/daemon/main.js", import.meta.url).pathname;
        const child = spawn(
            process.execPath,
            [...(options.nodeOptions ?? []), ...(options.program ?? [main]), "--settings", settingsFile],
            {
                stdio: ["ignore", log, log],
            },
        );
        closeSync(log);
        // Kills the daemon when this process exits early, so that none keeps running.
        const killAtExit = (): void => void child.kill("SIGKILL");
        process.once("exit", killAtExit);
        child.once("exit", () => process.off("exit", killAtExit));
        const node: DeploymentNode = {
            id,
            dataCentre,
            callers: `http://127.0.0.1:${callers}`,
            operators: `http://127.0.0.1:${operators}`,
            process: child,
            exited: new Promise(resolve => child.once("exit", resolve)),
            logFile,
        };
        nodes[index] = node;
        await waitUntilReady(node, "/healthz");
        return node;
    };

    try {
        await Promise.all(Array.from({ length: options.nodes }, (_unused, index) => startNode(index)));
        await Promise.all(nodes.map(node => waitUntilReady(node, "/readyz")));
    }
    catch (error) {
        // The listeners of the stand-ins would keep the process alive, and hide the error.
        await stop();
        throw error;
    }

    return {
        nodes,
        platform,
        engines,
        services,
        operatorKey: OPERATOR_KEY,
        directory,
        startNode,
        waitUntilReady: node => waitUntilReady(node, "/readyz"),
        apply: ticket => applyTicket(nodes, ticket),
        stop,
    };
}

async function applyTicket(nodes: readonly DeploymentNode[], ticket: Ticket): Promise<void> {
    const headers = { authorization: `Bearer ${OPERATOR_KEY}`, "content-type": "application/json" };
    const response = await request(`${nodes[0]!.operators}/tickets`, {
        method: "POST",
        headers,
        body: JSON.stringify(ticket),
    });
    const text = await response.body.text();
    if (response.statusCode !== 200) {
        throw new Error(`ticket ${ticket.number} was not accepted: ${text}`);
    }
    const { revision } = JSON.parse(text) as { readonly revision: number };
    await Promise.all(nodes.map(node => waitForRevision(node, revision, headers)));
}

/**
 * Polls the node itself, because the node that accepted the ticket may not have discovered all others yet.
 *
 * @throws Error when the revision is not in force within `READY_TIMEOUT_MILLISECONDS`.
 */
async function waitForRevision(
    node: DeploymentNode,
    revision: number,
    headers: Readonly<Record<string, string>>,
): Promise<void> {
    const deadline = Date.now() + READY_TIMEOUT_MILLISECONDS;
    while (Date.now() < deadline) {
        const answer = await request(`${node.operators}/status`, { headers });
        const status = (await answer.body.json()) as { readonly revision: number };
        if (status.revision >= revision) {
            return;
        }
        await delay(READY_POLL_MILLISECONDS);
    }
    throw new Error(`revision ${revision} did not come into force on node ${node.id}`);
}
