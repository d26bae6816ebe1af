/** Tickets as operators send them: shape check, numbers, and tickets that the node makes itself. */
import { z } from "zod";
import type { TicketProposer, TicketOutcome } from "../configuration/configuration.js";
import { entitySchemas, ticketSchema } from "../configuration/entities.js";
import type { EntityKind, Ticket } from "../configuration/entities.js";
import type { ConfigurationSnapshot } from "../configuration/snapshot.js";
import { RouterError } from "../verdict/verdict.js";
import { ANSWER_TIMEOUT_MILLISECONDS } from "./constants.js";

/** Problems shown of one ticket; the first ones are enough to correct it. */
const MAXIMUM_SHOWN_PROBLEMS = 20;

export type ParsedTicket =
    | { readonly kind: "ticket"; readonly ticket: Ticket }
    | { readonly kind: "problems"; readonly problems: readonly string[] };

function describePath(path: readonly PropertyKey[]): string {
    return path.reduce<string>(
        (text, part) =>
            typeof part === "number" ? `${text}[${part}]` : `${text}${text === "" ? "" : "."}${String(part)}`,
        "",
    );
}

/** Describes schema issues, each with the path of the value. */
export function describeIssues(error: z.ZodError): readonly string[] {
    return error.issues.slice(0, MAXIMUM_SHOWN_PROBLEMS).map(issue => {
        const path = describePath(issue.path);
        return path === "" ? issue.message : `${path}: ${issue.message}`;
    });
}

/** Checks the shape of a ticket. */
export function parseTicket(value: unknown): ParsedTicket {
    const result = ticketSchema.safeParse(value);
    return result.success
        ? { kind: "ticket", ticket: result.data as Ticket }
        : { kind: "problems", problems: describeIssues(result.error) };
}

export function isEntityKind(text: string): text is EntityKind {
    return Object.hasOwn(entitySchemas, text);
}

/** Returns the highest ticket number that touched an entity of the configuration; 0 when there is none. */
export function highestTicketNumber(snapshot: ConfigurationSnapshot): number {
    let highest = 0;
    for (const number of snapshot.touchedBy.values()) {
        highest = Math.max(highest, number);
    }
    return highest;
}

/**
 * Maps a failure of `apply` to what is known of the ticket. A `PlatformError` says only whether one call had an
 * effect, and it may come from a read that followed the write, so it is not taken for a refusal.
 */
function failureOutcome(error: unknown): TicketOutcome {
    const detail = error instanceof Error ? error.message : String(error);
    return error instanceof RouterError && error.verdict === "not-run"
        ? { kind: "refused", reason: "unavailable", detail }
        : { kind: "unknown", detail };
}

/** Applies a ticket. A failure, or no answer in time, is `unknown` unless the error is a refusal. */
export async function submitTicket(author: TicketProposer, ticket: Ticket): Promise<TicketOutcome> {
    let timer: NodeJS.Timeout | undefined;
    const limit = new Promise<TicketOutcome>(resolve => {
        timer = setTimeout(
            () =>
                resolve({
                    kind: "unknown",
                    detail: `no outcome within ${ANSWER_TIMEOUT_MILLISECONDS} ms; read the ticket back`,
                }),
            ANSWER_TIMEOUT_MILLISECONDS,
        );
    });
    try {
        return await Promise.race([author.apply(ticket), limit]);
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
