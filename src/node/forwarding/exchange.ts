/** Serves one request of a caller: attempts at upstreams until it has its answer or an end. */
import type { IncomingHttpHeaders, ServerResponse } from "node:http";
import type { Clock } from "../common/clock.js";
import type { Random } from "../common/random.js";
import type { RequestTrace } from "../logging/request-log.js";
import { isRepeatable } from "../routes/entities.js";
import type { Route, Service, Workspace } from "../routes/entities.js";
import type { LoadBoard } from "../upstream-table/load-board.js";
import { chooseUpstream } from "../upstream-table/upstream-choice.js";
import type { Choice } from "../upstream-table/upstream-choice.js";
import { recordSend } from "../upstream-table/upstream-table.js";
import type { RegisteredUpstream } from "../upstream-table/upstream-table.js";
import type { UpstreamSend } from "../upstreams/send.js";
import { createAnswerSink } from "./answer-sink.js";
import { runAttempt } from "./attempt.js";
import type { AttemptResult, BufferedAnswer } from "./attempt.js";
import { giveUp, nextStep } from "./attempt-policy.js";
import type { NextStep, RequestProgress } from "./attempt-policy.js";
import type { AttemptTiming } from "./attempt.js";
import { endExchange } from "./exchange-end.js";
import type { ExchangeEnd } from "./exchange-end.js";
import type { LatencyReference } from "./latency-reference.js";
import { escalationModel, firstModel } from "./model-choice.js";
import type { ModelChoiceSettings } from "./model-choice.js";
import type { HeaderCodec, RequestHead } from "./protocol.js";
import {
    affinityKeyOf,
    expectedOutputTokens,
    relativeCost,
    sessionKeyOf,
    sharedTokens,
} from "./request-shape.js";
import type { RetryBudget } from "./retry-budget.js";

/** A request that was read and matched to a route. */
export interface MatchedRequest {
    readonly head: RequestHead;
    readonly method: string;
    /** Path with query, as the caller sent it. */
    readonly path: string;
    readonly headers: IncomingHttpHeaders;
    readonly body: Buffer;
    readonly route: Route;
    readonly service: Service;
    readonly workspace: Workspace | undefined;
    /** Monotonic time at which the head of the request arrived. */
    readonly arrivedAt: number;
    readonly trace: RequestTrace;
    readonly callerLeft: AbortSignal;
}

export interface ExchangeEnvironment {
    readonly clock: Clock;
    readonly random: Random;
    readonly codec: HeaderCodec;
    readonly send: UpstreamSend;
    /** Upstreams that may get requests of the service now. */
    readonly runnersOf: (service: string) => readonly RegisteredUpstream[];
    /** Versions that a request of the service should run on, by its session; `undefined` for all. */
    readonly versionsOf: (service: string, sessionKey: string) => ((version: string) => boolean) | undefined;
    /** Remembers on which version a session runs. */
    readonly recordSession: (sessionKey: string, runner: RegisteredUpstream) => void;
    readonly retryBudget: RetryBudget;
    readonly loads: LoadBoard;
    readonly latencies: LatencyReference;
    readonly modelChoice: ModelChoiceSettings;
    /** Requests a second that this node may send to one cold upstream of a service. */
    readonly coldAllowance: (service: Service, runner: RegisteredUpstream) => number;
    /** Counts an ended attempt. */
    readonly countAttempt: (service: string, model: string | undefined, result: string) => void;
    /** Takes the outcome of an attempt as evidence about the upstream's version. */
    readonly recordEvidence: (
        runner: RegisteredUpstream,
        stratum: string,
        succeeded: boolean,
        timing: AttemptTiming,
    ) => void;
}

/** Time to wait for a connection, milliseconds: many round trips within a region. */
const CONNECT_MILLISECONDS = 400;

/** Time to the head of an answer after which an upstream counts as hung, relative to the target latency. */
const HEAD_TIMEOUT_RATIO = 1.5;

/**
 * Pause of a stream after which it goes on elsewhere, relative to the longest one that is on time. An engine
 * under load pauses too, and a stream that moves is late already, so this only finds engines that hang.
 */
const GAP_TIMEOUT_RATIO = 2;

/** Share of the target latency for which a request may wait for an upstream with room. */
const WAIT_RATIO = 1 / 8;

/** Share of the retry budget that escalations leave for retries. */
const ESCALATION_RESERVE = 0.25;

/** Events from which on the pace of a stream means something. */
const LEAST_PACED_EVENTS = 4;

