/** What follows from the head of a request for placement: what it shares with others and how much work it is. */
import type { Service } from "../routes/entities.js";
import type { RequestHead } from "./protocol.js";

/** Key of the prompt prefix that a request shares with others: its last part but one. */
export function affinityKeyOf(head: RequestHead, model: string | undefined): string | undefined {
    const shared = head.promptParts.at(-2) ?? head.promptParts.at(-1);
    return shared === undefined ? undefined : `${model ?? ""}\u0000${shared.id}`;
}

/** Tokens of the prompt that other requests share. */
export function sharedTokens(head: RequestHead): number {
    return head.promptParts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0);
}

export function expectedOutputTokens(head: RequestHead): number {
    return head.expectedOutputTokens ?? head.maximumOutputTokens;
}

/** Work of a model relative to the most expensive one of the service, as far as the prices tell. */
export function relativeCost(service: Service, model: string | undefined): number {
    const cost = model === undefined ? undefined : service.modelCosts.get(model);
    const highest = Math.max(...service.modelCosts.values());
    return cost === undefined || highest <= 0 ? 1 : cost / highest;
}

/** Key by which a request's version and service are drawn: its session, or itself when it has none. */
export function sessionKeyOf(head: RequestHead): string {
    return head.session ?? head.attemptId ?? "";
}
