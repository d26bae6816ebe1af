/**
 * Decides which windows of the usage report to count, claim and send, and what a row of a claim holds. Pure.
 *
 * A window is claimed by a row with its content before it is sent, so that every holder sends the same content.
 * Rows outlive the time in which a window may be claimed, so that no window is claimed twice. A restored store may
 * have lost a claim whose content was sent: windows that ended before this node read the epoch are neither claimed
 * nor sent again, except with content that this process claimed itself.
 */
import type { WorkspaceCounts } from "./duty-receiver.js";

export interface UsageSettings {
    readonly windowMilliseconds: number;
    /** Time after the end of a window at which its report is due, milliseconds. */
    readonly delayMilliseconds: number;
    /** Share by which a reported count may be off. */
    readonly toleratedShare: number;
}

/** What the holder knows of the windows. */
export interface UsageView {
    /** True time: milliseconds since 1970. */
    readonly trueNow: number;
    /** True time at which this node first read the current epoch of the store. */
    readonly epochSeenAt: number;
    /** Whether the epoch is the first one, in which no row can have been lost. */
    readonly isFirstEpoch: boolean;
    /** Content of the claims in the store. */
    readonly claims: ReadonlyMap<number, WorkspaceCounts>;
    /** Claims of this process. */
    readonly ownClaims: ReadonlyMap<number, WorkspaceCounts>;
    /** Windows that this process has done with: the receiver answered, or nobody counted them. */
    readonly settled: ReadonlySet<number>;
}

export interface UsagePlan {
    /** Windows to count and claim now, oldest first. */
    readonly toClaim: readonly number[];
    /** Windows to send now, oldest first. */
    readonly toSend: readonly number[];
    /** Windows whose rows are removed with the next claim. */
    readonly toRemove: readonly number[];
    /** Windows that ended without a claim and can no longer be reported. */
    readonly missed: readonly number[];
}

/** Time after the end of a window at which it is counted, milliseconds: copies of killed nodes come every second. */
const SETTLE_MILLISECONDS = 1500;

/** Time after the end of a window in which it may be claimed, milliseconds; the nodes keep counts for longer. */
export const CLAIM_MILLISECONDS = 25_000;

/** Time after the end of a window in which it is sent, milliseconds: the receiver may be down. */
const SEND_MILLISECONDS = 50_000;

/** Time after the end of a window after which its row is removed, milliseconds. Twice as long as claims are made. */
const ROW_MILLISECONDS = 60_000;

const ROW_PREFIX = "usage/";

export const USAGE_ROW_PREFIX = ROW_PREFIX;

export function usageRowKey(window: number): string {
    return `${ROW_PREFIX}${window}`;
}

export function windowOfKey(key: string): number {
    return Number(key.slice(ROW_PREFIX.length));
}

export function windowAt(trueTime: number, { windowMilliseconds }: UsageSettings): number {
    return Math.floor(trueTime / windowMilliseconds);
}

function endOf(window: number, { windowMilliseconds }: UsageSettings): number {
    return (window + 1) * windowMilliseconds;
}

/** Time from the end of a window, milliseconds. */
export function ageOfWindow(window: number, trueNow: number, settings: UsageSettings): number {
    return trueNow - endOf(window, settings);
}

export function planUsage(settings: UsageSettings, view: UsageView): UsagePlan {
    const { trueNow, claims, ownClaims, settled } = view;
    const ageOf = (window: number): number => ageOfWindow(window, trueNow, settings);
    const newest = windowAt(trueNow, settings) - 1;
    // Rows are removed by age: a true time that went back must not let an old window be claimed again.
    const newestClaim = Math.max(...claims.keys(), ...ownClaims.keys());
    const oldest = Math.max(
        windowAt(trueNow - CLAIM_MILLISECONDS, settings),
        newestClaim - Math.ceil(CLAIM_MILLISECONDS / settings.windowMilliseconds),
    );
    const mayBeLost = (window: number): boolean =>
        !view.isFirstEpoch && endOf(window, settings) <= view.epochSeenAt;
    const recent = Array.from({ length: Math.max(0, newest - oldest + 1) }, (_, index) => oldest + index);
    const isUnclaimed = (window: number): boolean =>
        !claims.has(window) && !ownClaims.has(window) && !settled.has(window);
    const countable = recent.filter(window => ageOf(window) >= SETTLE_MILLISECONDS);
    const claimed = [...new Set([...claims.keys(), ...ownClaims.keys()])].sort((a, b) => a - b);
    return {
        toClaim: countable.filter(
            window => isUnclaimed(window) && ageOf(window) <= CLAIM_MILLISECONDS && !mayBeLost(window),
        ),
        toSend: claimed.filter(
            window =>
                !settled.has(window) &&
                ageOf(window) <= SEND_MILLISECONDS &&
                (ownClaims.has(window) || !mayBeLost(window)),
        ),
        toRemove: [...claims.keys()].filter(window => ageOf(window) > ROW_MILLISECONDS),
        missed: countable.filter(window => isUnclaimed(window) && mayBeLost(window)),
    };
}

/** Median of the nodes' time of day minus the store's clock: one clock that jumps does not move it. */
export function medianOf(values: readonly number[]): number | undefined {
    if (values.length === 0) {
        return undefined;
    }
    const sorted = [...values].sort((a, b) => a - b);
    const middle = sorted.length >> 1;
    return sorted.length % 2 === 1 ? sorted[middle] : (sorted[middle - 1]! + sorted[middle]!) / 2;
}
