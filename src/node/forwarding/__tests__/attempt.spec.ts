/**
 * Plays upstreams in trouble over real sockets: bytes without end, stalled and slow streams, late second
 * copies, and answers that break off at any byte.
 */
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import fc from "fast-check";
import { createChunk, createHead, createRawUpstream, STREAM_HEADERS } from "./raw-upstream.js";

const PIECE = "x".repeat(16 * 1024);

/** Bytes that may wait between the upstream and the router: buffers of both sockets and of one response. */
const BUFFERED_BYTES = 8 * 1024 * 1024;

/** Writes pieces until the connection closes, as fast as the other side reads. Returns the bytes written. */
function writeWithoutEnd(socket: Socket, piece: string): () => number {
    let bytes = 0;
    const write = (): void => {
        while (!socket.destroyed && socket.writable) {
            bytes += piece.length;
            if (!socket.write(piece)) {
                socket.once("drain", () => setImmediate(write));
                return;
            }
        }
    };
    write();
    return () => bytes;
}

async function waitUntilClosed(sockets: ReadonlySet<Socket>, milliseconds: number): Promise<boolean> {
    for (let waited = 0; waited < milliseconds && sockets.size > 0; waited += 20) {
        await delay(20);
    }
    return sockets.size === 0;
}

const ENDLESS_HEADS: Readonly<Record<string, (socket: Socket, attemptId: string) => () => number>> = {
    "a status line": socket => {
        socket.write("HTTP/1.1 200 ");
        return writeWithoutEnd(socket, PIECE);
    },
    "a header line": socket => {
        socket.write("HTTP/1.1 200 x\r\nname: ");
        return writeWithoutEnd(socket, PIECE);
    },
    "header lines": socket => {
        socket.write("HTTP/1.1 200 x\r\n");
        return writeWithoutEnd(socket, "name: value\r\n".repeat(100));
    },
    "informational heads": socket => writeWithoutEnd(socket, "HTTP/1.1 103 x\r\na: b\r\n\r\n".repeat(100)),
    "empty lines": socket => writeWithoutEnd(socket, "\r\n".repeat(1000)),
};

for (const [name, respond] of Object.entries(ENDLESS_HEADS)) {
    test(`${name} without end are no answer, also without a time limit for the head`, async context => {
        let written = (): number => 0;
        const upstream = await createRawUpstream(context, (socket, attemptId) => {
            written = respond(socket, attemptId);
        });
        const { result, caller } = await upstream.send("a", { headMilliseconds: undefined });
        assert.equal(result.kind, "lost");
        assert.equal(caller.complete, false);
        assert.ok(await waitUntilClosed(upstream.openSockets, 1000));
        assert.ok(written() < BUFFERED_BYTES, `${written()} bytes`);
    });
}

for (const status of [400, 429, 500, 503]) {
    test(`the body of a ${status} without end neither fills the memory nor reaches the caller as whole`, async context => {
        const upstream = await createRawUpstream(context, (socket, attemptId) => {
            socket.write(createHead(status, attemptId));
            writeWithoutEnd(socket, PIECE);
        });
        const before = process.memoryUsage().rss;
        const { result, caller } = await upstream.send("a", { remainingMilliseconds: 1500 });
        assert.ok(result.kind === "lost" || result.kind === "ended", result.kind);
        assert.equal(caller.complete, false);
        assert.ok(await waitUntilClosed(upstream.openSockets, 1000));
        const grownMegabytes = (process.memoryUsage().rss - before) / 2 ** 20;
        assert.ok(grownMegabytes < 64, `${grownMegabytes} MB`);
    });
}

test("the body of a not-run answer without end is not read to its end", async context => {
    let written = (): number => 0;
    const upstream = await createRawUpstream(context, (socket, attemptId) => {
        socket.write(createHead(503, attemptId, ["not-run: 1"]));
        written = writeWithoutEnd(socket, PIECE);
    });
    const { result } = await upstream.send("a");
    assert.equal(result.kind, "not-run");
    assert.ok(await waitUntilClosed(upstream.openSockets, 2000));
    assert.ok(written() < BUFFERED_BYTES, `${written()} bytes`);
});

test("the body of a not-run answer that stalls does not keep its connection open", async context => {
    const upstream = await createRawUpstream(context, (socket, attemptId) => {
        socket.write(createHead(503, attemptId, ["not-run: 1", "content-length: 100"]));
        socket.write("x");
    });
    assert.equal((await upstream.send("a")).result.kind, "not-run");
    assert.ok(await waitUntilClosed(upstream.openSockets, 2000));
});

test("the connection of a short not-run answer is used again", async context => {
    const upstream = await createRawUpstream(context, (socket, attemptId) => {
        socket.write(createHead(503, attemptId, ["not-run: 1", "content-length: 4"]));
        socket.write("full");
    });
    for (let index = 0; index < 4; index += 1) {
        assert.equal((await upstream.send(`a${index}`)).result.kind, "not-run");
        await delay(20);
    }
    assert.equal(upstream.connectionCount(), 1);
});

