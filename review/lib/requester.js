/** Requester stand-in: sends requests with their own attempt ids and notes how they end. */
import { Buffer } from "node:buffer";
import { randomBytes } from "node:crypto";
import { request } from "node:http";

/**
 * Sends a request and resolves when its channel has nothing more for it.
 *
 * @param options `onSent` is called when the last byte was handed to the channel, `onBegin` with the response.
 */
export function send(endpoint, options) {
    const [host, port] = endpoint.split(":");
    const id = options.id ?? randomBytes(8).toString("hex");
    const record = { id, node: endpoint, path: options.path, sentAt: Date.now(), events: 0 };
    return new Promise(resolve => {
        let settled = false;
        const finish = outcome => {
            if (!settled) {
                settled = true;
                resolve({ ...record, ...outcome, endedAt: Date.now() });
            }
        };
        const outgoing = request({
            host,
            port,
            method: options.method ?? "GET",
            path: options.path,
            agent: options.agent ?? false,
            headers: {
                host: "shop.example",
                authorization: "Bearer key-1",
                "geraniumbarrow-attempt-id": id,
                "geraniumbarrow-deadline-remaining": String(options.remaining ?? 4000),
                ...options.headers,
            },
        });
        outgoing.on("error", error => finish({ status: 0, complete: false, error: error.code }));
        outgoing.on("response", response => {
            const chunks = [];
            options.onBegin?.(response);
            response.on("data", chunk => {
                chunks.push(chunk);
                options.onData?.(chunk, response);
            });
            response.on("error", () => undefined);
            response.on("close", () =>
                finish({
                    status: response.statusCode,
                    headers: response.headers,
                    complete: response.complete,
                    body: Buffer.concat(chunks),
                }),
            );
        });
        outgoing.end(options.body);
    });
}
