/** Engine table of the `orders` system. */
import type { EngineRole, EngineState, OrderOutcome } from "./messages.js";

/** State that was read from an engine, with the local time at which the read started. */
export interface ObservedState extends EngineState {
    readonly startedAt: number;
}

export interface Permit {
    readonly id: string;
    /** `wanted`: to be requested; `asked`: requested; `used`: sent with an accepted order. */
    readonly state: "wanted" | "asked" | "granted" | "used";
    /** Name that the weight store assigned to the permit. */
    readonly permit: string | undefined;
    /** Local time at which the permit expires. */
    readonly until: number;
}

export interface EngineRow {
    readonly name: string;
    readonly address: string;
    /** Model that the engine is restricted to, if any. */
    readonly model: string | undefined;
    /** Default version, which the engine loads when no other version is placed on it. */
    readonly home: string | undefined;
    /** Concurrent requests that the engine can serve when warm. */
    readonly concurrency: number;
    readonly checksFencing: boolean;
    /** Whether the upstream is active and its data centre is not drained. */
    readonly available: boolean;
    readonly role: EngineRole;
    /** `undefined` until the engine was read under the current fencing token. */
    readonly observed: ObservedState | undefined;
    readonly readFailed: boolean;
    /** Versions that the engine is to hold. */
    readonly wanted: readonly string[];
    /** Versions that the engine is to unload, each with the time of the decision. */
    readonly retiring: ReadonlyMap<string, number>;
    /** Time at which each wanted version was placed. */
    readonly placedAt: ReadonlyMap<string, number>;
    /** Time at which an order that no longer lists the version was last sent, by version. */
    readonly droppedAt: ReadonlyMap<string, number>;
    readonly permits: ReadonlyMap<string, Permit>;
    readonly call: "read" | "order" | undefined;
    /** Time at which the latest order call ended. Reads that started before may not show its effect. */
    readonly orderedAt: number;
    /** Boot id of the engine process that accepted an order under the current fencing token. */
    readonly claimedBootId: string | undefined;
    /** Time before which the engine is not called. */
    readonly notBefore: number;
    /** Time before which no permit is requested for a load at the engine. */
    readonly loadNotBefore: number;
    readonly lastOrder:
        | {
              readonly id: string;
              readonly versions: readonly string[];
              readonly outcome: OrderOutcome | "sending";
          }
        | undefined;
}

/** Returns the versions that occupy memory of the engine. */
export function presentVersions(observed: EngineState): readonly string[] {
    return [...observed.loaded, ...observed.loading.map(({ version }) => version), ...observed.unloading];
}

/**
 * Whether orders of earlier holders can no longer change the engine: it has accepted the current fencing
 * token, or it does not check tokens and has accepted an order of this holder after the earlier ones expired.
 */
export function isClaimed(row: EngineRow, fencing: bigint): boolean {
    return (
        row.observed !== undefined &&
        row.claimedBootId === row.observed.bootId &&
        (!row.checksFencing || BigInt(row.observed.fencing) === fencing)
    );
}
