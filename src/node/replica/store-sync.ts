/**
 * Keeps the replicas up to date, from a relay or from the store's feeds, and says how long both have been out
 * of reach.
 *
 * A relay is a node of the same data centre that hands on what it reads. Calls to the store so grow with the
 * number of data centres and not with the number of nodes.
 */
import { delay } from "../common/clock.js";
import type { Clock } from "../common/clock.js";
import type { Lifecycle } from "../lifecycle/lifecycle.js";
import type { Logger } from "../logging/logging.js";
import type { RelayCandidate } from "./relay-choice.js";
import type { RowExchange } from "./row-exchange.js";
import type { RowReplica } from "./row-replica.js";
import { TABLE_NAMES } from "./shared-store.js";
import type { SharedStore, TableName } from "./shared-store.js";

export type Replicas = Readonly<Record<TableName, RowReplica>>;

export interface Relay extends RelayCandidate {
    /** Base URL of the listener for peers. */
    readonly peerAddress: string;
}

/**
 * Time that the store may hold a feed call of a table open, milliseconds. Bounds how long a silent connection is
 * trusted: the shortest, with the store's time to answer, must stay below the time to apply a configuration, also for
 * the nodes that follow this one.
 */
const FEED_WAIT_MILLISECONDS: Readonly<Record<TableName, number>> = {
    configuration: 600,
    runners: 1900,
    nodes: 1900,
};

/** Pause between two feed calls of a table, milliseconds. Groups changes that follow each other. */
const FEED_PAUSE_MILLISECONDS = 100;

/** First and longest pause after a failed call, milliseconds. */
const RETRY_PAUSE_MILLISECONDS = 200;
const LONGEST_RETRY_PAUSE_MILLISECONDS = 800;

/** Time that a relay may hold a call open, milliseconds. */
const RELAY_WAIT_MILLISECONDS = 500;

/** Time after which a relay counts as silent, milliseconds. Half of the shortest time to apply a configuration. */
const RELAY_TIMEOUT_MILLISECONDS = 900;

/** Time for which a relay is not asked after a call that failed, milliseconds. A restart takes about a second. */
const FAILED_RELAY_PAUSE_MILLISECONDS = 4000;

/** Time for which a relay is not asked after it said that it has lost the store, milliseconds. */
const LOST_RELAY_PAUSE_MILLISECONDS = 1000;

/** Time between looks for a relay while there is none, milliseconds. */
const NO_RELAY_PAUSE_MILLISECONDS = 500;

export interface StoreSync {
    /** Neither the store nor a relay can be reached. */
    isDisconnected(): boolean;
    /** What this node knows is what the store holds, but for the time of the way. */
    isCurrent(): boolean;
    /** Monotonic time at which the store last became reachable again; `undefined` when it never was lost. */
    reconnectedAt(): number | undefined;
    /** Offset of the store's clock from the process's monotonic clock, milliseconds. */
    clockOffset(): number | undefined;
    /** Id of the node that is followed; `undefined` while this node reads the store. */
    relay(): string | undefined;
}

export interface StoreSyncOptions {
    readonly store: SharedStore;
    readonly replicas: Replicas;
    readonly exchange: Pick<RowExchange, "readFrom" | "answerWaiting">;
    /** Nodes that may be followed, first choice first. */
    readonly relays: () => readonly Relay[];
    readonly clock: Clock;
    readonly lifecycle: Lifecycle;
    readonly logger: Logger;
}

