/** Keeps the version on which each session last ran, until the session is idle for too long. */

export interface SessionVersions {
    record(sessionKey: string, version: string, now: number): void;
    /** Version on which a session last ran; `undefined` when the session is unknown or has expired. */
    recent(sessionKey: string, now: number): string | undefined;
    readonly size: number;
}

/** Size limit of the table; the sessions with the oldest last request are removed first. */
const MAXIMUM_SESSIONS = 20_000;

/** @param idleMilliseconds Time without a request after which a session expires. */
export function createSessionVersions(idleMilliseconds: number): SessionVersions {
    const sessions = new Map<string, { readonly version: string; readonly at: number }>();

    const removeExpired = (now: number): void => {
        for (const [key, { at }] of sessions) {
            if (at + idleMilliseconds > now && sessions.size <= MAXIMUM_SESSIONS) {
                return;
            }
            sessions.delete(key);
        }
    };

    return {
        record: (sessionKey, version, now) => {
            sessions.delete(sessionKey);
            sessions.set(sessionKey, { version, at: now });
            removeExpired(now);
        },
        recent: (sessionKey, now) => {
            const session = sessions.get(sessionKey);
            return session !== undefined && session.at + idleMilliseconds > now ? session.version : undefined;
        },
        get size() {
            return sessions.size;
        },
    };
}
