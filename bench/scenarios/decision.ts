/**
 * Measures CPU time per placement and per admission decision for several numbers of engines, and admission
 * messages for several numbers of nodes. `docs/CAPACITY.md` lists how these figures grow.
 */
import { createAdmission } from "../../src/node/admission/create-admission.js";
import type { Admission } from "../../src/node/admission/create-admission.js";
import type { Credit } from "../../src/node/admission/admission.js";
import { createHolder } from "../../src/node/admission/holder.js";
import { VIEW_LAG_MILLISECONDS } from "../../src/node/admission/constants.js";
import { createOwner } from "../../src/node/admission/owner.js";
import { createManualTicker } from "../../src/node/admission/__tests__/manual-ticker.js";
import type { Random } from "../../src/node/common/random.js";
import type { Upstream } from "../../src/node/configuration/entities.js";
import { EMPTY_SNAPSHOT } from "../../src/node/configuration/snapshot.js";
import { createInvariants } from "../../src/node/invariants/invariants.js";
import { createLifecycle } from "../../src/node/lifecycle/lifecycle.js";
import type { Member } from "../../src/node/membership/membership.js";
import { createFakeNetwork } from "../../src/node/admission/__tests__/fake-network.js";
import {
    createRoundRobinPlacement,
    place,
    placeLeastLoaded,
    placeRandomly,
} from "../../src/node/placement/placement.js";
import type { PlacementFunction, PlacementInput } from "../../src/node/placement/placement.js";
import { chooseSubset } from "../../src/node/placement/subset.js";
import { createTable } from "../../src/node/tables/table.js";
import { createUpstreams } from "../../src/node/upstreams/upstreams.js";
import type { UpstreamRow, Upstreams } from "../../src/node/upstreams/upstreams.js";
import type { Figures, Scenario } from "../scenario.js";

/** Number of model versions in use at the target size. */
const VERSIONS = 14;
/** Target size: 3,900 engines and 660 nodes. */
const ENGINES_PER_NODE = 3900 / 660;
/** Request rate of each node at the target size. */
const REQUESTS_PER_SECOND = 92;
/** Mean time that an engine needs for a request: 217 tokens at 30 ms. */
const WORK_MILLISECONDS = 6500;
const TOKENS_PER_REQUEST = 1500;
/** Fleets to measure. `renewal` is the time between renewals in milliseconds. */
const FLEETS: readonly (readonly [nodes: number, dataCentres: number, renewal: number])[] = [
    [9, 4, 1000],
    [36, 4, 1000],
    [72, 4, 1000],
    [660, 18, 1000],
    [660, 18, 3000],
];
/** Duration of a grant, in renewal intervals. */
const RENEWALS_PER_GRANT = 3;
const ENGINE_COUNTS = [10, 200, 3900] as const;
/** Time from the first request until the load is steady, about 1.5 times `WORK_MILLISECONDS`. */
const STABILIZATION_MILLISECONDS = 10_000;
const MEASURED_MILLISECONDS = 6000;
const STEP_MILLISECONDS = 10;
const REPORT_MILLISECONDS = 1000;
const REPORT_DELAY_MILLISECONDS = 500;

function createUpstream(index: number, dataCentres: number): Upstream {
    const budget = { concurrency: 160, memoryTokens: 160 * TOKENS_PER_REQUEST };
    const dataCentre = index % dataCentres;
    return {
        kind: "engine",
        address: `http://127.0.0.1/${index}`,
        dataCentre: `dc-${dataCentre}`,
        region: `region-${Math.floor((dataCentre * 7) / dataCentres)}`,
        model: "m",
        version: `v-${Math.floor(index / dataCentres) % VERSIONS}`,
        warm: budget,
        cold: budget,
        checksFencing: true,
        costPerThousandTokens: 1,
        state: "active",
    };
}

function createEngines(count: number, dataCentres: number): ReadonlyMap<string, Upstream> {
    return new Map(
        Array.from(
            { length: count },
            (_, index) => [`runner-${index}`, createUpstream(index, dataCentres)] as const,
        ),
    );
}

function groupByVersion(rows: Iterable<UpstreamRow>): readonly (readonly UpstreamRow[])[] {
    const groups = new Map<string, UpstreamRow[]>();
    for (const row of rows) {
        const key = row.configured.version!;
        groups.set(key, [...(groups.get(key) ?? []), row]);
    }
    return [...groups.values()];
}

/** Measures the mean time of a call after `calls / 4` warm-up calls. */
function microsecondsPerCall(calls: number, run: (index: number) => void): number {
    for (let index = 0; index < calls / 4; index += 1) {
        run(index);
    }
    const start = process.hrtime.bigint();
    for (let index = 0; index < calls; index += 1) {
        run(index);
    }
    return Math.round((Number(process.hrtime.bigint() - start) / calls / 1000) * 100) / 100;
}

