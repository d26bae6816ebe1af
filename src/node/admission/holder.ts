/**
 * The holder's side of admission: the credits that a node holds, uses and requests.
 *
 * Requests take credits from the allowance of an upstream. A step sends at most one message per owner:
 * immediately when demand grows or an upstream failed or restarted, otherwise about once a second while
 * credits are held.
 */
import type { Credit, UpstreamObservation } from "./admission.js";
import {
    CALL_TIMEOUT_MILLISECONDS,
    CLOCK_RATE_MARGIN,
    CONFIRMATION_INTERVAL_MILLISECONDS,
    DEMAND_LIFETIME_MILLISECONDS,
    HEADROOM_SHARE,
    MAXIMUM_ANSWER_AGE_MILLISECONDS,
    MAXIMUM_OBSERVATION_DELAY_MILLISECONDS,
    MAXIMUM_PENDING_OBSERVATIONS,
    MEAN_TOKENS_WEIGHT,
    WAITING_POLL_MILLISECONDS,
} from "./constants.js";
import { NO_EVIDENCE, appendRun, isWarm, observe, outcomeOf } from "./evidence.js";
import type { Evidence, ObservationRun } from "./evidence.js";
import type { NodeRequest, OwnerReply, ReportedLoad, UpstreamDemand } from "./messages.js";
import { ZERO, add, fits, isZero, maximum, minimum, subtract } from "./quantity.js";
import type { Quantity } from "./quantity.js";

/** A call to an owner ended. */
export type HolderEvent =
    | {
          readonly kind: "replied";
          readonly owner: string;
          readonly sequence: number;
          readonly reply: OwnerReply;
      }
    | { readonly kind: "failed"; readonly owner: string; readonly sequence: number };

export type HolderAction =
    | { readonly kind: "send"; readonly owner: string; readonly request: NodeRequest }
    /** Credits may have become available. */
    | { readonly kind: "notify" }
    /** The owner reported that an upstream turned warm or cold. */
    | { readonly kind: "temperature"; readonly upstream: string; readonly isWarm: boolean };

/** Sums over the upstreams that a node uses, in requests. */
export interface HolderTotals {
    readonly allowed: number;
    readonly inUse: number;
    /** Failed acquisitions whose requests still wait. */
    readonly waiting: number;
}

export interface HolderOptions {
    readonly self: { readonly id: string; readonly incarnation: number };
    readonly owner: (upstream: string) => string | undefined;
    /** Increases when owners may have changed. */
    readonly ownersVersion: () => number;
    readonly firstTokenLimitMilliseconds: number;
    readonly renewalMilliseconds: number;
}

/** An upstream that this node uses. */
interface HeldRow {
    readonly upstream: string;
    owner: string | undefined;
    ownerSince: number;
    /** Maximum credits in use at the same time, until `validUntil`. */
    allowance: Quantity;
    validUntil: number;
    inUse: Quantity;
    /** Maximum use in the current and in the previous renewal period. */
    peak: Quantity;
    previousPeak: Quantity;
    /** Moving average of the tokens per request. */
    meanTokens: number;
    /** Whether a credit was taken in the current period. */
    wasAcquired: boolean;
    wasAcquiredInPreviousPeriod: boolean;
    /** Maximum demand of a pass in this and the previous period, less the credits taken since. */
    unmetDemand: Quantity;
    unmetDemandAt: number;
    periodUnmetDemand: Quantity;
    periodStart: number;
    /** Failed acquisitions with the same time belong to one pass over the waiting requests. */
    passAt: number;
    passDemand: Quantity;
    contended: boolean;
    warm: boolean;
    evidence: Evidence;
    pendingObservations: readonly ObservationRun[];
    /** Until then fast answers of a warm upstream are not sent, because the owner needs few of them. */
    nextConfirmationAt: number;
    /** Last load that the upstream reported. */
    load: { readonly held: Quantity; readonly measuredAt: number } | undefined;
    wantsLoad: boolean;
    /** Whether the owner may count credits for this node, so that it must receive the next message. */
    isCounted: boolean;
}