test("bytes without end after a complete answer close the connection", async context => {
    let written = (): number => 0;
    const upstream = await createRawUpstream(context, (socket, attemptId) => {
        socket.write(`${createHead(200, attemptId, ["content-length: 2"])}ok`);
        setTimeout(() => {
            written = writeWithoutEnd(socket, PIECE);
        }, 20);
    });
    const { result, caller } = await upstream.send("a");
    assert.deepEqual([result.kind, caller.body], ["delivered", "ok"]);
    assert.ok(await waitUntilClosed(upstream.openSockets, 1000));
    assert.ok(written() < BUFFERED_BYTES, `${written()} bytes`);
});

test("a success without end reaches the caller as it arrives and ends at its deadline", async context => {
    const upstream = await createRawUpstream(context, (socket, attemptId) => {
        socket.write(createHead(200, attemptId, ["transfer-encoding: chunked"]));
        writeWithoutEnd(socket, createChunk(PIECE));
    });
    const { result, caller } = await upstream.send("a", { remainingMilliseconds: 700 });
    assert.equal(result.kind, "ended");
    assert.equal(caller.complete, false);
});

test("a large client error reaches the caller whole", async context => {
    const body = "x".repeat(600 * 1024);
    const upstream = await createRawUpstream(context, (socket, attemptId) => {
        socket.write(createHead(404, attemptId, [`content-length: ${body.length}`]) + body);
    });
    const { result, caller } = await upstream.send("a");
    assert.equal(result.kind, "delivered");
    assert.deepEqual([caller.status, caller.body.length, caller.complete], [404, body.length, true]);
});

const STALLS: Readonly<Record<string, string>> = {
    "comment lines": ": still here\n\n",
    "comment bytes": ":",
    "bytes of an unfinished event": "d",
    "empty lines": "\n",
};

for (const [name, text] of Object.entries(STALLS)) {
    test(`a stream that sends only ${name} counts as stalled where another upstream may go on`, async context => {
        const upstream = await createRawUpstream(context, (socket, attemptId) => {
            socket.write(createHead(200, attemptId, STREAM_HEADERS));
            socket.write(createChunk("id: 1\ndata: a\n\n"));
            const timer = setInterval(() => socket.write(createChunk(text)), 50);
            socket.once("close", () => clearInterval(timer));
        });
        const { result, caller } = await upstream.send("a", { gapMilliseconds: 300 });
        assert.equal(result.kind, "lost");
        assert.equal(caller.complete, false);
        assert.equal(caller.body.includes("id: 1"), true);
    });
}

test("a stream whose events arrive within the gap is not cut, in any pieces", async context => {
    const upstream = await createRawUpstream(context, (socket, attemptId) => {
        void (async () => {
            socket.write(createHead(200, attemptId, STREAM_HEADERS));
            for (let index = 1; index <= 6; index += 1) {
                socket.write(createChunk(`id: ${index}\nda`));
                await delay(100);
                socket.write(createChunk(`ta: ${index}\n\n`));
                await delay(150);
            }
            socket.write("0\r\n\r\n");
        })();
    });
    const { result, caller } = await upstream.send("a", { gapMilliseconds: 400 });
    assert.equal(result.kind, "delivered");
    assert.equal(caller.body.match(/id: /g)?.length, 6);
    assert.ok(caller.complete);
});

test("the last attempt of a slow stream is not cut by a pause", async context => {
    const upstream = await createRawUpstream(context, (socket, attemptId) => {
        void (async () => {
            socket.write(createHead(200, attemptId, STREAM_HEADERS));
            socket.write(createChunk("id: 1\ndata: a\n\n"));
            await delay(1500);
            socket.write(`${createChunk("id: 2\ndata: b\n\n")}0\r\n\r\n`);
        })();
    });
    const { result, caller } = await upstream.send("a", { gapMilliseconds: undefined });
    assert.equal(result.kind, "delivered");
    assert.ok(caller.complete);
});

/** Where a second copy of an answer arrives on the connection of the first. */
const COPY_DELAYS: readonly (number | "with the next request")[] = [0, 1, 5, 20, "with the next request"];

for (const status of [200, 404, 500, 503]) {
    for (const copyDelay of COPY_DELAYS) {
        for (const naming of ["named", "unnamed"] as const) {
            test(`a second copy, ${status}, ${naming}, ${copyDelay}, answers no other request`, async context => {
                const createCopy = (attemptId: string): string => {
                    const headers = ["content-length: 3", ...(status === 503 ? ["not-run: 1"] : [])];
                    const head = createHead(status, attemptId, headers);
                    return `${naming === "named" ? head : head.replace(/attempt: .*\r\n/, "")}old`;
                };
                let first = true;
                const upstream = await createRawUpstream(context, (socket, attemptId) => {
                    const answer = `${createHead(200, attemptId, ["content-length: 2"])}ok`;
                    if (!first) {
                        socket.write(
                            copyDelay === "with the next request" ? createCopy("a") + answer : answer,
                        );
                        return;
                    }
                    first = false;
                    socket.write(answer);
                    if (copyDelay === 0) {
                        socket.write(createCopy(attemptId));
                    }
                    else if (typeof copyDelay === "number") {
                        setTimeout(() => socket.write(createCopy(attemptId)), copyDelay);
                    }
                });
                const { caller } = await upstream.send("a");
                assert.equal(caller.body, "ok");
                for (const attemptId of ["b", "c"]) {
                    const { result, caller: next } = await upstream.send(attemptId);
                    assert.notEqual(next.body, "old");
                    assert.ok(result.kind === "lost" || next.body === "ok", result.kind);
                }
            });
        }
    }
}

