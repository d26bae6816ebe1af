/**
 * A small deployment on loopback for the cases of the second review: router processes as the deploy file starts
 * them, the project's stand-in of the store, and callers. Settings come from the template of the deploy file.
 */
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { Agent, request } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { performance } from "node:perf_hooks";
import process from "node:process";
import { setTimeout as delay } from "node:timers/promises";
import { createStoreStandIn } from "../../dist/platform/stand-ins/store.js";

const REPOSITORY = resolve(import.meta.dirname, "../..");
const START_LIMIT_MS = 15_000;

/** Ports of a node. Each node has a loopback address of its own, so they are the same on all. */
const PORTS = { frontend: 8227, ready: 8220, controlPlane: 8229, internal: 7340 };
const METRICS_PORT = 9102;

/** Bounds of `sites/spogulis-hq.toml` as its machines get them. */
export const BOUNDS = {
    "config-apply-ms": 2000,
    "grace-period-s": 8,
    "retry-budget-ratio": 0.9,
    "budget-window-s": 10,
    "retry-budget-extra": 58,
    "session-ttl-s": 5,
    "exposure-fraction": 0.15,
    "exposure-tolerance": 30,
};

export const CONTRACTS = [
    "base",
    "drain",
    "config",
    "cost",
    "retry",
    "recover",
    "engine",
    "stream",
    "tenants",
    "places",
    "pressure",
    "platform",
    "rollout",
];

function valueAt(fields, path) {
    return path.split(".").reduce((value, key) => value?.[key], fields);
}

