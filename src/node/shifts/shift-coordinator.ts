/**
 * Advances the shifts of all services: records their state and this node's evidence in the store, and takes
 * over what other nodes recorded. Any node may write; a condition on the row decides races.
 */
import type { Clock } from "../common/clock.js";
import { hashToUnit } from "../common/hash.js";
import type { AttemptTiming } from "../forwarding/attempt.js";
import type { Lifecycle } from "../lifecycle/lifecycle.js";
import type { Logger } from "../logging/logging.js";
import type { RowReplica } from "../replica/row-replica.js";
import type { RowWrite, SharedStore } from "../replica/shared-store.js";
import { LEAST_ANSWERS, isCanarySession, isCollecting, laterState, nextStage, versionRule } from "./shift.js";
import type { ShiftOrder, ShiftSettings, ShiftStage, ShiftState, ShiftView, VersionRule } from "./shift.js";
import {
    assessEvidence,
    countEvidence,
    decodeEvidence,
    encodeEvidence,
    mergeEvidence,
} from "./shift-evidence.js";
import type { EvidenceAssessment, EvidenceTable, WireEvidence } from "./shift-evidence.js";

export interface ShiftCoordinator {
    rule(service: string): VersionRule;
    /** Notes that a request of a session is sent, so that the session keeps its version. */
    recordSession(service: string, sessionKey: string): void;
    /** Takes the outcome of an attempt as evidence. */
    record(
        service: string,
        version: string,
        stratum: string,
        succeeded: boolean,
        timing: AttemptTiming,
    ): void;
    states(): ReadonlyMap<string, ShiftState>;
}

export interface ShiftCoordinatorOptions {
    readonly node: string;
    readonly orders: () => readonly ShiftOrder[];
    readonly replica: RowReplica;
    readonly store: SharedStore;
    /** Offset of the store's clock from the process's monotonic clock, milliseconds; `undefined` when not known. */
    readonly clockOffset: () => number | undefined;
    readonly nodeCount: () => number;
    /** Encodes the report of a shift for the operators. */
    readonly encodeReport: (order: ShiftOrder, stage: ShiftStage) => RowWrite;
    readonly settings: ShiftSettings;
    readonly clock: Clock;
    readonly lifecycle: Lifecycle;
    readonly logger: Logger;
}

/** Time between looks at the shifts, milliseconds. */
const TICK_MILLISECONDS = 200;

/** Time over which the nodes spread their first write for an order, milliseconds, so that one comes first. */
const SPREAD_MILLISECONDS = 400;

/** Time between two reports of evidence, milliseconds. A fraction of the time allowed to go back. */
const EVIDENCE_INTERVAL_MILLISECONDS = 700;

/** Time after a failed write, milliseconds. */
const WRITE_RETRY_MILLISECONDS = 500;

/** Logarithm of a likelihood ratio from which on every node reports its evidence. */
const SUSPICIOUS_LOG_RATIO = 0.5;

/**
 * Time for which the evidence of all nodes must call a version bad, milliseconds: an interval between reports and the
 * way through the store. Nodes with errors report first, and their evidence alone misleads.
 */
const HEARING_MILLISECONDS = 1200;

/** Growth of a node's answers since its last report from which on it reports again. Below the slack of the test. */
const REPORTED_GROWTH = 1.3;

/**
 * Share of the time to the full stage from which nodes without errors report their evidence, one after the other,
 * until the answers suffice.
 */
const FINAL_EVIDENCE_SHARE = 0.8;

/** Answers of the new version that are enough for the full stage, with as many again for rows on their way. */
const SOUND_ANSWERS = 2 * LEAST_ANSWERS;

interface LocalShift {
    readonly order: ShiftOrder;
    readonly seenAt: number;
    /** Sessions of the canary's share that this node saw while sessions were collected. */
    readonly sessions: Set<string>;
    hasReportedSessions: boolean;
    evidence: EvidenceTable;
    /** Errors of the new version and answers of both at the last report. */
    reportedErrors: number;
    reportedAnswers: number;
    hasReportedAnswers: boolean;
    /** The evidence of all nodes is suspicious, so that every node reports. */
    isSuspicious: boolean;
    /** Since when the evidence of all nodes has called the version bad; `undefined` while it does not. */
    alarmedSince: number | undefined;
    reportedAt: number;
    nextWriteAt: number;
    /** What this node decided or read, whichever is later. */
    state: ShiftState | undefined;
    writing: boolean;
}

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

const NO_VIEW: ShiftView = { storeTime: undefined, isCollected: () => false };

function stateKey(service: string): string {
    return `shift/${service}`;
}

