/**
 * Measures bookings on nodes that share a table service: claims per transaction, added latency and bills per
 * object write.
 */
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { build } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";
import { createBilling } from "../../src/node/billing/create-billing.js";
import type { Billing } from "../../src/node/billing/billing.js";
import { readBills } from "../../src/node/billing/read-bills.js";
import { createClaims } from "../../src/node/claims/create-claims.js";
import type { ClaimsTuning } from "../../src/node/claims/create-claims.js";
import type { ClaimResult, Claims } from "../../src/node/claims/claims.js";
import { systemClock } from "../../src/node/common/clock.js";
import type { JsonValue } from "../../src/node/common/json.js";
import type { Random } from "../../src/node/common/random.js";
import { createInvariants } from "../../src/node/invariants/invariants.js";
import { createLifecycle } from "../../src/node/lifecycle/lifecycle.js";
import { silentLogging } from "../../src/node/logging/logging.js";
import type { Member } from "../../src/node/membership/membership.js";
import { noMetrics } from "../../src/node/metrics/metrics.js";
import { PeerError } from "../../src/node/peers/peers.js";
import type { PeerHandler } from "../../src/node/peers/peers.js";
import type { ObjectStore } from "../../src/node/outside-services/object-store.js";
import { OutsideServiceError } from "../../src/node/outside-services/table-service.js";
import { applyTransaction } from "../../src/node/outside-services/in-memory-table.js";
import type { Row, TableService } from "../../src/node/outside-services/table-service.js";
import { createTable } from "../../src/node/tables/table.js";
import { createTicker } from "../../src/node/ticker/ticker.js";
import type { Figures, Scenario, ScenarioContext } from "../scenario.js";

/** Data centre of each node. */
const NODE_DATA_CENTRES = [
    "lavado",
    "lavado",
    "lavado",
    "pintura",
    "pintura",
    "patio",
    "patio",
    "oficina",
    "oficina",
];

const WRITES_PER_SECOND = 300;
const READS_PER_SECOND = 2000;

/** Duration of one call to a store, without the time in the queue. */
const STORE_LATENCY_MILLISECONDS = 3;

/** A store rejects a call that would wait longer, as with HTTP 429. */
const MAXIMUM_QUEUE_MILLISECONDS = 1000;

/** Time that the service needs for one booking. */
const BOOKING_MILLISECONDS = 20;

const BOOKINGS_PER_SECOND = [50, 200, 1000, 3000];

/** Numbers of claims and bills for which the cost of each is measured. */
const ITEM_COUNTS = [2000, 8000, 32_000];

/** `lose`: calls take effect but some replies are lost. `down`: every call fails without effect. */
type Fault = "none" | "lose" | "down";

const sleep = (milliseconds: number): Promise<void> =>
    new Promise(resolve => setTimeout(resolve, milliseconds));

/**
 * Creates a queue that serves calls in order at a fixed rate.
 *
 * @throws {OutsideServiceError} When the wait would exceed `MAXIMUM_QUEUE_MILLISECONDS`.
 */
function createRateLimitedQueue(callsPerSecond: number) {
    let freeAt = 0;
    return async (calls: number): Promise<void> => {
        const now = performance.now();
        const startsAt = Math.max(now, freeAt);
        if (startsAt - now > MAXIMUM_QUEUE_MILLISECONDS) {
            throw new OutsideServiceError("the queue of the store is full", "not-applied");
        }
        freeAt = startsAt + (calls * 1000) / callsPerSecond;
        await sleep(startsAt - now + STORE_LATENCY_MILLISECONDS);
    };
}

