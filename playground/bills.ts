/** Reads the bills that a deployment wrote, to verify that each request is billed once. */
import { decodeBill } from "../src/node/billing/bill-codec.js";

/** Counts the bills of each request id in all objects of the object store. */
export function countBills(objects: ReadonlyMap<string, string>): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const [name, body] of objects) {
        if (!name.startsWith("bills/")) {
            continue;
        }
        for (const line of body.split("\n").filter(text => text !== "")) {
            const { requestId } = decodeBill(line);
            counts.set(requestId, (counts.get(requestId) ?? 0) + 1);
        }
    }
    return counts;
}
