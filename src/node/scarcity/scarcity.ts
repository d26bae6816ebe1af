/**
 * Orders requests by urgency where capacity is scarce: lets a request through, has it wait at this node, or
 * rejects it. Holds the waiting requests and the timers; the decisions are in `admission.ts`,
 * `waiting-requests.ts` and `suspect-upstreams.ts`.
 */
import { createBoundedMap } from "../common/bounded-map.js";
import { nextPoll } from "../common/clock.js";
import type { Clock } from "../common/clock.js";
import type { Random } from "../common/random.js";
import type { AttemptResult } from "../forwarding/attempt.js";
import type { RequestTrace } from "../logging/request-log.js";
import type { Route, Service, Workspace } from "../routes/entities.js";
import type { Load, LoadBoard } from "../upstream-table/load-board.js";
import type { Choice, ChoiceContext } from "../upstream-table/upstream-choice.js";
import type { RegisteredUpstream } from "../upstream-table/upstream-table.js";
import {
    admit,
    countFreeSlots,
    expectedWaitMilliseconds,
    isFree,
    queueMilliseconds,
    retryAfterSeconds,
    yieldsToOthers,
} from "./admission.js";
import type { AdmissionContext, RequestNeeds, RequestSize, UpstreamCapacity } from "./admission.js";
import { restrictChoice } from "./restricted-choice.js";
import type { AcceptUpstream } from "./restricted-choice.js";
import { createServiceLoad } from "./service-load.js";
import type { ServiceLoad } from "./service-load.js";
import { createSuspectUpstreams, LONGEST_SUSPICION_MILLISECONDS } from "./suspect-upstreams.js";
import { enginePriorityOf, urgencyOf } from "./urgency.js";
import { createWaitingElsewhere, createWaitingReports } from "./waiting-elsewhere.js";
import type { WireWaiting } from "./waiting-elsewhere.js";
import { createWaitingRequests } from "./waiting-requests.js";
import type { WaitingRequest, WaitingRequests } from "./waiting-requests.js";

export interface ScarceRequest {
    readonly route: Route;
    readonly service: Service;
    readonly workspace: Workspace | undefined;
    /** Monotonic time at which the request arrived. */
    readonly arrivedAt: number;
    readonly body: Buffer;
    readonly trace: RequestTrace;
    readonly callerLeft: AbortSignal;
}

/** Chooses an upstream among those that are accepted; among all without `accepts`. */
export type Choose = (accepts?: AcceptUpstream) => Choice | undefined;

export type AdmissionOutcome =
    /** `choice` is present when the decision has made it. */
    | { readonly kind: "admitted"; readonly hasWaited: boolean; readonly choice?: Choice }
    | { readonly kind: "rejected"; readonly reason: string; readonly retryAfterSeconds: number };

/** One request, from its first attempt on. */
export interface ScarceExchange {
    restrict(context: ChoiceContext, accepts: AcceptUpstream | undefined): ChoiceContext;
    /** Prefers upstreams with a free slot, then those that have not just failed or rejected a request. */
    choose(choose: Choose): Choice | undefined;
    /**
     * Resolves when the request may be sent, or with its rejection.
     *
     * @param onWait Called before the request waits. Upstreams that rejected it may be tried again then.
     */
    admit(choose: Choose, onWait: () => void): Promise<AdmissionOutcome>;
    /** Begins an attempt. */
    begin(upstream: RegisteredUpstream): ScarceAttempt;
}

export interface ScarceAttempt {
    /** Time after which the upstream counts as hung: longer by the time for which the request queues there. */
    headMilliseconds(usualMilliseconds: number, remainingMilliseconds: number): number;
    recordHead(): void;
    end(result: AttemptResult): void;
}

