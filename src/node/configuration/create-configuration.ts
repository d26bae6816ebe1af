/**
 * Configuration component of a node: connects the replica and the acceptance of tickets to the ticker, the
 * peers, the table service and the object store.
 */
import { sha256 } from "../common/hash.js";
import { canonicalJson } from "../common/json.js";
import type { JsonObject, JsonValue } from "../common/json.js";
import type { Random } from "../common/random.js";
import type { Invariants } from "../invariants/invariants.js";
import type { Lifecycle } from "../lifecycle/lifecycle.js";
import type { Logger } from "../logging/logging.js";
import type { Member, Membership } from "../membership/membership.js";
import type { Peers } from "../peers/peers.js";
import type { ObjectStore } from "../outside-services/object-store.js";
import { OutsideServiceError } from "../outside-services/table-service.js";
import type { TableService, Transaction } from "../outside-services/table-service.js";
import type { Ticker } from "../ticker/ticker.js";
import { startAcceptance, stepAcceptance } from "./acceptance.js";
import type { AcceptanceAction, AcceptanceEvent, TicketRow } from "./acceptance.js";
import { describeSuperseding, findSuperseding, schemaProblems, ticketProblems } from "./checks.js";
import type { TicketProposer, ConfigurationView, TicketOutcome } from "./configuration.js";
import {
    CATCH_UP_CHECK_MILLISECONDS,
    CONFIRM_TIMEOUT_MILLISECONDS,
    FRESHNESS_MILLISECONDS,
    MAXIMUM_ACCEPTANCE_BACKOFF_MILLISECONDS,
    PREPARE_TIMEOUT_MILLISECONDS,
    PROPOSER_CATCH_UP_TIMEOUT_MILLISECONDS,
    PULL_TIMEOUT_MILLISECONDS,
    PUSH_FAN_OUT,
    RESOLVE_INTERVAL_MILLISECONDS,
    SNAPSHOT_INTERVAL_REVISIONS,
    STATUS_INTERVAL_MILLISECONDS,
} from "./constants.js";
import type { AcceptedTicket, Ticket } from "./entities.js";
import { majorityOf } from "./contact-times.js";
import {
    CANCEL_METHOD,
    CONFIRM_METHOD,
    HEAD_KEY,
    PREPARE_METHOD,
    PULL_METHOD,
    PUSH_METHOD,
    STATUS_METHOD,
    headOf,
    logKey,
    parseSnapshot,
    serialiseSnapshot,
    snapshotName,
    ticketKey,
} from "./messages.js";
import type {
    Confirmation,
    Head,
    PrepareAnswer,
    Proposal,
    PullAnswer,
    PullRequest,
    PushMessage,
    ReplicaState,
    StatusAnswer,
} from "./messages.js";
import { createReplica } from "./replica.js";
import type { Peer, ReplicaAction, ReplicaEvent } from "./replica.js";
import type { ConfigurationSnapshot } from "./snapshot.js";

export interface ConfigurationOptions {
    readonly id: string;
    /** Number of this process start; the same as in the membership. */
    readonly incarnation: number;
    /**
     * Age of the last confirmation at which new work is rejected, milliseconds. Must be equal on all nodes.
     *
     * @default 3000
     */
    readonly freshnessMilliseconds?: number;
    readonly peers: Peers;
    readonly tableService: TableService;
    readonly objectStore: ObjectStore;
    readonly membership: Membership;
    readonly ticker: Ticker;
    readonly lifecycle: Lifecycle;
    /** Monotonic time in milliseconds. */
    readonly now: () => number;
    readonly random: Random;
    readonly invariants: Invariants;
    readonly logger: Logger;
}

/** Result of waiting until a revision is in force at all active members. */
export interface InForceReport {
    readonly revision: number;
    /** Number of active members that have the revision in force. */
    readonly inForce: number;
    /** Number of active members. */
    readonly members: number;
    /** Ids of the active members that lack the revision or did not answer. */
    readonly missing: readonly string[];
}

/** Configuration state in the state dump. */
export interface ConfigurationStatus {
    readonly revision: number;
    readonly headVersion: number;
    /** Milliseconds since the time up to which this node has every accepted ticket; absent when unknown. */
    readonly freshnessAge: number | undefined;
    readonly preparedTickets: number;
}

export interface Configuration extends ConfigurationView, TicketProposer {
    /** Registers a listener that is called after a revision comes into force at this node. */
    onChange(listener: (snapshot: ConfigurationSnapshot) => void): void;
    /** Waits until all active members have the revision in force, at most `timeoutMilliseconds`. */
    waitUntilInForce(revision: number, timeoutMilliseconds: number): Promise<InForceReport>;
    status(): ConfigurationStatus;
}

