/**
 * Configuration of a node: connects the replica and the acceptance of tickets to the ticker, the peers, the
 * table service and the object store.
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
import type { ConfigurationAuthor, ConfigurationView, TicketOutcome } from "./configuration.js";
import {
    ACCEPTANCE_BACKOFF_MILLISECONDS,
    AUTHOR_CATCH_UP_MILLISECONDS,
    CATCH_UP_CHECK_MILLISECONDS,
    CONFIRM_TIMEOUT_MILLISECONDS,
    FRESHNESS_MILLISECONDS,
    PREPARE_TIMEOUT_MILLISECONDS,
    PULL_TIMEOUT_MILLISECONDS,
    PUSH_FAN_OUT,
    RESOLVE_INTERVAL_MILLISECONDS,
    SNAPSHOT_REVISIONS,
    WAIT_INTERVAL_MILLISECONDS,
} from "./constants.js";
import type { AcceptedTicket, Ticket } from "./entities.js";
import { majorityOf } from "./evidence.js";
import {
    ABANDON_METHOD,
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
    Claim,
    Confirmation,
    Head,
    PrepareAnswer,
    Proposal,
    PullAnswer,
    PullRequest,
    PushMessage,
    StatusAnswer,
} from "./messages.js";
import { createReplica } from "./replica.js";
import type { ReplicaAction, ReplicaEvent, Source } from "./replica.js";
import type { ConfigurationSnapshot } from "./snapshot.js";

export interface ConfigurationOptions {
    readonly id: string;
    /** Number of this start of the process, as in the membership. */
    readonly incarnation: number;
    /**
     * Age of the confirmation at which new work is refused, milliseconds. The same on every node.
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

/** How many nodes have a revision in force. */
export interface InForceReport {
    readonly revision: number;
    readonly inForce: number;
    /** Members that take part in work. */
    readonly members: number;
    /** Ids of the members that do not have the revision or did not answer. */
    readonly missing: readonly string[];
}

/** State for the state dump. */
export interface ConfigurationStatus {
    readonly revision: number;
    readonly headVersion: number;
    /** Milliseconds since the time up to which this node has every accepted ticket. */
    readonly freshnessAge: number | undefined;
    readonly preparedTickets: number;
}

export interface Configuration extends ConfigurationView, ConfigurationAuthor {
    /** Calls `listener` after a revision has come into force at this node. */
    onChange(listener: (snapshot: ConfigurationSnapshot) => void): void;
    /** Waits until all active members have the revision, at most `timeoutMilliseconds`. */
    waitUntilInForce(revision: number, timeoutMilliseconds: number): Promise<InForceReport>;
    status(): ConfigurationStatus;
}

type Read<Kind extends ReplicaAction["kind"]> = Extract<ReplicaAction, { kind: Kind }>;

const wait = (milliseconds: number): Promise<void> =>
    new Promise(resolve => {
        setTimeout(resolve, milliseconds);
    });

