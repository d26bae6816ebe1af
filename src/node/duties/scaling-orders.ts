/** The duty of scaling: samples the demand, and writes and sends the orders that `scaling-decision.ts` decides on. */
import * as z from "zod/mini";
import type { Clock } from "../common/clock.js";
import type { Logger } from "../logging/logging.js";
import { createRowReader } from "../replica/row-reader.js";
import type { RowReplica } from "../replica/row-replica.js";
import type { SharedStore } from "../replica/shared-store.js";
import type { Load } from "../upstream-table/load-board.js";
import type { UpstreamEntry } from "../upstream-table/upstream-table.js";
import type { DutySender } from "./duty-sender.js";
import { HISTORY_MILLISECONDS, decideScaling } from "./scaling-decision.js";
import type { DemandSample, ScalingDecision, ScalingRule, ScalingSituation } from "./scaling-decision.js";

/** What the duty needs to know of services and upstreams. */
export interface ScalingSources {
    /** Services that may be scaled. */
    readonly rules: () => ReadonlyMap<string, ScalingRule>;
    /** Upstreams that are not leaving. */
    readonly upstreams: () => readonly UpstreamEntry[];
    /** Load of each upstream, of all nodes. */
    readonly loads: () => ReadonlyMap<string, Load>;
    /** Memory of one engine of a service, in tokens. */
    readonly engineTokens: (service: string) => number | undefined;
    /** Whether the loads of at least half of the nodes are known. */
    readonly isComplete: () => boolean;
    readonly situation: (service: string) => ScalingSituation;
}

export interface ScalingOrders {
    /** Measures the demand. Called every second while this node contends for the duty. */
    sample(): void;
    /** Takes the next step of the duty while this node may act. @param token Token of the lease */
    step(token: number): void;
    /** Sum of the numbers that are ordered. */
    orderedUpstreams(): number;
}

export interface ScalingOrdersOptions {
    readonly sources: ScalingSources;
    readonly sender: DutySender;
    readonly replica: Pick<RowReplica, "epoch" | "get" | "stored" | "list">;
    readonly store: Pick<SharedStore, "transact">;
    readonly clock: Clock;
    readonly logger: Logger;
}

interface Order {
    readonly desiredCount: number;
    /** Monotonic time at which this node learned of it. */
    readonly at: number;
    /** Monotonic time at which the receiver accepted it from this holder. */
    readonly acceptedAt: number | undefined;
}

interface Subject {
    readonly service: string;
    readonly dataCentre: string;
}

interface SubjectDecision {
    /** Key of the row. */
    readonly key: string;
    readonly subject: Subject;
    readonly decision: ScalingDecision;
}

const ROW_PREFIX = "scaling/";

const orderRow = z.object({ desiredCount: z.number().check(z.int(), z.nonnegative()) });

/** Pause between orders, milliseconds. Leaves half of the rate that all nodes share. */
const NEXT_CALL_MILLISECONDS = 50;

/** Time between decisions on a subject, milliseconds. */
const DECISION_MILLISECONDS = 1000;

/** Time after an accepted order after which it is sent again where the number of upstreams differs, milliseconds. */
const REPEAT_MILLISECONDS = 45_000;

function rowKey({ service, dataCentre }: Subject): string {
    return `${ROW_PREFIX}${service}/${dataCentre}`;
}