/** State of the calls to an owner. */
interface OwnerLink {
    readonly owner: string;
    /** Call without a reply yet. */
    openCall:
        { readonly sequence: number; readonly sentAt: number; readonly rows: readonly SentRow[] } | undefined;
    /** Time of the next message, unless it is urgent. */
    dueAt: number;
    urgent: boolean;
}

interface SentRow {
    readonly row: HeldRow;
    readonly held: Quantity;
    readonly observations: readonly ObservationRun[];
}

export interface Holder {
    tryAcquire(upstream: string, memoryTokens: number, now: number): Credit | undefined;
    /** Records demand for a credit without taking one. */
    requestCredit(upstream: string, memoryTokens: number, now: number): void;
    /** Ends the use of a credit. A second call for the same credit has no effect. */
    release(credit: Credit, observation: UpstreamObservation, now: number): void;
    recordBootId(upstream: string, bootId: string, now: number): void;
    /** Suspends the unused credits of an upstream until its owner, which sent the recall, has replied. */
    recall(owner: string, upstream: string): void;
    /** Records the load that an upstream reports, which the owner may request. */
    reportLoad(upstream: string, held: Quantity, measuredAt: number): void;
    available(upstream: string, now: number): number;
    /** Whether the owner's last reply said that the upstream is warm. */
    isWarm(upstream: string): boolean;
    step(events: readonly HolderEvent[], now: number): readonly HolderAction[];
    /** Messages that return all unused credits. From then on the holder takes and requests no credits. */
    returnCredits(now: number): readonly HolderAction[];
    totals(now: number): HolderTotals;
    dump(now: number): readonly unknown[];
}

