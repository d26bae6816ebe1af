/**
 * Stores the pins of sessions without a token as rows in the table service. A pin names the model version of
 * its session.
 *
 * New pins are created only for sessions that a recent rollout step includes, so their number depends on the
 * rollout steps and not on all traffic. Reads and writes are batched, and the result of a read is cached.
 */
import { z } from "zod";
import type { Clock } from "../common/clock.js";
import { sha256 } from "../common/hash.js";
import type { Lifecycle } from "../lifecycle/lifecycle.js";
import type { TableService } from "../outside-services/table-service.js";

/** Milliseconds between batches of reads and writes. */
const FLUSH_MILLISECONDS = 250;

/** Maximum rows per read or transaction. */
const ROWS_PER_TRANSACTION = 200;

/** Maximum number of sessions whose pin, or lack of a pin, is cached. */
const MAXIMUM_CACHED_PINS = 50_000;

/**
 * Maximum number of pins that wait to be written. Sessions whose pins are discarded look like new sessions
 * later.
 */
const MAXIMUM_UNWRITTEN_PINS = 50_000;

/** Share of the idle time after which a pin in use is written again, to extend it. */
const REFRESH_AFTER_IDLE_SHARE = 0.25;

/** Hexadecimal characters of the hash in a row key. */
const HASH_LENGTH = 32;

const PIN_PREFIX = "session/";

/** `expiresAt` is in milliseconds since the epoch. */
const pinSchema = z.object({ version: z.string(), expiresAt: z.number() });

export interface SessionPins {
    /** Pins a session, or extends its pin. */
    pin(workspace: string, model: string, sessionId: string, version: string): void;
    /** Version that a session is pinned to; `undefined` for none, `unknown` until it has been read. */
    pinOf(workspace: string, model: string, sessionId: string): string | undefined | "unknown";
    dump(): unknown;
}

export interface SessionPinsOptions {
    readonly table: Pick<TableService, "getMany" | "transact">;
    readonly clock: Clock;
    /** Idle time after which a session counts as ended, milliseconds. */
    readonly idleMilliseconds: number;
    readonly lifecycle: Lifecycle;
    /** Called when pins have been read, so that `pinOf` no longer returns `unknown` for them. */
    readonly onPinsRead: () => void;
}

interface CachedPin {
    /** `undefined` if the session has no pin. */
    readonly version: string | undefined;
    /** Monotonic time of the last read or write. */
    readonly at: number;
}

export function createSessionPins(options: SessionPinsOptions): SessionPins {
    const { clock, idleMilliseconds, table } = options;
    const cache = new Map<string, CachedPin>();
    let unread = new Set<string>();
    const unwritten = new Map<string, string>();
    let flushing: Promise<void> | undefined;

    const keyOf = (workspace: string, model: string, sessionId: string): string =>
        PIN_PREFIX + sha256(`${workspace}\u0000${model}\u0000${sessionId}`).slice(0, HASH_LENGTH);

    const cachePin = (key: string, version: string | undefined): void => {
        cache.delete(key);
        cache.set(key, { version, at: clock.now() });
        if (cache.size > MAXIMUM_CACHED_PINS) {
            cache.delete(cache.keys().next().value!);
        }
    };

    const read = async (): Promise<void> => {
        const keys = [...unread].slice(0, ROWS_PER_TRANSACTION);
        if (keys.length === 0) {
            return;
        }
        const rows = new Map((await table.getMany(keys)).map(row => [row.key, pinSchema.parse(row.value)]));
        for (const key of keys) {
            unread.delete(key);
            const pin = rows.get(key);
            cachePin(key, pin !== undefined && pin.expiresAt > clock.wallTime() ? pin.version : undefined);
        }
        options.onPinsRead();
    };

    const write = async (): Promise<void> => {
        const entries = [...unwritten].slice(0, ROWS_PER_TRANSACTION);
        if (entries.length === 0) {
            return;
        }
        const expiresAt = clock.wallTime() + 2 * idleMilliseconds;
        // All nodes write the same version for a session, so the order of their writes does not matter.
        await table.transact({
            conditions: [],
            writes: entries.map(([key, version]) => ({ kind: "put", key, value: { version, expiresAt } })),
        });
        for (const [key, version] of entries) {
            if (unwritten.get(key) === version) {
                unwritten.delete(key);
            }
        }
    };

    const flush = (): void => {
        flushing ??= Promise.allSettled([read(), write()]).then(() => {
            flushing = undefined;
        });
    };

    options.lifecycle.add({
        name: "session pins",
        start: () => {
            const timer = setInterval(flush, FLUSH_MILLISECONDS);
            return async () => {
                clearInterval(timer);
                await flushing;
                await write().catch(() => undefined);
            };
        },
    });

    return {
        pin: (workspace, model, sessionId, version) => {
            const key = keyOf(workspace, model, sessionId);
            const cached = cache.get(key);
            const isRecent =
                cached !== undefined && clock.now() - cached.at < idleMilliseconds * REFRESH_AFTER_IDLE_SHARE;
            if ((cached?.version === version && isRecent) || unwritten.size >= MAXIMUM_UNWRITTEN_PINS) {
                return;
            }
            unwritten.set(key, version);
            cachePin(key, version);
        },
        pinOf: (workspace, model, sessionId) => {
            const key = keyOf(workspace, model, sessionId);
            const cached = cache.get(key);
            if (cached !== undefined && clock.now() - cached.at < idleMilliseconds) {
                return cached.version;
            }
            if (unread.size === 0) {
                // The first session of a batch is read immediately, without waiting for the timer.
                setImmediate(flush);
            }
            unread = unread.add(key);
            return "unknown";
        },
        dump: () => ({ cached: cache.size, unread: unread.size, unwritten: unwritten.size }),
    };
}
