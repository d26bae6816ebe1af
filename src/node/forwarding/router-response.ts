/** Responses that the router generates itself. */
import type { OutgoingHttpHeaders, ServerResponse } from "node:http";
import type { HeaderCodec } from "./protocol.js";

/** Sends a response of the router. Closes the connection instead when another response has begun. */
export function sendRouterResponse(
    response: ServerResponse,
    codec: HeaderCodec,
    attemptId: string | undefined,
    status: number,
    message: string,
    retryAfterSeconds?: number,
): void {
    if (response.headersSent) {
        // A response that lacks its end cannot be taken for a complete one.
        response.destroy();
        return;
    }
    const body = JSON.stringify({ error: message });
    const headers: OutgoingHttpHeaders = {
        ...codec.encodeRouterResponse(attemptId),
        ...(retryAfterSeconds === undefined ? {} : { "retry-after": String(retryAfterSeconds) }),
        "content-type": "application/json",
        "content-length": Buffer.byteLength(body),
    };
    response.writeHead(status, headers);
    response.end(body);
}
