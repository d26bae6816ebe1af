import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import { startDeployment } from "../deployment.js";
import type { Deployment, DeploymentNode } from "../deployment.js";
import { SPOGULIS_KEY, createFirstTicket } from "../first-ticket.js";

const STREAMS = 50;
const TOKENS = 150;
/** Time limit for all streams to run, and for the node to end after them, milliseconds. */
const STEP_TIMEOUT_MILLISECONDS = 20_000;

const POLL_MILLISECONDS = 10;

const ENGINE_VERSIONS = [{ model: "small", version: "v1" }];

interface Answer {
    readonly status: number;
    readonly text: string;
}

interface Answers {
    readonly all: readonly Promise<Answer>[];
    /** Failures so far. */
    readonly failures: readonly string[];
}

async function askForStream(node: DeploymentNode, question: string): Promise<Answer> {
    const response = await request(`${node.callers}/v1/chat/completions`, {
        method: "POST",
        headers: { authorization: `Bearer ${SPOGULIS_KEY}`, "content-type": "application/json" },
        body: JSON.stringify({
            model: "small",
            stream: true,
            max_tokens: TOKENS,
            messages: [{ role: "user", content: question }],
        }),
    });
    return { status: response.statusCode, text: await response.body.text() };
}

function startAnswers(node: DeploymentNode): Answers {
    const failures: string[] = [];
    const all = Array.from({ length: STREAMS }, (_unused, index) => askForStream(node, `question ${index}`));
    all.forEach((answer, index) =>
        answer.then(
            ({ status, text }) =>
                status === 200 ? undefined : failures.push(`question ${index}: ${status} ${text}`),
            (error: unknown) => failures.push(`question ${index}: ${String(error)}`),
        ),
    );
    return { all, failures };
}

interface RunningStreams {
    readonly answers: Answers;
    /** Streams that were served whole before. */
    readonly servedBefore: number;
}

/**
 * Starts streams until all run at the same time. A node that was held up refuses requests until it has confirmed
 * its configuration; the streams are then started again.
 */
async function startStreams({ engines }: Deployment, node: DeploymentNode): Promise<RunningStreams> {
    const deadline = Date.now() + STEP_TIMEOUT_MILLISECONDS;
    let servedBefore = 0;
    let failures: readonly string[] = [];
    while (Date.now() < deadline) {
        const answers = startAnswers(node);
        while (Date.now() < deadline && answers.failures.length === 0) {
            if (engines[0]!.activeStreams() === STREAMS) {
                return { answers, servedBefore };
            }
            await delay(POLL_MILLISECONDS);
        }
        ({ failures } = answers);
        const unexpected = failures.filter(failure => !failure.includes('"code":"configuration-stale"'));
        assert.deepEqual(unexpected, []);
        const results = await Promise.all(answers.all);
        servedBefore += results.filter(({ status }) => status === 200).length;
    }
    const { requests, largestConcurrency } = engines[0]!.counters();
    return assert.fail(
        `of ${STREAMS} streams at most ${largestConcurrency} ran at the same time, of ${requests} started; ` +
            `node: exit code ${node.process.exitCode}; refused last: ${failures[0] ?? "none"}`,
    );
}

// A planned stop that closes open connections would truncate the answers of callers.
test("SIGTERM truncates none of 50 running streams", async () => {
    const engine = {
        tokensPerSecond: 100,
        firstTokenMilliseconds: 10,
        memoryTokens: 1_000_000,
        coldConcurrency: 100,
        coldMilliseconds: 0,
    };
    const deployment = await startDeployment({
        nodes: 1,
        dataCentres: ["patio"],
        region: "litoral",
        engines: ENGINE_VERSIONS.map(version => ({ ...engine, ...version })),
        services: 0,
        rate: () => 1,
    });
    try {
        const ticket = createFirstTicket(deployment, ENGINE_VERSIONS, ["patio"], "litoral");
        const changes = ticket.changes.map(change =>
            change.kind === "upstream" && change.state !== undefined
                ? { ...change, state: { ...change.state, cold: change.state.warm } }
                : change,
        );
        await deployment.apply({ ...ticket, changes });
        const [node] = deployment.nodes;
        const { answers, servedBefore } = await startStreams(deployment, node!);
        node!.process.kill("SIGTERM");
        const results = await Promise.race([
            Promise.allSettled(answers.all),
            delay(STEP_TIMEOUT_MILLISECONDS, undefined, { ref: false }),
        ]);
        assert.ok(results, `streams still run; node: exit code ${node!.process.exitCode}`);
        assert.deepEqual(answers.failures, []);
        const texts = results.map(result => (result.status === "fulfilled" ? result.value.text : ""));
        assert.equal(
            texts.filter(text => text.includes(`id: ${TOKENS}\n`) && text.endsWith("data: [DONE]\n\n"))
                .length,
            STREAMS,
        );
        const timeout = delay(STEP_TIMEOUT_MILLISECONDS, "still running", { ref: false });
        assert.equal(await Promise.race([node!.exited, timeout]), 0);
        const bills = [...deployment.platform.objects]
            .filter(([name]) => name.startsWith("bills/"))
            .flatMap(([, body]) => body.split("\n"));
        assert.equal(bills.length, servedBefore + STREAMS);
    }
    finally {
        await deployment.stop();
    }
});

const DEPLOYMENT = new URL("../deployment.js", import.meta.url).href;

/** A process that starts a deployment whose node ends at once. */
const FAILED_START = `
    const { startDeployment } = await import(${JSON.stringify(DEPLOYMENT)});
    const program = ["--eval", "process.exit(3)", "--"];
    const options = { nodes: 1, dataCentres: ["patio"], region: "litoral", engines: [], services: 1 };
    await startDeployment({ ...options, rate: () => 1, program })
        .catch(error => process.stdout.write(error.message));
`;

// The listeners of the stand-ins kept the process of a test alive, so that a failed start looked like a hang.
test("a deployment whose node cannot start says so and leaves nothing open", async context => {
    const child = spawn(process.execPath, ["--input-type=module", "--eval", FAILED_START], {
        stdio: ["ignore", "pipe", "inherit"],
    });
    context.after(() => child.kill("SIGKILL"));
    let output = "";
    child.stdout.on("data", (chunk: Buffer) => (output += chunk.toString()));
    const closed = new Promise<string>(resolve => child.once("close", code => resolve(`exit code ${code}`)));
    const timeout = delay(STEP_TIMEOUT_MILLISECONDS, "still running", { ref: false });
    assert.equal(await Promise.race([closed, timeout]), "exit code 0");
    assert.match(output, /^node node-1 did not become ready/);
});
