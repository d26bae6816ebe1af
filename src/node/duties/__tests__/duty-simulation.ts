/**
 * Simulation of the lease of duties: nodes with clocks of their own, a store that fails and is restored, and a
 * receiver that records what it gets. Virtual time, no network.
 */
import { createSeededRandom } from "../../common/random.js";
import { createRowReplica, preferStored } from "../../replica/row-replica.js";
import type { RowReplica } from "../../replica/row-replica.js";
import type { StoreTransaction } from "../../replica/shared-store.js";
import {
    LEASE_ROW_KEY,
    applyWriteAnswer,
    holdOf,
    initialDutyLease,
    isHolding,
    stepLease,
} from "../duty-lease.js";
import type { DutyLeaseState, Instant, LeaseWrite } from "../duty-lease.js";

export const SEPARATION_MILLISECONDS = 3000;
export const THAW_SLACK_MILLISECONDS = 300;

/** A call as the receiver got it. */
export interface ReceivedCall {
    readonly at: number;
    readonly node: string;
    readonly token: number;
}

export interface SimulationResult {
    readonly calls: readonly ReceivedCall[];
    readonly storeCalls: number;
    readonly milliseconds: number;
}

const TICK_MILLISECONDS = 100;
const DURATION_MILLISECONDS = 40_000;
const NODES: readonly string[] = ["a", "b", "c"];
const MAXIMUM_PAUSE_MILLISECONDS = 9000;

/** Longest time between a call and its arrival on a sound path. */
const MAXIMUM_DELIVERY_MILLISECONDS = 150;

interface SimulatedNode {
    readonly name: string;
    /** Undefined while the process is not running. */
    process: { state: DutyLeaseState; replica: RowReplica } | undefined;
    frozenUntil: number;
    cutUntil: number;
    startsAt: number;
    /** Difference of the monotonic clock from true time. */
    monotonicOffset: number;
    wallOffset: number;
    lastDisturbedAt: number;
    incarnation: number;
    /** Time at which the node runs again and sends what it had checked before its freeze. */
    heldCall: { readonly token: number } | undefined;
}

interface StoredRow {
    readonly value: string;
    readonly revision: number;
}

interface Copy {
    readonly at: number;
    readonly revision: number;
    readonly rows: ReadonlyMap<string, StoredRow>;
}

