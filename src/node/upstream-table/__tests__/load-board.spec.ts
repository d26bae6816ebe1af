/** Guards against loads that are counted twice, are never released or outlive the node that reported them. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { createLoadBoard, NO_LOAD } from "../load-board.js";
import { nextPeers } from "../load-reports.js";

test("load of a request is released once when its prompt is processed and once when it ends", () => {
    const board = createLoadBoard();
    const entry = board.begin("a", 500, 800);
    assert.deepEqual(board.total("a", 0), { pendingTokens: 500, requests: 1, heldTokens: 800 });
    entry.promptRead();
    entry.promptRead();
    assert.deepEqual(board.total("a", 0), { pendingTokens: 0, requests: 1, heldTokens: 800 });
    entry.end();
    entry.end();
    assert.deepEqual(board.total("a", 0), NO_LOAD);
    assert.equal(board.ownLoads().size, 0);
});

test("a request that ends before its prompt is processed leaves no load", () => {
    const board = createLoadBoard();
    board.begin("a", 500, 800).end();
    assert.deepEqual(board.total("a", 0), NO_LOAD);
});

test("reports of other nodes do not count after their validity ends", () => {
    const board = createLoadBoard();
    board.report("n2", new Map([["a", { pendingTokens: 10, requests: 2, heldTokens: 20 }]]), [], 1000);
    board.begin("a", 5, 5);
    assert.equal(board.total("a", 2000).requests, 3);
    assert.equal(board.total("a", 2600).requests, 1);
});

test("a new report replaces the previous one of the same node", () => {
    const board = createLoadBoard();
    board.report("n2", new Map([["a", { pendingTokens: 10, requests: 2, heldTokens: 20 }]]), [], 1000);
    board.report("n2", new Map(), [], 1100);
    assert.deepEqual(board.total("a", 1100), NO_LOAD);
});

test("round-robin reports skip no peer of a large deployment", () => {
    const peers = Array.from({ length: 86 }, (_, index) => `10.0.0.${index}`);
    const reportedPeers = new Set<string>();
    let cursor = 0;
    for (let interval = 0; interval < 6; interval++) {
        const selection = nextPeers(peers, cursor, 16);
        assert.equal(selection.chosen.length, 16);
        selection.chosen.forEach(peer => reportedPeers.add(peer));
        cursor = selection.cursor;
    }
    assert.equal(reportedPeers.size, 86);
    assert.deepEqual(nextPeers(peers.slice(0, 8), 3, 16).chosen, peers.slice(0, 8));
});

test("ejections of other nodes do not count after they end or their report expires", () => {
    const board = createLoadBoard();
    board.report("n2", new Map(), ["a"], 1000);
    board.report("n3", new Map(), ["a", "b"], 1000);
    assert.equal(board.ejections("a", 1500), 2);
    assert.equal(board.ejections("b", 1500), 1);
    board.report("n2", new Map(), [], 1600);
    assert.equal(board.ejections("a", 1700), 1);
    assert.equal(board.ejections("a", 2600), 0);
});
