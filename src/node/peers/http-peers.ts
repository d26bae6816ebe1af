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
import { BodyError, readBody } from "../client-limits/body-reader.js";
import type { BodyFailure } from "../client-limits/body-reader.js";
import type { ClientLimits } from "../client-limits/client-limits.js";
import { closeAfterBody } from "../client-limits/unread-body.js";
import type { GuardedExchange } from "../client-limits/connection-guard.js";
import { createSegmentPool } from "../client-limits/segment-pool.js";
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
    /** @default neither connections nor the memory of messages are bounded */
    readonly clients?: { readonly limits: ClientLimits; readonly maximumConnections: number };
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

/** Time in which a message must make progress, and in which all of it must arrive, milliseconds. */
const MESSAGE_PROGRESS_MILLISECONDS = 3000;
const MESSAGE_MILLISECONDS = 10_000;

/** Time for the head of a call, and for an answer to be read, milliseconds. */
const CALL_HEAD_MILLISECONDS = 3000;
const ANSWER_MILLISECONDS = 10_000;

const BODY_STATUSES: Readonly<Record<BodyFailure, number>> = {
    "too-large": 413,
    "too-slow": 408,
    shed: 503,
    aborted: 400,
};

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
            connectTimeout: DEFAULT_TIMEOUT_MILLISECONDS,
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

    const pool = options.clients?.limits.pool ?? createSegmentPool(0);

    const respond = (response: ServerResponse, status: number, body: string): void => {
        traffic.sentBytes += body.length;
        response.writeHead(status, { "content-type": "application/json" });
        response.end(body);
    };

    const readText = async (
        message: IncomingMessage,
        exchange: Pick<GuardedExchange, "holdBody" | "onShed" | "socket"> | undefined,
    ): Promise<string> => {
        const reader = readBody(message, {
            maximumBytes: MAXIMUM_MESSAGE_BYTES,
            pool,
            onHeld: bytes => exchange?.holdBody(bytes),
            progressMilliseconds: MESSAGE_PROGRESS_MILLISECONDS,
            remainingMilliseconds: MESSAGE_MILLISECONDS,
        });
        exchange?.onShed(() => {
            if (!reader.cancel("shed", "the memory for messages is exhausted")) {
                exchange.socket.destroy();
            }
        });
        return (await reader.body).toString("utf8");
    };

    const handleMessage = async (
        message: IncomingMessage,
        response: ServerResponse,
        exchange: GuardedExchange | undefined,
    ): Promise<void> => {
        if (!isAuthenticated(message)) {
            closeAfterBody(message, response);
            respond(response, 401, '{"error":"the peer key is missing or wrong"}');
            return;
        }
        let parsed: unknown;
        try {
            const body = await readText(message, exchange);
            traffic.receivedBytes += body.length;
            parsed = JSON.parse(body);
        }
        catch (error) {
            const status = error instanceof BodyError ? BODY_STATUSES[error.failure] : 400;
            closeAfterBody(message, response);
            respond(response, status, JSON.stringify({ error: (error as Error).message }));
            return;
        }
        const result = await rpc.receive(parsed as JSONRPCRequest);
        respond(response, 200, JSON.stringify(result ?? {}));
    };

    const listen = (server: Server): void => {
        const { clients } = options;
        if (clients === undefined) {
            server.on("request", (message: IncomingMessage, response: ServerResponse) => {
                handleMessage(message, response, undefined).catch(() => response.destroy());
            });
            return;
        }
        clients.limits.guard(server, {
            listener: "peers",
            maximumConnections: clients.maximumConnections,
            answerMilliseconds: () => ANSWER_MILLISECONDS,
            headMilliseconds: () => CALL_HEAD_MILLISECONDS,
            handle: exchange => {
                handleMessage(exchange.message, exchange.response, exchange)
                    .catch(() => exchange.response.destroy())
                    .then(exchange.recordAnswerEnd, () => undefined);
            },
        });
    };

    options.lifecycle.add({
        name: "peers",
        start: async () => {
            const server: Server =
                options.tls === undefined
                    ? createServer()
                    : createTlsServer({
                          ...options.tls.current(),
                          requestCert: true,
                          rejectUnauthorized: true,
                      });
            listen(server);
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
