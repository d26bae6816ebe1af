/** Guards against calls without a lease, calls that outlive it, and many calls where one is due. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { silentLogging } from "../../logging/logging.js";
import type { DutyHold } from "../duty-lease.js";
import type { DutyAnswer, DutySend } from "../duty-receiver.js";
import { createDutySender } from "../duty-sender.js";
import type { DutySender } from "../duty-sender.js";

interface Fixture {
    readonly sender: DutySender;
    readonly sent: DutySend[];
    now: number;
    hold: DutyHold | undefined;
    answer: DutyAnswer;
}

const REPORT = { kind: "usage", window: 7, counts: { north: 1 } } as const;

function createFixture(): Fixture {
    const sent: DutySend[] = [];
    const fixture: Fixture = {
        sent,
        now: 0,
        hold: { token: 5, until: 4000, since: 0 },
        answer: { kind: "accepted", milliseconds: 3 },
        sender: createDutySender({
            node: "n1",
            hold: () => fixture.hold,
            sendDuty: send => {
                sent.push(send);
                return Promise.resolve(fixture.answer);
            },
            callsPerSecond: 50,
            count: () => undefined,
            clock: { now: () => fixture.now, wallTime: () => fixture.now },
            logger: silentLogging("duties"),
        }),
    };
    return fixture;
}

test("nothing is sent without a lease, nor shortly before its end", () => {
    const fixture = createFixture();
    assert.ok(fixture.sender.canSend("usage"));
    fixture.now = 3700;
    assert.ok(!fixture.sender.canSend("usage"));
    fixture.hold = undefined;
    assert.ok(!fixture.sender.canSend("usage"));
});

test("a call ends before the lease does, and carries no token of another lease", async () => {
    const fixture = createFixture();
    fixture.now = 3000;
    await fixture.sender.send(REPORT);
    const [send] = fixture.sent;
    assert.ok(fixture.now + send!.timeoutMilliseconds < 4000);
    assert.deepEqual(send!.stamp(), { holder: "n1", token: 5 });
    fixture.hold = { token: 9, until: 9000, since: 3500 };
    assert.equal(send!.stamp(), undefined);
});

test("a rejection for load leads to one later call, not before the time that it names", async () => {
    const fixture = createFixture();
    fixture.hold = { token: 5, until: 90_000, since: 0 };
    fixture.answer = { kind: "busy", status: 429, retryAfterSeconds: 2 };
    assert.equal(await fixture.sender.send(REPORT), "later");
    fixture.now = 1900;
    assert.ok(!fixture.sender.canSend("usage"));
    assert.ok(fixture.sender.canSend("scaling"));
    fixture.now = 2100;
    assert.ok(fixture.sender.canSend("usage"));
    fixture.answer = { kind: "accepted", milliseconds: 3 };
    assert.equal(await fixture.sender.send(REPORT), "settled");
    assert.equal(fixture.sent.length, 2);
});

test("a holder that gets no answers leaves the duties to another node for some time", async () => {
    const fixture = createFixture();
    fixture.hold = { token: 5, until: 90_000, since: 0 };
    fixture.answer = { kind: "unknown", reason: "no answer" };
    for (const at of [0, 4000, 8500]) {
        assert.ok(!fixture.sender.isReceiverAway());
        fixture.now = at;
        await fixture.sender.send(REPORT);
    }
    assert.ok(fixture.sender.isReceiverAway());
    fixture.now += 16_000;
    assert.ok(!fixture.sender.isReceiverAway());
});
