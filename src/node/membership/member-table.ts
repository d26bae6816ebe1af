/** Table of members, with the precedence of updates and the queue of updates to send. */
import type { Random } from "../common/random.js";
import { createTable } from "../tables/table.js";
import type { WritableTable } from "../tables/table.js";
import { MEMBER_RETENTION_MILLISECONDS, UPDATES_PER_MESSAGE, UPDATE_REPEAT_FACTOR } from "./constants.js";
import type { Member, MemberState } from "./membership.js";
import type { MemberUpdate } from "./messages.js";

/** Of two updates with equal incarnation and refutation, the one with the higher rank takes precedence. */
const STATE_RANKS: Readonly<Record<MemberState, number>> = {
    alive: 0,
    leaving: 1,
    suspect: 2,
    dead: 3,
    left: 4,
};

/** State of a member that only the failure detector uses. */
interface MemberDetail {
    readonly refutation: number;
    /** Local time of the last change of state, milliseconds. */
    readonly since: number;
}

export interface MemberTable {
    readonly members: WritableTable<Member>;
    /**
     * Applies an update of another member. Returns the changed member, or `undefined` when the update is not
     * newer than the table.
     *
     * @param isQueued Whether a change is queued for sending.
     */
    apply(update: MemberUpdate, now: number, isQueued: boolean): Member | undefined;
    /** Sets the state and refutation of this node and queues them for sending. */
    setSelfState(state: MemberState, refutation: number, now: number): void;
    refutation(id: string): number;
    since(id: string): number;
    /** Adds a pause of this process to the times of the last state changes. */
    shiftTimes(milliseconds: number): void;
    /** Removes members that have been dead or left for the retention time. */
    removeExpired(now: number): void;
    /** Chooses the updates of the next message to `to`, and counts them as sent. */
    updatesFor(to: string | undefined, known: number): readonly MemberUpdate[];
    updateOf(id: string): MemberUpdate | undefined;
}

function isNewer(update: MemberUpdate, member: Member, refutation: number): boolean {
    if (update.incarnation !== member.incarnation) {
        return update.incarnation > member.incarnation;
    }
    if (update.refutation !== refutation) {
        return update.refutation > refutation;
    }
    return STATE_RANKS[update.state] > STATE_RANKS[member.state];
}

export function hasEnded(member: Member): boolean {
    return member.state === "dead" || member.state === "left";
}

export function createMemberTable(self: Member, random: Random): MemberTable {
    const members = createTable<Member>([[self.id, self]]);
    const details = new Map<string, MemberDetail>([[self.id, { refutation: 0, since: 0 }]]);
    /** How often the update of a queued member was sent. */
    const sendCounts = new Map<string, number>([[self.id, 0]]);

    const store = (member: Member, refutation: number, now: number, isQueued: boolean): Member => {
        members.set(member.id, member);
        details.set(member.id, { refutation, since: now });
        if (isQueued) {
            sendCounts.set(member.id, 0);
        }
        return member;
    };

    const updateOf = (id: string): MemberUpdate | undefined => {
        const member = members.get(id);
        if (member === undefined) {
            return undefined;
        }
        const { incarnation, state, address, dataCentre, region } = member;
        const refutation = details.get(id)?.refutation ?? 0;
        return hasEnded(member) || state === "suspect"
            ? { id, incarnation, refutation, state }
            : { id, incarnation, refutation, state, address, dataCentre, region };
    };

    /** Adds up to `2 * count` random members that have not ended to `chosen`, up to the message limit. */
    const pickRandom = (count: number, chosen: Set<string>): void => {
        const ids = [...members.keys()];
        for (let attempt = 0; attempt < 2 * count && chosen.size < UPDATES_PER_MESSAGE; attempt += 1) {
            const id = ids[Math.floor(random() * ids.length)];
            if (id !== undefined && !hasEnded(members.get(id)!)) {
                chosen.add(id);
            }
        }
    };

    return {
        members,
        apply: (update, now, isQueued) => {
            const member = members.get(update.id);
            if (member === undefined) {
                const { id, incarnation, refutation, state, address, dataCentre, region } = update;
                if (address === undefined || dataCentre === undefined || region === undefined) {
                    return undefined;
                }
                return store(
                    { id, incarnation, address, dataCentre, region, state },
                    refutation,
                    now,
                    isQueued,
                );
            }
            if (!isNewer(update, member, details.get(update.id)?.refutation ?? 0)) {
                return undefined;
            }
            const { incarnation, state } = update;
            return store(
                {
                    ...member,
                    incarnation,
                    state,
                    address: update.address ?? member.address,
                    dataCentre: update.dataCentre ?? member.dataCentre,
                    region: update.region ?? member.region,
                },
                update.refutation,
                now,
                isQueued,
            );
        },
        setSelfState: (state, refutation, now) => {
            store({ ...members.get(self.id)!, state }, refutation, now, true);
        },
        refutation: id => details.get(id)?.refutation ?? 0,
        since: id => details.get(id)?.since ?? 0,
        shiftTimes: milliseconds => {
            for (const [id, detail] of details) {
                details.set(id, { ...detail, since: detail.since + milliseconds });
            }
        },
        removeExpired: now => {
            for (const member of members.values()) {
                if (hasEnded(member) && now - details.get(member.id)!.since > MEMBER_RETENTION_MILLISECONDS) {
                    members.delete(member.id);
                    details.delete(member.id);
                    sendCounts.delete(member.id);
                }
            }
        },
        updatesFor: (to, known) => {
            const limit = Math.ceil(UPDATE_REPEAT_FACTOR * Math.log2(members.size + 1));
            const chosen = new Set<string>();
            const receiver = to === undefined ? undefined : members.get(to);
            // The receiver can refute a state only if it receives it.
            if (receiver !== undefined && receiver.state !== "alive") {
                chosen.add(receiver.id);
            }
            const queue = [...sendCounts.entries()].sort(([, a], [, b]) => a - b);
            for (const [id, count] of queue.slice(0, UPDATES_PER_MESSAGE - chosen.size)) {
                chosen.add(id);
                if (count + 1 >= limit) {
                    sendCounts.delete(id);
                }
                else {
                    sendCounts.set(id, count + 1);
                }
            }
            // One random member repairs updates that every node missed; a joining node gets as many as fit.
            pickRandom(known < members.size ? UPDATES_PER_MESSAGE : 1, chosen);
            return [...chosen].map(id => updateOf(id)!);
        },
        updateOf,
    };
}
