/**
 * State of the aggregated load reports of a node: what it knows of the other nodes, what it sends to them, and
 * which loads count, so that none counts twice.
 *
 * The first node of a data centre aggregates. Its second node gets the same reports, and takes over when the first
 * one is silent. A node that hears from neither reports to its peers directly.
 *
 * Designed for 660 nodes in 12 data centres with 3,900 upstreams.
 */
import { AGGREGATORS } from "./aggregation-plan.js";
import type { AggregationPlan, ReportingNode } from "./aggregation-plan.js";
import { addLoads, NO_LOAD, REPORT_VALIDITY_MILLISECONDS } from "./load-board.js";
import type { Load, LoadBoard, LoadSelection, NodeLoads } from "./load-board.js";
import { encodeSums, nodesDatagrams, partCount, sumDatagram, totalDatagram } from "./load-messages.js";
import type { CoveredNode, LoadSums, NodesMessage, SumMessage, TotalMessage } from "./load-messages.js";

/** Silence of the first node of a data centre after which the second one takes over, milliseconds. */
const TAKEOVER_MILLISECONDS = 350;

/**
 * Silence of all nodes after which an aggregating node may be cut off, and time that it needs to get all reports
 * again, milliseconds. Unchanged reports are repeated every 0.5 s.
 */
const SILENCE_MILLISECONDS = 600;
const PREPARATION_MILLISECONDS = 700;

/** Time for which messages that may lack reports are ignored after one that does not, milliseconds. */
const INCOMPLETE_IGNORED_MILLISECONDS = 800;

/** Silence of the aggregating nodes after which a node reports to its peers directly, milliseconds. */
const FALLBACK_MILLISECONDS = 500;

/** Interval between totals while nothing changes, milliseconds. Several fit into the times above. */
const UNCHANGED_TOTAL_MILLISECONDS = 180;

/** Interval between sums for other data centres while nothing changes, milliseconds. */
const UNCHANGED_SUM_MILLISECONDS = 480;

/** Interval between lists of the nodes that the sums cover, milliseconds. */
const NODES_MILLISECONDS = 280;

/**
 * Intervals in which all parts of a sum are sent in turn. Must fit into the validity of a sum, and determines the
 * age of loads in deployments with many upstreams.
 */
const INTERVALS_PER_ROUND = 10;

/** Reports of this node that are kept, to subtract them from totals that include them. */
const KEPT_REPORTS = 24;

export interface OwnReport extends LoadSums {
    readonly sequence: number;
}

export interface PeerReport {
    readonly node: string;
    readonly loads: NodeLoads;
    readonly ejected: readonly string[];
    /** Missing in reports of earlier versions. */
    readonly sequence?: number;
    /** The sender hears from no aggregating node. */
    readonly isFallback: boolean;
    readonly isIsolated: boolean;
}

export interface Outgoing {
    readonly address: string;
    readonly datagram: Buffer;
}

interface KnownReport extends PeerReport {
    readonly at: number;
}

/** Parts of a sum, which are sent in turn. */
interface PartRound {
    parts: number;
    next: number;
}

interface RemoteSums {
    readonly parts: ReadonlyMap<number, LoadSums>;
    readonly count: number;
    readonly at: number;
}

export interface LoadAggregation {
    readonly selection: LoadSelection;
    /** To be called in each interval, also while this node sends nothing. */
    tick(now: number): void;
    /** Whether this node sums up the reports of its data centre. */
    isAggregating(now: number): boolean;
    /** Whether this node hears from no aggregating node. */
    isFallback(now: number): boolean;
    /** Records a report that this node sends. */
    recordOwn(report: OwnReport): void;
    /** Returns whether the report is newer than the known one of its sender. */
    recordReport(report: PeerReport, now: number): boolean;
    recordSum(message: SumMessage, now: number): void;
    recordTotal(message: TotalMessage, now: number): void;
    recordNodes(message: NodesMessage, now: number): void;
    /** Sums, totals and lists of nodes that an aggregating node sends now. */
    messages(own: OwnReport, isIsolated: boolean, now: number): readonly Outgoing[];
    /** Nodes to which an aggregating node passes on news. */
    newsReceivers(now: number): { readonly own: readonly string[]; readonly remote: readonly string[] };
}

