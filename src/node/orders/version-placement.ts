/** Decides which versions each engine is to hold, with as few moves as possible. */
import type { Table, WritableTable } from "../tables/table.js";
import { plannedCapacity, claimedCapacity, concurrencyShare, computeVersionWeights } from "./capacity.js";
import type { VersionPlans, VersionWeights } from "./capacity.js";
import {
    ORDER_LIFETIME_MILLISECONDS,
    MINIMUM_PLACEMENT_MILLISECONDS,
    SURPLUS_FACTOR,
    MINIMUM_SURPLUS_MILLISECONDS,
} from "./constants.js";
import { presentVersions } from "./engine-row.js";
import type { EngineRow } from "./engine-row.js";
import type { VersionPlan } from "./version-plan.js";

export interface PlacementInput {
    readonly plans: VersionPlans;
    readonly fencing: bigint;
    /** Whether the configuration is fresh and the demand is known for long enough to reduce capacity. */
    readonly mayReduce: boolean;
    /** Time since which each version has had more capacity than it requires. */
    readonly surplusSince: WritableTable<number>;
    readonly now: number;
}

function place(row: EngineRow, version: string, now: number): EngineRow {
    const retiring = new Map(row.retiring);
    retiring.delete(version);
    return {
        ...row,
        wanted: [...row.wanted, version],
        placedAt: new Map([...row.placedAt, [version, now]]),
        retiring,
    };
}

function retire(row: EngineRow, version: string, now: number): EngineRow {
    const placedAt = new Map(row.placedAt);
    placedAt.delete(version);
    const isPresent = presentVersions(row.observed!).includes(version);
    return {
        ...row,
        wanted: row.wanted.filter(other => other !== version),
        placedAt,
        retiring: isPresent ? new Map([...row.retiring, [version, now]]) : row.retiring,
    };
}

/** Updates the row to match the state that the engine reports and the withdrawn versions. */
function reconcile(row: EngineRow, plans: VersionPlans, now: number): EngineRow {
    const present = presentVersions(row.observed!);
    let next: EngineRow = {
        ...row,
        retiring: new Map([...row.retiring].filter(([version]) => present.includes(version))),
    };
    for (const version of new Set([...row.wanted, ...present])) {
        const state = plans.get(version)?.state ?? "withdrawn";
        if (state === "withdrawn") {
            next = next.retiring.has(version) ? next : retire(next, version, now);
        }
        else if (!next.wanted.includes(version) && !next.retiring.has(version)) {
            next =
                next.wanted.length < row.observed!.slots
                    ? place(next, version, now)
                    : retire(next, version, now);
        }
    }
    return next;
}

/** Whether the versions placed on the engine keep the capacity that they need when `version` is added. */
function leavesEnoughCapacity(
    engines: Table<EngineRow>,
    row: EngineRow,
    version: string,
    plans: VersionPlans,
    weights: VersionWeights,
): boolean {
    const versions = [...row.wanted, version];
    return row.wanted.every(other => {
        const elsewhere = plannedCapacity(engines, other, weights, row.name);
        return elsewhere + concurrencyShare(row, other, versions, weights) >= (plans.get(other)?.need ?? 0);
    });
}

/** Returns the version of the lowest priority that the engine may replace, or `undefined`. */
function findRemovableVersion(
    engines: Table<EngineRow>,
    row: EngineRow,
    plan: VersionPlan,
    input: PlacementInput,
    weights: VersionWeights,
): string | undefined {
    const { plans, fencing, surplusSince, now } = input;
    if (!input.mayReduce) {
        return undefined;
    }
    return row.wanted
        .filter(version => {
            const other = plans.get(version);
            if (other?.state !== "active" || other.version === plan.version) {
                return false;
            }
            const since = surplusSince.get(version);
            const isSurplusLasting = since !== undefined && now - since >= MINIMUM_SURPLUS_MILLISECONDS;
            const isPlacedLongEnough =
                now - (row.placedAt.get(version) ?? now) >= MINIMUM_PLACEMENT_MILLISECONDS;
            const planned = plannedCapacity(engines, version, weights, row.name);
            const claimed = claimedCapacity(engines, version, weights, fencing, row.name);
            const remaining = Math.min(planned, claimed);
            return isSurplusLasting && isPlacedLongEnough && remaining >= other.required * SURPLUS_FACTOR;
        })
        .sort((a, b) => plans.get(b)!.priority - plans.get(a)!.priority)[0];
}

