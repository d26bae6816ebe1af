// A small deployment on loopback addresses: the router processes with the command of the deploy file, a stand-in of
// the store in this process, and stand-ins of the upstreams as processes.
import { fork, spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { Agent, request } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { startStore } from "./store.js";

const ROOT = fileURLToPath(new URL("../..", import.meta.url));
const RUNNER = fileURLToPath(new URL("runner.js", import.meta.url));

/** Exit codes of a case. */
export const HELD = 0;
export const BROKEN = 1;
export const NOT_RUN = 2;

export const hasTrouble = process.env.TROUBLE !== "0";

export const ZONES = ["riga-a", "riga-b", "riga-c", "riga-d"];

/** The bounds of the site `spogulis-hq`. */
const BOUNDS = {
    "stability-window-ms": 3000,
    "drain-timeout-ms": 2000,
    "grace-period-s": 8,
    "config-apply-ms": 2000,
    "retry-budget-ratio": 0.9,
    "budget-window-s": 10,
    "retry-budget-extra": 58,
    "exposure-fraction": 0.15,
    "exposure-tolerance": 30,
    "session-ttl-s": 5,
};

const CONTRACTS =
    "base,drain,config,cost,retry,recover,engine,stream,tenants,places,pressure,platform,rollout".split(",");

export const KEY = "n2ctnfzs989anu6wsjnb";

/** Configuration in the form of the operators, with a route of each kind. */
export function createConfiguration(version, change = configuration => configuration) {
    const common = { host: "ficu95.example", public: false, "session-affinity": true };
    return change({
        version,
        routes: [
            {
                ...common,
                name: "r-reports",
                prefix: "/reports/",
                "route-type": "streaming",
                "timeout-ms": 15_000,
                "target-latency-ms": 2000,
                "gap-target-ms": 1000,
                priority: 1,
                service: "engines",
                "max-attempts": 3,
                "stream-resumption": true,
            },
            {
                ...common,
                name: "r-bookings",
                prefix: "/bookings/",
                "route-type": "non_idempotent",
                "timeout-ms": 4000,
                "target-latency-ms": 386,
                priority: 2,
                service: "desk",
                "max-attempts": 1,
            },
            {
                ...common,
                name: "r-stock",
                prefix: "/stock/",
                "route-type": "idempotent",
                "timeout-ms": 4000,
                "target-latency-ms": 386,
                priority: 2,
                service: "desk",
                "max-attempts": 2,
            },
        ],
        services: [
            {
                name: "engines",
                "health-check-path": "/health",
                "connection-limit": 370,
                "cold-start-s": 3,
                "cold-per-s": 23,
                "inference-engine": {
                    slots: 64,
                    "kv-capacity-tokens": 412_508,
                    models: [{ name: "daka510000", cost: 0.026 }],
                },
            },
            {
                name: "desk",
                "health-check-path": "/health",
                "connection-limit": 110,
                "cold-start-s": 0,
                "cold-per-s": 0,
            },
        ],
        limits: {
            "max-header-bytes": 16_384,
            "max-body-bytes": 4_194_304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15_000,
        },
        tenants: [{ name: "hule930", "api-keys": [KEY] }],
    });
}

/** Fills a settings template from the platform's fields, as DEPLOY.md says. */
function renderTemplate(template, fields) {
    const valueOf = path => path.split(".").reduce((value, name) => value?.[name], fields);
    const text = value =>
        Array.isArray(value)
            ? value.join(",")
            : typeof value === "object"
              ? JSON.stringify(value)
              : String(value);
    return template
        .replace(/\{\{#([^}]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g, (_, path, inner) =>
            valueOf(path) === undefined ? "" : inner,
        )
        .replace(/\{\{([^}]+)\}\}/g, (_, path) => {
            const value = valueOf(path);
            return value === undefined || value === null ? "" : text(value);
        });
}

async function findFreePorts(address, count) {
    const servers = await Promise.all(
        Array.from({ length: count }, () => {
            const server = createServer();
            return new Promise(resolve => server.listen(0, address, () => resolve(server)));
        }),
    );
    const ports = servers.map(server => server.address().port);
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
}

export async function waitFor(what, condition, milliseconds = 15_000) {
    const until = Date.now() + milliseconds;
    while (!(await condition())) {
        if (Date.now() > until) {
            throw new Error(`${what}: not within ${milliseconds} ms`);
        }
        await delay(50);
    }
}

let attempts = 0;

/**
 * Sends a request and resolves with what its client saw. `complete` is false when the channel ended before the end
 * of the answer; the status is 0 when no answer began.
 */
export function send(endpoint, { method = "POST", path, headers = {}, body, agent, remaining = 4000 }) {
    attempts += 1;
    const attempt = `${process.pid.toString(16)}${attempts.toString(16).padStart(8, "0")}`;
    const [host, port] = endpoint.split(":");
    const sentAt = Date.now();
    return new Promise(resolve => {
        const outgoing = request({
            host,
            port,
            method,
            path,
            agent: agent ?? new Agent({ keepAlive: false }),
            headers: {
                host: "ficu95.example",
                authorization: `Bearer ${KEY}`,
                "geraniumbarrow-attempt-id": attempt,
                "geraniumbarrow-deadline-remaining": String(remaining),
                ...(body === undefined ? {} : { "content-length": String(body.length) }),
                ...headers,
            },
        });
        const base = { attempt, path, sentAt };
        let text = "";
        let begun;
        let hasFailed = false;
        const finish = () =>
            resolve({
                ...base,
                answeredAt: Date.now(),
                status: begun?.statusCode ?? 0,
                headers: begun?.headers ?? {},
                body: text,
                complete: begun?.complete === true && !hasFailed,
                wasSent: outgoing.writableFinished,
            });
        outgoing.on("response", response => {
            begun = response;
            response.on("data", chunk => (text += chunk.toString("latin1")));
            response.on("error", () => (hasFailed = true));
            response.on("close", finish);
        });
        outgoing.on("error", () => {
            hasFailed = true;
            if (begun === undefined) {
                finish();
            }
        });
        outgoing.setTimeout(remaining + 3000, () => outgoing.destroy(new Error("the client gave up")));
        outgoing.end(body);
    });
}

/** Starts the store; routers and upstreams are started by the case. */
export async function createDeployment({ memoryMegabytes = 200, bounds = {}, contracts = CONTRACTS } = {}) {
    const network = `127.${1 + (process.pid % 200)}.${Math.floor(process.pid / 200) % 250}`;
    const folder = mkdtempSync(join(tmpdir(), "geraniumbarrow-review-"));
    const store = await startStore(`${network}.1`);
    const [frontend, ready, control, loads, handover] = await findFreePorts(`${network}.10`, 5);
    const run = /^run = "(.*)"$/m.exec(readFileSync(join(ROOT, "deploy/system.toml"), "utf8"))[1].split(" ");
    const template = readFileSync(join(ROOT, "deploy/settings.ini"), "utf8");
    const routers = [];
    const runners = [];
    const others = [];
    const events = [];
    let startedRunners = 0;
    // The processes end with this one, however it ends.
    process.once("exit", () =>
        [...routers, ...runners, ...others]
            .filter(({ exit }) => exit === undefined)
            .forEach(started => started.process.kill("SIGKILL")),
    );

    /** @param storeEndpoint Where the router finds the store, if not at the store itself. */
    const startRouter = async (number, storeEndpoint = store.endpoint) => {
        const ip = `${network}.${10 + number}`;
        const zone = ZONES[number % ZONES.length];
        const settings = join(folder, `router-${number}.ini`);
        const name = `frontend-${zone}-${number}`;
        writeFileSync(
            settings,
            renderTemplate(template, {
                "node-name": name,
                ip,
                zone,
                region: "lv-riga",
                "listen-addresses": {
                    frontend: `${ip}:${frontend}`,
                    ready: `${ip}:${ready}`,
                    "control-plane": `${ip}:${control}`,
                },
                "internal-port-range": [loads, handover],
                "seed-nodes": [0, 1, 2].map(seed => `${network}.${10 + seed}:${control}`),
                limits: { "memory-mb": memoryMegabytes, "file-descriptors": 4100, "link-mbps": 1000 },
                contracts,
                bounds: { ...BOUNDS, ...bounds },
                platform: { address: storeEndpoint },
            }),
        );
        const child = spawn(run[0], run.slice(1), {
            cwd: ROOT,
            env: { PATH: process.env.PATH, HOME: process.env.HOME, GERANIUMBARROW_CONFIG: settings },
            stdio: ["ignore", "pipe", "pipe"],
        });
        const router = {
            name,
            number,
            process: child,
            endpoint: `${ip}:${frontend}`,
            log: [],
            exit: undefined,
        };
        let rest = "";
        child.stdout.on("data", chunk => {
            const lines = (rest + chunk.toString()).split("\n");
            rest = lines.pop();
            router.log.push(...lines);
        });
        child.stderr.on("data", chunk => (router.errors += chunk.toString()));
        child.once("exit", (code, signal) => (router.exit = { code, signal }));
        routers.push(router);
        await waitFor(`${name} ready`, async () => {
            const answer = await send(`${ip}:${ready}`, {
                method: "GET",
                path: "/readiness",
                remaining: 500,
            });
            return answer.status === 200;
        });
        return router;
    };

    const startRunner = async (id, service, { version = "v1", slots = 6, ...behaviour }) => {
        const number = startedRunners;
        startedRunners += 1;
        const address = `${network}.${100 + number}`;
        const child = fork(RUNNER, [JSON.stringify({ id, address, behaviour })]);
        const runner = { id, service, process: child, events: [], exit: undefined };
        child.on("message", event => {
            runner.events.push(event);
            events.push(event);
        });
        child.once("exit", (code, signal) => (runner.exit = { code, signal }));
        await waitFor(`${id} listening`, () => runner.events.some(({ kind }) => kind === "listening"));
        const { port } = runner.events.find(({ kind }) => kind === "listening");
        const born = Date.now();
        let sequence = 0;
        runner.beat = (state = "ready") => {
            sequence += 1;
            store.put("servers", id, {
                service,
                address: `${address}:${port}`,
                zone: ZONES[number % ZONES.length],
                version,
                slots,
                state,
                "cold-remaining-ms": 0,
                sequence,
                born,
            });
        };
        runner.behave = change => child.send(change);
        runner.beat();
        runners.push(runner);
        return runner;
    };

    const stop = async () => {
        for (const child of [...routers, ...runners, ...others].map(({ process: started }) => started)) {
            if (child.exitCode === null && child.signalCode === null) {
                child.kill("SIGKILL");
                await new Promise(resolve => child.once("exit", resolve));
            }
        }
        await store.close();
        rmSync(folder, { recursive: true });
    };

    /** Ends a process of the case with the deployment. */
    const addProcess = child => {
        const started = { process: child, exit: undefined };
        child.once("exit", (code, signal) => (started.exit = { code, signal }));
        others.push(started);
    };

    return { store, routers, runners, events, startRouter, startRunner, addProcess, stop };
}

/** Runs a case, writes its record beside it and exits with its result. */
export async function runCase(folder, play) {
    // The exit ends the processes of the case.
    ["SIGTERM", "SIGINT", "SIGHUP"].forEach(signal => process.once(signal, () => process.exit(NOT_RUN)));
    const lines = [];
    const record = line => lines.push(line);
    let deployment;
    let result = NOT_RUN;
    try {
        record(hasTrouble ? "with the disruption" : "without the disruption (TROUBLE=0)");
        result = await play({
            record,
            create: async options => {
                deployment = await createDeployment(options);
                return deployment;
            },
        });
    }
    catch (error) {
        record(`could not run: ${error.stack}`);
    }
    finally {
        await deployment?.stop();
    }
    record(
        ["result: the rule held", "result: the rule was broken", "result: the case could not run"][result],
    );
    writeFileSync(join(folder, "record.txt"), `${lines.join("\n")}\n`);
    console.log(lines.at(-1));
    process.exit(result);
}
