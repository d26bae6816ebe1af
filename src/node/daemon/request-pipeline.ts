/**
 * Request pipeline of a node: connects the dispatch system with exchanges, sessions, claims and billing. The
 * functions that perform I/O are passed in, so that tests can run it without opening a port.
 */
import { createHash } from "node:crypto";
import type { Billing } from "../billing/billing.js";
import type { CallerReply, CompletionSubmission, ServiceSubmission, Submission } from "../callers/reply.js";
import { DEFAULT_EXPECTED_TOKENS } from "../callers/validation.js";
import type { Claims } from "../claims/claims.js";
import type { Clock } from "../common/clock.js";
import type { Random } from "../common/random.js";
import type { ConfigurationView } from "../configuration/configuration.js";
import type { AnsweredRequest } from "../dispatch/completion-exchange.js";
import { estimateTokens, promptText } from "../dispatch/completion-exchange.js";
import { createDispatchSystem } from "../dispatch/dispatch.js";
import type { CascadeDecisions, DispatchSystem } from "../dispatch/dispatch.js";
import { createExchangeRegistry } from "../dispatch/exchange-registry.js";
import type { ExchangeRegistry } from "../dispatch/exchange-registry.js";
import { createReplayBudget } from "../dispatch/replay-buffer.js";
import type {
    AttemptState,
    DispatchEvent,
    IncomingRequest,
    RequestState,
    SessionReference,
} from "../dispatch/requests.js";
import { createWorkspaceLimits } from "../dispatch/workspace-limits.js";
import type { Invariants } from "../invariants/invariants.js";
import type { LoggerFactory } from "../logging/logging.js";
import { METRICS } from "../metrics/names.js";
import type { Metrics } from "../metrics/metrics.js";
import { prefixBlocks } from "../placement/engine-choice.js";
import type { EngineChoice } from "../placement/engine-choice.js";
import { isRepeatable } from "../permission/permission.js";
import type { SessionPins } from "../sessions/pins.js";
import { createSessionTokens } from "../sessions/sessions.js";
import type { RampingVersion } from "../sessions/sessions.js";
import type { ResolvedConfig } from "../settings/settings.js";
import type { Ticker } from "../ticker/ticker.js";
import type { UpstreamSend } from "../upstreams/send.js";

export interface RequestPipelineDependencies {
    readonly config: ResolvedConfig;
    readonly clock: Clock;
    readonly random: Random;
    readonly ticker: Ticker;
    readonly createLogger: LoggerFactory;
    readonly metrics: Metrics;
    readonly invariants: Invariants;
    readonly configuration: ConfigurationView;
    readonly claims: Claims;
    readonly billing: Billing;
    readonly send: UpstreamSend;
    /** Whether no process listens at the base URL of an upstream any more. @default it is not asked */
    readonly hasCrashed?: (address: string) => Promise<boolean>;
    readonly upstreamChoice: EngineChoice;
    readonly pins: SessionPins;
    readonly cascade: CascadeDecisions;
    readonly rampingVersion: (model: string) => RampingVersion | undefined;
    readonly rate: (request: RequestState, prompt: string, answer: string) => Promise<number | undefined>;
    readonly onAnswered: (answer: AnsweredRequest) => void;
    readonly onAnswerFailure: (request: RequestState, attempt: AttemptState) => void;
    /** Whether a rollout found a version faulty, so that the version gets no new requests. */
    readonly isWithdrawn: (model: string, version: string) => boolean;
    /** Number of nodes that serve callers, including this one. */
    readonly activeNodes: () => number;
    /** Identifies one run of the process; unique over all nodes and restarts. */
    readonly incarnation: string;
}

export interface RequestPipeline {
    submit(submission: Submission, reply: CallerReply): void;
    readonly dispatch: DispatchSystem;
    readonly exchanges: ExchangeRegistry;
    newRequestId(): string;
    /** Rejects all further requests. */
    stopAccepting(): void;
    /** Resolves when no request is running. */
    whenIdle(): Promise<void>;
    isReady(): boolean;
}

