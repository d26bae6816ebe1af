/** Guards against requests that wait behind long prompts, reach cold upstreams too often or miss their version. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { chooseRunner, hasColdAllowance } from "../runner-choice.js";
import { recordSend } from "../runner-table.js";
import type { Runner } from "../runner-table.js";
import { createLoadBoard } from "../load-board.js";
import { createSeededRandom } from "../../common/random.js";
import { createContext, createTestRunner, loadsOf } from "./runners.js";

const [first, second, third] = ["a", "b", "c"].map(id => createTestRunner(id)) as [Runner, Runner, Runner];

function idOf(choice: ReturnType<typeof chooseRunner>): string | undefined {
    return choice?.runner.entry.id;
}

test("requests that share a prefix go to one upstream", () => {
    const choices = [1, 2, 3].map(() =>
        idOf(chooseRunner([first, second, third], createContext({ affinityKey: "p", sharedTokens: 5000 }))),
    );
    assert.equal(new Set(choices).size, 1);
});

test("a long prompt in front outweighs the cached prefix", () => {
    const context = createContext({ affinityKey: "p", sharedTokens: 500 });
    const preferred = idOf(chooseRunner([first, second], context))!;
    const busy = loadsOf({ [preferred]: { pendingTokens: 50_000, requests: 1 } });
    assert.notEqual(idOf(chooseRunner([first, second], { ...context, loadOf: busy })), preferred);
});

test("a short queue does not outweigh a long cached prefix", () => {
    const context = createContext({ affinityKey: "p", sharedTokens: 5000 });
    const preferred = idOf(chooseRunner([first, second], context))!;
    const busy = loadsOf({ [preferred]: { pendingTokens: 1000, requests: 3 } });
    assert.equal(idOf(chooseRunner([first, second], { ...context, loadOf: busy })), preferred);
});

test("an engine whose memory would overflow is passed over", () => {
    const loadOf = loadsOf({ a: { heldTokens: 90_000 }, b: { pendingTokens: 20_000, requests: 4 } });
    const context = createContext({ loadOf, neededTokens: 12_000, capacityTokens: 100_000 });
    assert.equal(idOf(chooseRunner([first, second], context)), "b");
});

test("an upstream that fails is avoided while there is another", () => {
    const failing = createTestRunner("a");
    failing.health.recordFailure(10_000);
    failing.health.recordFailure(10_000);
    assert.equal(idOf(chooseRunner([failing, second], createContext())), "b");
    assert.equal(idOf(chooseRunner([failing], createContext())), "a");
});

test("an upstream that two other nodes ejected is avoided", () => {
    const ejections = (count: number) => (runner: Runner) => (runner.entry.id === "a" ? count : 0);
    const loadOf = loadsOf({ b: { requests: 3 } });
    assert.equal(
        idOf(chooseRunner([first, second], createContext({ loadOf, ejectionsOf: ejections(1) }))),
        "a",
    );
    assert.equal(
        idOf(chooseRunner([first, second], createContext({ loadOf, ejectionsOf: ejections(2) }))),
        "b",
    );
    assert.equal(idOf(chooseRunner([first], createContext({ loadOf, ejectionsOf: ejections(2) }))), "a");
});

test("a cold upstream gets no more than its allowance", () => {
    const cold = createTestRunner("a", {}, 20_000);
    const context = createContext({ coldAllowance: () => 2 });
    cold.recentSends.push(9_500, 9_900);
    assert.equal(chooseRunner([cold], context), undefined);
    assert.equal(idOf(chooseRunner([cold], { ...context, now: 10_600 })), "a");
});

test("a session prefers its version and falls back to another", () => {
    const newer = createTestRunner("n", { version: "v2" });
    const context = createContext({ prefersVersion: version => version === "v2" });
    assert.equal(idOf(chooseRunner([first, newer], context)), "n");
    assert.equal(idOf(chooseRunner([first], context)), "a");
});

test("excluded upstreams are not chosen again", () => {
    assert.equal(chooseRunner([first], createContext({ excluded: new Set(["a"]) })), undefined);
});

// Load: 8 nodes, 6 engines, 60 requests a second for 20 s, one prompt in 30 is 50,000 tokens long. An engine
// reads 45 tokens a millisecond. Callers count as served on time when the queue before them is below 1 s.
test("few callers wait behind long prompts", () => {
    const random = createSeededRandom(7);
    const engines = ["a", "b", "c", "d", "e", "f"].map(id => createTestRunner(id));
    const play = (isShared: boolean): number => {
        const boards = Array.from({ length: 8 }, () => createLoadBoard());
        const backlog = new Map(engines.map(engine => [engine.entry.id, 0]));
        const open: { readonly endsAt: number; readonly end: () => void }[] = [];
        let late = 0;
        for (let now = 0; now < 20_000; now += 1000 / 60) {
            open.filter(request => request.endsAt <= now).forEach(request => request.end());
            open.splice(0, open.length, ...open.filter(request => request.endsAt > now));
            for (const [id, tokens] of backlog) {
                backlog.set(id, Math.max(0, tokens - (45 * 1000) / 60));
            }
            const node = Math.floor(random() * boards.length);
            if (isShared) {
                boards.forEach((board, index) => {
                    if (index !== node) {
                        boards[node]!.report(String(index), new Map(board.own()), [], now);
                    }
                });
            }
            const tokens = random() < 1 / 30 ? 50_000 : 1000;
            const choice = chooseRunner(
                engines,
                createContext({
                    now,
                    random,
                    loadOf: runner => boards[node]!.total(runner.entry.id, now),
                }),
            )!;
            const { id } = choice.runner.entry;
            const queue = backlog.get(id)!;
            backlog.set(id, queue + tokens);
            late += queue / 45 > 1000 ? 1 : 0;
            const entry = boards[node]!.begin(id, tokens, tokens);
            open.push({ endsAt: now + (queue + tokens) / 45, end: () => entry.end() });
        }
        return late;
    };
    const alone = play(false);
    const together = play(true);
    assert.ok(together < alone / 2, `late with reports ${together}, without ${alone}`);
});

// Guards against a record of sends that forgets some of the last second when there are many.
test("a limit of many requests a second holds too", () => {
    const runner = createTestRunner("cold");
    let sent = 0;
    for (let now = 0; now < 500; now++) {
        if (hasColdAllowance(runner, now, 100)) {
            recordSend(runner, now);
            sent += 1;
        }
    }
    assert.equal(sent, 100);
    assert.equal(hasColdAllowance(runner, 1050, 100), true, "the first sends are out of the window");
    recordSend(runner, 3000);
    assert.equal(runner.recentSends.length, 1);
});
