/**
 * Property test of complete nodes. Callers send requests during random faults: killed and paused nodes,
 * network partitions, platform outages, lost answers, upstream faults and concurrent tickets. Guards against
 * violations of the properties that `fault-simulation.ts` checks.
 *
 * SOAK_RUNS, SOAK_SEED and SOAK_STEPS set the number of runs, the seed and the steps per run. A failure
 * prints the seed and the steps, which are shrunk first when SOAK_SHRINK is set.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { createFaultSimulation } from "./fault-simulation.js";
import { stepArbitrary } from "./fault-steps.js";

const RUNS = Number(process.env["SOAK_RUNS"] ?? "20");
const STEPS = Number(process.env["SOAK_STEPS"] ?? "100");
const SEEDS = process.env["SOAK_SEED"] === undefined ? [1, 2, 3, 4, 5] : [Number(process.env["SOAK_SEED"])];

for (const seed of SEEDS) {
    test(`no property fails under random faults, seed ${seed}`, async () => {
        await fc.assert(
            fc.asyncProperty(fc.array(stepArbitrary, { minLength: STEPS, maxLength: STEPS }), async steps => {
                const simulation = await createFaultSimulation(seed);
                try {
                    for (const step of steps) {
                        await simulation.run(step);
                    }
                    await simulation.recover();
                    assert.deepEqual(simulation.failures(), []);
                }
                finally {
                    simulation.dispose();
                }
            }),
            { seed, numRuns: RUNS, endOnFailure: process.env["SOAK_SHRINK"] === undefined },
        );
    });
}
