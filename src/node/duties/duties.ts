/** Duties that one node at a time does for the whole deployment: reports of usage, and scaling. */
import type { Clock } from "../common/clock.js";
import type { Lifecycle } from "../lifecycle/lifecycle.js";
import type { Logger } from "../logging/logging.js";
import type { MetricsRegistry } from "../metrics/registry.js";
import type { Peers } from "../peers/peers.js";
import type { RowReplica } from "../replica/row-replica.js";
import type { SharedStore } from "../replica/shared-store.js";
import { wantsLease } from "./contenders.js";
import type { SendDuty } from "./duty-receiver.js";
import { createDutySender } from "./duty-sender.js";
import { createLeaseHolder } from "./lease-holder.js";
import { RETENTION_MILLISECONDS, createRunCounts } from "./run-counts.js";
import { createScalingOrders } from "./scaling-orders.js";
import type { ScalingSources } from "./scaling-orders.js";
import { createUsageCollection } from "./usage-collection.js";
import type { CountedNode } from "./usage-collection.js";
import { createUsageReports } from "./usage-reports.js";

export interface DutiesSettings {
    /** Whether usage is reported. */
    readonly usage: boolean;
    /** Whether services are scaled. */
    readonly scaling: boolean;
    /** Calls per second that all nodes together may make. */
    readonly callsPerSecond: number;
    readonly separationMilliseconds: number;
    readonly thawSlackMilliseconds: number;
    readonly windowSeconds: number;
    readonly delaySeconds: number;
    readonly toleratedShare: number;
    readonly fencingEnforced: boolean;
}

export interface Duties {
    /** Records that a request of a workspace began to run at an upstream. */
    recordRun(workspace: string): void;
}

export interface DutiesOptions {
    readonly settings: DutiesSettings;
    /** Name of this node. */
    readonly node: string;
    /** Unique per process start. */
    readonly process: string;
    /** All nodes, with this one. */
    readonly nodes: () => readonly CountedNode[];
    /** Whether a node takes part in what the nodes share; true for all while this node hears few others. */
    readonly isActive: (node: string) => boolean;
    /** Monotonic time of the last load report of a node. */
    readonly heardAt: (node: string) => number | undefined;
    readonly isStopping: () => boolean;
    readonly isStoreAway: () => boolean;
    readonly scaling: ScalingSources;
    readonly peers: Peers;
    readonly replica: RowReplica;
    readonly store: Pick<SharedStore, "transact">;
    /** Store's clock minus the monotonic clock, milliseconds. */
    readonly clockOffset: () => number | undefined;
    readonly sendDuty: SendDuty;
    readonly clock: Clock;
    readonly metrics: Pick<MetricsRegistry, "count" | "gauge">;
    readonly lifecycle: Pick<Lifecycle, "add">;
    readonly logger: Logger;
}

/** Interval of the steps while this node may act, and otherwise, milliseconds. */
const ACTIVE_TICK_MILLISECONDS = 200;
const IDLE_TICK_MILLISECONDS = 1000;

/** Time since its last load report in which a node will probably answer soon, milliseconds. */
const HEARD_MILLISECONDS = 3000;

/** Interval of the hand-over of counts and of the samples of the demand, milliseconds. */
const SECOND_MILLISECONDS = 1000;

