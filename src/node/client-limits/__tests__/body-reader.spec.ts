/** Guards against bodies that occupy more memory than their size, are changed, or make no progress. */
import assert from "node:assert/strict";
import type { IncomingMessage } from "node:http";
import { PassThrough } from "node:stream";
import { test } from "node:test";
import * as fc from "fast-check";
import { BodyError, readBody } from "../body-reader.js";
import type { BodyReaderOptions } from "../body-reader.js";
import { createSegmentPool, SEGMENT_BYTES } from "../segment-pool.js";

const MAXIMUM_BYTES = 300_000;

function createFixture(overrides: Partial<BodyReaderOptions> = {}) {
    const stream = new PassThrough();
    const message = Object.assign(stream, { headers: { "transfer-encoding": "chunked" }, complete: false });
    const held: number[] = [];
    const reader = readBody(message as unknown as IncomingMessage, {
        maximumBytes: MAXIMUM_BYTES,
        pool: createSegmentPool(4),
        onHeld: bytes => held.push(bytes),
        progressMilliseconds: 1000,
        remainingMilliseconds: 60_000,
        ...overrides,
    });
    return { stream, held, reader };
}

async function failureOf(body: Promise<Buffer>): Promise<string> {
    try {
        await body;
    }
    catch (error) {
        assert.ok(error instanceof BodyError);
        return error.failure;
    }
    return assert.fail("the body was read");
}

test("a body in chunks of any sizes is read unchanged and in little more memory than its size", async () => {
    await fc.assert(
        fc.asyncProperty(fc.array(fc.integer({ min: 1, max: 90_000 }), { maxLength: 8 }), async sizes => {
            const total = sizes.reduce((sum, size) => sum + size, 0);
            fc.pre(total <= MAXIMUM_BYTES);
            const { stream, held, reader } = createFixture();
            const chunks = sizes.map((size, index) => Buffer.alloc(size, index + 1));
            chunks.forEach(chunk => stream.write(chunk));
            stream.end();
            assert.ok((await reader.body).equals(Buffer.concat(chunks)));
            assert.ok(Math.max(0, ...held) <= Math.max(total, 4 * 1024) * 4 + SEGMENT_BYTES);
            assert.equal(held.at(-1) ?? 0, total);
        }),
        { numRuns: 100, seed: 1 },
    );
});

test("a body in chunks of one byte occupies few buffers", async () => {
    const { stream, held, reader } = createFixture();
    for (let index = 0; index < 50_000; index += 1) {
        stream.write(Buffer.from("x"));
    }
    stream.end();
    assert.equal((await reader.body).toString(), "x".repeat(50_000));
    assert.ok(held.length <= 8, `${held.length} changes`);
});

test("a body over the limit fails and holds nothing", async () => {
    const { stream, held, reader } = createFixture();
    stream.write(Buffer.alloc(MAXIMUM_BYTES));
    stream.write(Buffer.alloc(1));
    assert.equal(await failureOf(reader.body), "too-large");
    assert.equal(held.at(-1), 0);
});

test("a body that makes less than the minimum progress fails", async context => {
    context.mock.timers.enable({ apis: ["setTimeout", "setInterval"] });
    const { stream, reader } = createFixture();
    const failure = failureOf(reader.body);
    stream.write(Buffer.alloc(2000));
    await new Promise(resolve => setImmediate(resolve));
    context.mock.timers.tick(1000);
    stream.write(Buffer.alloc(100));
    await new Promise(resolve => setImmediate(resolve));
    context.mock.timers.tick(1000);
    assert.equal(await failure, "too-slow");
});

test("a body that is not whole when the request's time is over fails", async context => {
    context.mock.timers.enable({ apis: ["setTimeout", "setInterval"] });
    const { reader } = createFixture({ remainingMilliseconds: 500 });
    const failure = failureOf(reader.body);
    context.mock.timers.tick(500);
    assert.equal(await failure, "too-slow");
});

test("a body that is whole cannot be given up any more", async () => {
    const { stream, reader } = createFixture();
    stream.end("body");
    assert.equal((await reader.body).toString(), "body");
    assert.equal(reader.cancel("shed", "the memory is needed"), false);
});

test("a body whose client closes the connection fails", async () => {
    const { stream, reader } = createFixture();
    stream.write("bo");
    stream.destroy();
    assert.equal(await failureOf(reader.body), "aborted");
});
