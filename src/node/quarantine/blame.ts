/**
 * Finds the suspects that explain crashes of upstreams. Pure function, without I/O.
 *
 * A crash breaks all requests of the upstream, so the requests around it share the blame at first. A suspect is
 * blamed when it was waiting for an answer in several crashes; the crashes that it explains then count against
 * no other suspect.
 */

/** Crash of an upstream process. */
export interface Crash {
    /** Monotonic time, milliseconds. */
    readonly at: number;
    /** Ids of what waited for an answer at the upstream, with their position. */
    readonly suspects: ReadonlyMap<string, number>;
}

export interface Blame {
    /** Crashes that the suspect explains. */
    readonly crashes: number;
    readonly firstCrashAt: number;
    readonly lastCrashAt: number;
}

/** Crashes from which a request with the suspect is not repeated. */
export const CRASHES_TO_SUSPECT = 2;

/** Crashes from which no request with the suspect is sent. */
export const CRASHES_TO_QUARANTINE = 3;

/**
 * Crashes that are closer together count once, milliseconds. Upstreams that end at the same moment have a
 * cause outside the requests, such as a data centre without power.
 */
const SIMULTANEOUS_MILLISECONDS = 20;

interface Tally {
    readonly id: string;
    crashes: number;
    readonly firstCrashAt: number;
    lastCrashAt: number;
    position: number;
}

function countCrashes(crashes: readonly Crash[]): readonly Tally[] {
    const tallies = new Map<string, Tally>();
    for (const { at, suspects } of crashes) {
        for (const [id, position] of suspects) {
            const tally = tallies.get(id) ?? {
                id,
                crashes: 0,
                firstCrashAt: at,
                lastCrashAt: -Infinity,
                position,
            };
            if (at - tally.lastCrashAt >= SIMULTANEOUS_MILLISECONDS) {
                tally.crashes += 1;
                tally.lastCrashAt = at;
            }
            tally.position = Math.max(tally.position, position);
            tallies.set(id, tally);
        }
    }
    return [...tallies.values()];
}

/** Whether a tally explains the crashes better. Of equal ones, the suspect that fewer requests share does. */
function isBetter(tally: Tally, best: Tally): boolean {
    if (tally.crashes !== best.crashes) {
        return tally.crashes > best.crashes;
    }
    return tally.position === best.position ? tally.id < best.id : tally.position > best.position;
}

/** Returns the suspects with at least `CRASHES_TO_SUSPECT` crashes whose crashes no other explains better. */
export function blameSuspects(crashes: readonly Crash[]): ReadonlyMap<string, Blame> {
    const blamed = new Map<string, Blame>();
    let unexplained = [...crashes].sort((first, second) => first.at - second.at);
    for (;;) {
        const best = countCrashes(unexplained).reduce<Tally | undefined>(
            (current, tally) => (current === undefined || isBetter(tally, current) ? tally : current),
            undefined,
        );
        if (best === undefined || best.crashes < CRASHES_TO_SUSPECT) {
            return blamed;
        }
        const { id, crashes: explained, firstCrashAt, lastCrashAt } = best;
        blamed.set(id, { crashes: explained, firstCrashAt, lastCrashAt });
        unexplained = unexplained.filter(({ suspects }) => !suspects.has(best.id));
    }
}
