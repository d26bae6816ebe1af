/**
 * Chooses the model of a request where the operator lists several sizes: begins with the smallest and goes to
 * the largest when the small model doubts its own answer, before the caller has received any of it.
 */

export interface ModelChoiceSettings {
    /** Confidence of an answer, 0 to 100, below which a larger model is asked. */
    readonly confidenceThreshold: number;
}

export interface Escalation {
    readonly models: readonly string[];
    readonly current: string;
    /** Confidence that came with the answer, 0 to 100; `undefined` when there is none. */
    readonly confidence: number | undefined;
    /** Price of 1,000 generated tokens by model. */
    readonly costs: ReadonlyMap<string, number>;
    readonly promptTokens: number;
    readonly outputTokens: number;
}

/** Tokens that are read cost this share of generated ones. */
const PROMPT_COST_SHARE = 0.25;

/** Value of an answer per token that it takes: a generated token counts as much as ten that are read. */
const GENERATED_TOKEN_WEIGHT = 10;

/** Value of a good answer for 1,000 weighted tokens, in the unit of the model prices. */
const VALUE_PER_THOUSAND_TOKENS = 0.45;

/** Returns the model to begin with. */
export function firstModel(models: readonly string[]): string | undefined {
    return models[0];
}

/** Returns the larger model to ask next, or `undefined` to deliver the answer at hand. */
export function escalationModel(escalation: Escalation, settings: ModelChoiceSettings): string | undefined {
    const largest = escalation.models.at(-1);
    const { confidence, current } = escalation;
    if (largest === undefined || current === largest || confidence === undefined) {
        return undefined;
    }
    if (confidence >= settings.confidenceThreshold) {
        return undefined;
    }
    const tokens = escalation.promptTokens * PROMPT_COST_SHARE + escalation.outputTokens;
    const price = ((escalation.costs.get(largest) ?? 0) * tokens) / 1000;
    const value =
        (VALUE_PER_THOUSAND_TOKENS *
            (escalation.promptTokens + GENERATED_TOKEN_WEIGHT * escalation.outputTokens)) /
        1000;
    const gain = value * (1 - confidence / 100);
    return gain > price ? largest : undefined;
}
