/**
 * Advances the traffic shifts of all services: writes their state and this node's evidence to the store, and
 * reads what the other nodes wrote. Any node may write a state, on condition that the row is unchanged.
 */
import * as z from "zod/mini";
import type { Clock } from "../common/clock.js";
import { hashToUnit } from "../common/hash.js";
import type { AttemptTiming } from "../forwarding/attempt.js";
import type { Lifecycle } from "../lifecycle/lifecycle.js";
import type { Logger } from "../logging/logging.js";
import { createRowReader } from "../replica/row-reader.js";
import type { RowReplica } from "../replica/row-replica.js";
import type { RowWrite, SharedStore } from "../replica/shared-store.js";
import type { VersionPreference } from "../upstream-table/upstream-choice.js";
import { loadTestPhase, planCanaryShare, testedUpstreamCount } from "./exposure-plan.js";
import type { ServiceLoad, ShiftTraffic } from "./exposure-plan.js";
import {
    MINIMUM_ANSWERS,
    NO_RULE,
    evidencePeriod,
    isCanarySession,
    isCollecting,
    isSameOrder,
    isStateOf,
    laterState,
    nextStage,
    versionPreference,
    versionRule,
} from "./shift.js";
import type {
    LoadTest,
    ShiftedRequest,
    ShiftOrder,
    ShiftSettings,
    ShiftStage,
    ShiftState,
    ShiftView,
    VersionRule,
} from "./shift.js";
import {
    assessEvidence,
    countEvidence,
    decodeEvidence,
    describeEvidence,
    encodeEvidence,
    mergeEvidence,
    wireEvidence,
} from "./shift-evidence.js";
import type { AnswerOutcome, EvidenceAssessment, EvidenceTable, WireEvidence } from "./shift-evidence.js";

export interface ShiftCoordinator {
    rule(service: string): VersionRule;
    /** Version that a request should run on; `undefined` when all versions are equal. */
    preference(
        service: string,
        request: ShiftedRequest,
        failedVersions: ReadonlySet<string>,
    ): VersionPreference | undefined;
    /**
     * Called when a request is sent. Collects its session so that it keeps its version.
     *
     * @param sessionKey `undefined` for a request without a session.
     */
    recordSend(service: string, version: string, sessionKey: string | undefined): void;
    /**
     * Adds the outcome of an attempt to this node's evidence.
     *
     * @param group Route and model, whose answers are compared between the versions.
     * @param process Identity of the upstream's process.
     */
    record(
        service: string,
        version: string,
        group: string,
        outcome: AnswerOutcome,
        timing: AttemptTiming,
        process: string,
    ): void;
    states(): ReadonlyMap<string, ShiftState>;
}

export interface ShiftCoordinatorOptions {
    readonly node: string;
    readonly orders: () => readonly ShiftOrder[];
    readonly replica: RowReplica;
    readonly store: SharedStore;
    /** Store clock minus this process's monotonic clock, milliseconds; `undefined` while unknown. */
    readonly clockOffset: () => number | undefined;
    readonly nodeCount: () => number;
    /** Number of upstreams of a version that may receive requests. */
    readonly upstreamCount: (service: string, version: string) => number;
    /** Load of a service that shifts to a version; `undefined` if its upstreams are not tested under load. */
    readonly loadOf: (service: string, version: string) => ServiceLoad | undefined;
    /** Encodes the row that reports a shift's stage to the operators. */
    readonly encodeReport: (order: ShiftOrder, stage: ShiftStage) => RowWrite;
    /** Schedule of a shift of a duration, milliseconds. */
    readonly settings: (durationMilliseconds: number) => ShiftSettings;
    readonly clock: Clock;
    readonly lifecycle: Lifecycle;
    readonly logger: Logger;
}

/** Interval at which all shifts are checked, milliseconds. */
const TICK_MILLISECONDS = 200;

/** Range of the per-node delay before the first write for an order, milliseconds. Avoids conflicts. */
const FIRST_WRITE_SPREAD_MILLISECONDS = 400;

/**
 * Minimum time between evidence reports of a node, milliseconds. A fraction of the time allowed to roll back.
 */
const EVIDENCE_INTERVAL_MILLISECONDS = 700;

/** Minimum delay after a write of a shift, milliseconds, also before the retry of a failed one. */
const WRITE_RETRY_MILLISECONDS = 500;

