/** Leases of a node: one row per duty in the table service, acquired, renewed and handed back on ticks. */
import type { Clock } from "../common/clock.js";
import type { Lifecycle } from "../lifecycle/lifecycle.js";
import type { Logger } from "../logging/logging.js";
import type { TableService } from "../outside-services/table-service.js";
import type { Ticker } from "../ticker/ticker.js";
import { DEFAULT_LEASE_MILLISECONDS } from "./constants.js";
import { leaseKey } from "./lease-row.js";
import type { FencingToken } from "./lease-row.js";
import { applyLeaseAnswer, initialLeaseState, isLeaseHeld, nextLeaseAction } from "./lease-state.js";
import type { LeaseAction, LeaseAnswer, LeaseState } from "./lease-state.js";

export interface Lease {
    readonly duty: string;
    /**
     * Whether this node certainly holds the lease.
     *
     * @param now Current monotonic time. A time read before a long computation is too old.
     */
    isHeld(now: number): boolean;
    /** Token for `withFencing`, or `undefined` while the lease is not held. */
    token(now: number): FencingToken | undefined;
    /**
     * Earliest time at which orders may be sent to an engine that ignores fencing tokens: the orders of the
     * previous holder have expired by then. `undefined` while the lease is not held.
     *
     * @param lifetimeMilliseconds Maximum time from the decision on an order until the engine has ended it.
     */
    firstOrderAt(now: number, lifetimeMilliseconds: number): number | undefined;
    /** Starts or stops contending for the lease. A held lease is handed back when it is no longer wanted. */
    setWanted(wanted: boolean): void;
}

export interface Leases {
    /** Starts contending for the lease of a duty. Returns the same lease for the same duty. */
    contend(duty: string): Lease;
    dump(): unknown;
}

export interface LeasesOptions {
    readonly table: Pick<TableService, "get" | "transact">;
    /** Unique per process start, for example `NODE/INCARNATION`. */
    readonly holder: string;
    readonly clock: Clock;
    readonly ticker: Pick<Ticker, "attach">;
    readonly lifecycle: Pick<Lifecycle, "add">;
    readonly logger: Logger;
    /**
     * Duration of a lease after a renewal.
     *
     * @default 10000
     */
    readonly durationMilliseconds?: number;
}

interface AnswerEvent {
    readonly action: LeaseAction;
    readonly answer: LeaseAnswer;
}

export function createLeases(options: LeasesOptions): Leases {
    const duration = options.durationMilliseconds ?? DEFAULT_LEASE_MILLISECONDS;
    const states = new Map<string, LeaseState>();
    const leases = new Map<string, Lease>();
    const pending = new Set<Promise<void>>();

    const applyAnswer = (event: AnswerEvent, now: number): void => {
        const before = states.get(event.action.duty)!;
        let after: LeaseState;
        try {
            after = applyLeaseAnswer(before, event.action, event.answer, now);
        }
        catch (error) {
            options.logger.error("cannot parse the lease row", {
                duty: before.duty,
                error: (error as Error).message,
            });
            after = applyLeaseAnswer(before, event.action, { kind: "failed" }, now);
        }
        states.set(before.duty, after);
        if (before.held?.fencing !== after.held?.fencing) {
            options.logger.info(after.held === undefined ? "lease lost or handed back" : "lease acquired", {
                duty: before.duty,
                fencing: (after.held ?? before.held)?.fencing.toString(),
            });
        }
    };

    const step = (events: readonly AnswerEvent[], now: number): readonly LeaseAction[] => {
        const actions: LeaseAction[] = [];
        events.forEach(event => applyAnswer(event, now));
        for (const [duty, state] of states) {
            const action = nextLeaseAction(state, now);
            if (action !== undefined) {
                states.set(duty, { ...state, isCallOpen: true });
                actions.push(action);
            }
        }
        return actions;
    };

    const call = async (action: LeaseAction): Promise<void> => {
        let answer: LeaseAnswer;
        try {
            if (action.kind === "read") {
                answer = { kind: "row", row: await options.table.get(leaseKey(action.duty)) };
            }
            else {
                const result = await options.table.transact(action.transaction);
                answer = { kind: result.applied ? "applied" : "rejected" };
            }
        }
        catch {
            answer = { kind: "failed" };
        }
        system.post({ action, answer });
    };

    const execute = (action: LeaseAction): void => {
        const running = call(action).finally(() => pending.delete(running));
        pending.add(running);
    };

    const system = options.ticker.attach("leases", step, execute);

    options.lifecycle.add({
        name: "leases",
        start: () => async () => {
            leases.forEach(lease => lease.setWanted(false));
            await Promise.all(pending);
            // Queued answers may still acquire a lease, so a last step hands back every held lease.
            step([], options.clock.now()).forEach(execute);
            await Promise.all(pending);
        },
    });

    const updateState = (duty: string, update: (state: LeaseState) => LeaseState): void => {
        states.set(duty, update(states.get(duty)!));
    };

    const createLease = (duty: string): Lease => ({
        duty,
        isHeld: now => isLeaseHeld(states.get(duty)!, now),
        token: now => {
            const state = states.get(duty)!;
            return isLeaseHeld(state, now) ? { duty, fencing: state.held!.fencing } : undefined;
        },
        firstOrderAt: (now, lifetimeMilliseconds) => {
            const state = states.get(duty)!;
            return isLeaseHeld(state, now) ? state.held!.acquiredAt + lifetimeMilliseconds : undefined;
        },
        setWanted: wanted => updateState(duty, state => ({ ...state, wanted })),
    });

    return {
        contend: duty => {
            let lease = leases.get(duty);
            if (lease === undefined) {
                states.set(duty, initialLeaseState(duty, options.holder, duration));
                lease = createLease(duty);
                leases.set(duty, lease);
            }
            return lease;
        },
        dump: () =>
            [...states.values()].map(state => ({
                duty: state.duty,
                held: isLeaseHeld(state, options.clock.now()),
                fencing: state.held?.fencing.toString(),
                observedHolder: state.observed?.row?.holder,
            })),
    };
}
