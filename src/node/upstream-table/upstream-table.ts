/** Registered upstreams, with the health and the recent sends that this node records for each. */
import { createBoundedMap } from "../common/bounded-map.js";
import type { Logger } from "../logging/logging.js";
import type { RowChange } from "../replica/row-replica.js";
import { createUpstreamHealth } from "./upstream-health.js";
import type { UpstreamHealth } from "./upstream-health.js";

/** Registration of an upstream. */
export interface UpstreamEntry {
    readonly id: string;
    readonly service: string;
    /** `ip:port`. */
    readonly address: string;
    readonly dataCentre: string;
    /** Version of the upstream's software. */
    readonly version: string;
    readonly leaving: boolean;
    /** Requests that the upstream processes at the same time. */
    readonly slots: number;
    /**
     * Time after a change of its registration during which the upstream is cold, that is, gets requests at a
     * limited rate, milliseconds.
     */
    readonly coldMilliseconds: number;
    /**
     * Start of the upstream's process, milliseconds since the epoch. Changes when it restarts with the same
     * id.
     */
    readonly startedAt: number | undefined;
}

export interface RegisteredUpstream {
    readonly entry: UpstreamEntry;
    /** Identifies the upstream's process; changes when the upstream restarts. */
    readonly process: string;
    /** Monotonic time until which the upstream is cold. */
    readonly coldUntil: number;
    readonly health: UpstreamHealth;
    /**
     * Monotonic times of the sends within `COLD_WINDOW_MILLISECONDS`, for the rate limit of cold upstreams.
     */
    readonly recentSends: number[];
}

/** Key of the process that an entry describes, the same at all nodes. */
export function processOf({ id, startedAt, address }: UpstreamEntry): string {
    return `${id}@${startedAt ?? address}`;
}

export interface UpstreamTable {
    /** Upstreams of a service that may receive requests. */
    usable(service: string): readonly RegisteredUpstream[];
    get(id: string): RegisteredUpstream | undefined;
    all(): readonly RegisteredUpstream[];
    /** Records that a process stated that it leaves, which its registration may not say yet or never. */
    recordLeaving(upstream: RegisteredUpstream): void;
    /** Whether the end of the upstream is announced. */
    isLeaving(upstream: RegisteredUpstream): boolean;
    /** Applies changes of registrations. */
    apply(changes: readonly RowChange[], now: number): void;
    /** Removes upstreams whose registration disappeared and was not renewed within the grace period. */
    expire(now: number): void;
}

export interface UpstreamTableOptions {
    /** Returns `undefined` when the entry does not describe a valid upstream. */
    readonly decode: (key: string, value: string) => UpstreamEntry | undefined;
    /**
     * Monotonic time until which an upstream is kept after its registration disappears, or `undefined` if it
     * is removed at once. Registrations expire while the store is down and are renewed after the outage.
     */
    readonly lapseGraceUntil: () => number | undefined;
    readonly logger: Logger;
}

/** Time window of the rate limit of cold upstreams, milliseconds. */
export const COLD_WINDOW_MILLISECONDS = 1000;

/** Records a send to an upstream, and discards sends that are older than the window. */
export function recordSend({ recentSends }: RegisteredUpstream, now: number): void {
    const firstRecent = recentSends.findIndex(time => time > now - COLD_WINDOW_MILLISECONDS);
    recentSends.splice(0, firstRecent < 0 ? recentSends.length : firstRecent);
    recentSends.push(now);
}

/** Processes that stated that they leave, including those that have ended since. */
const MAXIMUM_LEAVING_PROCESSES = 8192;

export function createUpstreamTable(options: UpstreamTableOptions): UpstreamTable {
    const upstreams = new Map<string, RegisteredUpstream>();
    /** End of the grace period by upstream id, for upstreams whose registration is missing. */
    const missingUntil = new Map<string, number>();

    const leavingProcesses = createBoundedMap<true>(MAXIMUM_LEAVING_PROCESSES);

    const isLeaving = ({ entry, process }: RegisteredUpstream): boolean =>
        entry.leaving || leavingProcesses.get(process) === true;

    const remove = (id: string, reason: string): void => {
        if (upstreams.delete(id)) {
            options.logger.info("Dropped an upstream.", { upstream: id, reason });
        }
        missingUntil.delete(id);
    };

    const put = (entry: UpstreamEntry, now: number): void => {
        const known = upstreams.get(entry.id);
        const isSameProcess =
            known !== undefined &&
            known.entry.startedAt === entry.startedAt &&
            known.entry.address === entry.address;
        missingUntil.delete(entry.id);
        upstreams.set(entry.id, {
            entry,
            process: processOf(entry),
            coldUntil: now + entry.coldMilliseconds,
            health: isSameProcess ? known.health : createUpstreamHealth(),
            recentSends: isSameProcess ? known.recentSends : [],
        });
        if (!isSameProcess || known.entry.leaving !== entry.leaving || entry.coldMilliseconds > 0) {
            options.logger.info("Learned of an upstream.", {
                upstream: entry.id,
                service: entry.service,
                dataCentre: entry.dataCentre,
                version: entry.version,
                leaving: entry.leaving,
                coldMilliseconds: entry.coldMilliseconds,
                restarted: known !== undefined && !isSameProcess,
            });
        }
    };

    const applyChange = (change: RowChange, now: number): void => {
        if (change.value !== undefined) {
            const entry = options.decode(change.key, change.value);
            if (entry === undefined) {
                remove(change.key, "its entry is invalid");
            }
            else {
                put(entry, now);
            }
            return;
        }
        const graceUntil = options.lapseGraceUntil();
        const upstream = upstreams.get(change.key);
        if (
            upstream !== undefined &&
            !upstream.entry.leaving &&
            graceUntil !== undefined &&
            graceUntil > now
        ) {
            missingUntil.set(change.key, graceUntil);
            return;
        }
        remove(change.key, "its entry was removed");
    };

    return {
        usable: service =>
            [...upstreams.values()].filter(
                upstream => upstream.entry.service === service && !isLeaving(upstream),
            ),
        recordLeaving: ({ entry, process }) => {
            if (leavingProcesses.get(process) === undefined) {
                options.logger.info("An upstream said that it leaves.", { upstream: entry.id });
                leavingProcesses.set(process, true);
            }
        },
        isLeaving,
        get: id => upstreams.get(id),
        all: () => [...upstreams.values()],
        apply: (changes, now) => changes.forEach(change => applyChange(change, now)),
        expire: now => {
            for (const [id, until] of missingUntil) {
                if (until <= now) {
                    remove(id, "its entry was not renewed within the grace period");
                }
            }
        },
    };
}
