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
const CANARY_PART = 0.4;

/** Maximum share of a shift's duration after the canary stage. */
const MAXIMUM_FINAL_PART = 0.5;

/** Parts of the time after the canary stage at which the ramp and the shift are completed, or given up when in doubt. */
const RAMP_PART = 0.6;
const COMPLETE_PART = 0.65;
const DECIDE_PART = 0.85;

/** Maximum share of a shift's duration for collecting running sessions. */
const COLLECT_SHARE = 0.25;

export interface ShiftBounds {
    /** Maximum share of a service's requests that may run on a faulty new version. */
    readonly exposureShare: number;
    /** Time without a request after which a session has ended, milliseconds. */
    readonly sessionMilliseconds: number;
}

export function resolveShiftSettings({ exposureShare, sessionMilliseconds }: ShiftBounds): ShiftSettings {
    const usedShare = exposureShare * USED_SHARE;
    // The ramp counts half, the time after it in full.
    const finalPart = Math.min(MAXIMUM_FINAL_PART, ((1 - CANARY_PART) * usedShare) / (1 - RAMP_PART / 2));
    const fullAt = 1 - finalPart;
    return {
        sessionMilliseconds,
        collectShare: COLLECT_SHARE,
        canaryShare: (CANARY_PART * usedShare) / fullAt,
        fullAt,
        fullBy: fullAt + RAMP_PART * finalPart,
        completeAt: fullAt + COMPLETE_PART * finalPart,
        decideAt: fullAt + DECIDE_PART * finalPart,
    };
}