const NODE_LOCATION = { dataCentre: "dc-0", region: "region-0" };

function measurePlacement(
    engines: number,
    placement: PlacementFunction,
    usesSubsets: boolean,
    random: Random,
): number {
    const upstreams = createUpstreams();
    const snapshot = { ...EMPTY_SNAPSHOT, upstream: createEngines(engines, 18) };
    upstreams.step([{ kind: "configured", snapshot }], 0);
    const started = [...upstreams.table.keys()].map(upstream => {
        return { kind: "started", upstream, memoryTokens: TOKENS_PER_REQUEST } as const;
    });
    upstreams.step(started, 0);
    const versions = groupByVersion(upstreams.table.values());
    const subsets = versions.map(rows =>
        usesSubsets ? chooseSubset("node-0", NODE_LOCATION, rows) : rows.map(({ name }) => name),
    );
    return microsecondsPerCall(20_000, index => {
        const input: PlacementInput = {
            candidates: subsets[index % subsets.length]!.map(name => upstreams.table.get(name)!),
            location: NODE_LOCATION,
            memoryTokens: TOKENS_PER_REQUEST,
            waitedMilliseconds: 0,
            available: () => 1,
            cachedShare: () => 0,
            random,
            now: 1000,
        };
        placement(input);
    });
}

/** Measures acquiring and releasing a credit at a node that holds credits of all engines, in microseconds. */
function measureHolder(engines: number): number {
    const names = Array.from({ length: engines }, (_, index) => `runner-${index}`);
    const holder = createHolder({
        self: { id: "node-0", incarnation: 1 },
        owner: () => "node-1",
        ownersVersion: () => 0,
        firstTokenLimitMilliseconds: 1500,
        renewalMilliseconds: 1000,
    });
    names.forEach(name => holder.tryAcquire(name, 1, 0));
    const send = holder.step([], 0).find(action => action.kind === "send");
    const granted = { concurrency: 10, memoryTokens: 10 };
    const grants = names.map(upstream => ({
        upstream,
        granted,
        contended: false,
        warm: true,
        wantsLoad: false,
    }));
    const reply = { validMilliseconds: 1e9, grants, refused: [] };
    const { sequence } = (send as Extract<typeof send, { kind: "send" }>).request;
    holder.step([{ kind: "replied", owner: "node-1", sequence, reply }], 1);
    const observation = { succeeded: true, bootId: "1", firstTokenMilliseconds: 100 };
    return microsecondsPerCall(100_000, index => {
        const credit = holder.tryAcquire(names[index % engines]!, 1, 2)!;
        holder.release(credit, observation, 2);
    });
}

/**
 * Measures one row of a message at an owner that grants credits of each engine to 20 nodes, in microseconds.
 */
function measureOwner(engines: number): number {
    const budget = { concurrency: 100, memoryTokens: 100_000 };
    const owner = createOwner({
        budgets: () => ({ warm: budget, cold: budget }),
        ownedSince: () => 0,
        hasMajority: () => true,
        hasEnded: () => false,
        invariants: createInvariants({ onViolation: () => undefined }),
        grantMilliseconds: 3000,
        viewLagMilliseconds: 4000,
        silentNodeMilliseconds: 120_000,
        pauseMilliseconds: Infinity,
        startedAt: 0,
    });
    const nodeCount = 20;
    const amount = { concurrency: 4, memoryTokens: 4000 };
    return microsecondsPerCall(Math.max(20_000, engines * nodeCount), index => {
        const upstream = `runner-${Math.floor(index / nodeCount) % engines}`;
        const node = `node-${index % nodeCount}`;
        const row = { upstream, held: amount, wanted: amount, isWaiting: false, observations: [] };
        const incarnation = 1 + Math.floor(index / 1e6);
        owner.handle({ node, incarnation, sequence: (lastSequence += 1), runners: [row] }, 10_000);
    });
}

let lastSequence = 0;

interface FleetNode {
    readonly admission: Admission;
    readonly tick: () => void;
    readonly upstreams: Upstreams;
    /** Names of the engines that the node uses, one list per version. */
    readonly subsets: readonly (readonly string[])[];
    /** Credits of running requests by the time at which the request ends. */
    readonly running: Map<number, Credit[]>;
    /** Requests without a credit so far. */
    waiting: number;
}

/**
 * Runs the nodes of one data centre, which use only the engines there. The other data centres would give the
 * same figures. Each node receives `REQUESTS_PER_SECOND`.
 */
