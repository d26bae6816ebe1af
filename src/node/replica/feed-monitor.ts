/**
 * Decides how long the feed calls to the store wait, and when a table or the store must be checked meanwhile.
 *
 * All tables share one revision counter, and each response names the newest revision. A revision that no known
 * row has may therefore be a change of a table whose feed connection has gone silent. Such a table is read again
 * at once, so its own feed calls may wait long. At least one response must arrive in each `RESPONSE_MILLISECONDS`:
 * without changes, the waits are chosen so that the feeds return at different times; the store is called when none
 * has returned.
 *
 * Designed for one reader per region, 3,900 upstreams and 2,000 rows a second.
 */
import { TABLE_NAMES } from "./shared-store.js";
import type { TableName } from "./shared-store.js";

/** Longest time between two responses of the store, milliseconds. */
const RESPONSE_MILLISECONDS = 600;

/** Time after which a missing response leads to a call, milliseconds: a response that is due may be on its way. */
const LIVENESS_CHECK_MILLISECONDS = 650;

/**
 * Time since the last change in which the feeds are expected to return early, milliseconds. They then wait long,
 * as a wait that ends without a change is a wasted call.
 */
const BUSY_MILLISECONDS = 1500;

/** Longest wait of a feed call, milliseconds. Longer ones are not known to be accepted by every store. */
const MAXIMUM_WAIT_MILLISECONDS = 1900;

/** Wait of feed calls for configurations while revisions do not tell what is missing, milliseconds. */
const UNTRUSTED_WAIT_MILLISECONDS = 600;

/** Time in which the feed of a table may still bring a revision that another feed has named, milliseconds. */
const GAP_MILLISECONDS = 150;

/** Shortest interval between two checks of a table, milliseconds. */
const CHECK_INTERVAL_MILLISECONDS = 500;

/**
 * Checks that found nothing, beyond one per `FORGIVEN_MILLISECONDS`, after which revisions are not relied on: the store
 * counts in larger steps, or other writers use tables that no node reads.
 */
const MAXIMUM_FRUITLESS_CHECKS = 10;
const FORGIVEN_MILLISECONDS = 2000;

/** Time for which revisions are then not relied on, milliseconds. */
const UNTRUSTED_MILLISECONDS = 60_000;

export interface StoreResponse {
    readonly epoch: number;
    /** Newest revision of the store. */
    readonly revision: number;
    readonly rows: readonly { readonly revision: number }[];
}

export interface FeedCheck {
    readonly table: TableName;
    /** `gap` when the table may lack a change, `liveness` when the store has been silent. */
    readonly reason: "gap" | "liveness";
}

export interface FeedMonitor {
    /** Wait of the next feed call of a table, milliseconds. Records that the call begins. */
    beginCall(table: TableName, now: number): number;
    /** Records that no feed call of the table is open. */
    endCall(table: TableName): void;
    /** Records the response of a feed call, a check or a read of the whole table. */
    recordResponse(table: TableName, response: StoreResponse, now: number): void;
    /** Table that must be checked with a call that does not wait. Records that the check begins. */
    beginCheck(now: number): FeedCheck | undefined;
    /** Records whether a check of a gap found rows that the feed had not brought. */
    recordCheck(hasFound: boolean, now: number): void;
    /** Forgets everything, because the node has not read the store in between. */
    reset(now: number): void;
}

