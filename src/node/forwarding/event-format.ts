/**
 * Format of the events on a stream: lines of text, one of them with the number of the event, and an empty line at
 * the end. Bytes in another form were sent by no run. Pure functions, without I/O.
 */
import { isUtf8 } from "node:buffer";

/** The bytes before an empty line of a stream. */
export type Block =
    /** `text` is the event without comments, with the empty line at its end. */
    | { readonly kind: "event"; readonly number: number; readonly text: string }
    /** Comments and empty lines. */
    | { readonly kind: "comment" }
    /** Bytes that are no event. */
    | { readonly kind: "foreign"; readonly reason: string };

export const EVENT_END = "\n\n";

const STANDARD_FIELDS: readonly string[] = ["id", "data", "event", "retry"];

/** Control characters other than tabs and line feeds, in text that is decoded as Latin-1. */
const CONTROL_CHARACTER = /[^\t\n -\u00ff]/;

const BEYOND_ASCII = /[\u0080-\u00ff]/;

const EVENT_NUMBER = /^[1-9]\d{0,14}$/;

/** Maximum number of characters of an upstream's text in a reason. */
const MAXIMUM_QUOTED_CHARACTERS = 24;

function quote(text: string): string {
    return JSON.stringify(text.slice(0, MAXIMUM_QUOTED_CHARACTERS));
}

function isText(latin1: string): boolean {
    return (
        !CONTROL_CHARACTER.test(latin1) &&
        (!BEYOND_ASCII.test(latin1) || isUtf8(Buffer.from(latin1, "latin1")))
    );
}

function isComment(line: string): boolean {
    return line === "" || line.startsWith(":");
}

function isField(name: string, extraFields: ReadonlySet<string>): boolean {
    return STANDARD_FIELDS.includes(name) || extraFields.has(name);
}

function valuesOf(lines: readonly string[], field: string): readonly string[] {
    return lines
        .filter(line => line.startsWith(`${field}:`))
        .map(line => line.slice(field.length + 1).replace(/^ /, ""));
}

/** Parses the number of an event, as in `id` fields; `undefined` for other text. */
export function parseEventNumber(text: string): number | undefined {
    return EVENT_NUMBER.test(text) ? Number(text) : undefined;
}

/**
 * @param block Bytes without the empty line, decoded as Latin-1.
 * @param extraFields Names of fields that events may have beside the standard ones.
 */
export function parseBlock(block: string, extraFields: ReadonlySet<string>): Block {
    const foreign = (reason: string): Block => ({ kind: "foreign", reason });
    if (!isText(block)) {
        return foreign("bytes that are no text");
    }
    const lines = block.split("\n").filter(line => !isComment(line));
    if (lines.length === 0) {
        return { kind: "comment" };
    }
    const unknown = lines.find(line => !line.includes(":") || !isField(line.split(":", 1)[0]!, extraFields));
    if (unknown !== undefined) {
        return foreign(`the line ${quote(unknown)}`);
    }
    const ids = valuesOf(lines, "id");
    if (ids.length !== 1) {
        return foreign(ids.length === 0 ? "a block without an id" : "a block with several ids");
    }
    const number = parseEventNumber(ids[0]!);
    if (number === undefined) {
        return foreign(`the id ${quote(ids[0]!)}`);
    }
    if (valuesOf(lines, "data").length === 0) {
        return foreign("an event without data");
    }
    return { kind: "event", number, text: lines.join("\n") + EVENT_END };
}

/** Whether bytes may be the beginning of a block that is an event or a comment. */
export function mayBeginBlock(bytes: string, extraFields: ReadonlySet<string>): boolean {
    const lines = bytes.split("\n");
    const partialLine = lines.pop()!;
    const isKnown = (line: string): boolean =>
        isComment(line) || isField(line.split(":", 1)[0]!, extraFields);
    return (
        lines.every(line => isKnown(line) && (isComment(line) || line.includes(":"))) &&
        (partialLine.includes(":")
            ? isKnown(partialLine)
            : [...STANDARD_FIELDS, ...extraFields].some(name => name.startsWith(partialLine)))
    );
}
