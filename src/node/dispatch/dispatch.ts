/**
 * Step function of request dispatch: admits or rejects requests, queues them, decides when and at which
 * upstream each attempt runs, and handles the end of an attempt (retry, resume, rejection). It performs no
 * I/O: each step takes events and returns actions, which the exchanges execute.
 */
import type { AdmissionGate } from "../admission/admission.js";
import type { ConfigurationView } from "../configuration/configuration.js";
import type { Invariants } from "../invariants/invariants.js";
import {
    acceptsNewWork,
    mayCallService,
    permittedVersions,
    resolveTarget,
    upstreamIndex,
} from "../permission/permission.js";
import type { NamedUpstream, VersionReference } from "../permission/permission.js";
import type { RampingVersion } from "../sessions/sessions.js";
import { createTable } from "../tables/table.js";
import type { Table } from "../tables/table.js";
import { RouterError, combineVerdicts, createRejection } from "../verdict/verdict.js";
import type { Verdict } from "../verdict/verdict.js";
import {
    EXPIRY_SCAN_MILLISECONDS,
    MAXIMUM_ATTEMPTS,
    MAXIMUM_RESUMES,
    QUEUE_RETRY_MILLISECONDS,
    RETRY_AFTER_SECONDS,
} from "./constants.js";
import { createFairQueues, queueKey } from "./fair-queues.js";
import type {
    AttemptState,
    DispatchAction,
    DispatchEvent,
    IncomingRequest,
    RequestState,
} from "./requests.js";
import { createNodeRetryBudget } from "./node-retry-budget.js";
import { chooseVersion } from "./version-choice.js";
import { createWaitEstimate } from "./wait-estimate.js";
import type { WorkspaceLimits } from "./workspace-limits.js";

/** Chooses one of the candidate upstreams by name, or `undefined` to keep the request queued. */
export type ChooseUpstream = (
    candidates: readonly NamedUpstream[],
    request: RequestState,
    now: number,
) => string | undefined;

/** Policy that decides which steps of a cascade run. */
export interface CascadeDecisions {
    readonly firstStep: (request: IncomingRequest, steps: readonly string[], now: number) => number;
    /** Index of the next step, or `undefined` when the rating of the current step's answer is sufficient. */
    readonly nextStep: (request: RequestState, score: number | undefined, now: number) => number | undefined;
}

export interface DispatchOptions {
    readonly configuration: ConfigurationView;
    readonly admission: AdmissionGate;
    readonly limits: WorkspaceLimits;
    readonly invariants: Invariants;
    readonly chooseUpstream: ChooseUpstream;
    /** Selects the upstreams of a version or service that this node normally uses. */
    readonly subset: (served: string, all: readonly NamedUpstream[]) => readonly NamedUpstream[];
    readonly cascade: CascadeDecisions;
    /** The version in a staged rollout of a model, if any. */
    readonly rampingVersion: (model: string) => RampingVersion | undefined;
    /** Whether a rollout withdrew a faulty version. A withdrawn version gets no new requests. */
    readonly isWithdrawn: (model: string, version: string) => boolean;
    /** Version that a session is pinned to; `undefined` for none, `unknown` while it is being read. */
    readonly pinOf: (workspace: string, model: string, sessionId: string) => string | undefined | "unknown";
    readonly pin: (workspace: string, model: string, sessionId: string, version: string) => void;
    readonly sessionIdleMilliseconds: number;
    /** Whether the buffer of unwritten bills can hold another bill. */
    readonly hasBillCapacity: () => boolean;
    /** Whether the node accepts new requests; false at the end of a graceful shutdown. */
    readonly isAccepting: () => boolean;
    /** Milliseconds since the epoch. */
    readonly wallTime: () => number;
    /** Uniform in [0, 1). */
    readonly random: () => number;
    /** Returns an id that is unique across all nodes and restarts. */
    readonly newAttemptId: () => string;
    /** Retries that are allowed per request on average, 0 to 1. */
    readonly retryShare: number;
    /** Maximum number of queued requests of all workspaces together. */
    readonly queueLength: number;
}

export interface DispatchCounters {
    readonly arrived: number;
    readonly refused: number;
    readonly attempts: number;
    readonly retries: number;
    readonly resumes: number;
    /** Discarded end events of attempts that had already ended. */
    readonly droppedLate: number;
}

