// One client that the operators do not control, run as a process of its own: prompts on kept channels, each with parts
// of its own. The number of parts before the last one, and the length of the id of the last one, are arguments.
import { Agent, request } from "node:http";
import { setInterval } from "node:timers";
import { setTimeout as delay } from "node:timers/promises";

const [endpoint, key, channels, parts, lastBytes] = process.argv.slice(2);
const [host, port] = endpoint.split(":");
const counts = {};
let sent = 0;

/** Parts of a prompt: ids of 16 characters, and that of the last part. */
function promptOf(number) {
    const shared = Array.from({ length: Number(parts) }, (_, index) =>
        `${number}${index.toString(16)}`.padEnd(16, "0"),
    );
    return [...shared.map(id => id.slice(-16)), number.padEnd(Number(lastBytes), "0")]
        .map(id => `${id}:10`)
        .join(",");
}

function get(agent) {
    sent += 1;
    const number = `${process.pid.toString(16)}${sent.toString(16).padStart(8, "0")}`;
    return new Promise(resolve => {
        const outgoing = request(
            {
                host,
                port,
                method: "POST",
                path: "/reports/one",
                agent,
                headers: {
                    host: "ficu95.example",
                    authorization: `Bearer ${key}`,
                    "geraniumbarrow-attempt-id": number,
                    "geraniumbarrow-deadline-remaining": "12000",
                    "geraniumbarrow-model": "daka510000",
                    "geraniumbarrow-token-usage": "20,5",
                    "geraniumbarrow-prompt-prefix": promptOf(number),
                    "content-length": "0",
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