function createFakeStores(random: Random, isLimited: boolean) {
    const rows = new Map<string, Row>();
    const objects = new Map<string, string>();
    const counts = { transactions: 0, rowWrites: 0, reads: 0, puts: 0 };
    const unlimited = 1e9;
    const write = createRateLimitedQueue(isLimited ? WRITES_PER_SECOND : unlimited);
    const read = createRateLimitedQueue(isLimited ? READS_PER_SECOND : unlimited);
    const put = createRateLimitedQueue(isLimited ? WRITES_PER_SECOND : unlimited);
    let fault: Fault = "none";
    let lostReplyShare = 0;

    const call = async <Result>(queue: Promise<void>, operation: () => Result): Promise<Result> => {
        await queue;
        if (fault === "down") {
            throw new OutsideServiceError("the store is down", random() < 0.5 ? "not-applied" : "unknown");
        }
        const result = operation();
        if (fault === "lose" && random() < lostReplyShare) {
            throw new OutsideServiceError("the reply of the store was lost", "unknown");
        }
        return result;
    };
    const getRows = (keys: readonly string[]): readonly Row[] => keys.flatMap(key => rows.get(key) ?? []);
    const table: TableService = {
        transact: transaction =>
            call(write(1), () => {
                counts.transactions += 1;
                const result = applyTransaction(rows, transaction);
                if (result.applied) {
                    counts.rowWrites += transaction.writes.filter(({ kind }) => kind === "put").length;
                }
                return result;
            }),
        get: key => call(read(1), () => getRows([key])[0]),
        getMany: keys =>
            call(read(keys.length), () => {
                counts.reads += keys.length;
                return getRows(keys);
            }),
        scan: () => call(read(1), () => []),
    };
    const store: ObjectStore = {
        putIfAbsent: (name, body) =>
            call(put(1), () => {
                counts.puts += 1;
                if (objects.has(name)) {
                    return "exists";
                }
                objects.set(name, body);
                return "created";
            }),
        put: (name, body) => call(put(1), () => void objects.set(name, body)),
        get: name => call(read(1), () => objects.get(name)),
        list: (prefix, after = "") =>
            call(read(1), () =>
                [...objects.keys()].filter(name => name.startsWith(prefix) && name > after).sort(),
            ),
    };
    return {
        table,
        store,
        counts,
        setFault: (next: Fault, share = 0): void => {
            fault = next;
            lostReplyShare = share;
        },
    };
}

interface ClusterOptions {
    readonly nodeDataCentres: readonly string[];
    readonly random: Random;
    readonly tuning: Partial<ClaimsTuning>;
    /** Whether the stores limit the rate of calls. */
    readonly isLimited: boolean;
    readonly flushIntervalMilliseconds: number;
    readonly maximumObjectBytes?: number;
}

/** Limit per node for bills that are not written yet. */
const BILL_MEMORY_BYTES = 64 * 1024 * 1024;

