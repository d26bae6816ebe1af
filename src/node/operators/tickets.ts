/** Parsing, numbering and submission of tickets for the operator routes. */
import { z } from "zod";
import type { TicketProposer, TicketOutcome } from "../configuration/configuration.js";
import { entitySchemas, ticketSchema } from "../configuration/entities.js";
import type { EntityKind, Ticket } from "../configuration/entities.js";
import type { ConfigurationSnapshot } from "../configuration/snapshot.js";
import { RouterError } from "../verdict/verdict.js";
import { RESPONSE_TIMEOUT_MILLISECONDS } from "./constants.js";

/** Maximum schema problems reported for one value. The first ones are enough to correct a ticket. */
const MAXIMUM_SHOWN_PROBLEMS = 20;

export type ParsedTicket =
    | { readonly kind: "ticket"; readonly ticket: Ticket }
    | { readonly kind: "problems"; readonly problems: readonly string[] };

function describePath(path: readonly PropertyKey[]): string {
    return path.reduce<string>(
        (text, segment) =>
            typeof segment === "number"
                ? `${text}[${segment}]`
                : `${text}${text === "" ? "" : "."}${String(segment)}`,
        "",
    );
}

/** Formats schema issues, each with the path of the value. */
export function describeIssues(error: z.ZodError): readonly string[] {
    return error.issues.slice(0, MAXIMUM_SHOWN_PROBLEMS).map(issue => {
        const path = describePath(issue.path);
        return path === "" ? issue.message : `${path}: ${issue.message}`;
    });
}

/** Checks a value against the ticket schema. */
export function parseTicket(value: unknown): ParsedTicket {
    const result = ticketSchema.safeParse(value);
    return result.success
        ? { kind: "ticket", ticket: result.data as Ticket }
        : { kind: "problems", problems: describeIssues(result.error) };
}

export function isEntityKind(text: string): text is EntityKind {
    return Object.hasOwn(entitySchemas, text);
}

/** Highest number of a ticket that changed an entity of the configuration; 0 when there is none. */
export function highestTicketNumber(snapshot: ConfigurationSnapshot): number {
    let highest = 0;
    for (const number of snapshot.touchedBy.values()) {
        highest = Math.max(highest, number);
    }
    return highest;
}

/**
 * Maps a failure of `apply` to the outcome of the ticket. An `OutsideServiceError` with outcome
 * `not-applied` does not show that the ticket was rejected: it concerns a single call, which may be a read
 * after the write of the ticket.
 */
function failureOutcome(error: unknown): TicketOutcome {
    const detail = error instanceof Error ? error.message : String(error);
    return error instanceof RouterError && error.verdict === "not-run"
        ? { kind: "refused", reason: "unavailable", detail }
        : { kind: "unknown", detail };
}

/** Applies a ticket. A timeout gives the outcome `unknown`, and so does a failure other than a rejection. */
export async function submitTicket(author: TicketProposer, ticket: Ticket): Promise<TicketOutcome> {
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<TicketOutcome>(resolve => {
        timer = setTimeout(
            () =>
                resolve({
                    kind: "unknown",
                    detail: `no outcome within ${RESPONSE_TIMEOUT_MILLISECONDS} ms; read the ticket back`,
                }),
            RESPONSE_TIMEOUT_MILLISECONDS,
        );
    });
    try {
        return await Promise.race([author.apply(ticket), timeout]);
    }
    catch (error) {
        return failureOutcome(error);
    }
    finally {
        clearTimeout(timer);
    }
}

/** Body of `POST /rollouts/NAME/halt`. */
export const haltSchema = z.strictObject({ number: z.int().positive().optional() });
