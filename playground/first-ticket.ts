/** Configuration of the playground: two workspaces, a small and a large model, a cascade and one service. */
import type { EntityChange, Ticket } from "../src/node/configuration/entities.js";
import { sha256Hex } from "./deployment.js";
import type { Deployment } from "./deployment.js";

export const TAMBORES_KEY = "tambores-key";
export const SPOGULIS_KEY = "spogulis-key";

export interface ModelVersion {
    readonly model: string;
    readonly version: string;
}

/**
 * Creates the ticket that declares all entities of a deployment.
 *
 * @param engineVersions Model version of each engine, in the order of `deployment.engines`.
 */
export function createFirstTicket(
    deployment: Pick<Deployment, "engines" | "services">,
    engineVersions: readonly ModelVersion[],
    dataCentres: readonly string[],
    region: string,
): Ticket {
    const upstreamBudget = {
        warm: { concurrency: 64, memoryTokens: 100_000 },
        cold: { concurrency: 4, memoryTokens: 20_000 },
    };
    const versionsOf = (model: string): readonly string[] => [
        ...new Set(engineVersions.filter(engine => engine.model === model).map(engine => engine.version)),
    ];
    const models = [...new Set(engineVersions.map(engine => engine.model))];
    const workspace = (name: string, key: string, qualityTarget: number): EntityChange => ({
        kind: "workspace",
        name,
        state: {
            keyHashes: [sha256Hex(key)],
            models: [...models, "reports"],
            services: ["dispatch"],
            qualityTarget,
            requestsPerSecond: 10_000,
            concurrency: 5000,
        },
    });
    const changes: readonly EntityChange[] = [
        ...dataCentres.map((name): EntityChange => ({
            kind: "dataCentre",
            name,
            state: { region, state: "active" },
        })),
        ...models.map((name): EntityChange => ({
            kind: "model",
            name,
            state: {
                versions: versionsOf(name).map(version => ({ name: version, state: "active" })),
                baseline: versionsOf(name)[0]!,
                spill: [],
            },
        })),
        { kind: "cascade", name: "reports", state: { steps: [...models], judge: "rating" } },
        { kind: "service", name: "dispatch", state: { repeatable: ["GET /stock"] } },
        ...deployment.engines.map((engine, index): EntityChange => ({
            kind: "upstream",
            name: `engine-${index + 1}`,
            state: {
                kind: "engine",
                address: engine.address,
                dataCentre: dataCentres[index % dataCentres.length]!,
                region,
                model: engineVersions[index]!.model,
                version: engineVersions[index]!.version,
                ...upstreamBudget,
                checksFencing: true,
                costPerThousandTokens: engineVersions[index]!.model === "large" ? 8 : 1,
                state: "active",
            },
        })),
        ...deployment.services.map((service, index): EntityChange => ({
            kind: "upstream",
            name: `service-${index + 1}`,
            state: {
                kind: "service",
                address: service.address,
                dataCentre: dataCentres[index % dataCentres.length]!,
                region,
                service: "dispatch",
                ...upstreamBudget,
                checksFencing: false,
                costPerThousandTokens: 0,
                state: "active",
            },
        })),
        workspace("tambores", TAMBORES_KEY, 0.9),
        workspace("spogulis", SPOGULIS_KEY, 0.8),
    ];
    return { number: 1, changes };
}
