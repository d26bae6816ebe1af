/** Guards against probes that end the process. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { probeConnection } from "../reachability.js";

test("the probe of an address that no connection can have fails without an exception", async () => {
    for (const address of ["10.0.0.1:65536", "127.0.0.1:-1", "127.0.0.1:x", "127.0.0.1", ""]) {
        assert.equal(await probeConnection(address), false, address);
    }
});
