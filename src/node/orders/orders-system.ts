/**
 * The `orders` system decides which model versions each engine loads. It turns events and the time into calls
 * to engines and permit requests to the store of model weights.
 */
import type { ConfigurationSnapshot } from "../configuration/snapshot.js";
import { createTable } from "../tables/table.js";
import type { Table, WritableTable } from "../tables/table.js";
import {
    DEMAND_WARM_UP_MILLISECONDS,
    FAILED_LOAD_DELAY_MILLISECONDS,
    PLAN_INTERVAL_MILLISECONDS,
    PLAN_INTERVAL_MILLISECONDS_PER_ENGINE,
    RETRY_DELAY_MILLISECONDS,
} from "./constants.js";
import { computeVersionWeights } from "./capacity.js";
import type { VersionWeights } from "./capacity.js";
import { createDemand } from "./demand.js";
import type { Demand } from "./demand.js";
import { isClaimed, presentVersions } from "./engine-row.js";
import type { EngineRow, Permit } from "./engine-row.js";
import { draftOrder, isReadDue, versionsToLoad } from "./engine-step.js";
import type { EngineInput, OrderDraft, LeaseTerm } from "./engine-step.js";
import type { DemandReport, EngineRole, EngineState, OrderOutcome, PermitAnswer } from "./messages.js";
import { planPlacement } from "./version-placement.js";
import { planVersions } from "./version-plan.js";
import type { PlannedShare, VersionPlan } from "./version-plan.js";

/**
 * Answers carry the period in which the call was decided. Answers from an earlier period are discarded. A
 * period ends when the lease lapses, even if the lease is later renewed under the same fencing token.
 */
export type OrdersEvent =
    | { readonly kind: "demand"; readonly report: DemandReport }
    | {
          readonly kind: "read";
          readonly period: number;
          readonly engine: string;
          readonly startedAt: number;
          /** `undefined` when the read failed. */
          readonly state: EngineState | undefined;
      }
    | {
          readonly kind: "permit";
          readonly period: number;
          readonly engine: string;
          readonly version: string;
          readonly id: string;
          /** Local time at which the permit request started. The permit's validity period starts then. */
          readonly startedAt: number;
          /** `undefined` when there was no answer. The request is then repeated with the same id. */
          readonly answer: PermitAnswer | undefined;
      }
    | {
          readonly kind: "ordered";
          readonly period: number;
          readonly engine: string;
          readonly draft: OrderDraft;
          /** `not-sent`: the lease was lost or too close to its end. */
          readonly outcome: OrderOutcome | "not-sent";
      };

export type OrdersAction =
    | {
          readonly kind: "read";
          readonly fencing: bigint;
          readonly period: number;
          readonly engine: string;
          readonly address: string;
      }
    | {
          readonly kind: "permit";
          readonly fencing: bigint;
          readonly period: number;
          readonly engine: string;
          readonly version: string;
          readonly id: string;
      }
    | {
          readonly kind: "order";
          readonly fencing: bigint;
          readonly period: number;
          readonly engine: string;
          readonly address: string;
          readonly id: string;
          readonly draft: OrderDraft;
      };

export interface OrdersState {
    readonly engines: WritableTable<EngineRow>;
    readonly demand: Demand;
    readonly surplusSince: WritableTable<number>;
    fencing: bigint | undefined;
    /** Number of times that this node acquired or lost the lease. */
    period: number;
    plans: ReadonlyMap<string, VersionPlan>;
    weights: VersionWeights;
    planAt: number;
    /** Next time at which all engines are checked, instead of only those that answered. */
    sweepAt: number;
    /** Whether a permit request is in flight. */
    isPermitRequested: boolean;
    permitNotBefore: number;
    /** Counter for order and permit ids. Never reset: a lapsed lease may be renewed under the same token. */
    sequence: number;
}

export interface OrdersInput {
    /** `undefined` while this node does not hold the lease. */
    readonly term: LeaseTerm | undefined;
    /** The configuration in force, and those of prepared tickets whose outcome is unknown. */
    readonly governing: readonly ConfigurationSnapshot[];
    /** Whether the configuration is recent enough to start new work. */
    readonly isFresh: boolean;
    readonly plannedShare: PlannedShare;
    readonly roleOf: (engine: string) => EngineRole;
}

