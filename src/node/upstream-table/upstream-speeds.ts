/**
 * Speed of each upstream's process and model, learnt from the requests of all nodes: prompt speed from the time to
 * the first event, step time from the pace of events, and the time of work of plain services.
 *
 * Designed for engines whose speeds differ by 0.7 to 1.7 and that pause: 15% of the requests take 2.5 times as
 * long. A node sees few requests of each of some tens of engines, so nodes share what they learnt. All averages are
 * of logarithms, and one request moves them by a bounded amount.
 */
import { createBoundedMap } from "../common/bounded-map.js";
import type { BoundedMap } from "../common/bounded-map.js";

/** What is measured: prompt tokens per millisecond, relative time of a step, or milliseconds of plain work. */
export type SpeedMeasure = "prompt" | "step" | "work";

/** Logarithm of a measured value and the number of requests behind it. */
type WireAverage = readonly [logarithm: number, requests: number];

/** What a node has measured at a process. */
export type WireSpeed = readonly [
    service: string,
    model: string,
    process: string,
    prompt: WireAverage,
    step: WireAverage,
    work: WireAverage,
];

/** Speed of a process, where nothing was measured that of the median of its service. */
export interface UpstreamSpeed {
    /** Prompt tokens of the largest model per millisecond; `undefined` when none was measured in the service. */
    readonly promptTokensPerMillisecond: number | undefined;
    /** Time of a step relative to `stepMilliseconds`. */
    readonly stepRatio: number;
    /** Time of a step relative to the median of the service. */
    readonly relativeStep: number;
    /** Time that a plain service works on a request, milliseconds; `undefined` when it was not measured. */
    readonly workMilliseconds: number | undefined;
    /** The same as the median of the service. */
    readonly medianWorkMilliseconds: number | undefined;
    /** Number of requests behind the speed of this process, at all nodes as far as reported. */
    readonly requests: number;
}

export interface UpstreamSpeeds {
    record(
        service: string,
        model: string,
        process: string,
        measure: SpeedMeasure,
        value: number,
        now: number,
    ): void;
    speedOf(service: string, model: string, process: string, now: number): UpstreamSpeed;
    merge(speeds: readonly WireSpeed[], now: number): void;
    /** Speeds for the other nodes; `undefined` when there are none to report now. */
    report(now: number): readonly WireSpeed[] | undefined;
}

/** Time of a step of an engine without requests, and what each running request adds, milliseconds. */
const IDLE_STEP_MILLISECONDS = 3.2;
const STEP_MILLISECONDS_PER_REQUEST = 0.1;

/** Requests that the median counts for in the average of a process. */
const PRIOR_REQUESTS = 2;

/** Requests for which an average counts at most; older ones fade. */
const MAXIMUM_REQUESTS = 20;

/** Requests for which the reports of all other nodes count at most. */
const MAXIMUM_REPORTED_REQUESTS = 60;

/** Largest difference of the logarithm by which one request counts: a factor of 1.5. */
const MAXIMUM_DIFFERENCE = Math.log(1.5);

/** Largest difference of a reported logarithm from the median: a factor of 4. */
const MAXIMUM_REPORTED_DIFFERENCE = Math.log(4);

/** Weight of the step time in the prompt speed, relative to measured prompts. The same hardware does both. */
const STEP_WEIGHT_FOR_PROMPTS = 0.5;

/** Time for which derived speeds are used before they are derived again, milliseconds. */
const DERIVED_VALIDITY_MILLISECONDS = 500;

/** Time without a measurement after which a process counts as gone, milliseconds. */
const EXPIRY_MILLISECONDS = 120_000;

/**
 * Interval between reports, and the number of processes in one. With 16 peers this is about 1 KB/s, of the 5 KB/s
 * that a node may use for control. Behind aggregating nodes it grows with the nodes, see docs/CAPACITY.md.
 */
const REPORT_INTERVAL_MILLISECONDS = 10_000;
const MAXIMUM_REPORTED_PROCESSES = 8;

/** Services with their models. */
const MAXIMUM_GROUPS = 256;

const MAXIMUM_PROCESSES = 4096;

const MEASURES = ["prompt", "step", "work"] as const;

interface Average {
    logarithm: number;
    requests: number;
}

