/**
 * Streams wait at a node until a runner has capacity. With trouble, the node is stopped as in a rolling restart. Checks
 * that each request that the node has read gets an answer, which may be a refusal.
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

const RUNNERS = 2;
const SLOTS = 2;
const EVENTS = 45;
const EVENT_MS = 200;
/** More at once than the runners have slots, so that some wait. */
const STREAMS = 8;
const STREAM_PAUSE_MS = 100;
const TIMEOUT_MS = 25_000;

/** A sound runner: works on as many streams as it has slots, and turns others away. */
async function startRunner(id, record, running) {
    let active = 0;
    const server = createServer(async (message, response) => {
        const attempt = message.headers["geraniumbarrow-attempt-id"];
        message.resume();
        if (active >= SLOTS) {
            record.add(`runner ${id} is full and turns ${attempt} away`);
            response
                .writeHead(503, { "geraniumbarrow-attempt-id": attempt, "geraniumbarrow-not-executed": "1" })
                .end();
            return;
        }
        active += 1;
        running.add(attempt);
        record.add(`runner ${id} runs ${attempt}`);
        response.writeHead(200, {
            "content-type": "text/event-stream",
            "geraniumbarrow-attempt-id": attempt,
            "geraniumbarrow-response-signature": `signature-${id}`,
        });
        const from = Number(message.headers["last-event-id"] ?? 0);
        for (let event = from + 1; event <= EVENTS && !response.destroyed; event += 1) {
            response.write(`id: ${event}\ndata: part ${event} of ${attempt}\n\n`);
            await delay(EVENT_MS);
        }
        active -= 1;
        response.end();
    });
    await new Promise(done => server.listen(0, "127.0.0.1", done));
    return `127.0.0.1:${server.address().port}`;
}

/** Contracts of the deployments whose nodes let requests wait for capacity. */
const CONTRACTS =
    "base drain config cost retry recover health pool engine stream tenants places platform rollout";

const options = {
    nodes: 1,
    memoryMb: 250,
    contracts: CONTRACTS.split(" "),
    bounds: { "session-ttl-s": 8.5 },
};
await runCase(import.meta.dirname, options, async (deployment, record, hasTrouble) => {
    const { store } = deployment;
    const running = new Set();
    store.put(
        "op",
        "config",
        createConfiguration({
            routes: [
                {
                    name: "digests",
                    prefix: "/digests/",
                    "route-type": "streaming",
                    "timeout-ms": TIMEOUT_MS,
                    "target-latency-ms": 6000,
                    "gap-target-ms": 1200,
                    "stream-resumption": true,
                    service: "engines",
                    "max-attempts": 3,
                },
            ],
            services: [
                {
                    name: "engines",
                    "connection-limit": 750,
                    "inference-engine": {
                        slots: SLOTS,
                        "kv-capacity-tokens": 671_067,
                        models: [{ name: "m0", cost: 0.016 }],
                    },
                },
            ],
        }),
    );
    for (let index = 1; index <= RUNNERS; index += 1) {
        const address = await startRunner(`engine-${index}`, record, running);
        store.put("servers", `engine-${index}`, runnerEntry("engines", address, { slots: SLOTS }));
    }
    const [node] = await deployment.startNodes();
    await delay(1000);
    let stoppedAt = Infinity;
    const ask = async () => {
        const caller = createCaller(node.address);
        const headers = callerHeaders(TIMEOUT_MS, {
            "geraniumbarrow-model": "m0",
            "geraniumbarrow-token-usage": "5000,384",
        });
        const attempt = headers["geraniumbarrow-attempt-id"];
        const sentAt = performance.now();
        record.add(`caller sends ${attempt}`);
        const result = await caller.send({ path: "/digests/1", headers, body: "question" });
        const events = result.body.split("\n\n").length - 1;
        record.add(
            `caller of ${attempt}: ${result.outcome} ${result.status ?? "without an answer"}` +
                (result.status === 200 ? `, ${events} of ${EVENTS} events` : ""),
        );
        caller.close();
        return { attempt, sentAt, ...result };
    };
    const open = [];
    for (let index = 0; index < STREAMS; index += 1) {
        open.push(ask());
        await delay(STREAM_PAUSE_MS);
    }
    if (hasTrouble) {
        record.add("SIGTERM to the node");
        stoppedAt = performance.now();
        node.child.kill("SIGTERM");
    }
    const results = await Promise.all(open);
    // Those that a runner was at work on in the last sixth of the grace period do not count.
    const lost = results.filter(
        ({ outcome, status, attempt }) =>
            outcome === "closed" && status === undefined && !running.has(attempt),
    );
    record.add(
        `${results.filter(({ status }) => status === 200).length} streams began, ${results.filter(({ status }) => status === 503).length} were refused`,
    );
    record.add(`${lost.length} requests that no runner had got were closed without an answer`);
    if (hasTrouble) {
        await node.exited;
        record.add(
            `the node has exited ${((performance.now() - stoppedAt) / 1000).toFixed(1)} s after SIGTERM`,
        );
    }
    return lost.length > 0;
});
