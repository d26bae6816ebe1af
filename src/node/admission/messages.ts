/**
 * Messages between nodes and owners. Rows are encoded as arrays to save bytes: at the target size a node
 * renews the credits of about 100 upstreams per second with 5 KB/s for control traffic.
 */
import { z } from "zod";
import type { JsonValue } from "../common/json.js";
import type { ObservationRun, Outcome } from "./evidence.js";
import { fits } from "./quantity.js";
import type { Quantity } from "./quantity.js";

export const ACQUIRE_METHOD = "admission.acquire";
export const RELEASE_METHOD = "admission.release";

/** An owner recalls the unused credits of an upstream that turned cold. */
export const RECALL_METHOD = "admission.recall";

/** A node's credits and demand for one upstream. */
export interface UpstreamDemand {
    readonly upstream: string;
    /** Credits that the node has been granted or is using. */
    readonly held: Quantity;
    /** Total credits that the node wants, including those in use. */
    readonly wanted: Quantity;
    /** Whether requests on the node wait for credits. */
    readonly isWaiting: boolean;
    readonly observations: readonly ObservationRun[];
    /** Last load report of the upstream, if the owner requested it. */
    readonly load?: ReportedLoad;
}

/** Load that an upstream reported. */
export interface ReportedLoad {
    readonly held: Quantity;
    /** Time since the upstream measured it. */
    readonly ageMilliseconds: number;
}

/** A node's message to an owner. An owner rejects messages of one sender that arrive out of order. */
export interface NodeRequest {
    readonly node: string;
    readonly incarnation: number;
    /** Increases with each message of the sender's incarnation, to any owner. */
    readonly sequence: number;
    readonly runners: readonly UpstreamDemand[];
}

/** Total credits that a node may use, including those in use. */
export interface UpstreamGrant {
    readonly upstream: string;
    readonly granted: Quantity;
    /**
     * Whether requests on other nodes wait for credits, so that unused credits must be returned immediately.
     */
    readonly contended: boolean;
    readonly warm: boolean;
    /** Whether the next message must include the upstream's load report. */
    readonly wantsLoad: boolean;
}

/**
 * Whether the receiver can infer the grant: the amount it already holds, on a warm upstream, with no flags.
 */
export function isDefaultGrant(grant: UpstreamGrant, held: Quantity): boolean {
    const { granted, contended, warm, wantsLoad } = grant;
    return warm && !contended && !wantsLoad && fits(granted, held) && fits(held, granted);
}

export interface OwnerReply {
    /** Validity of the grants, counted from the time at which the request was sent. */
    readonly validMilliseconds: number;
    /** Default grants are omitted to save bytes. */
    readonly grants: readonly UpstreamGrant[];
    /** Upstreams that the receiver of the request does not own or cannot grant. */
    readonly refused: readonly string[];
}

const amountSchema = z.number().min(0);
const observationSchema = z.tuple([
    z.enum(["fast", "slow", "error", "silent"] satisfies Outcome[]),
    z.int().min(0),
    z.string().max(256),
]);
const requestSchema = z.object({
    node: z.string(),
    incarnation: z.number(),
    sequence: z.int(),
    runners: z.array(
        z.tuple([
            z.string(),
            amountSchema,
            amountSchema,
            amountSchema,
            amountSchema,
            z.int().optional(),
            z.array(observationSchema).optional(),
            z.tuple([amountSchema, amountSchema, amountSchema]).optional(),
        ]),
    ),
});
const replySchema = z.object({
    valid: z.number().min(0),
    grants: z.array(z.tuple([z.string(), amountSchema, amountSchema, z.int()])),
    refused: z.array(z.string()).optional(),
});

const recallSchema = z.object({ owner: z.string(), upstream: z.string() });

/** @throws ZodError when the message is malformed. */
export function decodeRecall(value: JsonValue): z.infer<typeof recallSchema> {
    return recallSchema.parse(value);
}

/** Flags in the last column of a grant. */
const CONTENDED_BIT = 1;
const WARM_BIT = 2;
const WANTS_LOAD_BIT = 4;

function encodeDemand({ upstream, held, wanted, isWaiting, observations, load }: UpstreamDemand): JsonValue {
    const amounts = [held.concurrency, held.memoryTokens, wanted.concurrency, wanted.memoryTokens];
    const runs = observations.map(run => [run.outcome, run.count, run.bootId ?? ""]);
    // Trailing columns that are zero or empty are omitted.
    return [
        upstream,
        ...amounts,
        ...(isWaiting || runs.length > 0 || load !== undefined ? [isWaiting ? 1 : 0] : []),
        ...(runs.length > 0 || load !== undefined ? [runs] : []),
        ...(load === undefined
            ? []
            : [[load.held.concurrency, load.held.memoryTokens, Math.ceil(load.ageMilliseconds)]]),
    ];
}

export function encodeRequest(request: NodeRequest): JsonValue {
    const { node, incarnation, sequence, runners } = request;
    return { node, incarnation, sequence, runners: runners.map(encodeDemand) };
}

function decodeDemand(row: z.infer<typeof requestSchema>["runners"][number]): UpstreamDemand {
    const [upstream, heldCount, heldTokens, wantedCount, wantedTokens, isWaiting, observations, load] = row;
    return {
        upstream,
        held: { concurrency: heldCount, memoryTokens: heldTokens },
        wanted: { concurrency: wantedCount, memoryTokens: wantedTokens },
        isWaiting: isWaiting === 1,
        ...(load === undefined
            ? {}
            : { load: { held: { concurrency: load[0], memoryTokens: load[1] }, ageMilliseconds: load[2] } }),
        observations: (observations ?? []).map(([outcome, count, bootId]) => ({
            outcome,
            count,
            ...(bootId === "" ? {} : { bootId }),
        })),
    };
}

/** @throws ZodError when the message is malformed. */
export function decodeRequest(value: JsonValue): NodeRequest {
    const { runners, ...sender } = requestSchema.parse(value);
    return { ...sender, runners: runners.map(decodeDemand) };
}

export function encodeReply(reply: OwnerReply): JsonValue {
    return {
        valid: reply.validMilliseconds,
        grants: reply.grants.map(({ upstream, granted, contended, warm, wantsLoad }) => [
            upstream,
            granted.concurrency,
            granted.memoryTokens,
            (contended ? CONTENDED_BIT : 0) | (warm ? WARM_BIT : 0) | (wantsLoad ? WANTS_LOAD_BIT : 0),
        ]),
        ...(reply.refused.length > 0 ? { refused: reply.refused } : {}),
    };
}

/** @throws ZodError when the message is malformed. */
export function decodeReply(value: JsonValue): OwnerReply {
    const { valid, grants, refused = [] } = replySchema.parse(value);
    return {
        validMilliseconds: valid,
        refused,
        grants: grants.map(([upstream, concurrency, memoryTokens, flags]) => ({
            upstream,
            granted: { concurrency, memoryTokens },
            contended: (flags & CONTENDED_BIT) !== 0,
            warm: (flags & WARM_BIT) !== 0,
            wantsLoad: (flags & WANTS_LOAD_BIT) !== 0,
        })),
    };
}
