/**
 * Rules of traffic shifts: a shift moves a service's requests to a new version of its upstreams, and rolls
 * back when the version shows a regression. Pure functions.
 *
 * The state of a shift is one row that any node may advance with a conditional write; stages only move
 * forward. During the canary stage a fixed share of the sessions runs on the new version. This bounds the
 * exposure to a faulty version over the whole shift, and a session keeps its version. The stage begins with a
 * collection period, in which all sessions run on the old version and the nodes collect the active ones. They
 * started before the shift and stay on the old version at every node.
 */
import { hashToUnit } from "../common/hash.js";
import type { VersionPreference } from "../upstream-table/upstream-choice.js";
import type { LoadTestPhase } from "./exposure-plan.js";

/** The operators' request to shift a service. */
export interface ShiftOrder {
    readonly service: string;
    /** The new version. */
    readonly version: string;
    readonly durationMilliseconds: number;
    /** Revision of the order's row; distinguishes orders for the same version. */
    readonly revision: number;
    /** Revision of the same order before a restored store had lost it. */
    readonly replaces?: number;
    /** When this node learned of the order, on its own clock, milliseconds. */
    readonly receivedAt?: number;
}

export type ShiftStage = "canary" | "full" | "completed" | "rolled-back";

export interface ShiftState {
    readonly orderRevision: number;
    readonly version: string;
    readonly stage: ShiftStage;
    /** Start of the shift on the store's clock, milliseconds. */
    readonly startedAt: number;
    /** Epoch of the store in which the state and its report were written. Earlier versions do not write it. */
    readonly epoch?: number;
}

export interface ShiftSettings {
    /** Time without a request after which a session has ended, milliseconds. */
    readonly sessionMilliseconds: number;
    /** Maximum length of the collection period, as a share of the shift's duration. */
    readonly collectShare: number;
    /** Share of the sessions on the new version during the canary stage. */
    readonly canaryShare: number;
    /** Requests on the new version during the canary stage in addition to the share, over all nodes. */
    readonly canaryRequests: number;
    /** Share of the duration after which a version without a regression starts to get more sessions. */
    readonly fullAt: number;
    /** Share of the duration after which the new version gets all sessions. */
    readonly fullBy: number;
    /** Share of the duration after which the shift is completed, unless its evidence is in doubt. */
    readonly completeAt: number;
    /** Share of the duration after which a shift in doubt is rolled back. */
    readonly decideAt: number;
}

/**
 * Order in which stages replace each other. Nothing replaces a completion, at which the old upstreams stop. A
 * node rolls back before it writes so, and may find the shift completed when it reaches the store again.
 */
const STAGE_ORDER: readonly ShiftStage[] = ["canary", "full", "rolled-back", "completed"];

/** Whether two rows are the same order; `second` may have been written again in a restored store. */
export function isSameOrder(first: ShiftOrder, second: ShiftOrder): boolean {
    return (
        first.version === second.version &&
        (first.revision === second.revision || first.revision === second.replaces)
    );
}

/** A restored store can give the revision of a lost order to one for another version. */
export function isStateOf(state: ShiftState, order: ShiftOrder): boolean {
    return state.orderRevision === order.revision && state.version === order.version;
}

/** Returns the later of two states of the same order. */
export function laterState(first: ShiftState, second: ShiftState): ShiftState {
    return STAGE_ORDER.indexOf(second.stage) > STAGE_ORDER.indexOf(first.stage) ? second : first;
}

/** Inputs to the version rule besides the state of the shift. */
export interface ShiftView {
    /** Time on the store's clock, milliseconds; `undefined` while unknown. */
    readonly storeTime: number | undefined;
    /** Whether any node collected the session. */
    readonly isCollected: (sessionKey: string) => boolean;
    /** Share of this node's requests without a session on the new version during the canary stage. */
    readonly singleShare: number;
    /** Load test that the requests without a session run. */
    readonly loadTest?: LoadTest;
}

export interface LoadTest {
    readonly phase: LoadTestPhase;
    /** Number of upstreams of that version that get the requests. */
    readonly upstreams: number;
}

/** What decides the version of a request. */
export interface ShiftedRequest {
    /** Key of the session; an own key for a request without a session. */
    readonly key: string;
    /** Whether other requests with the key may have come before, or will come. */
    readonly isSession: boolean;
    /** Version on which the session last ran, if it is known and has not expired. */
    readonly lastVersion: string | undefined;
}

/** Whether the shift is in its collection period. True while the store's clock is unknown. */
export function isCollecting(
    order: ShiftOrder,
    state: ShiftState,
    storeTime: number | undefined,
    settings: ShiftSettings,
): boolean {
    const collectionMilliseconds = Math.min(
        settings.sessionMilliseconds,
        settings.collectShare * order.durationMilliseconds,
    );
    return storeTime === undefined || storeTime < state.startedAt + collectionMilliseconds;
}

function sessionPoint(sessionKey: string): number {
    return hashToUnit(`shift\u0000${sessionKey}`);
}

/** Whether a session that starts during the canary stage runs on the new version. */
export function isCanarySession(sessionKey: string, settings: ShiftSettings): boolean {
    return sessionPoint(sessionKey) < settings.canaryShare;
}

/**
 * Share of the sessions on the new version during the full stage. It ramps up, because the new upstreams
 * would otherwise get every session at once, without a cached prompt.
 */
function fullStageShare(
    order: ShiftOrder,
    state: ShiftState,
    storeTime: number | undefined,
    settings: ShiftSettings,
): number {
    if (storeTime === undefined) {
        return 1;
    }
    const progress = (storeTime - state.startedAt) / order.durationMilliseconds;
    const ramp = (progress - settings.fullAt) / (settings.fullBy - settings.fullAt);
    return settings.canaryShare + (1 - settings.canaryShare) * Math.min(1, Math.max(0, ramp));
}

