/** Guards against requests that leave their version because its upstreams are full, or wait for one that is gone. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { chooseUpstream } from "../../upstream-table/upstream-choice.js";
import type { VersionPreference } from "../../upstream-table/upstream-choice.js";
import { createContext, createTestUpstream } from "../../upstream-table/__tests__/upstream-fixtures.js";
import { restrictChoice } from "../restricted-choice.js";

const OLD = createTestUpstream("old", { version: "v1" });
const NEW = createTestUpstream("new", { version: "v2" });

const PREFERENCE: VersionPreference = {
    matches: version => version === "v2",
    upstreamShare: 1,
    allowsOthers: true,
};

function chosen(
    accepted: readonly string[],
    preference: VersionPreference | undefined,
    excluded: string[] = [],
) {
    const upstreams = [OLD, NEW];
    const context = createContext({ versionPreference: preference, excluded: new Set(excluded) });
    const restricted = restrictChoice(context, ({ entry }) => accepted.includes(entry.id), upstreams);
    return chooseUpstream(upstreams, restricted)?.upstream.entry.id;
}

test("without a preference, only an accepted upstream is chosen", () => {
    assert.equal(chosen(["new"], undefined), "new");
    assert.equal(chosen([], undefined), undefined);
});

test("a request stays with its version while that is full", () => {
    assert.equal(chosen(["old"], PREFERENCE), undefined);
    assert.equal(chosen(["old", "new"], PREFERENCE), "new");
});

test("a request whose version has no upstream left uses another one", () => {
    assert.equal(chosen(["old"], PREFERENCE, ["new"]), "old");
    assert.equal(chosen(["old"], { ...PREFERENCE, allowsOthers: false }, ["new"]), undefined);
});

test("the upstreams on which a version is tested are not restricted", () => {
    assert.equal(chosen([], { ...PREFERENCE, testedUpstreams: 1 }), "new");
});
