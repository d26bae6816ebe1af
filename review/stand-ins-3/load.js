// Clients of one router, run as a process of their own: each message names paths, which are requested once each on
// kept channels. The answer to it counts the statuses.
import { Agent, request } from "node:http";

const [endpoint, key, channels] = process.argv.slice(2);
const [host, port] = endpoint.split(":");
const agents = Array.from({ length: Number(channels) }, () => new Agent({ keepAlive: true, maxSockets: 1 }));
let sent = 0;

function get(path, agent) {
    sent += 1;
    return new Promise(resolve => {
        const outgoing = request(
            {
                host,
                port,
                path,
                agent,
                headers: {
                    host: "ficu95.example",
                    authorization: `Bearer ${key}`,
                    "geraniumbarrow-attempt-id": `${process.pid.toString(16)}-${sent}`,
                    "geraniumbarrow-deadline-remaining": "4000",
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

process.on("message", async paths => {
    const counts = {};
    const rest = [...paths];
    await Promise.all(
        agents.map(async agent => {
            for (let path = rest.pop(); path !== undefined; path = rest.pop()) {
                const result = await get(path, agent);
                counts[result] = (counts[result] ?? 0) + 1;
            }
        }),
    );
    process.send(counts);
});
process.on("disconnect", () => process.exit());
