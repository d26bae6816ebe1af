/** Guards against maps that grow with keys that callers choose. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { createBoundedMap } from "../bounded-map.js";

test("a full map forgets the key that was set least recently", () => {
    const map = createBoundedMap<number>(2);
    map.set("a", 1);
    map.set("b", 2);
    map.set("a", 3);
    map.set("c", 4);
    assert.deepEqual(
        [...map.entries()],
        [
            ["a", 3],
            ["c", 4],
        ],
    );
    assert.equal(map.size, 2);
});
