/**
 * Counts of all nodes over the peers' listener: the holder of the lease collects them, and each node hands its
 * recent counts to another one every second, so that they survive its process.
 *
 * Designed for 660 nodes: the holder calls a leader of each group of about 26 nodes, which calls its members, so
 * that no node makes more than some 26 calls in a window.
 */
import { createBoundedMap } from "../common/bounded-map.js";
import { rendezvousOrder } from "../common/hash.js";
import type { Clock } from "../common/clock.js";
import type { JsonValue } from "../common/json.js";
import type { Peers } from "../peers/peers.js";
import type { WorkspaceCounts } from "./duty-receiver.js";
import { addCounts, createCountCopies } from "./run-counts.js";
import type { CopiedRuns, RunCounts } from "./run-counts.js";
import { createWindowBounds } from "./window-bounds.js";
import type { CountedPeriod } from "./window-bounds.js";

/** A node that is asked for its counts. */
export interface CountedNode {
    readonly id: string;
    /** Base URL of its peer listener. */
    readonly peerAddress: string;
}

/** What a node states about itself with its counts. */
interface CountingProcess {
    readonly id: string;
    readonly process: string;
    /** Start of the process on the store's clock, milliseconds. */
    readonly startedAt: number;
    /** Time of day minus the store's clock, milliseconds. */
    readonly wallOffset: number;
}

interface CountRequest {
    readonly periods: readonly CountedPeriod[];
    /** Nodes that the called one asks in turn. */
    readonly members?: readonly CountedNode[];
}

interface CountResponse {
    readonly processes: readonly CountingProcess[];
    /** Sum of the counts of the processes in each period. */
    readonly counts: readonly WorkspaceCounts[];
}

interface CopiesRequest {
    readonly origins: readonly string[];
    readonly periods: readonly CountedPeriod[];
}

/** Counts in each period by process, by node. */
type CopiesResponse = Readonly<Record<string, Readonly<Record<string, readonly WorkspaceCounts[]>>>>;

export interface CollectedCounts {
    /** Rounded counts in each period. */
    readonly counts: readonly WorkspaceCounts[];
    /** Time of day minus the store's clock at each node that answered. */
    readonly wallOffsets: readonly number[];
    readonly answered: number;
    /** Start of the oldest process that answered, on the store's clock; `Infinity` if none did. */
    readonly oldestStart: number;
    /** Nodes that did not answer. */
    readonly missing: readonly string[];
    /** Nodes among them that were heard lately, so that they may answer later. */
    readonly silent: number;
    /** Processes whose counts came from a copy. */
    readonly copied: number;
}

export interface UsageCollection {
    /** Counts of all nodes in periods of the store's clock. */
    collect(periods: readonly CountedPeriod[]): Promise<CollectedCounts>;
    /** Hands the counts since the last time to another node. */
    handOver(): Promise<void>;
}

export interface UsageCollectionOptions {
    readonly node: string;
    /** Unique per process start. */
    readonly process: string;
    /** All nodes, with this one. */
    readonly nodes: () => readonly CountedNode[];
    /** Ids of nodes that left the list lately. Their counts are in copies. */
    readonly leftNodes: () => readonly string[];
    /** Whether a node takes part in what the nodes share; true for all while this node hears few others. */
    readonly isActive: (node: string) => boolean;
    /** Whether a node was heard within the last seconds. */
    readonly wasHeard: (node: string) => boolean;
    readonly counts: RunCounts;
    readonly peers: Peers;
    readonly clock: Clock;
    /** Store's clock minus the monotonic clock, milliseconds. */
    readonly clockOffset: () => number | undefined;
}

const COUNT_METHOD = "duties.count";
const COPY_METHOD = "duties.copy";
const COPIES_METHOD = "duties.copies";

const CALL_TIMEOUT_MILLISECONDS = 700;

/** A leader waits for its members before it answers. */
const LEADER_TIMEOUT_MILLISECONDS = 2 * CALL_TIMEOUT_MILLISECONDS;

/** Calls that run at the same time. */
const PARALLEL_CALLS = 16;

/** Nodes up to which the holder calls each one itself. */
const MAXIMUM_DIRECT_NODES = 32;

/** Nodes that may hold copies of the counts of a node: the first live ones in its order. */
const COPY_HOLDERS = 4;

/** Time for which a node is not chosen for copies after a failed hand-over, milliseconds. */
const FAILED_HOLDER_MILLISECONDS = 20_000;

const MAXIMUM_FAILED_HOLDERS = 64;

/** Time of which a new holder of copies gets the counts, milliseconds. */
const FIRST_COPY_MILLISECONDS = 15_000;

/** Runs a function for each value, with a bounded number at the same time. */
async function forEachParallel<Value>(
    values: readonly Value[],
    run: (value: Value) => Promise<void>,
): Promise<void> {
    const rest = [...values];
    const work = async (): Promise<void> => {
        for (let value = rest.shift(); value !== undefined; value = rest.shift()) {
            await run(value);
        }
    };
    await Promise.all(Array.from({ length: Math.min(PARALLEL_CALLS, values.length) }, work));
}

