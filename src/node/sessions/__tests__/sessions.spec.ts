import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { createSessionTokens, decideSession } from "../sessions.js";
import type { RolloutStep } from "../sessions.js";

const IDLE_MILLISECONDS = 1000;

test("a sealed token is valid at every node, but not with another key or after the idle time", () => {
    const content = { workspace: "tambores", model: "large", version: "v2", issuedAt: 5000 };
    const token = createSessionTokens("key", IDLE_MILLISECONDS).seal(content);
    assert.deepEqual(createSessionTokens("key", IDLE_MILLISECONDS).open(token, 5500), content);
    assert.equal(createSessionTokens("other", IDLE_MILLISECONDS).open(token, 5500), undefined);
    assert.equal(
        createSessionTokens("key", IDLE_MILLISECONDS).open(token, 5000 + IDLE_MILLISECONDS + 1),
        undefined,
    );
});

// Guards against a forged token that moves a session to a version of the caller's choice.
test("a changed or arbitrary token is not accepted", () => {
    const tokens = createSessionTokens("key", IDLE_MILLISECONDS);
    const token = tokens.seal({ workspace: "a", model: "m", version: "v", issuedAt: 0 });
    fc.assert(
        fc.property(fc.nat(token.length - 1), fc.constantFrom("A", "B", ".", "é"), (index, character) => {
            const changed = token.slice(0, index) + character + token.slice(index + 1);
            assert.equal(tokens.open(changed, 0) === undefined, changed !== token);
        }),
    );
    fc.assert(fc.property(fc.string(), text => assert.equal(tokens.open(text, 0), undefined)));
});

const stepsArbitrary = fc
    .array(fc.tuple(fc.double({ min: 0.01, max: 1, noNaN: true }), fc.nat(5000)), {
        minLength: 1,
        maxLength: 5,
    })
    .map(steps => {
        const shares = steps.map(([share]) => share).sort((a, b) => a - b);
        const times = steps.map(([, openedAt]) => openedAt).sort((a, b) => a - b);
        return shares.map((share, index): RolloutStep => ({ share, openedAt: times[index]! }));
    });

// Guards against a rollout step that moves a session in use to another version, for any times of the steps
// and of the requests.
test("no rollout step changes the version of a session in use", () => {
    fc.assert(
        fc.property(
            stepsArbitrary,
            fc.double({ min: 0, max: 0.999, noNaN: true }),
            fc.nat(6000),
            fc.array(fc.integer({ min: 1, max: IDLE_MILLISECONDS - 1 }), { maxLength: 12 }),
            (steps, point, start, gaps) => {
                let pinned: string | undefined;
                let version: string | undefined;
                let time = start;
                for (const gap of [0, ...gaps]) {
                    time += gap;
                    const openedSteps = steps.filter(step => step.openedAt <= time);
                    const decision = decideSession(point, openedSteps, IDLE_MILLISECONDS, time);
                    let chosen: string;
                    if (decision.kind === "decided") {
                        chosen = decision.version;
                    }
                    else if (decision.kind === "pin-baseline") {
                        pinned = "baseline";
                        chosen = "baseline";
                    }
                    else {
                        chosen = pinned ?? "ramping";
                    }
                    assert.equal(chosen, version ?? chosen);
                    version = chosen;
                }
            },
        ),
    );
});