export function createFeedMonitor(): FeedMonitor {
    /** Newest revision of the store that the last response for a table named. */
    const confirmed = new Map<TableName, number>();
    /** Revisions of known rows that are newer than the oldest entry of `confirmed`. */
    const rowRevisions = new Set<number>();
    /** Monotonic time at which the open feed call of a table is due to return. */
    const dueAt = new Map<TableName, number>();
    const begunAt = new Map<TableName, number>();
    /** Oldest revision that a table may lack, and the monotonic time since which it does. */
    const gaps = new Map<TableName, { readonly revision: number; readonly since: number }>();
    const checkedAt = new Map<TableName, number>();
    let epoch = 0;
    let respondedAt = -Infinity;
    /** Monotonic time of the last response with rows. */
    let changedAt = -Infinity;
    let livenessCheckedAt = -Infinity;
    let fruitlessChecks = 0;
    let fruitlessChecksAt = 0;
    let untrustedUntil = -Infinity;

    /** Oldest revision that the table may lack, as no known row has it. */
    const missingRevision = (table: TableName, newest: number): number | undefined => {
        let revision = (confirmed.get(table) ?? newest) + 1;
        while (revision <= newest && rowRevisions.has(revision)) {
            revision += 1;
        }
        return revision <= newest ? revision : undefined;
    };

    const updateGaps = (now: number): void => {
        const newest = Math.max(...confirmed.values());
        for (const table of TABLE_NAMES) {
            const revision = missingRevision(table, newest);
            if (revision === undefined) {
                gaps.delete(table);
            }
            else if (gaps.get(table)?.revision !== revision) {
                gaps.set(table, { revision, since: now });
            }
        }
    };

    /** Time up to which the open feed calls bring a response in each `RESPONSE_MILLISECONDS`. */
    const latestResponse = (now: number): number =>
        [...dueAt.values()]
            .sort((a, b) => a - b)
            .reduce((end, due) => (due - end <= RESPONSE_MILLISECONDS ? Math.max(end, due) : end), now);

    const clear = (): void => {
        confirmed.clear();
        rowRevisions.clear();
        dueAt.clear();
        gaps.clear();
    };

    /** Whether the feed of a table would have brought a revision. Between two calls, the next one will. */
    const hasWaited = (table: TableName, revision: number, now: number): boolean =>
        (confirmed.get(table) ?? 0) >= revision ||
        (dueAt.has(table) && now - begunAt.get(table)! >= GAP_MILLISECONDS);

    const mustCheck = (table: TableName, now: number): boolean => {
        const gap = gaps.get(table);
        return (
            gap !== undefined &&
            now - gap.since >= GAP_MILLISECONDS &&
            now - (checkedAt.get(table) ?? -Infinity) >= CHECK_INTERVAL_MILLISECONDS &&
            TABLE_NAMES.every(other => hasWaited(other, gap.revision, now))
        );
    };

    return {
        beginCall: (table, now) => {
            dueAt.delete(table);
            const latest = latestResponse(now);
            const limit =
                now < untrustedUntil && table === "configuration"
                    ? UNTRUSTED_WAIT_MILLISECONDS
                    : MAXIMUM_WAIT_MILLISECONDS;
            const isBusy = now - changedAt < BUSY_MILLISECONDS;
            const wait = isBusy ? limit : Math.min(limit, Math.round(latest + RESPONSE_MILLISECONDS - now));
            dueAt.set(table, now + wait);
            begunAt.set(table, now);
            return wait;
        },
        endCall: table => {
            dueAt.delete(table);
        },
        recordResponse: (table, response, now) => {
            if (response.epoch !== epoch) {
                epoch = response.epoch;
                clear();
            }
            respondedAt = now;
            changedAt = response.rows.length > 0 ? now : changedAt;
            confirmed.set(table, Math.max(response.revision, confirmed.get(table) ?? 0));
            response.rows.forEach(({ revision }) => rowRevisions.add(revision));
            if (confirmed.size < TABLE_NAMES.length) {
                return;
            }
            const oldest = Math.min(...confirmed.values());
            for (const known of rowRevisions) {
                if (known <= oldest) {
                    rowRevisions.delete(known);
                }
            }
            updateGaps(now);
        },
        beginCheck: now => {
            const missing =
                now < untrustedUntil ? undefined : TABLE_NAMES.find(table => mustCheck(table, now));
            if (missing !== undefined) {
                checkedAt.set(missing, now);
                return { table: missing, reason: "gap" };
            }
            if (now - Math.max(respondedAt, livenessCheckedAt) >= LIVENESS_CHECK_MILLISECONDS) {
                livenessCheckedAt = now;
                return { table: "configuration", reason: "liveness" };
            }
            return undefined;
        },
        recordCheck: (hasFound, now) => {
            const forgiven = (now - fruitlessChecksAt) / FORGIVEN_MILLISECONDS;
            fruitlessChecks = Math.max(0, fruitlessChecks - forgiven) + (hasFound ? 0 : 1);
            fruitlessChecksAt = now;
            if (fruitlessChecks > MAXIMUM_FRUITLESS_CHECKS) {
                fruitlessChecks = 0;
                untrustedUntil = now + UNTRUSTED_MILLISECONDS;
            }
        },
        reset: now => {
            clear();
            respondedAt = now;
        },
    };
}
