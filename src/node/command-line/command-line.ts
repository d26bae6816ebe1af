/** Command line of `geraniumbarrow`, as a function of its arguments and streams. */
import { readFileSync } from "node:fs";
import { Builtins, Cli } from "clipanion";
import type { BaseContext, Command } from "clipanion";
import { DrainCommand, RestoreCommand } from "./commands/data-centre.js";
import { ExplainCommand } from "./commands/explain.js";
import { BillsCommand, DumpCommand, StatusCommand } from "./commands/node.js";
import { RolloutHaltCommand, RolloutShowCommand } from "./commands/rollout.js";
import { TicketApplyCommand, TicketCheckCommand, TicketShowCommand } from "./commands/ticket.js";
import { EXIT_BAD_INPUT } from "./exit-codes.js";

/** Relative to the compiled file in dist/src/node/command-line. */
const PACKAGE_FILE = new URL("../../../../package.json", import.meta.url);

function packageVersion(): string {
    return (JSON.parse(readFileSync(PACKAGE_FILE, "utf8")) as { readonly version: string }).version;
}

function isTerminal(stream: object): boolean {
    return "isTTY" in stream && stream.isTTY === true;
}

/** Runs a command. Resolves to its exit code. */
export async function runCommandLine(
    argv: readonly string[],
    context: Partial<BaseContext> = {},
): Promise<number> {
    const complete: BaseContext = { ...Cli.defaultContext, ...context };
    const cli = Cli.from(
        [
            TicketCheckCommand,
            TicketApplyCommand,
            TicketShowCommand,
            StatusCommand,
            DumpCommand,
            DrainCommand,
            RestoreCommand,
            RolloutShowCommand,
            RolloutHaltCommand,
            BillsCommand,
            ExplainCommand,
            Builtins.HelpCommand,
            Builtins.VersionCommand,
        ],
        {
            binaryLabel: "geraniumbarrow",
            binaryName: "geraniumbarrow",
            binaryVersion: packageVersion(),
            enableColors: complete.env.NO_COLOR === undefined && isTerminal(complete.stdout),
        },
    );
    let command: Command;
    try {
        command = cli.process([...argv], complete);
    }
    catch (error) {
        // `cli.run` would return 1 for a usage error, which this program uses for a rejection.
        complete.stderr.write(cli.error(error as Error));
        return EXIT_BAD_INPUT;
    }
    return cli.run(command, complete);
}