/** Runs one random sequence of freezes, partitions, kills, restores and late deliveries. */
export function simulateDuties(seed: number): SimulationResult {
    const random = createSeededRandom(seed);
    const between = (from: number, to: number): number => from + random() * (to - from);
    const calls: ReceivedCall[] = [];
    let events: { readonly at: number; readonly run: () => void }[] = [];
    let now = 0;
    let storeCalls = 0;
    let epoch = 0;
    let revision = 1;
    let rows = new Map<string, StoredRow>();
    let storeAwayUntil = 0;
    const copies: Copy[] = [];
    const later = (milliseconds: number, run: () => void): void => {
        events.push({ at: now + milliseconds, run });
    };

    const nodes: SimulatedNode[] = NODES.map(name => ({
        name,
        process: undefined,
        frozenUntil: 0,
        cutUntil: 0,
        startsAt: between(0, 500),
        monotonicOffset: between(0, 1e6),
        wallOffset: between(-5000, 5000),
        lastDisturbedAt: -Infinity,
        incarnation: 0,
        heldCall: undefined,
    }));

    const instant = (node: SimulatedNode): Instant => ({
        now: now + node.monotonicOffset,
        wall: now + node.wallOffset + 1.7e12,
    });

    const start = (node: SimulatedNode): void => {
        node.incarnation += 1;
        node.process = {
            replica: createRowReplica(preferStored),
            state: initialDutyLease({
                holder: `${node.name}/${node.incarnation}`,
                separationMilliseconds: SEPARATION_MILLISECONDS,
                thawSlackMilliseconds: THAW_SLACK_MILLISECONDS,
                isFencingEnforced: false,
            }),
        };
    };

    const transact = (transaction: StoreTransaction): "applied" | "rejected" | "failed" => {
        storeCalls += 1;
        if (now < storeAwayUntil) {
            return "failed";
        }
        const isMet = transaction.conditions.every(
            condition => (rows.get(condition.key)?.revision ?? 0) === condition.revision,
        );
        if (!isMet) {
            return "rejected";
        }
        revision += 1;
        for (const { key, value } of transaction.writes) {
            rows.set(key, { value: value!, revision });
        }
        return transaction.epoch === epoch ? "applied" : "failed";
    };

    const answer = (
        node: SimulatedNode,
        write: LeaseWrite,
        kind: "applied" | "rejected" | "failed",
    ): void => {
        const { process, incarnation } = node;
        const deliver = (): void => {
            if (node.process === undefined || node.incarnation !== incarnation) {
                return;
            }
            if (now < node.frozenUntil) {
                later(node.frozenUntil - now, deliver);
                return;
            }
            process!.state = applyWriteAnswer(process!.state, write, kind, instant(node).now);
        };
        deliver();
    };

    const send = (node: SimulatedNode, write: LeaseWrite): void => {
        const isLost = random() < 0.05 || now < node.cutUntil;
        later(between(1, 300), () => {
            // A write may arrive although its answer is lost, and long after its sender has given up.
            const result = isLost && random() < 0.5 ? "failed" : transact(write.transaction);
            later(isLost ? 900 : between(1, 300), () => answer(node, write, isLost ? "failed" : result));
        });
    };

    const replicate = (node: SimulatedNode): void => {
        const { replica } = node.process!;
        const isLate = now < node.cutUntil || now < storeAwayUntil || random() < 0.3;
        if (isLate || (replica.epoch === epoch && replica.revision === revision)) {
            return;
        }
        replica.apply({
            epoch,
            revision,
            complete: true,
            rows: [...rows].map(([key, row]) => ({ key, ...row })),
        });
    };

    const deliverCall = (node: SimulatedNode, token: number): void => {
        if (now < node.cutUntil) {
            return;
        }
        later(between(1, MAXIMUM_DELIVERY_MILLISECONDS), () => {
            // What comes right after the end of a freeze or a partition does not count.
            if (now - node.lastDisturbedAt > THAW_SLACK_MILLISECONDS) {
                calls.push({ at: now, node: node.name, token });
            }
        });
    };

    const act = (node: SimulatedNode): void => {
        const { state } = node.process!;
        const hold = holdOf(state, instant(node));
        if (hold === undefined || random() < 0.5) {
            return;
        }
        if (random() < 0.02) {
            // The process freezes between its check and the call.
            node.heldCall = { token: hold.token };
            freeze(node);
            return;
        }
        deliverCall(node, hold.token);
    };

    function freeze(node: SimulatedNode): void {
        const milliseconds = between(100, MAXIMUM_PAUSE_MILLISECONDS);
        node.frozenUntil = now + milliseconds;
        // Some machines do not count a suspension on the monotonic clock.
        const isCounted = random() < 0.5;
        later(milliseconds, () => {
            node.lastDisturbedAt = Math.max(node.lastDisturbedAt, now);
            node.monotonicOffset -= isCounted ? 0 : milliseconds;
            if (node.heldCall !== undefined && node.process !== undefined) {
                deliverCall(node, node.heldCall.token);
            }
            node.heldCall = undefined;
        });
    }

    const tick = (node: SimulatedNode): void => {
        if (node.process === undefined) {
            if (now >= node.startsAt) {
                start(node);
            }
            return;
        }
        if (now < node.frozenUntil) {
            return;
        }
        replicate(node);
        const { process } = node;
        if (process.replica.revision === 0) {
            return;
        }
        const wanted = isHolding(process.state, instant(node).now) ? random() > 0.003 : true;
        const view = { epoch: process.replica.epoch, row: process.replica.stored(LEASE_ROW_KEY) };
        const step = stepLease(process.state, view, wanted, instant(node));
        process.state = step.state;
        if (step.write !== undefined) {
            send(node, step.write);
        }
        act(node);
    };

    const injectFault = (): void => {
        const node = nodes[Math.floor(random() * nodes.length)]!;
        const kind = Math.floor(random() * 6);
        if (kind === 0 && now >= node.frozenUntil) {
            freeze(node);
        }
        else if (kind === 1) {
            node.cutUntil = Math.max(node.cutUntil, now + between(100, MAXIMUM_PAUSE_MILLISECONDS));
            later(node.cutUntil - now, () => (node.lastDisturbedAt = now));
        }
        else if (kind === 2 && now >= node.frozenUntil) {
            node.process = undefined;
            node.startsAt = now + between(50, 3000);
        }
        else if (kind === 3) {
            node.wallOffset += between(-4000, 4000);
        }
        else if (kind === 4) {
            storeAwayUntil = now + between(100, 4000);
        }
        else if (kind === 5) {
            const copy = copies.findLast(({ at }) => at <= now - between(0, 8000)) ?? copies[0]!;
            epoch += 1;
            ({ revision } = copy);
            rows = new Map(copy.rows);
        }
    };

    const faultShare = between(0, 0.03);
    for (; now < DURATION_MILLISECONDS; now += TICK_MILLISECONDS) {
        const due = events.filter(({ at }) => at < now + TICK_MILLISECONDS).sort((x, y) => x.at - y.at);
        events = events.filter(({ at }) => at >= now + TICK_MILLISECONDS);
        const tickAt = now;
        for (const event of due) {
            now = Math.max(tickAt, event.at);
            event.run();
        }
        now = tickAt;
        if (copies.at(-1)?.revision !== revision) {
            copies.push({ at: now, revision, rows: new Map(rows) });
        }
        nodes.forEach(tick);
        if (random() < faultShare) {
            injectFault();
        }
    }
    return {
        calls: calls.sort((x, y) => x.at - y.at),
        storeCalls,
        milliseconds: DURATION_MILLISECONDS,
    };
}

/** Returns a description of each violated rule. */
export function findDutyViolations(calls: readonly ReceivedCall[]): readonly string[] {
    const problems: string[] = [];
    const holders = new Map<number, string>();
    let highest = -1;
    calls.forEach((call, index) => {
        const holder = holders.get(call.token) ?? call.node;
        holders.set(call.token, holder);
        if (holder !== call.node) {
            problems.push(`${call.node} and ${holder} sent token ${call.token}`);
        }
        if (call.token < highest) {
            problems.push(`token ${call.token} of ${call.node} after ${highest} at ${call.at}`);
        }
        highest = Math.max(highest, call.token);
        const other = calls.slice(0, index).findLast(({ node }) => node !== call.node);
        const own =
            other === undefined
                ? undefined
                : calls.findLast(({ node, at }) => node === call.node && at < other.at);
        if (own !== undefined && call.at - own.at < SEPARATION_MILLISECONDS) {
            problems.push(`${call.node}, ${other!.node}, ${call.node} within ${call.at - own.at} ms`);
        }
    });
    return problems;
}
