/**
 * Exchanges load reports with the other nodes as UDP datagrams: with each of them, or in larger deployments through
 * the nodes that aggregate them.
 */
import { createSocket } from "node:dgram";
import * as z from "zod/mini";
import type { Clock } from "../common/clock.js";
import type { Random } from "../common/random.js";
import type { PeerStates } from "../handover/helpers.js";
import type { Lifecycle } from "../lifecycle/lifecycle.js";
import type { Logger } from "../logging/logging.js";
import type { Quarantine, QuarantineReport } from "../quarantine/quarantine.js";
import type { Scarcity } from "../scarcity/scarcity.js";
import type { WireWaiting } from "../scarcity/waiting-elsewhere.js";
import type { BrittleServices, WireBrittleService } from "./brittle-services.js";
import type { UpstreamLimits, WireLimit } from "./upstream-limits.js";
import type { UpstreamSpeeds, WireSpeed } from "./upstream-speeds.js";
import { AGGREGATORS, PEERS_PER_INTERVAL } from "./aggregation-plan.js";
import type { AggregationPlan } from "./aggregation-plan.js";
import { createLoadAggregation } from "./load-aggregation.js";
import { decodeAggregate, parseDatagram } from "./load-messages.js";
import type { LoadSums } from "./load-messages.js";
import type { Load, LoadBoard } from "./load-board.js";
import { createNewsRelay } from "./news-relay.js";

/**
 * Interval between reports while the load changes, milliseconds. A fraction of the time to process a long
 * prompt.
 */
export const REPORT_INTERVAL_MILLISECONDS = 100;

/** Time for which an early report collects what it sends, milliseconds. One crash breaks many requests. */
const EARLY_REPORT_MILLISECONDS = 10;

/** Shortest time between two times at which news is passed on, milliseconds. */
const NEWS_PAUSE_MILLISECONDS = 40;

/**
 * Interval of sums in data centres with few other nodes, milliseconds, and the largest number of those. Direct
 * reports would be newer there than sums at the usual interval, and the cost of more sums is small.
 */
const PROMPT_SUM_MILLISECONDS = 50;
const MAXIMUM_PROMPT_MEMBERS = 8;

/** Intervals after which an unchanged load is sent again, in case datagrams were lost. */
const REPEAT_AFTER_INTERVALS = 5;

/** Aggregating nodes of other data centres that a node without one of its own reports to in one interval. */
const REMOTE_AGGREGATORS_PER_INTERVAL = 8;

/** More nodes than a deployment has. */
const MAXIMUM_NODES = 10_000;

/** Larger datagrams are discarded, bytes. */
const MAXIMUM_DATAGRAM_BYTES = 8192;

/** Each entry of `loads` holds an upstream's id, pending tokens, requests and held tokens. */
type WireReport = readonly [
    node: string,
    loads: readonly (readonly [string, number, number, number])[],
    ejected: readonly string[],
    news?: WireNews,
];

/** Tolerated difference of the clocks of two nodes, milliseconds. */
const MAXIMUM_CLOCK_DIFFERENCE_MILLISECONDS = 10_000;

/** Milliseconds since an observation. */
const wireAge = z.number().check(z.gte(-MAXIMUM_CLOCK_DIFFERENCE_MILLISECONDS));

/** Logarithm of a speed, and the number of requests behind it. */
const wireAverage = z.tuple([z.number(), z.number()]);

const wireNews = z.object({
    quarantine: z.optional(
        z.object({
            crashes: z.array(
                z.tuple([z.string(), wireAge, z.literal([0, 1]), z.array(z.tuple([z.string(), z.number()]))]),
            ),
            answers: z.array(z.tuple([z.string(), wireAge])),
            quarantined: z.array(z.tuple([z.string(), wireAge])),
        }),
    ),
    limits: z.optional(z.array(z.tuple([z.string(), z.number(), wireAge]))),
    brittle: z.optional(z.array(z.tuple([z.string(), wireAge]))),
    isolated: z.optional(z.boolean()),
    waiting: z.optional(z.array(z.tuple([z.string(), z.string(), z.number(), z.number(), z.number()]))),
    speeds: z.optional(
        z.array(z.tuple([z.string(), z.string(), z.string(), wireAverage, wireAverage, wireAverage])),
    ),
    sequence: z.optional(z.number()),
    fallback: z.optional(z.boolean()),
});

function isLoad(entry: unknown): boolean {
    return (
        Array.isArray(entry) &&
        typeof entry[0] === "string" &&
        entry.slice(1).length === 3 &&
        entry.slice(1).every(value => typeof value === "number" && value >= 0)
    );
}