function fillTemplate(template, fields) {
    const withoutSections = template.replace(
        /\{\{#([\w.-]+)\}\}\n?([^]*?)\{\{\/\1\}\}\n?/g,
        (_all, path, text) => (valueAt(fields, path) === undefined ? "" : text),
    );
    return withoutSections.replace(/\{\{([\w.-]+)\}\}/g, (_all, path) => {
        const value = valueAt(fields, path);
        return Array.isArray(value) ? value.join(",") : String(value ?? "");
    });
}

function runWords() {
    const deployFile = readFileSync(join(REPOSITORY, "deploy/system.toml"), "utf8");
    return /^run = "(.*)"$/m.exec(deployFile)[1].split(" ");
}

function isFree(host, port) {
    return new Promise(done => {
        const server = createServer();
        server.once("error", () => done(false));
        server.listen(port, host, () => server.close(() => done(true)));
    });
}

/** Finds a group of loopback addresses, one a node, on which the ports of a node are free. */
async function findAddresses(count) {
    for (let tries = 0; tries < 50; tries += 1) {
        const prefix = `127.${1 + Math.floor(Math.random() * 250)}.${Math.floor(Math.random() * 250)}`;
        const addresses = Array.from({ length: count }, (_, index) => `${prefix}.${10 + index}`);
        const checks = addresses.flatMap(address =>
            [...Object.values(PORTS), PORTS.internal + 1, METRICS_PORT].map(port => isFree(address, port)),
        );
        if ((await Promise.all(checks)).every(Boolean)) {
            return addresses;
        }
    }
    throw new Error("no loopback addresses with free ports");
}

export async function waitFor(what, condition, limitMs = START_LIMIT_MS) {
    const until = performance.now() + limitMs;
    while (!(await condition())) {
        if (performance.now() > until) {
            throw new Error(`${what}: not within ${limitMs} ms`);
        }
        await delay(25);
    }
}

/**
 * Sends a request and resolves with what its caller saw. `outcome` is `answered` for a whole answer, `closed` when
 * the connection ended before, `left` when the caller gave up.
 */
export function send(address, { method = "POST", path, headers = {}, body, agent, port = PORTS.frontend }) {
    return new Promise(done => {
        const outgoing = request({
            host: address,
            port,
            method,
            path,
            agent,
            headers: { host: "a.example", ...headers },
        });
        let answer;
        const finish = (outcome, text = "") =>
            done({ outcome, status: answer?.statusCode, headers: answer?.headers ?? {}, body: text });
        outgoing.on("error", () => {
            if (answer === undefined) {
                finish("closed");
            }
        });
        outgoing.on("response", response => {
            answer = response;
            let text = "";
            response.on("data", chunk => (text += chunk));
            response.on("error", () => undefined);
            response.on("close", () => finish(response.complete ? "answered" : "closed", text));
        });
        outgoing.end(body);
    });
}

/** A caller with one connection that it keeps. */
export function createCaller(address) {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    return {
        send: options => send(address, { ...options, agent }),
        close: () => agent.destroy(),
    };
}

/** Writes lines with the time since the start to a file, at the end. */
export function createRecord(folder) {
    const startedAt = performance.now();
    const lines = [];
    return {
        add: text => lines.push(`${((performance.now() - startedAt) / 1000).toFixed(3)} ${text}`),
        save: () => writeFileSync(join(folder, "record.txt"), `${lines.join("\n")}\n`),
    };
}

export async function createDeployment({ nodes, contracts = CONTRACTS, memoryMb = 200, bounds = {} }) {
    const store = await createStoreStandIn();
    const folder = mkdtempSync(join(tmpdir(), "geraniumbarrow-review-"));
    const addresses = await findAddresses(nodes);
    const started = [];
    const [program, ...words] = runWords();

    const startNode = index => {
        const ip = addresses[index];
        const fields = {
            "node-name": `frontend-riga-a-${index + 1}`,
            ip,
            zone: "riga-a",
            region: "lv-riga",
            "listen-addresses": {
                frontend: `${ip}:${PORTS.frontend}`,
                ready: `${ip}:${PORTS.ready}`,
                "control-plane": `${ip}:${PORTS.controlPlane}`,
            },
            "internal-port-range": [PORTS.internal, PORTS.internal + 15],
            "seed-nodes": addresses.slice(0, 3).map(address => `${address}:${PORTS.controlPlane}`),
            contracts,
            limits: { "memory-mb": memoryMb, "file-descriptors": 4100, "link-mbps": 1000 },
            bounds: { ...BOUNDS, ...bounds },
            platform: { address: store.endpoint },
        };
        const file = join(folder, `node-${index}.ini`);
        const template = readFileSync(join(REPOSITORY, "deploy/settings.ini"), "utf8");
        writeFileSync(file, fillTemplate(template, fields));
        const child = spawn(program, words, {
            cwd: REPOSITORY,
            env: {
                PATH: process.env.PATH,
                HOME: process.env.HOME,
                LANG: "C.UTF-8",
                GERANIUMBARROW_CONFIG: file,
            },
            stdio: ["ignore", "pipe", "inherit"],
        });
        const log = [];
        let partial = "";
        child.stdout.on("data", chunk => {
            const parts = (partial + chunk).split("\n");
            partial = parts.pop();
            log.push(...parts);
        });
        const node = { address: ip, child, log, exited: new Promise(done => child.once("exit", done)) };
        started.push(node);
        return node;
    };

    const isReady = async node =>
        (await send(node.address, { method: "GET", path: "/readiness", port: PORTS.ready })).status === 200;

    return {
        store,
        addresses,
        startNode,
        startNodes: async () => {
            const all = addresses.map((_, index) => startNode(index));
            for (const node of all) {
                await waitFor("a node is ready", () => isReady(node));
            }
            return all;
        },
        isReady,
        killNodes: () => started.forEach(({ child }) => child.kill("SIGKILL")),
        stop: async () => {
            for (const { child, exited } of started) {
                if (child.exitCode === null && child.signalCode === null) {
                    child.kill("SIGKILL");
                    await exited;
                }
            }
            await store.close();
            rmSync(folder, { recursive: true });
        },
    };
}

/**
 * Runs a case: exits with 1 if its rule was broken, with 0 if it held, with 2 if the case could not run.
 *
 * @param play Returns whether the rule was broken.
 */
export async function runCase(folder, options, play) {
    const record = createRecord(folder);
    const hasTrouble = process.env.TROUBLE !== "0";
    let deployment;
    let exitCode = 2;
    // An error in a stand-in must not look like a broken rule.
    process.on("uncaughtException", error => {
        record.add(`the case could not run: ${error.stack}`);
        console.error(error);
        deployment?.killNodes();
        record.save();
        process.exit(2);
    });
    try {
        deployment = await createDeployment(options);
        const isBroken = await play(deployment, record, hasTrouble);
        record.add(isBroken ? "result: the rule was broken" : "result: the rule held");
        exitCode = isBroken ? 1 : 0;
    }
    catch (error) {
        record.add(`the case could not run: ${error.stack}`);
        console.error(error);
    }
    await deployment?.stop();
    record.save();
    process.exit(exitCode);
}

/** Configuration as operators write it, with the limits of `fleetbench wire` for the site. */
export function createConfiguration({ version = 7, routes, services }) {
    return {
        version,
        routes: routes.map(route => ({
            host: "a.example",
            priority: 1,
            public: false,
            "session-affinity": false,
            ...route,
        })),
        services: services.map(service => ({
            "health-check-path": "/health",
            protocol: "h1",
            tls: false,
            "connection-limit": 110,
            "cold-start-s": 0,
            "cold-per-s": 0,
            ...service,
        })),
        limits: {
            "max-header-bytes": 16_384,
            "max-body-bytes": 4_194_304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15_000,
        },
        tenants: [{ name: "north", "api-keys": ["k1"], priority: 1 }],
    };
}

let attempts = 0;

/** Headers of a caller's request, with an attempt id of its own. */
export function callerHeaders(remainingMs, more = {}) {
    attempts += 1;
    return {
        authorization: "Bearer k1",
        "geraniumbarrow-attempt-id": `attempt-${String(attempts).padStart(4, "0")}`,
        "geraniumbarrow-deadline-remaining": String(remainingMs),
        ...more,
    };
}

/** Entry of a runner in the store. */
export function runnerEntry(service, address, more = {}) {
    return {
        service,
        address,
        zone: "riga-a",
        version: "v1",
        slots: 6,
        state: "ready",
        "cold-remaining-ms": 0,
        born: 1_790_000_000_000,
        sequence: 1,
        ...more,
    };
}
