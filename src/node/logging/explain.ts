/** Explains how a request ended, from the log lines of a router node. */

export type LogLine = Readonly<Record<string, unknown>>;

/** Time before a request from which changes of the node's state are shown, milliseconds. */
const CONTEXT_MILLISECONDS = 30_000;

/** Components whose lines report changes of the node's state. */
const NODE_STATE_COMPONENTS: readonly string[] = [
    "configuration",
    "nodes",
    "shifts",
    "store",
    "upstreams",
    "router",
];

/** Maximum number of lines shown about the node's state. */
const MAXIMUM_CONTEXT_LINES = 12;

/** Fields that every line has, or that the description of a line shows separately. */
const COMMON_FIELDS: readonly string[] = ["time", "level", "part", "message", "request"];

const OUTCOMES: Readonly<Record<string, string>> = {
    delivered: "The caller got the whole response.",
    refused: "The caller received a rejection: nothing ran.",
    failed: "The caller got 502: the request may have run and was not retried.",
    cut: "The caller got a part of the answer; no upstream could resume it.",
    "passed-failure": "The caller got the upstream's error response; no further attempt was allowed.",
    "timed-out": "The deadline of the caller or the timeout of the route had passed.",
    "caller-left": "The caller closed its connection.",
};

/** Parses a log. Skips lines that are not JSON objects, as other programs may write to the same file. */
export function parseLog(text: string): readonly LogLine[] {
    return text.split("\n").flatMap(line => {
        try {
            const value: unknown = JSON.parse(line);
            return typeof value === "object" && value !== null ? [value as LogLine] : [];
        }
        catch {
            return [];
        }
    });
}

function timeOf(line: LogLine): number {
    return Date.parse(String(line["time"]));
}

function describeLine(line: LogLine, startedAt: number): string {
    const fields = Object.entries(line)
        .filter(([name]) => !COMMON_FIELDS.includes(name))
        .map(([name, value]) => `${name}=${String(value)}`);
    const offset = timeOf(line) - startedAt;
    return `${offset >= 0 ? "+" : ""}${offset} ms  ${String(line["message"])} ${fields.join(" ")}`.trimEnd();
}

function describeEnd(lines: readonly LogLine[]): string {
    const end = lines.findLast(line => line["outcome"] !== undefined);
    if (end === undefined) {
        return "The log does not say how the request ended: the node stopped, or the lines are elsewhere.";
    }
    const sentence = OUTCOMES[String(end["outcome"])] ?? `The request ended as ${String(end["outcome"])}.`;
    const reason = end["reason"] === undefined ? "" : ` Reason: ${String(end["reason"])}.`;
    const rejected = lines.filter(line => line["result"] === "not-run").length;
    const ran = lines.filter(line => ["lost", "failed"].includes(String(line["result"]))).length;
    const attempts = `${rejected} attempts did not run, ${ran} ran without a usable answer.`;
    return `${sentence}${reason} ${attempts}`;
}

/** Lines about the node's state before the end of the request, on its upstreams or the whole node. */
function contextOf(log: readonly LogLine[], lines: readonly LogLine[]): readonly LogLine[] {
    const startedAt = timeOf(lines[0]!);
    const endedAt = timeOf(lines.at(-1)!);
    const upstreams = new Set(
        lines.flatMap(line => (line["upstream"] === undefined ? [] : [line["upstream"]])),
    );
    return log
        .filter(line => NODE_STATE_COMPONENTS.includes(String(line["part"])) && line["request"] === undefined)
        .filter(line => line["upstream"] === undefined || upstreams.has(line["upstream"]))
        .filter(line => timeOf(line) >= startedAt - CONTEXT_MILLISECONDS && timeOf(line) <= endedAt)
        .slice(-MAXIMUM_CONTEXT_LINES);
}

/**
 * Describes a request in lines of text; returns `undefined` when the log does not contain it.
 *
 * @param log Lines of one node, in the order in which they were written.
 */
export function explainRequest(id: string, log: readonly LogLine[]): readonly string[] | undefined {
    const lines = log.filter(line => line["request"] === id);
    if (lines.length === 0) {
        return undefined;
    }
    const startedAt = timeOf(lines[0]!);
    const context = contextOf(log, lines);
    return [
        describeEnd(lines),
        "",
        `Request ${id}, from ${String(lines[0]!["time"])}:`,
        ...lines.map(line => `  ${describeLine(line, startedAt)}`),
        ...(context.length === 0 ? [] : ["", "State changes of the node before and during the request:"]),
        ...context.map(line => `  ${describeLine(line, startedAt)}`),
    ];
}
