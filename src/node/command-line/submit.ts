/** Submits a ticket and determines its outcome, by reading the ticket back when the response is lost. */
import { setTimeout as sleep } from "node:timers/promises";
import { canonicalJson } from "../common/json.js";
import type { TicketOutcome } from "../configuration/configuration.js";
import type { Ticket } from "../configuration/entities.js";
import { NoResponseError, problemError, toText, toUnreachableError } from "./client.js";
import type { OperatorsClient, OperatorsResponse } from "./client.js";

/**
 * Delays before the reads that follow a lost response. The first read is often too early to find the ticket.
 */
const READ_BACK_DELAYS_MILLISECONDS = [200, 800, 2000, 4000] as const;

/** Interval between requests for the propagation of a ticket. */
const PROPAGATION_POLL_INTERVAL_MILLISECONDS = 500;

export interface SubmitResult {
    readonly outcome: TicketOutcome;
    /** Whether the response was lost or unclear, so that the ticket was read back. */
    readonly readBack: boolean;
}

const REJECTION_REASONS = ["invalid", "number-reused", "superseded", "unavailable", "conflict"] as const;

/** `undefined` when the response does not state an outcome with certainty. */
function outcomeFromResponse(ticket: Ticket, { status, body }: OperatorsResponse): TicketOutcome | undefined {
    if (body.ticket !== ticket.number) {
        return undefined;
    }
    if (status === 200 && body.outcome === "accepted" && Number.isSafeInteger(body.revision)) {
        return { kind: "accepted", revision: body.revision as number };
    }
    const reason = REJECTION_REASONS.find(known => known === body.reason);
    if (status >= 400 && body.outcome === "refused" && reason !== undefined) {
        return { kind: "refused", reason, detail: toText(body.detail) };
    }
    return undefined;
}

/** Reads the ticket once. `undefined` when the read does not show the outcome with certainty. */
async function readAcceptedOutcome(
    client: OperatorsClient,
    ticket: Ticket,
): Promise<TicketOutcome | undefined> {
    let response: OperatorsResponse;
    try {
        response = await client.get(`/tickets/${ticket.number}`);
    }
    catch (error) {
        if (error instanceof NoResponseError) {
            return undefined;
        }
        throw error;
    }
    const { revision, ticket: acceptedTicket } = response.body;
    if (response.status !== 200 || !Number.isSafeInteger(revision) || acceptedTicket === undefined) {
        return undefined;
    }
    return canonicalJson(acceptedTicket) === canonicalJson(ticket)
        ? { kind: "accepted", revision: revision as number }
        : {
              kind: "refused",
              reason: "number-reused",
              detail: `ticket ${ticket.number} was accepted with other content at revision ${toText(revision)}`,
          };
}

async function readBackOutcome(
    client: OperatorsClient,
    ticket: Ticket,
    cause: string,
    delays: readonly number[],
): Promise<SubmitResult> {
    for (const delay of delays) {
        await sleep(delay);
        const outcome = await readAcceptedOutcome(client, ticket);
        if (outcome !== undefined) {
            return { outcome, readBack: true };
        }
    }
    // A ticket that was not found may still be accepted, by a transaction that is in flight.
    return { outcome: { kind: "unknown", detail: cause }, readBack: true };
}

/**
 * @param delays Milliseconds before each read that follows a lost response.
 * @throws CommandError when the ticket was certainly not applied, for a reason other than its rejection.
 */
export async function submit(
    client: OperatorsClient,
    ticket: Ticket,
    delays: readonly number[] = READ_BACK_DELAYS_MILLISECONDS,
): Promise<SubmitResult> {
    let response: OperatorsResponse;
    try {
        response = await client.post("/tickets", ticket);
    }
    catch (error) {
        if (error instanceof NoResponseError && error.mayHaveRun) {
            return readBackOutcome(client, ticket, error.message, delays);
        }
        throw toUnreachableError(error);
    }
    const outcome = outcomeFromResponse(ticket, response);
    if (outcome !== undefined) {
        return { outcome, readBack: false };
    }
    if (response.status >= 400 && response.body.verdict === "not-run") {
        throw problemError(response);
    }
    const cause = toText(response.body.detail ?? `the node responded with status ${response.status}`);
    return readBackOutcome(client, ticket, cause, delays);
}

/** Propagation of a ticket at the last request for it. */
export interface PropagationStatus {
    /** Whether all nodes are known to have the ticket in force. */
    readonly complete: boolean;
    readonly nodes?: number;
    readonly inForce?: number;
    readonly waitingFor?: readonly string[];
    /** Why the propagation is unknown. */
    readonly detail?: string;
}

async function readPropagation(client: OperatorsClient, number: number): Promise<PropagationStatus> {
    let response: OperatorsResponse;
    try {
        response = await client.get(`/tickets/${number}/reach`);
    }
    catch (error) {
        return { complete: false, detail: (error as Error).message };
    }
    const { nodes, inForce, waitingFor } = response.body;
    if (response.status !== 200 || typeof nodes !== "number" || typeof inForce !== "number") {
        return { complete: false, detail: toText(response.body.detail ?? `status ${response.status}`) };
    }
    return {
        complete: nodes > 0 && inForce >= nodes,
        nodes,
        inForce,
        waitingFor: Array.isArray(waitingFor) ? waitingFor.map(toText) : [],
    };
}

/** Waits until an accepted ticket is in force at every node, or until the timeout. */
export async function waitUntilInForce(
    client: OperatorsClient,
    number: number,
    timeoutMilliseconds: number,
): Promise<PropagationStatus> {
    const deadline = performance.now() + timeoutMilliseconds;
    for (;;) {
        const propagation = await readPropagation(client, number);
        if (propagation.complete || performance.now() + PROPAGATION_POLL_INTERVAL_MILLISECONDS > deadline) {
            return propagation;
        }
        await sleep(PROPAGATION_POLL_INTERVAL_MILLISECONDS);
    }
}
