/**
 * How far runners are loaded above what they bear at cold starts, node churn and split views, and what that
 * costs in refused and delayed requests. Nodes run the decision code in virtual time; runners are fakes.
 */
import type { AdmissionGate, Credit, UpstreamObservation } from "../../src/node/admission/admission.js";
import { NO_EVIDENCE, isWarm, observe, outcomeOf } from "../../src/node/admission/evidence.js";
import type { Evidence } from "../../src/node/admission/evidence.js";
import { FIRST_TOKEN_LIMIT_MILLISECONDS } from "../../src/node/admission/constants.js";
import { STEP_MILLISECONDS, createSimulation } from "../../src/node/admission/__tests__/simulation.js";
import type { AdmissionSimulation, SimulatedNode } from "../../src/node/admission/__tests__/simulation.js";
import { createSeededRandom } from "../../src/node/common/random.js";
import type { Figures, Scenario } from "../scenario.js";

const NODES = 9;
const RUNNERS = 4;
const WARM = 16;
const COLD = 2;

/** Phases of a run, by their end in virtual milliseconds. The first one, in which owners wait, is not measured. */
const PHASES = { start: 20_000, steady: 30_000, cold: 60_000, churn: 100_000, split: 140_000 } as const;
type Phase = keyof typeof PHASES;

type GateFactory = (node: SimulatedNode, world: AdmissionSimulation) => AdmissionGate;

/** Gate whose limit per runner is a function of this node's own observations. */
function createLocalGate(
    limit: (evidence: Evidence, upstream: string, now: number) => number,
    learn: (upstream: string, observation: UpstreamObservation) => void = () => undefined,
): AdmissionGate {
    const used = new Map<string, number>();
    const evidence = new Map<string, Evidence>();
    let nextId = 0;
    const available = (upstream: string, now: number): number =>
        Math.floor(limit(evidence.get(upstream) ?? NO_EVIDENCE, upstream, now)) - (used.get(upstream) ?? 0);
    const note = (upstream: string, observation: UpstreamObservation, count: number, now: number): void => {
        const outcome = outcomeOf(observation, FIRST_TOKEN_LIMIT_MILLISECONDS);
        const { bootId } = observation;
        const run = { outcome, count, ...(bootId === undefined ? {} : { bootId }) };
        evidence.set(upstream, observe(evidence.get(upstream) ?? NO_EVIDENCE, run, now));
    };
    return {
        tryAcquire: (upstream, memoryTokens, now): Credit | undefined => {
            if (available(upstream, now) < 1) {
                return undefined;
            }
            used.set(upstream, (used.get(upstream) ?? 0) + 1);
            nextId += 1;
            return { upstream, memoryTokens, id: nextId };
        },
        release: (credit, observation, now) => {
            used.set(credit.upstream, used.get(credit.upstream)! - 1);
            note(credit.upstream, observation, 1, now);
            learn(credit.upstream, observation);
        },
        requestCredit: () => undefined,
        recordBootId: (upstream, bootId, now) => note(upstream, { succeeded: true, bootId }, 0, now),
        available,
        onCredit: () => undefined,
        dump: () => undefined,
    };
}

/** Each node uses a fixed part of the budget that its own observations call for. */
const createStaticShares: GateFactory = node => {
    const index = Number(node.id.split("-")[1]);
    return createLocalGate((evidence, _upstream, now) => {
        const budget = isWarm(evidence, now) ? WARM : COLD;
        return Math.floor(budget / NODES) + (index < budget % NODES ? 1 : 0);
    });
};

/** Each node adds one per round of fast answers and halves at slow answers and errors. */
const createAimd: GateFactory = () => {
    const limits = new Map<string, number>();
    return createLocalGate(
        (_evidence, upstream) => limits.get(upstream) ?? 1,
        (upstream, observation) => {
            const limit = limits.get(upstream) ?? 1;
            const isFast = outcomeOf(observation, FIRST_TOKEN_LIMIT_MILLISECONDS) === "fast";
            limits.set(upstream, isFast ? Math.min(WARM, limit + 1 / limit) : Math.max(1, limit / 2));
        },
    );
};

const LEASE_MILLISECONDS = 10_000;
const LEASE_RENEWAL_MILLISECONDS = 3300;

/**
 * The project's credits, but the owner holds a lease row in a table that only the majority's side reaches.
 * Ownership is exact, so a new owner waits only for the grants of the old one. One lease covers all runners.
 */
function createTableLease(): GateFactory {
    let holder: SimulatedNode | undefined;
    let incarnation = 0;
    let until = 0;
    const serve = (world: AdmissionSimulation): void => {
        const now = world.now();
        const isHeld = (node: SimulatedNode): boolean =>
            node.isUp && now >= node.pausedUntil && world.hasMajority(node);
        if (holder !== undefined && isHeld(holder) && holder.incarnation === incarnation) {
            until = now + LEASE_MILLISECONDS;
        }
        else if (now >= until) {
            holder = world.nodes.find(isHeld);
            incarnation = holder?.incarnation ?? 0;
            until = now + LEASE_MILLISECONDS;
        }
    };
    let isServing = false;
    return (node, world) => {
        if (!isServing) {
            isServing = true;
            const renew = (): void => {
                serve(world);
                const wait = world.now() < until - LEASE_MILLISECONDS + 1 ? LEASE_RENEWAL_MILLISECONDS : 1000;
                world.at(world.now() + wait, renew);
            };
            holder = world.nodes[0];
            incarnation = 1;
            until = LEASE_MILLISECONDS;
            renew();
        }
        const self = node.members.get(node.id)!;
        return world.createAdmissionGate(node, {
            membership: {
                self,
                members: node.members,
                active: () => [...node.members.values()].filter(({ id }) => id === holder?.id),
            },
            hasMajority: now => holder === node && incarnation === node.incarnation && now < until,
            viewLagMilliseconds: 0,
        });
    };
}

