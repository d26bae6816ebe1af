/**
 * Group commit of claim rows: batches conditional writes and decides which transactions and reads to send.
 * Performs no I/O: its user executes the returned actions and reports their results.
 */
import type { OutsideServiceError, TransactionResult } from "../outside-services/table-service.js";
import { transactionOf } from "./claim-row.js";
import type { ObservedRow, RowWrite } from "./claim-row.js";
import type { Transaction } from "../outside-services/table-service.js";
import { BACKOFF_MILLISECONDS } from "./constants.js";

/** Result of one write. `uncertain`: a copy of the write may still take effect. */
export type WriteResult =
    | { readonly kind: "applied" }
    /** The guard did not hold, or the answer was lost. `row` is the row that was read back. */
    | { readonly kind: "observed"; readonly row?: ObservedRow; readonly uncertain: boolean }
    /** Neither confirmed nor disproved before the deadline. */
    | { readonly kind: "failed"; readonly uncertain: boolean };

export type WriterAction =
    | { readonly kind: "transact"; readonly batch: number; readonly transaction: Transaction }
    | { readonly kind: "read"; readonly batch: number; readonly keys: readonly string[] }
    | { readonly kind: "written"; readonly id: string; readonly result: WriteResult };

export type CallFailure = { readonly failed: OutsideServiceError["outcome"] };

export interface GroupWriterOptions {
    readonly maximumQueuedWrites: number;
    readonly maximumQueuedBytes: number;
    readonly writesPerTransaction: number;
    readonly transactionBytes: number;
    readonly transactionsInFlight: number;
    /**
     * Maximum delay of an outcome or an abandoned row, so that it can join the transaction of a claim. No
     * caller waits for these writes.
     */
    readonly batchDelayMilliseconds: number;
    /** Number of transactions that may be sent at once before the rate limit applies. */
    readonly burst: number;
    /** Current limit of this node, in transactions per second. */
    readonly rate: () => number;
    /** Random number in [0, 1), for the jitter of the backoff. */
    readonly random: () => number;
}

export interface GroupWriter {
    /** Queues a write. Returns `false` if the queue is full. */
    add(id: string, write: RowWrite, deadline: number, now: number): boolean;
    transacted(batch: number, result: TransactionResult | CallFailure, now: number): void;
    read(batch: number, rows: ReadonlyMap<string, ObservedRow> | CallFailure, now: number): void;
    step(now: number): readonly WriterAction[];
    /** Time of the next call of `step`; `undefined` if the next step depends on a result. */
    wakeAt(now: number): number | undefined;
    dump(): WriterDump;
}

export interface WriterDump {
    readonly queued: number;
    readonly queuedBytes: number;
    readonly inFlight: number;
    readonly reading: number;
    readonly transactions: number;
    readonly writesApplied: number;
    readonly conditionFailures: number;
    readonly callFailures: number;
    readonly consecutiveFailures: number;
}

interface Entry {
    readonly id: string;
    readonly write: RowWrite;
    readonly bytes: number;
    readonly deadline: number;
    /** Time at which the write is sent even if no claim has joined its transaction. */
    readonly sendBy: number;
    uncertain: boolean;
    /** The result was reported; later answers are ignored. */
    finished: boolean;
}

/** Bytes of a row without its outcome: attempt id, hash, key and field names. */
const ROW_BYTES = 320;

