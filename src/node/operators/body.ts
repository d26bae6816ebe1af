/** Reads JSON request bodies with limits on size and nesting. */
import type { IncomingMessage } from "node:http";
import { jsonDepth } from "../common/json.js";
import { createRejection } from "../verdict/verdict.js";
import { MAXIMUM_BODY_BYTES, MAXIMUM_JSON_DEPTH } from "./constants.js";

async function readBytes(message: IncomingMessage): Promise<Buffer> {
    const tooLarge = createRejection(413, "body-too-large", `the body exceeds ${MAXIMUM_BODY_BYTES} bytes`);
    if (Number(message.headers["content-length"] ?? 0) > MAXIMUM_BODY_BYTES) {
        throw tooLarge;
    }
    const chunks: Buffer[] = [];
    let size = 0;
    // `for await` would destroy the connection on an error, so that no response could be sent.
    return new Promise((resolve, reject) => {
        message.on("data", (chunk: Buffer) => {
            size += chunk.length;
            if (size > MAXIMUM_BODY_BYTES) {
                message.removeAllListeners("data");
                message.resume();
                reject(tooLarge);
                return;
            }
            chunks.push(chunk);
        });
        message.once("end", () => resolve(Buffer.concat(chunks)));
        message.once("error", () =>
            reject(
                createRejection(400, "body-incomplete", "the connection closed before the end of the body"),
            ),
        );
    });
}

function checkHeaders(message: IncomingMessage): void {
    const type = message.headers["content-type"]?.split(";")[0]?.trim().toLowerCase();
    if (type !== "application/json") {
        throw createRejection(415, "content-type", 'the body must have "Content-Type: application/json"');
    }
    const encoding = message.headers["content-encoding"];
    if (encoding !== undefined && encoding !== "identity") {
        throw createRejection(415, "content-encoding", "compressed bodies are not supported");
    }
}

function parseJson(bytes: Buffer): unknown {
    let value: unknown;
    try {
        value = JSON.parse(new TextDecoder("utf-8", { fatal: true }).decode(bytes));
    }
    catch (error) {
        throw createRejection(400, "body-not-json", `the body is not JSON: ${(error as Error).message}`);
    }
    if (jsonDepth(value, MAXIMUM_JSON_DEPTH + 1) > MAXIMUM_JSON_DEPTH) {
        throw createRejection(
            400,
            "json-too-deep",
            `the body is nested more than ${MAXIMUM_JSON_DEPTH} levels deep`,
        );
    }
    return value;
}

/** @throws RouterError with a 4xx status */
export async function readJsonBody(message: IncomingMessage): Promise<unknown> {
    checkHeaders(message);
    return parseJson(await readBytes(message));
}

/** Resolves to `undefined` when the request has no body. @throws RouterError with a 4xx status */
export async function readOptionalJsonBody(message: IncomingMessage): Promise<unknown> {
    if (message.headers["transfer-encoding"] === undefined) {
        if (Number(message.headers["content-length"] ?? 0) === 0) {
            return undefined;
        }
    }
    return readJsonBody(message);
}