export function createOrdersState(): OrdersState {
    return {
        engines: createTable<EngineRow>(),
        demand: createDemand(),
        surplusSince: createTable<number>(),
        fencing: undefined,
        period: 0,
        plans: new Map(),
        weights: new Map(),
        planAt: -Infinity,
        sweepAt: -Infinity,
        isPermitRequested: false,
        permitNotBefore: -Infinity,
        sequence: 0,
    };
}

/** Resets the state for a new lease term. Engine state of an earlier term is stale and must be read again. */
function startTerm(state: OrdersState, fencing: bigint | undefined): void {
    state.engines.clear();
    state.surplusSince.clear();
    state.fencing = fencing;
    state.plans = new Map();
    state.weights = new Map();
    state.planAt = -Infinity;
    state.sweepAt = -Infinity;
    state.isPermitRequested = false;
    state.permitNotBefore = -Infinity;
    state.period += 1;
}

function syncEngines(engines: WritableTable<EngineRow>, input: OrdersInput): void {
    const snapshot = input.governing[0]!;
    for (const name of [...engines.keys()]) {
        if (snapshot.upstream.get(name)?.kind !== "engine") {
            engines.delete(name);
        }
    }
    for (const [name, upstream] of snapshot.upstream) {
        if (upstream.kind !== "engine") {
            continue;
        }
        const isDrained = input.governing.some(
            other => other.dataCentre.get(upstream.dataCentre)?.state === "drained",
        );
        const baseline =
            upstream.model === undefined ? undefined : snapshot.model.get(upstream.model)?.baseline;
        const configured = upstream.version ?? baseline;
        const isActive = snapshot.model
            .get(upstream.model ?? "")
            ?.versions.some(version => version.name === configured && version.state === "active");
        const defaultVersion = isActive === true ? configured : baseline;
        const existing = engines.get(name);
        engines.set(name, {
            observed: undefined,
            readFailed: false,
            wanted: [],
            retiring: new Map(),
            placedAt: new Map(),
            droppedAt: new Map(),
            permits: new Map(),
            call: undefined,
            orderedAt: -Infinity,
            claimedBootId: undefined,
            notBefore: -Infinity,
            loadNotBefore: -Infinity,
            lastOrder: undefined,
            ...(existing?.address === upstream.address ? existing : {}),
            name,
            address: upstream.address,
            model: upstream.model,
            home: defaultVersion === undefined ? undefined : `${upstream.model}/${defaultVersion}`,
            concurrency: upstream.warm.concurrency,
            checksFencing: upstream.checksFencing,
            available: upstream.state === "active" && !isDrained,
            role: input.roleOf(name),
        });
    }
}

/**
 * Removes permits of versions that the engine holds, expired permits, and permits of versions that the engine
 * did not start to load although it accepted the order.
 */
function updatePermits(row: EngineRow, now: number): EngineRow {
    const present = presentVersions(row.observed!);
    const permits = new Map<string, Permit>();
    let { loadNotBefore } = row;
    for (const [version, permit] of row.permits) {
        if (present.includes(version)) {
            continue;
        }
        if (permit.state === "used" && row.observed!.startedAt >= row.orderedAt) {
            loadNotBefore = now + FAILED_LOAD_DELAY_MILLISECONDS;
        }
        else if (permit.state !== "granted" || now < permit.until) {
            permits.set(version, permit);
        }
    }
    return { ...row, permits, loadNotBefore };
}

function applyRead(row: EngineRow, event: OrdersEvent & { kind: "read" }, now: number): EngineRow {
    const updated: EngineRow = { ...row, call: undefined };
    if (event.state === undefined) {
        return { ...updated, readFailed: true, notBefore: now + RETRY_DELAY_MILLISECONDS };
    }
    const observed = { ...event.state, startedAt: event.startedAt };
    return updatePermits({ ...updated, readFailed: false, observed }, now);
}

