/** Identifies requests that ask for the same, whatever their ids. */
import { createHash } from "node:crypto";

export interface RequestIdentity {
    readonly method: string;
    readonly host: string;
    /** Path with query. */
    readonly path: string;
    /** Name of the caller's workspace; `undefined` on a route without keys. */
    readonly workspace: string | undefined;
    readonly body: Uint8Array;
}

/** Length of a fingerprint, bytes. */
const FINGERPRINT_BYTES = 16;

/**
 * Returns 128 bits in base64url, the same each time that a caller sends the request again. Its id, its remaining
 * time and the event after which a stream resumes differ then, and the keys of a workspace are interchangeable.
 */
export function fingerprintOf({ method, host, path, workspace, body }: RequestIdentity): string {
    return createHash("sha256")
        .update(JSON.stringify([method, host, path, workspace]))
        .update(body)
        .digest()
        .subarray(0, FINGERPRINT_BYTES)
        .toString("base64url");
}
