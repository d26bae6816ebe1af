/** Age of what a node knows of the requests of the other nodes. */
import type { LoadBoard } from "../upstream-table/load-board.js";

/**
 * Median age of the last reports of the other nodes, milliseconds; `undefined` when none was heard. A node
 * without load sends no reports, so some of the ages may be long.
 */
export function medianReportAge(
    nodes: readonly string[],
    loads: Pick<LoadBoard, "heardAt">,
    now: number,
): number | undefined {
    const ages = nodes
        .flatMap(node => loads.heardAt(node) ?? [])
        .map(heardAt => now - heardAt)
        .sort((first, second) => first - second);
    const median = ages[Math.floor(ages.length / 2)];
    return median === undefined ? undefined : Math.round(median);
}
