/**
 * Finds the prompt parts that explain crashes of upstreams. Pure function, without I/O.
 *
 * A crash breaks all requests of the upstream, so the requests around it share the blame at first. A part is
 * blamed when it was waiting for an answer in several crashes; the crashes that it explains then count against
 * no other part.
 */

/** Crash of an upstream process. */
export interface Crash {
    /** Monotonic time, milliseconds. */
    readonly at: number;
    /**
     * Parts of the prompts that waited for the beginning of their answer at the upstream, with their position
     * in the prompt.
     */
    readonly suspects: ReadonlyMap<string, number>;
}

export interface Blame {
    /** Crashes that the part explains. */
    readonly crashes: number;
    readonly lastCrashAt: number;
}

/** Crashes from which a request with the part is not repeated. */
export const CRASHES_TO_SUSPECT = 2;

/** Crashes from which no request with the part is sent. */
export const CRASHES_TO_QUARANTINE = 3;

/**
 * Crashes that are closer together count once, milliseconds. Upstreams that end at the same moment have a
 * cause outside the requests, such as a data centre without power.
 */
const SIMULTANEOUS_MILLISECONDS = 20;

interface Tally {
    readonly part: string;
    crashes: number;
    lastCrashAt: number;
    position: number;
}

function countCrashes(crashes: readonly Crash[]): readonly Tally[] {
    const tallies = new Map<string, Tally>();
    for (const { at, suspects } of crashes) {
        for (const [part, position] of suspects) {
            const tally = tallies.get(part) ?? { part, crashes: 0, lastCrashAt: -Infinity, position };
            if (at - tally.lastCrashAt >= SIMULTANEOUS_MILLISECONDS) {
                tally.crashes += 1;
                tally.lastCrashAt = at;
            }
            tally.position = Math.max(tally.position, position);
            tallies.set(part, tally);
        }
    }
    return [...tallies.values()];
}

/** Whether a tally explains the crashes better. Of equal ones, the part that fewer requests share does. */
function isBetter(tally: Tally, best: Tally): boolean {
    if (tally.crashes !== best.crashes) {
        return tally.crashes > best.crashes;
    }
    return tally.position === best.position ? tally.part < best.part : tally.position > best.position;
}

/** Returns the parts with at least `CRASHES_TO_SUSPECT` crashes that no other part explains better. */
export function blameParts(crashes: readonly Crash[]): ReadonlyMap<string, Blame> {
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
        blamed.set(best.part, { crashes: best.crashes, lastCrashAt: best.lastCrashAt });
        unexplained = unexplained.filter(({ suspects }) => !suspects.has(best.part));
    }
}
