/** Tells whether a node is in contact with a majority of the nodes, from the answers to its own probes. */
import { majorityOf } from "../configuration/contact-times.js";
import type { Membership } from "../membership/membership.js";

/** Age of the last answer at which contact counts as lost, milliseconds: three probe intervals. */
const CONTACT_MILLISECONDS = 3000;

/**
 * Returns a function of the monotonic time. Contact needs a recent answer to a probe of this node, so it is
 * lost at once after a pause, and a majority of the roster that is alive: members that a probe missed are
 * suspect and do not count.
 */
export function createMajorityContact(membership: Membership): (now: number) => boolean {
    let answeredAt = -Infinity;
    membership.attachDigest({
        name: "contact",
        read: () => 0,
        receive: ({ notBefore }) => {
            answeredAt = Math.max(answeredAt, notBefore ?? -Infinity);
        },
    });
    return now => {
        const roster = membership.roster();
        if (roster.length > 1 && now - answeredAt > CONTACT_MILLISECONDS) {
            return false;
        }
        const alive = roster.filter(id => membership.members.get(id)?.state === "alive").length;
        return alive >= majorityOf(Math.max(1, roster.length));
    };
}
