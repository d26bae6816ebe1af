import assert from "node:assert/strict";
import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { PassThrough } from "node:stream";
import { after, test } from "node:test";
import { runBench } from "../bench-command.js";
import type { Scenario, ScenarioResult } from "../scenario.js";

const directory = mkdtempSync(join(tmpdir(), "geraniumbarrow-bench-"));
after(() => rmSync(directory, { recursive: true }));

function createScenario(name: string, result: Partial<ScenarioResult>): Scenario {
    return {
        name,
        description: "a fake",
        runs: "decision code",
        run: context => {
            context.progress("half");
            return Promise.resolve({
                figures: { cost: context.seed, note: "x" },
                baselines: { large: { cost: 4 } },
                violations: 0,
                ...result,
            });
        },
    };
}

const scenarios = [
    createScenario("good", { series: { "cost, total": [[0, 1.5]] } }),
    createScenario("bad", { violations: 2 }),
    createScenario("infinite", { figures: { cost: Infinity } }),
];

async function run(...argv: string[]) {
    const stdout = new PassThrough();
    const stderr = new PassThrough();
    const exitCode = await runBench(scenarios, argv, { stdout, stderr });
    const output = String(stdout.read() ?? "").trimEnd();
    return { exitCode, output, errors: String(stderr.read() ?? "") };
}

// CI and the comparison parse the last line, and CI relies on the exit code.
test("the JSON line is the last line, and violations fail the run", async () => {
    const good = await run("good", "--seed", "2");
    assert.equal(good.exitCode, 0);
    const last = '{"scenario":"good","seed":2,"runs":"decision code","figures":{"cost":2,"note":"x"},';
    assert.equal(good.output.split("\n").at(-1), `${last}"baselines":{"large":{"cost":4}},"violations":0}`);
    assert.match(good.output, /^cost +2 +4 +0\.500$/m);
    assert.match(good.errors, /good .* s: half/);
    assert.equal((await run("good", "--seed", "2", "--json")).output, good.output.split("\n").at(-1));
    assert.equal((await run("bad")).exitCode, 1);
});

// A run that measured nothing would pass as a run without violations.
test("invalid arguments and figures that are not finite exit with 2 and print no result", async () => {
    for (const argv of [["absent"], [], ["good", "--seed", "x"], ["good", "--no"], ["infinite"]]) {
        const { exitCode, output } = await run(...argv);
        assert.equal(exitCode, 2, argv.join(" "));
        assert.equal(output, "");
    }
});

// A comparison with a wrong file, or of another scenario, would give meaningless ratios.
test("results are written to files, and only results of the same scenario are compared", async () => {
    await run("good", "--seed", "2", "--out", directory);
    assert.equal(readFileSync(join(directory, "good-2.csv"), "utf8"), 'series,x,y\n"cost, total",0,1.5\n');
    const earlier = join(directory, "good-2.json");
    const compared = await run("good", "--seed", "3", "--compare", earlier);
    assert.match(compared.output, /^cost +3 +2 +1\.500$/m);
    assert.match(compared.output, /seed 3, earlier 2/);
    assert.equal((await run("bad", "--compare", earlier)).exitCode, 2);
});
