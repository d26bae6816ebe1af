/** Routes of the operators' listener. */
import type { IncomingMessage } from "node:http";
import type { HTTPMethod } from "find-my-way";
import { entitySchemas } from "../configuration/entities.js";
import type { Ticket } from "../configuration/entities.js";
import { entityKey } from "../configuration/snapshot.js";
import type { Logger } from "../logging/logging.js";
import type { Clock } from "../common/clock.js";
import { createRejection } from "../verdict/verdict.js";
import type { Answer } from "./answer.js";
import { notAvailable, outcomeAnswer } from "./answer.js";
import { readJsonBody, readOptionalJsonBody } from "./body.js";
import { collectDump } from "./dump.js";
import type { OperatorsParts } from "./parts.js";
import {
    describeIssues,
    haltSchema,
    highestTicketNumber,
    isEntityKind,
    parseTicket,
    submitTicket,
} from "./tickets.js";

export interface RoutesOptions {
    readonly parts: OperatorsParts;
    /** Name of this node. */
    readonly node: string;
    /** Secret values of the process, which the state dump leaves out. */
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
    readonly serve: (request: RouteRequest) => Promise<Answer>;
}

function ok(body: object): Answer {
    return { status: 200, body };
}

/** Returns a part, or refuses with 501 when it is not wired. */
function required<Part>(part: Part | undefined, what: string): Part {
    if (part === undefined) {
        throw notAvailable(what);
    }
    return part;
}

function ticketNumber(text: string | undefined): number {
    const number = /^[0-9]{1,16}$/.test(text ?? "") ? Number(text) : NaN;
    if (!Number.isSafeInteger(number) || number < 1) {
        throw createRejection(400, "ticket-number", "the ticket number must be a whole number from 1");
    }
    return number;
}

function time(query: Readonly<Record<string, string>>, name: string, fallback?: number): number {
    const text = query[name];
    if (text === undefined && fallback !== undefined) {
        return fallback;
    }
    const value = /^\d{4}-\d\d-\d\d(T[\d:.]+(Z|[+-]\d\d:\d\d))?$/.test(text ?? "") ? Date.parse(text!) : NaN;
    if (Number.isNaN(value)) {
        throw createRejection(
            400,
            "time",
            `"${name}" must be a date or time with zone, for example 2026-01-31 or 2026-01-31T06:00:00Z`,
        );
    }
    return value;
}

/** Refuses query parameters that the route does not know, so that a misspelt one is not silently ignored. */
function checkQuery(query: Readonly<Record<string, string>>, known: readonly string[]): void {
    const unknown = Object.keys(query).find(name => !known.includes(name));
    if (unknown !== undefined) {
        const allowed = known.length === 0 ? "none" : known.join(", ");
        throw createRejection(
            400,
            "query",
            `query parameter "${unknown.slice(0, 64)}" is unknown; allowed: ${allowed}`,
        );
    }
    // The parser gives a list for a repeated parameter, whatever its type says.
    const repeated = Object.keys(query).find(name => typeof query[name] !== "string");
    if (repeated !== undefined) {
        throw createRejection(400, "query", `query parameter "${repeated}" is given more than once`);
    }
}