/** Returns how many times the usual time the head, or an event, of an attempt took. */
function slownessOf(latencies: LatencyReference, stratum: string, timing: AttemptTiming): number {
    const headSlowness = latencies.record(stratum, timing.headMilliseconds ?? 0);
    return timing.paceMilliseconds === undefined
        ? headSlowness
        : Math.max(headSlowness, latencies.record(`${stratum}\u0000pace`, timing.paceMilliseconds));
}

export function createExchanges(environment: ExchangeEnvironment) {
    const { clock, codec } = environment;

    return async (request: MatchedRequest, response: ServerResponse): Promise<ExchangeEnd> => {
        const { head, route, service, trace } = request;
        const callerMilliseconds = head.remainingMilliseconds ?? Infinity;
        const deadline = request.arrivedAt + Math.min(callerMilliseconds, route.timeoutMilliseconds);
        const sessionKey = sessionKeyOf(head);
        const excluded = new Set<string>();
        const isModelChosen = head.isModelOpen && route.models.length > 0;
        let model = isModelChosen ? firstModel(route.models) : undefined;
        let runs = 0;
        let rejections = 0;
        let waited = false;
        let firstByteMilliseconds: number | undefined;
        let lastFailure: BufferedAnswer | undefined;
        let retryAfterSeconds: number | undefined;
        const sink = createAnswerSink({
            response,
            encodeHeaders: headers => codec.encodeResponse(headers),
            lastEventId: head.lastEventId,
            onFirstByte: () => {
                firstByteMilliseconds = clock.now() - request.arrivedAt;
            },
        });
        environment.retryBudget.recordRequest(service.name, clock.now());

        const choose = (): Choice | undefined =>
            chooseUpstream(environment.runnersOf(service.name), {
                now: clock.now(),
                affinityKey: affinityKeyOf(head, model),
                sharedTokens: sharedTokens(head) * relativeCost(service, model),
                neededTokens: head.promptTokens + expectedOutputTokens(head),
                capacityTokens: service.engineTokens,
                loadOf: runner => environment.loads.total(runner.entry.id, clock.now()),
                ejectionsOf: runner => environment.loads.ejections(runner.entry.id, clock.now()),
                prefersVersion: environment.versionsOf(service.name, sessionKey),
                excluded,
                coldAllowance: runner => environment.coldAllowance(service, runner),
                random: environment.random,
            });

        const progress = (hasCandidate: boolean): RequestProgress => ({
            route,
            runs,
            rejections,
            hasBegun: sink.hasBegun(),
            remainingMilliseconds: deadline - clock.now(),
            hasCandidate,
            takeBudget: () => environment.retryBudget.take(service.name, clock.now()),
        });

        const isDoubted = (confidence: number | undefined): boolean => {
            if (!isModelChosen || sink.hasBegun() || runs + 1 >= route.maximumAttempts) {
                return false;
            }
            const larger = escalationModel(
                {
                    models: route.models,
                    current: model!,
                    confidence,
                    costs: service.modelCosts,
                    promptTokens: head.promptTokens,
                    maximumOutputTokens: head.maximumOutputTokens,
                    expectedOutputTokens: expectedOutputTokens(head),
                },
                environment.modelChoice,
            );
            const hasBudget =
                environment.retryBudget.remainingShare(service.name, clock.now()) > ESCALATION_RESERVE;
            if (
                larger === undefined ||
                !hasBudget ||
                !environment.retryBudget.take(service.name, clock.now())
            ) {
                return false;
            }
            model = larger;
            return true;
        };

        const attemptAt = async (choice: Choice): Promise<AttemptResult> => {
            const { upstream: runner } = choice;
            const usedModel = model;
            const sentAt = clock.now();
            const eventsBefore = sink.eventCount();
            const stratum = `${route.name}\u0000${usedModel ?? ""}`;
            let headMilliseconds: number | undefined;
            let headConfidence: number | undefined;
            const load = environment.loads.begin(
                runner.entry.id,
                head.promptTokens * relativeCost(service, usedModel),
                head.promptTokens + expectedOutputTokens(head),
            );
            if (head.session !== undefined) {
                environment.recordSession(sessionKey, runner);
            }
            recordSend(runner, sentAt);
            trace.add("attempts", "Sent the request to an upstream.", {
                upstream: runner.entry.id,
                version: runner.entry.version,
                model: usedModel,
                score: Math.round(choice.score * 10) / 10,
                runnerUp: choice.runnerUp,
                candidates: choice.candidates,
                remainingMilliseconds: Math.round(deadline - sentAt),
                resumeAfter: sink.lastEventId(),
            });
            // Silence never ends the last attempt: the request could not go elsewhere.
            const mayMove = isRepeatable(route) && choice.candidates > 1 && runs + 1 < route.maximumAttempts;
            const result = await runAttempt({
                send: environment.send,
                request: {
                    address: `http://${runner.entry.address}`,
                    method: request.method,
                    path: request.path,
                    headers: codec.encodeRequest(request.headers, {
                        remainingMilliseconds: Math.max(1, Math.floor(deadline - sentAt)),
                        upstreamId: runner.entry.id,
                        workspace: request.workspace?.name,
                        model: usedModel,
                        lastEventId: sink.lastEventId(),
                    }),
                    body: request.body.length === 0 ? undefined : request.body,
                    ownConnection: route.kind === "once",
                    headTimeoutMilliseconds: 0,
                    idleTimeoutMilliseconds: 0,
                },
                attemptId: head.attemptId,
                sink,
                decodeHead: (status, headers) => codec.decodeResponse(status, headers),
                isDoubted,
                connectMilliseconds: CONNECT_MILLISECONDS,
                headMilliseconds: mayMove ? route.targetLatencyMilliseconds * HEAD_TIMEOUT_RATIO : undefined,
                gapMilliseconds:
                    mayMove && route.targetGapMilliseconds !== undefined
                        ? route.targetGapMilliseconds * GAP_TIMEOUT_RATIO
                        : undefined,
                remainingMilliseconds: Math.max(0, deadline - sentAt),
                mayVerifyEnd: mayMove,
                callerLeft: request.callerLeft,
                onHead: responseHead => {
                    load.promptRead();
                    headConfidence = responseHead.confidence;
                    headMilliseconds = clock.now() - sentAt;
                },
            });
            load.end();
            const endedAt = clock.now();
            const events = sink.eventCount() - eventsBefore;
            environment.countAttempt(service.name, usedModel, result.kind);
            recordResult(result, runner, stratum, {
                headMilliseconds,
                paceMilliseconds:
                    headMilliseconds === undefined || events < LEAST_PACED_EVENTS
                        ? undefined
                        : (endedAt - sentAt - headMilliseconds) / events,
            });
            trace.add("attempts", "An attempt ended.", {
                upstream: runner.entry.id,
                model: usedModel,
                result: result.kind,
                reason: "reason" in result ? result.reason : undefined,
                confidence: headConfidence,
                headMilliseconds: headMilliseconds === undefined ? undefined : Math.round(headMilliseconds),
                milliseconds: Math.round(endedAt - sentAt),
            });
            return result;
        };

        const recordResult = (
            result: AttemptResult,
            runner: RegisteredUpstream,
            stratum: string,
            timing: AttemptTiming,
        ): void => {
            const now = clock.now();
            switch (result.kind) {
                case "delivered":
                case "doubted": {
                    runner.health.recordSuccess(slownessOf(environment.latencies, stratum, timing));
                    environment.recordEvidence(runner, stratum, true, timing);
                    break;
                }
                case "not-run":
                    rejections += 1;
                    excluded.add(runner.entry.id);
                    runner.health.recordRejection(now);
                    retryAfterSeconds = result.retryAfterSeconds;
                    return;
                case "failed":
                case "lost":
                    excluded.add(runner.entry.id);
                    runner.health.recordFailure(now);
                    environment.recordEvidence(runner, stratum, false, timing);
                    lastFailure = result.kind === "failed" ? result.answer : lastFailure;
                    break;
                case "ended":
                    break;
            }
            runs += 1;
        };

        /** Waits once for an upstream with room, within a small share of the target latency. */
        const waitForRoom = async (): Promise<boolean> => {
            const wait = route.targetLatencyMilliseconds * WAIT_RATIO;
            if (waited || sink.hasBegun() || deadline - clock.now() < 2 * wait) {
                return false;
            }
            waited = true;
            trace.add("attempts", "Waits for an upstream with room.", { milliseconds: wait });
            await new Promise(resolve => setTimeout(resolve, wait));
            return !request.callerLeft.aborted;
        };

        const run = async (): Promise<NextStep> => {
            for (;;) {
                let choice = choose();
                if (choice === undefined && runs === 0 && (await waitForRoom())) {
                    excluded.clear();
                    choice = choose();
                }
                if (choice === undefined) {
                    return lastFailure !== undefined && !sink.hasBegun()
                        ? { kind: "pass-failure" }
                        : giveUp(progress(false), "no upstream can take the request");
                }
                const result = await attemptAt(choice);
                const step = nextStep(result, progress(choose() !== undefined));
                if (step.kind !== "again") {
                    return step;
                }
            }
        };

        const step = await run();
        const ended = endExchange(step, {
            response,
            codec,
            attemptId: head.attemptId,
            sink,
            lastFailure,
            retryAfterSeconds,
        });
        return { ...ended, attempts: runs + rejections, firstByteMilliseconds };
    };
}
