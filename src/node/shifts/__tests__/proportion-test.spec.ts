/** Tests the power of the test of two proportions, and its rate of false alarms. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { createSeededRandom } from "../../common/random.js";
import { logRatioOfProportions } from "../proportion-test.js";
import { assessEvidence, countEvidence } from "../shift-evidence.js";
import type { EvidenceTable } from "../shift-evidence.js";

const ODDS_RATIO = 1.6;

test("equal rates give no evidence, whatever the rate", () => {
    for (const rate of [0, 0.14, 0.5, 0.9, 1]) {
        const counts = {
            failures: 40 * rate,
            answers: 40,
            referenceFailures: 200 * rate,
            referenceAnswers: 200,
        };
        assert.ok(logRatioOfProportions(counts, ODDS_RATIO) < 0, `${rate}`);
    }
});

test("a version that always fails is found where the old one fails half of its answers", () => {
    const counts = { failures: 32, answers: 32, referenceFailures: 50, referenceAnswers: 100 };
    assert.ok(logRatioOfProportions(counts, ODDS_RATIO) > Math.log(100));
});

test("the log ratio is exact for counts that are solved by hand", () => {
    // One failure of one answer against none of one: 0.5 * 0.5, over the largest p * (1 - q) at equal odds.
    const counts = { failures: 1, answers: 1, referenceFailures: 0, referenceAnswers: 1 };
    assert.ok(Math.abs(logRatioOfProportions(counts, 1) - Math.log((0.5 * 0.5) / 0.25)) < 1e-6);
});

test("a false alarm at any time is rarer than its threshold", () => {
    const random = createSeededRandom(1);
    let alarms = 0;
    for (let run = 0; run < 2000; run++) {
        const counts = { failures: 0, answers: 0, referenceFailures: 0, referenceAnswers: 0 };
        const rate = random();
        for (let answer = 0; answer < 200; answer++) {
            const isNew = random() < 0.2;
            const failure = random() < rate ? 1 : 0;
            counts[isNew ? "answers" : "referenceAnswers"] += 1;
            counts[isNew ? "failures" : "referenceFailures"] += failure;
            if (isNew && logRatioOfProportions(counts, 1) >= Math.log(20)) {
                alarms += 1;
                break;
            }
        }
    }
    assert.ok(alarms <= 2000 / 20, `${alarms} of 2000`);
});

/** Answers and failures of the new and the old version, by route. */
type Counts = Readonly<Record<string, readonly [number, number, number, number]>>;

function tableOf(counts: Counts): EvidenceTable {
    let table: EvidenceTable = {};
    for (const [route, [answers, failures, referenceAnswers, referenceFailures]] of Object.entries(counts)) {
        const add = (isNew: boolean, count: number, errors: number): void => {
            for (let index = 0; index < count; index++) {
                table = countEvidence(table, route, 0, isNew, index < errors ? "failed" : "succeeded", {
                    headMilliseconds: 80,
                    paceMilliseconds: undefined,
                });
            }
        };
        add(true, answers, failures);
        add(false, referenceAnswers, referenceFailures);
    }
    return table;
}

test("a route on which the old version fails often does not hide a fault on the others", () => {
    const counts = { book: [45, 28, 68, 0], lookUp: [48, 34, 59, 30], list: [12, 0, 36, 0] } as const;
    assert.equal(assessEvidence(tableOf(counts)).isRegression, true);
});

test("answers before a fault began do not hide it", () => {
    let table = tableOf({ book: [60, 0, 400, 0] });
    for (let index = 0; index < 12; index++) {
        table = countEvidence(table, "book", 3, true, index % 2 === 0 ? "failed" : "succeeded", {
            headMilliseconds: 80,
            paceMilliseconds: undefined,
        });
    }
    assert.equal(assessEvidence(table).isRegression, true);
});

test("attempts that are given up count as slow answers", () => {
    let table = tableOf({ book: [20, 0, 100, 0] });
    for (let index = 0; index < 12; index++) {
        table = countEvidence(table, "book", 0, true, "unanswered", {
            headMilliseconds: 1500,
            paceMilliseconds: undefined,
        });
    }
    const { isRegression, errors } = assessEvidence(table);
    assert.equal(isRegression, true);
    assert.equal(errors, 0);
});
