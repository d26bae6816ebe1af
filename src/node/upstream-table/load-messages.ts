/**
 * Datagrams of aggregating nodes: sums of loads, and the nodes that they cover. A head for each receiver precedes a
 * body that is compressed once for all of them.
 */
import { deflateRawSync, inflateRawSync } from "node:zlib";
import * as z from "zod/mini";
import { createBoundedMap } from "../common/bounded-map.js";
import { hashToUnit } from "../common/hash.js";
import type { Load, NodeLoads } from "./load-board.js";

/** Average number of upstreams in one datagram, when there are several. Keeps it well below the limit of 8 KB. */
const UPSTREAMS_PER_PART = 100;

/** More upstreams than a deployment has. */
const MAXIMUM_UPSTREAMS = 16_384;

/** Largest body, bytes. Any process on the network can send a datagram. */
const MAXIMUM_BODY_BYTES = 65_536;

/** Separates the head from the body. JSON text has none. */
const SEPARATOR = "\n";

/** Unit of the ages of nodes, milliseconds. Rounded ages compress better. */
const AGE_UNIT_MILLISECONDS = 20;

/** Nodes of one datagram. */
const NODES_PER_MESSAGE = 200;

/** Sum over the nodes of a data centre, for the aggregating nodes of the others. */
export interface SumMessage extends LoadSums {
    readonly kind: "sum";
    readonly sender: string;
    readonly dataCentre: string;
    readonly sequence: number;
    readonly part: number;
    readonly parts: number;
    /** The sender may lack reports of its nodes. */
    readonly mayLackReports: boolean;
}

/** Sum over all nodes, for the nodes of the sender's data centre. */
export interface TotalMessage extends LoadSums {
    readonly kind: "total";
    readonly sender: string;
    readonly sequence: number;
    readonly part: number;
    readonly parts: number;
    /** Sequence number of the receiver's report that the sum includes; -1 when the sender has none. */
    readonly included: number;
    /** The sender may lack reports of its nodes. */
    readonly mayLackReports: boolean;
}

/** Nodes that the sums of the sender cover. */
export interface NodesMessage {
    readonly kind: "nodes";
    readonly sender: string;
    readonly nodes: readonly CoveredNode[];
}

export interface NewsMessage {
    readonly kind: "news";
    readonly sender: string;
    /** In the form of load reports. */
    readonly news: unknown;
}

export interface LoadSums {
    readonly loads: NodeLoads;
    /** Number of nodes that ejected an upstream. */
    readonly ejections: ReadonlyMap<string, number>;
}

export interface CoveredNode {
    readonly id: string;
    /** Time since the node's last report, milliseconds. */
    readonly age: number;
    readonly isIsolated: boolean;
}

export type AggregateMessage = SumMessage | TotalMessage | NodesMessage | NewsMessage;

const count = z.number().check(z.nonnegative());
const flag = z.literal([0, 1]);
const wireLoads = z.array(z.tuple([z.string(), count, count, count]));
const wireEjections = z.array(z.tuple([z.string(), count]));
const wireMessage = z.union([
    z.object({
        sum: z.tuple([z.string(), z.string(), z.number(), count, count, flag]),
        loads: wireLoads,
        ejected: wireEjections,
    }),
    z.object({
        total: z.tuple([z.string(), z.number(), count, count, z.number(), flag]),
        loads: wireLoads,
        ejected: wireEjections,
    }),
    z.object({
        nodes: z.string(),
        covered: z.array(z.tuple([z.string(), z.number(), flag])),
    }),
    z.object({ news: z.string(), content: z.unknown() }),
]);

function decodeSums(message: {
    readonly loads: readonly (readonly [string, number, number, number])[];
    readonly ejected: readonly (readonly [string, number])[];
}): LoadSums {
    const loads = message.loads.map(([id, pendingTokens, requests, heldTokens]): [string, Load] => [
        id,
        { pendingTokens, requests, heldTokens },
    ]);
    return { loads: new Map(loads), ejections: new Map(message.ejected) };
}

