/**
 * Checks and counts violations of invariants. Each violation is reported and, if `fatal` is set, as in tests, thrown.
 */

/** Names of the invariants, as used in logs, metrics and the state dump. */
export const INVARIANTS = [
    "permitted-version",
    "withdrawn-version",
    "session-version",
    "billed-once",
    "upstream-budget",
    "drained-data-centre",
    "whole-answer",
    "true-refusal",
    "at-most-once",
    "leaving-upstream",
    "graceful-shutdown",
    "configuration-never-reverts",
] as const;

export type Invariant = (typeof INVARIANTS)[number];

/** Thrown on a violation if `fatal` is set. */
export class InvariantViolation extends Error {
    constructor(
        readonly invariant: Invariant,
        detail: string,
    ) {
        super(`invariant ${invariant} violated: ${detail}`);
        this.name = "InvariantViolation";
    }
}

export interface Invariants {
    /** Reports a violation when `condition` is false. `detail` is evaluated only then. */
    assert(invariant: Invariant, condition: boolean, detail: () => string): void;
    /** Number of violations by invariant. Invariants without a violation are absent. */
    counts(): Readonly<Partial<Record<Invariant, number>>>;
    total(): number;
}

export interface InvariantsOptions {
    /** Called for each violation before it is thrown. */
    readonly onViolation: (invariant: Invariant, detail: string) => void;
    /**
     * Whether a violation throws an `InvariantViolation`.
     *
     * @default false
     */
    readonly fatal?: boolean;
}

export function createInvariants(options: InvariantsOptions): Invariants {
    const counts: Partial<Record<Invariant, number>> = {};
    let total = 0;
    return {
        assert: (invariant, condition, detail) => {
            if (condition) {
                return;
            }
            const text = detail();
            counts[invariant] = (counts[invariant] ?? 0) + 1;
            total += 1;
            options.onViolation(invariant, text);
            if (options.fatal === true) {
                throw new InvariantViolation(invariant, text);
            }
        },
        counts: () => ({ ...counts }),
        total: () => total,
    };
}
