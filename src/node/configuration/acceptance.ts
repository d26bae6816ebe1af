/**
 * Acceptance of a ticket by the node that proposes it: a step function that maps the state of the attempt and
 * the result of the last action to the next state and action. One action runs at a time.
 *
 * A majority of the roster must have stored the ticket before one conditional transaction commits it. The
 * condition on the version of the head row makes the transaction fail when another ticket was accepted, or a
 * node rewrote the head row to resolve the attempt, after the version was read.
 */
import type { JsonObject } from "../common/json.js";
import { describeSuperseding, findSuperseding, ticketProblems } from "./checks.js";
import { MAXIMUM_ACCEPTANCE_ATTEMPTS, MAXIMUM_RESOLVE_ATTEMPTS } from "./constants.js";
import type { TicketOutcome } from "./configuration.js";
import type { Ticket } from "./entities.js";
import { HEAD_KEY, entityRowKey, logKey, ticketKey } from "./messages.js";
import type { Head, Proposal } from "./messages.js";
import type { ConfigurationSnapshot } from "./snapshot.js";
import type { Transaction } from "../outside-services/table-service.js";

/** The row `configuration/ticket/N`. */
export interface TicketRow {
    readonly hash: string;
    readonly revision: number;
}

/** The head row and the ticket's row, read at one point in time. */
export interface TicketReadResult {
    readonly head: Head;
    readonly row: TicketRow | undefined;
}

export type AcceptanceEvent =
    | { readonly kind: "read"; readonly reading: TicketReadResult }
    /** `mayBeAccepted` is set when an earlier submission of the ticket may have succeeded. */
    | { readonly kind: "read-failed"; readonly detail: string; readonly mayBeAccepted: boolean }
    /** The node has caught up with the head row, or timed out; the snapshot's revision tells which. */
    | { readonly kind: "caught-up"; readonly snapshot: ConfigurationSnapshot }
    | { readonly kind: "prepared"; readonly result: "majority" | "stale" | "no-majority" }
    | { readonly kind: "committed"; readonly result: "applied" | "conflict" | "not-applied" | "unknown" }
    | { readonly kind: "done" };

export type AcceptanceAction =
    | { readonly kind: "read" }
    | { readonly kind: "catch-up"; readonly revision: number }
    | { readonly kind: "prepare"; readonly proposal: Proposal }
    /** Informs the nodes of the roster that the attempt will not be committed. */
    | { readonly kind: "cancel"; readonly proposal: Proposal }
    | { readonly kind: "commit"; readonly transaction: Transaction; readonly proposal: Proposal }
    /** Rewrites the head row, so that a transaction whose answer was lost cannot apply later. */
    | { readonly kind: "rewrite-head"; readonly head: Head }
    | { readonly kind: "wait"; readonly reason: "retry" | "resolve" }
    | { readonly kind: "finish"; readonly outcome: TicketOutcome };

export interface AcceptanceState {
    readonly ticket: Ticket;
    /** SHA-256 digest of the ticket's canonical JSON. */
    readonly hash: string;
    readonly attemptPrefix: string;
    readonly attempts: number;
    readonly phase: "reading" | "preparing" | "committing" | "resolving" | "cancelling" | "rewriting-head";
    readonly head?: Head;
    readonly proposal?: Proposal;
    readonly resolveAttempts: number;
    /** Action after the attempt is cancelled; a further attempt starts when absent. */
    readonly actionAfterCancel?: AcceptanceAction;
}

export interface AcceptanceStep {
    readonly state: AcceptanceState;
    readonly action: AcceptanceAction;
}

export function startAcceptance(ticket: Ticket, hash: string, attemptPrefix: string): AcceptanceStep {
    return {
        state: { ticket, hash, attemptPrefix, attempts: 1, phase: "reading", resolveAttempts: 0 },
        action: { kind: "read" },
    };
}

type RejectionReason = Extract<TicketOutcome, { kind: "refused" }>["reason"];

