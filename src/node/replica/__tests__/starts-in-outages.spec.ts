/** Guards against nodes that start in an outage of the store and fill the links of their relays. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { TableName } from "../shared-store.js";
import { createReplicationFleet } from "./replication-fleet.js";

const APPLY_MILLISECONDS = 4000;

const UNREAD_TABLES: readonly (readonly TableName[])[] = [
    ["nodes", "runners", "configuration"],
    ["runners", "configuration"],
    ["configuration"],
];

for (const tables of UNREAD_TABLES) {
    test(`a node that cannot read ${tables.join(", ")} is sent few whole tables in an outage`, async context => {
        const fleet = await createReplicationFleet(context, {
            size: 24,
            dataCentres: 2,
            applyMilliseconds: APPLY_MILLISECONDS,
        });
        await fleet.advance(8000);
        fleet.nodes.forEach(node => {
            node.store = "rejects";
        });
        await fleet.advance(2500);
        fleet.nodes.forEach(({ answers }) => answers.splice(0));
        await fleet.start(23, tables);
        await fleet.advance(5000);
        const starts = fleet.nodes.flatMap(({ answers }) =>
            answers.filter(({ reason }) => reason === "start"),
        );
        const characters = starts.reduce((sum, answer) => sum + answer.characters, 0);
        context.diagnostic(`${starts.length} answers with whole tables, ${characters} characters`);
        assert.ok(starts.length <= 12, `${starts.length} answers with whole tables`);
        assert.notEqual(fleet.nodes[23]!.value("config"), undefined);
    });
}
