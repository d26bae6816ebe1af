// One client that the operators do not control, run as a process of its own: lookups on kept channels, each in a session
// of its own. The length of the session's name is an argument.
import { Agent, request } from "node:http";
import { setInterval } from "node:timers";
import { setTimeout as delay } from "node:timers/promises";

const [endpoint, key, channels, sessionBytes] = process.argv.slice(2);
const [host, port] = endpoint.split(":");
const counts = {};
let sent = 0;

function get(agent) {
    sent += 1;
    const name = `${process.pid.toString(36)}-${sent.toString(36)}`;
    return new Promise(resolve => {
        const outgoing = request(
            {
                host,
                port,
                path: "/stock/item",
                agent,
                headers: {
                    host: "ficu95.example",
                    authorization: `Bearer ${key}`,
                    "geraniumbarrow-attempt-id": name,
                    "geraniumbarrow-deadline-remaining": "4000",
                    session: name.padEnd(Number(sessionBytes), "-"),
                },
            },
            response => {
                response.on("error", () => undefined);
                response.on("close", () => resolve(response.complete ? String(response.statusCode) : "cut"));
                response.resume();
            },
        );
        outgoing.on("error", () => resolve("no answer"));
        outgoing.end();
    });
}

for (let channel = 0; channel < Number(channels); channel += 1) {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    void (async () => {
        for (;;) {
            const result = await get(agent);
            counts[result] = (counts[result] ?? 0) + 1;
            if (result === "no answer") {
                await delay(200);
            }
        }
    })();
}
setInterval(() => process.send(counts), 500);
process.on("disconnect", () => process.exit());
