/** Guards against news that aggregating nodes hold back, so that other nodes go on with an earlier value. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { createNewsRelay } from "../news-relay.js";

function passedOn(counts: readonly number[]): readonly (number | undefined)[] {
    const relay = createNewsRelay();
    return counts.map((count, index) => {
        relay.add({ waiting: [["n1", "engines", 0, 0, count]] }, index * 100);
        const [news] = relay.take(index * 100 + 10) as readonly { readonly waiting: readonly number[][] }[];
        return news?.waiting[0]?.[4];
    });
}

test("a count that returns to an earlier value is passed on at once", () => {
    let known: number | undefined;
    const counts = [3, 0, 3, 0, 0, 5, 0, 0, 0, 0, 0];
    const seen = passedOn(counts).map(count => (known = count ?? known));
    assert.deepEqual(seen, counts);
});

test("an unchanged count is repeated a few times a second only", () => {
    const repeats = passedOn(Array.from({ length: 10 }, () => 4)).filter(count => count !== undefined);
    assert.ok(repeats.length <= 3, `${repeats.length} repeats`);
});
