/** Header rules of HTTP/1.1 that do not depend on what the headers mean to the router. */
import type { IncomingHttpHeaders } from "node:http";

/** Headers that concern one connection only (RFC 9110, section 7.6.1). */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
]);

/** Returns the headers that may be forwarded, without those that the Connection header names. */
export function withoutConnectionHeaders(headers: IncomingHttpHeaders): Record<string, string | string[]> {
    const named = new Set((headers.connection ?? "").split(",").map(name => name.trim().toLowerCase()));
    const kept: Record<string, string | string[]> = {};
    for (const [name, value] of Object.entries(headers)) {
        if (value !== undefined && !CONNECTION_HEADERS.has(name) && !named.has(name)) {
            kept[name] = value;
        }
    }
    return kept;
}
