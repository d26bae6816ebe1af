/**
 * Stand-in of the platform: table service, object store, VM list, rating service and weight store on one
 * port. `docs/platform-protocol.md` describes the protocol. `POST /faults` configures faults.
 */
import { setTimeout as delay } from "node:timers/promises";
import { applyTransaction, scanRows } from "../../src/node/outside-services/in-memory-table.js";
import type { Row, Transaction } from "../../src/node/outside-services/table-service.js";
import { sendJson, startStandIn } from "./http.js";
import type { StandInCall, StandInServer } from "./http.js";
import { createWeightStore } from "./weight-store.js";

/** Faults of a store; each is active until it is reset. */
export interface StoreFaults {
    /** Answers 503 without executing the call. */
    readonly down: boolean;
    /** Milliseconds by which each call is delayed. */
    readonly delayMilliseconds: number;
    /** Executes writes, then closes the connection without an answer. */
    readonly loseAnswers: boolean;
    /** Writes per second above which calls are answered with 429; 0 means no limit. */
    readonly writesPerSecond: number;
}

export interface PlatformFaults {
    readonly table: StoreFaults;
    readonly objects: StoreFaults;
    /** The rating service answers 503. */
    readonly ratingDown: boolean;
    /** Permits that the weight store grants per minute; 0 means no limit. */
    readonly permitsPerMinute: number;
}

const NO_STORE_FAULTS: StoreFaults = {
    down: false,
    delayMilliseconds: 0,
    loseAnswers: false,
    writesPerSecond: 0,
};

/** One permit every 2 s. */
const DEFAULT_PERMITS_PER_MINUTE = 30;

export interface PlatformCounters {
    readonly tableWrites: number;
    readonly tableReads: number;
    readonly objectWrites: number;
    readonly objectReads: number;
    readonly permits: number;
}

export interface Platform extends StandInServer {
    readonly rows: ReadonlyMap<string, Row>;
    readonly objects: ReadonlyMap<string, string>;
    counters(): PlatformCounters;
    setFaults(faults: Partial<PlatformFaults>): void;
}

export interface PlatformOptions {
    /** Score that the rating service gives an answer, 0 to 1. */
    readonly rate: (prompt: string, answer: string) => number;
    readonly port?: number;
}

/** Reads rows by the query parameters `prefix`, `after` and `limit`. */
function scan(rows: ReadonlyMap<string, Row>, query: URLSearchParams): readonly Row[] {
    return scanRows(rows, query.get("prefix") ?? "", {
        after: query.get("after") ?? "",
        limit: Number(query.get("limit") ?? "1000"),
    });
}

/** Creates a check that counts calls per second of the wall clock; a limit of 0 allows all calls. */
function createRateLimit(): (limit: number) => boolean {
    let second = 0;
    let used = 0;
    return limit => {
        const now = Math.floor(Date.now() / 1000);
        used = now === second ? used + 1 : 1;
        second = now;
        return limit === 0 || used <= limit;
    };
}

