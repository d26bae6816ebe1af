/** Interface of the platform's receiver of duty calls. The adapter only translates. */

/** Counts by workspace. */
export type WorkspaceCounts = Readonly<Record<string, number>>;

/** Requests of each workspace that began to run in a window. */
export interface UsageReport {
    readonly kind: "usage";
    readonly window: number;
    readonly counts: WorkspaceCounts;
}

/** Orders the number of upstreams of a service in a data centre. */
export interface ScalingOrder {
    readonly kind: "scaling";
    readonly service: string;
    readonly dataCentre: string;
    readonly desiredCount: number;
}

export type DutyCall = UsageReport | ScalingOrder;

/** What a call states about its sender. */
export interface DutyStamp {
    /** Name of the node. */
    readonly holder: string;
    readonly token: number;
}

export type DutyAnswer =
    | { readonly kind: "accepted"; readonly milliseconds: number }
    /** The receiver will not take this call, however often it is sent. */
    | { readonly kind: "rejected"; readonly status: number; readonly milliseconds: number }
    /** The receiver asks for a later call. */
    | { readonly kind: "busy"; readonly status: number; readonly retryAfterSeconds: number | undefined }
    /** The node lost the right to act before the call was written. */
    | { readonly kind: "not-sent"; readonly reason: string }
    /** The call may have had an effect. */
    | { readonly kind: "unknown"; readonly reason: string };

export interface DutySend {
    readonly call: DutyCall;
    /**
     * Stamp of the call, asked for when the connection is open and right before the call is written; `undefined`
     * when the node may not act any more.
     */
    readonly stamp: () => DutyStamp | undefined;
    /** Time until the connection is reset, so that nothing of the call arrives later, milliseconds. */
    readonly timeoutMilliseconds: number;
}

export type SendDuty = (send: DutySend) => Promise<DutyAnswer>;
