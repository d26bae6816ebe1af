/**
 * Guards against prefixes that are judged by one node's requests instead of its data centre's, against a hot prefix
 * at one upstream, and against bytes between data centres that no metric shows.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { UpstreamHandlers, UpstreamRequest } from "../../upstreams/send.js";
import { NO_LOAD } from "../load-board.js";
import { DEFAULT_PRICES } from "../leaving-cost.js";
import { createPrefixUses } from "../prefix-uses.js";
import { createRequestPlacement, prefixUpstreams } from "../request-placement.js";
import type { PlacedRequest } from "../request-placement.js";
import { createSpillover } from "../spillover.js";
import { chooseUpstream } from "../upstream-choice.js";
import { createContext, createTestUpstream } from "./upstream-fixtures.js";

const REQUEST: PlacedRequest = {
    service: "engines",
    route: "reports",
    targetLatencyMilliseconds: 2000,
    bodyBytes: 12_000,
    expectedEvents: 100,
    affinityKey: "p",
    isEngine: true,
    model: "small",
    promptTokens: 6000,
    sharedTokens: 5000,
};

function createFixture() {
    const counts: Record<string, number> = {};
    const count = (name: string, amount: number): void => {
        counts[name] = (counts[name] ?? 0) + amount;
    };
    const nodes = ["patio", "patio", "lavado", "lavado", "lavado"].map(dataCentre => ({ dataCentre }));
    const handlers: UpstreamHandlers[] = [];
    const placement = createRequestPlacement({
        dataCentre: "patio",
        prefersOwn: true,
        speeds: undefined,
        prices: DEFAULT_PRICES,
        nodes: () => nodes,
        ownPendingTokens: () => 0,
        prefixUses: createPrefixUses(),
        spillover: createSpillover(() => 0),
        send: (_request, sendHandlers) => {
            handlers.push(sendHandlers);
            return { pause: () => undefined, resume: () => undefined, cancel: () => undefined };
        },
        countLeft: (service, reason) => count(`${service} ${reason}`, 1),
        countBytes: count,
    });
    return { placement, counts, handlers };
}

test("uses of a prefix are scaled to the nodes of the data centre and of all", () => {
    const { placement } = createFixture();
    const upstreams = [createTestUpstream("a")];
    const choose = () => chooseUpstream(upstreams, createContext(placement.inputs(REQUEST, 0)))!;
    for (let sent = 0; sent < 40; sent++) {
        placement.begin(REQUEST, choose(), NO_LOAD, 0);
    }
    const { prefix } = placement.inputs(REQUEST, 0).dataCentres!;
    assert.deepEqual([prefix.ownRequests, prefix.allRequests], [80, 200]);
    assert.equal(prefix.upstreams, 3, "about 72 requests are in flight in the data centre");
    const unseen = placement.inputs({ ...REQUEST, affinityKey: "q" }, 0).dataCentres!;
    assert.ok(unseen.prefix.allRequests < 1);
    assert.deepEqual([0, 16, 17, 33, 500].map(prefixUpstreams), [1, 1, 2, 3, 3]);
});

test("the bytes of requests that leave are counted with the reason, those of others are not", () => {
    const { placement, counts, handlers } = createFixture();
    const send = (dataCentre: string): void => {
        const upstreams = [createTestUpstream("a", { dataCentre })];
        const choice = chooseUpstream(upstreams, createContext(placement.inputs(REQUEST, 0)))!;
        const placed = placement.begin(REQUEST, choice, NO_LOAD, 0);
        assert.equal(placed.fields["left"], dataCentre !== "patio");
        const nothing = (): void => undefined;
        placed.send({ body: "x".repeat(700) } as UpstreamRequest, {
            onHead: nothing,
            onChunk: nothing,
            onEnd: nothing,
            onFailure: nothing,
        });
        handlers.at(-1)!.onChunk(Buffer.alloc(300));
        handlers.at(-1)!.onEnd();
    };
    send("patio");
    assert.deepEqual(counts, {});
    send("lavado");
    assert.deepEqual(counts, { "engines none": 1, sent: 700, received: 300 });
});
