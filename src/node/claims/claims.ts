/**
 * Claims. A claim is a row in the table service that a node writes before it dispatches a non-repeatable
 * request with an idempotency key, so that the request runs at most once across all nodes.
 */

/** Identifies a request that may run at most once. */
export interface ClaimKey {
    readonly service: string;
    readonly workspace: string;
    readonly idempotencyKey: string;
}

/** Upstream response that is replayed when the key is used again. */
export interface RecordedOutcome {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    /** Base64. */
    readonly body: string;
}

export type ClaimResult =
    /** The attempt holds the claim and may be dispatched once. */
    | { readonly kind: "claimed" }
    /** The request ran before; `outcome` is replayed. */
    | { readonly kind: "recorded"; readonly outcome: RecordedOutcome }
    /** Another attempt holds the claim, and no outcome is recorded. */
    | { readonly kind: "pending" }
    /** The key was used with a different body. */
    | { readonly kind: "mismatch" }
    /**
     * The table service did not confirm the claim in time, or the node is at a limit. The attempt must not be
     * dispatched.
     */
    | { readonly kind: "unavailable" };

export interface Claims {
    /**
     * Claims a key for an attempt.
     *
     * @param bodyHash SHA-256 of method, path and body.
     * @param attemptId Unique across all nodes and restarts.
     */
    claim(key: ClaimKey, bodyHash: string, attemptId: string): Promise<ClaimResult>;
    /**
     * Records the outcome of a dispatched attempt. Retries until the outcome is stored or the node stops.
     *
     * @param outcome `undefined` when it stays unknown: the claim row stays in the table service, and the
     * node removes the attempt from its memory.
     */
    complete(key: ClaimKey, attemptId: string, outcome: RecordedOutcome | undefined): Promise<void>;
    /** Releases the claim of an attempt that certainly did not run, so that the key can be claimed again. */
    abandon(key: ClaimKey, attemptId: string): Promise<void>;
    dump(): unknown;
}
