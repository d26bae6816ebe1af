/** Derives the schedule of shifts from the operators' bound on the exposure to a faulty version. */
import type { ShiftSettings } from "./shift.js";

export interface ShiftBounds {
    /** Maximum share of a service's requests that may run on a faulty new version. */
    readonly exposureShare: number;
    /** Time without a request after which a session has ended, milliseconds. */
    readonly sessionMilliseconds: number;
}

/**
 * Used share of the exposure limit. The rest is a margin, because sessions differ in their number of
 * requests.
 */
const USED_EXPOSURE_SHARE = 0.7;

/** Maximum share of a shift's duration for collecting running sessions. */
const COLLECT_SHARE = 0.25;

/** Shares of a shift's duration: start and end of the ramp to all sessions, and completion. */
const FULL_AT = 0.5;
const FULL_BY = 0.65;
const COMPLETE_AT = 0.8;

export function resolveShiftSettings(bounds: ShiftBounds): ShiftSettings {
    return {
        sessionMilliseconds: bounds.sessionMilliseconds,
        collectShare: COLLECT_SHARE,
        canaryShare: bounds.exposureShare * USED_EXPOSURE_SHARE,
        fullAt: FULL_AT,
        fullBy: FULL_BY,
        completeAt: COMPLETE_AT,
    };
}
