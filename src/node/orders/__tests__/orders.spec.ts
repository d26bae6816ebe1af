import assert from "node:assert/strict";
import { mock, test } from "node:test";
import { ORDER_LIFETIME_MILLISECONDS } from "../constants.js";
import { createSimulation, model } from "./simulation.js";
import type { EngineKind, SimulationOptions } from "./simulation.js";

const CHECKS_FENCING: EngineKind = { checksFencing: true, checksExpiry: false };
const CHECKS_EXPIRY: EngineKind = { checksFencing: false, checksExpiry: true };
const CHECKS_NEITHER: EngineKind = { checksFencing: false, checksExpiry: false };

function withSimulation(
    options: Omit<SimulationOptions, "timers">,
    run: (simulation: ReturnType<typeof createSimulation>) => Promise<void>,
): () => Promise<void> {
    return async () => {
        mock.timers.enable({ apis: ["setTimeout", "Date"], now: 1_000_000 });
        try {
            await run(createSimulation({ timers: mock.timers, ...options }));
        }
        finally {
            mock.timers.reset();
        }
    };
}

// Guards against unloading a version from its engines while requests for it run, and against loads above the
// rate of the weight store.
test(
    "a withdrawn version is unloaded only without streams, and loads stay within the weight store's rate",
    withSimulation(
        { engines: [CHECKS_FENCING, CHECKS_FENCING, CHECKS_EXPIRY], permitsPerMinute: 6 },
        async simulation => {
            simulation.startNode("n1");
            await simulation.advance(10_000);
            simulation.engines[0]!.streams.set("a/1", 1);
            simulation.setModels({ a: model({ "1": "withdrawn", "2": "active" }) });
            await simulation.advance(60_000);
            assert.deepEqual(
                simulation.loaded(),
                ["a/1", "a/2", "a/2"],
                "the engine with a running stream keeps the version",
            );
            assert.ok(simulation.loads[1]!.at - simulation.loads[0]!.at >= 10_000);
            simulation.engines[0]!.streams.clear();
            await simulation.advance(30_000);
            assert.deepEqual(simulation.loaded(), ["a/2", "a/2", "a/2"]);
            assert.equal(simulation.store.grantedPermits(), 3);
        },
    ),
);

// A holder that is paused at an await may resume after another node has acquired the lease and still assume
// that it holds the lease. Guards against its stale orders undoing those of the new holder.
for (const [name, kind] of Object.entries({ CHECKS_FENCING, CHECKS_EXPIRY, CHECKS_NEITHER })) {
    test(`stale orders of a paused holder do not undo those of the new holder, ${name}`, async () => {
        let stale = 0;
        for (let pausedCall = 0; pausedCall < 130; pausedCall += 1) {
            stale += await pauseHolderAt(kind, pausedCall);
        }
        // Only an engine that checks neither fencing tokens nor expiry applies an order that arrives late.
        assert.equal(stale > 0, name === "CHECKS_NEITHER", `${stale} stale orders`);
    });
}