export function createShiftCoordinator(options: ShiftCoordinatorOptions): ShiftCoordinator {
    const { replica, store, clock, logger, settings } = options;
    /** Place of this node, from 0 to 1, in the order in which nodes without errors report. */
    const finalDelay = hashToUnit(`final\u0000${options.node}`);
    const shifts = new Map<string, LocalShift>();

    const readState = (order: ShiftOrder): ShiftState | undefined => {
        const row = replica.get(stateKey(order.service));
        const state = row === undefined ? undefined : (JSON.parse(row.value!) as ShiftState);
        return state?.orderRevision === order.revision ? state : undefined;
    };

    const shiftOf = (order: ShiftOrder): LocalShift => {
        const known = shifts.get(order.service);
        if (known?.order.revision === order.revision) {
            return known;
        }
        const now = clock.now();
        const shift: LocalShift = {
            order,
            seenAt: now,
            sessions: new Set(),
            hasReportedSessions: false,
            evidence: {},
            reportedErrors: 0,
            reportedAnswers: 0,
            isSuspicious: false,
            alarmedSince: undefined,
            hasReportedAnswers: false,
            reportedAt: 0,
            nextWriteAt: now + hashToUnit(`${options.node}\u0000${order.revision}`) * SPREAD_MILLISECONDS,
            state: undefined,
            writing: false,
        };
        shifts.set(order.service, shift);
        reported.delete(order.service);
        logger.info("Learned of a shift.", {
            service: order.service,
            version: order.version,
            durationMilliseconds: order.durationMilliseconds,
        });
        return shift;
    };

    const adopt = (shift: LocalShift, state: ShiftState, source: string): void => {
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

    /** @param onWritten Called when the rows are in the store; what is noted as reported must be noted there. */
    const write = (
        shift: LocalShift,
        writes: readonly RowWrite[],
        stateRevision: number | undefined,
        onWritten: () => void = () => undefined,
    ): void => {
        shift.writing = true;
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
            .transact({ conditions, writes })
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
                shift.writing = false;
                shift.nextWriteAt = clock.now() + WRITE_RETRY_MILLISECONDS;
            });
    };

    const writeStage = (shift: LocalShift, state: ShiftState): void => {
        const { order } = shift;
        write(
            shift,
            [
                { table: "nodes", key: stateKey(order.service), value: JSON.stringify(state) },
                options.encodeReport(order, state.stage),
            ],
            replica.get(stateKey(order.service))?.revision ?? 0,
        );
    };

    const storeTime = (): number | undefined => {
        const offset = options.clockOffset();
        return offset === undefined ? undefined : clock.now() + offset;
    };

    /** Sessions that other nodes collected, by service; read again when the rows change. */
    const collected = new Map<string, ReadonlySet<string>>();
    replica.onChange(changes => {
        if (changes.some(change => change.key.startsWith(SESSIONS_PREFIX))) {
            collected.clear();
        }
    });

    const collectedSessions = (order: ShiftOrder): ReadonlySet<string> => {
        let sessions = collected.get(order.service);
        if (sessions === undefined) {
            const rows = replica
                .list(`${SESSIONS_PREFIX}${order.service}/`)
                .map(row => JSON.parse(row.value!) as SessionsRow)
                .filter(row => row.orderRevision === order.revision);
            sessions = new Set(rows.flatMap(row => row.sessions));
            collected.set(order.service, sessions);
        }
        return sessions;
    };

    const reportSessions = (shift: LocalShift): void => {
        const row: SessionsRow = { orderRevision: shift.order.revision, sessions: [...shift.sessions] };
        const key = `${SESSIONS_PREFIX}${shift.order.service}/${options.node}`;
        write(shift, [{ table: "nodes", key, value: JSON.stringify(row) }], undefined, () => {
            shift.hasReportedSessions = true;
        });
    };

    const ownEvidenceKey = (service: string): string => `${EVIDENCE_PREFIX}${service}/${options.node}`;

    /** Sum of what the other nodes reported, by service; added up again when the rows change. */
    const reported = new Map<string, EvidenceTable>();
    replica.onChange(changes => {
        if (changes.some(change => change.key.startsWith(EVIDENCE_PREFIX))) {
            reported.clear();
        }
    });

    const mergedEvidence = (shift: LocalShift): EvidenceTable => {
        const { service, revision } = shift.order;
        let others = reported.get(service);
        if (others === undefined) {
            const rows = replica
                .list(`${EVIDENCE_PREFIX}${service}/`)
                .filter(row => row.key !== ownEvidenceKey(service))
                .map(row => JSON.parse(row.value!) as EvidenceRow)
                .filter(row => row.orderRevision === revision);
            others = mergeEvidence(rows.map(row => decodeEvidence(row.evidence)));
            reported.set(service, others);
        }
        return mergeEvidence([shift.evidence, others]);
    };

    const reportEvidence = (shift: LocalShift, progress: number, knownAnswers: number): void => {
        const { answers, referenceAnswers, errors, latencyLogRatio } = assessEvidence(shift.evidence);
        const allAnswers = answers + referenceAnswers;
        const hasNewErrors = errors > shift.reportedErrors || latencyLogRatio > SUSPICIOUS_LOG_RATIO;
        const isAsked = shift.isSuspicious && allAnswers > shift.reportedAnswers * REPORTED_GROWTH;
        const finalShare = FINAL_EVIDENCE_SHARE + finalDelay * (1 - FINAL_EVIDENCE_SHARE);
        const isFinal =
            !shift.hasReportedAnswers &&
            answers > 0 &&
            knownAnswers < SOUND_ANSWERS &&
            progress >= settings.fullAt * finalShare;
        const isDue = clock.now() - shift.reportedAt >= EVIDENCE_INTERVAL_MILLISECONDS;
        if (!isDue || !(hasNewErrors || isAsked || isFinal)) {
            return;
        }
        const row: EvidenceRow = {
            orderRevision: shift.order.revision,
            evidence: encodeEvidence(shift.evidence),
        };
        const key = ownEvidenceKey(shift.order.service);
        write(shift, [{ table: "nodes", key, value: JSON.stringify(row) }], undefined, () => {
            shift.reportedErrors = errors;
            shift.reportedAnswers = allAnswers;
            shift.hasReportedAnswers ||= isFinal;
        });
        shift.reportedAt = clock.now();
    };

    /** Tests the evidence of all nodes once all had time to report, and this node's own at any time. */
    const assess = (shift: LocalShift): EvidenceAssessment => {
        const merged = assessEvidence(mergedEvidence(shift));
        const now = clock.now();
        shift.isSuspicious = Math.max(merged.errorLogRatio, merged.latencyLogRatio) > SUSPICIOUS_LOG_RATIO;
        shift.alarmedSince = merged.isBad ? (shift.alarmedSince ?? now) : undefined;
        const isHeard = now - (shift.alarmedSince ?? now) >= HEARING_MILLISECONDS;
        const own = assessEvidence(shift.evidence, options.nodeCount());
        return { ...merged, isBad: isHeard || own.isBad };
    };

    const advance = (shift: LocalShift): void => {
        const { order } = shift;
        const stored = readState(order);
        if (stored !== undefined) {
            adopt(shift, stored, "store");
        }
        const time = storeTime();
        if (time === undefined || shift.writing || clock.now() < shift.nextWriteAt) {
            return;
        }
        if (shift.state === undefined) {
            writeStage(shift, {
                orderRevision: order.revision,
                version: order.version,
                stage: "canary",
                startedAt: time,
            });
            return;
        }
        if (stored !== undefined && shift.state.stage !== stored.stage) {
            writeStage(shift, shift.state);
            return;
        }
        if (
            !shift.hasReportedSessions &&
            shift.sessions.size > 0 &&
            shift.state.stage === "canary" &&
            !isCollecting(order, shift.state, time, settings)
        ) {
            reportSessions(shift);
            return;
        }
        const progress = (time - shift.state.startedAt) / order.durationMilliseconds;
        const assessment = assess(shift);
        const stage = nextStage(order, shift.state, assessment, time, settings);
        if (stage === "rolled-back") {
            logger.warn("The new version is bad; going back.", {
                service: order.service,
                version: order.version,
                answers: assessment.answers,
                errors: assessment.errors,
                errorLogRatio: Math.round(assessment.errorLogRatio * 10) / 10,
                latencyLogRatio: Math.round(assessment.latencyLogRatio * 10) / 10,
            });
            // This node goes back at once, whether or not the store can be reached.
            adopt(shift, { ...shift.state, stage }, "evidence");
        }
        if (stage !== undefined) {
            writeStage(shift, { ...shift.state, stage });
            return;
        }
        reportEvidence(shift, progress, assessment.answers);
    };

    options.lifecycle.add({
        name: "shifts",
        start: () => {
            const timer = setInterval(() => {
                options.orders().forEach(order => advance(shiftOf(order)));
            }, TICK_MILLISECONDS);
            return () => clearInterval(timer);
        },
    });

    return {
        rule: service => {
            const order = options.orders().find(candidate => candidate.service === service);
            if (order === undefined) {
                return versionRule(undefined, undefined, NO_VIEW, settings);
            }
            const stored = readState(order);
            const local = shifts.get(service);
            const localState = local?.order.revision === order.revision ? local.state : undefined;
            const state =
                stored !== undefined && localState !== undefined
                    ? laterState(stored, localState)
                    : (stored ?? localState);
            const sessions = local?.order.revision === order.revision ? local.sessions : undefined;
            const view: ShiftView = {
                storeTime: storeTime(),
                isCollected: sessionKey =>
                    sessions?.has(sessionKey) === true || collectedSessions(order).has(sessionKey),
            };
            return versionRule(order, state, view, settings);
        },
        recordSession: (service, sessionKey) => {
            const shift = shifts.get(service);
            if (
                shift?.state?.stage === "canary" &&
                isCollecting(shift.order, shift.state, storeTime(), settings) &&
                isCanarySession(sessionKey, settings)
            ) {
                shift.sessions.add(sessionKey);
            }
        },
        record: (service, version, stratum, succeeded, timing) => {
            const shift = shifts.get(service);
            const stage = shift?.state?.stage;
            if (shift === undefined || (stage !== "canary" && stage !== "full")) {
                return;
            }
            const isNew = version === shift.order.version;
            shift.evidence = countEvidence(shift.evidence, stratum, isNew, succeeded, timing);
        },
        states: () =>
            new Map(
                [...shifts].flatMap(([service, { state }]) =>
                    state === undefined ? [] : [[service, state]],
                ),
            ),
    };
}
