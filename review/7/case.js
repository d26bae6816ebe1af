/**
 * Two runners that are full turn streams away that may not be resumed, and these are sent to them again a moment later.
 * With trouble, one of the runners sends a few of its answers twice: the second copy comes late, where the next answer
 * on the connection is expected. Checks that no stream runs more than once.
 */
import { createServer } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import {
    callerHeaders,
    createCaller,
    createConfiguration,
    runCase,
    runnerEntry,
} from "../common-2/deployment.js";

const ROUNDS = 120;
/** Runners of one service differ in speed. */
const WORK_MS = { "writer-1": 120, "writer-2": 300 };
/** One answer in 40 comes twice: 0.025, below the largest dose of 0.03. */
const ANSWERS_PER_COPY = 40;

async function startRunner(id, record, runs, spoils) {
    let active = 0;
    let answers = 0;
    const copies = new Map();
    const server = createServer(async (message, response) => {
        const attempt = message.headers["geraniumbarrow-attempt-id"];
        const { socket } = message;
        message.resume();
        if (copies.has(socket)) {
            record.add(`runner ${id} sends the second copy of an answer`);
            socket.write(copies.get(socket));
            copies.delete(socket);
        }
        answers += 1;
        if (active > 0) {
            record.add(`runner ${id} is full and turns ${attempt} away`);
            const headers = { "geraniumbarrow-attempt-id": attempt, "geraniumbarrow-not-executed": "1" };
            if (spoils && answers >= ANSWERS_PER_COPY) {
                answers = 0;
                const lines = Object.entries({ ...headers, "content-length": 0 }).map(line =>
                    line.join(": "),
                );
                copies.set(socket, ["HTTP/1.1 503 Service Unavailable", ...lines, "", ""].join("\r\n"));
            }
            response.writeHead(503, { ...headers, "content-length": 0 }).end();
            return;
        }
        active += 1;
        runs.set(attempt, (runs.get(attempt) ?? 0) + 1);
        record.add(`runner ${id} runs ${attempt}`);
        await delay(WORK_MS[id]);
        active -= 1;
        response.writeHead(200, {
            "content-type": "text/event-stream",
            "geraniumbarrow-attempt-id": attempt,
            "geraniumbarrow-response-signature": `signature-${id}`,
        });
        response.end(`id: 1\ndata: answer to ${attempt}\n\n`);
    });
    server.keepAliveTimeout = 30_000;
    await new Promise(done => server.listen(0, "127.0.0.1", done));
    return `127.0.0.1:${server.address().port}`;
}

/** Contracts of the deployments whose nodes let requests wait for capacity. */
const CONTRACTS =
    "base drain config cost retry recover health pool engine stream tenants places platform rollout";

const options = { nodes: 2, memoryMb: 250, contracts: CONTRACTS.split(" ") };
await runCase(import.meta.dirname, options, async (deployment, record, hasTrouble) => {
    const { store } = deployment;
    const runs = new Map();
    store.put(
        "op",
        "config",
        createConfiguration({
            routes: [
                {
                    name: "drafts",
                    prefix: "/drafts/",
                    "route-type": "streaming",
                    "timeout-ms": 5000,
                    "target-latency-ms": 1500,
                    "gap-target-ms": 1200,
                    "stream-resumption": false,
                    service: "writers",
                    "max-attempts": 1,
                },
            ],
            services: [{ name: "writers" }],
        }),
    );
    // One of the two runners spoils answers: a share of 0.5, below the largest dose of 0.6.
    for (const [id, spoils] of [
        ["writer-1", hasTrouble],
        ["writer-2", false],
    ]) {
        const address = await startRunner(id, record, runs, spoils);
        store.put("servers", id, runnerEntry("writers", address, { slots: 1 }));
    }
    const [first, second] = await deployment.startNodes();
    await delay(1000);
    const callers = [createCaller(second.address), createCaller(second.address), createCaller(first.address)];
    const ask = async caller => {
        const headers = callerHeaders(5000);
        const attempt = headers["geraniumbarrow-attempt-id"];
        const result = await caller.send({ path: "/drafts/1", headers, body: "question" });
        record.add(`caller of ${attempt}: ${result.outcome} ${result.status ?? ""}`);
        return { attempt, ...result };
    };
    const results = [];
    for (let round = 0; round < ROUNDS; round += 1) {
        // Two streams of the other node occupy the runners.
        const others = [ask(callers[0]), ask(callers[1])];
        await delay(20);
        results.push(...(await Promise.all([...others, ask(callers[2])])));
        await delay(30);
    }
    const twice = [...runs].filter(([, count]) => count > 1);
    const refused = results.filter(({ status, attempt }) => status === 503 && runs.has(attempt));
    record.add(
        `${results.filter(({ status }) => status === 200).length} of ${results.length} streams were served`,
    );
    record.add(`${twice.length} streams ran more than once`);
    record.add(`${refused.length} streams ran and were answered 503`);
    return twice.length > 0;
});
