/**
 * The owner's side of admission: how much of each runner's budget each node may use.
 *
 * For each node the owner counts the larger of what the node said it holds and what the owner granted since.
 * The node's real holding is never above that count:
 *
 * - A node has one open call per owner. It ignores replies that come after it gave the call up, and the owner
 *   refuses requests that arrive out of order. So a holding grows only by the reply to the latest request.
 * - The node measures a grant from before it sent the request, the owner from when it handled it, so the node
 *   stops starting requests first.
 * - A node that leaves returns its credits and takes none any more before it announces that it has left.
 * - A node that falls silent may have started requests until its grant ended, and they may still run. So its
 *   count stays until it speaks again, leaves, is seen restarted, or `silentNodeMilliseconds` have passed. What
 *   the runner itself reports to hold after the grant's end is an upper limit for it.
 * - An owner that starts, takes over a runner, hears a majority again or was paused forgets its counts and
 *   waits for the longest grant plus the time in which all nodes see the same members. Meanwhile it only
 *   extends, and counts, what nodes hold already.
 * - An owner that hears a majority again, or was paused, may have been replaced. It extends nothing until all
 *   nodes see the same members, because the other owner waits only for grants from before it took over.
 *
 * The sum over nodes therefore stays within the budget provided that
 *
 * - clocks run at rates that differ by less than `CLOCK_RATE_SHARE`;
 * - nodes that hear a majority see the same members within `viewLagMilliseconds`;
 * - a node with running requests reaches a new owner within its waiting time;
 * - a request is sent in the turn in which its credit was taken;
 * - a request that outlives its node's contact to the owner ends within `silentNodeMilliseconds`; and
 * - the data centre of a runner in the configuration does not change while the runner is in use.
 *
 * When a runner turns cold, or its budget is cut, running requests are not interrupted: the sum may be above the
 * new budget and then only falls.
 */
import { EVIDENCE_MILLISECONDS, LATE_MESSAGE_MILLISECONDS } from "./constants.js";
import { NO_EVIDENCE, isWarm, observe } from "./evidence.js";
import type { Evidence } from "./evidence.js";
import { isUsual } from "./messages.js";
import type { NodeRequest, OwnerReply, RunnerGrant, RunnerRequest } from "./messages.js";
import type { Invariants } from "../invariants/invariants.js";
import { NOTHING, add, fits, isNothing, larger, smaller, subtract } from "./quantity.js";
import type { Quantity } from "./quantity.js";
import { fairShare } from "./sharing.js";

export interface Budgets {
    readonly warm: Quantity;
    readonly cold: Quantity;
}

export interface OwnerOptions {
    /** Budgets of a runner; `undefined` when no new work may be sent to it. */
    readonly budgets: (upstream: string) => Budgets | undefined;
    /** Since when this node has owned the runner; `undefined` when it does not. */
    readonly ownedSince: (upstream: string) => number | undefined;
    /** Whether this node hears a majority of the roster. */
    readonly hearsMajority: (now: number) => boolean;
    /** Whether a node's process has certainly ended, so that runners drop its requests. */
    readonly hasEnded: (node: string) => boolean;
    readonly invariants: Invariants;
    readonly grantMilliseconds: number;
    readonly viewLagMilliseconds: number;
    readonly silentNodeMilliseconds: number;
    readonly pauseMilliseconds: number;
    /** Monotonic time of the start. */
    readonly startedAt: number;
    /** An owned runner turned warm or cold. */
    readonly onTemperature?: (upstream: string, isWarm: boolean, bootId: string | undefined) => void;
    /** A runner turned cold: the node is to ask again before it starts a request there. */
    readonly recall?: (node: string, upstream: string) => void;
}

/** What the owner counts for one node. */
interface NodeRow {
    readonly incarnation: number;
    readonly counted: Quantity;
    readonly wanted: Quantity;
    readonly isWaiting: boolean;
    /** End of the last grant; from then on the node counts as silent. */
    readonly expiresAt: number;
    /** When the node last got a credit that equal shares leave over. */
    readonly servedAt: number;
}

