/** Guards against requests to upstreams that have just failed, and against one cut-off node that takes them away. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { createSuspectUpstreams } from "../suspect-upstreams.js";

test("one unanswered request is enough to avoid an upstream for a second, and an answer ends it", () => {
    const suspects = createSuspectUpstreams();
    assert.equal(suspects.recordUnanswered("a", 0), true);
    assert.equal(suspects.recordUnanswered("a", 10), false);
    assert.equal(suspects.isSuspect("a", false, 999), true);
    assert.equal(suspects.isSuspect("a", false, 1000), false);
    suspects.recordUnanswered("a", 1000);
    suspects.recordAnswer("a", 1001);
    assert.equal(suspects.isSuspect("a", true, 1002), false);
});

test("requests that must not be repeated do not try whether the upstream is back", () => {
    const suspects = createSuspectUpstreams();
    suspects.recordUnanswered("a", 0);
    assert.equal(suspects.isSuspect("a", false, 2000), false);
    assert.equal(suspects.isSuspect("a", true, 2000), true);
    assert.equal(suspects.isSuspect("a", true, 8000), false);
});

test("each further unanswered request doubles the time, to 8 s", () => {
    const suspects = createSuspectUpstreams();
    let now = 0;
    for (const expected of [1000, 2000, 4000, 8000, 8000]) {
        suspects.recordUnanswered("a", now);
        assert.equal(suspects.isSuspect("a", false, now + expected - 1), true);
        now += expected;
        assert.equal(suspects.isSuspect("a", false, now), false);
    }
});

test("the report of a single node counts for a second, those of two for as long as they last", () => {
    const suspects = createSuspectUpstreams();
    assert.equal(suspects.isEjectedElsewhere("a", 1, 0), true);
    assert.equal(suspects.isEjectedElsewhere("a", 1, 900), true);
    assert.equal(suspects.isEjectedElsewhere("a", 1, 1000), false);
    assert.equal(suspects.isEjectedElsewhere("a", 2, 1500), true);
    assert.equal(suspects.isEjectedElsewhere("a", 1, 2500), false);
    assert.equal(suspects.isEjectedElsewhere("a", 0, 2600), false);
    assert.equal(suspects.isEjectedElsewhere("a", 1, 9000), true);
});