function applyOrderOutcome(row: EngineRow, event: OrdersEvent & { kind: "ordered" }, now: number): EngineRow {
    if (event.outcome === "not-sent") {
        return { ...row, call: undefined, notBefore: now + RETRY_DELAY_MILLISECONDS };
    }
    const isAccepted = event.outcome === "accepted";
    const permits = new Map(row.permits);
    for (const version of isAccepted ? Object.keys(event.draft.permits) : []) {
        permits.set(version, { ...permits.get(version)!, state: "used" });
    }
    return {
        ...row,
        permits,
        call: undefined,
        orderedAt: now,
        claimedBootId: isAccepted ? row.observed?.bootId : row.claimedBootId,
        notBefore: isAccepted ? row.notBefore : now + RETRY_DELAY_MILLISECONDS,
        lastOrder: row.lastOrder && { ...row.lastOrder, outcome: event.outcome },
    };
}

function applyPermitAnswer(state: OrdersState, event: OrdersEvent & { kind: "permit" }, now: number): void {
    state.isPermitRequested = false;
    const { answer } = event;
    if (answer?.kind !== "granted") {
        state.permitNotBefore = now + (answer?.retryAfterMilliseconds ?? RETRY_DELAY_MILLISECONDS);
    }
    const row = state.engines.get(event.engine);
    const permit = row?.permits.get(event.version);
    if (row === undefined || permit?.id !== event.id) {
        return;
    }
    const next: Permit =
        answer?.kind === "granted"
            ? {
                  ...permit,
                  state: "granted",
                  permit: answer.permit,
                  until: event.startedAt + answer.validMilliseconds,
              }
            : { ...permit, state: "wanted" };
    state.engines.set(row.name, { ...row, permits: new Map([...row.permits, [event.version, next]]) });
}

function applyEvent(state: OrdersState, event: OrdersEvent, now: number): void {
    if (event.kind === "demand") {
        state.demand.record(event.report, now);
        return;
    }
    if (event.period !== state.period) {
        return;
    }
    if (event.kind === "permit") {
        applyPermitAnswer(state, event, now);
        return;
    }
    const row = state.engines.get(event.engine);
    if (row !== undefined) {
        const next = event.kind === "read" ? applyRead(row, event, now) : applyOrderOutcome(row, event, now);
        state.engines.set(row.name, next);
    }
}

function countRunningStreams(engines: Table<EngineRow>): ReadonlyMap<string, number> {
    const running = new Map<string, number>();
    for (const { observed } of engines.values()) {
        for (const [version, count] of Object.entries(observed?.streams ?? {})) {
            running.set(version, (running.get(version) ?? 0) + count);
        }
    }
    return running;
}

/** Whether the configuration is fresh and the demand is known for long enough to reduce capacity. */
function mayReduce(input: OrdersInput, term: LeaseTerm, now: number): boolean {
    return input.isFresh && now - term.acquiredAt >= DEMAND_WARM_UP_MILLISECONDS;
}

function updatePlan(state: OrdersState, input: OrdersInput, term: LeaseTerm, now: number): void {
    syncEngines(state.engines, input);
    state.planAt =
        now +
        Math.max(PLAN_INTERVAL_MILLISECONDS, state.engines.size * PLAN_INTERVAL_MILLISECONDS_PER_ENGINE);
    state.demand.update(countRunningStreams(state.engines), now);
    state.plans = planVersions(input.governing, state.demand.levels, input.plannedShare);
    planPlacement(state.engines, {
        plans: state.plans,
        fencing: term.fencing,
        mayReduce: mayReduce(input, term, now),
        surplusSince: state.surplusSince,
        now,
    });
    state.weights = computeVersionWeights(state.engines, state.plans);
}

/**
 * Requests the permit for the most urgent version that an engine can start to load now. Only one request is in
 * flight at a time, so that permits are granted in the order of priority.
 */
