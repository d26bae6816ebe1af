/** Messages between the holder of the `orders` lease, the engines and the weight store. */
import { z } from "zod";

/** Phases of inference that an engine runs: prompt processing, token generation or both. */
export type EngineRole = "mixed" | "prefill" | "decode";

/** Body of `POST /orders`: the complete wanted state of an engine. */
export interface EngineOrder {
    readonly id: string;
    /** Fencing token of the lease as a decimal string. */
    readonly fencing: string;
    /** Milliseconds since the epoch. From this time on, the engine must not apply the order. */
    readonly expiresAt: number;
    readonly role: EngineRole;
    /** Versions that the engine is to hold, as `MODEL/VERSION`. */
    readonly versions: readonly string[];
    /** Permit of the weight store for each version that the engine is to load now. */
    readonly permits: Readonly<Record<string, string>>;
}

const countsSchema = z.record(z.string(), z.int().min(0));

const engineStateSchema = z.object({
    bootId: z.string(),
    role: z.enum(["mixed", "prefill", "decode"]),
    slots: z.int().min(1),
    loaded: z.array(z.string()),
    loading: z.array(z.object({ version: z.string(), progress: z.number() })),
    /** Versions that accept no new streams and are unloaded after their running streams end. */
    unloading: z.array(z.string()),
    fencing: z.string().regex(/^\d+$/, { error: "must be a decimal number" }),
    streams: countsSchema,
});

/** Answer to `GET /orders`. */
export type EngineState = Readonly<z.infer<typeof engineStateSchema>>;

/** @throws z.ZodError when the answer does not match the protocol. */
export function parseEngineState(value: unknown): EngineState {
    return engineStateSchema.parse(value);
}

/** Outcome of sending an order. With `failed`, the engine may or may not have applied it. */
export type OrderOutcome = "accepted" | "old-number" | "expired" | "failed";

export type PermitAnswer =
    | {
          readonly kind: "granted";
          readonly permit: string;
          /** Milliseconds from the answer within which the load must start. */
          readonly validMilliseconds: number;
      }
    | { readonly kind: "denied"; readonly retryAfterMilliseconds: number };

/** Current demand at one node. A later report of the node replaces it. */
export interface DemandReport {
    readonly node: string;
    /** Increases with each restart of the node. */
    readonly incarnation: number;
    /** Increases with each report of the incarnation. */
    readonly sequence: number;
    /** Requests by `MODEL/VERSION`. */
    readonly versions: Readonly<Record<string, { readonly waiting: number; readonly inFlight: number }>>;
}
