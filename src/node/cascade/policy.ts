/**
 * Cascade policy: selects the step at which a request starts, and decides from the judge's score whether the
 * answer suffices or the request escalates to a larger model.
 *
 * Decides per workspace, cascade and task kind, from the statistics, the plan computed from them, the time
 * and random numbers. Performs no I/O.
 */
import type { Random } from "../common/random.js";
import {
    CONTROLLER_GAIN,
    EPOCH_MILLISECONDS,
    EXPLORATION_SHARES,
    FROM_START,
    MAXIMUM_CORRECTION,
    MAXIMUM_TASK_KINDS,
    MAXIMUM_PENDING_RATINGS,
    OTHER_TASK_KINDS,
    PLAN_INTERVAL_MILLISECONDS,
    MAXIMUM_RATING_AGE_MILLISECONDS,
    SCORE_RANGES,
    WELL_SAMPLED_RATINGS,
} from "./constants.js";
import { createEstimates, stateIndex } from "./estimates.js";
import type { Estimates } from "./estimates.js";
import { createPlan } from "./plan.js";
import type { KindRule, Plan } from "./plan.js";
import { cascadeDigestSchema, createStatistics } from "./statistics.js";
import type { CascadeDigest, CascadeState } from "./statistics.js";

/** Expected cost and duration of one step, that is, of one model of the cascade. */
export interface CascadeStep {
    /** Expected cost of an answer, in the currency of the configuration; the prior of the measured cost. */
    readonly cost: number;
    /** Expected time until the answer is complete and judged. */
    readonly milliseconds: number;
}

export interface CascadeRequest<Request> {
    readonly id: string;
    readonly workspace: string;
    readonly cascade: string;
    /**
     * Cheapest first, as in the configuration. A step without capacity can be given `Infinity` milliseconds.
     */
    readonly steps: readonly CascadeStep[];
    /** Target for the average rating, as a share of the rating of the last step, 0 to 1. */
    readonly qualityTarget: number;
    /** Time until the deadline. */
    readonly remainingMilliseconds: number;
    /** Argument of `taskKind`. */
    readonly request: Request;
}

/** Position of a request in its cascade. Immutable: an escalation returns a new path. */
export interface CascadePath {
    readonly requestId: string;
    readonly scope: string;
    readonly kind: string;
    readonly step: number;
    /** Score range of the previous step, or `FROM_START`. */
    readonly from: number;
    /** Rule of the plan for the task kind; `undefined` while the plan has none. */
    readonly rule: KindRule | undefined;
    readonly qualityTarget: number;
    readonly steps: readonly CascadeStep[];
}

export type CascadeDecision =
    /** Deliver this answer to the caller. */
    | { readonly kind: "answer" }
    /** Send the request to the model of `path.step`. */
    | { readonly kind: "escalate"; readonly path: CascadePath };

export interface StepResult {
    /** Cost of this step's answer. */
    readonly cost: number;
    /** Judge's score, 0 to 1. Absent at the last step and after a failure of the judge. */
    readonly score?: number;
    readonly remainingMilliseconds: number;
}

export interface CascadePolicy<Request> {
    /** Chooses the first step. */
    start(request: CascadeRequest<Request>, now: number): CascadePath;
    /** Records the result of `path.step` and decides whether to deliver the answer or escalate. */
    next(path: CascadePath, result: StepResult, now: number): CascadeDecision;
    /** Records the rating of an answer, 0 to 1. Returns false when no answer of the request waits for one. */
    rate(requestId: string, rating: number, now: number): boolean;
    digest(): CascadeDigest;
    /** Merges the digest of another node. @throws z.ZodError when it is malformed. */
    merge(digest: unknown): void;
    dump(): unknown;
}

export interface CascadePolicyOptions<Request> {
    /** Node and incarnation; identifies this node's counters in digests. */
    readonly source: string;
    /** Short name of the kind of task, for example the request's purpose or the first words of its prompt. */
    readonly taskKind: (request: Request) => string;
    readonly random: Random;
    /** Milliseconds since the Unix epoch, so that all nodes use the same periods. */
    readonly wallTime: () => number;
    /**
     * Margin for the error of the estimates, added to the quality target.
     *
     * @default 0.005
     */
    readonly targetMargin?: number;
}

/** State of one workspace's cascade. */
interface Scope {
    plan: Plan | undefined;
    estimates: Estimates;
    plannedAt: number;
    /** Output of the integral controller: scaled integral of target rating minus observed rating. */
    correction: number;
    readonly kinds: Set<string>;
    lastRatingAt: number;
}

