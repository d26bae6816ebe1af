/** Options and error handling of the commands that send requests to a node. */
import { readFileSync } from "node:fs";
import { text as readText } from "node:stream/consumers";
import { Command, Option } from "clipanion";
import type { Ticket } from "../configuration/entities.js";
import { parseTicket } from "../operators/tickets.js";
import { createOperatorsClient } from "./client.js";
import type { OperatorsClient } from "./client.js";
import { CommandError, EXIT_BAD_INPUT, EXIT_UNREACHABLE } from "./exit-codes.js";
import type { ExitCode } from "./exit-codes.js";

/** Creates the error for an invalid argument or an unusable file. */
export function badInputError(code: string, message: string): CommandError {
    return new CommandError(message, EXIT_BAD_INPUT, code);
}

function readFile(path: string, label: string): string {
    try {
        return readFileSync(path, "utf8");
    }
    catch (error) {
        throw badInputError("file-unreadable", `the ${label} cannot be read: ${(error as Error).message}`);
    }
}

/** @throws CommandError when the text is not an integer of at least 1 */
export function parsePositiveInteger(text: string, label: string): number {
    const number = /^[0-9]{1,16}$/.test(text) ? Number(text) : NaN;
    if (!Number.isSafeInteger(number) || number < 1) {
        throw badInputError("number", `${label} must be a whole number from 1, not "${text}"`);
    }
    return number;
}

export abstract class BaseCommand extends Command {
    readonly json = Option.Boolean("--json", false, { description: "Print one JSON object" });
    readonly address = Option.String("--address", {
        env: "GERANIUMBARROW_ADDRESS",
        description: "Base URL of the operators' server of a node",
    });
    readonly keyFile = Option.String("--key-file", {
        env: "GERANIUMBARROW_KEY_FILE",
        description: "File with the operator key",
    });
    readonly certificateFile = Option.String("--ca-file", {
        env: "GERANIUMBARROW_CA_FILE",
        description: "PEM file with the certificate that verifies the node",
    });

    /** Runs the command. @throws CommandError */
    abstract perform(client: OperatorsClient): Promise<ExitCode>;

    async execute(): Promise<ExitCode> {
        let client: OperatorsClient | undefined;
        try {
            client = this.createClient();
            return await this.perform(client);
        }
        catch (error) {
            if (!(error instanceof CommandError)) {
                throw error;
            }
            this.printError(error);
            return error.exitCode;
        }
        finally {
            await client?.close();
        }
    }

    /** Prints `data` as JSON with `--json`, otherwise `text`. */
    protected print(data: object, text: string): void {
        this.context.stdout.write(`${this.json ? JSON.stringify(data) : text}\n`);
    }

    private printError(error: CommandError): void {
        if (this.json) {
            this.context.stdout.write(
                `${JSON.stringify({ error: { code: error.code, detail: error.message } })}\n`,
            );
            return;
        }
        const prefix = error.exitCode === EXIT_UNREACHABLE ? "The node cannot be reached" : "Error";
        this.context.stderr.write(`${prefix}: ${error.message}\n`);
    }

    private createClient(): OperatorsClient {
        if (this.address === undefined) {
            throw badInputError("address", "set --address or GERANIUMBARROW_ADDRESS");
        }
        if (!URL.canParse(this.address) || !/^https?:/.test(this.address)) {
            throw badInputError("address", `the address must be an http or https URL, not "${this.address}"`);
        }
        if (this.keyFile === undefined) {
            throw badInputError("key-file", "set --key-file or GERANIUMBARROW_KEY_FILE");
        }
        const key = readFile(this.keyFile, "key file").trim();
        if (!/^[\x21-\x7e]+$/.test(key)) {
            throw badInputError(
                "key-file",
                `the key file ${this.keyFile} must contain exactly one key, without spaces`,
            );
        }
        return createOperatorsClient({
            address: this.address,
            key,
            ...(this.certificateFile === undefined
                ? {}
                : { certificateAuthority: readFile(this.certificateFile, "certificate file") }),
        });
    }

    /** Reads a ticket from a file, or from standard input for `-`. @throws CommandError */
    protected async readTicket(file: string): Promise<Ticket> {
        const content = file === "-" ? await readText(this.context.stdin) : readFile(file, "ticket file");
        let value: unknown;
        try {
            value = JSON.parse(content);
        }
        catch (error) {
            throw badInputError("ticket-malformed", `${file} is not JSON: ${(error as Error).message}`);
        }
        const parsed = parseTicket(value);
        if (parsed.kind === "problems") {
            throw badInputError("ticket-malformed", `${file}: ${parsed.problems.join("; ")}`);
        }
        return parsed.ticket;
    }
}
