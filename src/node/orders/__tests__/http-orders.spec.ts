import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { startEngine } from "../../../../playground/stand-ins/engine.js";
import { startPlatform } from "../../../../playground/stand-ins/platform.js";
import { createLifecycle } from "../../lifecycle/lifecycle.js";
import { createHttpOrders } from "../http-orders.js";

const CONFIGURED = {
    model: "m",
    version: "1",
    tokensPerSecond: 1000,
    firstTokenMilliseconds: 1,
    memoryTokens: 10_000,
    coldConcurrency: 10,
    coldMilliseconds: 0,
    loadMilliseconds: 20,
};

// Guards against a difference between the protocol of the HTTP clients and that of the stand-ins.
test("switches the version of an engine over HTTP", async context => {
    const [engine, platform] = await Promise.all([startEngine(CONFIGURED), startPlatform({ rate: () => 1 })]);
    const lifecycle = createLifecycle();
    const client = createHttpOrders({ weightStore: platform.address, lifecycle });
    await lifecycle.start();
    context.after(() => Promise.all([lifecycle.stop(), engine.close(), platform.close()]));
    const complete = async (version: string): Promise<number> => {
        const body = JSON.stringify({ model: "m", version, prompt: "p", max_tokens: 2, stream: true });
        const response = await fetch(`${engine.address}/v1/completions`, { method: "POST", body });
        await response.text();
        return response.status;
    };
    const send = (fencing: string, expiresAt: number, permits: Readonly<Record<string, string>> = {}) => {
        const order = { id: "o", fencing, expiresAt, role: "mixed" as const, versions: ["m/2"], permits };
        return client.sendOrder(engine.address, order, 1000);
    };
    assert.equal(await complete("1"), 200);

    const granted = await client.requestPermit("p1", "m/2", "e1");
    assert.deepEqual(
        await client.requestPermit("p1", "m/2", "e1"),
        granted,
        "a request repeated after a lost answer returns the same permit",
    );
    assert.equal((await client.requestPermit("p2", "m/2", "e2")).kind, "denied");
    assert.equal(platform.counters().permits, 1);

    assert.equal(granted.kind, "granted");
    const permit = granted.kind === "granted" ? granted.permit : "";
    // Fencing tokens above 2^53 must not be rounded.
    assert.equal(await send("9007199254740993", Date.now() + 5000, { "m/2": permit }), "accepted");
    assert.equal(await send("9007199254740992", Date.now() + 5000), "old-number");
    assert.equal(await send("9007199254740994", Date.now() - 1), "expired");
    for (let i = 0; i < 100 && !(await client.readEngine(engine.address)).loaded.includes("m/2"); i += 1) {
        await delay(20);
    }
    assert.deepEqual((await client.readEngine(engine.address)).loaded, ["m/2"]);
    assert.equal((await client.readEngine(engine.address)).fencing, "9007199254740993");
    assert.deepEqual([await complete("1"), await complete("2")], [404, 200]);
});
