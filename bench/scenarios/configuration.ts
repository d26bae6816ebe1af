/**
 * Measures the spread of change tickets and the detection of failed nodes for several numbers of nodes. The
 * nodes run in one process on a virtual clock and exchange real messages over an in-memory network that
 * counts JSON bytes.
 *
 * Processor time includes the simulated network and clock, so it is an upper bound.
 */
import { setImmediate as nextTurn } from "node:timers/promises";
import {
    createConfigurationSimulation,
    dataCentreTicket,
} from "../../src/node/configuration/__tests__/simulation.js";
import type {
    SimulatedNode,
    ConfigurationSimulation,
} from "../../src/node/configuration/__tests__/simulation.js";
import { PUSH_METHOD } from "../../src/node/configuration/messages.js";
import type { Peers } from "../../src/node/peers/peers.js";
import { advance, mockTime, restoreTime } from "../../src/node/peers/__tests__/time.js";
import type { Figures, Scenario, ScenarioContext } from "../scenario.js";

/**
 * Node counts: the users' deployments, a deployment of twice the size, and a large one to show the growth.
 */
const SIZES: readonly number[] = [9, 36, 72, 200];

/** Node count of the baselines. */
const BASELINE_SIZE = 36;

const STEP_MILLISECONDS = 5;
/** Interval between node starts, so that a starting node does not read the rows of nodes that start later. */
const START_INTERVAL_MILLISECONDS = 50;
const JOIN_LIMIT_MILLISECONDS = 60_000;
/** Time that the updates about joined nodes need to reach all nodes. */
const PROPAGATION_MILLISECONDS = 20_000;
const MEASURE_MILLISECONDS = 10_000;
const TICKETS = 10;
const TICKET_LIMIT_MILLISECONDS = 10_000;
const FAULTY_MILLISECONDS = 20_000;
const LOSS_PROBABILITY = 0.05;
const PAUSE_MILLISECONDS = 500;
/** Mean interval between the pauses of a node. */
const PAUSE_INTERVAL_MILLISECONDS = 5000;
const DETECTION_LIMIT_MILLISECONDS = 60_000;

interface Usage {
    readonly bytesPerNodeSecond: number;
    readonly processorMillisecondsPerNodeSecond: number;
}

const round = (value: number, digits = 1): number => Number(value.toFixed(digits));

const sentBytes = ({ network }: ConfigurationSimulation): number =>
    [...network.sentBytes.values()].reduce((sum, bytes) => sum + bytes, 0);

/**
 * Advances the clock until the condition holds or the limit is reached.
 *
 * @returns Milliseconds advanced.
 */
async function advanceUntil(condition: () => boolean, limit: number): Promise<number> {
    let passed = 0;
    for (; !condition() && passed < limit; passed += STEP_MILLISECONDS) {
        await advance(STEP_MILLISECONDS);
    }
    return passed;
}

/**
 * Advances the clock and measures the usage of the nodes.
 *
 * @param observe Called every 100 ms.
 */
async function measureUsage(
    cluster: ConfigurationSimulation,
    milliseconds: number,
    observe: () => void = () => undefined,
): Promise<Usage> {
    const bytesBefore = sentBytes(cluster);
    const processorBefore = process.cpuUsage();
    for (let passed = 0; passed < milliseconds; passed += 100) {
        await advance(100);
        observe();
    }
    const { user, system } = process.cpuUsage(processorBefore);
    const nodeSeconds = (cluster.nodes.length * milliseconds) / 1000;
    return {
        bytesPerNodeSecond: round((sentBytes(cluster) - bytesBefore) / nodeSeconds, 0),
        processorMillisecondsPerNodeSecond: round((user + system) / 1000 / nodeSeconds, 2),
    };
}

/**
 * Starts nodes one after the other.
 *
 * @returns Milliseconds from the last start until every node lists all nodes as active.
 */
async function startNodes(cluster: ConfigurationSimulation, size: number): Promise<number> {
    for (let index = 0; index < size; index += 1) {
        const { faults } = await cluster.start(index);
        faults.delay = () => 5 * cluster.random();
        await advance(START_INTERVAL_MILLISECONDS);
    }
    return advanceUntil(
        () => cluster.nodes.every(node => node.membership.active().length === size),
        JOIN_LIMIT_MILLISECONDS,
    );
}

interface SpreadFigures {
    /** Milliseconds from the call of `apply` to its result, ascending. */
    readonly acceptance: readonly number[];
    /** Milliseconds from the result of `apply` until all nodes have the revision, ascending. */
    readonly spread: readonly number[];
}

