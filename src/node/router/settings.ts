/** Settings of a router node: sections and keys of its INI file. */
import { readFileSync } from "node:fs";
import { parse } from "ini";
import * as z from "zod/mini";
import en from "zod/v4/locales/en.js";
import { formatSettingName, unsetEmptyValues } from "../settings/empty-values.js";
import { DEFAULT_PRICES } from "../upstream-table/leaving-cost.js";

// Without a locale, zod/mini reports every problem as "Invalid input".
z.config(en());

const port = z.coerce.number().check(z.int(), z.minimum(1), z.maximum(65_535));
const address = z.string().check(z.minLength(1));
const nonNegative = z.coerce.number().check(z.nonnegative());
const positive = z.coerce.number().check(z.positive());
const count = z.coerce.number().check(z.int(), z.nonnegative());
const share = z.coerce.number().check(z.minimum(0), z.maximum(1));
const list = z.pipe(
    z._default(z.string(), ""),
    z.transform(text => text.split(",").flatMap(part => (part.trim() === "" ? [] : [part.trim()]))),
);

/** `ip:port` */
const endpoint = z.string().check(z.regex(/^[^:\s]+:\d+$/, { error: "must look like 10.0.0.1:8080" }));

const DEFAULT_GRACE_MILLISECONDS = 8000;

/** The other keys of the section only adjust duties that are done, and may be set for other reasons. */
function isDutyEndpointSet(duties: {
    readonly endpoint?: string | undefined;
    readonly names: readonly string[];
    readonly usage?: boolean | undefined;
    readonly scaling?: boolean | undefined;
}): boolean {
    const isDutyNamed = duties.names.length > 0 || duties.usage === true || duties.scaling === true;
    return duties.endpoint !== undefined || !isDutyNamed;
}

const routerSchema = z.strictObject({
    node: z.strictObject({
        id: z.string().check(z.minLength(1)),
        dataCentre: z.string().check(z.minLength(1)),
        /** Nodes take requests of nodes in their region only. */
        region: z.optional(z.string()),
        /** Names of the contracts of the deployment, which `platform/` translates into settings. */
        contracts: list,
        /** Capacity of the VM's link, Mbit/s. Nodes with the fastest links relay changes to the others. */
        linkMegabitsPerSecond: z.optional(positive),
    }),
    callers: z.strictObject({
        listen: endpoint,
        /** Maximum total size of the request headers, bytes. @default 16384 */
        maximumHeaderBytes: z._default(z.coerce.number().check(z.int(), z.minimum(1024)), 16_384),
    }),
    readiness: z.strictObject({ listen: endpoint }),
    peers: z.strictObject({
        listen: endpoint,
        /** Endpoints of peers to read from while the store is unreachable and no other peer is known. */
        seeds: list,
    }),
    loads: z.strictObject({
        /** Endpoint for UDP load reports; the port is the same on all nodes. */
        listen: endpoint,
    }),
    /** Without `listen`, the node neither takes requests of other nodes nor hands any over. */
    handover: z.optional(
        z.pipe(
            z.strictObject({
                /** Endpoint for requests of nodes without a path to the upstreams. Callers must not reach it. */
                listen: z.optional(endpoint),
            }),
            z.transform(({ listen }) => (listen === undefined ? undefined : { listen })),
        ),
    ),
    metrics: z.strictObject({
        address,
        port,
    }),
    store: z.strictObject({
        endpoint,
        /** Time to renew a registration that lapsed during an outage of the store, milliseconds. */
        lapseGraceMilliseconds: z._default(nonNegative, 1800),
        /** Time within which a configuration must be in force on every node, milliseconds. @default 2000 */
        applyMilliseconds: z._default(positive, 2000),
    }),
    stop: z.prefault(
        z.pipe(
            z
                .strictObject({
                    /** Time from SIGTERM until the process must have exited, milliseconds. @default 8000 */
                    graceMilliseconds: z.optional(nonNegative),
                    /** The same in seconds. */
                    graceSeconds: z.optional(nonNegative),
                    /** Time for which a stopping node keeps accepting connections, milliseconds. */
                    announceMilliseconds: z._default(nonNegative, 2600),
                })
                .check(
                    z.refine(
                        stop => stop.graceMilliseconds === undefined || stop.graceSeconds === undefined,
                        { path: ["graceSeconds"], error: "must not be set beside `graceMilliseconds`" },
                    ),
                ),
            z.transform(({ graceMilliseconds, graceSeconds, announceMilliseconds }) => ({
                graceMilliseconds:
                    graceMilliseconds ??
                    (graceSeconds === undefined ? DEFAULT_GRACE_MILLISECONDS : graceSeconds * 1000),
                announceMilliseconds,
            })),
        ),
        {},
    ),
    retries: z.prefault(
        z.strictObject({
            /** Retries and escalations per request, over all nodes. */
            ratio: z._default(nonNegative, 0.9),
            windowSeconds: z._default(positive, 10),
            /** Retries and escalations per window in addition to the ratio, over all nodes. */
            extra: z._default(nonNegative, 20),
        }),
        {},
    ),
    cold: z.prefault(
        z.strictObject({
            /** Rate of sends to a cold upstream relative to the rate that it sustains, over all nodes. */
            factor: z._default(positive, 1.2),
        }),
        {},
    ),
    sessions: z.prefault(
        z.strictObject({
            idleSeconds: z._default(positive, 30),
        }),
        {},
    ),
    shifts: z.prefault(
        z.strictObject({
            /** Maximum share of requests that may run on a faulty new version. */
            exposureShare: z._default(share, 0.1),
            /** Requests that may run on a faulty new version in addition to the share, over all nodes. */
            exposureRequests: z._default(nonNegative, 0),
        }),
        {},
    ),
    models: z.prefault(
        z.strictObject({
            /** Confidence, 0 to 100, at which half of the answers are acceptable. */
            evenConfidence: z._default(nonNegative, 50),
            /** Points of confidence that multiply the odds of an acceptable answer by e. */
            confidenceScale: z._default(positive, 5),
            /** Value of an acceptable answer per 1,000 weighted tokens, in the unit of the model prices. */
            worthPerThousandTokens: z._default(positive, 0.2),
        }),
        {},
    ),
    scarcity: z.prefault(
        z.strictObject({
            /** Orders requests by priority and rejects those that cannot be answered in time. @default false */
            enabled: z.optional(z.boolean()),
            /** Tells engines the priority of requests. @default true */
            sendPriorities: z._default(z.boolean(), true),
        }),
        {},
    ),
    placement: z.prefault(
        z.strictObject({
            /** Sends requests to upstreams of the own data centre where that serves callers. @default false */
            preferOwnDataCentre: z.optional(z.boolean()),
            /** Learns the speed of each upstream from requests. @default false */
            learnSpeeds: z.optional(z.boolean()),
            /** Bytes between data centres that cost as much as an answer in time is worth. @default 800000 */
            answerBytes: z._default(positive, DEFAULT_PRICES.answerBytes),
            /** Bytes between data centres that cost as much as one prompt token read again. @default 19 */
            promptTokenBytes: z._default(positive, DEFAULT_PRICES.promptTokenBytes),
        }),
        {},
    ),
    limits: z.prefault(
        z.strictObject({
            /** Memory of the VM for this process, megabytes. What is held for callers is limited by it. */
            memoryMegabytes: z._default(positive, 4096),
            /** File descriptors that the process may have open. The number of connections is limited by it. */
            fileDescriptors: z._default(positive, 65_536),
        }),
        {},
    ),
    /** Without `endpoint`, the node does no duties. */
    duties: z.optional(
        z.pipe(
            z
                .strictObject({
                    /** Endpoint that takes the calls of the duties. */
                    endpoint: z.optional(endpoint),
                    /** The platform's names of the duties, which `platform/` translates into `usage` and `scaling`. */
                    names: list,
                    /** Reports the usage of each window. @default false */
                    usage: z.optional(z.boolean()),
                    /** Orders the number of upstreams. @default false */
                    scaling: z.optional(z.boolean()),
                    /** Calls per second that all nodes together may make. */
                    callsPerSecond: z._default(positive, 50),
                    /** Time within which calls of two holders must not alternate, milliseconds. */
                    separationMilliseconds: z._default(nonNegative, 3000),
                    /** Time after a freeze or a partition in which late calls may arrive, milliseconds. */
                    thawSlackMilliseconds: z._default(nonNegative, 300),
                    /** Length of a window of usage, seconds. */
                    windowSeconds: z._default(positive, 5),
                    /** Time after the end of a window at which its report is due, seconds. */
                    delaySeconds: z._default(positive, 10),
                    /** Share by which a reported count may be off. */
                    toleratedShare: z._default(share, 0.05),
                    /** Whether the receiver rejects calls with a lower fencing token. */
                    fencingEnforced: z._default(z.boolean(), false),
                })
                .check(
                    z.refine(isDutyEndpointSet, {
                        path: ["endpoint"],
                        error: "must be set where `names`, `usage` or `scaling` asks for a duty",
                    }),
                ),
            z.transform(({ endpoint, ...duties }) =>
                endpoint === undefined ? undefined : { ...duties, endpoint },
            ),
        ),
    ),
    logging: z.prefault(
        z.strictObject({
            level: z._default(z.enum(["debug", "info", "warn", "error", "silent"]), "info"),
            /** Maximum log lines per second for normal requests. */
            requestLinesPerSecond: z._default(count, 40),
            /** Maximum additional log lines per second for failed requests. */
            failureLinesPerSecond: z._default(count, 100),
        }),
        {},
    ),
});

