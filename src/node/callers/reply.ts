/** Requests of callers after validation, and the interface through which the node answers them. */
import type { Bill } from "../billing/billing.js";

export interface CallerReply {
    /** Sends the status line and the headers. Must be called once, before `write` and `end`. */
    head(status: number, headers: Readonly<Record<string, string>>): void;
    /**
     * Sends a chunk of the body. Returns false when too much unsent data is buffered, because the caller
     * reads more slowly than the node writes.
     */
    write(chunk: Buffer | string): boolean;
    end(chunk?: Buffer | string): void;
    /** Calls the listener each time the write buffer has drained. */
    onDrain(listener: () => void): void;
    /** Calls the listener once if the connection closes before the response is complete. */
    onDisconnect(listener: () => void): void;
}

/** A validated completion request. */
export interface CompletionSubmission {
    readonly kind: "completion";
    readonly workspace: string;
    readonly path: "/v1/chat/completions" | "/v1/completions";
    readonly body: CompletionBody;
    readonly sessionId: string | undefined;
    readonly sessionToken: string | undefined;
    /** Requested timeout in milliseconds. The node uses its default when this is absent. */
    readonly timeoutMilliseconds: number | undefined;
    /** Set when the request is a run of a deferred job. */
    readonly job?: JobRun;
}

/** Additional properties of a completion request that runs a deferred job. */
export interface JobRun {
    /** Whether the run needs interactive priority to meet the deadline of the job. */
    readonly urgent: boolean;
    /** Called with the bill of the run, which is stored in the row of the job. */
    readonly onBill: (bill: Bill) => void;
}

/** Fields of a completion request that the router reads. The router forwards all fields to the engine. */
export interface CompletionBody {
    readonly [field: string]: unknown;
    readonly model: string;
    readonly stream?: boolean;
    readonly max_tokens?: number;
    readonly messages?: readonly { readonly role: string; readonly content: unknown }[];
    readonly prompt?: string | readonly string[];
}

/** A validated request to a plain service. */
export interface ServiceSubmission {
    readonly kind: "service";
    readonly workspace: string;
    readonly service: string;
    readonly method: string;
    /** Path and query after `/services/NAME`, including the leading slash. */
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Buffer;
    readonly idempotencyKey: string | undefined;
    readonly timeoutMilliseconds: number | undefined;
}

export type Submission = CompletionSubmission | ServiceSubmission;
