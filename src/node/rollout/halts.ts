/**
 * Halts: upper bounds of a version's share, set in an emergency. They only decrease and merge by minimum, so
 * nodes need no consensus. In rows, digests and dumps a halt is called a brake.
 */
import { z } from "zod";

const haltSchema = z
    .object({
        name: z.string(),
        /** Ticket of the run that the halt applies to. */
        ticket: z.int(),
        /** Maximum share of new sessions, 0 to 1. */
        share: z.number().min(0).max(1),
        /** Node or operator that set the halt. */
        by: z.string(),
        reason: z.string(),
    })
    .readonly();

/** Halts in force, as sent to other nodes. */
export const haltDigestSchema = z.array(haltSchema).readonly();

export type Halt = z.infer<typeof haltSchema>;
export type HaltDigest = z.infer<typeof haltDigestSchema>;

/**
 * Returns the stricter of two halts of the same rollout. A halt of a newer run replaces one of an older run.
 * Ties are broken by text, so that the result does not depend on the order of merging.
 */
export function mergeHalts(a: Halt | undefined, b: Halt): Halt {
    if (a === undefined || b.ticket > a.ticket) {
        return b;
    }
    if (b.ticket < a.ticket || b.share > a.share) {
        return a;
    }
    if (b.share < a.share) {
        return b;
    }
    return `${b.by}|${b.reason}` < `${a.by}|${a.reason}` ? b : a;
}

export interface Halts {
    merge(digest: HaltDigest): void;
    digest(): HaltDigest;
    /** Returns the halt of a run, if any. */
    find(name: string, ticket: number): Halt | undefined;
    /** Removes the halts that are not current. */
    retain(isCurrent: (halt: Halt) => boolean): void;
}

export function createHalts(): Halts {
    const halts = new Map<string, Halt>();
    return {
        merge: digest => digest.forEach(halt => halts.set(halt.name, mergeHalts(halts.get(halt.name), halt))),
        digest: () => [...halts.values()],
        find: (name, ticket) => {
            const halt = halts.get(name);
            return halt?.ticket === ticket ? halt : undefined;
        },
        retain: isCurrent => {
            for (const [name, halt] of halts) {
                if (!isCurrent(halt)) {
                    halts.delete(name);
                }
            }
        },
    };
}
