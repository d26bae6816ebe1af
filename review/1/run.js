/**
 * A roll-out of a version that turns bad, while the node that sees most of the bad answers is cut off from the
 * store. The others complete the roll-out; the node that was cut off then reports it as rolled back.
 */
import { setTimeout } from "node:timers";
import { setTimeout as delay } from "node:timers/promises";
import { runCase } from "../lib/case.js";
import { createConfiguration } from "../lib/configuration.js";
import { send } from "../lib/requester.js";
import { createRunner } from "../lib/runner.js";

const NODES = 6;
const ZONES = ["zone-a", "zone-b"];
/** Runners of each version. */
const RUNNERS = 3;
const WORK_MILLISECONDS = 40;
const REQUESTS_PER_SECOND = 30;
/** Share of the requests that reach the first node: requesters are spread unevenly. */
const FIRST_NODE_SHARE = 0.7;

/** All times below are in milliseconds from the order of the roll-out. */
const ROLLOUT_SECONDS = 12;
const CUT_FROM = 7000;
const CUT_TO = 12_000;
const BAD_FROM = 8000;
const BAD_SHARE = 0.5;
/** After a roll-back the new runners drain so much later, and serve for so long while they drain. */
const DRAIN_AFTER = 2000;
const DRAIN = 2000;
const FINAL_FAULT_AT = 18_000;

const DOWN_MILLISECONDS = 1500;
const RECOVERY_MILLISECONDS = 12_000;
const MEASURED_MILLISECONDS = 8000;
/** Share of requests that has to be served after the recovery if it was served before the final fault. */
const REQUIRED_SHARE = 0.25;

const SERVICE = "stock-app";

await runCase(new URL(".", import.meta.url), async ({ trouble, record, store, deployment, runners }) => {
    let badFrom = Infinity;
    const createVersion = async (version, index) => {
        const runner = await createRunner({
            id: `i-${version}-${index}`,
            version,
            service: SERVICE,
            zone: ZONES[index % ZONES.length],
            slots: 6,
            queue: 24,
            workMilliseconds: () => WORK_MILLISECONDS,
            answer: (entry, response, headers) => {
                const isBad = version === "v2" && Date.now() >= badFrom && Math.random() < BAD_SHARE;
                const status = isBad ? 500 : 200;
                entry.answered = status;
                response.writeHead(status, { ...headers, "content-length": 2 });
                response.end("ok");
            },
        });
        runners.push(runner);
        store.put("servers", runner.id, runner.entry());
        return runner;
    };
    store.put("op", "config", createConfiguration());
    const oldRunners = [];
    const newRunners = [];
    for (let index = 0; index < RUNNERS; index += 1) {
        oldRunners.push(await createVersion("v1", index));
    }

    const stopRunners = async group => {
        for (const runner of group) {
            await runner.stop();
            store.put("servers", runner.id, undefined);
        }
    };
    const drainRunners = async group => {
        await delay(DRAIN_AFTER);
        group.forEach(runner =>
            store.put("servers", runner.id, runner.entry({ state: "draining", sequence: 2 })),
        );
        record.now("the new runners drain");
        await delay(DRAIN);
        await stopRunners(group);
    };
    let lastState;
    store.onWrite(({ table, key }) => {
        if (table !== "status" || key !== `rollout/${SERVICE}`) {
            return;
        }
        const { state } = store.read("status", `rollout/${SERVICE}`);
        if (state === lastState) {
            return;
        }
        lastState = state;
        record.now(`status/rollout/${SERVICE}: ${state}`);
        if (state === "completed") {
            record.now("the old runners stop");
            stopRunners(oldRunners).catch(error => record.now(error.message));
        }
        if (state === "rolled_back") {
            drainRunners(newRunners).catch(error => record.now(error.message));
        }
    });

    await deployment.startNodes(NODES, { zones: ZONES });
    await delay(3500);
    const results = [];
    let isOver = false;
    const generate = async () => {
        let next = Date.now();
        while (!isOver) {
            next -= (Math.log(Math.random()) * 1000) / REQUESTS_PER_SECOND;
            if (next > Date.now()) {
                await delay(next - Date.now());
            }
            const other = 1 + Math.floor(Math.random() * (NODES - 1));
            const node = deployment.nodes[Math.random() < FIRST_NODE_SHARE ? 0 : other];
            const isLookup = Math.random() < 0.3;
            const options = isLookup
                ? { path: "/lookup/1" }
                : { path: "/reserve/1", method: "POST", body: "x" };
            send(node.callers, options).then(result => results.push({ ...result, name: node.name }));
        }
    };
    const traffic = generate();
    await delay(3000);

    for (let index = 0; index < RUNNERS; index += 1) {
        newRunners.push(await createVersion("v2", index));
    }
    const orderedAt = Date.now();
    const at = (milliseconds, action) => setTimeout(action, orderedAt + milliseconds - Date.now());
    record.now(`the operator orders a roll-out to v2 within ${ROLLOUT_SECONDS} s`);
    store.put("op", `rollout/${SERVICE}`, { service: SERVICE, to: "v2", "duration-s": ROLLOUT_SECONDS });
    const [first] = deployment.nodes;
    if (trouble) {
        badFrom = orderedAt + BAD_FROM;
        at(BAD_FROM, () => record.now(`v2 fails ${BAD_SHARE} of its requests from now on`));
        at(CUT_FROM, () => {
            record.now(`${first.name} is cut off from the store`);
            first.store.setMode("silent");
        });
        at(CUT_TO, () => {
            record.now(`${first.name} reaches the store again`);
            first.store.setMode("up");
        });
    }
    await delay(FINAL_FAULT_AT);

    // The final fault follows the acknowledgement of a change.
    store.put("op", "config", createConfiguration({ version: 2 }));
    record.now("the operator changes the configuration");
    const faultAt = Date.now();
    record.now("final fault: all processes are killed");
    deployment.nodes.forEach(({ child }) => child.kill("SIGKILL"));
    await delay(DOWN_MILLISECONDS);
    await Promise.all(deployment.nodes.map(node => deployment.restart(node)));
    const backAt = Date.now();
    record.now("the machines are back");
    await delay(RECOVERY_MILLISECONDS + MEASURED_MILLISECONDS);
    isOver = true;
    await traffic;
    await delay(4500);

    for (const { id, name, sentAt, endedAt, status, complete, error } of results) {
        record.note(sentAt, `${id} sent to ${name}`);
        record.note(endedAt, `${id} ends: ${complete ? status : `no whole answer (${error})`}`);
    }
    for (const { id: runner, received } of runners) {
        received
            .filter(({ ranAt }) => ranAt !== undefined)
            .forEach(({ ranAt, id, answered }) => record.note(ranAt, `${id} runs at ${runner}: ${answered}`));
    }
    const servedShare = group => {
        const served = group.filter(({ complete, status }) => complete && status === 200).length;
        return group.length === 0 ? 0 : served / group.length;
    };
    const before = servedShare(results.filter(({ sentAt }) => sentAt < faultAt));
    const after = servedShare(results.filter(({ sentAt }) => sentAt >= backAt + RECOVERY_MILLISECONDS));
    record.now(`served: ${before.toFixed(3)} before the final fault, ${after.toFixed(3)} after the recovery`);
    return before >= REQUIRED_SHARE && after < REQUIRED_SHARE
        ? [
              `RECOVER: ${after.toFixed(3)} of the requests are served later than ${RECOVERY_MILLISECONDS} ms after ` +
                  `the machines are back, ${before.toFixed(3)} were before the final fault`,
          ]
        : [];
});
