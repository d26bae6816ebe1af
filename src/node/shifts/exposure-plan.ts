/**
 * Plans how many requests of a shift run on the new version, so that their number stays within the exposure
 * bounds even if a fault is never found. Pure functions.
 *
 * One part of the bound is spent on the canary stage, the rest on the end of the shift: the ramp to all
 * sessions, and the time from there to the end of the duration.
 */

import type { ShiftSettings } from "./shift.js";

/** Used part of the bounds. The rest is a margin, because traffic varies during a shift. */
const USED_SHARE = 0.9;

/** Part of the used bound that is spent on the canary stage. */
const CANARY_PART = 0.45;

/** Time before the end of the duration at which a shift is completed, milliseconds. */
const SETTLE_MILLISECONDS = 700;

/** Part of that time after which a version that is still in doubt is given up. */
const DOUBT_PART = 0.3;

/** Part of the full stage in which the share of the sessions increases. */
const RAMP_PART = 0.6;

/** Minimum and maximum length of the full stage, as shares of the duration. */
const MINIMUM_FULL_PART = 0.02;
const MAXIMUM_FULL_PART = 0.4;

/** Maximum part of the duration after the completion. */
const MAXIMUM_SETTLE_PART = 0.1;

/** Maximum share of a shift's duration for collecting running sessions. */
const COLLECT_SHARE = 0.25;

export interface ShiftBounds {
    /** Maximum share of a service's requests that may run on a faulty new version. */
    readonly exposureShare: number;
    /** Requests that may run on a faulty new version in addition to the share, over all nodes. */
    readonly exposureRequests: number;
    /** Time without a request after which a session has ended, milliseconds. */
    readonly sessionMilliseconds: number;
}

/** Derives the schedule of a shift from the bounds and its duration. */
export function resolveShiftSettings(bounds: ShiftBounds, durationMilliseconds: number): ShiftSettings {
    const usedShare = bounds.exposureShare * USED_SHARE;
    const settlePart = Math.min(
        MAXIMUM_SETTLE_PART,
        usedShare / 2,
        SETTLE_MILLISECONDS / durationMilliseconds,
    );
    // The ramp counts half, the time after it in full.
    const fullPart = Math.min(
        MAXIMUM_FULL_PART,
        Math.max(MINIMUM_FULL_PART * bounds.exposureShare, (1 - CANARY_PART) * usedShare - settlePart) /
            (1 - RAMP_PART / 2),
    );
    const completeAt = 1 - settlePart;
    const fullAt = completeAt - fullPart;
    return {
        sessionMilliseconds: bounds.sessionMilliseconds,
        collectShare: COLLECT_SHARE,
        canaryShare: (CANARY_PART * usedShare) / fullAt,
        canaryRequests: bounds.exposureRequests * USED_SHARE,
        fullAt,
        fullBy: fullAt + RAMP_PART * fullPart,
        completeAt,
        decideAt: completeAt + DOUBT_PART * settlePart,
    };
}

/** Attempts of one node at the upstreams of a service since the start of a shift. */
export interface ShiftTraffic {
    readonly attempts: number;
    /** Attempts at the new version. */
    readonly newAttempts: number;
}

/** Progress of a shift from which the traffic of its whole duration is estimated. */
const MINIMUM_PROGRESS = 0.05;

/** Maximum share of a node's requests during the canary stage. The others are the reference. */
const MAXIMUM_CANARY_SHARE = 0.5;

/** Part of the canary stage in which half of the even share is saved for the load test that follows. */
const SAVING_PART = 0.45;

/** Part of the even share that the load test leaves for the end of the canary stage. */
const FINAL_EVEN_PART = 0.25;

/** Lengths of the phases of a load test, milliseconds. The second one ends earlier at a node without exposure left. */
const OLD_VERSION_PHASE_MILLISECONDS = 1200;
const NEW_VERSION_PHASE_MILLISECONDS = 3000;

/** Share of the slots of the tested upstreams that the requests may fill. */
const TESTED_SLOTS_SHARE = 0.75;

/**
 * Version whose tested upstreams get all requests without a session. The old version is the control: both bear
 * the same requests, so queueing does not look like a fault of the new one.
 */
export type LoadTestPhase = "new version" | "old version";

/**
 * Returns the phase of the load test in the second part of the canary stage, the same at all nodes. `undefined`
 * before and after it.
 */
export function loadTestPhase(
    elapsedMilliseconds: number,
    durationMilliseconds: number,
    { fullAt }: ShiftSettings,
): LoadTestPhase | undefined {
    const canaryMilliseconds = fullAt * durationMilliseconds;
    const position = elapsedMilliseconds - SAVING_PART * canaryMilliseconds;
    if (position < 0 || elapsedMilliseconds >= canaryMilliseconds) {
        return undefined;
    }
    if (position < OLD_VERSION_PHASE_MILLISECONDS) {
        return "old version";
    }
    return position < OLD_VERSION_PHASE_MILLISECONDS + NEW_VERSION_PHASE_MILLISECONDS
        ? "new version"
        : undefined;
}

/** Load of a service. */
export interface ServiceLoad {
    /** Requests in flight at the upstreams of all versions. */
    readonly requestsInFlight: number;
    /** Slots of one upstream of the new version. */
    readonly slots: number;
}

/** Number of upstreams that a load test uses: one, unless the requests in flight would fill its slots. */
export function testedUpstreamCount({ requestsInFlight, slots }: ServiceLoad): number {
    return Math.max(1, Math.ceil(requestsInFlight / Math.max(1, slots * TESTED_SLOTS_SHARE)));
}

/** What the share of a canary depends on besides its schedule. */
export interface CanaryView {
    /** Elapsed share of the duration. */
    readonly progress: number;
    readonly traffic: ShiftTraffic;
    readonly nodeCount: number;
    /** Upstreams of the new version. */
    readonly upstreamCount: number;
    /** `undefined` when no load test runs. */
    readonly phase: LoadTestPhase | undefined;
}

/**
 * Returns the share of a node's requests without a session that run on the new version during the canary
 * stage. It spends the node's part of the bounds, so that services with few requests collect enough answers: a
 * little at first, then in a load test, and what is left until the end. 0 when nothing is left.
 *
 * Without a load test, one upstream gets as much as it would if all requests ran on the new version.
 */
export function planCanaryShare(
    { progress, traffic: { attempts, newAttempts }, nodeCount, upstreamCount, phase }: CanaryView,
    settings: ShiftSettings,
): number {
    if (progress < MINIMUM_PROGRESS) {
        return settings.canaryShare;
    }
    const expectedAttempts = Math.max(1, attempts) / progress;
    const allowed =
        settings.canaryShare * settings.fullAt * expectedAttempts + settings.canaryRequests / nodeCount;
    const shareOver = (requests: number, part: number): number =>
        Math.min(MAXIMUM_CANARY_SHARE, Math.max(0, requests) / (expectedAttempts * part));
    const evenShare = shareOver(
        allowed - newAttempts,
        Math.max(MINIMUM_PROGRESS, settings.fullAt - progress),
    );
    if (progress < SAVING_PART * settings.fullAt) {
        return evenShare / 2;
    }
    const isLoadTest = evenShare >= FINAL_EVEN_PART * shareOver(allowed, settings.fullAt);
    if (isLoadTest && phase !== undefined) {
        return phase === "new version" ? 1 : 0;
    }
    const loadShare = Math.min(MAXIMUM_CANARY_SHARE, 1 / Math.max(1, upstreamCount));
    return isLoadTest ? Math.max(evenShare, loadShare) : evenShare;
}
