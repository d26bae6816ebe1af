/** Routes of the HTTP server for operators. */
import type { IncomingMessage } from "node:http";
import type { HTTPMethod } from "find-my-way";
import { entitySchemas } from "../configuration/entities.js";
import type { Ticket } from "../configuration/entities.js";
import { entityKey } from "../configuration/snapshot.js";
import type { Logger } from "../logging/logging.js";
import type { Clock } from "../common/clock.js";
import { createRejection } from "../verdict/verdict.js";
import { readJsonBody, readOptionalJsonBody } from "./body.js";
import { collectDump } from "./dump.js";
import type { NodeCapabilities } from "./capabilities.js";
import type { RouteResponse } from "./response.js";
import { notAvailableError, ticketOutcomeResponse } from "./response.js";
import {
    describeIssues,
    haltSchema,
    highestTicketNumber,
    isEntityKind,
    parseTicket,
    submitTicket,
} from "./tickets.js";

export interface RoutesOptions {
    readonly capabilities: NodeCapabilities;
    /** Name of this node. */
    readonly node: string;
    /** Secret values of the process, which the state dump redacts. */
    readonly secrets: readonly string[];
    readonly clock: Clock;
    readonly logger: Logger;
}

export interface RouteRequest {
    readonly message: IncomingMessage;
    readonly parameters: Readonly<Record<string, string | undefined>>;
    readonly query: Readonly<Record<string, string>>;
}

export interface Route {
    readonly method: HTTPMethod;
    readonly path: string;
    readonly serve: (request: RouteRequest) => Promise<RouteResponse>;
}

function ok(body: object): RouteResponse {
    return { status: 200, body };
}

/** @throws RouterError with status 501 when the node does not provide the capability. */
function requireCapability<Capability>(capability: Capability | undefined, description: string): Capability {
    if (capability === undefined) {
        throw notAvailableError(description);
    }
    return capability;
}

function parseTicketNumber(text: string | undefined): number {
    const number = /^[0-9]{1,16}$/.test(text ?? "") ? Number(text) : NaN;
    if (!Number.isSafeInteger(number) || number < 1) {
        throw createRejection(400, "ticket-number", "the ticket number must be a whole number from 1");
    }
    return number;
}

function parseTimeParameter(
    query: Readonly<Record<string, string>>,
    name: string,
    fallback?: number,
): number {
    const text = query[name];
    if (text === undefined && fallback !== undefined) {
        return fallback;
    }
    const value = /^\d{4}-\d\d-\d\d(T[\d:.]+(Z|[+-]\d\d:\d\d))?$/.test(text ?? "") ? Date.parse(text!) : NaN;
    if (Number.isNaN(value)) {
        throw createRejection(
            400,
            "time",
            `"${name}" must be a date or a time with zone, for example 2026-01-31 or 2026-01-31T06:00:00Z`,
        );
    }
    return value;
}

/**
 * Rejects unknown and repeated query parameters, so that a misspelled name is not silently ignored.
 *
 * @throws RouterError with status 400
 */
function checkQuery(query: Readonly<Record<string, string>>, allowedNames: readonly string[]): void {
    const unknown = Object.keys(query).find(name => !allowedNames.includes(name));
    if (unknown !== undefined) {
        const allowed = allowedNames.length === 0 ? "none" : allowedNames.join(", ");
        throw createRejection(
            400,
            "query",
            `query parameter "${unknown.slice(0, 64)}" is unknown; allowed: ${allowed}`,
        );
    }
    // The parser returns an array for a repeated parameter, although its type says `string`.
    const repeated = Object.keys(query).find(name => typeof query[name] !== "string");
    if (repeated !== undefined) {
        throw createRejection(400, "query", `query parameter "${repeated}" is given more than once`);
    }
}

