/**
 * State machine of claim attempts. The system owns the table of attempts and the group writer, and performs
 * no I/O.
 *
 * Each attempt has at most one open row write. The write goes to the aggregator, the node that writes for its
 * data centre, or to the local group writer if there is no aggregator or its call failed. Both may write the
 * same row: the attempt id in the row shows the second writer that the first write was applied.
 */
import type { Invariants } from "../invariants/invariants.js";
import { createTable } from "../tables/table.js";
import type { Table } from "../tables/table.js";
import type { TransactionResult } from "../outside-services/table-service.js";
import { guardForAbandon, decideClaim, isSameOutcome } from "./claim-row.js";
import type { ClaimRow, Guard, ObservedRow, RowWrite } from "./claim-row.js";
import type { ClaimResult, RecordedOutcome } from "./claims.js";
import {
    AVOID_AGGREGATOR_MILLISECONDS,
    HELD_CLAIM_CHECK_INTERVAL_MILLISECONDS,
    HELD_CLAIM_TIMEOUT_MILLISECONDS,
    MAXIMUM_SUBMITS_IN_FLIGHT,
    MAXIMUM_SUBMIT_BYTES,
    MAXIMUM_WRITES_PER_SUBMIT,
    SUBMIT_INTERVAL_MILLISECONDS,
} from "./constants.js";
import { createGroupWriter } from "./group-writer.js";
import type {
    CallFailure,
    GroupWriterOptions,
    WriteResult,
    WriterAction,
    WriterDump,
} from "./group-writer.js";

/** Stage of an attempt. `abandoning`: a write is under way after which its earlier writes fail. */
export type AttemptStage = "claiming" | "held" | "completing" | "abandoning";

export interface AttemptRow {
    readonly attempt: string;
    readonly key: string;
    readonly bodyHash: string;
    /** Milliseconds since the epoch, as stored in the claim row. */
    readonly at: number;
    readonly stage: AttemptStage;
    /** Guard of the open write. */
    readonly guard: Guard;
    /** Identifies the open write. Answers to earlier writes are ignored. */
    readonly operation: number;
    /** An unconfirmed claim write of this attempt may have taken effect or may still do so. */
    readonly mayHaveRow: boolean;
    /** Monotonic time at which the claim becomes `unavailable`. */
    readonly deadline: number;
    readonly outcome?: RecordedOutcome;
    readonly outcomeBytes: number;
}

export type ClaimsEvent =
    | {
          readonly kind: "claim";
          readonly attempt: string;
          readonly key: string;
          readonly bodyHash: string;
          readonly wallTime: number;
      }
    | {
          readonly kind: "complete";
          readonly attempt: string;
          readonly outcome: RecordedOutcome | undefined;
      }
    | { readonly kind: "abandon"; readonly attempt: string }
    /** Row writes that a peer submitted to this node as the aggregator. */
    | {
          readonly kind: "submitted";
          readonly call: number;
          readonly writes: readonly RowWrite[];
          readonly remainingMilliseconds: number;
      }
    | {
          readonly kind: "submitAnswered";
          readonly submit: number;
          readonly results: readonly WriteResult[];
      }
    /** `uncertain`: the aggregator may have received the writes. */
    | { readonly kind: "submitFailed"; readonly submit: number; readonly uncertain: boolean }
    | {
          readonly kind: "transacted";
          readonly batch: number;
          readonly result: TransactionResult | CallFailure;
      }
    | {
          readonly kind: "read";
          readonly batch: number;
          readonly rows: ReadonlyMap<string, ObservedRow> | CallFailure;
      };

export type ClaimsAction =
    | Exclude<WriterAction, { readonly kind: "written" }>
    | { readonly kind: "claimResolved"; readonly attempt: string; readonly result: ClaimResult }
    /** A `complete` or `abandon` has ended, or a held claim has timed out. */
    | { readonly kind: "attemptEnded"; readonly attempt: string; readonly end: AttemptEnd }
    | {
          readonly kind: "submit";
          readonly submit: number;
          readonly address: string;
          readonly writes: readonly RowWrite[];
          readonly timeoutMilliseconds: number;
      }
    | { readonly kind: "answer"; readonly call: number; readonly results: readonly WriteResult[] }
    | { readonly kind: "wake"; readonly at: number };

export type AttemptEnd =
    | "recorded"
    /** The outcome was too large or the memory for outcomes was full. The claim stays without an outcome. */
    | "outcome-dropped"
    /** The outcome stays unknown, or was not reported before the held claim timed out. */
    | "outcome-unknown"
    | "abandoned"
    /** The attempt is not in the table, or its stage does not allow the call. */
    | "refused";

