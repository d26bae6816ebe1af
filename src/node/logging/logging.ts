/**
 * Loggers per part, on loglevel. A line has the time, the level, the part's prefix, a short sentence and the
 * key facts, as text with `key=value` or as one JSON object.
 */
import loglevel from "loglevel";

export type LogLevel = "trace" | "debug" | "info" | "warn" | "error" | "silent";

/** Key facts at the end of a line. */
export type LogFacts = Readonly<Record<string, string | number | boolean | undefined>>;

export interface Logger {
    debug(sentence: string, facts?: LogFacts): void;
    info(sentence: string, facts?: LogFacts): void;
    warn(sentence: string, facts?: LogFacts): void;
    error(sentence: string, facts?: LogFacts): void;
}

/** Creates the logger of a part. */
export type LoggerFactory = (part: string) => Logger;

export interface LoggingOptions {
    /** Level of the parts that have none of their own. */
    readonly level: LogLevel;
    /** Levels per part, as `part=level`. */
    readonly parts: readonly string[];
    /** Written to by the loggers; a line each. */
    readonly write: (line: string) => void;
    /** @default "text" */
    readonly format?: "text" | "json";
}

function formatFacts(facts: LogFacts | undefined): string {
    return Object.entries(facts ?? {})
        .filter(([, value]) => value !== undefined)
        .map(([key, value]) => {
            const text = String(value);
            return ` ${key}=${/[\s"=]/.test(text) ? JSON.stringify(text) : text}`;
        })
        .join("");
}

/** Formats a line as one JSON object. */
export function formatJsonLine(part: string, level: string, sentence: string, facts?: LogFacts): string {
    return JSON.stringify({ time: new Date().toISOString(), level, part, message: sentence, ...facts });
}

const LEVELS: Readonly<Record<string, number>> = loglevel.levels as unknown as Record<string, number>;

function createJsonLogger(part: string, level: LogLevel, write: (line: string) => void): Logger {
    const lowest = LEVELS[level.toUpperCase()]!;
    const writerOf = (name: string) => (sentence: string, facts?: LogFacts) => {
        if (LEVELS[name.toUpperCase()]! >= lowest) {
            write(formatJsonLine(part, name, sentence, facts));
        }
    };
    return {
        debug: writerOf("debug"),
        info: writerOf("info"),
        warn: writerOf("warn"),
        error: writerOf("error"),
    };
}

export function createLogging(options: LoggingOptions): LoggerFactory {
    const levels = new Map(options.parts.map(entry => entry.split("=") as [string, LogLevel]));
    return part => {
        if (options.format === "json") {
            return createJsonLogger(part, levels.get(part) ?? options.level, options.write);
        }
        const logger = loglevel.getLogger(Symbol(part));
        logger.methodFactory = methodName => (line: string) => {
            options.write(`${new Date().toISOString()} ${methodName.toUpperCase()} [${part}] ${line}`);
        };
        logger.setLevel(levels.get(part) ?? options.level, false);
        return {
            debug: (sentence, facts) => logger.debug(sentence + formatFacts(facts)),
            info: (sentence, facts) => logger.info(sentence + formatFacts(facts)),
            warn: (sentence, facts) => logger.warn(sentence + formatFacts(facts)),
            error: (sentence, facts) => logger.error(sentence + formatFacts(facts)),
        };
    };
}

/** Loggers that write nothing. For tests and embedded nodes. */
export const silentLogging: LoggerFactory = createLogging({
    level: "silent",
    parts: [],
    write: () => undefined,
});
