/** Guards against invalid settings that are accepted, and errors that do not name the faulty line. */
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { resolveRouterConfig, RouterSettingsError } from "../settings.js";

const TEMPLATE = new URL("../../../../../deploy/settings.ini", import.meta.url);

const VALID = [
    "[node]",
    "id = n1",
    "dataCentre = patio",
    "[callers]",
    "listen = 10.0.0.1:80",
    "[readiness]",
    "listen = 10.0.0.1:81",
    "[peers]",
    "listen = 10.0.0.1:82",
    "seeds = 10.0.0.2:82, 10.0.0.3:82",
    "[loads]",
    "listen = 10.0.0.1:83",
    "[metrics]",
    "address = 10.0.0.1",
    "port = 84",
    "[store]",
    "endpoint = 10.0.0.9:90",
].join("\n");

function messageOf(text: string): string {
    try {
        resolveRouterConfig("node.ini", text);
    }
    catch (error) {
        assert.ok(error instanceof RouterSettingsError);
        return error.message;
    }
    return assert.fail("the settings were accepted");
}

test("a missing optional key gets its default", () => {
    const config = resolveRouterConfig("node.ini", VALID);
    assert.deepEqual(config.peers.seeds, ["10.0.0.2:82", "10.0.0.3:82"]);
    assert.equal(config.stop.graceMilliseconds, 8000);
});

test("a key with an empty value gets its default and is named", () => {
    const config = resolveRouterConfig(
        "node.ini",
        `${VALID}\napplyMilliseconds =\nlapseGraceMilliseconds = ""\n[retries]\nratio = ; none\n[handover]\nlisten =`,
    );
    assert.equal(config.store.applyMilliseconds, 2000);
    assert.equal(config.store.lapseGraceMilliseconds, 1800);
    assert.equal(config.retries.ratio, 0.9);
    assert.equal(config.handover, undefined);
    assert.deepEqual(config.notSet, [
        "[store] applyMilliseconds",
        "[store] lapseGraceMilliseconds",
        "[retries] ratio",
        "[handover] listen",
    ]);
    assert.deepEqual(config.sectionsOff, ["handover"]);
});

test("an empty value of a key that a node needs is refused", () => {
    for (const [line, key] of [
        [2, "id = n1"],
        [5, "listen = 10.0.0.1:80"],
        [15, "port = 84"],
        [17, "endpoint = 10.0.0.9:90"],
    ] as const) {
        const name = key.split(" ")[0]!;
        const text = VALID.replace(key, `${name} =`);
        assert.match(messageOf(text), new RegExp(`line ${line}: section .* key "${name}": must be set`));
    }
});

test("a part that is off is checked for unknown keys and wrong values", () => {
    const off = `${VALID}\n[duties]\nendpoint =\n`;
    assert.equal(resolveRouterConfig("node.ini", `${off}windowSeconds = 5`).duties, undefined);
    assert.match(messageOf(`${off}windowSeconds = soon`), /line 20: section \[duties\] key "windowSeconds"/);
    assert.match(messageOf(`${off}endpiont =`), /line 20: section \[duties\] key "endpiont" is unknown/);
});

test("duties that are asked for without an endpoint are refused", () => {
    for (const key of ["names = usage_reporting", "usage = true", "scaling = true"]) {
        assert.match(
            messageOf(`${VALID}\n[duties]\nendpoint =\n${key}`),
            /line 19: section \[duties\] key "endpoint": must be set/,
        );
    }
});

// Guards against a grace period of 0, which cuts the requests of a node at a planned stop.
test("the template without a grace period leaves its default", () => {
    const graceOf = (rendered: string): number => {
        const text = fillTemplate(false).replace(/^(grace\w+ = ).*$/m, rendered);
        return resolveRouterConfig("settings.ini", text).stop.graceMilliseconds;
    };
    const template = readFileSync(TEMPLATE, "utf8");
    const line = /^grace\w+ = .*$/m.exec(template)![0];
    const render = (value: string): string => line.replace("{{bounds.grace-period-s}}", value);
    assert.equal(graceOf(render("")), 8000);
    assert.equal(graceOf(render("9")), 9000);
    assert.equal(graceOf(render("8.5")), 8500);
    assert.equal(graceOf(render("0")), 0);
});

test("a grace period that is set twice is refused", () => {
    assert.match(
        messageOf(`${VALID}\n[stop]\ngraceMilliseconds = 5000\ngraceSeconds = 8`),
        /line 20: section \[stop\] key "graceSeconds": must not be set beside/,
    );
});

test("the error for an unknown key names its line", () => {
    assert.match(
        messageOf(VALID.replace("port = 84", "port = 84\nprot = 85")),
        /line 16: section \[metrics\] key "prot"/,
    );
});

test("the error for an unknown section names its line", () => {
    assert.match(messageOf(`${VALID}\n[extra]\na = 1`), /line 18: section \[extra\] is unknown/);
});

test("the error for an invalid value names its line", () => {
    assert.match(
        messageOf(VALID.replace("10.0.0.9:90", "store")),
        /line 17: section \[store\] key "endpoint"/,
    );
    assert.match(
        messageOf(VALID.replace("port = 84", "port = 99999")),
        /line 15: section \[metrics\] key "port": .*65535/,
    );
});

test("the error for a missing section names it", () => {
    assert.match(
        messageOf(VALID.replace("[store]\nendpoint = 10.0.0.9:90", "")),
        /section \[store\] is missing/,
    );
});

/** Fills the template in as the platform does, with or without the sections that it renders only for some. */
function fillTemplate(hasDuties: boolean): string {
    return readFileSync(TEMPLATE, "utf8")
        .replaceAll(/\{\{#([^}]+)\}\}\n([^]*?)\{\{\/\1\}\}\n/g, hasDuties ? "$2" : "")
        .replaceAll(/\{\{(listen-addresses\.[^}]+|platform\.[^}]+|cloud-api\.address)\}\}/g, "10.0.0.1:80")
        .replaceAll(/\{\{ip\}\}:\{\{internal-port-range\.\d\}\}/g, "10.0.0.1:80")
        .replaceAll(/\{\{ip\}\}/g, "10.0.0.1")
        .replaceAll("{{cloud-api.duties}}", "usage_reporting,autoscaling")
        .replaceAll("{{bounds.fencing-enforced}}", "false")
        .replaceAll(/\{\{[^}]+\}\}/g, "0.5");
}

test("the deployment template has no unknown keys", () => {
    const { shifts, duties } = resolveRouterConfig("settings.ini", fillTemplate(true));
    assert.equal(shifts.exposureShare, 0.5);
    assert.deepEqual(duties?.names, ["usage_reporting", "autoscaling"]);
    assert.equal(duties.fencingEnforced, false);
    assert.equal(duties.separationMilliseconds, 0.5);
});

// Calls of a duty that the platform does not offer would fail, and cost calls to the store.
test("a deployment without the platform's field does no duties", () => {
    assert.equal(resolveRouterConfig("settings.ini", fillTemplate(false)).duties, undefined);
});
