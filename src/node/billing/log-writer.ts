/**
 * Decides how bills are appended to the log of one incarnation of a node, that is, to the numbered objects
 * under `bills/NODE-INCARNATION/`.
 *
 * Several nodes may write the same log: the owner, and the peers that hold copies of its bills. Put-if-absent
 * makes the log append-only. A writer puts object N only when N-1 exists, and only with bills that no object
 * before N contains; it has read every object that another node created since the bills were recorded. So
 * each bill is in exactly one object, even when calls are delayed, lost or repeated. Performs no I/O.
 */
import type { BillLine } from "./bill-codec.js";
import { joinLines } from "./bill-codec.js";

export type LogCall =
    | { readonly kind: "put"; readonly number: number; readonly body: string }
    /** Reads an object that another writer, or a put whose answer was lost, has created. */
    | { readonly kind: "get"; readonly number: number };

export type LogAnswer =
    | { readonly kind: "created" }
    | { readonly kind: "exists" }
    | { readonly kind: "body"; readonly lines: readonly BillLine[] }
    /** The call failed or its answer was lost. */
    | { readonly kind: "failed" };

export interface LogWriter {
    /** Lowest number of an object that may be absent. */
    readonly next: number;
    /** Whether a call waits for its answer. */
    readonly busy: boolean;
    /**
     * Returns the next call to the object store, or `undefined` while a call waits for its answer or there is
     * nothing to write. `bills` are those that may be missing from the log; a put contains the first of them,
     * up to the maximum size.
     */
    call(bills: Iterable<BillLine>): LogCall | undefined;
    /** Processes the answer of the open call. Returns the request ids that the log was found to contain. */
    answer(answer: LogAnswer): readonly string[];
}

/**
 * @param first Lowest number of an object that may be absent or may contain any of the bills.
 * @param maximumBytes Maximum size of an object; a single bill may exceed it.
 */
export function createLogWriter(first: number, maximumBytes: number): LogWriter {
    let next = first;
    let openCall: "put" | "get" | undefined;
    let mustRead = false;
    /** Bills of the last put. They are put again unchanged when the answer was lost. */
    let putLines: readonly BillLine[] = [];

    const selectLines = (bills: Iterable<BillLine>): readonly BillLine[] => {
        const lines: BillLine[] = [];
        let bytes = 0;
        for (const line of bills) {
            if (lines.length > 0 && bytes + line.text.length > maximumBytes) {
                break;
            }
            bytes += line.text.length + 1;
            lines.push(line);
        }
        return lines;
    };

    return {
        get next() {
            return next;
        },
        get busy() {
            return openCall !== undefined;
        },
        call: bills => {
            if (openCall !== undefined) {
                return undefined;
            }
            if (mustRead) {
                openCall = "get";
                return { kind: "get", number: next };
            }
            if (putLines.length === 0) {
                putLines = selectLines(bills);
            }
            if (putLines.length === 0) {
                return undefined;
            }
            openCall = "put";
            return { kind: "put", number: next, body: joinLines(putLines) };
        },
        answer: answer => {
            openCall = undefined;
            switch (answer.kind) {
                case "created": {
                    const written = putLines.map(line => line.requestId);
                    putLines = [];
                    next += 1;
                    return written;
                }
                case "exists":
                    mustRead = true;
                    return [];
                case "body":
                    mustRead = false;
                    putLines = [];
                    next += 1;
                    return answer.lines.map(line => line.requestId);
                case "failed":
                    return [];
            }
        },
    };
}
