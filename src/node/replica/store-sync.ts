/**
 * Keeps the replicas up to date from a relay or from the store's feeds, and tracks whether either is
 * reachable.
 *
 * A relay is a node of the same data centre that forwards the rows that it reads, or of another data centre of
 * the region where the time limits allow two levels of relays. The number of calls to the store therefore grows
 * with the number of data centres or regions and not with the number of nodes.
 */
import { delay } from "../common/clock.js";
import type { Clock } from "../common/clock.js";
import type { Random } from "../common/random.js";
import type { Lifecycle } from "../lifecycle/lifecycle.js";
import type { Logger } from "../logging/logging.js";
import { createFeedMonitor } from "./feed-monitor.js";
import type { FeedCheck } from "./feed-monitor.js";
import type { RelayCandidate } from "./relay-choice.js";
import { retryPause } from "./retry-pause.js";
import type { RelayReach } from "./retry-pause.js";
import type { PeerResponse, RowExchange } from "./row-exchange.js";
import type { ChangeSet, RowReplica } from "./row-replica.js";
import { TABLE_NAMES } from "./shared-store.js";
import type { SharedStore, TableName } from "./shared-store.js";
import type { StoreTiming } from "./store-timing.js";

export type Replicas = Readonly<Record<TableName, RowReplica>>;

export interface Relay extends RelayCandidate {
    /** Base URL of the node's peer listener. */
    readonly peerAddress: string;
}

/**
 * Maximum time that the store may hold a feed call of a table open, milliseconds. Bounds the time until a
 * dead connection is detected: the shortest wait plus the store's response time must stay below the time
 * limit for applying a configuration, including on the nodes that use this node as their relay.
 */
const FEED_WAIT_MILLISECONDS: Readonly<Record<TableName, number>> = {
    configuration: 600,
    runners: 1900,
    nodes: 1900,
};

/** Interval at which a node that reads the store checks its feeds, milliseconds. */
const MONITOR_INTERVAL_MILLISECONDS = 50;

/** Interval between checks whether the probe table has been read, milliseconds. */
const PROBE_POLL_MILLISECONDS = 20;

/** Longest step of a pause after a failed call, milliseconds. A pause ends early when relays are lost meanwhile. */
const PAUSE_STEP_MILLISECONDS = 100;

/**
 * Table that is read first after a failure: the smallest one. The others follow when it succeeds, so that a
 * store that rejects this node gets one call per pause instead of one for each table.
 */
const PROBE_TABLE: TableName = "nodes";

/** Maximum time that a relay may hold a call open, milliseconds. */
const RELAY_WAIT_MILLISECONDS = 500;

/**
 * Timeout of a call to a relay, milliseconds. Half of the shortest time limit for applying a configuration.
 */
const RELAY_TIMEOUT_MILLISECONDS = 900;

/** Time for which a relay is not called after a failed call, milliseconds. A restart takes about a second. */
const FAILED_RELAY_PAUSE_MILLISECONDS = 4000;

/**
 * Time for which a relay is not called after it reports that it is disconnected from the store, milliseconds.
 */
const DISCONNECTED_RELAY_PAUSE_MILLISECONDS = 1000;

/**
 * Maximum time for which a relay that has lost the store holds a call of a node without a relay open, and time
 * until it is called again, milliseconds. It answers as soon as it has the store again, so its followers have it
 * at the same time.
 */
const STORE_WAIT_MILLISECONDS = 500;
const STORE_WAIT_PAUSE_MILLISECONDS = 20;

/** Shortest and longest interval between checks for a usable relay while there is none, milliseconds. */
const MINIMUM_NO_RELAY_PAUSE_MILLISECONDS = 20;
const NO_RELAY_PAUSE_MILLISECONDS = 500;

/**
 * Time without a response after which a relay is not followed any longer, milliseconds. More than the wait and the
 * timeout of a call and the transfer of a large table; what remains of the shortest bound on an order suffices to
 * read the store.
 */
const RELAY_SILENCE_MILLISECONDS = 2500;

/** Time for which a relay counts as reachable after a response, milliseconds. */
const RELAY_RESPONSE_VALIDITY_MILLISECONDS = 3000;