export function createScalingOrders(options: ScalingOrdersOptions): ScalingOrders {
    const { sources, replica, clock, logger } = options;
    const readOrder = createRowReader<{ desiredCount: number }>(orderRow, logger);
    const subjects = new Map<string, Subject>();
    const samples = new Map<string, DemandSample[]>();
    let orders = new Map<string, Order>();
    let token: number | undefined;
    let decidedAt = -Infinity;
    let isWriting = false;

    const sampleOf = (
        { service }: Subject,
        upstreams: readonly UpstreamEntry[],
        loads: ReadonlyMap<string, Load>,
        isComplete: boolean,
    ): DemandSample => {
        const sum = (read: (upstream: UpstreamEntry) => number): number =>
            upstreams.reduce((total, upstream) => total + read(upstream), 0);
        const engineTokens = sources.engineTokens(service);
        return {
            at: clock.now(),
            upstreams: upstreams.length,
            slots: sum(({ slots }) => slots),
            requests: sum(({ id }) => loads.get(id)?.requests ?? 0),
            pendingTokens: sum(({ id }) => loads.get(id)?.pendingTokens ?? 0),
            heldTokens: sum(({ id }) => loads.get(id)?.heldTokens ?? 0),
            capacityTokens: engineTokens === undefined ? undefined : engineTokens * upstreams.length,
            rejections: 0,
            isComplete,
        };
    };

    /** Orders that former holders wrote. This holder knows its own ones better than its replica does. */
    const takeOver = (): void => {
        orders = new Map();
        for (const row of replica.list(ROW_PREFIX)) {
            const order = readOrder(row);
            if (order !== undefined) {
                orders.set(row.key, {
                    desiredCount: order.desiredCount,
                    at: clock.now(),
                    acceptedAt: undefined,
                });
            }
        }
    };

    const logDecision = ({ key, subject, decision }: SubjectDecision, isWritten: boolean): void => {
        const last = samples.get(key)?.at(-1);
        logger.info("Decided on the number of upstreams.", {
            service: subject.service,
            ordersFor: subject.dataCentre,
            desiredCount: decision.desiredCount,
            current: decision.current,
            needed: decision.needed,
            reason: decision.reason,
            written: isWritten,
            upstreams: last?.upstreams,
            slots: last?.slots,
            requests: last?.requests,
            pendingTokens: Math.round(last?.pendingTokens ?? 0),
            heldTokens: Math.round(last?.heldTokens ?? 0),
            ageMilliseconds: last === undefined ? undefined : Math.round(clock.now() - last.at),
        });
    };

    /** Writes all decisions with one call to the store. */
    const write = async (decisions: readonly SubjectDecision[]): Promise<void> => {
        const writtenToken = token;
        const isApplied = await options.store.transact({
            epoch: replica.epoch,
            conditions: decisions.map(({ key }) => ({
                table: "nodes",
                key,
                revision: replica.stored(key)?.revision ?? 0,
            })),
            writes: decisions.map(({ key, decision }) => ({
                table: "nodes",
                key,
                value: JSON.stringify({ desiredCount: decision.desiredCount }),
            })),
        });
        decisions.forEach(decision => logDecision(decision, isApplied));
        if (isApplied && writtenToken === token) {
            for (const { key, decision } of decisions) {
                const { desiredCount } = decision;
                orders.set(key, { desiredCount, at: clock.now(), acceptedAt: undefined });
            }
        }
    };

    const decide = (): void => {
        const rules = sources.rules();
        const decisions = [...subjects].flatMap(([key, subject]): readonly SubjectDecision[] => {
            const rule = rules.get(subject.service);
            if (rule === undefined) {
                return [];
            }
            const decision = decideScaling({
                ...sources.situation(subject.service),
                now: clock.now(),
                rule,
                samples: samples.get(key) ?? [],
                ordered: orders.get(key),
            });
            return decision === undefined ? [] : [{ key, subject, decision }];
        });
        if (decisions.length === 0) {
            return;
        }
        isWriting = true;
        write(decisions)
            .catch((error: unknown) =>
                logger.warn("Could not write the number of upstreams; trying again.", {
                    orders: decisions.length,
                    error: (error as Error).message,
                }),
            )
            .finally(() => {
                isWriting = false;
            });
    };

    /** Whether an order must be sent, perhaps again: a former holder's may not have arrived. */
    const isDue = (key: string, { desiredCount, acceptedAt }: Order): boolean => {
        if (acceptedAt === undefined) {
            return true;
        }
        const subject = subjects.get(key);
        const serving = samples.get(key)?.at(-1)?.upstreams;
        return (
            subject !== undefined &&
            serving !== desiredCount &&
            !sources.situation(subject.service).isShifting &&
            clock.now() - acceptedAt >= REPEAT_MILLISECONDS
        );
    };

    const subjectOf = (key: string): Subject | undefined => {
        const [, service, dataCentre] = key.split("/");
        return service === undefined || dataCentre === undefined ? undefined : { service, dataCentre };
    };

    const sendNext = (): void => {
        if (!options.sender.canSend("scaling")) {
            return;
        }
        const rules = sources.rules();
        for (const [key, order] of orders) {
            const subject = subjects.get(key) ?? subjectOf(key);
            if (subject === undefined || !rules.has(subject.service) || !isDue(key, order)) {
                continue;
            }
            const sentToken = token;
            const { desiredCount } = order;
            void options.sender.send({ kind: "scaling", ...subject, desiredCount }).then(result => {
                const current = orders.get(key);
                if (result === "settled" && sentToken === token && current?.desiredCount === desiredCount) {
                    orders.set(key, { ...current, acceptedAt: clock.now() });
                }
                setTimeout(sendNext, NEXT_CALL_MILLISECONDS).unref();
            });
            return;
        }
    };

    return {
        sample: () => {
            const loads = sources.loads();
            const isComplete = sources.isComplete();
            const rules = sources.rules();
            const groups = new Map<string, UpstreamEntry[]>();
            for (const upstream of sources.upstreams()) {
                if (rules.has(upstream.service)) {
                    const { service, dataCentre } = upstream;
                    const key = rowKey({ service, dataCentre });
                    subjects.set(key, { service, dataCentre });
                    groups.set(key, [...(groups.get(key) ?? []), upstream]);
                }
            }
            const oldest = clock.now() - HISTORY_MILLISECONDS;
            for (const [key, subject] of subjects) {
                const list = samples.get(key) ?? [];
                list.push(sampleOf(subject, groups.get(key) ?? [], loads, isComplete));
                samples.set(
                    key,
                    list.filter(({ at }) => at > oldest),
                );
            }
        },
        step: currentToken => {
            if (token !== currentToken) {
                token = currentToken;
                takeOver();
            }
            if (!isWriting && clock.now() - decidedAt >= DECISION_MILLISECONDS) {
                decidedAt = clock.now();
                decide();
            }
            sendNext();
        },
        orderedUpstreams: () => [...orders.values()].reduce((sum, { desiredCount }) => sum + desiredCount, 0),
    };
}
