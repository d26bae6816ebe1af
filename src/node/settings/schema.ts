/** Schema of the settings file: sections, keys and defaults. */
import { z } from "zod";

const portSchema = z.coerce.number().int().min(0).max(65_535);
const durationSchema = z.coerce.number().int().positive();
const urlSchema = z.url({ protocol: /^https?$/, error: "must be an http or https URL" });
const nameSchema = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/, {
    error: "must have 1 to 64 letters, digits, dots, underscores or hyphens",
});
const levelSchema = z.enum(["trace", "debug", "info", "warn", "error", "silent"]);

const listenerShape = {
    /** IP address to listen on. @default 127.0.0.1 */
    address: z.union([z.ipv4(), z.ipv6()]).default("127.0.0.1"),
    /** TCP port. */
    port: portSchema,
    /** PEM file of the certificate chain. TLS is enabled when both files are set. @default "" (no TLS) */
    certificateFile: z.string().default(""),
    /** PEM file of the private key. @default "" (no TLS) */
    privateKeyFile: z.string().default(""),
};

export const settingsSchema = z.strictObject({
    node: z.strictObject({
        /** Name of this node, unique among the nodes. */
        id: nameSchema,
        dataCentre: nameSchema,
        region: nameSchema,
    }),
    callers: z.strictObject({
        ...listenerShape,
        /** Maximum size of a request body, bytes. @default 4194304 */
        maximumBodyBytes: z.coerce.number().int().positive().default(4_194_304),
        /** Maximum total size of the request headers, bytes. @default 16384 */
        maximumHeaderBytes: z.coerce.number().int().min(1024).default(16_384),
        /** Maximum nesting depth of a JSON body. @default 32 */
        maximumJsonDepth: z.coerce.number().int().positive().default(32),
        /** Maximum open requests per workspace at this node. @default 2000 */
        maximumRequestsPerWorkspace: z.coerce.number().int().positive().default(2000),
        /** Timeout for a caller that stops sending its request, milliseconds. @default 30000 */
        idleTimeoutMilliseconds: durationSchema.default(30_000),
        /** Timeout of requests that set no deadline, milliseconds. @default 120000 */
        requestTimeoutMilliseconds: durationSchema.default(120_000),
        /** Bytes buffered per response for a slow caller before upstream reads pause. @default 65536 */
        responseBufferBytes: z.coerce.number().int().positive().default(65_536),
        /**
         * Time for which reads from the engine may pause for a slow caller before the attempt is cancelled,
         * milliseconds.
         *
         * @default 5000
         */
        stalledReaderMilliseconds: durationSchema.default(5000),
    }),
    operators: z.strictObject({
        ...listenerShape,
        /** File with one SHA-256 digest of an operator key per line. */
        keyHashesFile: z.string().min(1),
    }),
    peers: z.strictObject({
        ...listenerShape,
        /** File with the key that all nodes share. */
        sharedKeyFile: z.string().min(1),
        /** Comma-separated base URLs of the peers to contact at startup. @default "" */
        seeds: z
            .string()
            .default("")
            .transform(text =>
                text
                    .split(",")
                    .map(part => part.trim())
                    .filter(part => part !== ""),
            )
            .pipe(z.array(urlSchema)),
    }),
    platform: z.strictObject({
        tableService: urlSchema,
        objectStore: urlSchema,
        /** List of live and leaving VMs. */
        virtualMachineList: urlSchema,
        ratingService: urlSchema,
        weightStore: urlSchema,
    }),
    limits: z
        .strictObject({
            /** Maximum queued requests at this node, over all workspaces. @default 2000 */
            queueLength: z.coerce.number().int().positive().default(2000),
            /**
             * Maximum number of retries, as a fraction of the accepted requests. Retries of attempts that did
             * not run and resumed streams do not count.
             *
             * @default 0.1
             */
            retryShare: z.coerce.number().min(0).max(1).default(0.1),
            /**
             * Maximum time since the configuration was last confirmed to be current, milliseconds. When it is
             * exceeded, new requests are rejected.
             *
             * @default 3000
             */
            freshnessMilliseconds: durationSchema.default(3000),
            /** Maximum size of unwritten bills in memory, bytes. @default 67108864 */
            billMemoryBytes: z.coerce.number().int().positive().default(67_108_864),
            /** Time that a stopping node waits for running streams to end, milliseconds. @default 600000 */
            drainMilliseconds: durationSchema.default(600_000),
            /**
             * Time for which a stopping node accepts requests that the balancer still sends, milliseconds.
             *
             * @default 2000
             */
            announceMilliseconds: z.coerce.number().int().min(0).default(2000),
        })
        .prefault({}),
    admission: z
        .strictObject({
            /** Lifetime of a credit, milliseconds. Equal on all nodes. @default 3000 */
            grantMilliseconds: durationSchema.default(3000),
            /** Time between credit renewals, milliseconds; up to a third of the grant. @default 1000 */
            renewalMilliseconds: durationSchema.default(1000),
            /**
             * Time within which nodes in contact with a majority have the same view of the members,
             * milliseconds. Equal on all nodes.
             *
             * @default 4000
             */
            viewLagMilliseconds: durationSchema.default(4000),
        })
        .refine(admission => admission.renewalMilliseconds * 3 <= admission.grantMilliseconds, {
            path: ["renewalMilliseconds"],
            error: "a number up to a third of grantMilliseconds",
        })
        .prefault({}),
    sessions: z.strictObject({
        /** File with the key that signs session tokens. Equal on all nodes. */
        sealingKeyFile: z.string().min(1),
        /** Idle time after which a session expires, milliseconds. @default 1800000 */
        idleMilliseconds: durationSchema.default(1_800_000),
    }),
    logging: z
        .strictObject({
            /** Level of components that `parts` does not list. @default info */
            level: levelSchema.default("info"),
            /** Comma-separated levels of components, as `component=level`. @default "" */
            parts: z
                .string()
                .default("")
                .transform(text =>
                    text
                        .split(",")
                        .map(part => part.trim())
                        .filter(part => part !== ""),
                )
                .pipe(
                    z.array(
                        z.string().regex(/^[a-z-]+=(trace|debug|info|warn|error|silent)$/, {
                            error: 'must look like "dispatch=debug"',
                        }),
                    ),
                ),
        })
        .prefault({}),
    metrics: z
        .strictObject({
            /** Address of the StatsD receiver. @default 127.0.0.1 */
            address: z.union([z.ipv4(), z.ipv6()]).default("127.0.0.1"),
            /** UDP port of the StatsD receiver. 0 disables metrics. @default 0 */
            port: portSchema.default(0),
        })
        .prefault({}),
});

export type Settings = z.infer<typeof settingsSchema>;
