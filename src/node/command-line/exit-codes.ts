/** Exit codes of `geraniumbarrow`, and the error that ends a command with one of them. */

export const EXIT_SUCCESS = 0;
/**
 * The node rejected or failed the request, the ticket has problems, or a ticket or log line was not found.
 */
export const EXIT_REJECTED = 1;
/** An argument, a file or the operator key is invalid. */
export const EXIT_BAD_INPUT = 2;
/** The outcome of a ticket is unknown, or the ticket was not in force everywhere at the end of `--wait`. */
export const EXIT_UNKNOWN = 3;
/** The node could not be reached, or did not respond to a read-only request. */
export const EXIT_UNREACHABLE = 4;

export type ExitCode =
    | typeof EXIT_SUCCESS
    | typeof EXIT_REJECTED
    | typeof EXIT_BAD_INPUT
    | typeof EXIT_UNKNOWN
    | typeof EXIT_UNREACHABLE;

export const EXIT_CODES_HELP =
    "Exit codes: 0 done, 1 refused, 2 bad input, 3 outcome unknown, 4 node unreachable.";

/** Ends a command with a message and an exit code. */
export class CommandError extends Error {
    constructor(
        message: string,
        readonly exitCode: ExitCode,
        /** Machine-readable code, for example `ticket-malformed`. */
        readonly code: string,
    ) {
        super(message);
        this.name = "CommandError";
    }
}