function createSum(periods: readonly CountedPeriod[]) {
    const sums = periods.map(() => new Map<string, number>());
    return {
        add: (counts: readonly WorkspaceCounts[]): void =>
            sums.forEach((sum, index) => addCounts(sum, counts[index] ?? {})),
        values: (): readonly WorkspaceCounts[] => sums.map(sum => Object.fromEntries(sum)),
    };
}

function rounded(counts: WorkspaceCounts): WorkspaceCounts {
    return Object.fromEntries(
        Object.entries(counts)
            .map(([workspace, count]) => [workspace, Math.round(count)] as const)
            .filter(([, count]) => count > 0)
            .sort(([first], [second]) => (first < second ? -1 : 1)),
    );
}

function totalOf(counts: readonly WorkspaceCounts[]): number {
    return counts.flatMap(each => Object.values(each)).reduce((sum, count) => sum + count, 0);
}

export function createUsageCollection(options: UsageCollectionOptions): UsageCollection {
    const { peers, clock, counts } = options;
    const startedAt = clock.now();
    const copies = createCountCopies();
    const bounds = createWindowBounds();
    let copyHolder: string | undefined;
    /** Monotonic time of the last failed hand-over, by node. */
    const failedAt = createBoundedMap<number>(MAXIMUM_FAILED_HOLDERS);
    /** Monotonic time up to which the holder of copies has the counts. */
    let copiedUntil = 0;
    /** Newest bound of a window that the holder of copies has. */
    let copiedBound: number | undefined;

    const storeNow = (): number | undefined => {
        const offset = options.clockOffset();
        return offset === undefined ? undefined : clock.now() + offset;
    };

    const countOwn = (periods: readonly CountedPeriod[]): CountResponse => {
        const offset = options.clockOffset();
        if (offset === undefined) {
            throw new Error("the store's clock is not known yet");
        }
        const self: CountingProcess = {
            id: options.node,
            process: options.process,
            startedAt: startedAt + offset,
            wallOffset: clock.wallTime() - clock.now() - offset,
        };
        return {
            processes: [self],
            counts: periods.map(period => counts.within(bounds.convert(period, offset))),
        };
    };

    const callNode = async (
        node: CountedNode,
        request: CountRequest,
        timeoutMilliseconds: number,
    ): Promise<CountResponse | undefined> => {
        try {
            return node.id === options.node && request.members === undefined
                ? countOwn(request.periods)
                : ((await peers.call(
                      node.peerAddress,
                      COUNT_METHOD,
                      request as unknown as JsonValue,
                      timeoutMilliseconds,
                  )) as unknown as CountResponse);
        }
        catch {
            // A node that does not answer is missing; its counts come from a copy.
            return undefined;
        }
    };

    const collectFrom = async (
        nodes: readonly CountedNode[],
        periods: readonly CountedPeriod[],
    ): Promise<CountResponse> => {
        const processes: CountingProcess[] = [];
        const sum = createSum(periods);
        const add = (response: CountResponse): void => {
            processes.push(...response.processes);
            sum.add(response.counts);
        };
        const callDirectly = (members: readonly CountedNode[]): Promise<void> =>
            forEachParallel(members, async member => {
                const response = await callNode(member, { periods }, CALL_TIMEOUT_MILLISECONDS);
                if (response !== undefined) {
                    add(response);
                }
            });
        if (nodes.length <= MAXIMUM_DIRECT_NODES) {
            await callDirectly(nodes);
            return { processes, counts: sum.values() };
        }
        const size = Math.ceil(Math.sqrt(nodes.length));
        const groups = Array.from({ length: Math.ceil(nodes.length / size) }, (_, index) =>
            nodes.slice(index * size, (index + 1) * size),
        );
        await forEachParallel(groups, async members => {
            const leader = members.find(({ id }) => options.isActive(id)) ?? members[0]!;
            const response = await callNode(leader, { periods, members }, LEADER_TIMEOUT_MILLISECONDS);
            if (response === undefined) {
                await callDirectly(members);
            }
            else {
                add(response);
            }
        });
        return { processes, counts: sum.values() };
    };

    const copyHoldersOf = (origin: string, nodes: readonly CountedNode[]): readonly CountedNode[] => {
        const others = nodes.filter(({ id }) => id !== origin);
        const byId = new Map(others.map(node => [node.id, node]));
        const order = rendezvousOrder(`copies\u0000${origin}`, [...byId.keys()]);
        const live = order.filter(id => id === options.node || options.isActive(id));
        return live.slice(0, COPY_HOLDERS).map(id => byId.get(id)!);
    };

    const copiesOf = (request: CopiesRequest): CopiesResponse =>
        Object.fromEntries(
            request.origins.map(origin => {
                const byProcess = new Map<string, WorkspaceCounts[]>();
                request.periods.forEach((period, index) => {
                    for (const [process, sum] of copies.within(origin, period)) {
                        const list = byProcess.get(process) ?? request.periods.map(() => ({}));
                        list[index] = sum;
                        byProcess.set(process, list);
                    }
                });
                return [origin, Object.fromEntries(byProcess)];
            }),
        );

    /** Adds the counts of processes that did not answer; returns their number. */
    const addCopies = async (
        periods: readonly CountedPeriod[],
        origins: readonly string[],
        answered: ReadonlySet<string>,
        add: (counts: readonly WorkspaceCounts[]) => void,
    ): Promise<number> => {
        const nodes = options.nodes();
        const originsByHolder = new Map<CountedNode, string[]>();
        for (const origin of origins) {
            for (const holder of copyHoldersOf(origin, nodes)) {
                originsByHolder.set(holder, [...(originsByHolder.get(holder) ?? []), origin]);
            }
        }
        const best = new Map<string, readonly WorkspaceCounts[]>();
        await forEachParallel([...originsByHolder], async ([holder, wanted]) => {
            const request: CopiesRequest = { origins: wanted, periods };
            try {
                const response =
                    holder.id === options.node
                        ? copiesOf(request)
                        : ((await peers.call(
                              holder.peerAddress,
                              COPIES_METHOD,
                              request as unknown as JsonValue,
                              CALL_TIMEOUT_MILLISECONDS,
                          )) as unknown as CopiesResponse);
                for (const byProcess of Object.values(response)) {
                    for (const [process, copied] of Object.entries(byProcess)) {
                        // Of two holders, the one with more has the copies that the other one missed.
                        if (!answered.has(process) && totalOf(copied) > totalOf(best.get(process) ?? [])) {
                            best.set(process, copied);
                        }
                    }
                }
            }
            catch {
                // Another holder may have the copies.
            }
        });
        best.forEach(add);
        return best.size;
    };

    peers.handle(COUNT_METHOD, async params => {
        const { periods, members } = params as unknown as CountRequest;
        const response = members === undefined ? countOwn(periods) : await collectMembers(members, periods);
        return response as unknown as JsonValue;
    });

    const collectMembers = async (
        members: readonly CountedNode[],
        periods: readonly CountedPeriod[],
    ): Promise<CountResponse> => collectFrom(members.slice(0, MAXIMUM_DIRECT_NODES), periods);

    peers.handle(COPY_METHOD, params => {
        const now = storeNow();
        if (now === undefined) {
            throw new Error("the store's clock is not known yet");
        }
        copies.record(params as unknown as CopiedRuns, now);
        return true;
    });

    peers.handle(COPIES_METHOD, params => copiesOf(params as unknown as CopiesRequest) as JsonValue);

    return {
        collect: async periods => {
            const nodes = options.nodes();
            const response = await collectFrom(nodes, periods);
            const sum = createSum(periods);
            sum.add(response.counts);
            const answeredNodes = new Set(response.processes.map(({ id }) => id));
            const answered = new Set(response.processes.map(({ process }) => process));
            const from = Math.min(...periods.map(period => period.from));
            const missing = nodes.map(({ id }) => id).filter(id => !answeredNodes.has(id));
            const restarted = response.processes
                .filter(process => process.startedAt > from)
                .map(({ id }) => id);
            const origins = [...missing, ...restarted, ...options.leftNodes()];
            const copied = origins.length === 0 ? 0 : await addCopies(periods, origins, answered, sum.add);
            return {
                counts: sum.values().map(rounded),
                wallOffsets: response.processes.map(({ wallOffset }) => wallOffset),
                answered: answeredNodes.size,
                oldestStart: Math.min(...response.processes.map(process => process.startedAt)),
                missing,
                silent: missing.filter(options.wasHeard).length,
                copied,
            };
        },
        handOver: async () => {
            const offset = options.clockOffset();
            if (offset === undefined) {
                return;
            }
            const now = clock.now();
            const newestBound = bounds.newest();
            const hasRunSince = (from: number): boolean =>
                Object.keys(counts.timesWithin({ from, to: now })).length > 0;
            const hasNewBound = newestBound !== copiedBound && hasRunSince(now - FIRST_COPY_MILLISECONDS);
            if (!hasRunSince(copiedUntil) && !hasNewBound) {
                return;
            }
            const holder = copyHoldersOf(options.node, options.nodes()).find(
                ({ id }) => now - (failedAt.get(id) ?? -Infinity) >= FAILED_HOLDER_MILLISECONDS,
            );
            if (holder === undefined) {
                return;
            }
            const from = holder.id === copyHolder ? copiedUntil : now - FIRST_COPY_MILLISECONDS;
            const request: CopiedRuns = {
                origin: options.node,
                process: options.process,
                times: counts.timesWithin({ from, to: now }),
                from,
                offset,
                bounds: bounds.since(now - FIRST_COPY_MILLISECONDS),
            };
            try {
                await peers.call(
                    holder.peerAddress,
                    COPY_METHOD,
                    request as unknown as JsonValue,
                    CALL_TIMEOUT_MILLISECONDS,
                );
                copyHolder = holder.id;
                copiedUntil = now;
                copiedBound = newestBound;
            }
            catch {
                // The next hand-over repeats these counts at another node.
                copyHolder = undefined;
                failedAt.set(holder.id, now);
            }
        },
    };
}
