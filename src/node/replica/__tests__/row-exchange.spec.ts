/** Guards against large configurations that fill the link of a relay with many followers. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { JsonValue } from "../../common/json.js";
import type { PeerHandler } from "../../peers/peers.js";
import { createRowExchange } from "../row-exchange.js";
import { createRowReplica } from "../row-replica.js";

interface Peer {
    readonly configuration: ReturnType<typeof createRowReplica>;
    read(mayStartStale?: boolean): Promise<unknown>;
}

interface Link {
    readonly source: Peer;
    readonly reader: Peer;
    /** Size of the last response, bytes. */
    responseBytes(): number;
}

function createLink(
    changeRequest: (request: object) => object = request => request,
    isCurrent: () => boolean = () => true,
): Link {
    const handlers = new Map<string, PeerHandler>();
    let responseBytes = 0;
    const createPeer = (name: string): Peer => {
        const replicas = {
            configuration: createRowReplica(),
            runners: createRowReplica(),
            nodes: createRowReplica(),
        };
        const exchange = createRowExchange({
            peers: {
                handle: (_method, handler) => void handlers.set(name, handler),
                call: async (address, _method, params) => {
                    const request = JSON.parse(JSON.stringify(params)) as object;
                    const text = JSON.stringify(
                        await handlers.get(address)!(changeRequest(request) as JsonValue),
                    );
                    responseBytes = Buffer.byteLength(text);
                    return JSON.parse(text) as JsonValue;
                },
            },
            replicas,
            clock: { now: Date.now, wallTime: Date.now },
            isCurrent,
            path: () => [name],
            clockOffset: () => 0,
        });
        return {
            configuration: replicas.configuration,
            read: (mayStartStale = false) => exchange.readFrom("source", 0, 1000, mayStartStale),
        };
    };
    const source = createPeer("source");
    return { source, reader: createPeer("reader"), responseBytes: () => responseBytes };
}

const LARGE_VALUE = JSON.stringify(
    Array.from({ length: 2000 }, (_, index) => ({ name: `røute-${index}`, service: "engines", attempts: 3 })),
);

test("a peer reads a large row unchanged from a fraction of its bytes", async () => {
    const { source, reader, responseBytes } = createLink();
    const rows = [
        { key: "large", revision: 1, value: LARGE_VALUE },
        { key: "small", revision: 1, value: "ø" },
    ];
    source.configuration.apply({ rows, revision: 1, epoch: 0, complete: true });
    await reader.read();
    assert.equal(reader.configuration.get("large")?.value, LARGE_VALUE);
    assert.equal(reader.configuration.get("small")?.value, "ø");
    assert.ok(responseBytes() < LARGE_VALUE.length / 5, `${responseBytes()} bytes`);
});

test("a peer of an earlier version reads a large row uncompressed", async () => {
    const { source, reader, responseBytes } = createLink(request =>
        Object.fromEntries(Object.entries(request).filter(([name]) => name !== "acceptsCompressed")),
    );
    source.configuration.apply({
        rows: [{ key: "large", revision: 1, value: LARGE_VALUE }],
        revision: 1,
        epoch: 0,
        complete: true,
    });
    await reader.read();
    assert.equal(reader.configuration.get("large")?.value, LARGE_VALUE);
    assert.ok(responseBytes() > LARGE_VALUE.length);
});

// A restarted node would use upstreams that have left and keys that were withdrawn since the peer lost the store.
test("a node without rows does not start with those of a peer that has lost the store", async () => {
    const { source, reader } = createLink(undefined, () => false);
    source.configuration.apply({
        rows: [{ key: "k", revision: 3, value: "withdrawn since" }],
        revision: 3,
        epoch: 0,
        complete: true,
    });
    await reader.read();
    assert.equal(reader.configuration.revision, 0);
    await reader.read(true);
    assert.equal(reader.configuration.get("k")?.value, "withdrawn since", "nothing newer can be reached");
});

test("a node with rows takes newer ones from any peer", async () => {
    const { source, reader } = createLink(undefined, () => false);
    reader.configuration.apply({
        rows: [{ key: "k", revision: 2, value: "old" }],
        revision: 2,
        epoch: 0,
        complete: true,
    });
    source.configuration.apply({
        rows: [{ key: "k", revision: 3, value: "new" }],
        revision: 3,
        epoch: 0,
        complete: true,
    });
    await reader.read();
    assert.equal(reader.configuration.get("k")?.value, "new");
});
