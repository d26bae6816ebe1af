/** Guards against upstreams that are paid for without need, and against missing ones in a rise. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { createSeededRandom } from "../../common/random.js";
import { HISTORY_MILLISECONDS, decideScaling } from "../scaling-decision.js";
import type { DemandSample, ScalingRule, ScalingSituation } from "../scaling-decision.js";

const RULE: ScalingRule = { minimum: 4, maximum: 32, bootMilliseconds: 8000 };
const SLOTS = 10;

interface Load {
    /** Requests in flight at a time in seconds. */
    readonly demand: (second: number) => number;
    readonly situation?: (second: number) => Partial<ScalingSituation>;
    readonly isComplete?: (second: number) => boolean;
    readonly isLost?: (second: number) => boolean;
    readonly initial: number;
    readonly seconds: number;
}

interface Replay {
    /** Number ordered at each second. */
    readonly desired: readonly number[];
    /** Seconds in which more requests were in flight than slots serve. */
    readonly fullSeconds: number;
}

/** Replays a recorded load against the decision; ordered upstreams serve after the boot time. */
function replay(load: Load): Replay {
    const samples: DemandSample[] = [];
    const boots: { readonly at: number; readonly count: number }[] = [];
    const desired: number[] = [];
    let ordered: { desiredCount: number; at: number } | undefined;
    let serving = load.initial;
    let fullSeconds = 0;
    for (let second = 0; second < load.seconds; second += 1) {
        const now = second * 1000;
        for (const boot of boots.filter(({ at }) => at === now)) {
            serving = boot.count;
        }
        const upstreams = load.isLost?.(second) === true ? 0 : serving;
        const requests = upstreams === 0 ? 0 : load.demand(second);
        fullSeconds += requests > upstreams * SLOTS ? 1 : 0;
        samples.push({
            at: now,
            upstreams,
            slots: upstreams * SLOTS,
            requests,
            pendingTokens: 0,
            heldTokens: 0,
            capacityTokens: undefined,
            rejections: 0,
            isComplete: load.isComplete?.(second) ?? true,
        });
        const situation = { isShifting: false, isEvacuating: false, isStoreAway: false };
        const decision = decideScaling({
            ...situation,
            ...load.situation?.(second),
            now,
            rule: RULE,
            samples: samples.filter(({ at }) => at > now - HISTORY_MILLISECONDS),
            ordered,
        });
        if (decision !== undefined) {
            const current = ordered?.desiredCount ?? serving;
            ordered = { desiredCount: decision.desiredCount, at: now };
            if (decision.desiredCount < current) {
                serving = Math.min(serving, decision.desiredCount);
            }
            else {
                boots.push({ at: now + RULE.bootMilliseconds, count: decision.desiredCount });
            }
        }
        desired.push(ordered?.desiredCount ?? load.initial);
    }
    return { desired, fullSeconds };
}

const steady = { initial: 10, seconds: 200 };

test("a rise is followed in one step after it has lasted for the boot time", () => {
    const { desired, fullSeconds } = replay({ ...steady, demand: second => (second < 60 ? 50 : 90) });
    assert.ok(desired[60 + 8]! <= 10);
    assert.equal(desired[60 + 12], 15);
    assert.equal(fullSeconds, 0);
});

test("a fall is followed slowly, by one upstream at a time, to what the demand needs", () => {
    const { desired } = replay({ initial: 20, seconds: 400, demand: second => (second < 60 ? 110 : 42) });
    assert.equal(desired[85], 20);
    const steps = desired.slice(1).map((count, index) => count - desired[index]!);
    assert.ok(steps.every(step => step === 0 || step === -1));
    assert.equal(desired.at(-1), 9);
});

test("a burst shorter than the boot time changes nothing", () => {
    const burst = (second: number): boolean => second % 40 >= 30 && second % 40 < 37;
    const { desired } = replay({ ...steady, demand: second => (burst(second) ? 140 : 52) });
    assert.ok(desired.every(count => count === 10));
});

test("a steady load with noise makes the number neither rise nor fall again and again", () => {
    const random = createSeededRandom(7);
    const { desired } = replay({ ...steady, seconds: 900, demand: () => 50 + (random() - 0.5) * 20 });
    const changes = desired.filter((count, index) => index > 0 && count !== desired[index - 1]).length;
    assert.ok(changes <= 3, `${changes} changes`);
});

test("a lost data centre keeps its number, and the others grow", () => {
    const lost = replay({ ...steady, demand: () => 50, isLost: second => second >= 50 && second < 120 });
    assert.ok(lost.desired.every(count => count === 10));
    const other = replay({ ...steady, demand: second => (second < 50 ? 50 : 75) });
    assert.equal(other.desired.at(-1), 13);
});

const FORBIDDEN: readonly (readonly [string, Partial<Load>])[] = [
    ["an evacuation", { situation: () => ({ isEvacuating: true }) }],
    ["a shift to a version that may be faulty", { situation: () => ({ isShifting: true }) }],
    ["an outage of the store", { situation: () => ({ isStoreAway: true }) }],
    ["missing reports of half of the nodes", { isComplete: () => false }],
];

for (const [name, load] of FORBIDDEN) {
    test(`nothing is reduced during ${name}`, () => {
        const { desired } = replay({ initial: 20, seconds: 300, demand: () => 20, ...load });
        assert.ok(desired.every(count => count === 20));
    });
}

test("the number stays within the minimum and the maximum", () => {
    assert.equal(replay({ ...steady, demand: () => 1000 }).desired.at(-1), RULE.maximum);
    assert.equal(replay({ ...steady, seconds: 400, demand: () => 0 }).desired.at(-1), RULE.minimum);
    assert.equal(replay({ ...steady, initial: 2, demand: () => 1 }).desired.at(-1), RULE.minimum);
});

test("unread prompts, memory and rejections count as demand", () => {
    const sample: DemandSample = {
        at: 0,
        upstreams: 10,
        slots: 640,
        requests: 10,
        pendingTokens: 0,
        heldTokens: 0,
        capacityTokens: 5_000_000,
        rejections: 0,
        isComplete: true,
    };
    const decide = (demand: Partial<DemandSample>) =>
        decideScaling({
            isShifting: false,
            isEvacuating: false,
            isStoreAway: false,
            now: 10_000,
            rule: RULE,
            samples: Array.from({ length: 11 }, (_, index) => ({ ...sample, ...demand, at: index * 1000 })),
            ordered: undefined,
        })?.desiredCount;
    assert.equal(decide({}), undefined);
    assert.equal(decide({ pendingTokens: 13_500 * 15 }), 15);
    assert.equal(decide({ heldTokens: 4_500_000 }), 12);
    assert.equal(decide({ rejections: 1 }), 11);
});