export function createDuties(options: DutiesOptions): Duties {
    const { settings, clock, logger, metrics } = options;
    const counts = createRunCounts();
    /** Monotonic time at which each node was last on the list. */
    const listedAt = new Map<string, number>();
    let isContending = false;

    const lease = createLeaseHolder({
        settings: {
            holder: `${options.node}/${options.process}`,
            separationMilliseconds: settings.separationMilliseconds,
            thawSlackMilliseconds: settings.thawSlackMilliseconds,
            isFencingEnforced: settings.fencingEnforced,
        },
        replica: options.replica,
        store: options.store,
        isWanted: (isHolding, vacantMilliseconds) => {
            const ids = options.nodes().map(({ id }) => id);
            isContending = wantsLease({
                node: options.node,
                liveNodes: ids.filter(id => id === options.node || options.isActive(id)),
                isHolding,
                vacantMilliseconds,
                isStopping: options.isStopping(),
                isStoreAway: options.isStoreAway(),
                isReceiverAway: sender.isReceiverAway(),
            });
            return isContending;
        },
        clock,
        lifecycle: options.lifecycle,
        logger,
    });
    const sender = createDutySender({
        node: options.node,
        hold: lease.hold,
        sendDuty: options.sendDuty,
        callsPerSecond: settings.callsPerSecond,
        count: (duty, result) => metrics.count("duty_calls_total", { duty, result }),
        clock,
        logger,
    });
    const collection = createUsageCollection({
        node: options.node,
        process: options.process,
        nodes: options.nodes,
        leftNodes: () => {
            const ids = new Set(options.nodes().map(({ id }) => id));
            return [...listedAt.keys()].filter(id => !ids.has(id));
        },
        isActive: options.isActive,
        wasHeard: node => clock.now() - (options.heardAt(node) ?? -Infinity) < HEARD_MILLISECONDS,
        counts,
        peers: options.peers,
        clock,
        clockOffset: options.clockOffset,
    });
    const usage = createUsageReports({
        settings: {
            windowMilliseconds: settings.windowSeconds * 1000,
            delayMilliseconds: settings.delaySeconds * 1000,
            toleratedShare: settings.toleratedShare,
        },
        collection,
        sender,
        replica: options.replica,
        store: options.store,
        clock,
        clockOffset: options.clockOffset,
        mayAct: () => lease.hold() !== undefined,
        logger,
    });
    const scaling = createScalingOrders({
        sources: options.scaling,
        sender,
        replica: options.replica,
        store: options.store,
        clock,
        logger,
    });

    const rememberNodes = (now: number): void => {
        options.nodes().forEach(({ id }) => listedAt.set(id, now));
        for (const [id, at] of listedAt) {
            if (at < now - RETENTION_MILLISECONDS) {
                listedAt.delete(id);
            }
        }
    };

    let secondAt = -Infinity;
    const everySecond = (now: number): void => {
        if (now - secondAt < SECOND_MILLISECONDS - ACTIVE_TICK_MILLISECONDS / 2) {
            return;
        }
        secondAt = now;
        rememberNodes(now);
        if (settings.usage) {
            void collection.handOver();
        }
        if (settings.scaling && isContending) {
            scaling.sample();
        }
    };

    const step = (): void => {
        everySecond(clock.now());
        const hold = lease.hold();
        if (hold === undefined) {
            return;
        }
        if (settings.usage) {
            usage.step();
        }
        if (settings.scaling) {
            scaling.step(hold.token);
        }
    };

    options.lifecycle.add({
        name: "duties",
        start: () => {
            let timer: NodeJS.Timeout | undefined;
            const tick = (): void => {
                try {
                    step();
                }
                catch (error) {
                    logger.error("A step of the duties failed; trying again.", {
                        error: (error as Error).message,
                    });
                }
                timer = setTimeout(tick, isContending ? ACTIVE_TICK_MILLISECONDS : IDLE_TICK_MILLISECONDS);
            };
            tick();
            return async () => {
                clearTimeout(timer);
                if (settings.usage) {
                    await collection.handOver();
                }
            };
        },
    });

    metrics.gauge("duty_holder", () => (lease.isHolding() ? 1 : 0));
    metrics.gauge("duty_token", () => {
        const current = lease.current();
        return current === undefined ? undefined : Number(current.token);
    });
    metrics.gauge("duty_lease_writes_total", lease.storeCalls);
    metrics.gauge("usage_windows_pending", usage.pending);
    metrics.gauge("usage_windows_missed_total", usage.missed);
    metrics.gauge("usage_reports_late_total", usage.late);
    metrics.gauge("ordered_upstreams", scaling.orderedUpstreams);

    // Whole milliseconds are exact enough, and shorter in a copy.
    return { recordRun: workspace => counts.record(workspace, Math.round(clock.now())) };
}