interface ProcessState {
    readonly own: Readonly<Record<SpeedMeasure, Average>>;
    readonly reported: Readonly<Record<SpeedMeasure, Average>>;
    changedAt: number;
    /** Whether this node has measured something since its last report. */
    isNews: boolean;
}

interface Group {
    readonly service: string;
    readonly model: string;
    readonly processes: BoundedMap<ProcessState>;
    medians: Readonly<Record<SpeedMeasure, number | undefined>>;
    speeds: Map<string, UpstreamSpeed>;
    derivedAt: number;
}

function createAverages(): Record<SpeedMeasure, Average> {
    return {
        prompt: { logarithm: 0, requests: 0 },
        step: { logarithm: 0, requests: 0 },
        work: { logarithm: 0, requests: 0 },
    };
}

/** Expected time of a step of an engine at the speed of the median, milliseconds. */
export function stepMilliseconds(runningRequests: number): number {
    return IDLE_STEP_MILLISECONDS + STEP_MILLISECONDS_PER_REQUEST * runningRequests;
}

function clamp(value: number, limit: number): number {
    return Math.max(-limit, Math.min(limit, value));
}

function medianOf(values: readonly number[]): number | undefined {
    const sorted = [...values].sort((first, second) => first - second);
    const middle = Math.floor(sorted.length / 2);
    return sorted.length % 2 === 1
        ? sorted[middle]
        : sorted.length === 0
          ? undefined
          : (sorted[middle - 1]! + sorted[middle]!) / 2;
}

/** Average of what this node and the others measured. */
function combined({ own, reported }: ProcessState, measure: SpeedMeasure): Average {
    const [first, second] = [own[measure], reported[measure]];
    const requests = first.requests + second.requests;
    return requests === 0
        ? first
        : {
              logarithm: (first.logarithm * first.requests + second.logarithm * second.requests) / requests,
              requests,
          };
}

