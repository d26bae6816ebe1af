/** Reads values of rows that other nodes, versions or writers wrote, and leaves out those that do not fit. */
import * as z from "zod/mini";
import type { Logger } from "../logging/logging.js";
import type { RowChange } from "./row-replica.js";

/** Returns the value of a row, or `undefined` when the row is removed or its value does not fit the schema. */
export type RowReader<Value> = (row: RowChange) => Value | undefined;

/** Creates a reader that checks each row once, and logs one line for a row that it leaves out. */
export function createRowReader<Value>(schema: z.ZodMiniType<Value>, logger: Logger): RowReader<Value> {
    const known = new WeakMap<RowChange, Value | undefined>();

    const read = ({ key, revision, value }: RowChange): Value | undefined => {
        if (value === undefined) {
            return undefined;
        }
        try {
            return schema.parse(JSON.parse(value));
        }
        catch (error) {
            logger.warn("Left out a row that cannot be read.", {
                row: key,
                revision,
                error: (error as Error).message,
            });
            return undefined;
        }
    };

    return row => {
        if (!known.has(row)) {
            known.set(row, read(row));
        }
        return known.get(row);
    };
}