async function measureFleet(
    nodes: number,
    dataCentres: number,
    renewalMilliseconds: number,
    random: Random,
): Promise<Figures> {
    let now = 0;
    const grantMilliseconds = renewalMilliseconds * RENEWALS_PER_GRANT;
    // Owners make no grant before this time.
    const firstGrantAt = grantMilliseconds + VIEW_LAG_MILLISECONDS;
    const timers = new Map<number, (() => void)[]>();
    const network = createFakeNetwork({
        delay: () => 1,
        setTimer: (run, milliseconds) => {
            const at = Math.ceil((now + milliseconds) / STEP_MILLISECONDS) * STEP_MILLISECONDS;
            timers.set(at, [...(timers.get(at) ?? []), run]);
        },
    });
    const members = createTable(
        Array.from({ length: nodes }, (_, index): [string, Member] => {
            const dataCentre = `dc-${index % dataCentres}`;
            const { region } = createUpstream(index, dataCentres);
            const id = `node-${index}`;
            return [id, { id, incarnation: 1, address: id, dataCentre, region, state: "alive" }];
        }),
    );
    const active = [...members.values()];
    const snapshot = {
        ...EMPTY_SNAPSHOT,
        upstream: createEngines(Math.round(nodes * ENGINES_PER_NODE), dataCentres),
    };
    const localUpstreams = new Map(
        [...snapshot.upstream].filter(([, { dataCentre }]) => dataCentre === "dc-0"),
    );
    const heldRequests = new Map<string, number>([...localUpstreams.keys()].map(name => [name, 0]));
    const invariants = createInvariants({ onViolation: () => undefined });
    const fleet = active
        .filter(({ dataCentre }) => dataCentre === "dc-0")
        .map((self): FleetNode => {
            const ticker = createManualTicker(() => now);
            const admission = createAdmission({
                membership: { self, members, active: () => active },
                peers: network.connect(self.id),
                configuration: { current: () => snapshot, governing: () => [snapshot], isFresh: () => true },
                ticker,
                lifecycle: createLifecycle(),
                invariants,
                now: () => now,
                hasMajority: () => true,
                renewalMilliseconds,
                grantMilliseconds,
            });
            const upstreams = createUpstreams();
            upstreams.step([{ kind: "configured", snapshot: { ...snapshot, upstream: localUpstreams } }], 0);
            const subsets = groupByVersion(upstreams.table.values()).map(rows =>
                chooseSubset(self.id, NODE_LOCATION, rows),
            );
            return { admission, tick: ticker.tick, upstreams, subsets, running: new Map(), waiting: 0 };
        });
    const observation = { succeeded: true, bootId: "1", firstTokenMilliseconds: 100 };
    let started = 0;
    let delayed = 0;

    const serve = (node: FleetNode): void => {
        for (const credit of node.running.get(now) ?? []) {
            const { upstream, memoryTokens } = credit;
            node.admission.release(credit, observation, now);
            node.upstreams.step([{ kind: "ended", upstream, memoryTokens, observation }], now);
            heldRequests.set(upstream, heldRequests.get(upstream)! - 1);
        }
        node.running.delete(now);
        if (now < firstGrantAt) {
            return;
        }
        const arrivals = (REQUESTS_PER_SECOND * STEP_MILLISECONDS) / 1000;
        let count = node.waiting + Math.floor(arrivals) + (random() < arrivals % 1 ? 1 : 0);
        node.waiting = 0;
        for (; count > 0; count -= 1) {
            const choice = place({
                candidates: node.subsets[Math.floor(random() * node.subsets.length)]!.map(name =>
                    node.upstreams.table.get(name)!,
                ),
                location: NODE_LOCATION,
                memoryTokens: TOKENS_PER_REQUEST,
                waitedMilliseconds: 0,
                available: name => node.admission.available(name, now),
                cachedShare: () => 0,
                random,
                now,
            })!;
            if (choice.ask !== undefined) {
                node.admission.requestCredit(choice.ask, TOKENS_PER_REQUEST, now);
            }
            const credit = node.admission.tryAcquire(choice.upstream, TOKENS_PER_REQUEST, now);
            if (credit === undefined) {
                node.waiting += 1;
                delayed += 1;
                continue;
            }
            started += 1;
            const { upstream, memoryTokens } = credit;
            node.upstreams.step([{ kind: "started", upstream, memoryTokens }], now);
            heldRequests.set(upstream, heldRequests.get(upstream)! + 1);
            const work = -Math.log(1 - random()) * WORK_MILLISECONDS;
            const end = now + Math.max(1, Math.ceil(work / STEP_MILLISECONDS)) * STEP_MILLISECONDS;
            node.running.set(end, [...(node.running.get(end) ?? []), credit]);
        }
    };

    /** Sends a load report of each engine. It arrives `REPORT_DELAY_MILLISECONDS` later. */
    const report = (): void => {
        const measuredAt = now;
        const events = [...heldRequests].map(([upstream, requests]) => {
            const load = { requests, memoryTokens: requests * TOKENS_PER_REQUEST, measuredAt };
            return { kind: "reported", upstream, report: load } as const;
        });
        const deliver = (): void => fleet.forEach(node => node.upstreams.step(events, now));
        const at = now + REPORT_DELAY_MILLISECONDS;
        timers.set(at, [...(timers.get(at) ?? []), deliver]);
    };

    /** Computes the coefficient of variation of the engines' running requests. */
    const spread = (): number => {
        const values = [...heldRequests.values()];
        const mean = values.reduce((sum, value) => sum + value, 0) / values.length;
        const variance = values.reduce((sum, value) => sum + (value - mean) ** 2, 0) / values.length;
        return Math.sqrt(variance) / mean;
    };
    const spreads: number[] = [];

    const runUntil = async (end: number): Promise<void> => {
        for (; now < end; now += STEP_MILLISECONDS) {
            (timers.get(now) ?? []).forEach(run => run());
            timers.delete(now);
            if (now % REPORT_MILLISECONDS === 0) {
                report();
                spreads.push(spread());
            }
            for (const node of fleet) {
                serve(node);
                node.tick();
            }
            for (let round = 0; round < 12; round += 1) {
                await Promise.resolve();
            }
        }
    };

    await runUntil(firstGrantAt + STABILIZATION_MILLISECONDS);
    const before = { ...network.traffic, started, delayed, cpu: process.cpuUsage() };
    await runUntil(firstGrantAt + STABILIZATION_MILLISECONDS + MEASURED_MILLISECONDS);
    const cpu = process.cpuUsage(before.cpu);
    const nodeSeconds = (fleet.length * MEASURED_MILLISECONDS) / 1000;
    const name = `nodes${nodes}Renewal${renewalMilliseconds}ms`;
    const perNodeSecond = (value: number): number => Math.round((value / nodeSeconds) * 100) / 100;
    return {
        [`${name}MessagesPerNodeSecond`]: perNodeSecond(network.traffic.messages - before.messages),
        [`${name}BytesPerNodeSecond`]: Math.round(perNodeSecond(network.traffic.bytes - before.bytes)),
        [`${name}StartsPerNodeSecond`]: perNodeSecond(started - before.started),
        [`${name}FailedAttemptsPerStart`]:
            Math.round(((delayed - before.delayed) / (started - before.started)) * 10_000) / 10_000,
        [`${name}CpuMillisecondsPerNodeSecond`]: perNodeSecond((cpu.user + cpu.system) / 1000),
        [`${name}RunnerLoadSpread`]: Math.round(spreads.at(-1)! * 1000) / 1000,
        [`${name}Violations`]: invariants.total(),
    };
}

