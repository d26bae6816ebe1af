/**
 * Session affinity: the requests of a session stay on one model version. A caller either sends back the
 * sealed token that the router returned, which names the version, or sends only a session id. The version of
 * a session id follows from its hash and the steps of the rollout.
 */
import { createHmac, timingSafeEqual } from "node:crypto";
import { hashToUnit } from "../common/hash.js";

/** Content of a session token. */
export interface SessionTokenContent {
    readonly workspace: string;
    readonly model: string;
    readonly version: string;
    /** Milliseconds since the epoch. */
    readonly issuedAt: number;
}

export interface SessionTokens {
    /** Encodes the content and signs it with HMAC-SHA256. */
    seal(content: SessionTokenContent): string;
    /**
     * Verifies a token and returns its content; `undefined` if the signature is invalid or the token has
     * expired.
     *
     * @param wallTime Milliseconds since the epoch.
     */
    open(token: string, wallTime: number): SessionTokenContent | undefined;
}

/** Milliseconds for which a token is cached and returned again, because each new token costs a hash. */
const TOKEN_REUSE_MILLISECONDS = 1000;

/** Maximum characters of a token that are read. */
const MAXIMUM_TOKEN_LENGTH = 1024;

/**
 * @param key Signing key, the same on every node, so that each node can verify the tokens of the others.
 * @param idleMilliseconds Idle time after which a session counts as ended.
 */
export function createSessionTokens(key: string, idleMilliseconds: number): SessionTokens {
    const sign = (payload: string): string => createHmac("sha256", key).update(payload).digest("base64url");
    const recentTokens = new Map<string, { readonly issuedAt: number; readonly token: string }>();
    return {
        seal: content => {
            const cacheKey = `${content.workspace}\u0000${content.model}\u0000${content.version}`;
            const cached = recentTokens.get(cacheKey);
            const age = cached === undefined ? Infinity : content.issuedAt - cached.issuedAt;
            if (cached !== undefined && age >= 0 && age < TOKEN_REUSE_MILLISECONDS) {
                return cached.token;
            }
            const payload = Buffer.from(JSON.stringify(content)).toString("base64url");
            const token = `${payload}.${sign(payload)}`;
            recentTokens.set(cacheKey, { issuedAt: content.issuedAt, token });
            return token;
        },
        open: (token, wallTime) => {
            const [payload, signature, ...rest] = token.slice(0, MAXIMUM_TOKEN_LENGTH).split(".");
            if (payload === undefined || signature === undefined || rest.length > 0) {
                return undefined;
            }
            const expected = Buffer.from(sign(payload));
            const actual = Buffer.from(signature);
            if (expected.length !== actual.length || !timingSafeEqual(expected, actual)) {
                return undefined;
            }
            const content = JSON.parse(
                Buffer.from(payload, "base64url").toString("utf8"),
            ) as SessionTokenContent;
            return wallTime - content.issuedAt <= idleMilliseconds ? content : undefined;
        },
    };
}

/** A step of a rollout. From `openedAt` on, it includes all sessions whose point is below `share`. */
export interface RolloutStep {
    /** Share of the sessions, 0 to 1. */
    readonly share: number;
    /** Milliseconds since the epoch. */
    readonly openedAt: number;
}

/** A version in a staged rollout, as input of the version choice. */
export interface RampingVersion {
    readonly version: string;
    /**
     * Current share of new sessions, 0 to 1; lower than the share of the last step while the rollout is
     * halted.
     */
    readonly share: number;
    /** Steps that have been opened, oldest first. */
    readonly steps: readonly RolloutStep[];
}

/** Hashes a session to a point in [0, 1), which is the same at every node. */
export function sessionPoint(workspace: string, model: string, sessionId: string): number {
    return hashToUnit(`${workspace}\u0000${model}\u0000${sessionId}`);
}

/** How the version of a session without a token is determined. */
export type SessionDecision =
    /** The rollout steps determine the version. */
    | { readonly kind: "decided"; readonly version: "baseline" | "ramping" }
    /**
     * The session may have begun before a step included it: it stays on the baseline and must be pinned
     * there.
     */
    | { readonly kind: "pin-baseline" }
    /**
     * A step included the session more than the idle time ago: it runs on the new version unless it has a
     * pin.
     */
    | { readonly kind: "look-up-pin" };

/**
 * Determines the version of a session of which only the id is known.
 *
 * While the step that first includes the session is younger than the idle time, the session may have begun on
 * the baseline before that step. Every such session therefore stays on the baseline and is pinned there.
 * Later, a session without a pin must have begun after the step, because all older sessions that are still in
 * use have been pinned.
 *
 * @param point Point of the session in [0, 1), see `sessionPoint`.
 * @param wallTime Milliseconds since the epoch.
 */
export function decideSession(
    point: number,
    steps: readonly RolloutStep[],
    idleMilliseconds: number,
    wallTime: number,
): SessionDecision {
    const openedStep = steps.find(step => point < step.share);
    if (openedStep === undefined) {
        return { kind: "decided", version: "baseline" };
    }
    return wallTime - openedStep.openedAt < idleMilliseconds
        ? { kind: "pin-baseline" }
        : { kind: "look-up-pin" };
}
