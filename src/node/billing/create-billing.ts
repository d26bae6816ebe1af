/** Connects the billing system, which performs no I/O, to the ticker, the object store and the peers. */
import type { Clock } from "../common/clock.js";
import { rendezvousOrder } from "../common/hash.js";
import type { JsonValue } from "../common/json.js";
import type { Random } from "../common/random.js";
import type { Invariants } from "../invariants/invariants.js";
import type { Lifecycle } from "../lifecycle/lifecycle.js";
import type { Logger } from "../logging/logging.js";
import type { Member, MembershipView } from "../membership/membership.js";
import type { Metrics } from "../metrics/metrics.js";
import { PeerError } from "../peers/peers.js";
import type { Peers } from "../peers/peers.js";
import type { ObjectStore } from "../outside-services/object-store.js";
import type { Ticker } from "../ticker/ticker.js";
import { encodeBill, logName, objectName, splitLines } from "./bill-codec.js";
import type { Billing } from "./billing.js";
import { createBillingSystem } from "./billing-system.js";
import type { BillingAction, CopyPeer } from "./billing-system.js";
import * as constants from "./constants.js";
import { copyMessageSchema, flushedMessageSchema } from "./copies.js";
import type { LogAnswer, LogCall } from "./log-writer.js";

export interface BillingOptions {
    readonly objectStore: ObjectStore;
    readonly peers: Peers;
    readonly membership: MembershipView;
    readonly ticker: Ticker;
    readonly lifecycle: Lifecycle;
    readonly clock: Clock;
    readonly random: Random;
    readonly invariants: Invariants;
    readonly metrics: Metrics;
    readonly logger: Logger;
    /**
     * Size of unwritten bills in memory at which new requests are rejected: `limits.billMemoryBytes` of the
     * settings.
     */
    readonly billMemoryBytes: number;
    readonly tuning?: Partial<BillingTuning>;
}

export interface BillingTuning {
    /** Copies of each batch at different peers. @default 3 */
    readonly copies: number;
    /** Maximum size of the copies held for other nodes. @default 33554432 */
    readonly copyMemoryBytes: number;
    /**
     * Maximum size of an object, and the size of unwritten bills at which one is written early.
     *
     * @default 1048576
     */
    readonly maximumObjectBytes: number;
    /** Interval between two objects, before jitter. @default 10000 */
    readonly flushIntervalMilliseconds: number;
    /** Timeout of a call that copies a batch to a peer. @default 500 */
    readonly copyTimeoutMilliseconds: number;
}

const DEFAULT_TUNING: BillingTuning = {
    copies: constants.COPIES,
    copyMemoryBytes: constants.COPY_MEMORY_BYTES,
    maximumObjectBytes: constants.MAXIMUM_OBJECT_BYTES,
    flushIntervalMilliseconds: constants.FLUSH_INTERVAL_MILLISECONDS,
    copyTimeoutMilliseconds: constants.COPY_TIMEOUT_MILLISECONDS,
};

/**
 * Returns the peers that may hold copies, best first: `alive` before other states, then the local region
 * first. Peers of the local data centre are used only when there are no others.
 */
export function orderCopyPeers(self: Member, active: readonly Member[]): readonly Member[] {
    const byId = new Map(active.filter(({ id }) => id !== self.id).map(member => [member.id, member]));
    const others = rendezvousOrder(`bills ${self.id}`, [...byId.keys()]).map(id => byId.get(id)!);
    const remote = others.filter(member => member.dataCentre !== self.dataCentre);
    const copyCandidates = remote.length > 0 ? remote : others;
    const rank = (member: Member): number =>
        (member.state === "alive" ? 0 : 2) + (member.region === self.region ? 0 : 1);
    return [...copyCandidates].sort((a, b) => rank(a) - rank(b));
}

