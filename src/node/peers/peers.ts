/** Interface for JSON-RPC 2.0 calls between router nodes. */
import type { JsonValue } from "../common/json.js";

/** Handles a call from a peer. An error that it throws is returned to the peer as a JSON-RPC error. */
export type PeerHandler = (params: JsonValue) => JsonValue | Promise<JsonValue>;

/** A failed call to a peer. `verdict` tells whether the peer handled the call or may have handled it. */
export class PeerError extends Error {
    constructor(
        message: string,
        readonly verdict: "not-run" | "may-have-run" | "ran",
        options?: ErrorOptions,
    ) {
        super(message, options);
        this.name = "PeerError";
    }
}

export interface Peers {
    /** Registers the only handler of a method. */
    handle(method: string, handler: PeerHandler): void;
    /**
     * Calls a method of a peer.
     *
     * @param address Base URL of the HTTP server of the peer.
     * @param timeoutMilliseconds Time until the response begins. It is then read while its bytes keep arriving.
     * @throws PeerError
     */
    call(
        address: string,
        method: string,
        params: JsonValue,
        timeoutMilliseconds?: number,
    ): Promise<JsonValue>;
}
