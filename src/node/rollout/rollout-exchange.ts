/** Exchanges rollouts and evidence with peers, and counts delivered answers and their ratings. */
import type { Random } from "../common/random.js";
import type { JsonValue } from "../common/json.js";
import type { ConfigurationView } from "../configuration/configuration.js";
import type { Lifecycle } from "../lifecycle/lifecycle.js";
import type { Logger } from "../logging/logging.js";
import type { Membership } from "../membership/membership.js";
import type { Peers } from "../peers/peers.js";
import type { RateAnswer } from "../outside-services/rating-service.js";
import type { RampingVersion } from "../sessions/sessions.js";
import type { Rollouts } from "./interface.js";

const EVIDENCE_INTERVAL_MILLISECONDS = 2000;

/** Maximum rate, and burst, at which one node has answers of models with a rollout rated, per second. */
const RATINGS_PER_SECOND = 10;

const MILLISECONDS_PER_SECOND = 1000;

const EVIDENCE_METHOD = "rollout.evidence";

export interface DeliveredAnswer {
    readonly workspace: string;
    readonly model: string;
    readonly version: string;
    readonly firstTokenMilliseconds: number | undefined;
    readonly prompt: string;
    /** Text of the answer; `undefined` when it was too long to keep. */
    readonly text: () => string | undefined;
}

export interface RolloutExchange {
    /** Returns the rollout of a model's version, if any, for the choice of versions. */
    ramping(model: string): RampingVersion | undefined;
    /** Counts an answer, and requests its rating when its model has a running rollout. */
    answered(answer: DeliveredAnswer): void;
    /** Counts a failure that the version caused. */
    failed(workspace: string, model: string, version: string): void;
}

export interface RolloutExchangeOptions {
    readonly rollouts: Rollouts;
    readonly configuration: Pick<ConfigurationView, "current">;
    readonly membership: Membership;
    readonly peers: Peers;
    readonly rateAnswer: RateAnswer;
    readonly lifecycle: Lifecycle;
    readonly logger: Logger;
    readonly random: Random;
    /** Monotonic time in milliseconds. */
    readonly now: () => number;
}

export function createRolloutExchange(options: RolloutExchangeOptions): RolloutExchange {
    const { configuration, membership, peers, rollouts } = options;
    let ratingTokens = RATINGS_PER_SECOND;
    let refilledAt = 0;

    const applyMessage = (name: string, run: () => void): void => {
        try {
            run();
        }
        catch (error) {
            options.logger.warn("Ignored a malformed message.", {
                message: name,
                error: (error as Error).message,
            });
        }
    };

    membership.attachDigest({
        name: "rollouts",
        read: () => {
            const digest = rollouts.rolloutDigest();
            const isEmpty = digest.rows.length === 0 && Object.keys(digest.brakes).length === 0;
            return isEmpty ? undefined : (digest as unknown as JsonValue);
        },
        receive: ({ value }) => applyMessage("rollouts", () => rollouts.mergeRollouts(value)),
    });
    peers.handle(EVIDENCE_METHOD, params => {
        applyMessage(EVIDENCE_METHOD, () => rollouts.mergeEvidence(params));
        return null;
    });

    const sendEvidence = (): void => {
        const targets = rollouts.evidenceTargets();
        if (targets.length === 0) {
            return;
        }
        const digest = rollouts.evidenceDigest() as unknown as JsonValue;
        for (const target of targets) {
            const member = membership.members.get(target);
            if (member !== undefined) {
                // A lost message needs no retry, because the counters are cumulative.
                peers.call(member.address, EVIDENCE_METHOD, digest).catch(() => undefined);
            }
        }
    };

    options.lifecycle.add({
        name: "rollout evidence",
        start: () => {
            const timer = setInterval(sendEvidence, EVIDENCE_INTERVAL_MILLISECONDS);
            return () => clearInterval(timer);
        },
    });

    const hasRunningRollout = (model: string): boolean => {
        for (const rollout of configuration.current().rollout.values()) {
            if (rollout.model === model && rollout.state === "running") {
                return true;
            }
        }
        return false;
    };

    const tryTakeRatingToken = (): boolean => {
        const now = options.now();
        const refill = ((now - refilledAt) / MILLISECONDS_PER_SECOND) * RATINGS_PER_SECOND;
        ratingTokens = Math.min(RATINGS_PER_SECOND, ratingTokens + refill);
        refilledAt = now;
        if (ratingTokens < 1) {
            return false;
        }
        ratingTokens -= 1;
        return true;
    };

    const requestRating = async (answer: DeliveredAnswer, text: string): Promise<void> => {
        const rating = await options.rateAnswer(answer.prompt, text);
        if (rating !== undefined) {
            const { workspace, model, version } = answer;
            rollouts.observeRating({ workspace, model, version, rating });
        }
    };

    return {
        ramping: model => {
            for (const rollout of configuration.current().rollout.values()) {
                if (rollout.model === model) {
                    const { version } = rollout;
                    return {
                        version,
                        share: rollouts.share(model, version),
                        steps: rollouts.history(model, version),
                    };
                }
            }
            return undefined;
        },
        answered: answer => {
            const { workspace, model, version, firstTokenMilliseconds } = answer;
            rollouts.observe({
                workspace,
                model,
                version,
                succeeded: true,
                latencyMilliseconds: firstTokenMilliseconds,
            });
            if (!hasRunningRollout(model) || !tryTakeRatingToken()) {
                return;
            }
            const text = answer.text();
            if (text !== undefined) {
                void requestRating(answer, text);
            }
        },
        failed: (workspace, model, version) =>
            rollouts.observe({ workspace, model, version, succeeded: false }),
    };
}
