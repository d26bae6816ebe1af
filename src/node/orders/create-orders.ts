/** Runs the `orders` system: contends for its lease, executes its actions and posts the results as events. */
import type { Clock } from "../common/clock.js";
import type { ConfigurationView } from "../configuration/configuration.js";
import type { Lease, Leases } from "../leases/leases.js";
import type { Lifecycle } from "../lifecycle/lifecycle.js";
import type { Logger } from "../logging/logging.js";
import { METRICS } from "../metrics/names.js";
import type { Metrics } from "../metrics/metrics.js";
import { dumpTable } from "../tables/table.js";
import type { Ticker } from "../ticker/ticker.js";
import { servingCapacity } from "./capacity.js";
import {
    ORDER_LIFETIME_MILLISECONDS,
    ORDERS_LEASE,
    MINIMUM_LEASE_REMAINING_MILLISECONDS,
} from "./constants.js";
import { isClaimed } from "./engine-row.js";
import type { EngineRow } from "./engine-row.js";
import type { LeaseTerm } from "./engine-step.js";
import type { EngineOrder, EngineRole, EngineState, OrderOutcome, PermitAnswer } from "./messages.js";
import type { EngineVersions, Orders } from "./orders.js";
import { createOrdersState, stepOrders } from "./orders-system.js";
import type { OrdersAction, OrdersEvent, OrdersInput } from "./orders-system.js";
import { firstStepShare } from "./version-plan.js";
import type { PlannedShare } from "./version-plan.js";

/**
 * Sends an order.
 *
 * @param timeoutMilliseconds Remaining time of the lease. The call must be cancelled after it.
 */
export type SendOrder = (
    address: string,
    order: EngineOrder,
    timeoutMilliseconds: number,
) => Promise<OrderOutcome>;

/** Reads the state of an engine. Rejects when there is no answer. */
export type ReadEngine = (address: string) => Promise<EngineState>;

/** Requests a permit for one load. Equal ids return the same permit. Rejects when there is no answer. */
export type RequestPermit = (id: string, version: string, engine: string) => Promise<PermitAnswer>;

export interface OrdersOptions {
    readonly leases: Pick<Leases, "contend">;
    readonly configuration: ConfigurationView;
    readonly sendOrder: SendOrder;
    readonly readEngine: ReadEngine;
    readonly requestPermit: RequestPermit;
    readonly clock: Clock;
    readonly ticker: Pick<Ticker, "attach">;
    readonly lifecycle: Pick<Lifecycle, "add">;
    readonly metrics: Pick<Metrics, "count" | "gauge">;
    readonly logger: Logger;
    /**
     * Share of the model's traffic for which a version in a rollout needs capacity.
     *
     * @default the first step of the rollout while it is running
     */
    readonly plannedShare?: PlannedShare;
    /** @default "mixed" for every engine */
    readonly roleOf?: (engine: string) => EngineRole;
}

/** Returns the time that the lease is still held without a renewal, up to `limit`, accurate to 1 ms. */
export function remainingLeaseMilliseconds(lease: Lease, now: number, limit: number): number {
    let low = 0;
    let high = limit;
    if (lease.isHeld(now + limit)) {
        return limit;
    }
    while (high - low > 1) {
        const middle = (low + high) / 2;
        if (lease.isHeld(now + middle)) {
            low = middle;
        }
        else {
            high = middle;
        }
    }
    return low;
}

