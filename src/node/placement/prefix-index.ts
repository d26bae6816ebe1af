/**
 * Index of the upstreams that cache a prompt prefix, built from the cache events of engines. Events may be
 * late or lost, so the index is only a hint: the only cost of a wrong entry is a slower first token.
 */
import { MAXIMUM_PREFIX_INDEX_ENTRIES, MAXIMUM_PREFIX_MATCHES } from "./constants.js";

/** Hash of a block of a prompt and of all blocks before it. */
export type BlockHash = string;

export type CacheEvent =
    | { readonly kind: "stored"; readonly upstream: string; readonly blocks: readonly BlockHash[] }
    | { readonly kind: "removed"; readonly upstream: string; readonly blocks: readonly BlockHash[] }
    /** The cache is empty or its content is unknown. */
    | { readonly kind: "cleared"; readonly upstream: string };

export interface PrefixIndex {
    apply(event: CacheEvent): void;
    /** Number of leading blocks that an upstream caches, for the upstreams that cache most of them. */
    match(blocks: readonly BlockHash[]): ReadonlyMap<string, number>;
    /** Number of entries; an entry is a block on an upstream. */
    size(): number;
}

/**
 * @param maximumEntries The least recently stored blocks are evicted first.
 */
export function createPrefixIndex(maximumEntries = MAXIMUM_PREFIX_INDEX_ENTRIES): PrefixIndex {
    /** The least recently stored block comes first. */
    const upstreamsByBlock = new Map<BlockHash, Set<string>>();
    const blocksByUpstream = new Map<string, Set<BlockHash>>();
    let entries = 0;

    const remove = (upstream: string, block: BlockHash): void => {
        const upstreams = upstreamsByBlock.get(block);
        if (upstreams?.delete(upstream) !== true) {
            return;
        }
        entries -= 1;
        if (upstreams.size === 0) {
            upstreamsByBlock.delete(block);
        }
        const blocks = blocksByUpstream.get(upstream)!;
        blocks.delete(block);
        if (blocks.size === 0) {
            blocksByUpstream.delete(upstream);
        }
    };

    const evictOldestBlock = (): void => {
        const [block, upstreams] = upstreamsByBlock.entries().next().value!;
        [...upstreams].forEach(upstream => remove(upstream, block));
    };

    const store = (upstream: string, block: BlockHash): void => {
        const upstreams = upstreamsByBlock.get(block) ?? new Set<string>();
        // Moves the block to the end, as the most recently stored one.
        upstreamsByBlock.delete(block);
        upstreamsByBlock.set(block, upstreams);
        if (upstreams.has(upstream)) {
            return;
        }
        upstreams.add(upstream);
        entries += 1;
        const blocks = blocksByUpstream.get(upstream);
        if (blocks === undefined) {
            blocksByUpstream.set(upstream, new Set([block]));
        }
        else {
            blocks.add(block);
        }
    };

    return {
        apply: event => {
            switch (event.kind) {
                case "stored":
                    event.blocks.forEach(block => store(event.upstream, block));
                    while (entries > maximumEntries) {
                        evictOldestBlock();
                    }
                    break;
                case "removed":
                    event.blocks.forEach(block => remove(event.upstream, block));
                    break;
                case "cleared":
                    [...(blocksByUpstream.get(event.upstream) ?? [])].forEach(block =>
                        remove(event.upstream, block),
                    );
                    break;
            }
        },
        // Searches from the last block: an event for a block in the middle may have been lost, and an engine
        // that caches a block also caches all blocks before it.
        match: blocks => {
            const found = new Map<string, number>();
            for (
                let index = blocks.length - 1;
                index >= 0 && found.size < MAXIMUM_PREFIX_MATCHES;
                index -= 1
            ) {
                for (const upstream of upstreamsByBlock.get(blocks[index]!) ?? []) {
                    if (!found.has(upstream)) {
                        found.set(upstream, index + 1);
                    }
                }
            }
            return found;
        },
        size: () => entries,
    };
}