export interface StoreSync {
    /** Whether neither the store nor a relay is reachable. */
    isDisconnected(): boolean;
    /** Whether the replicas match the store, apart from the transfer time. */
    isCurrent(): boolean;
    /** Monotonic time at which the last interruption ended; `undefined` when there was none. */
    reconnectedAt(): number | undefined;
    /** Offset of the store's clock from the monotonic clock, milliseconds. */
    clockOffset(): number | undefined;
    /** Id of the relay; `undefined` while this node reads the store itself. */
    relay(): string | undefined;
    /** Ids of the nodes through which this node reads the store, itself first. */
    path(): readonly string[];
}

export interface StoreSyncOptions {
    /** Id of this node. */
    readonly node: string;
    readonly dataCentre: string;
    readonly timing: StoreTiming;
    readonly store: SharedStore;
    readonly replicas: Replicas;
    readonly exchange: Pick<RowExchange, "readFrom" | "completeWaitingCalls">;
    /** Possible relays in order of preference. */
    readonly relays: () => readonly Relay[];
    readonly nodeCount: () => number;
    readonly random: Random;
    readonly clock: Clock;
    readonly lifecycle: Lifecycle;
    readonly logger: Logger;
}

export function createStoreSync(options: StoreSyncOptions): StoreSync {
    const { store, replicas, exchange, timing, clock, logger } = options;
    /** Tables whose last call to the store failed. */
    const failedTables = new Set<TableName>();
    /** Tables that were read from the store since this node last used a relay. */
    const readTables = new Set<TableName>();
    /** Monotonic time until which a relay is not called, by node id. */
    const avoidedUntil = new Map<string, number>();
    /** Monotonic time of the last response of a relay, by node id. */
    const relayHeardAt = new Map<string, number>();
    const monitor = createFeedMonitor();
    /** Ends the open feed call of a table, with an error or as if it had brought nothing. */
    const abandonCall = new Map<TableName, (error?: Error) => void>();
    let relay: Relay | undefined;
    let relayClockOffset: number | undefined;
    let relayPath: readonly string[] = [];
    let wakeReaders: (() => void)[] = [];
    let reconnectedAt: number | undefined;
    let disconnectedAt: number | undefined;
    /** Monotonic time until which a node that lost its relay still counts as connected. */
    let graceUntil = -Infinity;
    /** The relay has lost the store, which may be away for this node as well. */
    let mustProbe = false;
    let relayLosses = 0;
    let wasCurrent = false;
    let stopped = false;

    const isInGrace = (): boolean => clock.now() < graceUntil && failedTables.size === 0;
    const isCurrent = (): boolean =>
        relay !== undefined ||
        (failedTables.size === 0 && readTables.size === TABLE_NAMES.length) ||
        isInGrace();
    const isDisconnected = (): boolean => relay === undefined && failedTables.size > 0;

    /** Records and logs the start and the end of an interruption. */
    const updateConnection = (reason: Readonly<Record<string, string | number>>): void => {
        if (isDisconnected() && disconnectedAt === undefined) {
            disconnectedAt = clock.now();
            logger.warn("Lost the store; going on with what is known.", reason);
            exchange.completeWaitingCalls();
        }
        else if (!isDisconnected() && disconnectedAt !== undefined) {
            reconnectedAt = clock.now();
            logger.info("Reached the store again.", {
                ...reason,
                awayMilliseconds: Math.round(reconnectedAt - disconnectedAt),
            });
            disconnectedAt = undefined;
        }
    };

    const waitForRelayLoss = (): Promise<void> => new Promise(resolve => wakeReaders.push(resolve));

    const apply = (table: TableName, changes: ChangeSet): void => {
        const isRestored = changes.epoch !== replicas[table].epoch && replicas[table].revision > 0;
        replicas[table].apply(changes);
        monitor.recordResponse(table, changes, clock.now());
        if (isRestored && timing.isMonitored) {
            // Revisions of two epochs do not tell what a table lacks.
            abandonCall.forEach((abandon, other) => (other === table ? undefined : abandon()));
        }
    };

    /** Resolves to `undefined` when the call is abandoned because its connection has gone silent. */
    const untilAbandoned = <Result>(table: TableName, call: Promise<Result>): Promise<Result | undefined> =>
        Promise.race([
            call,
            new Promise<undefined>((resolve, reject) => {
                abandonCall.set(table, error => (error === undefined ? resolve(undefined) : reject(error)));
            }),
        ]);

    const feedWait = (table: TableName): number =>
        timing.isMonitored ? monitor.beginCall(table, clock.now()) : FEED_WAIT_MILLISECONDS[table];

    /** Peers whose calls wait learn at once that this node has the store again. */
    const completeCallsWhenCurrent = (): void => {
        if (isCurrent() && !wasCurrent) {
            exchange.completeWaitingCalls();
        }
        wasCurrent = isCurrent();
    };

    const readOnce = async (table: TableName): Promise<void> => {
        const replica = replicas[table];
        // The first call after an interruption does not wait, so that the reconnection is detected early.
        const wait = readTables.has(table) && !failedTables.has(table) ? feedWait(table) : 0;
        const isFirst = replica.revision === 0 && !readTables.has(table);
        const reading = async (): Promise<ChangeSet> => {
            const changes = isFirst ? undefined : await store.readChanges(table, replica.revision, wait);
            const isOfEpoch = changes !== undefined && changes.epoch === replica.epoch;
            return isOfEpoch ? changes : store.readTable(table);
        };
        const changes = await untilAbandoned(table, reading()).finally(() => monitor.endCall(table));
        if (changes !== undefined) {
            apply(table, changes);
        }
    };

    /** Reads the newer rows of a table beside its feed, whose connection may have gone silent. */
    const checkFeed = async ({ table, reason }: FeedCheck): Promise<void> => {
        const replica = replicas[table];
        const abandon = abandonCall.get(table);
        try {
            const changes = await store.readChanges(table, replica.revision, 0);
            const isOfEpoch = changes !== undefined && changes.epoch === replica.epoch;
            const isMissing = !isOfEpoch || changes.rows.some(row => row.revision > replica.revision);
            if (reason === "gap") {
                monitor.recordCheck(isMissing, clock.now());
            }
            if (isOfEpoch) {
                apply(table, changes);
            }
            if (isMissing) {
                logger.warn("A feed of the store has missed changes; calling again.", { table });
                abandon?.();
            }
        }
        catch (error) {
            // A store that does not answer this call will not answer the open ones either.
            abandonCall.forEach(abandonOpen => abandonOpen(error as Error));
        }
    };

    const monitorFeeds = async (): Promise<void> => {
        while (!stopped) {
            if (relay !== undefined) {
                await waitForRelayLoss();
                monitor.reset(clock.now());
                continue;
            }
            await delay(MONITOR_INTERVAL_MILLISECONDS);
            const isReading = failedTables.size === 0 && readTables.size === TABLE_NAMES.length;
            const check = relay === undefined && isReading ? monitor.beginCheck(clock.now()) : undefined;
            if (check !== undefined && !stopped) {
                await checkFeed(check);
            }
        }
    };

    const isProbePending = (): boolean => failedTables.has(PROBE_TABLE) || mustProbe;

    /** Waits until the store has answered a call for the probe table, or a relay is followed. */
    const waitForProbe = async (table: TableName): Promise<void> => {
        while (table !== PROBE_TABLE && isProbePending() && relay === undefined && !stopped) {
            await delay(PROBE_POLL_MILLISECONDS);
        }
    };

    const relayReach = (): RelayReach => {
        const reachable = options
            .relays()
            .filter(
                ({ id }) =>
                    clock.now() - (relayHeardAt.get(id) ?? -Infinity) < RELAY_RESPONSE_VALIDITY_MILLISECONDS,
            );
        if (reachable.length === 0) {
            return "none";
        }
        return reachable.some(({ dataCentre }) => dataCentre === options.dataCentre)
            ? "dataCentre"
            : "region";
    };

    /** Waits before the next call, for as long as the relays that can be reached allow, or until a relay is lost. */
    const pauseReading = async (failures: number): Promise<void> => {
        const startedAt = clock.now();
        const losses = relayLosses;
        const position = options.random();
        const remaining = (): number => {
            const state = { failures, relayReach: relayReach(), nodeCount: options.nodeCount() };
            return startedAt + retryPause(state, () => position) - clock.now();
        };
        for (let left = remaining(); left > 0; left = remaining()) {
            if (losses !== relayLosses || stopped) {
                return;
            }
            await delay(Math.min(PAUSE_STEP_MILLISECONDS, left));
        }
    };

    const readStore = async (table: TableName): Promise<void> => {
        let failures = 0;
        let losses = relayLosses;
        while (!stopped) {
            if (relay !== undefined) {
                await waitForRelayLoss();
            }
            if (losses !== relayLosses) {
                losses = relayLosses;
                failures = 0;
                if (mustProbe && options.relays().length > 1) {
                    await delay(timing.storeFallbackMilliseconds);
                }
            }
            await waitForProbe(table);
            if (relay !== undefined || stopped) {
                continue;
            }
            try {
                await readOnce(table);
                if (relay !== undefined) {
                    continue;
                }
                readTables.add(table);
                failedTables.delete(table);
                if (table === PROBE_TABLE) {
                    mustProbe = false;
                }
                updateConnection({ table, revision: replicas[table].revision });
                completeCallsWhenCurrent();
                failures = 0;
                await delay(timing.feedPauseMilliseconds[table]);
            }
            catch (error) {
                if (stopped) {
                    return;
                }
                if (relay !== undefined) {
                    continue;
                }
                failedTables.add(table);
                wasCurrent = false;
                updateConnection({ table, error: (error as Error).message });
                failures += 1;
                await pauseReading(failures);
            }
        }
    };

    const follow = (candidate: Relay): void => {
        if (relay?.id !== candidate.id) {
            logger.info("Follows a node instead of the store.", { relay: candidate.id });
        }
        relay = candidate;
        avoidedUntil.delete(candidate.id);
        readTables.clear();
        failedTables.clear();
        mustProbe = false;
        updateConnection({ relay: candidate.id });
        completeCallsWhenCurrent();
    };

    const endGrace = (): void => {
        graceUntil = -Infinity;
        wasCurrent = isCurrent();
        if (!stopped && !isCurrent()) {
            exchange.completeWaitingCalls();
        }
    };

    const removeRelay = (previous: Relay, reason: string, grace: number): void => {
        logger.warn("Lost the node that was followed.", { relay: previous.id, reason });
        relay = undefined;
        relayLosses += 1;
        wasCurrent = grace > 0;
        if (grace > 0) {
            graceUntil = clock.now() + grace;
            setTimeout(endGrace, grace);
        }
        else {
            graceUntil = -Infinity;
            exchange.completeWaitingCalls();
        }
        wakeReaders.forEach(wake => wake());
        wakeReaders = [];
    };

    /** @param grace Time for which this node still counts as connected when it followed the candidate. */
    const recordRelayFailure = (candidate: Relay, reason: string, pause: number, grace: number): void => {
        avoidedUntil.set(candidate.id, clock.now() + pause);
        if (relay?.id === candidate.id) {
            removeRelay(candidate, reason, grace);
        }
        else {
            logger.debug("A relay is not usable.", { relay: candidate.id, reason });
        }
    };

    /** Two nodes that follow each other would both take themselves for current, so a path must not return. */
    const unusableReason = (candidate: Relay, response: PeerResponse): string | undefined => {
        const { path } = response;
        if (!response.isCurrent) {
            return "it has lost the store";
        }
        if (response.isBehind) {
            return "it has not seen that the store was restored";
        }
        if (path === undefined) {
            return "it orders relays by the rules of an earlier version";
        }
        // Bounds the levels of relays: a third one would not fit into the time limit for a configuration.
        if (candidate.dataCentre !== options.dataCentre && path.length > 1) {
            return "it does not read the store itself";
        }
        return path.includes(options.node) ? "it follows this node" : undefined;
    };

    /** Whether the node that is followed is to be kept although the candidate is usable. */
    const isFollowedBefore = (candidate: Relay): boolean => {
        const order = options.relays().map(({ id }) => id);
        return relay !== undefined && order.indexOf(relay.id) < order.indexOf(candidate.id);
    };

    /** Reads changes from a node, and uses it as the relay when it is connected to the store. */
    const pollRelay = async (candidate: Relay): Promise<void> => {
        const isFollowed = relay?.id === candidate.id;
        try {
            const response = await exchange.readFrom(
                candidate.peerAddress,
                isFollowed ? RELAY_WAIT_MILLISECONDS : 0,
                RELAY_TIMEOUT_MILLISECONDS,
                false,
                relay === undefined ? STORE_WAIT_MILLISECONDS : 0,
            );
            relayHeardAt.set(candidate.id, clock.now());
            const reason = unusableReason(candidate, response);
            if (reason === undefined && isFollowedBefore(candidate)) {
                return;
            }
            if (reason === undefined) {
                relayClockOffset = response.clockOffset;
                relayPath = response.path!;
                follow(candidate);
                return;
            }
            const isStillFollowed = relay?.id === candidate.id;
            mustProbe ||= isStillFollowed && !response.isCurrent;
            const pause =
                !response.isCurrent && response.waitsForStore && (relay === undefined || isStillFollowed)
                    ? STORE_WAIT_PAUSE_MILLISECONDS
                    : DISCONNECTED_RELAY_PAUSE_MILLISECONDS;
            recordRelayFailure(candidate, reason, pause, 0);
        }
        catch (error) {
            recordRelayFailure(
                candidate,
                (error as Error).message,
                FAILED_RELAY_PAUSE_MILLISECONDS,
                timing.relayLossGraceMilliseconds,
            );
        }
    };

    /** Open calls to relays, by node id. */
    const openPolls = new Map<string, Promise<void>>();

    const startPoll = (candidate: Relay): void => {
        const poll = pollRelay(candidate).finally(() => openPolls.delete(candidate.id));
        openPolls.set(candidate.id, poll);
    };

    const isAvoided = ({ id }: Relay): boolean => (avoidedUntil.get(id) ?? 0) > clock.now();

    /**
     * Relays that are to be called now. A call that waits never keeps the relay that is followed from being
     * called: at most one other relay is tried beside it, or beside the feeds of the store.
     */
    const relaysToPoll = (relays: readonly Relay[]): readonly Relay[] => {
        const callable = relays.filter(candidate => !openPolls.has(candidate.id) && !isAvoided(candidate));
        if (relay === undefined && !isCurrent()) {
            // Whichever has the store first is followed.
            return callable;
        }
        const position = relays.findIndex(({ id }) => id === relay?.id);
        const followed = relays.filter(({ id }) => id === relay?.id && !openPolls.has(id));
        const preferred = position < 0 ? relays : relays.slice(0, position);
        const isTrying = [...openPolls.keys()].some(id => id !== relay?.id);
        const tried = isTrying ? undefined : callable.find(candidate => preferred.includes(candidate));
        return tried === undefined ? followed : [...followed, tried];
    };

    /** Time until a relay may be called again. */
    const noRelayPause = (relays: readonly Relay[]): number => {
        const pauses = relays
            .filter(candidate => !openPolls.has(candidate.id) && isAvoided(candidate))
            .map(({ id }) => avoidedUntil.get(id)! - clock.now());
        return Math.max(
            MINIMUM_NO_RELAY_PAUSE_MILLISECONDS,
            Math.min(NO_RELAY_PAUSE_MILLISECONDS, ...pauses),
        );
    };

    const followRelays = async (): Promise<void> => {
        while (!stopped) {
            const relays = options.relays();
            if (relay !== undefined && !relays.some(({ id }) => id === relay!.id)) {
                removeRelay(relay, "it is no longer a possible relay", timing.relayLossGraceMilliseconds);
            }
            if (
                relay !== undefined &&
                clock.now() - relayHeardAt.get(relay.id)! > RELAY_SILENCE_MILLISECONDS
            ) {
                removeRelay(relay, "it has been silent", timing.relayLossGraceMilliseconds);
            }
            relaysToPoll(relays).forEach(startPoll);
            await Promise.race([...openPolls.values(), delay(noRelayPause(relays))]);
        }
    };

    options.lifecycle.add({
        name: "store feeds",
        start: () => {
            TABLE_NAMES.forEach(table => void readStore(table));
            if (timing.isMonitored) {
                void monitorFeeds();
            }
            void followRelays();
            return () => {
                stopped = true;
            };
        },
    });

    return {
        isDisconnected,
        isCurrent,
        reconnectedAt: () => reconnectedAt,
        clockOffset: () => (relay === undefined ? store.clockOffset() : undefined) ?? relayClockOffset,
        relay: () => relay?.id,
        path: () => (relay === undefined && !isInGrace() ? [options.node] : [options.node, ...relayPath]),
    };
}
