// Configurations that replace routes follow each other, and each route gets a request at each router.
import { fork } from "node:child_process";
import { readFileSync } from "node:fs";
import { dirname } from "node:path";
import { clearInterval, setInterval } from "node:timers";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import {
    BROKEN,
    HELD,
    KEY,
    createConfiguration,
    hasTrouble,
    runCase,
    send,
    waitFor,
} from "../stand-ins-3/deployment.js";

const LOAD = fileURLToPath(new URL("../stand-ins-3/load.js", import.meta.url));

/** Memory of a machine of the site. */
const MEMORY_MEGABYTES = 200;

/** Routes that one configuration adds, in place of those that the one before it had added. */
const ADDED_ROUTES = 350;

/** Shortest time between two configurations of a storm, its length, and the pause after it. */
const GAP_MILLISECONDS = 80;
const STORM_MILLISECONDS = 2000;
const PAUSE_MILLISECONDS = 500;

const CONFIGURATIONS = 156;

/** The rule counts machines on which processes have ended by themselves so often. */
const ALLOWED_ENDS = 2;
const MACHINES = 2;

const LIMIT_MILLISECONDS = 105_000;

/** Resident memory of a process. */
function residentMegabytes(pid) {
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    return Number(/VmRSS:\s+(\d+)/.exec(status)[1]) / 1024;
}

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ record, create }) => {
    const deployment = await create({ memoryMegabytes: MEMORY_MEGABYTES });
    const { store } = deployment;
    const pathsOf = version =>
        Array.from({ length: ADDED_ROUTES }, (_, index) => `/added-${version}-${index}/`);
    const configure = version =>
        store.put(
            "op",
            "config",
            createConfiguration(version, configuration => ({
                ...configuration,
                routes: [
                    ...configuration.routes,
                    ...pathsOf(hasTrouble ? version : 7).map((prefix, index) => ({
                        ...configuration.routes.find(({ name }) => name === "r-stock"),
                        name: `r-${hasTrouble ? version : 7}-${index}`,
                        prefix,
                    })),
                ],
            })),
        );
    configure(7);
    for (const id of ["i-desk-1", "i-desk-2", "i-desk-3", "i-desk-4"]) {
        await deployment.startRunner(id, "desk", { workMilliseconds: 1, lines: 1, isQuiet: true });
    }
    const machines = [];
    for (let number = 0; number < MACHINES; number += 1) {
        const router = await deployment.startRouter(number);
        const clients = fork(LOAD, [router.endpoint, KEY, "32"]);
        deployment.addProcess(clients);
        machines.push({ number, router, clients, ends: 0, mostMegabytes: 0 });
    }
    await delay(4000);

    // The platform kills a process that exceeds the memory of its machine, and starts it again.
    const watch = setInterval(() => {
        for (const machine of machines) {
            const { router } = machine;
            if (router.exit !== undefined || machine.isStarting) {
                continue;
            }
            const megabytes = residentMegabytes(router.process.pid);
            machine.mostMegabytes = Math.max(machine.mostMegabytes, megabytes);
            if (megabytes > MEMORY_MEGABYTES) {
                machine.ends += 1;
                machine.isStarting = true;
                record(`${router.name}: ${megabytes.toFixed(0)} MB, killed by the platform`);
                router.process.kill("SIGKILL");
                router.process.once("exit", async () => {
                    machine.router = await deployment.startRouter(machine.number);
                    machine.isStarting = false;
                });
            }
        }
    }, 200);

    const until = Date.now() + LIMIT_MILLISECONDS;
    const totals = {};
    let version = 7;
    let stormAt = Date.now();
    while (
        version < 7 + CONFIGURATIONS &&
        Date.now() < until &&
        machines.some(({ ends }) => ends <= ALLOWED_ENDS)
    ) {
        version += 1;
        const changedAt = Date.now();
        configure(version);
        const paths = pathsOf(hasTrouble ? version : 7);
        await Promise.all(
            machines.map(async machine => {
                await waitFor(`version ${version} in force`, async () => {
                    if (machine.isStarting === true) {
                        return false;
                    }
                    const { status } = await send(machine.router.endpoint, {
                        method: "GET",
                        path: `${paths[0]}x`,
                    });
                    return status === 200;
                });
                machine.clients.send(paths.map(path => `${path}x`));
                const counts = await new Promise(resolve => machine.clients.once("message", resolve));
                Object.entries(counts).forEach(
                    ([status, count]) => (totals[status] = (totals[status] ?? 0) + count),
                );
            }),
        );
        await delay(Math.max(0, changedAt + GAP_MILLISECONDS - Date.now()));
        if (Date.now() - stormAt > STORM_MILLISECONDS - GAP_MILLISECONDS) {
            record(
                `version ${version}: ${machines
                    .map(({ mostMegabytes, ends }) => `at most ${mostMegabytes.toFixed(0)} MB, ${ends} ends`)
                    .join("; ")}`,
            );
            await delay(PAUSE_MILLISECONDS);
            stormAt = Date.now();
        }
    }
    clearInterval(watch);
    record(`configurations: ${version - 7}; requests by status: ${JSON.stringify(totals)}`);
    for (const { router, ends, mostMegabytes } of machines) {
        record(`${router.name}: ${ends} ends by themselves, ${mostMegabytes.toFixed(0)} MB at most`);
    }
    return machines.filter(({ ends }) => ends > ALLOWED_ENDS).length >= MACHINES ? BROKEN : HELD;
});
