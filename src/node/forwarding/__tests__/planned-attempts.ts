/** Attempts at a stream whose answers end in planned ways, and what their caller may see. */
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import fc from "fast-check";
import { resetConnection } from "../../common/reset-connection.js";
import type { CallerAnswer, RespondToAttempt } from "./forwarder-fixture.js";

export const EVENTS = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"];
export const WHOLE = EVENTS.join("");

type Framing = "none" | "chunked" | "length";
type Ending = "whole" | "close" | "reset";

/** An attempt at an upstream: its answer ends after some bytes unless it is whole. */
export interface PlannedAttempt {
    readonly framing: Framing;
    readonly ending: Ending;
    /** Bytes of the body before the answer breaks off. */
    readonly bytes: number;
}

/** At least as many attempts as a route allows. */
const MAXIMUM_PLANNED_ATTEMPTS = 3;

/** Time for the router to read what precedes a reset; Node.js takes a reset with unread bytes for an end. */
export const READ_MILLISECONDS = 20;

const STREAM_HEADER = "content-type: text/event-stream\r\n";

function frame(framing: Framing, body: string): { readonly headers: string; readonly text: string } {
    switch (framing) {
        case "none":
            return { headers: "", text: body };
        case "chunked":
            return {
                headers: "transfer-encoding: chunked\r\n",
                text: `${body === "" ? "" : `${body.length.toString(16)}\r\n${body}\r\n`}0\r\n\r\n`,
            };
        case "length":
            return { headers: `content-length: ${body.length}\r\n`, text: body };
    }
}

function write(socket: Socket, head: string, body: string, { framing, ending, bytes }: PlannedAttempt): void {
    const { headers, text } = frame(framing, body);
    socket.write(`${head}${headers}\r\n`);
    if (ending === "whole") {
        socket.write(text);
        if (framing === "none") {
            socket.end();
        }
        return;
    }
    // An answer that has all its bytes would be whole.
    socket.write(text.slice(0, Math.min(bytes, Math.max(0, text.length - 1))), () => {
        if (ending === "close") {
            socket.end();
        }
        else {
            setTimeout(() => resetConnection(socket), READ_MILLISECONDS);
        }
    });
}

export function streamOf(plan: readonly PlannedAttempt[]): RespondToAttempt {
    return (socket, attempt, head, lastEventId) => {
        const body = EVENTS.slice(lastEventId).join("");
        write(socket, `${head}${STREAM_HEADER}`, body, plan[attempt] ?? plan.at(-1)!);
    };
}

/** Number of whole events of an attempt that goes on after some. */
function eventCountOf({ framing, ending, bytes }: PlannedAttempt, after: number): number {
    const body = EVENTS.slice(after).join("");
    if (ending === "whole") {
        return EVENTS.length - after;
    }
    const { text } = frame(framing, body);
    const sent = text.slice(0, Math.min(bytes, Math.max(0, text.length - 1)));
    const start = framing === "chunked" ? text.indexOf("\r\n") + 2 : 0;
    return Math.floor(Math.min(body.length, Math.max(0, sent.length - start)) / EVENTS[0]!.length);
}

/** The attempt that sent an event, if attempts are made until one does. */
function attemptThatSent(plan: readonly PlannedAttempt[], event: number): PlannedAttempt | undefined {
    let sent = 0;
    for (let attempt = 0; attempt < MAXIMUM_PLANNED_ATTEMPTS; attempt += 1) {
        const planned = plan[attempt] ?? plan.at(-1)!;
        sent += eventCountOf(planned, sent);
        if (sent >= event) {
            return planned;
        }
    }
    return undefined;
}

export function assertHonest(answer: CallerAnswer, plan: readonly PlannedAttempt[]): void {
    const about = `${JSON.stringify(plan)} gave ${JSON.stringify(answer)}`;
    if (answer.status !== 200) {
        return;
    }
    assert.ok(WHOLE.startsWith(answer.body), about);
    if (answer.end === "broken") {
        return;
    }
    if (answer.isEndUnconfirmed) {
        // Only an end that looks the same to the router may look like one to the caller.
        const last = attemptThatSent(plan, answer.body.length / EVENTS[0]!.length);
        assert.ok(answer.body === WHOLE || (last?.framing === "none" && last.ending !== "reset"), about);
        assert.ok(answer.body.endsWith("\n\n"), about);
    }
    else {
        assert.equal(answer.body, WHOLE, about);
    }
}

export function assertNotConfirmed(answer: CallerAnswer): void {
    assert.ok(answer.end === "broken" || answer.isEndUnconfirmed, JSON.stringify(answer));
}

export const plannedAttempt: fc.Arbitrary<PlannedAttempt> = fc.record({
    framing: fc.constantFrom("none", "chunked", "length"),
    ending: fc.constantFrom("whole", "close", "reset"),
    bytes: fc.oneof(fc.constantFrom(0, 15, 30, 45), fc.integer({ min: 0, max: WHOLE.length })),
});
