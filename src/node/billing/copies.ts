/**
 * Holds copies of other nodes' bills, and decides how to write them to the owner's log when the owner has
 * failed or left. Performs no I/O.
 */
import { z } from "zod";
import { logName, splitLines } from "./bill-codec.js";
import type { BillLine } from "./bill-codec.js";
import {
    BACKOFF_MILLISECONDS,
    BILL_OVERHEAD_BYTES,
    OWNER_CHECK_INTERVAL_MILLISECONDS,
    MAXIMUM_RECORDED_LOGS,
} from "./constants.js";
import { createLogWriter } from "./log-writer.js";
import type { LogAnswer, LogCall, LogWriter } from "./log-writer.js";

export const copyMessageSchema = z.object({
    owner: z.string().min(1),
    incarnation: z.int(),
    batch: z.int().positive(),
    /** Number of the first object that may contain bills of the batch. */
    floor: z.int().positive(),
    /** All batches up to this one are in the object store. */
    flushedThrough: z.int().min(0),
    /** Encoded bills, one per line. */
    text: z.string(),
});

export type CopyMessage = Readonly<z.infer<typeof copyMessageSchema>>;

export const flushedMessageSchema = z.object({
    owner: z.string().min(1),
    incarnation: z.int(),
    /** All batches up to this one are in the object store. */
    through: z.int().min(0),
});

export type FlushedMessage = Readonly<z.infer<typeof flushedMessageSchema>>;

export interface CopiesOptions {
    readonly maximumBytes: number;
    readonly maximumObjectBytes: number;
    /** Whether the owner has failed, left or restarted, as far as this node has detected. */
    readonly isGone: (owner: string, incarnation: number) => boolean;
    readonly random: () => number;
}

export interface CopiesDump {
    readonly owners: number;
    readonly batches: number;
    readonly bytes: number;
    /** Logs that this node writes in place of their owners. */
    readonly writing: readonly string[];
}

export interface Copies {
    readonly isEmpty: boolean;
    readonly bytes: number;
    /** Returns false when the copy would exceed the maximum size. */
    add(message: CopyMessage): boolean;
    /** Removes the copies that the owner reports as written. */
    flushed(message: FlushedMessage): void;
    /**
     * Returns the calls to the object store. With `writeAll`, also for owners that still run: for a planned
     * stop.
     */
    step(now: number, writeAll: boolean): readonly CopiesCall[];
    /** Processes the answer of a call to the object store. */
    stored(log: string, answer: LogAnswer, now: number): void;
    dump(): CopiesDump;
}

export interface CopiesCall {
    readonly log: string;
    readonly call: LogCall;
}

interface CopiedBatch {
    readonly floor: number;
    readonly bytes: number;
    readonly text: string;
    /** Bills that may be missing from the log; set when this node starts to write the log. */
    lines?: readonly BillLine[];
}

interface OwnerCopies {
    readonly owner: string;
    readonly incarnation: number;
    readonly batches: Map<number, CopiedBatch>;
    /** Set once this node writes the log in place of the owner. */
    writer?: LogWriter;
    /** Minimum `floor` of the batches received since the last call to the object store. */
    minimumNewFloor: number;
    failures: number;
    notBefore: number;
}

