/** HTTP server for operators with a fake configuration, on a free loopback port. */
import { sha256 } from "../../common/hash.js";
import type { TlsSource } from "../../common/tls.js";
import type { TicketOutcome } from "../../configuration/configuration.js";
import type { AcceptedTicket, Ticket } from "../../configuration/entities.js";
import { EMPTY_SNAPSHOT, applyTicket } from "../../configuration/snapshot.js";
import type { ConfigurationSnapshot } from "../../configuration/snapshot.js";
import { createLifecycle } from "../../lifecycle/lifecycle.js";
import { silentLogging } from "../../logging/logging.js";
import { createOperatorsServer } from "../operators-server.js";
import type { NodeCapabilities } from "../capabilities.js";

export const OPERATOR_KEY = "operator-key-1";

/** First ticket that the tests apply to the fake configuration. */
export const FIRST_TICKET: Ticket = {
    number: 7,
    changes: [
        { kind: "dataCentre", name: "patio", state: { region: "rosario", state: "active" } },
        {
            kind: "rollout",
            name: "inspection-v8",
            state: { model: "inspection", version: "v8", steps: [0.1, 1], state: "running" },
        },
    ],
};

/** Accepts every ticket, but rejects a number that was used with other content. */
export function createFakeConfiguration() {
    const accepted: AcceptedTicket[] = [];
    let snapshot: ConfigurationSnapshot = EMPTY_SNAPSHOT;
    const apply = (ticket: Ticket): Promise<TicketOutcome> => {
        const previous = accepted.find(entry => entry.ticket.number === ticket.number);
        if (previous !== undefined) {
            const isSame = JSON.stringify(previous.ticket) === JSON.stringify(ticket);
            return Promise.resolve(
                isSame
                    ? { kind: "accepted", revision: previous.revision }
                    : { kind: "refused", reason: "number-reused", detail: "the number was used" },
            );
        }
        const entry: AcceptedTicket = { revision: accepted.length + 1, ticket };
        accepted.push(entry);
        snapshot = applyTicket(snapshot, entry);
        return Promise.resolve({ kind: "accepted", revision: entry.revision });
    };
    const capabilities: NodeCapabilities = {
        author: { apply, check: ticket => (ticket.number < 7 ? ["the number is superseded"] : []) },
        configuration: () => snapshot,
        findTicket: number => Promise.resolve(accepted.find(entry => entry.ticket.number === number)),
        ticketPropagation: number =>
            Promise.resolve({ ticket: number, revision: 1, nodes: 3, inForce: 2, waitingFor: ["entry-3"] }),
    };
    return { capabilities, accepted, apply };
}

export interface FakeNode {
    readonly address: string;
    readonly stop: () => Promise<void>;
}

export async function startFakeNode(
    capabilities: NodeCapabilities,
    options: { readonly tls?: TlsSource; readonly secrets?: readonly string[] } = {},
): Promise<FakeNode> {
    const lifecycle = createLifecycle();
    const server = createOperatorsServer({
        address: "127.0.0.1",
        port: 0,
        node: "entry-1",
        keyHashes: [sha256("another-key"), sha256(OPERATOR_KEY)],
        capabilities,
        lifecycle,
        logger: silentLogging("operators"),
        ...options,
    });
    await lifecycle.start();
    return { address: server.address(), stop: () => lifecycle.stop() };
}

export interface CallOptions {
    readonly method?: string;
    readonly body?: string | Uint8Array;
    readonly key?: string;
    readonly contentType?: string;
}

/** Sends a request with the operator key, and parses the response body as JSON. */
export async function call(node: FakeNode, path: string, options: CallOptions = {}) {
    const response = await fetch(node.address + path, {
        method: options.method ?? (options.body === undefined ? "GET" : "POST"),
        headers: {
            authorization: `Bearer ${options.key ?? OPERATOR_KEY}`,
            "content-type": options.contentType ?? "application/json",
        },
        ...(options.body === undefined ? {} : { body: options.body as string }),
    });
    const type = response.headers.get("content-type");
    return { status: response.status, type, body: (await response.json()) as Record<string, unknown> };
}
