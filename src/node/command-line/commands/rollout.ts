/** `geraniumbarrow rollout show|halt` */
import { Command, Option } from "clipanion";
import { BaseCommand } from "../base-command.js";
import { readResource } from "../client.js";
import type { OperatorsClient } from "../client.js";
import { CommandError, EXIT_BAD_INPUT, EXIT_CODES_HELP, EXIT_SUCCESS } from "../exit-codes.js";
import type { ExitCode } from "../exit-codes.js";
import { formatTable } from "../format.js";
import { EntityCommand } from "../ticket-command.js";

const COLUMNS = ["name", "model", "version", "state", "share", "reason"] as const;

export class RolloutShowCommand extends BaseCommand {
    static override readonly paths = [["rollout", "show"]];
    static override readonly usage = Command.Usage({
        category: "Rollouts",
        description: "Show rollouts",
        details: EXIT_CODES_HELP,
        examples: [
            ["Show all", "$0 rollout show"],
            ["Show one", "$0 rollout show inspection-v8"],
        ],
    });
    readonly rollout = Option.String({ name: "NAME", required: false });

    override async perform(client: OperatorsClient): Promise<ExitCode> {
        const response = await readResource(client, "/rollouts");
        const all = Array.isArray(response.rollouts) ? (response.rollouts as Record<string, unknown>[]) : [];
        const rollouts = all.filter(({ name }) => this.rollout === undefined || name === this.rollout);
        if (this.rollout !== undefined && rollouts.length === 0) {
            throw new CommandError(
                `rollout "${this.rollout}" does not exist`,
                EXIT_BAD_INPUT,
                "rollout-unknown",
            );
        }
        const rows = rollouts.map(rollout => COLUMNS.map(column => rollout[column]));
        const headings = COLUMNS.map(column => column.toUpperCase());
        this.print({ rollouts }, rows.length === 0 ? "No rollouts" : formatTable(headings, rows));
        return EXIT_SUCCESS;
    }
}

export class RolloutHaltCommand extends EntityCommand {
    static override readonly paths = [["rollout", "halt"]];
    static override readonly usage = Command.Usage({
        category: "Rollouts",
        description: "Halt a rollout",
        details: `
            Reads the state of the rollout from the node at the address, and applies a ticket with the
            complete new state. Without --number, the ticket number is one above the highest that the node
            knows.

            ${EXIT_CODES_HELP} With --wait, 3 also means that the ticket was accepted but is not confirmed to
            be in force at every node.
        `,
        examples: [["Halt a rollout", "$0 rollout halt inspection-v8"]],
    });
    readonly rollout = Option.String({ name: "NAME" });

    override perform(client: OperatorsClient): Promise<ExitCode> {
        return this.changeEntity(client, "rollout", this.rollout, state => ({ ...state, state: "halted" }));
    }
}
