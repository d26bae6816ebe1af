/** Guards against logs that grow without limit, block the process or contain only some lines of a request. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { createLineWriter } from "../line-writer.js";
import { createRequestLog } from "../request-log.js";

function createLog(linesPerSecond: number, notableLinesPerSecond: number) {
    const lines: string[] = [];
    let now = 0;
    const log = createRequestLog({
        write: line => lines.push(line),
        clock: { now: () => now, wallTime: () => now },
        linesPerSecond,
        notableLinesPerSecond,
    });
    const logRequest = (id: string, isNotable: boolean): void => {
        const trace = log.begin(id);
        trace.add("requests", "A request arrived.");
        trace.add("requests", "A request ended.");
        trace.end(isNotable);
    };
    const advance = (milliseconds: number): void => {
        now += milliseconds;
    };
    return { lines, logRequest, advance };
}

test("the lines of a request are written together or discarded together", () => {
    const { lines, logRequest } = createLog(3, 0);
    logRequest("a", false);
    logRequest("b", false);
    assert.equal(lines.length, 2);
    assert.ok(lines.every(line => line.includes('"request":"a"')));
});

test("ordinary requests do not displace the lines of failed ones", () => {
    const { lines, logRequest } = createLog(0, 2);
    logRequest("a", false);
    logRequest("b", true);
    assert.ok(lines.length === 2 && lines.every(line => line.includes('"request":"b"')));
});

test("the number of discarded requests is logged in the next second", () => {
    const { lines, logRequest, advance } = createLog(2, 2);
    ["a", "b", "c"].forEach(id => logRequest(id, false));
    advance(1000);
    logRequest("d", false);
    assert.equal(lines.length, 5);
    assert.match(lines[2]!, /"requests":2/);
});

test("lines are discarded and memory stays limited when the reader stalls", async () => {
    const written: string[] = [];
    let resume: (() => void) | undefined;
    const writer = createLineWriter((text, done) => {
        written.push(text);
        resume = () => done();
    });
    const line = "x".repeat(1000);
    writer.write(line);
    await new Promise(resolve => setImmediate(resolve));
    for (let index = 0; index < 1000; index++) {
        writer.write(line);
    }
    assert.ok(writer.discardedLines > 800);
    resume!();
    assert.ok(written[1]!.length < 140_000);
    assert.match(written[1]!, /"message":"Dropped lines\."/);
});

test("later lines are written after a write error", async () => {
    const written: string[] = [];
    const writer = createLineWriter((text, done) => {
        written.push(text);
        done(new Error("closed"));
    });
    writer.write("a");
    await new Promise(resolve => setImmediate(resolve));
    writer.write("b");
    await writer.flush(100);
    assert.deepEqual(written, ["a\n", "b\n"]);
});
