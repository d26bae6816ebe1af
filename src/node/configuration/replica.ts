/**
 * This node's replica of the configuration: a state machine whose `step` takes events and the time and
 * returns actions. It installs accepted tickets in order, stores prepared ones, and tracks the time up to
 * which the replica is complete.
 */
import type { JsonObject } from "../common/json.js";
import type { Random } from "../common/random.js";
import { jitter } from "../common/random.js";
import type { Invariants } from "../invariants/invariants.js";
import {
    CATCH_UP_INTERVAL_MILLISECONDS,
    CONFIRM_INTERVAL_MILLISECONDS,
    CONFIRM_SHARE,
    FAST_CONFIRM_SHARE,
    FAST_POLL_INTERVAL_MILLISECONDS,
    LOG_PAGE_ROWS,
    MAXIMUM_CANCELLED_ATTEMPTS,
    MAXIMUM_LOG_TICKETS,
    POLL_INTERVAL_MILLISECONDS,
    POLL_JITTER,
    POLL_TIMEOUT_MILLISECONDS,
    PREPARED_TICKET_TIMEOUT_MILLISECONDS,
} from "./constants.js";
import type { AcceptedTicket, Ticket } from "./entities.js";
import { ageUnit, createContactTimes } from "./contact-times.js";
import type {
    Confirmation,
    Head,
    PrepareAnswer,
    Proposal,
    ProposalId,
    PullAnswer,
    ReplicaState,
} from "./messages.js";
import { serialiseSnapshot } from "./messages.js";
import { EMPTY_SNAPSHOT, applyChanges, applyTicket, entityKey } from "./snapshot.js";
import type { ConfigurationSnapshot } from "./snapshot.js";

/** A peer from which this node can fetch missing tickets. */
export interface Peer {
    readonly id: string;
    readonly address: string;
}

export type ReplicaEvent =
    | { readonly kind: "head-read"; readonly startedAt: number; readonly head: Head }
    | { readonly kind: "head-failed" }
    /**
     * Accepted tickets. `source`: the peer that sent them, if any. `forward`: whether newly installed tickets
     * are also sent to peers.
     */
    | {
          readonly kind: "accepted";
          readonly tickets: readonly AcceptedTicket[];
          readonly forward: boolean;
          readonly source?: Peer;
      }
    | { readonly kind: "snapshot"; readonly snapshot: ConfigurationSnapshot }
    | {
          readonly kind: "prepare";
          readonly proposal: Proposal;
          readonly answer: (answer: PrepareAnswer) => void;
      }
    | { readonly kind: "proposals"; readonly proposals: readonly Proposal[] }
    | { readonly kind: "cancel"; readonly attempt: string }
    /** State of a peer, read at local time `notBefore` or later; `notBefore` is absent when unknown. */
    | {
          readonly kind: "peer-state";
          readonly state: ReplicaState;
          readonly source: Peer;
          readonly notBefore: number | undefined;
      }
    | {
          readonly kind: "confirmation";
          readonly confirmation: Confirmation;
          readonly source: Peer;
          readonly sentAt: number;
      }
    /** Catching up has ended, successfully or not. */
    | { readonly kind: "caught-up"; readonly succeeded: boolean };

export type ReplicaAction =
    | { readonly kind: "read-head" }
    /**
     * Rewrites the head row if its version is unchanged. This raises the version, so that attempts prepared
     * for the old version can no longer commit.
     */
    | { readonly kind: "rewrite-head"; readonly head: Head }
    | { readonly kind: "read-log"; readonly from: number; readonly to: number }
    | { readonly kind: "read-snapshot"; readonly revision: number }
    | { readonly kind: "pull"; readonly source: Peer | undefined; readonly after: number }
    | { readonly kind: "confirm" }
    | { readonly kind: "push"; readonly accepted: AcceptedTicket }
    | {
          readonly kind: "answer-prepare";
          readonly answer: (answer: PrepareAnswer) => void;
          readonly result: PrepareAnswer;
      }
    | { readonly kind: "installed"; readonly revision: number };

interface PreparedProposal {
    readonly proposal: Proposal;
    /** Time from which this node may rewrite the head row to resolve the proposal's outcome. */
    readonly rewriteAt: number;
}

export interface ReplicaOptions {
    readonly id: string;
    readonly freshnessMilliseconds: number;
    readonly random: Random;
    readonly invariants: Invariants;
    /** Ids of the nodes of which a majority is required. */
    readonly roster: () => readonly string[];
}

