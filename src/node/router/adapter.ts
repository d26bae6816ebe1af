/** Interface to the platform that a router runs on. Adapters only translate and make no routing decisions. */
import type { HeaderCodec } from "../forwarding/protocol.js";
import type { SendDuty } from "../duties/duty-receiver.js";
import type { RowChange } from "../replica/row-replica.js";
import type { RowWrite, SharedStore } from "../replica/shared-store.js";
import type { RoutingConfiguration } from "../routes/entities.js";
import type { UpstreamEntry } from "../upstream-table/upstream-table.js";
import type { ShiftOrder, ShiftStage } from "../shifts/shift.js";

/** Content of a row of the configuration table. */
export type OperatorOrder =
    | { readonly kind: "configuration"; readonly configuration: RoutingConfiguration }
    | { readonly kind: "shift"; readonly order: ShiftOrder }
    /** Blocks requests to the upstreams of a data centre. */
    | { readonly kind: "evacuation"; readonly dataCentre: string };

export interface PlatformAdapter {
    readonly codec: HeaderCodec;
    readonly store: SharedStore;
    /** Returns `undefined` for rows that the router does not use. @throws Error when a row is malformed */
    decodeOrder(row: RowChange): OperatorOrder | undefined;
    /**
     * Compares the age of two values of a row: positive when the candidate is the later one, negative when it is
     * the earlier one, 0 when the values do not tell.
     */
    compareAge(table: "configuration" | "runners", candidate: RowChange, known: RowChange): number;
    /** Returns `undefined` when the entry does not describe a valid upstream. */
    decodeUpstream(key: string, value: string): UpstreamEntry | undefined;
    /** Calls of the duties of one node at a time. Absent without the section `[duties]`. */
    readonly sendDuty?: SendDuty;
    encodeShiftReport(order: ShiftOrder, stage: ShiftStage): RowWrite;
}
