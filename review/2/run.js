/** Entries of another writer, and two runners that crash, while requesters use kept channels. */
import { Agent } from "node:http";
import { setTimeout } from "node:timers";
import { setTimeout as delay } from "node:timers/promises";
import { runCase } from "../lib/case.js";
import { createConfiguration } from "../lib/configuration.js";
import { send } from "../lib/requester.js";
import { createRunner } from "../lib/runner.js";

const NODES = 4;
const ZONES = ["zone-a", "zone-b"];
const RUNNERS = 12;
/** Entries of another writer, for a service that no configuration names. */
const FOREIGN_ENTRIES = 8;
/** Runners that crash: 0.17 of the service's runners, for 4.5 s, as in the site file. */
const CRASHED = 2;
const CRASH_MILLISECONDS = 4500;
const WORK_MILLISECONDS = 200;
const CHANNELS_PER_NODE = 8;
/** Time before a process that ended is started again. */
const RESTART_MILLISECONDS = 500;
/** A machine may close so many kept channels without an answer. */
const ALLOWED_LOSSES = 3;

await runCase(new URL(".", import.meta.url), async ({ trouble, record, store, deployment, runners }) => {
    store.put("op", "config", createConfiguration());
    for (let index = 0; index < RUNNERS; index += 1) {
        const runner = await createRunner({
            id: `i-${index}`,
            service: "stock-app",
            zone: ZONES[index % ZONES.length],
            slots: 6,
            queue: 24,
            workMilliseconds: () => WORK_MILLISECONDS,
            answer: (_entry, response, headers) => {
                response.writeHead(200, { ...headers, "content-length": 2 });
                response.end("ok");
            },
        });
        runners.push(runner);
        store.put("servers", runner.id, runner.entry());
    }
    if (trouble) {
        for (let index = 0; index < FOREIGN_ENTRIES; index += 1) {
            store.put("servers", `other-${index}`, {
                service: "not-ours",
                address: `127.0.0.1:${70_000 + index}`,
                zone: ZONES[0],
                version: "v1",
                slots: 1,
                state: "ready",
                "cold-remaining-ms": 0,
                born: Date.now(),
                sequence: 1,
            });
        }
    }
    await deployment.startNodes(NODES, {
        zones: ZONES,
        onOutput: (name, text) => {
            const error = /^\w*Error.*$/m.exec(text);
            if (error !== null && !text.startsWith("{")) {
                record.now(`${name} writes: ${error[0]}`);
            }
        },
    });

    const ends = new Map();
    let isOver = false;
    const watch = node => {
        node.exited.then(({ code, signal }) => {
            if (isOver) {
                return;
            }
            ends.set(node.name, (ends.get(node.name) ?? 0) + 1);
            record.now(`${node.name} ended by itself: code ${code}, signal ${signal}`);
            setTimeout(() => {
                if (!isOver) {
                    deployment
                        .restart(node)
                        .then(() => watch(node))
                        .catch(error => record.now(error.message));
                }
            }, RESTART_MILLISECONDS);
        });
    };
    deployment.nodes.forEach(watch);

    const results = [];
    const use = async node => {
        const agent = new Agent({ keepAlive: true, maxSockets: 1 });
        let isKept = false;
        while (!isOver) {
            const result = await send(node.callers, { path: "/reserve/1", method: "POST", body: "x", agent });
            results.push({ ...result, name: node.name, isKept });
            isKept = result.complete;
            await delay(result.complete ? 20 : 200);
        }
        agent.destroy();
    };
    const uses = deployment.nodes.flatMap(node => Array.from({ length: CHANNELS_PER_NODE }, () => use(node)));
    await delay(4000);
    const crashed = runners.slice(0, CRASHED);
    if (trouble) {
        record.now(`runners ${crashed.map(({ id }) => id).join(", ")} crash`);
        await Promise.all(crashed.map(runner => runner.stop()));
    }
    await delay(CRASH_MILLISECONDS);
    if (trouble) {
        for (const runner of crashed) {
            runner.born = Date.now();
            await runner.start();
            store.put("servers", runner.id, runner.entry({ sequence: 2 }));
        }
        record.now("the runners are back");
    }
    await delay(2500);
    isOver = true;
    await Promise.all(uses);

    const sound = new Set(runners.slice(CRASHED).flatMap(({ received }) => received.map(({ id }) => id)));
    const losses = new Map();
    for (const { id, name, sentAt, endedAt, status, complete, error, isKept } of results) {
        const reached = sound.has(id) ? "reached a sound runner" : "reached no sound runner";
        record.note(sentAt, `${id} sent to ${name} on a ${isKept ? "kept" : "new"} channel, ${reached}`);
        record.note(endedAt, `${id} ends: ${complete ? status : `no whole answer (${error})`}`);
        if (!complete && isKept && sound.has(id)) {
            losses.set(name, (losses.get(name) ?? 0) + 1);
        }
    }
    const runs = runners.flatMap(({ id: runner, received }) => received.map(entry => ({ ...entry, runner })));
    runs.filter(({ ranAt }) => ranAt).forEach(({ ranAt, id, runner }) =>
        record.note(ranAt, `${id} runs at ${runner}`),
    );
    return [...losses]
        .filter(([, count]) => count > ALLOWED_LOSSES)
        .map(
            ([name, count]) =>
                `LOST: ${name} passed ${count} requests from kept channels on to sound runners and closed the ` +
                `channels without an answer; its process ended by itself ${ends.get(name) ?? 0} times`,
        );
});
