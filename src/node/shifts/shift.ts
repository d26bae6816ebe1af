/**
 * Moves a service's requests to a new version of its upstreams, and back when it turns out bad. Pure.
 *
 * The state lies in one row that any node may advance under a condition; a node never goes back in the order
 * of stages. During the canary stage a fixed share of the sessions runs on the new version, so that the
 * exposure to a bad version is bounded over the whole shift and a session keeps its version. The stage begins
 * with a time in which all sessions run on the old version and the nodes collect them: a session that goes on
 * from before the shift is seen then, and stays on the old version at every node.
 */
import { hashToUnit } from "../common/hash.js";

/** What the operators ask for. */
export interface ShiftOrder {
    readonly service: string;
    /** Version to move to. */
    readonly version: string;
    readonly durationMilliseconds: number;
    /** Revision of the order's row; tells orders for the same version apart. */
    readonly revision: number;
}

export type ShiftStage = "canary" | "full" | "completed" | "rolled-back";

export interface ShiftState {
    readonly orderRevision: number;
    readonly version: string;
    readonly stage: ShiftStage;
    /** Time on the store's clock at which the shift began, milliseconds. */
    readonly startedAt: number;
}

export interface ShiftSettings {
    /** Time after which a session without requests has ended, milliseconds. */
    readonly sessionMilliseconds: number;
    /** Largest share of the duration in which sessions are collected. */
    readonly collectShare: number;
    /** Share of the sessions that run on the new version until it has proved itself. */
    readonly canaryShare: number;
    /** Share of the duration after which a sound version gets more and more of the sessions. */
    readonly fullAt: number;
    /** Share of the duration after which it gets all of them. */
    readonly fullBy: number;
    /** Share of the duration after which the shift is completed. */
    readonly completeAt: number;
}

const STAGE_ORDER: readonly ShiftStage[] = ["canary", "full", "completed", "rolled-back"];

/** Returns the later of two states of the same order. */
export function laterState(first: ShiftState, second: ShiftState): ShiftState {
    return STAGE_ORDER.indexOf(second.stage) > STAGE_ORDER.indexOf(first.stage) ? second : first;
}

/** What a node knows beside the state of a shift. */
export interface ShiftView {
    /** Time on the store's clock, milliseconds; `undefined` while it is not known. */
    readonly storeTime: number | undefined;
    /** Whether some node saw the session while sessions were collected. */
    readonly isCollected: (sessionKey: string) => boolean;
}

/** Returns whether the sessions that go on from before the shift are still being collected. */
export function isCollecting(
    order: ShiftOrder,
    state: ShiftState,
    storeTime: number | undefined,
    settings: ShiftSettings,
): boolean {
    const time = Math.min(settings.sessionMilliseconds, settings.collectShare * order.durationMilliseconds);
    return storeTime === undefined || storeTime < state.startedAt + time;
}

function pointOf(sessionKey: string): number {
    return hashToUnit(`shift\u0000${sessionKey}`);
}

/** Returns whether a session that begins during the canary stage runs on the new version. */
export function isCanarySession(sessionKey: string, settings: ShiftSettings): boolean {
    return pointOf(sessionKey) < settings.canaryShare;
}

/**
 * Returns the share of the sessions on the new version during the full stage. It grows over a time, so that the
 * new upstreams do not get every session at once without a cached prompt.
 */
function fullShare(
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

export interface VersionRule {
    /** Versions that may get requests; `undefined` for all. */
    readonly isAllowed: (version: string) => boolean;
    /**
     * Returns whether a session should run on the new version; `undefined` when there is no preference.
     *
     * @param lastVersion Version on which the session ran last, if it is recent.
     */
    readonly prefersNew: ((sessionKey: string, lastVersion: string | undefined) => boolean) | undefined;
    readonly newVersion: string | undefined;
}

const NO_RULE: VersionRule = { isAllowed: () => true, prefersNew: undefined, newVersion: undefined };

/** Returns where requests of a service may go, given its order and the state of the shift. */
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
        // Until the shift is recorded, the new version gets nothing.
        case undefined:
        case "rolled-back":
            return { isAllowed: version => version !== newVersion, prefersNew: undefined, newVersion };
        case "canary":
            return {
                isAllowed: () => true,
                prefersNew: (sessionKey, lastVersion) =>
                    !isCollecting(order, current, view.storeTime, settings) &&
                    !view.isCollected(sessionKey) &&
                    (lastVersion === undefined
                        ? isCanarySession(sessionKey, settings)
                        : lastVersion === newVersion),
                newVersion,
            };
        case "full": {
            const share = fullShare(order, current, view.storeTime, settings);
            return {
                isAllowed: () => true,
                prefersNew: sessionKey => pointOf(sessionKey) < share,
                newVersion,
            };
        }
        case "completed":
            return { isAllowed: version => version === newVersion, prefersNew: undefined, newVersion };
    }
}

export interface ShiftEvidence {
    readonly isBad: boolean;
    /** Answers of the new version that were counted. */
    readonly answers: number;
}

/** Answers that the new version must have given before it gets all requests. */
export const LEAST_ANSWERS = 8;

/** Returns the stage that the shift should go to now, or `undefined` to stay. */
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
    if (evidence.isBad) {
        return "rolled-back";
    }
    const progress = (storeTime - state.startedAt) / order.durationMilliseconds;
    if (state.stage === "canary" && progress >= settings.fullAt && evidence.answers >= LEAST_ANSWERS) {
        return "full";
    }
    return state.stage === "full" && progress >= settings.completeAt ? "completed" : undefined;
}