export async function startPlatform(options: PlatformOptions): Promise<Platform> {
    const rows = new Map<string, Row>();
    const objects = new Map<string, string>();
    const counters = { tableWrites: 0, tableReads: 0, objectWrites: 0, objectReads: 0 };
    const allowTableWrite = createRateLimit();
    const allowObjectWrite = createRateLimit();
    let faults: PlatformFaults = {
        table: NO_STORE_FAULTS,
        objects: NO_STORE_FAULTS,
        ratingDown: false,
        permitsPerMinute: DEFAULT_PERMITS_PER_MINUTE,
    };
    const weightStore = createWeightStore(() => faults.permitsPerMinute, Date.now);

    const setFaults = (changes: Partial<PlatformFaults>): void => {
        faults = {
            table: { ...faults.table, ...changes.table },
            objects: { ...faults.objects, ...changes.objects },
            ratingDown: changes.ratingDown ?? faults.ratingDown,
            permitsPerMinute: changes.permitsPerMinute ?? faults.permitsPerMinute,
        };
    };

    const answerWrite = (call: StandInCall, store: StoreFaults, status: number, body: unknown): void => {
        if (store.loseAnswers) {
            call.response.destroy();
            return;
        }
        sendJson(call.response, status, body);
    };

    const serveTable = (call: StandInCall): void => {
        if (call.path === "/table/transact") {
            counters.tableWrites += 1;
            const result = applyTransaction(rows, JSON.parse(call.body) as Transaction);
            answerWrite(call, faults.table, result.applied ? 200 : 409, result);
            return;
        }
        counters.tableReads += 1;
        if (call.path === "/table/row") {
            const row = rows.get(call.query.get("key")!);
            sendJson(call.response, row === undefined ? 404 : 200, row ?? {});
        }
        else if (call.path === "/table/rows") {
            const { keys } = JSON.parse(call.body) as { keys: readonly string[] };
            sendJson(call.response, 200, { rows: keys.flatMap(key => rows.get(key) ?? []) });
        }
        else {
            sendJson(call.response, 200, { rows: scan(rows, call.query) });
        }
    };

    const serveObjects = (call: StandInCall): void => {
        if (call.path === "/objects") {
            counters.objectReads += 1;
            const prefix = call.query.get("prefix") ?? "";
            const after = call.query.get("after") ?? "";
            const names = [...objects.keys()].filter(name => name.startsWith(prefix) && name > after).sort();
            sendJson(call.response, 200, { names: names.slice(0, 1000) });
            return;
        }
        const name = decodeURIComponent(call.path.slice("/objects/".length));
        if (call.method === "GET") {
            counters.objectReads += 1;
            const object = objects.get(name);
            call.response.writeHead(object === undefined ? 404 : 200);
            call.response.end(object);
            return;
        }
        counters.objectWrites += 1;
        const exists = call.headers["if-none-match"] === "*" && objects.has(name);
        if (!exists) {
            objects.set(name, call.body);
        }
        answerWrite(call, faults.objects, exists ? 409 : 201, {});
    };

    const serveStore = async (
        call: StandInCall,
        store: StoreFaults,
        isWrite: boolean,
        allowWrite: (limit: number) => boolean,
        serve: (call: StandInCall) => void,
    ): Promise<void> => {
        if (store.delayMilliseconds > 0) {
            await delay(store.delayMilliseconds);
        }
        if (store.down) {
            sendJson(call.response, 503, { error: "down" });
        }
        else if (isWrite && !allowWrite(store.writesPerSecond)) {
            sendJson(call.response, 429, { error: "too many writes" });
        }
        else {
            serve(call);
        }
    };

    const serve = async (call: StandInCall): Promise<void> => {
        if (call.path.startsWith("/table/")) {
            const isWrite = call.path === "/table/transact";
            await serveStore(call, faults.table, isWrite, allowTableWrite, serveTable);
        }
        else if (call.path.startsWith("/objects")) {
            await serveStore(call, faults.objects, call.method === "PUT", allowObjectWrite, serveObjects);
        }
        else if (call.path === "/faults") {
            setFaults(JSON.parse(call.body) as Partial<PlatformFaults>);
            sendJson(call.response, 200, faults);
        }
        else if (call.path === "/ratings") {
            const { prompt, answer } = JSON.parse(call.body) as { prompt: string; answer: string };
            sendJson(
                call.response,
                faults.ratingDown ? 503 : 200,
                faults.ratingDown ? { error: "down" } : { score: options.rate(prompt, answer) },
            );
        }
        else if (call.path === "/weights/permits") {
            const { id } = JSON.parse(call.body) as { id: string };
            const { status, body, headers } = weightStore.requestPermit(id);
            sendJson(call.response, status, body, headers);
        }
        else if (call.path === "/virtual-machines") {
            sendJson(call.response, 200, { virtualMachines: [] });
        }
        else {
            sendJson(call.response, 404, { error: "no such path" });
        }
    };

    const server = await startStandIn(serve, options.port);
    return {
        ...server,
        rows,
        objects,
        counters: () => ({ ...counters, permits: weightStore.grantedPermits() }),
        setFaults,
    };
}
