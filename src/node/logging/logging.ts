/**
 * Loggers per component, based on loglevel. A line contains the time, the level, the component, a short
 * message and fields, either as text with `key=value` or as one JSON object.
 */
import loglevel from "loglevel";

export type LogLevel = "trace" | "debug" | "info" | "warn" | "error" | "silent";

/** Fields of a line; those that are `undefined` are omitted. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

export interface Logger {
    debug(message: string, fields?: LogFields): void;
    info(message: string, fields?: LogFields): void;
    warn(message: string, fields?: LogFields): void;
    error(message: string, fields?: LogFields): void;
}

export type LoggerFactory = (component: string) => Logger;

export interface LoggingOptions {
    /** Level of the components without an entry in `componentLevels`. */
    readonly level: LogLevel;
    /** Levels of single components, as `component=level`. */
    readonly componentLevels: readonly string[];
    /** Writes one line. */
    readonly write: (line: string) => void;
    /** @default "text" */
    readonly format?: "text" | "json";
}

function formatFields(fields: LogFields | undefined): string {
    return Object.entries(fields ?? {})
        .filter(([, value]) => value !== undefined)
        .map(([key, value]) => {
            const text = String(value);
            return ` ${key}=${/[\s"=]/.test(text) ? JSON.stringify(text) : text}`;
        })
        .join("");
}

export function formatJsonLine(
    component: string,
    level: string,
    message: string,
    fields?: LogFields,
): string {
    return JSON.stringify({ time: new Date().toISOString(), level, part: component, message, ...fields });
}

const LEVELS: Readonly<Record<string, number>> = loglevel.levels as unknown as Record<string, number>;

function createJsonLogger(component: string, level: LogLevel, write: (line: string) => void): Logger {
    const minimumLevel = LEVELS[level.toUpperCase()]!;
    const methodOf = (name: string) => (message: string, fields?: LogFields) => {
        if (LEVELS[name.toUpperCase()]! >= minimumLevel) {
            write(formatJsonLine(component, name, message, fields));
        }
    };
    return {
        debug: methodOf("debug"),
        info: methodOf("info"),
        warn: methodOf("warn"),
        error: methodOf("error"),
    };
}

export function createLogging(options: LoggingOptions): LoggerFactory {
    const levels = new Map(options.componentLevels.map(entry => entry.split("=") as [string, LogLevel]));
    return component => {
        if (options.format === "json") {
            return createJsonLogger(component, levels.get(component) ?? options.level, options.write);
        }
        const logger = loglevel.getLogger(Symbol(component));
        logger.methodFactory = methodName => (line: string) => {
            options.write(`${new Date().toISOString()} ${methodName.toUpperCase()} [${component}] ${line}`);
        };
        logger.setLevel(levels.get(component) ?? options.level, false);
        return {
            debug: (message, fields) => logger.debug(message + formatFields(fields)),
            info: (message, fields) => logger.info(message + formatFields(fields)),
            warn: (message, fields) => logger.warn(message + formatFields(fields)),
            error: (message, fields) => logger.error(message + formatFields(fields)),
        };
    };
}

/** Creates loggers that write nothing, for tests and embedded nodes. */
export const silentLogging: LoggerFactory = createLogging({
    level: "silent",
    componentLevels: [],
    write: () => undefined,
});
