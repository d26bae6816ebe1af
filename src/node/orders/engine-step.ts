/** Decides the next call to an engine: a read of its state or an order with its complete wanted state. */
import type { Table } from "../tables/table.js";
import { claimedCapacity } from "./capacity.js";
import type { VersionPlans, VersionWeights } from "./capacity.js";
import {
    MAXIMUM_STATE_AGE_MILLISECONDS,
    CHANGING_READ_INTERVAL_MILLISECONDS,
    UNLOAD_DELAY_MILLISECONDS,
    STEADY_READ_INTERVAL_MILLISECONDS,
    STEADY_READS_PER_SECOND,
} from "./constants.js";
import { isClaimed, presentVersions } from "./engine-row.js";
import type { EngineRow } from "./engine-row.js";
import type { EngineRole } from "./messages.js";

/** Period in which this node holds the lease under one fencing token. Times are local. */
export interface LeaseTerm {
    readonly fencing: bigint;
    readonly acquiredAt: number;
    /**
     * Time from which orders may be sent to engines that do not check fencing tokens: orders of the previous
     * holder have expired by then.
     */
    readonly firstOrderAt: number;
}

/** Content of an order. Its id, fencing token and expiry are added when it is sent. */
export interface OrderDraft {
    readonly versions: readonly string[];
    readonly permits: Readonly<Record<string, string>>;
    readonly role: EngineRole;
}

export interface EngineInput {
    readonly engines: Table<EngineRow>;
    readonly plans: VersionPlans;
    readonly weights: VersionWeights;
    readonly term: LeaseTerm;
    /** Whether the configuration is fresh and the demand is known for long enough to reduce capacity. */
    readonly mayReduce: boolean;
    readonly isFresh: boolean;
    readonly now: number;
}

function streamCount(row: EngineRow, version: string): number {
    return row.observed!.streams[version] ?? 0;
}

/** Whether the last read is recent enough, and late enough after the last order, to base an order on it. */
function isStateCurrent(row: EngineRow, now: number): boolean {
    return (
        row.observed !== undefined &&
        !row.readFailed &&
        row.observed.startedAt >= row.orderedAt &&
        now - row.observed.startedAt <= MAXIMUM_STATE_AGE_MILLISECONDS
    );
}

/**
 * Whether the engine may unload the version: nodes have had time to stop sending requests for it, none is
 * running, and the version is withdrawn or the other engines have the capacity that it needs.
 */
function mayUnload(row: EngineRow, version: string, input: EngineInput): boolean {
    const since = row.retiring.get(version);
    if (since === undefined || !input.isFresh) {
        return false;
    }
    // A new holder first claims the engine with an order that changes nothing.
    const isIdle =
        isClaimed(row, input.term.fencing) &&
        row.observed!.startedAt >= since + UNLOAD_DELAY_MILLISECONDS &&
        streamCount(row, version) === 0;
    if (!isIdle) {
        return false;
    }
    const plan = input.plans.get(version);
    if (plan === undefined || plan.state === "withdrawn") {
        return true;
    }
    const { engines, weights, term } = input;
    return input.mayReduce && claimedCapacity(engines, version, weights, term.fencing, row.name) >= plan.need;
}

/** Returns the wanted versions that the engine does not hold yet, as many as it has free slots. */
export function versionsToLoad(row: EngineRow): readonly string[] {
    const present = presentVersions(row.observed!);
    const freeSlots = Math.max(0, row.observed!.slots - present.length);
    return row.wanted.filter(version => !present.includes(version)).slice(0, freeSlots);
}

/** Returns the versions whose load may start now: active ones with a valid permit. */
function permittedLoads(row: EngineRow, input: EngineInput): readonly string[] {
    return versionsToLoad(row).filter(version => {
        const permit = row.permits.get(version);
        return (
            row.available &&
            input.isFresh &&
            input.plans.get(version)?.state === "active" &&
            permit?.state === "granted" &&
            input.now < permit.until
        );
    });
}

/** Returns the order to send now, if any. */
export function draftOrder(row: EngineRow, input: EngineInput): OrderDraft | undefined {
    const { term, now } = input;
    const mayOrder = row.checksFencing || now >= term.firstOrderAt;
    if (row.call !== undefined || !mayOrder || now < row.notBefore || !isStateCurrent(row, now)) {
        return undefined;
    }
    const observed = row.observed!;
    const present = presentVersions(observed);
    const kept = present.filter(version => !mayUnload(row, version, input));
    const added = permittedLoads(row, input);
    const totalStreams = Object.values(observed.streams).reduce((sum, count) => sum + count, 0);
    // Changing the role while streams run would break those that need the old role.
    const role = totalStreams === 0 ? row.role : observed.role;
    const isChange =
        observed.loaded.some(version => !kept.includes(version)) ||
        observed.unloading.some(version => kept.includes(version)) ||
        observed.loading.some(({ version }) => !kept.includes(version)) ||
        added.length > 0 ||
        role !== observed.role;
    if (!isChange && isClaimed(row, term.fencing)) {
        return undefined;
    }
    const permits = Object.fromEntries(added.map(version => [version, row.permits.get(version)!.permit!]));
    return { versions: [...kept, ...added], permits, role };
}

/** Whether the engine's state still differs from the wanted state. */
export function isChanging(row: EngineRow, term: LeaseTerm): boolean {
    const observed = row.observed;
    return (
        observed === undefined ||
        !isClaimed(row, term.fencing) ||
        row.retiring.size > 0 ||
        observed.loading.length > 0 ||
        observed.unloading.length > 0 ||
        observed.role !== row.role ||
        row.wanted.some(version => !observed.loaded.includes(version))
    );
}

export function isReadDue(row: EngineRow, input: EngineInput): boolean {
    const { now, term, engines } = input;
    if (row.call !== undefined || now < row.notBefore) {
        return false;
    }
    const observed = row.observed;
    if (observed === undefined || observed.startedAt < row.orderedAt) {
        return true;
    }
    const steady = Math.max(
        STEADY_READ_INTERVAL_MILLISECONDS,
        (engines.size / STEADY_READS_PER_SECOND) * 1000,
    );
    // Before the first order may be sent, frequent reads are not needed.
    const mayOrder = row.checksFencing || now >= term.firstOrderAt;
    const interval = mayOrder && isChanging(row, term) ? CHANGING_READ_INTERVAL_MILLISECONDS : steady;
    return now - observed.startedAt >= interval;
}
