/** Guards against requests that fail or streams that are cut because another node died with them (LOST). */
import assert from "node:assert/strict";
import type { IncomingHttpHeaders } from "node:http";
import type { Socket } from "node:net";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { resetConnection } from "../../common/reset-connection.js";
import type { ProbeResult } from "../../handover/reachability.js";
import type { Route } from "../../routes/entities.js";
import type { Handover } from "../request-forwarder.js";
import { createForwarderFixture } from "./forwarder-fixture.js";
import type { ForwarderFixture, RespondToAttempt } from "./forwarder-fixture.js";

const CHUNKED = "transfer-encoding: chunked\r\n";
const STREAM = `content-type: text/event-stream\r\n${CHUNKED}`;

interface IsolatedForwarder extends ForwarderFixture {
    /** Values of the header that tells a helper how many attempts it may make, in order. */
    readonly granted: readonly (string | undefined)[];
    /** Ids of the helpers, in order of the requests that were handed over. */
    readonly helpers: readonly string[];
    regainPath(): void;
}

/** Creates a forwarder without a path to its upstreams and with other nodes that take its requests. */
async function createIsolatedForwarder(
    context: TestContext,
    helperCount: number,
    canConsume = true,
    probed: ProbeResult = "connected",
): Promise<IsolatedForwarder> {
    const helpers: string[] = [];
    const granted: (string | undefined)[] = [];
    let isIsolated = true;
    const fixture = await createForwarderFixture(context, defaults => {
        const { address } = defaults.upstreamsOf("engines")[0]!.entry;
        const handover: Handover = {
            isNeeded: () => isIsolated,
            chooseHelper: excluded => {
                const id = Array.from({ length: helperCount }, (_, index) => `n${index}`).find(
                    candidate => !excluded.has(candidate),
                );
                return id === undefined ? undefined : { id, address };
            },
            onHandover: () => undefined,
        };
        return {
            handover,
            probe: () => Promise.resolve(probed),
            retryBudget: { ...defaults.retryBudget, tryConsume: () => canConsume },
            codec: {
                ...defaults.codec,
                encodeHandover: (headers: IncomingHttpHeaders, _milliseconds, lastEventId) => ({
                    attempt: headers["attempt"] as string,
                    ...(lastEventId === undefined ? {} : { "last-event-id": lastEventId }),
                }),
            },
        };
    });
    return {
        send: (route, respond, ...rest) =>
            fixture.send(
                route,
                (socket, attempt, head, lastEventId, request) => {
                    helpers.push(`n${attempt}`);
                    granted.push(/\nrouter-attempts: (\d+)/.exec(request ?? "")?.[1]);
                    return respond(socket, attempt, head, lastEventId, request);
                },
                ...rest,
            ),
        helpers,
        granted,
        regainPath: () => {
            isIsolated = false;
        },
    };
}

function chunk(text: string): string {
    return `${text.length.toString(16)}\r\n${text}\r\n`;
}

const LAST_CHUNK = "0\r\n\r\n";

function answerWhole(socket: Socket, head: string): void {
    socket.write(`${head}content-length: 5\r\n\r\nwhole`);
}

/** Closes or resets the connection of the first attempt, and answers the others. */
const losesFirst =
    (lose: (socket: Socket) => void): RespondToAttempt =>
    (socket, attempt, head) =>
        attempt === 0 ? lose(socket) : answerWhole(socket, head);

const ENDS: Readonly<Record<string, (socket: Socket) => void>> = {
    closed: socket => socket.end(),
    reset: resetConnection,
};

for (const [name, lose] of Object.entries(ENDS)) {
    test(`an idempotent request whose helper died (connection ${name}) is sent to another helper`, async context => {
        const { send, granted } = await createIsolatedForwarder(context, 2);
        const answer = await send({ kind: "idempotent" }, losesFirst(lose));
        assert.deepEqual([answer.status, answer.body, answer.end], [200, "whole", "framed"]);
        assert.deepEqual(granted, ["2", "1"], "together more than the attempts of the route");
    });
}

test("a non-idempotent request whose helper died is not sent again", async context => {
    const { send, granted } = await createIsolatedForwarder(context, 2);
    const answer = await send({ kind: "once" }, losesFirst(resetConnection));
    assert.equal(answer.status, 502);
    assert.equal(granted.length, 1);
});

test("a request that its helper may have run as often as allowed is not sent again", async context => {
    const { send, granted } = await createIsolatedForwarder(context, 2);
    const answer = await send({ kind: "idempotent", maximumAttempts: 2 }, losesFirst(resetConnection));
    assert.equal(answer.status, 502);
    assert.deepEqual(granted, ["2"]);
});

test("a request whose helper died is not sent again beyond the retry budget", async context => {
    const { send, granted } = await createIsolatedForwarder(context, 2, false);
    const answer = await send({ kind: "idempotent" }, losesFirst(resetConnection));
    assert.equal(answer.status, 502);
    assert.equal(granted.length, 1);
});

