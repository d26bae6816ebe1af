/** Registry of a node's open exchanges; executes the dispatch system's actions on them. */
import type { CallerReply, Submission } from "../callers/reply.js";
import type { Claims } from "../claims/claims.js";
import { createCompletionExchange } from "./completion-exchange.js";
import type { CompletionDependencies } from "./completion-exchange.js";
import type { Exchange } from "./exchange.js";
import type { DispatchAction, DispatchEvent } from "./requests.js";
import { createServiceExchange } from "./service-exchange.js";

export interface ExchangeRegistry {
    /** Creates the exchange of a request. Call it before the `arrived` event of the request is posted. */
    open(requestId: string, submission: Submission, reply: CallerReply): void;
    execute(action: DispatchAction): void;
    readonly size: number;
    /** Bytes of answers held in memory, for callers and to continue streams at other engines. */
    heldBytes(): number;
}

export interface ExchangeRegistryOptions extends Omit<CompletionDependencies, "onClosed"> {
    readonly claims: Claims;
    readonly post: (event: DispatchEvent) => void;
    readonly onClosed: CompletionDependencies["onClosed"];
}

export function createExchangeRegistry(options: ExchangeRegistryOptions): ExchangeRegistry {
    const exchanges = new Map<string, Exchange>();
    const dependencies: CompletionDependencies = {
        ...options,
        onClosed: (requestId, outcome) => {
            exchanges.delete(requestId);
            options.onClosed(requestId, outcome);
        },
    };

    const claim = (action: DispatchAction & { kind: "claim" }): void => {
        const { id, claim: idempotencyClaim } = action.request;
        options.claims
            .claim(idempotencyClaim!.key, idempotencyClaim!.bodyHash, id)
            .catch(() => ({ kind: "unavailable" }) as const)
            .then(result => options.post({ kind: "claim-resolved", requestId: id, result }))
            .catch(() => undefined);
    };

    return {
        open: (requestId, submission, reply) => {
            exchanges.set(
                requestId,
                submission.kind === "completion"
                    ? createCompletionExchange(requestId, submission, reply, dependencies)
                    : createServiceExchange(requestId, submission, reply, dependencies),
            );
        },
        execute: action => {
            switch (action.kind) {
                case "claim":
                    return claim(action);
                case "abandon-claim":
                    options.claims
                        .abandon(action.request.claim!.key, action.request.id)
                        .catch(() => undefined);
                    return;
                case "keep-claim":
                    options.claims
                        .complete(action.request.claim!.key, action.request.id, undefined)
                        .catch(() => undefined);
                    return;
                case "start-attempt":
                    return startAttempt(action);
                case "cancel-attempt":
                    return exchanges.get(action.requestId)?.cancelAttempt(action.attemptId);
                case "judge":
                    return exchanges.get(action.request.id)?.judge();
                case "deliver":
                    return exchanges.get(action.request.id)?.deliver();
                case "replay":
                    return exchanges.get(action.requestId)?.sendRecordedOutcome(action.outcome);
                case "reject":
                    return exchanges.get(action.requestId)?.reject(action.error);
            }
        },
        get size() {
            return exchanges.size;
        },
        heldBytes: () => {
            let held = 0;
            for (const exchange of exchanges.values()) {
                held += exchange.heldBytes();
            }
            return held;
        },
    };

    function startAttempt(action: DispatchAction & { kind: "start-attempt" }): void {
        const { request, attempt } = action;
        const exchange = exchanges.get(request.id);
        if (exchange !== undefined) {
            exchange.startAttempt(request, attempt, action.judged, action.resumeStream);
            return;
        }
        // The caller disconnected after the decision and before its execution. The credit must still be
        // released.
        options.post({
            kind: "attempt-failed",
            requestId: request.id,
            attemptId: attempt.id,
            verdict: "not-run",
            reason: "the caller disconnected",
            offset: 0,
            resumable: false,
            observation: { succeeded: true },
        });
    }
}
