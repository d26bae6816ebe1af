/** State dump of a node: its tables as plain JSON, with secrets redacted. */
import { MAXIMUM_DUMP_DEPTH } from "./constants.js";
import type { DumpFunction } from "./capabilities.js";

const REDACTED = "(left out)";

/** Names of fields whose values are always redacted, in lower case. */
const SECRET_FIELDS: ReadonlySet<string> = new Set([
    "apikey",
    "authorization",
    "idempotencykey",
    "keyhash",
    "keyhashes",
    "operatorkeyhashes",
    "password",
    "peerkey",
    "peerskey",
    "privatekey",
    "sealingkey",
    "secrets",
    "sessiontoken",
    "sharedkey",
]);

/** Secrets below this length are not searched for in other strings, which they would match by chance. */
const MINIMUM_SEARCHED_SECRET_LENGTH = 8;

export interface DumpOptions {
    /** Secret values of the process. Every string that contains one is redacted. */
    readonly secrets: readonly string[];
}

/** Converts a value to plain JSON: maps to objects, sets to arrays, and values that JSON lacks to strings. */
function toJson(value: unknown, secrets: readonly string[], ancestors: readonly object[]): unknown {
    switch (typeof value) {
        case "string":
            return value.includes("-----BEGIN") || secrets.some(secret => value.includes(secret))
                ? REDACTED
                : value;
        case "number":
            return Number.isFinite(value) ? value : String(value);
        case "bigint":
        case "symbol":
            return String(value);
        case "function":
            return "(function)";
        case "object":
            break;
        default:
            return value;
    }
    if (value === null) {
        return null;
    }
    if (ancestors.includes(value)) {
        return "(circular)";
    }
    if (ancestors.length >= MAXIMUM_DUMP_DEPTH) {
        return "(too deep)";
    }
    const path = [...ancestors, value];
    if (Array.isArray(value) || value instanceof Set) {
        return [...(value as Iterable<unknown>)].map(item => toJson(item, secrets, path));
    }
    if (value instanceof Date) {
        return value.toISOString();
    }
    if (value instanceof Error) {
        return toJson(`${value.name}: ${value.message}`, secrets, path);
    }
    if (ArrayBuffer.isView(value)) {
        return `(${value.byteLength} bytes)`;
    }
    const entries: Iterable<[unknown, unknown]> =
        value instanceof Map ? (value as Map<unknown, unknown>) : Object.entries(value);
    const result: [string, unknown][] = [];
    for (const [key, item] of entries) {
        const name = String(toJson(String(key), secrets, []));
        result.push([name, SECRET_FIELDS.has(name.toLowerCase()) ? REDACTED : toJson(item, secrets, path)]);
    }
    return Object.fromEntries(result);
}

/**
 * Collects the tables of the state dump. A table that fails is replaced with its error, so that one fault
 * does not hide the other tables, which may be needed to find its cause.
 *
 * @param table Name of the only table to collect.
 */
export function collectDump(
    dumps: Readonly<Record<string, DumpFunction>>,
    options: DumpOptions,
    table?: string,
): Record<string, unknown> {
    const secrets = options.secrets.filter(secret => secret.length >= MINIMUM_SEARCHED_SECRET_LENGTH);
    const names = Object.keys(dumps).filter(name => table === undefined || name === table);
    return Object.fromEntries(
        names.map(name => {
            try {
                return [name, toJson(dumps[name]!(), secrets, [])];
            }
            catch (error) {
                return [name, toJson({ error }, secrets, [])];
            }
        }),
    );
}
