/** Tells the other nodes by datagrams which load this node causes, and takes over what they say. */
import { createSocket } from "node:dgram";
import type { Clock } from "../common/clock.js";
import type { Lifecycle } from "../lifecycle/lifecycle.js";
import type { Logger } from "../logging/logging.js";
import type { Load, LoadBoard } from "./load-board.js";

/** Time between two reports while the load changes, milliseconds. A fraction of the time to read a long prompt. */
const REPORT_INTERVAL_MILLISECONDS = 100;

/** Reports in a row without a change after which an unchanged load is repeated. Covers lost datagrams. */
const REPEAT_AFTER_INTERVALS = 5;

/** Nodes that are told in one interval. Larger deployments are told in turn, so that the cost per node stays the same. */
const PEERS_PER_INTERVAL = 16;

/** Largest datagram that is read, bytes. */
const MAXIMUM_DATAGRAM_BYTES = 8192;

/** Node, for each upstream its id, pending tokens, requests and held tokens, and the ids of ejected upstreams. */
type WireReport = readonly [
    node: string,
    loads: readonly (readonly [string, number, number, number])[],
    ejected: readonly string[],
];

export interface LoadReportOptions {
    readonly node: string;
    readonly address: string;
    readonly port: number;
    readonly board: LoadBoard;
    /** Upstreams that this node ejected. */
    readonly ejected: () => readonly string[];
    /** IP addresses of the nodes to tell; all listen on the same port. */
    readonly peers: () => readonly string[];
    readonly clock: Clock;
    readonly lifecycle: Lifecycle;
    readonly logger: Logger;
}

function encode(node: string, loads: ReadonlyMap<string, Load>, ejected: readonly string[]): string {
    const entries = [...loads].map(
        ([id, { pendingTokens, requests, heldTokens }]) =>
            [id, Math.round(pendingTokens), requests, Math.round(heldTokens)] as const,
    );
    const report: WireReport = [node, entries, ejected];
    return JSON.stringify(report);
}

/** Returns the next nodes to tell when all are told in turn, and where to go on. */
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

export function createLoadReports(options: LoadReportOptions): void {
    const { board, logger } = options;
    const socket = createSocket("udp4");
    let sentRevision = -1;
    let idleIntervals = 0;
    let cursor = 0;

    socket.on("message", message => {
        if (message.length > MAXIMUM_DATAGRAM_BYTES) {
            return;
        }
        try {
            const [node, entries, ejected] = JSON.parse(message.toString()) as WireReport;
            const loads = new Map(
                entries.map(([id, pendingTokens, requests, heldTokens]): [string, Load] => [
                    id,
                    { pendingTokens, requests, heldTokens },
                ]),
            );
            board.report(node, loads, ejected, options.clock.now());
        }
        catch (error) {
            logger.warn("Dropped a datagram that is no load report.", { error: (error as Error).message });
        }
    });
    socket.on("error", error => logger.warn("A load report failed.", { error: error.message }));

    const send = (): void => {
        const peers = options.peers();
        const isInTurn = peers.length > PEERS_PER_INTERVAL;
        const ejected = options.ejected();
        const hasNews = board.own().size > 0 || ejected.length > 0;
        idleIntervals = board.revision === sentRevision ? idleIntervals + 1 : 0;
        const isRepeat = idleIntervals > 0 && hasNews && idleIntervals % REPEAT_AFTER_INTERVALS === 0;
        if (idleIntervals > 0 && !isRepeat && !(isInTurn && hasNews)) {
            return;
        }
        sentRevision = board.revision;
        const datagram = encode(options.node, board.own(), ejected);
        const turn = nextPeers(peers, cursor, PEERS_PER_INTERVAL);
        cursor = turn.cursor;
        for (const peer of turn.chosen) {
            socket.send(datagram, options.port, peer);
        }
    };

    options.lifecycle.add({
        name: "load reports",
        start: async () => {
            await new Promise<void>(resolve => socket.bind(options.port, options.address, resolve));
            const timer = setInterval(send, REPORT_INTERVAL_MILLISECONDS);
            return () => {
                clearInterval(timer);
                socket.close();
            };
        },
    });
}