type DeepReadonly<Value> = Value extends object
    ? { readonly [Key in keyof Value]: DeepReadonly<Value[Key]> }
    : Value;

export interface ResolvedRouterConfig extends DeepReadonly<z.infer<typeof routerSchema>> {
    /** Settings that are present without a value, as `[section] key`. */
    readonly notSet: readonly string[];
    /** Sections that are present and whose part is off, as a setting that it needs has no value. */
    readonly sectionsOff: readonly string[];
}

/** The settings are invalid. The message has one line per problem. */
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

function valueAt(values: object, section: string, key: string): unknown {
    return (values as Readonly<Record<string, Readonly<Record<string, unknown>> | undefined>>)[section]?.[
        key
    ];
}

function describeIssue(issue: z.core.$ZodIssue, text: string, values: object): readonly string[] {
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
    const isMissing = issue.code === "invalid_type" && valueAt(values, section, key) === undefined;
    const problem = isMissing ? "must be set" : issue.message;
    return [`line ${lineOf(text, section, key) ?? "?"}: section [${section}] key "${key}": ${problem}`];
}

/**
 * A setting with an empty value is not set.
 *
 * @throws RouterSettingsError
 */
export function resolveRouterConfig(file: string, text: string): ResolvedRouterConfig {
    const { values, notSet } = unsetEmptyValues(parse(text));
    const result = routerSchema.safeParse(values);
    if (!result.success) {
        throw new RouterSettingsError(
            file,
            result.error.issues.flatMap(issue => describeIssue(issue, text, values)),
        );
    }
    const settings = result.data;
    const sectionsOff = Object.keys(values).filter(
        section => settings[section as keyof typeof settings] === undefined,
    );
    return { ...settings, notSet: notSet.map(formatSettingName), sectionsOff };
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
