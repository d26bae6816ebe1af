/** The duty of usage reports: counts, claims and sends the windows that `usage-windows.ts` plans. */
import * as z from "zod/mini";
import type { Clock } from "../common/clock.js";
import type { Logger } from "../logging/logging.js";
import { createRowReader } from "../replica/row-reader.js";
import type { RowReplica } from "../replica/row-replica.js";
import type { SharedStore } from "../replica/shared-store.js";
import type { WorkspaceCounts } from "./duty-receiver.js";
import type { DutySender } from "./duty-sender.js";
import type { CollectedCounts, UsageCollection } from "./usage-collection.js";
import {
    USAGE_ROW_PREFIX,
    ageOfWindow,
    medianOf,
    planUsage,
    usageRowKey,
    windowOfKey,
} from "./usage-windows.js";
import type { UsagePlan, UsageSettings } from "./usage-windows.js";

export interface UsageReports {
    /** Takes the next step of the duty. Called several times a second while this node may act. */
    step(): void;
    /** Windows that were claimed but not yet answered. */
    pending(): number;
    /** Windows that were lost: nobody could report them. */
    missed(): number;
    /** Reports that the receiver answered after they were due, also repeated ones. */
    late(): number;
}

export interface UsageReportsOptions {
    readonly settings: UsageSettings;
    readonly collection: UsageCollection;
    readonly sender: DutySender;
    readonly replica: Pick<RowReplica, "epoch" | "list" | "stored" | "onChange">;
    readonly store: Pick<SharedStore, "transact">;
    readonly clock: Clock;
    readonly clockOffset: () => number | undefined;
    readonly mayAct: () => boolean;
    readonly logger: Logger;
}

/** Age of the median from which it is asked for again, milliseconds. */
const MEDIAN_VALIDITY_MILLISECONDS = 15_000;

/** Change of the true time against the store's clock from which it is asked for again, milliseconds. */
const CLOCK_TOLERANCE_MILLISECONDS = 250;

/** Pause after a collection or a claim that failed, milliseconds. */
const RETRY_MILLISECONDS = 500;

/** Share of the delay for which a window waits for nodes that are heard but do not answer. */
const WAIT_SHARE = 0.4;

/** Windows that this process remembers. */
const MAXIMUM_REMEMBERED_WINDOWS = 64;

const claimRow = z.record(z.string(), z.number());

