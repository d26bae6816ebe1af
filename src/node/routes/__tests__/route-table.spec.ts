/** Guards against requests that are matched to the wrong route or workspace. */
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
        priority: 0,
        models: [],
        ...overrides,
    };
}

function tableOf(...routes: readonly Route[]) {
    const configuration: RoutingConfiguration = {
        version: 1,
        routes,
        services: new Map(),
        workspaces: [{ name: "north", keys: ["k1", "k2"], priority: undefined }],
        limits: {
            maximumHeaderBytes: 1,
            maximumBodyBytes: 1,
            headerTimeoutMilliseconds: 1,
            idleTimeoutMilliseconds: 1,
        },
    };
    return createRouteTable(configuration);
}

test("the longest matching prefix is chosen", () => {
    const table = tableOf(
        createRoute({ name: "short" }),
        createRoute({ name: "long", prefix: "/reports/day/" }),
    );
    assert.equal(table.match("a.example", "/reports/day/1")?.name, "long");
    assert.equal(table.match("a.example", "/reports/dayly")?.name, "short");
    assert.equal(table.match("a.example", "/reports/")?.name, "short");
});

test("a prefix does not match a part of a path segment", () => {
    assert.equal(tableOf(createRoute()).match("a.example", "/reportsx/1"), undefined);
    assert.equal(tableOf(createRoute()).match("a.example", "/reports"), undefined);
});

test("the root prefix matches all other paths of its host and no other host", () => {
    const table = tableOf(createRoute({ name: "root", prefix: "/" }), createRoute());
    assert.equal(table.match("a.example", "/other")?.name, "root");
    assert.equal(table.match("b.example", "/other"), undefined);
});

test("the case of the host is ignored", () => {
    assert.equal(tableOf(createRoute()).match("A.Example", "/reports/1")?.name, "reports");
});

test("each key of a workspace is matched, an unknown key is not", () => {
    const table = tableOf(createRoute());
    assert.equal(table.workspaceOf("k2")?.name, "north");
    assert.equal(table.workspaceOf("k3"), undefined);
});
