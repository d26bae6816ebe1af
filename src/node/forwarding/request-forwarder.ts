/** Forwards a caller's request: makes attempts at upstreams until one delivers a response or retries end. */
import type { IncomingHttpHeaders, ServerResponse } from "node:http";
import { delay, nextPoll } from "../common/clock.js";
import type { Clock } from "../common/clock.js";
import type { Random } from "../common/random.js";
import {
    decodeHelperResponse,
    encodeMaximumAttempts,
    withoutRouterMark,
} from "../handover/router-response.js";
import type { ProbeResult } from "../handover/reachability.js";
import type { Helper } from "../handover/helpers.js";
import type { RequestTrace } from "../logging/request-log.js";
import { createAnswerProgress } from "../quarantine/answer-progress.js";
import type { Quarantine } from "../quarantine/quarantine.js";
import { describeSuspect, kindOfSuspect, requestSuspectOf, sharedPartsOf } from "../quarantine/suspects.js";
import type { SuspectKind } from "../quarantine/suspects.js";
import { isRepeatable } from "../routes/entities.js";
import type { Route, Service, Workspace } from "../routes/entities.js";
import type { LoadBoard } from "../upstream-table/load-board.js";
import type { PlacedRequest, RequestPlacement } from "../upstream-table/request-placement.js";
import { chooseUpstream } from "../upstream-table/upstream-choice.js";
import type { Choice, ChoiceContext, VersionPreference } from "../upstream-table/upstream-choice.js";
import type { UpstreamLimits } from "../upstream-table/upstream-limits.js";
import { recordSend } from "../upstream-table/upstream-table.js";
import type { RegisteredUpstream } from "../upstream-table/upstream-table.js";
import type { UpstreamSend } from "../upstreams/send.js";
import { fingerprintOf } from "./request-fingerprint.js";
import { createResponseSink } from "./response-sink.js";
import { isSuccess, runAttempt, signalsNotRun } from "./attempt.js";
import type { AttemptResult, BufferedResponse } from "./attempt.js";
import {
    attemptsOfHelper,
    endAfterUnconfirmed,
    needsNewConnection,
    nextStep,
    nextStepAfterHandover,
    rejectOrFail,
} from "./attempt-policy.js";
import type { NextStep, RequestProgress } from "./attempt-policy.js";
import type { AttemptTiming } from "./attempt.js";
import { endRequest } from "./request-end.js";
import type { RequestEnd } from "./request-end.js";
import { expectsConfirmation } from "./framing-history.js";
import type { FramingHistory } from "./framing-history.js";
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
import { createSharedEnds } from "./shared-ends.js";
import { pauseAfterRejection } from "./rejection-pause.js";
import { evidenceGroupOf } from "../shifts/shift-evidence.js";
import type { AnswerOutcome } from "../shifts/shift-evidence.js";
import type { ServiceRetryBudget } from "./retry-budget.js";
import type { AcceptUpstream } from "../scarcity/restricted-choice.js";
import type { AdmissionOutcome, Scarcity } from "../scarcity/scarcity.js";

/** A request that was read to its end and matched to a route. */
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
    /** Monotonic time at which the request headers arrived, milliseconds. */
    readonly arrivedAt: number;
    readonly trace: RequestTrace;
    readonly callerLeft: AbortSignal;
    /**
     * Called with the bytes of the answer that the caller has not read, whenever they may have changed.
     *
     * @default they are not counted
     */
    readonly onUnread?: (bytes: number) => void;
}

/** Session of a request; a request without one has a key of its own. */
export interface RequestSession {
    readonly key: string;
    readonly isSession: boolean;
}

/** Hands requests to other nodes while this one has no path to the upstreams. */
export interface Handover {
    /** Whether this node has no path to the upstreams. */
    readonly isNeeded: () => boolean;
    /** Chooses a node that has not been tried for the request; `undefined` when none is left. */
    readonly chooseHelper: (excluded: ReadonlySet<string>) => Helper | undefined;
    readonly onHandover: () => void;
}

