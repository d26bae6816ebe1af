/**
 * Decisions of the node at which an operator applies a ticket: a step function from the state of the attempt
 * and the result of the last action to the next state and action. One action runs at a time.
 *
 * The ticket is held by a majority of the roster before one conditional transaction commits it. The condition
 * on the version of the head row makes the transaction fail when any other ticket was accepted, or the
 * attempt was settled, since the version was read.
 */
import type { JsonObject } from "../common/json.js";
import { describeSuperseding, findSuperseding, ticketProblems } from "./checks.js";
import { ACCEPTANCE_ATTEMPTS, RESOLVE_ATTEMPTS } from "./constants.js";
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

/** What a read of the head row and of the ticket's row showed, at one point in time. */
export interface TicketReading {
    readonly head: Head;
    readonly row: TicketRow | undefined;
}

export type AcceptanceEvent =
    | { readonly kind: "read"; readonly reading: TicketReading }
    /** `mayBeAccepted` when an earlier submission of the ticket may have succeeded. */
    | { readonly kind: "read-failed"; readonly detail: string; readonly mayBeAccepted: boolean }
    /** The node has caught up with the head, or could not. */
    | { readonly kind: "caught-up"; readonly snapshot: ConfigurationSnapshot }
    | { readonly kind: "prepared"; readonly result: "majority" | "stale" | "no-majority" }
    | { readonly kind: "committed"; readonly result: "applied" | "conflict" | "not-applied" | "unknown" }
    | { readonly kind: "done" };

export type AcceptanceAction =
    | { readonly kind: "read" }
    | { readonly kind: "catch-up"; readonly revision: number }
    | { readonly kind: "prepare"; readonly proposal: Proposal }
    /** Tells the roster that the attempt will not be committed. */
    | { readonly kind: "abandon"; readonly proposal: Proposal }
    | { readonly kind: "commit"; readonly transaction: Transaction; readonly proposal: Proposal }
    /** Rewrites the head row, so that a transaction whose answer was lost cannot apply later. */
    | { readonly kind: "settle"; readonly head: Head }
    | { readonly kind: "wait"; readonly reason: "retry" | "resolve" }
    | { readonly kind: "finish"; readonly outcome: TicketOutcome };

export interface AcceptanceState {
    readonly ticket: Ticket;
    /** SHA-256 digest of the ticket's canonical JSON. */
    readonly hash: string;
    readonly attemptPrefix: string;
    readonly attempts: number;
    readonly phase: "reading" | "preparing" | "committing" | "resolving" | "abandoning" | "settling";
    readonly head?: Head;
    readonly proposal?: Proposal;
    readonly resolveAttempts: number;
    /** What follows the abandoning of the attempt. */
    readonly next?: AcceptanceAction;
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

type RefusalReason = Extract<TicketOutcome, { kind: "refused" }>["reason"];

function refuse(reason: RefusalReason, detail: string): AcceptanceAction {
    return { kind: "finish", outcome: { kind: "refused", reason, detail } };
}

/** Returns the outcome that the ticket's row proves, if it exists. */
function outcomeOfRow(state: AcceptanceState, row: TicketRow | undefined): AcceptanceAction | undefined {
    if (row === undefined) {
        return undefined;
    }
    if (row.hash !== state.hash) {
        return refuse(
            "number-reused",
            `ticket ${state.ticket.number} was accepted with other content at revision ${row.revision}`,
        );
    }
    return { kind: "finish", outcome: { kind: "accepted", revision: row.revision } };
}

/** Returns the refusal of a ticket that the snapshot does not allow. */
function refusalOf(
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
 * Builds the transaction that accepts the proposal.
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

/** Starts the next attempt, or refuses when there were too many. */
function retry(state: AcceptanceState): AcceptanceStep {
    if (state.attempts >= ACCEPTANCE_ATTEMPTS) {
        return {
            state,
            action: refuse("conflict", `${state.attempts} attempts lost against other tickets`),
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

function abandon(state: AcceptanceState, next?: AcceptanceAction): AcceptanceStep {
    return {
        state: { ...state, phase: "abandoning", next },
        action: { kind: "abandon", proposal: state.proposal! },
    };
}

/** Keeps asking the table until the outcome of the transaction is certain. */
function resolve(state: AcceptanceState): AcceptanceStep {
    if (state.resolveAttempts >= RESOLVE_ATTEMPTS) {
        const detail = "the table service did not tell whether the ticket was accepted; apply it again";
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
            const proven = outcomeOfRow(state, row);
            return proven === undefined
                ? { state: { ...state, head }, action: { kind: "catch-up", revision: head.revision } }
                : { state, action: proven };
        }
        case "read-failed":
            return {
                state,
                action: event.mayBeAccepted
                    ? { kind: "finish", outcome: { kind: "unknown", detail: event.detail } }
                    : refuse("unavailable", event.detail),
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
            action: refuse("unavailable", "this node could not catch up with the accepted tickets"),
        };
    }
    if (snapshot.revision > head.revision) {
        return retry(state);
    }
    const refusal = refusalOf(snapshot, state.ticket);
    if (refusal !== undefined) {
        return { state, action: { kind: "finish", outcome: refusal } };
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
        return abandon(
            state,
            refuse("unavailable", "no majority of the nodes could be reached; the ticket was not accepted"),
        );
    }
    if (event.result === "stale") {
        return abandon(state);
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
            return abandon(state);
        case "not-applied":
            return abandon(
                state,
                refuse("unavailable", "the table service is not available; the ticket was not accepted"),
            );
        case "unknown":
            return resolve(state);
    }
}

function stepResolving(state: AcceptanceState, event: AcceptanceEvent): AcceptanceStep {
    if (event.kind === "done") {
        return { state, action: { kind: "read" } };
    }
    if (event.kind !== "read") {
        return resolve(state);
    }
    const { head, row } = event.reading;
    const proven = outcomeOfRow(state, row);
    if (proven !== undefined) {
        return { state, action: proven };
    }
    if (head.version === state.proposal!.headVersion) {
        return { state: { ...state, phase: "settling" }, action: { kind: "settle", head } };
    }
    return abandon(state);
}

/**
 * Returns the next state and action of an attempt.
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
        case "settling":
            return resolve(state);
        case "abandoning":
            return state.next === undefined ? retry(state) : { state, action: state.next };
    }
}
