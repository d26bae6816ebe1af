import assert from "node:assert/strict";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { SettingsError, resolveConfig } from "../settings.js";

const directory = mkdtempSync(join(tmpdir(), "settings-"));
const keyFile = join(directory, "key");
writeFileSync(keyFile, "secret\n");

const complete = `
[node]
id = node-1
dataCentre = patio
region = rosario
[callers]
port = 8080
[operators]
port = 8081
keyHashesFile = ${keyFile}
[peers]
port = 8082
sharedKeyFile = ${keyFile}
seeds = http://127.0.0.1:9000, http://127.0.0.1:9001
[platform]
tableService = http://127.0.0.1:7001
objectStore = http://127.0.0.1:7001
virtualMachineList = http://127.0.0.1:7001
ratingService = http://127.0.0.1:7001
weightStore = http://127.0.0.1:7001
[sessions]
sealingKeyFile = ${keyFile}
`;

function problemsOf(text: string): readonly string[] {
    try {
        resolveConfig("router.ini", text);
    }
    catch (error) {
        assert.ok(error instanceof SettingsError);
        return error.problems;
    }
    return [];
}

test("a complete file resolves to frozen settings", () => {
    const config = resolveConfig("router.ini", complete);
    assert.equal(config.callers.port, 8080);
    assert.equal(config.callers.maximumJsonDepth, 32);
    assert.deepEqual(config.peers.seeds, ["http://127.0.0.1:9000", "http://127.0.0.1:9001"]);
    assert.equal(config.secrets.peersKey, "secret");
    assert.ok(Object.isFrozen(config.callers));
});

test("an invalid value is reported with section, key, value and allowed values", () => {
    const [problem] = problemsOf(complete.replace("port = 8080", "port = none"));
    assert.match(problem!, /section \[callers\] key "port": read "none"; allowed: a number/);
});

// Guards against an empty value that is read as 0.
test("a key with an empty value gets its default and is named", () => {
    const config = resolveConfig(
        "router.ini",
        `${complete}idleMilliseconds =\n[limits]\nretryShare =\nannounceMilliseconds =\n[logging]\nlevel =\nparts =`,
    );
    assert.equal(config.sessions.idleMilliseconds, 1_800_000);
    assert.equal(config.limits.retryShare, 0.1);
    assert.equal(config.limits.announceMilliseconds, 2000);
    assert.equal(config.logging.level, "info");
    assert.deepEqual(config.notSet, [
        "[sessions] idleMilliseconds",
        "[limits] retryShare",
        "[limits] announceMilliseconds",
        "[logging] level",
    ]);
});

test("an empty value of a key without a default is refused", () => {
    assert.match(
        problemsOf(complete.replace("port = 8080", "port ="))[0]!,
        /section \[callers\] key "port": read nothing; allowed: a number/,
    );
    assert.match(
        problemsOf(complete.replace("port = 8080", "port = 8080\nprot ="))[0]!,
        /key "prot" is unknown/,
    );
});

// Guards against a misspelled key that silently leaves the default in effect.
test("unknown keys and sections are rejected", () => {
    assert.match(
        problemsOf(complete.replace("port = 8080", "port = 8080\nprot = 1"))[0]!,
        /key "prot" is unknown/,
    );
    assert.match(problemsOf(`${complete}\n[extra]\na = 1\n`)[0]!, /section \[extra\] is unknown/);
});

test("missing sections and unreadable key files are reported", () => {
    assert.match(problemsOf(complete.replace("[node]", "[nodes]")).join("\n"), /section \[node\] is missing/);
    assert.match(
        problemsOf(complete.replace(`sharedKeyFile = ${keyFile}`, "sharedKeyFile = /absent"))[0]!,
        /\[peers\] key "sharedKeyFile": read "\/absent"/,
    );
});
