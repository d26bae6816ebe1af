/**
 * In-memory copy of one table of the store. The revisions of the rows and of the table only increase, no
 * matter which source a change comes from.
 */

/** A row as the store or a peer reports it. `value` is `undefined` when the row was removed. */
export interface RowChange {
    readonly key: string;
    /** Revision of the transaction that last wrote the row. */
    readonly revision: number;
    readonly value: string | undefined;
}

/** Changes of a table up to a revision. */
export interface ChangeSet {
    readonly rows: readonly RowChange[];
    /** Revision up to which the changes are included. */
    readonly revision: number;
    /** Whether `rows` is the whole table: rows that are not listed do not exist. */
    readonly complete: boolean;
}

export type ChangeListener = (changes: readonly RowChange[]) => void;

export interface RowReplica {
    /** Revision of the table; 0 before the first read. */
    readonly revision: number;
    get(key: string): RowChange | undefined;
    /** Existing rows whose key starts with the prefix. */
    list(prefix?: string): readonly RowChange[];
    /** Applies the rows that are newer than this copy, and notifies the listeners of the changed ones. */
    apply(changes: ChangeSet): void;
    /** Changes after a revision, for a peer that has the table up to that revision. */
    changesSince(revision: number): ChangeSet;
    onChange(listener: ChangeListener): void;
}

/** Number of removed rows that are kept, so that peers receive the removals. */
const MAXIMUM_REMOVED_ROWS = 500;

export function createRowReplica(): RowReplica {
    const rows = new Map<string, RowChange>();
    const removed = new Map<string, RowChange>();
    const listeners: ChangeListener[] = [];
    let revision = 0;
    /** Removals up to this revision are not available. A peer with an older revision gets the whole table. */
    let discardedRevision = 0;

    const recordRemoval = (change: RowChange): void => {
        removed.delete(change.key);
        removed.set(change.key, change);
        if (removed.size > MAXIMUM_REMOVED_ROWS) {
            const [oldest] = removed.values();
            removed.delete(oldest!.key);
            discardedRevision = Math.max(discardedRevision, oldest!.revision);
        }
    };

    const isNewer = (change: RowChange): boolean =>
        change.revision > (rows.get(change.key)?.revision ?? removed.get(change.key)?.revision ?? 0);

    const applyRow = (change: RowChange): boolean => {
        if (!isNewer(change)) {
            return false;
        }
        if (change.value === undefined) {
            const existed = rows.delete(change.key);
            recordRemoval(change);
            return existed;
        }
        removed.delete(change.key);
        rows.set(change.key, change);
        return true;
    };

    const removalsOfUnlistedRows = (changes: ChangeSet): readonly RowChange[] => {
        const listed = new Set(changes.rows.map(row => row.key));
        return [...rows.values()]
            .filter(row => !listed.has(row.key) && row.revision <= changes.revision)
            .map(row => ({ key: row.key, revision: changes.revision, value: undefined }));
    };

    return {
        get revision() {
            return revision;
        },
        get: key => rows.get(key),
        list: (prefix = "") => [...rows.values()].filter(row => row.key.startsWith(prefix)),
        apply: changes => {
            const isFirst = revision === 0;
            if (!isFirst && changes.revision < revision) {
                return;
            }
            const candidates = changes.complete
                ? [...changes.rows, ...removalsOfUnlistedRows(changes)]
                : changes.rows;
            const applied = candidates.filter(applyRow);
            revision = changes.revision;
            if (isFirst) {
                discardedRevision = revision;
            }
            if (applied.length > 0 || isFirst) {
                listeners.forEach(listener => listener(applied));
            }
        },
        changesSince: since => {
            const complete = since < discardedRevision;
            const changed = [...rows.values(), ...(complete ? [] : removed.values())];
            return {
                revision,
                complete,
                rows: complete ? changed : changed.filter(row => row.revision > since),
            };
        },
        onChange: listener => {
            listeners.push(listener);
        },
    };
}
