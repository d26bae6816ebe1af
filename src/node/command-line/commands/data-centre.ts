/** `geraniumbarrow drain` and `restore` */
import { Command, Option } from "clipanion";
import type { OperatorsClient } from "../client.js";
import { EXIT_CODES_HELP } from "../exit-codes.js";
import type { ExitCode } from "../exit-codes.js";
import { EntityCommand } from "../ticket-command.js";

const DETAILS = `
    Reads the state of the data centre from the node at the address, and applies a ticket with the complete
    new state. Without --number, the ticket number is one above the highest that the node knows.

    ${EXIT_CODES_HELP} With --wait, 3 also means that the ticket was accepted but is not confirmed to be in
    force at every node.
`;

export class DrainCommand extends EntityCommand {
    static override readonly paths = [["drain"]];
    static override readonly usage = Command.Usage({
        category: "Data centres",
        description: "Take a data centre out of service",
        details: DETAILS,
        examples: [
            ["Drain patio and wait until it is in force", "$0 drain patio --wait"],
            ["Use a ticket number", "$0 drain patio --number 18"],
        ],
    });
    readonly dataCentre = Option.String({ name: "DATA-CENTRE" });

    override perform(client: OperatorsClient): Promise<ExitCode> {
        return this.changeEntity(client, "dataCentre", this.dataCentre, state => ({
            ...state,
            state: "drained",
        }));
    }
}

export class RestoreCommand extends EntityCommand {
    static override readonly paths = [["restore"]];
    static override readonly usage = Command.Usage({
        category: "Data centres",
        description: "Return a data centre to service",
        details: DETAILS,
        examples: [["Restore patio", "$0 restore patio"]],
    });
    readonly dataCentre = Option.String({ name: "DATA-CENTRE" });

    override perform(client: OperatorsClient): Promise<ExitCode> {
        return this.changeEntity(client, "dataCentre", this.dataCentre, state => ({
            ...state,
            state: "active",
        }));
    }
}