export function createUpstreamSpeeds(): UpstreamSpeeds {
    const groups = createBoundedMap<Group>(MAXIMUM_GROUPS);
    let reportedAt = -Infinity;

    const groupOf = (service: string, model: string): Group => {
        const key = `${service}\u0000${model}`;
        const known = groups.get(key);
        if (known !== undefined) {
            return known;
        }
        const group: Group = {
            service,
            model,
            processes: createBoundedMap(MAXIMUM_PROCESSES),
            medians: { prompt: undefined, step: undefined, work: undefined },
            speeds: new Map(),
            derivedAt: -Infinity,
        };
        groups.set(key, group);
        return group;
    };

    const stateOf = (group: Group, process: string, now: number): ProcessState => {
        const state = group.processes.get(process) ?? {
            own: createAverages(),
            reported: createAverages(),
            changedAt: now,
            isNews: false,
        };
        state.changedAt = now;
        group.processes.set(process, state);
        return state;
    };

    const derive = (group: Group, now: number): void => {
        if (now - group.derivedAt < DERIVED_VALIDITY_MILLISECONDS) {
            return;
        }
        group.derivedAt = now;
        for (const [process, { changedAt }] of [...group.processes.entries()]) {
            if (now - changedAt > EXPIRY_MILLISECONDS) {
                group.processes.delete(process);
            }
        }
        const states = [...group.processes.entries()].map(([, state]) => state);
        const median = (measure: SpeedMeasure): number | undefined =>
            medianOf(
                states
                    .map(state => combined(state, measure))
                    .filter(({ requests }) => requests > 0)
                    .map(({ logarithm }) => logarithm),
            );
        group.medians = { prompt: median("prompt"), step: median("step"), work: median("work") };
        group.speeds = new Map();
    };

    /** Logarithm of a process's ratio to the median, with the requests behind it. */
    const relative = (group: Group, state: ProcessState | undefined, measure: SpeedMeasure): Average => {
        const median = group.medians[measure];
        if (state === undefined || median === undefined) {
            return { logarithm: 0, requests: 0 };
        }
        const { logarithm, requests } = combined(state, measure);
        return { logarithm: logarithm - median, requests: Math.min(MAXIMUM_REQUESTS, requests) };
    };

    const deriveSpeed = (group: Group, process: string): UpstreamSpeed => {
        const state = group.processes.get(process);
        const [prompt, step, work] = MEASURES.map(measure => relative(group, state, measure)) as [
            Average,
            Average,
            Average,
        ];
        const stepWeight = STEP_WEIGHT_FOR_PROMPTS * step.requests;
        const promptLogarithm =
            (prompt.logarithm * prompt.requests - step.logarithm * stepWeight) /
            (prompt.requests + stepWeight + PRIOR_REQUESTS);
        const stepLogarithm = (step.logarithm * step.requests) / (step.requests + PRIOR_REQUESTS);
        const workLogarithm = (work.logarithm * work.requests) / (work.requests + PRIOR_REQUESTS);
        const { medians } = group;
        return {
            promptTokensPerMillisecond:
                medians.prompt === undefined ? undefined : Math.exp(medians.prompt + promptLogarithm),
            stepRatio: Math.exp((medians.step ?? 0) + stepLogarithm),
            relativeStep: Math.exp(stepLogarithm),
            workMilliseconds: medians.work === undefined ? undefined : Math.exp(medians.work + workLogarithm),
            medianWorkMilliseconds: medians.work === undefined ? undefined : Math.exp(medians.work),
            requests: Math.max(prompt.requests, step.requests, work.requests),
        };
    };

    return {
        record: (service, model, process, measure, value, now) => {
            if (!(value > 0)) {
                return;
            }
            const group = groupOf(service, model);
            derive(group, now);
            const state = stateOf(group, process, now);
            const average = state.own[measure];
            const logarithm = Math.log(value);
            if (average.requests === 0) {
                // One request of a process says little, so it counts as a deviation from the median.
                const median = group.medians[measure];
                average.logarithm =
                    median === undefined
                        ? logarithm
                        : median + clamp(logarithm - median, MAXIMUM_DIFFERENCE) / (1 + PRIOR_REQUESTS);
                average.requests = 1;
            }
            else {
                average.requests = Math.min(MAXIMUM_REQUESTS, average.requests + 1);
                average.logarithm +=
                    clamp(logarithm - average.logarithm, MAXIMUM_DIFFERENCE) / average.requests;
            }
            state.isNews = true;
        },
        speedOf: (service, model, process, now) => {
            const group = groupOf(service, model);
            derive(group, now);
            const known = group.speeds.get(process);
            if (known !== undefined) {
                return known;
            }
            const speed = deriveSpeed(group, process);
            group.speeds.set(process, speed);
            return speed;
        },
        merge: (speeds, now) => {
            for (const [service, model, process, ...averages] of speeds) {
                const group = groupOf(service, model);
                derive(group, now);
                const state = stateOf(group, process, now);
                MEASURES.forEach((measure, index) => {
                    const [logarithm, requests] = averages[index]!;
                    if (requests <= 0) {
                        return;
                    }
                    const median = group.medians[measure];
                    const bounded =
                        median === undefined
                            ? logarithm
                            : median + clamp(logarithm - median, MAXIMUM_REPORTED_DIFFERENCE);
                    const average = state.reported[measure];
                    const count = Math.min(MAXIMUM_REQUESTS, requests);
                    const sum = average.requests + count;
                    average.logarithm += ((bounded - average.logarithm) * count) / sum;
                    average.requests = Math.min(MAXIMUM_REPORTED_REQUESTS, sum);
                });
            }
        },
        report: now => {
            if (now - reportedAt < REPORT_INTERVAL_MILLISECONDS) {
                return undefined;
            }
            const news = [...groups.entries()].flatMap(([, group]) =>
                [...group.processes.entries()]
                    .filter(([, state]) => state.isNews)
                    .map(([process, state]) => ({ group, process, state })),
            );
            if (news.length === 0) {
                return undefined;
            }
            reportedAt = now;
            // The oldest news first, so that all get their turn.
            const chosen = news
                .sort((first, second) => first.state.changedAt - second.state.changedAt)
                .slice(0, MAXIMUM_REPORTED_PROCESSES);
            return chosen.map(({ group, process, state }): WireSpeed => {
                state.isNews = false;
                const wire = ({ logarithm, requests }: Average): WireAverage => [
                    Math.round(logarithm * 100) / 100,
                    requests,
                ];
                const { prompt, step, work } = state.own;
                return [group.service, group.model, process, wire(prompt), wire(step), wire(work)];
            });
        },
    };
}
