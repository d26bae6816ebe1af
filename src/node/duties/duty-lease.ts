/**
 * Lease of the duties on the platform's store: the state machine of `leases/`, with its transactions translated
 * to conditions on revisions, and with the checks of a holder right before each call. Performs no I/O.
 *
 * Designed for 660 nodes of which three contend: they read the row from their replica, and the holder makes one
 * call to the store every 2 s.
 *
 * - A fencing token consists of the epoch of the store and the revision of the row that the holder replaced. Both
 *   only increase, so the token increases even after the store lost the newest row of the lease, and after a late
 *   write of an earlier epoch replaced the row by chance. A lease of an earlier epoch is not renewed.
 * - The holder acts only while its monotonic clock and its time of day agree on the time since the renewal: a
 *   suspension of the machine stops the monotonic clock, and a jump of the time of day is no reason to act.
 * - After it acquired the lease, a holder waits so long that no other one acted within `separation`.
 */
import { MARGIN_SHARE } from "../leases/constants.js";
import { leaseKey, parseLeaseRow } from "../leases/lease-row.js";
import type { LeaseRow } from "../leases/lease-row.js";
import { applyLeaseAnswer, initialLeaseState, isLeaseHeld, nextLeaseAction } from "../leases/lease-state.js";
import type { LeaseAction, LeaseState } from "../leases/lease-state.js";
import type { JsonObject } from "../common/json.js";
import type { Condition, Row, Transaction } from "../outside-services/table-service.js";
import type { RowChange } from "../replica/row-replica.js";
import type { RowCondition, StoreTransaction } from "../replica/shared-store.js";

/** Name of the lease. One lease covers all duties. */
const LEASE_NAME = "duties";

export const LEASE_ROW_KEY = leaseKey(LEASE_NAME);

/**
 * Duration of the lease after a renewal, milliseconds. Shorter means a faster successor, but with less than one
 * failed renewal tolerated a short outage of the store would end the lease.
 */
export const LEASE_DURATION_MILLISECONDS = 5000;

/** Renewal every 2 s, so that the lease costs at most one call to the store in two seconds. */
const DUTY_RENEWAL_SHARE = 0.4;

/**
 * Maximum difference between the times that the two clocks measure since the renewal, milliseconds. Corrections
 * of the time of day change it by less than 1 ms in this time.
 */
const CLOCK_TOLERANCE_MILLISECONDS = 250;

/** Pause after a failed write of a node that has no lease to lose, milliseconds: the store may be in trouble. */
const FAILED_WRITE_PAUSE_MILLISECONDS = 1500;

/** Tokens of one epoch, more than a store gives out revisions. A token is a JSON number, which is exact up to epoch 2^21. */
const TOKENS_PER_EPOCH = 2n ** 32n;

/** Both clocks, read at the same time. */
export interface Instant {
    /** Monotonic time, milliseconds. */
    readonly now: number;
    /** Time of day, milliseconds since 1970. */
    readonly wall: number;
}

export interface DutyLeaseSettings {
    /** Unique per process start. */
    readonly holder: string;
    /** Time within which the calls of two holders must not alternate, milliseconds. */
    readonly separationMilliseconds: number;
    /** Time after the end of a freeze or a partition in which late calls still arrive, milliseconds. */
    readonly thawSlackMilliseconds: number;
    /** Whether the receiver rejects calls with a lower token; then a new holder needs no wait. */
    readonly isFencingEnforced: boolean;
}

/** Row of the lease as the replica shows the store. */
export interface LeaseView {
    readonly epoch: number;
    readonly row: RowChange | undefined;
}

export interface DutyLeaseState {
    readonly settings: DutyLeaseSettings;
    readonly lease: LeaseState;
    /** Epoch of the store; `undefined` before the first read. */
    readonly epoch: number | undefined;
    /** Monotonic time at which this node first read the epoch. */
    readonly epochSeenAt: number;
    /** Revision of the row in the epoch; 0 if it is absent. */
    readonly revision: number;
    /** Counts the versions of the row that this node has seen, for the state machine. */
    readonly version: number;
    /** Revision that the last applied write replaced. The replica is late while it still shows it. */
    readonly replacedRevision: number | undefined;
    /** Time of day just before the last renewal was sent. */
    readonly renewedWall: number;
    /** Monotonic time from which the holder of a token may act. */
    readonly actFrom: { readonly fencing: bigint; readonly at: number };
}

/** A write of the lease that is on its way to the store. */
export interface LeaseWrite {
    readonly action: LeaseAction & { readonly kind: "write" };
    readonly epoch: number;
    readonly revision: number;
    readonly wall: number;
    readonly transaction: StoreTransaction;
    /** Monotonic time of the first act after an acquisition by this write. */
    readonly actFrom: number;
}

export type LeaseWriteAnswer = "applied" | "rejected" | "failed";

