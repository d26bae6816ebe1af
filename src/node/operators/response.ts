/** Responses of the operator routes, and the conversion of errors to `application/problem+json`. */
import type { ServerResponse } from "node:http";
import { STATUS_CODES } from "node:http";
import type { TicketOutcome } from "../configuration/configuration.js";
import { OutsideServiceError } from "../outside-services/table-service.js";
import type { Verdict } from "../verdict/verdict.js";
import { RouterError, createRejection } from "../verdict/verdict.js";

export interface RouteResponse {
    readonly status: number;
    readonly body: object;
    readonly headers?: Readonly<Record<string, string>>;
}

/** Problem details of RFC 9457 with the extension members `code` and `verdict`. */
export interface Problem {
    readonly type: "about:blank";
    readonly title: string;
    readonly status: number;
    readonly detail: string;
    /** Stable machine-readable code, for example `body-too-large`. */
    readonly code: string;
    readonly verdict: Verdict;
}

type RejectionReason = Extract<TicketOutcome, { readonly kind: "refused" }>["reason"];

const REJECTION_STATUS: Readonly<Record<RejectionReason, number>> = {
    invalid: 422,
    "number-reused": 409,
    superseded: 409,
    conflict: 409,
    unavailable: 503,
};

function createProblem(status: number, code: string, detail: string, verdict: Verdict): Problem {
    return { type: "about:blank", title: STATUS_CODES[status] ?? "Error", status, detail, code, verdict };
}

export function ticketOutcomeResponse(ticket: number, outcome: TicketOutcome): RouteResponse {
    switch (outcome.kind) {
        case "accepted":
            return { status: 200, body: { ticket, outcome: "accepted", revision: outcome.revision } };
        case "refused": {
            const status = REJECTION_STATUS[outcome.reason];
            return {
                status,
                body: {
                    ...createProblem(status, outcome.reason, outcome.detail, "not-run"),
                    ticket,
                    outcome: "refused",
                    reason: outcome.reason,
                },
            };
        }
        case "unknown":
            return {
                status: 504,
                body: {
                    ...createProblem(504, "outcome-unknown", outcome.detail, "may-have-run"),
                    ticket,
                    outcome: "unknown",
                },
            };
    }
}

/** Converts an error of a route. Withholds the message of an unexpected error, which may expose internals. */
export function errorResponse(error: unknown): RouteResponse {
    if (error instanceof RouterError) {
        const headers: Record<string, string> = {};
        if (error.retryAfterSeconds !== undefined) {
            headers["retry-after"] = String(error.retryAfterSeconds);
        }
        if (error.status === 401) {
            headers["www-authenticate"] = "Bearer";
        }
        return {
            status: error.status,
            body: createProblem(error.status, error.code, error.message, error.verdict),
            headers,
        };
    }
    if (error instanceof OutsideServiceError) {
        const verdict = error.outcome === "not-applied" ? "not-run" : "may-have-run";
        return { status: 503, body: createProblem(503, "platform-unavailable", error.message, verdict) };
    }
    return {
        status: 500,
        body: createProblem(
            500,
            "internal-error",
            "the node failed; see its log for details",
            "may-have-run",
        ),
    };
}

/** Creates the error of a route whose capability the node does not provide. */
export function notAvailableError(capability: string): RouterError {
    return createRejection(501, "not-available", `this node does not provide ${capability}`);
}

export function sendResponse(response: ServerResponse, routeResponse: RouteResponse): void {
    if (response.headersSent || response.destroyed) {
        return;
    }
    const body = Buffer.from(JSON.stringify(routeResponse.body) + "\n");
    response.writeHead(routeResponse.status, {
        "content-type": routeResponse.status < 400 ? "application/json" : "application/problem+json",
        "content-length": body.length,
        "cache-control": "no-store",
        ...routeResponse.headers,
    });
    response.end(body);
}
