/**
 * Billing: one bill per answered request. The bill is copied to peers before the caller receives the last
 * byte of the answer.
 */

export interface Bill {
    /** Unique over all nodes and incarnations. */
    readonly requestId: string;
    readonly workspace: string;
    /** Model or service. */
    readonly target: string;
    readonly version: string;
    readonly promptTokens: number;
    readonly completionTokens: number;
    /** In the currency of the configuration's `costPerThousandTokens`. */
    readonly cost: number;
    /** Milliseconds since the epoch. */
    readonly at: number;
}

export interface Billing {
    /** Whether memory is left for a further bill. When false, the router rejects new requests. */
    hasCapacity(): boolean;
    /**
     * Records a bill. Resolves when the bill survives the loss of this node, or when no peer can be reached
     * and only this node holds it.
     */
    record(bill: Bill): Promise<void>;
    /** Writes all held bills and copies to the object store, for a planned stop. */
    flush(): Promise<void>;
    dump(): unknown;
}
