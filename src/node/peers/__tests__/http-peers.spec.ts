import assert from "node:assert/strict";
import { test } from "node:test";
import { createLifecycle } from "../../lifecycle/lifecycle.js";
import { createHttpPeers } from "../http-peers.js";
import { PeerError } from "../peers.js";

function createPeer(key: string) {
    const lifecycle = createLifecycle();
    return { lifecycle, peers: createHttpPeers({ address: "127.0.0.1", port: 0, key, lifecycle }) };
}

// The verdict decides whether a call is retried, so a wrong verdict can run a call twice or lose it.
test("maps answers and failures to verdicts", async () => {
    const server = createPeer("shared");
    server.peers.handle("echo", params => params);
    server.peers.handle("fail", () => {
        throw new Error("not possible");
    });
    const client = createPeer("shared");
    const wrongKeyPeer = createPeer("other");
    await server.lifecycle.start();
    const address = server.peers.address();
    assert.deepEqual(await client.peers.call(address, "echo", { a: [1, "b"] }), { a: [1, "b"] });
    const verdictOf = (call: Promise<unknown>): Promise<string> =>
        call.then(
            () => "answered",
            (error: unknown) => (error as PeerError).verdict,
        );
    assert.equal(await verdictOf(client.peers.call(address, "fail", {})), "ran");
    assert.equal(await verdictOf(wrongKeyPeer.peers.call(address, "echo", {})), "not-run");
    await server.lifecycle.stop();
    // A new client has no open connection, so a refused connection means that the peer received nothing.
    assert.equal(await verdictOf(createPeer("shared").peers.call(address, "echo", {})), "not-run");
});
