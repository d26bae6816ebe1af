/** Upstreams as they are registered, with what this node has seen of each. */
import type { Logger } from "../logging/logging.js";
import type { RowChange } from "../replica/row-replica.js";
import { createRunnerHealth } from "./runner-health.js";
import type { RunnerHealth } from "./runner-health.js";

/** Registration of an upstream. */
export interface RunnerEntry {
    readonly id: string;
    readonly service: string;
    /** `ip:port`. */
    readonly address: string;
    readonly dataCentre: string;
    /** Version of the upstream's software. */
    readonly version: string;
    readonly leaving: boolean;
    /** Time that the upstream stays cold from its registration's change on, milliseconds. */
    readonly coldMilliseconds: number;
    /** Start of the upstream, milliseconds since the epoch. Changes when it restarts under the same id. */
    readonly bornAt: number | undefined;
}

export interface Runner {
    readonly entry: RunnerEntry;
    /** Monotonic time until which the upstream is cold. */
    readonly coldUntil: number;
    readonly health: RunnerHealth;
    /** Monotonic times of the sends within the last `COLD_WINDOW_MILLISECONDS`, for the limit of cold upstreams. */
    readonly recentSends: number[];
}

export interface RunnerTable {
    /** Upstreams of a service that may get requests. */
    usable(service: string): readonly Runner[];
    get(id: string): Runner | undefined;
    all(): readonly Runner[];
    /** Takes over changed registrations. */
    apply(changes: readonly RowChange[], now: number): void;
    /** Drops upstreams whose registration lapsed and did not come back. */
    expire(now: number): void;
}

export interface RunnerTableOptions {
    /** Returns `undefined` when the entry names no upstream that can be used. */
    readonly decode: (key: string, value: string) => RunnerEntry | undefined;
    /**
     * Monotonic time until which a removed registration may come back, or `undefined` when the removal is final.
     * Registrations lapse while the store is down and are renewed after it.
     */
    readonly lapseGraceUntil: () => number | undefined;
    readonly logger: Logger;
}

/** Time over which the sends to a cold upstream are counted, milliseconds. */
export const COLD_WINDOW_MILLISECONDS = 1000;

/** Notes that a request is sent to an upstream, and forgets sends that are out of the window. */
export function recordSend({ recentSends }: Runner, now: number): void {
    const kept = recentSends.findIndex(time => time > now - COLD_WINDOW_MILLISECONDS);
    recentSends.splice(0, kept < 0 ? recentSends.length : kept);
    recentSends.push(now);
}

export function createRunnerTable(options: RunnerTableOptions): RunnerTable {
    const runners = new Map<string, Runner>();
    /** Upstreams by id whose registration is gone, with the time until which they are kept. */
    const lapsed = new Map<string, number>();

    const remove = (id: string, reason: string): void => {
        if (runners.delete(id)) {
            options.logger.info("Dropped an upstream.", { upstream: id, reason });
        }
        lapsed.delete(id);
    };

    const put = (entry: RunnerEntry, now: number): void => {
        const known = runners.get(entry.id);
        const isSame =
            known !== undefined &&
            known.entry.bornAt === entry.bornAt &&
            known.entry.address === entry.address;
        lapsed.delete(entry.id);
        runners.set(entry.id, {
            entry,
            coldUntil: now + entry.coldMilliseconds,
            health: isSame ? known.health : createRunnerHealth(),
            recentSends: isSame ? known.recentSends : [],
        });
        if (!isSame || known.entry.leaving !== entry.leaving || entry.coldMilliseconds > 0) {
            options.logger.info("Learned of an upstream.", {
                upstream: entry.id,
                service: entry.service,
                version: entry.version,
                leaving: entry.leaving,
                coldMilliseconds: entry.coldMilliseconds,
                restarted: known !== undefined && !isSame,
            });
        }
    };

    const applyChange = (change: RowChange, now: number): void => {
        if (change.value !== undefined) {
            const entry = options.decode(change.key, change.value);
            if (entry === undefined) {
                remove(change.key, "its entry cannot be used");
            }
            else {
                put(entry, now);
            }
            return;
        }
        const graceUntil = options.lapseGraceUntil();
        const runner = runners.get(change.key);
        if (runner !== undefined && !runner.entry.leaving && graceUntil !== undefined && graceUntil > now) {
            lapsed.set(change.key, graceUntil);
            return;
        }
        remove(change.key, "its entry was removed");
    };

    return {
        usable: service =>
            [...runners.values()].filter(({ entry }) => entry.service === service && !entry.leaving),
        get: id => runners.get(id),
        all: () => [...runners.values()],
        apply: (changes, now) => changes.forEach(change => applyChange(change, now)),
        expire: now => {
            for (const [id, until] of lapsed) {
                if (until <= now) {
                    remove(id, "its entry did not come back");
                }
            }
        },
    };
}
