/**
 * `npm run playground`: starts stand-ins in this process and three daemons on loopback, sends each kind of
 * request and prints the outcomes. Exits with 0 only when every answer was complete, as expected, and
 * billed exactly once.
 *
 * With `--serve` it sends no requests, prints example commands and runs until SIGINT.
 */
import { randomUUID } from "node:crypto";
import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import { countBills } from "./bills.js";
import { startDeployment } from "./deployment.js";
import type { Deployment } from "./deployment.js";
import { SPOGULIS_KEY, TAMBORES_KEY, createFirstTicket } from "./first-ticket.js";

const DATA_CENTRES = ["lavado", "pintura", "patio", "oficina"];
const REGION = "litoral";
const ENGINE_VERSIONS = [
    { model: "small", version: "v1" },
    { model: "small", version: "v1" },
    { model: "large", version: "v1" },
    { model: "large", version: "v1" },
];

/**
 * Outcome of one request.
 *
 * - `whole`: the complete, expected answer.
 * - `refused`: a response with an unexpected status.
 * - `broken`: an incomplete or unexpected answer.
 */
type Outcome = "whole" | "refused" | "broken";

interface Answer {
    readonly outcome: Outcome;
    /** Human-readable line. */
    readonly summary: string;
}

interface Reply {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly text: string;
}

async function send(
    url: string,
    key: string,
    body: object | undefined,
    headers: Readonly<Record<string, string>> = {},
): Promise<Reply> {
    const response = await request(url, {
        method: body === undefined ? "GET" : "POST",
        headers: { authorization: `Bearer ${key}`, "content-type": "application/json", ...headers },
        body: body === undefined ? undefined : JSON.stringify(body),
    });
    return { status: response.statusCode, headers: response.headers, text: await response.body.text() };
}

/** Text that the engine stand-ins generate for `tokens` tokens. */
function expectedText(tokens: number): string {
    return Array.from({ length: tokens }, (_unused, index) => `t${index} `).join("");
}

function formatModelVersion(reply: Reply): string {
    const version = reply.headers["model-version"];
    return version === undefined ? "" : ` from ${String(version)}`;
}

function checkCompletion(reply: Reply, tokens: number, label: string): Answer {
    if (reply.status !== 200) {
        return { outcome: "refused", summary: `${label}: status ${reply.status} ${reply.text}` };
    }
    const text = (JSON.parse(reply.text) as { choices: { message: { content: string } }[] }).choices[0]!
        .message.content;
    return {
        outcome: text === expectedText(tokens) ? "whole" : "broken",
        summary: `${label}: ${tokens} tokens${formatModelVersion(reply)}`,
    };
}

function checkStream(reply: Reply, tokens: number, label: string): Answer {
    if (reply.status !== 200) {
        return { outcome: "refused", summary: `${label}: status ${reply.status} ${reply.text}` };
    }
    const text = [...reply.text.matchAll(/^data: (\{.*\})$/gm)]
        .map(match => JSON.parse(match[1]!) as { choices: { delta: { content: string } }[] })
        .map(event => event.choices[0]!.delta.content)
        .join("");
    const whole = text === expectedText(tokens) && reply.text.endsWith("data: [DONE]\n\n");
    return {
        outcome: whole ? "whole" : "broken",
        summary: `${label}: ${tokens} tokens${formatModelVersion(reply)}`,
    };
}

async function runRequests(deployment: Deployment): Promise<readonly Answer[]> {
    const answers: Answer[] = [];
    const [first, second, third] = deployment.nodes.map(node => node.callers) as [string, string, string];
    const report = (answer: Answer): void => {
        answers.push(answer);
        console.log(`  ${answer.outcome.padEnd(8)}${answer.summary}`);
    };
    const chat = (model: string, tokens: number, extraFields: object = {}) => ({
        model,
        max_tokens: tokens,
        messages: [{ role: "user", content: "Is the mirror glass for a 2019 van in stock?" }],
        ...extraFields,
    });
    const completions = "/v1/chat/completions";

    const job = await submitJob(first, chat("large", 40));
    report(
        checkCompletion(
            await send(first + completions, SPOGULIS_KEY, chat("small", 20)),
            20,
            "non-streamed answer",
        ),
    );
    const streamed = await send(second + completions, SPOGULIS_KEY, chat("small", 50, { stream: true }));
    report(checkStream(streamed, 50, "streamed answer"));

    deployment.engines.forEach(engine => engine.setFaults({ breakStreams: 1 }));
    const resumed = await send(third + completions, TAMBORES_KEY, chat("large", 60, { stream: true }));
    deployment.engines.forEach(engine => engine.setFaults({ breakStreams: 0 }));
    report(checkStream(resumed, 60, "streamed answer, resumed after the upstream connection broke"));

    report(
        checkCompletion(await send(first + completions, TAMBORES_KEY, chat("reports", 30)), 30, "cascade"),
    );

    const sessionStart = await send(first + completions, SPOGULIS_KEY, chat("large", 10));
    report(checkCompletion(sessionStart, 10, "session, first request"));
    const token = String(sessionStart.headers["session-token"]);
    const sessionNext = await send(second + completions, SPOGULIS_KEY, chat("large", 10), {
        "session-token": token,
    });
    report(checkCompletion(sessionNext, 10, "session, next request through another node"));

    const key = randomUUID();
    const booking = { booking: "pickup-17" };
    const booked = await send(`${first}/services/dispatch/bookings`, TAMBORES_KEY, booking, {
        "idempotency-key": key,
    });
    const repeated = await send(`${second}/services/dispatch/bookings`, TAMBORES_KEY, booking, {
        "idempotency-key": key,
    });
    const runs = deployment.services.reduce((sum, service) => sum + (service.runs.get("pickup-17") ?? 0), 0);
    const sameAnswer = booked.status === 201 && repeated.text === booked.text && runs === 1;
    report({
        outcome: sameAnswer ? "whole" : booked.status === 201 ? "broken" : "refused",
        summary: `booking, sent to two nodes with one idempotency key: status ${booked.status}, runs ${runs}`,
    });
    const stock = await send(`${third}/services/dispatch/stock/glass-4`, TAMBORES_KEY, undefined);
    report({ outcome: stock.status === 200 ? "whole" : "refused", summary: `stock lookup: ${stock.text}` });
    report(await waitForJob(second, job));
    return answers;
}

