/** Ends a request: sends the upstream's error or a response of the router, unless one was delivered. */
import type { ServerResponse } from "node:http";
import type { ResponseSink } from "./response-sink.js";
import { signalsNotRun } from "./attempt.js";
import type { BufferedResponse } from "./attempt.js";
import type { NextStep } from "./attempt-policy.js";
import { sendRouterResponse } from "./router-response.js";
import type { HeaderCodec } from "./protocol.js";

/** End of a request, for metrics and logs. */
export interface RequestEnd {
    readonly outcome:
        | "delivered"
        | "refused"
        | "failed"
        /** The connection to the caller was closed in the middle of a response. */
        | "cut"
        | "passed-failure"
        | "timed-out"
        | "caller-left";
    readonly status: number;
    readonly attempts: number;
    readonly reason: string | undefined;
    /** Time to the first byte of the response, milliseconds. */
    readonly firstByteMilliseconds: number | undefined;
    /**
     * The answer ended as complete because its upstream ended the connection, which a crash does as well.
     *
     * @default false
     */
    readonly isEndUnconfirmed?: boolean;
}

export interface RequestEndContext {
    readonly response: ServerResponse;
    readonly codec: HeaderCodec;
    readonly attemptId: string | undefined;
    readonly sink: ResponseSink;
    /** Two upstreams have ended the stream after the same event. */
    readonly isEndAgreed: boolean;
    /** Last error response of an upstream, if any. */
    readonly lastFailure: BufferedResponse | undefined;
    /** `Retry-After` of the last upstream that rejected the request, seconds. */
    readonly retryAfterSeconds: number | undefined;
}

/** Default `Retry-After` of a rejected request, seconds: about the duration of one request. */
const RETRY_AFTER_SECONDS = 0.3;

const HTTP_BAD_GATEWAY = 502;
const HTTP_UNAVAILABLE = 503;
const HTTP_GATEWAY_TIMEOUT = 504;

export function endRequest(
    step: NextStep,
    { response, codec, attemptId, sink, lastFailure, retryAfterSeconds, isEndAgreed }: RequestEndContext,
): Pick<RequestEnd, "outcome" | "status" | "reason"> {
    const respond = (status: number, message: string, retryAfter?: number): void =>
        sendRouterResponse(response, codec, attemptId, status, message, retryAfter);
    switch (step.kind) {
        case "done":
        case "retry":
            return { outcome: "delivered", status: response.statusCode, reason: undefined };
        case "reject":
            respond(HTTP_UNAVAILABLE, step.reason, retryAfterSeconds ?? RETRY_AFTER_SECONDS);
            return { outcome: "refused", status: HTTP_UNAVAILABLE, reason: step.reason };
        case "pass-failure":
            if (signalsNotRun(lastFailure!.status)) {
                const reason = `upstream answered ${lastFailure!.status} without saying that it did not run`;
                respond(HTTP_BAD_GATEWAY, reason);
                return { outcome: "failed", status: HTTP_BAD_GATEWAY, reason };
            }
            sink.sendBuffered(lastFailure!);
            return { outcome: "passed-failure", status: lastFailure!.status, reason: undefined };
        case "end-unconfirmed":
            if (sink.endUnconfirmed(isEndAgreed)) {
                return { outcome: "delivered", status: response.statusCode, reason: step.reason };
            }
            respond(HTTP_BAD_GATEWAY, step.reason);
            return { outcome: "cut", status: response.statusCode, reason: step.reason };
        case "fail":
            respond(HTTP_BAD_GATEWAY, step.reason);
            if (sink.hasBegun()) {
                return { outcome: "cut", status: response.statusCode, reason: step.reason };
            }
            return { outcome: "failed", status: HTTP_BAD_GATEWAY, reason: step.reason };
        case "timed-out":
            respond(HTTP_GATEWAY_TIMEOUT, "the time of the request is over");
            return { outcome: "timed-out", status: HTTP_GATEWAY_TIMEOUT, reason: undefined };
        case "caller-left":
            response.destroy();
            return { outcome: "caller-left", status: 0, reason: undefined };
    }
}