export interface LoadAggregationOptions {
    readonly node: string;
    readonly dataCentre: string;
    readonly plan: () => AggregationPlan;
    /** Higher than each sequence number that an earlier process of this node has used. */
    readonly firstSequence: number;
    readonly board: Pick<LoadBoard, "reportSum" | "removeSums" | "recordHeard">;
    /** Records the state that another node has reported. */
    readonly recordState: (node: string, isIsolated: boolean, at: number) => void;
}

const TOTAL_PREFIX = "total/";
const SUM_PREFIX = "sum/";

export function addSums(sums: readonly LoadSums[]): LoadSums {
    const loads = new Map<string, Load>();
    const ejections = new Map<string, number>();
    for (const sum of sums) {
        sum.loads.forEach((load, id) => loads.set(id, addLoads(loads.get(id) ?? NO_LOAD, load)));
        sum.ejections.forEach((count, id) => ejections.set(id, (ejections.get(id) ?? 0) + count));
    }
    return { loads, ejections };
}

/** Never below zero: a report that was subtracted may be another one than the sum includes. */
export function subtractSums(sum: LoadSums, own: LoadSums): LoadSums {
    const difference = (from: number, value: number): number => Math.max(0, from - value);
    const loads = [...sum.loads].map(([id, load]): [string, Load] => {
        const part = own.loads.get(id) ?? NO_LOAD;
        return [
            id,
            {
                pendingTokens: difference(load.pendingTokens, part.pendingTokens),
                requests: difference(load.requests, part.requests),
                heldTokens: difference(load.heldTokens, part.heldTokens),
            },
        ];
    });
    const ejections = [...sum.ejections].map(([id, count]): [string, number] => [
        id,
        difference(count, own.ejections.get(id) ?? 0),
    ]);
    return { loads: new Map(loads), ejections: new Map(ejections) };
}

const isValid = (at: number | undefined, now: number): boolean =>
    at !== undefined && now - at <= REPORT_VALIDITY_MILLISECONDS;

function sumsOf({ loads, ejected }: PeerReport): LoadSums {
    return { loads, ejections: new Map(ejected.map(id => [id, 1])) };
}

