/** Guards against requests that reach the wrong route or workspace. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { Route, RoutingConfiguration } from "../entities.js";
import { createRouteTable } from "../route-table.js";

export function createRoute(overrides: Partial<Route> = {}): Route {
    return {
        name: "reports",
        host: "a.example",
        prefix: "/reports/",
        kind: "stream",
        split: [{ service: "engines", weight: 1 }],
        timeoutMilliseconds: 5000,
        targetLatencyMilliseconds: 1000,
        targetGapMilliseconds: 500,
        maximumAttempts: 3,
        public: false,
        resumable: true,
        models: [],
        ...overrides,
    };
}

function tableOf(...routes: readonly Route[]) {
    const configuration: RoutingConfiguration = {
        version: 1,
        routes,
        services: new Map(),
        workspaces: [{ name: "north", keys: ["k1", "k2"] }],
        limits: {
            maximumHeaderBytes: 1,
            maximumBodyBytes: 1,
            headerTimeoutMilliseconds: 1,
            idleTimeoutMilliseconds: 1,
        },
    };
    return createRouteTable(configuration);
}

test("longest prefix wins", () => {
    const table = tableOf(
        createRoute({ name: "short" }),
        createRoute({ name: "long", prefix: "/reports/day/" }),
    );
    assert.equal(table.match("a.example", "/reports/day/1")?.name, "long");
    assert.equal(table.match("a.example", "/reports/dayly")?.name, "short");
    assert.equal(table.match("a.example", "/reports/")?.name, "short");
});

test("a prefix matches whole segments only", () => {
    assert.equal(tableOf(createRoute()).match("a.example", "/reportsx/1"), undefined);
    assert.equal(tableOf(createRoute()).match("a.example", "/reports"), undefined);
});

test("the root prefix takes the rest of its host", () => {
    const table = tableOf(createRoute({ name: "root", prefix: "/" }), createRoute());
    assert.equal(table.match("a.example", "/other")?.name, "root");
    assert.equal(table.match("b.example", "/other"), undefined);
});

test("hosts match in any case", () => {
    assert.equal(tableOf(createRoute()).match("A.Example", "/reports/1")?.name, "reports");
});

test("every key of a workspace finds it", () => {
    const table = tableOf(createRoute());
    assert.equal(table.workspaceOf("k2")?.name, "north");
    assert.equal(table.workspaceOf("k3"), undefined);
});