export interface RequestForwarderOptions {
    readonly clock: Clock;
    readonly random: Random;
    readonly codec: HeaderCodec;
    readonly send: UpstreamSend;
    /** Upstreams that can receive requests of the service now. */
    readonly upstreamsOf: (service: string) => readonly RegisteredUpstream[];
    /**
     * Versions that should serve a request of the service; `undefined` when all versions are equal.
     *
     * @param failedVersions Versions on which an attempt of the request has failed.
     */
    readonly versionPreferenceOf: (
        service: string,
        session: RequestSession,
        failedVersions: ReadonlySet<string>,
    ) => VersionPreference | undefined;
    /** Records that a request was sent to an upstream. */
    readonly recordSend: (session: RequestSession, upstream: RegisteredUpstream) => void;
    readonly retryBudget: ServiceRetryBudget;
    readonly loads: LoadBoard;
    readonly latencies: LatencyReference;
    readonly framing: FramingHistory;
    readonly quarantine: Pick<
        Quarantine,
        | "reject"
        | "isSuspect"
        | "watch"
        | "recordBreak"
        | "recordBreakWithinAnswer"
        | "recordResponse"
        | "recordAnswer"
        | "recordSurvival"
    >;
    /** Number of nodes that send to the same upstreams, with this one. */
    readonly nodeCount: () => number;
    /** Tries to connect to an upstream. */
    readonly probe: (address: string) => Promise<ProbeResult>;
    /** Records that an upstream stated in a response that it leaves. */
    readonly recordLeaving: (upstream: RegisteredUpstream) => void;
    /** Records an attempt that got no connection or no whole answer from an upstream. */
    readonly recordUnanswered: (upstream: RegisteredUpstream) => void;
    /** Absent for requests that another node handed over: they are not handed over again. */
    readonly handover?: Handover;
    /** Whether the end of an upstream is planned, so that it is no crash. */
    readonly isLeaving: (upstream: RegisteredUpstream) => boolean;
    readonly modelChoice: ModelChoiceSettings;
    /** Requests per second that this node may send to one cold upstream of a service. */
    readonly coldAllowance: (service: Service, upstream: RegisteredUpstream) => number;
    readonly limits: Pick<UpstreamLimits, "hasRoom" | "record" | "consume">;
    /** Present where capacity is scarce: requests are ordered by urgency. */
    readonly scarcity?: Scarcity;
    /** Absent where requests are placed by load alone. */
    readonly placement?: RequestPlacement;
    /** Whether rejections crash the upstreams of a service. */
    readonly isBrittle: (service: string) => boolean;
    /** Whether an upstream has a slot for one more request of this node. */
    readonly hasFreeSlot: (upstream: RegisteredUpstream) => boolean;
    /** Records whether an upstream stated in a response that rejections crash it. */
    readonly recordBrittle: (upstream: RegisteredUpstream, isBrittle: boolean, sentAt: number) => void;
    readonly countAttempt: (
        service: string,
        version: string,
        model: string | undefined,
        result: string,
    ) => void;
    /** Counts an attempt whose upstream broke off before the answer (`hasBegun` false) or within it. */
    readonly countBrokenOff: (service: string, hasBegun: boolean) => void;
    /** Records that a request began to run at an upstream. @default nothing */
    readonly recordRun?: (workspace: string) => void;
    /**
     * Records the outcome of an attempt as evidence about the upstream's version.
     *
     * @param group Answers that are compared between the versions.
     */
    readonly recordEvidence: (
        upstream: RegisteredUpstream,
        group: string,
        outcome: AnswerOutcome,
        timing: AttemptTiming,
    ) => void;
    /**
     * Records an internal error that ended an attempt.
     *
     * @default only the log of the request has it
     */
    readonly recordError?: (error: Error, request: string | undefined) => void;
}

/** Connection timeout, milliseconds: many round trips within a region. */
const CONNECT_MILLISECONDS = 400;

/** Time without response headers after which an upstream counts as hung, relative to the target latency. */
const HEAD_TIMEOUT_RATIO = 1.5;

/**
 * Time without data after which a stream moves to another upstream, relative to the target gap of events.
 * Engines under load pause too, and moving a stream delays it further, so this only detects hung engines.
 */
const GAP_TIMEOUT_RATIO = 2;

/** Time that a request may wait for an upstream with free capacity, relative to the target latency. */
const CAPACITY_WAIT_RATIO = 1 / 8;

/** Number of waits for a slot of an upstream that rejections crash; together the target latency. */
const MAXIMUM_CAPACITY_WAITS = 8;

/** Rejected attempts after which a request that may wait for capacity is rejected. */
const MAXIMUM_REJECTIONS_WITH_WAITS = 8;

/** Share of the retry budget that is unavailable to escalations and to the confirmation of ends. */
const RETRY_RESERVE = 0.25;

/** Reasons given to callers whose request is not sent. */
const QUARANTINE_REASONS: Readonly<Record<SuspectKind, string>> = {
    "prompt part": "a part of the prompt has crashed upstreams",
    request: "the request has crashed upstreams",
};

const QUARANTINE_MESSAGES: Readonly<Record<SuspectKind, string>> = {
    "prompt part": "A part of the prompt is in quarantine.",
    request: "The request is in quarantine.",
};

/** Time after the end of a connection for which an upstream that crashes may still accept others, milliseconds. */
const CRASH_SETTLE_MILLISECONDS = 50;

/** Status of an upstream that is not the one that the request names. */
const HTTP_MISDIRECTED = 421;

