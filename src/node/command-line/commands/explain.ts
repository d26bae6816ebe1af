/** `geraniumbarrow explain` */
import { readFileSync } from "node:fs";
import { Command, Option } from "clipanion";
import { explainRequest, parseLog } from "../../logging/explain.js";
import { EXIT_BAD_INPUT, EXIT_DONE, EXIT_REFUSED } from "../exit-codes.js";
import type { ExitCode } from "../exit-codes.js";

export class ExplainCommand extends Command {
    static override readonly paths = [["explain"]];
    static override readonly usage = Command.Usage({
        category: "Requests",
        description: "Explain how a request on the platform ended",
        details: `
            Reads the log files of router nodes and prints what became of the request at each node that has lines
            of it. Exit codes: 0 found, 1 no line of the request, 2 a file cannot be read.
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
            const story = explainRequest(this.request, parseLog(text));
            if (story !== undefined) {
                found = true;
                this.context.stdout.write(`${file}: ${story.join("\n")}\n\n`);
            }
        }
        if (!found) {
            this.context.stderr.write(
                `no line of request "${this.request}" in ${this.files.length} files; requests that went as usual ` +
                    "are logged up to a limit a second\n",
            );
        }
        return found ? EXIT_DONE : EXIT_REFUSED;
    }
}
