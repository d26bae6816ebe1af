/** Base classes of the commands that submit a ticket and can wait until it is in force. */
import { Option } from "clipanion";
import type { EntityChange, EntityKind, EntityStates, Ticket } from "../configuration/entities.js";
import { entitySchemas } from "../configuration/entities.js";
import { BaseCommand, parsePositiveInteger } from "./base-command.js";
import { readResource } from "./client.js";
import type { OperatorsClient } from "./client.js";
import { CommandError, EXIT_REJECTED, EXIT_SUCCESS, EXIT_UNKNOWN } from "./exit-codes.js";
import type { ExitCode } from "./exit-codes.js";
import { submit, waitUntilInForce } from "./submit.js";
import type { PropagationStatus } from "./submit.js";

/** Timeout of `--wait`. Tickets are in force at every node within 5 s at the current number of nodes. */
const DEFAULT_WAIT_SECONDS = "30";

function describePropagation(propagation: PropagationStatus): string {
    if (propagation.nodes === undefined) {
        return `Propagation unknown: ${propagation.detail}`;
    }
    const missing = propagation.waitingFor?.join(", ") ?? "";
    return (
        `In force at ${propagation.inForce} of ${propagation.nodes} nodes` +
        (propagation.complete || missing === "" ? "" : `; not confirmed by ${missing}`)
    );
}

export abstract class TicketCommand extends BaseCommand {
    readonly wait = Option.Boolean("--wait", false, {
        description: "Wait until the ticket is in force at every node",
    });
    readonly waitSeconds = Option.String("--wait-seconds", DEFAULT_WAIT_SECONDS, {
        description: "Timeout of --wait in seconds",
    });

    /** Submits a ticket and prints its outcome. */
    protected async submitTicket(client: OperatorsClient, ticket: Ticket): Promise<ExitCode> {
        const timeoutMilliseconds = parsePositiveInteger(this.waitSeconds, "--wait-seconds") * 1000;
        const { outcome, readBack } = await submit(client, ticket);
        const { kind, ...fields } = outcome;
        const data = { ticket: ticket.number, outcome: kind, ...fields, readBack };
        const note = readBack ? " (no definite response was received; the ticket was read back)" : "";
        switch (outcome.kind) {
            case "accepted": {
                const text = `Ticket ${ticket.number} accepted at revision ${outcome.revision}${note}`;
                if (!this.wait) {
                    this.print(data, text);
                    return EXIT_SUCCESS;
                }
                const propagation = await waitUntilInForce(client, ticket.number, timeoutMilliseconds);
                this.print({ ...data, reach: propagation }, `${text}\n${describePropagation(propagation)}`);
                return propagation.complete ? EXIT_SUCCESS : EXIT_UNKNOWN;
            }
            case "refused":
                this.print(
                    data,
                    `Ticket ${ticket.number} refused, ${outcome.reason}: ${outcome.detail}${note}`,
                );
                return EXIT_REJECTED;
            case "unknown":
                this.print(
                    data,
                    `Outcome of ticket ${ticket.number} unknown: ${outcome.detail}\n` +
                        `It may still be accepted. See "geraniumbarrow ticket show ${ticket.number}"; ` +
                        "applying the same ticket again is safe.",
                );
                return EXIT_UNKNOWN;
        }
    }
}

/** Base class of the commands that change one entity, with a ticket that contains its complete new state. */
export abstract class EntityCommand extends TicketCommand {
    readonly number = Option.String("--number", {
        description: "Ticket number; by default one above the highest that the node knows",
    });

    /** Reads the state of an entity and submits the ticket that replaces it with the result of `change`. */
    protected async changeEntity<Kind extends EntityKind>(
        client: OperatorsClient,
        kind: Kind,
        name: string,
        change: (state: EntityStates[Kind]) => EntityStates[Kind],
    ): Promise<ExitCode> {
        const requestedNumber =
            this.number === undefined ? undefined : parsePositiveInteger(this.number, "--number");
        const entity = await readResource(client, `/entities/${kind}/${encodeURIComponent(name)}`);
        const state = entitySchemas[kind].safeParse(entity.state);
        const highest = entity.highestTicket;
        if (!state.success || typeof highest !== "number") {
            throw new CommandError(
                `the node returned ${kind} "${name}" in a format that this version does not support`,
                EXIT_REJECTED,
                "unexpected-answer",
            );
        }
        const newState = change(state.data as unknown as EntityStates[Kind]);
        return this.submitTicket(client, {
            number: requestedNumber ?? highest + 1,
            changes: [{ kind, name, state: newState } as EntityChange],
        });
    }
}
