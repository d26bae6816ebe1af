/**
 * Composes all components of a node that is configured by change tickets. The functions that perform I/O are
 * passed in: the daemon passes real clients and servers, and tests pass fakes to run several nodes in one
 * process without opening a port.
 */
import type { AdmissionGate } from "../admission/admission.js";
import { createAdmission } from "../admission/create-admission.js";
import type { Billing } from "../billing/billing.js";
import { createBilling } from "../billing/create-billing.js";
import type { PlacementFunction } from "../placement/placement.js";
import { createEngineChoice } from "../placement/engine-choice.js";
import type { EngineChoice } from "../placement/engine-choice.js";
import { createCascadeRouter } from "../cascade/cascade-router.js";
import { createCascadePolicy } from "../cascade/policy.js";
import type { CascadePolicy } from "../cascade/policy.js";
import type { IncomingRequest } from "../dispatch/requests.js";
import type { Claims } from "../claims/claims.js";
import { createClaims } from "../claims/create-claims.js";
import type { Clock } from "../common/clock.js";
import type { Random } from "../common/random.js";
import type { ConfigurationView } from "../configuration/configuration.js";
import { createConfiguration } from "../configuration/create-configuration.js";
import type { Configuration } from "../configuration/create-configuration.js";
import { createDeferred } from "../deferred/deferred.js";
import type { Deferred, JobSubmission } from "../deferred/deferred.js";
import { DEFERRED_CAPACITY_SHARE } from "../deferred/constants.js";
import { createJobRunner } from "../deferred/job-runner.js";
import type { Invariants } from "../invariants/invariants.js";
import { createLeases } from "../leases/leases.js";
import type { Leases } from "../leases/leases.js";
import type { Lifecycle } from "../lifecycle/lifecycle.js";
import type { LoggerFactory } from "../logging/logging.js";
import { createMembership } from "../membership/create-membership.js";
import type { Membership } from "../membership/membership.js";
import type { Metrics } from "../metrics/metrics.js";
import type { Peers } from "../peers/peers.js";
import { resolveTarget } from "../permission/permission.js";
import type { ObjectStore } from "../outside-services/object-store.js";
import { createRolloutExchange } from "../rollout/rollout-exchange.js";
import { createRollouts } from "../rollout/rollouts.js";
import type { Rollouts } from "../rollout/interface.js";
import type { RateAnswer } from "../outside-services/rating-service.js";
import type { TableService } from "../outside-services/table-service.js";
import { createSessionPins } from "../sessions/pins.js";
import type { SessionPins } from "../sessions/pins.js";
import type { ResolvedConfig } from "../settings/settings.js";
import type { Ticker } from "../ticker/ticker.js";
import type { UpstreamSend } from "../upstreams/send.js";
import { createRejection } from "../verdict/verdict.js";
import { createRequestPipeline } from "./request-pipeline.js";
import type { RequestPipeline } from "./request-pipeline.js";
import { createMajorityContact } from "./majority-contact.js";

/** External dependencies of a node. */
export interface NodeEnvironment {
    readonly config: ResolvedConfig;
    readonly clock: Clock;
    readonly random: Random;
    readonly lifecycle: Lifecycle;
    readonly ticker: Ticker;
    readonly createLogger: LoggerFactory;
    readonly metrics: Metrics;
    readonly invariants: Invariants;
    readonly table: TableService;
    readonly store: ObjectStore;
    readonly peers: Peers;
    /** Returns the base URL of the server for peers of this node. Called after that server has started. */
    readonly peersAddress: () => string;
    readonly send: UpstreamSend;
    /** Whether no process listens at the base URL of an upstream any more. @default it is not asked */
    readonly hasCrashed?: (address: string) => Promise<boolean>;
    readonly rateAnswer: RateAnswer;
    /** Replaces the placement function, to compare algorithms. @default place */
    readonly placement?: PlacementFunction;
}

