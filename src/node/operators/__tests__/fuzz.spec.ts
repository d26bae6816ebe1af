import assert from "node:assert/strict";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { connect } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, test } from "node:test";
import type { TestContext } from "node:test";
import fc from "fast-check";
import { applyTicket } from "../../configuration/snapshot.js";
import { SettingsError, resolveConfig } from "../../settings/settings.js";
import { settingsSchema } from "../../settings/schema.js";
import { parseTicket } from "../tickets.js";
import { FIRST_TICKET, OPERATOR_KEY, createFakeConfiguration, startFakeNode } from "./fake-node.js";

/** Set FUZZ_SEED to a printed seed to reproduce a run. */
const seed = Number(process.env.FUZZ_SEED ?? Date.now() % 2 ** 31);

/** Time without data after which a connection counts as hanging. */
const HANG_TIMEOUT_MILLISECONDS = 5000;

const directory = mkdtempSync(join(tmpdir(), "geraniumbarrow-"));
after(() => rmSync(directory, { recursive: true }));

function parameters(context: TestContext, numRuns: number) {
    context.diagnostic(`seed=${seed}`);
    return { seed, numRuns };
}

const names = fc.constantFrom("a", "patio", "__proto__", "constructor", "toString", "", "x/y", "ü");

/** Almost valid tickets, with arbitrary JSON in any place. */
const tickets = fc.record(
    {
        number: fc.oneof(fc.integer(), fc.constant(2 ** 53), fc.jsonValue()),
        changes: fc.oneof(
            fc.jsonValue(),
            fc.array(
                fc.oneof(
                    fc.constantFrom(...FIRST_TICKET.changes),
                    fc.record(
                        {
                            kind: fc.oneof(
                                fc.constantFrom("workspace", "model", "dataCentre", "rollout", "__proto__"),
                                fc.jsonValue(),
                            ),
                            name: fc.oneof(names, fc.jsonValue()),
                            state: fc.jsonValue(),
                        },
                        { requiredKeys: [] },
                    ),
                ),
                { maxLength: 4 },
            ),
        ),
        extra: fc.jsonValue(),
    },
    { requiredKeys: ["number", "changes"] },
);

// Guards against tickets that make the parser throw, or that it accepts although they cannot be applied.
// Every node applies every accepted ticket, so that such a ticket would stop all nodes.
test("fuzzed tickets are rejected with problems or can be applied", context => {
    const { capabilities } = createFakeConfiguration();
    fc.assert(
        fc.property(tickets, value => {
            const parsed = parseTicket(value);
            if (parsed.kind === "problems") {
                assert.ok(parsed.problems.length > 0 && parsed.problems.every(problem => problem !== ""));
                return;
            }
            const snapshot = applyTicket(capabilities.configuration!(), {
                revision: 1,
                ticket: parsed.ticket,
            });
            assert.equal(snapshot.revision, 1);
        }),
        parameters(context, 3000),
    );
});

// Guards against settings files that end the start with a stack trace instead of a list of problems.
test("fuzzed settings resolve or are rejected with problems", context => {
    const file = join(directory, "key");
    writeFileSync(file, "0123456789");
    const sections = fc.oneof(
        fc.constantFrom(...Object.keys(settingsSchema.shape), "__proto__"),
        fc.string(),
    );
    const keys = fc.oneof(
        fc.constantFrom("id", "port", "address", "keyHashesFile", "seeds", "level", "__proto__", "a[]"),
        fc.string(),
    );
    const values = fc.oneof(
        fc.string(),
        fc.integer().map(String),
        fc.constantFrom(file, "true", "null", "[]"),
    );
    const line = fc.oneof(
        sections.map(section => `[${section}]`),
        fc.tuple(keys, values).map(([key, value]) => `${key} = ${value}`),
        fc.string(),
    );
    const valid = [
        ...["[node]", "id = a", "dataCentre = b", "region = c", "[callers]", "port = 1"],
        ...["[operators]", "port = 2", `keyHashesFile = ${file}`],
        ...["[peers]", "port = 3", `sharedKeyFile = ${file}`, "[sessions]", `sealingKeyFile = ${file}`],
        ...["[platform]", "tableService = http://a", "objectStore = http://a"],
        ...["virtualMachineList = http://a", "ratingService = http://a", "weightStore = http://a"],
    ];
    assert.equal(resolveConfig("valid.ini", valid.join("\n")).node.id, "a");
    const changes = fc.array(
        fc.record({ at: fc.nat(valid.length), removed: fc.nat(1), added: fc.array(line, { maxLength: 2 }) }),
        { maxLength: 4 },
    );
    fc.assert(
        fc.property(changes, edits => {
            const text = [...valid];
            edits.forEach(({ at, removed, added }) => text.splice(at, removed, ...added));
            try {
                resolveConfig("fuzz.ini", text.join("\n"));
            }
            catch (error) {
                assert.ok(error instanceof SettingsError, `${String(error)}`);
                assert.ok(error.problems.length > 0);
            }
        }),
        parameters(context, 2000),
    );
});

