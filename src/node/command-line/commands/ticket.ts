/** `geraniumbarrow ticket check|apply|show` */
import { Command, Option } from "clipanion";
import { BaseCommand, parsePositiveInteger } from "../base-command.js";
import { problemError, readResource, toText, toUnreachableError } from "../client.js";
import type { OperatorsClient, OperatorsResponse } from "../client.js";
import { CommandError, EXIT_CODES_HELP, EXIT_REJECTED, EXIT_SUCCESS } from "../exit-codes.js";
import type { ExitCode } from "../exit-codes.js";
import { formatTable } from "../format.js";
import { TicketCommand } from "../ticket-command.js";

export class TicketCheckCommand extends BaseCommand {
    static override readonly paths = [["ticket", "check"]];
    static override readonly usage = Command.Usage({
        category: "Tickets",
        description: "Check a ticket without applying it",
        details: `
            Checks the format of the ticket locally, and its changes at the node. A ticket that passes can
            still be rejected later, if other tickets are accepted before it.

            ${EXIT_CODES_HELP}
        `,
        examples: [
            ["Check a file", "$0 ticket check ticket-17.json"],
            ["Check standard input", "$0 ticket check -"],
        ],
    });
    readonly file = Option.String({ name: "FILE" });

    override async perform(client: OperatorsClient): Promise<ExitCode> {
        const ticket = await this.readTicket(this.file);
        let response: OperatorsResponse;
        try {
            response = await client.post("/tickets/check", ticket);
        }
        catch (error) {
            throw toUnreachableError(error);
        }
        if (response.status !== 200) {
            throw problemError(response);
        }
        if (!Array.isArray(response.body.problems)) {
            throw new CommandError(
                "the response of the node has no list of problems",
                EXIT_REJECTED,
                "unexpected-answer",
            );
        }
        const problems = response.body.problems.map(toText);
        const text =
            problems.length === 0
                ? `Ticket ${ticket.number} has no problems`
                : [`Ticket ${ticket.number} would be rejected:`, ...problems.map(line => `  ${line}`)].join(
                      "\n",
                  );
        this.print({ ticket: ticket.number, problems }, text);
        return problems.length === 0 ? EXIT_SUCCESS : EXIT_REJECTED;
    }
}

export class TicketApplyCommand extends TicketCommand {
    static override readonly paths = [["ticket", "apply"]];
    static override readonly usage = Command.Usage({
        category: "Tickets",
        description: "Apply a ticket",
        details: `
            Prints the outcome: accepted, refused or unknown. If the response is lost, the ticket is read
            back; if it is not found, the outcome is unknown. Applying the same ticket again has the same
            result.

            ${EXIT_CODES_HELP} With --wait, 3 also means that the ticket was accepted but is not confirmed to
            be in force at every node.
        `,
        examples: [
            ["Apply a ticket", "$0 ticket apply ticket-17.json"],
            ["Wait until it is in force everywhere", "$0 ticket apply ticket-17.json --wait"],
        ],
    });
    readonly file = Option.String({ name: "FILE" });

    override async perform(client: OperatorsClient): Promise<ExitCode> {
        return this.submitTicket(client, await this.readTicket(this.file));
    }
}

function changeRow(change: unknown): readonly unknown[] {
    const { kind, name, state } = (change ?? {}) as Record<string, unknown>;
    return [kind, name, state === undefined ? "removed" : JSON.stringify(state)];
}

export class TicketShowCommand extends BaseCommand {
    static override readonly paths = [["ticket", "show"]];
    static override readonly usage = Command.Usage({
        category: "Tickets",
        description: "Show an accepted ticket",
        details: `
            The exit code is 1 for a ticket that was not accepted. If its outcome was unknown, it may still be
            accepted later.

            ${EXIT_CODES_HELP}
        `,
        examples: [["Show ticket 17", "$0 ticket show 17"]],
    });
    readonly ticket = Option.String({ name: "N" });

    override async perform(client: OperatorsClient): Promise<ExitCode> {
        const number = parsePositiveInteger(this.ticket, "the ticket number");
        const accepted = await readResource(client, `/tickets/${number}`);
        const { changes } = (accepted.ticket ?? {}) as { readonly changes?: unknown };
        const rows = Array.isArray(changes) ? changes.map(changeRow) : [];
        this.print(
            accepted,
            `Ticket ${number} accepted at revision ${toText(accepted.revision)}\n` +
                formatTable(["KIND", "NAME", "STATE"], rows),
        );
        return EXIT_SUCCESS;
    }
}