/** Returns the head and the body of a datagram, or its whole content when it has no body. */
export function parseDatagram(datagram: Buffer): unknown {
    const end = datagram.indexOf(SEPARATOR);
    if (end < 0) {
        return JSON.parse(datagram.toString());
    }
    const head = JSON.parse(datagram.toString("utf8", 0, end)) as object;
    const body = inflateRawSync(datagram.subarray(end + 1), { maxOutputLength: MAXIMUM_BODY_BYTES });
    return { ...head, ...(JSON.parse(body.toString()) as object) };
}

/** @throws Error when it is no such message. */
export function decodeAggregate(value: unknown): AggregateMessage {
    const message = wireMessage.parse(value);
    if ("sum" in message) {
        const [sender, dataCentre, sequence, part, parts, incomplete] = message.sum;
        const mayLackReports = incomplete === 1;
        return {
            kind: "sum",
            sender,
            dataCentre,
            sequence,
            part,
            parts,
            mayLackReports,
            ...decodeSums(message),
        };
    }
    if ("total" in message) {
        const [sender, sequence, part, parts, included, incomplete] = message.total;
        const mayLackReports = incomplete === 1;
        return {
            kind: "total",
            sender,
            sequence,
            part,
            parts,
            included,
            mayLackReports,
            ...decodeSums(message),
        };
    }
    if ("nodes" in message) {
        const nodes = message.covered.map(([id, age, isolated]) => ({ id, age, isIsolated: isolated === 1 }));
        return { kind: "nodes", sender: message.nodes, nodes };
    }
    return { kind: "news", sender: message.news, news: message.content };
}

function encodeBody(body: object): Buffer {
    return deflateRawSync(JSON.stringify(body));
}

function withHead(head: object, body: Buffer): Buffer {
    return Buffer.concat([Buffer.from(JSON.stringify(head) + SEPARATOR), body]);
}

const positions = createBoundedMap<number>(MAXIMUM_UPSTREAMS);

/** Number of parts for a number of upstreams: a power of two, so that it seldom changes. */
export function partCount(upstreams: number): number {
    return 2 ** Math.max(0, Math.ceil(Math.log2(upstreams / UPSTREAMS_PER_PART)));
}

/** Part of an upstream. It does not depend on the other upstreams. */
export function partOf(upstream: string, parts: number): number {
    if (parts === 1) {
        return 0;
    }
    let position = positions.get(upstream);
    if (position === undefined) {
        position = hashToUnit(upstream);
        positions.set(upstream, position);
    }
    return Math.floor(position * parts);
}

/** Encodes one part of sums as the body of a datagram. */
export function encodeSums({ loads, ejections }: LoadSums, part: number, parts: number): Buffer {
    const entries = [...loads].flatMap(([id, { pendingTokens, requests, heldTokens }]) =>
        partOf(id, parts) === part ? [[id, Math.round(pendingTokens), requests, Math.round(heldTokens)]] : [],
    );
    const ejected = [...ejections].filter(([id]) => partOf(id, parts) === part);
    return encodeBody({ loads: entries, ejected });
}

export function sumDatagram(head: Omit<SumMessage, "kind" | keyof LoadSums>, body: Buffer): Buffer {
    const { sender, dataCentre, sequence, part, parts, mayLackReports } = head;
    return withHead({ sum: [sender, dataCentre, sequence, part, parts, mayLackReports ? 1 : 0] }, body);
}

export function totalDatagram(head: Omit<TotalMessage, "kind" | keyof LoadSums>, body: Buffer): Buffer {
    const { sender, sequence, part, parts, included, mayLackReports } = head;
    return withHead({ total: [sender, sequence, part, parts, included, mayLackReports ? 1 : 0] }, body);
}

export function nodesDatagrams(sender: string, nodes: readonly CoveredNode[]): readonly Buffer[] {
    const covered = nodes.map(({ id, age, isIsolated }) => [
        id,
        Math.round(age / AGE_UNIT_MILLISECONDS) * AGE_UNIT_MILLISECONDS,
        isIsolated ? 1 : 0,
    ]);
    const starts = Array.from(
        { length: Math.ceil(covered.length / NODES_PER_MESSAGE) },
        (_, index) => index * NODES_PER_MESSAGE,
    );
    return starts.map(start =>
        withHead({ nodes: sender }, encodeBody({ covered: covered.slice(start, start + NODES_PER_MESSAGE) })),
    );
}