export interface ComposedNode {
    readonly pipeline: RequestPipeline;
    readonly configuration: Configuration;
    readonly membership: Membership;
    readonly admission: AdmissionGate;
    readonly upstreamChoice: EngineChoice;
    readonly claims: Claims;
    readonly billing: Billing;
    readonly leases: Leases;
    readonly rollouts: Rollouts;
    readonly cascades: CascadePolicy<IncomingRequest>;
    readonly pins: SessionPins;
    readonly jobs: Deferred;
    readonly invariants: Invariants;
    /**
     * First phase of a graceful shutdown: announces the shutdown to the other nodes and waits while the load
     * balancer still sends requests, which the node serves.
     */
    announceLeaving(): Promise<void>;
    /**
     * Second phase: rejects new requests, finishes the running requests and jobs, then writes the bills.
     *
     * @param timeout Resolves when the node no longer waits for running requests and jobs.
     */
    drain(timeout: Promise<void>): Promise<void>;
}

export function composeNode(environment: NodeEnvironment): ComposedNode {
    const { clock, config, createLogger, lifecycle, random, table, ticker } = environment;
    const startedAt = clock.wallTime();
    const incarnation = `${config.node.id}-${startedAt.toString(36)}`;
    const membership = createMembership({
        ...config.node,
        incarnation: startedAt,
        address: environment.peersAddress,
        seeds: config.peers.seeds,
        peers: environment.peers,
        tableService: table,
        ticker,
        lifecycle,
        now: clock.now,
        random,
        logger: createLogger("membership"),
    });
    const configuration = createConfiguration({
        id: config.node.id,
        incarnation: startedAt,
        freshnessMilliseconds: config.limits.freshnessMilliseconds,
        peers: environment.peers,
        tableService: table,
        objectStore: environment.store,
        membership,
        ticker,
        lifecycle,
        now: clock.now,
        random,
        invariants: environment.invariants,
        logger: createLogger("configuration"),
    });
    const admission = createAdmission({
        membership,
        peers: environment.peers,
        configuration,
        ticker,
        lifecycle,
        invariants: environment.invariants,
        now: clock.now,
        logger: createLogger("admission"),
        metrics: environment.metrics,
        ...config.admission,
        hasMajority: createMajorityContact(membership),
    });
    const claims = createClaims({
        tableService: table,
        peers: environment.peers,
        membership,
        ticker,
        lifecycle,
        clock,
        random,
        invariants: environment.invariants,
        metrics: environment.metrics,
        logger: createLogger("claims"),
    });
    const billing = createBilling({
        objectStore: environment.store,
        peers: environment.peers,
        membership,
        ticker,
        lifecycle,
        clock,
        random,
        invariants: environment.invariants,
        metrics: environment.metrics,
        logger: createLogger("billing"),
        billMemoryBytes: config.limits.billMemoryBytes,
    });
    const leases = createLeases({
        table,
        holder: incarnation,
        clock,
        ticker,
        lifecycle,
        logger: createLogger("leases"),
    });
    const rollouts = createRollouts({
        configuration,
        membership,
        table,
        leases,
        clock,
        random,
        ticker,
        logger: createLogger("rollout"),
    });
    const rolloutExchange = createRolloutExchange({
        rollouts,
        configuration,
        membership,
        peers: environment.peers,
        rateAnswer: environment.rateAnswer,
        lifecycle,
        logger: createLogger("rollout"),
        random,
        now: clock.now,
    });
    const upstreamChoice = createEngineChoice({
        node: config.node.id,
        location: config.node,
        admission,
        random,
        placement: environment.placement,
    });
    configuration.onChange(snapshot => upstreamChoice.configure(snapshot, clock.now()));
    const cascades = createCascadePolicy<IncomingRequest>({
        source: incarnation,
        taskKind: request => request.taskKind,
        random,
        wallTime: clock.wallTime,
    });
    const cascadeRouter = createCascadeRouter({
        policy: cascades,
        configuration,
        membership,
        peers: environment.peers,
        rateAnswer: environment.rateAnswer,
        lifecycle,
        logger: createLogger("cascade"),
        random,
        now: clock.now,
    });
    const pins = createSessionPins({
        table,
        clock,
        idleMilliseconds: config.sessions.idleMilliseconds,
        lifecycle,
        onPinsRead: () => {
            pipeline.dispatch.notifyCreditAvailable();
            ticker.wake();
        },
    });
    const pipeline = createRequestPipeline({
        config,
        clock,
        random,
        ticker,
        createLogger,
        metrics: environment.metrics,
        invariants: environment.invariants,
        configuration,
        upstreamChoice,
        pins,
        claims,
        billing,
        send: environment.send,
        hasCrashed: environment.hasCrashed,
        cascade: cascadeRouter.decisions,
        rampingVersion: model => rolloutExchange.ramping(model),
        isWithdrawn: (model, version) => rollouts.isWithdrawn(model, version),
        rate: (_request, prompt, answer) => environment.rateAnswer(prompt, answer),
        onAnswered: answer => {
            const { attempt, request, firstTokenMilliseconds, prompt, text } = answer;
            const { workspace } = request;
            rolloutExchange.answered({
                workspace,
                ...attempt.version!,
                firstTokenMilliseconds,
                prompt,
                text,
            });
            cascadeRouter.recordAnswer(answer);
        },
        onAnswerFailure: (request, attempt) =>
            rolloutExchange.failed(request.workspace, attempt.version!.model, attempt.version!.version),
        activeNodes: () => membership.active().length,
        incarnation,
    });
    const deferred = createDeferred({
        table,
        store: environment.store,
        lease: leases.contend(`worker-${config.node.id}`),
        run: createJobRunner((submission, reply) => pipeline.submit(submission, reply)),
        streamsFor: body => deferredStreamLimit(configuration, (body as { readonly model: string }).model),
        hasSpareCapacity: () => pipeline.dispatch.queued() === 0,
        clock,
        random,
        lifecycle,
        logger: createLogger("deferred"),
    });
    const jobs: Deferred = {
        ...deferred,
        submit: async submission => {
            assertJobPermitted(configuration, submission);
            if (!configuration.isFresh(clock.now())) {
                throw createRejection(
                    503,
                    "configuration-stale",
                    "this node cannot confirm that its configuration is current",
                    1,
                );
            }
            return deferred.submit(submission);
        },
    };

    return {
        pipeline,
        configuration,
        membership,
        admission,
        upstreamChoice,
        claims,
        billing,
        leases,
        rollouts,
        cascades,
        pins,
        jobs,
        invariants: environment.invariants,
        announceLeaving: async () => {
            membership.announceLeaving();
            await new Promise(resolve => setTimeout(resolve, config.limits.announceMilliseconds));
        },
        drain: async timeout => {
            const jobsDrained = jobs.drain();
            await Promise.race([jobsDrained, timeout]);
            pipeline.stopAccepting();
            await Promise.race([pipeline.whenIdle(), timeout]);
            await admission.returnCredits();
            await billing.flush();
            await membership.announceLeft();
        },
    };
}

/** Maximum number of deferred streams over all nodes, for a model or for the last step of a cascade. */
function deferredStreamLimit(configuration: ConfigurationView, name: string): number {
    const snapshot = configuration.current();
    const model = snapshot.cascade.get(name)?.steps.at(-1) ?? name;
    let streams = 0;
    for (const upstream of snapshot.upstream.values()) {
        if (upstream.model === model && upstream.state === "active") {
            streams += upstream.warm.concurrency;
        }
    }
    return Math.floor(streams * DEFERRED_CAPACITY_SHARE);
}

/** @throws RouterError when the model of the job does not exist or the workspace may not use it. */
function assertJobPermitted(configuration: ConfigurationView, submission: JobSubmission): void {
    const { model } = submission.body as { readonly model: string };
    const target = resolveTarget(configuration.current(), submission.workspace, model);
    if (target.kind === "unknown") {
        throw createRejection(404, "model-unknown", `model "${model}" does not exist`);
    }
    if (target.kind === "forbidden") {
        throw createRejection(403, "model-forbidden", `model "${model}" is not permitted`);
    }
}
