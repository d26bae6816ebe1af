/** Messages between nodes about the configuration, and the configuration's rows in the table service. */
import type { JsonObject, JsonValue } from "../common/json.js";
import type { AcceptedTicket, EntityChange, EntityKind, Ticket } from "./entities.js";
import { entitySchemas } from "./entities.js";
import type { ConfigurationSnapshot, EntityTables } from "./snapshot.js";

export const PREPARE_METHOD = "configuration.prepare";
export const CANCEL_METHOD = "configuration.abandon";
export const PUSH_METHOD = "configuration.push";
export const PULL_METHOD = "configuration.pull";
export const CONFIRM_METHOD = "configuration.confirm";
export const STATUS_METHOD = "configuration.status";

export const HEAD_KEY = "configuration/head";
export const ticketKey = (number: number): string => `configuration/ticket/${number}`;
export const logKey = (revision: number): string => `configuration/log/${revision}`;
export const entityRowKey = (change: EntityChange): string =>
    `configuration/entity/${change.kind}/${change.name}`;
export const snapshotName = (revision: number): string => `snapshot/${revision}`;

/** The row `configuration/head`; `version` is 0 when the row is absent. */
export interface Head {
    readonly version: number;
    readonly revision: number;
    /** Revision of the latest snapshot in the object store; 0 when there is none. */
    readonly snapshot: number;
}

export function headOf(row: { readonly version: number; readonly value: JsonObject } | undefined): Head {
    return {
        version: row?.version ?? 0,
        revision: Number(row?.value["revision"] ?? 0),
        snapshot: Number(row?.value["snapshot"] ?? 0),
    };
}

/**
 * Identifies an attempt to accept a ticket. The commit is conditional on `headVersion`, so the attempt is
 * resolved once the head row has a higher version or `revision` was accepted.
 */
export interface ProposalId extends JsonObject {
    readonly revision: number;
    readonly headVersion: number;
    /** Id and incarnation of the proposing node, number of its submission, number of the attempt. */
    readonly attempt: string;
}

/** Request of `configuration.prepare`. */
export interface Proposal extends ProposalId {
    readonly ticket: Ticket & JsonObject;
}

export interface PrepareAnswer extends JsonObject {
    /** `held` when the node stores the proposal; `stale` when the attempt can no longer succeed. */
    readonly result: "held" | "stale";
}

/** State of a node's replica; sent with pings. */
export interface ReplicaState extends JsonObject {
    readonly revision: number;
    /** Highest known version of the head row whose revision this node has in force. */
    readonly headVersion: number;
    /** Milliseconds since the time up to which the node has every accepted ticket; absent when unknown. */
    readonly age?: number;
    /** Prepared tickets whose outcome is unknown to the node. */
    readonly proposals?: readonly ProposalId[];
}

/** Answer of `configuration.confirm`. */
export interface Confirmation extends ReplicaState {
    readonly from: string;
    /** Whether the node counts towards a majority. */
    readonly witness: boolean;
    /** Digest of the sender's roster; `ages` can be decoded only with the same roster. */
    readonly roster: string;
    /** Age of the last contact with each node of the roster, one character each, in units of `unit`. */
    readonly ages: string;
    /** Milliseconds per step of `ages`. */
    readonly unit: number;
}

/** Request of `configuration.push`. */
export interface PushMessage extends JsonObject {
    readonly from: string;
    readonly accepted: AcceptedTicket & JsonObject;
}

/** Request of `configuration.pull`. */
export interface PullRequest extends JsonObject {
    readonly after: number;
}

/** Answer of `configuration.pull`: the tickets after a revision, or a snapshot when they were discarded. */
export interface PullAnswer extends JsonObject {
    readonly tickets?: readonly (AcceptedTicket & JsonObject)[];
    readonly snapshot?: JsonObject;
    readonly proposals: readonly Proposal[];
}

/** Answer of `configuration.status`. */
export interface StatusAnswer extends JsonObject {
    readonly revision: number;
}

const ENTITY_KINDS = Object.keys(entitySchemas) as EntityKind[];

export function serialiseSnapshot(snapshot: ConfigurationSnapshot): JsonObject {
    const tables = ENTITY_KINDS.map(kind => [kind, Object.fromEntries<unknown>(snapshot[kind])]);
    return {
        revision: snapshot.revision,
        touchedBy: Object.fromEntries(snapshot.touchedBy),
        ...(Object.fromEntries(tables) as JsonObject),
    };
}

/** @throws TypeError when a table is missing. */
export function parseSnapshot(value: JsonObject): ConfigurationSnapshot {
    const entries = (name: string): [string, JsonValue][] =>
        Object.entries(value[name] as Record<string, JsonValue>);
    const tables = Object.fromEntries(ENTITY_KINDS.map(kind => [kind, new Map(entries(kind))]));
    return {
        ...(tables as unknown as EntityTables),
        revision: Number(value["revision"]),
        touchedBy: new Map(entries("touchedBy").map(([key, number]) => [key, Number(number)])),
    };
}
