// A burst of bookings with bodies as large as the configuration allows, at one router.
import { Buffer } from "node:buffer";
import { Agent } from "node:http";
import { dirname } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { BROKEN, HELD, createConfiguration, hasTrouble, runCase, send } from "../stand-ins-3/deployment.js";

const BODY_BYTES = 4_000_000;
const WORK_MILLISECONDS = 1200;

/** Time between two bookings, and the factor by which the burst multiplies their rate. */
const USUAL_GAP_MILLISECONDS = 300;
const BURST_FACTOR = 1.7;
const BURST_MILLISECONDS = 4000;

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
    const agents = [];
    const idle = [];
    const results = [];
    const book = async () => {
        let agent = idle.pop();
        if (agent === undefined) {
            agent = new Agent({ keepAlive: true, maxSockets: 1 });
            agents.push(agent);
            // The channel is a kept one: it has brought an answer before.
            const first = await send(router.endpoint, {
                path: "/bookings/first",
                body: Buffer.from("{}"),
                agent,
            });
            record(`channel ${agents.length}: first booking answered ${first.status}`);
        }
        const result = await send(router.endpoint, { path: "/bookings/large", body, agent });
        results.push(result);
        idle.push(agent);
    };
    const running = [];
    const bookFor = async (milliseconds, gap) => {
        for (let at = 0; at < milliseconds; at += gap) {
            running.push(book());
            await delay(gap);
        }
    };
    // All channels are opened before, so that the burst consists of large bookings only.
    idle.push(
        ...(await Promise.all(
            Array.from({ length: 24 }, async () => {
                const agent = new Agent({ keepAlive: true, maxSockets: 1 });
                agents.push(agent);
                const first = await send(router.endpoint, {
                    path: "/bookings/first",
                    body: Buffer.from("{}"),
                    agent,
                });
                return first.status === 200 ? [agent] : [];
            }),
        ).then(opened => opened.flat())),
    );
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
