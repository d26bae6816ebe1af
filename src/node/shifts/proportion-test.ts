/**
 * Sequential test of two proportions, valid at any stopping time and without assumptions about the rates or
 * the traffic split.
 *
 * Uses universal inference: the marginal likelihood of the counts, divided by their largest likelihood under
 * the null hypothesis. Under the null hypothesis, the probability that the ratio ever exceeds 1/alpha is at
 * most alpha. Answers count as trials with two outcomes, so the test does not lose power when a rate is high.
 */

/** Outcomes of two groups of answers. */
export interface ProportionCounts {
    readonly failures: number;
    readonly answers: number;
    readonly referenceFailures: number;
    readonly referenceAnswers: number;
}

/** Coefficients of the Lanczos approximation with g = 7. */
const LANCZOS = [
    0.99999999999980993, 676.5203681218851, -1259.1392167224028, 771.32342877765313, -176.61502916214059,
    12.507343278686905, -0.13857109526572012, 9.9843695780195716e-6, 1.5056327351493116e-7,
];

function logGamma(value: number): number {
    const x = value - 1;
    const t = x + LANCZOS.length - 1.5;
    let sum = LANCZOS[0]!;
    for (let index = 1; index < LANCZOS.length; index++) {
        sum += LANCZOS[index]! / (x + index);
    }
    return 0.5 * Math.log(2 * Math.PI) + (x + 0.5) * Math.log(t) - t + Math.log(sum);
}

function logBeta(a: number, b: number): number {
    return logGamma(a) + logGamma(b) - logGamma(a + b);
}

/** Logarithm of the likelihood of the counts, averaged over rates with a Beta(`prior`, `prior`) distribution. */
function logMarginalLikelihood(failures: number, answers: number, prior: number): number {
    return logBeta(failures + prior, answers - failures + prior) - logBeta(prior, prior);
}

function logMaximumLikelihood(failures: number, answers: number): number {
    const term = (count: number): number => (count === 0 ? 0 : count * Math.log(count / answers));
    return term(failures) + term(answers - failures);
}

/** log(1 + e^x) without overflow. */
function softplus(x: number): number {
    return x > 0 ? x + Math.log1p(Math.exp(-x)) : Math.log1p(Math.exp(x));
}

/** Range of the logarithm of odds that is searched, and the number of bisections. */
const MAXIMUM_LOG_ODDS = 30;
const BISECTIONS = 40;

/** Largest log likelihood when the odds of a failure are `oddsRatio` times those of the reference. */
function logBoundaryLikelihood(counts: ProportionCounts, oddsRatio: number): number {
    const { failures, answers, referenceFailures, referenceAnswers } = counts;
    const shift = Math.log(oddsRatio);
    const total = failures + referenceFailures;
    const sigmoid = (x: number): number => 1 / (1 + Math.exp(-x));
    let low = -MAXIMUM_LOG_ODDS;
    let high = MAXIMUM_LOG_ODDS;
    for (let step = 0; step < BISECTIONS; step++) {
        const middle = (low + high) / 2;
        const expected = answers * sigmoid(middle + shift) + referenceAnswers * sigmoid(middle);
        if (expected < total) {
            low = middle;
        }
        else {
            high = middle;
        }
    }
    const odds = (low + high) / 2;
    return (
        failures * (odds + shift) -
        answers * softplus(odds + shift) +
        referenceFailures * odds -
        referenceAnswers * softplus(odds)
    );
}

/** Prior of the new rate: uniform, since a fault may concern any share of the answers. */
const UNIFORM_PRIOR = 1;

/** Prior of the reference's rate: close to 0 or 1 more often than not. */
const REFERENCE_PRIOR = 0.5;

/**
 * Returns the logarithm of the likelihood ratio for "the odds of a failure are more than `oddsRatio` times
 * those of the reference". 0 without answers of both.
 */
export function logRatioOfProportions(counts: ProportionCounts, oddsRatio: number): number {
    const { failures, answers, referenceFailures, referenceAnswers } = counts;
    if (answers === 0 || referenceAnswers === 0) {
        return 0;
    }
    const marginal =
        logMarginalLikelihood(failures, answers, UNIFORM_PRIOR) +
        logMarginalLikelihood(referenceFailures, referenceAnswers, REFERENCE_PRIOR);
    const isWithinMargin =
        failures * (referenceAnswers - referenceFailures) <=
        oddsRatio * referenceFailures * (answers - failures);
    const maximum = isWithinMargin
        ? logMaximumLikelihood(failures, answers) + logMaximumLikelihood(referenceFailures, referenceAnswers)
        : logBoundaryLikelihood(counts, oddsRatio);
    return marginal - maximum;
}