/**
 * Minimum time between assessments before and in the full stage, milliseconds. An assessment costs milliseconds
 * of a core. It is made at once when the time for a decision has come.
 */
const EARLY_ASSESSMENT_MILLISECONDS = 400;
const FULL_ASSESSMENT_MILLISECONDS = 200;

/** Logarithm of the likelihood ratio above which every node reports its evidence. */
const SUSPICIOUS_LOG_RATIO = 0;

/**
 * Time for which the merged evidence must show a regression before a rollback, milliseconds: one report
 * interval plus propagation through the store. Nodes with errors report first, and their evidence is biased.
 */
const CONFIRMATION_MILLISECONDS = 1200;

/** Growth of a node's answers since its last report that causes another report. Below ERROR_MARGIN_RATIO. */
const REPORT_GROWTH_RATIO = 1.3;

/**
 * Share of the time to the full stage after which nodes without errors report their evidence. They report one
 * after the other, at a point between this share and 1, and stop once enough answers are known.
 */
const FINAL_REPORT_SHARE = 0.8;

/** Answers of the new version that need no further reports. Twice the minimum, for rows in flight. */
const SUFFICIENT_ANSWERS = 2 * MINIMUM_ANSWERS;

/** Log messages of the changes of stage that this node decides. */
const STAGE_MESSAGES: Readonly<Record<ShiftStage, string>> = {
    canary: "Starting the canary stage.",
    full: "The new version shows no regression; increasing its share.",
    completed: "The new version shows no regression; completing the shift.",
    "rolled-back": "The new version is bad; going back.",
};

/** Number of nodes that report all their evidence during the full stage. */
const FULL_REPORTERS = 16;

interface TrackedShift {
    order: ShiftOrder;
    readonly receivedAt: number;
    /** Sessions in the canary share that sent a request to this node during the collection period. */
    readonly sessions: Set<string>;
    hasReportedSessions: boolean;
    evidence: EvidenceTable;
    traffic: ShiftTraffic;
    /** Processes whose last attempt at this node got no whole answer. */
    readonly silentProcesses: Set<string>;
    /** Errors and slow answers of the new version in the last report. */
    reportedBadAnswers: number;
    /** Answers of both versions in the last report. */
    reportedAnswers: number;
    /** Whether the final report, which nodes without errors also send, is in the store. */
    hasReportedAnswers: boolean;
    /** Whether the merged evidence is above SUSPICIOUS_LOG_RATIO, so that every node reports. */
    isSuspicious: boolean;
    /** Time since which the merged evidence has shown a regression; `undefined` while it shows none. */
    regressionSince: number | undefined;
    reportedAt: number;
    assessedAt: number;
    /** Elapsed share of the duration at the last assessment. */
    assessedProgress: number;
    nextWriteAt: number;
    /** Epoch of the store, to write the state and the report again after a restore. */
    epoch: number;
    /** The later of the state that this node decided and the state that it read. */
    state: ShiftState | undefined;
    isWriting: boolean;
}

const stateRow = z.object({
    orderRevision: z.number(),
    version: z.string(),
    stage: z.enum(["canary", "full", "completed", "rolled-back"]),
    startedAt: z.number(),
    epoch: z.optional(z.number()),
});

const sessionsRow = z.object({ orderRevision: z.number(), sessions: z.array(z.string()) });

const evidenceRow = z.object({ orderRevision: z.number(), evidence: wireEvidence });

interface SessionsRow {
    readonly orderRevision: number;
    readonly sessions: readonly string[];
}

interface EvidenceRow {
    readonly orderRevision: number;
    readonly evidence: WireEvidence;
}

const SESSIONS_PREFIX = "sessions/";
const EVIDENCE_PREFIX = "evidence/";

function isOpen(stage: ShiftStage | undefined): boolean {
    return stage === "canary" || stage === "full";
}

function stateKey(service: string): string {
    return `shift/${service}`;
}

