/**
 * Chooses the model of a request on routes with several models: starts with the smallest, and replaces its
 * answer by one of the largest, before any of it was sent to the caller, when the expected gain exceeds the
 * larger model's price.
 */

export interface ModelChoiceSettings {
    /** Confidence, 0 to 100, at which half of the answers are good. */
    readonly evenConfidence: number;
    /** Increase of the confidence (0 to 100) that multiplies the odds of a good answer by e (2.718). */
    readonly confidenceScale: number;
    /** Value of a good answer per 1,000 weighted tokens, in the unit of the model prices. */
    readonly worthPerThousandTokens: number;
}

export interface Escalation {
    /** Models that may answer, smallest first. */
    readonly models: readonly string[];
    readonly current: string;
    /** Confidence that the upstream reported with the answer, 0 to 100. */
    readonly confidence: number | undefined;
    /** Price of 1,000 generated tokens by model. */
    readonly costs: ReadonlyMap<string, number>;
    readonly promptTokens: number;
    /** Maximum number of generated tokens; with the prompt it gives the value of a good answer. */
    readonly maximumOutputTokens: number;
    /** Expected number of generated tokens; with the prompt it gives the price of the larger model. */
    readonly expectedOutputTokens: number;
}

/** Price of a prompt token relative to a generated token. */
const PROMPT_COST_SHARE = 0.25;

/** Weight of a generated token in the value of an answer; a prompt token has weight 1. */
const GENERATED_TOKEN_WEIGHT = 10;

export function firstModel(models: readonly string[]): string | undefined {
    return models[0];
}

/** Estimates the probability, 0 to 1, that an answer is bad from its confidence. */
export function probabilityOfBadAnswer(confidence: number, settings: ModelChoiceSettings): number {
    return 1 / (1 + Math.exp((confidence - settings.evenConfidence) / settings.confidenceScale));
}

/** Returns the larger model to escalate to, or `undefined` to send the current answer. */
export function escalationModel(escalation: Escalation, settings: ModelChoiceSettings): string | undefined {
    const largest = escalation.models.at(-1);
    const { confidence, current, promptTokens } = escalation;
    if (largest === undefined || current === largest || confidence === undefined) {
        return undefined;
    }
    const pricedTokens = promptTokens * PROMPT_COST_SHARE + escalation.expectedOutputTokens;
    const price = ((escalation.costs.get(largest) ?? 0) * pricedTokens) / 1000;
    const size = promptTokens + GENERATED_TOKEN_WEIGHT * escalation.maximumOutputTokens;
    const value = (settings.worthPerThousandTokens * size) / 1000;
    return probabilityOfBadAnswer(confidence, settings) * value > price ? largest : undefined;
}