export function createCopies(options: CopiesOptions): Copies {
    const owners = new Map<string, OwnerCopies>();
    /** Highest batch that is written, by log. A delayed copy of a written batch is not held. */
    const writtenThrough = new Map<string, number>();
    let bytes = 0;
    let checkAt = 0;

    const removeBatch = (copies: OwnerCopies, number: number): void => {
        bytes -= copies.batches.get(number)?.bytes ?? 0;
        copies.batches.delete(number);
    };

    const recordWritten = (log: string, through: number): void => {
        const highest = Math.max(through, writtenThrough.get(log) ?? 0);
        writtenThrough.delete(log);
        writtenThrough.set(log, highest);
        if (writtenThrough.size > MAXIMUM_RECORDED_LOGS) {
            writtenThrough.delete(writtenThrough.keys().next().value!);
        }
        const copies = owners.get(log);
        if (copies === undefined) {
            return;
        }
        for (const number of [...copies.batches.keys()].filter(each => each <= highest)) {
            removeBatch(copies, number);
        }
        removeIfDone(log, copies);
    };

    const removeIfDone = (log: string, copies: OwnerCopies): void => {
        // An open call keeps the entry, because its answer needs the writer.
        if (copies.batches.size === 0 && copies.writer?.busy !== true) {
            owners.delete(log);
        }
    };

    const linesOf = (batch: CopiedBatch): readonly BillLine[] => (batch.lines ??= splitLines(batch.text));

    const minimumFloor = (copies: OwnerCopies): number =>
        Math.min(...[...copies.batches.values()].map(batch => batch.floor));

    /** Yields each bill once. A bill that the owner copied again is in two batches. */
    const bills = function* (copies: OwnerCopies): Iterable<BillLine> {
        const seen = new Set<string>();
        for (const batch of copies.batches.values()) {
            for (const line of linesOf(batch)) {
                if (!seen.has(line.requestId)) {
                    seen.add(line.requestId);
                    yield line;
                }
            }
        }
    };

    const nextCall = (copies: OwnerCopies): LogCall | undefined => {
        // Objects that were read before these bills arrived may contain them, so they have to be read again.
        if (copies.writer === undefined || copies.minimumNewFloor < copies.writer.next) {
            copies.writer = createLogWriter(minimumFloor(copies), options.maximumObjectBytes);
        }
        copies.minimumNewFloor = Infinity;
        return copies.writer.call(bills(copies));
    };

    return {
        get isEmpty() {
            return owners.size === 0;
        },
        get bytes() {
            return bytes;
        },
        add: message => {
            const log = logName(message.owner, message.incarnation);
            recordWritten(log, message.flushedThrough);
            if (message.batch <= writtenThrough.get(log)!) {
                return true;
            }
            const lines = message.text.split("\n").length;
            const size = message.text.length + lines * BILL_OVERHEAD_BYTES;
            const copies = owners.get(log) ?? {
                owner: message.owner,
                incarnation: message.incarnation,
                batches: new Map<number, CopiedBatch>(),
                minimumNewFloor: Infinity,
                failures: 0,
                notBefore: 0,
            };
            if (copies.batches.has(message.batch)) {
                return true;
            }
            if (bytes + size > options.maximumBytes) {
                return false;
            }
            bytes += size;
            copies.batches.set(message.batch, { floor: message.floor, bytes: size, text: message.text });
            copies.minimumNewFloor = Math.min(copies.minimumNewFloor, message.floor);
            owners.set(log, copies);
            return true;
        },
        flushed: message => recordWritten(logName(message.owner, message.incarnation), message.through),
        step: (now, writeAll) => {
            if (now < checkAt && !writeAll) {
                return [];
            }
            let isWriting = false;
            const calls: CopiesCall[] = [];
            for (const [log, copies] of owners) {
                const isWanted =
                    copies.writer !== undefined ||
                    writeAll ||
                    options.isGone(copies.owner, copies.incarnation);
                if (!isWanted) {
                    continue;
                }
                isWriting = true;
                if (copies.writer?.busy === true || now < copies.notBefore) {
                    continue;
                }
                const call = nextCall(copies);
                if (call !== undefined) {
                    calls.push({ log, call });
                }
            }
            checkAt = isWriting ? now : now + OWNER_CHECK_INTERVAL_MILLISECONDS;
            return calls;
        },
        stored: (log, answer, now) => {
            const copies = owners.get(log);
            if (copies?.writer === undefined) {
                return;
            }
            const ids = new Set(copies.writer.answer(answer));
            if (answer.kind === "failed") {
                copies.failures += 1;
                const wait = Math.min(
                    BACKOFF_MILLISECONDS.maximum,
                    BACKOFF_MILLISECONDS.initial * 2 ** Math.min(copies.failures - 1, 10),
                );
                copies.notBefore = now + wait * (0.5 + options.random() / 2);
            }
            else {
                copies.failures = 0;
            }
            for (const [number, batch] of [...copies.batches]) {
                batch.lines = linesOf(batch).filter(line => !ids.has(line.requestId));
                if (batch.lines.length === 0) {
                    removeBatch(copies, number);
                }
            }
            removeIfDone(log, copies);
        },
        dump: () => ({
            owners: owners.size,
            batches: [...owners.values()].reduce((sum, copies) => sum + copies.batches.size, 0),
            bytes,
            writing: [...owners].filter(([, copies]) => copies.writer !== undefined).map(([log]) => log),
        }),
    };
}