function reject(reason: RejectionReason, detail: string): AcceptanceAction {
    return { kind: "finish", outcome: { kind: "refused", reason, detail } };
}

/** Ends the submission with the outcome that the ticket's row shows; `undefined` when there is no row. */
function actionOfRow(state: AcceptanceState, row: TicketRow | undefined): AcceptanceAction | undefined {
    if (row === undefined) {
        return undefined;
    }
    if (row.hash !== state.hash) {
        return reject(
            "number-reused",
            `ticket ${state.ticket.number} was accepted with other content at revision ${row.revision}`,
        );
    }
    return { kind: "finish", outcome: { kind: "accepted", revision: row.revision } };
}

/** Rejects a ticket that is superseded or invalid in the snapshot; `undefined` when it is allowed. */
function rejectionOf(
    snapshot: ConfigurationSnapshot,
    ticket: Ticket,
): Extract<TicketOutcome, { kind: "refused" }> | undefined {
    const superseding = findSuperseding(snapshot, ticket);
    if (superseding !== undefined) {
        const detail = describeSuperseding(ticket, superseding);
        return { kind: "refused", reason: "superseded", detail };
    }
    const problems = ticketProblems(snapshot, ticket);
    return problems.length === 0
        ? undefined
        : { kind: "refused", reason: "invalid", detail: problems.join("; ") };
}

/**
 * Builds the transaction that commits the proposal.
 *
 * @param snapshotRevision Revision of the latest snapshot in the object store.
 */
export function acceptanceTransaction(
    proposal: Proposal,
    hash: string,
    snapshotRevision: number,
): Transaction {
    const { ticket, revision, headVersion } = proposal;
    const key = ticketKey(ticket.number);
    return {
        conditions: [
            headVersion === 0
                ? { kind: "absent", key: HEAD_KEY }
                : { kind: "version", key: HEAD_KEY, version: headVersion },
            { kind: "absent", key },
        ],
        writes: [
            { kind: "put", key: HEAD_KEY, value: { revision, snapshot: snapshotRevision } },
            { kind: "put", key, value: { hash, revision } },
            { kind: "put", key: logKey(revision), value: { ticket } },
            ...ticket.changes.map(change => ({
                kind: "put" as const,
                key: entityRowKey(change),
                value: { ticket: ticket.number, state: change.state as JsonObject | undefined },
            })),
        ],
    };
}

/** Starts the next attempt, or rejects the ticket after the maximum number of attempts. */
function retry(state: AcceptanceState): AcceptanceStep {
    if (state.attempts >= MAXIMUM_ACCEPTANCE_ATTEMPTS) {
        return {
            state,
            action: reject("conflict", `${state.attempts} attempts conflicted with other tickets`),
        };
    }
    return {
        state: {
            ...state,
            attempts: state.attempts + 1,
            phase: "reading",
            proposal: undefined,
            resolveAttempts: 0,
        },
        action: { kind: "wait", reason: "retry" },
    };
}

function cancel(state: AcceptanceState, next?: AcceptanceAction): AcceptanceStep {
    return {
        state: { ...state, phase: "cancelling", actionAfterCancel: next },
        action: { kind: "cancel", proposal: state.proposal! },
    };
}

/** Reads the table again until the outcome of the transaction is certain. */
function resolveOutcome(state: AcceptanceState): AcceptanceStep {
    if (state.resolveAttempts >= MAXIMUM_RESOLVE_ATTEMPTS) {
        const detail = "the table service did not report whether the ticket was accepted; apply it again";
        return { state, action: { kind: "finish", outcome: { kind: "unknown", detail } } };
    }
    return {
        state: { ...state, phase: "resolving", resolveAttempts: state.resolveAttempts + 1 },
        action: { kind: "wait", reason: "resolve" },
    };
}

