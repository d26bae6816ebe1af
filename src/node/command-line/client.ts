/** Client of a node's HTTP server for operators. */
import { Agent, request } from "undici";
import { CommandError, EXIT_BAD_INPUT, EXIT_REJECTED, EXIT_UNREACHABLE } from "./exit-codes.js";

const CONNECT_TIMEOUT_MILLISECONDS = 5000;

/** A node responds within 26 s: at most 10 s to receive the request and 16 s to serve it. */
const RESPONSE_TIMEOUT_MILLISECONDS = 30_000;

/** Codes of errors that occur before any byte of the request is sent. */
const NOT_SENT_CODES: readonly string[] = [
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "ENOTFOUND",
    "EAI_AGAIN",
    "UND_ERR_CONNECT_TIMEOUT",
    "CERT_HAS_EXPIRED",
    "DEPTH_ZERO_SELF_SIGNED_CERT",
    "ERR_SSL_WRONG_VERSION_NUMBER",
    "ERR_TLS_CERT_ALTNAME_INVALID",
    "SELF_SIGNED_CERT_IN_CHAIN",
    "UNABLE_TO_GET_ISSUER_CERT_LOCALLY",
    "UNABLE_TO_VERIFY_LEAF_SIGNATURE",
];

/** Parsed JSON object. Its members are validated where they are used. */
export type ResponseBody = Readonly<Record<string, unknown>>;

export interface OperatorsResponse {
    readonly status: number;
    readonly body: ResponseBody;
}

/** The node sent no response, or one that is not a JSON object. */
export class NoResponseError extends Error {
    constructor(
        message: string,
        /** Whether the node may have received the request. */
        readonly mayHaveRun: boolean,
        options?: ErrorOptions,
    ) {
        super(message, options);
        this.name = "NoResponseError";
    }
}

export interface OperatorsClient {
    /** @throws NoAnswerError */
    get(path: string): Promise<OperatorsResponse>;
    /** @throws NoAnswerError */
    post(path: string, body: unknown): Promise<OperatorsResponse>;
    close(): Promise<void>;
}

export interface ClientOptions {
    /** Base URL of the node's HTTP server for operators. */
    readonly address: string;
    readonly key: string;
    /** Trusted certificate that verifies the node, PEM. By default, the CAs of Node.js apply. */
    readonly certificateAuthority?: string;
}

function parseObject(text: string): ResponseBody | undefined {
    try {
        const value: unknown = JSON.parse(text);
        return typeof value === "object" && value !== null && !Array.isArray(value)
            ? (value as ResponseBody)
            : undefined;
    }
    catch {
        return undefined;
    }
}

export function createOperatorsClient(options: ClientOptions): OperatorsClient {
    const agent = new Agent({
        connect: {
            timeout: CONNECT_TIMEOUT_MILLISECONDS,
            ...(options.certificateAuthority === undefined ? {} : { ca: options.certificateAuthority }),
        },
        headersTimeout: RESPONSE_TIMEOUT_MILLISECONDS,
        bodyTimeout: RESPONSE_TIMEOUT_MILLISECONDS,
    });

    const send = async (method: "GET" | "POST", path: string, body?: unknown): Promise<OperatorsResponse> => {
        let status: number;
        let text: string;
        try {
            const response = await request(new URL(path, options.address), {
                method,
                dispatcher: agent,
                headers: {
                    authorization: `Bearer ${options.key}`,
                    ...(body === undefined ? {} : { "content-type": "application/json" }),
                },
                ...(body === undefined ? {} : { body: JSON.stringify(body) }),
            });
            status = response.statusCode;
            text = await response.body.text();
        }
        catch (error) {
            const code = (error as NodeJS.ErrnoException).code ?? "";
            throw new NoResponseError(
                `${options.address}: ${(error as Error).message || code}`,
                !NOT_SENT_CODES.includes(code),
                { cause: error },
            );
        }
        const parsed = parseObject(text);
        if (parsed === undefined) {
            throw new NoResponseError(
                `${options.address} responded with status ${status} without a JSON object`,
                true,
            );
        }
        return { status, body: parsed };
    };

    return {
        get: path => send("GET", path),
        post: (path, body) => send("POST", path, body),
        close: () => agent.destroy(),
    };
}

export function toText(value: unknown): string {
    return typeof value === "string" ? value : (JSON.stringify(value) ?? "");
}

/** Converts an error response to the error that ends the command. */
export function problemError(response: OperatorsResponse): CommandError {
    const detail = toText(response.body.detail ?? `the node responded with status ${response.status}`);
    const code = toText(response.body.code ?? "unexpected-answer");
    // A ticket that was not accepted yet is a valid result, not an error in the input.
    const isBadInput = response.status < 500 && code !== "ticket-not-accepted";
    return new CommandError(detail, isBadInput ? EXIT_BAD_INPUT : EXIT_REJECTED, code);
}

/** @throws CommandError when the node cannot be reached or responds with a status other than 200 */
export async function readResource(client: OperatorsClient, path: string): Promise<ResponseBody> {
    let response: OperatorsResponse;
    try {
        response = await client.get(path);
    }
    catch (error) {
        throw toUnreachableError(error);
    }
    if (response.status !== 200) {
        throw problemError(response);
    }
    return response.body;
}

/** Converts the failure of a request that changes nothing to the error that ends the command. */
export function toUnreachableError(error: unknown): unknown {
    return error instanceof NoResponseError
        ? new CommandError(error.message, EXIT_UNREACHABLE, "node-unreachable")
        : error;
}