/** Creates the configuration. It becomes a part of the life cycle; add the membership before it. */
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
    let lastApply: Promise<unknown> = Promise.resolve();

    const otherActive = (): readonly Member[] => membership.active().filter(member => member.id !== id);

    const randomSources = (count: number): readonly Source[] => {
        const members = [...otherActive()];
        const chosen: Member[] = [];
        while (chosen.length < count && members.length > 0) {
            chosen.push(...members.splice(Math.floor(random() * members.length), 1));
        }
        return chosen;
    };

    /** Runs I/O whose failure the replica notices by itself. */
    const attempt = (what: string, work: Promise<unknown>): void => {
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

    const settle = async (head: Head): Promise<void> => {
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

    /** Reports the end of an attempt to catch up, whatever its result. */
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

    const readLog = async ({ from, to }: Read<"read-log">): Promise<void> => {
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

    const pull = async ({ source, after }: Read<"pull">): Promise<void> => {
        const from = source ?? randomSources(1)[0];
        if (from === undefined) {
            throw new Error("no other member is known");
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
        const source = randomSources(1)[0];
        if (source !== undefined) {
            const sentAt = now();
            const answer = await peers.call(source.address, CONFIRM_METHOD, {}, CONFIRM_TIMEOUT_MILLISECONDS);
            const confirmation = answer as unknown as Confirmation;
            system.post({ kind: "confirmation", confirmation, source, sentAt });
        }
    };

    const push = (accepted: AcceptedTicket): void => {
        const message: PushMessage = { from: id, accepted: accepted as AcceptedTicket & JsonObject };
        for (const { address } of randomSources(PUSH_FAN_OUT)) {
            attempt("A push", peers.call(address, PUSH_METHOD, message));
        }
    };

    const handleInstalled = (revision: number): void => {
        logger.info("A revision came into force", { revision });
        listeners.forEach(listener => listener(replica.current()));
    };

    const execute = (action: ReplicaAction): void => {
        switch (action.kind) {
            case "read-head":
                attempt("A read of the head row", readHead());
                break;
            case "settle":
                attempt("A settling of prepared tickets", settle(action.head));
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
                attempt("A confirmation", confirm());
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
        const { revision, age } = replica.claim(time);
        if (wasFresh) {
            logger.info("The configuration is confirmed", { revision });
        }
        else {
            logger.warn("The configuration is not confirmed, so new work is refused", { revision, age });
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

    const sourceOf = (member: string): Source | undefined => {
        const address = membership.members.get(member)?.address;
        return address === undefined ? undefined : { id: member, address };
    };

    /** Holds a prepared ticket at this node; resolves once it governs new work here. */
    const hold = (proposal: Proposal): Promise<PrepareAnswer> =>
        isRunning
            ? new Promise(resolve => {
                  system.post({ kind: "prepare", proposal, answer: resolve });
              })
            : Promise.reject(new Error("the configuration does not run"));

    peers.handle(PREPARE_METHOD, params => hold(params as unknown as Proposal));
    peers.handle(ABANDON_METHOD, params => {
        system.post({ kind: "abandon", attempt: String((params as JsonObject)["attempt"]) });
        return null;
    });
    peers.handle(PUSH_METHOD, params => {
        const { from, accepted } = params as unknown as PushMessage;
        system.post({ kind: "accepted", tickets: [accepted], forward: true, source: sourceOf(from) });
        return null;
    });
    peers.handle(PULL_METHOD, params => replica.pullAnswer((params as unknown as PullRequest).after));
    peers.handle(CONFIRM_METHOD, () => replica.confirmation(now()));
    peers.handle(STATUS_METHOD, () => ({ revision: replica.current().revision }));

    membership.attachDigest({
        name: "configuration",
        read: () => (isRunning ? replica.claim(now()) : undefined),
        receive: ({ from, address, value, notBefore }) => {
            if (address !== undefined) {
                const claim = value as Claim;
                system.post({ kind: "claim", claim, source: { id: from, address }, notBefore });
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
        if (snapshot.revision - Math.max(head.snapshot, uploadedSnapshot) >= SNAPSHOT_REVISIONS) {
            const body = JSON.stringify(serialiseSnapshot(snapshot));
            await objectStore.putIfAbsent(snapshotName(snapshot.revision), body);
            uploadedSnapshot = snapshot.revision;
        }
    };

    /** Waits until the condition holds; returns whether it did in time. */
    const waitUntil = async (condition: () => boolean, limitMilliseconds: number): Promise<boolean> => {
        const deadline = now() + limitMilliseconds;
        while (!condition() && now() < deadline) {
            await wait(CATCH_UP_CHECK_MILLISECONDS);
        }
        return condition();
    };

    /**
     * Whether an earlier submission of the ticket may have succeeded, while the table cannot tell. Contact with
     * a majority after `submittedAt` shows every ticket that was accepted or prepared before.
     */
    const mayBeAccepted = async (ticket: Ticket, submittedAt: number): Promise<boolean> => {
        const isComplete = await waitUntil(
            () => replica.isCompleteAt(submittedAt),
            AUTHOR_CATCH_UP_MILLISECONDS,
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
            attempt("The upload of a snapshot", uploadSnapshot(head));
            return { kind: "read", reading: { head, row } };
        }
        catch (error) {
            const detail = `the table service could not be read: ${(error as Error).message}`;
            return { kind: "read-failed", detail, mayBeAccepted: await mayBeAccepted(ticket, submittedAt) };
        }
    };

    /** Waits until this node has a revision, or gives up. */
    const reach = async (revision: number): Promise<AcceptanceEvent> => {
        await waitUntil(() => replica.current().revision >= revision, AUTHOR_CATCH_UP_MILLISECONDS);
        return { kind: "caught-up", snapshot: replica.current() };
    };

    const prepare = (proposal: Proposal): Promise<AcceptanceEvent> =>
        new Promise(resolve => {
            const roster = membership.roster();
            const needed = majorityOf(roster.length);
            let heldCount = 0;
            let failedCount = 0;
            const fail = (): void => {
                failedCount += 1;
                if (failedCount > roster.length - needed) {
                    resolve({ kind: "prepared", result: "no-majority" });
                }
            };
            const count = (answer: PrepareAnswer): void => {
                heldCount += 1;
                if (answer.result === "stale") {
                    resolve({ kind: "prepared", result: "stale" });
                }
                else if (heldCount >= needed) {
                    resolve({ kind: "prepared", result: "majority" });
                }
            };
            for (const node of roster) {
                const source = sourceOf(node);
                if (node === id) {
                    hold(proposal).then(count, fail);
                }
                else if (source === undefined) {
                    fail();
                }
                else {
                    peers
                        .call(source.address, PREPARE_METHOD, proposal, PREPARE_TIMEOUT_MILLISECONDS)
                        .then(answer => count(answer as unknown as PrepareAnswer), fail);
                }
            }
        });

    const abandon = (proposal: Proposal): AcceptanceEvent => {
        system.post({ kind: "abandon", attempt: proposal.attempt });
        for (const node of membership.roster()) {
            const source = sourceOf(node);
            if (source !== undefined && node !== id) {
                const message: JsonValue = { attempt: proposal.attempt };
                attempt(
                    "The message that an attempt ended",
                    peers.call(source.address, ABANDON_METHOD, message),
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
                return reach(action.revision);
            case "prepare":
                return prepare(action.proposal);
            case "abandon":
                return abandon(action.proposal);
            case "commit":
                return commit(action.transaction);
            case "settle":
                await settle(action.head).catch((error: unknown) =>
                    logger.debug("A settling of an attempt failed", { error: String(error) }),
                );
                return { kind: "done" };
            case "wait":
                await wait(
                    action.reason === "retry"
                        ? ACCEPTANCE_BACKOFF_MILLISECONDS * random()
                        : RESOLVE_INTERVAL_MILLISECONDS,
                );
                return { kind: "done" };
        }
    };

    /** A refusal is certain only if no earlier submission of the ticket can still be accepted. */
    const qualify = (outcome: TicketOutcome, ticket: Ticket, prefix: string): TicketOutcome =>
        outcome.kind === "refused" &&
        (outcome.reason === "unavailable" || outcome.reason === "conflict") &&
        replica.hasOtherAttempt(ticket, prefix)
            ? { kind: "unknown", detail: `${outcome.detail}; an earlier submission is not settled` }
            : outcome;

    const accept = async (ticket: Ticket): Promise<TicketOutcome> => {
        const submittedAt = now();
        attemptCount += 1;
        const prefix = `${id}-${options.incarnation}-${attemptCount}-`;
        let step = startAcceptance(ticket, sha256(canonicalJson(ticket)), prefix);
        while (step.action.kind !== "finish") {
            const event = await perform(step.action, ticket, submittedAt);
            step = stepAcceptance(step.state, event, uploadedSnapshot);
        }
        const outcome = qualify(step.action.outcome, ticket, prefix);
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
            // One at a time, so that tickets applied at this node do not race each other.
            const result = lastApply.then(() => accept(ticket));
            lastApply = result.catch(() => undefined);
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
            const having = new Set<string>();
            for (;;) {
                if (replica.current().revision >= revision) {
                    having.add(id);
                }
                const lacking = otherActive().filter(member => !having.has(member.id));
                await Promise.all(
                    lacking.map(async member => {
                        if (await hasRevision(member, revision)) {
                            having.add(member.id);
                        }
                    }),
                );
                const active = membership.active().map(member => member.id);
                const missing = active.filter(member => !having.has(member));
                if (missing.length === 0 || now() >= deadline) {
                    return {
                        revision,
                        inForce: active.length - missing.length,
                        members: active.length,
                        missing,
                    };
                }
                await wait(WAIT_INTERVAL_MILLISECONDS);
            }
        },
        status: () => {
            const claim = replica.claim(now());
            return {
                revision: claim.revision,
                headVersion: claim.headVersion,
                freshnessAge: claim.age,
                preparedTickets: claim.proposals?.length ?? 0,
            };
        },
    };
}
