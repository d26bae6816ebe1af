/**
 * `npm run soak -- --minutes M --seed S`: runs the random fault test of whole nodes with increasing seeds
 * until the time has passed or a property fails. Prints the failing seed and the steps.
 */
import { run } from "node:test";
import { spec } from "node:test/reporters";
import { parseArgs } from "node:util";

const { values } = parseArgs({
    options: { minutes: { type: "string", default: "10" }, seed: { type: "string", default: "1" } },
});
const minutes = Number(values.minutes);
const firstSeed = Number(values.seed);
if (!(minutes > 0) || !Number.isInteger(firstSeed)) {
    console.error("usage: npm run soak -- --minutes M --seed S, M a positive number, S an integer");
    process.exit(2);
}

const MILLISECONDS_PER_MINUTE = 60_000;
const testFile = new URL("../src/node/daemon/__tests__/faults.spec.js", import.meta.url).pathname;

/** Runs the fault test with one seed. Resolves with whether all properties held. */
async function runSeed(seed: number): Promise<boolean> {
    process.env["SOAK_SEED"] = String(seed);
    process.env["SOAK_SHRINK"] = "1";
    let failures = 0;
    const events = run({ files: [testFile] });
    events.on("test:fail", () => {
        failures += 1;
    });
    const lines = events.compose(new spec());
    for await (const line of lines) {
        process.stdout.write(String(line));
    }
    return failures === 0;
}

const deadline = Date.now() + minutes * MILLISECONDS_PER_MINUTE;
let seed = firstSeed;
while (Date.now() < deadline) {
    console.log(`seed ${seed}`);
    if (!(await runSeed(seed))) {
        console.error(
            `a property failed with seed ${seed}; rerun with: npm run soak -- --minutes 1 --seed ${seed}`,
        );
        process.exit(1);
    }
    seed += 1;
}
console.log(`no property failed with seeds ${firstSeed} to ${seed - 1}`);