/** A runner that this node owns. */
interface RunnerRow {
    /** Start of the ownership for which the counts hold. */
    readonly ownedSince: number;
    /** When this node last saw that it owns the runner. */
    checkedAt: number;
    readonly nodes: Map<string, NodeRow>;
    evidence: Evidence;
}

interface Sender {
    readonly incarnation: number;
    readonly sequence: number;
}

/** State of an owned runner, for the state dump. */
export interface OwnedRunner {
    readonly upstream: string;
    readonly warm: boolean;
    readonly bootId: string | undefined;
    readonly budget: Quantity;
    readonly counted: Quantity;
    /** Part of `counted` that belongs to nodes that fell silent. */
    readonly silent: Quantity;
    /** Milliseconds until more than what nodes hold is granted; 0 when that is the case. */
    readonly waitingMilliseconds: number;
    readonly askingNodes: number;
}

export interface Owner {
    /** Notes that time passes, so that a pause is noticed. */
    advance(now: number): void;
    /** Handles a node's message. @throws StaleRequestError */
    handle(request: NodeRequest, now: number): OwnerReply;
    /**
     * Takes a runner's own report. A silent node's grant that ended before the measurement cannot be in use
     * beyond what the runner then held.
     */
    reportLoad(upstream: string, held: Quantity, measuredAt: number): void;
    isWarm(upstream: string, now: number): boolean;
    dump(now: number): readonly OwnedRunner[];
}

/** A newer message of the same sender was handled before. */
export class StaleRequestError extends Error {
    constructor(node: string, sequence: number) {
        super(`message ${sequence} of node "${node}" arrived after a newer one`);
        this.name = "StaleRequestError";
    }
}

/** Milliseconds between removals of rows that are no longer needed. */
const CLEANING_MILLISECONDS = 10_000;

