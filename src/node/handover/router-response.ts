/**
 * Headers between nodes: they mark the responses that a helper generates itself, so that they are not taken for an
 * upstream's, and limit the attempts of a helper.
 */
import type { IncomingHttpHeaders } from "node:http";
import type { HeaderCodec, ResponseHead } from "../forwarding/protocol.js";

const ROUTER_RESPONSE_HEADER = "router-response";

/** Number of attempts that a helper may make. */
const ATTEMPTS_HEADER = "router-attempts";

/** Statuses of a router's response that do not exclude that the request ran. */
const UNCERTAIN_STATUSES: ReadonlySet<number> = new Set([500, 502, 504]);

function decodeMaximumAttempts(value: string | string[] | undefined): number | undefined {
    const attempts = Number(value);
    return Number.isInteger(attempts) && attempts > 0 ? attempts : undefined;
}

/** Headers of a handover that limit the attempts of the helper. */
export function encodeMaximumAttempts(attempts: number): Record<string, string> {
    return { [ATTEMPTS_HEADER]: String(attempts) };
}

/** Codec of the listener for requests of other nodes. */
export function createHelperCodec(codec: HeaderCodec): HeaderCodec {
    return {
        ...codec,
        decodeRequest: headers => ({
            ...codec.decodeRequest(headers),
            maximumAttempts: decodeMaximumAttempts(headers[ATTEMPTS_HEADER]),
        }),
        encodeRequest: (headers, fields) =>
            codec.encodeRequest({ ...headers, [ATTEMPTS_HEADER]: undefined }, fields),
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

/** Whether a helper has generated a response itself. */
export function isRouterResponse(headers: IncomingHttpHeaders): boolean {
    return headers[ROUTER_RESPONSE_HEADER] !== undefined;
}

/** Decodes a helper's response. A response of its router says by its status whether the request ran. */
export function decodeHelperResponse(
    codec: HeaderCodec,
    status: number,
    headers: IncomingHttpHeaders,
): ResponseHead {
    const head = codec.decodeResponse(status, headers);
    return { ...head, isNotRun: isRouterResponse(headers) && !UNCERTAIN_STATUSES.has(status) };
}

/** Removes the mark from the headers of a response that goes to a caller. */
export function withoutRouterMark(headers: IncomingHttpHeaders): IncomingHttpHeaders {
    return { ...headers, [ROUTER_RESPONSE_HEADER]: undefined };
}
