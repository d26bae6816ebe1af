/** Stand-in of a plain service that takes bookings. Counts how often each booking was executed. */
import { randomUUID } from "node:crypto";
import { setTimeout as delay } from "node:timers/promises";
import { sendJson, startStandIn } from "./http.js";
import type { StandInServer } from "./http.js";

export interface ServiceFaults {
    /** Number of bookings that are executed but whose connection is closed without an answer. */
    readonly loseAnswers: number;
    /** Milliseconds by which each call is delayed. */
    readonly delayMilliseconds: number;
}

export interface Service extends StandInServer {
    /** Number of executions by booking name. */
    readonly runs: ReadonlyMap<string, number>;
    setFaults(faults: Partial<ServiceFaults>): void;
}

export async function startService(port?: number): Promise<Service> {
    const runs = new Map<string, number>();
    const bootId = randomUUID();
    let faults: ServiceFaults = { loseAnswers: 0, delayMilliseconds: 0 };
    const setFaults = (changes: Partial<ServiceFaults>): void => {
        faults = { ...faults, ...changes };
    };
    const server = await startStandIn(async call => {
        if (call.path === "/faults") {
            setFaults(JSON.parse(call.body) as Partial<ServiceFaults>);
            sendJson(call.response, 200, faults);
            return;
        }
        await delay(faults.delayMilliseconds);
        const headers = { "attempt-id": String(call.headers["attempt-id"]), "boot-id": bootId };
        if (call.method === "GET" && call.path.startsWith("/stock/")) {
            sendJson(call.response, 200, { item: call.path.slice("/stock/".length), available: 7 }, headers);
            return;
        }
        if (call.method === "POST" && call.path === "/bookings") {
            const { booking } = JSON.parse(call.body) as { readonly booking: string };
            runs.set(booking, (runs.get(booking) ?? 0) + 1);
            if (faults.loseAnswers > 0) {
                setFaults({ loseAnswers: faults.loseAnswers - 1 });
                call.response.destroy();
                return;
            }
            sendJson(call.response, 201, { booking, confirmation: randomUUID() }, headers);
            return;
        }
        sendJson(call.response, 404, { error: "no such path" }, headers);
    }, port);
    return { ...server, runs, setFaults };
}
