/**
 * Times of the last contact with each node of the roster. With them, a node that cannot read the head row can
 * still prove that its configuration is current.
 *
 * The contact time of a peer is the latest local time at which this node is known to have all accepted and
 * prepared tickets that the peer had. Nodes exchange these times as ages, so they spread by gossip: each node
 * requests them from one random peer four times per second, and only while the table service does not confirm
 * its replica. The number of calls per node is constant; an answer has a constant part and one character per
 * node of the roster (660 bytes at 660 nodes).
 *
 * Assumptions:
 * - Clocks run at the same rate within a few per cent; they need not be synchronized. Ages are sent only in
 *   answers, and the receiver counts them from the time at which it sent the request, so network delay makes
 *   a contact older, never newer.
 * - A ticket is committed only after a majority of the proposer's roster has stored it, and a node removes a
 *   prepared ticket only when it knows that the ticket was accepted or can no longer be. Any majority
 *   contacted after an acceptance therefore includes a node that has the ticket.
 * - A restarted node has lost its prepared tickets. It counts towards a majority only once the head row has a
 *   higher version than at its start, because that resolves every ticket prepared before the start.
 * - Majorities of the proposer's roster and of this node's roster overlap. This holds when the two differ by
 *   at most one node, so nodes are added and removed one at a time while the table or the network fails.
 */
import { sha256 } from "../common/hash.js";

/** One base64url character per step of an age; the last step stands for an unknown age. */
const AGE_CHARACTERS = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
const UNKNOWN_STEP = AGE_CHARACTERS.length - 1;

/** Characters of the roster digest in messages. */
const ROSTER_DIGEST_LENGTH = 12;

export interface ContactTimes {
    /** Replaces the roster and discards the contact times of nodes outside it. */
    setRoster(roster: readonly string[]): void;
    rosterDigest(): string;
    /** Records that this node has all tickets that `id` had at local time `at`. */
    record(id: string, at: number): void;
    /** Merges the ages of a peer's answer to a request sent at local time `sentAt`. */
    merge(ages: string, rosterDigest: string, unit: number, sentAt: number): void;
    /** Encodes the ages at local time `now`, one character per node of the roster. */
    ages(now: number): string;
    /** Latest time at or after which a majority of the roster was contacted; `-Infinity` for none. */
    majorityAt(): number;
}

/** Milliseconds per step of an age; all steps together cover the freshness limit. */
export function ageUnit(freshnessMilliseconds: number): number {
    return Math.ceil(freshnessMilliseconds / (UNKNOWN_STEP - 1));
}

export function majorityOf(count: number): number {
    return Math.floor(count / 2) + 1;
}

export function createContactTimes(unit: number): ContactTimes {
    let roster: readonly string[] = [];
    let rosterIds: ReadonlySet<string> = new Set();
    let digest = "";
    let times = new Map<string, number>();

    const record = (id: string, at: number): void => {
        if (at > (times.get(id) ?? -Infinity)) {
            times.set(id, at);
        }
    };

    return {
        setRoster: ids => {
            if (ids === roster) {
                return;
            }
            roster = ids;
            rosterIds = new Set(ids);
            digest = sha256(ids.join("\n")).slice(0, ROSTER_DIGEST_LENGTH);
            times = new Map([...times].filter(([id]) => rosterIds.has(id)));
        },
        rosterDigest: () => digest,
        record: (id, at) => {
            if (rosterIds.has(id)) {
                record(id, at);
            }
        },
        merge: (ages, peerDigest, peerUnit, sentAt) => {
            if (peerDigest !== digest || ages.length !== roster.length) {
                return;
            }
            for (const [index, id] of roster.entries()) {
                const step = AGE_CHARACTERS.indexOf(ages[index]!);
                if (step >= 0 && step < UNKNOWN_STEP) {
                    record(id, sentAt - step * peerUnit);
                }
            }
        },
        ages: now =>
            roster
                .map(id => {
                    const step = Math.ceil((now - (times.get(id) ?? -Infinity)) / unit);
                    return AGE_CHARACTERS[Math.min(Math.max(step, 0), UNKNOWN_STEP)];
                })
                .join(""),
        majorityAt: () => {
            const sorted = Float64Array.from(roster, id => times.get(id) ?? -Infinity).sort();
            return sorted.at(-majorityOf(roster.length)) ?? -Infinity;
        },
    };
}
