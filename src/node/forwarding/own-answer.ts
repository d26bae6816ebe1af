/** Answers of the router itself. */
import type { OutgoingHttpHeaders, ServerResponse } from "node:http";
import type { HeaderCodec } from "./protocol.js";

/** Sends an answer of the router itself. Cuts the connection when a part of another answer is out. */
export function sendOwnAnswer(
    response: ServerResponse,
    codec: HeaderCodec,
    attemptId: string | undefined,
    status: number,
    message: string,
    retryAfterSeconds?: number,
): void {
    if (response.headersSent) {
        // Without its end the answer cannot look complete.
        response.destroy();
        return;
    }
    const body = JSON.stringify({ error: message });
    const headers: OutgoingHttpHeaders = {
        ...codec.encodeOwnAnswer(attemptId),
        ...(retryAfterSeconds === undefined ? {} : { "retry-after": String(retryAfterSeconds) }),
        "content-type": "application/json",
        "content-length": Buffer.byteLength(body),
    };
    response.writeHead(status, headers);
    response.end(body);
}
