/**
 * State machine of billing: owns the node's unwritten bills, their batches, and the copies held for other
 * nodes. Turns events into actions and performs no I/O.
 */
import { createTable } from "../tables/table.js";
import type { Table } from "../tables/table.js";
import { joinLines } from "./bill-codec.js";
import type { BillLine } from "./bill-codec.js";
import {
    PEER_AVOIDANCE_MILLISECONDS,
    BACKOFF_MILLISECONDS,
    BATCH_INTERVAL_MILLISECONDS,
    BATCH_OVERHEAD_BYTES,
    BILL_OVERHEAD_BYTES,
    MAXIMUM_COPY_FAILURES,
    FLUSHED_RETRY_INTERVAL_MILLISECONDS,
    MAXIMUM_BATCH_BYTES,
    RECOPY_INTERVAL_MILLISECONDS,
} from "./constants.js";
import { createCopies } from "./copies.js";
import type { Copies, CopyMessage, CopiesDump, FlushedMessage } from "./copies.js";
import { createLogWriter } from "./log-writer.js";
import type { LogAnswer, LogCall } from "./log-writer.js";

export interface BatchRow {
    readonly number: number;
    /**
     * Lowest number under which bills of the batch were copied; lower than `number` after they were copied
     * again. Peers keep copies from this number on until the batch is written.
     */
    readonly oldest: number;
    /** Number of the first object that may contain bills of the batch. */
    readonly floor: number;
    readonly requestIds: readonly string[];
    /** `alone`: no peer accepted a copy, or the peers that did have failed or left. */
    readonly state: "copying" | "copied" | "alone";
    /** Peers with a copy request in flight. */
    readonly asked: readonly string[];
    /** Peers that accepted a copy. */
    readonly holders: readonly string[];
    /** Peers to which a copy was sent since the batch entered the state `copying`. */
    readonly tried: readonly string[];
}

export type BillingEvent =
    | { readonly kind: "record"; readonly line: BillLine }
    | {
          readonly kind: "copyEnded";
          readonly batch: number;
          readonly peer: string;
          readonly flushedThrough: number;
          readonly result: "accepted" | "refused" | "unknown";
      }
    | {
          readonly kind: "noticeEnded";
          readonly peer: string;
          readonly through: number;
          readonly succeeded: boolean;
      }
    | { readonly kind: "stored"; readonly log: string; readonly answer: LogAnswer }
    | { readonly kind: "copyReceived"; readonly call: number; readonly message: CopyMessage }
    | { readonly kind: "flushedReceived"; readonly message: FlushedMessage }
    /** Requests that all held bills and copies be written to the object store. */
    | { readonly kind: "flush"; readonly call: number };

export type BillingAction =
    /** The bills survive the loss of this node, or no peer accepted a copy. */
    | { readonly kind: "recorded"; readonly requestIds: readonly string[] }
    | {
          readonly kind: "copy";
          readonly peer: string;
          readonly address: string;
          readonly message: CopyMessage;
      }
    | {
          readonly kind: "notice";
          readonly peer: string;
          readonly address: string;
          readonly message: FlushedMessage;
      }
    | { readonly kind: "store"; readonly log: string; readonly call: LogCall }
    | { readonly kind: "answerCopy"; readonly call: number; readonly accepted: boolean }
    | { readonly kind: "flushed"; readonly call: number }
    | { readonly kind: "wake"; readonly at: number };

export interface CopyPeer {
    readonly id: string;
    readonly address: string;
}

export interface BillingSystemOptions {
    readonly self: { readonly id: string; readonly incarnation: number; readonly log: string };
    /** Number of peers that hold a copy of each batch. */
    readonly copies: number;
    /** Peers that may hold copies, best first. */
    readonly copyPeers: () => readonly CopyPeer[];
    /** Finds a member that may hold copies; `undefined` when it has left the cluster. */
    readonly findPeer: (
        id: string,
    ) => { readonly address: string; readonly isReachable: boolean } | undefined;
    /**
     * Whether the owner of a copy no longer writes its bills. May be wrong: the owner may only be
     * unreachable.
     */
    readonly isGone: (owner: string, incarnation: number) => boolean;
    readonly copyMemoryBytes: number;
    readonly maximumObjectBytes: number;
    readonly flushIntervalMilliseconds: number;
    readonly random: () => number;
}