async function createCluster(options: ClusterOptions) {
    const { random } = options;
    const stores = createFakeStores(random, options.isLimited);
    const handlers = new Map<string, Map<string, PeerHandler>>();
    const members = createTable<Member>();
    const traffic = { calls: 0, bytes: new Map<string, number>() };
    const problems: string[] = [];
    const invariants = createInvariants({
        onViolation: (name, detail) => problems.push(`${name}: ${detail}`),
    });

    const serializeAndCount = (method: string, message: unknown): JsonValue => {
        const text = JSON.stringify(message);
        traffic.bytes.set(method, (traffic.bytes.get(method) ?? 0) + text.length);
        return JSON.parse(text) as JsonValue;
    };
    const callPeer = async (address: string, method: string, params: JsonValue): Promise<JsonValue> => {
        traffic.calls += 1;
        const message = serializeAndCount(method, params);
        await sleep(1);
        try {
            return serializeAndCount(method, await handlers.get(address)!.get(method)!(message));
        }
        catch (error) {
            throw new PeerError((error as Error).message, "ran");
        }
    };
    const nodes = options.nodeDataCentres.map((dataCentre, index) => {
        const id = `n${index}`;
        const self: Member = {
            id,
            incarnation: 1,
            address: `http://${id}`,
            dataCentre,
            region: "r",
            state: "alive",
        };
        members.set(id, self);
        handlers.set(self.address, new Map());
        const lifecycle = createLifecycle();
        const now = systemClock.now;
        const onError = (system: string, error: unknown): void => {
            problems.push(`${system}: ${String(error)}`);
        };
        const common = {
            ticker: createTicker({ now, onError, lifecycle }),
            lifecycle,
            membership: { self, members, active: () => [...members.values()] },
            peers: {
                handle: (method: string, handler: PeerHandler) =>
                    void handlers.get(self.address)!.set(method, handler),
                call: callPeer,
            },
            clock: systemClock,
            random,
            invariants,
            metrics: noMetrics,
            logger: silentLogging("bench"),
        };
        const { flushIntervalMilliseconds, maximumObjectBytes = 1024 * 1024 } = options;
        return {
            lifecycle,
            claims: createClaims({ ...common, tableService: stores.table, tuning: options.tuning }),
            billing: createBilling({
                ...common,
                objectStore: stores.store,
                billMemoryBytes: BILL_MEMORY_BYTES,
                tuning: { flushIntervalMilliseconds, maximumObjectBytes },
            }),
        };
    });
    for (const node of nodes) {
        await node.lifecycle.start();
    }
    return {
        nodes,
        stores,
        traffic,
        problems,
        stop: () => Promise.all(nodes.map(node => node.lifecycle.stop())),
    };
}

type Cluster = Awaited<ReturnType<typeof createCluster>>;

const OUTCOME = {
    status: 201,
    headers: { "content-type": "application/json" },
    body: "eyJib29rZWQiOnRydWV9".repeat(10),
};

const BODY_HASH = "0".repeat(64);

const createHistogram = (): Histogram => build({ highestTrackableValue: 60_000_000 });

const milliseconds = (histogram: Histogram, percentile: number): number =>
    Math.round(histogram.getValueAtPercentile(percentile) / 10) / 100;

/** Creates an identifier with the length of a UUID, as the product uses. */
function identifierOf(number: number): string {
    return `00000000-0000-4000-8000-${String(number).padStart(12, "0")}`;
}

function billOf(requestId: string) {
    return {
        requestId,
        workspace: "tambores",
        target: "pickup",
        version: "v1",
        promptTokens: 0,
        completionTokens: 0,
        cost: 0.01,
        at: Date.now(),
    };
}

/** Creates a load generator that runs bookings and counts their results. */
function createLoad(cluster: Cluster) {
    const claimTimes = createHistogram();
    const billTimes = createHistogram();
    const results: Record<ClaimResult["kind"], number> = {
        claimed: 0,
        recorded: 0,
        pending: 0,
        mismatch: 0,
        unavailable: 0,
    };
    const runs = new Map<string, number>();
    const billed = new Set<string>();
    const openBookings = new Set<Promise<void>>();
    let attempts = 0;

    const timed = async <Result>(histogram: Histogram, promise: Promise<Result>): Promise<Result> => {
        const startedAt = performance.now();
        const result = await promise;
        histogram.recordValue(Math.round((performance.now() - startedAt) * 1000));
        return result;
    };
    const book = async (claims: Claims, billing: Billing, idempotencyKey: string): Promise<void> => {
        const key = { service: "pickup", workspace: "tambores", idempotencyKey };
        const attempt = identifierOf(attempts++);
        const result = await timed(claimTimes, claims.claim(key, BODY_HASH, attempt));
        results[result.kind] += 1;
        if (result.kind !== "claimed") {
            return;
        }
        runs.set(idempotencyKey, (runs.get(idempotencyKey) ?? 0) + 1);
        await sleep(BOOKING_MILLISECONDS);
        await timed(billTimes, billing.record(billOf(attempt)));
        billed.add(attempt);
        await claims.complete(key, attempt, OUTCOME);
    };
    const start = (node: number, idempotencyKey: string): void => {
        const { claims, billing } = cluster.nodes[node % cluster.nodes.length]!;
        const promise: Promise<void> = book(claims, billing, idempotencyKey).finally(() =>
            openBookings.delete(promise),
        );
        openBookings.add(promise);
    };
    /**
     * Starts bookings at the nodes in round-robin order.
     *
     * @param rate Bookings per second.
     */
    const run = async (rate: number, seconds: number, keyPrefix: string): Promise<number> => {
        const startedAt = performance.now();
        let sent = 0;
        for (let now = startedAt; now - startedAt < seconds * 1000; now = performance.now()) {
            const due = Math.floor(((now - startedAt) / 1000) * rate);
            for (; sent < due; sent += 1) {
                start(sent, `${keyPrefix}-${sent}`);
            }
            await sleep(1);
        }
        return sent;
    };
    return {
        results,
        runs,
        billed,
        claimTimes,
        billTimes,
        start,
        run,
        waitUntilIdle: async () => {
            await Promise.all(openBookings);
        },
    };
}

