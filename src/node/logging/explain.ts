/** Explains a request from the log lines of a router node. */

export type LogLine = Readonly<Record<string, unknown>>;

/** Time before a request in which changes of what a node believed are shown, milliseconds. */
const CONTEXT_MILLISECONDS = 30_000;

/** Parts whose lines tell what a node believed. */
const BELIEF_PARTS: readonly string[] = ["configuration", "nodes", "shifts", "store", "upstreams", "router"];

/** Lines about the node's beliefs that are shown at most. */
const MOST_CONTEXT_LINES = 12;

/** Fields that every line has, or that stand in the sentence already. */
const COMMON_FIELDS: readonly string[] = ["time", "level", "part", "message", "request"];

const OUTCOMES: Readonly<Record<string, string>> = {
    delivered: "The caller got the whole answer.",
    refused: "The caller was told that nothing ran.",
    failed: "The caller got 502: the request may have run, and it may not be sent again.",
    cut: "The caller got a part of the answer; nothing could go on behind it.",
    "passed-failure": "The caller got the upstream's own failure; no further attempt was allowed.",
    "timed-out": "The time of the caller or of the route was over.",
    "caller-left": "The caller closed its connection.",
};

/** Parses a log; text that is no JSON object is left out, as other programs may write to the same file. */
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

function describe(line: LogLine, startedAt: number): string {
    const facts = Object.entries(line)
        .filter(([name]) => !COMMON_FIELDS.includes(name))
        .map(([name, value]) => `${name}=${String(value)}`);
    const offset = timeOf(line) - startedAt;
    return `${offset >= 0 ? "+" : ""}${offset} ms  ${String(line["message"])} ${facts.join(" ")}`.trimEnd();
}

function conclude(lines: readonly LogLine[]): string {
    const end = lines.findLast(line => line["outcome"] !== undefined);
    if (end === undefined) {
        return "The log does not say how the request ended: the node ended first, or the lines are in another file.";
    }
    const sentence = OUTCOMES[String(end["outcome"])] ?? `It ended as ${String(end["outcome"])}.`;
    const reason = end["reason"] === undefined ? "" : ` Reason: ${String(end["reason"])}.`;
    const turnedAway = lines.filter(line => line["result"] === "not-run").length;
    const ran = lines.filter(line => ["lost", "failed"].includes(String(line["result"]))).length;
    const attempts = `${turnedAway} attempts did not run, ${ran} ran without a usable answer.`;
    return `${sentence}${reason} ${attempts}`;
}

/** Lines before the request's end that name one of its upstreams, or that concern the whole node. */
function contextOf(log: readonly LogLine[], lines: readonly LogLine[]): readonly LogLine[] {
    const startedAt = timeOf(lines[0]!);
    const endedAt = timeOf(lines.at(-1)!);
    const upstreams = new Set(
        lines.flatMap(line => (line["upstream"] === undefined ? [] : [line["upstream"]])),
    );
    return log
        .filter(line => BELIEF_PARTS.includes(String(line["part"])) && line["request"] === undefined)
        .filter(line => line["upstream"] === undefined || upstreams.has(line["upstream"]))
        .filter(line => timeOf(line) >= startedAt - CONTEXT_MILLISECONDS && timeOf(line) <= endedAt)
        .slice(-MOST_CONTEXT_LINES);
}

/**
 * Returns the story of a request, one line each, or `undefined` when the log has no line of it.
 *
 * @param log Lines of one node, in their order.
 */
export function explainRequest(id: string, log: readonly LogLine[]): readonly string[] | undefined {
    const lines = log.filter(line => line["request"] === id);
    if (lines.length === 0) {
        return undefined;
    }
    const startedAt = timeOf(lines[0]!);
    const context = contextOf(log, lines);
    return [
        conclude(lines),
        "",
        `Request ${id}, from ${String(lines[0]!["time"])}:`,
        ...lines.map(line => `  ${describe(line, startedAt)}`),
        ...(context.length === 0 ? [] : ["", "What the node learned before and meanwhile:"]),
        ...context.map(line => `  ${describe(line, startedAt)}`),
    ];
}
