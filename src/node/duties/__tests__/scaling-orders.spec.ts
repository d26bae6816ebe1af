/** Guards against orders that are lost with their holder, and against orders that no row records. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { setImmediate as nextTurn } from "node:timers/promises";
import { silentLogging } from "../../logging/logging.js";
import { createRowReplica } from "../../replica/row-replica.js";
import type { DutyCall } from "../duty-receiver.js";
import type { DeliveryResult } from "../duty-sender.js";
import { createScalingOrders } from "../scaling-orders.js";
import type { ScalingOrders } from "../scaling-orders.js";

const RULE = { minimum: 2, maximum: 9, bootMilliseconds: 2000 };

interface Fixture {
    /** Creates the duty of one node on the shared rows. */
    readonly createHolder: () => ScalingOrders;
    /** Lets a holder sample and act for some seconds. */
    readonly run: (holder: ScalingOrders, token: number, seconds: number) => Promise<void>;
    readonly sent: DutyCall[];
    requests: number;
    result: DeliveryResult;
    isStoreUp: boolean;
}

function createFixture(): Fixture {
    const rows = createRowReplica();
    const sent: DutyCall[] = [];
    let now = 0;
    let revision = 0;
    const fixture: Fixture = {
        sent,
        requests: 0,
        result: "settled",
        isStoreUp: true,
        createHolder: () =>
            createScalingOrders({
                sources: {
                    rules: () => new Map([["desk", RULE]]),
                    upstreams: () =>
                        ["a", "b"].map(id => ({
                            id,
                            service: "desk",
                            address: "127.0.0.1:1",
                            dataCentre: "patio",
                            version: "v1",
                            leaving: false,
                            slots: 10,
                            coldMilliseconds: 0,
                            startedAt: undefined,
                        })),
                    loads: () =>
                        new Map([["a", { pendingTokens: 0, requests: fixture.requests, heldTokens: 0 }]]),
                    engineTokens: () => undefined,
                    isComplete: () => true,
                    situation: () => ({ isShifting: false, isEvacuating: false, isStoreAway: false }),
                },
                sender: {
                    canSend: () => true,
                    send: call => {
                        sent.push(call);
                        return Promise.resolve(fixture.result);
                    },
                    isReceiverAway: () => false,
                },
                replica: rows,
                store: {
                    transact: ({ conditions, writes }) => {
                        if (!fixture.isStoreUp) {
                            return Promise.reject(new Error("away"));
                        }
                        const isMet = conditions.every(
                            ({ key, revision: expected }) => (rows.stored(key)?.revision ?? 0) === expected,
                        );
                        revision += 1;
                        const written = writes.map(({ key, value }) => ({ key, value, revision }));
                        rows.apply({ epoch: 0, revision, complete: false, rows: isMet ? written : [] });
                        return Promise.resolve(isMet);
                    },
                },
                clock: { now: () => now, wallTime: () => now },
                logger: silentLogging("duties"),
            }),
        run: async (holder, token, seconds) => {
            for (const end = now + seconds * 1000; now < end; now += 1000) {
                holder.sample();
                holder.step(token);
                await nextTurn();
                holder.step(token);
                await nextTurn();
            }
        },
    };
    return fixture;
}

const order = (desiredCount: number): DutyCall => ({
    kind: "scaling",
    service: "desk",
    dataCentre: "patio",
    desiredCount,
});

test("an order is written first, and sent once when it is accepted", async () => {
    const fixture = createFixture();
    const holder = fixture.createHolder();
    fixture.requests = 30;
    fixture.isStoreUp = false;
    await fixture.run(holder, 1, 10);
    assert.deepEqual(fixture.sent, []);
    fixture.isStoreUp = true;
    await fixture.run(holder, 1, 10);
    assert.deepEqual(fixture.sent, [order(5)]);
});

test("a new holder sends the order of the former one, whose call may be lost", async () => {
    const fixture = createFixture();
    fixture.requests = 30;
    fixture.result = "later";
    await fixture.run(fixture.createHolder(), 1, 8);
    assert.ok(fixture.sent.length > 0);
    fixture.sent.length = 0;
    fixture.result = "settled";
    await fixture.run(fixture.createHolder(), 2, 1);
    assert.deepEqual(fixture.sent, [order(5)]);
});

test("an accepted order is repeated when its upstreams do not come", async () => {
    const fixture = createFixture();
    const holder = fixture.createHolder();
    fixture.requests = 30;
    await fixture.run(holder, 1, 40);
    assert.equal(fixture.sent.length, 1);
    await fixture.run(holder, 1, 20);
    assert.deepEqual(fixture.sent, [order(5), order(5)]);
});
