/** The world of a random run: a cluster, callers that remember what they were told, and the checks. */
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
const COLD_BUDGET = 2;

/**
 * Milliseconds after its acceptance within which a ticket is in force at every node that serves: 5 s to spread,
 * and 3 s for which a cut-off node may go on.
 */
const IN_FORCE_MILLISECONDS = 8000;

/** Milliseconds within which peers notice a dead node and bills are copied again. */
const RECOPY_TIME_MILLISECONDS = 15_000;

/** What a caller asked for and was told. */
interface Asked {
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
    whole: boolean;
    requestId: string;
    version: string;
    /** Nodes that could take a copy of the bill when the answer ended. */
    reachableNodes: number;
    endedAt: number;
}

/** A restriction that a ticket brought, for the check that no new work violates it. */
interface Restriction {
    readonly from: number;
    until: number;
    readonly forbids: (version: string, upstream: string) => boolean;
    readonly text: string;
}

export interface World {
    run(step: FaultStep): Promise<void>;
    /** Ends all faults and lets the system settle. */
    heal(): Promise<void>;
    /** Violations of the properties, in words. */
    problems(): readonly string[];
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
            cold: { concurrency: COLD_BUDGET, memoryTokens: 2000 },
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

const FIRST_TICKET: Ticket = {
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

export async function createWorld(seed: number): Promise<World> {
    mockClock();
    const ids = Array.from({ length: NODE_COUNT }, (_unused, index) => `node-${index}`);
    const cluster: Cluster = createCluster({
        seed,
        upstreams: UPSTREAMS,
        dataCentreOf: id => DATA_CENTRES[Number(id.slice("node-".length)) % 2]!,
        seeds: ids.slice(0, 2),
    });
    const asked: Asked[] = [];
    const restrictions: Restriction[] = [];
    const found: string[] = [];
    const stopping: Promise<void>[] = [];
    let nextTag = 0;
    let ticketNumber = 1;

    for (const id of ids) {
        await cluster.start(id);
    }
    await advance(3000);
    const first = await settled(cluster.nodes.get("node-0")!.apply(FIRST_TICKET));
    if (first.kind !== "accepted") {
        throw new Error(`the first ticket was not accepted: ${JSON.stringify(first)}`);
    }
    await advance(9000);

    /** Lets time pass until a promise has settled. */
    async function settled<Result>(promise: Promise<Result>): Promise<Result> {
        let result: { readonly value: Result } | undefined;
        promise.then(
            value => {
                result = { value };
            },
            (error: unknown) => {
                found.push(`a promise failed: ${String(error)}`);
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

    /** Nodes that a node knows as active members and can reach now: those that it can copy bills to. */
    const reachableFrom = (node: ClusterNode): number =>
        node.node.membership
            .active()
            .map(member => cluster.nodes.get(member.id))
            .filter(
                other =>
                    other !== undefined &&
                    other !== node &&
                    !other.isPaused() &&
                    !cluster.isCut(node.id, other.id) &&
                    !cluster.isCut(other.id, node.id),
            ).length;

    /**
     * A bill is held by its node and by COPIES peers. It may be lost only when its node was killed and either
     * more nodes than it had copies were killed before it could be copied again, or fewer peers were in reach.
     */
    const mayLoseBill = (entry: Asked): boolean => {
        const killed = kills.filter(at => at >= entry.endedAt - RECOPY_TIME_MILLISECONDS).length;
        return entry.node.isGone() && (killed > COPIES || entry.reachableNodes < COPIES);
    };
    const kills: number[] = [];

    const createReply = (entry: Asked): CallerReply => ({
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
            entry.reachableNodes = reachableFrom(entry.node);
            judge(entry);
        },
        onDrain: () => undefined,
        onGone: () => undefined,
    });

    const ask = (node: ClusterNode, entry: Asked, submission: Submission): void => {
        asked.push(entry);
        node.submit(submission, createReply(entry));
    };

    const newEntry = (
        node: ClusterNode,
        kind: Asked["kind"],
        tag: string,
        tokens: number,
        session = -1,
    ): Asked => ({
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
        whole: false,
        requestId: "",
        version: "",
        reachableNodes: 0,
        endedAt: 0,
    });

    /** Checks an answer when it has ended. */
    const judge = (entry: Asked): void => {
        if (entry.kind === "book") {
            entry.whole = entry.status === 201;
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
        entry.whole = ended && text === expected;
        if (ended && text !== expected) {
            found.push(`whole-answer: request ${entry.tag} got "${text}" instead of "${expected}"`);
        }
        if (!ended && !entry.body.includes("event: error")) {
            found.push(`whole-answer: request ${entry.tag} ended early without an error`);
        }
        if (!expected.startsWith(text)) {
            found.push(`whole-answer: request ${entry.tag} got foreign text "${text}"`);
        }
    };

    const complete = (step: FaultStep & { kind: "complete" }): void => {
        const node = pickNode(step.node);
        if (node === undefined) {
            return;
        }
        nextTag += 1;
        const tag = `c${nextTag}`;
        ask(node, newEntry(node, "complete", tag, step.tokens, step.session), {
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
        ask(node, newEntry(node, "book", booking, 0), {
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

    /** Changes that tickets make, each with what it forbids while it is the last word on its entity. */
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
            (error: unknown) => found.push(`ticket ${number} failed: ${String(error)}`),
        );
        // An accepted ticket whose author dies is not reported; it may lift a restriction at any time.
        for (const restriction of restrictions) {
            if (restriction.text.startsWith(`${entity} `)) {
                restriction.until = Math.min(restriction.until, Date.now());
            }
        }
    };
    const acceptedOrder: { readonly entity: string; readonly revision: number }[] = [];

    const startMissing = async (): Promise<void> => {
        const missing = ids.find(id => !cluster.nodes.has(id));
        if (missing !== undefined) {
            const start = cluster.start(missing);
            await advance(10);
            start.catch((error: unknown) => found.push(`node ${missing} did not start: ${String(error)}`));
        }
    };

    const bit = (mask: number, id: string): boolean => ((mask >> Number(id.slice("node-".length))) & 1) === 1;
    let losses = 0;

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
                kills.push(Date.now());
                return pickNode(step.node)?.kill();
            case "stop": {
                const node = pickNode(step.node);
                if (node !== undefined && cluster.nodes.size > 1) {
                    stopping.push(node.stop());
                }
                return;
            }
            case "start":
                return startMissing();
            case "pause":
                return pickNode(step.node)?.pause(step.milliseconds);
            case "cut":
                cluster.isCut = (from, to) => bit(step.nodes, from) !== bit(step.nodes, to);
                return;
            case "cut-platform":
                cluster.isCutFromPlatform = id => bit(step.nodes, id);
                return;
            case "heal-network":
                cluster.isCut = () => false;
                cluster.isCutFromPlatform = () => false;
                return;
            case "table":
            case "store": {
                const faults = step.kind === "table" ? cluster.tableFaults : cluster.storeFaults;
                faults.down = step.down;
                faults.losesResponse = () => step.loses > 0 && (losses += 1) % step.loses === 0;
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

    const heal = async (): Promise<void> => {
        cluster.isCut = () => false;
        cluster.isCutFromPlatform = () => false;
        for (const faults of [cluster.tableFaults, cluster.storeFaults]) {
            faults.down = false;
            faults.losesResponse = () => false;
        }
        for (const upstream of cluster.upstreams.all) {
            upstream.faults.down = false;
        }
        await advance(20_000);
        while (cluster.nodes.size < NODE_COUNT) {
            await startMissing();
            await advance(1000);
        }
        // Long enough for deadlines, for peers to declare nodes dead, and for their bills to be written.
        await advance(60_000);
        await Promise.race([Promise.all(stopping), advance(30_000)]);
        await checkBills();
    };

    const checkBills = async (): Promise<void> => {
        const invariants = createInvariants({
            onViolation: (_invariant, detail) => found.push(`billed-once: ${detail}`),
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
        await settled(collect);
        for (const entry of asked) {
            if (
                entry.whole &&
                entry.kind === "complete" &&
                !billed.has(entry.requestId) &&
                !mayLoseBill(entry)
            ) {
                found.push(
                    `billed-once: request ${entry.tag} (${entry.requestId}) was answered and not billed; ${entry.reachableNodes} nodes in reach at its end, nodes killed ${kills.map(at => at - entry.endedAt).join(", ")} ms after it, owner gone: ${entry.node.isGone()}`,
                );
            }
        }
    };

    const checkBookings = (): void => {
        for (const [booking, runs] of cluster.upstreams.bookings) {
            if (runs > 1) {
                found.push(`at-most-once: booking ${booking} ran ${runs} times`);
            }
        }
    };

    const checkRefusals = (): void => {
        const startedTags = new Set(cluster.upstreams.started.map(work => work.tag));
        for (const entry of asked) {
            // Other attempts with the same key may have run the booking; unkeyed ones are their own.
            if (
                entry.verdict === "not-run" &&
                !entry.tag.startsWith("keyed-") &&
                startedTags.has(entry.tag)
            ) {
                found.push(`true-refusal: request ${entry.tag} was refused as not-run and ran`);
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
                    found.push(`${restriction.text} forbids ${work.tag} on ${work.upstream} at ${work.at}`);
                }
            }
        }
    };

    const checkEnds = (): void => {
        for (const entry of asked) {
            if (!entry.ended && !entry.node.isGone()) {
                found.push(`request ${entry.tag} (${entry.kind}) at ${entry.node.id} never ended`);
            }
        }
    };

    return {
        run,
        heal,
        problems: () => {
            checkBookings();
            checkRefusals();
            checkRestrictions();
            checkEnds();
            return [...found, ...cluster.violations];
        },
        dispose: () => cluster.dispose(),
    };
}
