/** Peer calls over HTTP: JSON-RPC 2.0 messages in POST bodies, authenticated with a shared key. */
import { timingSafeEqual } from "node:crypto";
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer as createTlsServer } from "node:https";
import type { AddressInfo } from "node:net";
import { JSONRPCErrorException, JSONRPCServer, createJSONRPCRequest, isJSONRPCResponse } from "json-rpc-2.0";
import type { JSONRPCID, JSONRPCRequest } from "json-rpc-2.0";
import { Agent } from "undici";
import { callHttp } from "../common/http-call.js";
import type { JsonValue } from "../common/json.js";
import { sha256 } from "../common/hash.js";
import type { Lifecycle } from "../lifecycle/lifecycle.js";
import type { TlsSource } from "../common/tls.js";
import { PeerError } from "./peers.js";
import type { PeerHandler, Peers } from "./peers.js";

/** Header that carries the shared key. */
const KEY_HEADER = "peer-key";

/** Maximum size of a message between nodes. A configuration delta of 500 entities fits. */
const MAXIMUM_MESSAGE_BYTES = 8 * 1024 * 1024;

/** Timeout of a call that sets none. */
const DEFAULT_TIMEOUT_MILLISECONDS = 1000;

/** Maximum number of connections to a peer. Calls are batched, so that few run at the same time. */
const CONNECTIONS_PER_PEER = 4;

/** Error codes of connections that were not established. The peer cannot have received the call. */
const CONNECT_ERROR_CODES: readonly string[] = [
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "UND_ERR_CONNECT_TIMEOUT",
];

export interface HttpPeersOptions {
    /** IP address to listen on. */
    readonly address: string;
    readonly port: number;
    /** Key shared by all nodes. */
    readonly key: string;
    /** Certificate of this node, also used to verify peers. Plain HTTP is used when this is absent. */
    readonly tls?: TlsSource;
    readonly lifecycle: Lifecycle;
}

export interface HttpPeers extends Peers {
    /** Base URL of the server. The port is known once the server has started. */
    address(): string;
    /** Bytes of message bodies since the start, to check the bandwidth budget of control traffic. */
    traffic(): PeerTraffic;
}

export interface PeerTraffic {
    readonly sentBytes: number;
    readonly receivedBytes: number;
    readonly calls: number;
}

async function readBody(message: IncomingMessage): Promise<string> {
    const chunks: Buffer[] = [];
    let size = 0;
    for await (const chunk of message as AsyncIterable<Buffer>) {
        size += chunk.length;
        if (size > MAXIMUM_MESSAGE_BYTES) {
            throw new RangeError("message is too large");
        }
        chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString("utf8");
}

export function createHttpPeers(options: HttpPeersOptions): HttpPeers {
    const rpc = new JSONRPCServer({ errorListener: () => undefined });
    const keyDigest = Buffer.from(sha256(options.key), "hex");
    const scheme = options.tls === undefined ? "http" : "https";
    const traffic = { sentBytes: 0, receivedBytes: 0, calls: 0 };
    let agent = createAgent();
    let boundAddress: AddressInfo | undefined;
    let nextId = 0;

    function createAgent(): Agent {
        return new Agent({
            connections: CONNECTIONS_PER_PEER,
            pipelining: 1,
            connect:
                options.tls === undefined
                    ? {}
                    : { ...options.tls.current(), checkServerIdentity: () => undefined },
        });
    }

    const isAuthenticated = (message: IncomingMessage): boolean => {
        const key = message.headers[KEY_HEADER];
        return typeof key === "string" && timingSafeEqual(Buffer.from(sha256(key), "hex"), keyDigest);
    };

    const respond = (response: ServerResponse, status: number, body: string): void => {
        traffic.sentBytes += body.length;
        response.writeHead(status, { "content-type": "application/json" });
        response.end(body);
    };

    const handleMessage = async (message: IncomingMessage, response: ServerResponse): Promise<void> => {
        if (!isAuthenticated(message)) {
            respond(response, 401, '{"error":"the peer key is missing or wrong"}');
            return;
        }
        let parsed: unknown;
        try {
            const body = await readBody(message);
            traffic.receivedBytes += body.length;
            parsed = JSON.parse(body);
        }
        catch (error) {
            respond(response, 400, JSON.stringify({ error: (error as Error).message }));
            return;
        }
        const result = await rpc.receive(parsed as JSONRPCRequest);
        respond(response, 200, JSON.stringify(result ?? {}));
    };

    const listener = (message: IncomingMessage, response: ServerResponse): void => {
        handleMessage(message, response).catch(() => response.destroy());
    };

    options.lifecycle.add({
        name: "peers",
        start: async () => {
            const server: Server =
                options.tls === undefined
                    ? createServer(listener)
                    : createTlsServer(
                          { ...options.tls.current(), requestCert: true, rejectUnauthorized: true },
                          listener,
                      );
            options.tls?.onChange(() => {
                (server as ReturnType<typeof createTlsServer>).setSecureContext(options.tls!.current());
                const previousAgent = agent;
                agent = createAgent();
                void previousAgent.close();
            });
            await new Promise<void>((resolve, reject) => {
                server.once("error", reject);
                server.listen(options.port, options.address, resolve);
            });
            boundAddress = server.address() as AddressInfo;
            return async () => {
                server.closeAllConnections();
                await new Promise(resolve => server.close(resolve));
                await agent.destroy();
            };
        },
    });

    const post = async (address: string, body: string, timeout: number): Promise<string> => {
        try {
            const { status, text } = await callHttp(address, {
                method: "POST",
                body,
                headers: { "content-type": "application/json", [KEY_HEADER]: options.key },
                dispatcher: agent,
                headMilliseconds: timeout,
            });
            traffic.receivedBytes += text.length;
            if (status === 200) {
                return text;
            }
            throw new PeerError(`peer ${address} answered status ${status}`, "not-run");
        }
        catch (error) {
            if (error instanceof PeerError) {
                throw error;
            }
            const code = (error as NodeJS.ErrnoException).code ?? "";
            throw new PeerError(
                `peer ${address} did not answer: ${(error as Error).message}`,
                CONNECT_ERROR_CODES.includes(code) ? "not-run" : "may-have-run",
                { cause: error },
            );
        }
    };

    return {
        handle: (method: string, handler: PeerHandler) => {
            rpc.addMethod(method, async (params: unknown) => {
                try {
                    return await handler(params as JsonValue);
                }
                catch (error) {
                    throw new JSONRPCErrorException((error as Error).message, 1);
                }
            });
        },
        call: async (address, method, params, timeoutMilliseconds = DEFAULT_TIMEOUT_MILLISECONDS) => {
            const id: JSONRPCID = (nextId += 1);
            const body = JSON.stringify(createJSONRPCRequest(id, method, params));
            traffic.sentBytes += body.length;
            traffic.calls += 1;
            const response: unknown = JSON.parse(await post(address, body, timeoutMilliseconds));
            if (!isJSONRPCResponse(response) || response.id !== id) {
                throw new PeerError(`peer ${address} answered with the id of another call`, "may-have-run");
            }
            if (response.error !== undefined && response.error !== null) {
                throw new PeerError(
                    `peer ${address} answered ${method} with an error: ${response.error.message}`,
                    "ran",
                );
            }
            return (response.result ?? null) as JsonValue;
        },
        address: () => `${scheme}://${options.address}:${boundAddress?.port ?? options.port}`,
        traffic: () => ({ ...traffic }),
    };
}
