/** HTTP/1.1 header rules that are not specific to the router. */
import type { IncomingHttpHeaders } from "node:http";

/** Headers that apply to a single connection and must not be forwarded (RFC 9110, section 7.6.1). */
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

/** Returns the headers without connection headers and those that the Connection header names. */
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
