/** Creates the owner and the holder of a node and connects them to the other nodes. */
import type { JsonValue } from "../common/json.js";
import type { ConfigurationView } from "../configuration/configuration.js";
import type { Upstream } from "../configuration/entities.js";
import type { Invariants } from "../invariants/invariants.js";
import type { Lifecycle } from "../lifecycle/lifecycle.js";
import { silentLogging } from "../logging/logging.js";
import type { Logger } from "../logging/logging.js";
import { noMetrics } from "../metrics/metrics.js";
import type { Metrics } from "../metrics/metrics.js";
import type { MembershipView } from "../membership/membership.js";
import type { Peers } from "../peers/peers.js";
import type { Ticker } from "../ticker/ticker.js";
import type { AdmissionGate } from "./admission.js";
import {
    CALL_TIMEOUT_MILLISECONDS,
    FIRST_TOKEN_LIMIT_MILLISECONDS,
    GRANT_MILLISECONDS,
    METRICS_INTERVAL_MILLISECONDS,
    PAUSE_THRESHOLD_MILLISECONDS,
    RENEWAL_MILLISECONDS,
    SILENT_NODE_MILLISECONDS,
    VIEW_LAG_MILLISECONDS,
} from "./constants.js";
import { createHolder } from "./holder.js";
import type { HolderAction, HolderEvent } from "./holder.js";
import {
    ACQUIRE_METHOD,
    RECALL_METHOD,
    RELEASE_METHOD,
    decodeRecall,
    decodeReply,
    decodeRequest,
    encodeReply,
    encodeRequest,
} from "./messages.js";
import type { NodeRequest, OwnerReply } from "./messages.js";
import { createOwner } from "./owner.js";
import type { Budgets } from "./owner.js";
import { createOwnership } from "./ownership.js";
import { fits, isZero, minimum } from "./quantity.js";
import type { Quantity } from "./quantity.js";

export interface AdmissionOptions {
    readonly membership: MembershipView;
    readonly peers: Peers;
    readonly configuration: ConfigurationView;
    readonly ticker: Ticker;
    readonly lifecycle: Lifecycle;
    readonly invariants: Invariants;
    /** Monotonic time in milliseconds. */
    readonly now: () => number;
    /**
     * Whether this node is in contact with a majority of the node roster. Must turn false within
     * `viewLagMilliseconds` after contact is lost, even while this node is paused.
     */
    readonly hasMajority: (now: number) => boolean;
    /**
     * Whether a node's process has certainly ended, for example because the platform's list of VMs reports
     * its VM as gone. Frees the credits of a killed node. Must be false for a node that is merely
     * unreachable.
     *
     * @default never
     */
    readonly hasEnded?: (node: string) => boolean;
    /** @default silent */
    readonly logger?: Logger;
    /** @default none */
    readonly metrics?: Metrics;
    /** Maximum time to first token of a fast answer. @default 1500 */
    readonly firstTokenLimitMilliseconds?: number;
    /** Validity of a grant; must be the same on every node. @default 3000 */
    readonly grantMilliseconds?: number;
    /** Time within which nodes in contact with a majority have the same view of the members. @default 4000 */
    readonly viewLagMilliseconds?: number;
    /** Time for which the credits of a silent node stay counted: the longest request. @default 120000 */
    readonly silentNodeMilliseconds?: number;
    /** Interval between renewals of held credits. @default 1000 */
    readonly renewalMilliseconds?: number;
}

export interface Admission extends AdmissionGate {
    /**
     * Records the load that an upstream reports; frees credits of silent nodes whose requests have ended.
     *
     * @param measuredAt Time of the measurement or earlier; monotonic milliseconds.
     */
    reportLoad(upstream: string, held: Quantity, measuredAt: number): void;
    /**
     * Returns unused credits to their owners and stops taking credits. Resolves when all calls to the owners
     * have succeeded or failed. Call this before announcing that this node has left, because owners then stop
     * counting its credits.
     */
    returnCredits(): Promise<void>;
    /** Whether the upstream counts as warm, as its owner or by the last reply of its owner. */
    isWarm(upstream: string, now: number): boolean;
    /** Adds a listener for when an upstream that this node uses turns warm or cold. */
    onTemperature(listener: (upstream: string, isWarm: boolean) => void): void;
}

