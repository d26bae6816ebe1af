/** Authentication of operators by bearer keys. Only SHA-256 digests of the keys are known to the node. */
import { createHash, timingSafeEqual } from "node:crypto";
import { createRejection } from "../verdict/verdict.js";

const DIGEST_PATTERN = /^[0-9a-f]{64}$/i;

const BEARER_PATTERN = /^Bearer +([\x21-\x7e]+)$/i;

/** Checks an `Authorization` header. @throws RouterError */
export type Authenticate = (authorization: string | undefined) => void;

/**
 * Creates the check of operator keys.
 *
 * @param digests SHA-256 digests, hexadecimal.
 * @throws Error when a digest is malformed, because no key could match it.
 */
export function createAuthenticate(digests: readonly string[]): Authenticate {
    const malformed = digests.findIndex(digest => !DIGEST_PATTERN.test(digest));
    if (malformed >= 0) {
        throw new Error(`operator key digest ${malformed + 1} is not a SHA-256 digest in hexadecimal`);
    }
    const known = digests.map(digest => Buffer.from(digest, "hex"));
    return authorization => {
        const key = BEARER_PATTERN.exec(authorization ?? "")?.[1];
        if (key === undefined) {
            throw createRejection(401, "key-missing", 'send an operator key as "Authorization: Bearer KEY"');
        }
        const digest = createHash("sha256").update(key).digest();
        let matches = 0;
        // Every digest is compared, so that the time does not tell which one matched.
        for (const candidate of known) {
            matches += timingSafeEqual(candidate, digest) ? 1 : 0;
        }
        if (matches === 0) {
            throw createRejection(401, "key-unknown", "the operator key is not known to this node");
        }
    };
}