/**
 * Checks a report, which any process on the network can send. The loads are checked without a schema, as
 * a node receives hundreds of reports per second.
 *
 * @throws Error when it is not a load report.
 */
function decodeReport(report: unknown): WireReport {
    if (!Array.isArray(report)) {
        throw new TypeError("the report is not a list");
    }
    const [node, loads, ejected, news] = report as readonly unknown[];
    if (typeof node !== "string" || !Array.isArray(loads) || !loads.every(isLoad)) {
        throw new TypeError("the report does not hold the loads of a node");
    }
    if (!Array.isArray(ejected) || !ejected.every(id => typeof id === "string")) {
        throw new TypeError("the report does not list the ejected upstreams");
    }
    return [
        node,
        loads as WireReport[1],
        ejected as readonly string[],
        news === undefined ? undefined : wireNews.parse(news),
    ];
}

/** What a report holds beside the loads, when there is something. */
interface WireNews {
    readonly quarantine?: QuarantineReport;
    readonly limits?: readonly WireLimit[];
    readonly brittle?: readonly WireBrittleService[];
    /** The node has no path to the upstreams. */
    readonly isolated?: boolean;
    /** Requests that wait for capacity. */
    readonly waiting?: readonly WireWaiting[];
    readonly speeds?: readonly WireSpeed[];
    /** Number of the report, where reports are aggregated. */
    readonly sequence?: number;
    /** The node hears from no aggregating node. */
    readonly fallback?: boolean;
}

/** Sends and receives datagrams. */
export interface DatagramPort {
    bind(port: number, address: string, onBound: () => void): void;
    send(datagram: string | Buffer, port: number, address: string): void;
    onMessage(listener: (message: Buffer) => void): void;
    /** Adds a listener for errors, and returns a function that removes it. */
    onError(listener: (error: Error) => void): () => void;
    close(): void;
}

/** What a datagram holds: the loads of a node, its news, sums of loads and lists of nodes, or news that are passed on. */
export type DatagramContent = "report" | "report news" | "sums" | "news";

export interface LoadReports {
    /** Sends a report soon, because other nodes should not wait for what it holds. */
    sendSoon(): void;
    /** Whether this node sums up the reports of its data centre. */
    isAggregating(): boolean;
    /** Whether reports are aggregated, but this node hears from no aggregating node. */
    isFallback(): boolean;
}

export interface LoadReportOptions {
    readonly node: string;
    readonly dataCentre: string;
    readonly address: string;
    readonly port: number;
    /** Who exchanges reports with whom; all nodes listen on the same port. */
    readonly plan: () => AggregationPlan;
    /** @default a UDP socket */
    readonly openPort?: () => DatagramPort;
    readonly board: LoadBoard;
    /** Ids of the upstreams that this node has ejected. */
    readonly ejected: () => readonly string[];
    /** Evidence about prompts that crash upstreams, which the reports carry. */
    readonly quarantine: Pick<Quarantine, "report" | "merge" | "withoutCleared">;
    /** Limits that upstreams name, which the reports carry. */
    readonly limits: Pick<UpstreamLimits, "report" | "merge">;
    /** Services whose upstreams rejections crash, which the reports carry. */
    readonly brittle: Pick<BrittleServices, "report" | "merge">;
    /** Speeds of upstreams that were learnt, which the reports carry. @default none */
    readonly speeds?: Pick<UpstreamSpeeds, "report" | "merge">;
    /** Whether this node has no path to the upstreams. */
    readonly isIsolated: () => boolean;
    readonly peerStates: Pick<PeerStates, "record">;
    /** Requests that wait for capacity, which the reports carry where it is scarce. */
    readonly waiting?: Pick<Scarcity, "reportWaiting" | "mergeWaiting">;
    /** Counts what is sent, in bytes. The news of a report are counted apart from its loads. @default not counted */
    readonly countSent?: (content: DatagramContent, bytes: number) => void;
    readonly clock: Clock;
    readonly random: Random;
    readonly lifecycle: Lifecycle;
    readonly logger: Logger;
}

function encode(
    node: string,
    loads: ReadonlyMap<string, Load>,
    ejected: readonly string[],
    news: WireNews | undefined,
): string {
    const entries = [...loads].map(
        ([id, { pendingTokens, requests, heldTokens }]) =>
            [id, Math.round(pendingTokens), requests, Math.round(heldTokens)] as const,
    );
    const report: WireReport = [node, entries, ejected];
    return JSON.stringify(news === undefined ? report : [...report, news]);
}