export interface Scarcity {
    /** Priority that engines are told; `undefined` for services without models. */
    enginePriorityOf(request: Pick<ScarceRequest, "route" | "service" | "workspace">): number | undefined;
    /** @param deadline Monotonic time until which the caller waits. */
    open(
        request: ScarceRequest,
        needs: Pick<RequestNeeds, "promptTokens" | "neededTokens">,
        deadline: number,
    ): ScarceExchange;
    /** Connection timeout, milliseconds; `undefined` for the usual one. */
    connectMilliseconds(route: Route, service: Service): number | undefined;
    /** Ids of the upstreams that other nodes should avoid as this one does. */
    suspects(): readonly string[];
    /** Requests that wait at this node, for the other nodes; `undefined` when there are none. */
    reportWaiting(now: number): readonly WireWaiting[] | undefined;
    mergeWaiting(waiting: readonly WireWaiting[], now: number): void;
    /** Requests that wait at this node. */
    waitingRequests(): number;
    waitingBytes(): number;
}

export interface ScarcityOptions {
    /** Id of this node. */
    readonly node: string;
    /** Whether engines are told the priority of requests. */
    readonly sendsPriorities: boolean;
    readonly clock: Clock;
    readonly random: Random;
    readonly loads: Pick<LoadBoard, "total" | "ejections" | "revision">;
    /** Upstreams that may receive requests of the service. */
    readonly upstreamsOf: (service: string) => readonly RegisteredUpstream[];
    readonly nodeCount: () => number;
    /** Age of what this node knows of the requests of the others, milliseconds; `undefined` when it is alone. */
    readonly reportAgeMilliseconds: () => number | undefined;
    readonly onSuspected: (upstream: RegisteredUpstream) => void;
    readonly countDecision: (
        service: string,
        decision: "waited" | "rejected" | "displaced" | "expired",
    ) => void;
    readonly observeWait: (service: string, milliseconds: number) => void;
}

interface Waiter extends WaitingRequest {
    readonly canBegin: () => boolean;
    readonly settle: (outcome: "admitted" | "expired" | "displaced" | "caller-left") => void;
}

interface ServiceState {
    readonly name: string;
    /** Slots of an upstream whose entry names none. */
    readonly usualSlots: number;
    readonly isModel: boolean;
    readonly load: ServiceLoad;
    readonly waiting: WaitingRequests<Waiter>;
    /** Own requests that ended while others wait; each leaves a slot. */
    credits: number;
}

/** Interval at which waiting requests are reconsidered, milliseconds. A fraction of the time between reports. */
const RECONSIDER_MILLISECONDS = 25;

/** Time for which the load of an upstream is not summed again, milliseconds. Reports change it every 100 ms. */
const TOTALS_VALIDITY_MILLISECONDS = 20;

/** Bounds of what waits at a node, over all services. */
const MAXIMUM_WAITING_REQUESTS = 512;
const MAXIMUM_WAITING_BYTES = 16 * 1024 * 1024;

/** Memory of a waiting request beside its body, bytes: headers, connection and closures. */
const REQUEST_BYTES = 16 * 1024;

/** Time without an answer after which an upstream counts as hung, relative to the target latency. */
const HANG_RATIO = 1.5;

/** Delay of a timer above which the node itself was held up, milliseconds. */
const HELD_UP_MILLISECONDS = 50;

/** Initial residence relative to the target latency, until requests have been seen. */
const PLAIN_RESIDENCE_RATIO = 0.5;
const ENGINE_RESIDENCE_RATIO = 2;

/**
 * Bounds of the connection timeout for plain services, milliseconds. Within a region a connection takes a few
 * milliseconds; a node with a small share of a core may be held up for a hundred.
 */
const SHORTEST_CONNECT_MILLISECONDS = 150;
const LONGEST_CONNECT_MILLISECONDS = 400;

/** Random part of `Retry-After`, so that rejected requests do not return together. */
const RETRY_SPREAD = 0.25;

/** Counts of waiting requests in a load report, of about 30 bytes each. */
const MAXIMUM_REPORTED_COUNTS = 32;

const HTTP_MISDIRECTED = 421;

const MAXIMUM_SERVICES = 1024;

/** Workspace of requests without one. */
const NO_WORKSPACE = "";

function connectMilliseconds(
    { targetLatencyMilliseconds }: Route,
    { engineTokens }: Service,
): number | undefined {
    return engineTokens === undefined
        ? Math.min(
              LONGEST_CONNECT_MILLISECONDS,
              Math.max(SHORTEST_CONNECT_MILLISECONDS, targetLatencyMilliseconds),
          )
        : undefined;
}