async function measureTickets(cluster: ConfigurationSimulation): Promise<SpreadFigures> {
    const acceptance: number[] = [];
    const spread: number[] = [];
    for (let number = 1; number <= TICKETS; number += 1) {
        const author = cluster.nodes[Math.floor(cluster.random() * cluster.nodes.length)]!;
        let revision: number | undefined;
        const applied = author.configuration.apply(dataCentreTicket(number)).then(outcome => {
            if (outcome.kind !== "accepted") {
                throw new Error(`ticket ${number}: ${outcome.detail}`);
            }
            revision = outcome.revision;
        });
        acceptance.push(await advanceUntil(() => revision !== undefined, TICKET_LIMIT_MILLISECONDS));
        await applied;
        const hasRevision = ({ configuration }: SimulatedNode): boolean =>
            configuration.current().revision >= revision!;
        spread.push(await advanceUntil(() => cluster.nodes.every(hasRevision), TICKET_LIMIT_MILLISECONDS));
        await advance(500);
    }
    const sort = (values: number[]): number[] => values.sort((a, b) => a - b);
    return { acceptance: sort(acceptance), spread: sort(spread) };
}

/**
 * Makes the table service unreachable for all nodes and measures usage and how often a configuration is
 * stale.
 */
async function measureOutage(cluster: ConfigurationSimulation): Promise<Figures> {
    let stale = 0;
    let checks = 0;
    let oldestConfirmation = 0;
    const observe = (): void => {
        for (const { configuration } of cluster.nodes) {
            checks += 1;
            stale += configuration.isFresh(Date.now()) ? 0 : 1;
            oldestConfirmation = Math.max(
                oldestConfirmation,
                configuration.status().freshnessAge ?? Infinity,
            );
        }
    };
    cluster.nodes.forEach(({ faults }) => (faults.down = true));
    const usage = await measureUsage(cluster, MEASURE_MILLISECONDS, observe);
    cluster.nodes.forEach(({ faults }) => (faults.down = false));
    await advance(5000);
    return {
        outageBytesPerNodeSecond: usage.bytesPerNodeSecond,
        outageProcessorMillisecondsPerNodeSecond: usage.processorMillisecondsPerNodeSecond,
        outageStaleShare: round(stale / checks, 4),
        outageOldestConfirmationMilliseconds: oldestConfirmation,
    };
}

/** Counts running nodes that are suspected or declared dead under message loss and pauses. */
async function measureFalseSuspicions(cluster: ConfigurationSimulation): Promise<Figures> {
    const { network, random, nodes } = cluster;
    let isCounting = true;
    const suspected = new Set<string>();
    const dead = new Set<string>();
    for (const { membership } of nodes) {
        membership.onChange(member => {
            if (isCounting && member.state === "suspect") {
                suspected.add(`${member.id} ${Math.floor(Date.now() / 10_000)}`);
            }
            else if (isCounting && member.state === "dead") {
                dead.add(member.id);
            }
        });
    }
    network.isLost = () => random() < LOSS_PROBABILITY;
    const pause = (): void => {
        for (const node of nodes) {
            if (random() < 100 / PAUSE_INTERVAL_MILLISECONDS) {
                node.pausedUntil = Date.now() + PAUSE_MILLISECONDS;
            }
        }
    };
    const usage = await measureUsage(cluster, FAULTY_MILLISECONDS, pause);
    network.isLost = () => false;
    await advance(10_000);
    isCounting = false;
    const nodeMinutes = (nodes.length * FAULTY_MILLISECONDS) / 60_000;
    return {
        falseSuspicionsPerNodeMinute: round(suspected.size / nodeMinutes, 2),
        falseDeaths: dead.size,
        faultyBytesPerNodeSecond: usage.bytesPerNodeSecond,
    };
}

/**
 * Stops a node without notice and measures the time until the first and the last other node declare it dead.
 */
async function measureDetection(cluster: ConfigurationSimulation): Promise<Figures> {
    const [stopped, ...others] = cluster.nodes;
    await stopped!.stop();
    const isDead = ({ membership }: SimulatedNode): boolean =>
        membership.members.get(stopped!.id)?.state === "dead";
    const first = await advanceUntil(() => others.some(isDead), DETECTION_LIMIT_MILLISECONDS);
    const rest = await advanceUntil(() => others.every(isDead), DETECTION_LIMIT_MILLISECONDS);
    return {
        detectionFirstMilliseconds: first,
        detectionLastMilliseconds: first + rest,
    };
}

const violationsOf = ({ nodes }: ConfigurationSimulation): number =>
    nodes.reduce((sum, { invariants }) => sum + invariants.total(), 0);

