/**
 * Measures by how much upstreams exceed their budget after cold starts, while nodes crash and restart, and
 * while nodes disagree about the members; and how many requests are rejected or delayed. Nodes run the
 * decision code on a virtual clock with fake upstreams.
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
const UPSTREAMS = 4;
/** Concurrent requests that a warm and a cold upstream can serve. */
const WARM_CONCURRENCY = 16;
const COLD_CONCURRENCY = 2;

/**
 * End of each phase in virtual milliseconds. The `start` phase is not measured, because owners grant no
 * credits yet.
 */
const PHASE_ENDS = { start: 20_000, steady: 30_000, cold: 60_000, churn: 100_000, split: 140_000 } as const;
type Phase = keyof typeof PHASE_ENDS;

type GateFactory = (node: SimulatedNode, simulation: AdmissionSimulation) => AdmissionGate;

/**
 * Creates a gate whose limit per upstream depends only on the observations of its own node.
 *
 * @param limit Computes the limit, in concurrent requests.
 * @param onRelease Called with the observation of each finished request.
 */
function createLocalGate(
    limit: (evidence: Evidence, upstream: string, now: number) => number,
    onRelease: (upstream: string, observation: UpstreamObservation) => void = () => undefined,
): AdmissionGate {
    const inUse = new Map<string, number>();
    const evidence = new Map<string, Evidence>();
    let nextId = 0;
    const available = (upstream: string, now: number): number =>
        Math.floor(limit(evidence.get(upstream) ?? NO_EVIDENCE, upstream, now)) - (inUse.get(upstream) ?? 0);
    const record = (upstream: string, observation: UpstreamObservation, count: number, now: number): void => {
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
            inUse.set(upstream, (inUse.get(upstream) ?? 0) + 1);
            nextId += 1;
            return { upstream, memoryTokens, id: nextId };
        },
        release: (credit, observation, now) => {
            inUse.set(credit.upstream, inUse.get(credit.upstream)! - 1);
            record(credit.upstream, observation, 1, now);
            onRelease(credit.upstream, observation);
        },
        requestCredit: () => undefined,
        recordBootId: (upstream, bootId, now) => record(upstream, { succeeded: true, bootId }, 0, now),
        available,
        onCredit: () => undefined,
        dump: () => undefined,
    };
}

/**
 * Baseline: each node uses a fixed share of the warm or the cold budget; its own observations decide which.
 */
const createStaticShares: GateFactory = node => {
    const index = Number(node.id.split("-")[1]);
    return createLocalGate((evidence, _upstream, now) => {
        const budget = isWarm(evidence, now) ? WARM_CONCURRENCY : COLD_CONCURRENCY;
        return Math.floor(budget / NODES) + (index < budget % NODES ? 1 : 0);
    });
};

/**
 * Baseline: additive increase, multiplicative decrease (AIMD). Each node raises its limit by one per round of
 * fast answers and halves it after slow answers and errors.
 */
const createAimd: GateFactory = () => {
    const limits = new Map<string, number>();
    return createLocalGate(
        (_evidence, upstream) => limits.get(upstream) ?? 1,
        (upstream, observation) => {
            const limit = limits.get(upstream) ?? 1;
            const isFast = outcomeOf(observation, FIRST_TOKEN_LIMIT_MILLISECONDS) === "fast";
            limits.set(
                upstream,
                isFast ? Math.min(WARM_CONCURRENCY, limit + 1 / limit) : Math.max(1, limit / 2),
            );
        },
    );
};

const LEASE_MILLISECONDS = 10_000;
const LEASE_RENEWAL_MILLISECONDS = 3300;

/**
 * Baseline: the router's credits, but the owner is the holder of a lease row in a table that only the
 * majority can reach. There is at most one owner at a time, so a new owner waits only for the grants of the
 * old one to expire.
 * One lease covers all upstreams.
 */
function createTableLease(): GateFactory {
    let holder: SimulatedNode | undefined;
    let incarnation = 0;
    let expiresAt = 0;
    const updateLease = (simulation: AdmissionSimulation): void => {
        const now = simulation.now();
        const canHold = (node: SimulatedNode): boolean =>
            node.isUp && now >= node.pausedUntil && simulation.hasMajority(node);
        if (holder !== undefined && canHold(holder) && holder.incarnation === incarnation) {
            expiresAt = now + LEASE_MILLISECONDS;
        }
        else if (now >= expiresAt) {
            holder = simulation.nodes.find(canHold);
            incarnation = holder?.incarnation ?? 0;
            expiresAt = now + LEASE_MILLISECONDS;
        }
    };
    let isStarted = false;
    return (node, simulation) => {
        if (!isStarted) {
            isStarted = true;
            const renew = (): void => {
                updateLease(simulation);
                const delay =
                    simulation.now() < expiresAt - LEASE_MILLISECONDS + 1 ? LEASE_RENEWAL_MILLISECONDS : 1000;
                simulation.at(simulation.now() + delay, renew);
            };
            holder = simulation.nodes[0];
            incarnation = 1;
            expiresAt = LEASE_MILLISECONDS;
            renew();
        }
        const self = node.members.get(node.id)!;
        return simulation.createAdmissionGate(node, {
            membership: {
                self,
                members: node.members,
                active: () => [...node.members.values()].filter(({ id }) => id === holder?.id),
            },
            hasMajority: now => holder === node && incarnation === node.incarnation && now < expiresAt,
            viewLagMilliseconds: 0,
        });
    };
}