export interface Aggregator {
    readonly id: string;
    readonly address: string;
}

export interface ClaimsSystemOptions {
    readonly writer: GroupWriterOptions;
    readonly invariants: Invariants;
    /** The node that writes for this data centre; `undefined` if this node writes its rows itself. */
    readonly aggregator: () => Aggregator | undefined;
    readonly claimTimeoutMilliseconds: number;
    readonly submitTimeoutMilliseconds: number;
    readonly maximumAttempts: number;
    readonly maximumOutcomeBytes: number;
    readonly outcomeMemoryBytes: number;
}

export interface ClaimsSystem {
    readonly attempts: Table<AttemptRow>;
    step(events: readonly ClaimsEvent[], now: number): readonly ClaimsAction[];
    /** Number of attempts that wait for a row write. */
    unfinished(): number;
    dump(): ClaimsDump;
}

export interface ClaimsDump {
    readonly attempts: Readonly<Record<AttemptStage, number>>;
    readonly outcomeBytes: number;
    readonly submitsInFlight: number;
    readonly avoidedAggregator: string | undefined;
    readonly neighbourCalls: number;
    readonly writer: WriterDump;
}

interface Operation {
    readonly attempt: string;
    readonly operation: number;
}

interface Submit {
    readonly aggregator: string;
    readonly operations: readonly Operation[];
}

interface PeerCall {
    readonly results: (WriteResult | undefined)[];
    pending: number;
}

