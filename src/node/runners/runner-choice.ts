/**
 * Chooses the upstream of an attempt. Pure: decides by what the node knows, without I/O.
 *
 * Serves the load of a service whose upstreams hold cached prompts: requests that share a prompt prefix go to
 * the same upstream unless it is busier than the others, fails, is slow or is cold.
 */
import { hashToUnit } from "../common/hash.js";
import type { Random } from "../common/random.js";
import { COLD_WINDOW_MILLISECONDS } from "./runner-table.js";
import type { Runner } from "./runner-table.js";

export interface ChoiceContext {
    readonly now: number;
    /** Key of the prompt prefix that requests share; `undefined` where none is worth following. */
    readonly affinityKey: string | undefined;
    /** Whether the request should run on a version, if possible; `undefined` when all are alike. */
    readonly prefersVersion: ((version: string) => boolean) | undefined;
    /** Upstreams that this request already used. */
    readonly excluded: ReadonlySet<string>;
    /** Requests a second that this node may send to an upstream while it is cold. */
    readonly coldAllowance: (runner: Runner) => number;
    readonly random: Random;
}

export interface Choice {
    readonly runner: Runner;
    /** Cost of the chosen upstream and of the one it won against, for the log. */
    readonly score: number;
    readonly runnerUp: string | undefined;
    readonly candidates: number;
}

/** Points of the cost that an upstream without the shared prompt in its cache gets; one point is one active request. */
const CACHE_MISS_POINTS = 4;

/** Points of the cost that a share of failures of 1 gives. */
const FAILURE_POINTS = 30;

/** Points of the cost of an upstream that is being ejected or rejected a request just now. */
const AVOIDED_POINTS = 1000;

/** Points of the cost of an upstream that is still cold. */
const COLD_POINTS = 3;

/** Returns whether a cold upstream may get one more request from this node. */
export function hasColdAllowance(runner: Runner, now: number, requestsPerSecond: number): boolean {
    const since = now - COLD_WINDOW_MILLISECONDS;
    return runner.recentSends.filter(time => time > since).length < requestsPerSecond;
}

function scoreOf(runner: Runner, context: ChoiceContext, isPreferred: boolean): number {
    const load = runner.active * Math.max(1, runner.health.slowness());
    return (
        load +
        (isPreferred ? 0 : CACHE_MISS_POINTS) +
        FAILURE_POINTS * runner.health.failureShare() +
        (runner.health.isAvoided(context.now) ? AVOIDED_POINTS : 0) +
        (runner.coldUntil > context.now ? COLD_POINTS : 0) +
        context.random() * 0.5
    );
}

/** Returns the upstream to which the key maps; the same on every node that knows the same upstreams. */
function preferredRunner(runners: readonly Runner[], key: string): string | undefined {
    let best: string | undefined;
    let bestWeight = -1;
    for (const { entry } of runners) {
        const weight = hashToUnit(`${key}\u0000${entry.id}`);
        if (weight > bestWeight) {
            best = entry.id;
            bestWeight = weight;
        }
    }
    return best;
}

/** Returns `undefined` when no upstream may get the request now. */
export function chooseRunner(runners: readonly Runner[], context: ChoiceContext): Choice | undefined {
    const allowed = runners.filter(
        runner =>
            !context.excluded.has(runner.entry.id) &&
            (runner.coldUntil <= context.now ||
                hasColdAllowance(runner, context.now, context.coldAllowance(runner))),
    );
    const { prefersVersion } = context;
    const ofVersion =
        prefersVersion === undefined
            ? allowed
            : allowed.filter(runner => prefersVersion(runner.entry.version));
    const sound = ofVersion.filter(runner => !runner.health.isAvoided(context.now));
    const candidates = sound.length > 0 ? sound : ofVersion.length > 0 ? ofVersion : allowed;
    const preferred =
        context.affinityKey === undefined ? undefined : preferredRunner(candidates, context.affinityKey);
    let best: Runner | undefined;
    let bestScore = Infinity;
    let runnerUp: Runner | undefined;
    for (const runner of candidates) {
        const score = scoreOf(runner, context, preferred === undefined || runner.entry.id === preferred);
        if (score < bestScore) {
            runnerUp = best;
            best = runner;
            bestScore = score;
        }
        else {
            runnerUp ??= runner;
        }
    }
    return best === undefined
        ? undefined
        : { runner: best, score: bestScore, runnerUp: runnerUp?.entry.id, candidates: candidates.length };
}
