/** Membership of a node: connects the failure detector to the ticker, the peers and the table service. */
import type { JsonObject, JsonValue } from "../common/json.js";
import type { Random } from "../common/random.js";
import type { Lifecycle } from "../lifecycle/lifecycle.js";
import type { Logger } from "../logging/logging.js";
import type { Peers } from "../peers/peers.js";
import type { TableService } from "../outside-services/table-service.js";
import type { Ticker } from "../ticker/ticker.js";
import {
    EARLY_SCAN_DELAYS_MILLISECONDS,
    NEW_MEMBERS_BEFORE_SCAN,
    NEW_MEMBERS_SCAN_DELAY_MILLISECONDS,
    PING_REQUEST_TIMEOUT_MILLISECONDS,
    PING_TIMEOUT_MILLISECONDS,
    SCAN_INTERVAL_MILLISECONDS,
    TABLE_RETRY_INTERVAL_MILLISECONDS,
    UPDATES_PER_MESSAGE,
} from "./constants.js";
import { createDetector } from "./detector.js";
import type { DetectorAction, DetectorEvent } from "./detector.js";
import type { Member, Membership, PingDigest } from "./membership.js";
import { NODE_ROW_PREFIX, PING_METHOD, PING_REQUEST_METHOD, rowValue, updateOfRow } from "./messages.js";
import type { PingMessage, PingRequestAnswer, PingRequestMessage } from "./messages.js";

export interface MembershipOptions {
    readonly id: string;
    /**
     * Number that identifies this start of the process. It is higher than that of any earlier start of the
     * same node; for example the wall-clock time at the start in milliseconds.
     */
    readonly incarnation: number;
    /** Returns the base URL of this node's peers listener. Called on start, when the listener is running. */
    readonly address: () => string;
    readonly dataCentre: string;
    readonly region: string;
    /** Base URLs of peers to contact while no other member is known. */
    readonly seeds: readonly string[];
    readonly peers: Peers;
    readonly tableService: TableService;
    readonly ticker: Ticker;
    readonly lifecycle: Lifecycle;
    /** Monotonic time in milliseconds. */
    readonly now: () => number;
    readonly random: Random;
    readonly logger: Logger;
}

/** Maximum rows per scan call. */
const SCAN_PAGE_ROWS = 1000;

