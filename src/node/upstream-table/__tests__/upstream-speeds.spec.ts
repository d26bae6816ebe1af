/**
 * Guards against pauses that make an engine look slow, new processes that get too much or too little, and learnt
 * speeds that change the choice before anything was learnt.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { createSeededRandom } from "../../common/random.js";
import { expectedWork } from "../expected-work.js";
import { NO_LOAD } from "../load-board.js";
import { chooseUpstream } from "../upstream-choice.js";
import { createUpstreamSpeeds } from "../upstream-speeds.js";
import { createContext, createTestUpstream, loadsOf } from "./upstream-fixtures.js";

const GROUP = ["engines", "small"] as const;

const engines = ["a", "b", "c", "d"].map(id => createTestUpstream(id, { slots: 64 }));

const ENGINE = {
    averageRequests: 0,
    unreadTokens: 0,
    ownTokens: 0,
    slots: 64,
    isEngine: true,
    slowness: 1,
};

test("with nothing learnt the choice is as without speeds", () => {
    const random = createSeededRandom(11);
    const speeds = createUpstreamSpeeds();
    for (let round = 0; round < 300; round++) {
        const loads = Object.fromEntries(
            engines.map(({ entry }) => [
                entry.id,
                {
                    pendingTokens: Math.floor(random() * 20_000),
                    requests: Math.floor(random() * 80),
                    heldTokens: 0,
                },
            ]),
        );
        const context = createContext({
            loadOf: loadsOf(loads),
            affinityKey: `p${round}`,
            sharedTokens: 3000,
        });
        const workOf: typeof context.workOf = ({ entry, process, health }, load, unreadTokens) =>
            expectedWork(
                {
                    load,
                    averageRequests: load.requests,
                    unreadTokens,
                    ownTokens: 500,
                    slots: entry.slots,
                    isEngine: true,
                    slowness: health.slowness(),
                },
                speeds.speedOf(...GROUP, process, 0),
            );
        const known = chooseUpstream(engines, context)!;
        const learnt = chooseUpstream(engines, { ...context, workOf })!;
        assert.equal(learnt.upstream, known.upstream);
        assert.equal(learnt.score, known.score);
    }
});

test("pauses of 15% of the requests change the speed by less than a tenth", () => {
    const random = createSeededRandom(5);
    const speeds = createUpstreamSpeeds();
    let lowest = Infinity;
    for (let now = 0; now < 60_000; now += 100) {
        for (const process of ["a", "b", "c"]) {
            const noise = 0.9 + 0.2 * random();
            speeds.record(...GROUP, process, "prompt", (random() < 0.15 ? 56.9 / 2.5 : 56.9) * noise, now);
        }
        if (now > 10_000) {
            lowest = Math.min(lowest, speeds.speedOf(...GROUP, "a", now).promptTokensPerMillisecond!);
        }
    }
    const last = speeds.speedOf(...GROUP, "a", 60_000).promptTokensPerMillisecond!;
    assert.ok(Math.abs(last / 56.9 - 1) < 0.1, `speed ${last}`);
    assert.ok(lowest > 0.75 * 56.9, `at worst ${lowest}`);
});

test("one absurd measurement changes the speed of a process by less than a quarter", () => {
    const speeds = createUpstreamSpeeds();
    for (let now = 0; now < 10_000; now += 500) {
        ["a", "b", "c"].forEach(process => speeds.record(...GROUP, process, "prompt", 50, now));
    }
    speeds.record(...GROUP, "a", "prompt", 50_000, 10_000);
    speeds.record(...GROUP, "new", "prompt", 0.001, 10_000);
    const speedOf = (process: string) =>
        speeds.speedOf(...GROUP, process, 11_000).promptTokensPerMillisecond!;
    assert.ok(speedOf("a") < 50 * 1.25);
    assert.ok(speedOf("new") > 50 / 1.25);
});

test("a new process has the speed of the median, and approaches its own", () => {
    const speeds = createUpstreamSpeeds();
    const paces = { a: 0.6, b: 1, c: 1, d: 1, e: 1.4 };
    for (let now = 0; now < 20_000; now += 500) {
        for (const [process, ratio] of Object.entries(paces)) {
            speeds.record(...GROUP, process, "step", ratio, now);
            speeds.record(...GROUP, process, "prompt", 57 / ratio, now);
        }
    }
    assert.ok(Math.abs(speeds.speedOf(...GROUP, "new", 20_000).promptTokensPerMillisecond! - 57) < 1);
    for (let count = 1; count <= 20; count++) {
        speeds.record(...GROUP, "new", "step", 1.4, 20_000 + count * 100);
    }
    // The pace of events tells the prompt speed too, with less weight.
    const learnt = speeds.speedOf(...GROUP, "new", 30_000);
    assert.ok(learnt.relativeStep > 1.3 && learnt.promptTokensPerMillisecond! < 48);
    assert.equal(speeds.speedOf("engines", "large", "a", 30_000).requests, 0, "models are learnt separately");
});

test("a step takes longer with each running request, and a request without a slot waits", () => {
    const speeds = createUpstreamSpeeds();
    speeds.record(...GROUP, "a", "prompt", 50, 0);
    const speed = speeds.speedOf(...GROUP, "a", 1000);
    const workWith = (requests: number) => expectedWork({ ...ENGINE, load: { ...NO_LOAD, requests } }, speed);
    assert.ok(workWith(20) - workWith(10) > 55 && workWith(20) - workWith(10) < 70);
    assert.ok(workWith(68) - workWith(63) > 100);
});

test("a plain upstream that takes longer than the median is expected to do so again", () => {
    const speeds = createUpstreamSpeeds();
    for (let now = 0; now < 10_000; now += 250) {
        for (const [process, milliseconds] of Object.entries({ p: 150, q: 50, r: 50 })) {
            speeds.record("desk", "", process, "work", milliseconds, now);
        }
    }
    const workAt = (process: string, requests: number) =>
        expectedWork(
            { ...ENGINE, load: NO_LOAD, averageRequests: requests, slots: 6, isEngine: false },
            speeds.speedOf("desk", "", process, 11_000),
        );
    assert.ok(workAt("p", 0) > 70 && workAt("q", 0) < 1);
    assert.ok(workAt("q", 4) < 5, "slots are free");
    assert.ok(workAt("q", 11) > workAt("q", 5) + 40, "six requests without a slot wait for a whole one");
});

test("nodes learn from the reports of others, and each process is reported in turn", () => {
    const [first, second] = [createUpstreamSpeeds(), createUpstreamSpeeds()];
    const processes = Array.from({ length: 20 }, (_, index) => `e${index}`);
    const record = (now: number): void =>
        processes.forEach((process, index) =>
            first.record(...GROUP, process, "prompt", index < 2 ? 30 : 60, now),
        );
    for (let now = 0; now < 10_000; now += 500) {
        record(now);
    }
    const reported = new Set<string>();
    for (let now = 10_000; now < 40_000; now += 100) {
        const report = first.report(now);
        assert.ok((report?.length ?? 0) <= 8);
        report?.forEach(([, , process]) => reported.add(process));
        second.merge(report ?? [], now);
    }
    assert.equal(reported.size, 20);
    assert.equal(first.report(50_000), undefined, "nothing new was measured");
    const speedOf = (process: string) =>
        second.speedOf(...GROUP, process, 41_000).promptTokensPerMillisecond!;
    assert.ok(speedOf("e0") < 35 && speedOf("e9") > 55);
    assert.equal(second.report(50_000), undefined, "what others measured is not passed on");
});