export function createOrders(options: OrdersOptions): Orders {
    const { clock, configuration, logger, metrics } = options;
    const lease = options.leases.contend(ORDERS_LEASE);
    const state = createOrdersState();
    const pending = new Set<Promise<void>>();
    let stopped = false;
    let placementSequence = 0;

    const currentTerm = (now: number): LeaseTerm | undefined => {
        const token = stopped ? undefined : lease.token(now);
        return (
            token && {
                fencing: token.fencing,
                acquiredAt: lease.firstOrderAt(now, 0)!,
                firstOrderAt: lease.firstOrderAt(now, ORDER_LIFETIME_MILLISECONDS)!,
            }
        );
    };

    const readInput = (now: number): OrdersInput => ({
        term: currentTerm(now),
        governing: configuration.governing(),
        isFresh: configuration.isFresh(now),
        plannedShare:
            options.plannedShare ??
            ((model, version) => firstStepShare(configuration.current(), model, version)),
        roleOf: options.roleOf ?? (() => "mixed"),
    });

    /** Returns the remaining time of the lease, or `undefined` when no call may be made under it. */
    const remainingToSend = (fencing: bigint): number | undefined => {
        const now = clock.now();
        if (stopped || lease.token(now)?.fencing !== fencing) {
            return undefined;
        }
        const remaining = remainingLeaseMilliseconds(lease, now, ORDER_LIFETIME_MILLISECONDS);
        return remaining < MINIMUM_LEASE_REMAINING_MILLISECONDS ? undefined : remaining;
    };

    const executeOrder = async (action: OrdersAction & { kind: "order" }): Promise<OrdersEvent> => {
        const { fencing, period, engine, draft } = action;
        const remaining = remainingToSend(fencing);
        if (remaining === undefined) {
            return { kind: "ordered", period, engine, draft, outcome: "not-sent" };
        }
        // Do not await between the lease check and the send: the lease could lapse in the meantime.
        const sent = options.sendOrder(
            action.address,
            { ...draft, id: action.id, fencing: fencing.toString(), expiresAt: clock.wallTime() + remaining },
            remaining,
        );
        const outcome = await sent.catch((): OrderOutcome => "failed");
        metrics.count(METRICS.ordersSent.name, 1, { outcome });
        if (outcome !== "accepted") {
            logger.warn("An engine did not accept an order", { engine, order: action.id, outcome });
        }
        return { kind: "ordered", period, engine, draft, outcome };
    };

    const executePermit = async (action: OrdersAction & { kind: "permit" }): Promise<OrdersEvent> => {
        const { fencing, period, engine, version, id } = action;
        const startedAt = clock.now();
        const answer =
            remainingToSend(fencing) === undefined
                ? undefined
                : await options.requestPermit(id, version, engine).catch(() => undefined);
        return { kind: "permit", period, engine, version, id, startedAt, answer };
    };

    const executeRead = async (action: OrdersAction & { kind: "read" }): Promise<OrdersEvent> => {
        const { period, engine } = action;
        const startedAt = clock.now();
        const observed = await options.readEngine(action.address).catch(() => undefined);
        return { kind: "read", period, engine, startedAt, state: observed };
    };

    const call = (action: OrdersAction): Promise<OrdersEvent> => {
        switch (action.kind) {
            case "order":
                return executeOrder(action);
            case "permit":
                return executePermit(action);
            case "read":
                return executeRead(action);
        }
    };

    const execute = (action: OrdersAction): void => {
        const running = call(action)
            .then(event => system.post(event))
            .finally(() => pending.delete(running));
        pending.add(running);
    };

    const system = options.ticker.attach<OrdersEvent, OrdersAction>(
        "orders",
        (events, now) => stepOrders(state, events, readInput(now), now),
        execute,
    );

    options.lifecycle.add({
        name: "orders",
        // The leases component stops after this one, so the lease is released when no order is in flight.
        start: () => async () => {
            stopped = true;
            await Promise.all(pending);
        },
    });

    const engineVersions = (row: EngineRow): EngineVersions => {
        const serving = row.available ? (row.observed?.loaded ?? []) : [];
        return {
            serving: serving.filter(version => !row.retiring.has(version)),
            retiring: [...row.retiring.keys()],
        };
    };

    return {
        reportDemand: report => system.post({ kind: "demand", report }),
        capacityOf: version =>
            currentTerm(clock.now()) === undefined
                ? undefined
                : servingCapacity(state.engines, version, state.weights),
        placement: () => {
            const term = currentTerm(clock.now());
            if (term === undefined || state.fencing !== term.fencing) {
                return undefined;
            }
            const claimed = [...state.engines.values()].filter(row => isClaimed(row, term.fencing));
            placementSequence += 1;
            return {
                fencing: term.fencing.toString(),
                sequence: placementSequence,
                engines: Object.fromEntries(claimed.map(row => [row.name, engineVersions(row)])),
            };
        },
        dump: () => ({
            fencing: currentTerm(clock.now())?.fencing.toString(),
            versions: Object.fromEntries(
                [...state.plans.values()].map(plan => [
                    plan.version,
                    {
                        state: plan.state,
                        need: plan.need,
                        required: plan.required,
                        capacity: servingCapacity(state.engines, plan.version, state.weights),
                    },
                ]),
            ),
            engines: dumpTable(state.engines, row => ({
                available: row.available,
                checksFencing: row.checksFencing,
                wanted: row.wanted,
                retiring: [...row.retiring.keys()],
                observed: row.observed && { ...row.observed, startedAt: undefined },
                readAgeMilliseconds: row.observed && Math.round(clock.now() - row.observed.startedAt),
                readFailed: row.readFailed,
                permits: Object.fromEntries([...row.permits].map(([version, { state }]) => [version, state])),
                lastOrder: row.lastOrder,
            })),
        }),
    };
}