export interface BillingSystem {
    readonly batches: Table<BatchRow>;
    readonly heldBytes: number;
    /** Bytes of copies held for other nodes. */
    readonly copyBytes: number;
    /** Whether a bill of this request is held or was recently written. */
    isKnown(requestId: string): boolean;
    step(events: readonly BillingEvent[], now: number): readonly BillingAction[];
    dump(): BillingDump;
}

export interface BillingDump {
    readonly unwrittenBills: number;
    readonly unwrittenBytes: number;
    /** Bills of answered requests that no peer holds, so that they are lost if this node fails. */
    readonly exposedBills: number;
    /** Bills of the open batch, which is not yet sent to peers. */
    readonly gathering: number;
    readonly batches: Readonly<Record<BatchRow["state"], number>>;
    readonly nextObject: number;
    readonly consecutiveFailures: number;
    readonly copies: CopiesDump;
}

/** Request ids of written bills that are kept to detect a second bill of the same request. */
const MAXIMUM_RECORDED_REQUEST_IDS = 20_000;

/** Batches that may be in the state `copying` at once; meanwhile, further bills join the open batch. */
const MAXIMUM_COPYING_BATCHES = 16;

const NO_PEERS: readonly string[] = [];

interface HeldBill {
    readonly line: BillLine;
    /** Number of the batch; 0 while the bill is in the open batch. */
    batch: number;
    recorded: boolean;
}

interface PeerProgress {
    /** Highest batch that the peer may hold. */
    highest: number;
    /** The peer has confirmed the report that all batches up to this one are written. */
    notifiedThrough: number;
    /** Earliest time of the next notice. */
    notBefore: number;
}

