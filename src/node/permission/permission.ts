/**
 * Permission checks: which versions, services and upstreams the requests of a workspace may use. These are
 * pure functions of configuration snapshots, evaluated when a request arrives and again before each attempt.
 *
 * While the outcome of a prepared configuration change is unknown, two snapshots govern: with and without the
 * change. A permission has to hold in every governing snapshot.
 */
import type { ConfigurationSnapshot } from "../configuration/snapshot.js";
import type { Upstream } from "../configuration/entities.js";

/** A version of a model. */
export interface VersionReference {
    readonly model: string;
    readonly version: string;
}

/** What the model name in a request resolves to. */
export type Target =
    | { readonly kind: "model"; readonly name: string }
    | { readonly kind: "cascade"; readonly name: string; readonly steps: readonly string[] }
    | { readonly kind: "unknown" }
    | { readonly kind: "forbidden" };

export function formatVersion(reference: VersionReference): string {
    return `${reference.model}/${reference.version}`;
}

/** Resolves the name of a model or cascade and checks that the workspace may use it. */
export function resolveTarget(snapshot: ConfigurationSnapshot, workspace: string, name: string): Target {
    const cascade = snapshot.cascade.get(name);
    if (cascade === undefined && !snapshot.model.has(name)) {
        return { kind: "unknown" };
    }
    if (snapshot.workspace.get(workspace)?.models.includes(name) !== true) {
        return { kind: "forbidden" };
    }
    return cascade === undefined ? { kind: "model", name } : { kind: "cascade", name, steps: cascade.steps };
}

/**
 * Lists the active versions of a model that a workspace may use.
 *
 * @param requestedName Name in the request: the model, a cascade with the model as a step, or a model that
 * may spill to this one.
 */
export function permittedVersions(
    snapshot: ConfigurationSnapshot,
    workspace: string,
    model: string,
    requestedName: string,
): readonly string[] {
    const workspaceEntity = snapshot.workspace.get(workspace);
    const entity = snapshot.model.get(model);
    if (
        workspaceEntity === undefined ||
        entity === undefined ||
        !mayUseModel(snapshot, workspaceEntity.models, model, requestedName)
    ) {
        return [];
    }
    return entity.versions
        .filter(version => version.state === "active")
        .map(version => version.name)
        .filter(version => workspaceEntity.versions?.includes(`${model}/${version}`) ?? true);
}

/** Whether a request for `requestedName` may run on `model`, given the models that its workspace may use. */
function mayUseModel(
    snapshot: ConfigurationSnapshot,
    models: readonly string[],
    model: string,
    requestedName: string,
): boolean {
    if (!models.includes(requestedName)) {
        return false;
    }
    if (requestedName === model) {
        return true;
    }
    if (snapshot.cascade.get(requestedName)?.steps.includes(model) === true) {
        return true;
    }
    // A request may spill only to models that its workspace may also use by name.
    return snapshot.model.get(requestedName)?.spill.includes(model) === true && models.includes(model);
}

/** Lists the versions that every governing snapshot permits. */
export function versionsPermittedByAll(
    snapshots: readonly ConfigurationSnapshot[],
    workspace: string,
    model: string,
    requestedName: string,
): readonly string[] {
    const [first, ...others] = snapshots;
    if (first === undefined) {
        return [];
    }
    return permittedVersions(first, workspace, model, requestedName).filter(version =>
        others.every(snapshot =>
            permittedVersions(snapshot, workspace, model, requestedName).includes(version),
        ),
    );
}

/** Whether every governing snapshot permits a workspace to call a service. */
export function mayCallService(
    snapshots: readonly ConfigurationSnapshot[],
    workspace: string,
    service: string,
): boolean {
    return snapshots.every(
        snapshot =>
            snapshot.service.has(service) &&
            snapshot.workspace.get(workspace)?.services.includes(service) === true,
    );
}

/** Whether an upstream may get new requests: it is active and its data centre is not drained. */
export function acceptsNewWork(snapshots: readonly ConfigurationSnapshot[], name: string): boolean {
    return snapshots.every(snapshot => {
        const upstream = snapshot.upstream.get(name);
        return (
            upstream?.state === "active" && snapshot.dataCentre.get(upstream.dataCentre)?.state !== "drained"
        );
    });
}

/** Whether a service call may run more than once: every governing snapshot declares it repeatable. */
export function isRepeatable(
    snapshots: readonly ConfigurationSnapshot[],
    service: string,
    method: string,
    path: string,
): boolean {
    return snapshots.every(
        snapshot =>
            snapshot.service.get(service)?.repeatable.some(rule => matchesRule(rule, method, path)) === true,
    );
}

/** @param rule Method and path prefix, separated by a space, such as `GET /items`. */
function matchesRule(rule: string, method: string, path: string): boolean {
    const [ruleMethod, prefix] = rule.split(" ") as [string, string];
    const withoutQuery = path.split("?")[0]!;
    return (
        ruleMethod === method &&
        (withoutQuery === prefix || withoutQuery.startsWith(prefix.endsWith("/") ? prefix : `${prefix}/`))
    );
}

/** Index of upstreams by what they serve, so that a placement does not scan all upstreams. */
export interface UpstreamIndex {
    /** Upstreams that serve a version (`MODEL/VERSION`) or a service (`service:NAME`). */
    find(served: string): readonly NamedUpstream[];
}

export interface NamedUpstream {
    readonly name: string;
    readonly upstream: Upstream;
}

/** Index key of an upstream: `MODEL/VERSION` for an engine, `service:NAME` for a plain service. */
export function servedBy(upstream: Upstream): string {
    return upstream.kind === "engine"
        ? `${upstream.model}/${upstream.version}`
        : `service:${upstream.service}`;
}

const indexes = new WeakMap<ConfigurationSnapshot["upstream"], UpstreamIndex>();

/** Returns the index of a snapshot's upstreams, which is built once per state of the upstream table. */
export function upstreamIndex(snapshot: ConfigurationSnapshot): UpstreamIndex {
    const cached = indexes.get(snapshot.upstream);
    if (cached !== undefined) {
        return cached;
    }
    const byServed = new Map<string, NamedUpstream[]>();
    for (const [name, upstream] of snapshot.upstream) {
        const served = servedBy(upstream);
        const list = byServed.get(served) ?? [];
        byServed.set(served, list);
        list.push({ name, upstream });
    }
    const index: UpstreamIndex = { find: served => byServed.get(served) ?? [] };
    indexes.set(snapshot.upstream, index);
    return index;
}
