/** Reads and validates the settings file. */
import { readFileSync } from "node:fs";
import { parse } from "ini";
import type { z } from "zod";
import { formatSettingName, unsetEmptyValues } from "./empty-values.js";
import type { SettingName } from "./empty-values.js";
import { settingsSchema } from "./schema.js";
import type { Settings } from "./schema.js";

type DeepReadonly<Value> = Value extends object
    ? { readonly [Key in keyof Value]: DeepReadonly<Value[Key]> }
    : Value;

/** Settings with the contents of the key files that they name. Deeply frozen. */
export interface ResolvedConfig extends DeepReadonly<Settings> {
    /** Settings that are present without a value, as `[section] key`. Omits those that are empty by default. */
    readonly notSet: readonly string[];
    readonly secrets: {
        /** SHA-256 digests of operator keys, hexadecimal. */
        readonly operatorKeyHashes: readonly string[];
        readonly peersKey: string;
        readonly sealingKey: string;
    };
}

/** Thrown when the settings are invalid. The message has one line per problem. */
export class SettingsError extends Error {
    constructor(
        readonly file: string,
        readonly problems: readonly string[],
    ) {
        super(problems.map(problem => `${file}: ${problem}`).join("\n"));
        this.name = "SettingsError";
    }
}

/** Describes a schema issue with the section, the key, the value that was read and the allowed values. */
function describeIssue(issue: z.core.$ZodIssue, raw: unknown): readonly string[] {
    const [section, key] = issue.path.map(String);
    if (issue.code === "unrecognized_keys") {
        return issue.keys.map(name =>
            section === undefined
                ? `section [${name}] is unknown; known sections: ${Object.keys(settingsSchema.shape).join(", ")}`
                : `section [${section}] key "${name}" is unknown; known keys: ${knownKeys(section).join(", ")}`,
        );
    }
    if (key === undefined) {
        return [`section [${section ?? "?"}] is missing`];
    }
    const value = (raw as Record<string, Record<string, unknown> | undefined>)[section!]?.[key];
    const read = value === undefined ? "nothing" : JSON.stringify(value);
    return [`section [${section}] key "${key}": read ${read}; ${describeAllowedValues(issue)}`];
}

function describeAllowedValues(issue: z.core.$ZodIssue): string {
    switch (issue.code) {
        case "invalid_value":
            return `allowed: ${issue.values.map(String).join(", ")}`;
        case "too_small":
            return `allowed: ${issue.origin === "string" ? "a non-empty string" : `a number from ${issue.minimum}`}`;
        case "too_big":
            return `allowed: a number up to ${issue.maximum}`;
        case "invalid_type":
            return `allowed: a ${issue.expected}`;
        default:
            return `allowed: ${issue.message}`;
    }
}

function knownKeys(section: string): readonly string[] {
    const schema = settingsSchema.shape[section as keyof typeof settingsSchema.shape] as unknown as {
        readonly shape?: object;
        readonly def?: { readonly innerType?: { readonly shape?: object } };
    };
    return Object.keys(schema.shape ?? schema.def?.innerType?.shape ?? {});
}

/** Whether the default of a setting is the empty value that was read. */
function isEmptyByDefault(settings: Settings, { section, key }: SettingName): boolean {
    const value = (settings as Readonly<Record<string, Readonly<Record<string, unknown>>>>)[section]?.[key];
    return value === "" || (Array.isArray(value) && value.length === 0);
}

/** Reads the file that a settings key names. Adds to `problems` if it is empty or cannot be read. */
function readKeyFile(section: string, key: string, path: string, problems: string[]): string {
    try {
        const text = readFileSync(path, "utf8").trim();
        if (text === "") {
            problems.push(`section [${section}] key "${key}": the file ${path} is empty`);
        }
        return text;
    }
    catch (error) {
        problems.push(
            `section [${section}] key "${key}": read "${path}"; allowed: a readable file (${(error as Error).message})`,
        );
        return "";
    }
}

function deepFreeze<Value>(value: Value): Value {
    if (typeof value === "object" && value !== null && !Object.isFrozen(value)) {
        Object.freeze(value);
        Object.values(value).forEach(deepFreeze);
    }
    return value;
}

/**
 * Parses and validates the text of a settings file. A setting with an empty value is not set.
 *
 * @param file File name for error messages.
 * @throws SettingsError
 */
export function resolveConfig(file: string, text: string): ResolvedConfig {
    const { values, notSet } = unsetEmptyValues(parse(text));
    const result = settingsSchema.safeParse(values);
    if (!result.success) {
        throw new SettingsError(
            file,
            result.error.issues.flatMap(issue => describeIssue(issue, values)),
        );
    }
    const settings = result.data;
    const problems: string[] = [];
    const operatorKeyHashes = readKeyFile(
        "operators",
        "keyHashesFile",
        settings.operators.keyHashesFile,
        problems,
    )
        .split("\n")
        .map(line => line.trim())
        .filter(line => line !== "");
    const peersKey = readKeyFile("peers", "sharedKeyFile", settings.peers.sharedKeyFile, problems);
    const sealingKey = readKeyFile("sessions", "sealingKeyFile", settings.sessions.sealingKeyFile, problems);
    for (const section of ["callers", "operators", "peers"] as const) {
        const { certificateFile, privateKeyFile } = settings[section];
        if ((certificateFile === "") !== (privateKeyFile === "")) {
            problems.push(`section [${section}]: certificateFile and privateKeyFile must be set together`);
        }
    }
    if (problems.length > 0) {
        throw new SettingsError(file, problems);
    }
    return deepFreeze({
        ...settings,
        notSet: notSet.filter(name => !isEmptyByDefault(settings, name)).map(formatSettingName),
        secrets: { operatorKeyHashes, peersKey, sealingKey },
    });
}

/** @throws SettingsError when the file cannot be read or its settings are invalid. */
export function readConfig(file: string): ResolvedConfig {
    let text: string;
    try {
        text = readFileSync(file, "utf8");
    }
    catch (error) {
        throw new SettingsError(file, [`the file cannot be read: ${(error as Error).message}`]);
    }
    return resolveConfig(file, text);
}
