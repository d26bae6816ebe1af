/**
 * Decisions about one lease, free of I/O.
 *
 * The clocks of two nodes are never compared. The holder counts the lease from before it sent the renewal. A
 * contender counts from after it first read the row's present version, which is later than the write of that
 * version. So the contender's count always ends after the holder's.
 */
import type { Row, Transaction } from "../outside-services/table-service.js";
import { MARGIN_SHARE, POLL_SHARE, RENEWAL_SHARE, RETRY_SHARE } from "./constants.js";
import { fencingCondition, leaseKey, parseLeaseRow, serialiseLeaseRow } from "./lease-row.js";
import type { LeaseRow } from "./lease-row.js";

/** A lease that this node holds until `until` on its monotonic clock. */
export interface HeldLease {
    readonly fencing: bigint;
    /** Monotonic time before the write that took the lease was sent. */
    readonly acquiredAt: number;
    /** Monotonic time before the last renewal was sent. */
    readonly renewedAt: number;
    readonly until: number;
}

interface ObservedRow {
    /** Version of the row; 0 when it is absent. */
    readonly version: number;
    readonly row: LeaseRow | undefined;
    /** Monotonic time after the first read of this version. */
    readonly firstSeenAt: number;
    readonly readAt: number;
}

type LeaseWriteKind = "acquire" | "renew" | "hand-back";

export type LeaseAction =
    | { readonly kind: "read"; readonly duty: string; readonly sentAt: number }
    | {
          readonly kind: "write";
          readonly duty: string;
          readonly sentAt: number;
          readonly write: LeaseWriteKind;
          readonly fencing: bigint;
          readonly transaction: Transaction;
      };

export type LeaseAnswer =
    | { readonly kind: "row"; readonly row: Row | undefined }
    | { readonly kind: "applied" }
    | { readonly kind: "refused" }
    /** The call failed; a write may or may not have been applied. */
    | { readonly kind: "failed" };

export interface LeaseState {
    readonly duty: string;
    readonly holder: string;
    readonly durationMilliseconds: number;
    /** Whether this node wants the lease. */
    readonly wanted: boolean;
    readonly held: HeldLease | undefined;
    readonly observed: ObservedRow | undefined;
    /** Highest number seen in the row, so that a removed row does not restart the numbers. */
    readonly highestFencing: bigint;
    /** Highest number that this node gave up. A delayed hand-back may still end it, so it is never renewed. */
    readonly givenUp: bigint;
    readonly waiting: boolean;
    /** No call before this time. */
    readonly notBefore: number;
}

export function initialLeaseState(duty: string, holder: string, durationMilliseconds: number): LeaseState {
    return {
        duty,
        holder,
        durationMilliseconds,
        wanted: true,
        held: undefined,
        observed: undefined,
        highestFencing: 0n,
        givenUp: -1n,
        waiting: false,
        notBefore: -Infinity,
    };
}

function writeAction(
    state: LeaseState,
    write: LeaseWriteKind,
    row: LeaseRow,
    conditions: Transaction["conditions"],
    now: number,
): LeaseAction {
    const value = serialiseLeaseRow(row);
    return {
        kind: "write",
        duty: state.duty,
        sentAt: now,
        write,
        fencing: row.fencing,
        transaction: { conditions, writes: [{ kind: "put", key: leaseKey(state.duty), value }] },
    };
}

function ownedConditions(state: LeaseState, fencing: bigint): Transaction["conditions"] {
    return [
        { kind: "field", key: leaseKey(state.duty), field: "holder", equals: state.holder },
        fencingCondition({ duty: state.duty, fencing }),
    ];
}

function renewal(state: LeaseState, fencing: bigint, now: number): LeaseAction {
    const row = { holder: state.holder, fencing, durationMilliseconds: state.durationMilliseconds };
    return writeAction(state, "renew", row, ownedConditions(state, fencing), now);
}

/** The hand-back takes a number too, so that late writes of the old holder are refused from then on. */
function handBack(state: LeaseState, fencing: bigint, now: number): LeaseAction {
    const row = {
        holder: "",
        fencing: fencing + 1n,
        durationMilliseconds: state.durationMilliseconds,
    };
    return writeAction(state, "hand-back", row, ownedConditions(state, fencing), now);
}

