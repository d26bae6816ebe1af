/** Remembers for a short time on which version each session ran last. */

export interface SessionVersions {
    record(sessionKey: string, version: string, now: number): void;
    /** Version of a session whose last request is recent. */
    recent(sessionKey: string, now: number): string | undefined;
    readonly size: number;
}

/** Sessions that are remembered; the oldest go first. */
const MAXIMUM_SESSIONS = 20_000;

/** @param idleMilliseconds Time after which a session counts as ended. */
export function createSessionVersions(idleMilliseconds: number): SessionVersions {
    const sessions = new Map<string, { readonly version: string; readonly at: number }>();

    const dropOld = (now: number): void => {
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
            dropOld(now);
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
