/** What the duty of scaling reads from the other components of a node. */
import type { Clock } from "../common/clock.js";
import type { Service } from "../routes/entities.js";
import type { ShiftOrder, ShiftState } from "../shifts/shift.js";
import type { Load } from "../upstream-table/load-board.js";
import type { RegisteredUpstream } from "../upstream-table/upstream-table.js";
import type { ScalingRule } from "./scaling-decision.js";
import type { ScalingSources } from "./scaling-orders.js";

export interface ScalingSourcesOptions {
    readonly services: () => ReadonlyMap<string, Service> | undefined;
    /** Upstreams that are not leaving. */
    readonly upstreams: () => readonly RegisteredUpstream[];
    readonly loads: () => ReadonlyMap<string, Load>;
    readonly shiftOrders: () => readonly ShiftOrder[];
    readonly shiftStates: () => ReadonlyMap<string, ShiftState>;
    readonly isEvacuating: () => boolean;
    readonly isStoreAway: () => boolean;
    readonly node: string;
    /** Ids of all nodes. */
    readonly nodes: () => readonly string[];
    /** Monotonic time of the last load report of a node. */
    readonly heardAt: (node: string) => number | undefined;
    readonly clock: Clock;
}

/** Time after a shift or an evacuation in which upstreams still start and stop, milliseconds. */
const SETTLE_MILLISECONDS = 30_000;

/**
 * Silence after which the loads of a node count as missing, milliseconds. A node without requests reports nothing.
 * Half of the time for which the demand must be low before a reduction, so that missing loads are noticed earlier.
 */
const SILENCE_MILLISECONDS = 15_000;

export function createScalingSources(options: ScalingSourcesOptions): ScalingSources {
    const { clock } = options;
    /** Monotonic time at which a condition was last true, by its name. */
    const lastAt = new Map<string, number>();

    /** Whether a condition holds, or held until lately. */
    const hasSettled = (name: string, holds: boolean): boolean => {
        const now = clock.now();
        if (holds) {
            lastAt.set(name, now);
        }
        return now - (lastAt.get(name) ?? -Infinity) >= SETTLE_MILLISECONDS;
    };

    const isShifting = (service: string): boolean => {
        const order = options.shiftOrders().find(shift => shift.service === service);
        const stage = options.shiftStates().get(service)?.stage;
        return order !== undefined && stage !== "completed" && stage !== "rolled-back";
    };

    return {
        rules: () => {
            const rules = new Map<string, ScalingRule>();
            for (const { name, scaling } of options.services()?.values() ?? []) {
                if (scaling !== undefined) {
                    rules.set(name, scaling);
                }
            }
            return rules;
        },
        upstreams: () => options.upstreams().map(({ entry }) => entry),
        loads: options.loads,
        engineTokens: service => options.services()?.get(service)?.engineTokens,
        isComplete: () => {
            const others = options.nodes().filter(node => node !== options.node);
            const oldest = clock.now() - SILENCE_MILLISECONDS;
            const heard = others.filter(node => (options.heardAt(node) ?? -Infinity) >= oldest);
            return heard.length * 2 >= others.length;
        },
        situation: service => ({
            isShifting: !hasSettled(`shift ${service}`, isShifting(service)),
            isEvacuating: !hasSettled("evacuation", options.isEvacuating()),
            isStoreAway: options.isStoreAway(),
        }),
    };
}