interface Answer {
    readonly head: string;
    readonly body: string;
}

const ANSWERS: Readonly<Record<string, (attemptId: string) => Answer>> = {
    "an answer with a length": attemptId => ({
        head: createHead(200, attemptId, ["content-length: 9"]),
        body: "the whole",
    }),
    "a chunked answer": attemptId => ({
        head: createHead(200, attemptId, ["transfer-encoding: chunked", "trailer: t"]),
        body: `${createChunk("the ")}${createChunk("whole")}0\r\nt: 1\r\n\r\n`,
    }),
    "a chunked answer on a closing connection": attemptId => ({
        head: createHead(200, attemptId, ["transfer-encoding: chunked", "connection: close"]),
        body: `${createChunk("the ")}${createChunk("whole")}0\r\n\r\n`,
    }),
    "a stream": attemptId => ({
        head: createHead(200, attemptId, STREAM_HEADERS),
        body: `${createChunk("id: 1\ndata: a\n\n")}${createChunk("id: 2\ndata: b\n\n")}0\r\n\r\n`,
    }),
    "a stream on a closing connection": attemptId => ({
        head: createHead(200, attemptId, [...STREAM_HEADERS, "connection: close"]),
        body: `${createChunk("id: 1\ndata: a\n\n")}${createChunk("id: 2\ndata: b\n\n")}0\r\n\r\n`,
    }),
    "a large chunked answer": attemptId => ({
        head: createHead(200, attemptId, ["transfer-encoding: chunked"]),
        body: `${createChunk("x".repeat(300 * 1024))}0\r\n\r\n`,
    }),
    "a large answer with a length on a closing connection": attemptId => ({
        head: createHead(200, attemptId, [`content-length: ${300 * 1024}`, "connection: close"]),
        body: "x".repeat(300 * 1024),
    }),
};

for (const [name, createAnswer] of Object.entries(ANSWERS)) {
    test(`${name} that breaks off at any byte never looks complete`, async context => {
        let count = 0;
        let cut: { readonly at: number; readonly how: "close" | "reset" } = { at: 0, how: "close" };
        const upstream = await createRawUpstream(context, (socket, attemptId) => {
            const { head, body } = createAnswer(attemptId);
            socket.write((head + body).slice(0, cut.at), () => {
                if (cut.how === "close") {
                    socket.end();
                }
                else {
                    setTimeout(() => socket.resetAndDestroy(), 2);
                }
            });
        });
        // Most breaks lie near the ends of the answer, where its framing is.
        const wholeLength = createAnswer("a000").head.length + createAnswer("a000").body.length;
        const position = fc.oneof(
            fc.integer({ min: 0, max: Math.min(300, wholeLength - 1) }),
            fc.integer({ min: Math.max(0, wholeLength - 40), max: wholeLength - 1 }),
        );
        await fc.assert(
            fc.asyncProperty(
                position,
                fc.constantFrom("close" as const, "reset" as const),
                async (at, how) => {
                    cut = { at, how };
                    count += 1;
                    const { caller } = await upstream.send(`a${String(count).padStart(3, "0")}`, {
                        remainingMilliseconds: 1500,
                    });
                    assert.ok(!caller.complete, `complete after ${at} of ${wholeLength} bytes, ${how}`);
                },
            ),
            { numRuns: 60, endOnFailure: true },
        );
    });
}

for (const [name, body] of [
    ["before its first event", ""],
    ["inside its first event", "id: 1\nda"],
    ["inside a later event", "id: 1\ndata: x\n\nid: 2\nda"],
] as const) {
    test(`a stream without a length that ends ${name} reaches no caller as complete`, async context => {
        const upstream = await createRawUpstream(context, (socket, attemptId) => {
            socket.end(createHead(200, attemptId, ["content-type: text/event-stream"]) + body);
        });
        const { result, caller } = await upstream.send("a", { mayRetryUnframed: () => false });
        assert.equal(result.kind, "lost");
        assert.equal(caller.complete, false);
    });
}

test("a stream without a length that ends after an event is complete", async context => {
    const upstream = await createRawUpstream(context, (socket, attemptId) => {
        socket.end(`${createHead(200, attemptId, ["content-type: text/event-stream"])}id: 1\ndata: x\n\n`);
    });
    const { result, caller } = await upstream.send("a", { mayRetryUnframed: () => false });
    assert.deepEqual([result.kind, caller.complete], ["delivered", true]);
});