function stepReading(state: AcceptanceState, event: AcceptanceEvent): AcceptanceStep {
    switch (event.kind) {
        case "read": {
            const { head, row } = event.reading;
            const finish = actionOfRow(state, row);
            return finish === undefined
                ? { state: { ...state, head }, action: { kind: "catch-up", revision: head.revision } }
                : { state, action: finish };
        }
        case "read-failed":
            return {
                state,
                action: event.mayBeAccepted
                    ? { kind: "finish", outcome: { kind: "unknown", detail: event.detail } }
                    : reject("unavailable", event.detail),
            };
        case "caught-up":
            return propose(state, event.snapshot);
        default:
            return { state, action: { kind: "read" } };
    }
}

function propose(state: AcceptanceState, snapshot: ConfigurationSnapshot): AcceptanceStep {
    const head = state.head!;
    if (snapshot.revision < head.revision) {
        return {
            state,
            action: reject("unavailable", "this node could not catch up with the accepted tickets"),
        };
    }
    if (snapshot.revision > head.revision) {
        return retry(state);
    }
    const rejection = rejectionOf(snapshot, state.ticket);
    if (rejection !== undefined) {
        return { state, action: { kind: "finish", outcome: rejection } };
    }
    const proposal: Proposal = {
        revision: head.revision + 1,
        headVersion: head.version,
        attempt: `${state.attemptPrefix}${state.attempts}`,
        ticket: state.ticket as Ticket & JsonObject,
    };
    return { state: { ...state, phase: "preparing", proposal }, action: { kind: "prepare", proposal } };
}

function stepPreparing(
    state: AcceptanceState,
    event: AcceptanceEvent,
    snapshotRevision: number,
): AcceptanceStep {
    if (event.kind !== "prepared" || event.result === "no-majority") {
        return cancel(
            state,
            reject(
                "unavailable",
                "a majority of the nodes could not be reached; the ticket was not accepted",
            ),
        );
    }
    if (event.result === "stale") {
        return cancel(state);
    }
    const proposal = state.proposal!;
    const transaction = acceptanceTransaction(
        proposal,
        state.hash,
        Math.max(snapshotRevision, state.head!.snapshot),
    );
    return { state: { ...state, phase: "committing" }, action: { kind: "commit", transaction, proposal } };
}

function stepCommitting(state: AcceptanceState, event: AcceptanceEvent): AcceptanceStep {
    const result = event.kind === "committed" ? event.result : "unknown";
    switch (result) {
        case "applied":
            return {
                state,
                action: {
                    kind: "finish",
                    outcome: { kind: "accepted", revision: state.proposal!.revision },
                },
            };
        case "conflict":
            return cancel(state);
        case "not-applied":
            return cancel(
                state,
                reject("unavailable", "the table service is not available; the ticket was not accepted"),
            );
        case "unknown":
            return resolveOutcome(state);
    }
}

function stepResolving(state: AcceptanceState, event: AcceptanceEvent): AcceptanceStep {
    if (event.kind === "done") {
        return { state, action: { kind: "read" } };
    }
    if (event.kind !== "read") {
        return resolveOutcome(state);
    }
    const { head, row } = event.reading;
    const finish = actionOfRow(state, row);
    if (finish !== undefined) {
        return { state, action: finish };
    }
    if (head.version === state.proposal!.headVersion) {
        return { state: { ...state, phase: "rewriting-head" }, action: { kind: "rewrite-head", head } };
    }
    return cancel(state);
}

/**
 * Computes the next state and action.
 *
 * @param snapshotRevision Revision of the latest snapshot that this node put into the object store.
 */
export function stepAcceptance(
    state: AcceptanceState,
    event: AcceptanceEvent,
    snapshotRevision: number,
): AcceptanceStep {
    switch (state.phase) {
        case "reading":
            return stepReading(state, event);
        case "preparing":
            return stepPreparing(state, event, snapshotRevision);
        case "committing":
            return stepCommitting(state, event);
        case "resolving":
            return stepResolving(state, event);
        case "rewriting-head":
            return resolveOutcome(state);
        case "cancelling":
            return state.actionAfterCancel === undefined
                ? retry(state)
                : { state, action: state.actionAfterCancel };
    }
}
