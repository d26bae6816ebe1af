/**
 * Failure detector: a step function that maps events and time to actions. It follows SWIM: one direct probe
 * per second, indirect probes after a failed one, suspicion, refutation and piggybacked updates. Each node
 * sends and answers a constant number of messages per second, independent of the number of members.
 */
import type { Random } from "../common/random.js";
import { rendezvousOwner } from "../common/hash.js";
import {
    INDIRECT_PROBES,
    PAUSE_THRESHOLD_MILLISECONDS,
    PROBES_PER_DEAD_PROBE,
    PROBE_INTERVAL_MILLISECONDS,
    ROW_RETENTION_MILLISECONDS,
    SUSPICION_FACTOR,
} from "./constants.js";
import { createMemberTable, hasEnded } from "./member-table.js";
import type { MemberTable } from "./member-table.js";
import type { Member, MemberState } from "./membership.js";
import type { MemberUpdate, PingMessage } from "./messages.js";

export type DetectorEvent =
    /** A message from a peer; `answer`, if present, sends this node's answer. */
    | {
          readonly kind: "received";
          readonly message: PingMessage;
          readonly answer?: (reply: PingMessage) => void;
      }
    | { readonly kind: "probe-answered"; readonly probe: number }
    | { readonly kind: "probe-failed"; readonly probe: number }
    | { readonly kind: "rows"; readonly updates: readonly MemberUpdate[] }
    | { readonly kind: "announce"; readonly state: "leaving" | "left" };

export type DetectorAction =
    | {
          readonly kind: "ping";
          /** Probe that gets the result; absent for pings whose failure is ignored. */
          readonly probe: number | undefined;
          readonly address: string;
          readonly message: PingMessage;
      }
    | {
          readonly kind: "ping-request";
          readonly probe: number;
          readonly address: string;
          readonly target: string;
          readonly message: PingMessage;
      }
    | {
          readonly kind: "answer";
          readonly answer: (reply: PingMessage) => void;
          readonly message: PingMessage;
      }
    | { readonly kind: "changed"; readonly member: Member }
    | { readonly kind: "remove-row"; readonly member: Member }
    | { readonly kind: "duplicate-id"; readonly incarnation: number };

interface Probe {
    readonly target: string;
    readonly startedAt: number;
    /** Number of direct and indirect calls without a result. */
    pending: number;
    indirect: boolean;
}

export interface DetectorOptions {
    readonly self: Member;
    /** Addresses to contact while no other member is known. */
    readonly seeds: readonly string[];
    readonly random: Random;
}

export interface Detector {
    readonly table: MemberTable;
    step(events: readonly DetectorEvent[], now: number): readonly DetectorAction[];
}

/** Time within which a suspect member can refute the suspicion, milliseconds. */
export function suspicionMilliseconds(members: number): number {
    return SUSPICION_FACTOR * PROBE_INTERVAL_MILLISECONDS * Math.max(1, Math.log10(members));
}

