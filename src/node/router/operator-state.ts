/** Current orders of the operators, decoded from the rows of the configuration table. */
import type { Clock } from "../common/clock.js";
import type { Logger } from "../logging/logging.js";
import type { RowChange } from "../replica/row-replica.js";
import { createRouteTable } from "../routes/route-table.js";
import type { RouteTable } from "../routes/route-table.js";
import type { ShiftOrder } from "../shifts/shift.js";
import type { OperatorOrder } from "./adapter.js";

export interface OperatorState {
    apply(changes: readonly RowChange[]): void;
    /** `undefined` before the first configuration. */
    routes(): RouteTable | undefined;
    shiftOrders(): readonly ShiftOrder[];
    isEvacuated(dataCentre: string): boolean;
    evacuated(): readonly string[];
}

export interface OperatorStateOptions {
    readonly decode: (row: RowChange) => OperatorOrder | undefined;
    readonly onConfiguration: (table: RouteTable) => void;
    readonly clock: Clock;
    readonly logger: Logger;
}

export function createOperatorState(options: OperatorStateOptions): OperatorState {
    const { logger } = options;
    const orders = new Map<string, OperatorOrder>();
    let table: RouteTable | undefined;

    const remove = (key: string): void => {
        const order = orders.get(key);
        // A removed configuration stays in force until another one replaces it.
        if (order === undefined || order.kind === "configuration") {
            return;
        }
        orders.delete(key);
        logger.info("An order was withdrawn.", { order: key });
    };

    const put = (row: RowChange): void => {
        let order: OperatorOrder | undefined;
        let decodedTable: RouteTable | undefined;
        try {
            order = options.decode(row);
            decodedTable =
                order?.kind === "configuration" ? createRouteTable(order.configuration) : undefined;
        }
        catch (error) {
            logger.error("Could not read an order; going on with the one before.", {
                order: row.key,
                revision: row.revision,
                error: (error as Error).message,
            });
            return;
        }
        if (order === undefined) {
            return;
        }
        orders.set(
            row.key,
            order.kind === "shift"
                ? { ...order, order: { ...order.order, receivedAt: options.clock.now() } }
                : order,
        );
        if (order.kind === "configuration" && decodedTable !== undefined) {
            table = decodedTable;
            logger.info("A configuration is in force.", {
                version: order.configuration.version,
                revision: row.revision,
                routes: order.configuration.routes.length,
            });
            options.onConfiguration(table);
        }
        else {
            logger.info("An order is in force.", { order: row.key, revision: row.revision });
        }
    };

    const ofKind = <Kind extends OperatorOrder["kind"]>(kind: Kind) =>
        [...orders.values()].filter(
            (order): order is Extract<OperatorOrder, { kind: Kind }> => order.kind === kind,
        );

    return {
        apply: changes => {
            for (const row of changes) {
                if (row.value === undefined) {
                    remove(row.key);
                }
                else {
                    put(row);
                }
            }
        },
        routes: () => table,
        shiftOrders: () => ofKind("shift").map(({ order }) => order),
        isEvacuated: dataCentre => ofKind("evacuation").some(order => order.dataCentre === dataCentre),
        evacuated: () => ofKind("evacuation").map(order => order.dataCentre),
    };
}
