/**
 * The owner's side of admission: divides the budget of each owned upstream among the nodes.
 *
 * For each node the owner counts the maximum of what the node reported to hold and what the owner granted
 * since. A node never holds more than this count:
 *
 * - A node has at most one open call per owner. It ignores replies that arrive after the call timed out, and
 *   the owner rejects requests that arrive out of order. So only the reply to the latest request can add
 *   credits.
 * - The node counts the validity of a grant from before it sent the request, the owner from when it handled
 *   the request. So the node stops using the grant before the owner considers it expired.
 * - A node that leaves returns its credits and stops taking new ones before it announces that it has left.
 * - A node is silent when its grant has expired without renewal. It may have started requests until then, and
 *   they may still run. So its count stays until the node renews, leaves, is observed to have restarted, or
 *   `silentNodeMilliseconds` have passed. Load that the upstream measures after the expiry is an upper limit
 *   for the count.
 * - An owner that starts, takes over an upstream, regains contact with a majority or was paused discards its
 *   counts. It waits for the longest grant plus the time within which all nodes have the same view of the
 *   members. Meanwhile it only extends, and counts, credits that nodes already hold.
 * - An owner that regains contact with a majority, or was paused, may have been replaced. It extends nothing
 *   until all nodes have the same view, because the other owner waits only for grants made before it took
 *   over.
 *
 * So the sum over all nodes stays within the budget, provided that
 *
 * - clock rates differ by less than `CLOCK_RATE_MARGIN`;
 * - nodes in contact with a majority have the same view of the members within `viewLagMilliseconds`;
 * - a node with running requests reaches a new owner before that owner's wait ends;
 * - a request is sent in the same turn of the event loop in which its credit was taken;
 * - a request ends within `silentNodeMilliseconds` after its node lost contact with the owner; and
 * - the configured data centre of an upstream does not change while the upstream is in use.
 *
 * When an upstream turns cold or its budget is reduced, running requests are not cancelled: the sum may
 * exceed the new budget and then only decreases.
 */
import { EVIDENCE_MILLISECONDS, MAXIMUM_MESSAGE_DELAY_MILLISECONDS } from "./constants.js";
import { NO_EVIDENCE, isWarm, observe } from "./evidence.js";
import type { Evidence } from "./evidence.js";
import { isDefaultGrant } from "./messages.js";
import type { NodeRequest, OwnerReply, UpstreamDemand, UpstreamGrant } from "./messages.js";
import type { Invariants } from "../invariants/invariants.js";
import { ZERO, add, fits, isZero, maximum, minimum, subtract } from "./quantity.js";
import type { Quantity } from "./quantity.js";
import { fairShare } from "./sharing.js";

export interface Budgets {
    readonly warm: Quantity;
    readonly cold: Quantity;
}

export interface OwnerOptions {
    /** `undefined` if no new work may be sent to the upstream. */
    readonly budgets: (upstream: string) => Budgets | undefined;
    /** Start of this node's uninterrupted ownership; `undefined` if it does not own the upstream. */
    readonly ownedSince: (upstream: string) => number | undefined;
    /** Whether this node is in contact with a majority of the roster. */
    readonly hasMajority: (now: number) => boolean;
    /** Whether a node's process has certainly ended, so that upstreams cancel its requests. */
    readonly hasEnded: (node: string) => boolean;
    readonly invariants: Invariants;
    readonly grantMilliseconds: number;
    readonly viewLagMilliseconds: number;
    readonly silentNodeMilliseconds: number;
    readonly pauseMilliseconds: number;
    /** Monotonic milliseconds. */
    readonly startedAt: number;
    /** Called when an owned upstream turns warm or cold. */
    readonly onTemperature?: (upstream: string, isWarm: boolean, bootId: string | undefined) => void;
    /**
     * Called when an upstream turned cold: the node must renew its grant before it starts a request there.
     */
    readonly recall?: (node: string, upstream: string) => void;
}

/** Credits of one node. */
interface NodeRow {
    readonly incarnation: number;
    readonly counted: Quantity;
    readonly wanted: Quantity;
    readonly isWaiting: boolean;
    /** End of the last grant; from then on the node is silent. */
    readonly expiresAt: number;
    /** When the node last got a credit from the remainder of the equal division. */
    readonly remainderGrantedAt: number;
}

