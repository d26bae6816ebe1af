/** Connects the claims system to the ticker, the table service and the peers. */
import { z } from "zod";
import type { Clock } from "../common/clock.js";
import { rendezvousOwner } from "../common/hash.js";
import type { JsonValue } from "../common/json.js";
import { jitter } from "../common/random.js";
import type { Random } from "../common/random.js";
import type { Invariants } from "../invariants/invariants.js";
import type { Lifecycle } from "../lifecycle/lifecycle.js";
import type { Logger } from "../logging/logging.js";
import type { MembershipView } from "../membership/membership.js";
import type { Metrics } from "../metrics/metrics.js";
import { PeerError } from "../peers/peers.js";
import type { Peers } from "../peers/peers.js";
import { OutsideServiceError } from "../outside-services/table-service.js";
import type { TableService, Transaction } from "../outside-services/table-service.js";
import type { Ticker } from "../ticker/ticker.js";
import { claimRowKey, parseClaimRow, observedRowSchema, rowWriteSchema } from "./claim-row.js";
import type { ClaimResult, Claims } from "./claims.js";
import { createClaimsSystem } from "./claims-system.js";
import type { Aggregator, AttemptEnd, ClaimsAction } from "./claims-system.js";
import * as constants from "./constants.js";
import type { CallFailure, WriteResult } from "./group-writer.js";
import { expiredRows, nextCursor, randomCursor, deletionTransaction, sweepDelay } from "./sweep.js";

export interface ClaimsOptions {
    readonly tableService: TableService;
    readonly peers: Peers;
    readonly membership: MembershipView;
    readonly ticker: Ticker;
    readonly lifecycle: Lifecycle;
    readonly clock: Clock;
    readonly random: Random;
    readonly invariants: Invariants;
    readonly metrics: Metrics;
    readonly logger: Logger;
    readonly tuning?: Partial<ClaimsTuning>;
}

export interface ClaimsTuning {
    /** Whether one node per data centre, the aggregator, writes for its peers there. @default true */
    readonly fanIn: boolean;
    /** Time after which an unconfirmed claim is `unavailable`. @default 4000 */
    readonly claimTimeoutMilliseconds: number;
    /** Timeout of a call to the aggregator. @default 500 */
    readonly submitTimeoutMilliseconds: number;
    /** Rate limit of all nodes together. @default 150 */
    readonly transactionsPerSecond: number;
    /** Maximum number of unanswered transactions of this node. @default 4 */
    readonly transactionsInFlight: number;
    /** Maximum number of row writes per transaction. @default 256 */
    readonly writesPerTransaction: number;
    /** Maximum number of attempts in this node's table. @default 10000 */
    readonly maximumAttempts: number;
    /** Time for which claim rows are kept. @default 172800000 (48 h) */
    readonly retentionMilliseconds: number;
}

const MILLISECONDS_PER_HOUR = 3_600_000;

const DEFAULT_TUNING: ClaimsTuning = {
    fanIn: true,
    claimTimeoutMilliseconds: constants.CLAIM_TIMEOUT_MILLISECONDS,
    submitTimeoutMilliseconds: constants.SUBMIT_TIMEOUT_MILLISECONDS,
    transactionsPerSecond: constants.TRANSACTIONS_PER_SECOND,
    transactionsInFlight: constants.MAXIMUM_TRANSACTIONS_IN_FLIGHT,
    writesPerTransaction: constants.MAXIMUM_WRITES_PER_TRANSACTION,
    maximumAttempts: constants.MAXIMUM_ATTEMPTS,
    retentionMilliseconds: constants.RETENTION_HOURS * MILLISECONDS_PER_HOUR,
};

const submitSchema = z.object({
    writes: z.array(rowWriteSchema).max(constants.MAXIMUM_WRITES_PER_SUBMIT),
    remainingMilliseconds: z.number().positive(),
});

