/** Answers of the operators' routes, and how errors become `application/problem+json`. */
import type { ServerResponse } from "node:http";
import { STATUS_CODES } from "node:http";
import type { TicketOutcome } from "../configuration/configuration.js";
import { OutsideServiceError } from "../outside-services/table-service.js";
import type { Verdict } from "../verdict/verdict.js";
import { RouterError, createRejection } from "../verdict/verdict.js";

export interface Answer {
    readonly status: number;
    readonly body: object;
    readonly headers?: Readonly<Record<string, string>>;
}

/** Members of a problem besides those of RFC 9457. */
export interface Problem {
    readonly type: "about:blank";
    readonly title: string;
    readonly status: number;
    readonly detail: string;
    /** Stable machine-readable code, for example `body-too-large`. */
    readonly code: string;
    readonly verdict: Verdict;
}

type RefusalReason = Extract<TicketOutcome, { readonly kind: "refused" }>["reason"];

const REFUSAL_STATUS: Readonly<Record<RefusalReason, number>> = {
    invalid: 422,
    "number-reused": 409,
    superseded: 409,
    conflict: 409,
    unavailable: 503,
};

function problem(status: number, code: string, detail: string, verdict: Verdict): Problem {
    return { type: "about:blank", title: STATUS_CODES[status] ?? "Error", status, detail, code, verdict };
}

/** Answer of a ticket that was submitted. */
export function outcomeAnswer(ticket: number, outcome: TicketOutcome): Answer {
    switch (outcome.kind) {
        case "accepted":
            return { status: 200, body: { ticket, outcome: "accepted", revision: outcome.revision } };
        case "refused": {
            const status = REFUSAL_STATUS[outcome.reason];
            return {
                status,
                body: {
                    ...problem(status, outcome.reason, outcome.detail, "not-run"),
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
                    ...problem(504, "outcome-unknown", outcome.detail, "may-have-run"),
                    ticket,
                    outcome: "unknown",
                },
            };
    }
}

/** Converts an error of a route. Errors of unknown origin show no detail, because it may hold internals. */
export function errorAnswer(error: unknown): Answer {
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
            body: problem(error.status, error.code, error.message, error.verdict),
            headers,
        };
    }
    if (error instanceof OutsideServiceError) {
        const verdict = error.outcome === "not-applied" ? "not-run" : "may-have-run";
        return { status: 503, body: problem(503, "platform-unavailable", error.message, verdict) };
    }
    return {
        status: 500,
        body: problem(500, "internal-error", "the node failed; its log has the details", "may-have-run"),
    };
}

/** The error of a route whose function is not wired. */
export function notAvailable(what: string): RouterError {
    return createRejection(501, "not-available", `this node does not provide ${what}`);
}

export function sendAnswer(response: ServerResponse, answer: Answer): void {
    if (response.headersSent || response.destroyed) {
        return;
    }
    const body = Buffer.from(JSON.stringify(answer.body) + "\n");
    response.writeHead(answer.status, {
        "content-type": answer.status < 400 ? "application/json" : "application/problem+json",
        "content-length": body.length,
        "cache-control": "no-store",
        ...answer.headers,
    });
    response.end(body);
}
