/**
 * Decides how many upstreams a service needs in a data centre. Pure.
 *
 * Designed for services of 13 to 32 upstreams that serve 8 s after an order and are billed per second. Requests
 * that come meanwhile must find room, so the need is computed for upstreams that are not full. A rise is followed
 * in one step once it has lasted for the boot time: a shorter burst is over before a new upstream serves. A fall is
 * followed by one upstream at a time, after it has lasted much longer: an upstream that is missing costs late
 * answers, one too many costs some seconds of its price.
 */

/** How far a service may be scaled in each data centre, from its configuration. */
export interface ScalingRule {
    readonly minimum: number;
    readonly maximum: number;
    /** Time from an order until a new upstream serves, milliseconds. */
    readonly bootMilliseconds: number;
}

/** Demand at the upstreams of a service in a data centre, measured at one time. */
export interface DemandSample {
    /** Monotonic time, milliseconds. */
    readonly at: number;
    /** Upstreams that serve. */
    readonly upstreams: number;
    /** Requests that they process at the same time, in total. */
    readonly slots: number;
    /** Requests in flight at them, including those that wait there. */
    readonly requests: number;
    /** Prompt tokens that they have not read yet. */
    readonly pendingTokens: number;
    /** Memory that the requests occupy, in tokens. */
    readonly heldTokens: number;
    /** Memory of all of them, in tokens; `undefined` for services without models. */
    readonly capacityTokens: number | undefined;
    /** Requests that this node rejected since the last sample because no upstream had room. */
    readonly rejections: number;
    /** Whether the loads of at least half of the nodes are known. */
    readonly isComplete: boolean;
}

/** Reasons that forbid a reduction. */
export interface ScalingSituation {
    /** A shift of the service to another version is under way. */
    readonly isShifting: boolean;
    /** A data centre is evacuated. */
    readonly isEvacuating: boolean;
    readonly isStoreAway: boolean;
}

export interface ScalingInputs extends ScalingSituation {
    readonly now: number;
    readonly rule: ScalingRule;
    /** Samples of the last `HISTORY_MILLISECONDS`, oldest first. */
    readonly samples: readonly DemandSample[];
    /** The order in force and the monotonic time at which this node learned of it. */
    readonly ordered: { readonly desiredCount: number; readonly at: number } | undefined;
}

export interface ScalingDecision {
    readonly desiredCount: number;
    readonly reason: string;
    /** Upstreams that the lasting demand needs. */
    readonly needed: number;
    readonly current: number;
}

/** Share of the slots that should be busy: the rest takes a rise by two thirds during the boot time. */
const BUSY_SHARE = 0.6;

/** Share of the slots that may be busy after a reduction. Lower, so that a reduction is not followed by a rise. */
const BUSY_SHARE_AFTER_REDUCTION = 0.5;

/** Share of the memory of engines that may be occupied. */
const MEMORY_SHARE = 0.75;

/** Time within which an engine should have read the prompts that it has, milliseconds. */
const READ_MILLISECONDS = 300;

/** Prompt tokens that an engine reads in a millisecond. The slowest engines that were measured read 45. */
const TOKENS_PER_MILLISECOND = 45;

/** Time over which samples are averaged, milliseconds: single long prompts must not count as a level. */
const AVERAGE_MILLISECONDS = 2000;

/** Minimum time for which the demand must have been low before a reduction, milliseconds. */
const MINIMUM_LOW_MILLISECONDS = 30_000;

/** Boot times for which the demand must have been low, and time between reductions in boot times. */
const LOW_BOOT_TIMES = 3;
const REDUCTION_BOOT_TIMES = 1.5;

/** Minimum time between two reductions, milliseconds. */
const MINIMUM_REDUCTION_MILLISECONDS = 10_000;

/** Time for which samples are kept, milliseconds: boot times of up to 30 s. */
export const HISTORY_MILLISECONDS = 100_000;

/** Share of the average that a period must have, so that the samples cover it. */
const COVERED_SHARE = 0.9;

interface AveragedDemand {
    readonly at: number;
    readonly sample: DemandSample;
}

