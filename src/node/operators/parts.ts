/**
 * What the operators' routes show and do, as functions. Each route reads its function when a request arrives,
 * so a part can be assigned after the listener was created. A route whose function is absent answers 501.
 */
import type { TicketProposer } from "../configuration/configuration.js";
import type { AcceptedTicket } from "../configuration/entities.js";
import type { ConfigurationSnapshot } from "../configuration/snapshot.js";

/** How far an accepted ticket has spread. */
export interface TicketReach {
    readonly ticket: number;
    readonly revision: number;
    /** Nodes that take part in work. */
    readonly nodes: number;
    /** Nodes known to have the ticket in force. */
    readonly inForce: number;
    /** Names of the other nodes. */
    readonly waitingFor: readonly string[];
}

/** A roll-out as operators see it. */
export interface RolloutStatus {
    readonly name: string;
    readonly model: string;
    readonly version: string;
    /** For example `running`, `holding`, `halted`, `withdrawn`, `complete`. */
    readonly state: string;
    /** Share of new sessions that the version gets, 0 to 1. */
    readonly share: number;
    /** Why the roll-out holds or was withdrawn. */
    readonly reason?: string;
}

/** Period of bills, milliseconds since the epoch: `from` included, `to` not. */
export interface BillPeriod {
    readonly from: number;
    readonly to: number;
}

/** Sum of the bills of one workspace, target and version. */
export interface BillSum {
    readonly workspace: string;
    /** Model or service. */
    readonly target: string;
    readonly version: string;
    readonly requests: number;
    readonly promptTokens: number;
    readonly completionTokens: number;
    /** In the currency of the configuration's `costPerThousandTokens`. */
    readonly cost: number;
}

/** Shows one table or part of the process. */
export type DumpFunction = () => unknown;

export interface OperatorsParts {
    /** Summary of this node. */
    status?: () => unknown;
    /** Tables of this process by name, for the state dump. */
    dumps?: Readonly<Record<string, DumpFunction>>;
    /** Dump of another node, by its name; `undefined` when no such node is known. */
    dumpOfNode?: (node: string) => Promise<unknown>;
    /** Checks and applies tickets. */
    author?: TicketProposer;
    /** Configuration in force at this node. */
    configuration?: () => ConfigurationSnapshot;
    /** Reads an accepted ticket from the table; `undefined` when the number was not accepted so far. */
    findTicket?: (number: number) => Promise<AcceptedTicket | undefined>;
    /** `undefined` when the ticket was not accepted so far. */
    reach?: (number: number) => Promise<TicketReach | undefined>;
    rollouts?: () => readonly RolloutStatus[] | Promise<readonly RolloutStatus[]>;
    bills?: (period: BillPeriod) => Promise<readonly BillSum[]>;
}
