/**
 * Random network partitions, table outages, lost answers, pauses, restarts and concurrent tickets on 5 to 9
 * nodes. Set SEED to repeat a failed run and RUNS to change the number of runs.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { advance, mockTime, restoreTime } from "../../peers/__tests__/time.js";
import type { TicketOutcome } from "../configuration.js";
import { FRESHNESS_MILLISECONDS } from "../constants.js";
import type { Ticket } from "../entities.js";
import { createConfigurationSimulation, dataCentreTicket } from "./simulation.js";
import type { ConfigurationSimulation } from "./simulation.js";

const SEED = Number(process.env["SEED"] ?? Date.now() % 1_000_000);
const RUNS = Number(process.env["RUNS"] ?? 20);

const CHECK_INTERVAL_MILLISECONDS = 50;

type Fault =
    | { readonly kind: "apply"; readonly index: number; readonly number: number }
    | { readonly kind: "partition" | "table-down"; readonly mask: number }
    | { readonly kind: "lost-answers"; readonly mask: number; readonly share: number }
    | { readonly kind: "late-effects"; readonly mask: number; readonly delay: number }
    | { readonly kind: "pause"; readonly index: number; readonly duration: number }
    | { readonly kind: "restart"; readonly index: number }
    | { readonly kind: "heal" };

const index = fc.nat(8);
const mask = fc.nat(1023);

/** Arbitrary of one kind of fault; `weight` is relative to the other kinds. */
function weighted(
    weight: number,
    kind: Fault["kind"],
    model: Readonly<Record<string, fc.Arbitrary<number>>> = {},
): fc.WeightedArbitrary<Fault> {
    return { weight, arbitrary: fc.record(model).map(values => ({ kind, ...values }) as unknown as Fault) };
}

const faultArbitrary: fc.Arbitrary<Fault> = fc.oneof(
    weighted(6, "apply", { index, number: fc.integer({ min: 1, max: 12 }) }),
    weighted(2, "partition", { mask }),
    weighted(2, "table-down", { mask }),
    weighted(1, "lost-answers", { mask, share: fc.double({ min: 0, max: 0.5, noNaN: true }) }),
    weighted(1, "late-effects", { mask, delay: fc.integer({ min: 1, max: 4000 }) }),
    weighted(2, "pause", { index, duration: fc.integer({ min: 100, max: 8000 }) }),
    weighted(2, "restart", { index }),
    weighted(2, "heal"),
);
// With short waits, faults occur between the prepare, the commit and the push of a ticket.
const stepArbitrary = fc.record({ wait: fc.oneof(fc.nat(100), fc.nat(1500)), fault: faultArbitrary });

interface Submission {
    readonly number: number;
    readonly startedAt: number;
    endedAt: number;
    outcome?: TicketOutcome;
}

interface RunState {
    readonly cluster: ConfigurationSimulation;
    readonly submissions: Submission[];
    /** Time at which each revision was first observed in the log. */
    readonly acceptedAt: Map<number, number>;
    /** Last observed revision of each node. */
    readonly revisions: Map<object, number>;
}

/** Tickets share three entities, so that some supersede others. */
const ticketOf = (number: number): Ticket => dataCentreTicket(number, `dc-${number % 3}`);

const hasBit = (bits: number, position: number): boolean => ((bits >> position) & 1) === 1;

const ticketAt = (run: RunState, revision: number): Ticket =>
    run.cluster.rows.get(`configuration/log/${revision}`)?.value["ticket"] as unknown as Ticket;

function heal({ cluster }: RunState): void {
    const { random } = cluster;
    cluster.network.isLost = () => random() < 0.02;
    cluster.network.delay = () => 1 + 300 * random() ** 4;
    for (const { faults } of cluster.nodes) {
        faults.down = false;
        faults.losesResponse = () => false;
        faults.lateEffect = () => 0;
        faults.delay = () => 100 * random() ** 2;
    }
}

async function inject(run: RunState, fault: Fault): Promise<void> {
    const { cluster } = run;
    const { nodes, network, random } = cluster;
    const target = nodes["index" in fault ? fault.index % nodes.length : 0]!;
    const chosen = nodes.filter((_, position) => "mask" in fault && hasBit(fault.mask, position));
    switch (fault.kind) {
        case "apply": {
            const { number } = fault;
            const submission: Submission = { number, startedAt: Date.now(), endedAt: Infinity };
            run.submissions.push(submission);
            void target.configuration.apply(ticketOf(number)).then(outcome => {
                submission.outcome = outcome;
                submission.endedAt = Date.now();
            });
            break;
        }
        case "partition": {
            // About half of the partitions also separate one side from the table service.
            const side = new Set(chosen.map(({ address }) => address));
            chosen.forEach(({ faults }) => (faults.down ||= hasBit(fault.mask, nodes.length)));
            network.isLost = (from, to) => side.has(from) !== side.has(to) || random() < 0.05;
            break;
        }
        case "table-down":
            chosen.forEach(({ faults }) => (faults.down = true));
            break;
        case "lost-answers":
            chosen.forEach(({ faults }) => (faults.losesResponse = () => random() < fault.share));
            break;
        case "late-effects":
            chosen.forEach(({ faults }) => (faults.lateEffect = () => (random() < 0.3 ? fault.delay : 0)));
            break;
        case "pause":
            target.pausedUntil = Date.now() + fault.duration;
            break;
        case "restart":
            await target.stop();
            (await cluster.start(nodes.indexOf(target))).faults.down = target.faults.down;
            break;
        case "heal":
            heal(run);
            break;
    }
}