/** Creates the membership and adds it to the lifecycle; the peers and the ticker must be added before. */
export function createMembership(options: MembershipOptions): Membership {
    const { peers, tableService, now, logger } = options;
    const { id, incarnation, dataCentre, region } = options;
    const createDetectorAt = (address: string): ReturnType<typeof createDetector> =>
        createDetector({
            self: { id, incarnation, address, dataCentre, region, state: "alive" },
            seeds: options.seeds,
            random: options.random,
        });
    // The address is known only after the listener has started; a new detector is created then.
    let detector = createDetectorAt("");
    let started = false;
    let stopped = false;
    /** Cached result of `active()`; `undefined` after a change. */
    let activeMembers: readonly Member[] | undefined;
    /** Cached result of `roster()`; `undefined` after a change. */
    let rosterIds: readonly string[] | undefined;
    let timer: NodeJS.Timeout | undefined;
    let scanCount = 0;
    /** Time of the next scheduled scan, milliseconds. */
    let nextScanAt = Infinity;
    /** Members reported by other nodes that the last scan did not find. */
    const unscannedMembers = new Set<string>();
    let rowIds: ReadonlySet<string> = new Set();
    /** Attached digests by name. Their values are sent with every ping. */
    const digests = new Map<string, PingDigest>();
    const listeners: ((member: Member) => void)[] = [];

    const self = (): Member => detector.table.members.get(id)!;

    const readDigests = (): JsonObject | undefined => {
        const entries = [...digests.values()]
            .map(digest => [digest.name, digest.read()] as const)
            .filter(([, value]) => value !== undefined);
        return entries.length === 0 ? undefined : (Object.fromEntries(entries) as JsonObject);
    };

    /** `notBefore` is the earliest local time at which the sender may have read the values, if known. */
    const receiveDigests = (message: PingMessage, notBefore: number | undefined): void => {
        for (const [name, value] of Object.entries(message.digests ?? {})) {
            if (value !== undefined) {
                const address = detector.table.members.get(message.from)?.address;
                digests.get(name)?.receive({ from: message.from, address, value, notBefore });
            }
        }
    };

    const withDigests = <Message extends PingMessage>(message: Message): Message => ({
        ...message,
        digests: readDigests(),
    });

    const ping = async (address: string, message: PingMessage): Promise<PingMessage> => {
        const sentAt = now();
        const reply = (await peers.call(
            address,
            PING_METHOD,
            withDigests(message),
            PING_TIMEOUT_MILLISECONDS,
        )) as unknown as PingMessage;
        system.post({ kind: "received", message: reply });
        receiveDigests(reply, sentAt);
        return reply;
    };

    const requestPing = async (
        address: string,
        target: string,
        message: PingMessage,
    ): Promise<PingRequestAnswer> => {
        const request: PingRequestMessage = { ...withDigests(message), target };
        const sentAt = now();
        const reply = (await peers.call(
            address,
            PING_REQUEST_METHOD,
            request,
            PING_REQUEST_TIMEOUT_MILLISECONDS,
        )) as unknown as PingRequestAnswer;
        system.post({ kind: "received", message: reply });
        receiveDigests(reply, sentAt);
        return reply;
    };

    const reportProbe = (probe: number | undefined, reached: Promise<boolean>): void => {
        reached
            .catch(() => false)
            .then(result => {
                if (probe !== undefined && !stopped) {
                    system.post({ kind: result ? "probe-answered" : "probe-failed", probe });
                }
            })
            .catch((error: unknown) =>
                logger.error("Could not process the result of a probe", { error: String(error) }),
            );
    };

    const removeRow = async (member: Member): Promise<void> => {
        const key = NODE_ROW_PREFIX + member.id;
        const result = await tableService.transact({
            // Keeps the row of a node that has restarted, which has a higher incarnation.
            conditions: [{ kind: "field", key, field: "incarnation", equals: member.incarnation }],
            writes: [{ kind: "delete", key }],
        });
        if (result.applied) {
            rowIds = new Set([...rowIds].filter(rowId => rowId !== member.id));
            rosterIds = undefined;
        }
    };

    const handleChange = (member: Member): void => {
        activeMembers = undefined;
        rosterIds = undefined;
        if (member.state === "alive" && !rowIds.has(member.id)) {
            unscannedMembers.add(member.id);
            if (unscannedMembers.size >= NEW_MEMBERS_BEFORE_SCAN) {
                scheduleScan(NEW_MEMBERS_SCAN_DELAY_MILLISECONDS);
            }
        }
        logger.info("A member was added or updated", {
            member: member.id,
            state: member.state,
            incarnation: member.incarnation,
        });
        listeners.forEach(listener => listener(member));
    };

    const execute = (action: DetectorAction): void => {
        switch (action.kind) {
            case "ping":
                reportProbe(
                    action.probe,
                    ping(action.address, action.message).then(() => true),
                );
                break;
            case "ping-request":
                reportProbe(
                    action.probe,
                    requestPing(action.address, action.target, action.message).then(reply => reply.reached),
                );
                break;
            case "answer":
                action.answer(action.message);
                break;
            case "changed":
                handleChange(action.member);
                break;
            case "remove-row":
                removeRow(action.member).catch((error: unknown) =>
                    logger.warn("Could not remove the row of a dead member", {
                        member: action.member.id,
                        error: String(error),
                    }),
                );
                break;
            case "duplicate-id":
                logger.error("Another process uses the id of this node", {
                    id,
                    otherIncarnation: action.incarnation,
                });
                break;
        }
    };

    const system = options.ticker.attach<DetectorEvent, DetectorAction>(
        "membership",
        (events, time) => (started && !stopped ? detector.step(events, time) : []),
        execute,
    );

    /** Passes a message to the detector and resolves with the answer. */
    const receive = (message: PingMessage): Promise<PingMessage> => {
        if (!started || stopped || (message.to !== undefined && message.to !== id)) {
            return Promise.reject(new Error(`the message is for ${message.to ?? "a running node"}`));
        }
        receiveDigests(message, undefined);
        return new Promise(resolve => {
            system.post({ kind: "received", message, answer: reply => resolve(withDigests(reply)) });
        });
    };

    peers.handle(PING_METHOD, params => receive(params as unknown as PingMessage));
    peers.handle(PING_REQUEST_METHOD, async params => {
        const request = params as unknown as PingRequestMessage;
        const target = detector.table.members.get(request.target);
        const relayed =
            target === undefined
                ? Promise.resolve(false)
                : ping(target.address, {
                      from: id,
                      to: target.id,
                      known: detector.table.members.size,
                      updates: [],
                  }).then(
                      () => true,
                      () => false,
                  );
        const [reply, reached] = await Promise.all([receive(request), relayed]);
        const answer: PingRequestAnswer = { ...reply, reached };
        return answer as JsonValue;
    });

    const scan = async (): Promise<void> => {
        let after: string | undefined;
        const found = new Set<string>();
        for (;;) {
            const rows = await tableService.scan(NODE_ROW_PREFIX, { after, limit: SCAN_PAGE_ROWS });
            const updates = rows.flatMap(row => updateOfRow(row.key, row.value) ?? []);
            updates.forEach(update => found.add(update.id));
            system.post({ kind: "rows", updates });
            after = rows.at(-1)?.key;
            if (rows.length < SCAN_PAGE_ROWS || after === undefined) {
                rowIds = found;
                rosterIds = undefined;
                return;
            }
        }
    };

    const putRow = async (): Promise<void> => {
        await tableService.transact({
            conditions: [],
            writes: [
                { kind: "put", key: NODE_ROW_PREFIX + id, value: rowValue(detector.table.members.get(id)!) },
            ],
        });
        rowIds = new Set([...rowIds, id]);
    };

    const maintainRows = async (): Promise<void> => {
        nextScanAt = Infinity;
        if (self().state === "left") {
            return;
        }
        let wait = EARLY_SCAN_DELAYS_MILLISECONDS[scanCount] ?? SCAN_INTERVAL_MILLISECONDS;
        try {
            if (!rowIds.has(id)) {
                await putRow();
            }
            await scan();
            scanCount += 1;
            unscannedMembers.clear();
        }
        catch (error) {
            wait = TABLE_RETRY_INTERVAL_MILLISECONDS;
            logger.warn("Could not read or write the node rows; trying again", { error: String(error) });
        }
        scheduleScan(wait);
    };

    /** Schedules a scan after about the given time, unless an earlier one is scheduled. */
    const scheduleScan = (milliseconds: number): void => {
        const at = now() + milliseconds * (0.5 + options.random());
        // A node that has left must not write its row again.
        if (!stopped && self().state !== "left" && at < nextScanAt) {
            clearTimeout(timer);
            nextScanAt = at;
            timer = setTimeout(() => void maintainRows(), at - now());
        }
    };

    options.lifecycle.add({
        name: "membership",
        start: () => {
            detector = createDetectorAt(options.address());
            started = true;
            void maintainRows();
            return () => {
                stopped = true;
                clearTimeout(timer);
            };
        },
    });

    return {
        get self() {
            return self();
        },
        get members() {
            return detector.table.members;
        },
        active: () =>
            (activeMembers ??= [...detector.table.members.values()].filter(
                member => member.id === id || member.state === "alive" || member.state === "suspect",
            )),
        roster: () => {
            if (rosterIds === undefined) {
                const known = [...detector.table.members.values()].filter(member => member.state !== "left");
                rosterIds = [...new Set([...rowIds, ...known.map(member => member.id)])].sort();
            }
            return rosterIds;
        },
        attachDigest: digest => {
            if (digests.has(digest.name)) {
                throw new Error(`digest "${digest.name}" is already attached`);
            }
            digests.set(digest.name, digest);
        },
        onChange: listener => {
            listeners.push(listener);
        },
        announceLeaving: () => system.post({ kind: "announce", state: "leaving" }),
        announceLeft: async () => {
            detector.step([{ kind: "announce", state: "left" }], now());
            const update = detector.table.updateOf(id)!;
            const receivers = [...detector.table.members.values()]
                .filter(member => member.id !== id && member.state === "alive")
                .sort(() => options.random() - 0.5)
                .slice(0, UPDATES_PER_MESSAGE);
            await Promise.allSettled([
                ...receivers.map(member =>
                    ping(member.address, { from: id, to: member.id, known: 1, updates: [update] }),
                ),
                removeRow(self()),
            ]);
        },
    };
}
