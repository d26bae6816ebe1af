/** Properties of a request that decide its placement: the shared prompt prefix and the amount of work. */
import type { Service } from "../routes/entities.js";
import type { RequestHead } from "./protocol.js";

/** Key of the prompt prefix that a request shares with others, by its second to last prompt part. */
export function affinityKeyOf(head: RequestHead, model: string | undefined): string | undefined {
    const shared = head.promptParts.at(-2) ?? head.promptParts.at(-1);
    return shared === undefined ? undefined : `${model ?? ""}\u0000${shared.id}`;
}

/** Number of prompt tokens that the request shares with others. */
export function sharedTokens(head: RequestHead): number {
    return head.promptParts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0);
}

export function expectedOutputTokens(head: RequestHead): number {
    return head.expectedOutputTokens ?? head.maximumOutputTokens;
}

/** Work of a model relative to the most expensive one of the service, estimated from their prices. */
export function relativeCost(service: Service, model: string | undefined): number {
    const cost = model === undefined ? undefined : service.modelCosts.get(model);
    const highest = Math.max(...service.modelCosts.values());
    return cost === undefined || highest <= 0 ? 1 : cost / highest;
}

/** Key by which the version and service of a request are chosen: its session id, or else its attempt id. */
export function sessionKeyOf(head: RequestHead): string {
    return head.session ?? head.attemptId ?? "";
}