export function createStoreSync(options: StoreSyncOptions): StoreSync {
    const { store, replicas, exchange, clock, logger } = options;
    /** Tables whose last call to the store failed. */
    const failing = new Set<TableName>();
    /** Tables that were read from the store since this node last followed a relay. */
    const read = new Set<TableName>();
    /** Monotonic times, by node, until which a node is not asked. */
    const avoidedUntil = new Map<string, number>();
    let relay: Relay | undefined;
    let relayClockOffset: number | undefined;
    let wakeReaders: (() => void)[] = [];
    let reconnectedAt: number | undefined;
    let lostAt: number | undefined;
    let stopped = false;

    const isDisconnected = (): boolean => relay === undefined && failing.size > 0;

    /** Notes whether the store is lost or was reached again. */
    const noteConnection = (reason: Readonly<Record<string, string | number>>): void => {
        if (isDisconnected() && lostAt === undefined) {
            lostAt = clock.now();
            logger.warn("Lost the store; going on with what is known.", reason);
            exchange.answerWaiting();
        }
        else if (!isDisconnected() && lostAt !== undefined) {
            reconnectedAt = clock.now();
            logger.info("Reached the store again.", {
                ...reason,
                awayMilliseconds: Math.round(reconnectedAt - lostAt),
            });
            lostAt = undefined;
        }
    };

    const readOnce = async (table: TableName): Promise<void> => {
        const replica = replicas[table];
        // The first answer after an interruption comes at once, so that it tells early that the store is back.
        const wait = read.has(table) && !failing.has(table) ? FEED_WAIT_MILLISECONDS[table] : 0;
        const isFirst = replica.revision === 0 && !read.has(table);
        const changes = isFirst ? undefined : await store.readChanges(table, replica.revision, wait);
        replica.apply(changes ?? (await store.readTable(table)));
    };

    const relayLost = (): Promise<void> => new Promise(resolve => wakeReaders.push(resolve));

    const readStore = async (table: TableName): Promise<void> => {
        let pause = RETRY_PAUSE_MILLISECONDS;
        while (!stopped) {
            if (relay !== undefined) {
                await relayLost();
                pause = RETRY_PAUSE_MILLISECONDS;
                continue;
            }
            try {
                await readOnce(table);
                if (relay !== undefined) {
                    continue;
                }
                read.add(table);
                failing.delete(table);
                noteConnection({ table, revision: replicas[table].revision });
                pause = RETRY_PAUSE_MILLISECONDS;
                await delay(FEED_PAUSE_MILLISECONDS);
            }
            catch (error) {
                if (stopped) {
                    return;
                }
                if (relay !== undefined) {
                    continue;
                }
                failing.add(table);
                noteConnection({ table, error: (error as Error).message });
                await delay(pause);
                pause = Math.min(LONGEST_RETRY_PAUSE_MILLISECONDS, pause * 2);
            }
        }
    };

    const follow = (next: Relay): void => {
        if (relay?.id !== next.id) {
            logger.info("Follows a node instead of the store.", { relay: next.id });
        }
        relay = next;
        read.clear();
        failing.clear();
        noteConnection({ relay: next.id });
    };

    const dropRelay = (lost: Relay, reason: string): void => {
        logger.warn("Lost the node that was followed.", { relay: lost.id, reason });
        relay = undefined;
        exchange.answerWaiting();
        wakeReaders.forEach(wake => wake());
        wakeReaders = [];
    };

    const noteFailure = (candidate: Relay, reason: string, pause: number): void => {
        avoidedUntil.set(candidate.id, clock.now() + pause);
        if (relay?.id === candidate.id) {
            dropRelay(candidate, reason);
        }
        else {
            logger.debug("A node cannot be followed.", { relay: candidate.id, reason });
        }
    };

    /** Asks a node for what is new, and follows it when it is in contact with the store. */
    const ask = async (candidate: Relay): Promise<void> => {
        try {
            const wait = relay?.id === candidate.id ? RELAY_WAIT_MILLISECONDS : 0;
            const answer = await exchange.readFrom(candidate.peerAddress, wait, RELAY_TIMEOUT_MILLISECONDS);
            if (answer.isCurrent) {
                relayClockOffset = answer.clockOffset;
                follow(candidate);
            }
            else {
                noteFailure(candidate, "it has lost the store", LOST_RELAY_PAUSE_MILLISECONDS);
            }
        }
        catch (error) {
            noteFailure(candidate, (error as Error).message, FAILED_RELAY_PAUSE_MILLISECONDS);
        }
    };

    const followRelays = async (): Promise<void> => {
        while (!stopped) {
            const relays = options.relays();
            if (relay !== undefined && !relays.some(({ id }) => id === relay!.id)) {
                dropRelay(relay, "it is not to be followed any more");
            }
            const candidate = relays.find(({ id }) => (avoidedUntil.get(id) ?? 0) <= clock.now());
            await (candidate === undefined ? delay(NO_RELAY_PAUSE_MILLISECONDS) : ask(candidate));
        }
    };

    options.lifecycle.add({
        name: "store feeds",
        start: () => {
            TABLE_NAMES.forEach(table => void readStore(table));
            void followRelays();
            return () => {
                stopped = true;
            };
        },
    });

    return {
        isDisconnected,
        isCurrent: () => relay !== undefined || (failing.size === 0 && read.size === TABLE_NAMES.length),
        reconnectedAt: () => reconnectedAt,
        clockOffset: () => (relay === undefined ? store.clockOffset() : undefined) ?? relayClockOffset,
        relay: () => relay?.id,
    };
}