test("a resumable stream whose helper died goes on after its last event", async context => {
    const { send } = await createIsolatedForwarder(context, 2);
    const answer = await send({}, (socket, attempt, head, lastEventId) => {
        if (attempt === 0) {
            socket.write(`${head}${STREAM}\r\n${chunk("id: 1\ndata: a\n\n")}${chunk("id: 2\n")}`);
            setTimeout(() => socket.end(), 20);
            return;
        }
        assert.equal(lastEventId, 1);
        socket.write(`${head}${STREAM}\r\n${chunk("id: 2\ndata: b\n\n")}${LAST_CHUNK}`);
    });
    assert.deepEqual([answer.body, answer.end], ["id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "framed"]);
});

test("a request whose helper died goes to an upstream if the node has its path again", async context => {
    const { send, granted, regainPath } = await createIsolatedForwarder(context, 2);
    const answer = await send({ kind: "idempotent" }, (socket, attempt, head) => {
        if (attempt === 0) {
            regainPath();
            resetConnection(socket);
            return;
        }
        answerWhole(socket, head);
    });
    assert.deepEqual([answer.status, answer.body], [200, "whole"]);
    assert.deepEqual(granted, ["2", undefined]);
});

test("a request that may have run is not answered as rejected by a second helper", async context => {
    const { send } = await createIsolatedForwarder(context, 2);
    const answer = await send({ kind: "idempotent" }, (socket, attempt, head) => {
        if (attempt === 0) {
            resetConnection(socket);
            return;
        }
        const refused = head.replace("200 x", "503 x");
        socket.write(`${refused}router-response: 1\r\ncontent-length: 0\r\n\r\n`);
    });
    assert.equal(answer.status, 502);
});

test("a request that failed at a helper uses the attempt that was kept back", async context => {
    const { send, granted } = await createIsolatedForwarder(context, 2);
    const answer = await send({ kind: "idempotent" }, (socket, attempt, head) => {
        if (attempt === 0) {
            socket.write(`${head.replace("200 x", "500 x")}content-length: 0\r\n\r\n`);
            return;
        }
        answerWhole(socket, head);
    });
    assert.deepEqual([answer.status, answer.body], [200, "whole"]);
    assert.deepEqual(granted, ["2", "1"]);
});

test("the only helper of a node may make all attempts of the route", async context => {
    const { send, granted } = await createIsolatedForwarder(context, 1);
    const answer = await send({ kind: "idempotent" }, losesFirst(resetConnection));
    assert.equal(answer.status, 502);
    assert.deepEqual(granted, ["3"]);
});

test("an idempotent request whose helper hangs is sent to another helper in time", async context => {
    const { send, granted } = await createIsolatedForwarder(context, 2);
    const startedAt = Date.now();
    const answer = await send(
        { kind: "idempotent", targetLatencyMilliseconds: 100 },
        losesFirst(() => undefined),
    );
    assert.deepEqual([answer.status, answer.body], [200, "whole"]);
    assert.deepEqual(granted, ["2", "1"]);
    assert.ok(Date.now() - startedAt < 1500);
});

test("a stream whose helper hangs after an event goes on at another helper", async context => {
    const { send } = await createIsolatedForwarder(context, 2);
    const answer = await send(
        { targetLatencyMilliseconds: 100, targetGapMilliseconds: 100 },
        (socket, attempt, head) => {
            const event = attempt === 0 ? "id: 1\ndata: a\n\n" : "id: 2\ndata: b\n\n";
            const end = attempt === 0 ? "" : LAST_CHUNK;
            socket.write(`${head}${STREAM}\r\n${chunk(event)}${end}`);
        },
    );
    assert.deepEqual([answer.body, answer.end], ["id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "framed"]);
});

test("a request that its helper decided not to repeat is not repeated", async context => {
    const { send, granted } = await createIsolatedForwarder(context, 2);
    const answer = await send({ kind: "idempotent" }, (socket, _attempt, head) => {
        const failed = head.replace("200 x", "502 x");
        socket.write(`${failed}router-response: 1\r\ncontent-length: 0\r\n\r\n`);
    });
    assert.equal(answer.status, 502);
    assert.deepEqual(granted, ["2"]);
});

// A helper of the previous version sends streams as their upstreams did.
test("a stream without framing of a helper that died goes on at another one", async context => {
    const { send } = await createIsolatedForwarder(context, 2, true, "refused");
    const answer = await send({}, (socket, attempt, head, lastEventId) => {
        if (attempt === 0) {
            socket.write(`${head}content-type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n`);
            setTimeout(() => socket.end(), 20);
            return;
        }
        assert.equal(lastEventId, 1);
        socket.write(`${head}${STREAM}\r\n${chunk("id: 2\ndata: b\n\n")}${LAST_CHUNK}`);
    });
    assert.deepEqual([answer.body, answer.end], ["id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "framed"]);
});

const CONNECTIONS: readonly (readonly [string, Partial<Route>, number])[] = [
    ["streams that may not be resumed", { kind: "stream", resumable: false }, 2],
    ["streams that may be resumed", { kind: "stream", resumable: true }, 1],
];

for (const [name, route, connections] of CONNECTIONS) {
    test(`two ${name} are handed over on ${connections} connections, apart from late copies`, async context => {
        const { send } = await createIsolatedForwarder(context, 1);
        const sockets = new Set<Socket>();
        for (let index = 0; index < 2; index += 1) {
            const answer = await send(route, (socket, _attempt, head) => {
                sockets.add(socket);
                answerWhole(socket, head);
            });
            assert.equal(answer.status, 200);
        }
        assert.equal(sockets.size, connections);
    });
}