function placementFigures(placement: PlacementFunction, usesSubsets: boolean, random: Random): Figures {
    return Object.fromEntries(
        ENGINE_COUNTS.map(count => [
            `placement${count}RunnersMicroseconds`,
            measurePlacement(count, placement, usesSubsets, random),
        ]),
    );
}

export const decisionScenario: Scenario = {
    name: "decision",
    description:
        "CPU time per placement and admission decision by number of engines, admission messages by number of nodes; against placement without subsets",
    runs: "decision code",
    run: async context => {
        const { random } = context;
        let figures = placementFigures(place, true, random);
        for (const count of ENGINE_COUNTS) {
            context.progress(`admission decisions with ${count} engines`);
            figures = {
                ...figures,
                [`takeAndRelease${count}RunnersMicroseconds`]: measureHolder(count),
                [`ownerRow${count}RunnersMicroseconds`]: measureOwner(count),
            };
        }
        let violations = 0;
        for (const [nodes, dataCentres, renewal] of FLEETS) {
            context.progress(`messages of ${nodes} nodes in ${dataCentres} data centres`);
            const fleet = await measureFleet(nodes, dataCentres, renewal, random);
            violations += Number(fleet[`nodes${nodes}Renewal${renewal}msViolations`]);
            figures = { ...figures, ...fleet };
        }
        return {
            figures,
            baselines: {
                withoutSubsets: placementFigures(place, false, random),
                random: placementFigures(placeRandomly, false, random),
                roundRobin: placementFigures(createRoundRobinPlacement(), false, random),
                leastLoaded: placementFigures(placeLeastLoaded, false, random),
            },
            violations,
        };
    },
};
