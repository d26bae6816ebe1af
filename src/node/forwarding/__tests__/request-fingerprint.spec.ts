/** Guards against requests that are taken for each other, and copies of one request that are not recognised. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { fingerprintOf } from "../request-fingerprint.js";
import type { RequestIdentity } from "../request-fingerprint.js";

const IDENTITY: RequestIdentity = {
    method: "POST",
    host: "a.example",
    path: "/stock/1?page=2",
    workspace: "north",
    body: Buffer.from("question"),
};

test("a request that is sent again has the same fingerprint", () => {
    assert.equal(fingerprintOf(IDENTITY), fingerprintOf({ ...IDENTITY, body: Buffer.from("question") }));
    assert.match(fingerprintOf(IDENTITY), /^[\w-]{22}$/);
});

for (const [field, change] of [
    ["method", { method: "PUT" }],
    ["host", { host: "b.example" }],
    ["path", { path: "/stock/1?page=3" }],
    ["workspace", { workspace: "south" }],
    ["missing workspace", { workspace: undefined }],
    ["body", { body: Buffer.from("questio") }],
] as const) {
    test(`requests that differ in their ${field} have different fingerprints`, () => {
        assert.notEqual(fingerprintOf(IDENTITY), fingerprintOf({ ...IDENTITY, ...change }));
    });
}