function acquisition(state: LeaseState, observed: ObservedRow, now: number): LeaseAction {
    const key = leaseKey(state.duty);
    const row = {
        holder: state.holder,
        fencing: state.highestFencing + 1n,
        durationMilliseconds: state.durationMilliseconds,
    };
    const condition =
        observed.row === undefined
            ? ({ kind: "absent", key } as const)
            : ({ kind: "version", key, version: observed.version } as const);
    return writeAction(state, "acquire", row, [condition], now);
}

function isOver(observed: ObservedRow, now: number): boolean {
    const row = observed.row;
    return row === undefined || row.holder === "" || now - observed.firstSeenAt >= row.durationMilliseconds;
}

/** Returns the call to make now, if any. At most one call per lease is under way. */
export function nextLeaseAction(state: LeaseState, now: number): LeaseAction | undefined {
    if (state.waiting || now < state.notBefore) {
        return undefined;
    }
    if (state.held !== undefined) {
        if (!state.wanted) {
            return handBack(state, state.held.fencing, now);
        }
        const due = state.held.renewedAt + state.durationMilliseconds * RENEWAL_SHARE;
        return now >= due ? renewal(state, state.held.fencing, now) : undefined;
    }
    if (!state.wanted) {
        return undefined;
    }
    const observed = state.observed;
    const pollMilliseconds = state.durationMilliseconds * POLL_SHARE;
    if (observed === undefined) {
        return { kind: "read", duty: state.duty, sentAt: now };
    }
    if (observed.row?.holder === state.holder && observed.row.fencing > state.givenUp) {
        // The answer of an earlier write was lost or came late. A renewal settles from when the lease counts.
        return renewal(state, observed.row.fencing, now);
    }
    if (isOver(observed, now)) {
        return acquisition(state, observed, now);
    }
    return now - observed.readAt >= pollMilliseconds
        ? { kind: "read", duty: state.duty, sentAt: now }
        : undefined;
}

function observe(state: LeaseState, row: Row | undefined, now: number): LeaseState {
    const parsed = row === undefined ? undefined : parseLeaseRow(row.value);
    const version = row?.version ?? 0;
    const previous = state.observed;
    const unchanged =
        previous !== undefined &&
        previous.version === version &&
        previous.row?.fencing === parsed?.fencing &&
        previous.row?.holder === parsed?.holder;
    const fencing = parsed?.fencing ?? 0n;
    return {
        ...state,
        highestFencing: fencing > state.highestFencing ? fencing : state.highestFencing,
        observed: {
            version,
            row: parsed,
            firstSeenAt: unchanged ? previous.firstSeenAt : now,
            readAt: now,
        },
    };
}

function afterApplied(state: LeaseState, action: LeaseAction & { kind: "write" }): LeaseState {
    const highestFencing = action.fencing > state.highestFencing ? action.fencing : state.highestFencing;
    const next = { ...state, observed: undefined, highestFencing };
    if (action.write === "hand-back") {
        return { ...next, held: undefined };
    }
    const marginMilliseconds = state.durationMilliseconds * MARGIN_SHARE;
    const acquiredAt = state.held?.fencing === action.fencing ? state.held.acquiredAt : action.sentAt;
    return {
        ...next,
        held: {
            fencing: action.fencing,
            acquiredAt,
            renewedAt: action.sentAt,
            until: action.sentAt + state.durationMilliseconds - marginMilliseconds,
        },
    };
}

/** Takes in the answer of `action`. */
export function applyLeaseAnswer(
    state: LeaseState,
    action: LeaseAction,
    answer: LeaseAnswer,
    now: number,
): LeaseState {
    const answered: LeaseState = {
        ...state,
        waiting: false,
        givenUp:
            action.kind === "write" && action.write === "hand-back" ? action.fencing - 1n : state.givenUp,
    };
    if (answer.kind === "row") {
        return observe(answered, answer.row, now);
    }
    if (action.kind === "write" && answer.kind === "applied") {
        return afterApplied(answered, action);
    }
    const isLost = answer.kind === "refused" || (action.kind === "write" && action.write === "hand-back");
    return {
        ...answered,
        held: isLost ? undefined : answered.held,
        // A failed read teaches nothing; after a failed or refused write the row is read back.
        observed: action.kind === "read" ? answered.observed : undefined,
        notBefore: answer.kind === "failed" ? now + state.durationMilliseconds * RETRY_SHARE : -Infinity,
    };
}

/** Whether the lease is certainly held at `now`. */
export function isLeaseHeld(state: LeaseState, now: number): boolean {
    return state.wanted && state.held !== undefined && now < state.held.until;
}
