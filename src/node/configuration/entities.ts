/**
 * Entities of the configuration, as tickets carry them. The schemas validate operator input; the types are
 * derived from them.
 */
import { z } from "zod";

/** Names appear in URLs, row keys and metric attributes, so only safe characters are allowed. */
const nameSchema = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/, {
    error: "must have 1 to 64 letters, digits, dots, underscores or hyphens",
});

const budgetSchema = z.strictObject({
    /** Concurrent requests. */
    concurrency: z.int().min(0).max(100_000),
    /** Tokens of all running requests: prompt, generated so far and expected. */
    memoryTokens: z.int().min(0),
});

export const workspaceSchema = z.strictObject({
    /** SHA-256 digests of the workspace's API keys, in hexadecimal. */
    keyHashes: z.array(
        z.string().regex(/^[0-9a-f]{64}$/, { error: "must be a SHA-256 digest in hexadecimal" }),
    ),
    /** Models and cascades that the workspace may request. */
    models: z.array(nameSchema),
    /** Versions that the workspace may use, as `MODEL/VERSION`; all versions of its models when absent. */
    versions: z.array(z.string()).optional(),
    /** Plain services that the workspace may call. */
    services: z.array(nameSchema),
    /** Average rating that answers must reach, as a share of the best obtainable rating, 0 to 1. */
    qualityTarget: z.number().min(0).max(1),
    /** Accepted requests per second, summed over all nodes. */
    requestsPerSecond: z.number().positive(),
    /** Running and queued requests, summed over all nodes. */
    concurrency: z.int().positive(),
});

export const modelSchema = z.strictObject({
    versions: z
        .array(
            z.strictObject({
                name: nameSchema,
                state: z.enum(["active", "withdrawn"]),
            }),
        )
        .min(1),
    /** Version that serves the traffic that no rollout has moved. */
    baseline: nameSchema,
    /** Fallback models, in order, for when no engine of this model has capacity. */
    spill: z.array(nameSchema),
});

export const cascadeSchema = z.strictObject({
    /** Models, cheapest first. */
    steps: z.array(nameSchema).min(1),
    /** How answers of all steps but the last are judged. */
    judge: z.enum(["rating", "none"]),
});

export const upstreamSchema = z.strictObject({
    kind: z.enum(["engine", "service"]),
    /** Base URL, for example `http://127.0.0.1:9001`. */
    address: z.url(),
    dataCentre: nameSchema,
    region: nameSchema,
    /** Model and version that an engine serves; required for engines. */
    model: nameSchema.optional(),
    version: nameSchema.optional(),
    /** Service that a service upstream serves; required for services. */
    service: nameSchema.optional(),
    warm: budgetSchema,
    cold: budgetSchema,
    /** Whether the engine rejects an order with an older fencing token. */
    checksFencing: z.boolean(),
    costPerThousandTokens: z.number().min(0),
    state: z.enum(["active", "leaving"]),
});

export const serviceSchema = z.strictObject({
    /** Idempotent calls, as `METHOD /path-prefix`. All others run at most once. */
    repeatable: z.array(z.string().regex(/^[A-Z]+ \//, { error: 'must look like "GET /stock"' })),
});

export const dataCentreSchema = z.strictObject({
    region: nameSchema,
    state: z.enum(["active", "drained"]),
});

export const rolloutSchema = z.strictObject({
    model: nameSchema,
    version: nameSchema,
    /** Shares of new sessions routed to the version, strictly increasing from above 0 to 1. */
    steps: z.array(z.number().positive().max(1)).min(1),
    state: z.enum(["running", "halted"]),
});

/** Schema of an entity's state, by entity kind. */
export const entitySchemas = {
    workspace: workspaceSchema,
    model: modelSchema,
    cascade: cascadeSchema,
    upstream: upstreamSchema,
    service: serviceSchema,
    dataCentre: dataCentreSchema,
    rollout: rolloutSchema,
} as const;

export type EntityKind = keyof typeof entitySchemas;
export type Workspace = Readonly<z.infer<typeof workspaceSchema>>;
export type Model = Readonly<z.infer<typeof modelSchema>>;
export type Cascade = Readonly<z.infer<typeof cascadeSchema>>;
export type Upstream = Readonly<z.infer<typeof upstreamSchema>>;
export type Service = Readonly<z.infer<typeof serviceSchema>>;
export type DataCentre = Readonly<z.infer<typeof dataCentreSchema>>;
export type Rollout = Readonly<z.infer<typeof rolloutSchema>>;

/** Type of an entity's state, by entity kind. */
export interface EntityStates {
    readonly workspace: Workspace;
    readonly model: Model;
    readonly cascade: Cascade;
    readonly upstream: Upstream;
    readonly service: Service;
    readonly dataCentre: DataCentre;
    readonly rollout: Rollout;
}

const entityChangeSchemas = Object.entries(entitySchemas).map(([kind, schema]) =>
    z.strictObject({
        kind: z.literal(kind as EntityKind),
        name: nameSchema,
        /** Complete new state; absent when the ticket removes the entity. */
        state: (schema as z.ZodType).optional(),
    }),
);

/** Ticket as an operator submits it. */
export const ticketSchema = z.strictObject({
    /** Chosen by the operators; higher numbers are newer. */
    number: z.int().positive(),
    changes: z
        .array(
            z.discriminatedUnion(
                "kind",
                entityChangeSchemas as unknown as [
                    (typeof entityChangeSchemas)[0],
                    ...typeof entityChangeSchemas,
                ],
            ),
        )
        .min(1)
        .max(500),
});

/** One entity that a ticket changes, with its complete new state; the entity is removed when absent. */
export type EntityChange = {
    readonly [Kind in EntityKind]: {
        readonly kind: Kind;
        readonly name: string;
        readonly state?: EntityStates[Kind];
    };
}[EntityKind];

export interface Ticket {
    readonly number: number;
    readonly changes: readonly EntityChange[];
}

export interface AcceptedTicket {
    /** Position in the log of accepted tickets, starting at 1. */
    readonly revision: number;
    readonly ticket: Ticket;
}