export function createBilling(options: BillingOptions): Billing {
    const { clock, invariants, lifecycle, logger, membership, metrics, objectStore, peers } = options;
    const tuning = { ...DEFAULT_TUNING, ...options.tuning };
    const { self } = membership;
    const recordWaiters = new Map<string, () => void>();
    const copyWaiters = new Map<number, (accepted: boolean) => void>();
    const flushWaiters = new Map<number, () => void>();
    let nextCall = 1;
    let wakeTimer: NodeJS.Timeout | undefined;
    let stopped = false;

    let copyCandidates = { peers: [] as readonly CopyPeer[], until: -Infinity };
    const copyPeers = (): readonly CopyPeer[] => {
        const now = clock.now();
        if (now >= copyCandidates.until) {
            copyCandidates = {
                peers: orderCopyPeers(self, membership.active()),
                until: now + constants.PEER_ORDER_CACHE_MILLISECONDS,
            };
        }
        return copyCandidates.peers;
    };

    const system = createBillingSystem({
        self: { id: self.id, incarnation: self.incarnation, log: logName(self.id, self.incarnation) },
        copies: tuning.copies,
        copyPeers,
        findPeer: id => {
            const member = membership.members.get(id);
            return member === undefined || member.state === "left"
                ? undefined
                : { address: member.address, isReachable: member.state !== "dead" };
        },
        isGone: (owner, incarnation) => {
            const member = membership.members.get(owner);
            return (
                member === undefined ||
                member.incarnation > incarnation ||
                member.state === "dead" ||
                member.state === "left"
            );
        },
        copyMemoryBytes: tuning.copyMemoryBytes,
        maximumObjectBytes: tuning.maximumObjectBytes,
        flushIntervalMilliseconds: tuning.flushIntervalMilliseconds,
        random: options.random,
    });

    const callStore = async (log: string, call: LogCall): Promise<LogAnswer> => {
        const name = objectName(log, call.number);
        if (call.kind === "put") {
            return { kind: await objectStore.putIfAbsent(name, call.body) };
        }
        const body = await objectStore.get(name);
        return body === undefined ? { kind: "failed" } : { kind: "body", lines: splitLines(body) };
    };

    const executeStoreCall = async (log: string, call: LogCall): Promise<void> => {
        const startedAt = clock.now();
        const answer = await callStore(log, call).catch((error: Error): LogAnswer => {
            logger.warn("A call to the object store failed.", {
                log,
                number: call.number,
                error: error.message,
            });
            return { kind: "failed" };
        });
        metrics.timing("billing.store", clock.now() - startedAt);
        metrics.count("billing.storeCalls", 1, { call: call.kind, result: answer.kind });
        attachment.post({ kind: "stored", log, answer });
    };

    const executeCopy = async (action: Extract<BillingAction, { kind: "copy" }>): Promise<void> => {
        const { address, message, peer } = action;
        const fields = {
            kind: "copyEnded",
            batch: message.batch,
            peer,
            flushedThrough: message.flushedThrough,
        };
        const startedAt = clock.now();
        // `result` is a metric tag: its values are outer names.
        const post = (result: "accepted" | "refused" | "unknown"): void => {
            metrics.timing("billing.copy", clock.now() - startedAt);
            metrics.count("billing.copies", 1, { result });
            attachment.post({ ...fields, kind: "copyEnded", result });
        };
        try {
            await peers.call(address, constants.COPY_METHOD, message, tuning.copyTimeoutMilliseconds);
            post("accepted");
        }
        catch (error) {
            post(error instanceof PeerError && error.verdict !== "may-have-run" ? "refused" : "unknown");
        }
    };

    const executeNotice = async (action: Extract<BillingAction, { kind: "notice" }>): Promise<void> => {
        const { address, message, peer } = action;
        const succeeded = await peers.call(address, constants.FLUSHED_METHOD, message).then(
            () => true,
            () => false,
        );
        attachment.post({ kind: "noticeEnded", peer, through: message.through, succeeded });
    };

    const scheduleWake = (at: number): void => {
        if (stopped || wakeTimer !== undefined) {
            return;
        }
        const run = (): void => {
            wakeTimer = undefined;
            options.ticker.wake();
        };
        wakeTimer = setTimeout(run, Math.max(1, Math.ceil(at - clock.now())));
    };

    const resolveWaiter = <Key, Value>(
        waiters: Map<Key, (value: Value) => void>,
        key: Key,
        value: Value,
    ): void => {
        const resolve = waiters.get(key);
        waiters.delete(key);
        resolve?.(value);
    };

    const execute = (action: BillingAction): void => {
        switch (action.kind) {
            case "recorded":
                action.requestIds.forEach(id => resolveWaiter(recordWaiters, id, undefined));
                break;
            case "copy":
                void executeCopy(action);
                break;
            case "notice":
                void executeNotice(action);
                break;
            case "store":
                void executeStoreCall(action.log, action.call);
                break;
            case "answerCopy":
                resolveWaiter(copyWaiters, action.call, action.accepted);
                break;
            case "flushed":
                resolveWaiter(flushWaiters, action.call, undefined);
                break;
            case "wake":
                scheduleWake(action.at);
                break;
        }
    };

    const attachment = options.ticker.attach("billing", system.step, execute);

    peers.handle(constants.COPY_METHOD, async params => {
        const message = copyMessageSchema.parse(params);
        const call = nextCall++;
        const accepted = await new Promise<boolean>(resolve => {
            copyWaiters.set(call, resolve);
            attachment.post({ kind: "copyReceived", call, message });
        });
        if (!accepted) {
            throw new Error("this node accepts no further copies of bills");
        }
        return true;
    });

    peers.handle(constants.FLUSHED_METHOD, (params: JsonValue) => {
        attachment.post({ kind: "flushedReceived", message: flushedMessageSchema.parse(params) });
        return true;
    });

    const reportMemory = (): void => {
        metrics.gauge("billing.unwrittenBytes", system.heldBytes);
        metrics.gauge("billing.copyBytes", system.copyBytes);
    };

    lifecycle.add({
        name: "billing",
        start: () => {
            const gauges = setInterval(reportMemory, constants.GAUGE_INTERVAL_MILLISECONDS);
            return () => {
                stopped = true;
                clearInterval(gauges);
                clearTimeout(wakeTimer);
                const { unwrittenBills } = system.dump();
                if (unwrittenBills > 0) {
                    logger.warn("Bills were not written to the object store before the node stopped.", {
                        count: unwrittenBills,
                    });
                }
            };
        },
    });

    return {
        hasCapacity: () => system.heldBytes < options.billMemoryBytes,
        record: bill => {
            const isNew = !recordWaiters.has(bill.requestId) && !system.isKnown(bill.requestId);
            invariants.assert("billed-once", isNew, () => `request ${bill.requestId} already has a bill`);
            if (!isNew) {
                return Promise.resolve();
            }
            return new Promise(resolve => {
                recordWaiters.set(bill.requestId, resolve);
                attachment.post({ kind: "record", line: encodeBill(bill) });
            });
        },
        flush: () =>
            new Promise(resolve => {
                const call = nextCall++;
                flushWaiters.set(call, resolve);
                attachment.post({ kind: "flush", call });
            }),
        dump: () => ({ ...system.dump(), memoryLimitBytes: options.billMemoryBytes }),
    };
}
