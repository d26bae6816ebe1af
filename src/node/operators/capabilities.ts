/**
 * Capabilities of a node that the operator routes use. A route reads its capability when a request arrives,
 * so that capabilities can be assigned after the server was created. A route whose capability is absent
 * responds with 501.
 */
import type { TicketProposer } from "../configuration/configuration.js";
import type { AcceptedTicket } from "../configuration/entities.js";
import type { ConfigurationSnapshot } from "../configuration/snapshot.js";

/** At how many nodes an accepted ticket is in force. */
export interface TicketPropagation {
    readonly ticket: number;
    readonly revision: number;
    /** Number of active nodes. */
    readonly nodes: number;
    /** Number of nodes that are known to have the ticket in force. */
    readonly inForce: number;
    /** Names of the active nodes that are not known to have the ticket in force. */
    readonly waitingFor: readonly string[];
}

/** State of a rollout, as shown to operators. */
export interface RolloutStatus {
    readonly name: string;
    readonly model: string;
    readonly version: string;
    /** For example `running`, `holding`, `halted`, `withdrawn`, `complete`. */
    readonly state: string;
    /** Share of the new sessions that use the version, 0 to 1. */
    readonly share: number;
    /** Why the rollout is holding or was withdrawn. */
    readonly reason?: string;
}

/** Billing period from `from`, included, to `to`, excluded; milliseconds since the epoch. */
export interface BillPeriod {
    readonly from: number;
    readonly to: number;
}

/** Total of the bills of one workspace, target and version. */
export interface BillSum {
    readonly workspace: string;
    /** Name of the model or service. */
    readonly target: string;
    readonly version: string;
    readonly requests: number;
    readonly promptTokens: number;
    readonly completionTokens: number;
    /** In the currency of the configuration's `costPerThousandTokens`. */
    readonly cost: number;
}

/** Returns one table of the state dump, in any form that `collectDump` can convert to JSON. */
export type DumpFunction = () => unknown;

export interface NodeCapabilities {
    /** Status summary of this node. */
    status?: () => unknown;
    /** Tables of the state dump, by name. */
    dumps?: Readonly<Record<string, DumpFunction>>;
    /** State dump of another node; `undefined` when the name is unknown. */
    dumpOfNode?: (node: string) => Promise<unknown>;
    /** Checks and applies tickets. */
    author?: TicketProposer;
    /** Configuration that is in force at this node. */
    configuration?: () => ConfigurationSnapshot;
    /** Reads an accepted ticket from the table; `undefined` when the number was not accepted yet. */
    findTicket?: (number: number) => Promise<AcceptedTicket | undefined>;
    /** `undefined` when the ticket was not accepted yet. */
    ticketPropagation?: (number: number) => Promise<TicketPropagation | undefined>;
    rollouts?: () => readonly RolloutStatus[] | Promise<readonly RolloutStatus[]>;
    bills?: (period: BillPeriod) => Promise<readonly BillSum[]>;
}
