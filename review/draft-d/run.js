// A client that the operators do not control sends prompts whose last part has an id as long as the limit for headers
// allows.
import { fork } from "node:child_process";
import { Buffer } from "node:buffer";
import { dirname } from "node:path";
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
} from "../stand-ins-3/deployment.js";

const FLOOD = fileURLToPath(new URL("../stand-ins-3/flood.js", import.meta.url));

/** Length of the id of a prompt's last part. With it, the headers have about 15,400 of the 16,384 bytes allowed. */
const PART_BYTES = hasTrouble ? 15_000 : 16;
const CHANNELS = 48;

/** The rule counts machines on which processes have ended by themselves so often. */
const ALLOWED_ENDS = 2;
const MACHINES = 2;

/** Time after which the platform starts a process again that has ended. */
const RESTART_MILLISECONDS = 500;
const LIMIT_MILLISECONDS = 95_000;

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ record, create }) => {
    const deployment = await create({ memoryMegabytes: 200 });
    deployment.store.put("op", "config", createConfiguration(7));
    for (const id of ["i-desk-1", "i-desk-2", "i-desk-3", "i-desk-4"]) {
        await deployment.startRunner(id, "desk", { workMilliseconds: 1, lines: 1, isQuiet: true });
    }
    for (const id of ["i-engine-1", "i-engine-2", "i-engine-3"]) {
        await deployment.startRunner(id, "engines", {
            slots: 64,
            events: 2,
            gapMilliseconds: 5,
            isQuiet: true,
        });
    }
    const machines = [];
    const watch = machine => {
        machine.router.process.once("exit", async (code, signal) => {
            if (machine.isOver === true) {
                return;
            }
            machine.ends += 1;
            const [error = ""] = /FATAL ERROR.*/.exec(machine.router.errors) ?? [];
            record(`${machine.router.name} ended by itself: code ${code}, signal ${signal} ${error}`);
            await delay(RESTART_MILLISECONDS);
            if (machine.isOver !== true) {
                machine.router = await deployment.startRouter(machine.number);
                watch(machine);
            }
        });
    };
    for (let number = 0; number < MACHINES; number += 1) {
        const machine = {
            number,
            router: await deployment.startRouter(number),
            ends: 0,
            ordinary: {},
            flood: {},
        };
        machines.push(machine);
        watch(machine);
    }
    await delay(4000);
    for (const machine of machines) {
        const flood = fork(FLOOD, [machine.router.endpoint, KEY, String(CHANNELS), "1", String(PART_BYTES)]);
        deployment.addProcess(flood);
        flood.on("message", counts => (machine.flood = counts));
    }
    const until = Date.now() + LIMIT_MILLISECONDS;
    const open = [];
    while (Date.now() < until && machines.some(({ ends }) => ends <= ALLOWED_ENDS)) {
        for (const machine of machines) {
            open.push(
                send(machine.router.endpoint, { path: "/bookings/one", body: Buffer.from("{}") }).then(
                    result => {
                        const name = result.status === 0 ? "no answer" : String(result.status);
                        machine.ordinary[name] = (machine.ordinary[name] ?? 0) + 1;
                    },
                ),
            );
        }
        await delay(200);
    }
    machines.forEach(machine => (machine.isOver = true));
    await Promise.all(open);
    for (const { router, ends, ordinary, flood } of machines) {
        record(
            `${router.name}: ${ends} ends by themselves; ordinary bookings by status ${JSON.stringify(ordinary)}; ` +
                `prompts of the client ${JSON.stringify(flood)}`,
        );
    }
    return machines.filter(({ ends }) => ends > ALLOWED_ENDS).length >= MACHINES ? BROKEN : HELD;
});
