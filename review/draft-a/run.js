// A burst of bookings with bodies as large as the configuration allows, at one router.
import { Buffer } from "node:buffer";
import { Agent } from "node:http";
import { dirname } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { BROKEN, HELD, createConfiguration, hasTrouble, runCase, send } from "../stand-ins-3/deployment.js";

const BODY_BYTES = 4_000_000;
const WORK_MILLISECONDS = 600;

const CHANNELS = 40;

/** Time between two bookings, and the factor by which the burst multiplies their rate. */
const USUAL_GAP_MILLISECONDS = 150;
const BURST_FACTOR = 1.7;
const BURST_MILLISECONDS = 3000;

/** More requests than these, passed on and left without an answer, break the rule. */
const ALLOWED_LOSSES = 3;

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ record, create }) => {
    const deployment = await create({ memoryMegabytes: 200 });
    const { store, events } = deployment;
    store.put("op", "config", createConfiguration(7));
    for (const id of ["i-desk-1", "i-desk-2", "i-desk-3", "i-desk-4"]) {
        await deployment.startRunner(id, "desk", { workMilliseconds: WORK_MILLISECONDS });
    }
    const router = await deployment.startRouter(0);
    await deployment.startRouter(1);
    // Longer than the time after its start from which a machine is in touch.
    await delay(4000);

    const body = Buffer.alloc(BODY_BYTES, "b");
    const agents = Array.from({ length: CHANNELS }, () => new Agent({ keepAlive: true, maxSockets: 1 }));
    const results = [];
    // The channels are kept ones: each has brought an answer before.
    const opened = await Promise.all(
        agents.map(agent =>
            send(router.endpoint, { path: "/bookings/first", body: Buffer.from("{}"), agent }),
        ),
    );
    const idle = agents.filter((_, index) => opened[index].status === 200);
    const book = async () => {
        const agent = idle.pop();
        if (agent === undefined) {
            throw new Error("no channel is free");
        }
        results.push(await send(router.endpoint, { path: "/bookings/large", body, agent }));
        idle.push(agent);
    };
    const running = [];
    const bookFor = async (milliseconds, gap) => {
        for (let at = 0; at < milliseconds; at += gap) {
            running.push(book());
            await delay(gap);
        }
    };
    record(`${idle.length} channels are kept, each after an answered booking`);
    await bookFor(3000, USUAL_GAP_MILLISECONDS);
    await bookFor(
        BURST_MILLISECONDS,
        hasTrouble ? Math.round(USUAL_GAP_MILLISECONDS / BURST_FACTOR) : USUAL_GAP_MILLISECONDS,
    );
    await Promise.all(running);
    agents.forEach(agent => agent.destroy());

    let losses = 0;
    for (const { attempt, status, complete, sentAt, answeredAt } of results) {
        const began = events.find(event => event.kind === "began" && event.attempt === attempt);
        const isLost = status === 0 && began !== undefined;
        losses += isLost ? 1 : 0;
        record(
            `${attempt}: ${
                status === 0
                    ? "channel closed without an answer"
                    : `status ${status}${complete ? "" : ", cut"}`
            } after ${answeredAt - sentAt} ms; ${
                began === undefined
                    ? "reached no upstream"
                    : `ran at ${began.id} from ${began.at - sentAt} ms on`
            }`,
        );
    }
    record(`bookings: ${results.length}; passed on and closed without an answer: ${losses}`);
    record(`router still runs: ${router.exit === undefined}`);
    return losses > ALLOWED_LOSSES ? BROKEN : HELD;
});
