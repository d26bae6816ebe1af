import assert from "node:assert/strict";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { PassThrough } from "node:stream";
import { after, test } from "node:test";
import {
    FIRST_TICKET,
    OPERATOR_KEY,
    createFakeConfiguration,
    startFakeNode,
} from "../../operators/__tests__/fake-node.js";
import { NoResponseError } from "../client.js";
import type { OperatorsClient, OperatorsResponse } from "../client.js";
import { runCommandLine } from "../command-line.js";
import { submit } from "../submit.js";

const directory = mkdtempSync(join(tmpdir(), "geraniumbarrow-"));
after(() => rmSync(directory, { recursive: true }));
const keyFile = join(directory, "key");
writeFileSync(keyFile, `${OPERATOR_KEY}\n`);
const ticketFile = join(directory, "ticket.json");
writeFileSync(ticketFile, JSON.stringify(FIRST_TICKET));

interface CommandResult {
    readonly exitCode: number;
    readonly output: string;
    readonly errors: string;
}

async function runCommand(address: string, argv: readonly string[]): Promise<CommandResult> {
    const stdout = new PassThrough();
    const stderr = new PassThrough();
    const env = { GERANIUMBARROW_ADDRESS: address, GERANIUMBARROW_KEY_FILE: keyFile };
    const exitCode = await runCommandLine(argv, { env, stdout, stderr });
    return {
        exitCode,
        output: String(stdout.read() ?? ""),
        errors: String(stderr.read() ?? ""),
    };
}

// Scripts of operators branch on the exit code, so a result with the wrong code misleads them.
test("each result has its exit code and message", async context => {
    const node = await startFakeNode(createFakeConfiguration().capabilities);
    context.after(node.stop);
    const other = join(directory, "other.json");
    writeFileSync(other, JSON.stringify({ ...FIRST_TICKET, changes: FIRST_TICKET.changes.slice(1) }));
    const malformed = join(directory, "malformed.json");
    writeFileSync(malformed, '{"number": 0, "changes": []}');
    const cases: [readonly string[], number, RegExp][] = [
        [["ticket", "check", ticketFile], 0, /Ticket 7 has no problems/],
        [["ticket", "apply", ticketFile], 0, /Ticket 7 accepted at revision 1/],
        [["ticket", "apply", other], 1, /Ticket 7 refused, number-reused/],
        [["ticket", "apply", malformed], 2, /number: .*changes: /],
        [["ticket", "apply", ticketFile, "--wait", "--wait-seconds", "1"], 3, /2 of 3 nodes; .* entry-3/],
        [["ticket", "show", "7"], 0, /accepted at revision 1/],
        [["ticket", "show", "8"], 1, /no ticket 8 has been accepted so far/],
        [["ticket", "show", "x"], 2, /whole number/],
        [["drain"], 2, /Not enough positional arguments/],
        [["drain", "absent"], 2, /dataCentre "absent" does not exist/],
        [["status"], 1, /does not provide/],
        [["status", "--address", "ftp://a"], 2, /http or https/],
        [["status", "--address", "http://127.0.0.1:1"], 4, /cannot be reached/],
    ];
    for (const [argv, exitCode, text] of cases) {
        const result = await runCommand(node.address, argv);
        assert.equal(result.exitCode, exitCode, argv.join(" "));
        assert.match(result.output + result.errors, text, argv.join(" "));
    }
});

// Guards against tickets that lose other fields of the data centre or reuse the number of an accepted ticket.
test("drain and restore keep the rest of the state and use a new ticket number", async context => {
    const { capabilities, accepted, apply } = createFakeConfiguration();
    await apply(FIRST_TICKET);
    const node = await startFakeNode(capabilities);
    context.after(node.stop);
    await runCommand(node.address, ["drain", "patio"]);
    const restored = await runCommand(node.address, ["restore", "patio", "--number", "12", "--json"]);
    assert.deepEqual(JSON.parse(restored.output), {
        ticket: 12,
        outcome: "accepted",
        revision: 3,
        readBack: false,
    });
    const change = (state: string) => [
        { kind: "dataCentre", name: "patio", state: { region: "rosario", state } },
    ];
    assert.deepEqual(
        accepted.slice(1).map(({ ticket }) => ticket),
        [
            { number: 8, changes: change("drained") },
            { number: 12, changes: change("active") },
        ],
    );
});