/** Proof that the node may act now. */
export interface DutyHold {
    readonly token: number;
    /** Monotonic time at which the node must have stopped to act. */
    readonly until: number;
    /** Monotonic time at which this node acquired the lease. */
    readonly since: number;
}

export function initialDutyLease(settings: DutyLeaseSettings): DutyLeaseState {
    return {
        settings,
        lease: initialLeaseState(
            LEASE_NAME,
            settings.holder,
            LEASE_DURATION_MILLISECONDS,
            DUTY_RENEWAL_SHARE,
        ),
        epoch: undefined,
        epochSeenAt: -Infinity,
        revision: 0,
        version: 0,
        replacedRevision: undefined,
        renewedWall: 0,
        actFrom: { fencing: -1n, at: Infinity },
    };
}

function parseRow(value: string): LeaseRow | undefined {
    try {
        return parseLeaseRow(JSON.parse(value) as JsonObject);
    }
    catch {
        return undefined;
    }
}

/** Parsed rows, kept as long as the rows: a node looks at the same row several times a second. */
const parsedRows = new WeakMap<RowChange, LeaseRow | "unreadable">();

/** Reads the row of the lease; `undefined` when it is absent or another writer made it unreadable. */
export function readLeaseRow(row: RowChange | undefined): LeaseRow | undefined {
    if (row?.value === undefined) {
        return undefined;
    }
    const known = parsedRows.get(row) ?? parseRow(row.value) ?? "unreadable";
    parsedRows.set(row, known);
    return known === "unreadable" ? undefined : known;
}

function firstToken(epoch: number): bigint {
    return BigInt(epoch) * TOKENS_PER_EPOCH;
}

function maximum(first: bigint, second: bigint): bigint {
    return first > second ? first : second;
}

/** A lease of an earlier epoch has a token that another node may have got as well, so it is neither kept nor renewed. */
function enterEpoch(state: DutyLeaseState, epoch: number, now: number): DutyLeaseState {
    const floor = firstToken(epoch);
    const { lease } = state;
    return {
        ...state,
        epoch,
        epochSeenAt: now,
        replacedRevision: undefined,
        lease: {
            ...lease,
            held: undefined,
            observed: undefined,
            highestHandedBack: maximum(lease.highestHandedBack, floor),
        },
    };
}

/** Takes over the row from the replica, which costs no call. */
export function observeLease(before: DutyLeaseState, view: LeaseView, now: number): DutyLeaseState {
    const revision = view.row?.value === undefined ? 0 : view.row.revision;
    const isNewEpoch = before.epoch !== view.epoch;
    const isNewRow = isNewEpoch || revision !== before.revision;
    const state: DutyLeaseState = {
        ...(isNewEpoch ? enterEpoch(before, view.epoch, now) : before),
        revision,
        version: isNewRow ? before.version + 1 : before.version,
    };
    const isLate = state.replacedRevision === revision;
    const row = readLeaseRow(view.row);
    if (isLate || state.lease.isCallOpen || (row === undefined && revision !== 0)) {
        return state;
    }
    const { held, observed } = state.lease;
    if (held !== undefined && row !== undefined && row.fencing <= held.fencing) {
        return { ...state, replacedRevision: undefined };
    }
    if (held === undefined && observed?.version === (row === undefined ? 0 : state.version)) {
        return { ...state, replacedRevision: undefined };
    }
    const read: LeaseAction = { kind: "read", duty: LEASE_NAME, sentAt: now };
    const stored: Row | undefined =
        row === undefined
            ? undefined
            : {
                  key: LEASE_ROW_KEY,
                  version: state.version,
                  value: JSON.parse(view.row!.value!) as JsonObject,
              };
    return {
        ...state,
        replacedRevision: undefined,
        lease: applyLeaseAnswer({ ...state.lease, held: undefined }, read, { kind: "row", row: stored }, now),
    };
}

/** Translates conditions to one on the revision; `undefined` when the row that is known does not meet them. */
function translate(
    { conditions }: Transaction,
    state: DutyLeaseState,
    row: LeaseRow | undefined,
): RowCondition | undefined {
    const fields: Readonly<Record<string, string | undefined>> = {
        holder: row?.holder,
        fencing: row?.fencing.toString(),
    };
    const isMet = (condition: Condition): boolean => {
        switch (condition.kind) {
            case "absent":
                return state.revision === 0;
            case "version":
                return condition.version === state.version;
            case "field":
                return fields[condition.field] === condition.equals;
        }
    };
    return conditions.every(isMet)
        ? { table: "nodes", key: LEASE_ROW_KEY, revision: state.revision }
        : undefined;
}

/**
 * Monotonic time of the first act after an acquisition at `now`. The former holder stopped `MARGIN_SHARE` of the
 * duration before its lease expired, or, if it returned the lease, just before. A restored store may have lost
 * the row of the holder, which then goes on until its lease ends.
 */
