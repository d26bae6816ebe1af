/** Selects the rollouts of a configuration that are in force. */
import type { Rollout } from "../configuration/entities.js";
import type { ConfigurationSnapshot } from "../configuration/snapshot.js";

export interface ActiveRollout {
    readonly name: string;
    readonly rollout: Rollout;
    /** Number of the ticket that last changed the rollout. */
    readonly ticket: number;
}

/** Returns the rollout in force for a model: the one with the newest ticket. */
export function findActiveRollout(snapshot: ConfigurationSnapshot, model: string): ActiveRollout | undefined {
    let newest: ActiveRollout | undefined;
    for (const [name, rollout] of snapshot.rollout) {
        const ticket = snapshot.touchedBy.get(`rollout/${name}`) ?? 0;
        if (rollout.model === model && ticket >= (newest?.ticket ?? 0)) {
            newest = { name, rollout, ticket };
        }
    }
    return newest;
}

export function isVersionActive(snapshot: ConfigurationSnapshot, model: string, version: string): boolean {
    const versions = snapshot.model.get(model)?.versions ?? [];
    return versions.some(({ name, state }) => name === version && state === "active");
}

/** Returns the rollouts in force, at most one per model. */
export function listActiveRollouts(snapshot: ConfigurationSnapshot): readonly ActiveRollout[] {
    return [...snapshot.rollout].flatMap(([name, { model }]) => {
        const active = findActiveRollout(snapshot, model);
        return active?.name === name ? [active] : [];
    });
}
