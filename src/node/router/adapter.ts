/** What a router needs from the platform that it runs on. An adapter implements it by translation only. */
import type { HeaderCodec } from "../forwarding/protocol.js";
import type { RowChange } from "../replica/row-replica.js";
import type { RowWrite, SharedStore } from "../replica/shared-store.js";
import type { RoutingConfiguration } from "../routes/entities.js";
import type { RunnerEntry } from "../runners/runner-table.js";
import type { ShiftOrder, ShiftStage } from "../shifts/shift.js";

/** What a row of the configuration table says. */
export type OperatorOrder =
    | { readonly kind: "configuration"; readonly configuration: RoutingConfiguration }
    | { readonly kind: "shift"; readonly order: ShiftOrder }
    /** Nothing may be sent to the upstreams of a data centre. */
    | { readonly kind: "evacuation"; readonly dataCentre: string };

export interface PlatformAdapter {
    readonly codec: HeaderCodec;
    readonly store: SharedStore;
    /** Returns `undefined` for rows that mean nothing to the router. @throws Error when a row cannot be read */
    decodeOrder(row: RowChange): OperatorOrder | undefined;
    /** Returns `undefined` when the entry names no upstream that can be used. */
    decodeRunner(key: string, value: string): RunnerEntry | undefined;
    encodeShiftReport(order: ShiftOrder, stage: ShiftStage): RowWrite;
}