// An operator who sees a lost response reported as a failure may apply the change again as another ticket.
test("a ticket that was accepted without a response is not reported as failed", async context => {
    const server = createServer((message, response) => {
        if (message.method === "POST") {
            message.resume().once("end", () => response.destroy());
            return;
        }
        response.end(JSON.stringify({ revision: 4, ticket: FIRST_TICKET }));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    context.after(() => void server.close());
    const address = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
    const result = await runCommand(address, ["ticket", "apply", ticketFile, "--json"]);
    assert.equal(result.exitCode, 0);
    assert.deepEqual(JSON.parse(result.output), {
        ticket: 7,
        outcome: "accepted",
        revision: 4,
        readBack: true,
    });
});

// Guards against reporting a ticket as accepted or refused although the responses leave its outcome open.
test("a ticket is reported as accepted or refused only when the outcome is certain", async () => {
    const notFound: OperatorsResponse = { status: 404, body: { code: "ticket-not-accepted" } };
    const otherContent: OperatorsResponse = {
        status: 200,
        body: { revision: 2, ticket: { number: 7, changes: [] } },
    };
    const same: OperatorsResponse = { status: 200, body: { revision: 2, ticket: FIRST_TICKET } };
    const connectionLost = new NoResponseError("connection reset", true);
    const cases: [
        post: OperatorsResponse | Error,
        get: OperatorsResponse | Error,
        kind: string,
        readBack: boolean,
    ][] = [
        [
            { status: 200, body: { ticket: 7, outcome: "accepted", revision: 2 } },
            connectionLost,
            "accepted",
            false,
        ],
        [{ status: 200, body: { ticket: 8, outcome: "accepted", revision: 2 } }, notFound, "unknown", true],
        [{ status: 200, body: { ticket: 7, outcome: "accepted" } }, same, "accepted", true],
        [{ status: 502, body: { error: "bad gateway" } }, notFound, "unknown", true],
        [{ status: 504, body: { ticket: 7, outcome: "unknown" } }, otherContent, "refused", true],
        [{ status: 500, body: { verdict: "may-have-run" } }, connectionLost, "unknown", true],
        [connectionLost, notFound, "unknown", true],
        [connectionLost, { status: 503, body: {} }, "unknown", true],
    ];
    for (const [post, get, kind, readBack] of cases) {
        const respond = (value: OperatorsResponse | Error): Promise<OperatorsResponse> =>
            value instanceof Error ? Promise.reject(value) : Promise.resolve(value);
        const client: OperatorsClient = {
            post: () => respond(post),
            get: () => respond(get),
            close: () => Promise.resolve(),
        };
        const result = await submit(client, FIRST_TICKET, [0, 0]);
        assert.deepEqual([result.outcome.kind, result.readBack], [kind, readBack]);
    }
});

test("explain shows how a request ended, without lines about other upstreams", async () => {
    const time = (offset: number): string => new Date(1_700_000_000_000 + offset).toISOString();
    const lines = [
        { time: time(-60_000), part: "upstreams", message: "Learned of an upstream.", upstream: "a1" },
        {
            time: time(-500),
            part: "upstreams",
            message: "Dropped an upstream.",
            upstream: "a1",
            reason: "gone",
        },
        {
            time: time(-400),
            part: "upstreams",
            message: "Dropped an upstream.",
            upstream: "b9",
            reason: "gone",
        },
        { time: time(0), part: "requests", message: "A request arrived.", request: "r1", route: "desk" },
        {
            time: time(5),
            part: "attempts",
            message: "An attempt ended.",
            request: "r1",
            upstream: "a1",
            result: "lost",
        },
        {
            time: time(6),
            part: "requests",
            message: "A request ended.",
            request: "r1",
            outcome: "failed",
            reason: "reset",
        },
    ];
    const file = join(directory, "node.log");
    writeFileSync(file, ["not json", ...lines.map(line => JSON.stringify(line))].join("\n"));
    const { exitCode, output } = await runCommand("http://unused", ["explain", "r1", file]);
    assert.equal(exitCode, 0);
    assert.match(output, /got 502: the request may have run.* Reason: reset\. 0 attempts did not run, 1 ran/);
    assert.match(output, /\+5 ms {2}An attempt ended\. upstream=a1 result=lost/);
    assert.match(output, /-500 ms {2}Dropped an upstream\. upstream=a1 reason=gone/);
    assert.doesNotMatch(output, /b9|Learned/);
    assert.equal((await runCommand("http://unused", ["explain", "r2", file])).exitCode, 1);
    assert.equal((await runCommand("http://unused", ["explain", "r1", join(directory, "none")])).exitCode, 2);
});
