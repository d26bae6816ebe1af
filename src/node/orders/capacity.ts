/** Computes the capacity of model versions, in concurrent requests. */
import type { Table } from "../tables/table.js";
import { isClaimed } from "./engine-row.js";
import type { EngineRow } from "./engine-row.js";
import type { VersionPlan } from "./version-plan.js";

export type VersionPlans = ReadonlyMap<string, VersionPlan>;

/** Expected concurrent requests at each engine of a version, by version. */
export type VersionWeights = ReadonlyMap<string, number>;

export function computeVersionWeights(engines: Table<EngineRow>, plans: VersionPlans): VersionWeights {
    const engineCounts = new Map<string, number>();
    for (const row of engines.values()) {
        for (const version of row.available ? row.wanted : []) {
            engineCounts.set(version, (engineCounts.get(version) ?? 0) + 1);
        }
    }
    return new Map(
        [...plans.values()].map(({ version, required }) => [
            version,
            Math.max(MINIMUM_WEIGHT, required) / Math.max(1, engineCounts.get(version) ?? 0),
        ]),
    );
}

/** Weight of a version that requires no capacity or that the configuration does not name. */
const MINIMUM_WEIGHT = 0.1;

/**
 * Returns the capacity of one version at an engine that holds `versions`. The versions share the engine's
 * memory, so its concurrency is divided in proportion to their weights.
 */
export function concurrencyShare(
    row: EngineRow,
    version: string,
    versions: readonly string[],
    weights: VersionWeights,
): number {
    const weight = (other: string): number => weights.get(other) ?? MINIMUM_WEIGHT;
    const total = versions.reduce((sum, other) => sum + weight(other), 0);
    return versions.includes(version) ? (row.concurrency * weight(version)) / total : 0;
}

/** Returns the version's capacity once every engine has loaded its wanted versions. */
export function plannedCapacity(
    engines: Table<EngineRow>,
    version: string,
    weights: VersionWeights,
    excludedEngine?: string,
): number {
    let sum = 0;
    for (const row of engines.values()) {
        if (row.available && row.name !== excludedEngine) {
            sum += concurrencyShare(row, version, row.wanted, weights);
        }
    }
    return sum;
}

function isServing(row: EngineRow, version: string): boolean {
    return (
        row.available &&
        !row.readFailed &&
        row.observed !== undefined &&
        row.observed.loaded.includes(version) &&
        !row.retiring.has(version)
    );
}

/** Returns the versions that share the engine's concurrency: those it serves and those it is to load. */
function servingOrWantedVersions(row: EngineRow): readonly string[] {
    const serving = row.observed!.loaded.filter(version => !row.retiring.has(version));
    return [...new Set([...serving, ...row.wanted])];
}

/** Returns the capacity of the engines that report the version as loaded and are not retiring it. */
export function servingCapacity(engines: Table<EngineRow>, version: string, weights: VersionWeights): number {
    let sum = 0;
    for (const row of engines.values()) {
        if (isServing(row, version)) {
            sum += concurrencyShare(row, version, servingOrWantedVersions(row), weights);
        }
    }
    return sum;
}

/**
 * Returns the serving capacity without one engine. Counts only engines that this holder has claimed, because
 * an order of an earlier holder can still change the others.
 */
export function claimedCapacity(
    engines: Table<EngineRow>,
    version: string,
    weights: VersionWeights,
    fencing: bigint,
    excludedEngine: string,
): number {
    let sum = 0;
    for (const row of engines.values()) {
        if (row.name !== excludedEngine && isServing(row, version) && isClaimed(row, fencing)) {
            sum += concurrencyShare(row, version, servingOrWantedVersions(row), weights);
        }
    }
    return sum;
}
