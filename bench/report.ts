/** Output of a bench run: the JSON line, the table and the comparison with an earlier result. */
import { z } from "zod";
import { formatTable } from "../src/node/command-line/format.js";
import type { Figures, Scenario, ScenarioResult } from "./scenario.js";

const figuresSchema = z.record(z.string(), z.union([z.number(), z.string(), z.boolean(), z.null()]));

const reportSchema = z.object({
    scenario: z.string(),
    seed: z.number(),
    runs: z.string(),
    figures: figuresSchema,
    baselines: z.record(z.string(), figuresSchema),
    violations: z.number(),
});

/** The JSON object in the last line of the output. */
export type Report = Readonly<z.infer<typeof reportSchema>>;

/** Significant digits of numbers in tables; the JSON line has full precision. */
const TABLE_DIGITS = 4;

/** @throws Error when a figure is not finite: JSON would represent it as `null`. */
function checkFigures(owner: string, figures: Figures): Figures {
    for (const [name, value] of Object.entries(figures)) {
        if (typeof value === "number" && !Number.isFinite(value)) {
            throw new Error(`figure "${name}" of ${owner} is ${value}`);
        }
    }
    return figures;
}

/** @throws Error when a figure is not finite, or the number of violations is not an integer of 0 or above. */
export function createReport(scenario: Scenario, seed: number, result: ScenarioResult): Report {
    if (!Number.isSafeInteger(result.violations) || result.violations < 0) {
        throw new Error(`the number of violations is ${result.violations}`);
    }
    return {
        scenario: scenario.name,
        seed,
        runs: scenario.runs,
        figures: checkFigures("the router", result.figures),
        baselines: Object.fromEntries(
            Object.entries(result.baselines).map(([name, figures]) => [name, checkFigures(name, figures)]),
        ),
        violations: result.violations,
    };
}

function formatFigure(value: Figures[string] | undefined): string {
    if (typeof value !== "number") {
        return value === undefined ? "-" : String(value);
    }
    return Number.isInteger(value) ? String(value) : String(Number(value.toPrecision(TABLE_DIGITS)));
}

/** Formats `value / reference`; `-` when one is not a number or the reference is 0. */
function formatRatio(value: Figures[string] | undefined, reference: Figures[string] | undefined): string {
    return typeof value === "number" && typeof reference === "number" && reference !== 0
        ? (value / reference).toFixed(3)
        : "-";
}

/** Formats the figures of the router next to those of each baseline, with ratios router / baseline. */
export function formatReport(report: Report): string {
    const baselines = Object.entries(report.baselines);
    const headings = ["figure", "product", ...baselines.flatMap(([name]) => [name, "ratio"])];
    const rows = Object.entries(report.figures).map(([name, value]) => [
        name,
        formatFigure(value),
        ...baselines.flatMap(([, figures]) => [
            formatFigure(figures[name]),
            formatRatio(value, figures[name]),
        ]),
    ]);
    return [
        `${report.scenario}, seed ${report.seed}, ${report.runs}`,
        formatTable(headings, rows),
        `violations: ${report.violations}`,
    ].join("\n");
}

/** Formats the figures next to those of an earlier result, with ratios now / earlier. */
export function formatComparison(report: Report, earlier: Report): string {
    const names = new Set([...Object.keys(report.figures), ...Object.keys(earlier.figures)]);
    const rows = [...names].map(name => [
        name,
        formatFigure(report.figures[name]),
        formatFigure(earlier.figures[name]),
        formatRatio(report.figures[name], earlier.figures[name]),
    ]);
    const seeds = report.seed === earlier.seed ? "" : ` (seed ${report.seed}, earlier ${earlier.seed})`;
    return [
        `compared with the earlier result${seeds}`,
        formatTable(["figure", "now", "earlier", "ratio"], rows),
    ].join("\n");
}

/**
 * Parses the output of an earlier run, whose last line is the JSON line.
 *
 * @throws Error when the last line is not a report or belongs to another scenario.
 */
export function parseEarlierReport(text: string, scenario: string): Report {
    const report = reportSchema.parse(JSON.parse(text.trim().split("\n").at(-1) ?? ""));
    if (report.scenario !== scenario) {
        throw new Error(`the earlier result is of scenario "${report.scenario}"`);
    }
    return report;
}

/** Formats series as CSV, one point per line. */
export function formatSeries(series: NonNullable<ScenarioResult["series"]>): string {
    const quote = (text: string): string => (/[",\n]/.test(text) ? `"${text.replaceAll('"', '""')}"` : text);
    const lines = Object.entries(series).flatMap(([name, points]) =>
        points.map(([x, y]) => `${quote(name)},${x},${y}`),
    );
    return ["series,x,y", ...lines, ""].join("\n");
}
