// Upstreams that leave end in the middle of answers that have neither a length nor chunks.
import { Buffer } from "node:buffer";
import { dirname } from "node:path";
import { clearInterval, setInterval } from "node:timers";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import {
    BROKEN,
    HELD,
    createConfiguration,
    hasTrouble,
    runCase,
    send,
    waitFor,
} from "../stand-ins-3/deployment.js";

const ROUNDS = 3;
const EVENTS = 40;
const LINES = 40;

/** Upstreams of each service; one at a time leaves. */
const UPSTREAMS = 7;

/** Time from the notice of an upstream that is reclaimed to its end, and from there to the start of another one. */
const NOTICE_MILLISECONDS = 2000;
const REPLACEMENT_MILLISECONDS = 4000;

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ record, create }) => {
    const deployment = await create();
    const { store, runners } = deployment;
    store.put(
        "op",
        "config",
        createConfiguration(7, configuration => ({
            ...configuration,
            routes: configuration.routes.map(route =>
                route.name === "r-reports"
                    ? { ...route, "stream-resumption": false, "max-attempts": 1 }
                    : route,
            ),
        })),
    );
    let started = 0;
    const startEngine = () =>
        deployment.startRunner(`i-engine-${(started += 1)}`, "engines", {
            slots: 64,
            unframed: true,
            events: EVENTS,
            gapMilliseconds: 150,
        });
    const startDesk = () =>
        deployment.startRunner(`i-desk-${(started += 1)}`, "desk", {
            unframed: true,
            lines: LINES,
            gapMilliseconds: 80,
        });
    for (let index = 0; index < UPSTREAMS; index += 1) {
        await startEngine();
        await startDesk();
    }
    const router = await deployment.startRouter(0);
    await deployment.startRouter(1);
    await delay(4000);
    const beats = setInterval(
        () => runners.filter(({ state }) => state !== "gone").forEach(runner => runner.beat(runner.state)),
        1200,
    );

    let broken = 0;
    const play = async (path, isWhole) => {
        const before = deployment.events.length;
        const answer = send(router.endpoint, {
            path,
            body: Buffer.from("{}"),
            remaining: path === "/reports/a" ? 15_000 : 4000,
        });
        const beginning = () => deployment.events.slice(before).find(({ kind }) => kind === "began");
        await waitFor(`${path} runs`, () => beginning() !== undefined);
        const runner = runners.find(({ id }) => id === beginning().id);
        if (hasTrouble) {
            await delay(300);
            runner.state = "draining";
            runner.behave({ leaving: true });
            runner.beat("draining");
            record(`${path}: ${runner.id} says that it leaves`);
            await delay(NOTICE_MILLISECONDS);
            runner.process.kill("SIGKILL");
            runner.state = "gone";
            store.put("servers", runner.id, undefined);
            record(`${path}: ${runner.id} is gone`);
        }
        const result = await answer;
        const whole = isWhole(result);
        const looksComplete = result.status >= 200 && result.status < 300 && result.complete;
        record(
            `${result.attempt} ${path}: status ${result.status}, ${result.body.length} bytes, ` +
                `${looksComplete ? "complete for its client" : "not complete for its client"}, ` +
                `${whole ? "whole" : `ends with ${JSON.stringify(result.body.slice(-60))}`}`,
        );
        return looksComplete && !whole ? 1 : 0;
    };
    for (let round = 0; round < ROUNDS; round += 1) {
        broken += await play("/reports/a", ({ body }) => body.includes(`id: ${EVENTS}\n`));
        broken += await play("/bookings/a", ({ body }) => body.includes(`line ${LINES} of`));
        if (hasTrouble) {
            await delay(REPLACEMENT_MILLISECONDS);
            await startEngine();
            await startDesk();
        }
    }
    clearInterval(beats);
    record(`answers that ended early and looked complete: ${broken}`);
    return broken > 0 ? BROKEN : HELD;
});
