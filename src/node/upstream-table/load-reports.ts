/** Exchanges load reports with the other nodes as UDP datagrams. */
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
import type { Load, LoadBoard } from "./load-board.js";

/**
 * Interval between reports while the load changes, milliseconds. A fraction of the time to process a long
 * prompt.
 */
export const REPORT_INTERVAL_MILLISECONDS = 100;

/** Time for which an early report collects what it sends, milliseconds. One crash breaks many requests. */
const EARLY_REPORT_MILLISECONDS = 10;

/** Intervals after which an unchanged load is sent again, in case datagrams were lost. */
const REPEAT_AFTER_INTERVALS = 5;

/**
 * Peers that get a report in one interval. More peers are served round-robin, so the cost per node is
 * bounded.
 */
export const PEERS_PER_INTERVAL = 16;

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
    waiting: z.optional(z.array(z.tuple([z.string(), z.number(), z.number(), z.number()]))),
    speeds: z.optional(
        z.array(z.tuple([z.string(), z.string(), z.string(), wireAverage, wireAverage, wireAverage])),
    ),
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
 * Decodes a datagram, which any process on the network can send. The loads are checked without a schema, as
 * a node receives hundreds of reports per second.
 *
 * @throws Error when it is not a load report.
 */
function decodeReport(text: string): WireReport {
    const report: unknown = JSON.parse(text);
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
    /** Requests that wait for capacity at the node. */
    readonly waiting?: readonly WireWaiting[];
    readonly speeds?: readonly WireSpeed[];
}

export interface LoadReports {
    /** Sends a report soon, because other nodes should not wait for what it holds. */
    sendSoon(): void;
}

export interface LoadReportOptions {
    readonly node: string;
    readonly address: string;
    readonly port: number;
    readonly board: LoadBoard;
    /** Ids of the upstreams that this node has ejected. */
    readonly ejected: () => readonly string[];
    /** Evidence about prompts that crash upstreams, which the reports carry. */
    readonly quarantine: Pick<Quarantine, "report" | "merge">;
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
    /** IP addresses of the nodes that get reports; all listen on the same port. */
    readonly peers: () => readonly string[];
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

export function createLoadReports(options: LoadReportOptions): LoadReports {
    const { board, logger } = options;
    const socket = createSocket("udp4");
    let sentRevision = -1;
    let unchangedIntervals = 0;
    // Nodes start at different peers, so that news does not reach the same peers from all of them.
    let cursor = Math.floor(options.random() * MAXIMUM_NODES);
    let isOpen = false;
    let early: NodeJS.Timeout | undefined;

    socket.on("message", message => {
        if (message.length > MAXIMUM_DATAGRAM_BYTES) {
            return;
        }
        try {
            const [node, entries, ejected, news] = decodeReport(message.toString());
            const loads = new Map(
                entries.map(([id, pendingTokens, requests, heldTokens]): [string, Load] => [
                    id,
                    { pendingTokens, requests, heldTokens },
                ]),
            );
            const now = options.clock.now();
            board.report(node, loads, ejected, now);
            options.peerStates.record(node, news?.isolated === true, now);
            if (news?.quarantine !== undefined) {
                options.quarantine.merge(news.quarantine, now);
            }
            if (news?.limits !== undefined) {
                options.limits.merge(news.limits, now);
            }
            if (news?.speeds !== undefined) {
                options.speeds?.merge(news.speeds, now);
            }
            if (news?.brittle !== undefined) {
                options.brittle.merge(news.brittle, now);
            }
            options.waiting?.mergeWaiting(node, news?.waiting ?? [], now);
        }
        catch (error) {
            logger.warn("Discarded a datagram that is not a load report.", {
                error: (error as Error).message,
            });
        }
    });
    socket.on("error", error =>
        logger.warn("Socket error while exchanging load reports.", { error: error.message }),
    );

    const send = (): void => {
        const peers = options.peers();
        const isRoundRobin = peers.length > PEERS_PER_INTERVAL;
        const ejected = options.ejected();
        const now = options.clock.now();
        const quarantine = options.quarantine.report(now);
        const limits = options.limits.report(now);
        const brittle = options.brittle.report(now);
        const isolated = options.isIsolated() ? true : undefined;
        const waiting = options.waiting?.reportWaiting();
        const speeds = options.speeds?.report(now);
        const allNews: WireNews = { quarantine, limits, brittle, isolated, waiting, speeds };
        const hasNews = Object.values(allNews).some(part => part !== undefined);
        const news = hasNews ? allNews : undefined;
        const hasContent = board.ownLoads().size > 0 || ejected.length > 0;
        unchangedIntervals = board.revision === sentRevision ? unchangedIntervals + 1 : 0;
        const isRepeat =
            unchangedIntervals > 0 && hasContent && unchangedIntervals % REPEAT_AFTER_INTERVALS === 0;
        const mayWait = unchangedIntervals > 0 && !isRepeat && !(isRoundRobin && hasContent);
        if (mayWait && news === undefined) {
            return;
        }
        sentRevision = board.revision;
        const datagram = encode(options.node, board.ownLoads(), ejected, news);
        const selection = nextPeers(peers, cursor, PEERS_PER_INTERVAL);
        cursor = selection.cursor;
        for (const peer of selection.chosen) {
            socket.send(datagram, options.port, peer);
        }
    };

    options.lifecycle.add({
        name: "load reports",
        start: async () => {
            await new Promise<void>((resolve, reject) => {
                socket.once("error", reject);
                socket.bind(options.port, options.address, () => {
                    socket.off("error", reject);
                    resolve();
                });
            });
            const timer = setInterval(send, REPORT_INTERVAL_MILLISECONDS);
            isOpen = true;
            return () => {
                clearInterval(timer);
                clearTimeout(early);
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
    };
}