const submitAnswerSchema = z.object({
    results: z.array(
        z.discriminatedUnion("kind", [
            z.object({ kind: z.literal("applied") }),
            z.object({
                kind: z.literal("observed"),
                row: observedRowSchema.optional(),
                uncertain: z.boolean(),
            }),
            z.object({ kind: z.literal("failed"), uncertain: z.boolean() }),
        ]),
    ),
});

/** Interval between checks for unfinished attempts during a planned stop. */
const STOP_POLL_MILLISECONDS = 20;

function toCallFailure(error: unknown): CallFailure {
    return { failed: error instanceof OutsideServiceError ? error.outcome : "unknown" };
}

export function createClaims(options: ClaimsOptions): Claims {
    const { clock, invariants, lifecycle, logger, membership, metrics, peers, tableService } = options;
    const tuning = { ...DEFAULT_TUNING, ...options.tuning };
    const claimWaiters = new Map<string, (result: ClaimResult) => void>();
    const endWaiters = new Map<string, (end: AttemptEnd) => void>();
    const peerWaiters = new Map<number, (results: readonly WriteResult[]) => void>();
    let nextCall = 1;
    let stopped = false;
    let wakeTimer: { readonly at: number; readonly timer: NodeJS.Timeout } | undefined;
    const sweep = { cursor: randomCursor(options.random), removed: 0, failures: 0 };

    const chooseAggregator = (): Aggregator | undefined => {
        if (!tuning.fanIn) {
            return undefined;
        }
        const { self } = membership;
        const localMembers = membership.active().filter(member => member.dataCentre === self.dataCentre);
        const owner = rendezvousOwner(
            `claims ${self.dataCentre}`,
            localMembers.map(member => member.id),
        );
        return owner === self.id ? undefined : localMembers.find(member => member.id === owner);
    };

    /** Number of nodes that send transactions and share the rate limit. */
    const countWriters = (): number => {
        const active = membership.active();
        const writers = tuning.fanIn ? new Set(active.map(member => member.dataCentre)).size : active.length;
        return Math.max(1, writers);
    };

    let roles = { aggregator: undefined as Aggregator | undefined, writers: 1, until: -Infinity };
    const currentRoles = (): typeof roles => {
        const now = clock.now();
        if (now >= roles.until) {
            roles = {
                aggregator: chooseAggregator(),
                writers: countWriters(),
                until: now + constants.ROLES_CACHE_MILLISECONDS,
            };
        }
        return roles;
    };

    const system = createClaimsSystem({
        writer: {
            maximumQueuedWrites: constants.MAXIMUM_QUEUED_WRITES,
            maximumQueuedBytes: constants.MAXIMUM_QUEUED_BYTES,
            writesPerTransaction: tuning.writesPerTransaction,
            transactionBytes: constants.MAXIMUM_TRANSACTION_BYTES,
            transactionsInFlight: tuning.transactionsInFlight,
            batchDelayMilliseconds: constants.BATCH_DELAY_MILLISECONDS,
            burst: constants.TRANSACTION_BURST,
            rate: () => tuning.transactionsPerSecond / currentRoles().writers,
            random: options.random,
        },
        invariants,
        aggregator: () => currentRoles().aggregator,
        claimTimeoutMilliseconds: tuning.claimTimeoutMilliseconds,
        submitTimeoutMilliseconds: tuning.submitTimeoutMilliseconds,
        maximumAttempts: tuning.maximumAttempts,
        maximumOutcomeBytes: constants.MAXIMUM_OUTCOME_BYTES,
        outcomeMemoryBytes: constants.OUTCOME_MEMORY_BYTES,
    });

    const transact = async (batch: number, transaction: Transaction): Promise<void> => {
        const startedAt = clock.now();
        const result = await tableService.transact(transaction).catch(toCallFailure);
        metrics.timing("claims.transaction", clock.now() - startedAt);
        metrics.count("claims.transactions", 1, {
            result: "failed" in result ? result.failed : result.applied ? "applied" : "conflict",
        });
        attached.post({ kind: "transacted", batch, result });
    };

    const read = async (batch: number, keys: readonly string[]): Promise<void> => {
        try {
            const rows = await tableService.getMany(keys);
            attached.post({
                kind: "read",
                batch,
                rows: new Map(rows.map(row => [row.key, parseClaimRow(row)])),
            });
        }
        catch (error) {
            attached.post({ kind: "read", batch, rows: toCallFailure(error) });
        }
    };

    const submit = async (action: Extract<ClaimsAction, { kind: "submit" }>): Promise<void> => {
        const { submit: id, address, writes, timeoutMilliseconds } = action;
        try {
            const params = { writes, remainingMilliseconds: timeoutMilliseconds } as unknown as JsonValue;
            const answer = await peers.call(address, constants.SUBMIT_METHOD, params, timeoutMilliseconds);
            const { results } = submitAnswerSchema.parse(answer);
            attached.post({ kind: "submitAnswered", submit: id, results });
        }
        catch (error) {
            metrics.count("claims.submitFailures", 1);
            // A handler that throws has queued nothing, so the result is uncertain only if the answer was
            // lost.
            const uncertain = !(error instanceof PeerError) || error.verdict === "may-have-run";
            attached.post({ kind: "submitFailed", submit: id, uncertain });
        }
    };

    const wake = (at: number): void => {
        if (stopped || (wakeTimer !== undefined && wakeTimer.at <= at)) {
            return;
        }
        clearTimeout(wakeTimer?.timer);
        const run = (): void => {
            wakeTimer = undefined;
            options.ticker.wake();
        };
        wakeTimer = { at, timer: setTimeout(run, Math.max(1, Math.ceil(at - clock.now()))) };
    };

    const resolveClaim = (attempt: string, result: ClaimResult): void => {
        metrics.count("claims.results", 1, { kind: result.kind });
        claimWaiters.get(attempt)?.(result);
        claimWaiters.delete(attempt);
    };

    const resolveEnd = (attempt: string, end: AttemptEnd): void => {
        metrics.count("claims.ends", 1, { end });
        if (end === "outcome-dropped") {
            logger.warn("Discarded a claim outcome: it is too large or the memory for outcomes is full", {
                attempt,
            });
        }
        endWaiters.get(attempt)?.(end);
        endWaiters.delete(attempt);
    };

    const execute = (action: ClaimsAction): void => {
        switch (action.kind) {
            case "transact":
                void transact(action.batch, action.transaction);
                break;
            case "read":
                void read(action.batch, action.keys);
                break;
            case "submit":
                void submit(action);
                break;
            case "answer":
                peerWaiters.get(action.call)?.(action.results);
                peerWaiters.delete(action.call);
                break;
            case "claimResolved":
                resolveClaim(action.attempt, action.result);
                break;
            case "attemptEnded":
                resolveEnd(action.attempt, action.end);
                break;
            case "wake":
                wake(action.at);
                break;
        }
    };

    const attached = options.ticker.attach("claims", system.step, execute);

    peers.handle(constants.SUBMIT_METHOD, async params => {
        const { writes, remainingMilliseconds } = submitSchema.parse(params);
        if (stopped) {
            throw new Error("the node is stopping");
        }
        if (writes.length === 0) {
            return { results: [] };
        }
        const call = nextCall++;
        const results = await new Promise<readonly WriteResult[]>(resolve => {
            peerWaiters.set(call, resolve);
            attached.post({ kind: "submitted", call, writes, remainingMilliseconds });
        });
        return { results } as unknown as JsonValue;
    });

    /** Deletes rows. If some have changed since the scan, retries once without them. */
    const removeRows = async (rows: Parameters<typeof deletionTransaction>[0]): Promise<number> => {
        const first = await tableService.transact(deletionTransaction(rows));
        if (first.applied) {
            return rows.length;
        }
        const unchanged = rows.filter(row => !first.failedKeys.includes(row.key));
        if (unchanged.length === 0 || unchanged.length === rows.length) {
            return 0;
        }
        return (await tableService.transact(deletionTransaction(unchanged))).applied ? unchanged.length : 0;
    };

    const sweepOnce = async (): Promise<boolean> => {
        const rows = await tableService.scan(constants.CLAIM_PREFIX, {
            after: sweep.cursor,
            limit: constants.SWEEP_ROWS,
        });
        const expired = expiredRows(rows, clock.wallTime(), {
            retentionMilliseconds: tuning.retentionMilliseconds,
            abandonedMilliseconds: constants.ABANDONED_RETENTION_MILLISECONDS,
        });
        if (expired.length > 0) {
            const removed = await removeRows(expired);
            sweep.removed += removed;
            metrics.count("claims.swept", removed);
        }
        sweep.cursor = nextCursor(rows, constants.SWEEP_ROWS);
        return expired.length > 0;
    };

    lifecycle.add({
        name: "claims",
        start: () => {
            let sweepTimer: NodeJS.Timeout;
            const schedule = (foundExpired: boolean): void => {
                const wait = sweepDelay(foundExpired, membership.active().length);
                const run = async (): Promise<void> => {
                    const found = await sweepOnce().catch(() => {
                        sweep.failures += 1;
                        return false;
                    });
                    if (!stopped) {
                        schedule(found);
                    }
                };
                sweepTimer = setTimeout(run, jitter(wait, 0.3, options.random));
            };
            schedule(false);
            return async () => {
                const deadline = clock.now() + constants.STOP_TIMEOUT_MILLISECONDS;
                while (system.unfinished() > 0 && clock.now() < deadline) {
                    await new Promise(resolve => setTimeout(resolve, STOP_POLL_MILLISECONDS));
                }
                stopped = true;
                clearTimeout(sweepTimer);
                clearTimeout(wakeTimer?.timer);
                [...claimWaiters.keys()].forEach(attempt => resolveClaim(attempt, { kind: "unavailable" }));
                [...endWaiters.keys()].forEach(attempt => resolveEnd(attempt, "refused"));
                if (system.unfinished() > 0) {
                    logger.warn("Stopped with unfinished claims", { count: system.unfinished() });
                }
            };
        },
    });

    const waitForEnd = (attempt: string, operation: string, post: () => void): Promise<void> =>
        new Promise((resolve, reject) => {
            if (system.attempts.get(attempt) === undefined || endWaiters.has(attempt)) {
                reject(new Error(`attempt ${attempt} cannot ${operation}: it holds no claim or is ending`));
                return;
            }
            endWaiters.set(attempt, () => resolve());
            post();
        });

    return {
        claim: async (key, bodyHash, attemptId) => {
            const isUnique = !claimWaiters.has(attemptId) && !system.attempts.has(attemptId);
            invariants.assert("at-most-once", isUnique, () => `attempt id ${attemptId} is used twice`);
            if (!isUnique || stopped) {
                return { kind: "unavailable" };
            }
            return new Promise(resolve => {
                claimWaiters.set(attemptId, resolve);
                attached.post({
                    kind: "claim",
                    attempt: attemptId,
                    key: claimRowKey(key),
                    bodyHash,
                    wallTime: clock.wallTime(),
                });
            });
        },
        complete: (_key, attemptId, outcome) =>
            waitForEnd(attemptId, "record an outcome", () =>
                attached.post({ kind: "complete", attempt: attemptId, outcome }),
            ),
        abandon: (_key, attemptId) =>
            waitForEnd(attemptId, "abandon its claim", () =>
                attached.post({ kind: "abandon", attempt: attemptId }),
            ),
        dump: () => ({
            ...system.dump(),
            aggregator: currentRoles().aggregator?.id ?? membership.self.id,
            sweep: { ...sweep },
        }),
    };
}
