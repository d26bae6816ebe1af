/** Random source that is passed to the components of a node, so that a seed reproduces a run. */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Returns a number in [0, 1). */
export type Random = () => number;

const UINT32_RANGE = 2 ** 32;

/** Creates a random source whose sequence depends only on the seed. */
export function createSeededRandom(seed: number): Random {
    const generator = xoroshiro128plus(seed);
    return () => (generator.next() >>> 0) / UINT32_RANGE;
}

/** Returns the random source of the runtime, which cannot be seeded. */
export function createSystemRandom(): Random {
    return Math.random;
}

/** Varies `value` uniformly by up to ±`share` of it, so that timers of many nodes do not synchronize. */
export function jitter(value: number, share: number, random: Random): number {
    return value * (1 + share * (2 * random() - 1));
}