export function createRoutes(options: RoutesOptions): readonly Route[] {
    const { parts, logger } = options;

    const readTicket = async (message: IncomingMessage): Promise<Ticket | readonly string[]> => {
        const parsed = parseTicket(await readJsonBody(message));
        return parsed.kind === "ticket" ? parsed.ticket : parsed.problems;
    };

    const submit = async (ticket: Ticket): Promise<Answer> => {
        const author = required(parts.author, "tickets");
        const outcome = await submitTicket(author, ticket);
        logger.info("Ticket submitted", {
            ticket: ticket.number,
            entities: ticket.changes.slice(0, 5).map(entityKey).join(","),
            outcome: outcome.kind,
            ...(outcome.kind === "accepted" ? { revision: outcome.revision } : { detail: outcome.detail }),
        });
        return outcomeAnswer(ticket.number, outcome);
    };

    const showStatus = async (request: RouteRequest): Promise<Answer> => {
        checkQuery(request.query, []);
        return ok((await required(parts.status, "its status")()) as object);
    };

    const showDump = async (request: RouteRequest): Promise<Answer> => {
        checkQuery(request.query, ["node", "table"]);
        const { node = options.node, table } = request.query;
        if (node !== options.node) {
            const dump = await required(parts.dumpOfNode, "the dump of other nodes")(node);
            if (dump === undefined) {
                throw createRejection(404, "node-unknown", `node "${node}" is not known to node "${options.node}"`);
            }
            return ok(dump as object);
        }
        const dumps = required(parts.dumps, "a state dump");
        if (table !== undefined && !Object.hasOwn(dumps, table)) {
            const names = Object.keys(dumps).join(", ");
            throw createRejection(404, "table-unknown", `table "${table}" does not exist; tables: ${names}`);
        }
        return ok({ node, tables: collectDump(dumps, options, table) });
    };

    const applyTicket = async ({ message, query }: RouteRequest): Promise<Answer> => {
        checkQuery(query, []);
        required(parts.author, "tickets");
        const ticket = await readTicket(message);
        if (!("number" in ticket)) {
            throw createRejection(400, "ticket-malformed", ticket.join("; "));
        }
        return submit(ticket);
    };

    const checkTicket = async ({ message, query }: RouteRequest): Promise<Answer> => {
        checkQuery(query, []);
        const author = required(parts.author, "tickets");
        const ticket = await readTicket(message);
        if (!("number" in ticket)) {
            throw createRejection(400, "ticket-malformed", ticket.join("; "));
        }
        return ok({ ticket: ticket.number, problems: author.check(ticket) });
    };

    const showTicket = async ({ parameters, query }: RouteRequest): Promise<Answer> => {
        checkQuery(query, []);
        const number = ticketNumber(parameters.number);
        const accepted = await required(parts.findTicket, "accepted tickets")(number);
        if (accepted === undefined) {
            throw createRejection(404, "ticket-not-accepted", `no ticket ${number} has been accepted so far`);
        }
        return ok(accepted);
    };

    const showReach = async ({ parameters, query }: RouteRequest): Promise<Answer> => {
        checkQuery(query, []);
        const number = ticketNumber(parameters.number);
        const reach = await required(parts.reach, "the reach of tickets")(number);
        if (reach === undefined) {
            throw createRejection(404, "ticket-not-accepted", `no ticket ${number} has been accepted so far`);
        }
        return ok(reach);
    };

    const showEntity = async ({ parameters, query }: RouteRequest): Promise<Answer> => {
        checkQuery(query, []);
        const { kind = "", name = "" } = parameters;
        if (!isEntityKind(kind)) {
            const kinds = Object.keys(entitySchemas).join(", ");
            throw createRejection(404, "kind-unknown", `kind "${kind}" does not exist; kinds: ${kinds}`);
        }
        const snapshot = required(parts.configuration, "the configuration")();
        const state = snapshot[kind].get(name);
        if (state === undefined) {
            throw createRejection(404, "entity-unknown", `${kind} "${name}" does not exist in the configuration`);
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

    const showRollouts = async ({ query }: RouteRequest): Promise<Answer> => {
        checkQuery(query, []);
        return ok({ rollouts: await required(parts.rollouts, "roll-outs")() });
    };

    const haltRollout = async ({ message, parameters, query }: RouteRequest): Promise<Answer> => {
        checkQuery(query, []);
        required(parts.author, "tickets");
        const snapshot = required(parts.configuration, "the configuration")();
        const parsed = haltSchema.safeParse((await readOptionalJsonBody(message)) ?? {});
        if (!parsed.success) {
            throw createRejection(400, "body-malformed", describeIssues(parsed.error).join("; "));
        }
        const { name = "" } = parameters;
        const rollout = snapshot.rollout.get(name);
        if (rollout === undefined) {
            throw createRejection(404, "entity-unknown", `rollout "${name}" does not exist in the configuration`);
        }
        return submit({
            number: parsed.data.number ?? highestTicketNumber(snapshot) + 1,
            changes: [{ kind: "rollout", name, state: { ...rollout, state: "halted" } }],
        });
    };

    const showBills = async ({ query }: RouteRequest): Promise<Answer> => {
        checkQuery(query, ["from", "to"]);
        const bills = required(parts.bills, "bills");
        const period = { from: time(query, "from"), to: time(query, "to", options.clock.wallTime()) };
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
        { method: "GET", path: "/tickets/:number/reach", serve: showReach },
        { method: "GET", path: "/entities/:kind/:name", serve: showEntity },
        { method: "GET", path: "/rollouts", serve: showRollouts },
        { method: "POST", path: "/rollouts/:name/halt", serve: haltRollout },
        { method: "GET", path: "/bills", serve: showBills },
    ];
}
