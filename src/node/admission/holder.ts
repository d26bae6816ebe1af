/**
 * The node's side of admission: the credits that it holds, uses and asks for.
 *
 * Requests take credits from the allowance of a runner. A step sends at most one message per owner: at once
 * when requests wait or a runner misbehaved, otherwise about once a second while credits are held.
 */
import type { Credit, UpstreamObservation } from "./admission.js";
import {
    CALL_TIMEOUT_MILLISECONDS,
    CLOCK_RATE_SHARE,
    CONFIRMATION_MILLISECONDS,
    DEMAND_MILLISECONDS,
    HEADROOM_SHARE,
    LATE_ANSWER_MILLISECONDS,
    LATE_OBSERVATION_MILLISECONDS,
    PENDING_OBSERVATIONS,
    USUAL_TOKENS_WEIGHT,
    WAITING_POLL_MILLISECONDS,
} from "./constants.js";
import { NO_EVIDENCE, appendRun, isWarm, observe, outcomeOf } from "./evidence.js";
import type { Evidence, ObservationRun } from "./evidence.js";
import type { NodeRequest, OwnerReply, ReportedLoad, RunnerRequest } from "./messages.js";
import { NOTHING, add, fits, isNothing, larger, smaller, subtract } from "./quantity.js";
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
    /** The owner's verdict about a runner changed. */
    | { readonly kind: "temperature"; readonly upstream: string; readonly isWarm: boolean };

/** Sums over the runners that a node uses, in requests. */
export interface HolderTotals {
    readonly allowed: number;
    readonly inUse: number;
    /** Failed attempts that still wait. */
    readonly waiting: number;
}

export interface HolderOptions {
    readonly self: { readonly id: string; readonly incarnation: number };
    readonly owner: (upstream: string) => string | undefined;
    /** Rises when owners may have changed. */
    readonly ownersVersion: () => number;
    readonly firstTokenLimitMilliseconds: number;
    readonly renewalMilliseconds: number;
}

/** A runner that this node uses. */
interface HeldRow {
    readonly upstream: string;
    owner: string | undefined;
    ownerSince: number;
    /** Credits that may be in use at a time, until `validUntil`. */
    allowance: Quantity;
    validUntil: number;
    inUse: Quantity;
    /** Largest use in the current and in the previous renewal period. */
    peak: Quantity;
    previousPeak: Quantity;
    /** Running mean of the tokens of a request. */
    usualTokens: number;
    /** Whether a credit was taken in the current and in the previous period. */
    wasTaken: boolean;
    wasTakenBefore: boolean;
    /** Demand of failed attempts: the largest pass of this and the previous period, less what was taken. */
    unmet: Quantity;
    unmetAt: number;
    periodUnmet: Quantity;
    periodStart: number;
    /** Failed attempts at the same time belong to one pass over the waiting requests. */
    passAt: number;
    passDemand: Quantity;
    contended: boolean;
    warm: boolean;
    evidence: Evidence;
    pending: readonly ObservationRun[];
    /** Until when good answers of a warm runner are kept back, because the owner needs few of them. */
    silentUntil: number;
    /** What the runner last reported to hold. */
    load: { readonly held: Quantity; readonly measuredAt: number } | undefined;
    wantsLoad: boolean;
    /** Whether the owner counts something for this node. */
    isCounted: boolean;
}

/** The connection to an owner. */
interface Link {
    readonly owner: string;
    /** Call that has no reply yet. */
    open:
        { readonly sequence: number; readonly sentAt: number; readonly rows: readonly SentRow[] } | undefined;
    /** Time of the next message; earlier when urgent. */
    dueAt: number;
    urgent: boolean;
}

interface SentRow {
    readonly row: HeldRow;
    readonly held: Quantity;
    readonly observations: readonly ObservationRun[];
}

