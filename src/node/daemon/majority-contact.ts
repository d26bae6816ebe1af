/** Detects whether this node has contact with a majority of the nodes, from the answers to its probes. */
import { majorityOf } from "../configuration/contact-times.js";
import type { Membership } from "../membership/membership.js";

/** Contact is lost when the last answer to a probe is older than this: three probe intervals. */
const CONTACT_TIMEOUT_MILLISECONDS = 3000;

/**
 * Creates a function that returns whether this node has contact at a monotonic time. Contact requires:
 *
 * - A recent answer to a probe of this node. Contact is therefore lost immediately after a pause.
 * - A majority of the roster in state `alive`. Members that missed a probe are `suspect` and do not count.
 */
export function createMajorityContact(membership: Membership): (now: number) => boolean {
    let lastAnswerAt = -Infinity;
    membership.attachDigest({
        name: "contact",
        read: () => 0,
        receive: ({ notBefore }) => {
            lastAnswerAt = Math.max(lastAnswerAt, notBefore ?? -Infinity);
        },
    });
    return now => {
        const roster = membership.roster();
        if (roster.length > 1 && now - lastAnswerAt > CONTACT_TIMEOUT_MILLISECONDS) {
            return false;
        }
        const alive = roster.filter(id => membership.members.get(id)?.state === "alive").length;
        return alive >= majorityOf(Math.max(1, roster.length));
    };
}