export function createDetector(options: DetectorOptions): Detector {
    const { self, random } = options;
    const table = createMemberTable(self, random);
    const { members } = table;
    const probes = new Map<number, Probe>();
    const rowRemovals = new Set<string>();
    let probeOrder: string[] = [];
    let probeCount = 0;
    let nextProbeAt = 0;
    let lastStepAt: number | undefined;
    let actions: DetectorAction[] = [];

    const pick = <Item>(items: readonly Item[]): Item | undefined =>
        items[Math.floor(random() * items.length)];

    const shuffle = <Item>(items: readonly Item[]): Item[] =>
        items
            .map(item => ({ item, weight: random() }))
            .sort((a, b) => a.weight - b.weight)
            .map(({ item }) => item);

    const others = (states: readonly MemberState[]): Member[] =>
        [...members.values()].filter(member => member.id !== self.id && states.includes(member.state));

    const messageTo = (to: string | undefined, known = members.size): PingMessage => ({
        from: self.id,
        to,
        known: members.size,
        updates: table.updatesFor(to, known),
    });

    const refute = (update: MemberUpdate, now: number): void => {
        const selfMember = members.get(self.id)!;
        if (update.incarnation > selfMember.incarnation) {
            actions.push({ kind: "duplicate-id", incarnation: update.incarnation });
            return;
        }
        const isContradicting = update.state !== selfMember.state && selfMember.state !== "left";
        if (
            update.incarnation === selfMember.incarnation &&
            isContradicting &&
            update.refutation >= table.refutation(self.id)
        ) {
            table.setSelfState(selfMember.state, update.refutation + 1, now);
        }
    };

    const apply = (update: MemberUpdate, now: number, isQueued = true): void => {
        if (update.id === self.id) {
            refute(update, now);
            return;
        }
        const changed = table.apply(update, now, isQueued);
        if (changed !== undefined) {
            rowRemovals.delete(changed.id);
            actions.push({ kind: "changed", member: changed });
        }
    };

    const setState = (id: string, state: MemberState, now: number): void => {
        const known = table.updateOf(id);
        if (known !== undefined) {
            apply({ id, incarnation: known.incarnation, refutation: known.refutation, state }, now);
        }
    };

    const isSuspicionExpired = (id: string, now: number): boolean =>
        members.get(id)?.state === "suspect" && now - table.since(id) >= suspicionMilliseconds(members.size);

    const probe = (now: number): void => {
        probeOrder = probeOrder.filter(id => members.has(id) && !hasEnded(members.get(id)!));
        if (probeOrder.length === 0) {
            probeOrder = shuffle(others(["alive", "leaving", "suspect"]).map(member => member.id));
        }
        // A suspect whose timeout has expired is probed once more, directly and indirectly, before it is
        // declared dead, because its refutation may not have arrived yet. Each node sends one such probe per
        // second, so the nodes share this work.
        const expired = pick(others(["suspect"]).filter(member => isSuspicionExpired(member.id, now)));
        const target = expired?.id ?? probeOrder.pop();
        probeCount += 1;
        if (target === undefined) {
            const seed = pick(options.seeds.filter(address => address !== self.address));
            if (seed !== undefined) {
                actions.push({
                    kind: "ping",
                    probe: undefined,
                    address: seed,
                    message: messageTo(undefined),
                });
            }
        }
        else {
            probes.set(probeCount, { target, startedAt: now, pending: 1, indirect: false });
            const { address } = members.get(target)!;
            actions.push({ kind: "ping", probe: probeCount, address, message: messageTo(target) });
        }
        const dead = probeCount % PROBES_PER_DEAD_PROBE === 0 ? pick(others(["dead"])) : undefined;
        if (dead !== undefined) {
            const { address, id } = dead;
            actions.push({ kind: "ping", probe: undefined, address, message: messageTo(id) });
        }
    };

    const probeIndirectly = (id: number, current: Probe): void => {
        const target = members.get(current.target);
        const helpers = shuffle(others(["alive"]).filter(member => member.id !== current.target));
        if (target === undefined || current.indirect) {
            return;
        }
        current.indirect = true;
        for (const helper of helpers.slice(0, INDIRECT_PROBES)) {
            current.pending += 1;
            actions.push({
                kind: "ping-request",
                probe: id,
                address: helper.address,
                target: target.id,
                message: messageTo(helper.id),
            });
        }
    };

    const handleProbeFailure = (id: number, now: number): void => {
        const current = probes.get(id);
        if (current === undefined) {
            return;
        }
        current.pending -= 1;
        probeIndirectly(id, current);
        if (current.pending === 0) {
            probes.delete(id);
            const state = members.get(current.target)?.state;
            if (state === "alive" || state === "leaving") {
                setState(current.target, "suspect", now);
            }
            else if (state === "suspect" && isSuspicionExpired(current.target, current.startedAt)) {
                setState(current.target, "dead", now);
            }
        }
    };

    /**
     * After a pause of this process, pending results prove nothing about the other nodes, whose answers may
     * have arrived in time. Discards the pending probes and extends suspicions by the pause.
     */
    const handlePause = (now: number): void => {
        const gap = now - (lastStepAt ?? now);
        lastStepAt = now;
        if (gap > PAUSE_THRESHOLD_MILLISECONDS) {
            probes.clear();
            table.shiftTimes(gap);
        }
    };

    const handle = (event: DetectorEvent, now: number): void => {
        switch (event.kind) {
            case "received":
                event.message.updates.forEach(update => apply(update, now));
                if (event.answer !== undefined) {
                    const message = messageTo(event.message.from, event.message.known);
                    actions.push({ kind: "answer", answer: event.answer, message });
                }
                break;
            case "probe-answered":
                probes.delete(event.probe);
                break;
            case "probe-failed":
                handleProbeFailure(event.probe, now);
                break;
            case "rows":
                // Every node reads the rows itself, so updates from rows are not queued for sending.
                event.updates.forEach(update => apply(update, now, false));
                break;
            case "announce":
                table.setSelfState(event.state, table.refutation(self.id) + 1, now);
                break;
        }
    };

    const removeDeadMembers = (now: number): void => {
        for (const member of members.values()) {
            if (
                member.state === "dead" &&
                now - table.since(member.id) >= ROW_RETENTION_MILLISECONDS &&
                !rowRemovals.has(member.id)
            ) {
                rowRemovals.add(member.id);
                const active = others(["alive"]).map(({ id }) => id);
                if (rendezvousOwner(member.id, [...active, self.id]) === self.id) {
                    actions.push({ kind: "remove-row", member });
                }
            }
        }
        table.removeExpired(now);
    };

    return {
        table,
        step: (events, now) => {
            actions = [];
            handlePause(now);
            events.forEach(event => handle(event, now));
            if (now >= nextProbeAt && members.get(self.id)!.state !== "left") {
                // The first probe has a random delay, so that the probes of the nodes are not synchronized.
                const wait = nextProbeAt === 0 ? random() : 1;
                if (nextProbeAt !== 0) {
                    removeDeadMembers(now);
                    probe(now);
                }
                nextProbeAt = now + wait * PROBE_INTERVAL_MILLISECONDS;
            }
            return actions;
        },
    };
}
