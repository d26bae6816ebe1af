/** Simulation of a cluster with random faults. Records requests and their responses, and checks them. */
import type { CallerReply, Submission } from "../../callers/reply.js";
import { createInvariants } from "../../invariants/invariants.js";
import { COPIES } from "../../billing/constants.js";
import { readBills } from "../../billing/read-bills.js";
import type { EntityChange, Ticket } from "../../configuration/entities.js";
import { createFakeObjectStore, createServiceFaults } from "../../outside-services/__tests__/fakes.js";
import type { Verdict } from "../../verdict/verdict.js";
import { advance, createCluster, mockClock } from "./cluster.js";
import type { Cluster, ClusterNode } from "./cluster.js";
import { tokenText } from "./fake-upstreams.js";
import type { FaultStep } from "./fault-steps.js";

const NODE_COUNT = 5;
const DATA_CENTRES = ["dc-1", "dc-2"];
const COLD_CONCURRENCY = 2;

/**
 * Maximum time from the acceptance of a ticket until it is in force at all nodes that serve requests: 5 s for
 * the distribution, and 3 s for which a partitioned node may continue to serve.
 */
const IN_FORCE_MILLISECONDS = 8000;

/** Maximum time until peers detect a dead node and have copied its bills again. */
const RECOPY_TIME_MILLISECONDS = 15_000;

/** A request of a caller and its response. */
interface RecordedRequest {
    readonly tag: string;
    readonly at: number;
    readonly kind: "complete" | "book";
    readonly tokens: number;
    readonly node: ClusterNode;
    readonly session: number;
    status: number;
    verdict: Verdict | undefined;
    body: string;
    ended: boolean;
    isComplete: boolean;
    requestId: string;
    version: string;
    /** Number of nodes that could store a copy of the bill when the response ended. */
    reachableNodes: number;
    endedAt: number;
}

/** Restriction that a ticket put in force. No request that starts while it applies may violate it. */
interface Restriction {
    readonly from: number;
    until: number;
    readonly forbids: (version: string, upstream: string) => boolean;
    readonly text: string;
}

export interface FaultSimulation {
    run(step: FaultStep): Promise<void>;
    /** Ends all faults, starts missing nodes, waits until all requests have ended, and checks the bills. */
    recover(): Promise<void>;
    /** Checks the remaining properties. Returns a description of each violation found. */
    failures(): readonly string[];
    dispose(): void;
}

const UPSTREAMS = [
    { name: "engine-1", version: "small/v1" },
    { name: "engine-2", version: "small/v1" },
    { name: "engine-3", version: "small/v2" },
    { name: "engine-4", version: "small/v2" },
    { name: "engine-5", version: "large/v1" },
    { name: "engine-6", version: "large/v1" },
    { name: "service-1", version: "" },
    { name: "service-2", version: "" },
];

function dataCentreOfUpstream(index: number): string {
    return DATA_CENTRES[index % 2]!;
}

function upstreamState(index: number, state: "active" | "leaving"): EntityChange {
    const { name, version } = UPSTREAMS[index]!;
    const [model, versionName] = version.split("/");
    return {
        kind: "upstream",
        name,
        state: {
            kind: version === "" ? "service" : "engine",
            address: `http://${name}`,
            dataCentre: dataCentreOfUpstream(index),
            region: "region",
            ...(version === "" ? { service: "dispatch" } : { model: model!, version: versionName! }),
            warm: { concurrency: 20, memoryTokens: 10_000 },
            cold: { concurrency: COLD_CONCURRENCY, memoryTokens: 2000 },
            checksFencing: true,
            costPerThousandTokens: 1,
            state,
        },
    };
}

function smallModel(withdrawn: boolean): EntityChange {
    return {
        kind: "model",
        name: "small",
        state: {
            versions: [
                { name: "v1", state: "active" },
                { name: "v2", state: withdrawn ? "withdrawn" : "active" },
            ],
            baseline: "v1",
            spill: [],
        },
    };
}

