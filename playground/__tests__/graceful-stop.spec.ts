import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import { startDeployment } from "../deployment.js";
import { SPOGULIS_KEY, createFirstTicket } from "../first-ticket.js";

const STREAMS = 50;
const TOKENS = 150;
const ENGINE_VERSIONS = [{ model: "small", version: "v1" }];

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
        const answers = Array.from({ length: STREAMS }, async (_unused, index) => {
            const response = await request(`${node!.callers}/v1/chat/completions`, {
                method: "POST",
                headers: { authorization: `Bearer ${SPOGULIS_KEY}`, "content-type": "application/json" },
                body: JSON.stringify({
                    model: "small",
                    stream: true,
                    max_tokens: TOKENS,
                    messages: [{ role: "user", content: `question ${index}` }],
                }),
            });
            return response.body.text();
        });
        while (deployment.engines[0]!.activeStreams() < STREAMS) {
            await delay(10);
        }
        node!.process.kill("SIGTERM");
        const texts = await Promise.all(answers);
        assert.equal(
            texts.filter(text => text.includes(`id: ${TOKENS}\n`) && text.endsWith("data: [DONE]\n\n"))
                .length,
            STREAMS,
        );
        assert.equal(await node!.exited, 0);
        const bills = [...deployment.platform.objects]
            .filter(([name]) => name.startsWith("bills/"))
            .flatMap(([, body]) => body.split("\n"));
        assert.equal(bills.length, STREAMS);
    }
    finally {
        await deployment.stop();
    }
});