type ActionOf<Kind extends ReplicaAction["kind"]> = Extract<ReplicaAction, { kind: Kind }>;

const wait = (milliseconds: number): Promise<void> =>
    new Promise(resolve => {
        setTimeout(resolve, milliseconds);
    });

/** Creates the configuration and adds it to the lifecycle; the membership must be added before. */
export function createConfiguration(options: ConfigurationOptions): Configuration {
    const { id, peers, tableService, objectStore, membership, now, random, logger } = options;
    const replica = createReplica({
        id,
        freshnessMilliseconds: options.freshnessMilliseconds ?? FRESHNESS_MILLISECONDS,
        random,
        invariants: options.invariants,
        roster: membership.roster,
    });
    const listeners: ((snapshot: ConfigurationSnapshot) => void)[] = [];
    let isRunning = false;
    let wasFresh = false;
    let uploadedSnapshot = 0;
    let attemptCount = 0;
    let lastSubmission: Promise<unknown> = Promise.resolve();

    const otherActive = (): readonly Member[] => membership.active().filter(member => member.id !== id);

    const randomPeers = (count: number): readonly Peer[] => {
        const members = [...otherActive()];
        const chosen: Member[] = [];
        while (chosen.length < count && members.length > 0) {
            chosen.push(...members.splice(Math.floor(random() * members.length), 1));
        }
        return chosen;
    };

    /** Runs I/O in the background. Failures are only logged, because the replica requests the I/O again. */
    const runInBackground = (what: string, work: Promise<unknown>): void => {
        work.catch((error: unknown) => logger.debug(`${what} failed`, { error: String(error) }));
    };

    const readHead = async (): Promise<void> => {
        const startedAt = now();
        try {
            const head = headOf(await tableService.get(HEAD_KEY));
            system.post({ kind: "head-read", startedAt, head });
        }
        catch (error) {
            system.post({ kind: "head-failed" });
            throw error;
        }
    };

    const rewriteHead = async (head: Head): Promise<void> => {
        const value = { revision: head.revision, snapshot: head.snapshot, settledBy: id };
        await tableService.transact({
            conditions: [
                head.version === 0
                    ? { kind: "absent", key: HEAD_KEY }
                    : { kind: "version", key: HEAD_KEY, version: head.version },
            ],
            writes: [{ kind: "put", key: HEAD_KEY, value }],
        });
    };

    /** Reports the result of an attempt to catch up to the replica. */
    const catchUp = (work: Promise<void>): void => {
        const report = (succeeded: boolean): void => system.post({ kind: "caught-up", succeeded });
        work.then(
            () => report(true),
            (error: unknown) => {
                report(false);
                logger.debug("An attempt to catch up failed", { error: String(error) });
            },
        );
    };

    const readLog = async ({ from, to }: ActionOf<"read-log">): Promise<void> => {
        const keys = Array.from({ length: to - from + 1 }, (_, index) => logKey(from + index));
        const rows = new Map((await tableService.getMany(keys)).map(row => [row.key, row.value]));
        const tickets = keys.flatMap((key, index) => {
            const ticket = rows.get(key)?.["ticket"] as unknown as Ticket | undefined;
            return ticket === undefined ? [] : [{ revision: from + index, ticket }];
        });
        if (tickets.length === 0) {
            throw new Error(`revision ${from} is not in the log`);
        }
        system.post({ kind: "accepted", tickets, forward: false });
    };

    const readSnapshot = async (revision: number): Promise<void> => {
        const text = await objectStore.get(snapshotName(revision));
        if (text === undefined) {
            throw new Error(`the snapshot of revision ${revision} does not exist`);
        }
        system.post({ kind: "snapshot", snapshot: parseSnapshot(JSON.parse(text) as JsonObject) });
    };

    const pull = async ({ source, after }: ActionOf<"pull">): Promise<void> => {
        const from = source ?? randomPeers(1)[0];
        if (from === undefined) {
            throw new Error("no other active member is known");
        }
        const request: PullRequest = { after };
        const answer = (await peers.call(
            from.address,
            PULL_METHOD,
            request,
            PULL_TIMEOUT_MILLISECONDS,
        )) as unknown as PullAnswer;
        if (answer.snapshot !== undefined) {
            system.post({ kind: "snapshot", snapshot: parseSnapshot(answer.snapshot) });
        }
        system.post({ kind: "accepted", tickets: answer.tickets ?? [], forward: false });
        system.post({ kind: "proposals", proposals: answer.proposals });
    };

    const confirm = async (): Promise<void> => {
        const peer = randomPeers(1)[0];
        if (peer !== undefined) {
            const sentAt = now();
            const answer = await peers.call(peer.address, CONFIRM_METHOD, {}, CONFIRM_TIMEOUT_MILLISECONDS);
            const confirmation = answer as unknown as Confirmation;
            system.post({ kind: "confirmation", confirmation, source: peer, sentAt });
        }
    };

    const push = (accepted: AcceptedTicket): void => {
        const message: PushMessage = { from: id, accepted: accepted as AcceptedTicket & JsonObject };
        for (const { address } of randomPeers(PUSH_FAN_OUT)) {
            runInBackground("A push", peers.call(address, PUSH_METHOD, message));
        }
    };

    const handleInstalled = (revision: number): void => {
        logger.info("A revision came into force", { revision });
        listeners.forEach(listener => listener(replica.current()));
    };

    const execute = (action: ReplicaAction): void => {
        switch (action.kind) {
            case "read-head":
                runInBackground("A read of the head row", readHead());
                break;
            case "rewrite-head":
                runInBackground("A rewrite of the head row", rewriteHead(action.head));
                break;
            case "read-log":
                catchUp(readLog(action));
                break;
            case "read-snapshot":
                catchUp(readSnapshot(action.revision));
                break;
            case "pull":
                catchUp(pull(action));
                break;
            case "confirm":
                runInBackground("A confirmation", confirm());
                break;
            case "push":
                push(action.accepted);
                break;
            case "answer-prepare":
                action.answer(action.result);
                break;
            case "installed":
                handleInstalled(action.revision);
                break;
        }
    };

    const logFreshness = (time: number): void => {
        if (replica.isFresh(time) === wasFresh) {
            return;
        }
        wasFresh = !wasFresh;
        const { revision, age } = replica.state(time);
        if (wasFresh) {
            logger.info("The configuration is confirmed", { revision });
        }
        else {
            logger.warn("The configuration is not confirmed; rejecting new work", { revision, age });
        }
    };

    const system = options.ticker.attach<ReplicaEvent, ReplicaAction>(
        "configuration",
        (events, time) => {
            if (!isRunning) {
                return [];
            }
            const actions = replica.step(events, time);
            logFreshness(time);
            return actions;
        },
        execute,
    );

    const peerOf = (member: string): Peer | undefined => {
        const address = membership.members.get(member)?.address;
        return address === undefined ? undefined : { id: member, address };
    };

    /** Stores a prepared ticket at this node; resolves once new work must comply with the ticket too. */
    const prepareLocally = (proposal: Proposal): Promise<PrepareAnswer> =>
        isRunning
            ? new Promise(resolve => {
                  system.post({ kind: "prepare", proposal, answer: resolve });
              })
            : Promise.reject(new Error("the configuration is not running"));

    peers.handle(PREPARE_METHOD, params => prepareLocally(params as unknown as Proposal));
    peers.handle(CANCEL_METHOD, params => {
        system.post({ kind: "cancel", attempt: String((params as JsonObject)["attempt"]) });
        return null;
    });
    peers.handle(PUSH_METHOD, params => {
        const { from, accepted } = params as unknown as PushMessage;
        system.post({ kind: "accepted", tickets: [accepted], forward: true, source: peerOf(from) });
        return null;
    });
    peers.handle(PULL_METHOD, params => replica.pullAnswer((params as unknown as PullRequest).after));
    peers.handle(CONFIRM_METHOD, () => replica.confirmation(now()));
    peers.handle(STATUS_METHOD, () => ({ revision: replica.current().revision }));

    membership.attachDigest({
        name: "configuration",
        read: () => (isRunning ? replica.state(now()) : undefined),
        receive: ({ from, address, value, notBefore }) => {
            if (address !== undefined) {
                const state = value as ReplicaState;
                system.post({ kind: "peer-state", state, source: { id: from, address }, notBefore });
            }
        },
    });

    options.lifecycle.add({
        name: "configuration",
        start: () => {
            isRunning = true;
            return () => {
                isRunning = false;
            };
        },
    });

    const uploadSnapshot = async (head: Head): Promise<void> => {
        const snapshot = replica.current();
        if (snapshot.revision - Math.max(head.snapshot, uploadedSnapshot) >= SNAPSHOT_INTERVAL_REVISIONS) {
            const body = JSON.stringify(serialiseSnapshot(snapshot));
            await objectStore.putIfAbsent(snapshotName(snapshot.revision), body);
            uploadedSnapshot = snapshot.revision;
        }
    };

    /** Polls the condition until it holds or the time is over; resolves with whether it holds. */
    const waitUntil = async (condition: () => boolean, limitMilliseconds: number): Promise<boolean> => {
        const deadline = now() + limitMilliseconds;
        while (!condition() && now() < deadline) {
            await wait(CATCH_UP_CHECK_MILLISECONDS);
        }
        return condition();
    };

    /**
     * Whether an earlier submission of the ticket may have succeeded, if the table cannot be read. After
     * contact with a majority since `submittedAt`, this node has all tickets accepted or prepared before it.
     */
    const mayBeAccepted = async (ticket: Ticket, submittedAt: number): Promise<boolean> => {
        const isComplete = await waitUntil(
            () => replica.isCompleteAt(submittedAt),
            PROPOSER_CATCH_UP_TIMEOUT_MILLISECONDS,
        );
        return !isComplete || replica.mayBeAccepted(ticket);
    };

    const readTicket = async (ticket: Ticket, submittedAt: number): Promise<AcceptanceEvent> => {
        const startedAt = now();
        const key = ticketKey(ticket.number);
        try {
            const rows = await tableService.getMany([HEAD_KEY, key]);
            const head = headOf(rows.find(row => row.key === HEAD_KEY));
            system.post({ kind: "head-read", startedAt, head });
            const row = rows.find(found => found.key === key)?.value as unknown as TicketRow | undefined;
            runInBackground("The upload of a snapshot", uploadSnapshot(head));
            return { kind: "read", reading: { head, row } };
        }
        catch (error) {
            const detail = `the table service could not be read: ${(error as Error).message}`;
            return { kind: "read-failed", detail, mayBeAccepted: await mayBeAccepted(ticket, submittedAt) };
        }
    };

    /** Waits until this node has the revision, or until a timeout. */
    const waitForRevision = async (revision: number): Promise<AcceptanceEvent> => {
        await waitUntil(() => replica.current().revision >= revision, PROPOSER_CATCH_UP_TIMEOUT_MILLISECONDS);
        return { kind: "caught-up", snapshot: replica.current() };
    };

    const prepare = (proposal: Proposal): Promise<AcceptanceEvent> =>
        new Promise(resolve => {
            const roster = membership.roster();
            const majority = majorityOf(roster.length);
            let preparedCount = 0;
            let failedCount = 0;
            const fail = (): void => {
                failedCount += 1;
                if (failedCount > roster.length - majority) {
                    resolve({ kind: "prepared", result: "no-majority" });
                }
            };
            const count = (answer: PrepareAnswer): void => {
                preparedCount += 1;
                if (answer.result === "stale") {
                    resolve({ kind: "prepared", result: "stale" });
                }
                else if (preparedCount >= majority) {
                    resolve({ kind: "prepared", result: "majority" });
                }
            };
            for (const node of roster) {
                const peer = peerOf(node);
                if (node === id) {
                    prepareLocally(proposal).then(count, fail);
                }
                else if (peer === undefined) {
                    fail();
                }
                else {
                    peers
                        .call(peer.address, PREPARE_METHOD, proposal, PREPARE_TIMEOUT_MILLISECONDS)
                        .then(answer => count(answer as unknown as PrepareAnswer), fail);
                }
            }
        });

    const cancelAttempt = (proposal: Proposal): AcceptanceEvent => {
        system.post({ kind: "cancel", attempt: proposal.attempt });
        for (const node of membership.roster()) {
            const peer = peerOf(node);
            if (peer !== undefined && node !== id) {
                const message: JsonValue = { attempt: proposal.attempt };
                runInBackground(
                    "The cancellation of an attempt at a peer",
                    peers.call(peer.address, CANCEL_METHOD, message),
                );
            }
        }
        return { kind: "done" };
    };

    const commit = async (transaction: Transaction): Promise<AcceptanceEvent> => {
        try {
            const result = await tableService.transact(transaction);
            return { kind: "committed", result: result.applied ? "applied" : "conflict" };
        }
        catch (error) {
            const isCertain = error instanceof OutsideServiceError && error.outcome === "not-applied";
            return { kind: "committed", result: isCertain ? "not-applied" : "unknown" };
        }
    };

    const perform = async (
        action: Exclude<AcceptanceAction, { kind: "finish" }>,
        ticket: Ticket,
        submittedAt: number,
    ): Promise<AcceptanceEvent> => {
        switch (action.kind) {
            case "read":
                return readTicket(ticket, submittedAt);
            case "catch-up":
                return waitForRevision(action.revision);
            case "prepare":
                return prepare(action.proposal);
            case "cancel":
                return cancelAttempt(action.proposal);
            case "commit":
                return commit(action.transaction);
            case "rewrite-head":
                await rewriteHead(action.head).catch((error: unknown) =>
                    logger.debug("A rewrite of the head row failed", { error: String(error) }),
                );
                return { kind: "done" };
            case "wait":
                await wait(
                    action.reason === "retry"
                        ? MAXIMUM_ACCEPTANCE_BACKOFF_MILLISECONDS * random()
                        : RESOLVE_INTERVAL_MILLISECONDS,
                );
                return { kind: "done" };
        }
    };

    /** A rejection is certain only if no earlier submission of the ticket can still be accepted. */
    const qualifyRejection = (outcome: TicketOutcome, ticket: Ticket, prefix: string): TicketOutcome =>
        outcome.kind === "refused" &&
        (outcome.reason === "unavailable" || outcome.reason === "conflict") &&
        replica.hasOtherAttempt(ticket, prefix)
            ? { kind: "unknown", detail: `${outcome.detail}; an earlier submission may still be accepted` }
            : outcome;

    const submit = async (ticket: Ticket): Promise<TicketOutcome> => {
        const submittedAt = now();
        attemptCount += 1;
        const prefix = `${id}-${options.incarnation}-${attemptCount}-`;
        let step = startAcceptance(ticket, sha256(canonicalJson(ticket)), prefix);
        while (step.action.kind !== "finish") {
            const event = await perform(step.action, ticket, submittedAt);
            step = stepAcceptance(step.state, event, uploadedSnapshot);
        }
        const outcome = qualifyRejection(step.action.outcome, ticket, prefix);
        if (outcome.kind === "accepted") {
            system.post({
                kind: "accepted",
                tickets: [{ revision: outcome.revision, ticket }],
                forward: true,
            });
        }
        logger.info("A ticket was handled", {
            ticket: ticket.number,
            outcome: outcome.kind,
            detail: outcome.kind === "accepted" ? `revision ${outcome.revision}` : outcome.detail,
        });
        return outcome;
    };

    const hasRevision = async (member: Member, revision: number): Promise<boolean> => {
        try {
            const answer = (await peers.call(member.address, STATUS_METHOD, {})) as unknown as StatusAnswer;
            return answer.revision >= revision;
        }
        catch {
            return false;
        }
    };

    return {
        current: replica.current,
        governing: replica.governing,
        isFresh: replica.isFresh,
        apply: ticket => {
            const problems = schemaProblems(ticket);
            if (problems.length > 0) {
                return Promise.resolve({ kind: "refused", reason: "invalid", detail: problems.join("; ") });
            }
            // One at a time, so that tickets applied at this node do not conflict with each other.
            const result = lastSubmission.then(() => submit(ticket));
            lastSubmission = result.catch(() => undefined);
            return result;
        },
        check: ticket => {
            const problems = schemaProblems(ticket);
            if (problems.length > 0) {
                return problems;
            }
            const superseding = findSuperseding(replica.current(), ticket);
            return superseding === undefined
                ? ticketProblems(replica.current(), ticket)
                : [describeSuperseding(ticket, superseding)];
        },
        onChange: listener => {
            listeners.push(listener);
        },
        waitUntilInForce: async (revision, timeoutMilliseconds) => {
            const deadline = now() + timeoutMilliseconds;
            const nodesInForce = new Set<string>();
            for (;;) {
                if (replica.current().revision >= revision) {
                    nodesInForce.add(id);
                }
                const lacking = otherActive().filter(member => !nodesInForce.has(member.id));
                await Promise.all(
                    lacking.map(async member => {
                        if (await hasRevision(member, revision)) {
                            nodesInForce.add(member.id);
                        }
                    }),
                );
                const active = membership.active().map(member => member.id);
                const missing = active.filter(member => !nodesInForce.has(member));
                if (missing.length === 0 || now() >= deadline) {
                    return {
                        revision,
                        inForce: active.length - missing.length,
                        members: active.length,
                        missing,
                    };
                }
                await wait(STATUS_INTERVAL_MILLISECONDS);
            }
        },
        status: () => {
            const state = replica.state(now());
            return {
                revision: state.revision,
                headVersion: state.headVersion,
                freshnessAge: state.age,
                preparedTickets: state.proposals?.length ?? 0,
            };
        },
    };
}