interface PhaseCounts {
    /** Maximum number of requests above the budget of an upstream. */
    maximumExcess: number;
    /** Number of steps in which an upstream was above its budget, summed over the upstreams. */
    overBudgetSteps: number;
    /** Number of steps, summed over the upstreams. */
    steps: number;
    arrived: number;
    rejected: number;
    delayed: number;
    /** Total wait of all requests in milliseconds. */
    waited: number;
}

interface RunResult {
    readonly phases: Readonly<Record<Phase, PhaseCounts>>;
    readonly violations: number;
    /** Time in seconds, and the maximum number of requests above the budget of an upstream. */
    readonly series: (readonly [number, number])[];
}

function scheduleFaults(simulation: AdmissionSimulation, random: () => number): void {
    const anyNode = (): SimulatedNode => simulation.nodes[Math.floor(random() * NODES)]!;
    for (let at = PHASE_ENDS.steady; at < PHASE_ENDS.cold; at += 3000) {
        const upstream = simulation.upstreams[Math.floor(random() * UPSTREAMS)]!;
        simulation.at(at, () => simulation.restartUpstream(upstream));
    }
    for (let at = PHASE_ENDS.cold; at < PHASE_ENDS.churn - 5000; at += 8000) {
        const node = anyNode();
        simulation.at(at, () => simulation.crash(node));
        simulation.at(at + 4000, () => simulation.start(node));
    }
    for (const at of [PHASE_ENDS.churn, PHASE_ENDS.churn + 20_000]) {
        const isolatedNodes = simulation.nodes.slice(
            at === PHASE_ENDS.churn ? 0 : 5,
            at === PHASE_ENDS.churn ? 4 : 9,
        );
        simulation.at(at, () =>
            simulation.partition(
                isolatedNodes.map(({ id }) => id),
                true,
            ),
        );
        simulation.at(at + 10_000, () => simulation.partition([], true));
        const wronglyMarkedNode = anyNode();
        simulation.at(at + 15_000, () => simulation.falselyMarkDead(wronglyMarkedNode));
    }
}

async function run(seed: number, createGate: GateFactory | undefined): Promise<RunResult> {
    const simulation = createSimulation({
        random: createSeededRandom(seed),
        nodes: NODES,
        upstreams: UPSTREAMS,
        warm: WARM_CONCURRENCY,
        cold: COLD_CONCURRENCY,
        arrivals: 2.5,
        work: [200, 2500],
        lost: 0.01,
        delay: 10,
        viewLag: 2000,
        maximumWait: 3000,
        reportsLoad: true,
        ...(createGate === undefined ? {} : { createGate }),
    });
    scheduleFaults(simulation, createSeededRandom(seed + 1));
    const series: (readonly [number, number])[] = [];
    const phases = {} as Record<Phase, PhaseCounts>;
    for (const [name, end] of Object.entries(PHASE_ENDS) as [Phase, number][]) {
        const before = { ...simulation.counts };
        const counts = { maximumExcess: 0, overBudgetSteps: 0, steps: 0 };
        while (simulation.now() < end) {
            await simulation.run(STEP_MILLISECONDS);
            const excess = simulation.upstreams.map(upstream =>
                Math.max(0, upstream.held.size - simulation.budget(upstream)),
            );
            counts.steps += UPSTREAMS;
            counts.overBudgetSteps += excess.filter(amount => amount > 0).length;
            counts.maximumExcess = Math.max(counts.maximumExcess, ...excess);
            if (simulation.now() % 500 === 0) {
                series.push([simulation.now() / 1000, Math.max(...excess)]);
            }
        }
        const { arrived, rejected, delayed, waited } = simulation.counts;
        phases[name] = {
            ...counts,
            arrived: arrived - before.arrived,
            rejected: rejected - before.rejected,
            delayed: delayed - before.delayed,
            waited: waited - before.waited,
        };
    }
    return { phases, violations: simulation.violations.length, series };
}

function rounded(value: number): number {
    return Math.round(value * 10_000) / 10_000;
}

function toFigures(results: readonly RunResult[]): Figures {
    const figures: Record<string, number> = {};
    for (const phase of (Object.keys(PHASE_ENDS) as Phase[]).slice(1)) {
        const sum = (key: keyof PhaseCounts): number =>
            results.reduce((total, { phases }) => total + phases[phase][key], 0);
        figures[`${phase}LargestOverBudgetRequests`] = Math.max(
            ...results.map(({ phases }) => phases[phase].maximumExcess),
        );
        figures[`${phase}OverBudgetTimeShare`] = rounded(sum("overBudgetSteps") / sum("steps"));
        figures[`${phase}RefusedShare`] = rounded(sum("rejected") / sum("arrived"));
        figures[`${phase}DelayedShare`] = rounded(sum("delayed") / sum("arrived"));
        figures[`${phase}MeanWaitMilliseconds`] = Math.round(sum("waited") / sum("arrived"));
    }
    return figures;
}

export const admissionScenario: Scenario = {
    name: "admission",
    description:
        "load above the budgets of upstreams at cold starts, churn and split views; against static shares, AIMD per node and grants under a table lease",
    runs: "decision code",
    run: async context => {
        const repetitions = context.long ? 20 : 4;
        const seeds = Array.from({ length: repetitions }, (_, index) => context.seed * 1000 + index);
        const runAll = async (name: string, create: () => GateFactory | undefined): Promise<RunResult[]> => {
            context.progress(`${name}: ${repetitions} runs of ${PHASE_ENDS.split / 1000} s of virtual time`);
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