function isUsable(row: EngineRow, plan: VersionPlan, now: number): boolean {
    // An order to unload the version may still be in flight and would break new requests for it.
    const mayBeUnloading =
        row.retiring.has(plan.version) &&
        now - (row.droppedAt.get(plan.version) ?? -Infinity) <= ORDER_LIFETIME_MILLISECONDS;
    return (
        !mayBeUnloading &&
        row.available &&
        !row.readFailed &&
        row.observed !== undefined &&
        (row.model === undefined || row.model === plan.model) &&
        !row.wanted.includes(plan.version)
    );
}

/** Prefers engines that already hold the version, then those with it as their default, then unused ones. */
function placementScore(row: EngineRow, version: string): number {
    const presentScore = presentVersions(row.observed!).includes(version) ? 4 : 0;
    const defaultScore = row.home === version ? 2 : 0;
    const unusedScore = row.wanted.length === 0 ? 1 : 0;
    return presentScore + defaultScore + unusedScore;
}

/** Places the version on one more engine. Returns `false` when no engine can hold it. */
function addEngine(engines: WritableTable<EngineRow>, plan: VersionPlan, input: PlacementInput): boolean {
    const weights = computeVersionWeights(engines, input.plans);
    const usable = [...engines.values()]
        .filter(row => isUsable(row, plan, input.now))
        .sort(
            (a, b) =>
                placementScore(b, plan.version) - placementScore(a, plan.version) ||
                b.concurrency - a.concurrency,
        );
    const engineWithSlot = usable.find(
        row =>
            row.wanted.length < row.observed!.slots &&
            leavesEnoughCapacity(engines, row, plan.version, input.plans, weights),
    );
    if (engineWithSlot !== undefined) {
        engines.set(engineWithSlot.name, place(engineWithSlot, plan.version, input.now));
        return true;
    }
    for (const row of usable) {
        const version = findRemovableVersion(engines, row, plan, input, weights);
        if (version !== undefined) {
            engines.set(row.name, place(retire(row, version, input.now), plan.version, input.now));
            return true;
        }
    }
    return false;
}

function trackSurplus(engines: Table<EngineRow>, input: PlacementInput): void {
    const weights = computeVersionWeights(engines, input.plans);
    for (const plan of input.plans.values()) {
        if (plannedCapacity(engines, plan.version, weights) <= plan.required) {
            input.surplusSince.delete(plan.version);
        }
        else if (!input.surplusSince.has(plan.version)) {
            input.surplusSince.set(plan.version, input.now);
        }
    }
}

/** Places the default version on unused engines, so that it is loaded before the first request. */
function placeDefaultVersions(engines: WritableTable<EngineRow>, input: PlacementInput): void {
    for (const row of [...engines.values()]) {
        const isUnused = row.available && row.observed !== undefined && row.wanted.length === 0;
        if (isUnused && row.home !== undefined && input.plans.get(row.home)?.state === "active") {
            engines.set(row.name, place(row, row.home, input.now));
        }
    }
}

/** Updates `wanted` and `retiring` of every engine whose state is known. */
export function planPlacement(engines: WritableTable<EngineRow>, input: PlacementInput): void {
    for (const row of [...engines.values()]) {
        if (row.observed !== undefined) {
            engines.set(row.name, reconcile(row, input.plans, input.now));
        }
    }
    trackSurplus(engines, input);
    const plansToPlace = [...input.plans.values()]
        .filter(plan => plan.state === "active" && plan.required > 0)
        .sort((a, b) => a.priority - b.priority || (a.version < b.version ? -1 : 1));
    const planned = ({ version }: VersionPlan): number =>
        plannedCapacity(engines, version, computeVersionWeights(engines, input.plans));
    // Every version gets its first engine before any version gets a second one.
    for (const plan of plansToPlace) {
        if (planned(plan) === 0) {
            addEngine(engines, plan, input);
        }
    }
    for (const plan of plansToPlace) {
        let isPlaced = true;
        while (isPlaced && planned(plan) < plan.required) {
            isPlaced = addEngine(engines, plan, input);
        }
    }
    placeDefaultVersions(engines, input);
}