export function createScarcity(options: ScarcityOptions): Scarcity {
    const { clock, random } = options;
    const services = createBoundedMap<ServiceState>(MAXIMUM_SERVICES);
    const suspects = createSuspectUpstreams();
    const elsewhere = createWaitingElsewhere(options.node);
    const waitingReports = createWaitingReports();
    let timer: NodeJS.Timeout | undefined;
    let suspectedAt = -Infinity;
    let totals = { at: -Infinity, revision: -1, byUpstream: new Map<string, Load>() };

    const states = (): readonly ServiceState[] => [...services.entries()].map(([, state]) => state);
    const waitingRequests = (): number => states().reduce((sum, { waiting }) => sum + waiting.size, 0);
    const waitingBytes = (): number => states().reduce((sum, { waiting }) => sum + waiting.bytes, 0);

    const stateOf = ({ name, engineTokens, slots }: Service, route: Route): ServiceState => {
        const known = services.get(name);
        if (known !== undefined) {
            // The map forgets what was set the longest time ago, and requests may wait here.
            services.set(name, known);
            return known;
        }
        const isModel = engineTokens !== undefined;
        const ratio = isModel ? ENGINE_RESIDENCE_RATIO : PLAIN_RESIDENCE_RATIO;
        const state: ServiceState = {
            name,
            usualSlots: Math.max(1, slots ?? 1),
            isModel,
            load: createServiceLoad(route.targetLatencyMilliseconds * ratio, random),
            waiting: createWaitingRequests(
                () => waitingRequests() > MAXIMUM_WAITING_REQUESTS || waitingBytes() > MAXIMUM_WAITING_BYTES,
            ),
            credits: 0,
        };
        services.set(name, state);
        return state;
    };

    const totalOf = (upstream: string, now: number): Load => {
        if (now - totals.at > TOTALS_VALIDITY_MILLISECONDS || totals.revision !== options.loads.revision) {
            totals = { at: now, revision: options.loads.revision, byUpstream: new Map() };
        }
        const known = totals.byUpstream.get(upstream);
        if (known !== undefined) {
            return known;
        }
        const total = options.loads.total(upstream, now);
        totals.byUpstream.set(upstream, total);
        return total;
    };

    const isDown = (state: ServiceState, upstream: RegisteredUpstream, runsOnce: boolean): boolean => {
        const now = clock.now();
        const { process, health, entry } = upstream;
        if (state.isModel) {
            const isUnreached = health.isUnavailable(now) && !state.load.isFull(process, now);
            return health.isEjected(now) || isUnreached;
        }
        return (
            health.isEjected(now) ||
            suspects.isSuspect(process, runsOnce, now) ||
            suspects.isEjectedElsewhere(entry.id, options.loads.ejections(entry.id, now), now)
        );
    };

    const capacityOf = (
        state: ServiceState,
        upstream: RegisteredUpstream,
        runsOnce: boolean,
    ): UpstreamCapacity => {
        const now = clock.now();
        const isFull = upstream.health.isPaused(now) || state.load.isFull(upstream.process, now);
        const { requests, heldTokens, pendingTokens } = totalOf(upstream.entry.id, now);
        return {
            requests,
            heldTokens,
            pendingTokens,
            slots: upstream.entry.slots >= 1 ? Math.floor(upstream.entry.slots) : state.usualSlots,
            state: isDown(state, upstream, runsOnce) ? "down" : isFull ? "full" : "usable",
        };
    };

    const capacitiesOf = (state: ServiceState, runsOnce: boolean): readonly UpstreamCapacity[] =>
        options.upstreamsOf(state.name).map(upstream => capacityOf(state, upstream, runsOnce));

    const suspect = (upstream: RegisteredUpstream): void => {
        if (suspects.recordUnanswered(upstream.process, clock.now())) {
            suspectedAt = clock.now();
            options.onSuspected(upstream);
        }
    };

    /**
     * Number of requests that this node begins now. Slots that others leave are divided among the nodes by
     * chance, as all of them see the same ones.
     */
    const countBegins = (state: ServiceState): number => {
        const capacities = capacitiesOf(state, false);
        if (!state.isModel) {
            return capacities.filter(({ state: upstreamState }) => upstreamState !== "full").length;
        }
        const share = countFreeSlots(capacities) / Math.max(1, options.nodeCount());
        const whole = Math.floor(share);
        return whole + (random() < share - whole ? 1 : 0);
    };

    const beginWaiting = (state: ServiceState, count: number): void => {
        for (let begun = 0; begun < count; begun += 1) {
            const waiter = state.waiting.take(({ canBegin }) => canBegin());
            if (waiter === undefined) {
                return;
            }
            waiter.settle("admitted");
        }
    };

    const reconsider = (): void => {
        const now = clock.now();
        for (const state of states()) {
            if (state.waiting.size > 0) {
                // A slot may have become free that this node left to others.
                for (const { canBegin, settle } of state.waiting.takeExpired(now)) {
                    settle(canBegin() ? "admitted" : "expired");
                }
                beginWaiting(state, countBegins(state) + state.credits);
                state.credits = 0;
            }
        }
        if (waitingRequests() === 0) {
            clearInterval(timer);
            timer = undefined;
        }
    };

    const open: Scarcity["open"] = (request, { promptTokens, neededTokens }, deadline) => {
        const { route, service, trace } = request;
        const state = stateOf(service, route);
        const runsOnce = route.kind === "once";
        const urgency = urgencyOf(request.workspace?.priority, route.priority);
        const workspace = request.workspace?.name ?? NO_WORKSPACE;
        const targetAt = request.arrivedAt + route.targetLatencyMilliseconds;
        const size: RequestSize = {
            isModel: state.isModel,
            promptTokens,
            neededTokens,
            capacityTokens: service.engineTokens,
        };
        const needsNow = (): RequestNeeds => ({
            ...size,
            targetMilliseconds: targetAt - clock.now(),
            remainingMilliseconds: deadline - clock.now(),
        });
        const isUsable: AcceptUpstream = upstream => capacityOf(state, upstream, runsOnce).state === "usable";
        const hasFreeSlot: AcceptUpstream = upstream => isFree(capacityOf(state, upstream, runsOnce), size);

        const chooseAmong = (choose: Choose, accepts: AcceptUpstream): Choice | undefined => {
            const choice = choose(accepts);
            // Whether another upstream could take over does not depend on which ones are free now.
            return choice === undefined || choice.candidates > 1
                ? choice
                : { ...choice, candidates: choose()?.candidates ?? choice.candidates };
        };

        const contextNow = (choose: Choose): AdmissionContext => {
            const hasFreeUpstream = choose(hasFreeSlot) !== undefined;
            return {
                upstreams: capacitiesOf(state, runsOnce),
                hasFreeUpstream,
                hasUpstream: hasFreeUpstream || choose(isUsable) !== undefined,
                residenceMilliseconds: state.load.residenceMilliseconds(),
                ownRequests: state.load.ownRequests,
                waiting: state.waiting.size,
                waitingAhead: state.waiting.countAhead(urgency, workspace),
                moreUrgentElsewhere: elsewhere.countMoreUrgent(state.name, urgency, clock.now()),
            };
        };

        const yieldsNow = (): boolean => {
            const moreUrgentElsewhere = elsewhere.countMoreUrgent(state.name, urgency, clock.now());
            return (
                moreUrgentElsewhere > 0 &&
                yieldsToOthers({ upstreams: capacitiesOf(state, runsOnce), moreUrgentElsewhere })
            );
        };

        const describe = (context: AdmissionContext) => ({
            priority: enginePriorityOf(urgency),
            upstreams: context.upstreams.length,
            slots: context.upstreams.reduce((sum, { slots }) => sum + slots, 0),
            requestsInFlight: context.upstreams.reduce((sum, { requests }) => sum + requests, 0),
            ownRequests: context.ownRequests,
            waiting: context.waiting,
            waitingAhead: context.waitingAhead,
            moreUrgentElsewhere: context.moreUrgentElsewhere,
            residenceMilliseconds: Math.round(context.residenceMilliseconds),
            remainingMilliseconds: Math.round(deadline - clock.now()),
            reportAgeMilliseconds: options.reportAgeMilliseconds(),
        });

        const reject = (reason: string, seconds: number): AdmissionOutcome => {
            const spread = 1 + RETRY_SPREAD * (2 * random() - 1);
            const rounded = Math.round(seconds * spread * 1000) / 1000;
            trace.add("scarcity", "Rejected for lack of capacity.", { reason, retryAfterSeconds: rounded });
            return { kind: "rejected", reason, retryAfterSeconds: rounded };
        };

        const waitFor = (milliseconds: number, choose: Choose): Promise<AdmissionOutcome> =>
            new Promise(resolve => {
                const since = clock.now();
                const settle = (outcome: "admitted" | "expired" | "displaced" | "caller-left"): void => {
                    request.callerLeft.removeEventListener("abort", leave);
                    const waited = clock.now() - since;
                    options.observeWait(state.name, waited);
                    trace.add("scarcity", "Stopped waiting.", {
                        outcome,
                        milliseconds: Math.round(waited),
                    });
                    if (outcome === "admitted" || outcome === "caller-left") {
                        resolve({ kind: "admitted", hasWaited: true });
                        return;
                    }
                    options.countDecision(state.name, outcome);
                    const expected = expectedWaitMilliseconds({
                        residenceMilliseconds: state.load.residenceMilliseconds(),
                        ownRequests: state.load.ownRequests,
                        waitingAhead: state.waiting.countAhead(urgency, workspace),
                    });
                    resolve(
                        reject(
                            outcome === "expired"
                                ? "no upstream had capacity in time"
                                : "more urgent requests wait",
                            retryAfterSeconds(expected),
                        ),
                    );
                };
                const waiter: Waiter = {
                    urgency,
                    workspace,
                    targetAt,
                    expiresAt: since + milliseconds,
                    bytes: request.body.length + REQUEST_BYTES,
                    canBegin: () =>
                        !yieldsNow() && choose(state.isModel ? hasFreeSlot : isUsable) !== undefined,
                    settle,
                };
                const leave = (): void => {
                    state.waiting.remove(waiter);
                    settle("caller-left");
                };
                request.callerLeft.addEventListener("abort", leave);
                timer ??= setInterval(reconsider, RECONSIDER_MILLISECONDS);
                state.waiting.add(waiter).forEach(displaced => displaced.settle("displaced"));
            });

        return {
            restrict: (context, accepts) => {
                // The choice asks several times, and each sum is over the reports of all nodes.
                const ejections = new Map<string, number>();
                const ejectionsOf: ChoiceContext["ejectionsOf"] = upstream => {
                    const known = ejections.get(upstream.entry.id);
                    if (known !== undefined) {
                        return known;
                    }
                    const count = isDown(state, upstream, runsOnce)
                        ? Infinity
                        : context.ejectionsOf(upstream);
                    ejections.set(upstream.entry.id, count);
                    return count;
                };
                const loadOf: ChoiceContext["loadOf"] = ({ entry }) => totalOf(entry.id, context.now);
                const avoiding: ChoiceContext = { ...context, ejectionsOf, loadOf };
                return accepts === undefined
                    ? avoiding
                    : restrictChoice(avoiding, accepts, options.upstreamsOf(state.name));
            },
            choose: choose => chooseAmong(choose, hasFreeSlot) ?? chooseAmong(choose, isUsable) ?? choose(),
            admit: async (choose, onWait) => {
                const isNext = state.waiting.size === 0 && !yieldsNow();
                const choice = isNext ? chooseAmong(choose, hasFreeSlot) : undefined;
                if (choice !== undefined) {
                    return { kind: "admitted", hasWaited: false, choice };
                }
                const context = contextNow(choose);
                const admission = admit(context, needsNow());
                switch (admission.kind) {
                    case "send":
                        return { kind: "admitted", hasWaited: false };
                    case "reject":
                        options.countDecision(state.name, "rejected");
                        trace.add("scarcity", "Found no capacity.", describe(context));
                        return reject(admission.reason, admission.retryAfterSeconds);
                    case "wait":
                        options.countDecision(state.name, "waited");
                        trace.add("scarcity", "Waiting for capacity.", {
                            milliseconds: Math.round(admission.milliseconds),
                            ...describe(context),
                        });
                        onWait();
                        return await waitFor(admission.milliseconds, choose);
                }
            },
            begin: upstream => {
                const { load } = state;
                const { process } = upstream;
                const sentAt = clock.now();
                const capacity = capacityOf(state, upstream, runsOnce);
                const queue = queueMilliseconds(capacity, load.residenceMilliseconds());
                const hangMilliseconds = HANG_RATIO * route.targetLatencyMilliseconds + queue;
                let hasHead = false;
                /** Whether this node noticed the end of the time late, so that it may not have read an answer. */
                const wasHeldUp = (milliseconds: number): boolean =>
                    clock.now() - sentAt > milliseconds + HELD_UP_MILLISECONDS;
                load.ownRequests += 1;
                const hangTimer = state.isModel
                    ? undefined
                    : setTimeout(() => {
                          // An upstream that answers others is slow, not hung.
                          const aliveSince = clock.now() - route.targetLatencyMilliseconds;
                          const isAlive = (suspects.answeredAt(process) ?? -Infinity) >= aliveSince;
                          if (!isAlive && !wasHeldUp(hangMilliseconds)) {
                              void nextPoll().then(() => {
                                  if (!hasHead) {
                                      suspect(upstream);
                                  }
                              });
                          }
                      }, hangMilliseconds);
                return {
                    headMilliseconds: (usual, remaining) =>
                        state.isModel
                            ? usual
                            : Math.min(
                                  usual + queue,
                                  Math.max(usual, remaining - route.targetLatencyMilliseconds),
                              ),
                    recordHead: () => {
                        hasHead = true;
                        clearTimeout(hangTimer);
                        suspects.recordAnswer(process, clock.now());
                    },
                    end: result => {
                        const now = clock.now();
                        clearTimeout(hangTimer);
                        load.ownRequests -= 1;
                        if (result.kind === "not-run") {
                            if (result.isUnreached === true) {
                                if (
                                    !wasHeldUp(
                                        connectMilliseconds(route, service) ?? LONGEST_CONNECT_MILLISECONDS,
                                    )
                                ) {
                                    suspect(upstream);
                                }
                            }
                            else if (result.status !== undefined && result.status !== HTTP_MISDIRECTED) {
                                load.recordFull(process, now);
                            }
                        }
                        else if (
                            result.kind === "lost" &&
                            result.isBrokenOff === true &&
                            !hasHead &&
                            !state.isModel
                        ) {
                            suspect(upstream);
                        }
                        else if (hasHead) {
                            load.recordAccepted(process);
                        }
                        if (result.kind === "delivered" && queue === 0) {
                            load.recordResidence(now - sentAt);
                        }
                        if (state.waiting.size > 0) {
                            state.credits += result.kind === "not-run" ? 0 : 1;
                        }
                    },
                };
            },
        };
    };

    return {
        enginePriorityOf: ({ route, service, workspace }) =>
            service.engineTokens === undefined || !options.sendsPriorities
                ? undefined
                : enginePriorityOf(urgencyOf(workspace?.priority, route.priority)),
        open,
        connectMilliseconds,
        suspects: () => {
            // Reports are sent ten times a second, and there is usually nothing to report.
            if (clock.now() - suspectedAt > LONGEST_SUSPICION_MILLISECONDS) {
                return [];
            }
            return states()
                .filter(({ isModel }) => !isModel)
                .flatMap(({ name }) => {
                    const upstreams = options.upstreamsOf(name);
                    const suspected = upstreams.filter(({ process }) =>
                        suspects.isSuspect(process, false, clock.now()),
                    );
                    // A node to which most upstreams look down may itself be cut off.
                    return 2 * suspected.length <= upstreams.length
                        ? suspected.map(({ entry }) => entry.id)
                        : [];
                });
        },
        reportWaiting: now => {
            const waiting = states()
                .flatMap(({ name, waiting: requests }) =>
                    requests
                        .counts()
                        .map(([{ workspace, route }, count]): WireWaiting => [
                            options.node,
                            name,
                            workspace,
                            route,
                            count,
                        ]),
                )
                .slice(0, MAXIMUM_REPORTED_COUNTS);
            return waitingReports.report(waiting, now);
        },
        mergeWaiting: (...reported) => elsewhere.merge(...reported),
        waitingRequests,
        waitingBytes,
    };
}
