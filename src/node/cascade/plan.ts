/**
 * Plans a workspace's cascade: finds the cheapest rule whose expected rating reaches the target.
 *
 * For a given price per unit of rating (a Lagrange multiplier), the best rule maximises
 * `price * rating - cost`. Backward induction finds that rule for each task kind, and bisection finds the
 * price. The plan mixes the two rules just below and just above the target, so that the expected rating
 * equals the target.
 */
import { FROM_START, SCORE_RANGES } from "./constants.js";
import { scoreRangeCount, stateIndex } from "./estimates.js";
import type { Estimates, KindEstimates } from "./estimates.js";

/** Expected rating of the delivered answer, and the expected cost from this point on. */
interface Outcome {
    readonly rating: number;
    readonly cost: number;
}

/** Decisions for one task kind. */
export interface KindRule {
    readonly start: number;
    /** Whether to escalate, by state; indexed by `stateIndex`. */
    readonly escalate: readonly boolean[];
}

export interface Rule {
    readonly kinds: ReadonlyMap<string, KindRule>;
    readonly expected: Outcome;
}

export interface Plan {
    /** Rule with an expected rating below the target, or the cheapest rule if that reaches the target. */
    readonly cheaperRule: Rule;
    /** Rule with an expected rating that reaches the target; if none does, the rule at the highest price. */
    readonly costlierRule: Rule;
    /** Share of the requests that follow the costlier rule, 0 to 1. */
    readonly costlierShare: number;
    /** Expected rating when every request goes directly to the last step. */
    readonly bestRating: number;
}

const BISECTION_STEPS = 30;

/** Weight of the indirect estimate of the last step's rating, in ratings. */
const INDIRECT_RATINGS = 100;

/** Expected outcome of a request that enters a step, given the outcome that follows each score range. */
function expectedOutcome(
    kind: KindEstimates,
    steps: number,
    step: number,
    from: number,
    outcomeOf: (range: number) => Outcome,
): Outcome {
    let rating = 0;
    let cost = kind.cost[step]!;
    for (let range = 0; range < scoreRangeCount(step, steps); range += 1) {
        const probability = kind.probability[stateIndex(step, range, from)]!;
        const outcome = outcomeOf(range);
        rating += probability * outcome.rating;
        cost += probability * outcome.cost;
    }
    return { rating, cost };
}

/** Returns the rule of a kind that maximises `price * rating - cost`. */
function createKindRule(
    kind: KindEstimates,
    steps: number,
    price: number,
): { rule: KindRule; expected: Outcome } {
    const escalate: boolean[] = [];
    const stepOutcomes: Outcome[][] = [];
    const netValue = ({ rating, cost }: Outcome): number => price * rating - cost;

    const evaluateStep = (step: number, from: number): Outcome =>
        expectedOutcome(kind, steps, step, from, range => {
            const index = stateIndex(step, range, from);
            const stop = { rating: kind.rating[index]!, cost: 0 };
            if (step === steps - 1) {
                return stop;
            }
            const escalation = stepOutcomes[step + 1]![range]!;
            const isBetter = netValue(escalation) > netValue(stop);
            escalate[index] = isBetter;
            return isBetter ? escalation : stop;
        });

    for (let step = steps - 1; step >= 0; step -= 1) {
        stepOutcomes[step] = Array.from({ length: FROM_START + 1 }, (_, from) => evaluateStep(step, from));
    }
    const starts = stepOutcomes.map(outcomes => outcomes[FROM_START]!);
    const start = starts.reduce(
        (best, outcome, step) => (netValue(outcome) > netValue(starts[best]!) ? step : best),
        0,
    );
    return { rule: { start, escalate }, expected: starts[start]! };
}

function createRule(estimates: Estimates, price: number): Rule {
    const kinds = new Map<string, KindRule>();
    let rating = 0;
    let cost = 0;
    for (const [name, kind] of estimates.kinds) {
        const { rule, expected } = createKindRule(kind, estimates.steps, price);
        kinds.set(name, rule);
        rating += kind.weight * expected.rating;
        cost += kind.weight * expected.cost;
    }
    return { kinds, expected: { rating, cost } };
}

/**
 * Returns the expected rating of a rule that starts at the first step and escalates below the highest score
 * range.
 */
function cautiousRating(kind: KindEstimates, steps: number): number {
    const evaluateStep = (step: number, from: number): number => {
        const outcomeOf = (range: number): Outcome => {
            const stops = step === steps - 1 || range === SCORE_RANGES - 1;
            const rating = stops
                ? kind.rating[stateIndex(step, range, from)]!
                : evaluateStep(step + 1, range);
            return { rating, cost: 0 };
        };
        return expectedOutcome(kind, steps, step, from, outcomeOf).rating;
    };
    return evaluateStep(0, FROM_START);
}

/**
 * Estimates the rating when every request goes directly to the last step.
 *
 * Few requests of an easy kind start at the last step, and exploring it is expensive, so the direct estimate
 * has few ratings. The rule of `cautiousRating` reaches about the same rating, and its states have many
 * ratings, so the two estimates are combined. The estimated rating of the best rule is not used: it would be
 * up to 0.02 too high, because planning prefers states whose estimates are too high.
 */
function estimateBestRating({ kinds, steps }: Estimates): number {
    const index = stateIndex(steps - 1, 0, FROM_START);
    return [...kinds.values()].reduce((sum, kind) => {
        const ratings = kind.ratingCounts[index]!;
        const indirect = cautiousRating(kind, steps);
        const direct = kind.rating[index]!;
        const best = (ratings * direct + INDIRECT_RATINGS * indirect) / (ratings + INDIRECT_RATINGS);
        return sum + kind.weight * best;
    }, 0);
}

/**
 * Plans the cheapest mix of two rules that reaches a target.
 *
 * @param target Wanted rating, as a fraction of the rating that the last step alone would get, 0 to 1.
 * @param correction Difference that is added to the target rating.
 */
export function createPlan(estimates: Estimates, target: number, correction: number): Plan {
    const best = estimateBestRating(estimates);
    const wanted = target * best + correction;
    const maximumCost = Math.max(1e-9, ...[...estimates.kinds.values()].map(({ cost }) => cost.at(-1)!));
    let low = 0;
    // Upper bound of the price: there, 0.01 of rating costs as much as the most expensive answer.
    let high = 100 * maximumCost;
    let cheaper = createRule(estimates, low);
    let costlier = createRule(estimates, high);
    for (let i = 0; i < BISECTION_STEPS; i += 1) {
        const price = (low + high) / 2;
        const rule = createRule(estimates, price);
        if (rule.expected.rating >= wanted) {
            high = price;
            costlier = rule;
        }
        else {
            low = price;
            cheaper = rule;
        }
    }
    const gap = costlier.expected.rating - cheaper.expected.rating;
    const costlierShare = gap <= 0 ? 1 : (wanted - cheaper.expected.rating) / gap;
    return {
        cheaperRule: cheaper,
        costlierRule: costlier,
        costlierShare: Math.min(1, Math.max(0, costlierShare)),
        bestRating: best,
    };
}