export interface DispatchSystem {
    step(events: readonly DispatchEvent[], now: number): readonly DispatchAction[];
    /** Makes the next step serve the queues, because credits may have become available. */
    notifyCreditAvailable(): void;
    readonly requests: Table<RequestState>;
    readonly attempts: Table<AttemptState>;
    queued(): number;
    counters(): DispatchCounters;
    dump(): unknown;
}

/** Milliseconds that a request waits for the requested model before it may run on one of its spill models. */
const SPILL_AFTER_MILLISECONDS = 200;

/** Maximum time that a broken or suspended stream waits for an engine to continue it. */
const CONTINUATION_WAIT_MILLISECONDS = 10_000;

/** RequestState with its optional properties required, so that the compiler reports an omitted one. */
type CompleteRequestState = { readonly [Key in keyof Required<RequestState>]: RequestState[Key] };

const MILLISECONDS_PER_SECOND = 1000;

/** Key of the requests that share one estimate of the time to an answer. */
function answerTimeKey(request: IncomingRequest): string {
    return `${request.streams ? "stream" : "whole"}\u0000${request.target}`;
}

type PlacementResult = "placed" | "waiting" | RouterError;

export function createDispatchSystem(options: DispatchOptions): DispatchSystem {
    const { admission, configuration, invariants, limits } = options;
    const requests = createTable<RequestState>();
    const attempts = createTable<AttemptState>();
    const queues = createFairQueues();
    const retryBudget = createNodeRetryBudget(options.retryShare);
    const estimate = createWaitEstimate();
    const counters = { arrived: 0, refused: 0, attempts: 0, retries: 0, resumes: 0, droppedLate: 0 };
    let actions: DispatchAction[] = [];
    let expiryScannedAt = 0;
    let queuesServedAt = 0;
    let creditAvailable = false;

    const removeRequest = (request: RequestState): void => {
        requests.delete(request.id);
        limits.release(request.workspace);
    };

    /**
     * Ends a request with an error. If the request certainly did not run, the claim of its idempotency key is
     * released.
     */
    const reject = (request: RequestState, error: RouterError): void => {
        counters.refused += 1;
        invariants.assert(
            "true-refusal",
            error.verdict !== "not-run" || (request.verdict === "not-run" && request.attempt === undefined),
            () => `request ${request.id} is rejected as not-run after verdict ${request.verdict}`,
        );
        if (request.claim !== undefined && request.phase !== "claiming" && error.verdict === "not-run") {
            actions.push({ kind: "abandon-claim", request });
        }
        else if (
            request.claim !== undefined &&
            request.phase !== "claiming" &&
            request.attempt === undefined
        ) {
            actions.push({ kind: "keep-claim", request });
        }
        actions.push({ kind: "reject", requestId: request.id, error });
        removeRequest(request);
    };

    const errorFor = (
        request: RequestState,
        status: number,
        code: string,
        message: string,
        retry = true,
    ): RouterError =>
        new RouterError(message, {
            status,
            code,
            verdict: request.verdict,
            retryAfterSeconds:
                retry && (request.verdict === "not-run" || request.repeatable)
                    ? RETRY_AFTER_SECONDS
                    : undefined,
        });

    /** Rejects a request that cannot meet its deadline behind the requests that are already queued. */
    const deadlineRejection = (request: IncomingRequest, now: number): RouterError | undefined => {
        const wait = estimate.expectedWait(queueKey(request), queues.sizeOf(request), now);
        const answer = estimate.expectedAnswerTime(answerTimeKey(request), now);
        if (now + wait + answer <= request.deadline) {
            return undefined;
        }
        return createRejection(
            503,
            "overloaded",
            "the request would not be answered by its deadline",
            Math.max(RETRY_AFTER_SECONDS, Math.ceil(wait / MILLISECONDS_PER_SECOND)),
        );
    };

    /** Checks whether the node can accept a new request; returns the rejection if it cannot. */
    const rejectionOnArrival = (request: IncomingRequest, now: number): RouterError | undefined => {
        if (!options.isAccepting()) {
            return createRejection(503, "stopping", "this node is stopping", RETRY_AFTER_SECONDS);
        }
        if (!configuration.isFresh(now)) {
            return createRejection(
                503,
                "configuration-stale",
                "this node cannot confirm that its configuration is current",
                RETRY_AFTER_SECONDS,
            );
        }
        if (!options.hasBillCapacity()) {
            return createRejection(
                503,
                "bills-unwritten",
                "too many bills are waiting to be written to the object store",
                RETRY_AFTER_SECONDS,
            );
        }
        if (queues.size >= options.queueLength) {
            return createRejection(503, "queue-full", "too many requests are waiting", RETRY_AFTER_SECONDS);
        }
        const rejection = deadlineRejection(request, now);
        if (rejection !== undefined) {
            return rejection;
        }
        const workspace = configuration.current().workspace.get(request.workspace);
        if (workspace === undefined) {
            return createRejection(
                403,
                "workspace-unknown",
                `workspace "${request.workspace}" does not exist`,
            );
        }
        switch (limits.admit(request.workspace, workspace, now)) {
            case "admitted":
                return undefined;
            case "rate":
                return createRejection(
                    429,
                    "rate-limited",
                    "the workspace sends too many requests",
                    RETRY_AFTER_SECONDS,
                );
            case "concurrency":
                return createRejection(
                    429,
                    "too-many-open",
                    "the workspace has too many open requests",
                    RETRY_AFTER_SECONDS,
                );
        }
    };

    /**
     * Resolves the models that a request runs on, in order (none for a service), or returns the rejection.
     */
    const resolveSteps = (request: IncomingRequest): readonly string[] | RouterError => {
        if (request.kind === "service") {
            return mayCallService(configuration.governing(), request.workspace, request.target)
                ? []
                : createRejection(
                      403,
                      "service-forbidden",
                      `service "${request.target}" is not permitted or does not exist`,
                  );
        }
        const target = resolveTarget(configuration.current(), request.workspace, request.target);
        switch (target.kind) {
            case "model":
                return [target.name];
            case "cascade":
                return target.steps;
            case "unknown":
                return createRejection(404, "model-unknown", `model "${request.target}" does not exist`);
            case "forbidden":
                return createRejection(403, "model-forbidden", `model "${request.target}" is not permitted`);
        }
    };

    const onArrived = (incoming: IncomingRequest, now: number): void => {
        counters.arrived += 1;
        const steps = resolveSteps(incoming);
        const error = steps instanceof RouterError ? steps : rejectionOnArrival(incoming, now);
        if (error !== undefined) {
            counters.refused += 1;
            actions.push({ kind: "reject", requestId: incoming.id, error });
            return;
        }
        retryBudget.deposit();
        const models = steps as readonly string[];
        // The properties are listed one by one because a spread with added properties took 7% of the CPU time
        // of a request.
        const request: CompleteRequestState = {
            id: incoming.id,
            workspace: incoming.workspace,
            kind: incoming.kind,
            target: incoming.target,
            repeatable: incoming.repeatable,
            streams: incoming.streams,
            claim: incoming.claim,
            memoryTokens: incoming.memoryTokens,
            prefix: incoming.prefix,
            priority: incoming.priority,
            deadline: incoming.deadline,
            session: incoming.session,
            taskKind: incoming.taskKind,
            arrivedAt: now,
            phase: incoming.claim === undefined ? "queued" : "claiming",
            attempt: undefined,
            attempts: 0,
            resumes: 0,
            failedUpstreams: [],
            verdict: "not-run",
            offset: 0,
            version: undefined,
            resumeAt: undefined,
            steps: models,
            step: models.length > 1 ? options.cascade.firstStep(incoming, models, now) : 0,
        };
        requests.set(request.id, request);
        if (request.phase === "claiming") {
            actions.push({ kind: "claim", request });
        }
        else {
            queues.push(request);
        }
    };

    const onClaimResolved = (event: DispatchEvent & { kind: "claim-resolved" }): void => {
        const request = requests.get(event.requestId);
        if (request?.phase !== "claiming") {
            return;
        }
        switch (event.result.kind) {
            case "claimed": {
                const queued: RequestState = { ...request, phase: "queued" };
                requests.set(request.id, queued);
                queues.push(queued);
                return;
            }
            case "recorded":
                actions.push({ kind: "replay", requestId: request.id, outcome: event.result.outcome });
                removeRequest(request);
                return;
            case "pending":
                // A request with the same key may still be running, so its outcome is unknown.
                reject(
                    request,
                    new RouterError("a request with this idempotency key has no known outcome", {
                        status: 409,
                        code: "outcome-unknown",
                        verdict: "may-have-run",
                    }),
                );
                return;
            case "mismatch":
                reject(
                    request,
                    createRejection(
                        422,
                        "idempotency-key-reused",
                        "the idempotency key was used with another request",
                    ),
                );
                return;
            case "unavailable":
                reject(
                    request,
                    createRejection(
                        503,
                        "claims-unavailable",
                        "the claim could not be stored",
                        RETRY_AFTER_SECONDS,
                    ),
                );
        }
    };

    const requeue = (request: RequestState, now: number): void => {
        // The deadline covers only the first token of a stream. A continuation gets a limited time to start.
        const deadline =
            request.offset > 0
                ? Math.max(request.deadline, now + CONTINUATION_WAIT_MILLISECONDS)
                : request.deadline;
        const queued: RequestState = { ...request, phase: "queued", attempt: undefined, deadline };
        requests.set(request.id, queued);
        queues.unshift(queued);
    };

    /**
     * Releases the credit of an ended attempt and returns its request if this is still its current attempt.
     */
    const endAttempt = (
        event: DispatchEvent & { kind: "attempt-finished" | "attempt-failed" },
        now: number,
    ): RequestState | undefined => {
        const attempt = attempts.get(event.attemptId);
        if (attempt === undefined) {
            counters.droppedLate += 1;
            return undefined;
        }
        attempts.delete(attempt.id);
        admission.release(attempt.credit, event.observation, now);
        const request = requests.get(event.requestId);
        return request?.attempt?.id === attempt.id ? request : undefined;
    };

    const onAttemptFinished = (event: DispatchEvent & { kind: "attempt-finished" }, now: number): void => {
        const request = endAttempt(event, now);
        if (request === undefined) {
            // The stream ended while its suspension was being processed.
            const suspended = requests.get(event.requestId);
            if (suspended?.phase === "suspended") {
                removeRequest(suspended);
            }
            return;
        }
        if (!request.streams) {
            estimate.recordAnswerTime(answerTimeKey(request), now - request.attempt!.startedAt, now);
        }
        if (isJudged(request)) {
            requests.set(request.id, { ...request, phase: "judging", attempt: undefined, verdict: "ran" });
            actions.push({ kind: "judge", request });
        }
        else {
            removeRequest(request);
        }
    };

    const onAttemptFailed = (event: DispatchEvent & { kind: "attempt-failed" }, now: number): void => {
        const ended = endAttempt(event, now);
        if (ended === undefined) {
            return;
        }
        const request: RequestState = {
            ...ended,
            attempt: undefined,
            verdict: combineVerdicts(ended.verdict, event.verdict),
            offset: event.offset,
            failedUpstreams: [...ended.failedUpstreams, ended.attempt!.upstream],
            resumeAt: event.resumable ? ended.attempt!.upstream : undefined,
        };
        const error = event.final ?? rejectionAfterFailure(request, event, now);
        if (error !== undefined) {
            reject(request, error);
            return;
        }
        if (request.offset > 0) {
            counters.resumes += 1;
            requeue({ ...request, resumes: request.resumes + 1 }, now);
        }
        else {
            counters.retries += 1;
            requeue({ ...request, version: undefined }, now);
        }
    };

    /** Decides after a failed attempt: returns the rejection, or `undefined` to retry or resume. */
    const rejectionAfterFailure = (
        request: RequestState,
        event: DispatchEvent & { kind: "attempt-failed" },
        now: number,
    ): RouterError | undefined => {
        const mayRepeat =
            request.kind === "completion" || request.repeatable || request.verdict === "not-run";
        if (!mayRepeat) {
            return errorFor(request, 502, "upstream-failed", `the upstream failed: ${event.reason}`, false);
        }
        if (request.offset > 0) {
            return request.resumes < MAXIMUM_RESUMES
                ? undefined
                : errorFor(request, 502, "stream-broken", `the stream broke: ${event.reason}`);
        }
        if (request.attempts >= MAXIMUM_ATTEMPTS || now >= request.deadline) {
            return errorFor(request, 502, "upstream-failed", `the upstream failed: ${event.reason}`);
        }
        if (event.verdict !== "not-run" && !retryBudget.tryWithdraw()) {
            return errorFor(request, 502, "retry-budget-spent", `the upstream failed: ${event.reason}`);
        }
        return undefined;
    };

    const onReaderStalled = (event: DispatchEvent & { kind: "reader-stalled" }): void => {
        const request = requests.get(event.requestId);
        if (request?.attempt?.id !== event.attemptId) {
            return;
        }
        actions.push({ kind: "cancel-attempt", requestId: request.id, attemptId: event.attemptId });
        requests.set(request.id, {
            ...request,
            phase: "suspended",
            attempt: undefined,
            offset: event.offset,
            resumeAt: request.attempt.upstream,
            verdict: combineVerdicts(request.verdict, "may-have-run"),
        });
    };

    const onJudged = (event: DispatchEvent & { kind: "judged" }, now: number): void => {
        const request = requests.get(event.requestId);
        if (request?.phase !== "judging") {
            return;
        }
        const step = options.cascade.nextStep(request, event.score, now);
        if (step === undefined) {
            actions.push({ kind: "deliver", request });
            removeRequest(request);
            return;
        }
        requeue(
            {
                ...request,
                step: Math.min(step, request.steps.length - 1),
                version: undefined,
                offset: 0,
                attempts: 0,
                failedUpstreams: [],
                resumeAt: undefined,
            },
            now,
        );
    };

    const onCallerGone = (requestId: string): void => {
        const request = requests.get(requestId);
        // A request with a claim, or a running one that is not repeatable, continues, so that its outcome
        // becomes known.
        if (
            request === undefined ||
            request.claim !== undefined ||
            (!request.repeatable && request.attempt !== undefined)
        ) {
            return;
        }
        if (request.attempt !== undefined) {
            actions.push({ kind: "cancel-attempt", requestId, attemptId: request.attempt.id });
        }
        if (request.phase === "queued") {
            queues.remove(request);
        }
        removeRequest(request);
    };

    /** Whether the answer of the current cascade step is rated before it may go to the caller. */
    const isJudged = (request: RequestState): boolean =>
        request.step < request.steps.length - 1 &&
        configuration.current().cascade.get(request.target)?.judge === "rating";

    const onEvent = (event: DispatchEvent, now: number): void => {
        switch (event.kind) {
            case "arrived":
                return onArrived(event.request, now);
            case "claim-resolved":
                return onClaimResolved(event);
            case "attempt-progressed": {
                const request = requests.get(event.requestId);
                if (request?.attempt?.id === event.attemptId) {
                    if (request.offset === 0) {
                        estimate.recordAnswerTime(
                            answerTimeKey(request),
                            now - request.attempt.startedAt,
                            now,
                        );
                    }
                    requests.set(request.id, {
                        ...request,
                        offset: Math.max(request.offset, 1),
                        version: request.attempt.version,
                    });
                }
                return;
            }
            case "attempt-finished":
                return onAttemptFinished(event, now);
            case "attempt-failed":
                return onAttemptFailed(event, now);
            case "reader-stalled":
                return onReaderStalled(event);
            case "reader-ready": {
                const request = requests.get(event.requestId);
                if (request?.phase === "suspended") {
                    requeue(request, now);
                }
                return;
            }
            case "judged":
                return onJudged(event, now);
            case "caller-gone":
                return onCallerGone(event.requestId);
        }
    };

    /** Starts an attempt at an upstream; returns false if no credit is available. */
    const startAttempt = (
        request: RequestState,
        candidate: NamedUpstream,
        version: VersionReference | undefined,
        now: number,
    ): boolean => {
        const credit = admission.tryAcquire(candidate.name, request.memoryTokens, now);
        if (credit === undefined) {
            return false;
        }
        const attempt: AttemptState = {
            id: options.newAttemptId(),
            upstream: candidate.name,
            address: candidate.upstream.address,
            credit,
            version,
            startedAt: now,
            offset: request.offset,
        };
        assertPermitted(request, attempt);
        const running: RequestState = {
            ...request,
            phase: "running",
            attempt,
            attempts: request.attempts + 1,
        };
        requests.set(request.id, running);
        attempts.set(attempt.id, attempt);
        counters.attempts += 1;
        actions.push({
            kind: "start-attempt",
            request: running,
            attempt,
            judged: isJudged(request),
            resumeStream: request.offset > 0 && request.resumeAt === candidate.name,
        });
        return true;
    };

    /** Checks a placement against the configuration in force with code that the placement does not share. */
    const assertPermitted = (request: RequestState, attempt: AttemptState): void => {
        const snapshot = configuration.current();
        const upstream = snapshot.upstream.get(attempt.upstream);
        const describe = (): string => `request ${request.id} of ${request.workspace} on ${attempt.upstream}`;
        invariants.assert("leaving-upstream", upstream?.state === "active", describe);
        invariants.assert(
            "drained-data-centre",
            upstream !== undefined && snapshot.dataCentre.get(upstream.dataCentre)?.state !== "drained",
            describe,
        );
        if (attempt.version === undefined) {
            invariants.assert(
                "permitted-version",
                snapshot.workspace.get(request.workspace)?.services.includes(request.target) === true,
                describe,
            );
            return;
        }
        const { model, version } = attempt.version;
        invariants.assert(
            "withdrawn-version",
            snapshot.model
                .get(model)
                ?.versions.some(item => item.name === version && item.state === "active") === true,
            describe,
        );
        invariants.assert(
            "permitted-version",
            permittedVersions(snapshot, request.workspace, model, request.target).includes(version) &&
                upstream?.model === model &&
                upstream.version === version,
            describe,
        );
        const hold = request.session.hold;
        invariants.assert(
            "session-version",
            hold?.model !== model ||
                hold.version === version ||
                !permittedVersions(snapshot, request.workspace, model, request.target).includes(hold.version),
            describe,
        );
    };

    /**
     * Upstreams of a version or service that accept new requests: those of this node's subset, or all if none
     * of the subset does.
     */
    const candidatesFor = (served: string): readonly NamedUpstream[] => {
        const snapshots = configuration.governing();
        const all = upstreamIndex(configuration.current()).find(served);
        const accepting = (list: readonly NamedUpstream[]): readonly NamedUpstream[] =>
            list.filter(candidate => acceptsNewWork(snapshots, candidate.name));
        const inSubset = accepting(options.subset(served, all));
        return inSubset.length > 0 ? inSubset : accepting(all);
    };

    const tryCandidates = (
        request: RequestState,
        served: string,
        version: VersionReference | undefined,
        now: number,
    ): PlacementResult => {
        const all = candidatesFor(served);
        if (request.resumeAt !== undefined) {
            const streamHolder = all.find(candidate => candidate.name === request.resumeAt);
            if (streamHolder !== undefined) {
                return startAttempt(request, streamHolder, version, now) ? "placed" : "waiting";
            }
        }
        const candidates = all.filter(candidate => !request.failedUpstreams.includes(candidate.name));
        if (candidates.length === 0) {
            return errorFor(request, 503, "no-upstream", `no upstream for ${served} takes new work`);
        }
        const name = options.chooseUpstream(candidates, request, now);
        const chosen = candidates.find(candidate => candidate.name === name);
        return chosen !== undefined && startAttempt(request, chosen, version, now) ? "placed" : "waiting";
    };

    const placeOnModel = (request: RequestState, model: string, now: number): PlacementResult => {
        const choice = chooseVersion({
            snapshots: configuration.governing(),
            workspace: request.workspace,
            model,
            requestedName: request.target,
            session: request.session,
            startedVersion: request.offset > 0 ? request.version : undefined,
            ramping: options.rampingVersion(model),
            isWithdrawn: options.isWithdrawn,
            sessionIdleMilliseconds: options.sessionIdleMilliseconds,
            wallTime: options.wallTime(),
            point: options.random(),
            pinOf: (pinnedModel, sessionId) => options.pinOf(request.workspace, pinnedModel, sessionId),
        });
        switch (choice.kind) {
            case "none":
                return errorFor(
                    request,
                    403,
                    "no-permitted-version",
                    `no version of model "${model}" is permitted`,
                    false,
                );
            case "undecided":
                return "waiting";
            case "chosen": {
                const placement = tryCandidates(
                    request,
                    `${model}/${choice.version}`,
                    { model, version: choice.version },
                    now,
                );
                if (placement === "placed" && choice.pin) {
                    options.pin(request.workspace, model, request.session.id!, choice.version);
                }
                return placement;
            }
        }
    };

    const place = (request: RequestState, now: number): PlacementResult => {
        if (!configuration.isFresh(now)) {
            return errorFor(
                request,
                503,
                "configuration-stale",
                "this node cannot confirm that its configuration is current",
            );
        }
        if (request.kind === "service") {
            return mayCallService(configuration.governing(), request.workspace, request.target)
                ? tryCandidates(request, `service:${request.target}`, undefined, now)
                : errorFor(
                      request,
                      403,
                      "service-forbidden",
                      `service "${request.target}" is not permitted`,
                      false,
                  );
        }
        const model = request.steps[request.step]!;
        const placement = placeOnModel(request, model, now);
        const maySpill =
            request.offset === 0 && request.session.hold === undefined && request.steps.length === 1;
        if (placement === "placed" || !maySpill || now - request.arrivedAt < SPILL_AFTER_MILLISECONDS) {
            return placement;
        }
        for (const other of configuration.current().model.get(model)?.spill ?? []) {
            if (placeOnModel(request, other, now) === "placed") {
                return "placed";
            }
        }
        return placement;
    };

    const serveQueues = (now: number): void => {
        queues.serve(requestId => {
            const request = requests.get(requestId);
            if (request === undefined) {
                return true;
            }
            if (
                request.offset === 0 &&
                now + estimate.expectedAnswerTime(answerTimeKey(request), now) > request.deadline
            ) {
                // An attempt would occupy an upstream for an answer that arrives after the deadline.
                reject(
                    request,
                    errorFor(request, 503, "overloaded", "the request would not be answered by its deadline"),
                );
                return true;
            }
            const placement = place(request, now);
            if (placement instanceof RouterError) {
                reject(request, placement);
                return true;
            }
            if (placement === "placed") {
                estimate.recordStart(queueKey(request), now);
            }
            return placement === "placed";
        });
    };

    const verdictAtDeadline = (request: RequestState): Verdict =>
        request.attempt === undefined ? request.verdict : combineVerdicts(request.verdict, "may-have-run");

    /** Rejects requests whose deadline passed before their answer began. */
    const rejectExpired = (now: number): void => {
        if (now - expiryScannedAt < EXPIRY_SCAN_MILLISECONDS) {
            return;
        }
        expiryScannedAt = now;
        for (const request of [...requests.values()]) {
            const awaitsAnswer =
                request.phase === "queued" ||
                request.phase === "judging" ||
                (request.phase === "running" && request.offset === 0);
            if (now < request.deadline || !awaitsAnswer) {
                continue;
            }
            if (request.phase === "queued") {
                queues.remove(request);
            }
            if (request.attempt !== undefined && (request.repeatable || request.kind === "completion")) {
                actions.push({
                    kind: "cancel-attempt",
                    requestId: request.id,
                    attemptId: request.attempt.id,
                });
            }
            const verdict = verdictAtDeadline(request);
            reject(
                { ...request, verdict },
                new RouterError("the deadline passed", {
                    status: 504,
                    code: "deadline-exceeded",
                    verdict,
                    retryAfterSeconds:
                        verdict === "not-run" || request.repeatable ? RETRY_AFTER_SECONDS : undefined,
                }),
            );
        }
    };

    return {
        step: (events, now) => {
            actions = [];
            for (const event of events) {
                onEvent(event, now);
            }
            // Ticks that other systems requested do not change the queues. Serving the queues on each of
            // these ticks would keep the event loop busy, because a failed placement wakes the admission
            // system.
            if (events.length > 0 || creditAvailable || now - queuesServedAt >= QUEUE_RETRY_MILLISECONDS) {
                creditAvailable = false;
                queuesServedAt = now;
                serveQueues(now);
            }
            rejectExpired(now);
            return actions;
        },
        notifyCreditAvailable: () => {
            creditAvailable = true;
        },
        requests,
        attempts,
        queued: () => queues.size,
        counters: () => ({ ...counters }),
        dump: () => ({
            counters,
            retriesLeft: retryBudget.balance(),
            queued: queues.sizes(),
            open: limits.open(),
            requests: Object.fromEntries(requests.entries()),
        }),
    };
}