export function createGroupWriter(options: GroupWriterOptions): GroupWriter {
    let queue: Entry[] = [];
    let toRead: Entry[] = [];
    const writing = new Map<number, readonly Entry[]>();
    const reading = new Map<number, readonly Entry[]>();
    let results: WriterAction[] = [];
    let nextBatch = 1;
    let queuedBytes = 0;
    let unfinishedWrites = 0;
    let tokens = options.burst;
    let refilledAt = 0;
    let notBefore = 0;
    /** No write expires before this time. Avoids checking every write in every step. */
    let nextExpiry = Infinity;
    /** Minimum of `sendBy` in the queue. */
    let earliestSendBy = Infinity;
    const counts = { transactions: 0, writesApplied: 0, conditionFailures: 0, callFailures: 0, failures: 0 };

    const finish = (entry: Entry, result: WriteResult): void => {
        if (!entry.finished) {
            entry.finished = true;
            unfinishedWrites -= 1;
            queuedBytes -= entry.bytes;
            results.push({ kind: "written", id: entry.id, result });
        }
    };

    const isOpen = (entry: Entry): boolean => !entry.finished;

    const setQueue = (entries: Entry[]): void => {
        queue = entries;
        earliestSendBy = entries.reduce((earliest, { sendBy }) => Math.min(earliest, sendBy), Infinity);
    };

    const backOff = (now: number): void => {
        counts.callFailures += 1;
        counts.failures += 1;
        const wait = Math.min(
            BACKOFF_MILLISECONDS.maximum,
            BACKOFF_MILLISECONDS.initial * 2 ** Math.min(counts.failures - 1, 10),
        );
        notBefore = now + wait * (0.5 + options.random() / 2);
    };

    const refill = (now: number): void => {
        tokens = Math.min(options.burst, tokens + ((now - refilledAt) / 1000) * options.rate());
        refilledAt = now;
    };

    const expire = (now: number): void => {
        if (now < nextExpiry) {
            return;
        }
        nextExpiry = Infinity;
        const expireEntry = (entry: Entry, uncertain: boolean): void => {
            if (entry.deadline <= now) {
                finish(entry, { kind: "failed", uncertain });
            }
            else if (isOpen(entry)) {
                nextExpiry = Math.min(nextExpiry, entry.deadline);
            }
        };
        for (const entry of [...queue, ...toRead, ...[...reading.values()].flat()]) {
            expireEntry(entry, entry.uncertain);
        }
        for (const entry of [...writing.values()].flat()) {
            expireEntry(entry, true);
        }
        setQueue(queue.filter(isOpen));
        toRead = toRead.filter(isOpen);
    };

    /**
     * Dequeues the writes of the next transaction. Each key occurs once, because the conditions of a
     * transaction are checked against the state before it.
     */
    const takeBatch = (): readonly Entry[] => {
        const batch: Entry[] = [];
        const postponed: Entry[] = [];
        const keys = new Set<string>();
        let bytes = 0;
        let examined = 0;
        for (; examined < queue.length && batch.length < options.writesPerTransaction; examined += 1) {
            const entry = queue[examined]!;
            const fits = batch.length === 0 || bytes + entry.bytes <= options.transactionBytes;
            if (fits && !keys.has(entry.write.key)) {
                keys.add(entry.write.key);
                bytes += entry.bytes;
                batch.push(entry);
            }
            else {
                postponed.push(entry);
            }
        }
        setQueue(postponed.concat(queue.slice(examined)));
        return batch;
    };

    return {
        add: (id, write, deadline, now) => {
            const bytes = ROW_BYTES + (write.value.outcome?.body.length ?? 0);
            if (
                unfinishedWrites >= options.maximumQueuedWrites ||
                queuedBytes + bytes > options.maximumQueuedBytes
            ) {
                return false;
            }
            unfinishedWrites += 1;
            queuedBytes += bytes;
            nextExpiry = Math.min(nextExpiry, deadline);
            const sendBy = write.value.state === "claimed" ? now : now + options.batchDelayMilliseconds;
            earliestSendBy = Math.min(earliestSendBy, sendBy);
            queue.push({ id, write, bytes, deadline, sendBy, uncertain: false, finished: false });
            return true;
        },
        transacted: (batch, result, now) => {
            const entries = writing.get(batch) ?? [];
            writing.delete(batch);
            if ("failed" in result) {
                backOff(now);
                if (result.failed === "not-applied") {
                    setQueue([...entries.filter(isOpen), ...queue]);
                    return;
                }
                for (const entry of entries) {
                    entry.uncertain = true;
                }
                toRead.push(...entries.filter(isOpen));
                return;
            }
            counts.failures = 0;
            if (result.applied) {
                counts.writesApplied += entries.length;
                entries.forEach(entry => finish(entry, { kind: "applied" }));
                return;
            }
            counts.conditionFailures += 1;
            const failedKeys = new Set(result.failedKeys);
            const failed = entries.filter(entry => failedKeys.has(entry.write.key));
            // If the answer names no key of the transaction, read back all rows: resending the same
            // transaction could fail forever.
            const conflicts = failed.length > 0 ? failed : entries;
            toRead.push(...conflicts.filter(isOpen));
            setQueue([...entries.filter(entry => isOpen(entry) && !conflicts.includes(entry)), ...queue]);
        },
        read: (batch, rows, now) => {
            const entries = (reading.get(batch) ?? []).filter(isOpen);
            reading.delete(batch);
            if ("failed" in rows) {
                backOff(now);
                toRead.push(...entries);
                return;
            }
            counts.failures = 0;
            for (const entry of entries) {
                const row = rows.get(entry.write.key);
                finish(entry, { kind: "observed", row, uncertain: entry.uncertain });
            }
        },
        step: now => {
            expire(now);
            refill(now);
            const actions: WriterAction[] = [];
            if (now >= notBefore && toRead.length > 0 && reading.size < options.transactionsInFlight) {
                const entries = toRead.splice(0, options.writesPerTransaction);
                const batch = nextBatch++;
                reading.set(batch, entries);
                actions.push({
                    kind: "read",
                    batch,
                    keys: [...new Set(entries.map(entry => entry.write.key))],
                });
            }
            while (
                now >= notBefore &&
                now >= earliestSendBy &&
                tokens >= 1 &&
                writing.size < options.transactionsInFlight
            ) {
                const entries = takeBatch();
                const batch = nextBatch++;
                tokens -= 1;
                counts.transactions += 1;
                writing.set(batch, entries);
                actions.push({
                    kind: "transact",
                    batch,
                    transaction: transactionOf(entries.map(entry => entry.write)),
                });
            }
            const writeResults = results;
            results = [];
            return [...writeResults, ...actions];
        },
        wakeAt: now => {
            const canWrite = queue.length > 0 && writing.size < options.transactionsInFlight;
            const canRead = toRead.length > 0 && reading.size < options.transactionsInFlight;
            if (!canWrite && !canRead) {
                return undefined;
            }
            const tokenAt = canRead || tokens >= 1 ? now : now + ((1 - tokens) * 1000) / options.rate();
            return Math.max(notBefore, canRead ? now : Math.max(tokenAt, earliestSendBy));
        },
        dump: () => ({
            queued: queue.length,
            queuedBytes,
            inFlight: writing.size,
            reading: reading.size,
            transactions: counts.transactions,
            writesApplied: counts.writesApplied,
            conditionFailures: counts.conditionFailures,
            callFailures: counts.callFailures,
            consecutiveFailures: counts.failures,
        }),
    };
}
