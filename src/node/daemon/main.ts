#!/usr/bin/env node
/** Entry point of `geraniumbarrowd`. */
import { Builtins, Cli, Command, Option } from "clipanion";
import { ComponentError } from "../lifecycle/lifecycle.js";
import { SettingsError, readConfig } from "../settings/settings.js";
import type { ResolvedConfig } from "../settings/settings.js";
import { createDaemon } from "./daemon.js";

const EXIT_START_FAILED = 1;
const EXIT_INVALID_SETTINGS = 2;

class DaemonCommand extends Command {
    static override paths = [Command.Default];
    static override usage = Command.Usage({
        description: "Runs a node of geraniumbarrow.",
        details:
            "Runs until SIGTERM or SIGINT, then finishes the running requests and stops. A second signal " +
            "ends the process immediately. Exit codes: 0 stopped, 1 could not start, 2 invalid settings.",
        examples: [
            ["Run a node", "$0 --settings /etc/geraniumbarrow/node.ini"],
            ["Check the settings", "$0 --check --settings /etc/geraniumbarrow/node.ini"],
        ],
    });

    settings = Option.String("--settings", { required: true, description: "Path of the INI settings file." });
    check = Option.Boolean("--check", false, { description: "Check the settings and exit." });

    async execute(): Promise<number> {
        let config: ResolvedConfig;
        try {
            config = readConfig(this.settings);
        }
        catch (error) {
            if (error instanceof SettingsError) {
                this.context.stderr.write(`${error.message}\n`);
                return EXIT_INVALID_SETTINGS;
            }
            throw error;
        }
        if (this.check) {
            this.context.stdout.write(`${this.settings}: the settings are valid\n`);
            return 0;
        }
        return this.run(config);
    }

    private async run(config: ResolvedConfig): Promise<number> {
        const daemon = createDaemon(config);
        try {
            await daemon.start();
        }
        catch (error) {
            if (error instanceof ComponentError) {
                this.context.stderr.write(`${error.message}\n`);
                return EXIT_START_FAILED;
            }
            throw error;
        }
        await new Promise<void>(resolve => {
            process.once("SIGTERM", resolve);
            process.once("SIGINT", resolve);
        });
        const exitNow = (): void => process.exit(EXIT_START_FAILED);
        process.once("SIGTERM", exitNow);
        process.once("SIGINT", exitNow);
        await daemon.stop();
        return 0;
    }
}

const cli = new Cli({ binaryName: "geraniumbarrowd", binaryLabel: "geraniumbarrow daemon" });
cli.register(DaemonCommand);
cli.register(Builtins.HelpCommand);
process.exitCode = await cli.run(process.argv.slice(2), Cli.defaultContext);
// Idle keep-alive sockets of libraries would otherwise keep the stopped process alive.
process.exit();