function checkNodes(run: RunState): void {
    const now = Date.now();
    const { cluster, acceptedAt } = run;
    while (ticketAt(run, acceptedAt.size + 1) !== undefined) {
        acceptedAt.set(acceptedAt.size + 1, now);
    }
    for (const node of cluster.nodes.filter(({ pausedUntil }) => pausedUntil <= now)) {
        const current = node.configuration.current();
        assert.ok(
            current.revision >= (run.revisions.get(node) ?? 0),
            `${node.id} reverted to an earlier revision`,
        );
        run.revisions.set(node, current.revision);
        if (!node.configuration.isFresh(now)) {
            continue;
        }
        // Stricter than the requirement, which allows 5 s for the propagation of a ticket.
        const expected = [...acceptedAt].filter(([, time]) => time < now - FRESHNESS_MILLISECONDS);
        for (const [revision] of expected.filter(([accepted]) => accepted > current.revision)) {
            const { number } = ticketAt(run, revision);
            const isApplied = node.configuration
                .governing()
                .some(({ touchedBy }) => touchedBy.get(`dataCentre/dc-${number % 3}`) === number);
            assert.ok(
                isApplied,
                `${node.id} is fresh without revision ${revision} at revision ${current.revision}`,
            );
        }
    }
    for (const { number, outcome } of run.submissions) {
        if (outcome?.kind === "accepted") {
            assert.equal(
                ticketAt(run, outcome.revision)?.number,
                number,
                "an accepted ticket is missing from the log",
            );
        }
    }
}

async function advanceAndCheck(run: RunState, milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += CHECK_INTERVAL_MILLISECONDS) {
        await advance(Math.min(CHECK_INTERVAL_MILLISECONDS, milliseconds - passed));
        checkNodes(run);
    }
}

/** A ticket whose last submission was rejected, with no other in progress, must not be in the log. */
function checkRejections(run: RunState): void {
    const accepted = [...run.acceptedAt.keys()].map(revision => ticketAt(run, revision).number);
    assert.equal(new Set(accepted).size, accepted.length, "a ticket was accepted twice");
    for (const { number, outcome, startedAt } of run.submissions) {
        const isLast = run.submissions.every(
            other => other.number !== number || other.startedAt === startedAt || other.endedAt <= startedAt,
        );
        if (outcome?.kind === "refused" && isLast) {
            assert.ok(
                !accepted.includes(number),
                `rejected ticket ${number} was accepted: ${outcome.detail}`,
            );
        }
    }
}

test("loses no accepted ticket and uses no outdated configuration under random faults", async () => {
    console.log(`seed=${SEED} runs=${RUNS}`);
    const property = fc.asyncProperty(
        fc.integer({ min: 5, max: 9 }),
        fc.array(stepArbitrary, { minLength: 5, maxLength: 30 }),
        fc.nat(),
        async (size, steps, seed) => {
            mockTime();
            const cluster = createConfigurationSimulation(seed);
            const run: RunState = { cluster, submissions: [], acceptedAt: new Map(), revisions: new Map() };
            try {
                await Promise.all(Array.from({ length: size }, (_, position) => cluster.start(position)));
                heal(run);
                await advanceAndCheck(run, 2000);
                for (const { wait, fault } of steps) {
                    await inject(run, fault);
                    await advanceAndCheck(run, wait);
                }
                heal(run);
                cluster.nodes.forEach(node => (node.pausedUntil = 0));
                await advanceAndCheck(run, 20_000);
                checkRejections(run);
                for (const { id, configuration } of cluster.nodes) {
                    assert.ok(configuration.isFresh(Date.now()), `${id} is not fresh after the faults`);
                    assert.equal(
                        configuration.current().revision,
                        run.acceptedAt.size,
                        `${id} lacks accepted tickets`,
                    );
                    assert.equal(configuration.governing().length, 1, `${id} keeps a prepared ticket`);
                }
            }
            finally {
                await cluster.stop();
                restoreTime();
            }
        },
    );
    await fc.assert(property, { seed: SEED, numRuns: RUNS, endOnFailure: true });
});
