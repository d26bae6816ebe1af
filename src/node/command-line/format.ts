/** Formats human-readable output. */

/** Replaces control characters with spaces, so that text from a node cannot control the terminal. */
function replaceControlCharacters(text: string): string {
    // eslint-disable-next-line no-control-regex
    return text.replace(/[\u0000-\u001f\u007f-\u009f]/g, " ");
}

function formatCell(value: unknown): string {
    return replaceControlCharacters(typeof value === "string" ? value : (JSON.stringify(value) ?? "-"));
}

/** Formats rows as aligned columns. Columns that hold only numbers are aligned to the right. */
export function formatTable(headings: readonly string[], rows: readonly (readonly unknown[])[]): string {
    const cells = [headings, ...rows.map(row => row.map(formatCell))];
    const widths = headings.map((_, column) => Math.max(...cells.map(row => row[column]?.length ?? 0)));
    const isNumeric = headings.map(
        (_, column) => rows.length > 0 && rows.every(row => typeof row[column] === "number"),
    );
    return cells
        .map(row =>
            row
                .map((cell, column) =>
                    isNumeric[column] === true
                        ? cell.padStart(widths[column]!)
                        : cell.padEnd(widths[column]!),
                )
                .join("  ")
                .trimEnd(),
        )
        .join("\n");
}

/** Formats an object as one line `name  value` per leaf. The names of nested fields are joined with dots. */
export function formatFields(fields: object): string {
    const rows: [string, string][] = [];
    const collect = (prefix: string, value: object): void => {
        for (const [name, item] of Object.entries(value) as [string, unknown][]) {
            if (typeof item === "object" && item !== null && !Array.isArray(item)) {
                collect(`${prefix}${name}.`, item);
            }
            else {
                rows.push([replaceControlCharacters(prefix + name), formatCell(item)]);
            }
        }
    };
    collect("", fields);
    const width = Math.max(0, ...rows.map(([name]) => name.length));
    return rows.map(([name, value]) => `${name.padEnd(width)}  ${value}`).join("\n");
}
