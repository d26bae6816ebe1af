/** Composes the two sides of admission and connects them to the other nodes. */
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
    METRICS_MILLISECONDS,
    PAUSE_MILLISECONDS,
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
import { fits, isNothing, smaller } from "./quantity.js";
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
     * Whether this node hears a majority of the node roster. Must turn false within `viewLagMilliseconds`
     * after contact is lost, also while this node is paused.
     */
    readonly hearsMajority: (now: number) => boolean;
    /**
     * Whether a node's process has certainly ended, for example because the platform's list says that its VM is
     * gone. Frees the credits of a killed node. A node that is merely not heard may not be named.
     *
     * @default never
     */
    readonly hasEnded?: (node: string) => boolean;
    /** @default silent */
    readonly logger?: Logger;
    /** @default none */
    readonly metrics?: Metrics;
    /** Time to the first token of a warm runner, milliseconds. @default 1500 */
    readonly firstTokenLimitMilliseconds?: number;
    /** Milliseconds that a grant lasts; the same on every node. @default 3000 */
    readonly grantMilliseconds?: number;
    /** Milliseconds within which nodes that hear a majority see the same members. @default 4000 */
    readonly viewLagMilliseconds?: number;
    /** Milliseconds that the credits of a silent node stay counted: the longest request. @default 120000 */
    readonly silentNodeMilliseconds?: number;
    /** Milliseconds between renewals. @default 1000 */
    readonly renewalMilliseconds?: number;
}

export interface Admission extends AdmissionGate {
    /**
     * Takes what a runner reports to hold; frees credits of silent nodes whose requests have ended.
     *
     * @param measuredAt Not later than the measurement; monotonic milliseconds.
     */
    reportLoad(upstream: string, held: Quantity, measuredAt: number): void;
    /**
     * Returns unused credits to their owners and takes none any more. Resolves when the owners answered or the
     * calls failed. Must precede the announcement that this node has left: owners stop counting then.
     */
    handBack(): Promise<void>;
    /** Whether the runner counts as warm, as far as this node knows. */
    isWarm(upstream: string, now: number): boolean;
    /** Registers the function that is told when a runner that this node uses turns warm or cold. */
    onTemperature(listener: (upstream: string, isWarm: boolean) => void): void;
}

/** Returns the budgets that every governing configuration permits. */
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
            warm: smaller(upstream.warm, budgets?.warm ?? upstream.warm),
            cold: smaller(upstream.cold, budgets?.cold ?? upstream.cold),
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
    let measuredAt = startedAt;

    const locate = (name: string): Upstream | undefined => configuration.current().upstream.get(name);

    const owner = createOwner({
        budgets: name => budgetsOf(configuration, name),
        ownedSince: name => {
            const upstream = locate(name);
            return upstream === undefined ? undefined : ownership.ownedSince(name, upstream);
        },
        hearsMajority: options.hearsMajority,
        hasEnded: node => membership.members.get(node)?.state === "left" || options.hasEnded?.(node) === true,
        invariants: options.invariants,
        grantMilliseconds,
        viewLagMilliseconds,
        silentNodeMilliseconds: options.silentNodeMilliseconds ?? SILENT_NODE_MILLISECONDS,
        pauseMilliseconds: PAUSE_MILLISECONDS,
        startedAt,
        recall: (node, upstream) => recall(node, upstream),
        onTemperature: (upstream, isWarm, bootId) =>
            logger.info(isWarm ? "A runner turned warm." : "A runner turned cold.", { upstream, bootId }),
    });

    /** Sends the gauges that `docs/operations/cold-pools.md` explains. */
    const measure = (now: number): void => {
        if (now - measuredAt < METRICS_MILLISECONDS) {
            return;
        }
        measuredAt = now;
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
            const upstream = locate(name);
            return upstream === undefined ? undefined : ownership.owner(name, upstream);
        },
        // Both only rise, so the sum changes whenever one of them does.
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

    /** A lost recall is made up for by the node's next renewal. */
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
        const wantsNothing = request.runners.every(runner => isNothing(runner.wanted));
        const method = wantsNothing ? RELEASE_METHOD : ACQUIRE_METHOD;
        const params = encodeRequest(request);
        return decodeReply(await peers.call(member.address, method, params, CALL_TIMEOUT_MILLISECONDS));
    };

    const system = options.ticker.attach<HolderEvent, HolderAction>(
        "admission",
        (events, now) => {
            ownership.refresh(now);
            owner.advance(now);
            measure(now);
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

    const handBack = async (): Promise<void> => {
        const sends = holder.handBack(options.now()).filter(action => action.kind === "send");
        await Promise.allSettled(sends.map(action => call(action.owner, action.request)));
    };

    options.lifecycle.add({ name: "admission", start: () => handBack });

    return {
        tryAcquire: (upstream, memoryTokens, now) => {
            const credit = holder.take(upstream, memoryTokens, now);
            if (credit === undefined) {
                options.ticker.wake();
            }
            return credit;
        },
        request: (upstream, memoryTokens, now) => {
            holder.request(upstream, memoryTokens, now);
            options.ticker.wake();
        },
        release: (credit, observation, now) => {
            holder.giveBack(credit, observation, now);
            options.ticker.wake();
        },
        noteBootId: (upstream, bootId, now) => {
            holder.noteBootId(upstream, bootId, now);
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
        handBack,
        isWarm: (upstream, now) => owner.isWarm(upstream, now) || holder.isWarm(upstream),
        dump: () => {
            const now = options.now();
            return { held: holder.dump(now), owned: owner.dump(now) };
        },
    };
}
