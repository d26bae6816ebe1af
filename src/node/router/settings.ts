/** Settings of a router node: sections and keys of its INI file. */
import { readFileSync } from "node:fs";
import { parse } from "ini";
import { z } from "zod";

const port = z.coerce.number().int().min(1).max(65_535);
const address = z.string().min(1);
const milliseconds = z.coerce.number().nonnegative();
const share = z.coerce.number().min(0).max(1);
const list = z
    .string()
    .default("")
    .transform(text => text.split(",").flatMap(part => (part.trim() === "" ? [] : [part.trim()])));

/** `ip:port` */
const endpoint = z.string().regex(/^[^:\s]+:\d+$/, { error: "must look like 10.0.0.1:8080" });

const routerSchema = z.strictObject({
    node: z.strictObject({
        id: z.string().min(1),
        dataCentre: z.string().min(1),
    }),
    callers: z.strictObject({
        listen: endpoint,
        /** Largest size of all request headers, bytes. @default 16384 */
        maximumHeaderBytes: z.coerce.number().int().min(1024).default(16_384),
    }),
    readiness: z.strictObject({ listen: endpoint }),
    peers: z.strictObject({
        listen: endpoint,
        /** Peers to ask while the store is out of reach and no other is known. */
        seeds: list,
    }),
    metrics: z.strictObject({
        address,
        port,
    }),
    store: z.strictObject({
        endpoint,
        /** Time that a removed registration may be missing after an outage of the store, milliseconds. */
        lapseGraceMilliseconds: milliseconds.default(1800),
    }),
    stop: z
        .strictObject({
            /** Time from SIGTERM until the process must have ended, milliseconds. */
            graceMilliseconds: milliseconds.default(8000),
            /** Time for which a stopping node goes on accepting connections, milliseconds. */
            announceMilliseconds: milliseconds.default(2600),
        })
        .prefault({}),
    retries: z
        .strictObject({
            /** Further sends per request over all nodes. */
            ratio: z.coerce.number().nonnegative().default(0.5),
            windowSeconds: z.coerce.number().positive().default(10),
            /** Further sends in a window that need no requests, over all nodes. */
            extra: z.coerce.number().nonnegative().default(10),
        })
        .prefault({}),
    cold: z
        .strictObject({
            /** Sends to a cold upstream relative to the rate that it bears, over all nodes. */
            factor: z.coerce.number().positive().default(1.2),
        })
        .prefault({}),
    sessions: z
        .strictObject({
            idleSeconds: z.coerce.number().positive().default(30),
        })
        .prefault({}),
    shifts: z
        .strictObject({
            /** Largest share of requests that may reach a version that turns out bad. */
            exposureShare: share.default(0.1),
        })
        .prefault({}),
    models: z
        .strictObject({
            /** Confidence, 0 to 100, below which a larger model is asked. */
            confidenceThreshold: z.coerce.number().min(0).max(101).default(60),
        })
        .prefault({}),
    logging: z
        .strictObject({
            level: z.enum(["debug", "info", "warn", "error", "silent"]).default("info"),
            /** Lines a second for requests that went as usual. */
            requestLinesPerSecond: z.coerce.number().int().nonnegative().default(400),
            /** Lines a second for requests that failed, besides the others. */
            failureLinesPerSecond: z.coerce.number().int().nonnegative().default(100),
        })
        .prefault({}),
});

type DeepReadonly<Value> = Value extends object
    ? { readonly [Key in keyof Value]: DeepReadonly<Value[Key]> }
    : Value;

export type ResolvedRouterConfig = DeepReadonly<z.infer<typeof routerSchema>>;

/** The settings of a router cannot be used. The message has one line per problem. */
export class RouterSettingsError extends Error {
    constructor(file: string, problems: readonly string[]) {
        super(problems.map(problem => `${file}: ${problem}`).join("\n"));
        this.name = "RouterSettingsError";
    }
}

function lineOf(text: string, section: string, key: string | undefined): number | undefined {
    const lines = text.split("\n").map(line => line.trim());
    const start = lines.indexOf(`[${section}]`);
    if (start < 0 || key === undefined) {
        return start < 0 ? undefined : start + 1;
    }
    const at = lines.findIndex((line, index) => index > start && line.split("=")[0]!.trim() === key);
    return (at < 0 ? start : at) + 1;
}

function describe(issue: z.core.$ZodIssue, text: string): readonly string[] {
    const [section, key] = issue.path.map(String);
    if (issue.code === "unrecognized_keys") {
        return issue.keys.map(name =>
            section === undefined
                ? `line ${lineOf(text, name, undefined) ?? "?"}: section [${name}] is unknown`
                : `line ${lineOf(text, section, name) ?? "?"}: section [${section}] key "${name}" is unknown`,
        );
    }
    if (section === undefined || key === undefined) {
        return [`section [${section ?? "?"}] is missing`];
    }
    return [`line ${lineOf(text, section, key) ?? "?"}: section [${section}] key "${key}": ${issue.message}`];
}

/** @throws RouterSettingsError */
export function resolveRouterConfig(file: string, text: string): ResolvedRouterConfig {
    const result = routerSchema.safeParse(parse(text));
    if (!result.success) {
        throw new RouterSettingsError(
            file,
            result.error.issues.flatMap(issue => describe(issue, text)),
        );
    }
    return result.data;
}

/** @throws RouterSettingsError */
export function readRouterConfig(file: string): ResolvedRouterConfig {
    let text: string;
    try {
        text = readFileSync(file, "utf8");
    }
    catch (error) {
        throw new RouterSettingsError(file, [`the file cannot be read: ${(error as Error).message}`]);
    }
    return resolveRouterConfig(file, text);
}

/** Splits `ip:port`. */
export function splitEndpoint(text: string): { readonly address: string; readonly port: number } {
    const at = text.lastIndexOf(":");
    return { address: text.slice(0, at), port: Number(text.slice(at + 1)) };
}