export function createHolder(options: HolderOptions): Holder {
    const rows = new Map<string, HeldRow>();
    const rowsByOwner = new Map<string, Set<HeldRow>>();
    const links = new Map<string, OwnerLink>();
    const creditsInUse = new Set<number>();
    let nextCreditId = 0;
    let sequence = 0;
    /** Whether this node has returned its unused credits and takes no new ones. */
    let isLeaving = false;
    /** Whether a credit was released that waiting requests on this node may take. */
    let hasReleased = false;
    let ownersVersion = options.ownersVersion();

    const getOrCreateLink = (owner: string): OwnerLink => {
        let link = links.get(owner);
        if (link === undefined) {
            link = { owner, openCall: undefined, dueAt: 0, urgent: false };
            links.set(owner, link);
        }
        return link;
    };

    const markUrgent = (row: HeldRow): void => {
        if (row.owner !== undefined) {
            getOrCreateLink(row.owner).urgent = true;
        }
    };

    /**
     * Assigns a row to its current owner, to which the next message sends this node's credits and evidence.
     */
    const assignOwner = (row: HeldRow, now: number): void => {
        const owner = options.owner(row.upstream);
        if (owner === row.owner) {
            return;
        }
        if (row.owner !== undefined) {
            rowsByOwner.get(row.owner)?.delete(row);
        }
        row.owner = owner;
        row.ownerSince = now;
        row.nextConfirmationAt = -Infinity;
        if (owner === undefined) {
            return;
        }
        const owned = rowsByOwner.get(owner);
        if (owned === undefined) {
            rowsByOwner.set(owner, new Set([row]));
        }
        else {
            owned.add(row);
        }
        const { evidence } = row;
        // Fewer fast answers are not sent again: an owner that has already counted them would count them
        // twice.
        if (isWarm(evidence, now) && now - evidence.seenAt <= MAXIMUM_OBSERVATION_DELAY_MILLISECONDS) {
            const { bootId, fastAnswers: count } = evidence;
            row.pendingObservations = [
                { outcome: "fast", count, ...(bootId === undefined ? {} : { bootId }) },
            ];
        }
        markUrgent(row);
    };

    const getOrCreateRow = (upstream: string, now: number): HeldRow => {
        let row = rows.get(upstream);
        if (row === undefined) {
            row = {
                upstream,
                owner: undefined,
                ownerSince: now,
                allowance: ZERO,
                validUntil: -Infinity,
                inUse: ZERO,
                peak: ZERO,
                previousPeak: ZERO,
                meanTokens: 0,
                wasAcquired: false,
                wasAcquiredInPreviousPeriod: false,
                unmetDemand: ZERO,
                unmetDemandAt: -Infinity,
                periodUnmetDemand: ZERO,
                periodStart: now,
                passAt: -Infinity,
                passDemand: ZERO,
                contended: false,
                warm: false,
                evidence: NO_EVIDENCE,
                pendingObservations: [],
                nextConfirmationAt: -Infinity,
                load: undefined,
                wantsLoad: false,
                isCounted: false,
            };
            rows.set(upstream, row);
            assignOwner(row, now);
        }
        return row;
    };

    const usable = (row: HeldRow, now: number): Quantity => (now < row.validUntil ? row.allowance : ZERO);

    /** Whether the allowance does not cover the use plus the demand of failed acquisitions. */
    const needsMore = (row: HeldRow, now: number): boolean =>
        !fits(add(row.inUse, row.unmetDemand), usable(row, now));

    const recordDemand = (row: HeldRow, demand: Quantity, now: number): void => {
        row.passDemand = row.passAt === now ? add(row.passDemand, demand) : demand;
        row.passAt = now;
        const before = row.unmetDemand;
        row.periodUnmetDemand = maximum(row.periodUnmetDemand, row.passDemand);
        row.unmetDemand = maximum(row.unmetDemand, row.passDemand);
        row.unmetDemandAt = now;
        // Demand that was already sent to the owner waits for the next poll; larger demand is sent
        // immediately.
        if (!fits(row.unmetDemand, before)) {
            markUrgent(row);
        }
    };

    /** Starts the next period when the current one is over, and discards expired demand. */
    const updatePeriod = (row: HeldRow, now: number): void => {
        if (now - row.unmetDemandAt > DEMAND_LIFETIME_MILLISECONDS) {
            row.unmetDemand = ZERO;
            row.periodUnmetDemand = ZERO;
        }
        if (now - row.periodStart < options.renewalMilliseconds) {
            return;
        }
        row.periodStart = now;
        row.previousPeak = row.peak;
        row.peak = row.inUse;
        row.wasAcquiredInPreviousPeriod = row.wasAcquired;
        row.wasAcquired = false;
        if (!isZero(row.periodUnmetDemand)) {
            row.unmetDemand = row.periodUnmetDemand;
            row.periodUnmetDemand = ZERO;
        }
    };

    const wantedCredits = (row: HeldRow, now: number): Quantity => {
        updatePeriod(row, now);
        if (isLeaving) {
            return row.inUse;
        }
        const need = add(row.inUse, row.unmetDemand);
        if (row.contended) {
            return need;
        }
        const peak = maximum(row.peak, row.previousPeak);
        const isActive = row.wasAcquired || row.wasAcquiredInPreviousPeriod || !isZero(row.unmetDemand);
        const headroom = isActive ? Math.ceil(peak.concurrency * HEADROOM_SHARE) : 0;
        return maximum(need, {
            concurrency: peak.concurrency + headroom,
            memoryTokens: peak.memoryTokens + headroom * row.meanTokens,
        });
    };

    const toReportedLoad = (load: NonNullable<HeldRow["load"]>, now: number): ReportedLoad => {
        return { held: load.held, ageMilliseconds: Math.max(0, now - load.measuredAt) };
    };

    /** Creates the entry of a row for its owner. Returns credits beyond the wanted ones. */
    const createDemand = (row: HeldRow, now: number): UpstreamDemand => {
        const wanted = wantedCredits(row, now);
        row.allowance = minimum(usable(row, now), wanted);
        const held = maximum(row.inUse, row.allowance);
        const isLate = now - row.evidence.seenAt > MAXIMUM_ANSWER_AGE_MILLISECONDS;
        const pending = isLate
            ? row.pendingObservations.filter(run => run.outcome !== "fast")
            : row.pendingObservations;
        const observations = now < row.nextConfirmationAt ? [] : pending;
        row.pendingObservations = now < row.nextConfirmationAt ? pending : [];
        if (row.warm && observations.length > 0) {
            row.nextConfirmationAt = now + CONFIRMATION_INTERVAL_MILLISECONDS;
        }
        const isWaiting = !isZero(row.unmetDemand) && needsMore(row, now);
        const demand = { upstream: row.upstream, held, wanted, isWaiting, observations };
        return row.wantsLoad && row.load !== undefined
            ? { ...demand, load: toReportedLoad(row.load, now) }
            : demand;
    };

    const recordObservations = (row: HeldRow, run: ObservationRun, now: number): void => {
        const { bootId } = row.evidence;
        const hasRestarted = bootId !== undefined && run.bootId !== undefined && bootId !== run.bootId;
        row.pendingObservations = appendRun(row.pendingObservations, run, MAXIMUM_PENDING_OBSERVATIONS);
        row.evidence = observe(row.evidence, run, now);
        if (run.outcome !== "fast" || hasRestarted || !row.warm) {
            row.nextConfirmationAt = -Infinity;
        }
        if (run.outcome === "silent" || hasRestarted) {
            // The upstream may be cold now, so no request starts before the owner has replied.
            row.allowance = ZERO;
            markUrgent(row);
        }
    };

    const isIdle = (row: HeldRow, now: number): boolean =>
        !row.isCounted &&
        isZero(row.inUse) &&
        (row.pendingObservations.length === 0 || now < row.nextConfirmationAt) &&
        (isZero(row.unmetDemand) || now - row.unmetDemandAt > DEMAND_LIFETIME_MILLISECONDS);

    const removeRow = (row: HeldRow): void => {
        rows.delete(row.upstream);
        if (row.owner !== undefined) {
            rowsByOwner.get(row.owner)?.delete(row);
        }
    };

    const send = (link: OwnerLink, now: number): HolderAction | undefined => {
        const sent: SentRow[] = [];
        const demands: UpstreamDemand[] = [];
        for (const row of rowsByOwner.get(link.owner) ?? []) {
            if (isIdle(row, now)) {
                if (now - row.evidence.seenAt > MAXIMUM_OBSERVATION_DELAY_MILLISECONDS) {
                    removeRow(row);
                }
                continue;
            }
            const demand = createDemand(row, now);
            demands.push(demand);
            sent.push({ row, held: demand.held, observations: demand.observations });
            row.isCounted = true;
        }
        link.urgent = false;
        link.dueAt = now + options.renewalMilliseconds;
        if (demands.length === 0) {
            if ((rowsByOwner.get(link.owner)?.size ?? 0) === 0) {
                links.delete(link.owner);
                rowsByOwner.delete(link.owner);
            }
            return undefined;
        }
        sequence += 1;
        link.openCall = { sequence, sentAt: now, rows: sent };
        const request = {
            node: options.self.id,
            incarnation: options.self.incarnation,
            sequence,
            runners: demands,
        };
        return { kind: "send", owner: link.owner, request };
    };

    /**
     * Ends a failed call. Slow answers and errors are sent again; fast answers are optional and are
     * discarded.
     */
    const endFailedCall = (link: OwnerLink, now: number): void => {
        for (const { row, observations } of link.openCall?.rows ?? []) {
            const failures = observations.filter(run => run.outcome !== "fast");
            row.pendingObservations = [...failures, ...row.pendingObservations].slice(
                -MAXIMUM_PENDING_OBSERVATIONS,
            );
        }
        link.openCall = undefined;
        link.dueAt = Math.min(link.dueAt, now + WAITING_POLL_MILLISECONDS);
    };

    const findOpenLink = (event: HolderEvent): OwnerLink | undefined => {
        const link = links.get(event.owner);
        return link?.openCall?.sequence === event.sequence ? link : undefined;
    };

    /** Returns whether credits may have become available. */
    const applyReply = (
        link: OwnerLink,
        reply: OwnerReply,
        now: number,
        actions: HolderAction[],
    ): boolean => {
        const { sentAt, rows: sent } = link.openCall!;
        link.openCall = undefined;
        let creditsMayBeAvailable = false;
        const grants = new Map(reply.grants.map(grant => [grant.upstream, grant]));
        const refused = new Set(reply.refused);
        for (const { row, held } of sent) {
            const defaultGrant = { granted: held, contended: false, warm: true, wantsLoad: false };
            const grant = grants.get(row.upstream) ?? defaultGrant;
            const hasMoved = row.owner !== link.owner || row.ownerSince > sentAt;
            const isWaiting = !isZero(row.unmetDemand);
            if (!refused.has(row.upstream) && !hasMoved) {
                row.allowance = grant.granted;
                row.validUntil = sentAt + reply.validMilliseconds * (1 - CLOCK_RATE_MARGIN);
                row.contended = grant.contended;
                row.wantsLoad = grant.wantsLoad;
                if (row.warm !== grant.warm) {
                    row.warm = grant.warm;
                    actions.push({ kind: "temperature", upstream: row.upstream, isWarm: grant.warm });
                }
                // The owner counts what was held until it receives a message that says otherwise.
                row.isCounted = !isZero(maximum(maximum(grant.granted, row.inUse), held));
            }
            if (isWaiting) {
                creditsMayBeAvailable ||= !fits(usable(row, now), row.inUse);
            }
            if (isWaiting && needsMore(row, now)) {
                link.dueAt = Math.min(link.dueAt, now + WAITING_POLL_MILLISECONDS);
            }
        }
        return creditsMayBeAvailable;
    };

    const reassignRows = (now: number): void => {
        if (ownersVersion === options.ownersVersion()) {
            return;
        }
        ownersVersion = options.ownersVersion();
        for (const row of [...rows.values()]) {
            assignOwner(row, now);
            if (row.owner === undefined && isZero(row.inUse)) {
                removeRow(row);
            }
        }
    };

    return {
        tryAcquire: (upstream, memoryTokens, now) => {
            if (isLeaving) {
                return undefined;
            }
            const row = getOrCreateRow(upstream, now);
            const demand = { concurrency: 1, memoryTokens };
            const use = add(row.inUse, demand);
            if (!fits(use, usable(row, now))) {
                recordDemand(row, demand, now);
                return undefined;
            }
            row.inUse = use;
            row.peak = maximum(row.peak, use);
            row.wasAcquired = true;
            row.meanTokens = Math.ceil(
                row.meanTokens === 0
                    ? memoryTokens
                    : row.meanTokens + (memoryTokens - row.meanTokens) * MEAN_TOKENS_WEIGHT,
            );
            row.unmetDemand = subtract(row.unmetDemand, demand);
            nextCreditId += 1;
            creditsInUse.add(nextCreditId);
            return { upstream, memoryTokens, id: nextCreditId };
        },
        requestCredit: (upstream, memoryTokens, now) => {
            if (isLeaving) {
                return;
            }
            const row = getOrCreateRow(upstream, now);
            const demand = { concurrency: 1, memoryTokens };
            if (!fits(add(row.inUse, demand), usable(row, now))) {
                recordDemand(row, demand, now);
            }
        },
        release: (credit, observation, now) => {
            if (!creditsInUse.delete(credit.id)) {
                return;
            }
            const row = getOrCreateRow(credit.upstream, now);
            row.inUse = subtract(row.inUse, { concurrency: 1, memoryTokens: credit.memoryTokens });
            const outcome = outcomeOf(observation, options.firstTokenLimitMilliseconds);
            const { bootId } = observation;
            recordObservations(row, { outcome, count: 1, ...(bootId === undefined ? {} : { bootId }) }, now);
            if (row.contended) {
                markUrgent(row);
            }
            hasReleased ||= !isZero(row.unmetDemand);
        },
        recordBootId: (upstream, bootId, now) => {
            const row = rows.get(upstream);
            if (row !== undefined && bootId !== row.evidence.bootId) {
                recordObservations(row, { outcome: "fast", count: 0, bootId }, now);
            }
        },
        recall: (owner, upstream) => {
            const row = rows.get(upstream);
            if (row?.owner === owner) {
                row.allowance = ZERO;
                markUrgent(row);
            }
        },
        reportLoad: (upstream, held, measuredAt) => {
            const row = rows.get(upstream);
            if (row !== undefined && measuredAt >= (row.load?.measuredAt ?? -Infinity)) {
                row.load = { held, measuredAt };
            }
        },
        available: (upstream, now) => {
            const row = rows.get(upstream);
            if (row === undefined) {
                return 0;
            }
            const free = subtract(usable(row, now), row.inUse);
            return row.meanTokens === 0
                ? free.concurrency
                : Math.min(free.concurrency, Math.floor(free.memoryTokens / row.meanTokens));
        },
        isWarm: upstream => rows.get(upstream)?.warm ?? false,
        step: (events, now) => {
            const actions: HolderAction[] = [];
            reassignRows(now);
            let creditsMayBeAvailable = hasReleased;
            hasReleased = false;
            for (const event of events) {
                const link = findOpenLink(event);
                if (link === undefined) {
                    continue;
                }
                if (event.kind === "failed") {
                    endFailedCall(link, now);
                }
                else if (applyReply(link, event.reply, now, actions)) {
                    creditsMayBeAvailable = true;
                }
            }
            for (const link of links.values()) {
                if (link.openCall !== undefined && now - link.openCall.sentAt >= CALL_TIMEOUT_MILLISECONDS) {
                    endFailedCall(link, now);
                }
                if (link.openCall === undefined && (link.urgent || now >= link.dueAt)) {
                    const action = send(link, now);
                    if (action !== undefined) {
                        actions.push(action);
                    }
                }
            }
            if (creditsMayBeAvailable) {
                actions.push({ kind: "notify" });
            }
            return actions;
        },
        returnCredits: now => {
            const actions: HolderAction[] = [];
            isLeaving = true;
            for (const row of rows.values()) {
                row.unmetDemand = ZERO;
            }
            for (const link of [...links.values()]) {
                const action = send(link, now);
                if (action !== undefined) {
                    actions.push(action);
                }
            }
            return actions;
        },
        totals: now => {
            const totals = { allowed: 0, inUse: 0, waiting: 0 };
            for (const row of rows.values()) {
                totals.allowed += usable(row, now).concurrency;
                totals.inUse += row.inUse.concurrency;
                totals.waiting +=
                    now - row.unmetDemandAt <= DEMAND_LIFETIME_MILLISECONDS ? row.unmetDemand.concurrency : 0;
            }
            return totals;
        },
        dump: now =>
            [...rows.values()].map(row => ({
                upstream: row.upstream,
                owner: row.owner,
                allowance: usable(row, now),
                validMilliseconds: Math.max(0, Math.round(row.validUntil - now)),
                inUse: row.inUse,
                waiting: row.unmetDemand,
                contended: row.contended,
                warm: row.warm,
                bootId: row.evidence.bootId,
            })),
    };
}
