/**
 * Decides which nodes contend for the lease. Designed for 660 nodes: only a few of them may call the store, and
 * all agree on them without messages.
 */
import { rendezvousOrder } from "../common/hash.js";

export interface ContenderInputs {
    readonly node: string;
    /** Ids of the nodes that were heard lately, with this one. */
    readonly liveNodes: readonly string[];
    readonly isHolding: boolean;
    /** Time for which nobody has had the lease, milliseconds. */
    readonly vacantMilliseconds: number;
    readonly isStopping: boolean;
    /** Whether neither the store nor a relay can be reached. */
    readonly isStoreAway: boolean;
    /** Whether the calls of this node to the receiver failed lately, so that another node should try. */
    readonly isReceiverAway: boolean;
}

/** Nodes that contend. Three survive the loss of a data centre with two of them. */
const CONTENDERS = 3;

/** Time without a holder after which as many nodes again contend, milliseconds: the first ones may be dead. */
const WIDENING_MILLISECONDS = 2000;

const ORDER_KEY = "duties";

/** Whether the node wants the lease. A holder keeps it when others come before it, so that it changes rarely. */
export function wantsLease(inputs: ContenderInputs): boolean {
    if (inputs.isStopping || inputs.isReceiverAway) {
        return false;
    }
    if (inputs.isHolding) {
        return true;
    }
    const rank = rendezvousOrder(ORDER_KEY, inputs.liveNodes).indexOf(inputs.node);
    const rounds = 1 + Math.floor(inputs.vacantMilliseconds / WIDENING_MILLISECONDS);
    return !inputs.isStoreAway && rank >= 0 && rank < CONTENDERS * rounds;
}
