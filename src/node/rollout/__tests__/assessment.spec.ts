import assert from "node:assert/strict";
import { test } from "node:test";
import { createSeededRandom } from "../../common/random.js";
import { assess, strongestFinding } from "../assessment.js";
import { DEFAULT_POLICY } from "../constants.js";
import { NO_COUNTERS, countAnswer, countRating } from "../counters.js";
import type { Counters } from "../counters.js";
import type { EvidenceStratum } from "../evidence.js";
import { createRecentWindow } from "../recent-evidence.js";

const random = createSeededRandom(11);

interface Quality {
    readonly rating?: number;
    readonly errors?: number;
    readonly latency?: number;
}

function answers(count: number, quality: Quality, before: Counters = NO_COUNTERS): Counters {
    const { rating = 0.8, errors = 0.01, latency = 500 } = quality;
    let counters = before;
    for (let i = 0; i < count; i += 1) {
        counters = countAnswer(counters, random() >= errors, latency * (0.5 + random()));
        counters = countRating(counters, rating + 0.4 * (random() - 0.5));
    }
    return counters;
}

function stratum(period: number, workspace: string, version: Counters, reference: Counters): EvidenceStratum {
    return { period, workspace, version, reference };
}

for (const [metric, quality] of [
    ["ratings", { rating: 0.5 }],
    ["errors", { errors: 0.2 }],
    ["latency", { latency: 1200 }],
] as const) {
    test(`a regression of ${metric} in only one workspace withdraws the version`, () => {
        const strata = [
            stratum(0, "x", answers(100, quality), answers(400, {})),
            stratum(0, "y", answers(400, {}), answers(1600, {})),
        ];
        const { withdraw } = assess(strata, undefined, 0, 1, DEFAULT_POLICY);
        assert.equal(withdraw?.metric, metric);
        assert.equal(withdraw.workspace, "x");
    });
}

// More ratings from a workspace with low ratings must not look like a regression.
test("a different mix of workspaces is not mistaken for a regression", () => {
    const strata = [
        stratum(0, "low", answers(900, { rating: 0.4 }), answers(100, { rating: 0.4 })),
        stratum(0, "high", answers(100, { rating: 0.9 }), answers(900, { rating: 0.9 })),
    ];
    const { withdraw, advance } = assess(strata, undefined, 0, 0.5, DEFAULT_POLICY);
    assert.equal(withdraw, undefined);
    assert.ok(advance);
});

// The controller tests after every few answers. A test for a fixed sample size would give false alarms.
test("repeated tests of an equal version raise no more false alarms than permitted", () => {
    let alarms = 0;
    const runs = 200;
    for (let run = 0; run < runs; run += 1) {
        let version = NO_COUNTERS;
        let reference = NO_COUNTERS;
        let isWithdrawn = false;
        const window = createRecentWindow();
        for (let check = 0; check < 60; check += 1) {
            version = answers(30, {}, version);
            reference = answers(60, {}, reference);
            const strata = [stratum(0, "x", version, reference)];
            const recent = window.update(strata, check * 60_000);
            const finding = strongestFinding(strata, recent, 0.05, DEFAULT_POLICY);
            isWithdrawn ||= finding !== undefined && finding.logRatio >= finding.threshold;
        }
        alarms += isWithdrawn ? 1 : 0;
    }
    assert.ok(alarms / runs <= 0.05, `${alarms} of ${runs}`);
});

test("does not advance with few answers or while a loss at the next share is not excluded", () => {
    const few = [stratum(0, "x", answers(10, {}), answers(1000, {}))];
    assert.match(assess(few, undefined, 0, 0.05, DEFAULT_POLICY).holdReason ?? "", /10 of 30 answers/);
    const some = [stratum(0, "x", answers(60, {}), answers(1000, {}))];
    assert.ok(assess(some, undefined, 0, 0.05, DEFAULT_POLICY).advance);
    assert.ok(!assess(some, undefined, 0, 1, DEFAULT_POLICY).advance);
});