function requestPermit(state: OrdersState, input: EngineInput): OrdersAction | undefined {
    const { now, term, plans } = input;
    if (state.isPermitRequested || now < state.permitNotBefore || !input.isFresh) {
        return undefined;
    }
    const loads = [...state.engines.values()]
        .filter(row => row.available && !row.readFailed && row.observed !== undefined)
        .filter(row => isClaimed(row, term.fencing) && now >= row.loadNotBefore)
        .flatMap(row => versionsToLoad(row).map(version => ({ row, version })))
        .filter(({ row, version }) => {
            const permit = row.permits.get(version);
            return (
                plans.get(version)?.state === "active" &&
                (permit === undefined || permit.state === "wanted" || now >= permit.until)
            );
        })
        .sort((a, b) => plans.get(a.version)!.priority - plans.get(b.version)!.priority);
    const load = loads[0];
    if (load === undefined) {
        return undefined;
    }
    const { row, version } = load;
    const existing = row.permits.get(version);
    const id =
        existing?.state === "wanted"
            ? existing.id
            : `${ORDER_ID_PREFIX}${term.fencing}-${(state.sequence += 1)}`;
    const permit: Permit = { id, state: "asked", permit: undefined, until: Infinity };
    state.engines.set(row.name, { ...row, permits: new Map([...row.permits, [version, permit]]) });
    state.isPermitRequested = true;
    return { kind: "permit", fencing: term.fencing, period: state.period, engine: row.name, version, id };
}

/** Prefix of the ids of orders and permits. The fencing token and a sequence number follow. */
const ORDER_ID_PREFIX = "orders-";

function engineAction(state: OrdersState, row: EngineRow, input: EngineInput): OrdersAction | undefined {
    const { fencing } = input.term;
    const draft = draftOrder(row, input);
    if (draft !== undefined) {
        const id = `${ORDER_ID_PREFIX}${fencing}-${(state.sequence += 1)}`;
        const removed = presentVersions(row.observed!).filter(version => !draft.versions.includes(version));
        state.engines.set(row.name, {
            ...row,
            call: "order",
            droppedAt: new Map([
                ...row.droppedAt,
                ...removed.map((version): [string, number] => [version, input.now]),
            ]),
            lastOrder: { id, versions: draft.versions, outcome: "sending" },
        });
        return {
            kind: "order",
            fencing,
            period: state.period,
            engine: row.name,
            address: row.address,
            id,
            draft,
        };
    }
    if (isReadDue(row, input)) {
        state.engines.set(row.name, { ...row, call: "read" });
        return { kind: "read", fencing, period: state.period, engine: row.name, address: row.address };
    }
    return undefined;
}

function enginesOf(event: OrdersEvent): readonly string[] {
    return event.kind === "demand" ? [] : [event.engine];
}

/** Runs one step of the system. Updates `state` in place. */
export function stepOrders(
    state: OrdersState,
    events: readonly OrdersEvent[],
    input: OrdersInput,
    now: number,
): readonly OrdersAction[] {
    const { term } = input;
    if (state.fencing !== term?.fencing) {
        startTerm(state, term?.fencing);
    }
    events.forEach(event => applyEvent(state, event, now));
    if (term === undefined) {
        return [];
    }
    const isPlanDue = now >= state.planAt;
    if (isPlanDue) {
        updatePlan(state, input, term, now);
    }
    const engineInput: EngineInput = {
        engines: state.engines,
        plans: state.plans,
        weights: state.weights,
        term,
        mayReduce: mayReduce(input, term, now),
        isFresh: input.isFresh,
        now,
    };
    const actions: OrdersAction[] = [];
    const isSweepDue = isPlanDue || now >= state.sweepAt;
    const engines = isSweepDue ? [...state.engines.keys()] : events.flatMap(enginesOf);
    if (isSweepDue) {
        state.sweepAt = now + PLAN_INTERVAL_MILLISECONDS;
    }
    for (const name of new Set(engines)) {
        const row = state.engines.get(name);
        const action = row && engineAction(state, row, engineInput);
        if (action !== undefined) {
            actions.push(action);
        }
    }
    if (engines.length === 0) {
        return actions;
    }
    const permitRequest = requestPermit(state, engineInput);
    return permitRequest === undefined ? actions : [...actions, permitRequest];
}
