/** Gives a caller the end of its request: its answer, the upstream's failure, or an answer of the router itself. */
import type { ServerResponse } from "node:http";
import type { AnswerSink } from "./answer-sink.js";
import { promisesNotRun } from "./attempt.js";
import type { BufferedAnswer } from "./attempt.js";
import type { NextStep } from "./attempt-policy.js";
import { sendOwnAnswer } from "./own-answer.js";
import type { HeaderCodec } from "./protocol.js";

/** How a request ended, for metrics and logs. */
export interface ExchangeEnd {
    readonly outcome:
        | "delivered"
        | "refused"
        | "failed"
        /** The caller received a part of an answer and then the end of its connection. */
        | "cut"
        | "passed-failure"
        | "timed-out"
        | "caller-left";
    readonly status: number;
    readonly attempts: number;
    readonly reason: string | undefined;
    /** Time to the first byte of the answer, milliseconds. */
    readonly firstByteMilliseconds: number | undefined;
}

export interface EndContext {
    readonly response: ServerResponse;
    readonly codec: HeaderCodec;
    readonly attemptId: string | undefined;
    readonly sink: AnswerSink;
    /** The last upstream's own failure, where there was one. */
    readonly lastFailure: BufferedAnswer | undefined;
    /** What the last upstream that turned the request away asks for. */
    readonly retryAfterSeconds: number | undefined;
}

/** Time after which a refused caller should come back, seconds: about the time of one answer. */
const RETRY_AFTER_SECONDS = 0.3;

const HTTP_BAD_GATEWAY = 502;
const HTTP_UNAVAILABLE = 503;
const HTTP_GATEWAY_TIMEOUT = 504;

export function endExchange(
    step: NextStep,
    { response, codec, attemptId, sink, lastFailure, retryAfterSeconds }: EndContext,
): Pick<ExchangeEnd, "outcome" | "status" | "reason"> {
    const own = (status: number, message: string, retryAfter?: number): void =>
        sendOwnAnswer(response, codec, attemptId, status, message, retryAfter);
    switch (step.kind) {
        case "done":
        case "again":
            return { outcome: "delivered", status: response.statusCode, reason: undefined };
        case "refuse":
            own(HTTP_UNAVAILABLE, step.reason, retryAfterSeconds ?? RETRY_AFTER_SECONDS);
            return { outcome: "refused", status: HTTP_UNAVAILABLE, reason: step.reason };
        case "pass-failure":
            if (promisesNotRun(lastFailure!.status)) {
                const reason = `upstream answered ${lastFailure!.status} without saying that it did not run`;
                own(HTTP_BAD_GATEWAY, reason);
                return { outcome: "failed", status: HTTP_BAD_GATEWAY, reason };
            }
            sink.deliver(lastFailure!);
            return { outcome: "passed-failure", status: lastFailure!.status, reason: undefined };
        case "fail":
            own(HTTP_BAD_GATEWAY, step.reason);
            if (sink.hasBegun()) {
                return { outcome: "cut", status: response.statusCode, reason: step.reason };
            }
            return { outcome: "failed", status: HTTP_BAD_GATEWAY, reason: step.reason };
        case "time-over":
            own(HTTP_GATEWAY_TIMEOUT, "the time of the request is over");
            return { outcome: "timed-out", status: HTTP_GATEWAY_TIMEOUT, reason: undefined };
        case "caller-left":
            response.destroy();
            return { outcome: "caller-left", status: 0, reason: undefined };
    }
}
