/** HTTP clients for the orders of engines and for the weight store. */
import { Agent } from "undici";
import { requestUntilAborted } from "../common/abortable-request.js";
import { z } from "zod";
import type { Lifecycle } from "../lifecycle/lifecycle.js";
import { CALL_TIMEOUT_MILLISECONDS } from "./constants.js";
import type { ReadEngine, SendOrder, RequestPermit } from "./create-orders.js";
import { parseEngineState } from "./messages.js";
import type { OrderOutcome } from "./messages.js";

export interface HttpOrdersOptions {
    /** Base URL of the weight store. */
    readonly weightStore: string;
    readonly lifecycle: Pick<Lifecycle, "add">;
}

export interface HttpOrders {
    readonly sendOrder: SendOrder;
    readonly readEngine: ReadEngine;
    readonly requestPermit: RequestPermit;
}

const HTTP_OK = 200;
const HTTP_CONFLICT = 409;
const HTTP_GONE = 410;
const HTTP_TOO_MANY_REQUESTS = 429;

/** Delay before the next permit request when the weight store sends no valid Retry-After header. */
const DEFAULT_RETRY_AFTER_SECONDS = 1;

const permitSchema = z.object({ permit: z.string(), validMilliseconds: z.number().positive() });

function outcomeFromStatus(status: number): OrderOutcome {
    switch (status) {
        case HTTP_OK:
            return "accepted";
        case HTTP_CONFLICT:
            return "old-number";
        case HTTP_GONE:
            return "expired";
        default:
            return "failed";
    }
}

export function createHttpOrders(options: HttpOrdersOptions): HttpOrders {
    const agent = new Agent({ pipelining: 1, connectTimeout: CALL_TIMEOUT_MILLISECONDS });
    options.lifecycle.add({ name: "order connections", start: () => () => agent.destroy() });
    const post = (url: string, body: unknown, timeoutMilliseconds: number) =>
        requestUntilAborted(url, {
            method: "POST",
            headers: { "content-type": "application/json" },
            body: JSON.stringify(body),
            dispatcher: agent,
            signal: AbortSignal.timeout(Math.ceil(timeoutMilliseconds)),
        });

    return {
        sendOrder: async (address, order, timeoutMilliseconds) => {
            const response = await post(`${address}/orders`, order, timeoutMilliseconds);
            await response.body.dump();
            return outcomeFromStatus(response.statusCode);
        },
        readEngine: async address => {
            const response = await requestUntilAborted(`${address}/orders`, {
                dispatcher: agent,
                signal: AbortSignal.timeout(CALL_TIMEOUT_MILLISECONDS),
            });
            if (response.statusCode !== HTTP_OK) {
                await response.body.dump();
                throw new Error(`GET /orders answered status ${response.statusCode}`);
            }
            return parseEngineState(await response.body.json());
        },
        requestPermit: async (id, version, engine) => {
            const url = `${options.weightStore}/weights/permits`;
            const response = await post(url, { id, version, engine }, CALL_TIMEOUT_MILLISECONDS);
            if (response.statusCode === HTTP_TOO_MANY_REQUESTS) {
                await response.body.dump();
                const seconds = Number(response.headers["retry-after"] ?? DEFAULT_RETRY_AFTER_SECONDS);
                return {
                    kind: "denied",
                    retryAfterMilliseconds: (seconds > 0 ? seconds : DEFAULT_RETRY_AFTER_SECONDS) * 1000,
                };
            }
            if (response.statusCode !== HTTP_OK) {
                await response.body.dump();
                throw new Error(`POST /weights/permits answered status ${response.statusCode}`);
            }
            return { kind: "granted", ...permitSchema.parse(await response.body.json()) };
        },
    };
}