interface OwnedRow {
    /** Start of the uninterrupted ownership to which the counts belong. */
    readonly ownedSince: number;
    /** When the ownership was last confirmed. */
    checkedAt: number;
    readonly nodes: Map<string, NodeRow>;
    evidence: Evidence;
}

interface LastMessage {
    readonly incarnation: number;
    readonly sequence: number;
}

/** State of an owned upstream, for the state dump. */
export interface OwnedUpstream {
    readonly upstream: string;
    readonly warm: boolean;
    readonly bootId: string | undefined;
    readonly budget: Quantity;
    readonly counted: Quantity;
    /** Share of `counted` that belongs to silent nodes. */
    readonly silent: Quantity;
    /**
     * Remaining wait after a takeover, in which the owner only extends what nodes hold; 0 if the wait is
     * over.
     */
    readonly waitingMilliseconds: number;
    readonly askingNodes: number;
}

export interface Owner {
    /** Updates the time of the last step, to detect a pause of the process. */
    advance(now: number): void;
    /** Handles a node's message. @throws StaleRequestError */
    handle(request: NodeRequest, now: number): OwnerReply;
    /**
     * Records the load that an upstream reports. A silent node whose grant ended before the measurement
     * cannot use more than the load measured.
     */
    reportLoad(upstream: string, held: Quantity, measuredAt: number): void;
    isWarm(upstream: string, now: number): boolean;
    dump(now: number): readonly OwnedUpstream[];
}

/** A newer message of the same sender was already handled. */
export class StaleRequestError extends Error {
    constructor(node: string, sequence: number) {
        super(`message ${sequence} of node "${node}" arrived after a newer one`);
        this.name = "StaleRequestError";
    }
}

const CLEANUP_INTERVAL_MILLISECONDS = 10_000;