export function createRoutes(options: RoutesOptions): readonly Route[] {
    const { capabilities, logger } = options;

    const readTicket = async (message: IncomingMessage): Promise<Ticket | readonly string[]> => {
        const parsed = parseTicket(await readJsonBody(message));
        return parsed.kind === "ticket" ? parsed.ticket : parsed.problems;
    };

    const submit = async (ticket: Ticket): Promise<RouteResponse> => {
        const author = requireCapability(capabilities.author, "tickets");
        const outcome = await submitTicket(author, ticket);
        logger.info("Ticket submitted", {
            ticket: ticket.number,
            entities: ticket.changes.slice(0, 5).map(entityKey).join(","),
            outcome: outcome.kind,
            ...(outcome.kind === "accepted" ? { revision: outcome.revision } : { detail: outcome.detail }),
        });
        return ticketOutcomeResponse(ticket.number, outcome);
    };

    const showStatus = async (request: RouteRequest): Promise<RouteResponse> => {
        checkQuery(request.query, []);
        return ok((await requireCapability(capabilities.status, "its status")()) as object);
    };

    const showDump = async (request: RouteRequest): Promise<RouteResponse> => {
        checkQuery(request.query, ["node", "table"]);
        const { node = options.node, table } = request.query;
        if (node !== options.node) {
            const dump = await requireCapability(capabilities.dumpOfNode, "the dump of other nodes")(node);
            if (dump === undefined) {
                throw createRejection(
                    404,
                    "node-unknown",
                    `node "${node}" is unknown to node "${options.node}"`,
                );
            }
            return ok(dump as object);
        }
        const dumps = requireCapability(capabilities.dumps, "a state dump");
        if (table !== undefined && !Object.hasOwn(dumps, table)) {
            const names = Object.keys(dumps).join(", ");
            throw createRejection(404, "table-unknown", `table "${table}" does not exist; tables: ${names}`);
        }
        return ok({ node, tables: collectDump(dumps, options, table) });
    };

    const applyTicket = async ({ message, query }: RouteRequest): Promise<RouteResponse> => {
        checkQuery(query, []);
        requireCapability(capabilities.author, "tickets");
        const ticket = await readTicket(message);
        if (!("number" in ticket)) {
            throw createRejection(400, "ticket-malformed", ticket.join("; "));
        }
        return submit(ticket);
    };

    const checkTicket = async ({ message, query }: RouteRequest): Promise<RouteResponse> => {
        checkQuery(query, []);
        const author = requireCapability(capabilities.author, "tickets");
        const ticket = await readTicket(message);
        if (!("number" in ticket)) {
            throw createRejection(400, "ticket-malformed", ticket.join("; "));
        }
        return ok({ ticket: ticket.number, problems: author.check(ticket) });
    };

    const showTicket = async ({ parameters, query }: RouteRequest): Promise<RouteResponse> => {
        checkQuery(query, []);
        const number = parseTicketNumber(parameters.number);
        const accepted = await requireCapability(capabilities.findTicket, "accepted tickets")(number);
        if (accepted === undefined) {
            throw createRejection(404, "ticket-not-accepted", `no ticket ${number} has been accepted so far`);
        }
        return ok(accepted);
    };

    const showPropagation = async ({ parameters, query }: RouteRequest): Promise<RouteResponse> => {
        checkQuery(query, []);
        const number = parseTicketNumber(parameters.number);
        const propagation = await requireCapability(
            capabilities.ticketPropagation,
            "the propagation of tickets",
        )(number);
        if (propagation === undefined) {
            throw createRejection(404, "ticket-not-accepted", `no ticket ${number} has been accepted so far`);
        }
        return ok(propagation);
    };

    const showEntity = async ({ parameters, query }: RouteRequest): Promise<RouteResponse> => {
        checkQuery(query, []);
        const { kind = "", name = "" } = parameters;
        if (!isEntityKind(kind)) {
            const kinds = Object.keys(entitySchemas).join(", ");
            throw createRejection(404, "kind-unknown", `kind "${kind}" does not exist; kinds: ${kinds}`);
        }
        const snapshot = requireCapability(capabilities.configuration, "the configuration")();
        const state = snapshot[kind].get(name);
        if (state === undefined) {
            throw createRejection(
                404,
                "entity-unknown",
                `${kind} "${name}" does not exist in the configuration`,
            );
        }
        return ok({
            kind,
            name,
            state,
            touchedBy: snapshot.touchedBy.get(entityKey({ kind, name })),
            revision: snapshot.revision,
            highestTicket: highestTicketNumber(snapshot),
        });
    };

    const showRollouts = async ({ query }: RouteRequest): Promise<RouteResponse> => {
        checkQuery(query, []);
        return ok({ rollouts: await requireCapability(capabilities.rollouts, "roll-outs")() });
    };

    const haltRollout = async ({ message, parameters, query }: RouteRequest): Promise<RouteResponse> => {
        checkQuery(query, []);
        requireCapability(capabilities.author, "tickets");
        const snapshot = requireCapability(capabilities.configuration, "the configuration")();
        const parsed = haltSchema.safeParse((await readOptionalJsonBody(message)) ?? {});
        if (!parsed.success) {
            throw createRejection(400, "body-malformed", describeIssues(parsed.error).join("; "));
        }
        const { name = "" } = parameters;
        const rollout = snapshot.rollout.get(name);
        if (rollout === undefined) {
            throw createRejection(
                404,
                "entity-unknown",
                `rollout "${name}" does not exist in the configuration`,
            );
        }
        return submit({
            number: parsed.data.number ?? highestTicketNumber(snapshot) + 1,
            changes: [{ kind: "rollout", name, state: { ...rollout, state: "halted" } }],
        });
    };

    const showBills = async ({ query }: RouteRequest): Promise<RouteResponse> => {
        checkQuery(query, ["from", "to"]);
        const bills = requireCapability(capabilities.bills, "bills");
        const period = {
            from: parseTimeParameter(query, "from"),
            to: parseTimeParameter(query, "to", options.clock.wallTime()),
        };
        if (period.from >= period.to) {
            throw createRejection(400, "time", '"from" must be before "to"');
        }
        return ok({
            from: new Date(period.from).toISOString(),
            to: new Date(period.to).toISOString(),
            bills: await bills(period),
        });
    };

    return [
        { method: "GET", path: "/status", serve: showStatus },
        { method: "GET", path: "/dump", serve: showDump },
        { method: "POST", path: "/tickets", serve: applyTicket },
        { method: "POST", path: "/tickets/check", serve: checkTicket },
        { method: "GET", path: "/tickets/:number", serve: showTicket },
        { method: "GET", path: "/tickets/:number/reach", serve: showPropagation },
        { method: "GET", path: "/entities/:kind/:name", serve: showEntity },
        { method: "GET", path: "/rollouts", serve: showRollouts },
        { method: "POST", path: "/rollouts/:name/halt", serve: haltRollout },
        { method: "GET", path: "/bills", serve: showBills },
    ];
}
