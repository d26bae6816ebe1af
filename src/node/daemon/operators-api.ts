/** Implements the operators' API of a node: status, state dumps, tickets and bills. */
import { logKey, ticketKey } from "../configuration/messages.js";
import type { TableService } from "../outside-services/table-service.js";
import type { AcceptedTicket, Ticket } from "../configuration/entities.js";
import type { HttpPeers } from "../peers/http-peers.js";
import type { ObjectStore } from "../outside-services/object-store.js";
import { readBills } from "../billing/read-bills.js";
import type { JsonValue } from "../common/json.js";
import type { Invariants } from "../invariants/invariants.js";
import { collectDump } from "../operators/dump.js";
import type { BillPeriod, BillSum, NodeCapabilities } from "../operators/capabilities.js";
import type { ResolvedConfig } from "../settings/settings.js";
import { dumpTable } from "../tables/table.js";
import type { ComposedNode } from "./compose.js";

/** Maximum time that a request waits for a ticket to be in force at all nodes. Clients repeat the request. */
const IN_FORCE_WAIT_MILLISECONDS = 1000;

/** Timeout for the state dump of another node. */
const DUMP_TIMEOUT_MILLISECONDS = 5000;

const DUMP_METHOD = "operators.dump";

export function createOperatorsApi(
    config: ResolvedConfig,
    node: ComposedNode,
    table: TableService,
    store: ObjectStore,
    peers: HttpPeers,
): NodeCapabilities {
    const { configuration, membership, pipeline } = node;
    const secrets = [config.secrets.peersKey, config.secrets.sealingKey];
    const api: NodeCapabilities = {
        status: () => ({
            node: config.node.id,
            dataCentre: config.node.dataCentre,
            revision: configuration.current().revision,
            ready: pipeline.isReady(),
            nodes: membership.active().length,
            open: pipeline.exchanges.size,
            queued: pipeline.dispatch.queued(),
            violations: node.invariants.total(),
        }),
        dumps: {
            dispatch: () => pipeline.dispatch.dump(),
            streams: () => ({
                exchanges: pipeline.exchanges.size,
                heldBytes: pipeline.exchanges.heldBytes(),
            }),
            configuration: () => configuration.current(),
            members: () => dumpTable(membership.members),
            upstreams: () => dumpTable(node.upstreamChoice.table, ({ changes: _changes, ...row }) => row),
            admission: () => node.admission.dump(),
            claims: () => node.claims.dump(),
            billing: () => node.billing.dump(),
            leases: () => node.leases.dump(),
            rollouts: () => node.rollouts.dump(),
            cascades: () => node.cascades.dump(),
            sessions: () => node.pins.dump(),
            jobs: () => node.jobs.dump(),
            peers: () => peers.traffic(),
            invariants: () => node.invariants.counts(),
        },
        author: configuration,
        configuration: () => configuration.current(),
        dumpOfNode: id => fetchNodeDump(node, peers, id),
        rollouts: () =>
            node.rollouts.status().map(({ name, model, version, phase, share, verdict }) => ({
                name,
                model,
                version,
                state: phase,
                share,
                reason: verdict,
            })),
        bills: period => sumBills(store, node.invariants, period),
        findTicket: number => findTicket(table, number),
        ticketPropagation: async number => {
            const accepted = await findTicket(table, number);
            if (accepted === undefined) {
                return undefined;
            }
            const report = await configuration.waitUntilInForce(
                accepted.revision,
                IN_FORCE_WAIT_MILLISECONDS,
            );
            return {
                ticket: number,
                revision: accepted.revision,
                nodes: report.members,
                inForce: report.inForce,
                waitingFor: report.missing,
            };
        },
    };
    peers.handle(DUMP_METHOD, () => collectDump(api.dumps ?? {}, { secrets }) as JsonValue);
    return api;
}

/** Fetches the state dump of another node. Resolves with `undefined` when the node is not a member. */
async function fetchNodeDump(node: ComposedNode, peers: HttpPeers, id: string): Promise<unknown> {
    const member = node.membership.members.get(id);
    if (member === undefined) {
        return undefined;
    }
    return { node: id, tables: await peers.call(member.address, DUMP_METHOD, {}, DUMP_TIMEOUT_MILLISECONDS) };
}

/** Sums up the bills of a period per workspace, target and version. */
async function sumBills(
    store: ObjectStore,
    invariants: Invariants,
    period: BillPeriod,
): Promise<readonly BillSum[]> {
    const sums = new Map<string, BillSum>();
    for await (const bill of readBills(store, { invariants })) {
        if (bill.at < period.from || bill.at >= period.to) {
            continue;
        }
        const { workspace, target, version } = bill;
        const key = `${workspace}\u0000${target}\u0000${version}`;
        const sum = sums.get(key);
        sums.set(key, {
            workspace,
            target,
            version,
            requests: (sum?.requests ?? 0) + 1,
            promptTokens: (sum?.promptTokens ?? 0) + bill.promptTokens,
            completionTokens: (sum?.completionTokens ?? 0) + bill.completionTokens,
            cost: (sum?.cost ?? 0) + bill.cost,
        });
    }
    return [...sums.values()];
}

/** Reads an accepted ticket from the table service. Resolves with `undefined` when there is none. */
async function findTicket(table: TableService, number: number): Promise<AcceptedTicket | undefined> {
    const row = await table.get(ticketKey(number));
    if (row === undefined) {
        return undefined;
    }
    const { revision } = row.value as { readonly revision: number };
    const log = await table.get(logKey(revision));
    return log === undefined ? undefined : { revision, ticket: log.value["ticket"] as unknown as Ticket };
}
