/** Authenticates workspaces by API key. The configuration stores only digests of the keys. */
import { hash, timingSafeEqual } from "node:crypto";
import type { ConfigurationSnapshot } from "../configuration/snapshot.js";

const BEARER_PREFIX = "Bearer ";

/** Maximum length of the `Authorization` header, in characters. Longer values are not hashed. */
const MAXIMUM_AUTHORIZATION_LENGTH = 512;

interface KeyDigest {
    readonly workspace: string;
    readonly digest: Buffer;
}

const digestCache = new WeakMap<ConfigurationSnapshot["workspace"], readonly KeyDigest[]>();

/** Decodes the digests of all keys. The result is cached for each version of the workspace table. */
function keyDigests(snapshot: ConfigurationSnapshot): readonly KeyDigest[] {
    const cached = digestCache.get(snapshot.workspace);
    if (cached !== undefined) {
        return cached;
    }
    const digests = [...snapshot.workspace].flatMap(([workspace, entity]) =>
        entity.keyHashes.map(keyHash => ({ workspace, digest: Buffer.from(keyHash, "hex") })),
    );
    digestCache.set(snapshot.workspace, digests);
    return digests;
}

/**
 * Returns the workspace that the `Authorization` header identifies, or undefined when no key matches or the
 * snapshots disagree about the workspace of the key.
 *
 * Each digest is compared in constant time and the loop does not stop at a match, so the response time does
 * not reveal which key matched.
 */
export function authenticate(
    snapshots: readonly ConfigurationSnapshot[],
    authorization: string | undefined,
): string | undefined {
    if (
        authorization?.startsWith(BEARER_PREFIX) !== true ||
        authorization.length > MAXIMUM_AUTHORIZATION_LENGTH
    ) {
        return undefined;
    }
    const digest = hash("sha256", authorization.slice(BEARER_PREFIX.length), "buffer");
    const matches = snapshots.map(snapshot => {
        let found: string | undefined;
        for (const candidate of keyDigests(snapshot)) {
            if (timingSafeEqual(candidate.digest, digest)) {
                found = candidate.workspace;
            }
        }
        return found;
    });
    return matches.every(match => match === matches[0]) ? matches[0] : undefined;
}