/** Averages the samples over periods of `AVERAGE_MILLISECONDS`. */
function average(samples: readonly DemandSample[]): readonly AveragedDemand[] {
    const groups = new Map<number, DemandSample[]>();
    for (const sample of samples) {
        const index = Math.floor(sample.at / AVERAGE_MILLISECONDS);
        groups.set(index, [...(groups.get(index) ?? []), sample]);
    }
    return [...groups].map(([, group]) => {
        const mean = (read: (sample: DemandSample) => number): number =>
            group.reduce((sum, sample) => sum + read(sample), 0) / group.length;
        const last = group.at(-1)!;
        return {
            at: group[0]!.at,
            sample: {
                ...last,
                upstreams: mean(sample => sample.upstreams),
                slots: mean(sample => sample.slots),
                requests: mean(sample => sample.requests),
                pendingTokens: mean(sample => sample.pendingTokens),
                heldTokens: mean(sample => sample.heldTokens),
                rejections: group.reduce((sum, sample) => sum + sample.rejections, 0),
            },
        };
    });
}

/** Upstreams that a demand needs, so that a share of their slots is busy. */
function neededFor(sample: DemandSample, busyShare: number): number {
    if (sample.upstreams === 0) {
        return 0;
    }
    const slots = Math.max(1, sample.slots / sample.upstreams);
    const memory = (sample.capacityTokens ?? 0) / sample.upstreams;
    const byRequests = sample.requests / (slots * busyShare);
    const byTokens = sample.pendingTokens / (TOKENS_PER_MILLISECOND * READ_MILLISECONDS);
    const byMemory = memory === 0 ? 0 : sample.heldTokens / (memory * MEMORY_SHARE);
    // Rejected requests are not in flight, so the measured demand is too low.
    const byRejections = sample.rejections > 0 ? sample.upstreams + 1 : 0;
    return Math.ceil(Math.max(byRequests, byTokens, byMemory, byRejections));
}

function lasting(
    averages: readonly AveragedDemand[],
    milliseconds: number,
    now: number,
): readonly AveragedDemand[] | undefined {
    const recent = averages.filter(({ at }) => at >= now - milliseconds - AVERAGE_MILLISECONDS);
    const covered = recent.length * AVERAGE_MILLISECONDS;
    return covered >= milliseconds * COVERED_SHARE ? recent : undefined;
}

function clamp(count: number, { minimum, maximum }: ScalingRule): number {
    return Math.min(maximum, Math.max(minimum, count));
}

function mayReduce(inputs: ScalingInputs): boolean {
    return !inputs.isShifting && !inputs.isEvacuating && !inputs.isStoreAway;
}

/** Returns the number to order; `undefined` when the one in force is right. */
export function decideScaling(inputs: ScalingInputs): ScalingDecision | undefined {
    const { now, rule, samples, ordered } = inputs;
    const averages = average(samples);
    const rise = lasting(averages, rule.bootMilliseconds, now);
    if (rise === undefined || inputs.isStoreAway) {
        return undefined;
    }
    const serving = Math.max(...rise.map(({ sample }) => Math.round(sample.upstreams)));
    const current = ordered?.desiredCount ?? serving;
    if (serving === 0) {
        return undefined;
    }
    const needed = Math.min(...rise.map(({ sample }) => neededFor(sample, BUSY_SHARE)));
    const target = clamp(needed, rule);
    if (current < rule.minimum) {
        return { desiredCount: target, reason: "below the minimum", needed, current };
    }
    if (target > current) {
        return { desiredCount: target, reason: "the demand has risen", needed, current };
    }
    const lowMilliseconds = Math.max(MINIMUM_LOW_MILLISECONDS, LOW_BOOT_TIMES * rule.bootMilliseconds);
    const pause = Math.max(MINIMUM_REDUCTION_MILLISECONDS, REDUCTION_BOOT_TIMES * rule.bootMilliseconds);
    const fall = lasting(averages, lowMilliseconds, now);
    const isSettled = ordered === undefined || now - ordered.at >= pause;
    if (fall === undefined || !isSettled || !mayReduce(inputs) || current <= rule.minimum) {
        return undefined;
    }
    if (!samples.filter(({ at }) => at >= now - lowMilliseconds).every(({ isComplete }) => isComplete)) {
        return undefined;
    }
    const peak = Math.max(...fall.map(({ sample }) => neededFor(sample, BUSY_SHARE_AFTER_REDUCTION)));
    return peak < current || current > rule.maximum
        ? {
              desiredCount: clamp(current - 1, rule),
              reason: current > rule.maximum ? "above the maximum" : "the demand has fallen",
              needed: peak,
              current,
          }
        : undefined;
}
