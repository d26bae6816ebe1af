/**
 * Decides which answers clear the parts of a prompt of crashes within answers, and which crashes within answers
 * are evidence against them. Pure, without I/O.
 */
import { createBoundedMap } from "../common/bounded-map.js";
import { ANSWER_VALIDITY_MILLISECONDS } from "./crash-evidence.js";

/**
 * Time after the first event of an answer from which a further event clears the parts of the prompt,
 * milliseconds. A part that crashes upstreams when they begin to answer does so sooner.
 */
export const SURVIVAL_MILLISECONDS = 500;

const MAXIMUM_SERVICES = 1024;

/** Follows the events of one answer. */
export interface AnswerProgress {
    /** Records an event. Returns true once, when the answer has outlived the crashes that parts cause. */
    recordEvent(now: number): boolean;
}

export function createAnswerProgress(): AnswerProgress {
    let firstEventAt: number | undefined;
    let hasSurvived = false;
    return {
        recordEvent: now => {
            firstEventAt ??= now;
            if (hasSurvived || now - firstEventAt < SURVIVAL_MILLISECONDS) {
                return false;
            }
            hasSurvived = true;
            return true;
        },
    };
}

/** Services of which this node has lately seen answers that outlived such crashes. */
export interface ServingServices {
    record(service: string, now: number): void;
    /**
     * Whether the upstreams of a service answer at all. Otherwise a crash within an answer tells nothing about
     * the prompt: the parts that all requests share would have no answer that clears them.
     */
    isServing(service: string, now: number): boolean;
}

/** Answers of a service from which crashes within others are evidence: some requests may lack a shared part. */
const MINIMUM_SURVIVALS = 3;

export function createServingServices(): ServingServices {
    const survivals = createBoundedMap<readonly number[]>(MAXIMUM_SERVICES);
    return {
        record: (service, now) => {
            survivals.set(service, [...(survivals.get(service) ?? []), now].slice(-MINIMUM_SURVIVALS));
        },
        // Not longer than the answers clear the parts: what all requests of the service share is cleared then.
        isServing: (service, now) => {
            const recent = survivals.get(service) ?? [];
            return recent.length === MINIMUM_SURVIVALS && now - recent[0]! < ANSWER_VALIDITY_MILLISECONDS;
        },
    };
}
