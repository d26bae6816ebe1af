/**
 * Chooses the model of a request where the operator lists several sizes: begins with the smallest, and drops
 * its answer for the largest before the caller has received any of it, where the better answer is worth more
 * than the larger model costs.
 */

export interface ModelChoiceSettings {
    /** Confidence, 0 to 100, at which an answer is as often good as bad. */
    readonly evenConfidence: number;
    /** Change of the confidence, in points, that changes the odds of a good answer by the factor e. */
    readonly confidenceScale: number;
    /** Worth of a good answer per 1,000 weighted tokens, in the unit of the model prices. */
    readonly worthPerThousandTokens: number;
}

export interface Escalation {
    /** Models that may answer, smallest first. */
    readonly models: readonly string[];
    readonly current: string;
    /** Confidence that came with the answer, 0 to 100; `undefined` when there is none. */
    readonly confidence: number | undefined;
    /** Price of 1,000 generated tokens by model. */
    readonly costs: ReadonlyMap<string, number>;
    readonly promptTokens: number;
    /** Most tokens that may be generated; the size of the request as its caller sees it. */
    readonly maximumOutputTokens: number;
    /** Tokens that will probably be generated. */
    readonly expectedOutputTokens: number;
}

/** Tokens that are read cost this share of generated ones. */
const PROMPT_COST_SHARE = 0.25;

/** Weight of a generated token in the worth of a request; a token of the prompt weighs 1. */
const GENERATED_TOKEN_WEIGHT = 10;

/** Returns the model to begin with. */
export function firstModel(models: readonly string[]): string | undefined {
    return models[0];
}

/** Estimates from the confidence how probable it is that the answer is bad, 0 to 1. */
export function probabilityOfBadAnswer(confidence: number, settings: ModelChoiceSettings): number {
    return 1 / (1 + Math.exp((confidence - settings.evenConfidence) / settings.confidenceScale));
}

/** Returns the larger model to ask next, or `undefined` to deliver the answer at hand. */
export function escalationModel(escalation: Escalation, settings: ModelChoiceSettings): string | undefined {
    const largest = escalation.models.at(-1);
    const { confidence, current, promptTokens } = escalation;
    if (largest === undefined || current === largest || confidence === undefined) {
        return undefined;
    }
    const pricedTokens = promptTokens * PROMPT_COST_SHARE + escalation.expectedOutputTokens;
    const price = ((escalation.costs.get(largest) ?? 0) * pricedTokens) / 1000;
    const size = promptTokens + GENERATED_TOKEN_WEIGHT * escalation.maximumOutputTokens;
    const worth = (settings.worthPerThousandTokens * size) / 1000;
    return probabilityOfBadAnswer(confidence, settings) * worth > price ? largest : undefined;
}
