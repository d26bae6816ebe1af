// Stand-in for an upstream, run as a process of its own: a plain service, or an engine that streams events.
// Each message to the parent process is one thing that the upstream saw or did.
import { Buffer } from "node:buffer";
import { createServer } from "node:http";
import { setTimeout } from "node:timers";
import { setTimeout as delay } from "node:timers/promises";

const { id, address, behaviour: initial } = JSON.parse(process.argv[2]);
let behaviour = initial;
process.on("message", message => {
    behaviour = { ...behaviour, ...message };
});
process.on("disconnect", () => process.exit());

const report = event => {
    if (event.kind === "listening" || behaviour.isQuiet !== true) {
        process.send?.({ id, at: Date.now(), ...event });
    }
};

/** Text of a plain answer; each line differs, so that a missing part shows. */
function createText(attempt, lines) {
    return Array.from({ length: lines }, (_, index) => `${attempt} line ${index + 1} of ${lines}\n`).join("");
}

async function serve(request, response, body) {
    const attempt = request.headers["geraniumbarrow-attempt-id"] ?? "";
    const { method, url } = request;
    response.setHeader("geraniumbarrow-attempt-id", attempt);
    response.setHeader("geraniumbarrow-instance-id", id);
    if (url === "/health") {
        response.writeHead(behaviour.leaving ? 503 : 200).end();
        return;
    }
    report({ kind: "received", attempt, method, url, bytes: body.length, headers: request.headers });
    if (request.headers["geraniumbarrow-expected-instance"] !== id) {
        response.writeHead(421, { "geraniumbarrow-not-executed": "1" }).end();
        return;
    }
    for (const [name, value] of Object.entries(behaviour.headers ?? {})) {
        response.setHeader(name, value);
    }
    if (behaviour.leaving) {
        response.setHeader("server-leaving", "1");
    }
    if (behaviour.rejects) {
        report({ kind: "rejected", attempt });
        response.writeHead(503, { "geraniumbarrow-not-executed": "1" }).end();
        return;
    }
    report({ kind: "began", attempt });
    response.once("close", () => report({ kind: "ended", attempt, whole: response.writableFinished }));
    response.setHeader("geraniumbarrow-response-signature", `proof.${id}.${attempt}`);
    if (behaviour.unframed) {
        // The answer has neither a length nor chunks and ends with its connection.
        response.useChunkedEncodingByDefault = false;
        response.shouldKeepAlive = false;
    }
    if (url.startsWith("/reports/")) {
        const first = Number(request.headers["last-event-id"] ?? 0) + 1;
        response.writeHead(200, { "content-type": "text/event-stream" });
        for (let index = first; index <= behaviour.events && !response.destroyed; index += 1) {
            response.write(`id: ${index}\ndata: event ${index} of ${behaviour.events} for ${attempt}\n\n`);
            await delay(behaviour.gapMilliseconds);
        }
        response.end();
        return;
    }
    const text = createText(attempt, behaviour.lines ?? 8);
    if (behaviour.gapMilliseconds !== undefined && behaviour.unframed) {
        response.writeHead(200, { "content-type": "text/plain" });
        for (const line of text.split(/(?<=\n)/)) {
            if (response.destroyed) {
                return;
            }
            response.write(line);
            await delay(behaviour.gapMilliseconds);
        }
        response.end();
        return;
    }
    await delay(behaviour.workMilliseconds ?? 20);
    response.writeHead(behaviour.status ?? 200, {
        "content-type": "text/plain",
        "content-length": Buffer.byteLength(text),
    });
    response.end(text);
}

/** Answers before the body has arrived, keeps the channel and reads on later. */
function answerEarly(request, response) {
    const attempt = request.headers["geraniumbarrow-attempt-id"] ?? "";
    const text = createText(attempt, 1);
    report({ kind: "received", attempt, method: request.method, url: request.url, headers: request.headers });
    report({ kind: "began", attempt });
    let bytes = 0;
    request.on("data", chunk => (bytes += chunk.length));
    request.on("end", () => report({ kind: "read", attempt, bytes }));
    // Without a read, Node.js would discard the body when the answer has ended.
    request.read(0);
    request.pause();
    setTimeout(() => request.resume(), behaviour.readsOnAfterMilliseconds);
    response.writeHead(200, {
        "geraniumbarrow-attempt-id": attempt,
        "geraniumbarrow-response-signature": `proof.${id}.${attempt}`,
        "content-type": "text/plain",
        "content-length": Buffer.byteLength(text),
    });
    response.end(text);
    response.once("close", () => report({ kind: "ended", attempt, whole: response.writableFinished }));
}

const server = createServer({ keepAliveTimeout: 15_000 }, (request, response) => {
    request.on("error", () => undefined);
    response.on("error", () => undefined);
    if (behaviour.readsOnAfterMilliseconds !== undefined) {
        answerEarly(request, response);
        return;
    }
    const chunks = [];
    request.on("data", chunk => chunks.push(chunk));
    request.on("end", () => void serve(request, response, Buffer.concat(chunks)));
});
server.listen(0, address, () => report({ kind: "listening", port: server.address().port }));
