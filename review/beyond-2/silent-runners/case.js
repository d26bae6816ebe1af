/**
 * Planned work: the node is stopped while it forwards streams. Their runners fall silent for a second or so and go on.
 * Checks that no stream is cut off.
 */
import { createServer } from "node:http";
import { performance } from "node:perf_hooks";
import { setTimeout as delay } from "node:timers/promises";
import {
    callerHeaders,
    createCaller,
    createConfiguration,
    runCase,
    runnerEntry,
} from "../../common-2/deployment.js";

const NODES = 3;
const RUNNERS = 4;
const STREAMS = 40;
/** Time between the starts of two streams. */
const STREAM_PAUSE_MS = 25;
/** A stream lasts 12 s, with its time limit of 15 s. */
const EVENTS = 60;
const EVENT_MS = 200;
const TIMEOUT_MS = 15_000;
/** Times after the first stream began. */
const STOP_AT_MS = 9000;
const SILENCE_AT_MS = 11_300;
const SILENCE_MS = 1300;

async function startRunner(id, record, silence) {
    const server = createServer(async (message, response) => {
        const attempt = message.headers["geraniumbarrow-attempt-id"];
        message.resume();
        const from = Number(message.headers["last-event-id"] ?? 0);
        record.add(`runner ${id} runs ${attempt} from event ${from + 1}`);
        response.writeHead(200, {
            "content-type": "text/event-stream",
            "geraniumbarrow-attempt-id": attempt,
            "geraniumbarrow-response-signature": `signature-${id}`,
        });
        for (let event = from + 1; event <= EVENTS && !response.destroyed; event += 1) {
            while (performance.now() < silence.until) {
                await delay(10);
            }
            response.write(`id: ${event}\ndata: part ${event} of ${attempt}\n\n`);
            await delay(EVENT_MS);
        }
        if (response.destroyed) {
            record.add(`runner ${id}: the connection of ${attempt} was closed`);
        }
        response.end();
    });
    await new Promise(done => server.listen(0, "127.0.0.1", done));
    return `127.0.0.1:${server.address().port}`;
}

await runCase(import.meta.dirname, { nodes: NODES }, async (deployment, record, hasTrouble) => {
    const { store } = deployment;
    store.put(
        "op",
        "config",
        createConfiguration({
            routes: [
                {
                    name: "chat",
                    prefix: "/chat/",
                    "route-type": "streaming",
                    "timeout-ms": TIMEOUT_MS,
                    "target-latency-ms": 2000,
                    "gap-target-ms": 500,
                    "stream-resumption": true,
                    service: "engines",
                    "max-attempts": 3,
                },
            ],
            services: [{ name: "engines", "connection-limit": 370 }],
        }),
    );
    const silence = { until: 0 };
    for (let index = 1; index <= RUNNERS; index += 1) {
        const address = await startRunner(`engine-${index}`, record, silence);
        store.put("servers", `engine-${index}`, runnerEntry("engines", address, { slots: 64 }));
    }
    const [node] = await deployment.startNodes();
    await delay(1500);
    const startedAt = performance.now();
    const untilTime = milliseconds => delay(Math.max(0, startedAt + milliseconds - performance.now()));
    const stream = async () => {
        const caller = createCaller(node.address);
        const headers = callerHeaders(TIMEOUT_MS);
        const attempt = headers["geraniumbarrow-attempt-id"];
        const result = await caller.send({ path: "/chat/1", headers, body: "question" });
        const events = result.body.split("\n\n").length - 1;
        record.add(
            `caller of ${attempt}: ${result.outcome} ${result.status ?? ""}, ${events} of ${EVENTS} events`,
        );
        caller.close();
        return {
            ...result,
            endedAt: performance.now() - startedAt,
            isWhole: result.outcome === "answered" && events === EVENTS,
        };
    };
    const open = [];
    for (let index = 0; index < STREAMS; index += 1) {
        open.push(stream());
        await delay(STREAM_PAUSE_MS);
    }
    await untilTime(STOP_AT_MS);
    record.add("SIGTERM to the node");
    node.child.kill("SIGTERM");
    await untilTime(SILENCE_AT_MS);
    if (hasTrouble) {
        record.add(`the runners fall silent for ${SILENCE_MS} ms`);
        silence.until = performance.now() + SILENCE_MS;
    }
    const results = await Promise.all(open);
    // What ends in the last sixth of the grace period (8 s) does not count.
    const lastSixthAt = STOP_AT_MS + (8000 * 5) / 6;
    const cut = results.filter(
        ({ isWhole, outcome, endedAt }) => !isWhole && outcome === "closed" && endedAt < lastSixthAt,
    );
    record.add(`${results.filter(({ isWhole }) => isWhole).length} of ${STREAMS} streams ended whole`);
    record.add(`${cut.length} streams were cut off`);
    await node.exited;
    record.add("the node has exited");
    return cut.length > 0;
});
