import assert from "node:assert/strict";
import { test } from "node:test";
import { ComponentError, createLifecycle } from "../lifecycle.js";

test("components stop in reverse order", async () => {
    const calls: string[] = [];
    const lifecycle = createLifecycle();
    for (const name of ["a", "b", "c"]) {
        lifecycle.add({
            name,
            start: () => {
                calls.push(`start ${name}`);
                return () => void calls.push(`stop ${name}`);
            },
        });
    }
    await lifecycle.start();
    await lifecycle.stop();
    assert.deepEqual(calls, ["start a", "start b", "start c", "stop c", "stop b", "stop a"]);
});

// A component left running after a failed start would keep its port and timers.
test("a failed start stops the started components and names the one that failed", async () => {
    const stopped: string[] = [];
    const lifecycle = createLifecycle();
    lifecycle.add({ name: "first", start: () => () => void stopped.push("first") });
    lifecycle.add({
        name: "second",
        start: () => {
            throw new Error("port in use");
        },
    });
    await assert.rejects(
        lifecycle.start(),
        (error: unknown) =>
            error instanceof ComponentError && error.component === "second" && error.phase === "start",
    );
    assert.deepEqual(stopped, ["first"]);
});
