/**
 * Encodes bills as text, in copies and in objects: one line with a JSON array for each bill. JSON objects
 * with field names would double the size of each copy.
 */
import { z } from "zod";
import type { Bill } from "./billing.js";
import { BILLS_PREFIX, NUMBER_DIGITS } from "./constants.js";

const lineSchema = z.tuple([
    z.string().min(1),
    z.string(),
    z.string(),
    z.string(),
    z.number(),
    z.number(),
    z.number(),
    z.number(),
]);

/** An encoded bill with its request id. */
export interface BillLine {
    readonly requestId: string;
    readonly text: string;
}

export function encodeBill(bill: Bill): BillLine {
    const { requestId, workspace, target, version, promptTokens, completionTokens, cost, at } = bill;
    return {
        requestId,
        text: JSON.stringify([
            requestId,
            workspace,
            target,
            version,
            promptTokens,
            completionTokens,
            cost,
            at,
        ]),
    };
}

/** @throws Error when the line is not a bill. */
export function decodeBill(text: string): Bill {
    const [requestId, workspace, target, version, promptTokens, completionTokens, cost, at] =
        lineSchema.parse(JSON.parse(text));
    return { requestId, workspace, target, version, promptTokens, completionTokens, cost, at };
}

export function joinLines(lines: readonly BillLine[]): string {
    return lines.map(line => line.text).join("\n");
}

/** Returns the request id of a line. A malformed line is its own id, so that it is still written. */
function requestIdOf(text: string): string {
    try {
        const [requestId] = JSON.parse(text) as readonly unknown[];
        return typeof requestId === "string" ? requestId : text;
    }
    catch {
        return text;
    }
}

export function splitLines(body: string): readonly BillLine[] {
    return body
        .split("\n")
        .filter(text => text !== "")
        .map(text => ({ requestId: requestIdOf(text), text }));
}

/** Name of the log that holds the bills of one incarnation of a node. */
export function logName(nodeId: string, incarnation: number): string {
    return `${nodeId}-${incarnation}`;
}

export function objectName(log: string, number: number): string {
    return `${BILLS_PREFIX}${log}/${String(number).padStart(NUMBER_DIGITS, "0")}`;
}