export function createClaimsSystem(options: ClaimsSystemOptions): ClaimsSystem {
    const { invariants } = options;
    const writer = createGroupWriter(options.writer);
    const attempts = createTable<AttemptRow>();
    /** Attempt whose claim resolved as `claimed`, by row key. Used by the `at-most-once` invariant. */
    const holders = new Map<string, string>();
    /**
     * Deadlines of open claims by attempt. Insertion order is deadline order, as all claims have the same
     * timeout.
     */
    const deadlines = new Map<string, number>();
    const submits = new Map<number, Submit>();
    const peerCalls = new Map<number, PeerCall>();
    let outbox: Operation[] = [];
    let actions: ClaimsAction[] = [];
    let outcomeBytes = 0;
    let nextOperation = 1;
    let nextSubmit = 1;
    let submitNotBefore = 0;
    let nextHeldCheckAt = 0;
    let avoidedAggregator: { readonly id: string; readonly until: number } | undefined;

    const usableAggregator = (now: number): Aggregator | undefined => {
        const aggregator = options.aggregator();
        return aggregator !== undefined &&
            avoidedAggregator?.id === aggregator.id &&
            now < avoidedAggregator.until
            ? undefined
            : aggregator;
    };

    const toClaimRow = (row: AttemptRow): ClaimRow => {
        const { attempt, bodyHash, at, outcome } = row;
        switch (row.stage) {
            case "abandoning":
                return { attempt, state: "abandoned", bodyHash, at };
            case "completing":
                return { attempt, state: "recorded", bodyHash, at, outcome };
            default:
                return { attempt, state: "claimed", bodyHash, at };
        }
    };

    const toRowWrite = (row: AttemptRow): RowWrite => ({
        key: row.key,
        guard: row.guard,
        value: toClaimRow(row),
    });

    /** Starts a row write of an attempt: through the aggregator if `route` is `any`, else locally. */
    const openWrite = (row: AttemptRow, now: number, route: "any" | "own"): void => {
        const operation = nextOperation++;
        const opened = { ...row, operation };
        attempts.set(row.attempt, opened);
        if (route === "any" && usableAggregator(now) !== undefined) {
            outbox.push({ attempt: row.attempt, operation });
            return;
        }
        openAtLocalWriter(opened, now);
    };

    const openAtLocalWriter = (row: AttemptRow, now: number): void => {
        const deadline = row.stage === "claiming" ? row.deadline : Infinity;
        const id = `own ${row.operation} ${row.attempt}`;
        if (!writer.add(id, toRowWrite(row), deadline, now)) {
            retryLater.push({ attempt: row.attempt, operation: row.operation });
            retryAt = Math.min(retryAt, now + AVOID_AGGREGATOR_MILLISECONDS);
        }
    };

    /** Writes that were rejected because the queue was full. Claims among them end at their deadline. */
    let retryLater: Operation[] = [];
    let retryAt = Infinity;

    const currentRow = ({ attempt, operation }: Operation): AttemptRow | undefined => {
        const row = attempts.get(attempt);
        return row?.operation === operation ? row : undefined;
    };

    const removeAttempt = (row: AttemptRow): void => {
        attempts.delete(row.attempt);
        deadlines.delete(row.attempt);
        outcomeBytes -= row.outcomeBytes;
        if (holders.get(row.key) === row.attempt) {
            holders.delete(row.key);
        }
    };

    const endAttempt = (row: AttemptRow, attemptEnd: AttemptEnd): void => {
        removeAttempt(row);
        actions.push({ kind: "attemptEnded", attempt: row.attempt, end: attemptEnd });
    };

    const resolveClaim = (row: AttemptRow, result: ClaimResult): void => {
        deadlines.delete(row.attempt);
        actions.push({ kind: "claimResolved", attempt: row.attempt, result });
    };

    const holdClaim = (row: AttemptRow): void => {
        const holder = holders.get(row.key);
        attempts.set(row.attempt, { ...row, stage: "held", operation: 0 });
        if (holder !== undefined) {
            resolveClaim(row, { kind: "pending" });
            invariants.assert(
                "at-most-once",
                false,
                () => `key ${row.key} is claimed by both ${holder} and ${row.attempt}`,
            );
            return;
        }
        holders.set(row.key, row.attempt);
        resolveClaim(row, { kind: "claimed" });
    };

    const makeUnavailable = (row: AttemptRow, mayHaveRow: boolean, now: number): void => {
        resolveClaim(row, { kind: "unavailable" });
        if (mayHaveRow) {
            openWrite(
                { ...row, stage: "abandoning", guard: { kind: "held", attempt: row.attempt } },
                now,
                "any",
            );
        }
        else {
            removeAttempt(row);
        }
    };

    const onClaimWritten = (row: AttemptRow, result: WriteResult, now: number): void => {
        if (result.kind === "applied") {
            holdClaim(row);
            return;
        }
        const mayHaveRow = row.mayHaveRow || result.uncertain;
        if (result.kind === "failed") {
            if (now >= row.deadline) {
                makeUnavailable(row, mayHaveRow, now);
                return;
            }
            openWrite({ ...row, mayHaveRow }, now, "own");
            return;
        }
        const decision = decideClaim(row.attempt, row.bodyHash, result.row);
        if (decision.kind === "write") {
            openWrite({ ...row, mayHaveRow, guard: decision.guard }, now, "any");
            return;
        }
        if (decision.result.kind === "claimed") {
            holdClaim(row);
            return;
        }
        // The row belongs to another attempt, so the guards of this attempt's writes can no longer hold.
        removeAttempt(row);
        resolveClaim(row, decision.result);
    };

    const onOutcomeWritten = (row: AttemptRow, result: WriteResult, now: number): void => {
        if (result.kind === "applied") {
            endAttempt(row, "recorded");
            return;
        }
        if (result.kind === "failed") {
            openWrite(row, now, "own");
            return;
        }
        const value = result.row?.value;
        if (value?.attempt === row.attempt && value.state === "claimed") {
            openWrite(row, now, "any");
            return;
        }
        endAttempt(row, "recorded");
        const stored = value?.attempt === row.attempt ? value.outcome : undefined;
        invariants.assert(
            "at-most-once",
            stored !== undefined && isSameOutcome(stored, row.outcome!),
            () => `claim ${row.key} of ${row.attempt} was changed by ${value?.attempt ?? "a removal"}`,
        );
    };

    const onAbandonWritten = (row: AttemptRow, result: WriteResult, now: number): void => {
        if (result.kind === "applied") {
            endAttempt(row, "abandoned");
            return;
        }
        if (result.kind === "failed") {
            openWrite(row, now, "own");
            return;
        }
        const guard = guardForAbandon(row.attempt, result.row);
        if (guard === undefined) {
            endAttempt(row, "abandoned");
            return;
        }
        openWrite({ ...row, guard }, now, "any");
    };

    const onWritten = (operation: Operation, result: WriteResult, now: number): void => {
        const row = currentRow(operation);
        switch (row?.stage) {
            case "claiming":
                onClaimWritten(row, result, now);
                break;
            case "completing":
                onOutcomeWritten(row, result, now);
                break;
            case "abandoning":
                onAbandonWritten(row, result, now);
                break;
            default:
                break;
        }
    };

    const startClaim = (event: Extract<ClaimsEvent, { kind: "claim" }>, now: number): void => {
        const { attempt, key, bodyHash, wallTime } = event;
        const isFull = attempts.size >= options.maximumAttempts || outcomeBytes >= options.outcomeMemoryBytes;
        if (isFull) {
            actions.push({ kind: "claimResolved", attempt, result: { kind: "unavailable" } });
            return;
        }
        const deadline = now + options.claimTimeoutMilliseconds;
        deadlines.set(attempt, deadline);
        openWrite(
            {
                attempt,
                key,
                bodyHash,
                at: wallTime,
                stage: "claiming",
                guard: { kind: "absent" },
                operation: 0,
                mayHaveRow: false,
                deadline,
                outcomeBytes: 0,
            },
            now,
            "any",
        );
    };

    const complete = (event: Extract<ClaimsEvent, { kind: "complete" }>, now: number): void => {
        const row = attempts.get(event.attempt);
        if (row?.stage !== "held") {
            actions.push({ kind: "attemptEnded", attempt: event.attempt, end: "refused" });
            return;
        }
        if (event.outcome === undefined) {
            endAttempt(row, "outcome-unknown");
            return;
        }
        const bytes = event.outcome.body.length;
        if (bytes > options.maximumOutcomeBytes || outcomeBytes + bytes > options.outcomeMemoryBytes) {
            endAttempt(row, "outcome-dropped");
            return;
        }
        outcomeBytes += bytes;
        const guard: Guard = { kind: "held", attempt: row.attempt };
        openWrite(
            { ...row, stage: "completing", guard, outcome: event.outcome, outcomeBytes: bytes },
            now,
            "any",
        );
    };

    const abandon = (event: Extract<ClaimsEvent, { kind: "abandon" }>, now: number): void => {
        const row = attempts.get(event.attempt);
        if (row?.stage !== "held") {
            actions.push({ kind: "attemptEnded", attempt: event.attempt, end: "refused" });
            return;
        }
        // From here on the attempt does not count as the holder of the claim, whatever the state of the row.
        holders.delete(row.key);
        openWrite({ ...row, stage: "abandoning", guard: { kind: "held", attempt: row.attempt } }, now, "any");
    };

    const onSubmitted = (event: Extract<ClaimsEvent, { kind: "submitted" }>, now: number): void => {
        const call: PeerCall = {
            results: event.writes.map(() => undefined),
            pending: event.writes.length,
        };
        peerCalls.set(event.call, call);
        event.writes.forEach((write, index) => {
            const id = `neighbour ${event.call} ${index}`;
            if (!writer.add(id, write, now + event.remainingMilliseconds, now)) {
                setPeerResult(event.call, index, { kind: "failed", uncertain: false });
            }
        });
    };

    const setPeerResult = (callId: number, index: number, result: WriteResult): void => {
        const call = peerCalls.get(callId);
        if (call === undefined) {
            return;
        }
        call.results[index] = result;
        call.pending -= 1;
        if (call.pending === 0) {
            peerCalls.delete(callId);
            actions.push({ kind: "answer", call: callId, results: call.results as WriteResult[] });
        }
    };

    const onSubmitEnded = (submitId: number, resultOf: (index: number) => WriteResult, now: number): void => {
        const submit = submits.get(submitId);
        submits.delete(submitId);
        submit?.operations.forEach((operation, index) => onWritten(operation, resultOf(index), now));
    };

    const onEvent = (event: ClaimsEvent, now: number): void => {
        switch (event.kind) {
            case "claim":
                startClaim(event, now);
                break;
            case "complete":
                complete(event, now);
                break;
            case "abandon":
                abandon(event, now);
                break;
            case "submitted":
                onSubmitted(event, now);
                break;
            case "submitAnswered":
                onSubmitEnded(
                    event.submit,
                    index => event.results[index] ?? { kind: "failed", uncertain: true },
                    now,
                );
                break;
            case "submitFailed": {
                const id = submits.get(event.submit)?.aggregator;
                if (id !== undefined) {
                    avoidedAggregator = { id, until: now + AVOID_AGGREGATOR_MILLISECONDS };
                }
                onSubmitEnded(event.submit, () => ({ kind: "failed", uncertain: event.uncertain }), now);
                break;
            }
            case "transacted":
                writer.transacted(event.batch, event.result, now);
                break;
            case "read":
                writer.read(event.batch, event.rows, now);
                break;
        }
    };

    const runWriter = (now: number): void => {
        for (const action of writer.step(now)) {
            if (action.kind !== "written") {
                actions.push(action);
                continue;
            }
            const [origin, first, second] = action.id.split(" ", 3) as [string, string, string];
            if (origin === "own") {
                const attempt = action.id.slice(origin.length + first.length + 2);
                onWritten({ attempt, operation: Number(first) }, action.result, now);
            }
            else {
                setPeerResult(Number(first), Number(second), action.result);
            }
        }
    };

    const expireClaims = (now: number): void => {
        for (const [attempt, deadline] of deadlines) {
            if (deadline > now) {
                break;
            }
            const row = attempts.get(attempt)!;
            // A write still open here was passed to the aggregator or rejected by the full queue: assume that
            // the row may exist.
            makeUnavailable(row, true, now);
        }
    };

    /**
     * Removes held attempts whose outcome was never reported, so that they do not count towards the limit.
     */
    const expireHeld = (now: number): void => {
        if (now < nextHeldCheckAt) {
            return;
        }
        nextHeldCheckAt = now + HELD_CLAIM_CHECK_INTERVAL_MILLISECONDS;
        for (const row of [...attempts.values()]) {
            if (row.stage === "held" && now >= row.deadline + HELD_CLAIM_TIMEOUT_MILLISECONDS) {
                endAttempt(row, "outcome-unknown");
            }
        }
    };

    const retryRejectedWrites = (now: number): void => {
        if (now < retryAt) {
            return;
        }
        const operations = retryLater;
        retryLater = [];
        retryAt = Infinity;
        for (const operation of operations) {
            const row = currentRow(operation);
            if (row !== undefined) {
                openAtLocalWriter(row, now);
            }
        }
    };

    /** Dequeues the writes of the next message to the aggregator, up to its size limits. */
    const takeSubmitBatch = (): readonly AttemptRow[] => {
        const rows: AttemptRow[] = [];
        let bytes = 0;
        let taken = 0;
        while (taken < outbox.length && rows.length < MAXIMUM_WRITES_PER_SUBMIT) {
            const row = currentRow(outbox[taken]!);
            if (rows.length > 0 && bytes + (row?.outcomeBytes ?? 0) > MAXIMUM_SUBMIT_BYTES) {
                break;
            }
            taken += 1;
            if (row !== undefined) {
                bytes += row.outcomeBytes;
                rows.push(row);
            }
        }
        outbox = outbox.slice(taken);
        return rows;
    };

    const sendSubmits = (now: number): void => {
        if (outbox.length === 0 || now < submitNotBefore || submits.size >= MAXIMUM_SUBMITS_IN_FLIGHT) {
            return;
        }
        const aggregator = usableAggregator(now);
        if (aggregator === undefined) {
            const rows = outbox.map(currentRow).filter(row => row !== undefined);
            outbox = [];
            rows.forEach(row => openAtLocalWriter(row, now));
            return;
        }
        const rows = takeSubmitBatch();
        if (rows.length === 0) {
            return;
        }
        const submit = nextSubmit++;
        submitNotBefore = now + SUBMIT_INTERVAL_MILLISECONDS;
        submits.set(submit, {
            aggregator: aggregator.id,
            operations: rows.map(({ attempt, operation }) => ({ attempt, operation })),
        });
        actions.push({
            kind: "submit",
            submit,
            address: aggregator.address,
            writes: rows.map(toRowWrite),
            timeoutMilliseconds: options.submitTimeoutMilliseconds,
        });
    };

    const wakeTime = (now: number): number | undefined => {
        const waitsForSubmit = outbox.length > 0 && submits.size < MAXIMUM_SUBMITS_IN_FLIGHT;
        const times = [writer.wakeAt(now), waitsForSubmit ? submitNotBefore : undefined].filter(
            time => time !== undefined,
        );
        return times.length === 0 ? undefined : Math.min(...times);
    };

    const countStage = (stage: AttemptStage): number =>
        [...attempts.values()].filter(row => row.stage === stage).length;

    return {
        attempts,
        step: (events, now) => {
            actions = [];
            events.forEach(event => onEvent(event, now));
            retryRejectedWrites(now);
            expireHeld(now);
            // Results of the writer may start further writes; the second run sends them in the same step.
            runWriter(now);
            expireClaims(now);
            sendSubmits(now);
            runWriter(now);
            const wake = wakeTime(now);
            if (wake !== undefined) {
                actions.push({ kind: "wake", at: wake });
            }
            return actions;
        },
        unfinished: () => attempts.size - countStage("held"),
        dump: () => ({
            attempts: {
                claiming: countStage("claiming"),
                held: countStage("held"),
                completing: countStage("completing"),
                abandoning: countStage("abandoning"),
            },
            outcomeBytes,
            submitsInFlight: submits.size,
            avoidedAggregator: avoidedAggregator?.id,
            neighbourCalls: peerCalls.size,
            writer: writer.dump(),
        }),
    };
}
