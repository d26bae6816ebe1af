/** Responses that the router generates itself. */
import type { OutgoingHttpHeaders, ServerResponse } from "node:http";
import { delay } from "../common/clock.js";
import { resetConnection } from "../common/reset-connection.js";
import type { HeaderCodec } from "./protocol.js";

/**
 * Time for a caller to read what was sent before its connection is reset, milliseconds. Common clients, such as
 * those on libuv, take a reset for a regular end while bytes before it are unread.
 */
const RESET_DELAY_MILLISECONDS = 50;

/** Ends a response that lacks its end, so that the caller does not take it for a complete one. */
export async function abortResponse(response: ServerResponse): Promise<void> {
    const { socket } = response;
    if (response.chunkedEncoding || socket === null) {
        response.destroy();
        return;
    }
    // Without chunks, the regular end of the connection would be the end of the response.
    await delay(RESET_DELAY_MILLISECONDS);
    resetConnection(socket);
}

/**
 * Sends a response of the router. Closes the connection instead when another response has begun.
 *
 * @param end Writes the body and ends the response. @default at once
 */
export function sendRouterResponse(
    response: ServerResponse,
    codec: HeaderCodec,
    attemptId: string | undefined,
    status: number,
    message: string,
    retryAfterSeconds?: number,
    end: (response: ServerResponse, body: string) => void = (_response, body) => response.end(body),
): void {
    if (response.headersSent) {
        void abortResponse(response);
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
    end(response, body);
}