function dataCentre(name: string, state: "active" | "drained"): EntityChange {
    return { kind: "dataCentre", name, state: { region: "region", state } };
}

function workspace(name: string, models: readonly string[]): EntityChange {
    return {
        kind: "workspace",
        name,
        state: {
            keyHashes: [],
            models: [...models],
            services: ["dispatch"],
            qualityTarget: 0.9,
            requestsPerSecond: 10_000,
            concurrency: 10_000,
        },
    };
}

const INITIAL_TICKET: Ticket = {
    number: 1,
    changes: [
        ...DATA_CENTRES.map(name => dataCentre(name, "active")),
        smallModel(false),
        {
            kind: "model",
            name: "large",
            state: { versions: [{ name: "v1", state: "active" }], baseline: "v1", spill: [] },
        },
        { kind: "cascade", name: "both", state: { steps: ["small", "large"], judge: "rating" } },
        { kind: "service", name: "dispatch", state: { repeatable: [] } },
        ...UPSTREAMS.map((_upstream, index) => upstreamState(index, "active")),
        workspace("alpha", ["small", "large", "both"]),
    ],
};

export async function createFaultSimulation(seed: number): Promise<FaultSimulation> {
    mockClock();
    const ids = Array.from({ length: NODE_COUNT }, (_unused, index) => `node-${index}`);
    const cluster: Cluster = createCluster({
        seed,
        upstreams: UPSTREAMS,
        dataCentreOf: id => DATA_CENTRES[Number(id.slice("node-".length)) % 2]!,
        seeds: ids.slice(0, 2),
    });
    const recordedRequests: RecordedRequest[] = [];
    const restrictions: Restriction[] = [];
    const failures: string[] = [];
    const pendingStops: Promise<void>[] = [];
    let nextTag = 0;
    let ticketNumber = 1;

    for (const id of ids) {
        await cluster.start(id);
    }
    await advance(3000);
    const first = await waitFor(cluster.nodes.get("node-0")!.apply(INITIAL_TICKET));
    if (first.kind !== "accepted") {
        throw new Error(`the initial ticket was not accepted: ${JSON.stringify(first)}`);
    }
    await advance(9000);

    /** Advances the mock time until a promise has settled. */
    async function waitFor<Result>(promise: Promise<Result>): Promise<Result> {
        let result: { readonly value: Result } | undefined;
        promise.then(
            value => {
                result = { value };
            },
            (error: unknown) => {
                failures.push(`a promise failed: ${String(error)}`);
            },
        );
        for (let waited = 0; waited < 60_000 && result === undefined; waited += 100) {
            await advance(100);
        }
        if (result === undefined) {
            throw new Error("a promise did not settle within 60 s");
        }
        return result.value;
    }

    const pickNode = (index: number): ClusterNode | undefined => {
        const running = [...cluster.nodes.values()];
        return running[index % Math.max(1, running.length)];
    };

    /** Number of active members that a node can reach, to which it can copy bills. */
    const countReachablePeers = (node: ClusterNode): number =>
        node.node.membership
            .active()
            .map(member => cluster.nodes.get(member.id))
            .filter(
                other =>
                    other !== undefined &&
                    other !== node &&
                    !other.isPaused() &&
                    !cluster.isPartitioned(node.id, other.id) &&
                    !cluster.isPartitioned(other.id, node.id),
            ).length;

    /**
     * A bill is stored by its node and by COPIES peers. It may be lost only if its node was killed and either
     * more than COPIES nodes were killed before it could be copied again, or fewer than COPIES peers were
     * reachable.
     */
    const mayLoseBill = (entry: RecordedRequest): boolean => {
        const killed = killTimes.filter(at => at >= entry.endedAt - RECOPY_TIME_MILLISECONDS).length;
        return entry.node.hasExited() && (killed > COPIES || entry.reachableNodes < COPIES);
    };
    const killTimes: number[] = [];

    const createReply = (entry: RecordedRequest): CallerReply => ({
        head: (status, headers) => {
            entry.status = status;
            entry.requestId = headers["request-id"] ?? "";
            entry.version = headers["model-version"] ?? "";
            entry.verdict = headers["verdict"] as Verdict | undefined;
        },
        write: chunk => {
            entry.body += chunk.toString();
            return true;
        },
        end: chunk => {
            entry.body += chunk?.toString() ?? "";
            entry.ended = true;
            entry.endedAt = Date.now();
            entry.reachableNodes = countReachablePeers(entry.node);
            checkAnswer(entry);
        },
        onDrain: () => undefined,
        onDisconnect: () => undefined,
    });

    const submitRequest = (node: ClusterNode, entry: RecordedRequest, submission: Submission): void => {
        recordedRequests.push(entry);
        node.submit(submission, createReply(entry));
    };

    const createRecord = (
        node: ClusterNode,
        kind: RecordedRequest["kind"],
        tag: string,
        tokens: number,
        session = -1,
    ): RecordedRequest => ({
        tag,
        at: Date.now(),
        kind,
        tokens,
        node,
        session,
        status: 0,
        verdict: undefined,
        body: "",
        ended: false,
        isComplete: false,
        requestId: "",
        version: "",
        reachableNodes: 0,
        endedAt: 0,
    });

    /** Checks an answer after it has ended. */
    const checkAnswer = (entry: RecordedRequest): void => {
        if (entry.kind === "book") {
            entry.isComplete = entry.status === 201;
            return;
        }
        const expected = Array.from({ length: entry.tokens }, (_unused, index) =>
            tokenText(entry.tag, index + 1),
        ).join("");
        if (entry.status !== 200) {
            return;
        }
        const isStream = entry.body.startsWith("id: ");
        const text = isStream
            ? [...entry.body.matchAll(/^data: (\{.*\})$/gm)]
                  .filter(match => !match[1]!.startsWith('{"error"'))
                  .map(
                      match =>
                          (JSON.parse(match[1]!) as { choices: { delta: { content: string } }[] }).choices[0]!
                              .delta.content,
                  )
                  .join("")
            : (JSON.parse(entry.body) as { choices: { message: { content: string } }[] }).choices[0]!.message
                  .content;
        const ended = !isStream || entry.body.endsWith("data: [DONE]\n\n");
        entry.isComplete = ended && text === expected;
        if (ended && text !== expected) {
            failures.push(`whole-answer: request ${entry.tag} got "${text}" instead of "${expected}"`);
        }
        if (!ended && !entry.body.includes("event: error")) {
            failures.push(`whole-answer: request ${entry.tag} ended early without an error`);
        }
        if (!expected.startsWith(text)) {
            failures.push(`whole-answer: request ${entry.tag} got text of another request "${text}"`);
        }
    };

    const complete = (step: FaultStep & { kind: "complete" }): void => {
        const node = pickNode(step.node);
        if (node === undefined) {
            return;
        }
        nextTag += 1;
        const tag = `c${nextTag}`;
        submitRequest(node, createRecord(node, "complete", tag, step.tokens, step.session), {
            kind: "completion",
            workspace: "alpha",
            path: "/v1/chat/completions",
            body: {
                model: ["small", "large", "both"][step.target]!,
                stream: step.stream,
                max_tokens: step.tokens,
                messages: [{ role: "user", content: tag }],
            },
            sessionId: step.session === 0 ? undefined : `session-${step.session}`,
            sessionToken: undefined,
            timeoutMilliseconds: undefined,
        });
    };

    const book = (step: FaultStep & { kind: "book" }): void => {
        const node = pickNode(step.node);
        if (node === undefined) {
            return;
        }
        nextTag += 1;
        const booking = step.key === 0 ? `unkeyed-${nextTag}` : `keyed-${step.key}`;
        submitRequest(node, createRecord(node, "book", booking, 0), {
            kind: "service",
            workspace: "alpha",
            service: "dispatch",
            method: "POST",
            path: "/bookings",
            headers: {},
            body: Buffer.from(JSON.stringify({ booking })),
            idempotencyKey: step.key === 0 ? undefined : `key-${step.key}`,
            timeoutMilliseconds: undefined,
        });
    };

    /** Changes by tickets, each with what it forbids until a later ticket changes the same entity. */
    const changes: readonly { readonly change: EntityChange; readonly forbids?: Restriction["forbids"] }[] = [
        { change: smallModel(true), forbids: version => version === "small/v2" },
        { change: smallModel(false) },
        {
            change: dataCentre("dc-2", "drained"),
            forbids: (_version, upstream) =>
                dataCentreOfUpstream(UPSTREAMS.findIndex(({ name }) => name === upstream)) === "dc-2",
        },
        { change: dataCentre("dc-2", "active") },
        { change: upstreamState(0, "leaving"), forbids: (_version, upstream) => upstream === "engine-1" },
        { change: upstreamState(0, "active") },
    ];

    const applyTicket = (step: FaultStep & { kind: "ticket" }): void => {
        const node = pickNode(step.node);
        if (node === undefined) {
            return;
        }
        const { change, forbids } = changes[step.change]!;
        const number = step.old ? Math.max(2, ticketNumber - 1) : (ticketNumber += 1);
        const entity = `${change.kind}/${change.name}`;
        node.apply({ number, changes: [change] }).then(
            outcome => {
                if (outcome.kind !== "accepted") {
                    return;
                }
                for (const restriction of restrictions) {
                    if (restriction.text.startsWith(`${entity} `)) {
                        restriction.until = Math.min(restriction.until, Date.now());
                    }
                }
                if (forbids !== undefined) {
                    restrictions.push({
                        from: Date.now() + IN_FORCE_MILLISECONDS,
                        until: Infinity,
                        forbids,
                        text: `${entity} ticket ${number} revision ${outcome.revision}`,
                    });
                }
                acceptedOrder.push({ entity, revision: outcome.revision });
            },
            (error: unknown) => failures.push(`ticket ${number} failed: ${String(error)}`),
        );
        // If the node that submitted a ticket is killed, an acceptance is not reported. The ticket may
        // therefore lift a restriction at any time.
        for (const restriction of restrictions) {
            if (restriction.text.startsWith(`${entity} `)) {
                restriction.until = Math.min(restriction.until, Date.now());
            }
        }
    };
    const acceptedOrder: { readonly entity: string; readonly revision: number }[] = [];

    const startMissingNode = async (): Promise<void> => {
        const missing = ids.find(id => !cluster.nodes.has(id));
        if (missing !== undefined) {
            const start = cluster.start(missing);
            await advance(10);
            start.catch((error: unknown) => failures.push(`node ${missing} did not start: ${String(error)}`));
        }
    };

    const isSelected = (mask: number, id: string): boolean =>
        ((mask >> Number(id.slice("node-".length))) & 1) === 1;
    let callCount = 0;

    const run = async (step: FaultStep): Promise<void> => {
        switch (step.kind) {
            case "complete":
                return complete(step);
            case "book":
                return book(step);
            case "ticket":
                return applyTicket(step);
            case "pass":
                return advance(step.milliseconds);
            case "kill":
                killTimes.push(Date.now());
                return pickNode(step.node)?.kill();
            case "stop": {
                const node = pickNode(step.node);
                if (node !== undefined && cluster.nodes.size > 1) {
                    pendingStops.push(node.stop());
                }
                return;
            }
            case "start":
                return startMissingNode();
            case "pause":
                return pickNode(step.node)?.pause(step.milliseconds);
            case "cut":
                cluster.isPartitioned = (from, to) =>
                    isSelected(step.nodes, from) !== isSelected(step.nodes, to);
                return;
            case "cut-platform":
                cluster.isPlatformUnreachable = id => isSelected(step.nodes, id);
                return;
            case "heal-network":
                cluster.isPartitioned = () => false;
                cluster.isPlatformUnreachable = () => false;
                return;
            case "table":
            case "store": {
                const faults = step.kind === "table" ? cluster.tableFaults : cluster.storeFaults;
                faults.down = step.down;
                faults.losesResponse = () => step.loses > 0 && (callCount += 1) % step.loses === 0;
                return;
            }
            case "upstream": {
                const upstream = cluster.upstreams.all[step.upstream]!;
                if (step.fault === "restart") {
                    upstream.restart();
                }
                else if (step.fault === "down" || step.fault === "up") {
                    upstream.faults.down = step.fault === "down";
                }
                else {
                    upstream.faults[step.fault] += 1;
                }
            }
        }
    };

    const recover = async (): Promise<void> => {
        cluster.isPartitioned = () => false;
        cluster.isPlatformUnreachable = () => false;
        for (const faults of [cluster.tableFaults, cluster.storeFaults]) {
            faults.down = false;
            faults.losesResponse = () => false;
        }
        for (const upstream of cluster.upstreams.all) {
            upstream.faults.down = false;
        }
        await advance(20_000);
        while (cluster.nodes.size < NODE_COUNT) {
            await startMissingNode();
            await advance(1000);
        }
        // Long enough for request deadlines, and for peers to declare nodes dead and write their bills.
        await advance(60_000);
        await Promise.race([Promise.all(pendingStops), advance(30_000)]);
        await checkBills();
    };

    const checkBills = async (): Promise<void> => {
        const invariants = createInvariants({
            onViolation: (_invariant, detail) => failures.push(`billed-once: ${detail}`),
        });
        const billed = new Set<string>();
        const collect = (async () => {
            for await (const bill of readBills(
                createFakeObjectStore(createServiceFaults(), cluster.objects),
                { invariants },
            )) {
                billed.add(bill.requestId);
            }
        })();
        await waitFor(collect);
        for (const entry of recordedRequests) {
            if (
                entry.isComplete &&
                entry.kind === "complete" &&
                !billed.has(entry.requestId) &&
                !mayLoseBill(entry)
            ) {
                failures.push(
                    `billed-once: request ${entry.tag} (${entry.requestId}) was answered but not billed; ${entry.reachableNodes} nodes reachable at its end, nodes killed ${killTimes.map(at => at - entry.endedAt).join(", ")} ms after it, node has exited: ${entry.node.hasExited()}`,
                );
            }
        }
    };

    const checkBookings = (): void => {
        for (const [booking, runs] of cluster.upstreams.bookings) {
            if (runs > 1) {
                failures.push(`at-most-once: booking ${booking} ran ${runs} times`);
            }
        }
    };

    const checkRejections = (): void => {
        const startedTags = new Set(cluster.upstreams.started.map(work => work.tag));
        for (const entry of recordedRequests) {
            // With an idempotency key, another request with the same key may have run the booking.
            if (
                entry.verdict === "not-run" &&
                !entry.tag.startsWith("keyed-") &&
                startedTags.has(entry.tag)
            ) {
                failures.push(`true-refusal: request ${entry.tag} was rejected as not-run but ran`);
            }
        }
    };

    const checkRestrictions = (): void => {
        for (const work of cluster.upstreams.started) {
            for (const restriction of restrictions) {
                if (
                    work.at > restriction.from &&
                    work.at < restriction.until &&
                    restriction.forbids(work.version, work.upstream)
                ) {
                    failures.push(
                        `${restriction.text} forbids ${work.tag} on ${work.upstream} at ${work.at}`,
                    );
                }
            }
        }
    };

    const checkCompletion = (): void => {
        for (const entry of recordedRequests) {
            if (!entry.ended && !entry.node.hasExited()) {
                failures.push(`request ${entry.tag} (${entry.kind}) at ${entry.node.id} never ended`);
            }
        }
    };

    return {
        run,
        recover,
        failures: () => {
            checkBookings();
            checkRejections();
            checkRestrictions();
            checkCompletion();
            return [...failures, ...cluster.violations];
        },
        dispose: () => cluster.dispose(),
    };
}
