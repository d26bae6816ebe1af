/** In-memory peers for tests and benchmarks. Messages are serialized as JSON, whose bytes are counted. */
import type { JsonValue } from "../../common/json.js";
import { PeerError } from "../../peers/peers.js";
import type { PeerHandler, Peers } from "../../peers/peers.js";

export interface FakeNetworkOptions {
    /** One-way delay of a message, milliseconds; `undefined` if the message is lost. @default 0 */
    readonly delay?: (from: string, to: string) => number | undefined;
    /** Runs `run` when a message arrives at a node, or later if the node is paused. */
    readonly arrive?: (address: string, run: () => void) => void;
    /** @default setTimeout */
    readonly setTimer?: (run: () => void, milliseconds: number) => void;
}

export interface FakeNetwork {
    /** Creates the peers of a node; replaces those of a previous node at the same address. */
    connect(address: string): Peers;
    disconnect(address: string): void;
    /** Messages and body bytes of all nodes, requests and replies. */
    readonly traffic: { messages: number; bytes: number };
}

const DEFAULT_TIMEOUT_MILLISECONDS = 1000;

export function createFakeNetwork(options: FakeNetworkOptions = {}): FakeNetwork {
    const delay = options.delay ?? (() => 0);
    const arrive = options.arrive ?? ((_address, run) => run());
    const setTimer = options.setTimer ?? ((run, milliseconds) => void setTimeout(run, milliseconds));
    const nodes = new Map<string, Map<string, PeerHandler>>();
    const traffic = { messages: 0, bytes: 0 };

    const transmit = (from: string, to: string, text: string, receive: () => void): void => {
        traffic.messages += 1;
        traffic.bytes += text.length;
        const milliseconds = delay(from, to);
        if (milliseconds !== undefined) {
            setTimer(() => arrive(to, receive), milliseconds);
        }
    };

    const serve = async (address: string, method: string, params: string): Promise<string> => {
        const handler = nodes.get(address)?.get(method);
        if (handler === undefined) {
            throw new PeerError(`peer ${address} does not handle ${method}`, "not-run");
        }
        const result = await handler(JSON.parse(params) as JsonValue);
        return JSON.stringify({ jsonrpc: "2.0", id: 1, result });
    };

    return {
        traffic,
        disconnect: address => nodes.delete(address),
        connect: from => {
            const handlers = new Map<string, PeerHandler>();
            nodes.set(from, handlers);
            return {
                handle: (method, handler) => handlers.set(method, handler),
                call: (to, method, params, timeoutMilliseconds = DEFAULT_TIMEOUT_MILLISECONDS) =>
                    new Promise((resolve, reject) => {
                        const timedOut = new PeerError(`peer ${to} did not answer`, "may-have-run");
                        setTimer(() => arrive(from, () => reject(timedOut)), timeoutMilliseconds);
                        const text = JSON.stringify({ jsonrpc: "2.0", id: 1, method, params });
                        transmit(from, to, text, () => {
                            serve(to, method, JSON.stringify(params)).then(
                                reply =>
                                    transmit(to, from, reply, () =>
                                        resolve((JSON.parse(reply) as { result: JsonValue }).result),
                                    ),
                                (error: unknown) => transmit(to, from, "error", () => reject(error as Error)),
                            );
                        });
                    }),
            };
        },
    };
}
