/** Map that forgets its least recently set keys, so that callers who choose the keys cannot make it grow. */
export interface BoundedMap<Value> {
    get(key: string): Value | undefined;
    set(key: string, value: Value): void;
    delete(key: string): void;
    entries(): IterableIterator<[string, Value]>;
    readonly size: number;
}

export function createBoundedMap<Value>(maximumSize: number): BoundedMap<Value> {
    const map = new Map<string, Value>();
    return {
        get: key => map.get(key),
        set: (key, value) => {
            map.delete(key);
            map.set(key, value);
            if (map.size > maximumSize) {
                map.delete(map.keys().next().value!);
            }
        },
        delete: key => {
            map.delete(key);
        },
        entries: () => map.entries(),
        get size() {
            return map.size;
        },
    };
}
