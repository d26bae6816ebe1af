/**
 * A whole node: composes the systems with the functions that do I/O. A program that supplies these functions
 * can drive a node without opening a port.
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

export interface NodeDependencies {
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
    readonly runners: EngineChoice;
    readonly pins: SessionPins;
    readonly cascade: CascadeDecisions;
    readonly rampingVersion: (model: string) => RampingVersion | undefined;
    readonly rate: (request: RequestState, prompt: string, answer: string) => Promise<number | undefined>;
    readonly onAnswered: (answer: AnsweredRequest) => void;
    readonly onBadAnswer: (request: RequestState, attempt: AttemptState) => void;
    /** Whether a roll-out found a version bad, so that it gets no new work. */
    readonly isWithdrawn: (model: string, version: string) => boolean;
    /** Number of nodes that callers are spread over, this one included. */
    readonly activeNodes: () => number;
    /** Unique over all nodes and starts. */
    readonly incarnation: string;
}

export interface RouterNode {
    submit(submission: Submission, reply: CallerReply): void;
    readonly dispatch: DispatchSystem;
    readonly exchanges: ExchangeRegistry;
    newRequestId(): string;
    /** Refuses further requests from now on. */
    stopAccepting(): void;
    /** Resolves when no request is under way. */
    whenIdle(): Promise<void>;
    isReady(): boolean;
}

export function createNode(dependencies: NodeDependencies): RouterNode {
    const { clock, config, configuration, metrics, runners } = dependencies;
    const admission = runners.gate;
    const log = dependencies.createLogger("dispatch");
    const tokens = createSessionTokens(config.secrets.sealingKey, config.sessions.idleMilliseconds);
    const replayBudget = createReplayBudget();
    let accepting = true;
    let nextRequest = 0;
    let nextAttempt = 0;
    let idleListeners: (() => void)[] = [];

    const newRequestId = (): string => `${dependencies.incarnation}-r${(nextRequest += 1)}`;

    const dispatch = createDispatchSystem({
        configuration,
        admission,
        limits: createWorkspaceLimits(dependencies.activeNodes, config.callers.maximumRequestsPerWorkspace),
        invariants: dependencies.invariants,
        chooseUpstream: (candidates, request, now) => runners.choose(candidates, request, now),
        subset: (served, all) => runners.subset(served, all),
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
        newAttemptId: () => `${dependencies.incarnation}-a${(nextAttempt += 1)}`,
        retryShare: config.limits.retryShare,
        queueLength: config.limits.queueLength,
    });

    const system = dependencies.ticker.attach<DispatchEvent, Parameters<ExchangeRegistry["execute"]>[0]>(
        "dispatch",
        (events, now) => dispatch.step(events, now),
        action => {
            if (action.kind === "refuse") {
                const { code, verdict } = action.error;
                metrics.count(METRICS.refusals.name, 1, { code, verdict });
                log.debug("Refused a request.", { request: action.requestId, code, verdict });
            }
            exchanges.execute(action);
        },
    );
    admission.onCredit(() => {
        dispatch.notifyCreditAvailable();
        dependencies.ticker.wake();
    });

    const exchanges = createExchangeRegistry({
        send: dependencies.send,
        billing: dependencies.billing,
        claims: dependencies.claims,
        post: event => system.post(event),
        now: clock.now,
        wallTime: clock.wallTime,
        idleTimeoutMilliseconds: config.callers.idleTimeoutMilliseconds,
        stalledReaderMilliseconds: config.callers.stalledReaderMilliseconds,
        replayBudget,
        sealSession: (workspace, version) =>
            tokens.seal({ workspace, ...version, issuedAt: clock.wallTime() }),
        costPerThousandTokens: upstream =>
            configuration.current().upstream.get(upstream)?.costPerThousandTokens ?? 0,
        rate: dependencies.rate,
        onAnswered: answer => {
            runners.recordPrompt(answer.attempt.upstream, answer.request.prefix);
            if (answer.firstTokenMilliseconds !== undefined) {
                const { target } = answer.request;
                const { version } = answer.attempt.version!;
                metrics.timing(METRICS.firstToken.name, answer.firstTokenMilliseconds, { target, version });
            }
            dependencies.onAnswered(answer);
        },
        onAnswerFailure: dependencies.onBadAnswer,
        onUpstreamHead: (upstream, head) => runners.recordHead(upstream, head, clock.now()),
        onCrossedAnswer: () => {
            metrics.count(METRICS.crossedAnswers.name, 1);
            log.warn("Dropped an answer that belongs to another attempt.");
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
                : tokens.open(submission.sessionToken, clock.wallTime());
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
                          bodyHash: hashOfCall(submission),
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

/** Hash of what a call asks for, so that an idempotency key cannot be used for another call. */
function hashOfCall(submission: ServiceSubmission): string {
    return createHash("sha256")
        .update(`${submission.method} ${submission.path}\n`)
        .update(submission.body)
        .digest("hex");
}

/** Buckets prompts by length, on a logarithmic scale: short questions and long reports differ in difficulty. */
function taskKindOf(prompt: string): string {
    return `length-${Math.ceil(Math.log2(prompt.length + 1))}`;
}
