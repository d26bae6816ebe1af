/** Checks of tickets: schema, references between entities, and order of ticket numbers. */
import type { EntityKind, Ticket } from "./entities.js";
import { ticketSchema } from "./entities.js";
import { applyChanges, entityKey } from "./snapshot.js";
import type { ConfigurationSnapshot } from "./snapshot.js";

/** An entity of a ticket that a ticket with a higher number has already changed. */
export interface SupersedingTicket {
    /** `kind/name`. */
    readonly entity: string;
    /** Number of the newer ticket. */
    readonly number: number;
}

/** Validates the form of a ticket; the value is a `Ticket` when no problem is returned. */
export function schemaProblems(ticket: unknown): readonly string[] {
    const result = ticketSchema.safeParse(ticket);
    if (!result.success) {
        return result.error.issues.map(issue => `${issue.path.join(".") || "ticket"}: ${issue.message}`);
    }
    const keys = (ticket as Ticket).changes.map(entityKey);
    return keys
        .filter((key, index) => keys.indexOf(key) !== index)
        .map(key => `${key}: the ticket changes the entity twice`);
}

/** Finds the first entity of the ticket that a ticket with a higher number has changed. */
export function findSuperseding(
    snapshot: ConfigurationSnapshot,
    ticket: Ticket,
): SupersedingTicket | undefined {
    for (const change of ticket.changes) {
        const entity = entityKey(change);
        const number = snapshot.touchedBy.get(entity) ?? 0;
        if (number > ticket.number) {
            return { entity, number };
        }
    }
    return undefined;
}

export function describeSuperseding(ticket: Ticket, { entity, number }: SupersedingTicket): string {
    return `${entity} was changed by ticket ${number}, which is newer than ticket ${ticket.number}`;
}

/** Records a problem of one entity. */
type ReportProblem = (problem: string) => void;

function checkNames(
    report: ReportProblem,
    field: string,
    names: readonly string[],
    tables: readonly ReadonlyMap<string, unknown>[],
): void {
    for (const [index, name] of names.entries()) {
        if (!tables.some(table => table.has(name))) {
            report(`${field} names "${name}", which does not exist`);
        }
        if (names.indexOf(name) !== index) {
            report(`${field} names "${name}" twice`);
        }
    }
}

function checkVersion(
    report: ReportProblem,
    snapshot: ConfigurationSnapshot,
    model: string,
    version: string,
    needsActive = false,
): void {
    const found = snapshot.model.get(model)?.versions.find(({ name }) => name === version);
    if (found === undefined) {
        report(`version "${version}" of model "${model}" does not exist`);
    }
    else if (needsActive && found.state === "withdrawn") {
        report(`version "${version}" of model "${model}" is withdrawn`);
    }
}

const entityChecks: {
    readonly [Kind in EntityKind]: (
        report: ReportProblem,
        snapshot: ConfigurationSnapshot,
        name: string,
    ) => void;
} = {
    workspace: (report, snapshot, name) => {
        const workspace = snapshot.workspace.get(name)!;
        checkNames(report, "models", workspace.models, [snapshot.model, snapshot.cascade]);
        checkNames(report, "services", workspace.services, [snapshot.service]);
        for (const entry of workspace.versions ?? []) {
            const [model = "", version = "", ...rest] = entry.split("/");
            if (version === "" || rest.length > 0) {
                report(`versions has "${entry}"; allowed: MODEL/VERSION`);
                continue;
            }
            checkVersion(report, snapshot, model, version);
        }
    },
    model: (report, snapshot, name) => {
        const { versions, baseline, spill } = snapshot.model.get(name)!;
        const names = versions.map(version => version.name);
        names
            .filter((version, index) => names.indexOf(version) !== index)
            .forEach(version => report(`versions has "${version}" twice`));
        if (!names.includes(baseline)) {
            report(`baseline "${baseline}" is not one of its versions`);
        }
        if (spill.includes(name)) {
            report("spill names the model itself");
        }
        checkNames(report, "spill", spill, [snapshot.model]);
    },
    cascade: (report, snapshot, name) => {
        if (snapshot.model.has(name)) {
            report("a model has the same name");
        }
        checkNames(report, "steps", snapshot.cascade.get(name)!.steps, [snapshot.model]);
    },
    upstream: (report, snapshot, name) => {
        const upstream = snapshot.upstream.get(name)!;
        const dataCentre = snapshot.dataCentre.get(upstream.dataCentre);
        if (dataCentre === undefined) {
            report(`dataCentre "${upstream.dataCentre}" does not exist`);
        }
        else if (dataCentre.region !== upstream.region) {
            report(`dataCentre "${upstream.dataCentre}" is in region "${dataCentre.region}"`);
        }
        if (upstream.kind === "service") {
            checkNames(report, "service", [upstream.service ?? ""], [snapshot.service]);
        }
        else if (upstream.model === undefined || upstream.version === undefined) {
            report("an engine needs a model and a version");
        }
        else {
            checkVersion(report, snapshot, upstream.model, upstream.version);
        }
    },
    service: () => undefined,
    dataCentre: () => undefined,
    rollout: (report, snapshot, name) => {
        const { model, version, steps, state } = snapshot.rollout.get(name)!;
        // A halted rollout may name a version that was withdrawn later.
        checkVersion(report, snapshot, model, version, state === "running");
        if (steps.some((share, index) => share <= (steps[index - 1] ?? 0))) {
            report("steps must increase");
        }
        if (steps.at(-1) !== 1) {
            report("the last step must be 1");
        }
        for (const [other, rollout] of snapshot.rollout) {
            if (other !== name && rollout.model === model && [state, rollout.state].includes("running")) {
                report(`rollout "${other}" is for the same model`);
            }
        }
    },
};

/** Checks the references between the entities of a snapshot, and the entities' own rules. */
export function referenceProblems(snapshot: ConfigurationSnapshot): readonly string[] {
    const problems: string[] = [];
    for (const kind of Object.keys(entityChecks) as EntityKind[]) {
        for (const name of snapshot[kind].keys()) {
            entityChecks[kind](problem => problems.push(`${kind}/${name}: ${problem}`), snapshot, name);
        }
    }
    return problems;
}

/** Lists the schema problems of the ticket or, if it has none, the problems of the changed snapshot. */
export function ticketProblems(snapshot: ConfigurationSnapshot, ticket: Ticket): readonly string[] {
    const problems = schemaProblems(ticket);
    return problems.length > 0 ? problems : referenceProblems(applyChanges(snapshot, ticket));
}
