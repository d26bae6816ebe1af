/** Hash functions: xxHash for placement, SHA-256 for keys and content. */
import { createHash } from "node:crypto";
import xxhash from "xxhash-wasm";

const { h64, h32 } = await xxhash();

/** Number of values of a 32-bit hash. */
const HASH32_RANGE = 2 ** 32;

/** Returns a 64-bit hash, for weights in rendezvous hashing. */
export function hash64(text: string): bigint {
    return h64(text);
}

/** Hashes a string to a number in [0, 1). */
export function hashToUnit(text: string): number {
    return h32(text) / HASH32_RANGE;
}

/** Returns the SHA-256 digest in hexadecimal. */
export function sha256(content: string | Uint8Array): string {
    return createHash("sha256").update(content).digest("hex");
}

/**
 * Sorts the candidates for a key by their weight in rendezvous hashing, highest first. Adding or removing a
 * candidate does not change the order of the others.
 */
export function rendezvousOrder(key: string, candidates: readonly string[]): readonly string[] {
    return candidates
        .map(candidate => ({ candidate, weight: h64(`${key}\u0000${candidate}`) }))
        .sort((a, b) => (a.weight > b.weight ? -1 : a.weight < b.weight ? 1 : 0))
        .map(({ candidate }) => candidate);
}

/** Returns the first candidate of `rendezvousOrder`, or `undefined` when there are no candidates. */
export function rendezvousOwner(key: string, candidates: Iterable<string>): string | undefined {
    let owner: string | undefined;
    let best = -1n;
    for (const candidate of candidates) {
        const weight = h64(`${key}\u0000${candidate}`);
        if (weight > best) {
            best = weight;
            owner = candidate;
        }
    }
    return owner;
}