export function createLoadAggregation(options: LoadAggregationOptions): LoadAggregation {
    const { plan, board } = options;
    const reports = new Map<string, KnownReport>();
    const sums = new Map<string, RemoteSums>();
    /** Nodes that sums and totals cover: monotonic time of their last report. */
    const covered = new Map<string, { readonly at: number; readonly isIsolated: boolean }>();
    /** Last sender of a total, or of the sum of a data centre, that had all reports. */
    const completeSenders = new Map<string, { readonly sender: string; readonly at: number }>();
    const sequences = new Map<string, { readonly sequence: number; readonly at: number }>();
    let ownReports: readonly OwnReport[] = [];
    let totalAt = -Infinity;
    let totalParts = 0;
    /** Monotonic time of the last total of a node of the own data centre. */
    let localTotalAt = -Infinity;
    /** Monotonic time of the last total of the first node, at the second one. */
    let precedingAt = -Infinity;
    let heardAt = -Infinity;
    let checkedAt = -Infinity;
    /** Monotonic time since which this node gets the reports of its data centre. */
    let preparedSince = Infinity;
    let hasMemberChanges = false;
    let hasChanges = false;
    let totalSentAt = -Infinity;
    let sumSentAt = -Infinity;
    let nodesSentAt = -Infinity;
    let sentIsolated = "";
    let sequence = options.firstSequence;
    const sumRound: PartRound = { parts: 1, next: 0 };
    const totalRound: PartRound = { parts: 1, next: 0 };

    /** Records that time has passed, and whether this node could miss reports meanwhile. */
    const check = (now: number): void => {
        const { isAggregated, rank } = plan();
        if (!isAggregated || rank >= AGGREGATORS) {
            preparedSince = Infinity;
        }
        else if (preparedSince === Infinity || now - checkedAt > TAKEOVER_MILLISECONDS) {
            preparedSince = now;
        }
        checkedAt = now;
    };

    const recordHeard = (now: number): void => {
        if (now - heardAt > SILENCE_MILLISECONDS && preparedSince !== Infinity) {
            preparedSince = now;
        }
        heardAt = now;
    };

    const mayLackReportsAt = (now: number): boolean =>
        now - heardAt > SILENCE_MILLISECONDS || now - preparedSince < PREPARATION_MILLISECONDS;

    const isAggregating = (now: number): boolean => {
        const { isAggregated, rank } = plan();
        const isTakingOver =
            rank === 1 &&
            now - precedingAt > TAKEOVER_MILLISECONDS &&
            now - preparedSince > TAKEOVER_MILLISECONDS;
        return isAggregated && (rank === 0 || isTakingOver);
    };

    /** Whether a message is to be ignored because a sender of the same kind has all reports. */
    const isSuperseded = (kind: string, sender: string, mayLackReports: boolean, now: number): boolean => {
        const complete = completeSenders.get(kind);
        if (!mayLackReports) {
            completeSenders.set(kind, { sender, at: now });
            return false;
        }
        return (
            complete !== undefined &&
            complete.sender !== sender &&
            now - complete.at < INCOMPLETE_IGNORED_MILLISECONDS
        );
    };

    const usesTotal = (now: number): boolean =>
        plan().isAggregated && isValid(totalAt, now) && !isAggregating(now);

    /** Datagrams may overtake each other. A sender that has restarted may begin with a lower number. */
    const isNewer = (source: string, next: number, now: number): boolean => {
        const known = sequences.get(source);
        if (known !== undefined && next < known.sequence && isValid(known.at, now)) {
            return false;
        }
        sequences.set(source, { sequence: next, at: now });
        return true;
    };

    const isCovered = (node: string, now: number): boolean => isValid(covered.get(node)?.at, now);

    const isNodeCounted = (node: string, now: number): boolean => {
        const report = reports.get(node);
        if (report?.sequence === undefined) {
            return true;
        }
        if (usesTotal(now)) {
            return report.isFallback && !isCovered(node, now);
        }
        // Sums cover nodes of other data centres only.
        return plan().members.has(node) || !isCovered(node, now);
    };

    const isSumCounted = (source: string, now: number): boolean =>
        source.startsWith(TOTAL_PREFIX) === usesTotal(now);

    const removeExpired = (now: number): void => {
        for (const [key, { at }] of reports) {
            if (!isValid(at, now)) {
                reports.delete(key);
                hasMemberChanges = true;
            }
        }
        for (const [key, { at }] of sums) {
            if (!isValid(at, now)) {
                sums.delete(key);
                board.removeSums(`${SUM_PREFIX}${key}/`);
                hasChanges = true;
            }
        }
        for (const [key, { at }] of covered) {
            if (!isValid(at, now)) {
                covered.delete(key);
            }
        }
        for (const [key, { at }] of completeSenders) {
            if (!isValid(at, now)) {
                completeSenders.delete(key);
            }
        }
        for (const [key, { at }] of sequences) {
            if (!isValid(at, now)) {
                sequences.delete(key);
            }
        }
    };

    const memberReports = (): readonly KnownReport[] => {
        const { members } = plan();
        return [...reports.values()].filter(({ node }) => members.has(node));
    };

    /** Nodes of other data centres that hear from no aggregating node of their own. */
    const remoteFallbackNodes = (): readonly ReportingNode[] => {
        const { members, peers } = plan();
        return [...reports.values()].flatMap(({ node, isFallback }) =>
            isFallback && !members.has(node) ? (peers.get(node) ?? []) : [],
        );
    };

    const receivers = (): readonly ReportingNode[] => [...plan().members.values(), ...remoteFallbackNodes()];

    /** Parts that are sent now, of as many as the sum has. A sum never gets fewer parts again. */
    const nextParts = (round: PartRound, upstreams: number): readonly number[] => {
        round.parts = Math.max(round.parts, partCount(upstreams));
        const count = Math.ceil(round.parts / INTERVALS_PER_ROUND);
        const parts = Array.from({ length: count }, (_, index) => (round.next + index) % round.parts);
        round.next = (round.next + count) % round.parts;
        return parts;
    };

    const sumMessages = (own: LoadSums, now: number): readonly Outgoing[] => {
        sequence += 1;
        sumSentAt = now;
        hasMemberChanges = false;
        const mayLackReports = mayLackReportsAt(now);
        return nextParts(sumRound, own.loads.size).flatMap(part => {
            const { parts } = sumRound;
            const datagram = sumDatagram(
                {
                    sender: options.node,
                    dataCentre: options.dataCentre,
                    sequence,
                    part,
                    parts,
                    mayLackReports,
                },
                encodeSums(own, part, parts),
            );
            return plan().remoteAggregators.map(({ address }) => ({ address, datagram }));
        });
    };

    /** Sums of the other data centres, without those that have nothing in the chosen parts. */
    const remoteSums = (chosen: readonly number[], parts: number): readonly LoadSums[] =>
        [...sums.values()].flatMap(remote =>
            [...remote.parts].flatMap(([part, content]) =>
                remote.count === parts && !chosen.includes(part) ? [] : [content],
            ),
        );

    const countUpstreams = (own: LoadSums): number => {
        const counts = [...sums.values()].map(({ parts }) =>
            [...parts.values()].reduce((sum, { loads }) => sum + loads.size, 0),
        );
        return Math.max(own.loads.size, ...counts);
    };

    const totalMessages = (own: LoadSums, now: number): readonly Outgoing[] => {
        sequence += 1;
        totalSentAt = now;
        hasChanges = false;
        const { members } = plan();
        const mayLackReports = mayLackReportsAt(now);
        const chosen = nextParts(totalRound, countUpstreams(own));
        const { parts } = totalRound;
        const total = addSums([own, ...remoteSums(chosen, parts)]);
        const bodies = chosen.map(part => ({ part, body: encodeSums(total, part, parts) }));
        return receivers().flatMap(({ id, address }) => {
            const included = members.has(id) ? (reports.get(id)?.sequence ?? -1) : -1;
            return bodies.map(({ part, body }) => ({
                address,
                datagram: totalDatagram(
                    { sender: options.node, sequence, part, parts, included, mayLackReports },
                    body,
                ),
            }));
        });
    };

    const nodesMessages = (isIsolated: boolean, now: number): readonly Outgoing[] => {
        const local: readonly CoveredNode[] = [
            { id: options.node, age: 0, isIsolated },
            ...memberReports().map(({ node, at, ...report }) => ({
                id: node,
                age: now - at,
                isIsolated: report.isIsolated,
            })),
        ];
        const remote = [...covered].flatMap(([id, state]) =>
            plan().members.has(id) || id === options.node
                ? []
                : [{ id, age: now - state.at, isIsolated: state.isIsolated }],
        );
        const all = [...local, ...remote];
        const isolated = all.flatMap(node => (node.isIsolated ? node.id : [])).join(" ");
        if (now - nodesSentAt < NODES_MILLISECONDS && isolated === sentIsolated) {
            return [];
        }
        nodesSentAt = now;
        sentIsolated = isolated;
        const send = (nodes: readonly ReportingNode[], list: readonly CoveredNode[]): readonly Outgoing[] =>
            nodesDatagrams(options.node, list).flatMap(datagram =>
                nodes.map(({ address }) => ({ address, datagram })),
            );
        return [...send(receivers(), all), ...send(plan().remoteAggregators, local)];
    };

    return {
        selection: { isNodeCounted, isSumCounted },
        tick: now => {
            check(now);
            removeExpired(now);
        },
        isAggregating,
        isFallback: now =>
            plan().isAggregated && !isAggregating(now) && now - localTotalAt > FALLBACK_MILLISECONDS,
        recordOwn: report => {
            ownReports = [...ownReports, report].slice(-KEPT_REPORTS);
            hasMemberChanges = true;
        },
        recordReport: (report, now) => {
            recordHeard(now);
            if (report.sequence !== undefined && !isNewer(`report ${report.node}`, report.sequence, now)) {
                return false;
            }
            reports.set(report.node, { ...report, at: now });
            hasMemberChanges ||= plan().members.has(report.node);
            return true;
        },
        recordSum: (message, now) => {
            const { sender, dataCentre, part, parts } = message;
            recordHeard(now);
            if (
                dataCentre === options.dataCentre ||
                !isNewer(`sum ${sender}`, message.sequence, now) ||
                isSuperseded(`sum ${dataCentre}`, sender, message.mayLackReports, now)
            ) {
                return;
            }
            const known = sums.get(dataCentre);
            const isSameSize = known?.count === parts;
            if (!isSameSize) {
                board.removeSums(`${SUM_PREFIX}${dataCentre}/`);
            }
            const content = { loads: message.loads, ejections: message.ejections };
            sums.set(dataCentre, {
                parts: new Map([...(isSameSize ? known.parts : []), [part, content]]),
                count: parts,
                at: now,
            });
            board.reportSum(`${SUM_PREFIX}${dataCentre}/${part}`, content.loads, content.ejections, now);
            hasChanges = true;
        },
        recordTotal: (message, now) => {
            const { sender, part, parts, included } = message;
            const { aggregators, rank, members } = plan();
            recordHeard(now);
            if (
                rank === 0 ||
                !isNewer(`total ${sender}`, message.sequence, now) ||
                isSuperseded("total", sender, message.mayLackReports, now)
            ) {
                return;
            }
            if (rank === 1 && aggregators[0]?.id === sender && !message.mayLackReports) {
                precedingAt = now;
            }
            if (parts !== totalParts) {
                board.removeSums(TOTAL_PREFIX);
                totalParts = parts;
            }
            // A guest of another data centre may be covered there, but the sender does not know by which report.
            const isIncluded = included >= 0 || (!members.has(sender) && isCovered(options.node, now));
            const own =
                ownReports.find(report => report.sequence === included) ??
                (included >= 0 ? ownReports[0] : ownReports.at(-1));
            const content = isIncluded && own !== undefined ? subtractSums(message, own) : message;
            board.reportSum(`${TOTAL_PREFIX}${part}`, content.loads, content.ejections, now);
            totalAt = now;
            localTotalAt = members.has(sender) ? now : localTotalAt;
        },
        recordNodes: (message, now) => {
            for (const { id, age, isIsolated } of message.nodes) {
                const at = now - Math.max(0, age);
                if (at < (covered.get(id)?.at ?? -Infinity)) {
                    continue;
                }
                covered.set(id, { at, isIsolated });
                if (id !== options.node && !(at < (reports.get(id)?.at ?? -Infinity))) {
                    board.recordHeard(id, at);
                    options.recordState(id, isIsolated, at);
                }
            }
        },
        messages: (own, isIsolated, now) => {
            if (!isAggregating(now)) {
                return [];
            }
            const local = addSums([own, ...memberReports().map(sumsOf)]);
            const mustSendSum =
                hasMemberChanges || sumRound.parts > 1 || now - sumSentAt >= UNCHANGED_SUM_MILLISECONDS;
            const mustSendTotal =
                hasMemberChanges ||
                hasChanges ||
                totalRound.parts > 1 ||
                now - totalSentAt >= UNCHANGED_TOTAL_MILLISECONDS;
            return [
                ...(mustSendSum ? sumMessages(local, now) : []),
                ...(mustSendTotal ? totalMessages(local, now) : []),
                ...nodesMessages(isIsolated, now),
            ];
        },
        newsReceivers: () => ({
            own: receivers().map(({ address }) => address),
            remote: plan().remoteAggregators.map(({ address }) => address),
        }),
    };
}
