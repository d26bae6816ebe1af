/**
 * Rollouts at a node: current shares of versions, evidence, halts, and the controller of the rollouts whose
 * lease this node holds.
 */
import type { Clock } from "../common/clock.js";
import { rendezvousOrder } from "../common/hash.js";
import { jitter } from "../common/random.js";
import type { Random } from "../common/random.js";
import type { ConfigurationView } from "../configuration/configuration.js";
import type { ConfigurationSnapshot } from "../configuration/snapshot.js";
import { withFencing } from "../leases/lease-row.js";
import type { Lease, Leases } from "../leases/leases.js";
import type { Logger } from "../logging/logging.js";
import type { MembershipView } from "../membership/membership.js";
import type { Condition, Row, TableService, Transaction } from "../outside-services/table-service.js";
import type { Ticker } from "../ticker/ticker.js";
import { describeFinding, strongestFinding } from "./assessment.js";
import { isVersionActive, findActiveRollout, listActiveRollouts } from "./active-rollouts.js";
import type { ActiveRollout } from "./active-rollouts.js";
import { createHalts } from "./halts.js";
import {
    ASSESSMENT_INTERVAL_MILLISECONDS,
    CANDIDATE_COUNT,
    DEFAULT_POLICY,
    FULL_DIGEST_INTERVAL,
} from "./constants.js";
import { POLL_INTERVAL_MILLISECONDS } from "./constants.js";
import { decideRollout, isHaltPending, isFinal, periodAt } from "./controller.js";
import { countAnswer, countRating } from "./counters.js";
import type { Counters } from "./counters.js";
import { createEvidence, evidenceDigestSchema } from "./evidence.js";
import type { EvidenceStratum } from "./evidence.js";
import { rolloutDigestSchema } from "./interface.js";
import type { RolloutStatus, Rollouts } from "./interface.js";
import type { RolloutPolicy } from "./policy.js";
import { createRecentWindow } from "./recent-evidence.js";
import type { RecentWindow } from "./recent-evidence.js";
import { newerRow, currentShare, parseRolloutRow, rolloutKey, runKey } from "./rollout-row.js";
import { serialiseRolloutRow } from "./rollout-row.js";
import type { RolloutRow } from "./rollout-row.js";

export interface RolloutsOptions {
    readonly configuration: Pick<ConfigurationView, "current" | "governing">;
    readonly membership: Pick<MembershipView, "self" | "active">;
    readonly table: Pick<TableService, "getMany" | "transact">;
    readonly leases: Pick<Leases, "contend">;
    readonly clock: Clock;
    readonly random: Random;
    readonly ticker: Pick<Ticker, "attach">;
    readonly logger: Logger;
    /** @default DEFAULT_POLICY */
    readonly policy?: Partial<RolloutPolicy>;
}

type RolloutAction =
    | { readonly kind: "read"; readonly keys: readonly string[] }
    | { readonly kind: "write"; readonly row: RolloutRow; readonly transaction: Transaction };

type RolloutEvent =
    | { readonly kind: "rows"; readonly keys: readonly string[]; readonly rows: readonly Row[] }
    | { readonly kind: "written"; readonly row: RolloutRow; readonly applied: boolean }
    | { readonly kind: "failed"; readonly action: RolloutAction };

/** State of a rollout at this node, besides its row. */
interface RolloutProgress {
    readonly lease: Lease;
    verdict: string;
    isWriting: boolean;
    /** Window over the evidence of all nodes. */
    mergedWindow: RecentWindow;
    /** Window over the evidence of this node. */
    nodeWindow: RecentWindow;
    /** Run that the windows belong to. */
    windowRun: string;
    ratingCount: number;
    lastRatingAt: number;
}

