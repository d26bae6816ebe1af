/** HTTP server and helpers that the stand-ins share. */
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

export interface StandInCall {
    readonly method: string;
    /** Path without the query string. */
    readonly path: string;
    readonly query: URLSearchParams;
    readonly headers: IncomingMessage["headers"];
    readonly body: string;
    readonly response: ServerResponse;
}

export interface StandInServer {
    /** Base URL. */
    readonly address: string;
    readonly server: Server;
    close(): Promise<void>;
}

export function sendJson(
    response: ServerResponse,
    status: number,
    body: unknown,
    headers: Readonly<Record<string, string>> = {},
): void {
    response.writeHead(status, { "content-type": "application/json", ...headers });
    response.end(JSON.stringify(body));
}

async function readText(message: IncomingMessage): Promise<string> {
    const chunks: Buffer[] = [];
    for await (const chunk of message as AsyncIterable<Buffer>) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString("utf8");
}

/**
 * Starts a server on 127.0.0.1. Closes the connection of a request whose handler fails.
 *
 * @param port Port to listen on; 0 selects a free one.
 */
export async function startStandIn(
    handle: (call: StandInCall) => void | Promise<void>,
    port = 0,
): Promise<StandInServer> {
    const server = createServer((message, response) => {
        readText(message)
            .then(body => {
                const url = new URL(message.url!, "http://stand-in");
                return handle({
                    method: message.method!,
                    path: url.pathname,
                    query: url.searchParams,
                    headers: message.headers,
                    body,
                    response,
                });
            })
            .catch(() => response.destroy());
    });
    server.keepAliveTimeout = 60_000;
    await new Promise<void>(resolve => server.listen(port, "127.0.0.1", resolve));
    return {
        address: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
        server,
        close: () => {
            server.closeAllConnections();
            return new Promise(resolve => server.close(() => resolve()));
        },
    };
}
