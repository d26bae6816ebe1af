/** Contends for the lease of the duties: sends the writes of `duty-lease.ts` to the store, one at a time. */
import type { Clock } from "../common/clock.js";
import type { Lifecycle } from "../lifecycle/lifecycle.js";
import type { Logger } from "../logging/logging.js";
import type { RowReplica } from "../replica/row-replica.js";
import type { SharedStore } from "../replica/shared-store.js";
import {
    LEASE_ROW_KEY,
    applyWriteAnswer,
    holdOf,
    initialDutyLease,
    isHolding,
    readLeaseRow,
    stepLease,
    vacancyOf,
} from "./duty-lease.js";
import type { DutyHold, DutyLeaseSettings, Instant, LeaseWrite, LeaseWriteAnswer } from "./duty-lease.js";

export interface LeaseHolder {
    /** The check right before a call; `undefined` unless this node may act now. */
    hold(): DutyHold | undefined;
    /** Whether this node has the lease, also while it still waits for its first act. */
    isHolding(): boolean;
    /** Holder and token that the row names, from the replica. */
    current(): { readonly holder: string; readonly token: string } | undefined;
    /** Calls to the store so far. */
    storeCalls(): number;
}

export interface LeaseHolderOptions {
    readonly settings: DutyLeaseSettings;
    readonly replica: Pick<RowReplica, "epoch" | "revision" | "stored">;
    readonly store: Pick<SharedStore, "transact">;
    /** @param vacantMilliseconds Time for which nobody has had the lease */
    readonly isWanted: (isHolding: boolean, vacantMilliseconds: number) => boolean;
    readonly clock: Clock;
    readonly lifecycle: Pick<Lifecycle, "add">;
    readonly logger: Logger;
}

/** Interval of the checks while this node contends or holds, and otherwise, milliseconds. */
const ACTIVE_TICK_MILLISECONDS = 200;
const IDLE_TICK_MILLISECONDS = 1000;

/** Time to return the lease at a planned stop, milliseconds. */
const RETURN_MILLISECONDS = 900;

export function createLeaseHolder(options: LeaseHolderOptions): LeaseHolder {
    const { replica, store, clock, logger } = options;
    let state = initialDutyLease(options.settings);
    let wasHolding = false;
    let holderBefore: string | undefined;
    let storeCalls = 0;
    let isStopping = false;
    let timer: NodeJS.Timeout | undefined;
    let writing: Promise<void> = Promise.resolve();

    const instant = (): Instant => ({ now: clock.now(), wall: clock.wallTime() });

    const logChanges = (reason: string): void => {
        const now = clock.now();
        const holding = isHolding(state, now);
        const row = readLeaseRow(replica.stored(LEASE_ROW_KEY));
        if (holding !== wasHolding) {
            wasHolding = holding;
            const { held } = state.lease;
            logger.info(
                holding ? "Acquired the lease of the duties." : "No longer holds the lease of the duties.",
                {
                    token: holding ? held?.fencing.toString() : undefined,
                    formerHolder: holding ? holderBefore : undefined,
                    firstActMilliseconds: holding
                        ? Math.max(0, Math.round(state.actFrom.at - now))
                        : undefined,
                    reason,
                    epoch: state.epoch,
                },
            );
        }
        if (row !== undefined && row.holder !== holderBefore) {
            holderBefore = row.holder;
            logger.info("The lease of the duties has another holder.", {
                holder: row.holder,
                token: row.fencing.toString(),
            });
        }
    };

    const transact = async (write: LeaseWrite): Promise<void> => {
        let answer: LeaseWriteAnswer;
        storeCalls += 1;
        try {
            answer = (await store.transact(write.transaction)) ? "applied" : "rejected";
        }
        catch (error) {
            answer = "failed";
            logger.warn("Could not write the lease of the duties; trying again.", {
                write: write.action.write,
                error: (error as Error).message,
            });
        }
        state = applyWriteAnswer(state, write, answer, clock.now());
        logChanges(`${write.action.write} was ${answer}`);
    };

    const step = (): void => {
        if (replica.revision === 0) {
            return;
        }
        const time = instant();
        const isWanted =
            !isStopping && options.isWanted(isHolding(state, time.now), vacancyOf(state, time.now));
        const view = { epoch: replica.epoch, row: replica.stored(LEASE_ROW_KEY) };
        const result = stepLease(state, view, isWanted, time);
        ({ state } = result);
        logChanges(
            isWanted ? "its time ended, or the row names another holder" : "this node should not hold it",
        );
        if (result.write !== undefined) {
            writing = transact(result.write);
        }
    };

    const tick = (): void => {
        step();
        const isActive = state.lease.wanted || state.lease.held !== undefined;
        timer = setTimeout(tick, isActive ? ACTIVE_TICK_MILLISECONDS : IDLE_TICK_MILLISECONDS);
    };

    options.lifecycle.add({
        name: "lease of the duties",
        start: () => {
            tick();
            return async () => {
                isStopping = true;
                clearTimeout(timer);
                const returned = writing.then(() => {
                    step();
                    return writing;
                });
                const timeout = new Promise<void>(resolve =>
                    setTimeout(resolve, RETURN_MILLISECONDS).unref(),
                );
                await Promise.race([returned, timeout]);
            };
        },
    });

    return {
        hold: () => holdOf(state, instant()),
        isHolding: () => isHolding(state, clock.now()),
        current: () => {
            const row = readLeaseRow(replica.stored(LEASE_ROW_KEY));
            return row === undefined ? undefined : { holder: row.holder, token: row.fencing.toString() };
        },
        storeCalls: () => storeCalls,
    };
}