/** Sends raw bytes and collects the status lines until the connection closes. */
function exchange(port: number, bytes: Uint8Array): Promise<readonly string[]> {
    return new Promise((resolve, reject) => {
        const socket = connect(port, "127.0.0.1", () => socket.end(bytes));
        let received = "";
        socket.setTimeout(HANG_TIMEOUT_MILLISECONDS, () =>
            socket.destroy(new Error("no data and no end of the connection")),
        );
        socket.on("data", chunk => (received += chunk.toString("latin1")));
        socket.on("close", () => resolve(received.match(/HTTP\/1\.1 \d{3}/g) ?? []));
        socket.on("error", error =>
            (error as NodeJS.ErrnoException).code === "ECONNRESET" ? undefined : reject(error),
        );
    });
}

// Guards against requests that hang, get an unexpected 5xx or stop the node. Anyone with access to the port
// can send them.
test("fuzzed requests get no server error and do not stop the node", { timeout: 60_000 }, async context => {
    const node = await startFakeNode({
        ...createFakeConfiguration().capabilities,
        status: () => ({ running: true }),
    });
    context.after(node.stop);
    const port = Number(new URL(node.address).port);
    const encoder = new TextEncoder();
    const bodies = fc.oneof(
        tickets.map(value => encoder.encode(JSON.stringify(value))),
        fc.json().map(text => encoder.encode(text)),
        fc.uint8Array({ maxLength: 300 }),
        fc.integer({ min: 1, max: 60_000 }).map(depth => encoder.encode('{"a":['.repeat(depth))),
    );
    const knownPaths = fc.constantFrom(
        "/tickets",
        "/tickets/check",
        "/rollouts/inspection-v8/halt",
        "/rollouts/__proto__/halt",
        "/entities/__proto__/constructor",
        "/entities/model/__proto__",
        "/dump?table=__proto__",
        "/bills?from=%00",
        "/tickets/99999999999999999999",
    );
    const paths = fc.oneof(
        { weight: 6, arbitrary: knownPaths },
        { weight: 1, arbitrary: fc.webPath().map(path => `/${path}`) },
        { weight: 1, arbitrary: fc.string({ unit: "binary-ascii" }) },
    );
    const requests = fc.record({
        method: fc.oneof(
            { weight: 6, arbitrary: fc.constant("POST") },
            { weight: 3, arbitrary: fc.constantFrom("GET", "PUT", "OPTIONS", "PROPFIND") },
            { weight: 1, arbitrary: fc.string() },
        ),
        path: paths,
        type: fc.constantFrom(
            ...Array<string>(6).fill("application/json"),
            "application/json; charset=x",
            "text/plain",
        ),
        /** Difference between the content-length header and the actual length. */
        lengthError: fc.constantFrom(0, 0, 0, 0, 1, -1, 1e9),
        body: bodies,
    });
    const statuses = new Map<string, number>();
    await fc.assert(
        fc.asyncProperty(requests, async ({ method, path, type, lengthError, body }) => {
            const head =
                `${method} ${path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n` +
                `authorization: Bearer ${OPERATOR_KEY}\r\ncontent-type: ${type}\r\n` +
                `content-length: ${body.length + lengthError}\r\n\r\n`;
            const lines = await exchange(port, Buffer.concat([encoder.encode(head), body]));
            assert.ok(lines.length > 0 || lengthError !== 0, "no response");
            for (const line of lines) {
                statuses.set(line, (statuses.get(line) ?? 0) + 1);
                // The fake node lacks the capabilities of some routes, which respond with 501.
                assert.match(line, / (200|4\d\d|501)$/);
            }
        }),
        parameters(context, 1000),
    );
    context.diagnostic(`responses: ${[...statuses].map(([line, count]) => `${line}: ${count}`).join(", ")}`);
    const status = await fetch(`${node.address}/status`, {
        headers: { authorization: `Bearer ${OPERATOR_KEY}` },
    });
    assert.deepEqual(await status.json(), { running: true });
});
