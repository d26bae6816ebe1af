/** In-memory table service and object store with outages and lost responses that tests control. */
import type { ObjectStore } from "../object-store.js";
import { OutsideServiceError } from "../table-service.js";
import { applyTransaction, scanRows } from "../in-memory-table.js";
import type { Row, TableService } from "../table-service.js";

/** Faults of the next calls; read at each call. */
export interface ServiceFaults {
    /** Calls fail without effect. */
    down: boolean;
    /** Returns whether the response of a call that took effect is lost. */
    losesResponse: () => boolean;
    /** Delay of the effect of a call whose response is reported as lost, milliseconds; 0 disables this. */
    lateEffect: () => number;
    /** Delay before a call's effect, and again before its response, milliseconds; called for each delay. */
    delay: () => number;
}

export function createServiceFaults(): ServiceFaults {
    return { down: false, losesResponse: () => false, lateEffect: () => 0, delay: () => 0 };
}

const pause = (milliseconds: number): Promise<void> =>
    milliseconds <= 0 ? Promise.resolve() : new Promise(resolve => setTimeout(resolve, milliseconds));

async function withFaults<Result>(faults: ServiceFaults, effect: () => Result): Promise<Result> {
    await pause(faults.delay());
    if (faults.down) {
        throw new OutsideServiceError("the service is down", "not-applied");
    }
    const late = faults.lateEffect();
    if (late > 0) {
        setTimeout(effect, late);
        throw new OutsideServiceError("the response was lost", "unknown");
    }
    const result = effect();
    const isLost = faults.losesResponse();
    await pause(faults.delay());
    if (isLost) {
        throw new OutsideServiceError("the response was lost", "unknown");
    }
    return result;
}

export interface FakeTableService extends TableService {
    readonly rows: Map<string, Row>;
}

/** @param faults Faults of this client's calls. Clients that get the same `rows` share a table. */
export function createFakeTableService(
    faults: ServiceFaults = createServiceFaults(),
    rows = new Map<string, Row>(),
): FakeTableService {
    return {
        rows,
        transact: transaction => withFaults(faults, () => applyTransaction(rows, transaction)),
        get: key => withFaults(faults, () => rows.get(key)),
        getMany: keys => withFaults(faults, () => keys.flatMap(key => rows.get(key) ?? [])),
        scan: (prefix, options) => withFaults(faults, () => scanRows(rows, prefix, options)),
    };
}

export function createFakeObjectStore(
    faults: ServiceFaults = createServiceFaults(),
    objects = new Map<string, string>(),
): ObjectStore {
    return {
        putIfAbsent: (name, body) =>
            withFaults(faults, () => {
                if (objects.has(name)) {
                    return "exists";
                }
                objects.set(name, body);
                return "created";
            }),
        put: (name, body) => withFaults(faults, () => void objects.set(name, body)),
        get: name => withFaults(faults, () => objects.get(name)),
        list: (prefix, after = "") =>
            withFaults(faults, () =>
                [...objects.keys()]
                    .filter(name => name.startsWith(prefix) && name > after)
                    .sort()
                    .slice(0, 1000),
            ),
    };
}