/**
 * Counts keys that ran more than once, missing or duplicate bills, and errors and violations that nodes
 * reported.
 */
async function countViolations(cluster: Cluster, load: ReturnType<typeof createLoad>): Promise<number> {
    await Promise.all(cluster.nodes.map(node => node.billing.flush()));
    const invariants = createInvariants({ onViolation: (_name, detail) => cluster.problems.push(detail) });
    const missing = new Set(load.billed);
    for await (const bill of readBills(cluster.stores.store, { invariants })) {
        missing.delete(bill.requestId);
    }
    const ranTwice = [...load.runs.values()].filter(count => count > 1).length;
    return ranTwice + missing.size + cluster.problems.length;
}

const MODES: Readonly<Record<string, Partial<ClaimsTuning>>> = {
    product: {},
    groupingWithoutFanIn: { fanIn: false },
    oneTransactionPerClaim: {
        fanIn: false,
        writesPerTransaction: 1,
        transactionsPerSecond: 1e9,
        transactionsInFlight: 64,
    },
};

async function measureRate(context: ScenarioContext, mode: string, rate: number, seconds: number) {
    const cluster = await createCluster({
        nodeDataCentres: NODE_DATA_CENTRES,
        random: context.random,
        tuning: MODES[mode]!,
        isLimited: true,
        flushIntervalMilliseconds: 10_000,
    });
    const load = createLoad(cluster);
    const sent = await load.run(rate, seconds, "k");
    // An overloaded baseline would need minutes to store its outcomes. Its claims end with the claim timeout
    // (4 s).
    await Promise.race([load.waitUntilIdle(), sleep(mode === "product" ? 20_000 : 4500)]);
    const { transactions } = cluster.stores.counts;
    const name = (figure: string): string => `${figure}At${rate}PerSecond`;
    const figures = {
        [name("bookings")]: sent,
        [name("claimedShare")]: Math.round((1000 * load.results.claimed) / sent) / 1000,
        [name("claimsPerTransaction")]: Math.round((100 * load.results.claimed) / transactions) / 100,
        [name("claimP50Milliseconds")]: milliseconds(load.claimTimes, 50),
        [name("claimP99Milliseconds")]: milliseconds(load.claimTimes, 99),
    };
    const violations = mode === "product" ? await countViolations(cluster, load) : 0;
    // Does not wait for a baseline to stop: its stop would wait for the calls that are still queued.
    const stopping = cluster.stop();
    if (mode === "product") {
        await stopping;
    }
    return { figures, violations };
}

/**
 * Measures bookings during lost replies and an outage of both stores, then retries the keys that did not run.
 */