/** Minimum number of events from which the time between events is computed. */
const MINIMUM_PACED_EVENTS = 4;

/** Ratio of an attempt's latency to the average: of its headers or of its events, whichever is higher. */
function latencyRatioOf(latencies: LatencyReference, stratum: string, timing: AttemptTiming): number {
    const headRatio = latencies.record(stratum, timing.headMilliseconds ?? 0);
    return timing.paceMilliseconds === undefined
        ? headRatio
        : Math.max(headRatio, latencies.record(`${stratum}\u0000pace`, timing.paceMilliseconds));
}

/** What an attempt says about the version of its upstream; `undefined` when it says nothing. */
function answerOutcomeOf(result: AttemptResult): AnswerOutcome | undefined {
    switch (result.kind) {
        case "delivered":
            return isSuccess(result.status) ? "succeeded" : "failed";
        case "doubted":
            return "succeeded";
        case "failed":
            // The end of a success is uncertain because of its framing, not because of the version.
            return isSuccess(result.response.status) ? undefined : "failed";
        case "unconfirmed":
            return undefined;
        case "lost":
            return result.isBrokenOff === true ? "broken-off" : "unanswered";
        case "ended":
            return result.reason === "deadline exceeded" ? "unanswered" : undefined;
        case "not-run":
        case "withdrawn":
            return undefined;
    }
}

/** Lowers the maximum number of attempts of a route. */
function withinAttempts(route: Route, maximumAttempts: number | undefined): Route {
    return maximumAttempts === undefined || maximumAttempts >= route.maximumAttempts
        ? route
        : { ...route, maximumAttempts };
}