/** Number of periods of equal length in which the answers of a shift are counted. */
const EVIDENCE_PERIODS = 4;

/** Period of the shift at a time on the store's clock, from 0 on. */
export function evidencePeriod(order: ShiftOrder, state: ShiftState, storeTime: number | undefined): number {
    const progress = ((storeTime ?? state.startedAt) - state.startedAt) / order.durationMilliseconds;
    return Math.min(EVIDENCE_PERIODS - 1, Math.max(0, Math.floor(progress * EVIDENCE_PERIODS)));
}

export interface VersionRule {
    /** Whether requests may go to a version. */
    readonly isAllowed: (version: string) => boolean;
    /** Whether a request should run on the new version; `undefined` when there is no preference. */
    readonly prefersNew: ((request: ShiftedRequest) => boolean) | undefined;
    readonly newVersion: string | undefined;
    /** Share of the requests that prefer the new version. */
    readonly newShare: number;
    /** Whether a request that prefers the old version may run on the new one when it finds no other. */
    readonly mayOverflow: boolean;
    readonly loadTest?: LoadTest;
}

/** Rule of a service that is not shifted. */
export const NO_RULE: VersionRule = {
    isAllowed: () => true,
    prefersNew: undefined,
    newVersion: undefined,
    newShare: 1,
    mayOverflow: true,
};

/** Derives which version a request of a shifted service prefers. */
export function versionPreference(
    { prefersNew, newVersion, newShare, mayOverflow, loadTest }: VersionRule,
    request: ShiftedRequest,
    failedVersions: ReadonlySet<string>,
): VersionPreference | undefined {
    if (prefersNew === undefined || newVersion === undefined) {
        return undefined;
    }
    const testedUpstreams = (phase: LoadTestPhase): number | undefined =>
        loadTest?.phase === phase && !request.isSession && failedVersions.size === 0
            ? loadTest.upstreams
            : undefined;
    // A failure of the new version may be its fault: the old one is the better choice for the retry.
    return prefersNew(request) && !failedVersions.has(newVersion)
        ? {
              matches: version => version === newVersion,
              upstreamShare: newShare,
              testedUpstreams: testedUpstreams("new version"),
              allowsOthers: true,
          }
        : {
              matches: version => version !== newVersion,
              upstreamShare: 1,
              testedUpstreams: testedUpstreams("old version"),
              allowsOthers: mayOverflow,
          };
}

/** Derives which versions of a service may get requests. Ignores a state that belongs to another order. */
export function versionRule(
    order: ShiftOrder | undefined,
    state: ShiftState | undefined,
    view: ShiftView,
    settings: ShiftSettings,
): VersionRule {
    if (order === undefined) {
        return NO_RULE;
    }
    const current = state?.orderRevision === order.revision ? state : undefined;
    const newVersion = order.version;
    switch (current?.stage) {
        // The new version gets no requests until the start of the shift is stored.
        case undefined:
        case "rolled-back":
            return { ...NO_RULE, isAllowed: version => version !== newVersion, newVersion };
        case "canary":
            return {
                isAllowed: () => true,
                prefersNew: ({ key, isSession, lastVersion }) => {
                    if (!isSession) {
                        return sessionPoint(key) < view.singleShare;
                    }
                    return (
                        !isCollecting(order, current, view.storeTime, settings) &&
                        !view.isCollected(key) &&
                        (lastVersion === undefined
                            ? isCanarySession(key, settings)
                            : lastVersion === newVersion)
                    );
                },
                newVersion,
                newShare: Math.max(settings.canaryShare, view.singleShare),
                mayOverflow: view.singleShare > 0 || view.loadTest?.phase === "old version",
                loadTest: view.loadTest,
            };
        case "full": {
            const share = fullStageShare(order, current, view.storeTime, settings);
            return {
                isAllowed: () => true,
                prefersNew: ({ key, isSession }) =>
                    sessionPoint(key) < (isSession ? share : Math.max(share, view.singleShare)),
                newVersion,
                newShare: 1,
                mayOverflow: true,
            };
        }
        case "completed":
            return { ...NO_RULE, isAllowed: version => version === newVersion, newVersion };
    }
}

export interface ShiftEvidence {
    readonly isRegression: boolean;
    /** A regression is more likely than not, but not certain. */
    readonly isDoubtful: boolean;
    /** Counted answers of the new version. */
    readonly answers: number;
}

/** Answers of the new version that are required for the full stage. */
export const MINIMUM_ANSWERS = 8;

/**
 * Returns the next stage, or `undefined` when the shift stays in its stage. A completed shift cannot be undone,
 * so a version in doubt waits for more evidence, and is rolled back when there is no time for more.
 */
export function nextStage(
    order: ShiftOrder,
    state: ShiftState,
    evidence: ShiftEvidence,
    storeTime: number,
    settings: ShiftSettings,
): ShiftStage | undefined {
    if (state.stage === "completed" || state.stage === "rolled-back") {
        return undefined;
    }
    const progress = (storeTime - state.startedAt) / order.durationMilliseconds;
    if (evidence.isRegression || (evidence.isDoubtful && progress >= settings.decideAt)) {
        return "rolled-back";
    }
    if (evidence.isDoubtful || evidence.answers === 0) {
        return undefined;
    }
    if (progress >= settings.completeAt) {
        return "completed";
    }
    const mayIncrease = progress >= settings.fullAt && evidence.answers >= MINIMUM_ANSWERS;
    return state.stage === "canary" && mayIncrease ? "full" : undefined;
}
