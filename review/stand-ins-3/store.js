// Stand-in for the platform's metadata store: rows in tables, transactions and change feeds.
import { Buffer } from "node:buffer";
import { createServer } from "node:http";
import { performance } from "node:perf_hooks";
import { clearTimeout, setTimeout } from "node:timers";

/** Tables that only operators and upstreams write. */
const FOREIGN_TABLES = new Set(["op", "servers"]);

export async function startStore(address) {
    const rows = new Map();
    const feeds = new Set();
    const era = 1;
    let revision = 0;

    const keyOf = ({ table, part = "", key }) => JSON.stringify([table, part, key]);
    const write = (row, value) =>
        rows.set(keyOf(row), { table: row.table, part: row.part ?? "", key: row.key, value, revision });
    const encode = row => ({
        table: row.table,
        part: row.part,
        key: row.key,
        "schema-version": row.revision,
        ...(row.value === undefined ? { deleted: true } : { value: row.value }),
    });
    const rowsOf = (table, part = "") =>
        [...rows.values()]
            .filter(row => row.table === table && row.part === part)
            .sort((a, b) => Buffer.compare(Buffer.from(a.key), Buffer.from(b.key)));
    const respond = (response, status, body) => {
        if (response.destroyed) {
            return;
        }
        const text = JSON.stringify({
            ...body,
            "schema-version": revision,
            "current-time-ms": Math.round(performance.now()),
        });
        response.writeHead(status, { "content-type": "application/json", "store-era": String(era) });
        response.end(text);
    };
    const notify = () => [...feeds].forEach(feed => feed());

    const transact = (body, response) => {
        const { puts = [], remove = [] } = body;
        const expected = body["expected-revision"] ?? [];
        if ([...puts, ...remove].some(row => FOREIGN_TABLES.has(row.table))) {
            respond(response, 403, {});
            return;
        }
        const revisionOf = row => {
            const stored = rows.get(keyOf(row));
            return stored?.value === undefined ? 0 : stored.revision;
        };
        if (expected.some(row => revisionOf(row) !== row["schema-version"])) {
            respond(response, 412, { rows: expected.flatMap(row => rows.get(keyOf(row)) ?? []).map(encode) });
            return;
        }
        revision += 1;
        puts.forEach(row => write(row, row.value));
        remove.forEach(row => write(row, undefined));
        respond(response, 200, {});
        notify();
    };

    const feed = (query, response) => {
        const table = query.get("table");
        const after = Number(query.get("start-revision"));
        if (after > revision) {
            respond(response, 410, {});
            return;
        }
        const changed = () =>
            [...rows.values()]
                .filter(row => row.table === table && row.revision > after)
                .sort((a, b) => a.revision - b.revision);
        const finish = () => {
            feeds.delete(look);
            clearTimeout(timer);
            respond(response, 200, { rows: changed().map(encode) });
        };
        const look = () => (changed().length > 0 ? finish() : undefined);
        const timer = setTimeout(finish, Math.min(30_000, Number(query.get("wait-ms"))));
        response.once("close", () => {
            feeds.delete(look);
            clearTimeout(timer);
        });
        feeds.add(look);
        look();
    };

    const server = createServer((request, response) => {
        const chunks = [];
        request.on("data", chunk => chunks.push(chunk));
        request.on("end", () => {
            const url = new URL(request.url, "http://store");
            if (url.pathname === "/rows-tx") {
                transact(JSON.parse(Buffer.concat(chunks).toString()), response);
            }
            else if (url.pathname === "/rows-feed") {
                feed(url.searchParams, response);
            }
            else if (url.pathname === "/rows-get") {
                const existing = rowsOf(url.searchParams.get("table")).filter(row => row.value !== undefined);
                respond(response, 200, { rows: existing.map(encode), "has-more": false });
            }
            else {
                respond(response, 404, {});
            }
        });
    });
    await new Promise(resolve => server.listen(0, address, resolve));

    const putText = (table, key, text) => {
        revision += 1;
        write({ table, key }, text === undefined ? undefined : Buffer.from(text).toString("base64"));
        notify();
    };

    return {
        endpoint: `${address}:${server.address().port}`,
        /** Writes a row as an operator or an upstream does; removes it when the value is `undefined`. */
        put: (table, key, value) =>
            putText(table, key, value === undefined ? undefined : JSON.stringify(value)),
        get: (table, key) => {
            const value = rows.get(keyOf({ table, key }))?.value;
            return value === undefined ? undefined : JSON.parse(Buffer.from(value, "base64").toString());
        },
        close: () => {
            server.closeAllConnections();
            return new Promise(resolve => server.close(resolve));
        },
    };
}