export function createOwner(options: OwnerOptions): Owner {
    const runners = new Map<string, RunnerRow>();
    const senders = new Map<string, Sender>();
    const waitMilliseconds = options.grantMilliseconds + options.viewLagMilliseconds;
    let lastStepAt = options.startedAt;
    let cleanedAt = options.startedAt;
    /** Since when this node has run without a pause and has heard a majority. */
    let steadySince = options.startedAt;
    /** Until when another owner may go by a view in which this node is not the owner. */
    let replacedUntil = -Infinity;

    const budgetInForce = (upstream: string, row: RunnerRow, now: number): Quantity => {
        const budgets = options.budgets(upstream);
        if (budgets === undefined) {
            return NOTHING;
        }
        return isWarm(row.evidence, now) ? budgets.warm : budgets.cold;
    };

    const total = (row: RunnerRow): Quantity => {
        let sum = NOTHING;
        for (const node of row.nodes.values()) {
            sum = add(sum, node.counted);
        }
        return sum;
    };

    /** Returns the runner's row, started over when this node's ownership was interrupted. */
    const ownedRow = (upstream: string, now: number): RunnerRow | undefined => {
        const owned = options.ownedSince(upstream);
        if (owned === undefined) {
            runners.delete(upstream);
            return undefined;
        }
        const ownedSince = Math.max(owned, steadySince);
        let row = runners.get(upstream);
        if (row === undefined || ownedSince > row.checkedAt) {
            row = {
                ownedSince,
                checkedAt: now,
                nodes: new Map(),
                evidence: NO_EVIDENCE,
            };
            runners.set(upstream, row);
        }
        row.checkedAt = now;
        return row;
    };

    const removeEnded = (row: RunnerRow, now: number): void => {
        for (const [name, node] of row.nodes) {
            const isSilent = now >= node.expiresAt;
            if (isSilent && isNothing(node.counted)) {
                row.nodes.delete(name);
            }
            else if (isSilent && now >= node.expiresAt + options.silentNodeMilliseconds) {
                row.nodes.delete(name);
            }
            else if (options.hasEnded(name) || (senders.get(name)?.incarnation ?? 0) > node.incarnation) {
                row.nodes.delete(name);
            }
        }
    };

    /** Whole credits that the budget holds at the average size of the wanted ones. */
    const budgetInCredits = (budget: Quantity, wanted: Quantity): number => {
        if (wanted.memoryTokens === 0 || wanted.concurrency === 0) {
            return budget.concurrency;
        }
        const tokensPerCredit = wanted.memoryTokens / wanted.concurrency;
        return Math.min(budget.concurrency, Math.max(1, Math.floor(budget.memoryTokens / tokensPerCredit)));
    };

    /** Cuts the tokens to the number of credits, and the credits to the room in tokens. */
    const shareOf = (wanted: Quantity, credits: number, room: Quantity): Quantity => {
        const concurrency = Math.min(wanted.concurrency, credits, room.concurrency);
        if (concurrency <= 0) {
            return NOTHING;
        }
        const tokensPerCredit = wanted.memoryTokens / wanted.concurrency;
        const memoryTokens = Math.min(Math.ceil(tokensPerCredit * concurrency), room.memoryTokens);
        const affordable = tokensPerCredit === 0 ? concurrency : Math.floor(memoryTokens / tokensPerCredit);
        return affordable >= 1 ? { concurrency: Math.min(concurrency, affordable), memoryTokens } : NOTHING;
    };

    const assertBudget = (upstream: string, row: RunnerRow, before: Quantity, budget: Quantity): void => {
        const after = total(row);
        options.invariants.assert(
            "upstream-budget",
            fits(after, larger(budget, before)),
            () =>
                `upstream ${upstream} has ${after.concurrency} credits and ${after.memoryTokens} tokens granted, ` +
                `budget ${budget.concurrency} and ${budget.memoryTokens}`,
        );
    };

    /** Shortens the time in which nodes use grants from before the runner turned cold. */
    const recallFromOthers = (upstream: string, row: RunnerRow, asker: string, now: number): void => {
        for (const [name, node] of row.nodes) {
            if (name !== asker && now < node.expiresAt && node.counted.concurrency > 0) {
                options.recall?.(name, upstream);
            }
        }
    };

    const hasSilent = (row: RunnerRow, now: number): boolean => {
        for (const node of row.nodes.values()) {
            if (now >= node.expiresAt && !isNothing(node.counted)) {
                return true;
            }
        }
        return false;
    };

    /** Cuts the counts of nodes whose grants ended before the measurement to what the runner then held. */
    const applyLoad = (row: RunnerRow, held: Quantity, measuredAt: number): void => {
        for (const [name, node] of row.nodes) {
            if (node.expiresAt <= measuredAt) {
                row.nodes.set(name, { ...node, counted: smaller(node.counted, held) });
            }
        }
    };

    /** Whether requests of another node wait for more than the node was granted. */
    const isContended = (row: RunnerRow, asker: string, now: number): boolean => {
        for (const [name, node] of row.nodes) {
            const isShort = node.isWaiting && now < node.expiresAt && !fits(node.wanted, node.counted);
            if (isShort && name !== asker) {
                return true;
            }
        }
        return false;
    };

    const handleRunner = (
        sender: NodeRequest,
        request: RunnerRequest,
        now: number,
    ): RunnerGrant | undefined => {
        const { upstream, held, wanted, isWaiting: hasWaiting } = request;
        const row = ownedRow(upstream, now);
        if (row === undefined) {
            return undefined;
        }
        const wasWarm = isWarm(row.evidence, now);
        for (const run of request.observations) {
            // While nothing is extended nothing new runs, so good answers are from before the interruption.
            if (run.outcome !== "fast" || now >= replacedUntil) {
                row.evidence = observe(row.evidence, run, now);
            }
        }
        if (isWarm(row.evidence, now) !== wasWarm) {
            options.onTemperature?.(upstream, !wasWarm, row.evidence.bootId);
            if (wasWarm) {
                recallFromOthers(upstream, row, sender.node, now);
            }
        }
        if (request.load !== undefined) {
            applyLoad(row, request.load.held, now - request.load.ageMilliseconds - LATE_MESSAGE_MILLISECONDS);
        }
        removeEnded(row, now);
        const isWaiting = now < row.ownedSince + waitMilliseconds;
        const budget = budgetInForce(upstream, row, now);
        const before = total(row);
        const previous = row.nodes.get(sender.node);
        row.nodes.set(sender.node, {
            incarnation: sender.incarnation,
            counted: held,
            wanted,
            isWaiting: hasWaiting,
            expiresAt: now + options.grantMilliseconds,
            servedAt: previous?.servedAt ?? -Infinity,
        });
        const demands = [...row.nodes]
            .filter(([, node]) => now < node.expiresAt && node.wanted.concurrency > 0)
            .map(([node, { wanted: amount, servedAt }]) => ({ node, wanted: amount.concurrency, servedAt }));
        let demand = NOTHING;
        for (const node of row.nodes.values()) {
            demand = now < node.expiresAt ? add(demand, node.wanted) : demand;
        }
        const room = subtract(budget, subtract(total(row), held));
        const { credits, hasLeftOver } = fairShare(sender.node, demands, budgetInCredits(budget, demand));
        const share = shareOf(wanted, credits, room);
        const extended = now < replacedUntil ? NOTHING : smaller(share, held);
        const granted = isWaiting ? extended : share;
        row.nodes.set(sender.node, {
            ...row.nodes.get(sender.node)!,
            counted: larger(held, granted),
            ...(hasLeftOver && granted.concurrency >= credits ? { servedAt: now } : {}),
        });
        // While the owner waits, it learns of holdings that the former owner granted.
        assertBudget(upstream, row, isWaiting ? total(row) : before, budget);
        if (isNothing(held) && isNothing(wanted)) {
            row.nodes.delete(sender.node);
        }
        return {
            upstream,
            granted,
            contended: isContended(row, sender.node, now),
            warm: isWarm(row.evidence, now),
            wantsLoad: hasSilent(row, now),
        };
    };

    const advance = (now: number): void => {
        if (now - lastStepAt > options.pauseMilliseconds || !options.hearsMajority(now)) {
            steadySince = now;
            replacedUntil = now + options.viewLagMilliseconds;
        }
        lastStepAt = now;
        if (now - cleanedAt > CLEANING_MILLISECONDS) {
            cleanedAt = now;
            for (const [upstream, row] of runners) {
                removeEnded(row, now);
                const isUnused = row.nodes.size === 0 && now - row.evidence.seenAt > EVIDENCE_MILLISECONDS;
                if (isUnused || options.ownedSince(upstream) === undefined) {
                    runners.delete(upstream);
                }
            }
        }
    };

    return {
        advance,
        handle: (request, now) => {
            advance(now);
            const last = senders.get(request.node);
            if (
                last !== undefined &&
                (request.incarnation < last.incarnation ||
                    (request.incarnation === last.incarnation && request.sequence <= last.sequence))
            ) {
                throw new StaleRequestError(request.node, request.sequence);
            }
            senders.set(request.node, { incarnation: request.incarnation, sequence: request.sequence });
            const mayGrant = options.hearsMajority(now);
            const grants: RunnerGrant[] = [];
            const refused: string[] = [];
            for (const runner of request.runners) {
                const grant = mayGrant ? handleRunner(request, runner, now) : undefined;
                if (grant === undefined) {
                    refused.push(runner.upstream);
                }
                else if (!isUsual(grant, runner.held)) {
                    grants.push(grant);
                }
            }
            return { validMilliseconds: options.grantMilliseconds, grants, refused };
        },
        reportLoad: (upstream, held, measuredAt) => {
            const row = runners.get(upstream);
            if (row !== undefined) {
                applyLoad(row, held, measuredAt);
            }
        },
        isWarm: (upstream, now) => {
            const row = runners.get(upstream);
            return row !== undefined && isWarm(row.evidence, now);
        },
        dump: now =>
            [...runners].map(([upstream, row]) => {
                const nodes = [...row.nodes.values()];
                return {
                    upstream,
                    warm: isWarm(row.evidence, now),
                    bootId: row.evidence.bootId,
                    budget: budgetInForce(upstream, row, now),
                    counted: total(row),
                    silent: nodes
                        .filter(node => now >= node.expiresAt)
                        .reduce((sum, node) => add(sum, node.counted), NOTHING),
                    waitingMilliseconds: Math.max(0, row.ownedSince + waitMilliseconds - now),
                    askingNodes: nodes.filter(node => node.wanted.concurrency > 0).length,
                };
            }),
    };
}