interface PhaseCounts {
    largestOver: number;
    overSteps: number;
    steps: number;
    arrived: number;
    refused: number;
    delayed: number;
    waited: number;
}

interface RunResult {
    readonly phases: Readonly<Record<Phase, PhaseCounts>>;
    readonly violations: number;
    readonly series: (readonly [number, number])[];
}

function scheduleDisturbances(world: AdmissionSimulation, random: () => number): void {
    const anyNode = (): SimulatedNode => world.nodes[Math.floor(random() * NODES)]!;
    for (let at = PHASES.steady; at < PHASES.cold; at += 3000) {
        const runner = world.upstreams[Math.floor(random() * RUNNERS)]!;
        world.at(at, () => world.restartUpstream(runner));
    }
    for (let at = PHASES.cold; at < PHASES.churn - 5000; at += 8000) {
        const node = anyNode();
        world.at(at, () => world.crash(node));
        world.at(at + 4000, () => world.start(node));
    }
    for (const at of [PHASES.churn, PHASES.churn + 20_000]) {
        const cut = world.nodes.slice(at === PHASES.churn ? 0 : 5, at === PHASES.churn ? 4 : 9);
        world.at(at, () =>
            world.partition(
                cut.map(({ id }) => id),
                true,
            ),
        );
        world.at(at + 10_000, () => world.partition([], true));
        const misjudged = anyNode();
        world.at(at + 15_000, () => world.falselyMarkDead(misjudged));
    }
}

async function run(seed: number, createGate: GateFactory | undefined): Promise<RunResult> {
    const world = createSimulation({
        random: createSeededRandom(seed),
        nodes: NODES,
        runners: RUNNERS,
        warm: WARM,
        cold: COLD,
        arrivals: 2.5,
        work: [200, 2500],
        lost: 0.01,
        delay: 10,
        viewLag: 2000,
        patience: 3000,
        reportsLoad: true,
        ...(createGate === undefined ? {} : { createGate }),
    });
    scheduleDisturbances(world, createSeededRandom(seed + 1));
    const series: (readonly [number, number])[] = [];
    const phases = {} as Record<Phase, PhaseCounts>;
    for (const [name, end] of Object.entries(PHASES) as [Phase, number][]) {
        const before = { ...world.counts };
        const counts = { largestOver: 0, overSteps: 0, steps: 0 };
        while (world.now() < end) {
            await world.run(STEP_MILLISECONDS);
            const over = world.upstreams.map(runner => Math.max(0, runner.held.size - world.budget(runner)));
            counts.steps += RUNNERS;
            counts.overSteps += over.filter(amount => amount > 0).length;
            counts.largestOver = Math.max(counts.largestOver, ...over);
            if (world.now() % 500 === 0) {
                series.push([world.now() / 1000, Math.max(...over)]);
            }
        }
        const { arrived, refused, delayed, waited } = world.counts;
        phases[name] = {
            ...counts,
            arrived: arrived - before.arrived,
            refused: refused - before.refused,
            delayed: delayed - before.delayed,
            waited: waited - before.waited,
        };
    }
    return { phases, violations: world.violations.length, series };
}

function rounded(value: number): number {
    return Math.round(value * 10_000) / 10_000;
}

function toFigures(results: readonly RunResult[]): Figures {
    const figures: Record<string, number> = {};
    for (const phase of (Object.keys(PHASES) as Phase[]).slice(1)) {
        const sum = (key: keyof PhaseCounts): number =>
            results.reduce((total, { phases }) => total + phases[phase][key], 0);
        figures[`${phase}LargestOverBudgetRequests`] = Math.max(
            ...results.map(({ phases }) => phases[phase].largestOver),
        );
        figures[`${phase}OverBudgetTimeShare`] = rounded(sum("overSteps") / sum("steps"));
        figures[`${phase}RefusedShare`] = rounded(sum("refused") / sum("arrived"));
        figures[`${phase}DelayedShare`] = rounded(sum("delayed") / sum("arrived"));
        figures[`${phase}MeanWaitMilliseconds`] = Math.round(sum("waited") / sum("arrived"));
    }
    return figures;
}

export const admissionScenario: Scenario = {
    name: "admission",
    description:
        "load above runners' budgets at cold starts, churn and split views; against static shares, AIMD per node and grants under a table lease",
    runs: "decision code",
    run: async context => {
        const repetitions = context.long ? 20 : 4;
        const seeds = Array.from({ length: repetitions }, (_, index) => context.seed * 1000 + index);
        const runAll = async (name: string, create: () => GateFactory | undefined): Promise<RunResult[]> => {
            context.progress(`${name}: ${repetitions} runs of ${PHASES.split / 1000} s virtual time`);
            const results: RunResult[] = [];
            for (const seed of seeds) {
                results.push(await run(seed, create()));
            }
            return results;
        };
        const product = await runAll("owner credits", () => undefined);
        const shares = await runAll("static shares", () => createStaticShares);
        const aimd = await runAll("AIMD per node", () => createAimd);
        const lease = await runAll("table lease", createTableLease);
        return {
            figures: toFigures(product),
            baselines: {
                staticShares: toFigures(shares),
                aimdPerNode: toFigures(aimd),
                tableLease: toFigures(lease),
            },
            violations: product.reduce((sum, { violations }) => sum + violations, 0),
            series: {
                ownerCreditsOver: product[0]!.series,
                staticSharesOver: shares[0]!.series,
                aimdOver: aimd[0]!.series,
                tableLeaseOver: lease[0]!.series,
            },
        };
    },
};
