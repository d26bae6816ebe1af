/** Tells from the head of a response what marks its end. */
import type { IncomingHttpHeaders } from "node:http";

/** Transfer codings of which the last is chunked; others end with the connection. */
const CHUNKED = /(^|,)\s*chunked\s*$/i;

const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** Whether a response has no body, whatever its headers say. */
export function isBodiless(method: string | undefined, status: number): boolean {
    return method === "HEAD" || BODILESS_STATUSES.has(status);
}

/** Whether the end of a response can be distinguished from the end of its connection. */
export function hasCertainEnd(
    method: string | undefined,
    status: number,
    headers: IncomingHttpHeaders,
): boolean {
    return (
        isBodiless(method, status) ||
        headers["content-length"] !== undefined ||
        CHUNKED.test(headers["transfer-encoding"] ?? "")
    );
}
