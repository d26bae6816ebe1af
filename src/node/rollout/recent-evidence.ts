/**
 * Derives recent evidence from cumulative evidence, as the difference to an earlier snapshot at this node.
 *
 * In cumulative sums, the earlier healthy answers of a version would hide for a long time that the version
 * became worse later.
 */
import { MINIMUM_SNAPSHOT_ANSWERS, SNAPSHOT_INTERVAL_MILLISECONDS } from "./constants.js";
import { NO_COUNTERS, subtractCounters } from "./counters.js";
import type { EvidenceStratum } from "./evidence.js";

export interface RecentEvidence {
    /** Evidence since the start of the window. */
    readonly strata: readonly EvidenceStratum[];
    /** Evidence before the window. */
    readonly earlier: readonly EvidenceStratum[];
    /** Number of the window, from 1. */
    readonly index: number;
}

interface EvidenceSnapshot {
    readonly at: number;
    readonly strata: readonly EvidenceStratum[];
    readonly byKey: ReadonlyMap<string, EvidenceStratum>;
    readonly versionAnswers: number;
}

export interface RecentWindow {
    /** Returns the recent part of the given cumulative evidence; `undefined` before the second snapshot. */
    update(strata: readonly EvidenceStratum[], now: number): RecentEvidence | undefined;
}

function versionAnswers(strata: readonly EvidenceStratum[]): number {
    return strata.reduce((sum, { version }) => sum + version.answers, 0);
}

function stratumKey({ period, workspace }: EvidenceStratum): string {
    return `${period}|${workspace}`;
}

/** Skips strata that are the same object as in the snapshot: strata are replaced when they change. */
function difference(
    strata: readonly EvidenceStratum[],
    earlier: EvidenceSnapshot,
): readonly EvidenceStratum[] {
    const unchanged = new Set(earlier.strata);
    return strata
        .filter(stratum => !unchanged.has(stratum))
        .map(stratum => {
            const old = earlier.byKey.get(stratumKey(stratum));
            return {
                ...stratum,
                version: subtractCounters(stratum.version, old?.version ?? NO_COUNTERS),
                reference: subtractCounters(stratum.reference, old?.reference ?? NO_COUNTERS),
            };
        });
}

/**
 * The window starts at the older of the two latest snapshots. If it started at the latest one, it would be
 * almost empty just after that snapshot.
 */
export function createRecentWindow(): RecentWindow {
    let older: EvidenceSnapshot | undefined;
    let newer: EvidenceSnapshot | undefined;
    let index = 0;
    return {
        update: (strata, now) => {
            const answers = versionAnswers(strata);
            const isDue =
                newer === undefined ||
                (now - newer.at >= SNAPSHOT_INTERVAL_MILLISECONDS &&
                    answers - newer.versionAnswers >= MINIMUM_SNAPSHOT_ANSWERS);
            if (isDue) {
                index += 1;
                older = newer;
                const byKey = new Map(strata.map(stratum => [stratumKey(stratum), stratum]));
                newer = { at: now, strata, byKey, versionAnswers: answers };
            }
            return older === undefined
                ? undefined
                : { strata: difference(strata, older), earlier: older.strata, index: index - 1 };
        },
    };
}