function firstActAfter({ settings, lease, epochSeenAt }: DutyLeaseState, now: number): number {
    if (settings.isFencingEnforced) {
        return now;
    }
    const former = lease.observed?.row;
    const isExpired = former !== undefined && former.holder !== "" && former.holder !== settings.holder;
    const stoppedAt = isExpired ? now - former.durationMilliseconds * MARGIN_SHARE : now;
    const lostHolderStoppedAt = epochSeenAt + LEASE_DURATION_MILLISECONDS * (1 - MARGIN_SHARE);
    const pause = settings.separationMilliseconds + settings.thawSlackMilliseconds;
    return Math.max(now, stoppedAt + pause, lostHolderStoppedAt + pause);
}

export interface LeaseStep {
    readonly state: DutyLeaseState;
    /** The write to send now. */
    readonly write: LeaseWrite | undefined;
}

/** Takes over the row and returns the write to send, if any. */
export function stepLease(
    before: DutyLeaseState,
    view: LeaseView,
    isWanted: boolean,
    { now, wall }: Instant,
): LeaseStep {
    const observed = observeLease(before, view, now);
    // An acquisition takes the next token after this one.
    const highestFencing = maximum(
        observed.lease.observed?.row?.fencing ?? 0n,
        firstToken(view.epoch) + BigInt(observed.revision),
    );
    const state = { ...observed, lease: { ...observed.lease, highestFencing, wanted: isWanted } };
    const action = nextLeaseAction(state.lease, now);
    if (action === undefined || action.kind === "read" || state.replacedRevision !== undefined) {
        return { state, write: undefined };
    }
    const condition = translate(action.transaction, state, readLeaseRow(view.row));
    if (condition === undefined) {
        const lease = applyLeaseAnswer(state.lease, action, { kind: "rejected" }, now);
        return { state: { ...state, lease }, write: undefined };
    }
    const writes = action.transaction.writes.map(write => ({
        table: "nodes" as const,
        key: write.key,
        value: write.kind === "put" ? JSON.stringify(write.value) : undefined,
    }));
    return {
        state: { ...state, lease: { ...state.lease, isCallOpen: true } },
        write: {
            action,
            epoch: view.epoch,
            revision: condition.revision,
            wall,
            transaction: { epoch: view.epoch, conditions: [condition], writes },
            actFrom: firstActAfter(state, now),
        },
    };
}

export function applyWriteAnswer(
    state: DutyLeaseState,
    write: LeaseWrite,
    answer: LeaseWriteAnswer,
    now: number,
): DutyLeaseState {
    const { action } = write;
    const isOfEpoch = write.epoch === state.epoch;
    const kind = isOfEpoch ? answer : "failed";
    const lease = applyLeaseAnswer(state.lease, action, { kind }, now);
    if (kind !== "applied") {
        const mayRetrySoon = lease.held !== undefined && now < lease.held.until;
        const notBefore =
            kind === "failed" && !mayRetrySoon ? now + FAILED_WRITE_PAUSE_MILLISECONDS : lease.notBefore;
        return { ...state, lease: { ...lease, notBefore } };
    }
    const isSameToken = state.actFrom.fencing === action.fencing;
    return {
        ...state,
        lease,
        replacedRevision: state.revision === write.revision ? write.revision : undefined,
        renewedWall: write.wall,
        // A token has one holder: while it stays the same, nobody else acted in between.
        actFrom: isSameToken ? state.actFrom : { fencing: action.fencing, at: write.actFrom },
    };
}

/** Whether this node has the lease, also while it still waits for its first act. */
export function isHolding({ lease }: DutyLeaseState, now: number): boolean {
    return isLeaseHeld(lease, now);
}

/** Time for which nobody has had the lease as far as this node knows, milliseconds. */
export function vacancyOf({ lease }: DutyLeaseState, now: number): number {
    const { held, observed } = lease;
    if (held !== undefined || observed === undefined) {
        return 0;
    }
    const { row, firstReadAt } = observed;
    const isReturned = row === undefined || row.holder === "";
    return Math.max(0, now - firstReadAt - (isReturned ? 0 : row.durationMilliseconds));
}

/** The check right before a call. `undefined` unless the node certainly has the lease and may act. */
export function holdOf(state: DutyLeaseState, { now, wall }: Instant): DutyHold | undefined {
    const { lease, actFrom, renewedWall } = state;
    const { held } = lease;
    if (held === undefined || !isLeaseHeld(lease, now) || now < actFrom.at) {
        return undefined;
    }
    const difference = wall - renewedWall - (now - held.renewedAt);
    return Math.abs(difference) > CLOCK_TOLERANCE_MILLISECONDS
        ? undefined
        : { token: Number(held.fencing), until: held.until, since: held.acquiredAt };
}
