/**
 * In-memory copy of one table of the store. Within an epoch of the store, the revisions of the rows and of the
 * table only increase, no matter which source a change comes from.
 *
 * A new epoch begins when the store comes back from an older copy. It has then lost the newest writes, and gives
 * their revisions out again. What it lost is written again by its writers, but later than the copy can be read.
 * Until then a known row that the copy lacks, or has in another form, is held: it stays in effect.
 */

/** A row as the store or a peer reports it. `value` is `undefined` when the row was removed. */
export interface RowChange {
    readonly key: string;
    /** Revision of the transaction that last wrote the row. */
    readonly revision: number;
    readonly value: string | undefined;
    /** Revision of the same row before the store lost it and its writer wrote it again. */
    readonly replaces?: number;
}

/** A state of a table: the epoch of the store, and the revision within it. */
export interface TableVersion {
    readonly epoch: number;
    readonly revision: number;
}

/** Changes of a table up to a version. */
export interface ChangeSet extends TableVersion {
    readonly rows: readonly RowChange[];
    /** Whether `rows` is the whole table: rows that are not listed do not exist. */
    readonly complete: boolean;
}

export type ChangeListener = (changes: readonly RowChange[]) => void;

export interface RowReplica {
    /** Epoch of the store in which the table was last read; 0 before the first read. */
    readonly epoch: number;
    /** Revision of the table in its epoch; 0 before the first read. */
    readonly revision: number;
    /** Revision at which a row of the store last changed or was removed. */
    readonly changedRevision: number;
    /** Row in effect: the held one, or else the store's. */
    get(key: string): RowChange | undefined;
    /** Rows in effect whose key starts with the prefix. */
    list(prefix?: string): readonly RowChange[];
    /** Row that the store holds. Its revision is the one for conditions. */
    stored(key: string): RowChange | undefined;
    /** Rows in effect that the store lacks or has in another form. `value` is `undefined` for removed rows. */
    held(): readonly RowChange[];
    /** Ends the hold of rows: those of the store take effect. @param isReleased @default all rows */
    releaseHeld(isReleased?: (row: RowChange) => boolean): void;
    /**
     * Applies the rows that are newer than this copy, and notifies the listeners of the changed ones. Changes of
     * a later epoch are applied only as a whole table.
     */
    apply(changes: ChangeSet): void;
    /** Changes after a version, for a peer that has the table up to that version. */
    changesSince(version: TableVersion): ChangeSet;
    onChange(listener: ChangeListener): void;
}

/**
 * Compares the age of two values of a row: positive when the candidate is the later one, negative when it is
 * the earlier one, 0 when the values do not tell.
 */
export type CompareAge = (candidate: RowChange, known: RowChange) => number;

/** Holds only rows that a restored store lacks, and takes those that it has in another form. */
export const preferStored: CompareAge = () => 1;

/** Number of removed rows that are kept, so that peers receive the removals. */
const MAXIMUM_REMOVED_ROWS = 500;

