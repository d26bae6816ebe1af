/** Tests the excess of failures over strata with different rates. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { createSeededRandom } from "../../common/random.js";
import { excessFailures } from "../stratified-test.js";

function stratum(failures: number, answers: number, referenceFailures: number, referenceAnswers: number) {
    return { failures, answers, referenceFailures, referenceAnswers };
}

test("failures of a few small strata add up to an excess", () => {
    const strata = [stratum(2, 6, 0, 64), stratum(1, 1, 0, 11), stratum(2, 2, 6, 30), stratum(1, 1, 0, 3)];
    assert.ok(excessFailures(strata) > 4);
    assert.ok(excessFailures(strata.slice(1, 2)) < 3);
});

test("a group with a higher rate in both versions is no excess", () => {
    assert.ok(excessFailures([stratum(0, 10, 0, 300), stratum(20, 40, 10, 20)]) < 1);
});

test("strata without answers of both versions tell nothing", () => {
    assert.equal(excessFailures([]), 0);
    assert.equal(excessFailures([stratum(5, 5, 0, 0), stratum(0, 0, 5, 50)]), 0);
});

test("equal rates exceed the threshold of doubt in fewer than 1 in 100 cases", () => {
    const random = createSeededRandom(7);
    const count = (answers: number, rate: number): number =>
        Array.from({ length: answers }, () => random() < rate).filter(Boolean).length;
    let alarms = 0;
    for (let run = 0; run < 5000; run++) {
        const strata = [0.004, 0.14, 0.14, 0.5, 0.004].map((rate, index) => {
            const answers = 2 + index * 5;
            return stratum(count(answers, rate), answers, count(60, rate), 60);
        });
        alarms += excessFailures(strata) >= 3 ? 1 : 0;
    }
    assert.ok(alarms < 50, `${alarms} of 5000`);
});
