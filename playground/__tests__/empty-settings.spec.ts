/** Guards against a daemon that refuses settings without a value, or takes them for zero. */
import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";
import { parse, stringify } from "ini";
import { startDeployment } from "../deployment.js";

type Sections = Record<string, Record<string, unknown>>;

const SAMPLE = new URL("../../../samples/geraniumbarrowd.ini", import.meta.url);
const DAEMON_ENTRY = new URL("../../src/node/daemon/main.js", import.meta.url).pathname;

const NOT_SET_MESSAGE = "Some settings have no value";

test("a daemon whose settings with a default have no value starts and names them", async context => {
    const deployment = await startDeployment({
        nodes: 1,
        dataCentres: ["patio"],
        region: "litoral",
        engines: [],
        services: 0,
        rate: () => 1,
    });
    context.after(() => deployment.stop());
    const [node] = deployment.nodes;
    node!.process.kill("SIGKILL");
    await node!.exited;
    const settings = parse(readFileSync(join(deployment.directory, "node-1.ini"), "utf8")) as Sections;
    // The sample shows each default. A key that is empty by default is as it should be.
    const names: string[] = [];
    for (const [section, keys] of Object.entries(parse(readFileSync(SAMPLE, "utf8")) as Sections)) {
        settings[section] ??= {};
        for (const key of Object.keys(keys).filter(name => settings[section]![name] === undefined)) {
            settings[section][key] = "";
            if (keys[key] !== "") {
                names.push(`[${section}] ${key}`);
            }
        }
    }
    assert.ok(names.length > 0);
    const file = join(deployment.directory, "empty.ini");
    writeFileSync(file, stringify(settings));
    const daemon = spawn(process.execPath, [DAEMON_ENTRY, "--settings", file], {
        stdio: ["ignore", "ignore", "pipe"],
    });
    context.after(() => daemon.kill("SIGKILL"));
    let log = "";
    await new Promise<void>(resolve => {
        daemon.once("exit", () => resolve());
        daemon.stderr.on("data", (chunk: Buffer) => {
            log += chunk.toString();
            if (log.includes("The node is running.")) {
                resolve();
            }
        });
    });
    assert.equal(daemon.exitCode, null, log);
    const lines = log.split("\n").filter(line => line.includes(NOT_SET_MESSAGE));
    assert.equal(lines.length, 1);
    const named = /notSet="(.*)"/.exec(lines[0]!)![1]!.split(", ");
    assert.deepEqual(named.sort(), names.sort());
});