export interface Replica {
    step(events: readonly ReplicaEvent[], now: number): readonly ReplicaAction[];
    current(): ConfigurationSnapshot;
    /**
     * All configurations that may be in force: the installed one, and one for each prepared ticket that may
     * have been accepted as its successor.
     */
    governing(): readonly ConfigurationSnapshot[];
    isFresh(now: number): boolean;
    /** Latest local time up to which this node is known to have every accepted ticket. */
    freshAt(): number;
    /** Highest known version of the head row for which this node has installed the revision in the row. */
    headVersion(): number;
    /** Whether this node is known to have every ticket that was accepted up to local time `time`. */
    isCompleteAt(time: number): boolean;
    /** Whether the ticket may have been accepted, judged by this replica and its prepared tickets. */
    mayBeAccepted(ticket: Ticket): boolean;
    /** Whether the ticket has an unresolved attempt whose id does not start with `ownPrefix`. */
    hasOtherAttempt(ticket: Ticket, ownPrefix: string): boolean;
    state(now: number): ReplicaState;
    confirmation(now: number): Confirmation;
    pullAnswer(after: number): PullAnswer;
}

export function createReplica(options: ReplicaOptions): Replica {
    const { id, random, invariants } = options;
    const limit = options.freshnessMilliseconds;
    const ageUnitMilliseconds = ageUnit(limit);
    const contactTimes = createContactTimes(ageUnitMilliseconds);
    const prepared = new Map<string, PreparedProposal>();
    /** Attempts that their proposers will not commit. */
    const cancelledAttempts = new Set<string>();
    let snapshot = EMPTY_SNAPSHOT;
    let log: AcceptedTicket[] = [];
    let headVersion = 0;
    /** Highest revision known to be accepted. */
    let knownRevision = 0;
    let freshAt = -Infinity;
    /** Version of the head row at the first read after the start. */
    let startVersion: number | undefined;
    let lastHead: { readonly head: Head; readonly startedAt: number } | undefined;
    let pullSource: Peer | undefined;
    let needsProposals = false;
    let isCatchingUp = false;
    let catchUpFailures = 0;
    let nextCatchUpAt = 0;
    let nextPollAt = 0;
    let pollStartedAt: number | undefined;
    let nextConfirmAt = 0;
    let needsHeadRewrite = false;
    let governing: readonly ConfigurationSnapshot[] | undefined;
    let actions: ReplicaAction[] = [];

    // A restarted node has lost its prepared proposals. It counts only after the head version has risen since
    // its start, because those proposals can no longer commit then.
    const countsForMajority = (): boolean => startVersion !== undefined && headVersion > startVersion;

    const isResolved = (proposal: ProposalId): boolean =>
        proposal.revision <= snapshot.revision ||
        proposal.headVersion < headVersion ||
        cancelledAttempts.has(proposal.attempt);

    const removeResolved = (): void => {
        for (const [attempt, { proposal }] of prepared) {
            if (isResolved(proposal)) {
                prepared.delete(attempt);
            }
        }
        governing = undefined;
    };

    const raiseFreshAt = (time: number): void => {
        freshAt = Math.max(freshAt, time);
    };

    const raiseHeadVersion = (version: number): void => {
        if (version > headVersion) {
            headVersion = version;
            removeResolved();
        }
    };

    /** Applies the latest read of the head row once this node has the revision in it. */
    const applyHead = (): void => {
        if (lastHead !== undefined && snapshot.revision >= lastHead.head.revision) {
            raiseHeadVersion(lastHead.head.version);
            raiseFreshAt(lastHead.startedAt);
        }
    };

    const install = (next: ConfigurationSnapshot): void => {
        invariants.assert(
            "configuration-never-reverts",
            next.revision > snapshot.revision,
            () => `revision ${next.revision} would replace revision ${snapshot.revision}`,
        );
        snapshot = next;
        knownRevision = Math.max(knownRevision, next.revision);
        removeResolved();
        applyHead();
        actions.push({ kind: "installed", revision: next.revision });
    };

    const installAccepted = (tickets: readonly AcceptedTicket[], forward: boolean): void => {
        for (const accepted of tickets) {
            knownRevision = Math.max(knownRevision, accepted.revision);
            if (accepted.revision === snapshot.revision + 1) {
                log.push(accepted);
                log = log.length > MAXIMUM_LOG_TICKETS ? log.slice(-MAXIMUM_LOG_TICKETS) : log;
                install(applyTicket(snapshot, accepted));
                if (forward) {
                    actions.push({ kind: "push", accepted });
                }
            }
        }
    };

    const prepare = (proposal: Proposal, now: number): PrepareAnswer => {
        if (isResolved(proposal)) {
            return { result: "stale" };
        }
        knownRevision = Math.max(knownRevision, proposal.revision - 1);
        if (!prepared.has(proposal.attempt)) {
            const rewriteAt = now + PREPARED_TICKET_TIMEOUT_MILLISECONDS * (1 + random());
            prepared.set(proposal.attempt, { proposal, rewriteAt });
            governing = undefined;
        }
        return { result: "held" };
    };

    /**
     * Compares a peer's state with this replica and records what is missing. Returns whether this node has
     * all tickets that the peer has; only then may it use the peer's contact times.
     */
    const mergePeerState = (state: ReplicaState, from: Peer): boolean => {
        knownRevision = Math.max(knownRevision, state.revision);
        if (state.revision > snapshot.revision) {
            pullSource = from;
            return false;
        }
        const lacksAny = (state.proposals ?? []).some(
            proposal => !isResolved(proposal) && !prepared.has(proposal.attempt),
        );
        if (lacksAny) {
            pullSource = from;
            needsProposals = true;
            return false;
        }
        raiseHeadVersion(state.headVersion);
        return true;
    };

    const handleConfirmation = (confirmation: Confirmation, from: Peer, sentAt: number): void => {
        if (!mergePeerState(confirmation, from)) {
            return;
        }
        if (confirmation.age !== undefined) {
            raiseFreshAt(sentAt - confirmation.age);
        }
        if (confirmation.witness) {
            contactTimes.record(confirmation.from, sentAt);
        }
        contactTimes.merge(confirmation.ages, confirmation.roster, confirmation.unit, sentAt);
    };

    const handleHead = (head: Head, startedAt: number, now: number): void => {
        pollStartedAt = undefined;
        if (lastHead === undefined || startedAt > lastHead.startedAt) {
            lastHead = { head, startedAt };
        }
        knownRevision = Math.max(knownRevision, head.revision);
        if (startVersion === undefined) {
            startVersion = head.version;
        }
        applyHead();
        const hasTimedOut = [...prepared.values()].some(
            ({ proposal, rewriteAt }) => proposal.headVersion === head.version && rewriteAt <= now,
        );
        // Until the head version has risen since the start, this node rewrites the head row, so that it
        // counts for the majority.
        needsHeadRewrite = hasTimedOut || (startVersion === head.version && !countsForMajority());
        if (needsHeadRewrite) {
            actions.push({ kind: "rewrite-head", head });
        }
        const isIdle = !needsHeadRewrite && snapshot.revision >= head.revision;
        const interval = isIdle ? POLL_INTERVAL_MILLISECONDS : FAST_POLL_INTERVAL_MILLISECONDS;
        nextPollAt = now + jitter(interval, POLL_JITTER, random);
    };

    const handle = (event: ReplicaEvent, now: number): void => {
        switch (event.kind) {
            case "head-read":
                handleHead(event.head, event.startedAt, now);
                break;
            case "head-failed":
                pollStartedAt = undefined;
                break;
            case "accepted":
                installAccepted(event.tickets, event.forward);
                pullSource = event.source ?? pullSource;
                break;
            case "snapshot":
                if (event.snapshot.revision > snapshot.revision) {
                    log = [];
                    install(event.snapshot);
                }
                break;
            case "prepare":
                actions.push({
                    kind: "answer-prepare",
                    answer: event.answer,
                    result: prepare(event.proposal, now),
                });
                break;
            case "proposals":
                needsProposals = false;
                event.proposals.forEach(proposal => prepare(proposal, now));
                break;
            case "cancel":
                cancelledAttempts.add(event.attempt);
                if (cancelledAttempts.size > MAXIMUM_CANCELLED_ATTEMPTS) {
                    cancelledAttempts.delete(cancelledAttempts.values().next().value!);
                }
                removeResolved();
                break;
            case "peer-state":
                if (
                    mergePeerState(event.state, event.source) &&
                    event.notBefore !== undefined &&
                    event.state.age !== undefined
                ) {
                    raiseFreshAt(event.notBefore - event.state.age);
                }
                break;
            case "confirmation":
                handleConfirmation(event.confirmation, event.source, event.sentAt);
                break;
            case "caught-up":
                isCatchingUp = false;
                catchUpFailures = event.succeeded ? 0 : catchUpFailures + 1;
                break;
        }
    };

    const poll = (now: number): void => {
        const isWaiting = pollStartedAt !== undefined && now - pollStartedAt < POLL_TIMEOUT_MILLISECONDS;
        if (now >= nextPollAt && !isWaiting) {
            pollStartedAt = now;
            const hasRead = lastHead !== undefined;
            nextPollAt =
                now +
                jitter(
                    hasRead ? POLL_INTERVAL_MILLISECONDS : FAST_POLL_INTERVAL_MILLISECONDS,
                    POLL_JITTER,
                    random,
                );
            actions.push({ kind: "read-head" });
        }
    };

    /**
     * Fetches missing tickets from a peer that is known to have them, else from the snapshot in the object
     * store or from the log. Without such a peer, it fetches them from a random one after an odd number of
     * failures.
     */
    const startCatchUp = (now: number): void => {
        const isBehind = snapshot.revision < knownRevision;
        if (isCatchingUp || now < nextCatchUpAt || (!isBehind && !needsProposals)) {
            return;
        }
        isCatchingUp = true;
        nextCatchUpAt = now + CATCH_UP_INTERVAL_MILLISECONDS * (1 + Math.min(catchUpFailures, 10) * random());
        const next = snapshot.revision + 1;
        const snapshotRevision = lastHead?.head.snapshot ?? 0;
        if (!isBehind || pullSource !== undefined || catchUpFailures % 2 === 1) {
            actions.push({ kind: "pull", source: pullSource, after: snapshot.revision });
            pullSource = undefined;
        }
        else if (snapshotRevision > snapshot.revision && knownRevision - next >= LOG_PAGE_ROWS) {
            actions.push({ kind: "read-snapshot", revision: snapshotRevision });
        }
        else {
            actions.push({
                kind: "read-log",
                from: next,
                to: Math.min(knownRevision, next + LOG_PAGE_ROWS - 1),
            });
        }
    };

    /** Requests a confirmation from a peer while the table service does not confirm this replica. */
    const confirm = (now: number): void => {
        const isHeadStale = lastHead === undefined || now - lastHead.startedAt > limit;
        const age = now - freshAt;
        if (now >= nextConfirmAt && (isHeadStale || age > CONFIRM_SHARE * limit)) {
            const intervalFactor = age > FAST_CONFIRM_SHARE * limit ? 0.5 : 1;
            nextConfirmAt = now + intervalFactor * jitter(CONFIRM_INTERVAL_MILLISECONDS, POLL_JITTER, random);
            actions.push({ kind: "confirm" });
        }
    };

    const state = (now: number): ReplicaState => ({
        revision: snapshot.revision,
        headVersion,
        age: freshAt === -Infinity ? undefined : Math.max(0, Math.ceil(now - freshAt)),
        proposals:
            prepared.size === 0
                ? undefined
                : [...prepared.values()].map(({ proposal }) => ({
                      revision: proposal.revision,
                      headVersion: proposal.headVersion,
                      attempt: proposal.attempt,
                  })),
    });

    return {
        step: (events, now) => {
            actions = [];
            contactTimes.setRoster(options.roster());
            if (countsForMajority()) {
                contactTimes.record(id, now);
            }
            events.forEach(event => handle(event, now));
            // The majority time is recomputed only after confirmations: it needs a sort, which costs more
            // than the rest of the step.
            if (events.some(({ kind }) => kind === "confirmation")) {
                raiseFreshAt(contactTimes.majorityAt());
            }
            poll(now);
            startCatchUp(now);
            confirm(now);
            return actions;
        },
        current: () => snapshot,
        governing: () =>
            (governing ??= [
                snapshot,
                ...[...prepared.values()]
                    .filter(({ proposal }) => proposal.revision === snapshot.revision + 1)
                    .map(({ proposal }) => applyChanges(snapshot, proposal.ticket)),
            ]),
        isFresh: now => now - freshAt <= limit && snapshot.revision >= knownRevision,
        isCompleteAt: time => freshAt >= time && snapshot.revision >= knownRevision,
        mayBeAccepted: ticket =>
            [...prepared.values()].some(({ proposal }) => proposal.ticket.number === ticket.number) ||
            ticket.changes.some(change => (snapshot.touchedBy.get(entityKey(change)) ?? 0) >= ticket.number),
        freshAt: () => freshAt,
        headVersion: () => headVersion,
        hasOtherAttempt: (ticket, ownPrefix) =>
            [...prepared.values()].some(
                ({ proposal }) =>
                    proposal.ticket.number === ticket.number && !proposal.attempt.startsWith(ownPrefix),
            ),
        state,
        confirmation: now => {
            if (countsForMajority()) {
                contactTimes.record(id, now);
            }
            const ages = contactTimes.ages(now);
            return {
                ...state(now),
                from: id,
                witness: countsForMajority(),
                roster: contactTimes.rosterDigest(),
                ages,
                unit: ageUnitMilliseconds,
            };
        },
        pullAnswer: after => {
            const proposals = [...prepared.values()].map(({ proposal }) => proposal);
            const first = log[0]?.revision ?? snapshot.revision + 1;
            return after + 1 >= first
                ? {
                      tickets: log.filter(({ revision }) => revision > after) as (AcceptedTicket &
                          JsonObject)[],
                      proposals,
                  }
                : { snapshot: serialiseSnapshot(snapshot), proposals };
        },
    };
}
