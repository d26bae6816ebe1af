/** Guards against two holders that act alternately, and against tokens that go back. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { applyWriteAnswer, holdOf, initialDutyLease, stepLease } from "../duty-lease.js";
import type { DutyLeaseState, LeaseView } from "../duty-lease.js";
import { wantsLease } from "../contenders.js";
import { findDutyViolations, simulateDuties } from "./duty-simulation.js";

const SEQUENCES = 10_000;

test(`holders never alternate and tokens never go back in ${SEQUENCES} sequences of faults`, () => {
    let acting = 0;
    let storeCalls = 0;
    let milliseconds = 0;
    for (let seed = 1; seed <= SEQUENCES; seed += 1) {
        const result = simulateDuties(seed);
        assert.deepEqual(findDutyViolations(result.calls), [], `seed ${seed}`);
        acting += new Set(result.calls.map(({ token }) => token)).size;
        storeCalls += result.storeCalls;
        milliseconds += result.milliseconds;
    }
    // The simulation must change holders, or it would prove nothing.
    assert.ok(acting > SEQUENCES, `${acting} holders acted`);
    assert.ok((storeCalls / milliseconds) * 1000 < 1, `${storeCalls} calls in ${milliseconds} ms`);
});

const SETTINGS = { separationMilliseconds: 3000, thawSlackMilliseconds: 300, isFencingEnforced: false };

function acquire(view: LeaseView, holder: string, startAt: number): { state: DutyLeaseState; at: number } {
    let state = initialDutyLease({ ...SETTINGS, holder });
    for (let at = startAt; ; at += 100) {
        const step = stepLease(state, view, true, { now: at, wall: at });
        state = step.state;
        if (step.write !== undefined) {
            return { state: applyWriteAnswer(state, step.write, "applied", at), at };
        }
    }
}

// A restored store lists an old holder with an old token; the lost one was given out in the meantime.
test("the token of a later epoch exceeds every token of an earlier one", () => {
    const value = JSON.stringify({ holder: "", fencing: "7", durationMilliseconds: 5000 });
    const earlier = acquire({ epoch: 2, row: { key: "lease/duties", revision: 9, value } }, "a", 0);
    const later = acquire({ epoch: 3, row: { key: "lease/duties", revision: 4, value } }, "b", 0);
    const tokenOf = ({ state }: typeof earlier): number => Number(state.lease.held!.fencing);
    assert.ok(tokenOf(later) > tokenOf(earlier) + 1_000_000);
});

// The store may have lost the row of a holder that goes on until its lease ends.
test("after a restore, a new holder waits until a lost holder has stopped", () => {
    const value = JSON.stringify({ holder: "", fencing: "7", durationMilliseconds: 5000 });
    const { state, at } = acquire(
        { epoch: 1, row: { key: "lease/duties", revision: 9, value } },
        "a",
        60_000,
    );
    assert.equal(at, 60_000);
    assert.ok(state.actFrom.at >= at + 4000 + SETTINGS.separationMilliseconds);
});

// The monotonic clock of a suspended machine stands still, so the lease looks fresh after the thaw.
test("a holder whose clocks disagree does not act", () => {
    const { state, at } = acquire({ epoch: 0, row: undefined }, "a", 0);
    const held = { ...state, actFrom: { fencing: state.lease.held!.fencing, at: 0 } };
    assert.notEqual(holdOf(held, { now: at + 1000, wall: at + 1000 }), undefined);
    assert.equal(holdOf(held, { now: at + 1000, wall: at + 4000 }), undefined);
    assert.equal(holdOf(held, { now: at + 1000, wall: at - 4000 }), undefined);
});

test("only the first live nodes contend, and a holder keeps the lease", () => {
    const liveNodes = Array.from({ length: 50 }, (_, index) => `n${index}`);
    const common = {
        liveNodes,
        vacantMilliseconds: 0,
        isStopping: false,
        isStoreAway: false,
        isReceiverAway: false,
    };
    const contenders = liveNodes.filter(node => wantsLease({ ...common, node, isHolding: false }));
    assert.equal(contenders.length, 3);
    // The first ones may be dead without anybody knowing.
    const later = { ...common, vacantMilliseconds: 4500 };
    assert.equal(liveNodes.filter(node => wantsLease({ ...later, node, isHolding: false })).length, 9);
    assert.ok(liveNodes.every(node => wantsLease({ ...common, node, isHolding: true })));
    assert.ok(!wantsLease({ ...common, node: contenders[0]!, isHolding: true, isReceiverAway: true }));
});
