/** Configuration at one revision: the entities by kind and name, and their change by tickets. */
import type { AcceptedTicket, EntityChange, EntityKind, EntityStates, Ticket } from "./entities.js";

export type EntityTables = {
    readonly [Kind in EntityKind]: ReadonlyMap<string, EntityStates[Kind]>;
};

export interface ConfigurationSnapshot extends EntityTables {
    /** Number of tickets accepted so far; 0 for the empty configuration. */
    readonly revision: number;
    /** Number of the ticket that last changed an entity, by `kind/name`; kept after the entity is removed. */
    readonly touchedBy: ReadonlyMap<string, number>;
}

export const EMPTY_SNAPSHOT: ConfigurationSnapshot = {
    revision: 0,
    touchedBy: new Map(),
    workspace: new Map(),
    model: new Map(),
    cascade: new Map(),
    upstream: new Map(),
    service: new Map(),
    dataCentre: new Map(),
    rollout: new Map(),
};

/** Key of an entity in messages and in `touchedBy`: `kind/name`. */
export function entityKey(change: Pick<EntityChange, "kind" | "name">): string {
    return `${change.kind}/${change.name}`;
}

/**
 * Applies all changes of a ticket and returns the next snapshot.
 *
 * @throws RangeError when the ticket's revision is not the next one.
 */
export function applyTicket(
    snapshot: ConfigurationSnapshot,
    accepted: AcceptedTicket,
): ConfigurationSnapshot {
    if (accepted.revision !== snapshot.revision + 1) {
        throw new RangeError(`revision ${accepted.revision} does not follow revision ${snapshot.revision}`);
    }
    return { ...applyChanges(snapshot, accepted.ticket), revision: accepted.revision };
}

/** Applies the changes at the same revision, to check or preview a ticket that is not accepted yet. */
export function applyChanges(snapshot: ConfigurationSnapshot, ticket: Ticket): ConfigurationSnapshot {
    const touchedBy = new Map(snapshot.touchedBy);
    const copies = new Map<EntityKind, Map<string, unknown>>();
    for (const change of ticket.changes) {
        const table = copies.get(change.kind) ?? new Map<string, unknown>(snapshot[change.kind]);
        copies.set(change.kind, table);
        if (change.state === undefined) {
            table.delete(change.name);
        }
        else {
            table.set(change.name, change.state);
        }
        touchedBy.set(entityKey(change), ticket.number);
    }
    return { ...snapshot, ...(Object.fromEntries(copies) as Partial<EntityTables>), touchedBy };
}