/** Minimum of the budgets of all governing configurations; `undefined` if one of them permits no new work. */
function budgetsOf(configuration: ConfigurationView, name: string): Budgets | undefined {
    let budgets: Budgets | undefined;
    for (const snapshot of configuration.governing()) {
        const upstream = snapshot.upstream.get(name);
        if (
            upstream?.state !== "active" ||
            snapshot.dataCentre.get(upstream.dataCentre)?.state === "drained"
        ) {
            return undefined;
        }
        budgets = {
            warm: minimum(upstream.warm, budgets?.warm ?? upstream.warm),
            cold: minimum(upstream.cold, budgets?.cold ?? upstream.cold),
        };
    }
    return budgets;
}

export function createAdmission(options: AdmissionOptions): Admission {
    const { membership, peers, configuration } = options;
    const grantMilliseconds = options.grantMilliseconds ?? GRANT_MILLISECONDS;
    const viewLagMilliseconds = options.viewLagMilliseconds ?? VIEW_LAG_MILLISECONDS;
    const startedAt = options.now();
    const ownership = createOwnership(membership, grantMilliseconds + viewLagMilliseconds, startedAt);
    const listeners: (() => void)[] = [];
    const temperatureListeners: ((upstream: string, isWarm: boolean) => void)[] = [];
    const logger = options.logger ?? silentLogging("admission");
    const metrics = options.metrics ?? noMetrics;
    let lastMetricsAt = startedAt;

    const findUpstream = (name: string): Upstream | undefined => configuration.current().upstream.get(name);

    const owner = createOwner({
        budgets: name => budgetsOf(configuration, name),
        ownedSince: name => {
            const upstream = findUpstream(name);
            return upstream === undefined ? undefined : ownership.ownedSince(name, upstream);
        },
        hasMajority: options.hasMajority,
        hasEnded: node => membership.members.get(node)?.state === "left" || options.hasEnded?.(node) === true,
        invariants: options.invariants,
        grantMilliseconds,
        viewLagMilliseconds,
        silentNodeMilliseconds: options.silentNodeMilliseconds ?? SILENT_NODE_MILLISECONDS,
        pauseMilliseconds: PAUSE_THRESHOLD_MILLISECONDS,
        startedAt,
        recall: (node, upstream) => recall(node, upstream),
        onTemperature: (upstream, isWarm, bootId) =>
            logger.info(isWarm ? "A runner turned warm." : "A runner turned cold.", { upstream, bootId }),
    });

    /** Sends the gauges that `docs/operations/cold-pools.md` explains. */
    const sendMetrics = (now: number): void => {
        if (now - lastMetricsAt < METRICS_INTERVAL_MILLISECONDS) {
            return;
        }
        lastMetricsAt = now;
        const totals = holder.totals(now);
        const owned = owner.dump(now);
        metrics.gauge("admission.allowed", totals.allowed);
        metrics.gauge("admission.in_use", totals.inUse);
        metrics.gauge("admission.waiting", totals.waiting);
        metrics.gauge("admission.owned", owned.length);
        metrics.gauge("admission.owned_cold", owned.filter(({ warm }) => !warm).length);
        metrics.gauge(
            "admission.owned_over_budget",
            owned.filter(({ budget, counted }) => !fits(counted, budget)).length,
        );
        metrics.gauge(
            "admission.silent",
            owned.reduce((sum, { silent }) => sum + silent.concurrency, 0),
        );
    };

    const holder = createHolder({
        self: membership.self,
        owner: name => {
            const upstream = findUpstream(name);
            return upstream === undefined ? undefined : ownership.owner(name, upstream);
        },
        // Both only increase, so the sum changes whenever one of them does.
        ownersVersion: () => ownership.version() + configuration.current().revision,
        firstTokenLimitMilliseconds: options.firstTokenLimitMilliseconds ?? FIRST_TOKEN_LIMIT_MILLISECONDS,
        renewalMilliseconds: options.renewalMilliseconds ?? RENEWAL_MILLISECONDS,
    });

    const handle = (request: NodeRequest): OwnerReply => {
        const now = options.now();
        ownership.refresh(now);
        return owner.handle(request, now);
    };
    const handleCall = (params: JsonValue): JsonValue => encodeReply(handle(decodeRequest(params)));
    peers.handle(ACQUIRE_METHOD, handleCall);
    peers.handle(RELEASE_METHOD, handleCall);

    peers.handle(RECALL_METHOD, params => {
        const { owner: ownerId, upstream } = decodeRecall(params);
        holder.recall(ownerId, upstream);
        options.ticker.wake();
        return {};
    });

    /** Does not retry: if the recall is lost, the node's next renewal has the same effect. */
    function recall(node: string, upstream: string): void {
        if (node === membership.self.id) {
            holder.recall(node, upstream);
            options.ticker.wake();
            return;
        }
        const address = membership.members.get(node)?.address;
        if (address !== undefined) {
            const params = { owner: membership.self.id, upstream };
            peers.call(address, RECALL_METHOD, params, CALL_TIMEOUT_MILLISECONDS).catch(() => undefined);
        }
    }

    const call = async (ownerId: string, request: NodeRequest): Promise<OwnerReply> => {
        if (ownerId === membership.self.id) {
            return handle(request);
        }
        const member = membership.members.get(ownerId);
        if (member === undefined) {
            throw new Error(`owner "${ownerId}" is not a member`);
        }
        const wantsNothing = request.runners.every(demand => isZero(demand.wanted));
        const method = wantsNothing ? RELEASE_METHOD : ACQUIRE_METHOD;
        const params = encodeRequest(request);
        return decodeReply(await peers.call(member.address, method, params, CALL_TIMEOUT_MILLISECONDS));
    };

    const system = options.ticker.attach<HolderEvent, HolderAction>(
        "admission",
        (events, now) => {
            ownership.refresh(now);
            owner.advance(now);
            sendMetrics(now);
            return holder.step(events, now);
        },
        action => execute(action),
    );

    function execute(action: HolderAction): void {
        if (action.kind === "notify") {
            listeners.forEach(listener => listener());
            return;
        }
        if (action.kind === "temperature") {
            temperatureListeners.forEach(listener => listener(action.upstream, action.isWarm));
            return;
        }
        const { owner: ownerId, request } = action;
        const { sequence } = request;
        call(ownerId, request).then(
            reply => {
                system.post({ kind: "replied", owner: ownerId, sequence, reply });
            },
            (error: unknown) => {
                metrics.count("admission.failed_calls", 1);
                logger.debug("A call to an owner failed.", { owner: ownerId, error: String(error) });
                system.post({ kind: "failed", owner: ownerId, sequence });
            },
        );
    }

    const returnCredits = async (): Promise<void> => {
        const sends = holder.returnCredits(options.now()).filter(action => action.kind === "send");
        await Promise.allSettled(sends.map(action => call(action.owner, action.request)));
    };

    options.lifecycle.add({ name: "admission", start: () => returnCredits });

    return {
        tryAcquire: (upstream, memoryTokens, now) => {
            const credit = holder.tryAcquire(upstream, memoryTokens, now);
            if (credit === undefined) {
                options.ticker.wake();
            }
            return credit;
        },
        requestCredit: (upstream, memoryTokens, now) => {
            holder.requestCredit(upstream, memoryTokens, now);
            options.ticker.wake();
        },
        release: (credit, observation, now) => {
            holder.release(credit, observation, now);
            options.ticker.wake();
        },
        recordBootId: (upstream, bootId, now) => {
            holder.recordBootId(upstream, bootId, now);
            options.ticker.wake();
        },
        available: (upstream, now) => holder.available(upstream, now),
        onCredit: listener => {
            listeners.push(listener);
        },
        onTemperature: listener => {
            temperatureListeners.push(listener);
        },
        reportLoad: (upstream, held, measuredAt) => {
            owner.reportLoad(upstream, held, measuredAt);
            holder.reportLoad(upstream, held, measuredAt);
        },
        returnCredits,
        isWarm: (upstream, now) => owner.isWarm(upstream, now) || holder.isWarm(upstream),
        dump: () => {
            const now = options.now();
            return { held: holder.dump(now), owned: owner.dump(now) };
        },
    };
}
