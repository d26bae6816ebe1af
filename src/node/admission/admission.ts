/**
 * Admission control: a node sends a request to an upstream only if it holds a credit for it. So all nodes
 * together stay within the concurrency and memory budget of the upstream.
 */

/** Permission to run one request on one upstream. */
export interface Credit {
    readonly upstream: string;
    /** Tokens that the request may hold in the upstream's memory. */
    readonly memoryTokens: number;
    /** Unique on this node. */
    readonly id: number;
}

/** Outcome of an attempt, as evidence of whether the upstream is warm. */
export interface UpstreamObservation {
    readonly succeeded: boolean;
    /** Changes with each start of the upstream. Absent if it did not respond. */
    readonly bootId?: string;
    readonly firstTokenMilliseconds?: number;
    /** The upstream reported that it can take only its cold budget, however fast it answered. */
    readonly isCold?: boolean;
}

export interface AdmissionGate {
    /**
     * Takes a credit. If there is none, requests more from the upstream's owner and returns `undefined`;
     * calls the `onCredit` listeners when one may have become available.
     */
    tryAcquire(upstream: string, memoryTokens: number, now: number): Credit | undefined;
    /** Requests a credit from the upstream's owner for a later request, without taking one. */
    requestCredit(upstream: string, memoryTokens: number, now: number): void;
    /**
     * Ends the use of a credit. Call this once per credit, when the upstream no longer processes the request.
     */
    release(credit: Credit, observation: UpstreamObservation, now: number): void;
    /**
     * Records the boot id at the first byte of an answer, so that a restart is detected before the answer
     * ends.
     */
    recordBootId(upstream: string, bootId: string, now: number): void;
    /** Number of credits that can be taken now, for placement. */
    available(upstream: string, now: number): number;
    /** Adds a listener for when credits may have become available. */
    onCredit(listener: () => void): void;
    dump(): unknown;
}