export function createShiftCoordinator(options: ShiftCoordinatorOptions): ShiftCoordinator {
    const { replica, store, clock, logger } = options;
    const settingsOf = (order: ShiftOrder): ShiftSettings => options.settings(order.durationMilliseconds);
    /** Position of this node, 0 to 1, in the order in which nodes without errors report. */
    const finalReportPosition = hashToUnit(`final\u0000${options.node}`);
    const shifts = new Map<string, TrackedShift>();

    const readState = createRowReader<ShiftState>(stateRow, logger);
    const readSessions = createRowReader<SessionsRow>(sessionsRow, logger);
    const readEvidence = createRowReader<EvidenceRow>(evidenceRow, logger);

    const readStoredState = (order: ShiftOrder): ShiftState | undefined => {
        const row = replica.get(stateKey(order.service));
        const state = row === undefined ? undefined : readState(row);
        return state !== undefined && isStateOf(state, order) ? state : undefined;
    };

    const firstWriteDelay = (revision: number): number =>
        hashToUnit(`${options.node}\u0000${revision}`) * FIRST_WRITE_SPREAD_MILLISECONDS;

    /** Goes on with a shift whose order has another revision in a restored store. */
    const renumber = (shift: TrackedShift, order: ShiftOrder): void => {
        shift.order = order;
        shift.state = shift.state && { ...shift.state, orderRevision: order.revision };
        shift.hasReportedSessions = false;
        shift.hasReportedAnswers = false;
        shift.reportedBadAnswers = 0;
        shift.reportedAnswers = 0;
        shift.nextWriteAt = clock.now() + firstWriteDelay(order.revision);
        reportedByService.delete(order.service);
        collectedByService.delete(order.service);
    };

    const trackShift = (order: ShiftOrder): TrackedShift => {
        const known = shifts.get(order.service);
        if (known !== undefined && isSameOrder(known.order, order)) {
            if (known.order.revision !== order.revision) {
                renumber(known, order);
            }
            return known;
        }
        const now = clock.now();
        const shift: TrackedShift = {
            order,
            // The operators count from their write, not from the next check.
            receivedAt: order.receivedAt ?? now,
            sessions: new Set(),
            hasReportedSessions: false,
            evidence: {},
            traffic: { attempts: 0, newAttempts: 0 },
            silentProcesses: new Set(),
            reportedBadAnswers: 0,
            reportedAnswers: 0,
            isSuspicious: false,
            regressionSince: undefined,
            hasReportedAnswers: false,
            reportedAt: 0,
            assessedAt: -Infinity,
            assessedProgress: 0,
            nextWriteAt: now + firstWriteDelay(order.revision),
            epoch: replica.epoch,
            state: undefined,
            isWriting: false,
        };
        shifts.set(order.service, shift);
        reportedByService.delete(order.service);
        logger.info("Started to track a shift.", {
            service: order.service,
            version: order.version,
            durationMilliseconds: order.durationMilliseconds,
        });
        return shift;
    };

    const mergeState = (shift: TrackedShift, state: ShiftState, source: string): void => {
        const next = shift.state === undefined ? state : laterState(shift.state, state);
        if (next.stage !== shift.state?.stage) {
            logger.info("A shift changed its stage.", {
                service: shift.order.service,
                version: next.version,
                stage: next.stage,
                source,
            });
        }
        shift.state = next;
    };

    /**
     * @param onWritten Called once the rows are in the store. Only then do they count as reported.
     * @param pauseMilliseconds Time after the write in which no stage is decided.
     */
    const write = (
        shift: TrackedShift,
        writes: readonly RowWrite[],
        stateRevision: number | undefined,
        onWritten: () => void = () => undefined,
        pauseMilliseconds = WRITE_RETRY_MILLISECONDS,
    ): void => {
        shift.isWriting = true;
        const conditions =
            stateRevision === undefined
                ? []
                : [
                      {
                          table: "nodes" as const,
                          key: stateKey(shift.order.service),
                          revision: stateRevision,
                      },
                  ];
        store
            .transact({ epoch: stateRevision === undefined ? undefined : replica.epoch, conditions, writes })
            .then(applied => {
                if (applied) {
                    onWritten();
                }
                else {
                    logger.info("Another node advanced the shift.", { service: shift.order.service });
                }
            })
            .catch((error: unknown) =>
                logger.warn("Could not write the shift; trying again.", {
                    service: shift.order.service,
                    error: (error as Error).message,
                }),
            )
            .finally(() => {
                shift.isWriting = false;
                shift.nextWriteAt = clock.now() + pauseMilliseconds;
            });
    };

    const writeStage = (shift: TrackedShift, state: ShiftState): void => {
        const { order } = shift;
        write(
            shift,
            [
                {
                    table: "nodes",
                    key: stateKey(order.service),
                    value: JSON.stringify({ ...state, epoch: replica.epoch }),
                },
                options.encodeReport(order, state.stage),
            ],
            replica.stored(stateKey(order.service))?.revision ?? 0,
        );
    };

    const storeTime = (): number | undefined => {
        const offset = options.clockOffset();
        return offset === undefined ? undefined : clock.now() + offset;
    };

    const loadTestOf = ({ state, order }: TrackedShift): LoadTest | undefined => {
        const time = storeTime();
        if (state?.stage !== "canary" || time === undefined) {
            return undefined;
        }
        const phase = loadTestPhase(time - state.startedAt, order.durationMilliseconds, settingsOf(order));
        const load = phase === undefined ? undefined : options.loadOf(order.service, order.version);
        return phase === undefined || load === undefined
            ? undefined
            : {
                  phase,
                  upstreams: testedUpstreamCount(load),
              };
    };

    const singleShare = ({ state, order, traffic }: TrackedShift, loadTest: LoadTest | undefined): number => {
        const time = storeTime();
        return state === undefined || time === undefined
            ? 0
            : planCanaryShare(
                  {
                      progress: (time - state.startedAt) / order.durationMilliseconds,
                      traffic,
                      nodeCount: options.nodeCount(),
                      upstreamCount: options.upstreamCount(order.service, order.version),
                      phase: loadTest?.phase,
                  },
                  settingsOf(order),
              );
    };

    /** Cache of the sessions that all nodes collected, by service; cleared when the rows change. */
    const collectedByService = new Map<string, ReadonlySet<string>>();
    replica.onChange(changes => {
        if (changes.some(change => change.key.startsWith(SESSIONS_PREFIX))) {
            collectedByService.clear();
        }
    });

    const collectedSessions = (order: ShiftOrder): ReadonlySet<string> => {
        let sessions = collectedByService.get(order.service);
        if (sessions === undefined) {
            const rows = replica
                .list(`${SESSIONS_PREFIX}${order.service}/`)
                .flatMap(row => readSessions(row) ?? [])
                .filter(row => row.orderRevision === order.revision);
            sessions = new Set(rows.flatMap(row => row.sessions));
            collectedByService.set(order.service, sessions);
        }
        return sessions;
    };

    const reportSessions = (shift: TrackedShift): void => {
        const row: SessionsRow = { orderRevision: shift.order.revision, sessions: [...shift.sessions] };
        const key = `${SESSIONS_PREFIX}${shift.order.service}/${options.node}`;
        write(shift, [{ table: "nodes", key, value: JSON.stringify(row) }], undefined, () => {
            shift.hasReportedSessions = true;
        });
    };

    const evidenceKey = (service: string): string => `${EVIDENCE_PREFIX}${service}/${options.node}`;

    /** Cache of the merged evidence of the other nodes, by service; cleared when the rows change. */
    const reportedByService = new Map<string, EvidenceTable>();
    replica.onChange(changes => {
        if (changes.some(change => change.key.startsWith(EVIDENCE_PREFIX))) {
            reportedByService.clear();
        }
    });

    const mergedEvidence = (shift: TrackedShift): EvidenceTable => {
        const { service, revision } = shift.order;
        let others = reportedByService.get(service);
        if (others === undefined) {
            const rows = replica
                .list(`${EVIDENCE_PREFIX}${service}/`)
                .filter(row => row.key !== evidenceKey(service))
                .flatMap(row => readEvidence(row) ?? [])
                .filter(row => row.orderRevision === revision);
            others = mergeEvidence(rows.map(row => decodeEvidence(row.evidence)));
            reportedByService.set(service, others);
        }
        return mergeEvidence([shift.evidence, others]);
    };

    const isFullReporter = (): boolean => finalReportPosition * options.nodeCount() < FULL_REPORTERS;

    const reportEvidence = (shift: TrackedShift, progress: number, mergedAnswers: number): void => {
        const { answers, referenceAnswers, errors, slowAnswers } = assessEvidence(shift.evidence);
        const badAnswers = errors + slowAnswers;
        const allAnswers = answers + referenceAnswers;
        const isConfirming = shift.isSuspicious && allAnswers > shift.reportedAnswers * REPORT_GROWTH_RATIO;
        const finalShare = FINAL_REPORT_SHARE + finalReportPosition * (1 - FINAL_REPORT_SHARE);
        const isFinalReport =
            !shift.hasReportedAnswers &&
            answers > 0 &&
            mergedAnswers < SUFFICIENT_ANSWERS &&
            progress >= settingsOf(shift.order).fullAt * finalShare;
        // All callers are about to depend on the version, and reports of nodes with errors alone are biased.
        const isFullReport =
            shift.state?.stage === "full" && isFullReporter() && allAnswers > shift.reportedAnswers;
        const isDue = isFullReport || clock.now() - shift.reportedAt >= EVIDENCE_INTERVAL_MILLISECONDS;
        if (
            !isDue ||
            !(badAnswers > shift.reportedBadAnswers || isConfirming || isFinalReport || isFullReport)
        ) {
            return;
        }
        const row: EvidenceRow = {
            orderRevision: shift.order.revision,
            evidence: encodeEvidence(shift.evidence),
        };
        const key = evidenceKey(shift.order.service);
        const onWritten = (): void => {
            shift.reportedBadAnswers = badAnswers;
            shift.reportedAnswers = allAnswers;
            shift.hasReportedAnswers ||= isFinalReport;
        };
        // Evidence has its own interval. A pause after it would delay a roll-back or a completion.
        write(shift, [{ table: "nodes", key, value: JSON.stringify(row) }], undefined, onWritten, 0);
        shift.reportedAt = clock.now();
    };

    /**
     * Tests the merged evidence, with time for all nodes to report, and this node's evidence without a delay.
     */
    const assess = (shift: TrackedShift): EvidenceAssessment => {
        const merged = assessEvidence(mergedEvidence(shift));
        const now = clock.now();
        shift.isSuspicious =
            merged.isDoubtful ||
            Math.max(merged.errorLogRatio, merged.latencyLogRatio) > SUSPICIOUS_LOG_RATIO;
        shift.regressionSince = merged.isRegression ? (shift.regressionSince ?? now) : undefined;
        const isConfirmed = now - (shift.regressionSince ?? now) >= CONFIRMATION_MILLISECONDS;
        const nodeAssessment = assessEvidence(shift.evidence, options.nodeCount());
        return { ...merged, isRegression: isConfirmed || nodeAssessment.isRegression };
    };

    /** A process that crashes, or cannot be reached, ends many attempts at once: only the first one counts. */
    const isAboutVersion = (
        { silentProcesses }: TrackedShift,
        outcome: AnswerOutcome,
        process: string,
    ): boolean => {
        if (outcome === "succeeded" || outcome === "failed") {
            silentProcesses.delete(process);
            return true;
        }
        const isKnown = silentProcesses.has(process);
        silentProcesses.add(process);
        return !isKnown;
    };

    const isAssessmentDue = (shift: TrackedShift, progress: number): boolean => {
        const { fullAt, completeAt, decideAt } = settingsOf(shift.order);
        const isDecision = [fullAt, completeAt, decideAt].some(
            at => progress >= at && shift.assessedProgress < at,
        );
        const interval = progress < fullAt ? EARLY_ASSESSMENT_MILLISECONDS : FULL_ASSESSMENT_MILLISECONDS;
        return isDecision || clock.now() - shift.assessedAt >= interval;
    };

    const advance = (shift: TrackedShift): void => {
        const { order } = shift;
        const stored = readStoredState(order);
        const stageBefore = shift.state?.stage;
        if (stored !== undefined) {
            mergeState(shift, stored, "store");
        }
        if (shift.state?.stage !== stageBefore) {
            // The pause after a write is for its row to arrive.
            shift.nextWriteAt = Math.min(shift.nextWriteAt, clock.now());
        }
        if (shift.epoch !== replica.epoch) {
            shift.epoch = replica.epoch;
            shift.nextWriteAt = clock.now() + firstWriteDelay(order.revision);
        }
        const time = storeTime();
        if (time === undefined || shift.isWriting || clock.now() < shift.nextWriteAt) {
            return;
        }
        if (shift.state === undefined) {
            writeStage(shift, {
                orderRevision: order.revision,
                version: order.version,
                stage: "canary",
                startedAt: time - (clock.now() - shift.receivedAt),
            });
            return;
        }
        const isWritten = stored?.stage === shift.state.stage && (stored.epoch ?? 0) >= replica.epoch;
        if (!isWritten && (stored !== undefined || order.replaces !== undefined)) {
            writeStage(shift, shift.state);
            return;
        }
        if (
            !shift.hasReportedSessions &&
            shift.sessions.size > 0 &&
            shift.state.stage === "canary" &&
            !isCollecting(order, shift.state, time, settingsOf(order))
        ) {
            reportSessions(shift);
            return;
        }
        const progress = (time - shift.state.startedAt) / order.durationMilliseconds;
        if (!isAssessmentDue(shift, progress)) {
            return;
        }
        shift.assessedAt = clock.now();
        shift.assessedProgress = progress;
        const assessment = assess(shift);
        const stage = nextStage(order, shift.state, assessment, time, settingsOf(order));
        if (stage !== undefined) {
            const level = stage === "rolled-back" ? "warn" : "info";
            logger[level](STAGE_MESSAGES[stage], {
                service: order.service,
                version: order.version,
                answers: assessment.answers,
                errors: assessment.errors,
                referenceAnswers: assessment.referenceAnswers,
                referenceErrors: assessment.referenceErrors,
                errorLogRatio: Math.round(assessment.errorLogRatio * 10) / 10,
                latencyLogRatio: Math.round(assessment.latencyLogRatio * 10) / 10,
                errorExcess: Math.round(assessment.errorExcess * 10) / 10,
                groups: describeEvidence(mergedEvidence(shift)),
            });
        }
        if (stage === "rolled-back") {
            // Takes effect at this node before the write, and so also while the store is unreachable.
            mergeState(shift, { ...shift.state, stage }, "evidence");
        }
        if (stage !== undefined) {
            writeStage(shift, { ...shift.state, stage });
            return;
        }
        reportEvidence(shift, progress, assessment.answers);
    };

    const ruleOf = (service: string): VersionRule => {
        const order = options.orders().find(candidate => candidate.service === service);
        if (order === undefined) {
            return NO_RULE;
        }
        const stored = readStoredState(order);
        const known = shifts.get(service);
        const tracked = known !== undefined && isSameOrder(known.order, order) ? known : undefined;
        const trackedState = tracked?.state;
        const state =
            stored !== undefined && trackedState !== undefined
                ? laterState(stored, trackedState)
                : (stored ?? trackedState);
        const sessions = tracked?.sessions;
        const loadTest = tracked === undefined ? undefined : loadTestOf(tracked);
        const view: ShiftView = {
            storeTime: storeTime(),
            isCollected: sessionKey =>
                sessions?.has(sessionKey) === true || collectedSessions(order).has(sessionKey),
            singleShare: tracked === undefined ? 0 : singleShare(tracked, loadTest),
            loadTest,
        };
        return versionRule(order, state, view, settingsOf(order));
    };

    options.lifecycle.add({
        name: "shifts",
        start: () => {
            const timer = setInterval(() => {
                options.orders().forEach(order => advance(trackShift(order)));
            }, TICK_MILLISECONDS);
            return () => clearInterval(timer);
        },
    });

    return {
        rule: ruleOf,
        preference: (service, request, failedVersions) =>
            versionPreference(ruleOf(service), request, failedVersions),
        recordSend: (service, version, sessionKey) => {
            const shift = shifts.get(service);
            if (shift !== undefined) {
                shift.traffic = {
                    attempts: shift.traffic.attempts + 1,
                    newAttempts: shift.traffic.newAttempts + (version === shift.order.version ? 1 : 0),
                };
            }
            if (
                sessionKey !== undefined &&
                shift?.state?.stage === "canary" &&
                isCollecting(shift.order, shift.state, storeTime(), settingsOf(shift.order)) &&
                isCanarySession(sessionKey, settingsOf(shift.order))
            ) {
                shift.sessions.add(sessionKey);
            }
        },
        record: (service, version, group, outcome, timing, process) => {
            const shift = shifts.get(service);
            const stage = shift?.state?.stage;
            if (shift === undefined || !isOpen(stage) || !isAboutVersion(shift, outcome, process)) {
                return;
            }
            const isNew = version === shift.order.version;
            const period = evidencePeriod(shift.order, shift.state!, storeTime());
            shift.evidence = countEvidence(shift.evidence, group, period, isNew, outcome, timing);
        },
        states: () =>
            new Map(
                [...shifts].flatMap(([service, { state }]) =>
                    state === undefined ? [] : [[service, state]],
                ),
            ),
    };
}
