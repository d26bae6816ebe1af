/**
 * Urgency of a request from the priorities of its workspace and its route. Pure functions.
 *
 * Designed for configurations in which routes have priorities 0 to 2 and some or no workspaces have one. A
 * workspace's priority is compared before the route's. A workspace without a priority has no say: the route's
 * priority takes its place, so that requests with and without it have one order.
 */

/** Compared field by field, lower first. */
export interface Urgency {
    readonly workspace: number;
    readonly route: number;
}

/** Lowest urgency that an engine knows. */
const LAST_ENGINE_PRIORITY = 9;

/** Priorities of routes that engines distinguish within one priority of workspaces. */
const ROUTE_LEVELS = 3;

/**
 * @param workspacePriority `undefined` when the workspace has no priority, or the request no workspace.
 */
export function urgencyOf(workspacePriority: number | undefined, routePriority: number): Urgency {
    return { workspace: workspacePriority ?? routePriority, route: routePriority };
}

/** Negative when the first is more urgent, 0 when both are equally urgent. */
export function compareUrgency(first: Urgency, second: Urgency): number {
    return first.workspace - second.workspace || first.route - second.route;
}

/** Priority for engines, 0 (first) to 9. Keeps the order of urgency, but merges low priorities. */
export function enginePriorityOf({ workspace, route }: Urgency): number {
    const routeLevel = Math.min(ROUTE_LEVELS - 1, Math.max(0, Math.floor(route)));
    const priority = ROUTE_LEVELS * Math.max(0, Math.floor(workspace)) + routeLevel;
    return Math.min(LAST_ENGINE_PRIORITY, priority);
}
