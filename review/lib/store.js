/** Stand-in for the platform's metadata store: rows with a change feed, as the protocol page describes it. */
import { Buffer } from "node:buffer";
import { createServer } from "node:http";
import { performance } from "node:perf_hooks";
import { clearTimeout, setTimeout } from "node:timers";
import { URLSearchParams } from "node:url";

const ANSWER_MILLISECONDS = 4;
const PAGE_ROWS = 500;

function keyOf({ table, part = "", key }) {
    return JSON.stringify([table, part, key]);
}

export function createStore() {
    const rows = new Map();
    const feeds = new Set();
    const servers = [];
    const listeners = [];
    let version = 0;

    const now = () => Math.round(performance.now());

    const encode = ({ table, part, key, value, revision }) => ({
        table,
        part,
        key,
        "schema-version": revision,
        ...(value === undefined ? { deleted: true } : { value }),
    });

    const answer = (state, response, status, body) => {
        setTimeout(() => {
            if (state.mode === "silent") {
                return;
            }
            const text = JSON.stringify({
                ...body,
                "schema-version": version,
                "current-time-ms": now(),
            });
            response.writeHead(status, {
                "content-type": "application/json",
                "content-length": Buffer.byteLength(text),
                "store-era": "0",
            });
            response.end(text);
        }, ANSWER_MILLISECONDS);
    };

    const apply = (puts, removals) => {
        version += 1;
        for (const { table, part = "", key, value } of puts) {
            rows.set(keyOf({ table, part, key }), { table, part, key, value, revision: version });
        }
        for (const { table, part = "", key } of removals) {
            rows.set(keyOf({ table, part, key }), { table, part, key, value: undefined, revision: version });
        }
        [...feeds].forEach(check => check());
        for (const row of [...puts, ...removals]) {
            listeners.forEach(listener => listener(row));
        }
    };

    const transact = (state, body, response) => {
        const { "expected-revision": expected = [], puts = [], remove = [] } = JSON.parse(body);
        if ([...puts, ...remove].some(({ table }) => table === "op" || table === "servers")) {
            answer(state, response, 403, {});
            return;
        }
        const current = row => {
            const known = rows.get(keyOf(row));
            return known?.value === undefined ? 0 : known.revision;
        };
        if (expected.some(row => current(row) !== row["schema-version"])) {
            const found = expected.map(row => rows.get(keyOf(row))).filter(row => row?.value !== undefined);
            answer(state, response, 412, { rows: found.map(encode) });
            return;
        }
        apply(puts, remove);
        answer(state, response, 200, {});
    };

    const get = (state, query, response) => {
        const limit = Math.min(PAGE_ROWS, Number(query.get("limit") ?? PAGE_ROWS));
        const from = query.get("source") ?? "";
        const found = [...rows.values()]
            .filter(
                row =>
                    row.value !== undefined &&
                    row.table === query.get("table") &&
                    row.part === (query.get("part") ?? "") &&
                    row.key >= from,
            )
            .sort((a, b) => (a.key < b.key ? -1 : 1));
        answer(state, response, 200, {
            rows: found.slice(0, limit).map(encode),
            "has-more": found.length > limit,
        });
    };

    const feed = (state, query, response) => {
        const since = Number(query.get("start-revision"));
        const changed = () =>
            [...rows.values()]
                .filter(row => row.table === query.get("table") && row.revision > since)
                .sort((a, b) => a.revision - b.revision);
        const finish = () => {
            clearTimeout(timer);
            feeds.delete(check);
            answer(state, response, 200, { rows: changed().map(encode) });
        };
        const check = () => {
            if (changed().length > 0) {
                finish();
            }
        };
        const timer = setTimeout(finish, Math.min(30_000, Number(query.get("wait-ms") ?? 0)));
        response.once("close", () => {
            clearTimeout(timer);
            feeds.delete(check);
        });
        feeds.add(check);
        check();
    };

    const serve = async (state, request, response) => {
        const chunks = [];
        for await (const chunk of request) {
            chunks.push(chunk);
        }
        if (state.mode === "silent") {
            return;
        }
        const [path, query = ""] = request.url.split("?");
        const parameters = new URLSearchParams(query);
        if (path === "/rows-tx") {
            transact(state, Buffer.concat(chunks).toString(), response);
        }
        else if (path === "/rows-get") {
            get(state, parameters, response);
        }
        else if (path === "/rows-feed") {
            feed(state, parameters, response);
        }
        else {
            answer(state, response, 404, {});
        }
    };

    return {
        /**
         * Opens an endpoint. Its mode is `up`, or `silent`: calls are taken, have no effect, and are never answered,
         * also those that wait at the beginning of the silence.
         */
        listen: async address => {
            const state = { mode: "up", endpoint: "", setMode: mode => (state.mode = mode) };
            const server = createServer((request, response) => {
                serve(state, request, response).catch(() => response.destroy());
            });
            server.keepAliveTimeout = 60_000;
            await new Promise(resolve => server.listen(0, address, resolve));
            servers.push(server);
            state.endpoint = `${address}:${server.address().port}`;
            return state;
        },
        /** Writes as an operator or a runner does; removes the row when the value is `undefined`. */
        put: (table, key, value) => {
            if (value === undefined) {
                apply([], [{ table, key }]);
            }
            else {
                apply([{ table, key, value: Buffer.from(JSON.stringify(value)).toString("base64") }], []);
            }
        },
        read: (table, key) => {
            const row = rows.get(keyOf({ table, key }));
            return row?.value === undefined
                ? undefined
                : JSON.parse(Buffer.from(row.value, "base64").toString());
        },
        onWrite: listener => listeners.push(listener),
        close: () => {
            for (const server of servers) {
                server.closeAllConnections();
                server.close();
            }
        },
    };
}
