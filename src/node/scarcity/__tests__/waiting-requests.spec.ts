/** Guards against waiting requests that are served out of order, starve, or hold memory without bound. */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { compareUrgency, urgencyOf } from "../urgency.js";
import { createWaitingRequests } from "../waiting-requests.js";
import type { WaitingRequest } from "../waiting-requests.js";

interface TestRequest extends WaitingRequest {
    readonly id: number;
}

let count = 0;

function createRequest(overrides: Partial<WaitingRequest> = {}): TestRequest {
    count += 1;
    return {
        id: count,
        urgency: urgencyOf(undefined, 0),
        workspace: "north",
        targetAt: count,
        expiresAt: 1000,
        bytes: 1,
        ...overrides,
    };
}

const request = fc
    .record({
        urgency: fc
            .tuple(fc.option(fc.nat(2), { nil: undefined }), fc.nat(2))
            .map(([workspace, route]) => urgencyOf(workspace, route)),
        workspace: fc.constantFrom("north", "south", "east"),
        targetAt: fc.nat(50),
        expiresAt: fc.nat(100),
        bytes: fc.integer({ min: 1, max: 40 }),
    })
    .map(createRequest);

const operation = fc.oneof(
    { weight: 3, arbitrary: request.map(added => ({ kind: "add" as const, added })) },
    { weight: 2, arbitrary: fc.nat(3).map(blocked => ({ kind: "take" as const, blocked })) },
    { weight: 1, arbitrary: fc.nat(100).map(now => ({ kind: "expire" as const, now })) },
);

test("what begins is never less urgent than what could begin, and nothing is lost, in any sequence", () => {
    fc.assert(
        fc.property(fc.array(operation, { maxLength: 60 }), operations => {
            const waiting = createWaitingRequests<TestRequest>((size, bytes) => size > 12 || bytes > 200);
            const held = new Set<TestRequest>();
            for (const step of operations) {
                if (step.kind === "add") {
                    held.add(step.added);
                    for (const displaced of waiting.add(step.added)) {
                        held.delete(displaced);
                        assert.ok(
                            [...held].every(other => compareUrgency(other.urgency, displaced.urgency) <= 0),
                            "a request is displaced while a less urgent one stays",
                        );
                    }
                }
                else if (step.kind === "take") {
                    const canBegin = ({ id }: TestRequest): boolean => id % 4 >= step.blocked;
                    const taken = waiting.take(canBegin);
                    if (taken !== undefined) {
                        held.delete(taken);
                        assert.ok(
                            [...held]
                                .filter(canBegin)
                                .every(other => compareUrgency(taken.urgency, other.urgency) <= 0),
                        );
                    }
                    else {
                        assert.ok(![...held].some(canBegin));
                    }
                }
                else {
                    waiting.takeExpired(step.now).forEach(expired => held.delete(expired));
                    assert.ok([...held].every(({ expiresAt }) => expiresAt > step.now));
                }
                assert.equal(waiting.size, held.size);
                assert.equal(
                    waiting.bytes,
                    [...held].reduce((sum, { bytes }) => sum + bytes, 0),
                );
                assert.ok(waiting.size <= 12 && waiting.bytes <= 200);
            }
        }),
    );
});

test("a workspace beside one that sends six times as much gets every other turn", () => {
    const waiting = createWaitingRequests<TestRequest>(() => false);
    for (let index = 0; index < 60; index += 1) {
        waiting.add(createRequest({ workspace: "loud" }));
        if (index % 6 === 5) {
            waiting.add(createRequest({ workspace: "quiet" }));
        }
    }
    const taken = Array.from({ length: 20 }, () => waiting.take(() => true)!.workspace);
    assert.equal(taken.filter(workspace => workspace === "quiet").length, 10);
});

test("a workspace that comes late neither catches up on turns nor waits for those of others", () => {
    const waiting = createWaitingRequests<TestRequest>(() => false);
    const add = (workspace: string): unknown => waiting.add(createRequest({ workspace }));
    const take = (): string => waiting.take(() => true)!.workspace;
    for (let index = 0; index < 30; index += 1) {
        add("early");
    }
    for (let index = 0; index < 10; index += 1) {
        take();
    }
    for (let index = 0; index < 10; index += 1) {
        add("late");
    }
    const taken = Array.from({ length: 8 }, take);
    const late = taken.filter(workspace => workspace === "late").length;
    assert.ok(late >= 3 && late <= 5, `${late} of 8`);
});

test("of a workspace, the request with the least time to its target is first", () => {
    const waiting = createWaitingRequests<TestRequest>(() => false);
    [30, 10, 20].forEach(targetAt => waiting.add(createRequest({ targetAt })));
    assert.deepEqual(
        [1, 2, 3].map(() => waiting.take(() => true)!.targetAt),
        [10, 20, 30],
    );
});

test("the count of those ahead is the number that is taken before a new request", () => {
    fc.assert(
        fc.property(fc.array(request, { maxLength: 15 }), request, (others, added) => {
            const waiting = createWaitingRequests<TestRequest>(() => false);
            others.forEach(other => waiting.add(other));
            const last = { ...added, targetAt: Infinity };
            const ahead = waiting.countAhead(last.urgency, last.workspace);
            waiting.add(last);
            let before = 0;
            while (waiting.take(() => true) !== last) {
                before += 1;
            }
            // A tie between workspaces of the same turn may fall either way.
            assert.ok(before <= ahead && before >= ahead - 2, `${before} before, ${ahead} counted`);
        }),
    );
});
