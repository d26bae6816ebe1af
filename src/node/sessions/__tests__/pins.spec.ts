import assert from "node:assert/strict";
import { afterEach, beforeEach, test } from "node:test";
import { createLifecycle } from "../../lifecycle/lifecycle.js";
import { advance, mockTime, restoreTime } from "../../peers/__tests__/time.js";
import { createFakeTableService, createServiceFaults } from "../../outside-services/__tests__/fakes.js";
import type { Row } from "../../outside-services/table-service.js";
import { createSessionPins } from "../pins.js";

beforeEach(() => mockTime());
afterEach(restoreTime);

async function createPins(rows: Map<string, Row>) {
    const faults = createServiceFaults();
    const lifecycle = createLifecycle();
    const pins = createSessionPins({
        table: createFakeTableService(faults, rows),
        clock: { now: () => Date.now(), wallTime: () => Date.now() },
        idleMilliseconds: 60_000,
        lifecycle,
        onPinsRead: () => undefined,
    });
    await lifecycle.start();
    return { pins, faults, lifecycle };
}

// Guards against a session that loses its version when the load balancer sends its next request to another
// node.
test("a pin is not limited to the node that wrote it", async () => {
    const rows = new Map<string, Row>();
    const first = await createPins(rows);
    const second = await createPins(rows);
    first.pins.pin("w", "m", "s", "v1");
    await advance(500);
    assert.equal(second.pins.pinOf("w", "m", "s"), "unknown");
    await advance(500);
    assert.equal(second.pins.pinOf("w", "m", "s"), "v1");
    assert.equal(second.pins.pinOf("other", "m", "s"), "unknown");
    await Promise.all([first.lifecycle.stop(), second.lifecycle.stop()]);
});

// Guards against a session that moves to another version because it counts as new while its pin cannot be
// read, and against a pin that is lost because the table service was unavailable.
test("a session is not treated as new while the table service is down, and its pin is written later", async () => {
    const rows = new Map<string, Row>();
    const { pins, faults, lifecycle } = await createPins(rows);
    faults.down = true;
    pins.pin("w", "m", "written-late", "v1");
    assert.equal(pins.pinOf("w", "m", "unread"), "unknown");
    await advance(5000);
    assert.equal(pins.pinOf("w", "m", "unread"), "unknown");
    assert.equal(rows.size, 0);
    faults.down = false;
    await advance(1000);
    assert.equal(pins.pinOf("w", "m", "unread"), undefined);
    assert.equal(rows.size, 1);
    await lifecycle.stop();
});
