/**
 * State machine of one lease. Performs no I/O.
 *
 * Clocks of different nodes are never compared. The holder measures the duration from a time before it sent
 * the renewal. Another node that wants the lease measures it from a time after it first read the current
 * version of the row, which is later than the write of that version. The holder therefore always stops using
 * the lease before another node considers it expired.
 */
import type { Row, Transaction } from "../outside-services/table-service.js";
import { MARGIN_SHARE, POLL_SHARE, RENEWAL_SHARE, RETRY_SHARE } from "./constants.js";
import { fencingCondition, leaseKey, parseLeaseRow, serialiseLeaseRow } from "./lease-row.js";
import type { LeaseRow } from "./lease-row.js";

/** Held lease. `until` is the monotonic time at which the holder stops using it. */
export interface HeldLease {
    readonly fencing: bigint;
    /** Monotonic time, taken just before the write that acquired the lease was sent. */
    readonly acquiredAt: number;
    /** Monotonic time, taken just before the last renewal was sent. */
    readonly renewedAt: number;
    readonly until: number;
}

interface ObservedRow {
    /** Version of the row; 0 if it is absent. */
    readonly version: number;
    readonly row: LeaseRow | undefined;
    /** Monotonic time, taken when the answer of the first read of this version was processed. */
    readonly firstReadAt: number;
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
    | { readonly kind: "rejected" }
    /** The call failed; a write may have been applied. */
    | { readonly kind: "failed" };

export interface LeaseState {
    /** Name of the job that only the holder of the lease does. */
    readonly duty: string;
    readonly holder: string;
    readonly durationMilliseconds: number;
    /** Share of the duration after which the holder renews the lease. */
    readonly renewalShare: number;
    /** Whether this node wants the lease. */
    readonly wanted: boolean;
    readonly held: HeldLease | undefined;
    readonly observed: ObservedRow | undefined;
    /**
     * Maximum fencing token observed in the row, so that tokens do not restart from 1 after the row is deleted.
     */
    readonly highestFencing: bigint;
    /**
     * Maximum fencing token that this node handed back. The hand-back write may be applied late and end
     * that lease, so this node never renews a lease with this token or a lower one.
     */
    readonly highestHandedBack: bigint;
    readonly isCallOpen: boolean;
    /** No call is made before this time. */
    readonly notBefore: number;
}

/** @param renewalShare @default RENEWAL_SHARE */
export function initialLeaseState(
    duty: string,
    holder: string,
    durationMilliseconds: number,
    renewalShare = RENEWAL_SHARE,
): LeaseState {
    return {
        duty,
        holder,
        durationMilliseconds,
        renewalShare,
        wanted: true,
        held: undefined,
        observed: undefined,
        highestFencing: 0n,
        highestHandedBack: -1n,
        isCallOpen: false,
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

function holderConditions(state: LeaseState, fencing: bigint): Transaction["conditions"] {
    return [
        { kind: "field", key: leaseKey(state.duty), field: "holder", equals: state.holder },
        fencingCondition({ duty: state.duty, fencing }),
    ];
}

function renewal(state: LeaseState, fencing: bigint, now: number): LeaseAction {
    const row = { holder: state.holder, fencing, durationMilliseconds: state.durationMilliseconds };
    return writeAction(state, "renew", row, holderConditions(state, fencing), now);
}

/** A hand-back also increases the fencing token, so that the table rejects later writes of the old holder. */
function handBack(state: LeaseState, fencing: bigint, now: number): LeaseAction {
    const row = {
        holder: "",
        fencing: fencing + 1n,
        durationMilliseconds: state.durationMilliseconds,
    };
    return writeAction(state, "hand-back", row, holderConditions(state, fencing), now);
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

function isExpired(observed: ObservedRow, now: number): boolean {
    const row = observed.row;
    return row === undefined || row.holder === "" || now - observed.firstReadAt >= row.durationMilliseconds;
}

/** The call to make now, if any. At most one call per lease is open. */
export function nextLeaseAction(state: LeaseState, now: number): LeaseAction | undefined {
    if (state.isCallOpen || now < state.notBefore) {
        return undefined;
    }
    if (state.held !== undefined) {
        if (!state.wanted) {
            return handBack(state, state.held.fencing, now);
        }
        const renewAt = state.held.renewedAt + state.durationMilliseconds * state.renewalShare;
        return now >= renewAt ? renewal(state, state.held.fencing, now) : undefined;
    }
    if (!state.wanted) {
        return undefined;
    }
    const observed = state.observed;
    const pollMilliseconds = state.durationMilliseconds * POLL_SHARE;
    if (observed === undefined) {
        return { kind: "read", duty: state.duty, sentAt: now };
    }
    if (observed.row?.holder === state.holder && observed.row.fencing > state.highestHandedBack) {
        // The answer to an earlier write was lost or delayed. A renewal gives a known time from which the
        // lease is measured.
        return renewal(state, observed.row.fencing, now);
    }
    if (isExpired(observed, now)) {
        return acquisition(state, observed, now);
    }
    return now - observed.readAt >= pollMilliseconds
        ? { kind: "read", duty: state.duty, sentAt: now }
        : undefined;
}

function recordRow(state: LeaseState, row: Row | undefined, now: number): LeaseState {
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
            firstReadAt: unchanged ? previous.firstReadAt : now,
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

/** State after the answer to `action`. */
export function applyLeaseAnswer(
    state: LeaseState,
    action: LeaseAction,
    answer: LeaseAnswer,
    now: number,
): LeaseState {
    const answered: LeaseState = {
        ...state,
        isCallOpen: false,
        highestHandedBack:
            action.kind === "write" && action.write === "hand-back"
                ? // The hand-back writes the token of the lease plus 1.
                  action.fencing - 1n
                : state.highestHandedBack,
    };
    if (answer.kind === "row") {
        return recordRow(answered, answer.row, now);
    }
    if (action.kind === "write" && answer.kind === "applied") {
        return afterApplied(answered, action);
    }
    const isLost = answer.kind === "rejected" || (action.kind === "write" && action.write === "hand-back");
    return {
        ...answered,
        held: isLost ? undefined : answered.held,
        // A failed read changes nothing; after a failed or rejected write the row is read again.
        observed: action.kind === "read" ? answered.observed : undefined,
        notBefore: answer.kind === "failed" ? now + state.durationMilliseconds * RETRY_SHARE : -Infinity,
    };
}

/** Whether this node wants the lease and can rely on holding it at `now`. */
export function isLeaseHeld(state: LeaseState, now: number): boolean {
    return state.wanted && state.held !== undefined && now < state.held.until;
}
