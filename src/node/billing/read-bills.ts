/** Reads bills from the object store. */
import type { Invariants } from "../invariants/invariants.js";
import type { ObjectStore } from "../outside-services/object-store.js";
import { decodeBill } from "./bill-codec.js";
import type { Bill } from "./billing.js";
import { BILLS_PREFIX } from "./constants.js";

export interface ReadBillsOptions {
    /** Receives a second bill of a request as a violation of `billed-once`. */
    readonly invariants: Invariants;
    /**
     * Reads only the objects of one incarnation of a node, `NODE-INCARNATION`.
     *
     * @default all objects
     */
    readonly log?: string;
}

export interface StoredBill extends Bill {
    /** Name of the object that contains the bill. */
    readonly object: string;
}

/**
 * Yields one bill per request, in the order of the object names. A second bill of a request is reported as a
 * violation and not yielded. Holds all request ids in memory.
 *
 * @throws OutsideServiceError when the store fails; Error when an object contains a line that is not a bill.
 */
export async function* readBills(
    objectStore: ObjectStore,
    options: ReadBillsOptions,
): AsyncGenerator<StoredBill, void, undefined> {
    const prefix = options.log === undefined ? BILLS_PREFIX : `${BILLS_PREFIX}${options.log}/`;
    const objects = new Map<string, string>();
    let after: string | undefined;
    for (;;) {
        const names = await objectStore.list(prefix, after);
        if (names.length === 0) {
            return;
        }
        for (const object of names) {
            const body = (await objectStore.get(object)) ?? "";
            for (const text of body.split("\n").filter(line => line !== "")) {
                const bill = decodeBill(text);
                const firstObject = objects.get(bill.requestId);
                options.invariants.assert(
                    "billed-once",
                    firstObject === undefined,
                    () => `request ${bill.requestId} has bills in ${firstObject} and ${object}`,
                );
                if (firstObject === undefined) {
                    objects.set(bill.requestId, object);
                    yield { ...bill, object };
                }
            }
        }
        after = names.at(-1);
    }
}
