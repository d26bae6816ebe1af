/**
 * Measures the spread of change tickets, the cost of the control plane and failure detection with real
 * `geraniumbarrowd` processes on loopback. Times of events come from the logs of the nodes, so the
 * measurement adds no load to them.
 */
import { readFileSync } from "node:fs";
import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import { startDeployment } from "../../playground/deployment.js";
import type { Deployment, DeploymentNode } from "../../playground/deployment.js";
import type { Ticket } from "../../src/node/configuration/entities.js";
import type { Figures, Scenario } from "../scenario.js";

/** Node counts. 72 processes start slowly on a busy machine, so they run only with `--long`. */
const SIZES: readonly number[] = [9, 36];
const LONG_SIZES: readonly number[] = [9, 36, 72];

const JOIN_LIMIT_MILLISECONDS = 30_000;
/** Time that the updates about joined nodes need to reach all nodes. */
const PROPAGATION_MILLISECONDS = 3000;
const IDLE_MILLISECONDS = 4000;
const TICKETS = 3;
/** Time in which a ticket should reach all nodes. */
const SPREAD_MILLISECONDS = 3000;
const DETECTION_LIMIT_MILLISECONDS = 20_000;
const POLL_MILLISECONDS = 200;

/** Clock ticks per second in `/proc/PID/stat`. */
const CLOCK_TICKS = 100;

const round = (value: number, digits = 1): number => Number(value.toFixed(digits));

async function readJson(deployment: Deployment, node: DeploymentNode, path: string): Promise<unknown> {
    const headers = { authorization: `Bearer ${deployment.operatorKey}` };
    const response = await request(`${node.operators}${path}`, { headers });
    return response.body.json();
}

/** Reads the times of the log lines of a node that contain all texts. */
function readLogTimes(node: DeploymentNode, ...texts: readonly string[]): readonly number[] {
    return readFileSync(node.logFile, "utf8")
        .split("\n")
        .filter(line => texts.every(text => line.includes(text)))
        .map(line => Date.parse(line.slice(0, line.indexOf(" "))));
}

/** Polls until the condition holds; returns `false` if the limit is reached first. */
async function pollUntil(condition: () => boolean | Promise<boolean>, limit: number): Promise<boolean> {
    const deadline = Date.now() + limit;
    while (!(await condition())) {
        if (Date.now() >= deadline) {
            return false;
        }
        await delay(POLL_MILLISECONDS);
    }
    return true;
}

interface Usage {
    readonly sentBytes: number;
    readonly processorSeconds: number;
    readonly residentMegabytes: number;
}

async function readUsage(deployment: Deployment, node: DeploymentNode): Promise<Usage> {
    const dump = JSON.stringify(await readJson(deployment, node, "/dump?table=peers"));
    const pid = node.process.pid!;
    const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    return {
        sentBytes: Number(/"sentBytes":(\d+)/.exec(dump)?.[1]),
        processorSeconds: (Number(fields[11]) + Number(fields[12])) / CLOCK_TICKS,
        residentMegabytes: Number(/VmRSS:\s+(\d+)/.exec(status)?.[1]) / 1024,
    };
}

async function measureIdle(deployment: Deployment): Promise<Figures> {
    const read = (): Promise<Usage[]> =>
        Promise.all(deployment.nodes.map(node => readUsage(deployment, node)));
    const before = await read();
    const startedAt = performance.now();
    await delay(IDLE_MILLISECONDS);
    const seconds = (performance.now() - startedAt) / 1000;
    const after = await read();
    const mean = (value: (usage: Usage) => number, usages: readonly Usage[]): number =>
        usages.reduce((sum, usage) => sum + value(usage), 0) / usages.length;
    const rate = (value: (usage: Usage) => number): number =>
        (mean(value, after) - mean(value, before)) / seconds;
    return {
        bytesPerNodeSecond: round(
            rate(usage => usage.sentBytes),
            0,
        ),
        processorShareOfCore: round(
            rate(usage => usage.processorSeconds),
            4,
        ),
        residentMegabytes: round(mean(usage => usage.residentMegabytes, after)),
    };
}

function ticket(number: number): Ticket {
    const state = { region: `region-${number}`, state: "active" as const };
    return { number, changes: [{ kind: "dataCentre", name: "measured", state }] };
}

