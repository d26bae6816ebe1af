/** HTTP clients of the table service and the object store. The protocol is in `docs/platform-protocol.md`. */
import { Agent } from "undici";
import { requestUntilAborted } from "../common/abortable-request.js";
import type { ObjectStore } from "./object-store.js";
import { OutsideServiceError } from "./table-service.js";
import type { Row, TableService, TransactionResult } from "./table-service.js";

/** Timeout of a call, milliseconds. */
const CALL_TIMEOUT_MILLISECONDS = 2000;

/** Connections per service and node. Enough for grouped writes, and few enough with 660 nodes. */
const CONNECTIONS_PER_SERVICE = 8;

const HTTP_NOT_FOUND = 404;
const HTTP_CONFLICT = 409;
const HTTP_TOO_MANY_REQUESTS = 429;
const HTTP_UNAVAILABLE = 503;

interface CallOptions {
    readonly method: "GET" | "POST" | "PUT";
    readonly path: string;
    readonly body?: string;
    readonly headers?: Readonly<Record<string, string>>;
    /** Statuses besides 2xx that are results rather than failures. */
    readonly expected: readonly number[];
}

interface CallResult {
    readonly status: number;
    readonly body: string;
}

export interface HttpServiceOptions {
    /** Base URL, for example `http://127.0.0.1:7001`. */
    readonly baseUrl: string;
    /** Timeout of a call, milliseconds. @default 2000 */
    readonly timeoutMilliseconds?: number;
}

function createHttpCall(options: HttpServiceOptions): (call: CallOptions) => Promise<CallResult> {
    const agent = new Agent({ connections: CONNECTIONS_PER_SERVICE, pipelining: 1 });
    const timeout = options.timeoutMilliseconds ?? CALL_TIMEOUT_MILLISECONDS;
    return async call => {
        const signal = AbortSignal.timeout(timeout);
        let result: CallResult;
        try {
            const response = await requestUntilAborted(`${options.baseUrl}${call.path}`, {
                method: call.method,
                body: call.body,
                headers: { "content-type": "application/json", ...call.headers },
                dispatcher: agent,
                signal,
            });
            result = { status: response.statusCode, body: await response.body.text() };
        }
        catch (error) {
            const isConnectionRefused = (error as NodeJS.ErrnoException).code === "ECONNREFUSED";
            throw new OutsideServiceError(
                `${call.method} ${call.path} failed: ${(error as Error).message}`,
                isConnectionRefused ? "not-applied" : "unknown",
                { cause: error },
            );
        }
        if ((result.status >= 200 && result.status < 300) || call.expected.includes(result.status)) {
            return result;
        }
        // By the protocol, a call that returns 429 or 503 had no effect.
        const isRejected = result.status === HTTP_UNAVAILABLE || result.status === HTTP_TOO_MANY_REQUESTS;
        throw new OutsideServiceError(
            `${call.method} ${call.path} returned status ${result.status}`,
            isRejected ? "not-applied" : "unknown",
        );
    };
}

export function createHttpTableService(options: HttpServiceOptions): TableService {
    const call = createHttpCall(options);
    return {
        transact: async transaction => {
            const result = await call({
                method: "POST",
                path: "/table/transact",
                body: JSON.stringify(transaction),
                expected: [HTTP_CONFLICT],
            });
            return JSON.parse(result.body) as TransactionResult;
        },
        get: async key => {
            const result = await call({
                method: "GET",
                path: `/table/row?key=${encodeURIComponent(key)}`,
                expected: [HTTP_NOT_FOUND],
            });
            return result.status === HTTP_NOT_FOUND ? undefined : (JSON.parse(result.body) as Row);
        },
        getMany: async keys => {
            const result = await call({
                method: "POST",
                path: "/table/rows",
                body: JSON.stringify({ keys }),
                expected: [],
            });
            return (JSON.parse(result.body) as { rows: readonly Row[] }).rows;
        },
        scan: async (prefix, scan = {}) => {
            const query = new URLSearchParams({ prefix, limit: String(scan.limit ?? 1000) });
            if (scan.after !== undefined) {
                query.set("after", scan.after);
            }
            const result = await call({ method: "GET", path: `/table/scan?${query}`, expected: [] });
            return (JSON.parse(result.body) as { rows: readonly Row[] }).rows;
        },
    };
}

export function createHttpObjectStore(options: HttpServiceOptions): ObjectStore {
    const call = createHttpCall(options);
    const path = (name: string): string => `/objects/${encodeURIComponent(name)}`;
    return {
        putIfAbsent: async (name, body) => {
            const result = await call({
                method: "PUT",
                path: path(name),
                body,
                headers: { "if-none-match": "*" },
                expected: [HTTP_CONFLICT],
            });
            return result.status === HTTP_CONFLICT ? "exists" : "created";
        },
        put: async (name, body) => {
            await call({ method: "PUT", path: path(name), body, expected: [] });
        },
        get: async name => {
            const result = await call({ method: "GET", path: path(name), expected: [HTTP_NOT_FOUND] });
            return result.status === HTTP_NOT_FOUND ? undefined : result.body;
        },
        list: async (prefix, after) => {
            const query = new URLSearchParams({ prefix, ...(after === undefined ? {} : { after }) });
            const result = await call({ method: "GET", path: `/objects?${query}`, expected: [] });
            return (JSON.parse(result.body) as { names: readonly string[] }).names;
        },
    };
}
