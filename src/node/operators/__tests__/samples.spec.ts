import assert from "node:assert/strict";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, test } from "node:test";
import { parse } from "ini";
import { EMPTY_SNAPSHOT, applyTicket } from "../../configuration/snapshot.js";
import { settingsSchema } from "../../settings/schema.js";
import { SettingsError, resolveConfig } from "../../settings/settings.js";
import type { ResolvedConfig } from "../../settings/settings.js";
import { parseTicket } from "../tickets.js";

const SAMPLES = new URL("../../../../../samples/", import.meta.url);
const directory = mkdtempSync(join(tmpdir(), "geraniumbarrow-"));
after(() => rmSync(directory, { recursive: true }));

function readSample(name: string): string {
    return readFileSync(new URL(name, SAMPLES), "utf8");
}

/** Reads the settings sample and replaces the paths of its key files with files in a temporary directory. */
function readSettingsSample(): string {
    const text = readSample("geraniumbarrowd.ini");
    const keyFiles = text.matchAll(/^\w+ = \/run\/geraniumbarrow\/(.*)$/gm);
    for (const [, file] of keyFiles) {
        writeFileSync(join(directory, file!), "0123456789");
    }
    return text.replaceAll("/run/geraniumbarrow", directory);
}

function resolve(text: string): ResolvedConfig | undefined {
    try {
        return resolveConfig("sample.ini", text);
    }
    catch (error) {
        assert.ok(error instanceof SettingsError);
        return undefined;
    }
}

/** Sorted key names of each section of the settings schema. */
function schemaKeys(): Record<string, readonly string[]> {
    return Object.fromEntries(
        Object.entries(settingsSchema.shape).map(([section, schema]) => {
            const inner = "shape" in schema ? schema : schema.def.innerType;
            return [section, Object.keys(inner.shape).sort()];
        }),
    );
}

// Operators do not find a setting that the sample lacks. A key that the schema lacks prevents the start.
test("the settings sample has exactly the keys of the schema", () => {
    const text = readSettingsSample();
    assert.notEqual(resolve(text), undefined);
    const shown = Object.fromEntries(
        Object.entries(parse(text)).map(([section, keys]) => [section, Object.keys(keys as object).sort()]),
    );
    assert.deepEqual(shown, schemaKeys());
});

// Operators copy the sample and delete lines. If it shows a wrong default, a deleted line changes the node.
test("the settings sample shows the default of each key that has one", () => {
    const lines = readSettingsSample().split("\n");
    const complete = resolve(lines.join("\n"));
    let defaults = 0;
    lines.forEach((line, index) => {
        if (/^\w+ =/.test(line)) {
            const config = resolve(lines.toSpliced(index, 1).join("\n"));
            if (config !== undefined) {
                defaults += 1;
                assert.deepEqual(config, complete, line);
            }
        }
    });
    assert.ok(defaults > 20, `${defaults} keys have defaults`);
});

test("the first ticket of the samples is valid and refers only to entities that exist", () => {
    const parsed = parseTicket(JSON.parse(readSample("first-ticket.json")));
    assert.ok(parsed.kind === "ticket", JSON.stringify(parsed));
    const snapshot = applyTicket(EMPTY_SNAPSHOT, { revision: 1, ticket: parsed.ticket });
    for (const { dataCentre, model, version, service } of snapshot.upstream.values()) {
        assert.ok(snapshot.dataCentre.has(dataCentre));
        assert.ok(service === undefined || snapshot.service.has(service));
        assert.ok(
            model === undefined || snapshot.model.get(model)!.versions.some(({ name }) => name === version),
        );
    }
    for (const { models, services } of snapshot.workspace.values()) {
        assert.ok(models.every(name => snapshot.model.has(name) || snapshot.cascade.has(name)));
        assert.ok(services.every(name => snapshot.service.has(name)));
    }
    for (const { steps } of snapshot.cascade.values()) {
        assert.ok(steps.every(name => snapshot.model.has(name)));
    }
});
