/** Marks the responses that a helper generates itself, so that they are not taken for an upstream's. */
import type { IncomingHttpHeaders } from "node:http";
import type { HeaderCodec, ResponseHead } from "../forwarding/protocol.js";

const ROUTER_RESPONSE_HEADER = "router-response";

/** Statuses of a router's response that do not exclude that the request ran. */
const UNCERTAIN_STATUSES: ReadonlySet<number> = new Set([500, 502, 504]);

/** Codec of the listener for requests of other nodes. */
export function createHelperCodec(codec: HeaderCodec): HeaderCodec {
    return {
        ...codec,
        encodeResponse: headers => ({
            ...codec.encodeResponse(headers),
            [ROUTER_RESPONSE_HEADER]: undefined,
        }),
        encodeRouterResponse: attemptId => ({
            ...codec.encodeRouterResponse(attemptId),
            [ROUTER_RESPONSE_HEADER]: "1",
        }),
    };
}

/** Decodes a helper's response. A response of its router says by its status whether the request ran. */
export function decodeHelperResponse(
    codec: HeaderCodec,
    status: number,
    headers: IncomingHttpHeaders,
): ResponseHead {
    const head = codec.decodeResponse(status, headers);
    const isRouterResponse = headers[ROUTER_RESPONSE_HEADER] !== undefined;
    return { ...head, isNotRun: isRouterResponse && !UNCERTAIN_STATUSES.has(status) };
}

/** Removes the mark from the headers of a response that goes to a caller. */
export function withoutRouterMark(headers: IncomingHttpHeaders): IncomingHttpHeaders {
    return { ...headers, [ROUTER_RESPONSE_HEADER]: undefined };
}