/** Selects the next peers in round-robin order, and the cursor for the following call. */
export function nextPeers(
    peers: readonly string[],
    cursor: number,
    count: number,
): { readonly chosen: readonly string[]; readonly cursor: number } {
    if (peers.length <= count) {
        return { chosen: peers, cursor: 0 };
    }
    const start = cursor % peers.length;
    const chosen = [...peers.slice(start), ...peers.slice(0, start)].slice(0, count);
    return { chosen, cursor: (start + count) % peers.length };
}

function openUdpPort(): DatagramPort {
    const socket = createSocket("udp4");
    return {
        bind: (port, address, onBound) => void socket.bind(port, address, onBound),
        send: (datagram, port, address) => socket.send(datagram, port, address),
        onMessage: listener => void socket.on("message", listener),
        onError: listener => {
            socket.on("error", listener);
            return () => socket.off("error", listener);
        },
        close: () => void socket.close(),
    };
}

export function createLoadReports(options: LoadReportOptions): LoadReports {
    const { board, clock, logger } = options;
    const socket = (options.openPort ?? openUdpPort)();
    const firstSequence = Math.floor(clock.wallTime());
    const aggregation = createLoadAggregation({
        node: options.node,
        dataCentre: options.dataCentre,
        plan: options.plan,
        firstSequence,
        board,
        recordState: (node, isIsolated, at) => options.peerStates.record(node, isIsolated, at),
    });
    board.select(aggregation.selection);
    const newsForMembers = createNewsRelay("members");
    const newsForOthers = createNewsRelay("aggregators");
    let sequence = firstSequence;
    let sentRevision = -1;
    let unchangedIntervals = 0;
    // Nodes start at different peers, so that news does not reach the same peers from all of them.
    let cursor = Math.floor(options.random() * MAXIMUM_NODES);
    let remoteCursor = cursor;
    let isOpen = false;
    let early: NodeJS.Timeout | undefined;
    let earlyNews: NodeJS.Timeout | undefined;
    let earlySums: NodeJS.Timeout | undefined;
    let newsSentAt = -Infinity;
    let sumsSentAt = -Infinity;
    let loggedRole = "member";

    /** Takes the news for the data centre, and learns the evidence in it at the same time as the others. */
    const takeForMembers = (now: number): readonly WireNews[] => {
        const contents: readonly WireNews[] = newsForMembers.take(now);
        contents.forEach(({ quarantine }) => merge({ quarantine }, now));
        return contents;
    };

    const sendNews = (): void => {
        const now = clock.now();
        newsSentAt = now;
        const { own, remote } = aggregation.newsReceivers(now);
        const send = (contents: readonly object[], addresses: readonly string[]): void => {
            for (const content of contents) {
                const datagram = JSON.stringify({ news: options.node, content });
                addresses.forEach(address => socket.send(datagram, options.port, address));
                options.countSent?.("news", Buffer.byteLength(datagram) * addresses.length);
            }
        };
        send(takeForMembers(now), own);
        send(newsForOthers.take(now), remote);
    };

    const ownSums = (): LoadSums => ({
        loads: board.ownLoads(),
        ejections: new Map(options.ejected().map(id => [id, 1])),
    });

    const sendSums = (): void => {
        const now = clock.now();
        sumsSentAt = now;
        const own = { ...ownSums(), sequence };
        for (const { address, datagram } of aggregation.messages(own, options.isIsolated(), now)) {
            socket.send(datagram, options.port, address);
            options.countSent?.("sums", datagram.length);
        }
    };

    /** Passes a change on before the next interval where the data centre is small. */
    const sendSumsSoon = (now: number): void => {
        const isPrompt = options.plan().members.size <= MAXIMUM_PROMPT_MEMBERS;
        if (isOpen && isPrompt && earlySums === undefined && aggregation.isAggregating(now)) {
            const pause = Math.max(EARLY_REPORT_MILLISECONDS, sumsSentAt + PROMPT_SUM_MILLISECONDS - now);
            earlySums = setTimeout(() => {
                earlySums = undefined;
                sendSums();
            }, pause);
        }
    };

    /** Whether this node collects news to pass it on, now or when it takes over. */
    const collectsNews = (): boolean => {
        const { isAggregated, rank } = options.plan();
        return isAggregated && rank < AGGREGATORS;
    };

    const passOn = (reported: WireNews, isOfDataCentre: boolean, now: number): void => {
        if (!collectsNews()) {
            return;
        }
        const quarantine = reported.quarantine && options.quarantine.withoutCleared(reported.quarantine, now);
        const news = { ...reported, quarantine };
        const hasOwn = newsForMembers.add(news, now);
        const hasRemote = isOfDataCentre && newsForOthers.add(news, now);
        if ((hasOwn || hasRemote) && isOpen && aggregation.isAggregating(now)) {
            const pause = Math.max(EARLY_REPORT_MILLISECONDS, newsSentAt + NEWS_PAUSE_MILLISECONDS - now);
            earlyNews ??= setTimeout(() => {
                earlyNews = undefined;
                sendNews();
            }, pause);
        }
    };

    const merge = (news: WireNews, now: number): void => {
        if (news.quarantine !== undefined) {
            options.quarantine.merge(news.quarantine, now);
        }
        if (news.limits !== undefined) {
            options.limits.merge(news.limits, now);
        }
        if (news.brittle !== undefined) {
            options.brittle.merge(news.brittle, now);
        }
        if (news.speeds !== undefined) {
            options.speeds?.merge(news.speeds, now);
        }
        if (news.waiting !== undefined) {
            options.waiting?.mergeWaiting(news.waiting, now);
        }
    };

    /**
     * Learns news that others of the data centre may not have, and passes it on.
     *
     * A node that passes news on learns of crashes when the others do. Otherwise it would know of more crashes than
     * they do, and blame suspects that they know to be answered before they have heard of them.
     */
    const receiveNews = (news: WireNews, isOfDataCentre: boolean, now: number): void => {
        const { quarantine } = news;
        const hasToWait = quarantine !== undefined && collectsNews();
        merge(hasToWait ? { ...news, quarantine: { ...quarantine, crashes: [] } } : news, now);
        passOn(news, isOfDataCentre, now);
    };

    const receiveReport = ([node, entries, ejected, news]: WireReport, now: number): void => {
        const loads = new Map(
            entries.map(([id, pendingTokens, requests, heldTokens]): [string, Load] => [
                id,
                { pendingTokens, requests, heldTokens },
            ]),
        );
        const isIsolated = news?.isolated === true;
        const isFallback = news?.fallback === true;
        const report = { node, loads, ejected, sequence: news?.sequence, isFallback, isIsolated };
        if (aggregation.recordReport(report, now)) {
            board.report(node, loads, ejected, now);
            options.peerStates.record(node, isIsolated, now);
            sendSumsSoon(now);
        }
        if (news !== undefined) {
            receiveNews(news, options.plan().members.has(node), now);
        }
    };

    const receiveAggregate = (value: unknown, now: number): void => {
        const message = decodeAggregate(value);
        switch (message.kind) {
            case "sum":
                aggregation.recordSum(message, now);
                sendSumsSoon(now);
                return;
            case "total":
                aggregation.recordTotal(message, now);
                return;
            case "nodes":
                aggregation.recordNodes(message, now);
                return;
            case "news": {
                const news = wireNews.parse(message.news);
                if (options.plan().members.has(message.sender)) {
                    merge(news, now);
                }
                else {
                    receiveNews(news, false, now);
                }
            }
        }
    };

    socket.onMessage(message => {
        if (message.length > MAXIMUM_DATAGRAM_BYTES) {
            return;
        }
        try {
            const value = parseDatagram(message);
            if (Array.isArray(value)) {
                receiveReport(decodeReport(value), clock.now());
            }
            else {
                receiveAggregate(value, clock.now());
            }
        }
        catch (error) {
            logger.warn("Discarded a datagram that is not a load report.", {
                error: (error as Error).message,
            });
        }
    });
    socket.onError(error =>
        logger.warn("Socket error while exchanging load reports.", { error: error.message }),
    );

    const logRole = (isAggregating: boolean, isFallback: boolean): void => {
        const role = isAggregating ? "aggregates" : isFallback ? "reports directly" : "member";
        if (role !== loggedRole) {
            const { rank, members, peers } = options.plan();
            logger.info("The role of this node in load reports has changed.", {
                role,
                previous: loggedRole,
                rank,
                members: members.size,
                peers: peers.size,
            });
            loggedRole = role;
        }
    };

    /**
     * Peers that get the report of this node now.
     *
     * @param hasEvidence Whether it holds evidence of crashes, which is reported a few times only.
     */
    const receiversOf = (
        plan: AggregationPlan,
        isFallback: boolean,
        hasEvidence: boolean,
    ): readonly string[] => {
        const all = [...plan.peers.values()].map(({ address }) => address);
        if (!plan.isAggregated) {
            const selection = nextPeers(all, cursor, PEERS_PER_INTERVAL);
            cursor = selection.cursor;
            return selection.chosen;
        }
        const direct = isFallback ? all : plan.directPeers.map(({ address }) => address);
        const selection = nextPeers(direct, cursor, PEERS_PER_INTERVAL);
        cursor = selection.cursor;
        const remote = nextPeers(
            isFallback ? plan.remoteAggregators.map(({ address }) => address) : [],
            remoteCursor,
            REMOTE_AGGREGATORS_PER_INTERVAL,
        );
        remoteCursor = remote.cursor;
        const fixed =
            isFallback && hasEvidence
                ? [...plan.members.values(), ...plan.remoteAggregators]
                : plan.aggregators;
        const addresses = fixed.map(({ address }) => address);
        return [...new Set([...addresses, ...remote.chosen, ...selection.chosen])];
    };

    const send = (): void => {
        const plan = options.plan();
        const now = clock.now();
        aggregation.tick(now);
        const isFallback = aggregation.isFallback(now);
        const isAggregating = aggregation.isAggregating(now);
        logRole(isAggregating, isFallback);
        const directPeers = plan.isAggregated && !isFallback ? plan.directPeers.length : plan.peers.size;
        const isRoundRobin = directPeers > PEERS_PER_INTERVAL;
        const ejected = options.ejected();
        const quarantine = options.quarantine.report(now);
        const limits = options.limits.report(now);
        const brittle = options.brittle.report(now);
        const isolated = options.isIsolated() ? true : undefined;
        const waiting = options.waiting?.reportWaiting(now);
        const speeds = options.speeds?.report(now);
        const allNews: WireNews = { quarantine, limits, brittle, isolated, waiting, speeds };
        const hasNews = Object.values(allNews).some(part => part !== undefined);
        const news = hasNews ? allNews : undefined;
        const hasContent = board.ownLoads().size > 0 || ejected.length > 0 || isFallback;
        unchangedIntervals = board.revision === sentRevision ? unchangedIntervals + 1 : 0;
        const isRepeat =
            unchangedIntervals > 0 && hasContent && unchangedIntervals % REPEAT_AFTER_INTERVALS === 0;
        const mayWait = unchangedIntervals > 0 && !isRepeat && !(isRoundRobin && hasContent);
        if (!mayWait || news !== undefined) {
            sentRevision = board.revision;
            sequence += plan.isAggregated ? 1 : 0;
            const loads = new Map(board.ownLoads());
            aggregation.recordOwn({ ...ownSums(), loads, sequence });
            const fallback = isFallback ? true : undefined;
            const content = plan.isAggregated ? { ...allNews, sequence, fallback } : news;
            const datagram = encode(options.node, loads, ejected, content);
            const newsBytes = news === undefined ? 0 : Buffer.byteLength(JSON.stringify(news));
            const reportBytes = Buffer.byteLength(datagram) - newsBytes;
            for (const peer of receiversOf(plan, isFallback, quarantine !== undefined)) {
                socket.send(datagram, options.port, peer);
                options.countSent?.("report", reportBytes);
                options.countSent?.("report news", newsBytes);
            }
        }
        if (news !== undefined && collectsNews()) {
            newsForMembers.add(news, now);
            newsForOthers.add(news, now);
        }
        if (!isAggregating) {
            // The first node of the data centre passes it on.
            takeForMembers(now);
            newsForOthers.take(now);
        }
        else {
            sendNews();
            if (earlySums === undefined) {
                sendSums();
            }
        }
    };

    options.lifecycle.add({
        name: "load reports",
        start: async () => {
            await new Promise<void>((resolve, reject) => {
                const stopListening = socket.onError(reject);
                socket.bind(options.port, options.address, () => {
                    stopListening();
                    resolve();
                });
            });
            const timer = setInterval(send, REPORT_INTERVAL_MILLISECONDS);
            isOpen = true;
            return () => {
                clearInterval(timer);
                clearTimeout(early);
                clearTimeout(earlyNews);
                clearTimeout(earlySums);
                isOpen = false;
                socket.close();
            };
        },
    });

    return {
        sendSoon: () => {
            if (isOpen && early === undefined) {
                early = setTimeout(() => {
                    early = undefined;
                    send();
                }, EARLY_REPORT_MILLISECONDS);
            }
        },
        isAggregating: () => aggregation.isAggregating(clock.now()),
        isFallback: () => aggregation.isFallback(clock.now()),
    };
}