/** Returns the number of orders of the old holder that engines applied after it lost the lease. */
async function pauseHolderAt(kind: EngineKind, pausedCall: number): Promise<number> {
    let calls = 0;
    let resume: () => void = () => undefined;
    let stale = 0;
    let busyUnloads = 0;
    const onUnload: SimulationOptions["onUnload"] = (engine, version) => {
        busyUnloads += engine.streams.get(version) ?? 0;
    };
    const onCall: SimulationOptions["onCall"] = node =>
        node === "old" && calls++ === pausedCall
            ? new Promise(resolve => (resume = resolve))
            : Promise.resolve();
    await withSimulation({ engines: [kind, kind], onCall, onUnload }, async simulation => {
        const versions = (...active: readonly string[]) =>
            model(
                Object.fromEntries(
                    ["1", "2", "3"].map(v => [v, active.includes(v) ? "active" : "withdrawn"]),
                ),
            );
        const old = simulation.startNode("old");
        for (let i = 0; i < 120 && calls <= pausedCall; i += 1) {
            if (i === 20) {
                simulation.setModels({ a: versions("2") });
            }
            await simulation.advance(250);
        }
        old.paused = true;
        const successor = simulation.startNode("new");
        simulation.setModels({ a: versions("2") });
        await simulation.advance(45_000);
        assert.deepEqual(simulation.loaded(), ["a/2", "a/2"], `call ${pausedCall}`);
        simulation.setModels({ a: versions("3") });
        await simulation.advance(20_000);
        simulation.engines.forEach(engine => engine.streams.set("a/3", 1));
        const before = simulation.applied.length;
        resume();
        old.paused = false;
        await simulation.advance(30_000);
        assert.ok(successor.lease.isHeld(Date.now()));
        assert.equal(busyUnloads, 0);
        stale = simulation.applied.slice(before).filter(({ node }) => node === "old").length;
        assert.deepEqual(simulation.loaded(), ["a/3", "a/3"], `call ${pausedCall}`);
        // If engines do not check fencing tokens, the new holder waits until the old orders have expired.
        const first = simulation.applied.find(({ node }) => node === "new")!;
        const acquired = successor.lease.firstOrderAt(Date.now(), 0)!;
        assert.ok(kind.checksFencing || first.at >= acquired + ORDER_LIFETIME_MILLISECONDS);
        assert.deepEqual(first.order.versions, first.before, "the first order changes nothing");
    })();
    return stale;
}

// Guards against a rollout that moves traffic to a version without capacity, so that requests are rejected.
test(
    "a rollout version is loaded before its first step, and the baseline keeps its capacity",
    withSimulation({ engines: [{ ...CHECKS_FENCING, slots: 2 }, CHECKS_FENCING] }, async simulation => {
        const { orders } = simulation.startNode("n1");
        const reportLoad = () => simulation.report({ "a/1": 16 });
        assert.equal(orders.capacityOf("a/1"), undefined);
        await simulation.advance(10_000, reportLoad);
        assert.equal(orders.capacityOf("a/1"), 20);
        const rollout = { model: "a", version: "2", steps: [0.1, 1], state: "running" as const };
        simulation.setModels({ a: model({ "1": "active", "2": "active" }) }, rollout);
        await simulation.advance(1000, reportLoad);
        assert.equal(orders.capacityOf("a/2"), 0);
        await simulation.advance(200_000, reportLoad);
        assert.deepEqual(simulation.loaded(), ["a/1 a/2", "a/1"]);
        assert.ok(orders.capacityOf("a/1")! >= 16 && orders.capacityOf("a/2")! >= 1);
        assert.deepEqual(orders.placement()!.engines.e2, { serving: ["a/1"], retiring: [] });
    }),
);

// Guards against two loads at each swing of the demand. Engines would load versions instead of serving
// requests.
test(
    "demand that swings between two models causes no loads",
    withSimulation(
        {
            engines: [CHECKS_FENCING, CHECKS_FENCING, CHECKS_FENCING, CHECKS_FENCING],
            initialVersions: ["a/1", "a/1", "b/1", "b/1"],
        },
        async simulation => {
            simulation.startNode("n1");
            simulation.setModels({ a: model({ "1": "active" }), b: model({ "1": "active" }) });
            await simulation.advance(600_000, () => {
                const swings = Math.floor(Date.now() / 20_000) % 2 === 0;
                simulation.report(swings ? { "a/1": 25, "b/1": 4 } : { "a/1": 4, "b/1": 25 });
            });
            assert.equal(simulation.loads.length, 0);
            await simulation.advance(600_000, () => simulation.report({ "a/1": 22, "b/1": 4 }));
            assert.deepEqual(
                simulation.loaded(),
                ["a/1", "a/1", "a/1", "b/1"],
                "a lasting change of demand causes one load",
            );
            assert.equal(simulation.loads.length, 1);
        },
    ),
);