/** Applies tickets and measures the time from each response until the last node logs the revision. */
async function measureTickets(deployment: Deployment): Promise<Figures> {
    const acceptance: number[] = [];
    const spread: number[] = [];
    let missing = 0;
    for (let number = 1; number <= TICKETS; number += 1) {
        const author = deployment.nodes[(number * 7) % deployment.nodes.length]!;
        const startedAt = Date.now();
        const response = await request(`${author.operators}/tickets`, {
            method: "POST",
            headers: {
                authorization: `Bearer ${deployment.operatorKey}`,
                "content-type": "application/json",
            },
            body: JSON.stringify(ticket(number)),
        });
        const respondedAt = Date.now();
        const { revision, detail } = (await response.body.json()) as { revision?: number; detail?: string };
        if (revision === undefined) {
            throw new Error(`ticket ${number} was rejected: ${detail}`);
        }
        acceptance.push(respondedAt - startedAt);
        await delay(SPREAD_MILLISECONDS);
        const times = deployment.nodes.map(
            node => readLogTimes(node, "came into force", `revision=${revision}`)[0],
        );
        missing += times.filter(time => time === undefined).length;
        spread.push(
            Math.max(...times.map(time => (time ?? respondedAt + SPREAD_MILLISECONDS) - respondedAt)),
        );
    }
    return {
        acceptanceMaximumMilliseconds: Math.max(...acceptance),
        lastNodeMaximumMilliseconds: Math.max(0, ...spread),
        nodesWithoutRevision: missing,
    };
}

/** Kills a node and measures the time until the first and the last other node log its death. */
async function measureDetection(deployment: Deployment): Promise<Figures> {
    const killedNode = deployment.nodes.at(-1)!;
    const others = deployment.nodes.slice(0, -1);
    const killedAt = Date.now();
    killedNode.process.kill("SIGKILL");
    await killedNode.exited;
    const times = (): readonly (number | undefined)[] =>
        others.map(node => readLogTimes(node, `member=${killedNode.id} `, "state=dead").at(-1));
    const isDetected = await pollUntil(
        () => times().every(time => time !== undefined),
        DETECTION_LIMIT_MILLISECONDS,
    );
    const detectionTimes = times().flatMap(time => (time === undefined ? [] : [time - killedAt]));
    return {
        detectionFirstMilliseconds: detectionTimes.length === 0 ? null : Math.min(...detectionTimes),
        detectionLastMilliseconds: isDetected ? Math.max(...detectionTimes) : null,
    };
}

interface SizeResult {
    readonly figures: Figures;
    readonly violations: number;
}

async function runSize(size: number, progress: (text: string) => void): Promise<SizeResult> {
    const reportStep = (text: string): void => progress(`${size} nodes: ${text}`);
    reportStep("starting");
    const deployment = await startDeployment({
        nodes: size,
        dataCentres: ["north", "south", "east", "west"],
        region: "riga",
        engines: [],
        services: 0,
        rate: () => 1,
    });
    try {
        const startedAt = Date.now();
        const statuses = async (): Promise<{ nodes: number; violations: number }[]> =>
            Promise.all(
                deployment.nodes
                    .filter(node => node.process.exitCode === null && node.process.signalCode === null)
                    .map(async node => (await readJson(deployment, node, "/status")) as never),
            );
        const haveJoined = await pollUntil(
            async () => (await statuses()).every(({ nodes }) => nodes === size),
            JOIN_LIMIT_MILLISECONDS,
        );
        const joined = Date.now() - startedAt;
        await delay(PROPAGATION_MILLISECONDS);
        reportStep("idle");
        const idle = await measureIdle(deployment);
        reportStep("tickets");
        const tickets = await measureTickets(deployment);
        const falseDeaths = deployment.nodes.flatMap(node => readLogTimes(node, "state=dead")).length;
        reportStep("detection");
        const detection = await measureDetection(deployment);
        const violations = (await statuses()).reduce((sum, status) => sum + status.violations, 0);
        return {
            violations,
            figures: {
                joinMilliseconds: haveJoined ? joined : null,
                ...idle,
                ...tickets,
                falseDeaths,
                ...detection,
            },
        };
    }
    finally {
        await deployment.stop();
    }
}

export const configurationDaemons: Scenario = {
    name: "configuration-daemons",
    description:
        "spread of tickets, cost of the control plane and failure detection of 9, 36 and (with --long) 72 daemons",
    runs: "daemons",
    run: async ({ long, progress }) => {
        const figures: Record<string, number | string | boolean | null> = {};
        let violations = 0;
        for (const size of long ? LONG_SIZES : SIZES) {
            const result = await runSize(size, progress);
            violations += result.violations;
            for (const [name, value] of Object.entries(result.figures)) {
                figures[`nodes${size}.${name}`] = value;
            }
        }
        return { figures, baselines: {}, violations };
    },
};
