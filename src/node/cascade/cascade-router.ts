/** Connects the cascade policy of a node to dispatch, the rating service and the peers. */
import type { JsonValue } from "../common/json.js";
import type { Random } from "../common/random.js";
import type { ConfigurationView } from "../configuration/configuration.js";
import type { AnsweredRequest } from "../dispatch/completion-exchange.js";
import type { CascadeDecisions } from "../dispatch/dispatch.js";
import type { IncomingRequest } from "../dispatch/requests.js";
import type { Lifecycle } from "../lifecycle/lifecycle.js";
import type { Logger } from "../logging/logging.js";
import type { MembershipView } from "../membership/membership.js";
import type { Peers } from "../peers/peers.js";
import type { RateAnswer } from "../outside-services/rating-service.js";
import type { CascadePath, CascadePolicy, CascadeStep } from "./policy.js";

/** Interval at which a node sends its digest to one random peer. */
const DIGEST_INTERVAL_MILLISECONDS = 30_000;

/** Share of the answers of last steps that are rated. They show the policy how much an escalation gains. */
const RATED_LAST_STEP_SHARE = 0.1;

/** Requests whose path through a cascade is held. The oldest is removed first. */
const MAXIMUM_PATHS = 20_000;

/** Assumed time to an answer of a model before the first measurement. */
const INITIAL_ANSWER_MILLISECONDS = 2000;

/** Weight of the latest answer in the moving average of the time to an answer. */
const ANSWER_TIME_WEIGHT = 0.1;

const TOKENS_PER_PRICE_UNIT = 1000;

const DIGEST_METHOD = "cascade.digest";

export interface CascadeRouter {
    readonly decisions: CascadeDecisions;
    /** Records a delivered answer. Sends a share of the last steps' answers to the rating service. */
    recordAnswer(answer: AnsweredRequest): void;
}

export interface CascadeRouterOptions {
    readonly policy: CascadePolicy<IncomingRequest>;
    readonly configuration: Pick<ConfigurationView, "current">;
    readonly membership: MembershipView;
    readonly peers: Peers;
    readonly rateAnswer: RateAnswer;
    readonly lifecycle: Lifecycle;
    readonly logger: Logger;
    readonly random: Random;
    /** Monotonic time in milliseconds. */
    readonly now: () => number;
}

export function createCascadeRouter(options: CascadeRouterOptions): CascadeRouter {
    const { configuration, membership, policy, random } = options;
    const paths = new Map<string, CascadePath>();
    const answerMilliseconds = new Map<string, number>();

    const costOf = (model: string, tokens: number): number => {
        let cheapest = Infinity;
        for (const upstream of configuration.current().upstream.values()) {
            if (upstream.model === model) {
                cheapest = Math.min(cheapest, upstream.costPerThousandTokens);
            }
        }
        return Number.isFinite(cheapest) ? (cheapest * tokens) / TOKENS_PER_PRICE_UNIT : 0;
    };

    const stepOf = (model: string, request: IncomingRequest): CascadeStep => ({
        cost: costOf(model, request.memoryTokens),
        milliseconds: answerMilliseconds.get(model) ?? INITIAL_ANSWER_MILLISECONDS,
    });

    const recordPath = (path: CascadePath): void => {
        paths.set(path.requestId, path);
        if (paths.size > MAXIMUM_PATHS) {
            paths.delete(paths.keys().next().value!);
        }
    };

    options.peers.handle(DIGEST_METHOD, params => {
        try {
            policy.merge(params);
        }
        catch (error) {
            options.logger.warn("Discarded a malformed cascade digest from a peer.", {
                error: (error as Error).message,
            });
        }
        return null;
    });

    const sendDigest = (): void => {
        const peers = membership.active().filter(member => member.id !== membership.self.id);
        const target = peers[Math.floor(random() * peers.length)];
        if (target !== undefined) {
            // The counters are cumulative, so the next digest makes up for a lost one.
            options.peers
                .call(target.address, DIGEST_METHOD, policy.digest() as unknown as JsonValue)
                .catch(() => undefined);
        }
    };

    options.lifecycle.add({
        name: "cascade digests",
        start: () => {
            const timer = setInterval(sendDigest, DIGEST_INTERVAL_MILLISECONDS);
            return () => clearInterval(timer);
        },
    });

    const rateLastStep = async (answer: AnsweredRequest, text: string): Promise<void> => {
        const rating = await options.rateAnswer(answer.prompt, text);
        if (rating !== undefined) {
            policy.rate(answer.request.id, rating, options.now());
        }
    };

    return {
        decisions: {
            firstStep: (request, steps, now) => {
                const path = policy.start(
                    {
                        id: request.id,
                        workspace: request.workspace,
                        cascade: request.target,
                        steps: steps.map(model => stepOf(model, request)),
                        qualityTarget:
                            configuration.current().workspace.get(request.workspace)?.qualityTarget ?? 1,
                        remainingMilliseconds: request.deadline - now,
                        request,
                    },
                    now,
                );
                recordPath(path);
                return path.step;
            },
            nextStep: (request, score, now) => {
                const path = paths.get(request.id);
                if (path === undefined) {
                    return request.step + 1;
                }
                const model = request.steps[request.step]!;
                const decision = policy.next(
                    path,
                    {
                        cost: costOf(model, request.memoryTokens),
                        ...(score === undefined ? {} : { score }),
                        remainingMilliseconds: request.deadline - now,
                    },
                    now,
                );
                if (decision.kind === "answer") {
                    if (score !== undefined) {
                        policy.rate(request.id, score, now);
                    }
                    paths.delete(request.id);
                    return undefined;
                }
                recordPath(decision.path);
                return decision.path.step;
            },
        },
        recordAnswer: answer => {
            const { attempt, request } = answer;
            const model = attempt.version!.model;
            const previousMilliseconds = answerMilliseconds.get(model) ?? INITIAL_ANSWER_MILLISECONDS;
            answerMilliseconds.set(
                model,
                previousMilliseconds +
                    ANSWER_TIME_WEIGHT * (options.now() - attempt.startedAt - previousMilliseconds),
            );
            const path = paths.get(request.id);
            if (path === undefined || request.step < request.steps.length - 1) {
                return;
            }
            policy.next(
                path,
                {
                    cost: costOf(model, request.memoryTokens),
                    remainingMilliseconds: request.deadline - options.now(),
                },
                options.now(),
            );
            paths.delete(request.id);
            const text = random() < RATED_LAST_STEP_SHARE ? answer.text() : undefined;
            if (text !== undefined) {
                void rateLastStep(answer, text);
            }
        },
    };
}
