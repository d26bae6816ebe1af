/** Interface of `orders` for the other components of a node. */
import type { DemandReport } from "./messages.js";

/** Versions that an engine holds, as last read by the holder of the lease. */
export interface EngineVersions {
    /** Versions that accept new requests. */
    readonly serving: readonly string[];
    /** Versions that the engine still holds but that must receive no new requests. */
    readonly retiring: readonly string[];
}

/** Sent by the holder to all nodes. A higher fencing token, then a higher sequence, replaces an older one. */
export interface EnginePlacement {
    /** Decimal string. */
    readonly fencing: string;
    readonly sequence: number;
    /**
     * Engines that only this holder can change. For the others, nodes keep the last placement they received:
     * an order of an earlier holder may still unload a version that it announced as retiring.
     */
    readonly engines: Readonly<Record<string, EngineVersions>>;
}

export interface Orders {
    /** Records the demand of a node, including this one. Only the holder of the lease uses it. */
    reportDemand(report: DemandReport): void;
    /**
     * Returns the current capacity of a version, in concurrent requests. Counts engines that report the
     * version as loaded and are not retiring it. A rollout moves no more traffic than this to the version.
     * `undefined` while this node does not hold the lease.
     *
     * @param version As `MODEL/VERSION`.
     */
    capacityOf(version: string): number | undefined;
    /** `undefined` while this node does not hold the lease. */
    placement(): EnginePlacement | undefined;
    dump(): unknown;
}
