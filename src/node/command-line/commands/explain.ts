/** `geraniumbarrow explain` */
import { readFileSync } from "node:fs";
import { Command, Option } from "clipanion";
import { explainRequest, parseLog } from "../../logging/explain.js";
import { EXIT_BAD_INPUT, EXIT_REJECTED, EXIT_SUCCESS } from "../exit-codes.js";
import type { ExitCode } from "../exit-codes.js";

export class ExplainCommand extends Command {
    static override readonly paths = [["explain"]];
    static override readonly usage = Command.Usage({
        category: "Requests",
        description: "Explain how a request on the platform ended",
        details: `
            Reads the log files of router nodes and explains how each node that logged the request handled it.
            Exit codes: 0 found, 1 no line of the request, 2 a file cannot be read.
        `,
        examples: [["Explain a request", "$0 explain 7fd15013b9555b54 node-1.log node-2.log"]],
    });
    readonly request = Option.String({ name: "REQUEST-ID" });
    readonly files = Option.Rest({ name: "LOG-FILE", required: 1 });

    override async execute(): Promise<ExitCode> {
        let found = false;
        for (const file of this.files) {
            let text: string;
            try {
                text = readFileSync(file, "utf8");
            }
            catch (error) {
                this.context.stderr.write(`the log file cannot be read: ${(error as Error).message}\n`);
                return EXIT_BAD_INPUT;
            }
            const explanation = explainRequest(this.request, parseLog(text));
            if (explanation !== undefined) {
                found = true;
                this.context.stdout.write(`${file}: ${explanation.join("\n")}\n\n`);
            }
        }
        if (!found) {
            this.context.stderr.write(
                `no line of request "${this.request}" in ${this.files.length} files; requests that ended ` +
                    "normally are logged only up to a limit per second\n",
            );
        }
        return found ? EXIT_SUCCESS : EXIT_REJECTED;
    }
}