export function createRequestForwarder(options: RequestForwarderOptions) {
    const { clock, codec } = options;
    const sharedEnds = createSharedEnds();

    const hasStoppedListening = async (address: string): Promise<boolean> => {
        await delay(CRASH_SETTLE_MILLISECONDS);
        return (await options.probe(address)) === "refused";
    };

    return async (request: MatchedRequest, response: ServerResponse): Promise<RequestEnd> => {
        const { head, service, trace } = request;
        const route = withinAttempts(request.route, head.maximumAttempts);
        const callerMilliseconds = head.remainingMilliseconds ?? Infinity;
        const deadline = request.arrivedAt + Math.min(callerMilliseconds, route.timeoutMilliseconds);
        const session = { key: sessionKeyOf(head), isSession: head.session !== undefined };
        const fingerprint = fingerprintOf({
            method: request.method,
            host: request.headers.host ?? "",
            path: request.path,
            workspace: request.workspace?.name,
            body: request.body,
        });
        const requestSuspects = [requestSuspectOf(fingerprint)];
        const sharedParts = sharedPartsOf(head.promptParts);
        const suspects = [...requestSuspects, ...sharedParts];
        const excluded = new Set<string>();
        /** Addresses of the upstreams that rejected the request. */
        const rejectedBy = new Set<string>();
        const failedVersions = new Set<string>();
        const routerChoosesModel = head.allowsModelChoice && route.models.length > 0;
        let model = routerChoosesModel ? firstModel(route.models) : undefined;
        let executions = 0;
        let rejections = 0;
        let unreached = 0;
        let unreachedMilliseconds = 0;
        let handovers = 0;
        /** Those of the executions that nodes may have made which took over the request. */
        let handedOverExecutions = 0;
        let waits = 0;
        let firstByteMilliseconds: number | undefined;
        let lastFailure: BufferedResponse | undefined;
        /** Id of the event after which an upstream ended the stream, while nothing shows that there are more. */
        let unconfirmedEndId: string | undefined;
        let isEndAgreed = false;
        let retryAfterSeconds: number | undefined;
        const sink = createResponseSink({
            response,
            encodeHeaders: headers => codec.encodeResponse(withoutRouterMark(headers)),
            lastEventId: route.resumable ? head.lastEventId : undefined,
            eventFields: codec.eventFields,
            ...(request.onUnread === undefined ? {} : { onUnread: request.onUnread }),
            onFirstByte: () => {
                firstByteMilliseconds = clock.now() - request.arrivedAt;
            },
        });
        // A request that is handed over counts in the budget of the node that makes its attempts.
        let isCounted = false;
        const countRequest = (): void => {
            if (!isCounted) {
                isCounted = true;
                options.retryBudget.recordRequest(service.name, clock.now());
            }
        };
        if (options.handover?.isNeeded() !== true) {
            countRequest();
        }

        const placedRequest = (): PlacedRequest => ({
            service: service.name,
            route: route.name,
            targetLatencyMilliseconds: route.targetLatencyMilliseconds,
            bodyBytes: request.body.length,
            expectedEvents: route.kind === "stream" ? expectedOutputTokens(head) : 0,
            affinityKey: affinityKeyOf(head, model),
            isEngine: service.engineTokens !== undefined,
            model,
            promptTokens: head.promptTokens * relativeCost(service, model),
            sharedTokens: sharedTokens(head) * relativeCost(service, model),
        });

        const exchange = options.scarcity?.open(
            request,
            { promptTokens: head.promptTokens, neededTokens: head.promptTokens + expectedOutputTokens(head) },
            deadline,
        );

        const choose = (accepts?: AcceptUpstream): Choice | undefined => {
            const context: ChoiceContext = {
                now: clock.now(),
                affinityKey: affinityKeyOf(head, model),
                sharedTokens: sharedTokens(head) * relativeCost(service, model),
                neededTokens: head.promptTokens + expectedOutputTokens(head),
                capacityTokens: service.engineTokens,
                loadOf: upstream => options.loads.total(upstream.entry.id, clock.now()),
                ejectionsOf: upstream => options.loads.ejections(upstream.entry.id, clock.now()),
                versionPreference: options.versionPreferenceOf(service.name, session, failedVersions),
                excluded,
                coldAllowance: upstream => options.coldAllowance(service, upstream),
                hasRoom: upstream =>
                    options.limits.hasRoom(upstream.process, clock.now()) &&
                    (!options.isBrittle(service.name) || options.hasFreeSlot(upstream)),
                random: options.random,
                ...options.placement?.inputs(placedRequest(), clock.now()),
            };
            return chooseUpstream(
                options.upstreamsOf(service.name),
                exchange?.restrict(context, accepts) ?? context,
            );
        };

        const nextChoice = (): Choice | undefined =>
            exchange === undefined ? choose() : exchange.choose(choose);

        const progress = (hasCandidate: boolean): RequestProgress => ({
            route,
            executions,
            rejections,
            unreached,
            unreachedMilliseconds,
            hasBegun: sink.hasBegun(),
            isEndAgreed,
            canContinue: !sink.hasBegunPlain(),
            isSuspect: options.quarantine.isSuspect(suspects, clock.now()),
            remainingMilliseconds: deadline - clock.now(),
            hasCandidate,
            tryConsumeRetry: () => options.retryBudget.tryConsume(service.name, clock.now()),
        });

        const tryEscalate = (confidence: number | undefined): boolean => {
            const mayRunAgain = isRepeatable(route) && executions + 1 < route.maximumAttempts;
            if (!routerChoosesModel || sink.hasBegun() || !mayRunAgain) {
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
                options.modelChoice,
            );
            const hasBudget = options.retryBudget.remainingShare(service.name, clock.now()) > RETRY_RESERVE;
            if (
                larger === undefined ||
                !hasBudget ||
                !options.retryBudget.tryConsume(service.name, clock.now())
            ) {
                return false;
            }
            model = larger;
            return true;
        };

        const attemptAt = async (choice: Choice): Promise<AttemptResult> => {
            const { upstream } = choice;
            const { process } = upstream;
            const usedModel = model;
            const sentAt = clock.now();
            const eventsBefore = sink.eventCount();
            const stratum = `${route.name}\u0000${usedModel ?? ""}`;
            const loadBefore = options.loads.total(upstream.entry.id, sentAt);
            const requestsInFlight = loadBefore.requests;
            const group = evidenceGroupOf(stratum, requestsInFlight, upstream.entry.slots, choice.isTest);
            let headMilliseconds: number | undefined;
            let headConfidence: number | undefined;
            let limitPerSecond: number | undefined;
            let isUnframed = false;
            let earlierResponses = 0;
            const answerProgress = createAnswerProgress();
            const recordRun = (): void => {
                if (request.workspace !== undefined) {
                    options.recordRun?.(request.workspace.name);
                }
            };
            countRequest();
            const placed = options.placement?.begin(placedRequest(), choice, loadBefore, sentAt);
            const load = options.loads.begin(
                upstream.entry.id,
                placed?.pendingTokens ?? head.promptTokens * relativeCost(service, usedModel),
                head.promptTokens + expectedOutputTokens(head),
            );
            options.recordSend(session, upstream);
            recordSend(upstream, sentAt);
            options.limits.consume(process, sentAt);
            trace.add("attempts", "Sent the request to an upstream.", {
                upstream: upstream.entry.id,
                dataCentre: upstream.entry.dataCentre,
                version: upstream.entry.version,
                model: usedModel,
                score: Math.round(choice.score * 10) / 10,
                runnerUp: choice.runnerUp,
                candidates: choice.candidates,
                requestsInFlight,
                loadTest: choice.isTest ? true : undefined,
                remainingMilliseconds: Math.round(deadline - sentAt),
                resumeAfter: sink.lastEventId(),
                ...placed?.fields,
            });
            // Without another upstream, a request has no timeout for hung upstreams: it could not be retried.
            const canRetryElsewhere =
                isRepeatable(route) && choice.candidates > 1 && executions + 1 < route.maximumAttempts;
            // An attempt that only confirms an end is not worth the wait.
            const hasTimeouts = canRetryElsewhere || unconfirmedEndId !== undefined;
            const canConfirm = (): boolean =>
                options.retryBudget.remainingShare(service.name, clock.now()) > RETRY_RESERVE &&
                !options.quarantine.isSuspect(suspects, clock.now());
            const hasOtherUpstream = (): boolean =>
                options
                    .upstreamsOf(service.name)
                    .some(({ entry }) => entry.id !== upstream.entry.id && !excluded.has(entry.id));
            const confirmations =
                canRetryElsewhere && canConfirm()
                    ? Math.min(choice.candidates, route.maximumAttempts - executions) - 1
                    : 0;
            const scarceAttempt = exchange?.begin(upstream);
            const usualHeadMilliseconds = route.targetLatencyMilliseconds * HEAD_TIMEOUT_RATIO;
            const withdrawal = new AbortController();
            const endWatch = options.quarantine.watch(suspects, suspect =>
                withdrawal.abort(QUARANTINE_REASONS[kindOfSuspect(suspect)]),
            );
            const result = await runAttempt({
                send: placed?.send ?? options.send,
                request: {
                    address: `http://${upstream.entry.address}`,
                    method: request.method,
                    path: request.path,
                    headers: codec.encodeRequest(request.headers, {
                        remainingMilliseconds: Math.max(1, Math.floor(deadline - sentAt)),
                        upstreamId: upstream.entry.id,
                        workspace: request.workspace?.name,
                        model: usedModel,
                        lastEventId: sink.lastEventId(),
                        priority: options.scarcity?.enginePriorityOf(request),
                    }),
                    body: request.body.length === 0 ? undefined : request.body,
                    dedicatedConnection: needsNewConnection(route, rejectedBy.has(upstream.entry.address)),
                    headTimeoutMilliseconds: 0,
                    idleTimeoutMilliseconds: 0,
                },
                attemptId: head.attemptId,
                sink,
                decodeHead: (status, headers) => codec.decodeResponse(status, headers),
                tryEscalate,
                connectMilliseconds:
                    options.scarcity?.connectMilliseconds(route, service) ?? CONNECT_MILLISECONDS,
                onError: error => options.recordError?.(error, head.attemptId),
                headMilliseconds: hasTimeouts
                    ? (scarceAttempt?.headMilliseconds(usualHeadMilliseconds, deadline - sentAt) ??
                      usualHeadMilliseconds)
                    : undefined,
                gapMilliseconds:
                    hasTimeouts && route.targetGapMilliseconds !== undefined
                        ? route.targetGapMilliseconds * GAP_TIMEOUT_RATIO
                        : undefined,
                remainingMilliseconds: Math.max(0, deadline - sentAt),
                mayRetryUnframed: () =>
                    isRepeatable(route) &&
                    executions + 1 < route.maximumAttempts &&
                    hasOtherUpstream() &&
                    canConfirm(),
                expectsConfirmation: expectsConfirmation(
                    options.framing.unframedShare(service.name),
                    confirmations,
                ),
                callerLeft: request.callerLeft,
                withdrawn: withdrawal.signal,
                hasCrashed: async () => {
                    const endedAt = clock.now();
                    sharedEnds.record(process, endedAt);
                    const isGone = await hasStoppedListening(upstream.entry.address);
                    const isSharedEnd = sharedEnds.isShared(process, endedAt - CRASH_SETTLE_MILLISECONDS);
                    // One that leaves may refuse connections before it ends its streams.
                    return isGone && (!options.isLeaving(upstream) || isSharedEnd);
                },
                onEvents: isFirst => {
                    if (isFirst) {
                        recordRun();
                        options.quarantine.recordAnswer(sharedParts, clock.now());
                    }
                    if (answerProgress.recordEvent(clock.now())) {
                        options.quarantine.recordSurvival(service.name, sharedParts, clock.now());
                    }
                },
                onHead: (responseHead, status, isFramed, earlier) => {
                    earlierResponses = earlier;
                    scarceAttempt?.recordHead();
                    isUnframed = !isFramed;
                    const isStream = isSuccess(status) && responseHead.isEventStream;
                    if (!isStream && !responseHead.isNotRun && !signalsNotRun(status)) {
                        recordRun();
                    }
                    if (isSuccess(status) && responseHead.isEventStream) {
                        options.framing.record(service.name, isFramed);
                    }
                    if (status !== HTTP_MISDIRECTED) {
                        options.quarantine.recordResponse(process, sentAt, clock.now());
                    }
                    if (responseHead.isLeaving) {
                        options.recordLeaving(upstream);
                    }
                    options.recordBrittle(
                        upstream,
                        responseHead.maximumRejectionsPerSecond !== undefined,
                        sentAt,
                    );
                    load.promptRead();
                    headConfidence = responseHead.confidence;
                    limitPerSecond = responseHead.limitPerSecond;
                    // Only an answer shows that the upstream names no limit any more.
                    if (limitPerSecond !== undefined || isSuccess(status)) {
                        options.limits.record(process, limitPerSecond, sentAt, clock.now());
                    }
                    headMilliseconds = clock.now() - sentAt;
                    if (isSuccess(status)) {
                        placed?.recordAnswer(clock.now());
                    }
                },
            });
            endWatch();
            load.end();
            scarceAttempt?.end(result);
            const endedAt = clock.now();
            const events = sink.eventCount() - eventsBefore;
            if (result.kind === "delivered") {
                options.quarantine.recordAnswer(requestSuspects, endedAt);
                // A stream without framing may have ended in a crash.
                if (isSuccess(result.status) && (events === 0 || !isUnframed)) {
                    options.quarantine.recordSurvival(service.name, sharedParts, endedAt);
                }
            }
            const isBrokenOff = result.kind === "lost" && result.isBrokenOff === true;
            options.countAttempt(service.name, upstream.entry.version, usedModel, result.kind);
            if (isBrokenOff) {
                sharedEnds.record(process, endedAt);
                options.countBrokenOff(service.name, events > 0);
                if (!options.isLeaving(upstream)) {
                    if (events === 0) {
                        options.quarantine.recordBreak(process, suspects, endedAt);
                    }
                    else {
                        const parts = isUnframed ? [] : sharedParts;
                        options.quarantine.recordBreakWithinAnswer(
                            process,
                            { service: service.name, request: requestSuspects, parts },
                            endedAt,
                        );
                    }
                }
            }
            const timing: AttemptTiming = {
                headMilliseconds,
                paceMilliseconds:
                    headMilliseconds === undefined || events < MINIMUM_PACED_EVENTS
                        ? undefined
                        : (endedAt - sentAt - headMilliseconds) / events,
            };
            placed?.end(timing.paceMilliseconds, endedAt);
            const outcome = answerOutcomeOf(result);
            // A retry is not independent of the attempt before: the request itself may fail everywhere.
            if (outcome !== undefined && executions === 0) {
                options.recordEvidence(upstream, group, outcome, {
                    ...timing,
                    headMilliseconds: headMilliseconds ?? endedAt - sentAt,
                });
            }
            recordResult(result, upstream, stratum, timing, endedAt - sentAt);
            recordEnd(result);
            trace.add("attempts", "An attempt ended.", {
                upstream: upstream.entry.id,
                model: usedModel,
                result: result.kind,
                reason: "reason" in result ? result.reason : undefined,
                brokenOff: isBrokenOff ? true : undefined,
                fingerprint: isBrokenOff ? fingerprint : undefined,
                unframed: isUnframed ? true : undefined,
                earlierResponses: earlierResponses > 0 ? earlierResponses : undefined,
                events: events > 0 ? events : undefined,
                confidence: headConfidence,
                limitPerSecond,
                headMilliseconds: headMilliseconds === undefined ? undefined : Math.round(headMilliseconds),
                milliseconds: Math.round(endedAt - sentAt),
            });
            return result;
        };

        /** Records whether the stream may have ended after its last event. */
        const recordEnd = (result: AttemptResult): void => {
            if (result.kind === "unconfirmed") {
                isEndAgreed =
                    !result.hasNewEvents &&
                    !sink.isEndRefuted() &&
                    unconfirmedEndId !== undefined &&
                    unconfirmedEndId === sink.lastEventId();
                unconfirmedEndId = sink.lastEventId();
                return;
            }
            if (result.kind === "lost" && result.refutesEnd === true) {
                sink.refuteEnd();
            }
            if (sink.isEndRefuted() || sink.isWithinEvent() || unconfirmedEndId !== sink.lastEventId()) {
                unconfirmedEndId = undefined;
            }
        };

        const recordResult = (
            result: AttemptResult,
            upstream: RegisteredUpstream,
            stratum: string,
            timing: AttemptTiming,
            milliseconds: number,
        ): void => {
            const now = clock.now();
            switch (result.kind) {
                case "delivered":
                case "doubted": {
                    upstream.health.recordSuccess(latencyRatioOf(options.latencies, stratum, timing));
                    break;
                }
                case "not-run":
                    excluded.add(upstream.entry.id);
                    retryAfterSeconds = result.retryAfterSeconds;
                    if (result.isUnreached !== true) {
                        rejectedBy.add(upstream.entry.address);
                    }
                    if (result.isUnreached === true || result.isGone === true) {
                        unreached += 1;
                        unreachedMilliseconds += milliseconds;
                        upstream.health.recordUnreached(now, result.isGone === true);
                        if (result.isUnreached === true) {
                            options.recordUnanswered(upstream);
                        }
                    }
                    else {
                        rejections += 1;
                        const pauseSeconds = pauseAfterRejection(
                            {
                                status: result.status ?? 0,
                                retryAfterSeconds: result.retryAfterSeconds,
                                maximumRejectionsPerSecond: result.maximumRejectionsPerSecond,
                            },
                            options.nodeCount(),
                        );
                        upstream.health.recordRejection(now, pauseSeconds);
                    }
                    return;
                case "failed":
                case "lost":
                    excluded.add(upstream.entry.id);
                    failedVersions.add(upstream.entry.version);
                    upstream.health.recordFailure(now);
                    if (result.kind === "lost") {
                        options.recordUnanswered(upstream);
                    }
                    lastFailure = result.kind === "failed" ? result.response : lastFailure;
                    break;
                case "unconfirmed":
                    excluded.add(upstream.entry.id);
                    if (result.hasNewEvents) {
                        upstream.health.recordSuccess(latencyRatioOf(options.latencies, stratum, timing));
                    }
                    break;
                case "ended":
                case "withdrawn":
                    break;
            }
            executions += 1;
        };

        /**
         * Waits until an upstream may have free capacity: once, or several times where a request must not wait at
         * the upstream.
         */
        const waitForCapacity = async (): Promise<boolean> => {
            const wait = route.targetLatencyMilliseconds * CAPACITY_WAIT_RATIO;
            const maximumWaits = options.isBrittle(service.name) ? MAXIMUM_CAPACITY_WAITS : 1;
            if (waits >= maximumWaits || sink.hasBegun() || deadline - clock.now() < 2 * wait) {
                return false;
            }
            waits += 1;
            trace.add("attempts", "Waiting for an upstream with free capacity.", { milliseconds: wait });
            await new Promise(resolve => setTimeout(resolve, wait));
            return !request.callerLeft.aborted;
        };

        /**
         * Returns why a request must not be sent any more. A node that was held up reads requests whose callers
         * have already left, and their closed connections after them.
         */
        const reasonNotToSend = async (): Promise<NextStep | undefined> => {
            await nextPoll();
            if (request.callerLeft.aborted) {
                return { kind: "caller-left" };
            }
            return clock.now() >= deadline ? { kind: "timed-out" } : undefined;
        };

        const hasHelper = (excludedHelpers: ReadonlySet<string>): boolean =>
            options.handover?.isNeeded() === true &&
            options.handover.chooseHelper(excludedHelpers) !== undefined;

        /** Lets another node serve the request; `undefined` when this node should do so. */
        const tryHandover = async (excludedHelpers: Set<string>): Promise<NextStep | undefined> => {
            const { handover } = options;
            const attemptsLeft = route.maximumAttempts - executions;
            if (handover?.isNeeded() !== true || attemptsLeft < 1 || sink.hasBegunPlain()) {
                return undefined;
            }
            const helper = handover.chooseHelper(excludedHelpers);
            if (helper === undefined) {
                return undefined;
            }
            excludedHelpers.add(helper.id);
            const helperAttempts = attemptsOfHelper(
                route,
                attemptsLeft,
                handover.chooseHelper(excludedHelpers) !== undefined,
            );
            // A request that can be repeated is taken from a helper that hangs.
            // Where capacity is scarce, a sound helper holds requests until it is their turn.
            const headMilliseconds =
                helperAttempts < attemptsLeft && options.scarcity === undefined
                    ? route.targetLatencyMilliseconds * HEAD_TIMEOUT_RATIO * helperAttempts
                    : undefined;
            handovers += 1;
            handover.onHandover();
            const sentAt = clock.now();
            const remainingMilliseconds = Math.max(1, Math.floor(deadline - sentAt));
            trace.add("attempts", "Handed the request over to another node.", {
                node: helper.id,
                remainingMilliseconds,
                attempts: helperAttempts,
                resumeAfter: sink.lastEventId(),
            });
            const result = await runAttempt({
                send: options.send,
                request: {
                    address: `http://${helper.address}`,
                    method: request.method,
                    path: request.path,
                    headers: {
                        ...codec.encodeHandover(request.headers, remainingMilliseconds, sink.lastEventId()),
                        ...encodeMaximumAttempts(helperAttempts),
                    },
                    body: request.body.length === 0 ? undefined : request.body,
                    dedicatedConnection: needsNewConnection(route, false),
                    headTimeoutMilliseconds: 0,
                    idleTimeoutMilliseconds: 0,
                },
                attemptId: head.attemptId,
                sink,
                decodeHead: (status, headers) => decodeHelperResponse(codec, status, headers),
                // The helper has chosen the model.
                tryEscalate: () => false,
                onError: error => options.recordError?.(error, head.attemptId),
                connectMilliseconds: CONNECT_MILLISECONDS,
                headMilliseconds,
                gapMilliseconds:
                    headMilliseconds === undefined || route.targetGapMilliseconds === undefined
                        ? undefined
                        : route.targetGapMilliseconds * GAP_TIMEOUT_RATIO + headMilliseconds,
                remainingMilliseconds,
                mayRetryUnframed: () => false,
                expectsConfirmation: false,
                // A helper of a version that sends streams without framing.
                hasCrashed: () => hasStoppedListening(helper.address),
                callerLeft: request.callerLeft,
            });
            trace.add("attempts", "A handover ended.", {
                node: helper.id,
                result: result.kind,
                reason: "reason" in result ? result.reason : undefined,
                milliseconds: Math.round(clock.now() - sentAt),
            });
            if (result.kind === "not-run") {
                retryAfterSeconds = result.retryAfterSeconds;
            }
            else {
                executions += helperAttempts;
                handedOverExecutions += helperAttempts;
            }
            lastFailure = result.kind === "failed" ? result.response : lastFailure;
            recordEnd(result);
            // The node may have its path again.
            const canRepeat = handover.isNeeded() ? hasHelper(excludedHelpers) : nextChoice() !== undefined;
            return nextStepAfterHandover(result, progress(canRepeat));
        };

        const runAttempts = async (): Promise<NextStep> => {
            const excludedHelpers = new Set<string>();
            let isAdmitted = false;
            for (;;) {
                const end = await reasonNotToSend();
                if (end !== undefined) {
                    return end;
                }
                const handedOver = await tryHandover(excludedHelpers);
                if (handedOver?.kind === "retry") {
                    continue;
                }
                if (handedOver !== undefined) {
                    return handedOver;
                }
                const admission: AdmissionOutcome | undefined =
                    isAdmitted || executions > 0 || sink.hasBegun()
                        ? undefined
                        : await exchange?.admit(choose, () => excluded.clear());
                if (admission?.kind === "rejected") {
                    retryAfterSeconds = admission.retryAfterSeconds;
                    return rejectOrFail(progress(false), admission.reason);
                }
                // After a wait, the caller may have left.
                isAdmitted = admission?.hasWaited === true;
                if (isAdmitted) {
                    continue;
                }
                let choice = admission?.choice ?? nextChoice();
                while (choice === undefined && executions === 0 && (await waitForCapacity())) {
                    excluded.clear();
                    choice = nextChoice();
                }
                if (choice === undefined) {
                    return lastFailure !== undefined && !sink.hasBegun()
                        ? { kind: "pass-failure" }
                        : rejectOrFail(progress(false), "no upstream can take the request");
                }
                const rejection = options.quarantine.reject(suspects, clock.now());
                if (rejection !== undefined) {
                    retryAfterSeconds = rejection.retryAfterSeconds;
                    const kind = kindOfSuspect(rejection.suspect);
                    trace.add("attempts", QUARANTINE_MESSAGES[kind], {
                        ...describeSuspect(rejection.suspect),
                        retryAfterSeconds,
                    });
                    return rejectOrFail(progress(false), QUARANTINE_REASONS[kind]);
                }
                const result = await attemptAt(choice);
                const canRepeat = hasHelper(excludedHelpers) || nextChoice() !== undefined;
                const step = nextStep(result, progress(canRepeat));
                const waitsAgain =
                    step.kind === "reject" &&
                    result.kind === "not-run" &&
                    result.isUnreached !== true &&
                    exchange !== undefined &&
                    rejections > 0 &&
                    rejections < MAXIMUM_REJECTIONS_WITH_WAITS &&
                    options.retryBudget.tryConsume(service.name, clock.now());
                if (step.kind !== "retry" && !waitsAgain) {
                    return step;
                }
            }
        };

        const lastStep = await runAttempts();
        const step =
            unconfirmedEndId !== undefined && sink.hasBegun() ? endAfterUnconfirmed(lastStep) : lastStep;
        const ended = endRequest(step, {
            response,
            codec,
            attemptId: head.attemptId,
            sink,
            isEndAgreed,
            lastFailure,
            retryAfterSeconds,
        });
        return {
            ...ended,
            attempts: executions - handedOverExecutions + rejections + unreached + handovers,
            firstByteMilliseconds,
            isEndUnconfirmed: sink.hasUnconfirmedEnd(),
        };
    };
}
