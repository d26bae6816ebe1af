import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { RouterError } from "../../verdict/verdict.js";
import { parseCompletionBody, parseTimeout } from "../validation.js";

function thrownError(run: () => unknown): RouterError {
    try {
        run();
    }
    catch (error) {
        assert.ok(error instanceof RouterError, String(error));
        return error;
    }
    throw new Error("no error was thrown");
}

test("a validation error names the invalid field", () => {
    const parse =
        (body: object, chat = true) =>
        () =>
            parseCompletionBody(JSON.stringify(body), chat, 8);
    assert.match(thrownError(parse({ messages: [{ role: "user", content: "" }] })).message, /^model:/);
    assert.match(thrownError(parse({ model: "m" })).message, /exactly one of "messages" and "prompt"/);
    assert.match(thrownError(parse({ model: "m", prompt: "x" })).message, /^messages: is missing/);
    assert.match(
        thrownError(parse({ model: "m", prompt: "x", max_tokens: 0 }, false)).message,
        /^max_tokens:/,
    );
    assert.match(thrownError(parse({ model: "m", prompt: "x", n: 2 }, false)).message, /only one choice/);
    assert.match(
        thrownError(parse({ model: "m", prompt: "x", version: "v9" }, false)).message,
        /^version: .*reserved/,
    );
});

// Traversing deeply nested JSON costs far more than the size of the body suggests.
test("rejects bodies that are nested too deeply", () => {
    const deep = `{"model":"m","prompt":"x","extra":${"[".repeat(2000)}${"]".repeat(2000)}}`;
    assert.equal(thrownError(() => parseCompletionBody(deep, false, 32)).code, "json-too-deep");
});

test("any text is parsed, or rejected with status 400 and verdict not-run", () => {
    const bodies = fc.oneof(
        fc.string(),
        fc.json(),
        fc.object().map(value => JSON.stringify({ model: "m", ...value })),
    );
    fc.assert(
        fc.property(bodies, fc.boolean(), (body, chat) => {
            try {
                assert.equal(typeof parseCompletionBody(body, chat, 8).model, "string");
            }
            catch (error) {
                assert.ok(error instanceof RouterError, String(error));
                assert.equal(error.status, 400);
                assert.equal(error.verdict, "not-run");
            }
        }),
    );
});

test("parses valid timeouts and rejects invalid ones", () => {
    assert.equal(parseTimeout("1500"), 1500);
    assert.equal(parseTimeout(undefined), undefined);
    for (const text of ["0", "-1", "1.5", "soon", "1e99", ""]) {
        assert.equal(thrownError(() => parseTimeout(text)).status, 400, text);
    }
});
