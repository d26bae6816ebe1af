/**
 * State of an engine stand-in: loaded versions, role and current order. Performs no I/O.
 * `docs/engine-protocol.md` describes the protocol.
 */
import type { EngineOrder, EngineRole } from "../../src/node/orders/messages.js";

export interface EngineOrdersOptions {
    /** Versions that are loaded at the start, as `MODEL/VERSION`. */
    readonly initialVersions: readonly string[];
    /** Number of versions that fit into the engine's memory. */
    readonly slots: number;
    readonly loadMilliseconds: number;
    /** Rejects orders whose fencing token is lower than the highest accepted one. */
    readonly checksFencing: boolean;
    /** Rejects expired orders. */
    readonly checksExpiry: boolean;
    /**
     * Unloads versions immediately and breaks their streams, in violation of the protocol. For tests of the
     * checks that the holder of the lease makes itself.
     *
     * @default false
     */
    readonly unloadsAtOnce?: boolean;
    /** Milliseconds on a monotonic clock. */
    readonly now: () => number;
    /** Milliseconds since the epoch. */
    readonly wallTime: () => number;
    /** Number of open streams of the version. */
    readonly runningStreams: (version: string) => number;
    /** Called when a load starts. */
    readonly onLoad?: (version: string, permit: string) => void;
    /** Called after a version was unloaded. */
    readonly onUnload?: (version: string) => void;
}

export interface EngineOrderAnswer {
    readonly status: 200 | 409 | 410;
    readonly body: Readonly<Record<string, unknown>>;
}

export interface EngineOrders {
    accept(order: EngineOrder): EngineOrderAnswer;
    /** Body of `GET /orders`, except for the boot id. */
    state(): Readonly<Record<string, unknown>>;
    /** Whether the engine accepts new streams of the version. */
    serves(version: string): boolean;
    /** Completes loads and performs pending unloads. Must be called periodically. */
    advance(): void;
    /** Resets the state to that of a started process: also clears the order and the highest fencing token. */
    restart(): void;
}

export function createEngineOrders(options: EngineOrdersOptions): EngineOrders {
    const loaded = new Set<string>();
    const loading = new Map<string, number>();
    /** Loaded versions that the current order does not list and that still have open streams. */
    const unloading = new Set<string>();
    const usedPermits = new Set<string>();
    let role: EngineRole = "mixed";
    let highestFencingToken = 0n;
    let order: EngineOrder | undefined;

    const restart = (): void => {
        loaded.clear();
        loading.clear();
        unloading.clear();
        options.initialVersions.forEach(version => loaded.add(version));
        highestFencingToken = 0n;
        order = undefined;
        role = "mixed";
    };

    const startLoads = (current: EngineOrder): void => {
        for (const version of current.versions) {
            const permit = current.permits[version];
            const isPresent = loaded.has(version) || loading.has(version) || unloading.has(version);
            const isFull = loaded.size + loading.size + unloading.size >= options.slots;
            if (!isPresent && !isFull && permit !== undefined && !usedPermits.has(permit)) {
                usedPermits.add(permit);
                loading.set(version, options.now());
                options.onLoad?.(version, permit);
            }
        }
    };

    const advance = (): void => {
        for (const [version, startedAt] of loading) {
            if (options.now() - startedAt >= options.loadMilliseconds) {
                loading.delete(version);
                loaded.add(version);
            }
        }
        if (order === undefined) {
            return;
        }
        if (options.checksExpiry && options.wallTime() >= order.expiresAt) {
            // An expired order starts nothing, so that it cannot take effect under a later holder.
            unloading.forEach(version => loaded.add(version));
            unloading.clear();
            order = undefined;
            return;
        }
        for (const version of unloading) {
            if (options.unloadsAtOnce === true || options.runningStreams(version) === 0) {
                unloading.delete(version);
                options.onUnload?.(version);
            }
        }
        startLoads(order);
    };

    const apply = (accepted: EngineOrder): void => {
        order = accepted;
        role = accepted.role;
        for (const version of [...loaded]) {
            if (!accepted.versions.includes(version)) {
                loaded.delete(version);
                unloading.add(version);
            }
        }
        for (const version of accepted.versions) {
            if (unloading.delete(version)) {
                loaded.add(version);
            }
        }
        for (const version of [...loading.keys()]) {
            if (!accepted.versions.includes(version)) {
                loading.delete(version);
            }
        }
        advance();
    };

    restart();
    return {
        accept: received => {
            const fencing = BigInt(received.fencing);
            if (options.checksExpiry && options.wallTime() >= received.expiresAt) {
                return { status: 410, body: { error: "the order has expired" } };
            }
            if (options.checksFencing && fencing < highestFencingToken) {
                return {
                    status: 409,
                    body: { error: "the fencing token is too old", fencing: highestFencingToken.toString() },
                };
            }
            highestFencingToken = fencing > highestFencingToken ? fencing : highestFencingToken;
            apply(received);
            return { status: 200, body: { order: received.id } };
        },
        state: () => ({
            role,
            slots: options.slots,
            loaded: [...loaded],
            loading: [...loading].map(([version, startedAt]) => ({
                version,
                progress: Math.min(1, (options.now() - startedAt) / options.loadMilliseconds),
            })),
            unloading: [...unloading],
            fencing: highestFencingToken.toString(),
            order: order?.id,
            streams: Object.fromEntries(
                [...loaded, ...unloading].map(version => [version, options.runningStreams(version)]),
            ),
        }),
        serves: version => loaded.has(version),
        advance,
        restart,
    };
}