// Guards against an unload of capacity that is needed again because the demand rose after the decision.
test(
    "a retiring version whose demand rises again is not unloaded",
    withSimulation(
        { engines: [CHECKS_FENCING, CHECKS_FENCING, CHECKS_FENCING], initialVersions: ["a/1", "a/1", "b/1"] },
        async simulation => {
            const { orders } = simulation.startNode("n1");
            simulation.setModels({ a: model({ "1": "active" }), b: model({ "1": "active" }) });
            let isRetiring = false;
            await simulation.advance(150_000, () => {
                const engines = Object.values(orders.placement()?.engines ?? {});
                isRetiring ||= engines.some(({ retiring }) => retiring.includes("a/1"));
                simulation.report({ "a/1": isRetiring ? 15 : 2, "b/1": 18 });
            });
            assert.ok(isRetiring);
            assert.equal(simulation.loaded().filter(version => version === "a/1").length, 2);
        },
    ),
);

// Guards against a holder that is paused within a tick and then sends orders without the lease.
test("no order is sent when the lease lapses between the decision and the send", async () => {
    let decided = 0;
    const beforeExecute = (action: unknown): void => {
        if ((action as { readonly kind: string; readonly draft?: unknown }).draft !== undefined) {
            decided += 1;
            mock.timers.tick(9000);
        }
    };
    await withSimulation({ engines: [CHECKS_FENCING], beforeExecute }, async simulation => {
        simulation.startNode("n1");
        await simulation.advance(20_000);
        assert.ok(decided > 0);
        assert.equal(simulation.applied.length, 0);
    })();
});

// Guards against an unload that breaks a request from a node that has not yet received the new placement.
test(
    "a version is not unloaded before nodes have had time to stop sending requests for it",
    withSimulation({ engines: [{ ...CHECKS_FENCING, unloadsAtOnce: true }] }, async simulation => {
        simulation.startNode("n1");
        await simulation.advance(10_000);
        simulation.setModels({ a: model({ "1": "withdrawn", "2": "active" }) });
        await simulation.advance(2500);
        assert.deepEqual(simulation.loaded(), ["a/1"]);
        simulation.engines[0]!.streams.set("a/1", 1);
        await simulation.advance(20_000);
        assert.deepEqual(simulation.loaded(), ["a/1"]);
    }),
);

// Guards against new requests for a version that an order still in flight unloads.
test("a version serves no new requests while an order to unload it may be in flight", async () => {
    let busyUnloads = 0;
    let sent = false;
    const onUnload: SimulationOptions["onUnload"] = (engine, version) => {
        busyUnloads += engine.streams.get(version) ?? 0;
    };
    const beforeExecute = (action: unknown): void => {
        const { draft } = action as { readonly draft?: { readonly versions: readonly string[] } };
        sent ||= draft?.versions.includes("a/1") === false;
    };
    const onCall: SimulationOptions["onCall"] = async (_node, call, phase) => {
        if (sent && call === "order" && phase === "before") {
            await new Promise(resolve => setTimeout(resolve, 2000));
        }
    };
    const engines = [{ ...CHECKS_FENCING, slots: 2, unloadsAtOnce: true }];
    await withSimulation({ engines, onCall, beforeExecute, onUnload }, async simulation => {
        const { orders } = simulation.startNode("n1");
        await simulation.advance(10_000);
        simulation.setModels({ a: model({ "1": "withdrawn", "2": "active" }) });
        await simulation.advance(30_000, () => {
            const isListed = simulation.applied.at(-1)!.order.versions.includes("a/1");
            if (sent && isListed) {
                simulation.setModels({ a: model({ "1": "active", "2": "active" }) });
                if (orders.placement()!.engines.e1!.serving.includes("a/1")) {
                    simulation.engines[0]!.streams.set("a/1", 1);
                }
            }
        });
        assert.ok(sent);
        assert.equal(busyUnloads, 0);
        assert.ok(simulation.loaded()[0]!.includes("a/1"), "the version is loaded again at the end");
    })();
});
