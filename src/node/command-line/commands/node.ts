/** `geraniumbarrow status`, `dump` and `bills` */
import { Command, Option } from "clipanion";
import { BaseCommand } from "../base-command.js";
import { readResource } from "../client.js";
import type { OperatorsClient } from "../client.js";
import { EXIT_CODES_HELP, EXIT_SUCCESS } from "../exit-codes.js";
import type { ExitCode } from "../exit-codes.js";
import { formatFields, formatTable } from "../format.js";

/** Appends the parameters that are not `undefined`. */
function withQuery(path: string, query: Readonly<Record<string, string | undefined>>): string {
    const parameters = new URLSearchParams();
    for (const [name, value] of Object.entries(query)) {
        if (value !== undefined) {
            parameters.set(name, value);
        }
    }
    return parameters.size === 0 ? path : `${path}?${parameters.toString()}`;
}

export class StatusCommand extends BaseCommand {
    static override readonly paths = [["status"]];
    static override readonly usage = Command.Usage({
        category: "Nodes",
        description: "Show the state of a node",
        details: EXIT_CODES_HELP,
        examples: [["Show the node at an address", "$0 status --address http://127.0.0.1:7002"]],
    });

    override async perform(client: OperatorsClient): Promise<ExitCode> {
        const status = await readResource(client, "/status");
        this.print(status, formatFields(status));
        return EXIT_SUCCESS;
    }
}

export class DumpCommand extends BaseCommand {
    static override readonly paths = [["dump"]];
    static override readonly usage = Command.Usage({
        category: "Nodes",
        description: "Print the tables of a node, without secrets",
        details: `
            Prints JSON, indented unless --json is set. Without NODE, prints the tables of the node at the
            address.

            ${EXIT_CODES_HELP}
        `,
        examples: [
            ["Print all tables", "$0 dump"],
            ["Print one table of another node", "$0 dump entry-3 --table upstreams"],
        ],
    });
    readonly node = Option.String({ name: "NODE", required: false });
    readonly table = Option.String("--table", { description: "Print only this table" });

    override async perform(client: OperatorsClient): Promise<ExitCode> {
        const dump = await readResource(client, withQuery("/dump", { node: this.node, table: this.table }));
        this.print(dump, JSON.stringify(dump, undefined, 2));
        return EXIT_SUCCESS;
    }
}

const BILL_COLUMNS = [
    "workspace",
    "target",
    "version",
    "requests",
    "promptTokens",
    "completionTokens",
    "cost",
] as const;

export class BillsCommand extends BaseCommand {
    static override readonly paths = [["bills"]];
    static override readonly usage = Command.Usage({
        category: "Bills",
        description: "Show the totals of the bills of a period",
        details: `
            Times are dates, or times with a time zone. The period starts today at 00:00 UTC unless --from is
            set, and ends now unless --to is set.

            ${EXIT_CODES_HELP}
        `,
        examples: [
            ["Bills of today", "$0 bills"],
            ["Bills of January", "$0 bills --from 2026-01-01 --to 2026-02-01"],
        ],
    });
    readonly from = Option.String("--from", { description: "Start of the period, inclusive" });
    readonly to = Option.String("--to", { description: "End of the period, exclusive" });

    override async perform(client: OperatorsClient): Promise<ExitCode> {
        const from = this.from ?? new Date().toISOString().slice(0, "2026-01-01".length);
        const response = await readResource(client, withQuery("/bills", { from, to: this.to }));
        const bills = Array.isArray(response.bills) ? (response.bills as Record<string, unknown>[]) : [];
        const rows = bills.map(bill => BILL_COLUMNS.map(column => bill[column]));
        const headings = BILL_COLUMNS.map(column => column.replace(/[A-Z]/g, " $&").toUpperCase());
        this.print(response, rows.length === 0 ? "No bills" : formatTable(headings, rows));
        return EXIT_SUCCESS;
    }
}