/** Submits a deferred job whose deadline is in one hour. */
async function submitJob(node: string, completion: object): Promise<Reply> {
    const deadline = new Date(Date.now() + 3_600_000).toISOString();
    return send(`${node}/jobs`, TAMBORES_KEY, { deadline, request: completion });
}

/** Polls a job until its result is available, for about 10 s. */
async function waitForJob(node: string, accepted: Reply): Promise<Answer> {
    const label = "deferred job, result fetched from another node";
    if (accepted.status !== 202) {
        return { outcome: "refused", summary: `${label}: status ${accepted.status} ${accepted.text}` };
    }
    const { id } = JSON.parse(accepted.text) as { readonly id: string };
    for (let attempt = 0; attempt < 100; attempt += 1) {
        const reply = await send(`${node}/jobs/${id}`, TAMBORES_KEY, undefined);
        const job = JSON.parse(reply.text) as { readonly state: string; readonly result?: object };
        if (job.state === "done") {
            return checkCompletion({ ...reply, text: JSON.stringify(job.result) }, 40, label);
        }
        await delay(100);
    }
    return { outcome: "broken", summary: `${label}: not done after 10 s` };
}

async function main(): Promise<number> {
    console.log("Starting the stand-ins and three nodes.");
    const engine = {
        tokensPerSecond: 500,
        firstTokenMilliseconds: 20,
        memoryTokens: 100_000,
        coldConcurrency: 4,
        coldMilliseconds: 0,
    };
    const deployment = await startDeployment({
        nodes: 3,
        dataCentres: DATA_CENTRES,
        region: REGION,
        engines: ENGINE_VERSIONS.map(version => ({ ...engine, ...version })),
        services: 2,
        // Quality ratings: high for prompts of even length, low for others.
        rate: prompt => (prompt.length % 2 === 0 ? 0.9 : 0.3),
    });
    let answers: readonly Answer[];
    try {
        await deployment.apply(createFirstTicket(deployment, ENGINE_VERSIONS, DATA_CENTRES, REGION));
        if (process.argv.includes("--serve")) {
            printExampleCommands(deployment);
            await new Promise(resolve => process.once("SIGINT", resolve));
            return 0;
        }
        answers = await runRequests(deployment);
    }
    finally {
        await deployment.stop();
    }
    const billed = countBills(deployment.platform.objects);
    const whole = answers.filter(answer => answer.outcome === "whole").length;
    const refused = answers.filter(answer => answer.outcome === "refused").length;
    const notBilledOnce = [...billed.values()].filter(count => count !== 1).length;
    const violations = answers.length - whole - refused + notBilledOnce;
    console.log(
        JSON.stringify({ requests: answers.length, whole, billed: billed.size, refused, violations }),
    );
    return whole === answers.length && billed.size === whole && violations === 0 ? 0 : 1;
}

function printExampleCommands(deployment: Deployment): void {
    const [first] = deployment.nodes;
    console.log(`The deployment is running. Settings, keys and logs are in ${deployment.directory}. Examples:

curl -s ${first!.callers}/v1/chat/completions -H 'Authorization: Bearer ${SPOGULIS_KEY}' \\
  -d '{"model":"small","messages":[{"role":"user","content":"Hello"}]}'

curl -sN ${first!.callers}/v1/chat/completions -H 'Authorization: Bearer ${TAMBORES_KEY}' \\
  -d '{"model":"reports","stream":true,"messages":[{"role":"user","content":"Report on drum 12"}]}'

curl -s ${first!.callers}/services/dispatch/bookings -H 'Authorization: Bearer ${TAMBORES_KEY}' \\
  -H 'Idempotency-Key: pickup-1' -H 'Content-Type: application/json' -d '{"booking":"pickup-1"}'

Press Ctrl-C to stop it.`);
}

process.exitCode = await main();
