/** Finds routes by host and longest path prefix, and workspaces by API key. */
import type { Route, RoutingConfiguration, Workspace } from "./entities.js";

export interface RouteTable {
    readonly configuration: RoutingConfiguration;
    /**
     * Returns the route with the longest matching prefix among those of the host.
     *
     * @param host Host name in any case.
     * @param path Path without query.
     */
    match(host: string, path: string): Route | undefined;
    workspaceOf(key: string): Workspace | undefined;
}

export function createRouteTable(configuration: RoutingConfiguration): RouteTable {
    const hosts = new Map<string, Map<string, Route>>();
    for (const route of configuration.routes) {
        const prefixes = hosts.get(route.host) ?? new Map<string, Route>();
        prefixes.set(route.prefix, route);
        hosts.set(route.host, prefixes);
    }
    const workspaces = new Map<string, Workspace>();
    for (const workspace of configuration.workspaces ?? []) {
        for (const key of workspace.keys) {
            workspaces.set(key, workspace);
        }
    }
    return {
        configuration,
        match: (host, path) => {
            const prefixes = hosts.get(host.toLowerCase());
            if (prefixes === undefined) {
                return undefined;
            }
            for (let end = path.lastIndexOf("/"); end >= 0; end = path.lastIndexOf("/", end - 1)) {
                const route = prefixes.get(path.slice(0, end + 1));
                if (route !== undefined || end === 0) {
                    return route;
                }
            }
            return undefined;
        },
        workspaceOf: key => workspaces.get(key),
    };
}
