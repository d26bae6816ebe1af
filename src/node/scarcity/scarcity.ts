/** Orders requests by urgency where capacity is scarce. */
import type { Route, Service, Workspace } from "../routes/entities.js";
import { enginePriorityOf, urgencyOf } from "./urgency.js";

export interface ScarceRequest {
    readonly route: Route;
    readonly service: Service;
    readonly workspace: Workspace | undefined;
}

export interface Scarcity {
    /** Priority that engines are told; `undefined` for services without models. */
    enginePriorityOf(request: ScarceRequest): number | undefined;
}

export function createScarcity(): Scarcity {
    return {
        enginePriorityOf: ({ route, service, workspace }) =>
            service.engineTokens === undefined
                ? undefined
                : enginePriorityOf(urgencyOf(workspace?.priority, route.priority)),
    };
}