export function createBillingSystem(options: BillingSystemOptions): BillingSystem {
    const { self } = options;
    const bills = new Map<string, HeldBill>();
    const batches = createTable<BatchRow>();
    const progress = new Map<string, PeerProgress>();
    const avoidedUntil = new Map<string, number>();
    const written = new Set<string>();
    const writer = createLogWriter(1, options.maximumObjectBytes);
    const copies: Copies = createCopies({
        maximumBytes: options.copyMemoryBytes,
        maximumObjectBytes: options.maximumObjectBytes,
        isGone: options.isGone,
        random: options.random,
    });
    const flushCalls: number[] = [];
    let actions: BillingAction[] = [];
    let heldBytes = 0;
    let textBytes = 0;
    let nextBatch = 1;
    /** Request ids of the open batch, to which new bills are added. */
    let openIds: string[] = [];
    let openFloor = 1;
    let openBytes = 0;
    const counts = { copying: 0, copied: 0, alone: 0 };
    let closedAt = -Infinity;
    let aloneSince: number | undefined;
    let draining = false;
    let flushAt: number | undefined;
    let recopyAt = 0;
    let failures = 0;
    let notBefore = 0;

    const keyOf = (number: number): string => String(number);

    const setBatch = (row: BatchRow): void => {
        deleteBatch(row.number, true);
        counts[row.state] += 1;
        batches.set(keyOf(row.number), row);
    };

    const deleteBatch = (number: number, isReplaced = false): void => {
        const replaced = batches.get(keyOf(number));
        if (replaced !== undefined) {
            counts[replaced.state] -= 1;
        }
        if (!isReplaced) {
            batches.delete(keyOf(number));
        }
    };

    const record = (line: BillLine): void => {
        if (bills.has(line.requestId) || written.has(line.requestId)) {
            return;
        }
        if (openIds.length === 0) {
            openFloor = writer.next;
        }
        bills.set(line.requestId, { line, batch: 0, recorded: false });
        heldBytes += line.text.length + BILL_OVERHEAD_BYTES;
        textBytes += line.text.length;
        openBytes += line.text.length;
        openIds.push(line.requestId);
    };

    const markRecorded = (requestIds: readonly string[]): void => {
        const newlyRecorded = requestIds.filter(id => bills.get(id)?.recorded === false);
        newlyRecorded.forEach(id => (bills.get(id)!.recorded = true));
        if (newlyRecorded.length > 0) {
            actions.push({ kind: "recorded", requestIds: newlyRecorded });
        }
    };

    const flushedThrough = (): number => {
        let through = nextBatch - 1;
        for (const row of batches.values()) {
            through = Math.min(through, row.oldest - 1);
        }
        return through;
    };

    /**
     * Sends the batch to as many peers as copies are missing. When no peer is left and no call is in flight,
     * marks the bills as recorded.
     */
    const sendCopy = (row: BatchRow, now: number): void => {
        const failed = row.tried.length - row.holders.length - row.asked.length;
        const missing = Math.min(
            options.copies - row.holders.length - row.asked.length,
            MAXIMUM_COPY_FAILURES - failed,
        );
        const peers = options
            .copyPeers()
            .filter(({ id }) => !row.tried.includes(id) && now >= (avoidedUntil.get(id) ?? -Infinity))
            .slice(0, Math.max(0, missing));
        if (peers.length === 0 && row.asked.length === 0) {
            const state = row.holders.length === 0 ? "alone" : "copied";
            setBatch({ ...row, state, tried: NO_PEERS });
            markRecorded(row.requestIds);
            return;
        }
        const ids = peers.map(peer => peer.id);
        setBatch({ ...row, state: "copying", asked: [...row.asked, ...ids], tried: [...row.tried, ...ids] });
        peers.forEach(peer => requestCopy(row, peer));
    };

    const requestCopy = (row: BatchRow, peer: CopyPeer): void => {
        const peerProgress = progress.get(peer.id);
        progress.set(peer.id, {
            highest: Math.max(peerProgress?.highest ?? 0, row.number),
            notifiedThrough: peerProgress?.notifiedThrough ?? 0,
            notBefore: peerProgress?.notBefore ?? 0,
        });
        const lines = row.requestIds.flatMap(id => bills.get(id)?.line ?? []);
        actions.push({
            kind: "copy",
            peer: peer.id,
            address: peer.address,
            message: {
                owner: self.id,
                incarnation: self.incarnation,
                batch: row.number,
                floor: row.floor,
                flushedThrough: flushedThrough(),
                text: joinLines(lines),
            },
        });
    };

    const canClose = (): boolean => openIds.length > 0 && counts.copying < MAXIMUM_COPYING_BATCHES;

    const closeBatch = (now: number): void => {
        const isDue =
            now >= closedAt + BATCH_INTERVAL_MILLISECONDS ||
            openBytes >= MAXIMUM_BATCH_BYTES ||
            // A batch saves messages to peers; without a peer, the wait would only delay the answers.
            options.copyPeers().length === 0;
        if (!isDue || !canClose()) {
            return;
        }
        // Bills that were written to the object store meanwhile need no copy. `filter` leaves 130 bytes of
        // unused array capacity, too much for batches of one bill; `slice` frees it.
        const requestIds = openIds.filter(id => bills.has(id)).slice();
        openIds = [];
        openBytes = 0;
        if (requestIds.length > 0) {
            closedAt = now;
            sendNewBatch(requestIds, openFloor, now);
        }
    };

    const sendNewBatch = (
        requestIds: readonly string[],
        floor: number,
        now: number,
        oldest: number = nextBatch,
    ): void => {
        const number = nextBatch++;
        requestIds.forEach(id => (bills.get(id)!.batch = number));
        sendCopy(
            {
                number,
                oldest,
                floor,
                requestIds,
                state: "copying",
                asked: NO_PEERS,
                holders: NO_PEERS,
                tried: NO_PEERS,
            },
            now,
        );
    };

    const onCopyEnded = (event: Extract<BillingEvent, { kind: "copyEnded" }>, now: number): void => {
        const row = batches.get(keyOf(event.batch));
        if (event.result === "accepted") {
            const peerProgress = progress.get(event.peer);
            if (peerProgress !== undefined) {
                peerProgress.notifiedThrough = Math.max(peerProgress.notifiedThrough, event.flushedThrough);
            }
        }
        else {
            avoidedUntil.set(event.peer, now + PEER_AVOIDANCE_MILLISECONDS);
        }
        if (row?.state !== "copying" || !row.asked.includes(event.peer)) {
            return;
        }
        const holders = event.result === "accepted" ? [...row.holders, event.peer] : row.holders;
        sendCopy({ ...row, asked: row.asked.filter(id => id !== event.peer), holders }, now);
    };

    const textBytesOf = (row: BatchRow): number =>
        row.requestIds.reduce((sum, id) => sum + bills.get(id)!.line.text.length, 0);

    /** Merges batches into one with a new number, because a peer ignores a number that it already holds. */
    const copyAsOneBatch = (rows: readonly BatchRow[], now: number): void => {
        rows.forEach(row => deleteBatch(row.number));
        sendNewBatch(
            rows.flatMap(row => row.requestIds),
            Math.min(...rows.map(row => row.floor)),
            now,
            Math.min(...rows.map(row => row.oldest)),
        );
    };

    /** Copies batches again that have lost a copy or never had one. */
    const recopy = (now: number): void => {
        if (now < recopyAt) {
            return;
        }
        recopyAt = now + RECOPY_INTERVAL_MILLISECONDS;
        const peers = new Set(options.copyPeers().map(peer => peer.id));
        avoidedUntil.forEach((until, id) => until <= now && avoidedUntil.delete(id));
        let group: BatchRow[] = [];
        let bytes = 0;
        const sendGroup = (): void => {
            if (group.length > 0 && counts.copying < MAXIMUM_COPYING_BATCHES) {
                copyAsOneBatch(group, now);
            }
            group = [];
            bytes = 0;
        };
        for (const row of [...batches.values()]) {
            const hasLostCopy = row.state === "copied" && row.holders.some(holder => !peers.has(holder));
            const isAlone = row.state === "alone" && peers.size > 0;
            if (hasLostCopy || isAlone) {
                group.push(row);
                bytes += textBytesOf(row);
            }
            if (bytes >= MAXIMUM_BATCH_BYTES) {
                sendGroup();
            }
        }
        sendGroup();
    };

    const removeBill = (requestId: string): void => {
        const bill = bills.get(requestId);
        if (bill === undefined) {
            return;
        }
        bills.delete(requestId);
        heldBytes -= bill.line.text.length + BILL_OVERHEAD_BYTES;
        textBytes -= bill.line.text.length;
        written.add(requestId);
        if (written.size > MAXIMUM_RECORDED_REQUEST_IDS) {
            written.delete(written.values().next().value!);
        }
    };

    const onWritten = (requestIds: readonly string[]): void => {
        markRecorded(requestIds);
        const affectedBatches = new Set(requestIds.flatMap(id => bills.get(id)?.batch ?? []));
        requestIds.forEach(removeBill);
        for (const number of affectedBatches) {
            const row = batches.get(keyOf(number));
            const left = row?.requestIds.filter(id => bills.has(id)) ?? [];
            if (row !== undefined && left.length > 0) {
                setBatch({ ...row, requestIds: left });
            }
            else {
                deleteBatch(number);
            }
        }
    };

    const onStored = (answer: LogAnswer, now: number): void => {
        if (answer.kind === "failed") {
            failures += 1;
            const wait = Math.min(
                BACKOFF_MILLISECONDS.maximum,
                BACKOFF_MILLISECONDS.initial * 2 ** Math.min(failures - 1, 10),
            );
            notBefore = now + wait * (0.5 + options.random() / 2);
        }
        else {
            failures = 0;
        }
        onWritten(writer.answer(answer));
        if (answer.kind === "created" && textBytes < options.maximumObjectBytes) {
            draining = false;
            flushAt = undefined;
        }
    };

    const nextFlush = (now: number): number =>
        now + options.flushIntervalMilliseconds * (0.7 + 0.3 * options.random());

    const flushBills = (now: number): void => {
        if (bills.size === 0) {
            draining = false;
            flushAt = undefined;
            return;
        }
        flushAt ??= nextFlush(now);
        const isEarly = textBytes >= options.maximumObjectBytes || flushCalls.length > 0;
        // Bills without a copy are lost if this node fails, so they are written after one second.
        aloneSince = counts.alone === 0 ? undefined : (aloneSince ?? now);
        const isExposed = aloneSince !== undefined && now >= aloneSince + RECOPY_INTERVAL_MILLISECONDS;
        draining ||= now >= flushAt || isEarly || isExposed;
        if (!draining || now < notBefore) {
            return;
        }
        const lines = function* (): Iterable<BillLine> {
            for (const bill of bills.values()) {
                yield bill.line;
            }
        };
        const call = writer.call(lines());
        if (call !== undefined) {
            actions.push({ kind: "store", log: self.log, call });
        }
    };

    const sendNotices = (now: number): void => {
        const through = flushedThrough();
        for (const [peer, peerProgress] of progress) {
            if (peerProgress.notifiedThrough >= peerProgress.highest) {
                progress.delete(peer);
                continue;
            }
            if (through <= peerProgress.notifiedThrough || now < peerProgress.notBefore) {
                continue;
            }
            const member = options.findPeer(peer);
            if (member === undefined) {
                progress.delete(peer);
                continue;
            }
            peerProgress.notBefore = now + FLUSHED_RETRY_INTERVAL_MILLISECONDS;
            if (!member.isReachable) {
                continue;
            }
            actions.push({
                kind: "notice",
                peer,
                address: member.address,
                message: { owner: self.id, incarnation: self.incarnation, through },
            });
        }
    };

    const onEvent = (event: BillingEvent, now: number): void => {
        switch (event.kind) {
            case "record":
                record(event.line);
                break;
            case "copyEnded":
                onCopyEnded(event, now);
                break;
            case "noticeEnded": {
                const peerProgress = progress.get(event.peer);
                if (peerProgress !== undefined && event.succeeded) {
                    peerProgress.notifiedThrough = Math.max(peerProgress.notifiedThrough, event.through);
                }
                break;
            }
            case "stored":
                if (event.log === self.log) {
                    onStored(event.answer, now);
                }
                else {
                    copies.stored(event.log, event.answer, now);
                }
                break;
            case "copyReceived": {
                // A stopping node would have to write the copy at once. It rejects it, so that the owner
                // selects another peer.
                const accepted = flushCalls.length === 0 && copies.add(event.message);
                actions.push({ kind: "answerCopy", call: event.call, accepted });
                break;
            }
            case "flushedReceived":
                copies.flushed(event.message);
                break;
            case "flush":
                flushCalls.push(event.call);
                break;
        }
    };

    const endFlushes = (): void => {
        if (bills.size === 0 && copies.isEmpty) {
            flushCalls.splice(0).forEach(call => actions.push({ kind: "flushed", call }));
        }
    };

    const totalBytes = (): number => heldBytes + batches.size * BATCH_OVERHEAD_BYTES;

    const countExposed = (): number => {
        const isExposed = (bill: HeldBill): boolean =>
            bill.recorded && batches.get(keyOf(bill.batch))?.state !== "copied";
        return [...bills.values()].filter(isExposed).length;
    };

    return {
        batches,
        get heldBytes() {
            return totalBytes();
        },
        get copyBytes() {
            return copies.bytes;
        },
        isKnown: requestId => bills.has(requestId) || written.has(requestId),
        step: (events, now) => {
            actions = [];
            events.forEach(event => onEvent(event, now));
            closeBatch(now);
            recopy(now);
            flushBills(now);
            copies
                .step(now, flushCalls.length > 0)
                .forEach(({ log, call }) => actions.push({ kind: "store", log, call }));
            sendNotices(now);
            endFlushes();
            if (canClose()) {
                actions.push({ kind: "wake", at: closedAt + BATCH_INTERVAL_MILLISECONDS });
            }
            return actions;
        },
        dump: () => {
            return {
                unwrittenBills: bills.size,
                unwrittenBytes: totalBytes(),
                exposedBills: countExposed(),
                gathering: openIds.length,
                batches: { ...counts },
                nextObject: writer.next,
                consecutiveFailures: failures,
                copies: copies.dump(),
            };
        },
    };
}
