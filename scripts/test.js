// Runs all compiled *.spec.js files with node:test. Collects the files itself, because `node --test` of
// Node.js 20 supports no glob patterns. Arguments restrict the run to the files whose path contains one of
// them.
//
// Failures of tests that KNOWN-RED.txt lists by name are printed and do not fail the run; all others do.
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { run } from "node:test";
import { spec } from "node:test/reporters";

const root = new URL("../dist/", import.meta.url).pathname;
const pathFilters = process.argv.slice(2);
const files = readdirSync(root, { recursive: true })
    .map(String)
    .filter(file => file.endsWith(".spec.js"))
    .filter(file => existsSync(join(root, "..", file.replace(/\.js$/, ".ts"))))
    .filter(file => pathFilters.length === 0 || pathFilters.some(filter => file.includes(filter)))
    .sort()
    .map(file => join(root, file));

const knownRedFile = new URL("../KNOWN-RED.txt", import.meta.url).pathname;
const knownRed = existsSync(knownRedFile)
    ? readFileSync(knownRedFile, "utf8")
          .split("\n")
          .filter(line => line.startsWith("test: "))
          .map(line => line.slice("test: ".length).trim())
    : [];

if (files.length === 0) {
    console.error("no test files found");
    process.exit(1);
}

let unexpectedFailures = 0;
const counts = { passed: 0, failed: 0, knownRed: 0 };
const stream = run({ files, concurrency: 4, timeout: 600_000 });
stream.on("test:fail", event => {
    if (knownRed.includes(event.name)) {
        counts.knownRed += 1;
        console.log(`known red, passed over: ${event.name}`);
        return;
    }
    // A file or parent test also fails when a test inside it fails; that failure was already handled.
    if (event.details.error?.failureType === "subtestsFailed") {
        return;
    }
    counts.failed += 1;
    unexpectedFailures += 1;
});
stream.on("test:pass", event => {
    if (event.details.type !== "suite") {
        counts.passed += 1;
    }
});
stream.on("end", () => {
    process.exitCode = unexpectedFailures === 0 && counts.passed > 0 ? 0 : 1;
});
process.on("exit", () => {
    console.log(`${counts.passed} passed, ${counts.failed} failed, ${counts.knownRed} known red`);
});
stream.compose(spec).pipe(process.stdout);