async function measureFaults(context: ScenarioContext) {
    const rate = 500;
    const cluster = await createCluster({
        nodeDataCentres: NODE_DATA_CENTRES,
        random: context.random,
        tuning: { claimTimeoutMilliseconds: 1000 },
        isLimited: true,
        flushIntervalMilliseconds: 1000,
    });
    const load = createLoad(cluster);
    await load.run(rate, 0.5, "calm");
    cluster.stores.setFault("lose", 0.3);
    await load.run(rate, 1.5, "lost");
    cluster.stores.setFault("down");
    await load.run(rate, 2, "down");
    cluster.stores.setFault("none");
    await load.waitUntilIdle();
    const beforeRetries = { ...load.results };
    const rejectedKeys = [...Array(rate * 2).keys()]
        .map(index => `down-${index}`)
        .filter(key => !load.runs.has(key));
    await sleep(2000);
    rejectedKeys.forEach((key, index) => load.start(index + 1, key));
    await load.waitUntilIdle();
    const figures = {
        faultClaimed: beforeRetries.claimed,
        faultUnavailable: beforeRetries.unavailable,
        faultPending: beforeRetries.pending,
        faultRefusedKeysTriedAgain: rejectedKeys.length,
        faultRefusedKeysThenClaimed: load.results.claimed - beforeRetries.claimed,
        faultClaimP99Milliseconds: milliseconds(load.claimTimes, 99),
        faultBills: load.billed.size,
    };
    const violations = await countViolations(cluster, load);
    await cluster.stop();
    return { figures, violations };
}

/** Measures bills per object write with the default limits. A shorter flush interval keeps the run short. */
async function measureBills(context: ScenarioContext, rate: number) {
    const seconds = 2.5;
    const cluster = await createCluster({
        nodeDataCentres: NODE_DATA_CENTRES,
        random: context.random,
        tuning: {},
        isLimited: true,
        flushIntervalMilliseconds: 1000,
    });
    const times = createHistogram();
    const records: Promise<void>[] = [];
    const startedAt = performance.now();
    let sent = 0;
    for (let now = startedAt; now - startedAt < seconds * 1000; now = performance.now()) {
        for (; sent < ((now - startedAt) / 1000) * rate; sent += 1) {
            const { billing } = cluster.nodes[sent % NODE_DATA_CENTRES.length]!;
            const recordedAt = performance.now();
            const done = billing.record(billOf(identifierOf(sent))).then(() => {
                times.recordValue(Math.round((performance.now() - recordedAt) * 1000));
            });
            records.push(done);
        }
        await sleep(1);
    }
    await Promise.all(records);
    const puts = cluster.stores.counts.puts;
    const unwritten = cluster.nodes.reduce(
        (sum, node) => sum + (node.billing.dump() as { unwrittenBills: number }).unwrittenBills,
        0,
    );
    await cluster.stop();
    const name = (figure: string): string => `${figure}At${rate}BillsPerSecond`;
    return {
        [name("billsPerObjectWriteWith1sInterval")]: Math.round((sent - unwritten) / Math.max(1, puts)),
        [name("recordP50Milliseconds")]: milliseconds(times, 50),
        [name("recordP99Milliseconds")]: milliseconds(times, 99),
    };
}

const heapAfterCollection = (): number => {
    setFlagsFromString("--expose-gc");
    const collect = runInNewContext("gc") as () => void;
    collect();
    return process.memoryUsage().heapUsed;
};

const cpuMicroseconds = (): number => {
    const { user, system } = process.cpuUsage();
    return user + system;
};

/**
 * Measures processor time, message bytes and memory per claim and per bill, on the sending and the receiving
 * node together. The stores have no rate limit. The processor time includes the fake stores and the load
 * generator.
 */
