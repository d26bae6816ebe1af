/** Guards against waiting requests that do not reach other nodes, and against reports that change without them. */
import assert from "node:assert/strict";
import { createSocket } from "node:dgram";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { systemClock } from "../../common/clock.js";
import { createLifecycle } from "../../lifecycle/lifecycle.js";
import type { WireWaiting } from "../../scarcity/waiting-elsewhere.js";
import { planAggregation } from "../aggregation-plan.js";
import { createLoadBoard } from "../load-board.js";
import { createLoadReports } from "../load-reports.js";
import type { LoadReportOptions } from "../load-reports.js";
import { NO_QUARANTINE } from "./load-report-fleet.js";

const ADDRESSES = ["127.0.0.1", "127.0.0.2"] as const;

const nodeAt = (address: string) => ({ id: address, dataCentre: "patio", address });

async function findFreePort(): Promise<number> {
    const socket = createSocket("udp4");
    await new Promise<void>(resolve => socket.bind(0, ADDRESSES[1], resolve));
    const { port } = socket.address();
    await new Promise<void>(resolve => socket.close(resolve));
    return port;
}

/** Returns the datagrams of a node that has one request in flight, as text. */
async function datagramsOf(waiting: LoadReportOptions["waiting"]): Promise<readonly string[]> {
    const port = await findFreePort();
    const lifecycle = createLifecycle();
    const board = createLoadBoard();
    board.begin("e1", 10, 20);
    createLoadReports({
        node: "n1",
        address: ADDRESSES[0],
        port,
        board,
        ejected: () => [],
        quarantine: NO_QUARANTINE,
        limits: { report: () => undefined, merge: () => undefined },
        brittle: { report: () => undefined, merge: () => undefined },
        isIsolated: () => false,
        peerStates: { record: () => undefined },
        waiting,
        dataCentre: "patio",
        plan: () => planAggregation(nodeAt(ADDRESSES[0]), ADDRESSES.map(nodeAt)),
        clock: systemClock,
        random: () => 0,
        lifecycle,
        logger: { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} },
    });
    const received: string[] = [];
    const socket = createSocket("udp4");
    socket.on("message", message => received.push(message.toString()));
    await new Promise<void>(resolve => socket.bind(port, ADDRESSES[1], resolve));
    await lifecycle.start();
    while (received.length === 0) {
        await delay(20);
    }
    await lifecycle.stop();
    await new Promise<void>(resolve => socket.close(resolve));
    return received;
}

test("a report has the same bytes as before where nothing waits", async () => {
    const usual = '["n1",[["e1",10,1,20]],[]]';
    assert.equal((await datagramsOf(undefined))[0], usual);
    assert.equal(
        (await datagramsOf({ reportWaiting: () => undefined, mergeWaiting: () => undefined }))[0],
        usual,
    );
});

test("a node reads the waiting requests of another one, and their end", async () => {
    const waiting: readonly WireWaiting[] = [["n1", "engines", 0, 2, 7]];
    const [withWaiting] = await datagramsOf({
        reportWaiting: () => waiting,
        mergeWaiting: () => undefined,
    });
    const port = await findFreePort();
    const lifecycle = createLifecycle();
    const merged: unknown[] = [];
    createLoadReports({
        node: "n2",
        address: ADDRESSES[1],
        port,
        board: createLoadBoard(),
        ejected: () => [],
        quarantine: NO_QUARANTINE,
        limits: { report: () => undefined, merge: () => undefined },
        brittle: { report: () => undefined, merge: () => undefined },
        isIsolated: () => false,
        peerStates: { record: () => undefined },
        waiting: {
            reportWaiting: () => undefined,
            mergeWaiting: requests => merged.push(requests),
        },
        dataCentre: "patio",
        plan: () => planAggregation(nodeAt(ADDRESSES[1]), [nodeAt(ADDRESSES[1])]),
        clock: systemClock,
        random: () => 0,
        lifecycle,
        logger: { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} },
    });
    await lifecycle.start();
    const socket = createSocket("udp4");
    const ended: readonly WireWaiting[] = [["n1", "engines", 0, 2, 0]];
    for (const datagram of [withWaiting!, JSON.stringify(["n1", [], [], { waiting: ended }])]) {
        const count = merged.length;
        socket.send(datagram, port, ADDRESSES[1]);
        while (merged.length === count) {
            await delay(10);
        }
    }
    socket.close();
    await lifecycle.stop();
    assert.deepEqual(merged, [waiting, ended]);
});
