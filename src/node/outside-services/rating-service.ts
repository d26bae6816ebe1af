/** HTTP client of the rating service. */
import { Agent } from "undici";
import { requestUntilAborted } from "../common/abortable-request.js";

/** Timeout of a rating, after which the answer counts as unrated, milliseconds. */
const RATING_TIMEOUT_MILLISECONDS = 2000;

const CONNECTIONS = 16;

/** Rates an answer from 0 to 1. Returns `undefined` when the service returns no valid rating in time. */
export type RateAnswer = (prompt: string, answer: string) => Promise<number | undefined>;

export function createHttpRatingService(options: { readonly baseUrl: string }): RateAnswer {
    const agent = new Agent({ connections: CONNECTIONS, pipelining: 1 });
    return async (prompt, answer) => {
        try {
            const response = await requestUntilAborted(`${options.baseUrl}/ratings`, {
                method: "POST",
                headers: { "content-type": "application/json" },
                body: JSON.stringify({ prompt, answer }),
                dispatcher: agent,
                signal: AbortSignal.timeout(RATING_TIMEOUT_MILLISECONDS),
            });
            const { score } = (await response.body.json()) as { readonly score?: unknown };
            return typeof score === "number" && score >= 0 && score <= 1 ? score : undefined;
        }
        catch {
            return undefined;
        }
    };
}
