/** JSON value that is exchanged between processes. */
export type JsonValue = string | number | boolean | null | readonly JsonValue[] | JsonObject;

export interface JsonObject {
    readonly [key: string]: JsonValue | undefined;
}

/** Returns the nesting depth of arrays and objects. Stops counting at `limit` + 1. */
export function jsonDepth(value: unknown, limit: number): number {
    if (typeof value !== "object" || value === null) {
        return 0;
    }
    if (limit <= 0) {
        return 1;
    }
    let deepest = 0;
    for (const item of Object.values(value)) {
        deepest = Math.max(deepest, jsonDepth(item, limit - 1));
        if (deepest >= limit) {
            break;
        }
    }
    return deepest + 1;
}

/** Serializes a value with sorted object keys, so that equal values have equal text. */
export function canonicalJson(value: unknown): string {
    return JSON.stringify(value, (_key, item: unknown) =>
        typeof item === "object" && item !== null && !Array.isArray(item)
            ? Object.fromEntries(Object.entries(item).sort(([a], [b]) => (a < b ? -1 : a > b ? 1 : 0)))
            : item,
    );
}
