/**
 * Entity tables. A system owns the writable table; all other code gets the read-only `Table` view.
 */

/** Read-only view of entities by key. */
export interface Table<Row> {
    readonly size: number;
    get(key: string): Row | undefined;
    has(key: string): boolean;
    keys(): IterableIterator<string>;
    values(): IterableIterator<Row>;
    entries(): IterableIterator<[string, Row]>;
}

/** Writable table of the owning system. Rows are replaced, never changed in place. */
export interface WritableTable<Row> extends Table<Row> {
    set(key: string, row: Row): void;
    delete(key: string): boolean;
    clear(): void;
}

export function createTable<Row>(rows: Iterable<readonly [string, Row]> = []): WritableTable<Row> {
    const map = new Map<string, Row>(rows);
    return {
        get size() {
            return map.size;
        },
        get: key => map.get(key),
        has: key => map.has(key),
        keys: () => map.keys(),
        values: () => map.values(),
        entries: () => map.entries(),
        set: (key, row) => {
            map.set(key, row);
        },
        delete: key => map.delete(key),
        clear: () => map.clear(),
    };
}

/** Converts a table to a plain object for the state dump. */
export function dumpTable<Row>(
    table: Table<Row>,
    describe: (row: Row) => unknown = row => row,
): Record<string, unknown> {
    return Object.fromEntries([...table.entries()].map(([key, row]) => [key, describe(row)]));
}