export function createRollouts(options: RolloutsOptions): Rollouts {
    const { configuration, membership, clock } = options;
    const policy: RolloutPolicy = { ...DEFAULT_POLICY, ...options.policy };
    const self = membership.self;
    const evidence = createEvidence(`${self.id}/${self.incarnation}`);
    const halts = createHalts();
    const rows = new Map<string, RolloutRow>();
    /** Rollouts without a row at the last read. Their next write requires that the row is absent. */
    const absentRows = new Set<string>();
    const progress = new Map<string, RolloutProgress>();
    let isReading = false;
    let nextReadAt = -Infinity;
    let nextAssessmentAt = -Infinity;
    let nextRemovalAt = -Infinity;
    let digestCount = 0;

    const progressOf = (name: string): RolloutProgress => {
        let entry = progress.get(name);
        if (entry === undefined) {
            const lease = options.leases.contend(`rollout-${name}`);
            lease.setWanted(false);
            entry = {
                lease,
                verdict: "",
                isWriting: false,
                mergedWindow: createRecentWindow(),
                nodeWindow: createRecentWindow(),
                windowRun: "",
                ratingCount: 0,
                lastRatingAt: -Infinity,
            };
            progress.set(name, entry);
        }
        return entry;
    };

    const rowOf = ({ name, ticket }: ActiveRollout): RolloutRow | undefined => {
        const row = rows.get(name);
        return row?.ticket === ticket ? row : undefined;
    };

    const candidates = (name: string): readonly string[] =>
        rendezvousOrder(
            `rollout/${name}`,
            membership.active().map(({ id }) => id),
        ).slice(0, CANDIDATE_COUNT);

    const isEnded = (active: ActiveRollout): boolean => {
        const row = rowOf(active);
        const halt = halts.find(active.name, active.ticket);
        return row !== undefined && isFinal(row.phase) && !isHaltPending(row, halt);
    };

    const shareIn = (snapshot: ConfigurationSnapshot, model: string, version: string): number => {
        const active = findActiveRollout(snapshot, model);
        if (active?.rollout.version !== version || active.rollout.state === "halted") {
            return 0;
        }
        const row = rowOf(active);
        if (row === undefined || row.version !== version || !isVersionActive(snapshot, model, version)) {
            return 0;
        }
        const halt = halts.find(active.name, active.ticket);
        return Math.min(currentShare(row), halt?.share ?? 1);
    };

    const share = (model: string, version: string): number => {
        const shares = configuration.governing().map(snapshot => {
            if (snapshot.model.get(model)?.baseline !== version) {
                return shareIn(snapshot, model, version);
            }
            const active = findActiveRollout(snapshot, model);
            const isSelf = active === undefined || active.rollout.version === version;
            return isSelf ? 1 : 1 - shareIn(snapshot, model, active.rollout.version);
        });
        return shares.length === 0 ? 0 : Math.min(...shares);
    };

    const updateCounters = (
        subject: { model: string; version: string; workspace: string },
        update: (counters: Counters) => Counters,
    ): void => {
        const snapshot = configuration.current();
        const active = findActiveRollout(snapshot, subject.model);
        const row = active === undefined ? undefined : rowOf(active);
        if (row === undefined) {
            return;
        }
        const isVersion = subject.version === row.version;
        if (!isVersion && subject.version !== snapshot.model.get(subject.model)?.baseline) {
            return;
        }
        evidence.count(
            {
                run: runKey(row.name, row.ticket),
                period: periodAt(row, clock.wallTime(), policy.epochMilliseconds),
                workspace: subject.workspace,
                arm: isVersion ? "version" : "reference",
            },
            update,
        );
    };

    const mergeRow = (row: RolloutRow): void => {
        const before = rows.get(row.name);
        const after = newerRow(before, row);
        rows.set(row.name, after);
        if (after !== before) {
            options.logger.info("The state of a rollout changed.", {
                rollout: row.name,
                ticket: row.ticket,
                phase: row.phase,
                share: currentShare(row),
                reason: row.history.at(-1)!.reason,
            });
        }
    };

    const applyRows = (event: RolloutEvent & { kind: "rows" }): void => {
        const found = new Set(event.rows.map(({ key }) => key));
        for (const key of event.keys) {
            const name = key.slice(rolloutKey("").length);
            if (found.has(key)) {
                absentRows.delete(name);
            }
            else {
                absentRows.add(name);
            }
        }
        for (const row of event.rows) {
            try {
                mergeRow(parseRolloutRow(row.value));
            }
            catch (error) {
                options.logger.error("Could not parse a rollout row.", {
                    key: row.key,
                    error: (error as Error).message,
                });
            }
        }
    };

    const applyEvent = (event: RolloutEvent): void => {
        if (event.kind === "rows") {
            isReading = false;
            applyRows(event);
        }
        else if (event.kind === "written") {
            progressOf(event.row.name).isWriting = false;
            if (event.applied) {
                absentRows.delete(event.row.name);
                mergeRow(event.row);
            }
            else {
                nextReadAt = -Infinity;
            }
        }
        else if (event.action.kind === "read") {
            isReading = false;
        }
        else {
            // The write may have been applied, so the row is read again without delay.
            progressOf(event.action.row.name).isWriting = false;
            nextReadAt = -Infinity;
        }
    };

    const updateRatingFreshness = (
        strata: readonly EvidenceStratum[],
        entry: RolloutProgress,
        now: number,
    ): boolean => {
        const ratings = strata.reduce(
            (sum, { version, reference }) => sum + version.ratings.count + reference.ratings.count,
            0,
        );
        if (ratings !== entry.ratingCount) {
            entry.ratingCount = ratings;
            entry.lastRatingAt = now;
        }
        return now - entry.lastRatingAt <= policy.ratingsFreshMilliseconds;
    };

    const resetWindows = (active: ActiveRollout): void => {
        const run = runKey(active.name, active.ticket);
        const entry = progressOf(active.name);
        if (entry.windowRun !== run) {
            entry.windowRun = run;
            entry.mergedWindow = createRecentWindow();
            entry.nodeWindow = createRecentWindow();
        }
    };

    const haltOnRegression = (active: ActiveRollout, now: number): void => {
        const strata = evidence.nodeStrata(runKey(active.name, active.ticket));
        const recent = progressOf(active.name).nodeWindow.update(strata, now);
        const finding = strongestFinding(strata, recent, policy.haltAlpha, policy);
        const isHalted = halts.find(active.name, active.ticket)?.share === 0;
        if (finding !== undefined && finding.logRatio >= finding.threshold && !isHalted) {
            const reason = describeFinding(finding);
            halts.merge([{ name: active.name, ticket: active.ticket, share: 0, by: self.id, reason }]);
            options.logger.warn("Halted a rollout on this node's evidence.", {
                rollout: active.name,
                reason,
            });
        }
    };

    const control = (active: ActiveRollout, now: number): readonly RolloutAction[] => {
        const entry = progressOf(active.name);
        const strata = evidence.strata(runKey(active.name, active.ticket));
        const areRatingsFresh = updateRatingFreshness(strata, entry, now);
        const recent = entry.mergedWindow.update(strata, now);
        const isCandidate = candidates(active.name).includes(self.id);
        entry.lease.setWanted(isCandidate && !isEnded(active));
        const token = entry.lease.token(now);
        if (token === undefined || entry.isWriting) {
            return [];
        }
        const known = rows.get(active.name);
        const decision = decideRollout({
            ...active,
            row: known,
            halt: halts.find(active.name, active.ticket),
            strata,
            recent,
            areRatingsFresh,
            wallTime: clock.wallTime(),
            policy,
        });
        entry.verdict = decision.reason;
        if (decision.next === undefined) {
            return [];
        }
        const key = rolloutKey(active.name);
        const condition: Condition =
            known === undefined || absentRows.has(active.name)
                ? { kind: "absent", key }
                : { kind: "field", key, field: "sequence", equals: known.sequence };
        entry.isWriting = true;
        const write = { kind: "put", key, value: serialiseRolloutRow(decision.next) } as const;
        return [
            {
                kind: "write",
                row: decision.next,
                transaction: withFencing(token, { conditions: [condition], writes: [write] }),
            },
        ];
    };

    const removeEnded = (active: readonly ActiveRollout[]): void => {
        const tickets = new Map(active.map(({ name, ticket }) => [name, ticket]));
        const isCurrent = (name: string, ticket: number): boolean =>
            ticket >= (tickets.get(name) ?? Infinity);
        halts.retain(({ name, ticket }) => isCurrent(name, ticket));
        evidence.retain(run => {
            const at = run.lastIndexOf("@");
            return isCurrent(run.slice(0, at), Number(run.slice(at + 1)));
        });
        for (const [name, entry] of progress) {
            if (!tickets.has(name)) {
                entry.lease.setWanted(false);
                rows.delete(name);
            }
        }
    };

    const step = (events: readonly RolloutEvent[], now: number): readonly RolloutAction[] => {
        events.forEach(applyEvent);
        const active = listActiveRollouts(configuration.current());
        const actions: RolloutAction[] = [];
        if (now >= nextAssessmentAt) {
            nextAssessmentAt = now + ASSESSMENT_INTERVAL_MILLISECONDS;
            if (now >= nextRemovalAt) {
                nextRemovalAt = now + POLL_INTERVAL_MILLISECONDS;
                removeEnded(active);
            }
            for (const rollout of active) {
                resetWindows(rollout);
                haltOnRegression(rollout, now);
                actions.push(...control(rollout, now));
            }
        }
        if (active.length > 0 && now >= nextReadAt && !isReading) {
            isReading = true;
            nextReadAt = now + jitter(POLL_INTERVAL_MILLISECONDS, 0.2, options.random);
            actions.push({ kind: "read", keys: active.map(({ name }) => rolloutKey(name)) });
        }
        return actions;
    };

    const execute = async (action: RolloutAction): Promise<RolloutEvent> => {
        try {
            if (action.kind === "read") {
                return { kind: "rows", keys: action.keys, rows: await options.table.getMany(action.keys) };
            }
            const result = await options.table.transact(action.transaction);
            return { kind: "written", row: action.row, applied: result.applied };
        }
        catch {
            return { kind: "failed", action };
        }
    };

    const system = options.ticker.attach("roll-outs", step, (action: RolloutAction) => {
        void execute(action).then(event => system.post(event));
    });

    const statusOf = (active: ActiveRollout): RolloutStatus => {
        const row = rowOf(active);
        const sums = { versionAnswers: 0, versionRatings: 0, baselineAnswers: 0, baselineRatings: 0 };
        for (const { version, reference } of evidence.strata(runKey(active.name, active.ticket))) {
            sums.versionAnswers += version.answers;
            sums.versionRatings += version.ratings.count;
            sums.baselineAnswers += reference.answers;
            sums.baselineRatings += reference.ratings.count;
        }
        const entry = progressOf(active.name);
        return {
            name: active.name,
            model: active.rollout.model,
            version: active.rollout.version,
            ticket: active.ticket,
            phase: row?.phase ?? "pending",
            share: share(active.rollout.model, active.rollout.version),
            step: row?.step ?? 0,
            steps: active.rollout.steps,
            history: row?.history ?? [],
            brake: halts.find(active.name, active.ticket),
            isController: entry.lease.isHeld(clock.now()),
            verdict: entry.lease.isHeld(clock.now()) ? entry.verdict : (row?.history.at(-1)?.reason ?? ""),
            evidence: sums,
        };
    };

    const status = (): readonly RolloutStatus[] => listActiveRollouts(configuration.current()).map(statusOf);

    return {
        share,
        history: (model, version) => {
            const active = findActiveRollout(configuration.current(), model);
            const row = active === undefined ? undefined : rowOf(active);
            return row?.version === version ? row.history : [];
        },
        isWithdrawn: (model, version) =>
            configuration.governing().some(snapshot => {
                const active = findActiveRollout(snapshot, model);
                const row = active === undefined ? undefined : rowOf(active);
                return row?.version === version && row.phase === "withdrawn";
            }),
        observe: answer =>
            updateCounters(answer, counters =>
                countAnswer(counters, answer.succeeded, answer.latencyMilliseconds),
            ),
        observeRating: rating => updateCounters(rating, counters => countRating(counters, rating.rating)),
        evidenceDigest: () => evidence.digest(digestCount++ % FULL_DIGEST_INTERVAL === 0),
        mergeEvidence: digest => evidence.merge(evidenceDigestSchema.parse(digest)),
        evidenceTargets: () => {
            const running = listActiveRollouts(configuration.current()).filter(active => !isEnded(active));
            const targets = new Set(running.flatMap(({ name }) => candidates(name)));
            targets.delete(self.id);
            return [...targets];
        },
        rolloutDigest: () => ({
            rows: listActiveRollouts(configuration.current()).flatMap(active => rowOf(active) ?? []),
            brakes: halts.digest(),
        }),
        mergeRollouts: digest => {
            const parsed = rolloutDigestSchema.parse(digest);
            parsed.rows.forEach(mergeRow);
            halts.merge(parsed.brakes);
        },
        halt: (name, operator) => {
            const active = listActiveRollouts(configuration.current()).find(rollout => rollout.name === name);
            if (active === undefined) {
                return false;
            }
            const reason = "halted by an operator";
            halts.merge([{ name, ticket: active.ticket, share: 0, by: operator, reason }]);
            return true;
        },
        status,
        dump: () => ({
            rollouts: status(),
            brakes: halts.digest(),
            evidenceEntries: evidence.size(),
        }),
    };
}