export function createRowReplica(compareAge: CompareAge = () => 0): RowReplica {
    const rows = new Map<string, RowChange>();
    const removed = new Map<string, RowChange>();
    const held = new Map<string, RowChange>();
    const listeners: ChangeListener[] = [];
    let epoch = 0;
    let revision = 0;
    /** Removals up to this revision are not available. A peer with an older revision gets the whole table. */
    let discardedRevision = 0;
    let changedRevision = 0;

    const recordRemoval = (change: RowChange): void => {
        removed.delete(change.key);
        removed.set(change.key, change);
        if (removed.size > MAXIMUM_REMOVED_ROWS) {
            const [oldest] = removed.values();
            removed.delete(oldest!.key);
            discardedRevision = Math.max(discardedRevision, oldest!.revision);
        }
    };

    const inEffect = (key: string): RowChange | undefined => {
        const row = held.get(key) ?? rows.get(key);
        return row?.value === undefined ? undefined : row;
    };

    const isNewer = (change: RowChange): boolean =>
        change.revision > (rows.get(change.key)?.revision ?? removed.get(change.key)?.revision ?? 0);

    /** Records that the row was written again if it has the value of the one that was in effect. */
    const withOrigin = (change: RowChange, known: RowChange): RowChange =>
        change.value !== undefined && change.value === known.value && change.revision !== known.revision
            ? { ...change, replaces: known.revision }
            : change;

    /** Returns the change of the row in effect, if there is one. */
    const applyRow = (change: RowChange): RowChange | undefined => {
        if (!isNewer(change)) {
            return undefined;
        }
        const known = inEffect(change.key);
        const kept = held.get(change.key);
        if (change.value === undefined) {
            rows.delete(change.key);
            recordRemoval(change);
        }
        else {
            removed.delete(change.key);
            rows.set(change.key, change);
        }
        if (kept === undefined) {
            return change.value === undefined && known === undefined ? undefined : change;
        }
        if (change.value !== undefined && kept.value !== undefined && compareAge(change, kept) < 0) {
            return undefined;
        }
        held.delete(change.key);
        return change.value === undefined && known === undefined ? undefined : withOrigin(change, kept);
    };

    const removalsOfUnlistedRows = (changes: ChangeSet): readonly RowChange[] => {
        const listed = new Set(changes.rows.map(row => row.key));
        return [...rows.values()]
            .filter(row => !listed.has(row.key) && row.revision <= changes.revision)
            .map(row => ({ key: row.key, revision: changes.revision, value: undefined }));
    };

    /** Whether a row of a restored store was written after the known one was. */
    const isWrittenLater = (row: RowChange, known: RowChange): boolean => {
        const age = known.value === undefined ? 0 : compareAge(row, known);
        return age > 0 || (age === 0 && row.revision > revision);
    };

    /** Takes over the table of a later epoch. Returns the changes of the rows in effect. */
    const rebase = (changes: ChangeSet): readonly RowChange[] => {
        const known = new Map([...removed, ...rows, ...held]);
        const restored = new Map(changes.rows.map(row => [row.key, row]));
        const applied: RowChange[] = [];
        held.clear();
        for (const [key, row] of known) {
            const candidate = restored.get(key);
            if (candidate === undefined ? row.value === undefined : candidate.value === row.value) {
                if (candidate !== undefined && candidate.revision !== row.revision) {
                    applied.push(withOrigin(candidate, row));
                }
            }
            else if (candidate !== undefined && isWrittenLater(candidate, row)) {
                applied.push(candidate);
            }
            else {
                held.set(key, row);
            }
        }
        applied.push(...changes.rows.filter(row => !known.has(row.key)));
        rows.clear();
        removed.clear();
        restored.forEach((row, key) => rows.set(key, row));
        return applied;
    };

    const notify = (changes: readonly RowChange[]): void => listeners.forEach(listener => listener(changes));

    return {
        get epoch() {
            return epoch;
        },
        get revision() {
            return revision;
        },
        get changedRevision() {
            return changedRevision;
        },
        get: inEffect,
        list: (prefix = "") =>
            [...rows.values(), ...[...held.values()].filter(row => !rows.has(row.key))].flatMap(row =>
                row.key.startsWith(prefix) ? (inEffect(row.key) ?? []) : [],
            ),
        stored: key => rows.get(key),
        held: () => [...held.values()],
        releaseHeld: (isReleased = () => true) => {
            const changes: RowChange[] = [];
            for (const row of [...held.values()].filter(isReleased)) {
                held.delete(row.key);
                const stored = rows.get(row.key);
                if (stored !== undefined) {
                    changes.push(stored);
                }
                else if (row.value !== undefined) {
                    changes.push({ key: row.key, revision, value: undefined });
                }
            }
            if (changes.length > 0) {
                notify(changes);
            }
        },
        apply: changes => {
            const isFirst = revision === 0 && epoch === 0;
            if (changes.epoch < epoch || (changes.epoch === epoch && changes.revision < revision)) {
                return;
            }
            const isLaterEpoch = changes.epoch > epoch;
            if (isLaterEpoch && !changes.complete && !isFirst) {
                return;
            }
            let applied: readonly RowChange[];
            let hasChanged = changes.complete || isFirst;
            if (isLaterEpoch && !isFirst) {
                applied = rebase(changes);
            }
            else {
                const candidates = changes.complete
                    ? [...changes.rows, ...removalsOfUnlistedRows(changes)]
                    : changes.rows;
                hasChanged ||= candidates.some(isNewer);
                applied = candidates.flatMap(change => applyRow(change) ?? []);
            }
            epoch = changes.epoch;
            revision = changes.revision;
            if (hasChanged) {
                changedRevision = revision;
            }
            if (changes.complete || isFirst) {
                // A whole table does not tell which rows were removed since the last read.
                discardedRevision = revision;
            }
            if (applied.length > 0 || isFirst || isLaterEpoch) {
                notify(applied);
            }
        },
        changesSince: since => {
            const complete = since.epoch !== epoch || since.revision < discardedRevision;
            const changed = [...rows.values(), ...(complete ? [] : removed.values())];
            return {
                epoch,
                revision,
                complete,
                rows: complete ? changed : changed.filter(row => row.revision > since.revision),
            };
        },
        onChange: listener => {
            listeners.push(listener);
        },
    };
}
