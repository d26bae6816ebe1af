/** Router nodes as processes: the run line of the deploy file, with settings from its template. */
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { get } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";

const ROOT = new URL("../../", import.meta.url).pathname;

/** Port of the settings template. */
const METRICS_PORT = 9102;

const READY_MILLISECONDS = 15_000;

/** Bounds of the small sites. */
export const BOUNDS = {
    "stability-window-ms": 3000,
    "drain-timeout-ms": 2000,
    "grace-period-s": 8,
    "loss-slack-ms": 200,
    "retry-budget-ratio": 0.9,
    "budget-window-s": 10,
    "retry-budget-extra": 58,
    "exposure-fraction": 0.15,
    "exposure-tolerance": 30,
    "rollback-ms": 5000,
    "cold-start-factor": 1.5,
    "cold-start-tolerance": 5,
    "session-ttl-s": 5,
};

function runLine() {
    const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
    return /^run = "(.*)"$/m.exec(text)[1].split(" ");
}

function valueAt(fields, path) {
    return path.split(".").reduce((value, name) => value?.[name], fields);
}

/** Fills in the placeholders of the settings template. */
function renderSettings(fields) {
    const template = readFileSync(join(ROOT, "deploy/settings.ini"), "utf8");
    return template.replace(/\{\{([^}]+)\}\}/g, (_match, path) => String(valueAt(fields, path) ?? ""));
}

async function areFree(address, ports) {
    const results = await Promise.all(
        ports.map(
            port =>
                new Promise(resolve => {
                    const server = createServer();
                    server.once("error", () => resolve(false));
                    server.listen(port, address, () => server.close(() => resolve(true)));
                }),
        ),
    );
    return results.every(Boolean);
}

export function status(endpoint, path) {
    return new Promise(resolve => {
        const [host, port] = endpoint.split(":");
        const request = get({ host, port, path, agent: false, timeout: 1000 }, response => {
            response.resume();
            resolve(response.statusCode);
        });
        request.on("error", () => resolve(0));
        request.on("timeout", () => request.destroy());
    });
}

/** @param openStore Opens an endpoint of the store for a node, so that single nodes can be cut off from it. */
export function createDeployment(openStore) {
    const folder = mkdtempSync(join(tmpdir(), "review-"));
    const nodes = [];
    let base = 0;

    const choosePorts = async addresses => {
        for (let attempt = 0; attempt < 100; attempt += 1) {
            base = 13_000 + Math.floor(Math.random() * 1500) * 10;
            const ports = [base, base + 1, base + 2, base + 3, base + 4, METRICS_PORT];
            const free = await Promise.all(addresses.map(address => areFree(address, ports)));
            if (free.every(Boolean)) {
                return;
            }
        }
        throw new Error("found no free ports");
    };

    const start = async node => {
        const [command, ...parameters] = runLine();
        const child = spawn(command === "node" ? process.execPath : command, parameters, {
            cwd: ROOT,
            env: { PATH: process.env.PATH, HOME: process.env.HOME, GERANIUMBARROW_CONFIG: node.settings },
            stdio: ["ignore", "pipe", "pipe"],
        });
        node.child = child;
        node.startedAt = Date.now();
        node.exited = new Promise(resolve => child.once("exit", (code, signal) => resolve({ code, signal })));
        child.stdout.on("data", data => node.onOutput?.(data.toString()));
        child.stderr.on("data", data => node.onOutput?.(data.toString()));
        const deadline = Date.now() + READY_MILLISECONDS;
        while ((await status(node.ready, "/readiness")) !== 200) {
            if (Date.now() > deadline) {
                throw new Error(`${node.name} is not ready`);
            }
            await delay(50);
        }
    };

    return {
        nodes,
        /** Starts nodes, each at a loopback address of its own. */
        startNodes: async (count, { zones, onOutput, bounds = BOUNDS }) => {
            const network = `127.${1 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`;
            const addresses = Array.from({ length: count }, (_, index) => `${network}.${index + 1}`);
            await choosePorts(addresses);
            for (const [index, ip] of addresses.entries()) {
                const zone = zones[index % zones.length];
                const store = await openStore();
                const name = `frontend-${zone}-${index + 1}`;
                const fields = {
                    "node-name": name,
                    ip,
                    zone,
                    region: "home",
                    "listen-addresses": {
                        frontend: `${ip}:${base}`,
                        ready: `${ip}:${base + 1}`,
                        "control-plane": `${ip}:${base + 2}`,
                    },
                    "internal-port-range": [base + 3, base + 4],
                    "seed-nodes": addresses.slice(0, 3).map(address => `${address}:${base + 2}`),
                    limits: { "link-mbps": 1000.0 },
                    bounds,
                    platform: { address: store.endpoint },
                };
                const settings = join(folder, `${name}.ini`);
                writeFileSync(settings, renderSettings(fields));
                nodes.push({
                    name,
                    ip,
                    store,
                    settings,
                    callers: `${ip}:${base}`,
                    ready: `${ip}:${base + 1}`,
                    onOutput: onOutput === undefined ? undefined : text => onOutput(name, text),
                });
            }
            await Promise.all(nodes.map(start));
        },
        restart: start,
        stop: async () => {
            for (const { child, exited } of nodes) {
                if (child !== undefined && child.exitCode === null && child.signalCode === null) {
                    child.kill("SIGCONT");
                    child.kill("SIGKILL");
                    await exited;
                }
            }
            rmSync(folder, { recursive: true, force: true });
        },
    };
}