export interface Holder {
    take(upstream: string, memoryTokens: number, now: number): Credit | undefined;
    /** Notes demand for a credit that nothing here waits for. */
    request(upstream: string, memoryTokens: number, now: number): void;
    /** Ends the use of a credit; a second call for the same credit changes nothing. */
    giveBack(credit: Credit, observation: UpstreamObservation, now: number): void;
    noteBootId(upstream: string, bootId: string, now: number): void;
    /** Stops the use of unused credits of a runner until its owner, the sender, has answered. */
    recall(owner: string, upstream: string): void;
    /** Takes a runner's report, which the owner may ask for. */
    reportLoad(upstream: string, held: Quantity, measuredAt: number): void;
    available(upstream: string, now: number): number;
    /** Whether the runner's owner called it warm in its last reply. */
    isWarm(upstream: string): boolean;
    step(events: readonly HolderEvent[], now: number): readonly HolderAction[];
    /** Messages that return every unused credit. From then on no credit is taken or asked for. */
    handBack(now: number): readonly HolderAction[];
    totals(now: number): HolderTotals;
    dump(now: number): readonly unknown[];
}

export function createHolder(options: HolderOptions): Holder {
    const rows = new Map<string, HeldRow>();
    const rowsByOwner = new Map<string, Set<HeldRow>>();
    const links = new Map<string, Link>();
    const openCredits = new Set<number>();
    let nextCreditId = 0;
    let sequence = 0;
    /** Whether this node returned its unused credits for good. */
    let isLeaving = false;
    /** Whether a credit was given back on which requests of this node may wait. */
    let hasFreed = false;
    let ownersVersion = options.ownersVersion();

    const linkTo = (owner: string): Link => {
        let link = links.get(owner);
        if (link === undefined) {
            link = { owner, open: undefined, dueAt: 0, urgent: false };
            links.set(owner, link);
        }
        return link;
    };

    const hurry = (row: HeldRow): void => {
        if (row.owner !== undefined) {
            linkTo(row.owner).urgent = true;
        }
    };

    /** Moves a row to its present owner, which learns what is held here and what was seen of the runner. */
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
        row.silentUntil = -Infinity;
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
        // Fewer answers are not repeated: an owner that already counted them would count them twice.
        if (isWarm(evidence, now) && now - evidence.seenAt <= LATE_OBSERVATION_MILLISECONDS) {
            const { bootId, fastAnswers: count } = evidence;
            row.pending = [{ outcome: "fast", count, ...(bootId === undefined ? {} : { bootId }) }];
        }
        hurry(row);
    };

    const rowOf = (upstream: string, now: number): HeldRow => {
        let row = rows.get(upstream);
        if (row === undefined) {
            row = {
                upstream,
                owner: undefined,
                ownerSince: now,
                allowance: NOTHING,
                validUntil: -Infinity,
                inUse: NOTHING,
                peak: NOTHING,
                previousPeak: NOTHING,
                usualTokens: 0,
                wasTaken: false,
                wasTakenBefore: false,
                unmet: NOTHING,
                unmetAt: -Infinity,
                periodUnmet: NOTHING,
                periodStart: now,
                passAt: -Infinity,
                passDemand: NOTHING,
                contended: false,
                warm: false,
                evidence: NO_EVIDENCE,
                pending: [],
                silentUntil: -Infinity,
                load: undefined,
                wantsLoad: false,
                isCounted: false,
            };
            rows.set(upstream, row);
            assignOwner(row, now);
        }
        return row;
    };

    const usable = (row: HeldRow, now: number): Quantity => (now < row.validUntil ? row.allowance : NOTHING);

    /** Whether the allowance does not cover the use and the demand of failed attempts. */
    const isShort = (row: HeldRow, now: number): boolean =>
        !fits(add(row.inUse, row.unmet), usable(row, now));

    const noteDemand = (row: HeldRow, demand: Quantity, now: number): void => {
        row.passDemand = row.passAt === now ? add(row.passDemand, demand) : demand;
        row.passAt = now;
        const before = row.unmet;
        row.periodUnmet = larger(row.periodUnmet, row.passDemand);
        row.unmet = larger(row.unmet, row.passDemand);
        row.unmetAt = now;
        // A demand that the owner was told of waits for the poll; a larger one is told at once.
        if (!fits(row.unmet, before)) {
            hurry(row);
        }
    };

    /** Begins the next period when the present one is over, and forgets demand that ended. */
    const endPeriod = (row: HeldRow, now: number): void => {
        if (now - row.unmetAt > DEMAND_MILLISECONDS) {
            row.unmet = NOTHING;
            row.periodUnmet = NOTHING;
        }
        if (now - row.periodStart < options.renewalMilliseconds) {
            return;
        }
        row.periodStart = now;
        row.previousPeak = row.peak;
        row.peak = row.inUse;
        row.wasTakenBefore = row.wasTaken;
        row.wasTaken = false;
        if (!isNothing(row.periodUnmet)) {
            row.unmet = row.periodUnmet;
            row.periodUnmet = NOTHING;
        }
    };

    const wanted = (row: HeldRow, now: number): Quantity => {
        endPeriod(row, now);
        if (isLeaving) {
            return row.inUse;
        }
        const need = add(row.inUse, row.unmet);
        if (row.contended) {
            return need;
        }
        const peak = larger(row.peak, row.previousPeak);
        const isActive = row.wasTaken || row.wasTakenBefore || !isNothing(row.unmet);
        const headroom = isActive ? Math.ceil(peak.concurrency * HEADROOM_SHARE) : 0;
        return larger(need, {
            concurrency: peak.concurrency + headroom,
            memoryTokens: peak.memoryTokens + headroom * row.usualTokens,
        });
    };

    const ageOf = (load: NonNullable<HeldRow["load"]>, now: number): ReportedLoad => {
        return { held: load.held, ageMilliseconds: Math.max(0, now - load.measuredAt) };
    };

    /** Describes a row to its owner. Credits beyond what is wanted are returned by this. */
    const describe = (row: HeldRow, now: number): RunnerRequest => {
        const want = wanted(row, now);
        row.allowance = smaller(usable(row, now), want);
        const held = larger(row.inUse, row.allowance);
        const isLate = now - row.evidence.seenAt > LATE_ANSWER_MILLISECONDS;
        const pending = isLate ? row.pending.filter(run => run.outcome !== "fast") : row.pending;
        const observations = now < row.silentUntil ? [] : pending;
        row.pending = now < row.silentUntil ? pending : [];
        if (row.warm && observations.length > 0) {
            row.silentUntil = now + CONFIRMATION_MILLISECONDS;
        }
        const isWaiting = !isNothing(row.unmet) && isShort(row, now);
        const request = { upstream: row.upstream, held, wanted: want, isWaiting, observations };
        return row.wantsLoad && row.load !== undefined ? { ...request, load: ageOf(row.load, now) } : request;
    };

    const noteRun = (row: HeldRow, run: ObservationRun, now: number): void => {
        const { bootId } = row.evidence;
        const hasRestarted = bootId !== undefined && run.bootId !== undefined && bootId !== run.bootId;
        row.pending = appendRun(row.pending, run, PENDING_OBSERVATIONS);
        row.evidence = observe(row.evidence, run, now);
        if (run.outcome !== "fast" || hasRestarted || !row.warm) {
            row.silentUntil = -Infinity;
        }
        if (run.outcome === "silent" || hasRestarted) {
            // The runner may be cold now, so nothing is started before the owner has answered.
            row.allowance = NOTHING;
            hurry(row);
        }
    };

    const isIdle = (row: HeldRow, now: number): boolean =>
        !row.isCounted &&
        isNothing(row.inUse) &&
        (row.pending.length === 0 || now < row.silentUntil) &&
        (isNothing(row.unmet) || now - row.unmetAt > DEMAND_MILLISECONDS);

    const forget = (row: HeldRow): void => {
        rows.delete(row.upstream);
        if (row.owner !== undefined) {
            rowsByOwner.get(row.owner)?.delete(row);
        }
    };

    const send = (link: Link, now: number): HolderAction | undefined => {
        const sent: SentRow[] = [];
        const runners: RunnerRequest[] = [];
        for (const row of rowsByOwner.get(link.owner) ?? []) {
            if (isIdle(row, now)) {
                if (now - row.evidence.seenAt > LATE_OBSERVATION_MILLISECONDS) {
                    forget(row);
                }
                continue;
            }
            const request = describe(row, now);
            runners.push(request);
            sent.push({ row, held: request.held, observations: request.observations });
            row.isCounted = true;
        }
        link.urgent = false;
        link.dueAt = now + options.renewalMilliseconds;
        if (runners.length === 0) {
            if ((rowsByOwner.get(link.owner)?.size ?? 0) === 0) {
                links.delete(link.owner);
                rowsByOwner.delete(link.owner);
            }
            return undefined;
        }
        sequence += 1;
        link.open = { sequence, sentAt: now, rows: sent };
        const request = { node: options.self.id, incarnation: options.self.incarnation, sequence, runners };
        return { kind: "send", owner: link.owner, request };
    };

    /** Ends the open call. Signs of trouble are sent again; good answers are only evidence and are dropped. */
    const giveUp = (link: Link, now: number): void => {
        for (const { row, observations } of link.open?.rows ?? []) {
            const trouble = observations.filter(run => run.outcome !== "fast");
            row.pending = [...trouble, ...row.pending].slice(-PENDING_OBSERVATIONS);
        }
        link.open = undefined;
        link.dueAt = Math.min(link.dueAt, now + WAITING_POLL_MILLISECONDS);
    };

    const openLink = (event: HolderEvent): Link | undefined => {
        const link = links.get(event.owner);
        return link?.open?.sequence === event.sequence ? link : undefined;
    };

    /** Applies a reply; returns whether credits may have become available. */
    const applyReply = (link: Link, reply: OwnerReply, now: number, actions: HolderAction[]): boolean => {
        const { sentAt, rows: sent } = link.open!;
        link.open = undefined;
        let mayTake = false;
        const grants = new Map(reply.grants.map(grant => [grant.upstream, grant]));
        const refused = new Set(reply.refused);
        for (const { row, held } of sent) {
            const usual = { granted: held, contended: false, warm: true, wantsLoad: false };
            const grant = grants.get(row.upstream) ?? usual;
            const hasMoved = row.owner !== link.owner || row.ownerSince > sentAt;
            const isWaiting = !isNothing(row.unmet);
            if (!refused.has(row.upstream) && !hasMoved) {
                row.allowance = grant.granted;
                row.validUntil = sentAt + reply.validMilliseconds * (1 - CLOCK_RATE_SHARE);
                row.contended = grant.contended;
                row.wantsLoad = grant.wantsLoad;
                if (row.warm !== grant.warm) {
                    row.warm = grant.warm;
                    actions.push({ kind: "temperature", upstream: row.upstream, isWarm: grant.warm });
                }
                // The owner goes on counting what was held until it is told otherwise.
                row.isCounted = !isNothing(larger(larger(grant.granted, row.inUse), held));
            }
            if (isWaiting) {
                mayTake ||= !fits(usable(row, now), row.inUse);
            }
            if (isWaiting && isShort(row, now)) {
                link.dueAt = Math.min(link.dueAt, now + WAITING_POLL_MILLISECONDS);
            }
        }
        return mayTake;
    };

    const moveRows = (now: number): void => {
        if (ownersVersion === options.ownersVersion()) {
            return;
        }
        ownersVersion = options.ownersVersion();
        for (const row of [...rows.values()]) {
            assignOwner(row, now);
            if (row.owner === undefined && isNothing(row.inUse)) {
                forget(row);
            }
        }
    };

    return {
        take: (upstream, memoryTokens, now) => {
            if (isLeaving) {
                return undefined;
            }
            const row = rowOf(upstream, now);
            const demand = { concurrency: 1, memoryTokens };
            const use = add(row.inUse, demand);
            if (!fits(use, usable(row, now))) {
                noteDemand(row, demand, now);
                return undefined;
            }
            row.inUse = use;
            row.peak = larger(row.peak, use);
            row.wasTaken = true;
            row.usualTokens = Math.ceil(
                row.usualTokens === 0
                    ? memoryTokens
                    : row.usualTokens + (memoryTokens - row.usualTokens) * USUAL_TOKENS_WEIGHT,
            );
            row.unmet = subtract(row.unmet, demand);
            nextCreditId += 1;
            openCredits.add(nextCreditId);
            return { upstream, memoryTokens, id: nextCreditId };
        },
        request: (upstream, memoryTokens, now) => {
            if (isLeaving) {
                return;
            }
            const row = rowOf(upstream, now);
            const demand = { concurrency: 1, memoryTokens };
            if (!fits(add(row.inUse, demand), usable(row, now))) {
                noteDemand(row, demand, now);
            }
        },
        giveBack: (credit, observation, now) => {
            if (!openCredits.delete(credit.id)) {
                return;
            }
            const row = rowOf(credit.upstream, now);
            row.inUse = subtract(row.inUse, { concurrency: 1, memoryTokens: credit.memoryTokens });
            const outcome = outcomeOf(observation, options.firstTokenLimitMilliseconds);
            const { bootId } = observation;
            noteRun(row, { outcome, count: 1, ...(bootId === undefined ? {} : { bootId }) }, now);
            if (row.contended) {
                hurry(row);
            }
            hasFreed ||= !isNothing(row.unmet);
        },
        noteBootId: (upstream, bootId, now) => {
            const row = rows.get(upstream);
            if (row !== undefined && bootId !== row.evidence.bootId) {
                noteRun(row, { outcome: "fast", count: 0, bootId }, now);
            }
        },
        recall: (owner, upstream) => {
            const row = rows.get(upstream);
            if (row?.owner === owner) {
                row.allowance = NOTHING;
                hurry(row);
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
            return row.usualTokens === 0
                ? free.concurrency
                : Math.min(free.concurrency, Math.floor(free.memoryTokens / row.usualTokens));
        },
        isWarm: upstream => rows.get(upstream)?.warm ?? false,
        step: (events, now) => {
            const actions: HolderAction[] = [];
            moveRows(now);
            let mayTake = hasFreed;
            hasFreed = false;
            for (const event of events) {
                const link = openLink(event);
                if (link === undefined) {
                    continue;
                }
                if (event.kind === "failed") {
                    giveUp(link, now);
                }
                else if (applyReply(link, event.reply, now, actions)) {
                    mayTake = true;
                }
            }
            for (const link of links.values()) {
                if (link.open !== undefined && now - link.open.sentAt >= CALL_TIMEOUT_MILLISECONDS) {
                    giveUp(link, now);
                }
                if (link.open === undefined && (link.urgent || now >= link.dueAt)) {
                    const action = send(link, now);
                    if (action !== undefined) {
                        actions.push(action);
                    }
                }
            }
            if (mayTake) {
                actions.push({ kind: "notify" });
            }
            return actions;
        },
        handBack: now => {
            const actions: HolderAction[] = [];
            isLeaving = true;
            for (const row of rows.values()) {
                row.unmet = NOTHING;
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
                totals.waiting += now - row.unmetAt <= DEMAND_MILLISECONDS ? row.unmet.concurrency : 0;
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
                waiting: row.unmet,
                contended: row.contended,
                warm: row.warm,
                bootId: row.evidence.bootId,
            })),
    };
}
