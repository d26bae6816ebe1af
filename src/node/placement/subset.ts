/**
 * Subset of a version's upstreams that one node uses, so that the cost of a choice does not grow with their
 * number.
 */
import { rendezvousOrder } from "../common/hash.js";
import type { UpstreamRow } from "../upstreams/upstreams.js";
import { LOCAL_SUBSET_SIZE, REMOTE_SUBSET_SIZE } from "./constants.js";

export interface NodeLocation {
    readonly dataCentre: string;
    readonly region: string;
}

/** 0 for the local data centre, 1 for the rest of the region, 2 for other regions. */
export function distance(location: NodeLocation, other: NodeLocation): 0 | 1 | 2 {
    if (other.dataCentre === location.dataCentre) {
        return 0;
    }
    return other.region === location.region ? 1 : 2;
}

/**
 * Chooses the upstreams of a version that a node uses; returns their names, nearest first. A node's subset
 * changes only by upstreams that are added or removed. Call this when the upstreams change, not for each
 * request.
 */
export function chooseSubset(
    node: string,
    location: NodeLocation,
    upstreams: readonly Pick<UpstreamRow, "name" | "configured">[],
): readonly string[] {
    const byDistance: [string[], string[], string[]] = [[], [], []];
    for (const { name, configured } of upstreams) {
        byDistance[distance(location, configured)].push(name);
    }
    return byDistance.flatMap((names, index) =>
        rendezvousOrder(node, names).slice(0, index === 0 ? LOCAL_SUBSET_SIZE : REMOTE_SUBSET_SIZE),
    );
}