interface SizeResult {
    readonly figures: Figures;
    readonly violations: number;
}

async function withCluster<Result>(
    context: ScenarioContext,
    measure: (cluster: ConfigurationSimulation) => Promise<Result>,
): Promise<Result> {
    mockTime();
    const cluster = createConfigurationSimulation(context.seed);
    cluster.network.delay = () => 1 + 4 * cluster.random();
    try {
        return await measure(cluster);
    }
    finally {
        await cluster.stop();
        restoreTime();
        await nextTurn();
    }
}

function runSize(context: ScenarioContext, size: number): Promise<SizeResult> {
    return withCluster(context, async cluster => {
        const reportStep = (text: string): void => context.progress(`${size} nodes: ${text}`);
        reportStep("joining");
        const joined = await startNodes(cluster, size);
        await advance(PROPAGATION_MILLISECONDS);
        reportStep("idle");
        const idle = await measureUsage(cluster, MEASURE_MILLISECONDS);
        reportStep("tickets");
        const { acceptance, spread } = await measureTickets(cluster);
        reportStep("outage of the table service");
        const outage = await measureOutage(cluster);
        reportStep("loss and pauses");
        const suspicions = await measureFalseSuspicions(cluster);
        reportStep("detection");
        const detection = await measureDetection(cluster);
        return {
            violations: violationsOf(cluster),
            figures: {
                joinMilliseconds: joined,
                ...idle,
                acceptanceMedianMilliseconds: acceptance[Math.floor(TICKETS / 2)]!,
                acceptanceMaximumMilliseconds: acceptance.at(-1)!,
                lastNodeMedianMilliseconds: spread[Math.floor(TICKETS / 2)]!,
                lastNodeMaximumMilliseconds: spread.at(-1)!,
                ...outage,
                ...suspicions,
                ...detection,
            },
        };
    });
}

/** Baseline: nodes receive new tickets only by polling the head row. */
function runPollOnly(context: ScenarioContext): Promise<Figures> {
    return withCluster(context, async cluster => {
        const { join } = cluster.network;
        cluster.network.join = address => withoutPush(join(address));
        await startNodes(cluster, BASELINE_SIZE);
        await advance(PROPAGATION_MILLISECONDS);
        const { spread } = await measureTickets(cluster);
        return {
            lastNodeMedianMilliseconds: spread[Math.floor(TICKETS / 2)]!,
            lastNodeMaximumMilliseconds: spread.at(-1)!,
        };
    });
}

function withoutPush(peers: Peers): Peers {
    return {
        handle: peers.handle,
        call: (address, method, params, timeout) =>
            method === PUSH_METHOD ? Promise.resolve(null) : peers.call(address, method, params, timeout),
    };
}

/** Baseline: each node sends a heartbeat to every other node once per second. */
function runHeartbeats(context: ScenarioContext): Promise<Figures> {
    return withCluster(context, async cluster => {
        const addresses = Array.from({ length: BASELINE_SIZE }, (_, index) => `http://n${index}`);
        const timers = addresses.map((address, index) => {
            const peers = cluster.network.join(address);
            peers.handle("heartbeat", () => null);
            return setInterval(() => {
                for (const other of addresses.filter(candidate => candidate !== address)) {
                    void peers.call(other, "heartbeat", { from: `n${index}`, incarnation: index });
                }
            }, 1000);
        });
        await advance(MEASURE_MILLISECONDS);
        timers.forEach(timer => clearInterval(timer));
        const nodeSeconds = (BASELINE_SIZE * MEASURE_MILLISECONDS) / 1000;
        return { bytesPerNodeSecond: round(sentBytes(cluster) / nodeSeconds, 0) };
    });
}

export const configuration: Scenario = {
    name: "configuration",
    description:
        "spread of tickets, outage of the table and failure detection at 9 to 200 nodes, against polling alone and all-to-all heartbeats",
    runs: "decision code",
    run: async context => {
        const figures: Record<string, number | string | boolean | null> = {};
        const series: Record<string, (readonly [number, number])[]> = {};
        let violations = 0;
        for (const size of SIZES) {
            const result = await runSize(context, size);
            violations += result.violations;
            for (const [name, value] of Object.entries(result.figures)) {
                figures[`nodes${size}.${name}`] = value;
                (series[name] ??= []).push([size, Number(value)]);
            }
        }
        const baselines = {
            [`pollOnly${BASELINE_SIZE}`]: await runPollOnly(context),
            [`allToAllHeartbeats${BASELINE_SIZE}`]: await runHeartbeats(context),
        };
        return { figures, baselines, violations, series };
    },
};