interface PendingRating {
    readonly state: CascadeState;
    readonly epoch: number;
    readonly qualityTarget: number;
}

function ratingCountAt(scope: Scope, kind: string, step: number, range: number, from: number): number {
    return scope.estimates.kinds.get(kind)?.ratingCounts[stateIndex(step, range, from)] ?? 0;
}

function scoreRange(score: number): number {
    return Math.min(SCORE_RANGES - 1, Math.max(0, Math.floor(score * SCORE_RANGES)));
}

/** Returns the first step after `step` that is expected to end within the remaining milliseconds. */
function nextFittingStep(steps: readonly CascadeStep[], step: number, remaining: number): number | undefined {
    const index = steps.findIndex(({ milliseconds }, i) => i > step && milliseconds <= remaining);
    return index < 0 ? undefined : index;
}

export function createCascadePolicy<Request>(options: CascadePolicyOptions<Request>): CascadePolicy<Request> {
    const statistics = createStatistics(options.source);
    const scopes = new Map<string, Scope>();
    const pending = new Map<string, PendingRating>();
    const margin = options.targetMargin ?? 0.005;

    const epochNow = (): number => Math.floor(options.wallTime() / EPOCH_MILLISECONDS);

    const scopeOf = (name: string, steps: readonly CascadeStep[], now: number): Scope => {
        let scope = scopes.get(name);
        if (scope === undefined) {
            const costs = steps.map(({ cost }) => cost);
            scope = {
                plan: undefined,
                estimates: createEstimates([], costs),
                plannedAt: -Infinity,
                correction: 0,
                kinds: new Set(),
                lastRatingAt: now,
            };
            scopes.set(name, scope);
        }
        return scope;
    };

    const areRatingsFresh = (scope: Scope, now: number): boolean =>
        now - scope.lastRatingAt <= MAXIMUM_RATING_AGE_MILLISECONDS;

    const updatePlan = (name: string, scope: Scope, request: CascadeRequest<Request>, now: number): void => {
        const isDue = now - scope.plannedAt >= PLAN_INTERVAL_MILLISECONDS;
        if (!isDue || (scope.plan !== undefined && !areRatingsFresh(scope, now))) {
            return;
        }
        scope.plannedAt = now;
        const costs = request.steps.map(({ cost }) => cost);
        scope.estimates = createEstimates(statistics.totals(name), costs);
        if (scope.estimates.kinds.size > 0) {
            scope.plan = createPlan(scope.estimates, request.qualityTarget + margin, scope.correction);
        }
    };

    /**
     * Whether this request explores the alternative action. Without recent ratings there is nothing to gain
     * from it.
     */
    const shouldExplore = (scope: Scope, ratings: number, now: number): boolean => {
        if (!areRatingsFresh(scope, now)) {
            return false;
        }
        const share =
            ratings < WELL_SAMPLED_RATINGS ? EXPLORATION_SHARES.underSampled : EXPLORATION_SHARES.wellSampled;
        return options.random() < share;
    };

    const chooseStart = (scope: Scope, kind: string, rule: KindRule | undefined, now: number): number => {
        const last = scope.estimates.steps - 1;
        const start = rule?.start ?? 0;
        const others = Array.from({ length: last + 1 }, (_, step) => step).filter(step => step !== start);
        const other = others[Math.floor(options.random() * others.length)];
        if (other === undefined) {
            return start;
        }
        const ranges = other === last ? [0] : Array.from({ length: SCORE_RANGES }, (_, range) => range);
        const ratingCount = Math.max(
            ...ranges.map(range => ratingCountAt(scope, kind, other, range, FROM_START)),
        );
        return shouldExplore(scope, ratingCount, now) ? other : start;
    };

    /**
     * Returns `start`, or another step when the deadline leaves no time for `start` and an escalation to the
     * last step.
     */
    const fitStartToDeadline = (start: number, request: CascadeRequest<Request>): number => {
        const { steps, remainingMilliseconds } = request;
        const last = steps.length - 1;
        const isTooLate = (step: number): boolean => steps[step]!.milliseconds > remainingMilliseconds;
        const leavesTimeForLastStep = (step: number): boolean =>
            step === last || steps[step]!.milliseconds + steps[last]!.milliseconds <= remainingMilliseconds;
        if (leavesTimeForLastStep(start) && !isTooLate(start)) {
            return start;
        }
        // There is no time for an escalation, so start at the largest model that can answer in time.
        const fitting = steps.findLastIndex((_, step) => !isTooLate(step));
        if (fitting >= 0) {
            return fitting;
        }
        return steps.reduce(
            (fastest, { milliseconds }, step) =>
                milliseconds < steps[fastest]!.milliseconds ? step : fastest,
            0,
        );
    };

    const recordPendingRating = (path: CascadePath, state: CascadeState): void => {
        pending.set(path.requestId, { state, epoch: epochNow(), qualityTarget: path.qualityTarget });
        if (pending.size > MAXIMUM_PENDING_RATINGS) {
            pending.delete(pending.keys().next().value!);
        }
    };

    const shouldEscalate = (path: CascadePath, state: CascadeState, now: number): boolean => {
        const scope = scopes.get(path.scope);
        const index = stateIndex(state.step, state.range, state.from);
        const planned = path.rule?.escalate[index] ?? state.range < SCORE_RANGES / 2;
        if (scope === undefined) {
            return planned;
        }
        const nextStep = Math.min(state.step + 1, scope.estimates.steps - 1);
        const ratings = planned
            ? ratingCountAt(scope, state.kind, state.step, state.range, state.from)
            : ratingCountAt(scope, state.kind, nextStep, 0, state.range);
        return shouldExplore(scope, ratings, now) ? !planned : planned;
    };

    return {
        start: (request, now) => {
            const name = `${request.workspace}/${request.cascade}`;
            const scope = scopeOf(name, request.steps, now);
            updatePlan(name, scope, request, now);
            const wanted = options.taskKind(request.request);
            const isKnown = scope.kinds.has(wanted) || scope.kinds.size < MAXIMUM_TASK_KINDS;
            const kind = isKnown ? wanted : OTHER_TASK_KINDS;
            scope.kinds.add(kind);
            const planRule =
                options.random() < (scope.plan?.costlierShare ?? 1)
                    ? scope.plan?.costlierRule
                    : scope.plan?.cheaperRule;
            const rule = planRule?.kinds.get(kind);
            return {
                requestId: request.id,
                scope: name,
                kind,
                step: fitStartToDeadline(chooseStart(scope, kind, rule, now), request),
                from: FROM_START,
                rule,
                qualityTarget: request.qualityTarget,
                steps: request.steps,
            };
        },
        next: (path, result, now) => {
            const last = path.steps.length - 1;
            const range = path.step === last ? 0 : scoreRange(result.score ?? 0.5);
            const state = { scope: path.scope, kind: path.kind, step: path.step, range, from: path.from };
            const scope = scopes.get(path.scope);
            if (scope === undefined || areRatingsFresh(scope, now)) {
                statistics.add(state, { visits: 1, cost: result.cost }, epochNow());
            }
            const step = nextFittingStep(path.steps, path.step, result.remainingMilliseconds);
            if (step === undefined || !shouldEscalate(path, state, now)) {
                recordPendingRating(path, state);
                return { kind: "answer" };
            }
            return { kind: "escalate", path: { ...path, step, from: range } };
        },
        rate: (requestId, rating, now) => {
            const entry = pending.get(requestId);
            if (entry === undefined) {
                return false;
            }
            pending.delete(requestId);
            const clamped = Math.min(1, Math.max(0, rating));
            statistics.add(entry.state, { ratings: 1, ratingSum: clamped }, entry.epoch);
            const scope = scopes.get(entry.state.scope);
            if (scope !== undefined) {
                scope.lastRatingAt = now;
                if (scope.plan !== undefined) {
                    const wanted = (entry.qualityTarget + margin) * scope.plan.bestRating;
                    const next = scope.correction + CONTROLLER_GAIN * (wanted - clamped);
                    scope.correction = Math.max(-MAXIMUM_CORRECTION, Math.min(MAXIMUM_CORRECTION, next));
                }
            }
            return true;
        },
        digest: () => statistics.digest(),
        merge: digest => statistics.merge(cascadeDigestSchema.parse(digest)),
        dump: () => ({
            entries: statistics.size(),
            pendingRatings: pending.size,
            scopes: Object.fromEntries(
                [...scopes].map(([name, scope]) => [
                    name,
                    {
                        kinds: [...scope.kinds],
                        correction: scope.correction,
                        expected: scope.plan?.costlierRule.expected,
                        dearShare: scope.plan?.costlierShare,
                        best: scope.plan?.bestRating,
                    },
                ]),
            ),
        }),
    };
}