export function createUsageReports(options: UsageReportsOptions): UsageReports {
    const { settings, replica, clock, logger } = options;
    const readClaim = createRowReader<WorkspaceCounts>(claimRow, logger);
    const ownClaims = new Map<number, WorkspaceCounts>();
    const settled = new Set<number>();
    const missed = new Set<number>();
    let epoch: number | undefined;
    /** Monotonic time at which the epoch was first read. */
    let epochSeenAt = -Infinity;
    /** Median over the nodes of their time of day minus the store's clock. */
    let wallOffset: { readonly value: number; readonly at: number; readonly storeOffset: number } | undefined;
    let isClaiming = false;
    let notBefore = -Infinity;
    let missedCount = 0;
    let lateCount = 0;

    replica.onChange(() => {
        if (epoch !== replica.epoch) {
            ({ epoch } = replica);
            epochSeenAt = clock.now();
        }
    });

    const forgetOld = (windows: { delete(window: number): boolean; keys(): Iterable<number> }): void => {
        const known = [...windows.keys()].sort((a, b) => a - b);
        known.slice(0, -MAXIMUM_REMEMBERED_WINDOWS).forEach(window => windows.delete(window));
    };

    const updateMedian = ({ wallOffsets, answered, silent }: CollectedCounts): void => {
        const value = medianOf(wallOffsets);
        const storeOffset = options.clockOffset();
        // The clocks of a few nodes may all be wrong.
        if (value !== undefined && storeOffset !== undefined && silent <= answered) {
            wallOffset = { value, at: clock.now(), storeOffset };
        }
    };

    /** Whether the median is of this time: a machine that was suspended and a store that restarted change it. */
    const isMedianValid = (storeOffset: number): boolean =>
        wallOffset !== undefined &&
        clock.now() - wallOffset.at <= MEDIAN_VALIDITY_MILLISECONDS &&
        Math.abs(storeOffset - wallOffset.storeOffset) <= CLOCK_TOLERANCE_MILLISECONDS;

    const claim = async (plan: UsagePlan, storeOffset: number, median: number): Promise<void> => {
        const epochBefore = replica.epoch;
        const storeTimeOf = (window: number): number => window * settings.windowMilliseconds - median;
        const collected = await options.collection.collect(
            plan.toClaim.map(window => ({
                window,
                from: storeTimeOf(window),
                to: storeTimeOf(window + 1),
            })),
        );
        updateMedian(collected);
        const hasMoved =
            Math.abs((wallOffset?.value ?? Infinity) - median) > CLOCK_TOLERANCE_MILLISECONDS ||
            !isMedianValid(options.clockOffset() ?? Infinity);
        if (!options.mayAct() || replica.epoch !== epochBefore || hasMoved) {
            return;
        }
        const oldestAge = ageOfWindow(plan.toClaim[0]!, clock.now() + storeOffset + median, settings);
        const mayWait = oldestAge < settings.delayMilliseconds * WAIT_SHARE;
        if (mayWait && collected.silent > collected.answered * settings.toleratedShare) {
            notBefore = clock.now() + RETRY_MILLISECONDS;
            return;
        }
        const counted = plan.toClaim.map((window, index) => ({
            window,
            counts: collected.counts[index]!,
        }));
        const wasCounted = (window: number): boolean =>
            collected.copied > 0 || storeTimeOf(window + 1) > collected.oldestStart;
        // No process of that time is left, so a report would say wrongly that nothing ran.
        counted.filter(({ window }) => !wasCounted(window)).forEach(({ window }) => settled.add(window));
        const contents = counted.filter(({ window }) => wasCounted(window));
        if (contents.length === 0) {
            return;
        }
        const isApplied = await options.store.transact({
            epoch: epochBefore,
            conditions: contents.map(({ window }) => ({
                table: "nodes" as const,
                key: usageRowKey(window),
                revision: 0,
            })),
            writes: [
                ...contents.map(({ window, counts }) => ({
                    table: "nodes" as const,
                    key: usageRowKey(window),
                    value: JSON.stringify(counts),
                })),
                ...plan.toRemove.map(window => ({
                    table: "nodes" as const,
                    key: usageRowKey(window),
                    value: undefined,
                })),
            ],
        });
        if (isApplied) {
            contents.forEach(({ window, counts }) => ownClaims.set(window, counts));
            forgetOld(ownClaims);
        }
        for (const { window, counts } of contents) {
            logger.info("Counted the usage of a window.", {
                window,
                claimed: isApplied,
                workspaces: Object.keys(counts).length,
                requests: Object.values(counts).reduce((sum, count) => sum + count, 0),
                nodes: collected.answered,
                missingNodes: collected.missing.length,
                copies: collected.copied,
                storeOffset: Math.round(storeOffset),
                clockSpreadMilliseconds:
                    collected.wallOffsets.length === 0
                        ? undefined
                        : Math.round(Math.max(...collected.wallOffsets) - Math.min(...collected.wallOffsets)),
            });
        }
        if (!isApplied) {
            notBefore = clock.now() + RETRY_MILLISECONDS;
        }
    };

    const run = (work: Promise<void>): void => {
        isClaiming = true;
        work.catch((error: unknown) => {
            notBefore = clock.now() + RETRY_MILLISECONDS;
            logger.warn("Could not claim a window of usage; trying again.", {
                error: (error as Error).message,
            });
        }).finally(() => {
            isClaiming = false;
        });
    };

    const currentPlan = (storeOffset: number, median: number): UsagePlan => {
        const trueOf = (monotonic: number): number => monotonic + storeOffset + median;
        const claims = new Map(
            replica.list(USAGE_ROW_PREFIX).flatMap(row => {
                const counts = readClaim(row);
                return counts === undefined ? [] : [[windowOfKey(row.key), counts] as const];
            }),
        );
        return planUsage(settings, {
            trueNow: trueOf(clock.now()),
            epochSeenAt: trueOf(epochSeenAt),
            isFirstEpoch: replica.epoch === 0,
            claims,
            ownClaims,
            settled,
        });
    };

    const contentOf = (window: number): WorkspaceCounts | undefined => {
        const own = ownClaims.get(window);
        const row = replica.stored(usageRowKey(window));
        return own ?? (row === undefined ? undefined : readClaim(row));
    };

    const sendNext = (plan: UsagePlan, storeOffset: number, median: number): void => {
        const window = plan.toSend.find(each => contentOf(each) !== undefined);
        const counts = window === undefined ? undefined : contentOf(window);
        if (window === undefined || counts === undefined || !options.sender.canSend("usage")) {
            return;
        }
        void options.sender.send({ kind: "usage", window, counts }).then(result => {
            if (result === "settled") {
                settled.add(window);
                forgetOld(settled);
                const trueNow = clock.now() + storeOffset + median;
                const isLate = ageOfWindow(window, trueNow, settings) > settings.delayMilliseconds;
                lateCount += isLate ? 1 : 0;
            }
        });
    };

    const recordMissed = (plan: UsagePlan): void => {
        for (const window of plan.missed) {
            if (!missed.has(window)) {
                missed.add(window);
                forgetOld(missed);
                missedCount += 1;
                logger.warn(
                    "A window of usage cannot be reported: a restored store may have lost its claim.",
                    {
                        window,
                    },
                );
            }
        }
    };

    return {
        step: () => {
            const storeOffset = options.clockOffset();
            if (storeOffset === undefined) {
                return;
            }
            if (wallOffset === undefined || !isMedianValid(storeOffset)) {
                if (!isClaiming && clock.now() >= notBefore) {
                    notBefore = clock.now() + RETRY_MILLISECONDS;
                    run(options.collection.collect([{ from: 0, to: 0 }]).then(updateMedian));
                }
                return;
            }
            const plan = currentPlan(storeOffset, wallOffset.value);
            recordMissed(plan);
            if (plan.toClaim.length > 0 && !isClaiming && clock.now() >= notBefore) {
                run(claim(plan, storeOffset, wallOffset.value));
            }
            sendNext(plan, storeOffset, wallOffset.value);
        },
        pending: () => [...ownClaims.keys()].filter(window => !settled.has(window)).length,
        missed: () => missedCount,
        late: () => lateCount,
    };
}