export function createRequestPipeline(dependencies: RequestPipelineDependencies): RequestPipeline {
    const { clock, config, configuration, metrics, upstreamChoice } = dependencies;
    const admission = upstreamChoice.gate;
    const log = dependencies.createLogger("dispatch");
    const sessionTokens = createSessionTokens(config.secrets.sealingKey, config.sessions.idleMilliseconds);
    const replayBudget = createReplayBudget();
    let accepting = true;
    let requestCount = 0;
    let attemptCount = 0;
    let idleListeners: (() => void)[] = [];

    const newRequestId = (): string => `${dependencies.incarnation}-r${(requestCount += 1)}`;

    const dispatch = createDispatchSystem({
        configuration,
        admission,
        limits: createWorkspaceLimits(dependencies.activeNodes, config.callers.maximumRequestsPerWorkspace),
        invariants: dependencies.invariants,
        chooseUpstream: (candidates, request, now) => upstreamChoice.choose(candidates, request, now),
        subset: (served, all) => upstreamChoice.subset(served, all),
        cascade: dependencies.cascade,
        rampingVersion: dependencies.rampingVersion,
        isWithdrawn: dependencies.isWithdrawn,
        pinOf: dependencies.pins.pinOf,
        pin: dependencies.pins.pin,
        sessionIdleMilliseconds: config.sessions.idleMilliseconds,
        hasBillCapacity: () => dependencies.billing.hasCapacity(),
        isAccepting: () => accepting,
        wallTime: clock.wallTime,
        random: dependencies.random,
        newAttemptId: () => `${dependencies.incarnation}-a${(attemptCount += 1)}`,
        retryShare: config.limits.retryShare,
        queueLength: config.limits.queueLength,
    });

    const system = dependencies.ticker.attach<DispatchEvent, Parameters<ExchangeRegistry["execute"]>[0]>(
        "dispatch",
        (events, now) => dispatch.step(events, now),
        action => {
            if (action.kind === "reject") {
                const { code, verdict } = action.error;
                metrics.count(METRICS.refusals.name, 1, { code, verdict });
                log.debug("Rejected a request.", { request: action.requestId, code, verdict });
            }
            exchanges.execute(action);
        },
    );
    admission.onCredit(() => {
        dispatch.notifyCreditAvailable();
        dependencies.ticker.wake();
    });

    const { hasCrashed } = dependencies;
    const exchanges = createExchangeRegistry({
        send: dependencies.send,
        ...(hasCrashed === undefined
            ? {}
            : {
                  // An upstream that leaves may stop listening before its last answers end.
                  hasCrashed: async (upstream, address) =>
                      configuration.current().upstream.get(upstream)?.state === "active" &&
                      (await hasCrashed(address)),
              }),
        billing: dependencies.billing,
        claims: dependencies.claims,
        post: event => system.post(event),
        now: clock.now,
        wallTime: clock.wallTime,
        idleTimeoutMilliseconds: config.callers.idleTimeoutMilliseconds,
        stalledReaderMilliseconds: config.callers.stalledReaderMilliseconds,
        replayBudget,
        sealSession: (workspace, version) =>
            sessionTokens.seal({ workspace, ...version, issuedAt: clock.wallTime() }),
        costPerThousandTokens: upstream =>
            configuration.current().upstream.get(upstream)?.costPerThousandTokens ?? 0,
        rate: dependencies.rate,
        onAnswered: answer => {
            upstreamChoice.recordPrompt(answer.attempt.upstream, answer.request.prefix);
            if (answer.firstTokenMilliseconds !== undefined) {
                const { target } = answer.request;
                const { version } = answer.attempt.version!;
                metrics.timing(METRICS.firstToken.name, answer.firstTokenMilliseconds, { target, version });
            }
            dependencies.onAnswered(answer);
        },
        onAnswerFailure: dependencies.onAnswerFailure,
        onUpstreamHead: (upstream, head) => upstreamChoice.recordHead(upstream, head, clock.now()),
        onCrossedAnswer: () => {
            metrics.count(METRICS.crossedAnswers.name, 1);
            log.warn("Discarded an answer that belongs to another attempt.");
        },
        onClosed: (_requestId, outcome) => {
            metrics.count(METRICS.requests.name, 1, { outcome });
            notifyWhenIdle();
        },
    });

    const notifyWhenIdle = (): void => {
        if (exchanges.size === 0) {
            idleListeners.forEach(listener => listener());
            idleListeners = [];
        }
    };

    const sessionOf = (submission: CompletionSubmission): SessionReference => {
        const hold =
            submission.sessionToken === undefined
                ? undefined
                : sessionTokens.open(submission.sessionToken, clock.wallTime());
        return {
            id: submission.sessionId,
            hold: hold?.workspace === submission.workspace ? hold : undefined,
        };
    };

    const deadlineOf = (submission: Submission): number =>
        clock.now() + (submission.timeoutMilliseconds ?? config.callers.requestTimeoutMilliseconds);

    const completionRequest = (id: string, submission: CompletionSubmission): IncomingRequest => {
        const prompt = promptText(submission);
        return {
            id,
            workspace: submission.workspace,
            kind: "completion",
            target: submission.body.model,
            repeatable: true,
            streams: submission.body.stream === true,
            memoryTokens: estimateTokens(prompt) + (submission.body.max_tokens ?? DEFAULT_EXPECTED_TOKENS),
            prefix: prefixBlocks(prompt),
            priority: submission.job === undefined || submission.job.urgent ? "interactive" : "deferred",
            deadline: deadlineOf(submission),
            session: sessionOf(submission),
            taskKind: taskKindOf(prompt),
        };
    };

    const serviceRequest = (id: string, submission: ServiceSubmission): IncomingRequest => {
        const repeatable = isRepeatable(
            configuration.governing(),
            submission.service,
            submission.method,
            submission.path,
        );
        return {
            id,
            workspace: submission.workspace,
            kind: "service",
            target: submission.service,
            repeatable,
            claim:
                repeatable || submission.idempotencyKey === undefined
                    ? undefined
                    : {
                          key: {
                              service: submission.service,
                              workspace: submission.workspace,
                              idempotencyKey: submission.idempotencyKey,
                          },
                          bodyHash: hashCall(submission),
                      },
            streams: false,
            memoryTokens: 0,
            prefix: [],
            priority: "interactive",
            deadline: deadlineOf(submission),
            session: {},
            taskKind: "",
        };
    };

    return {
        submit: (submission, reply) => {
            const id = newRequestId();
            exchanges.open(id, submission, reply);
            const request =
                submission.kind === "completion"
                    ? completionRequest(id, submission)
                    : serviceRequest(id, submission);
            system.post({ kind: "arrived", request });
        },
        dispatch,
        exchanges,
        newRequestId,
        stopAccepting: () => {
            accepting = false;
        },
        whenIdle: () =>
            exchanges.size === 0
                ? Promise.resolve()
                : new Promise(resolve => {
                      idleListeners.push(resolve);
                  }),
        isReady: () => accepting && configuration.isFresh(clock.now()),
    };
}

/** Hashes method, path and body, so that an idempotency key cannot be reused for a different call. */
function hashCall(submission: ServiceSubmission): string {
    return createHash("sha256")
        .update(`${submission.method} ${submission.path}\n`)
        .update(submission.body)
        .digest("hex");
}

/** Groups prompts by length on a logarithmic scale: short questions and long reports differ in difficulty. */
function taskKindOf(prompt: string): string {
    return `length-${Math.ceil(Math.log2(prompt.length + 1))}`;
}
