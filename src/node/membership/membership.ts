/** Interfaces through which the other components of a node use the membership. */
import type { JsonValue } from "../common/json.js";
import type { Table } from "../tables/table.js";

export type MemberState = "alive" | "suspect" | "dead" | "leaving" | "left";

export interface Member {
    readonly id: string;
    /** Identifies a process start of the node; higher after each restart. */
    readonly incarnation: number;
    /** Base URL of the node's peers listener. */
    readonly address: string;
    readonly dataCentre: string;
    readonly region: string;
    readonly state: MemberState;
}

export interface MembershipView {
    readonly self: Member;
    /** All known members, this node included, by id. */
    readonly members: Table<Member>;
    /** Members that take work, which are alive or suspect; always includes this node. */
    active(): readonly Member[];
}

/** A digest received from another node. */
export interface ObservedDigest {
    /** Node id of the sender. */
    readonly from: string;
    /** Base URL of the sender's peers listener; absent when the sender is not a known member. */
    readonly address: string | undefined;
    readonly value: JsonValue;
    /**
     * Earliest local time, milliseconds, at which the sender may have read the value: the time at which this
     * node sent the ping whose answer carried it. Absent for digests in requests, whose delay is unknown.
     */
    readonly notBefore: number | undefined;
}

/** A small value that another component sends with each ping and each answer. */
export interface PingDigest {
    /** Name in the message; unique. */
    readonly name: string;
    /** Returns the value to send, at most about 100 bytes, or `undefined` to send none. */
    read(): JsonValue | undefined;
    receive(observed: ObservedDigest): void;
}

export interface Membership extends MembershipView {
    /**
     * Sorted ids of the nodes of which a majority is required: those with a row `node/ID` and the known
     * members that have not left. A dead node stays until its row and its member entry are removed.
     */
    roster(): readonly string[];
    /** @throws Error when a digest of this name is already attached. */
    attachDigest(digest: PingDigest): void;
    /** Registers a listener that is called after a member was added or its state changed. */
    onChange(listener: (member: Member) => void): void;
    /** Announces to the other nodes that this node takes no new work. */
    announceLeaving(): void;
    /** Announces to the other nodes that this node stops, and removes its row. Must be called last. */
    announceLeft(): Promise<void>;
}