export function createOwner(options: OwnerOptions): Owner {
    const rows = new Map<string, OwnedRow>();
    const lastMessages = new Map<string, LastMessage>();
    const takeoverWaitMilliseconds = options.grantMilliseconds + options.viewLagMilliseconds;
    let lastStepAt = options.startedAt;
    let lastCleanupAt = options.startedAt;
    /** Since when this node has run without a pause and in contact with a majority. */
    let uninterruptedSince = options.startedAt;
    /** Until then another node may be the owner in its own view of the members. */
    let possiblyReplacedUntil = -Infinity;

    const currentBudget = (upstream: string, row: OwnedRow, now: number): Quantity => {
        const budgets = options.budgets(upstream);
        if (budgets === undefined) {
            return ZERO;
        }
        return isWarm(row.evidence, now) ? budgets.warm : budgets.cold;
    };

    const totalCounted = (row: OwnedRow): Quantity => {
        let sum = ZERO;
        for (const node of row.nodes.values()) {
            sum = add(sum, node.counted);
        }
        return sum;
    };

    /** Row of an owned upstream. Discards counts and evidence if the ownership was interrupted. */
    const ownedRow = (upstream: string, now: number): OwnedRow | undefined => {
        const owned = options.ownedSince(upstream);
        if (owned === undefined) {
            rows.delete(upstream);
            return undefined;
        }
        const ownedSince = Math.max(owned, uninterruptedSince);
        let row = rows.get(upstream);
        if (row === undefined || ownedSince > row.checkedAt) {
            row = {
                ownedSince,
                checkedAt: now,
                nodes: new Map(),
                evidence: NO_EVIDENCE,
            };
            rows.set(upstream, row);
        }
        row.checkedAt = now;
        return row;
    };

    const removeEndedNodes = (row: OwnedRow, now: number): void => {
        for (const [name, node] of row.nodes) {
            const isSilent = now >= node.expiresAt;
            if (isSilent && isZero(node.counted)) {
                row.nodes.delete(name);
            }
            else if (isSilent && now >= node.expiresAt + options.silentNodeMilliseconds) {
                row.nodes.delete(name);
            }
            else if (
                options.hasEnded(name) ||
                (lastMessages.get(name)?.incarnation ?? 0) > node.incarnation
            ) {
                row.nodes.delete(name);
            }
        }
    };

    /** Number of whole credits in the budget, at the mean memory size of the wanted credits. */
    const budgetInCredits = (budget: Quantity, wanted: Quantity): number => {
        if (wanted.memoryTokens === 0 || wanted.concurrency === 0) {
            return budget.concurrency;
        }
        const tokensPerCredit = wanted.memoryTokens / wanted.concurrency;
        return Math.min(budget.concurrency, Math.max(1, Math.floor(budget.memoryTokens / tokensPerCredit)));
    };

    /**
     * Limits a node's demand to its number of credits and to the remaining budget, in requests and in tokens.
     */
    const limitShare = (wanted: Quantity, credits: number, remaining: Quantity): Quantity => {
        const concurrency = Math.min(wanted.concurrency, credits, remaining.concurrency);
        if (concurrency <= 0) {
            return ZERO;
        }
        const tokensPerCredit = wanted.memoryTokens / wanted.concurrency;
        const memoryTokens = Math.min(Math.ceil(tokensPerCredit * concurrency), remaining.memoryTokens);
        const affordable = tokensPerCredit === 0 ? concurrency : Math.floor(memoryTokens / tokensPerCredit);
        return affordable >= 1 ? { concurrency: Math.min(concurrency, affordable), memoryTokens } : ZERO;
    };

    const assertBudget = (upstream: string, row: OwnedRow, before: Quantity, budget: Quantity): void => {
        const after = totalCounted(row);
        options.invariants.assert(
            "upstream-budget",
            fits(after, maximum(budget, before)),
            () =>
                `upstream ${upstream} has ${after.concurrency} credits and ${after.memoryTokens} tokens granted, ` +
                `budget ${budget.concurrency} and ${budget.memoryTokens}`,
        );
    };

    /** Shortens the time for which other nodes use grants from before the upstream turned cold. */
    const recallFromOthers = (upstream: string, row: OwnedRow, requestingNode: string, now: number): void => {
        for (const [name, node] of row.nodes) {
            if (name !== requestingNode && now < node.expiresAt && node.counted.concurrency > 0) {
                options.recall?.(name, upstream);
            }
        }
    };

    const hasSilentNodes = (row: OwnedRow, now: number): boolean => {
        for (const node of row.nodes.values()) {
            if (now >= node.expiresAt && !isZero(node.counted)) {
                return true;
            }
        }
        return false;
    };

    /** Limits the counts of nodes whose grants ended before the measurement to the load measured. */
    const applyLoad = (row: OwnedRow, held: Quantity, measuredAt: number): void => {
        for (const [name, node] of row.nodes) {
            if (node.expiresAt <= measuredAt) {
                row.nodes.set(name, { ...node, counted: minimum(node.counted, held) });
            }
        }
    };

    /** Whether requests on another node wait for more credits than the node was granted. */
    const isContended = (row: OwnedRow, requestingNode: string, now: number): boolean => {
        for (const [name, node] of row.nodes) {
            const needsMore = node.isWaiting && now < node.expiresAt && !fits(node.wanted, node.counted);
            if (needsMore && name !== requestingNode) {
                return true;
            }
        }
        return false;
    };

    const handleDemand = (
        sender: NodeRequest,
        demand: UpstreamDemand,
        now: number,
    ): UpstreamGrant | undefined => {
        const { upstream, held, wanted, isWaiting } = demand;
        const row = ownedRow(upstream, now);
        if (row === undefined) {
            return undefined;
        }
        const wasWarm = isWarm(row.evidence, now);
        for (const run of demand.observations) {
            // While the owner extends nothing, no new requests run. So fast answers are from before the
            // interruption.
            if (run.outcome !== "fast" || now >= possiblyReplacedUntil) {
                row.evidence = observe(row.evidence, run, now);
            }
        }
        if (isWarm(row.evidence, now) !== wasWarm) {
            options.onTemperature?.(upstream, !wasWarm, row.evidence.bootId);
            if (wasWarm) {
                recallFromOthers(upstream, row, sender.node, now);
            }
        }
        if (demand.load !== undefined) {
            applyLoad(
                row,
                demand.load.held,
                now - demand.load.ageMilliseconds - MAXIMUM_MESSAGE_DELAY_MILLISECONDS,
            );
        }
        removeEndedNodes(row, now);
        const isTakingOver = now < row.ownedSince + takeoverWaitMilliseconds;
        const budget = currentBudget(upstream, row, now);
        const before = totalCounted(row);
        const previous = row.nodes.get(sender.node);
        row.nodes.set(sender.node, {
            incarnation: sender.incarnation,
            counted: held,
            wanted,
            isWaiting,
            expiresAt: now + options.grantMilliseconds,
            remainderGrantedAt: previous?.remainderGrantedAt ?? -Infinity,
        });
        const demands = [...row.nodes]
            .filter(([, node]) => now < node.expiresAt && node.wanted.concurrency > 0)
            .map(([node, { wanted: amount, remainderGrantedAt }]) => ({
                node,
                wanted: amount.concurrency,
                remainderGrantedAt,
            }));
        let totalDemand = ZERO;
        for (const node of row.nodes.values()) {
            totalDemand = now < node.expiresAt ? add(totalDemand, node.wanted) : totalDemand;
        }
        const remaining = subtract(budget, subtract(totalCounted(row), held));
        const { credits, hasRemainder } = fairShare(
            sender.node,
            demands,
            budgetInCredits(budget, totalDemand),
        );
        const share = limitShare(wanted, credits, remaining);
        const extended = now < possiblyReplacedUntil ? ZERO : minimum(share, held);
        const granted = isTakingOver ? extended : share;
        row.nodes.set(sender.node, {
            ...row.nodes.get(sender.node)!,
            counted: maximum(held, granted),
            ...(hasRemainder && granted.concurrency >= credits ? { remainderGrantedAt: now } : {}),
        });
        // During a takeover nodes report credits that the previous owner granted, so the total may grow.
        assertBudget(upstream, row, isTakingOver ? totalCounted(row) : before, budget);
        if (isZero(held) && isZero(wanted)) {
            row.nodes.delete(sender.node);
        }
        return {
            upstream,
            granted,
            contended: isContended(row, sender.node, now),
            warm: isWarm(row.evidence, now),
            wantsLoad: hasSilentNodes(row, now),
        };
    };

    const advance = (now: number): void => {
        if (now - lastStepAt > options.pauseMilliseconds || !options.hasMajority(now)) {
            uninterruptedSince = now;
            possiblyReplacedUntil = now + options.viewLagMilliseconds;
        }
        lastStepAt = now;
        if (now - lastCleanupAt > CLEANUP_INTERVAL_MILLISECONDS) {
            lastCleanupAt = now;
            for (const [upstream, row] of rows) {
                removeEndedNodes(row, now);
                const isUnused = row.nodes.size === 0 && now - row.evidence.seenAt > EVIDENCE_MILLISECONDS;
                if (isUnused || options.ownedSince(upstream) === undefined) {
                    rows.delete(upstream);
                }
            }
        }
    };

    return {
        advance,
        handle: (request, now) => {
            advance(now);
            const last = lastMessages.get(request.node);
            if (
                last !== undefined &&
                (request.incarnation < last.incarnation ||
                    (request.incarnation === last.incarnation && request.sequence <= last.sequence))
            ) {
                throw new StaleRequestError(request.node, request.sequence);
            }
            lastMessages.set(request.node, { incarnation: request.incarnation, sequence: request.sequence });
            const mayGrant = options.hasMajority(now);
            const grants: UpstreamGrant[] = [];
            const refused: string[] = [];
            for (const demand of request.runners) {
                const grant = mayGrant ? handleDemand(request, demand, now) : undefined;
                if (grant === undefined) {
                    refused.push(demand.upstream);
                }
                else if (!isDefaultGrant(grant, demand.held)) {
                    grants.push(grant);
                }
            }
            return { validMilliseconds: options.grantMilliseconds, grants, refused };
        },
        reportLoad: (upstream, held, measuredAt) => {
            const row = rows.get(upstream);
            if (row !== undefined) {
                applyLoad(row, held, measuredAt);
            }
        },
        isWarm: (upstream, now) => {
            const row = rows.get(upstream);
            return row !== undefined && isWarm(row.evidence, now);
        },
        dump: now =>
            [...rows].map(([upstream, row]) => {
                const nodes = [...row.nodes.values()];
                return {
                    upstream,
                    warm: isWarm(row.evidence, now),
                    bootId: row.evidence.bootId,
                    budget: currentBudget(upstream, row, now),
                    counted: totalCounted(row),
                    silent: nodes
                        .filter(node => now >= node.expiresAt)
                        .reduce((sum, node) => add(sum, node.counted), ZERO),
                    waitingMilliseconds: Math.max(0, row.ownedSince + takeoverWaitMilliseconds - now),
                    askingNodes: nodes.filter(node => node.wanted.concurrency > 0).length,
                };
            }),
    };
}
