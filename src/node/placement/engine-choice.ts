/**
 * Chooses an upstream for each request: keeps the table of upstreams up to date from the requests and
 * responses of this node, and applies a placement function to the node's subset.
 */
import type { Admission } from "../admission/create-admission.js";
import type { AdmissionGate } from "../admission/admission.js";
import { hash64 } from "../common/hash.js";
import type { Random } from "../common/random.js";
import type { ConfigurationSnapshot } from "../configuration/snapshot.js";
import type { NamedUpstream } from "../permission/permission.js";
import { createUpstreams } from "../upstreams/upstreams.js";
import type { UpstreamRow } from "../upstreams/upstreams.js";
import type { Table } from "../tables/table.js";
import { place } from "./placement.js";
import type { PlacementFunction } from "./placement.js";
import { createPrefixIndex } from "./prefix-index.js";
import type { BlockHash } from "./prefix-index.js";
import { chooseSubset } from "./subset.js";
import type { NodeLocation } from "./subset.js";

/** Size of a prompt block; about 64 tokens. */
const BLOCK_CHARACTERS = 256;

/** Leading blocks of a prompt that are hashed. */
const MAXIMUM_BLOCKS = 16;

/** Values that an upstream reports in the headers of a response. */
export interface UpstreamHead {
    readonly bootId: string | undefined;
    readonly requests: number | undefined;
    readonly memoryTokens: number | undefined;
}

export interface PlacementRequest {
    /** Monotonic milliseconds. */
    readonly arrivedAt: number;
    readonly memoryTokens: number;
    readonly prefix: readonly BlockHash[];
}

export interface EngineChoice {
    /** The upstreams of a version or service that this node uses. */
    subset(served: string, all: readonly NamedUpstream[]): readonly NamedUpstream[];
    choose(candidates: readonly NamedUpstream[], request: PlacementRequest, now: number): string | undefined;
    /** Applies a configuration that came into force. */
    configure(snapshot: ConfigurationSnapshot, now: number): void;
    /** The admission gate; credits in use also count as load in the table of upstreams. */
    readonly gate: AdmissionGate;
    recordHead(upstream: string, head: UpstreamHead, now: number): void;
    /** Records that an upstream has processed a prompt and so caches it. */
    recordPrompt(upstream: string, prefix: readonly BlockHash[]): void;
    readonly table: Table<UpstreamRow>;
}

export interface EngineChoiceOptions {
    readonly node: string;
    readonly location: NodeLocation;
    readonly admission: Admission;
    readonly random: Random;
    /** @default place */
    readonly placement?: PlacementFunction;
}

/** Hashes the leading blocks of a prompt; each hash also covers the blocks before it. */
export function prefixBlocks(prompt: string): readonly BlockHash[] {
    const blocks: BlockHash[] = [];
    let previous = "";
    for (let start = 0; start < prompt.length && blocks.length < MAXIMUM_BLOCKS; start += BLOCK_CHARACTERS) {
        previous = hash64(previous + prompt.slice(start, start + BLOCK_CHARACTERS)).toString(36);
        blocks.push(previous);
    }
    return blocks;
}

export function createEngineChoice(options: EngineChoiceOptions): EngineChoice {
    const { admission, random } = options;
    const placement = options.placement ?? place;
    const upstreams = createUpstreams();
    const prefixes = createPrefixIndex();
    let subsets = new WeakMap<readonly NamedUpstream[], readonly NamedUpstream[]>();

    const applyEvent = (event: Parameters<typeof upstreams.step>[0][number], now: number): void => {
        for (const action of upstreams.step([event], now)) {
            prefixes.apply({ kind: "cleared", upstream: action.upstream });
        }
    };

    admission.onTemperature((upstream, isWarm) => applyEvent({ kind: "temperature", upstream, isWarm }, 0));

    return {
        subset: (_served, all) => {
            let subset = subsets.get(all);
            if (subset === undefined) {
                const names = chooseSubset(
                    options.node,
                    options.location,
                    all.map(({ name, upstream }) => ({ name, configured: upstream })),
                );
                const chosen = new Set(names);
                subset = all.filter(({ name }) => chosen.has(name));
                subsets.set(all, subset);
            }
            return subset;
        },
        choose: (candidates, request, now) => {
            const matches = prefixes.match(request.prefix);
            const rows = candidates.flatMap(({ name }) => upstreams.table.get(name) ?? []);
            const placed = placement({
                candidates: rows,
                waitedMilliseconds: now - request.arrivedAt,
                location: options.location,
                memoryTokens: request.memoryTokens,
                available: name => admission.available(name, now),
                cachedShare: name => (matches.get(name) ?? 0) / Math.max(1, request.prefix.length),
                random,
                now,
            });
            if (placed?.ask !== undefined) {
                admission.requestCredit(placed.ask, request.memoryTokens, now);
            }
            return placed?.upstream;
        },
        configure: (snapshot, now) => {
            subsets = new WeakMap();
            applyEvent({ kind: "configured", snapshot }, now);
        },
        gate: {
            ...admission,
            tryAcquire: (upstream, memoryTokens, now) => {
                const credit = admission.tryAcquire(upstream, memoryTokens, now);
                if (credit !== undefined) {
                    applyEvent({ kind: "started", upstream, memoryTokens }, now);
                }
                return credit;
            },
            release: (credit, observation, now) => {
                admission.release(credit, observation, now);
                const { upstream, memoryTokens } = credit;
                applyEvent({ kind: "ended", upstream, memoryTokens, observation }, now);
            },
        },
        recordHead: (upstream, head, now) => {
            if (head.bootId !== undefined) {
                admission.recordBootId(upstream, head.bootId, now);
            }
            if (head.requests !== undefined && head.memoryTokens !== undefined) {
                admission.reportLoad(
                    upstream,
                    { concurrency: head.requests, memoryTokens: head.memoryTokens },
                    now,
                );
                const report = { requests: head.requests, memoryTokens: head.memoryTokens, measuredAt: now };
                applyEvent({ kind: "reported", upstream, report }, now);
            }
        },
        recordPrompt: (upstream, prefix) => prefixes.apply({ kind: "stored", upstream, blocks: prefix }),
        table: upstreams.table,
    };
}
