/** Messages of the failure detector, and the node rows in the table service. */
import type { JsonObject } from "../common/json.js";
import type { Member, MemberState } from "./membership.js";

export const PING_METHOD = "membership.ping";
export const PING_REQUEST_METHOD = "membership.pingRequest";

/** Key prefix of the rows that, with the known members, form the roster. */
export const NODE_ROW_PREFIX = "node/";

/** Address and placement of a member. Omitted from updates with the state suspect, dead or left. */
export interface MemberLocation {
    readonly address: string;
    readonly dataCentre: string;
    readonly region: string;
}

export interface MemberUpdate extends JsonObject, Partial<MemberLocation> {
    readonly id: string;
    readonly incarnation: number;
    /** Raised by the member itself, within an incarnation, to refute a suspicion or to change its state. */
    readonly refutation: number;
    readonly state: MemberState;
}

/** Request of `membership.ping`, and its answer. */
export interface PingMessage extends JsonObject {
    readonly from: string;
    /** Id of the intended receiver; absent when a seed with an unknown id is contacted. */
    readonly to?: string;
    /** Number of members in the sender's table, so that the receiver can send missing ones. */
    readonly known: number;
    readonly updates: readonly MemberUpdate[];
    readonly digests?: JsonObject;
}

/** Request of `membership.pingRequest`: the receiver pings `target`. */
export interface PingRequestMessage extends PingMessage {
    readonly target: string;
}

/** Answer of `membership.pingRequest`. */
export interface PingRequestAnswer extends PingMessage {
    /** Whether `target` answered the ping. */
    readonly reached: boolean;
}

/** Builds the value of a member's row in the table service. */
export function rowValue(member: Member): JsonObject {
    const { incarnation, address, dataCentre, region } = member;
    return { incarnation, address, dataCentre, region };
}

/** Parses a node row; `undefined` when the value is malformed. */
export function updateOfRow(key: string, value: JsonObject): MemberUpdate | undefined {
    const { incarnation, address, dataCentre, region } = value;
    if (
        typeof incarnation !== "number" ||
        typeof address !== "string" ||
        typeof dataCentre !== "string" ||
        typeof region !== "string"
    ) {
        return undefined;
    }
    const id = key.slice(NODE_ROW_PREFIX.length);
    return { id, incarnation, refutation: 0, state: "alive", address, dataCentre, region };
}
