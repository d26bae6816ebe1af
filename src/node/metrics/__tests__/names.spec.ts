import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { METRICS } from "../names.js";

const DOCUMENT = new URL("../../../../../docs/METRICS.md", import.meta.url);

// Operators configure alerts from the page. Guards against a wrong name there, whose alert would never fire.
test("the metrics page lists the metrics that the code defines", () => {
    const documented = readFileSync(DOCUMENT, "utf8")
        .split("\n")
        .filter(line => line.startsWith("| `geraniumbarrow."))
        .map(line => {
            const [name, type, unit, tags] = line
                .split("|")
                .slice(1)
                .map(cell => cell.replaceAll("`", "").trim());
            return { name, type, unit, tags: tags!.split(" ").filter(tag => tag !== "") };
        });
    const defined = Object.values(METRICS).map(metric => ({
        ...metric,
        name: `geraniumbarrow.${metric.name}`,
    }));
    assert.deepEqual(documented, defined);
});
