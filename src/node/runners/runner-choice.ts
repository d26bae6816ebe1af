/**
 * Chooses the upstream of an attempt. Pure: decides by what the node knows, without I/O.
 *
 * Serves the load of a service whose upstreams hold cached prompts, with a few prompts so long that they hold up
 * everything beside them: a request goes where the least delay is expected, counting what all nodes have sent,
 * what is left to read without the cached prefix, failures and memory.
 */
import { hashToUnit } from "../common/hash.js";
import type { Load } from "./load-board.js";
import type { Random } from "../common/random.js";
import { COLD_WINDOW_MILLISECONDS } from "./runner-table.js";
import type { Runner } from "./runner-table.js";

export interface ChoiceContext {
    readonly now: number;
    /** Key of the prompt prefix that requests share; `undefined` where none is worth following. */
    readonly affinityKey: string | undefined;
    /** Prompt tokens that an upstream without the shared prefix has to read, in tokens of the largest model. */
    readonly sharedTokens: number;
    /** Memory that the request takes, in tokens. */
    readonly neededTokens: number;
    /** Memory of one upstream, in tokens; `undefined` when it has no such limit. */
    readonly capacityTokens: number | undefined;
    readonly loadOf: (runner: Runner) => Load;
    /** Number of other nodes that ejected the upstream. */
    readonly ejectionsOf: (runner: Runner) => number;
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
    /** Expected delay at the chosen upstream, milliseconds. */
    readonly score: number;
    readonly runnerUp: string | undefined;
    readonly candidates: number;
}

/** Prompt tokens of the largest model that an upstream reads in a millisecond. */
const TOKENS_PER_MILLISECOND = 45;

/** Delay that one running request causes for another, milliseconds. */
const REQUEST_MILLISECONDS = 6;

/** Delay that stands for a share of failures of 1, milliseconds. */
const FAILURE_MILLISECONDS = 3000;

/** Delay that stands for an upstream that is ejected, or rejected a request just now, milliseconds. */
const AVOIDED_MILLISECONDS = 20_000;

/** Delay that stands for an upstream that is still cold, milliseconds. */
const COLD_MILLISECONDS = 150;

/** Delay that stands for an upstream whose memory the request would overfill, milliseconds. */
const FULL_MILLISECONDS = 2000;

/** Random part of the delay, milliseconds, so that nodes with the same view do not choose alike. */
const RANDOM_MILLISECONDS = 6;

/** Share of an upstream's memory that requests may fill; the rest holds shared prompts. */
const USABLE_MEMORY_SHARE = 0.85;

/** Returns whether a cold upstream may get one more request from this node. */
export function hasColdAllowance(runner: Runner, now: number, requestsPerSecond: number): boolean {
    const since = now - COLD_WINDOW_MILLISECONDS;
    return runner.recentSends.filter(time => time > since).length < requestsPerSecond;
}

/** Other nodes that must have ejected an upstream before this one avoids it; one node's network may be at fault. */
const EJECTIONS_TO_AVOID = 2;

function isAvoided(runner: Runner, context: ChoiceContext): boolean {
    return runner.health.isAvoided(context.now) || context.ejectionsOf(runner) >= EJECTIONS_TO_AVOID;
}

/** Returns the delay that the request can expect at an upstream, milliseconds. */
function expectedDelay(runner: Runner, context: ChoiceContext, isPreferred: boolean): number {
    const load = context.loadOf(runner);
    const unreadTokens = load.pendingTokens + (isPreferred ? 0 : context.sharedTokens);
    const isFull =
        context.capacityTokens !== undefined &&
        load.heldTokens + context.neededTokens > USABLE_MEMORY_SHARE * context.capacityTokens;
    const work = unreadTokens / TOKENS_PER_MILLISECOND + load.requests * REQUEST_MILLISECONDS;
    return (
        work * Math.max(1, runner.health.slowness()) +
        FAILURE_MILLISECONDS * runner.health.failureShare() +
        (isAvoided(runner, context) ? AVOIDED_MILLISECONDS : 0) +
        (runner.coldUntil > context.now ? COLD_MILLISECONDS : 0) +
        (isFull ? FULL_MILLISECONDS : 0) +
        context.random() * RANDOM_MILLISECONDS
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
    const sound = ofVersion.filter(runner => !isAvoided(runner, context));
    const candidates = sound.length > 0 ? sound : ofVersion.length > 0 ? ofVersion : allowed;
    const preferred =
        context.affinityKey === undefined ? undefined : preferredRunner(candidates, context.affinityKey);
    let best: Runner | undefined;
    let bestScore = Infinity;
    let runnerUp: Runner | undefined;
    for (const runner of candidates) {
        const score = expectedDelay(runner, context, runner.entry.id === preferred);
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
