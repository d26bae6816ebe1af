/**
 * In-memory network with message loss, delays and paused nodes, for tests that run several nodes in one
 * process.
 */
import type { JsonValue } from "../../common/json.js";
import { PeerError } from "../peers.js";
import type { PeerHandler, Peers } from "../peers.js";

export interface FakeNetwork {
    /** Whether a message sent now between two addresses is lost. Called once per direction of a call. */
    isLost: (from: string, to: string) => boolean;
    /** Latency of a message in one direction, in milliseconds. */
    delay: () => number;
    /**
     * Milliseconds for which the node at an address is still paused; 0 or less when it is not. When it
     * resumes, the node handles the messages that arrived meanwhile.
     */
    remainingPause: (address: string) => number;
    /** Bytes of JSON bodies sent, by address of the sender. */
    readonly sentBytes: Map<string, number>;
    /** Connects a node at an address. Replaces the node that was connected there before. */
    join(address: string): Peers;
    /** Disconnects the node at an address; calls to it get no answer. */
    leave(address: string): void;
}

const DEFAULT_TIMEOUT_MILLISECONDS = 1000;

const wait = (milliseconds: number): Promise<void> =>
    new Promise(resolve => setTimeout(resolve, milliseconds));

export function createFakeNetwork(): FakeNetwork {
    const nodes = new Map<string, Map<string, PeerHandler>>();
    const sentBytes = new Map<string, number>();

    /** Transmits a message. Resolves with `undefined` when the message is lost. */
    const transmit = async (from: string, to: string, body: string): Promise<string | undefined> => {
        sentBytes.set(from, (sentBytes.get(from) ?? 0) + body.length);
        if (network.isLost(from, to)) {
            return undefined;
        }
        await wait(network.delay());
        for (
            let remaining = network.remainingPause(to);
            remaining > 0;
            remaining = network.remainingPause(to)
        ) {
            await wait(remaining);
        }
        return body;
    };

    const call = async (from: string, to: string, method: string, params: JsonValue): Promise<JsonValue> => {
        const request = await transmit(from, to, JSON.stringify({ jsonrpc: "2.0", id: 1, method, params }));
        const handler = nodes.get(to)?.get(method);
        if (request === undefined || handler === undefined) {
            return new Promise(() => undefined);
        }
        let answer: object;
        try {
            answer = { result: await handler((JSON.parse(request) as { params: JsonValue }).params) };
        }
        catch (error) {
            answer = { error: { code: 1, message: (error as Error).message } };
        }
        const response = await transmit(to, from, JSON.stringify({ jsonrpc: "2.0", id: 1, ...answer }));
        if (response === undefined) {
            return new Promise(() => undefined);
        }
        const parsed = JSON.parse(response) as { result?: JsonValue; error?: { message: string } };
        if (parsed.error !== undefined) {
            throw new PeerError(
                `peer ${to} answered ${method} with an error: ${parsed.error.message}`,
                "ran",
            );
        }
        return parsed.result ?? null;
    };

    const network: FakeNetwork = {
        isLost: () => false,
        delay: () => 1,
        remainingPause: () => 0,
        sentBytes,
        join: address => {
            const handlers = new Map<string, PeerHandler>();
            nodes.set(address, handlers);
            return {
                handle: (method, handler) => {
                    handlers.set(method, handler);
                },
                call: (to, method, params, timeoutMilliseconds = DEFAULT_TIMEOUT_MILLISECONDS) =>
                    new Promise((resolve, reject) => {
                        const timer = setTimeout(
                            () => reject(new PeerError(`peer ${to} did not answer`, "may-have-run")),
                            timeoutMilliseconds,
                        );
                        call(address, to, method, params)
                            .then(resolve, reject)
                            .finally(() => clearTimeout(timer));
                    }),
            };
        },
        leave: address => {
            nodes.delete(address);
        },
    };
    return network;
}