async function measureCostPerItem(context: ScenarioContext, size: number) {
    const create = () =>
        createCluster({
            nodeDataCentres: ["a", "a", "b"],
            random: context.random,
            tuning: { transactionsPerSecond: 1e9, maximumAttempts: 1e6 },
            isLimited: false,
            flushIntervalMilliseconds: 60_000,
            maximumObjectBytes: 1e9,
        });
    // Sends bursts of 200 claims from a node in the aggregator's data centre, and keeps the claims open.
    let cluster = await create();
    const dumps = cluster.nodes.map(node => node.claims.dump() as { aggregator: string });
    const senderIndex = dumps.findIndex(({ aggregator }, index) => index < 2 && aggregator !== `n${index}`);
    const node = cluster.nodes[senderIndex]!;
    const heapBefore = heapAfterCollection();
    let cpuBefore = cpuMicroseconds();
    const keyOf = (index: number) => ({
        service: "pickup",
        workspace: "w",
        idempotencyKey: identifierOf(index),
    });
    for (let index = 0; index < size; index += 200) {
        const burst = [...Array(200).keys()].map(offset => index + offset);
        await Promise.all(burst.map(item => node.claims.claim(keyOf(item), BODY_HASH, identifierOf(item))));
    }
    const claimCpu = cpuMicroseconds() - cpuBefore;
    const claimHeap = heapAfterCollection() - heapBefore;
    const submitBytes = cluster.traffic.bytes.get("claims.submit") ?? 0;
    await cluster.stop();

    cluster = await create();
    const billHeapBefore = heapAfterCollection();
    cpuBefore = cpuMicroseconds();
    for (let index = 0; index < size; index += 200) {
        const burst = [...Array(200).keys()].map(offset => index + offset);
        await Promise.all(burst.map(item => cluster.nodes[0]!.billing.record(billOf(identifierOf(item)))));
    }
    const billCpu = cpuMicroseconds() - cpuBefore;
    const billHeap = heapAfterCollection() - billHeapBefore;
    const copyBytes = cluster.traffic.bytes.get("billing.copy") ?? 0;
    await cluster.stop();
    const name = (figure: string): string => `${figure}At${size}`;
    const perItem = (total: number): number => Math.round((10 * total) / size) / 10;
    return {
        [name("claimCpuMicroseconds")]: perItem(claimCpu),
        [name("claimMessageBytes")]: perItem(submitBytes),
        [name("heldClaimBytesWithFakeRow")]: perItem(claimHeap),
        [name("billCpuMicroseconds")]: perItem(billCpu),
        [name("billMessageBytes")]: perItem(copyBytes),
        [name("heldBillBytesWithCopy")]: perItem(billHeap),
    };
}

/** Seconds of load per mode and rate. An overloaded baseline takes up to 4.5 s more. */
const RATE_SECONDS = 1.5;
const LONG_RATE_SECONDS = 10;

export const claimsScenario: Scenario = {
    name: "claims",
    description:
        "Bookings on 9 nodes with a table service of 300 writes/s, against one transaction per claim and grouping without fan-in",
    runs: "decision code",
    run: async context => {
        const seconds = context.long ? LONG_RATE_SECONDS : RATE_SECONDS;
        const figures: Record<string, number | string | boolean | null> = {};
        const baselines: Record<string, Figures> = {};
        let violations = 0;
        for (const mode of Object.keys(MODES)) {
            const modeFigures: Record<string, number | string | boolean | null> = {};
            for (const rate of BOOKINGS_PER_SECOND) {
                context.progress(`${mode} at ${rate} bookings/s`);
                const result = await measureRate(context, mode, rate, seconds);
                violations += result.violations;
                Object.assign(modeFigures, result.figures);
            }
            if (mode === "product") {
                Object.assign(figures, modeFigures);
            }
            else {
                baselines[mode] = modeFigures;
            }
        }
        context.progress("lost replies and an outage");
        const faults = await measureFaults(context);
        violations += faults.violations;
        Object.assign(figures, faults.figures);
        context.progress("bills");
        for (const rate of [200, 2000]) {
            Object.assign(figures, await measureBills(context, rate));
        }
        for (const size of ITEM_COUNTS) {
            context.progress(`cost per claim and bill, ${size} of each`);
            Object.assign(figures, await measureCostPerItem(context, size));
        }
        return { figures, baselines, violations };
    },
};
