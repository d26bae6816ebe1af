/** Authenticates operators by bearer keys. The node stores only the SHA-256 digests of the keys. */
import { createHash, timingSafeEqual } from "node:crypto";
import { createRejection } from "../verdict/verdict.js";

const DIGEST_PATTERN = /^[0-9a-f]{64}$/i;

const BEARER_PATTERN = /^Bearer +([\x21-\x7e]+)$/i;

/** Checks an `Authorization` header. @throws RouterError with status 401 */
export type Authenticator = (authorization: string | undefined) => void;

/**
 * @param digests SHA-256 digests of the accepted keys, in hexadecimal.
 * @throws Error when a digest is malformed, because no key could match it.
 */
export function createAuthenticator(digests: readonly string[]): Authenticator {
    const malformed = digests.findIndex(digest => !DIGEST_PATTERN.test(digest));
    if (malformed >= 0) {
        throw new Error(`operator key digest ${malformed + 1} is not a SHA-256 digest in hexadecimal`);
    }
    const knownDigests = digests.map(digest => Buffer.from(digest, "hex"));
    return authorization => {
        const key = BEARER_PATTERN.exec(authorization ?? "")?.[1];
        if (key === undefined) {
            throw createRejection(401, "key-missing", 'send an operator key as "Authorization: Bearer KEY"');
        }
        const digest = createHash("sha256").update(key).digest();
        let matches = 0;
        // Compares every digest, so that the response time does not reveal which one matched.
        for (const candidate of knownDigests) {
            matches += timingSafeEqual(candidate, digest) ? 1 : 0;
        }
        if (matches === 0) {
            throw createRejection(401, "key-unknown", "the operator key is unknown to this node");
        }
    };
}
